//! The client's core against a scripted initiator on virtual time.

use flaxstand_client::*;
use flaxstand_proto::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn ms(n: u64) -> Micros {
    Micros(n * 1000)
}

fn call(operation: u64, safety: Safety, patience: u64) -> Call {
    Call {
        operation,
        class: 0,
        plan: 0,
        volume_initiators: 1,
        write: true,
        volume: operation % 2,
        extent: Some(operation),
        shard: Some(0),
        at: None,
        units: 1,
        payload: b"seat".to_vec(),
        safety,
        patience: ms(patience),
    }
}

/// A try as the initiator got it.
#[derive(Clone, Copy, Debug)]
struct Got {
    at: Micros,
    id: u64,
    operation: u64,
    volume: u64,
    try_no: u8,
    time_left: u32,
}

/// The client, and an initiator that does as it is told.
struct Desk {
    client: Client,
    now: Micros,
    inbox: Inbox,
    connected: bool,
    /// It takes connections.
    up: bool,
    connects: Vec<Micros>,
    got: Vec<Got>,
    done: BTreeMap<CallId, (Micros, Result<Answer, GaveUp>)>,
    wake: Option<Micros>,
}

impl Desk {
    fn new(config: Config) -> Self {
        Desk {
            client: Client::new(config),
            now: ms(1000),
            inbox: Inbox::default(),
            connected: false,
            up: true,
            connects: Vec::new(),
            got: Vec::new(),
            done: BTreeMap::new(),
            wake: None,
        }
    }

    fn call(&mut self, c: Call) -> CallId {
        let id = self.client.call(c, self.now);
        self.turn();
        id
    }

    fn turn(&mut self) {
        for _ in 0..10 {
            self.wake = self.client.settle(self.now);
            let commands = self.client.take_commands();
            for command in &commands {
                match command {
                    Command::Connect => {
                        self.connects.push(self.now);
                        self.inbox = Inbox::default();
                        self.connected = self.up;
                        if self.up {
                            self.client.connected(self.now);
                            let name = "i";
                            let welcome =
                                Welcome { version: VERSION, role: Role::Initiator, id: 0, epoch: 1, name };
                            self.say(&Frame::Welcome(welcome));
                        } else {
                            self.client.closed(self.now);
                        }
                    }
                    Command::Close => self.connected = false,
                }
            }
            self.drain(usize::MAX);
            if commands.is_empty() {
                break;
            }
        }
        for done in self.client.take_done() {
            let before = self.done.insert(done.call, (self.now, done.result));
            assert!(before.is_none(), "{:?} is over twice", done.call);
        }
    }

    /// The initiator reads so much of what waits.
    fn drain(&mut self, most: usize) {
        if !self.connected {
            return;
        }
        let bytes = self.client.outgoing().to_vec();
        let bytes = &bytes[..bytes.len().min(most)];
        self.client.wrote(bytes.len());
        let (now, got) = (self.now, &mut self.got);
        let fed = self.inbox.feed(bytes, |frame| {
            if let Frame::Submit(s) = frame {
                let Submit { id, operation, volume, try_no, time_left, .. } = s;
                got.push(Got { at: now, id, operation, volume, try_no, time_left });
            }
            true
        });
        fed.expect("the client writes frames");
    }

    fn say(&mut self, frame: &Frame<'_>) {
        if self.connected {
            let mut bytes = Vec::new();
            encode(frame, &mut bytes);
            self.client.received(&bytes, self.now);
        }
    }

    fn refuse(&mut self, id: u64, wait: u64, scope: Scope) {
        let refusal = Refusal::Load;
        self.say(&Frame::Refused { id, wait: ms(wait).0 as u32, refusal, scope });
        self.turn();
    }

    fn lose(&mut self) {
        if std::mem::take(&mut self.connected) {
            self.client.closed(self.now);
            self.turn();
        }
    }

