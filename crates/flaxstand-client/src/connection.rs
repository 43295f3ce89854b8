//! The connection that all requests of a client share.

use crate::backoff::ReconnectBackoff;
use crate::config::Config;
use crate::jitter::Jitter;
use flaxstand_proto::{Frame, Inbox, Micros, Outbox};

/// State of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// There is no connection.
    Disconnected {
        /// Earliest time of the next connect.
        reconnect_at: Micros,
    },
    /// The connection is being opened, or the initiator's greeting has not arrived yet.
    Connecting {
        /// When the connect times out.
        deadline: Micros,
    },
    /// Requests may be sent.
    Established,
}

/// State, buffers and reconnect back-off of the connection.
#[derive(Debug)]
pub(crate) struct Connection {
    state: ConnectionState,
    connect_timeout: Micros,
    backoff: ReconnectBackoff,
    /// Wait before the next connect that the initiator advised; zero if it advised none.
    advised_wait: Micros,
    inbox: Inbox,
    outbox: Outbox,
}

impl Connection {
    pub(crate) fn new(config: &Config) -> Self {
        Connection {
            state: ConnectionState::Disconnected { reconnect_at: Micros(0) },
            connect_timeout: config.connect_timeout,
            backoff: ReconnectBackoff::new(config),
            advised_wait: Micros(0),
            inbox: Inbox::default(),
            outbox: Outbox::default(),
        }
    }

    pub(crate) fn state(&self) -> ConnectionState {
        self.state
    }

    /// Records that the connection is being opened.
    pub(crate) fn start_connecting(&mut self, now: Micros) {
        self.state = ConnectionState::Connecting { deadline: now.after(self.connect_timeout) };
    }

    /// Records that the initiator's greeting arrived.
    pub(crate) fn establish(&mut self) {
        self.state = ConnectionState::Established;
        self.backoff.reset();
    }

    /// Records the wait before a reconnect that the initiator advised.
    pub(crate) fn record_advised_wait(&mut self, wait: Micros) {
        self.advised_wait = wait;
    }

    /// Resets the connection after it was lost or could not be opened. Returns the number of bytes of its
    /// stream that were passed to the operating system.
    pub(crate) fn disconnect(&mut self, now: Micros, jitter: &mut Jitter) -> u64 {
        let written = self.outbox.written();
        self.inbox = Inbox::default();
        self.outbox = Outbox::default();
        let advised_wait = std::mem::take(&mut self.advised_wait);
        let wait = self.backoff.draw_wait(advised_wait, jitter);
        self.state = ConnectionState::Disconnected { reconnect_at: now.after(wait) };
        written
    }

    /// Appends a frame to the stream and returns the stream offset of its end.
    pub(crate) fn send(&mut self, frame: &Frame<'_>) -> u64 {
        self.outbox.push(frame)
    }

    /// Bytes to be written.
    pub(crate) fn pending_bytes(&self) -> &[u8] {
        self.outbox.pending()
    }

    /// Records that the first `count` pending bytes were passed to the operating system.
    pub(crate) fn mark_written(&mut self, count: usize) {
        self.outbox.advance(count);
    }

    /// Takes the frame decoder, so that frames can be handled while it runs; [`Connection::restore_inbox`]
    /// puts it back.
    pub(crate) fn take_inbox(&mut self) -> Inbox {
        std::mem::take(&mut self.inbox)
    }

    pub(crate) fn restore_inbox(&mut self, inbox: Inbox) {
        self.inbox = inbox;
    }
}
