//! The bound on the number of members, at its value in service, and which entries change the replicated state.

use flaxstand_consensus::lease_manager::{LeaseRequest, LeaseResponse};
use flaxstand_consensus::participant::{
    Config, Destination, OperatorReply, OperatorRequest, Participant, PeerMessage, StoredReplica,
};
use flaxstand_consensus::replicated_state::{Change, MAX_MEMBERS, ReplicatedState, Version};
use flaxstand_consensus::rules::Rules;
use flaxstand_consensus::{InjectedFault, Micros, Recovered, ReplicaRole, Status, recover};
use flaxstand_storage::faulty::FaultyDisk;
use flaxstand_storage::{Storage as _, perform};
use proptest::prelude::*;

/// Connections of an operator and of a host.
const OPERATOR: u64 = 1;
const HOST: u64 = 2;
/// Virtual time that passes at each turn.
const TURN: Micros = Micros(1_000);
const LEASE: Micros = Micros(3_000_000);

/// An agreement with one keeper, whose disk takes no time.
struct OneKeeper {
    agreement: Participant,
    disk: FaultyDisk,
    now: Micros,
}

impl OneKeeper {
    /// One that leads, with a first version in force.
    fn leading() -> OneKeeper {
        let now = Micros(1_000);
        let agreement = Participant::new(OneKeeper::config(1), Some(StoredReplica::default()), None, 0, now);
        let mut replica = OneKeeper { agreement, disk: FaultyDisk::new(1), now };
        replica.lead();
        let agreed = replica.operator_asks(OperatorRequest::Propose(0, Version::default()));
        assert_eq!(agreed, Some(OperatorReply::Committed(1)));
        replica
    }

    fn config(epoch: u64) -> Config {
        Config {
            name: "keeper".into(),
            epoch,
            voters: vec!["keeper".into()],
            neighbours: Vec::new(),
            lease: LEASE,
            clock_error: 0.001,
            election: Micros(500_000),
            seed: 1,
            started_with: Rules::default(),
            injected_fault: InjectedFault::None,
        }
    }

    /// Its process ends, and another leads with what is on its disk.
    fn restart(&mut self) {
        let Recovered::State(state) = recover(&mut self.disk).expect("in memory") else {
            panic!("its disk holds a state");
        };
        let segments = self.disk.segments().expect("in memory");
        let found = StoredReplica { state: Some(*state), segments };
        self.agreement = Participant::new(OneKeeper::config(2), Some(found), None, 0, self.now);
        self.lead();
    }

    /// Goes on until it leads and has committed what it knows of.
    fn lead(&mut self) {
        let end = self.now.after(Micros(60_000_000));
        let ready = |status: &Status| {
            status.role == ReplicaRole::Leader && status.committed > 0 && status.committed == status.last
        };
        while !ready(&self.status()) {
            assert!(self.now < end, "it does not lead: {:?}", self.status());
            self.turn();
        }
    }

    fn status(&self) -> Status {
        self.agreement.replica(self.now).expect("it is a keeper")
    }

    fn members(&self) -> usize {
        self.agreement.replicated_state().map_or(0, |(_, replicated_state)| replicated_state.members.len())
    }

    /// A turn. Returns what was said back to operators and hosts.
    fn turn(&mut self) -> Vec<PeerMessage> {
        self.now = self.now.after(TURN);
        self.agreement.tick(self.now);
        while let Some(batch) = self.agreement.batch(self.now) {
            let well = perform(&mut self.disk, &batch).is_ok();
            self.agreement.stored(well, self.now);
        }
        let _saved = self.agreement.take_unsaved();
        let outgoing = self.agreement.take_outgoing();
        outgoing
            .into_iter()
            .filter_map(|(to, word)| matches!(to, Destination::Connection(_)).then_some(word))
            .collect()
    }

