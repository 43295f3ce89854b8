//! Admission of members up to the production `MAX_MEMBERS`, and which log entries change the replicated state
//! that members are sent.

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

/// Connection ids of the operator and of the host.
const OPERATOR: u64 = 1;
const HOST: u64 = 2;
/// Virtual time per turn.
const TURN: Micros = Micros(1_000);
const LEASE: Micros = Micros(3_000_000);

/// A participant with the only replica of its cluster, on virtual time. Disk writes complete at once.
struct SingleReplica {
    participant: Participant,
    disk: FaultyDisk,
    now: Micros,
}

impl SingleReplica {
    /// A replica that is the leader, with version 1 in force.
    fn new_leader() -> SingleReplica {
        let now = Micros(1_000);
        let participant =
            Participant::new(SingleReplica::config(1), Some(StoredReplica::default()), None, 0, now);
        let mut replica = SingleReplica { participant, disk: FaultyDisk::new(1), now };
        replica.run_until_leader();
        let reply =
            replica.send_operator_request(OperatorRequest::Propose { base: 0, version: Version::default() });
        assert_eq!(reply, Some(OperatorReply::Committed(1)));
        replica
    }

    fn config(epoch: u64) -> Config {
        Config {
            name: "initiator".into(),
            epoch,
            voters: vec!["initiator".into()],
            neighbours: Vec::new(),
            lease: LEASE,
            clock_error: 0.001,
            election_timeout: Micros(500_000),
            seed: 1,
            local_rules: Rules::default(),
            injected_fault: InjectedFault::None,
        }
    }

    /// Restarts the process from its durable state, then runs until it is the leader again.
    fn restart(&mut self) {
        let RecoveredState::Intact(state) = recover(&mut self.disk).expect("in memory") else {
            panic!("the disk holds no intact state");
        };
        let segments = self.disk.segments().expect("in memory");
        let stored = StoredReplica { state: Some(*state), segments };
        self.participant = Participant::new(SingleReplica::config(2), Some(stored), None, 0, self.now);
        self.run_until_leader();
    }

    /// Runs until the replica is the leader and has committed its log.
    fn run_until_leader(&mut self) {
        let end = self.now.after(Micros(60_000_000));
        let is_ready = |status: &Status| {
            let has_committed_all = status.commit_index > 0 && status.commit_index == status.last_index;
            status.role == ReplicaRole::Leader && has_committed_all
        };
        while !is_ready(&self.status()) {
            assert!(self.now < end, "not the leader with a committed log within 60 s: {:?}", self.status());
            self.turn();
        }
    }

    fn status(&self) -> Status {
        self.participant.replica_status(self.now).expect("the participant has a replica")
    }

    fn members(&self) -> usize {
        self.participant.replicated_state().map_or(0, |state| state.members.len())
    }

    /// Runs one turn. Returns the messages sent on connections, that is to operators and hosts.
    fn turn(&mut self) -> Vec<PeerMessage> {
        self.now = self.now.after(TURN);
        self.participant.tick(self.now);
        while let Some(batch) = self.participant.next_batch(self.now) {
            let succeeded = perform(&mut self.disk, &batch).is_ok();
            self.participant.batch_stored(succeeded, self.now);
        }
        let _saved = self.participant.take_unsaved();
        let outgoing = self.participant.take_outgoing();
        outgoing
            .into_iter()
            .filter_map(|(to, message)| matches!(to, Destination::Connection(_)).then_some(message))
            .collect()
    }

    fn send_operator_request(&mut self, operator_request: OperatorRequest) -> Option<OperatorReply> {
        self.participant.receive(OPERATOR, None, PeerMessage::OperatorRequest(operator_request), self.now);
        let outgoing = self.turn().into_iter().chain(self.turn());
        outgoing.into_iter().find_map(|message| {
            if let PeerMessage::OperatorReply(reply) = message { Some(reply) } else { None }
        })
    }

    /// Sends a host's lease request and returns the response. The host has a copy of the current state under
    /// `index`, or no copy if `index` is 0.
    fn request_lease(&mut self, name: &str, seq: u64, index: u64) -> LeaseResponse {
        let copy = self.participant.replicated_state().filter(|_| index > 0);
        let (stage, digest) = copy.map_or((0, 0), |state| (state.stage, state.digest()));
        self.request_lease_with(name, seq, index, (stage, digest))
    }

    /// Like `request_lease`, with a copy of the given stage and digest.
    fn request_lease_with(
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
        self.participant.receive(HOST, Some(name), PeerMessage::LeaseRequest { hops: 1, request }, self.now);
        let outgoing = self.turn().into_iter();
        let mut responses = outgoing.filter_map(|message| match message {
            PeerMessage::LeaseResponse(response) => Some(*response),
            _ => None,
        });
        responses.next().expect("the leader responds")
    }
}

