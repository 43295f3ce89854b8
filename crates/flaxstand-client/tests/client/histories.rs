//! Properties of the client over random histories of requests, answers, refusals, lost connections and
//! invalid bytes.

use crate::harness::*;
use flaxstand_client::*;
use flaxstand_proto::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Longer than the longest generated timeout.
const DRAIN_TIME_MS: u64 = 3000;

/// One event of a history. `pick` selects one of the attempts that are not answered yet.
#[derive(Clone, Debug)]
enum Step {
    Submit { retry_safety: RetrySafety, timeout_ms: u64 },
    Serve { pick: usize },
    Buffer { pick: usize },
    Fail { pick: usize },
    Refuse { pick: usize, wait_ms: u64, scope: Scope },
    LoseConnection { accepts_connections: bool },
    Garbage(Vec<u8>),
    Run { duration_ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let retry_safety = prop_oneof![
        Just(RetrySafety::Idempotent),
        Just(RetrySafety::NotIdempotent),
        Just(RetrySafety::IdempotencyKey { window: milliseconds(150) })
    ];
    let scope = prop_oneof![Just(Scope::Request), Just(Scope::Volume), Just(Scope::All)];
    let step = prop_oneof![
        6 => (retry_safety, 30..1500u64)
            .prop_map(|(retry_safety, timeout_ms)| Step::Submit { retry_safety, timeout_ms }),
        3 => (0..9usize).prop_map(|pick| Step::Serve { pick }),
        1 => (0..9usize).prop_map(|pick| Step::Buffer { pick }),
        3 => (0..9usize).prop_map(|pick| Step::Fail { pick }),
        5 => (0..9usize, 0..400u64, scope)
            .prop_map(|(pick, wait_ms, scope)| Step::Refuse { pick, wait_ms, scope }),
        2 => any::<bool>().prop_map(|accepts_connections| Step::LoseConnection { accepts_connections }),
        1 => proptest::collection::vec(any::<u8>(), 1..30).prop_map(Step::Garbage),
        8 => (0..200u64).prop_map(|duration_ms| Step::Run { duration_ms }),
    ];
    proptest::collection::vec(step, 1..120)
}

/// A request that the history submitted.
#[derive(Clone, Copy, Debug)]
struct Submitted {
    id: RequestId,
    retry_safety: RetrySafety,
    deadline: Micros,
}

/// The attempts that an advised wait holds back.
#[derive(Clone, Copy, Debug)]
enum HeldAttempts {
    Operation(u64),
    Volume(u64),
    All,
}

/// A wait that the initiator advised.
#[derive(Clone, Copy, Debug)]
struct AdvisedWait {
    held: HeldAttempts,
    from: Micros,
    until: Micros,
}

impl AdvisedWait {
    fn applies_to(&self, attempt: &ReceivedAttempt) -> bool {
        match self.held {
            HeldAttempts::Operation(operation) => operation == attempt.operation,
            HeldAttempts::Volume(volume) => volume == attempt.volume,
            HeldAttempts::All => true,
        }
    }
}

/// A history in progress, and the constraints on the client that follow from it.
struct History {
    harness: Harness,
    /// By operation.
    submitted: BTreeMap<u64, Submitted>,
    /// Operations that may have been executed, with the time at which the first such attempt was received.
    may_have_executed_since: BTreeMap<u64, Micros>,
    advised_waits: Vec<AdvisedWait>,
    /// Attempts that were answered or whose connection was lost.
    closed_attempts: BTreeSet<u64>,
}

impl History {
    fn new(seed: u64) -> Self {
        History {
            harness: Harness::new(Config { seed, ..config() }),
            submitted: BTreeMap::new(),
            may_have_executed_since: BTreeMap::new(),
            advised_waits: Vec::new(),
            closed_attempts: BTreeSet::new(),
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Submit { retry_safety, timeout_ms } => self.submit(retry_safety, timeout_ms),
            Step::Serve { pick } => self.serve(pick),
            Step::Buffer { pick } => self.buffer(pick),
            Step::Fail { pick } => self.fail(pick),
            Step::Refuse { pick, wait_ms, scope } => self.refuse(pick, wait_ms, scope),
            Step::LoseConnection { accepts_connections } => self.lose_connection(accepts_connections),
            Step::Garbage(bytes) => self.send_garbage(&bytes),
            Step::Run { duration_ms } => self.harness.run(duration_ms),
        }
        self.harness.advance();
    }

    fn submit(&mut self, retry_safety: RetrySafety, timeout_ms: u64) {
        let operation = self.submitted.len() as u64;
        let deadline = self.harness.now.after(milliseconds(timeout_ms));
        let id = self.harness.submit(write_request(operation, retry_safety, timeout_ms));
        self.submitted.insert(operation, Submitted { id, retry_safety, deadline });
    }

    fn serve(&mut self, pick: usize) {
        let Some(attempt) = self.close_attempt(pick) else { return };
        self.harness.send(&Frame::Served { id: attempt.id, shard: 0, payload: b"" });
    }

    fn buffer(&mut self, pick: usize) {
        let Some(attempt) = self.close_attempt(pick) else { return };
        self.harness.send(&Frame::Buffered { id: attempt.id });
    }

