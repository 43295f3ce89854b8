//! Calls of the list service on the platform's wire: the whole list where none is held, then calls that wait for
//! what is newer, each following the answer to the last.
//!
//! Waits are short, so that a watch that fell silent is noticed before what it missed binds this host, and they
//! differ, so that hosts that began together do not go on calling together. An answer that is arriving is waited
//! for as long as it makes progress: a whole list of thousands of nodes from a busy service takes its time. The
//! service works through calls one after another, and pays for a whole list as for many calls: a call names the
//! revision held wherever there is one.

use super::Core;
use super::connection_table::{Connection, Protocol};
use super::timers::Timer;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{DiscoveryCall, Event, NotificationTerms};
use flaxstand_http::{Answer, Answers, write_request};
use flaxstand_platform::{list_call, read_listing};
use rand_core::RngCore as _;
use std::collections::VecDeque;
use tracing::warn;

/// A call that may not wait is given up when it had no answer for this long. It grows with each call in a row that
/// had none: the service may be slow rather than gone.
const PATIENCE: [Micros; 4] = [Micros(1_000_000), Micros(1_000_000), Micros(1_000_000), Micros(2_000_000)];
/// The same for a call of the whole list, which is more work for the service.
const PATIENCE_WHOLE_LIST: [Micros; 4] =
    [Micros(4_000_000), Micros(4_000_000), Micros(8_000_000), Micros(16_000_000)];
/// An answer that has begun is given up when nothing more of it came for this long,
const STALLED: Micros = Micros(1_500_000);
/// or when it is slower than this after its first seconds, bytes a second.
const SLOWEST: u64 = 8 * 1024;
const SLOW_START: Micros = Micros(4_000_000);
/// The least part of the longest wait that is asked for.
const WAIT_LEAST: f64 = 0.6;
/// Moves of the service whose moments are remembered; of more the earliest and the last.
const MOVES_MOST: usize = 16;
/// Longest answer of the list service, bytes: 32,768 nodes of some 500 bytes each.
const ANSWER_MOST: usize = 16 << 20;

/// An answer that can't be read comes from a service that works.
const UNREADABLE: DiscoveryCall = DiscoveryCall::Rejected { elapsed: 0.0 };

/// A connection to the list service. A call is out on it from when it stands.
#[derive(Debug)]
pub(super) struct ListConnection {
    reader: Answers,
}

impl ListConnection {
    fn new() -> Self {
        ListConnection { reader: Answers::with_body_limit(ANSWER_MOST) }
    }
}

/// How far an answer has come.
#[derive(Clone, Copy, Debug)]
struct Progress {
    began: Micros,
    last: Micros,
    bytes: u64,
}

impl Progress {
    /// When it has to be given up, if nothing more comes.
    fn due(&self) -> Micros {
        let slowest = Micros(self.bytes * 1_000_000 / SLOWEST);
        self.last.after(STALLED).min(self.began.after(SLOW_START).after(slowest))
    }
}

/// What is known of the calls made so far.
#[derive(Debug, Default)]
pub(super) struct ListCalls {
    /// The last call was answered: the next one may wait for changes.
    answered: bool,
    /// Calls in a row without an answer.
    unanswered: usize,
    made_at: Micros,
    /// When what the service has binds this host, after each of its last moves: a wait for changes ends then.
    binds_at: VecDeque<Micros>,
    /// By when the connection that is coming up has to stand.
    dial_by: Option<Micros>,
    /// Of the answer that is arriving.
    progress: Option<Progress>,
}

impl ListCalls {
    /// How long a call may go without an answer, beyond what it asks the service to wait.
    fn retry_memory(&self, whole_list: bool) -> Micros {
        let retry_memory = if whole_list { PATIENCE_WHOLE_LIST } else { PATIENCE };
        retry_memory[self.unanswered.min(retry_memory.len() - 1)]
    }

    /// The service is at another address: what was learnt of its calls holds no longer.
    fn moved(&mut self, terms: Option<NotificationTerms>, now: Micros) {
        let mut binds_at = std::mem::take(&mut self.binds_at);
        if let Some(terms) = terms {
            if binds_at.len() >= MOVES_MOST {
                binds_at.pop_back();
            }
            binds_at.push_back(now.after(Micros::from_ms(terms.notified_after_move)));
        }
        *self = ListCalls { binds_at, ..ListCalls::default() };
    }