#[test]
fn a_host_beyond_max_members_is_rejected_without_a_log_entry_until_a_member_is_removed() {
    let mut replica = SingleReplica::new_leader();
    let host = |number: usize| format!("host-{number:04}");
    while replica.members() == 0 {
        replica.turn();
    }
    for number in replica.members()..MAX_MEMBERS {
        replica.request_lease(&host(number), 1, 0);
    }
    assert_eq!(replica.members(), MAX_MEMBERS);
    let full_at = replica.status().last_index;
    let beyond = [host(MAX_MEMBERS), host(MAX_MEMBERS + 1)];
    for name in &beyond {
        let first = replica.request_lease(name, 1, 0);
        assert_eq!(first.lease, None, "{name} must stay on the fallback rules");
        let index = first.newer_state.expect("the first response carries the state").index;
        for seq in 2..=20 {
            let response = replica.request_lease(name, seq, index);
            assert_eq!((response.lease, response.newer_state), (None, None), "{name}, request {seq}");
        }
    }
    assert_eq!(replica.status().last_index, full_at, "lease requests beyond the bound wrote log entries");
    assert_eq!(replica.members(), MAX_MEMBERS);

    // Once there is capacity, the first host that sends a request joins and gets a lease at its next request.
    assert_eq!(
        replica.send_operator_request(OperatorRequest::Forget(host(1))),
        Some(OperatorReply::Committed(0))
    );
    let leases =
        |replica: &mut SingleReplica, name| [21, 22].map(|seq| replica.request_lease(name, seq, 0).lease);
    assert_eq!(leases(&mut replica, &beyond[0]), [None, Some(LEASE.0)]);
    assert_eq!(leases(&mut replica, &beyond[1]), [None, None]);
    assert_eq!(
        replica.status().last_index,
        full_at + 2,
        "expected one entry for the removed member and one for the new one"
    );
}

/// A snapshot does not record which entry last changed the versions. A leader that starts from a snapshot
/// therefore sends each member the state once more. Guards against sending a member a lower index than
/// before, and against withholding a change from a member that has a higher index.
#[test]
fn indices_of_the_state_stay_monotonic_over_a_restart_from_a_snapshot() {
    let mut replica = SingleReplica::new_leader();
    let state =
        |replica: &mut SingleReplica, seq, index| replica.request_lease("host", seq, index).newer_state;
    let first = state(&mut replica, 1, 0).expect("a host without a copy is sent the state").index;
    for number in 0..100 {
        replica.request_lease(&format!("host-{number:04}"), 1, 0);
        let stale =
            replica.send_operator_request(OperatorRequest::Propose { base: 0, version: Version::default() });
        assert!(matches!(stale, Some(OperatorReply::Refused(_))), "{stale:?}");
    }
    assert_eq!(state(&mut replica, 2, first), None, "the state was sent again although no version changed");

    replica.restart();
    let from_snapshot =
        state(&mut replica, 3, first).expect("after a restart the state is sent once more").index;
    assert!(
        from_snapshot > first,
        "index {from_snapshot} after the restart is not above index {first} before it"
    );
    assert_eq!(state(&mut replica, 4, from_snapshot), None);
    // A member may have a higher index from a leader that started from a later snapshot.
    let newest = replica.status().commit_index;
    assert_eq!(state(&mut replica, 5, newest), None);

    // A new leader accepts no proposals until the leases of its predecessor have expired.
    let leases_expire_at = replica.now.after(Micros(2 * LEASE.0));
    while replica.now < leases_expire_at {
        replica.turn();
    }
    let reply =
        replica.send_operator_request(OperatorRequest::Propose { base: 1, version: Version::default() });
    assert_eq!(reply, Some(OperatorReply::Committed(2)));
    for (seq, index) in [(6, first), (7, from_snapshot), (8, newest)] {
        let changed = state(&mut replica, seq, index).expect("the versions have changed");
        assert!(changed.index > newest);
        assert_eq!(changed.state.last_number, 2, "the state sent lacks version 2");
    }
}

/// A member's copy may come from an earlier cluster whose disks were lost, with an index above the one at
/// which the versions last changed in this cluster. The leader sends the state, under the index of its newest
/// entry, as soon as that index exceeds the member's.
#[test]
fn a_member_with_a_copy_of_another_cluster_is_sent_the_state_once_the_log_is_longer() {
    let mut replica = SingleReplica::new_leader();
    let other_cluster_index = replica.status().commit_index + 50;
    let other_cluster_state = (7, 7);
    let mut seq = 0;
    let sent = loop {
        seq += 1;
        let newest = replica.status().commit_index;
        let response = replica.request_lease_with("host", seq, other_cluster_index, other_cluster_state);
        match response.newer_state {
            Some(state) => break state,
            None => assert!(
                newest <= other_cluster_index,
                "state not sent: entry {newest} is above the member's index {other_cluster_index}"
            ),
        }
        replica.request_lease(&format!("host-{seq:04}"), 1, 0);
    };
    assert_eq!(sent.index, other_cluster_index + 1);
    assert_eq!(
        replica.request_lease("host", seq + 1, sent.index).newer_state,
        None,
        "the state was sent twice"
    );
}

/// Changes with few distinct version numbers and names, so that many of them are rejected.
fn any_change() -> impl Strategy<Value = Change> {
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
    /// Replicas compare the stage and the number of members to detect whether an entry changed the versions,
    /// the member list or nothing.
    #[test]
    fn a_version_change_increments_the_stage_and_a_member_change_alters_the_member_count(
        changes in proptest::collection::vec(any_change(), 1..60),
    ) {
        let mut state = ReplicatedState::default();
        for change in changes {
            let before = state.clone();
            let outcome = state.apply(change.clone());
            let without_members = |state: &ReplicatedState| {
                ReplicatedState { members: Default::default(), ..state.clone() }
            };
            let versions_changed = without_members(&before) != without_members(&state);
            let members_changed = before.members != state.members;
            prop_assert_eq!(versions_changed, state.stage > before.stage, "{:?}", &change);
            prop_assert_eq!(members_changed, state.members.len() != before.members.len(), "{:?}", &change);
            prop_assert!(outcome.is_ok() || state == before, "{:?}", &change);
        }
    }
}
