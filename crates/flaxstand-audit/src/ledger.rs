//! Records grouped by what they belong to: client attempts with their answers, requests with their attempts.

use crate::record::{Answer, End, Record};
use std::collections::BTreeMap;

/// An attempt of a client: one request that it wrote to an initiator.
#[derive(Clone, Debug)]
pub struct ClientAttempt {
    /// Number of the client's connection, and of the attempt within it.
    pub key: (u64, u64),
    /// When the client wrote it.
    pub at: u64,
    /// Identifies the operation over all its attempts.
    pub op: u64,
    /// The initiator that it was sent to.
    pub initiator: u32,
    /// Index of the class.
    pub class: u16,
    /// The extent that it reads or writes.
    pub extent: ExtentKey,
    /// Whether it is a write.
    pub write: bool,
    /// When the client stops waiting.
    pub deadline: u64,
    /// Each answer that the client read, and when.
    pub answers: Vec<(u64, Answer)>,
}

/// An attempt as its node recorded it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When it arrived.
    pub at: u64,
    /// The node.
    pub node: u64,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// The connection that it arrived on.
    pub conn: u64,
    /// Number of the attempt within its request; 0 for the first.
    pub number: u32,
    /// Its work, in microseconds of a core of speed 1.
    pub work: u64,
    /// When it ended at the node, and how.
    pub end: Option<(u64, End)>,
    /// When the initiator could first treat it as no longer in flight: answered, cancelled, or its connection
    /// or node lost.
    pub completed_at: Option<u64>,
}

impl Attempt {
    /// Whether it may have been executed.
    pub fn may_have_executed(&self) -> bool {
        self.end.is_none_or(|(_, end)| end != End::Rejected)
    }
}

/// Identifies a request: initiator, epoch, and the initiator's number for it.
pub type RequestKey = (u32, u64, u64);

/// An extent: its volume, and its number within the volume.
pub type ExtentKey = (u64, u64);

/// A request with its attempts.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the client's operation.
    pub op: u64,
    /// Index of the class.
    pub class: u16,
    /// Index of the plan.
    pub plan: u16,
    /// The volume.
    pub volume: u64,
    /// Cost in units.
    pub units: u32,
    /// Attempts in the order of arrival.
    pub attempts: Vec<Attempt>,
    /// Index in [`AttemptLedger::client_attempts`] of the client attempt that caused it.
    pub client_attempt: Option<usize>,
}

