//! The bound on the number of members, at its value in service, and which entries change the replicated state.

use flaxstand_consensus::agreement::{Agreement, Config, Found, Reply, To, Wish, Word};
use flaxstand_consensus::book::{Book, Change, MEMBERS_MOST, Version};
use flaxstand_consensus::lease_manager::{LeaseRequest, LeaseResponse};
use flaxstand_consensus::rules::Rules;
use flaxstand_consensus::{Micros, Planted, Recovered, Standing, Status, recover};
use flaxstand_storage::faulty::Faulty;
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
    agreement: Agreement,
    disk: Faulty,
    now: Micros,
}

impl OneKeeper {
    /// One that leads, with a first version in force.
    fn leading() -> OneKeeper {
        let now = Micros(1_000);
        let agreement = Agreement::new(OneKeeper::config(1), Some(Found::default()), None, 0, now);
        let mut keeper = OneKeeper { agreement, disk: Faulty::new(1), now };
        keeper.lead();
        let agreed = keeper.operator_asks(Wish::Propose(0, Version::default()));
        assert_eq!(agreed, Some(Reply::Agreed(1)));
        keeper
    }

    fn config(incarnation: u64) -> Config {
        Config {
            name: "keeper".into(),
            incarnation,
            keepers: vec!["keeper".into()],
            neighbours: Vec::new(),
            lease: LEASE,
            clock_error: 0.001,
            election: Micros(500_000),
            seed: 1,
            started_with: Rules::default(),
            planted: Planted::None,
        }
    }

    /// Its process ends, and another leads with what is on its disk.
    fn restart(&mut self) {
        let Recovered::State(state) = recover(&mut self.disk).expect("in memory") else {
            panic!("its disk holds a state");
        };
        let segments = self.disk.segments().expect("in memory");
        let found = Found { state: Some(*state), segments };
        self.agreement = Agreement::new(OneKeeper::config(2), Some(found), None, 0, self.now);
        self.lead();
    }

    /// Goes on until it leads and has committed what it knows of.
    fn lead(&mut self) {
        let end = self.now.after(Micros(60_000_000));
        let ready = |status: &Status| {
            status.standing == Standing::Leader && status.committed > 0 && status.committed == status.last
        };
        while !ready(&self.status()) {
            assert!(self.now < end, "it does not lead: {:?}", self.status());
            self.turn();
        }
    }

    fn status(&self) -> Status {
        self.agreement.keeper(self.now).expect("it is a keeper")
    }

    fn members(&self) -> usize {
        self.agreement.book().map_or(0, |(_, book)| book.members.len())
    }

    /// A turn. Returns what was said back to operators and hosts.
    fn turn(&mut self) -> Vec<Word> {
        self.now = self.now.after(TURN);
        self.agreement.tick(self.now);
        while let Some(batch) = self.agreement.batch(self.now) {
            let well = perform(&mut self.disk, &batch).is_ok();
            self.agreement.stored(well, self.now);
        }
        let _saved = self.agreement.take_unsaved();
        let words = self.agreement.take_words();
        words.into_iter().filter_map(|(to, word)| matches!(to, To::Back(_)).then_some(word)).collect()
    }

    fn operator_asks(&mut self, wish: Wish) -> Option<Reply> {
        self.agreement.heard(OPERATOR, None, Word::Wish(wish), self.now);
        let words = self.turn().into_iter().chain(self.turn());
        words.into_iter().find_map(|word| if let Word::Reply(reply) = word { Some(reply) } else { None })
    }

    /// A host asks for a lease, with a copy of the present state under some index, or with none (0).
    fn host_asks(&mut self, name: &str, seq: u64, index: u64) -> LeaseResponse {
        let copy = self.agreement.book().filter(|_| index > 0);
        let (stage, digest) = copy.map_or((0, 0), |(_, book)| (book.stage, book.digest()));
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
            incarnation: 1,
            seq,
            index,
            stage,
            digest,
            cannot: None,
            leaves: false,
        };
        self.agreement.heard(HOST, Some(name), Word::LeaseRequest(1, request), self.now);
        let words = self.turn().into_iter();
        let mut responses = words.filter_map(|word| match word {
            Word::LeaseResponse(response) => Some(*response),
            _ => None,
        });
        responses.next().expect("the leader responds")
    }
}

