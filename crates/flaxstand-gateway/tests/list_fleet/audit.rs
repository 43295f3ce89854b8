//! Checks the requests that hosts send to targets. A host violates the drain rule if the first byte of a
//! request to a draining or removed target leaves later than the drain grace after the host counts as
//! notified of the change. The time of notification is derived from what the list service, the network and
//! the hosts do, never from the state of the core under test.

use super::list_service::TargetId;
use flaxstand_gateway::machine::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// Tolerance added to every time limit from the settings.
pub const SLACK: Micros = Micros(50_000);
/// A host counts as notified of a change once the service has had it and was reachable for this long.
const NOTIFIED_AFTER_REACHABLE: Micros = Micros(6_000_000);
/// A host counts as notified of a change that its silent watch missed this long after the watch went silent,
/// or [`NOTIFIED_AFTER_WAIT`] after the end of the watch's long poll, whichever is later.
const NOTIFIED_AFTER_SILENCE: Micros = Micros(6_000_000);
/// See [`NOTIFIED_AFTER_SILENCE`].
const NOTIFIED_AFTER_WAIT: Micros = Micros(2_000_000);
/// A host counts as notified of every change that the service has this long after a reload.
const NOTIFIED_AFTER_RELOAD: Micros = Micros(4_000_000);
/// After a failed call, a host may use its list this many times as long as after an answered one.
const FAILED_CALL_FACTOR: u64 = 4;
/// A request must have its final response within this time after its deadline.
const ANSWER_SLACK: Micros = Micros(500_000);

/// Why a host counts as notified of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The host started with a list that contains the change.
    KnownAtStart,
    /// The service started to write a response that contains the change.
    ResponseStarted {
        /// When the last byte of that response was written, if it has been.
        completed_at: Option<Micros>,
    },
    /// The service has had the change and was reachable for long enough.
    ServiceReachable,
    /// A watch that missed the change has been silent for long enough.
    SilentWatch,
    /// A reload was long enough ago.
    Reload,
    /// The host has not called the service for long enough.
    NoCall,
}

impl Reason {
    pub fn name(self) -> &'static str {
        match self {
            Reason::KnownAtStart => "known at the start",
            Reason::ResponseStarted { .. } => "response started",
            Reason::ServiceReachable => "service reachable",
            Reason::SilentWatch => "silent watch",
            Reason::Reload => "reload",
            Reason::NoCall => "no call",
        }
    }
}

/// When a host counts as notified of a change, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Notified {
    pub at: Micros,
    pub reason: Reason,
}

/// A request that was sent too late to a draining or removed target.
#[derive(Clone, Debug)]
pub struct Violation {
    pub host: usize,
    pub target: TargetId,
    pub changed: Micros,
    pub notified: Notified,
    pub sent: Micros,
    /// Whether it is a violation only because responses count from their first byte, not from their last.
    pub only_by_first_byte: bool,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (notified, sent) = (self.notified, self.sent);
        write!(
            f,
            "host {} sent a request to target {} at {:.1} ms, {:.1} ms after its notification: \
             target changed at {:.1} ms, host notified at {:.1} ms ({:?})",
            self.host,
            self.target.0,
            sent.ms(),
            sent.since(notified.at).ms(),
            self.changed.ms(),
            notified.at.ms(),
            notified.reason
        )
    }
}

/// Whether a response notifies the host with its first or with its last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CountedFrom {
    FirstByte,
    LastByte,
}

/// A change after which a target takes no new requests.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub at: Micros,
    pub revision: u64,
}

/// A response of the list service to a host.
#[derive(Clone, Copy, Debug)]
struct ListResponse {
    started: Micros,
    completed_at: Option<Micros>,
    revision: u64,
}

/// A call on which the service sends nothing more.
#[derive(Clone, Copy, Debug)]
struct SilentCall {
    since: Micros,
    wait_ends: Micros,
    closed: Option<Micros>,
}

/// The calls and responses between one incarnation of a host and the list service.
#[derive(Clone, Debug, Default)]
struct HostRecord {
    started: Micros,
    initial_revision: u64,
    responses: Vec<ListResponse>,
    silent_calls: Vec<SilentCall>,
    reloads: Vec<Micros>,
    last_call: Micros,
    call_in_flight: bool,
    call_failed: bool,
}

/// A period in which the list service is down.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Micros,
    to: Option<Micros>,
}

impl Outage {
    fn overlaps(&self, from: Micros, to: Micros) -> bool {
        self.from < to && self.to.is_none_or(|ended| ended > from)
    }
}

/// A client's request.
#[derive(Clone, Copy, Debug)]
struct Request {
    host: usize,
    at: Micros,
    deadline: Micros,
    /// Whether its target was in service when the request was issued.
    servable: bool,
    response: Option<(Micros, u16)>,
    /// Whether it is left out of all counts because its host was killed.
    excluded: bool,
}