/// One incarnation of a node.
#[derive(Clone, Debug)]
pub struct NodeProcess {
    /// When it started.
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

/// All records, with the attempts and requests reconstructed from them.
#[derive(Clone, Debug, Default)]
pub struct AttemptLedger {
    /// All records in time order.
    pub records: Vec<Record>,
    /// Client attempts in time order.
    pub client_attempts: Vec<ClientAttempt>,
    /// Requests of which an attempt reached a node.
    pub requests: BTreeMap<RequestKey, Request>,
    /// Node processes, by node and incarnation.
    pub processes: BTreeMap<(u64, u64), NodeProcess>,
    /// By client connection: when it ended, and whether the client closed it.
    pub disconnects: BTreeMap<u64, (u64, bool)>,
    /// Kills of initiators: when, and which one.
    pub kills: Vec<(u64, u32)>,
    /// When an initiator was first notified of a node's incarnation.
    pub notified: BTreeMap<NotificationKey, u64>,
}

/// Initiator, its epoch, node, and the node's incarnation.
pub type NotificationKey = (u32, u64, u64, u64);

impl AttemptLedger {
    /// Builds the ledger from records in time order.
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
                    let (key, extent, answers) = ((client, id), (volume, extent), Vec::new());
                    let deadline = until;
                    let attempt =
                        ClientAttempt { key, at, op, initiator, class, extent, write, deadline, answers };
                    ledger.add_client_attempt(attempt, &mut index, &mut by_op);
                }
                Record::ClientDisconnected { at, client, by_client } => {
                    ledger.disconnects.entry(client).or_insert((at, by_client));
                }
                Record::Notified { at, initiator, epoch, node, incarnation, .. } => {
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
                    let (attempts, client_attempt) = (Vec::new(), None);
                    let new = Request { op, class, plan, volume, units, attempts, client_attempt };
                    ledger.requests.entry(key).or_insert(new).attempts.push(arrived_attempt(record));
                }
                _ => {}
            }
        }
        ledger.record_ends(&records, &index);
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

    /// Finds for each request the client attempt that caused it: the last one of its operation at the same
    /// initiator that is no later than the request's first attempt.
    fn match_requests_to_clients(&mut self, by_op: &BTreeMap<u64, Vec<usize>>) {
        for ((initiator, ..), request) in &mut self.requests {
            let first_at = request.attempts.first().map_or(0, |attempt| attempt.at);
            let candidates = by_op.get(&request.op).into_iter().flatten().copied();
            request.client_attempt = candidates.rev().find(|index| {
                let attempt = &self.client_attempts[*index];
                attempt.initiator == *initiator && attempt.at <= first_at
            });
        }
    }

    /// Second pass: records that end attempts. Records of different files may have equal times, so an end can
    /// precede the attempt that it belongs to.
    fn record_ends(&mut self, records: &[Record], index: &BTreeMap<(u64, u64), usize>) {
        let mut by_conn: BTreeMap<(u64, u64), Vec<(RequestKey, usize)>> = BTreeMap::new();
        let mut by_node: BTreeMap<u64, Vec<(RequestKey, usize)>> = BTreeMap::new();
        for (key, request) in &self.requests {
            for (index, attempt) in request.attempts.iter().enumerate() {
                by_conn.entry((attempt.node, attempt.conn)).or_default().push((*key, index));
                by_node.entry(attempt.node).or_default().push((*key, index));
            }
        }
        let complete = |attempt: &mut Attempt, at: u64| {
            attempt.completed_at = Some(attempt.completed_at.map_or(at, |earlier| earlier.min(at)));
        };
        for record in records {
            match *record {
                Record::Answered { at, client, id, answer } => {
                    if let Some(index) = index.get(&(client, id)) {
                        self.client_attempts[*index].answers.push((at, answer));
                    }
                }
                Record::Ended { at, node, initiator, epoch, request, attempt, end } => {
                    let found = self.requests.get_mut(&(initiator, epoch, request));
                    let mut attempts = found.into_iter().flat_map(|request| &mut request.attempts);
                    if let Some(ended) = attempts.find(|a| a.number == attempt && a.node == node) {
                        ended.end = Some((at, end));
                        if end != End::Lost {
                            complete(ended, at);
                        }
                    }
                }
                Record::Cancelled { at, node, initiator, epoch, request, attempt } => {
                    let found = self.requests.get_mut(&(initiator, epoch, request));
                    let mut attempts = found.into_iter().flat_map(|request| &mut request.attempts);
                    if let Some(cancelled) = attempts.find(|a| a.number == attempt && a.node == node) {
                        complete(cancelled, at);
                    }
                }
                Record::NodeConnectionClosed { at, node, conn } => {
                    for (key, index) in by_conn.get(&(node, conn)).into_iter().flatten() {
                        if let Some(request) = self.requests.get_mut(key) {
                            complete(&mut request.attempts[*index], at);
                        }
                    }
                }
                Record::NodeDown { at, node } => {
                    for (key, index) in by_node.get(&node).into_iter().flatten() {
                        if let Some(request) = self.requests.get_mut(key)
                            && request.attempts[*index].at <= at
                        {
                            complete(&mut request.attempts[*index], at);
                        }
                    }
                }
                _ => {}
            }
        }
    }
}

fn arrived_attempt(record: &Record) -> Attempt {
    let Record::Arrived { at, node, incarnation, conn, attempt, work, .. } = *record else {
        unreachable!("called with an Arrived record")
    };
    Attempt { at, node, incarnation, conn, number: attempt, work, end: None, completed_at: None }
}