#[test]
fn beyond_members_most_a_host_is_refused_without_a_log_entry_until_one_is_forgotten() {
    let mut keeper = OneKeeper::leading();
    let host = |number: usize| format!("host-{number:04}");
    while keeper.members() == 0 {
        keeper.turn();
    }
    for number in keeper.members()..MEMBERS_MOST {
        keeper.host_asks(&host(number), 1, 0);
    }
    assert_eq!(keeper.members(), MEMBERS_MOST);
    let full_at = keeper.status().last;
    let beyond = [host(MEMBERS_MOST), host(MEMBERS_MOST + 1)];
    for name in &beyond {
        let first = keeper.host_asks(name, 1, 0);
        assert_eq!(first.lease, None, "{name} stays on the floor");
        let (index, _) = first.book.expect("it is told the state once");
        for seq in 2..=20 {
            let response = keeper.host_asks(name, seq, index);
            assert_eq!((response.lease, response.book), (None, None), "{name}, request {seq}");
        }
    }
    assert_eq!(keeper.status().last, full_at, "no entry was written for them");
    assert_eq!(keeper.members(), MEMBERS_MOST);

    // Once there is room the first that asks joins, and has a lease at its next request.
    assert_eq!(keeper.operator_asks(Wish::Forget(host(1))), Some(Reply::Agreed(0)));
    let leases = |keeper: &mut OneKeeper, name| [21, 22].map(|seq| keeper.host_asks(name, seq, 0).lease);
    assert_eq!(leases(&mut keeper, &beyond[0]), [None, Some(LEASE.0)]);
    assert_eq!(leases(&mut keeper, &beyond[1]), [None, None]);
    assert_eq!(keeper.status().last, full_at + 2, "one was forgotten, one joined");
}

/// A snapshot does not tell which entry changed the versions last: a leader that starts from one tells a member the
/// state once more, and the index that the member is told never goes back. No change is kept from it.
#[test]
fn indices_of_the_state_stay_monotonic_over_a_restart_from_a_snapshot() {
    let mut keeper = OneKeeper::leading();
    let state = |keeper: &mut OneKeeper, seq, index| keeper.host_asks("host", seq, index).book;
    let (first, _) = state(&mut keeper, 1, 0).expect("it has none");
    for number in 0..100 {
        keeper.host_asks(&format!("host-{number:04}"), 1, 0);
        let stale = keeper.operator_asks(Wish::Propose(0, Version::default()));
        assert!(matches!(stale, Some(Reply::Refused(_))), "{stale:?}");
    }
    assert_eq!(state(&mut keeper, 2, first), None, "nothing that it acts on has changed");

    keeper.restart();
    let (from_snapshot, _) = state(&mut keeper, 3, first).expect("it may have an older one");
    assert!(from_snapshot > first, "the snapshot took the place of entries: {from_snapshot}, {first}");
    assert_eq!(state(&mut keeper, 4, from_snapshot), None);
    // A member may know a higher index, of a leader that started from a later snapshot.
    let newest = keeper.status().committed;
    assert_eq!(state(&mut keeper, 5, newest), None);

    // A new leader takes no proposals until leases of the one before have ended.
    let leases_end = keeper.now.after(Micros(2 * LEASE.0));
    while keeper.now < leases_end {
        keeper.turn();
    }
    let proposed = keeper.operator_asks(Wish::Propose(1, Version::default()));
    assert_eq!(proposed, Some(Reply::Agreed(2)));
    for (seq, index) in [(6, first), (7, from_snapshot), (8, newest)] {
        let (later, changed) = state(&mut keeper, seq, index).expect("the versions have changed");
        assert!(later > newest);
        assert_eq!(changed.last, 2, "version 2 was proposed");
    }
}

/// A member's copy may be of an agreement that its keepers lost, under a higher index than that of the versions now:
/// it is sent the state with the newest entry's index, as soon as that is higher.
#[test]
fn a_member_with_a_copy_of_another_agreement_is_sent_the_state_once_the_log_is_longer() {
    let mut keeper = OneKeeper::leading();
    let of_other_agreement = keeper.status().committed + 50;
    let another = (7, 7);
    let mut seq = 0;
    let sent = loop {
        seq += 1;
        let newest = keeper.status().committed;
        let response = keeper.host_asks_with("host", seq, of_other_agreement, another);
        match response.book {
            Some(state) => break state,
            None => assert!(newest <= of_other_agreement, "entry {newest} is newer"),
        }
        keeper.host_asks(&format!("host-{seq:04}"), 1, 0);
    };
    assert_eq!(sent.0, of_other_agreement + 1);
    assert_eq!(keeper.host_asks("host", seq + 1, sent.0).book, None, "it has the state now");
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
        let mut state = Book::default();
        for change in changes {
            let before = state.clone();
            let outcome = state.apply(change.clone());
            let without_members = |state: &Book| Book { members: Default::default(), ..state.clone() };
            let versions_changed = without_members(&before) != without_members(&state);
            let members_changed = before.members != state.members;
            prop_assert_eq!(versions_changed, state.stage > before.stage, "{:?}", &change);
            prop_assert_eq!(members_changed, state.members.len() != before.members.len(), "{:?}", &change);
            prop_assert!(outcome.is_ok() || state == before, "{:?}", &change);
        }
    }
}