    fn run(&mut self, millis: u64) {
        let until = self.now.after(ms(millis));
        self.turn();
        while let Some(wake) = self.wake.filter(|w| *w <= until) {
            self.now = self.now.max(wake);
            self.turn();
        }
        self.now = until;
        self.turn();
    }

    fn last(&self) -> Got {
        *self.got.last().expect("a try was made")
    }

    fn gave_up(&self, id: CallId) -> GaveUp {
        *self.done[&id].1.as_ref().expect_err("it was given up")
    }
}

fn config() -> Config {
    Config { seed: 7, ..Config::default() }
}

#[test]
fn one_connection_serves_all_calls_and_streamed_parts_come_as_one_answer() {
    let mut d = Desk::new(config());
    let calls: Vec<CallId> = (0..20).map(|n| d.call(call(n, Safety::Once, 500))).collect();
    assert_eq!((d.connects.len(), d.got.len()), (1, 20));
    for got in d.got.clone() {
        d.say(&Frame::Part { id: got.id, payload: b"ab" });
        d.say(&Frame::Served { id: got.id, shard: 3, payload: b"cd" });
    }
    d.turn();
    for id in calls {
        assert_eq!(d.done[&id].1, Ok(Answer::Served { shard: 3, payload: b"abcd".to_vec() }));
    }
    assert_eq!(d.client.under_way(), 0);
}

#[test]
fn no_retry_before_a_refusals_wait_and_retries_are_marked_with_the_time_that_is_left() {
    let mut d = Desk::new(config());
    d.call(call(1, Safety::Once, 2000));
    let first = d.last();
    assert_eq!((first.try_no, first.time_left), (0, 2_000_000));
    d.run(100);
    d.refuse(first.id, 300, Scope::Request);
    d.run(299);
    assert_eq!(d.got.len(), 1);
    d.run(200);
    let second = d.last();
    assert_eq!((second.try_no, second.operation), (1, 1));
    assert!(second.at >= ms(1400));
    assert_eq!(u64::from(second.time_left), ms(3000).since(second.at).0, "the deadline is the call's");
}

#[test]
fn a_wait_for_a_volume_or_for_all_holds_other_calls_too() {
    let mut d = Desk::new(config());
    d.call(call(1, Safety::Repeatable, 5000));
    d.refuse(d.last().id, 400, Scope::Volume);
    d.call(call(3, Safety::Repeatable, 5000));
    d.call(call(2, Safety::Repeatable, 5000));
    d.run(399);
    assert_eq!(d.got.iter().map(|g| g.operation).collect::<Vec<_>>(), [1, 2], "only the other volume's goes");
    d.run(100);
    assert_eq!(d.got.len(), 4);
    d.refuse(d.last().id, 700, Scope::All);
    d.call(call(4, Safety::Repeatable, 5000));
    d.run(699);
    assert_eq!(d.got.len(), 4);
    d.run(200);
    assert_eq!(d.got.len(), 6);
}

#[test]
fn an_unsafe_call_that_may_have_run_is_never_tried_again() {
    let mut d = Desk::new(config());
    let failed = d.call(call(1, Safety::Once, 2000));
    d.say(&Frame::Failed { id: d.last().id });
    d.turn();
    let GaveUp { why, tries, may_have_run, .. } = d.gave_up(failed);
    assert_eq!((why, tries, may_have_run), (Why::MayHaveRun, 1, true));
    let lost = d.call(call(2, Safety::Once, 2000));
    d.lose();
    assert_eq!(d.gave_up(lost).why, Why::MayHaveRun);
    assert!(d.gave_up(lost).to_string().contains("it may have run"), "{}", d.gave_up(lost));
    // A safe one is.
    let safe = d.call(call(3, Safety::Repeatable, 2000));
    d.run(300);
    d.say(&Frame::Failed { id: d.last().id });
    d.run(300);
    assert_eq!((d.last().operation, d.last().try_no), (3, 1));
    d.say(&Frame::Buffered { id: d.last().id });
    d.turn();
    assert_eq!(d.done[&safe].1, Ok(Answer::Buffered));
}

