//! The client without I/O: takes requests and received bytes, returns [`Command`]s, bytes to write and
//! [`Completion`]s. A driver opens the connection, transfers the bytes and supplies the time.

use crate::answer::{AbandonReason, Answer, Completion};
use crate::config::Config;
use crate::connection::{Connection, ConnectionState};
use crate::jitter::Jitter;
use crate::pending::{InFlightAttempt, PendingRequest, PendingRequests};
use crate::request::{Request, RequestId};
use crate::retry::RetryPolicy;
use flaxstand_proto::{CloseReason, Frame, Hello, Micros, Refusal, Role, Scope, VERSION, VERSION_OLDEST};

/// An instruction to the driver about the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open the connection, then call [`Client::handle_connected`] or [`Client::handle_disconnected`].
    Connect,
    /// Close the connection. The client has already handled the disconnect.
    Close,
}

/// A client of one initiator. All times are in microseconds of the driver's clock, which must be monotonic.
#[derive(Debug)]
pub struct Client {
    config: Config,
    jitter: Jitter,
    connection: Connection,
    retry_policy: RetryPolicy,
    pending: PendingRequests,
    /// The last id assigned; requests and attempts share one sequence.
    last_id: u64,
    commands: Vec<Command>,
    completions: Vec<Completion>,
}

impl Client {
    /// Creates a disconnected client. It connects when there is a request to send.
    pub fn new(config: Config) -> Self {
        Client {
            jitter: Jitter::new(config.seed),
            connection: Connection::new(&config),
            retry_policy: RetryPolicy::new(&config),
            pending: PendingRequests::default(),
            last_id: 0,
            commands: Vec::new(),
            completions: Vec::new(),
            config,
        }
    }

    /// Submits a request. Exactly one [`Completion`] for it follows, by the end of its time-out.
    pub fn submit(&mut self, request: Request, now: Micros) -> RequestId {
        let id = RequestId(self.next_id());
        self.retry_policy.record_request(now);
        let due = self.retry_policy.earliest_attempt(request.volume).max(now);
        let request = PendingRequest::new(request, now);
        // Bounds memory while the initiator is unreachable.
        if self.pending.len() >= self.config.max_requests_in_progress {
            let result = Err(request.abandoned(AbandonReason::TooManyRequests));
            self.completions.push(Completion { request: id, result });
        } else {
            self.pending.insert(id, request);
            self.pending.schedule_attempt(id, due);
        }
        id
    }