    fn was_answered(&mut self) {
        self.answered = true;
        self.unanswered = 0;
    }

    fn failed(&mut self, how: DiscoveryCall) {
        self.answered = false;
        if matches!(how, DiscoveryCall::Rejected { .. } | DiscoveryCall::Abandoned) {
            self.unanswered = 0;
        } else {
            self.unanswered += 1;
        }
    }
}

impl Core {
    fn list_connection(&mut self, conn: ConnId) -> Option<&mut ListConnection> {
        match self.connections.get_mut(conn) {
            Some(Connection { protocol: Protocol::ListClient(list), .. }) => Some(list),
            _ => None,
        }
    }

    /// How a new connection to the list service is spoken on, and by when it has to stand.
    pub(super) fn new_list_connection(&mut self, now: Micros) -> (Protocol, Micros) {
        self.list_call_made(Micros(0), now);
        let by = now.after(self.list.calls.retry_memory(self.list.revision.is_none()));
        self.list.calls.dial_by = Some(by);
        (Protocol::ListClient(ListConnection::new()), by)
    }

    fn list_call_made(&mut self, wait: Micros, now: Micros) {
        self.list.calls.made_at = now;
        self.events.push_back(Event::DiscoveryCall(DiscoveryCall::Started { long_poll: wait.ms() }));
    }

    /// Makes the next call on a connection that stands. From now on its answer is waited for.
    pub(super) fn write_list_call(&mut self, conn: ConnId, now: Micros) {
        if let Some(by) = self.list.calls.dial_by.take() {
            self.timers.cancel(by, Timer::ConnectTimeout(conn));
        }
        self.list.calls.progress = None;
        let wait = self.list_call_wait(now);
        self.list_call_made(wait, now);
        let retry_memory = self.list.calls.retry_memory(self.list.revision.is_none());
        self.look_for_silence(now.after(wait).after(retry_memory));
        let call = list_call(self.list.revision.map(|revision| (revision, wait.0 / 1000)));
        let host = self.config.list.to_string();
        self.connections.write(conn, |bytes| write_request(bytes, "GET", &call, &[("Host", &host)], None));
    }

    /// How long the next call asks the service to wait for changes: not at all after one that failed, since a
    /// connection that is silent too would show only after that.
    fn list_call_wait(&mut self, now: Micros) -> Micros {
        if self.list.revision.is_none() || !self.list.calls.answered {
            return Micros(0);
        }
        let drawn = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let part = WAIT_LEAST + (1.0 - WAIT_LEAST) * drawn;
        let wait = Micros::from_ms(self.config.site.waits.watch.ms() * part);
        let binds_at = &mut self.list.calls.binds_at;
        let listed = binds_at.len();
        while binds_at.pop_front_if(|at| *at <= now).is_some() {}
        match binds_at.front() {
            // What the service has now binds: it is asked for once without a wait.
            _ if binds_at.len() < listed => Micros(0),
            Some(binds_at) => wait.min(binds_at.since(now)),
            None => wait,
        }
    }