#[test]
fn what_was_not_handed_over_in_full_has_not_run() {
    let mut d = Desk::new(config());
    d.call(call(1, Safety::Repeatable, 2000));
    d.say(&Frame::Served { id: d.last().id, shard: 0, payload: b"" });
    d.turn();
    let id = d.client.call(call(2, Safety::Once, 2000), d.now);
    d.client.settle(d.now);
    let waits = d.client.outgoing().len();
    d.drain(waits - 1);
    d.lose();
    d.run(500);
    assert_eq!(d.got.iter().filter(|g| g.operation == 2).count(), 1, "it goes on the next connection");
    d.say(&Frame::Served { id: d.last().id, shard: 0, payload: b"" });
    d.turn();
    assert!(d.done[&id].1.is_ok());
}

#[test]
fn a_keyed_call_is_repeated_within_its_window_only() {
    let mut d = Desk::new(config());
    let id = d.call(call(1, Safety::Keyed(ms(200)), 5000));
    while !d.done.contains_key(&id) {
        d.say(&Frame::Failed { id: d.last().id });
        d.run(20);
        assert!(d.now < ms(2000), "it ends");
    }
    assert!(d.last().at <= ms(1200), "{:?}", d.last());
    assert_eq!(d.gave_up(id).why, Why::MayHaveRun);
    // Each try tells only what is left of the window.
    assert!(d.got[1..].iter().all(|g| u64::from(g.time_left) <= 200_000), "{:?}", d.got);
}

#[test]
fn retries_keep_to_the_budget_and_giving_up_is_told_at_once() {
    let mut d = Desk::new(config());
    let calls: Vec<CallId> = (0..100).map(|n| d.call(call(n, Safety::Repeatable, 60_000))).collect();
    for _ in 0..40 {
        for got in d.got.clone() {
            d.say(&Frame::Refused { id: got.id, wait: 0, refusal: Refusal::Storm, scope: Scope::Request });
        }
        d.run(50);
    }
    // Three, and a fifth of a hundred.
    assert_eq!(d.got.len(), 123);
    assert!(calls.iter().all(|id| d.gave_up(*id).why == Why::Budget));
    assert!(calls.iter().all(|id| d.gave_up(*id).refused == Some(Refusal::Storm)));
    assert!(d.done.values().all(|(at, _)| *at < ms(4000)), "long before their time is up");
}

#[test]
fn time_is_up_while_the_initiator_is_away_and_too_many_calls_are_told_at_once() {
    let mut d = Desk::new(Config { calls: 2, ..config() });
    d.up = false;
    let a = d.call(call(1, Safety::Once, 300));
    d.call(call(2, Safety::Once, 300));
    let c = d.call(call(3, Safety::Once, 300));
    assert_eq!(d.gave_up(c).why, Why::Calls);
    d.run(299);
    assert!(!d.done.contains_key(&a));
    d.run(1);
    let GaveUp { why, tries, may_have_run, .. } = d.gave_up(a);
    assert_eq!((why, tries, may_have_run), (Why::Time, 0, false));
    let calls = d.connects.len();
    d.run(20_000);
    assert_eq!(d.connects.len(), calls, "with nothing to send nobody is called");
}

