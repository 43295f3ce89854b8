//! The records put in order: tries with their answers, requests with their attempts.

use crate::record::{Answer, End, Record};
use std::collections::BTreeMap;

/// A client's try.
#[derive(Clone, Debug)]
pub struct ClientAttempt {
    /// Connection and number.
    pub key: (u64, u64),
    /// When it was written.
    pub at: u64,
    /// What the client wants done.
    pub op: u64,
    /// To whom.
    pub initiator: u32,
    /// Index of the class.
    pub class: u16,
    /// The volume and item.
    pub place: (u64, u64),
    /// It writes.
    pub write: bool,
    /// When the client gives up.
    pub until: u64,
    /// Every answer read, with its moment.
    pub answers: Vec<(u64, Answer)>,
}

/// An attempt as its node saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When it came.
    pub at: u64,
    /// Where.
    pub node: u64,
    /// Which start of the node.
    pub incarnation: u64,
    /// On which connection.
    pub conn: u64,
    /// Which attempt.
    pub no: u32,
    /// Its work.
    pub work: u64,
    /// How it ended there, and when.
    pub end: Option<(u64, End)>,
    /// When the initiator could know that it was over: answered, called off, connection or node gone.
    pub over: Option<u64>,
}

impl Attempt {
    /// Whether it may have run.
    pub fn may_have_run(&self) -> bool {
        self.end.is_none_or(|(_, end)| end != End::Full)
    }
}

/// A request as an initiator numbered it: initiator, life, number.
pub type RequestKey = (u32, u64, u64);

/// Its attempts.
#[derive(Clone, Debug)]
pub struct Request {
    /// What the client wants done.
    pub op: u64,
    /// Index of the class.
    pub class: u16,
    /// Index of the plan.
    pub plan: u16,
    /// The volume.
    pub volume: u64,
    /// Units.
    pub units: u32,
    /// In the order in which they came.
    pub attempts: Vec<Attempt>,
    /// The try that it is, by its place in [`AttemptLedger::client_attempts`].
    pub of: Option<usize>,
}

/// One start of a node.
#[derive(Clone, Debug)]
pub struct NodeProcess {
    /// When.
    pub at: u64,
    /// The shard.
    pub shard: u32,
    /// The zone.
    pub zone: u32,
    /// See [`Record::NodeUp`].
    pub power: f64,
    /// See [`Record::NodeUp`].
    pub initial_capacity: f64,
    /// See [`Record::NodeUp`].
    pub warm_after: u64,
}

/// All that was recorded.
#[derive(Clone, Debug, Default)]
pub struct AttemptLedger {
    /// Every record, in the order of time.
    pub records: Vec<Record>,
    /// Tries in the order of time.
    pub client_attempts: Vec<ClientAttempt>,
    /// Requests that reached a node.
    pub requests: BTreeMap<RequestKey, Request>,
    /// By node and incarnation.
    pub processes: BTreeMap<(u64, u64), NodeProcess>,
    /// Ends of clients' connections, and whether the client closed them.
    pub lost: BTreeMap<u64, (u64, bool)>,
    /// Kills of initiators.
    pub kills: Vec<(u64, u32)>,
    /// When a life of an initiator first heard of a start of a node.
    pub notified: BTreeMap<Notification, u64>,
}

/// Initiator and life, node and start.
pub type Notification = (u32, u64, u64, u64);

impl AttemptLedger {
    /// Orders records, which come in the order of time.
    pub fn new(records: Vec<Record>) -> Self {
        let mut ledger = AttemptLedger::default();
        let mut index: BTreeMap<(u64, u64), usize> = BTreeMap::new();
        let mut by_op: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for record in &records {
            match *record {
                Record::Submitted {
                    at,
                    client,
                    id,
                    op,
                    initiator,
                    class,
                    volume,
                    extent,
                    write,
                    until,
                    ..
                } => {
                    let (key, place, answers) = ((client, id), (volume, extent), Vec::new());
                    let attempt =
                        ClientAttempt { key, at, op, initiator, class, place, write, until, answers };
                    ledger.add_client_attempt(attempt, &mut index, &mut by_op);
                }
                Record::Lost { at, client, by_client } => {
                    ledger.lost.entry(client).or_insert((at, by_client));
                }
                Record::Told { at, initiator, epoch, node, incarnation, .. } => {
                    ledger.notified.entry((initiator, epoch, node, incarnation)).or_insert(at);
                }
                Record::Killed { at, initiator } => ledger.kills.push((at, initiator)),
                Record::NodeUp {
                    at,
                    node,
                    incarnation,
                    shard,
                    zone,
                    power,
                    initial_capacity,
                    warm_after,
                } => {
                    let process = NodeProcess { at, shard, zone, power, initial_capacity, warm_after };
                    ledger.processes.insert((node, incarnation), process);
                }
                Record::Arrived { initiator, epoch, request, op, class, plan, volume, units, .. } => {
                    let key = (initiator, epoch, request);
                    let (attempts, of) = (Vec::new(), None);
                    let new = Request { op, class, plan, volume, units, attempts, of };
                    ledger.requests.entry(key).or_insert(new).attempts.push(attempt(record));
                }
                _ => {}
            }
        }
        ledger.ends(&records, &index);
        ledger.match_requests_to_clients(&by_op);
        ledger.records = records;
        ledger
    }