    fn fail(&mut self, pick: usize) {
        let Some(attempt) = self.close_attempt(pick) else { return };
        self.may_have_executed_since.entry(attempt.operation).or_insert(attempt.at);
        self.harness.send(&Frame::Failed { id: attempt.id });
    }

    fn refuse(&mut self, pick: usize, wait_ms: u64, scope: Scope) {
        let Some(attempt) = self.close_attempt(pick) else { return };
        let held = match scope {
            Scope::Request => HeldAttempts::Operation(attempt.operation),
            Scope::Volume => HeldAttempts::Volume(attempt.volume),
            Scope::All => HeldAttempts::All,
        };
        // The client ignores a refusal of a request that has ended.
        let request = self.submitted[&attempt.operation].id;
        if !self.harness.ended.contains_key(&request) {
            let from = self.harness.now;
            let until = from.after(milliseconds(wait_ms));
            self.advised_waits.push(AdvisedWait { held, from, until });
        }
        self.harness.refuse(attempt.id, wait_ms, scope);
    }

    fn lose_connection(&mut self, accepts_connections: bool) {
        self.close_all_attempts();
        self.harness.accepts_connections = accepts_connections;
        self.harness.lose_connection();
    }

    fn send_garbage(&mut self, bytes: &[u8]) {
        if !self.harness.is_connected {
            return;
        }
        self.harness.client.handle_bytes(bytes, self.harness.now);
        self.harness.advance();
        if self.harness.is_connected {
            // The bytes may be the start of a frame, which would corrupt the next one.
            self.harness.lose_connection();
        }
        self.close_all_attempts();
    }

    /// Selects an open attempt and marks it as answered; none without a connection.
    fn close_attempt(&mut self, pick: usize) -> Option<ReceivedAttempt> {
        let open = self.open_attempts();
        if open.is_empty() || !self.harness.is_connected {
            return None;
        }
        let attempt = open[pick % open.len()];
        self.closed_attempts.insert(attempt.id);
        Some(attempt)
    }

    /// Marks all open attempts as lost with their connection; they may have been executed.
    fn close_all_attempts(&mut self) {
        for attempt in self.open_attempts() {
            self.may_have_executed_since.entry(attempt.operation).or_insert(attempt.at);
        }
        self.closed_attempts.extend(self.harness.received.iter().map(|attempt| attempt.id));
    }

    fn open_attempts(&self) -> Vec<ReceivedAttempt> {
        let received = self.harness.received.iter();
        received.filter(|attempt| !self.closed_attempts.contains(&attempt.id)).copied().collect()
    }

    fn attempts_of(&self, operation: u64) -> Vec<ReceivedAttempt> {
        let received = self.harness.received.iter();
        received.filter(|attempt| attempt.operation == operation).copied().collect()
    }

    fn check_completed_in_time(&self) -> Result<(), TestCaseError> {
        for (operation, submitted) in &self.submitted {
            let ended = self.harness.ended.get(&submitted.id);
            let ended = ended.unwrap_or_else(|| panic!("request {operation} did not complete"));
            let (at, deadline) = (ended.at, submitted.deadline);
            prop_assert!(
                at <= deadline,
                "request {} completed at {:?}, after its deadline {:?}",
                operation,
                at,
                deadline
            );
        }
        Ok(())
    }

    fn check_retries(&self) -> Result<(), TestCaseError> {
        for (operation, submitted) in &self.submitted {
            for (index, attempt) in self.attempts_of(*operation).iter().enumerate() {
                prop_assert_eq!(usize::from(attempt.try_no), index);
                self.check_retry_safety(attempt, submitted.retry_safety)?;
            }
        }
        Ok(())
    }

    fn check_retry_safety(
        &self,
        attempt: &ReceivedAttempt,
        safety: RetrySafety,
    ) -> Result<(), TestCaseError> {
        let Some(since) = self.may_have_executed_since.get(&attempt.operation) else { return Ok(()) };
        if attempt.at <= *since {
            return Ok(());
        }
        match safety {
            RetrySafety::NotIdempotent => prop_assert!(false, "operation {} was retried", attempt.operation),
            RetrySafety::IdempotencyKey { window } => prop_assert!(attempt.at <= since.after(window)),
            RetrySafety::Idempotent => {}
        }
        Ok(())
    }

    fn check_advised_waits(&self) -> Result<(), TestCaseError> {
        for attempt in &self.harness.received {
            for wait in self.advised_waits.iter().filter(|wait| wait.applies_to(attempt)) {
                let is_outside = attempt.at <= wait.from || attempt.at >= wait.until;
                prop_assert!(
                    is_outside,
                    "{:?} sent before the end of the advised wait at {:?}",
                    attempt,
                    wait.until
                );
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against requests that complete twice, late or never, attempts within an advised wait, and
    /// retries that could execute a request twice, for any behaviour of the initiator.
    #[test]
    fn requests_complete_once_and_in_time_and_retries_respect_advised_waits_and_retry_safety(
        steps in steps(),
        seed in any::<u64>(),
    ) {
        let mut history = History::new(seed);
        for step in steps {
            history.play(step);
        }
        history.harness.run(DRAIN_TIME_MS);
        history.check_completed_in_time()?;
        history.check_retries()?;
        history.check_advised_waits()?;
    }
}