    fn operator_asks(&mut self, operator_request: OperatorRequest) -> Option<OperatorReply> {
        self.agreement.heard(OPERATOR, None, PeerMessage::OperatorRequest(operator_request), self.now);
        let outgoing = self.turn().into_iter().chain(self.turn());
        outgoing
            .into_iter()
            .find_map(|word| if let PeerMessage::OperatorReply(reply) = word { Some(reply) } else { None })
    }

    /// A host asks for a lease, with a copy of the present state under some index, or with none (0).
    fn host_asks(&mut self, name: &str, seq: u64, index: u64) -> LeaseResponse {
        let copy = self.agreement.replicated_state().filter(|_| index > 0);
        let (stage, digest) =
            copy.map_or((0, 0), |(_, replicated_state)| (replicated_state.stage, replicated_state.digest()));
        self.host_asks_with(name, seq, index, (stage, digest))
    }

    /// The same, with a copy of some stage and digest.
    fn host_asks_with(
        &mut self,
        name: &str,
        seq: u64,
        index: u64,
        (stage, digest): (u64, u64),
    ) -> LeaseResponse {
        let request = LeaseRequest {
            name: name.to_owned(),
            epoch: 1,
            seq,
            index,
            stage,
            digest,
            cannot: None,
            leaves: false,
        };
        self.agreement.heard(HOST, Some(name), PeerMessage::LeaseRequest(1, request), self.now);
        let outgoing = self.turn().into_iter();
        let mut responses = outgoing.filter_map(|word| match word {
            PeerMessage::LeaseResponse(response) => Some(*response),
            _ => None,
        });
        responses.next().expect("the leader responds")
    }
}

#[test]
fn beyond_members_most_a_host_is_refused_without_a_log_entry_until_one_is_forgotten() {
    let mut replica = OneKeeper::leading();
    let host = |number: usize| format!("host-{number:04}");
    while replica.members() == 0 {
        replica.turn();
    }
    for number in replica.members()..MAX_MEMBERS {
        replica.host_asks(&host(number), 1, 0);
    }
    assert_eq!(replica.members(), MAX_MEMBERS);
    let full_at = replica.status().last;
    let beyond = [host(MAX_MEMBERS), host(MAX_MEMBERS + 1)];
    for name in &beyond {
        let first = replica.host_asks(name, 1, 0);
        assert_eq!(first.lease, None, "{name} stays on the floor");
        let (index, _) = first.replicated_state.expect("it is told the state once");
        for seq in 2..=20 {
            let response = replica.host_asks(name, seq, index);
            assert_eq!((response.lease, response.replicated_state), (None, None), "{name}, request {seq}");
        }
    }
    assert_eq!(replica.status().last, full_at, "no entry was written for them");
    assert_eq!(replica.members(), MAX_MEMBERS);

    // Once there is room the first that asks joins, and has a lease at its next request.
    assert_eq!(replica.operator_asks(OperatorRequest::Forget(host(1))), Some(OperatorReply::Committed(0)));
    let leases = |replica: &mut OneKeeper, name| [21, 22].map(|seq| replica.host_asks(name, seq, 0).lease);
    assert_eq!(leases(&mut replica, &beyond[0]), [None, Some(LEASE.0)]);
    assert_eq!(leases(&mut replica, &beyond[1]), [None, None]);
    assert_eq!(replica.status().last, full_at + 2, "one was forgotten, one joined");
}