#[test]
fn reconnects_of_a_crowd_are_spread_and_back_off() {
    // 243 clients lose their initiator at one moment; it is away for 2 s.
    let mut per_bin = [0u32; 20];
    let mut most = 0;
    for seed in 0..243 {
        let mut d = Desk::new(Config { seed, ..config() });
        d.call(call(1, Safety::Repeatable, 600_000));
        d.up = false;
        d.lose();
        d.run(2000);
        most = most.max(d.connects.len());
        d.up = true;
        let tried = d.connects.len();
        d.run(20_000);
        let back = d.connects[tried].since(ms(3000));
        per_bin[((back.0 / 250_000) as usize).min(19)] += 1;
    }
    assert!(most <= 20, "one called {most} times within 2 s");
    // The first second and a half, in which most come, is no crowd: no quarter of a second has a third of them.
    assert!(per_bin.iter().all(|n| *n <= 81), "{per_bin:?}");
    assert!(per_bin[..8].iter().sum::<u32>() > 200, "within 2 s: {per_bin:?}");
}

#[test]
fn a_turn_that_was_told_is_kept() {
    let mut d = Desk::new(config());
    d.call(call(1, Safety::Repeatable, 60_000));
    d.say(&Frame::Bye { close_reason: CloseReason::Turn, wait: 800_000, text: "many come at once" });
    let at = d.now;
    d.lose();
    d.run(5000);
    assert!(d.connects[1] >= at.after(ms(800)) && d.connects[1] < at.after(ms(900)), "{:?}", d.connects);
}

#[test]
fn what_the_initiator_does_not_take_is_not_sent_again_and_again() {
    let mut d = Desk::new(config());
    let id = d.call(call(1, Safety::Repeatable, 60_000));
    d.say(&Frame::Bye { close_reason: CloseReason::Protocol, wait: 0, text: "class 7 of 3" });
    d.lose();
    assert_eq!(d.gave_up(id).why, Why::Protocol);
    let id = d.call(call(2, Safety::Repeatable, 60_000));
    d.run(1000);
    d.say(&Frame::Bye { close_reason: CloseReason::Version, wait: 0, text: "versions" });
    d.lose();
    assert_eq!(d.gave_up(id).why, Why::Protocol);
    let calls = d.connects.len();
    d.run(10_000);
    assert_eq!(d.connects.len(), calls);
}