    fn add_client_attempt(
        &mut self,
        attempt: ClientAttempt,
        index: &mut BTreeMap<(u64, u64), usize>,
        by_op: &mut BTreeMap<u64, Vec<usize>>,
    ) {
        index.insert(attempt.key, self.client_attempts.len());
        by_op.entry(attempt.op).or_default().push(self.client_attempts.len());
        self.client_attempts.push(attempt);
    }

    /// Finds for each request the client's attempt that led to it: the last one of its operation at the same
    /// initiator that is no later than its first attempt.
    fn match_requests_to_clients(&mut self, by_op: &BTreeMap<u64, Vec<usize>>) {
        for ((initiator, ..), request) in &mut self.requests {
            let first_at = request.attempts.first().map_or(0, |attempt| attempt.at);
            let candidates = by_op.get(&request.op).into_iter().flatten().copied();
            request.of = candidates.rev().find(|index| {
                let attempt = &self.client_attempts[*index];
                attempt.initiator == *initiator && attempt.at <= first_at
            });
        }
    }

    /// Second pass: what ends tries and attempts, whatever the order of files.
    fn ends(&mut self, records: &[Record], index: &BTreeMap<(u64, u64), usize>) {
        let mut by_conn: BTreeMap<(u64, u64), Vec<(RequestKey, usize)>> = BTreeMap::new();
        let mut by_node: BTreeMap<u64, Vec<(RequestKey, usize)>> = BTreeMap::new();
        for (key, request) in &self.requests {
            for (i, a) in request.attempts.iter().enumerate() {
                by_conn.entry((a.node, a.conn)).or_default().push((*key, i));
                by_node.entry(a.node).or_default().push((*key, i));
            }
        }
        let over = |a: &mut Attempt, at: u64| a.over = Some(a.over.map_or(at, |o| o.min(at)));
        for record in records {
            match *record {
                Record::Answered { at, client, id, answer } => {
                    if let Some(t) = index.get(&(client, id)) {
                        self.client_attempts[*t].answers.push((at, answer));
                    }
                }
                Record::Ended { at, node, initiator, epoch, request, attempt, end } => {
                    let found = self.requests.get_mut(&(initiator, epoch, request));
                    let mut attempts = found.into_iter().flat_map(|r| &mut r.attempts);
                    if let Some(a) = attempts.find(|a| a.no == attempt && a.node == node) {
                        a.end = Some((at, end));
                        if end != End::Lost {
                            over(a, at);
                        }
                    }
                }
                Record::Cancelled { at, node, initiator, epoch, request, attempt } => {
                    let found = self.requests.get_mut(&(initiator, epoch, request));
                    let mut attempts = found.into_iter().flat_map(|r| &mut r.attempts);
                    if let Some(a) = attempts.find(|a| a.no == attempt && a.node == node) {
                        over(a, at);
                    }
                }
                Record::Hung { at, node, conn } => {
                    for (key, i) in by_conn.get(&(node, conn)).into_iter().flatten() {
                        if let Some(r) = self.requests.get_mut(key) {
                            over(&mut r.attempts[*i], at);
                        }
                    }
                }
                Record::NodeDown { at, node } => {
                    for (key, i) in by_node.get(&node).into_iter().flatten() {
                        if let Some(r) = self.requests.get_mut(key)
                            && r.attempts[*i].at <= at
                        {
                            over(&mut r.attempts[*i], at);
                        }
                    }
                }
                _ => {}
            }
        }
    }
}

fn attempt(record: &Record) -> Attempt {
    let Record::Arrived { at, node, incarnation, conn, attempt, work, .. } = *record else {
        unreachable!("called with an arrival")
    };
    Attempt { at, node, incarnation, conn, no: attempt, work, end: None, over: None }
}
