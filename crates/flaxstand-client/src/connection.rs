//! The one connection that all requests of a client share.

use crate::backoff::ReconnectBackoff;
use crate::config::Config;
use crate::jitter::Jitter;
use flaxstand_proto::{Frame, Inbox, Micros, Outbox};

/// State of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// There is none.
    Disconnected {
        /// When it may be opened.
        reconnect_at: Micros,
    },
    /// It is being opened, or the initiator's greeting is outstanding.
    Connecting {
        /// When it is given up.
        deadline: Micros,
    },
    /// Requests may be sent.
    Established,
}

/// The connection's state, its buffers, and when it may be opened again.
#[derive(Debug)]
pub(crate) struct Connection {
    state: ConnectionState,
    connect_timeout: Micros,
    backoff: ReconnectBackoff,
    /// Wait before the next connect that the initiator asked for; zero if it asked for none.
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

    /// Begins to open the connection.
    pub(crate) fn start_connecting(&mut self, now: Micros) {
        self.state = ConnectionState::Connecting { deadline: now.after(self.connect_timeout) };
    }

    /// The initiator's greeting came.
    pub(crate) fn establish(&mut self) {
        self.state = ConnectionState::Established;
        self.backoff.reset();
    }

    /// Notes how long the initiator asked the client to stay away.
    pub(crate) fn record_advised_wait(&mut self, wait: Micros) {
        self.advised_wait = wait;
    }

    /// The connection is lost, or was not established. Returns how many bytes of its stream were
    /// handed to the system.
    pub(crate) fn disconnect(&mut self, now: Micros, jitter: &mut Jitter) -> u64 {
        let written = self.outbox.written();
        self.inbox = Inbox::default();
        self.outbox = Outbox::default();
        let advised_wait = std::mem::take(&mut self.advised_wait);
        let wait = self.backoff.draw_wait(advised_wait, jitter);
        self.state = ConnectionState::Disconnected { reconnect_at: now.after(wait) };
        written
    }

    /// Appends a frame to the stream and returns the stream position of its end.
    pub(crate) fn send(&mut self, frame: &Frame<'_>) -> u64 {
        self.outbox.push(frame)
    }

    /// Bytes that are to be written.
    pub(crate) fn pending_bytes(&self) -> &[u8] {
        self.outbox.pending()
    }

    /// The first `count` of the pending bytes were handed to the system.
    pub(crate) fn mark_written(&mut self, count: usize) {
        self.outbox.advance(count);
    }

    /// Takes the decoder out, so that frames can be handled while it runs; [`Connection::restore_inbox`]
    /// returns it.
    pub(crate) fn take_inbox(&mut self) -> Inbox {
        std::mem::take(&mut self.inbox)
    }

    pub(crate) fn restore_inbox(&mut self, inbox: Inbox) {
        self.inbox = inbox;
    }
}