#[derive(Clone, Debug)]
enum Step {
    Call(Safety, u64),
    Serve(usize),
    Buffered(usize),
    Fail(usize),
    Refuse(usize, u64, Scope),
    Lose(bool),
    Garbage(Vec<u8>),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let safety = prop_oneof![Just(Safety::Repeatable), Just(Safety::Once), Just(Safety::Keyed(ms(150)))];
    let scope = prop_oneof![Just(Scope::Request), Just(Scope::Volume), Just(Scope::All)];
    let step = prop_oneof![
        6 => (safety, 30..1500u64).prop_map(|(s, p)| Step::Call(s, p)),
        3 => (0..9usize).prop_map(Step::Serve),
        1 => (0..9usize).prop_map(Step::Buffered),
        3 => (0..9usize).prop_map(Step::Fail),
        5 => (0..9usize, 0..400u64, scope).prop_map(|(w, t, s)| Step::Refuse(w, t, s)),
        2 => any::<bool>().prop_map(Step::Lose),
        1 => proptest::collection::vec(any::<u8>(), 1..30).prop_map(Step::Garbage),
        8 => (0..200u64).prop_map(Step::Pass),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the initiator does: each call ends once, within its patience; nothing goes before a wait that
    /// was told; what may have run and must not run again is not sent again.
    #[test]
    fn every_promise_is_kept(steps in steps(), seed in any::<u64>()) {
        let mut d = Desk::new(Config { seed, ..config() });
        let mut begun: BTreeMap<u64, (CallId, Safety, Micros)> = BTreeMap::new();
        let mut may_have_run: BTreeMap<u64, Micros> = BTreeMap::new();
        // What was told: nothing of the operation (0), the volume (1), or all (2), before then.
        let mut told: Vec<(u8, u64, Micros, Micros)> = Vec::new();
        let mut answered = std::collections::BTreeSet::new();
        for step in steps {
            let open = |d: &Desk, answered: &std::collections::BTreeSet<u64>, which: usize| {
                let open: Vec<Got> = d.got.iter().filter(|g| !answered.contains(&g.id)).copied().collect();
                (!open.is_empty() && d.connected).then(|| open[which % open.len()])
            };
            match step {
                Step::Call(safety, patience) => {
                    let operation = begun.len() as u64;
                    let (at, id) = (d.now, d.call(call(operation, safety, patience)));
                    begun.insert(operation, (id, safety, at.after(ms(patience))));
                }
                Step::Serve(w) => if let Some(g) = open(&d, &answered, w) {
                    answered.insert(g.id);
                    d.say(&Frame::Served { id: g.id, shard: 0, payload: b"" });
                },
                Step::Buffered(w) => if let Some(g) = open(&d, &answered, w) {
                    answered.insert(g.id);
                    d.say(&Frame::Buffered { id: g.id });
                },
                Step::Fail(w) => if let Some(g) = open(&d, &answered, w) {
                    answered.insert(g.id);
                    may_have_run.entry(g.operation).or_insert(g.at);
                    d.say(&Frame::Failed { id: g.id });
                },
                Step::Refuse(w, wait, scope) => if let Some(g) = open(&d, &answered, w) {
                    answered.insert(g.id);
                    let (kind, key) = match scope {
                        Scope::Request => (0, g.operation),
                        Scope::Volume => (1, g.volume),
                        Scope::All => (2, 0),
                    };
                    // Word of a call that is over by now concerns nobody.
                    if !d.done.contains_key(&begun[&g.operation].0) {
                        told.push((kind, key, d.now, d.now.after(ms(wait))));
                    }
                    d.refuse(g.id, wait, scope);
                },
                Step::Lose(up) => {
                    for g in d.got.iter().filter(|g| !answered.contains(&g.id)) {
                        may_have_run.entry(g.operation).or_insert(g.at);
                    }
                    answered.extend(d.got.iter().map(|g| g.id));
                    d.up = up;
                    d.lose();
                }
                Step::Garbage(bytes) => if d.connected {
                    d.client.received(&bytes, d.now);
                    d.turn();
                    if !d.connected {
                        for g in d.got.iter().filter(|g| !answered.contains(&g.id)) {
                            may_have_run.entry(g.operation).or_insert(g.at);
                        }
                        answered.extend(d.got.iter().map(|g| g.id));
                    } else {
                        // What is left of it would spoil the next frame.
                        d.lose();
                        for g in d.got.iter().filter(|g| !answered.contains(&g.id)) {
                            may_have_run.entry(g.operation).or_insert(g.at);
                        }
                        answered.extend(d.got.iter().map(|g| g.id));
                    }
                },
                Step::Pass(millis) => d.run(millis),
            }
            d.turn();
        }
        d.run(3000);
        for (operation, (id, safety, until)) in &begun {
            let (at, _) = d.done.get(id).unwrap_or_else(|| panic!("call {operation} never ends"));
            prop_assert!(at <= until, "call {} ends at {:?}, after {:?}", operation, at, until);
            let mine: Vec<Got> = d.got.iter().filter(|g| g.operation == *operation).copied().collect();
            for (n, g) in mine.iter().enumerate() {
                prop_assert_eq!(usize::from(g.try_no), n);
                if let Some(since) = may_have_run.get(operation).filter(|since| g.at > **since) {
                    match safety {
                        Safety::Once => prop_assert!(false, "operation {} goes again", operation),
                        Safety::Keyed(window) => prop_assert!(g.at <= since.after(*window)),
                        Safety::Repeatable => {}
                    }
                }
            }
        }
        for g in &d.got {
            for (kind, key, from, until) in &told {
                let concerned = match kind { 0 => *key == g.operation, 1 => *key == g.volume, _ => true };
                prop_assert!(!concerned || g.at < *from || g.at >= *until || (g.at == *from), "{:?} before {:?}", g, until);
            }
        }
    }
}
