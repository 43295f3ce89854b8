//! The bound on the number of members, at its value in service, and which entries change the replicated
//! state.

use flaxstand_consensus::lease_manager::{LeaseRequest, LeaseResponse};
use flaxstand_consensus::participant::{
    Config, Destination, OperatorReply, OperatorRequest, Participant, PeerMessage, StoredReplica,
};
use flaxstand_consensus::replicated_state::{Change, MAX_MEMBERS, ReplicatedState, Version};
use flaxstand_consensus::rules::Rules;
use flaxstand_consensus::{InjectedFault, Micros, RecoveredState, ReplicaRole, Status, recover};
use flaxstand_storage::faulty::FaultyDisk;
use flaxstand_storage::{Storage as _, perform};
use proptest::prelude::*;

/// Connections of an operator and of a host.
const OPERATOR: u64 = 1;
const HOST: u64 = 2;
/// Virtual time that passes at each turn.
const TURN: Micros = Micros(1_000);
const LEASE: Micros = Micros(3_000_000);

/// An agreement with one replica, whose disk takes no time.
struct SingleReplica {
    agreement: Participant,
    disk: FaultyDisk,
    now: Micros,
}

impl SingleReplica {
    /// One that leads, with a first version in force.
    fn leading() -> SingleReplica {
        let now = Micros(1_000);
        let agreement =
            Participant::new(SingleReplica::config(1), Some(StoredReplica::default()), None, 0, now);
        let mut replica = SingleReplica { agreement, disk: FaultyDisk::new(1), now };
        replica.lead();
        let agreed = replica.operator_asks(OperatorRequest::Propose { base: 0, version: Version::default() });
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
            election_timeout: Micros(500_000),
            seed: 1,
            local_rules: Rules::default(),
            injected_fault: InjectedFault::None,
        }
    }

    /// Its process ends, and another leads with what is on its disk.
    fn restart(&mut self) {
        let RecoveredState::Intact(state) = recover(&mut self.disk).expect("in memory") else {
            panic!("its disk holds a state");
        };
        let segments = self.disk.segments().expect("in memory");
        let stored = StoredReplica { state: Some(*state), segments };
        self.agreement = Participant::new(SingleReplica::config(2), Some(stored), None, 0, self.now);
        self.lead();
    }

    /// Goes on until it leads and has committed what it knows of.
    fn lead(&mut self) {
        let end = self.now.after(Micros(60_000_000));
        let is_ready = |status: &Status| {
            let has_committed_all = status.commit_index > 0 && status.commit_index == status.last_index;
            status.role == ReplicaRole::Leader && has_committed_all
        };
        while !is_ready(&self.status()) {
            assert!(self.now < end, "it does not lead: {:?}", self.status());
            self.turn();
        }
    }

    fn status(&self) -> Status {
        self.agreement.replica_status(self.now).expect("it has a replica")
    }

    fn members(&self) -> usize {
        self.agreement.replicated_state().map_or(0, |state| state.members.len())
    }

    /// A turn. Returns the messages to operators and hosts.
    fn turn(&mut self) -> Vec<PeerMessage> {
        self.now = self.now.after(TURN);
        self.agreement.tick(self.now);
        while let Some(batch) = self.agreement.next_batch(self.now) {
            let succeeded = perform(&mut self.disk, &batch).is_ok();
            self.agreement.batch_stored(succeeded, self.now);
        }
        let _saved = self.agreement.take_unsaved();
        let outgoing = self.agreement.take_outgoing();
        outgoing
            .into_iter()
            .filter_map(|(to, message)| matches!(to, Destination::Connection(_)).then_some(message))
            .collect()
    }

    fn operator_asks(&mut self, operator_request: OperatorRequest) -> Option<OperatorReply> {
        self.agreement.receive(OPERATOR, None, PeerMessage::OperatorRequest(operator_request), self.now);
        let outgoing = self.turn().into_iter().chain(self.turn());
        outgoing.into_iter().find_map(|message| {
            if let PeerMessage::OperatorReply(reply) = message { Some(reply) } else { None }
        })
    }

    /// A host asks for a lease, with a copy of the present state under some index, or with none (0).
    fn host_asks(&mut self, name: &str, seq: u64, index: u64) -> LeaseResponse {
        let copy = self.agreement.replicated_state().filter(|_| index > 0);
        let (stage, digest) = copy.map_or((0, 0), |state| (state.stage, state.digest()));
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
            state_index: index,
            stage,
            digest,
            unable_reason: None,
            releases_lease: false,
        };
        self.agreement.receive(HOST, Some(name), PeerMessage::LeaseRequest { hops: 1, request }, self.now);
        let outgoing = self.turn().into_iter();
        let mut responses = outgoing.filter_map(|message| match message {
            PeerMessage::LeaseResponse(response) => Some(*response),
            _ => None,
        });
        responses.next().expect("the leader responds")
    }
}