/// A snapshot does not tell which entry changed the versions last: a leader that starts from one tells a member the
/// state once more, and the index that the member is told never goes back. No change is kept from it.
#[test]
fn indices_of_the_state_stay_monotonic_over_a_restart_from_a_snapshot() {
    let mut replica = OneKeeper::leading();
    let state = |replica: &mut OneKeeper, seq, index| replica.host_asks("host", seq, index).replicated_state;
    let (first, _) = state(&mut replica, 1, 0).expect("it has none");
    for number in 0..100 {
        replica.host_asks(&format!("host-{number:04}"), 1, 0);
        let stale = replica.operator_asks(OperatorRequest::Propose(0, Version::default()));
        assert!(matches!(stale, Some(OperatorReply::Refused(_))), "{stale:?}");
    }
    assert_eq!(state(&mut replica, 2, first), None, "nothing that it acts on has changed");

    replica.restart();
    let (from_snapshot, _) = state(&mut replica, 3, first).expect("it may have an older one");
    assert!(from_snapshot > first, "the snapshot took the place of entries: {from_snapshot}, {first}");
    assert_eq!(state(&mut replica, 4, from_snapshot), None);
    // A member may know a higher index, of a leader that started from a later snapshot.
    let newest = replica.status().committed;
    assert_eq!(state(&mut replica, 5, newest), None);

    // A new leader takes no proposals until leases of the one before have ended.
    let leases_end = replica.now.after(Micros(2 * LEASE.0));
    while replica.now < leases_end {
        replica.turn();
    }
    let proposed = replica.operator_asks(OperatorRequest::Propose(1, Version::default()));
    assert_eq!(proposed, Some(OperatorReply::Committed(2)));
    for (seq, index) in [(6, first), (7, from_snapshot), (8, newest)] {
        let (later, changed) = state(&mut replica, seq, index).expect("the versions have changed");
        assert!(later > newest);
        assert_eq!(changed.last, 2, "version 2 was proposed");
    }
}

/// A member's copy may be of an agreement that its keepers lost, under a higher index than that of the versions now:
/// it is sent the state with the newest entry's index, as soon as that is higher.
#[test]
fn a_member_with_a_copy_of_another_agreement_is_sent_the_state_once_the_log_is_longer() {
    let mut replica = OneKeeper::leading();
    let of_other_agreement = replica.status().committed + 50;
    let another = (7, 7);
    let mut seq = 0;
    let sent = loop {
        seq += 1;
        let newest = replica.status().committed;
        let response = replica.host_asks_with("host", seq, of_other_agreement, another);
        match response.replicated_state {
            Some(state) => break state,
            None => assert!(newest <= of_other_agreement, "entry {newest} is newer"),
        }
        replica.host_asks(&format!("host-{seq:04}"), 1, 0);
    };
    assert_eq!(sent.0, of_other_agreement + 1);
    assert_eq!(replica.host_asks("host", seq + 1, sent.0).replicated_state, None, "it has the state now");
}

/// Versions and names that often repeat, so that many changes are refused.
fn some_change() -> impl Strategy<Value = Change> {
    let number = || 0..5u64;
    let name = || proptest::sample::select(&["i1", "i2", "i3"][..]).prop_map(str::to_owned);
    let (by, at) = ("operator".to_owned(), 0);
    prop_oneof![
        number().prop_map(|base| Change::Propose { base, version: Version::default() }),
        number().prop_map(move |number| Change::Withdraw { number, by: by.clone(), at }),
        number().prop_map(move |number| Change::InForce { number, why: String::new(), at }),
        name().prop_map(Change::Join),
        name().prop_map(Change::Forget),
    ]
}

proptest! {
    /// By the stage and the number of members keepers tell whether an entry changed anything, and what.
    #[test]
    fn each_change_of_versions_begins_a_stage_and_each_of_the_list_changes_its_length(
        changes in proptest::collection::vec(some_change(), 1..60),
    ) {
        let mut state = ReplicatedState::default();
        for change in changes {
            let before = state.clone();
            let outcome = state.apply(change.clone());
            let without_members = |state: &ReplicatedState| ReplicatedState { members: Default::default(), ..state.clone() };
            let versions_changed = without_members(&before) != without_members(&state);
            let members_changed = before.members != state.members;
            prop_assert_eq!(versions_changed, state.stage > before.stage, "{:?}", &change);
            prop_assert_eq!(members_changed, state.members.len() != before.members.len(), "{:?}", &change);
            prop_assert!(outcome.is_ok() || state == before, "{:?}", &change);
        }
    }
}