/// The number of requests, and how many of them were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedShare {
    pub requests: usize,
    pub served: usize,
}

impl ServedShare {
    pub fn ratio(self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

/// Records one day and checks it against the drain rule.
pub struct Audit {
    grace: Micros,
    poll_within: Micros,
    hosts: Vec<HostRecord>,
    outages: Vec<Outage>,
    /// Draining and removed targets, each with the change that took it out of service.
    withdrawn_targets: BTreeMap<TargetId, Change>,
    requests: Vec<Request>,
    violations: Vec<Violation>,
    requests_sent: usize,
}

impl Audit {
    pub fn new(hosts: usize, grace: Micros, poll_within: Micros) -> Self {
        Audit {
            grace,
            poll_within,
            hosts: vec![HostRecord::default(); hosts],
            outages: Vec::new(),
            withdrawn_targets: BTreeMap::new(),
            requests: Vec::new(),
            violations: Vec::new(),
            requests_sent: 0,
        }
    }

    /// A host starts with the list as of `initial_revision`.
    pub fn host_started(&mut self, host: usize, initial_revision: u64, now: Micros) {
        self.hosts[host] =
            HostRecord { started: now, initial_revision, last_call: now, ..HostRecord::default() };
    }

    /// A host is killed: its unanswered requests are left out of all counts.
    pub fn host_killed(&mut self, host: usize) {
        let pending = |request: &&mut Request| request.host == host && request.response.is_none();
        self.requests.iter_mut().filter(pending).for_each(|request| request.excluded = true);
    }

    pub fn target_withdrawn(&mut self, target: TargetId, revision: u64, now: Micros) {
        self.withdrawn_targets.entry(target).or_insert(Change { at: now, revision });
    }

    pub fn target_in_service(&mut self, target: TargetId) {
        self.withdrawn_targets.remove(&target);
    }

    pub fn outage_begins(&mut self, now: Micros) {
        self.outages.push(Outage { from: now, to: None });
    }

    pub fn outage_ends(&mut self, now: Micros) {
        if let Some(outage) = self.outages.last_mut() {
            outage.to = Some(now);
        }
    }

    pub fn reloaded(&mut self, host: usize, now: Micros) {
        self.hosts[host].reloads.push(now);
    }

    pub fn call_started(&mut self, host: usize, now: Micros) {
        let record = &mut self.hosts[host];
        (record.last_call, record.call_in_flight, record.call_failed) = (now, true, false);
    }

    pub fn call_ended(&mut self, host: usize, succeeded: bool) {
        let record = &mut self.hosts[host];
        (record.call_in_flight, record.call_failed) = (false, !succeeded);
    }

    /// The service starts to write a response that no fault is going to truncate.
    pub fn response_started(&mut self, host: usize, revision: u64, now: Micros) {
        self.hosts[host].responses.push(ListResponse { started: now, completed_at: None, revision });
    }

    /// The service wrote the last byte of its response.
    pub fn response_completed(&mut self, host: usize, now: Micros) {
        if let Some(response) = self.hosts[host].responses.last_mut() {
            response.completed_at = Some(now);
        }
    }

    /// A response was aborted by the service or the network, so it does not notify the host.
    pub fn response_aborted(&mut self, host: usize) {
        self.hosts[host].responses.pop_if(|response| response.completed_at.is_none());
    }

    /// From now on the service sends nothing on the host's open call.
    pub fn call_went_silent(&mut self, host: usize, wait_ends: Micros, now: Micros) {
        self.hosts[host].silent_calls.push(SilentCall { since: now, wait_ends, closed: None });
    }

    pub fn silent_call_closed(&mut self, host: usize, now: Micros) {
        if let Some(silent) = self.hosts[host].silent_calls.last_mut() {
            silent.closed.get_or_insert(now);
        }
    }

    /// The first byte of a request to a target leaves a host.
    pub fn request_sent(&mut self, host: usize, target: TargetId, at: Micros) {
        self.requests_sent += 1;
        let Some(change) = self.withdrawn_targets.get(&target).copied() else { return };
        let is_late = |notified: &Notified| at > notified.at.after(self.grace).after(SLACK);
        let Some(notified) = self.notified(host, change).filter(is_late) else { return };
        let by_last_byte = self.notified_counting(CountedFrom::LastByte, host, change);
        let only_by_first_byte = by_last_byte.filter(is_late).is_none();
        self.violations.push(Violation {
            host,
            target,
            changed: change.at,
            notified,
            sent: at,
            only_by_first_byte,
        });
    }

    /// When a host counts as notified of a change, given the events recorded so far.
    pub fn notified(&self, host: usize, change: Change) -> Option<Notified> {
        self.notified_counting(CountedFrom::FirstByte, host, change)
    }

    fn notified_counting(&self, from: CountedFrom, host: usize, change: Change) -> Option<Notified> {
        let record = &self.hosts[host];
        if change.revision <= record.initial_revision {
            return Some(Notified { at: record.started.max(change.at), reason: Reason::KnownAtStart });
        }
        let reasons = [
            self.notified_by_response(from, record, change),
            self.notified_by_reachability(record, change),
            self.notified_by_silent_watch(record, change),
            self.notified_by_reload(record, change),
            self.notified_without_call(record, change),
        ];
        reasons.into_iter().flatten().min()
    }

    fn notified_by_response(
        &self,
        from: CountedFrom,
        record: &HostRecord,
        change: Change,
    ) -> Option<Notified> {
        let responses = record.responses.iter().filter(|response| response.revision >= change.revision);
        let mut times = responses.filter_map(|response| match from {
            CountedFrom::FirstByte => Some((response.started, response.completed_at)),
            CountedFrom::LastByte => Some((response.completed_at?, response.completed_at)),
        });
        let (at, completed_at) = times.next()?;
        Some(Notified { at, reason: Reason::ResponseStarted { completed_at } })
    }

    fn notified_by_reachability(&self, record: &HostRecord, change: Change) -> Option<Notified> {
        let at = self.reachable_for(NOTIFIED_AFTER_REACHABLE, record.started.max(change.at))?;
        Some(Notified { at, reason: Reason::ServiceReachable })
    }

    fn notified_by_silent_watch(&self, record: &HostRecord, change: Change) -> Option<Notified> {
        let missed = |silent: &&SilentCall| silent.closed.is_none_or(|closed| change.at < closed);
        let times = record.silent_calls.iter().filter(missed).filter_map(|silent| {
            let due =
                silent.since.after(NOTIFIED_AFTER_SILENCE).max(silent.wait_ends.after(NOTIFIED_AFTER_WAIT));
            self.is_reachable(silent.since, due).then_some(due.max(change.at))
        });
        Some(Notified { at: times.min()?, reason: Reason::SilentWatch })
    }

    fn notified_by_reload(&self, record: &HostRecord, change: Change) -> Option<Notified> {
        let times = record.reloads.iter().filter_map(|reload| {
            let due = reload.after(NOTIFIED_AFTER_RELOAD);
            (change.at <= due && self.is_reachable(*reload, due)).then_some(due)
        });
        Some(Notified { at: times.min()?, reason: Reason::Reload })
    }

    fn notified_without_call(&self, record: &HostRecord, change: Change) -> Option<Notified> {
        if record.call_in_flight {
            return None;
        }
        let factor = if record.call_failed { FAILED_CALL_FACTOR } else { 1 };
        let list_valid_for = Micros(self.poll_within.0 * factor);
        let since = record.last_call.max(change.at);
        Some(Notified { at: self.reachable_for(list_valid_for, since)?, reason: Reason::NoCall })
    }

    /// The end of the first period of this length, starting at or after `from`, without an outage.
    fn reachable_for(&self, length: Micros, from: Micros) -> Option<Micros> {
        let mut start = from;
        for outage in &self.outages {
            if outage.overlaps(start, start.after(length)) {
                start = outage.to?;
            }
        }
        Some(start.after(length))
    }

    fn is_reachable(&self, from: Micros, to: Micros) -> bool {
        !self.outages.iter().any(|outage| outage.overlaps(from, to))
    }

    /// A client issues a request. Returns the request's number.
    pub fn request_issued(&mut self, host: usize, servable: bool, deadline: Micros, now: Micros) -> usize {
        let request = Request { host, at: now, deadline, servable, response: None, excluded: false };
        self.requests.push(request);
        self.requests.len() - 1
    }

    /// A client receives its final response, or its connection closes without one (status 0).
    pub fn request_answered(&mut self, request: usize, status: u16, now: Micros) {
        self.requests[request].response.get_or_insert((now, status));
    }

    /// The served share of the requests issued in a period, without those whose target was out of service.
    pub fn served_share(&self, from: Micros, to: Micros) -> ServedShare {
        let counts = |request: &&Request| {
            request.servable && !request.excluded && request.at >= from && request.at < to
        };
        let requests: Vec<&Request> = self.requests.iter().filter(counts).collect();
        let served =
            requests.iter().filter(|request| request.response.is_some_and(|(_, status)| status == 200));
        ServedShare { requests: requests.len(), served: served.count() }
    }

    /// The number of requests past their deadline that had no final response in time.
    pub fn unanswered(&self, now: Micros) -> usize {
        let unanswered = |request: &&Request| {
            let latest = request.deadline.after(ANSWER_SLACK);
            !request.excluded && latest < now && request.response.is_none_or(|(at, _)| at > latest)
        };
        self.requests.iter().filter(unanswered).count()
    }

    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    pub fn requests_sent(&self) -> usize {
        self.requests_sent
    }
}