#[test]
fn beyond_max_members_a_host_is_refused_without_a_log_entry_until_one_is_forgotten() {
    let mut replica = SingleReplica::leading();
    let host = |number: usize| format!("host-{number:04}");
    while replica.members() == 0 {
        replica.turn();
    }
    for number in replica.members()..MAX_MEMBERS {
        replica.host_asks(&host(number), 1, 0);
    }
    assert_eq!(replica.members(), MAX_MEMBERS);
    let full_at = replica.status().last_index;
    let beyond = [host(MAX_MEMBERS), host(MAX_MEMBERS + 1)];
    for name in &beyond {
        let first = replica.host_asks(name, 1, 0);
        assert_eq!(first.lease, None, "{name} stays on the fallback rules");
        let index = first.newer_state.expect("it is sent the state once").index;
        for seq in 2..=20 {
            let response = replica.host_asks(name, seq, index);
            assert_eq!((response.lease, response.newer_state), (None, None), "{name}, request {seq}");
        }
    }
    assert_eq!(replica.status().last_index, full_at, "no entry was written for them");
    assert_eq!(replica.members(), MAX_MEMBERS);

    // Once there is capacity the first that asks joins, and has a lease at its next request.
    assert_eq!(replica.operator_asks(OperatorRequest::Forget(host(1))), Some(OperatorReply::Committed(0)));
    let leases =
        |replica: &mut SingleReplica, name| [21, 22].map(|seq| replica.host_asks(name, seq, 0).lease);
    assert_eq!(leases(&mut replica, &beyond[0]), [None, Some(LEASE.0)]);
    assert_eq!(leases(&mut replica, &beyond[1]), [None, None]);
    assert_eq!(replica.status().last_index, full_at + 2, "one was forgotten, one joined");
}

/// A snapshot does not tell which entry changed the versions last: a leader that starts from one sends a
/// member the state once more, and the index that the member is sent never goes back. No change is kept from
/// it.
#[test]
fn indices_of_the_state_stay_monotonic_over_a_restart_from_a_snapshot() {
    let mut replica = SingleReplica::leading();
    let state = |replica: &mut SingleReplica, seq, index| replica.host_asks("host", seq, index).newer_state;
    let first = state(&mut replica, 1, 0).expect("it has none").index;
    for number in 0..100 {
        replica.host_asks(&format!("host-{number:04}"), 1, 0);
        let stale = replica.operator_asks(OperatorRequest::Propose { base: 0, version: Version::default() });
        assert!(matches!(stale, Some(OperatorReply::Refused(_))), "{stale:?}");
    }
    assert_eq!(state(&mut replica, 2, first), None, "nothing that it acts on has changed");

    replica.restart();
    let from_snapshot = state(&mut replica, 3, first).expect("it may have an older one").index;
    assert!(from_snapshot > first, "the snapshot took the place of entries: {from_snapshot}, {first}");
    assert_eq!(state(&mut replica, 4, from_snapshot), None);
    // A member may know a higher index, of a leader that started from a later snapshot.
    let newest = replica.status().commit_index;
    assert_eq!(state(&mut replica, 5, newest), None);

    // A new leader takes no proposals until leases of the one before have ended.
    let leases_end = replica.now.after(Micros(2 * LEASE.0));
    while replica.now < leases_end {
        replica.turn();
    }
    let proposed = replica.operator_asks(OperatorRequest::Propose { base: 1, version: Version::default() });
    assert_eq!(proposed, Some(OperatorReply::Committed(2)));
    for (seq, index) in [(6, first), (7, from_snapshot), (8, newest)] {
        let changed = state(&mut replica, seq, index).expect("the versions have changed");
        assert!(changed.index > newest);
        assert_eq!(changed.state.last_number, 2, "version 2 was proposed");
    }
}

/// A member's copy may be of a cluster that lost its disks, under a higher index than that of the versions
/// now: it is sent the state with the newest entry's index, as soon as that is higher.
#[test]
fn a_member_with_a_copy_of_another_cluster_is_sent_the_state_once_the_log_is_longer() {
    let mut replica = SingleReplica::leading();
    let of_other_cluster = replica.status().commit_index + 50;
    let another_state = (7, 7);
    let mut seq = 0;
    let sent = loop {
        seq += 1;
        let newest = replica.status().commit_index;
        let response = replica.host_asks_with("host", seq, of_other_cluster, another_state);
        match response.newer_state {
            Some(state) => break state,
            None => assert!(newest <= of_other_cluster, "entry {newest} is newer"),
        }
        replica.host_asks(&format!("host-{seq:04}"), 1, 0);
    };
    assert_eq!(sent.index, of_other_cluster + 1);
    assert_eq!(replica.host_asks("host", seq + 1, sent.index).newer_state, None, "it has the state now");
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
    /// By the stage and the number of members replicas tell whether an entry changed anything, and what.
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