    /// Number of requests in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.pending.len()
    }

    /// Handles an opened connection. The greeting is the first frame to be written.
    pub fn handle_connected(&mut self, _now: Micros) {
        self.connection.send(&Frame::Hello(Hello {
            role: Role::Client,
            versions: (VERSION_OLDEST, VERSION),
            id: self.config.id,
            epoch: 0,
            name: &self.config.name,
        }));
    }

    /// Handles a connection that was lost or could not be opened. Retries attempts in flight where that is
    /// safe.
    pub fn handle_disconnected(&mut self, now: Micros) {
        let written = self.connection.disconnect(now, &mut self.jitter);
        for ended in self.pending.end_all_attempts() {
            let Some(request) = self.pending.get_mut(ended.request) else { continue };
            request.record_connection_loss(ended.attempt, written);
            self.retry(ended.request, Micros(0), now);
        }
    }

    /// Handles bytes received from the initiator. Closes the connection if they are not valid frames.
    pub fn handle_bytes(&mut self, bytes: &[u8], now: Micros) {
        let mut inbox = self.connection.take_inbox();
        let fed = inbox.feed(bytes, |frame| {
            self.handle_frame(frame, now);
            true
        });
        self.connection.restore_inbox(inbox);
        if fed.is_err() {
            self.close_connection(now);
        }
    }

    /// Bytes to be written to the connection.
    pub fn pending_bytes(&self) -> &[u8] {
        self.connection.pending_bytes()
    }

    /// Records that the first `count` pending bytes were passed to the operating system.
    pub fn mark_written(&mut self, count: usize) {
        self.connection.mark_written(count);
    }

    /// Processes expired deadlines, due attempts and due connects. All events until `now` must have been
    /// handled before. Returns the time by which it must be called again; none: it needs no call until the
    /// next event.
    pub fn advance(&mut self, now: Micros) -> Option<Micros> {
        self.abandon_expired(now);
        match self.connection.state() {
            ConnectionState::Established => self.send_due_attempts(now),
            ConnectionState::Disconnected { reconnect_at } => self.connect_if_needed(reconnect_at, now),
            ConnectionState::Connecting { deadline } if deadline <= now => self.close_connection(now),
            ConnectionState::Connecting { .. } => {}
        }
        self.next_wake()
    }

    /// Takes the commands that the driver must execute, in order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Takes the requests that ended since the last call.
    pub fn take_completions(&mut self) -> Vec<Completion> {
        std::mem::take(&mut self.completions)
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn next_wake(&self) -> Option<Micros> {
        let connection_wake = match self.connection.state() {
            ConnectionState::Established => self.pending.next_due(),
            ConnectionState::Disconnected { reconnect_at } => {
                (!self.pending.is_empty()).then_some(reconnect_at)
            }
            ConnectionState::Connecting { deadline } => Some(deadline),
        };
        [connection_wake, self.pending.next_deadline()].into_iter().flatten().min()
    }

    fn abandon_expired(&mut self, now: Micros) {
        while let Some(id) = self.pending.first_expired(now) {
            self.abandon(id, AbandonReason::DeadlineExceeded);
        }
    }

    fn connect_if_needed(&mut self, reconnect_at: Micros, now: Micros) {
        if reconnect_at <= now && !self.pending.is_empty() {
            self.connection.start_connecting(now);
            self.commands.push(Command::Connect);
        }
    }

    fn close_connection(&mut self, now: Micros) {
        self.commands.push(Command::Close);
        self.handle_disconnected(now);
    }

    fn send_due_attempts(&mut self, now: Micros) {
        while let Some(id) = self.pending.pop_due(now) {
            let Some(request) = self.pending.get(id) else { continue };
            // The initiator may have advised a wait after this attempt was scheduled.
            let earliest = self.retry_policy.earliest_attempt(request.volume());
            if earliest > now {
                self.pending.schedule_attempt(id, earliest);
            } else {
                self.send_attempt(id, now);
            }
        }
    }

    fn send_attempt(&mut self, id: RequestId, now: Micros) {
        let attempt_id = self.next_id();
        let Some(request) = self.pending.get(id) else { return };
        if !self.retry_policy.leaves_time_for_attempt(request, now) {
            return self.abandon(id, AbandonReason::DeadlineExceeded);
        }
        let frame = Frame::Submit(request.submit_frame(attempt_id, now));
        let stream_end = self.connection.send(&frame);
        self.pending.start_attempt(id, InFlightAttempt { id: attempt_id, stream_end, sent_at: now });
    }

    fn handle_frame(&mut self, frame: Frame<'_>, now: Micros) {
        match frame {
            Frame::Welcome(_) => self.connection.establish(),
            Frame::Bye { close_reason, wait, .. } => self.handle_bye(close_reason, Micros(wait.into())),
            Frame::Part { id, payload } => self.handle_part(id, payload),
            Frame::Served { id, shard, payload } => self.handle_served(id, shard, payload),
            Frame::Buffered { id } => self.handle_buffered(id),
            Frame::Refused { id, wait, refusal, scope } => {
                self.handle_refused(id, Micros(wait.into()), refusal, scope, now);
            }
            Frame::Failed { id } => self.handle_failed(id, now),
            _ => {}
        }
    }

    fn handle_bye(&mut self, close_reason: CloseReason, wait: Micros) {
        match close_reason {
            // Another connection would fail in the same way: retrying would reconnect without end.
            CloseReason::Version | CloseReason::WrongPeer => {
                self.abandon_all(self.pending.ids(), AbandonReason::Protocol);
            }
            // One of the attempts in flight cannot be processed by the initiator: retrying it would fail
            // again.
            CloseReason::Protocol => {
                self.abandon_all(self.pending.ids_in_flight(), AbandonReason::Protocol);
            }
            _ => self.connection.record_advised_wait(wait),
        }
    }

    fn handle_part(&mut self, attempt_id: u64, payload: &[u8]) {
        let Some(id) = self.pending.id_of_attempt(attempt_id) else { return };
        if let Some(request) = self.pending.get_mut(id) {
            request.append_answer_part(payload);
        }
    }

    fn handle_served(&mut self, attempt_id: u64, shard: u32, payload: &[u8]) {
        let Some(id) = self.pending.id_of_attempt(attempt_id) else { return };
        let Some(request) = self.pending.remove(id) else { return };
        let payload = request.complete_answer(payload);
        let result = Ok(Answer::Served { shard, payload });
        self.completions.push(Completion { request: id, result });
    }

    fn handle_buffered(&mut self, attempt_id: u64) {
        let Some(id) = self.pending.id_of_attempt(attempt_id) else { return };
        if self.pending.remove(id).is_some() {
            self.completions.push(Completion { request: id, result: Ok(Answer::Buffered) });
        }
    }

    /// Handles a refusal: the attempt was not executed, or executing it again is harmless.
    fn handle_refused(&mut self, attempt_id: u64, wait: Micros, refusal: Refusal, scope: Scope, now: Micros) {
        let Some(ended) = self.pending.end_attempt(attempt_id) else { return };
        let Some(request) = self.pending.get_mut(ended.request) else { return };
        request.record_refusal(refusal);
        let volume = request.volume();
        self.retry_policy.record_advised_wait(scope, volume, now.after(wait), now);
        self.retry(ended.request, wait, now);
    }

    /// Handles a failure: the attempt may have been executed.
    fn handle_failed(&mut self, attempt_id: u64, now: Micros) {
        let Some(ended) = self.pending.end_attempt(attempt_id) else { return };
        let Some(request) = self.pending.get_mut(ended.request) else { return };
        request.record_failure(ended.attempt);
        self.retry(ended.request, Micros(0), now);
    }

    /// Schedules another attempt if the retry policy allows one, otherwise abandons the request immediately.
    fn retry(&mut self, id: RequestId, advised_wait: Micros, now: Micros) {
        let Some(request) = self.pending.get(id) else { return };
        match self.retry_policy.schedule_attempt(request, advised_wait, now, &mut self.jitter) {
            Ok(at) => self.pending.schedule_attempt(id, at),
            Err(reason) => self.abandon(id, reason),
        }
    }

    fn abandon(&mut self, id: RequestId, reason: AbandonReason) {
        let Some(request) = self.pending.remove(id) else { return };
        let result = Err(request.abandoned(reason));
        self.completions.push(Completion { request: id, result });
    }

    fn abandon_all(&mut self, ids: Vec<RequestId>, reason: AbandonReason) {
        for id in ids {
            self.abandon(id, reason);
        }
    }
}