    /// Bytes came from the list service.
    pub(super) fn list_received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some(list) = self.list_connection(conn) else { return };
        list.reader.push(bytes);
        match list.reader.take() {
            Ok(Some(answer)) => self.list_answered(conn, &answer, now),
            Ok(None) if list.reader.body_started() => self.list_answer_arrives(bytes.len() as u64, now),
            Ok(None) => {}
            Err(fault) => {
                warn!(%fault, "an answer of the list service that can't be read");
                self.fail_list_call(conn, UNREADABLE, "an answer that can't be read", now);
            }
        }
    }

    /// A part of an answer came. What it tells binds from its beginning on, and cannot be read before its end.
    fn list_answer_arrives(&mut self, bytes: u64, now: Micros) {
        let calls = &mut self.list.calls;
        match &mut calls.progress {
            Some(progress) => {
                progress.last = now;
                progress.bytes += bytes;
            }
            None => {
                let progress = Progress { began: now, last: now, bytes };
                calls.progress = Some(progress);
                self.events.push_back(Event::DiscoveryCall(DiscoveryCall::ResponseBegan));
                self.look_for_silence(progress.due());
            }
        }
    }

    /// The service ended its stream in good order: an answer that says no length is whole.
    pub(super) fn list_ended(&mut self, conn: ConnId, now: Micros) {
        let Some(list) = self.list_connection(conn) else { return };
        if let Some(answer) = list.reader.end() {
            self.list_answered(conn, &answer, now);
        }
    }

    fn list_answered(&mut self, conn: ConnId, answer: &Answer, now: Micros) {
        if answer.status != 200 {
            warn!(status = answer.status, "the list service could not answer");
            let how = call_end(answer.status, now.since(self.list.calls.made_at));
            return self.fail_list_call(conn, how, "the list service could not answer", now);
        }
        let read = match read_listing(&answer.body) {
            Ok(read) => read,
            Err(cause) => {
                warn!(%cause, "a list that can't be read");
                return self.fail_list_call(conn, UNREADABLE, "a list that can't be read", now);
            }
        };
        self.list.calls.was_answered();
        self.list.calls.progress = None;
        self.take_read_listing(&read, now);
        if answer.keeps {
            self.write_list_call(conn, now);
        } else {
            // It works, and only this connection ends: not a failure that the module should hear of.
            self.list.conn = None;
            self.stop_looking_for_silence();
            self.connections.discard(conn);
            self.call_list(now);
        }
    }

    /// The connection broke, from the other end or for what came on it.
    pub(super) fn list_connection_lost(&mut self, cause: &str, now: Micros) {
        self.list.conn = None;
        self.list_call_ended(DiscoveryCall::Unanswered, cause, now);
    }

    /// Closes a connection under its call, which ends so.
    fn fail_list_call(&mut self, conn: ConnId, how: DiscoveryCall, cause: &str, now: Micros) {
        self.connections.discard(conn);
        self.list.conn = None;
        self.list_call_ended(how, cause, now);
    }

    /// A call ended without a list. The list held stays in use for as long as the module trusts it.
    fn list_call_ended(&mut self, how: DiscoveryCall, cause: &str, now: Micros) {
        let lasted = now.since(self.list.calls.made_at).ms();
        warn!(cause, ?how, lasted_ms = lasted, "a call of the list service failed");
        self.list.calls.failed(how);
        self.list.calls.progress = None;
        self.stop_looking_for_silence();
        self.events.push_back(Event::DiscoveryCall(how));
        self.list_call_again_later(now);
    }

    /// A call has been out for long: it is given up, unless its answer is arriving.
    pub(super) fn list_call_overdue(&mut self, conn: ConnId, now: Micros) {
        match self.list.calls.progress {
            Some(progress) if now < progress.due() => self.look_for_silence(progress.due()),
            Some(progress) if now < progress.last.after(STALLED) => {
                self.fail_list_call(conn, DiscoveryCall::Abandoned, "the list comes too slowly", now);
            }
            Some(_) => {
                self.fail_list_call(conn, DiscoveryCall::Unanswered, "the list does not come whole", now)
            }
            None => self.fail_list_call(conn, DiscoveryCall::Unanswered, "the list service is silent", now),
        }
    }

    /// The list service is elsewhere now. Guards against a list that goes stale unseen: the old one closes. Both
    /// count the same revisions; one that does not is asked for all of its list (see `take_listing`).
    pub(super) fn list_moved(&mut self, now: Micros) {
        if let Some(conn) = self.list.conn.take() {
            self.connections.discard(conn);
        }
        self.stop_looking_for_silence();
        self.list.calls.moved(self.config.site.settings.notification_terms, now);
        self.events.push_back(Event::DiscoveryCall(DiscoveryCall::ServiceMoved));
        self.call_list(now);
    }
}

/// What a status other than 200 says of the service: it works and is busy, or something before it found none.
fn call_end(status: u16, after: Micros) -> DiscoveryCall {
    match status {
        500 | 502 | 504 => DiscoveryCall::Unanswered,
        _ => DiscoveryCall::Rejected { elapsed: after.ms() },
    }
}
