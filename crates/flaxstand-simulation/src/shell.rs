//! Common part of the emulated peers: connections, framing, records. A [`Shell`] runs a [`Peer`] as a
//! machine.

use flaxstand_audit::Record;
use flaxstand_gateway::machine::{Command, ConnId, Control, Machine, Micros, Sink};
use flaxstand_proto::{Frame, Inbox, Outbox};
use std::collections::BTreeMap;
use tracing::warn;

/// Behaviour of an emulated peer.
pub trait Peer {
    /// Returns whether it accepts a connection now.
    fn accepts(&self) -> bool {
        true
    }
    /// A connection was accepted at the listener with this index; `opened` follows.
    fn connection_accepted(&mut self, _conn: ConnId, _listener: usize) {}
    /// A connection is open, initiated by either side.
    fn opened(&mut self, links: &mut Links, conn: ConnId, now: Micros);
    /// A frame was received.
    fn frame(&mut self, links: &mut Links, conn: ConnId, frame: Frame<'_>, now: Micros);
    /// A connection was closed, or could not be opened.
    fn connection_closed(&mut self, links: &mut Links, conn: ConnId, now: Micros);
    /// A line of standard input was read: a fault begins or ends.
    fn line(&mut self, links: &mut Links, line: &str, now: Micros);
    /// All events of this instant have been delivered. Returns the time of the peer's next timer.
    fn settle(&mut self, links: &mut Links, now: Micros) -> Option<Micros>;
}

/// Connections and pending outputs of a peer.
#[derive(Default)]
pub struct Links {
    next: u64,
    links: BTreeMap<ConnId, (Inbox, Outbox)>,
    commands: Vec<Command>,
    record: Vec<Record>,
    data: Vec<u8>,
    cut_out: bool,
    cut_in: bool,
    /// Data received while incoming traffic is held back.
    held_back: Vec<(Micros, ConnId, Vec<u8>)>,
    /// Arrival time of the data being delivered, if it was held back.
    arrived_at: Option<Micros>,
}

impl Links {
    fn open(&mut self) -> ConnId {
        self.next += 1;
        let conn = ConnId(self.next);
        self.links.insert(conn, Default::default());
        conn
    }

    /// Connects to a peer.
    pub fn connect(&mut self, address: flaxstand_gateway::machine::Address) -> ConnId {
        let conn = self.open();
        self.commands.push(Command::Connect { conn, address });
        conn
    }

    /// Sends a frame.
    pub fn push(&mut self, conn: ConnId, frame: &Frame<'_>) {
        if let Some((_, outbox)) = self.links.get_mut(&conn) {
            if outbox.is_empty() {
                self.commands.push(Command::Flush(conn));
            }
            outbox.push(frame);
        }
    }

    /// Closes a connection and drops its pending output.
    pub fn close(&mut self, conn: ConnId) {
        if self.links.remove(&conn).is_some() {
            self.commands.push(Command::Close { conn, last: Vec::new() });
        }
    }

    /// Returns all open connections.
    pub fn all(&self) -> Vec<ConnId> {
        self.links.keys().copied().collect()
    }

    /// Appends a record.
    pub fn record(&mut self, record: &Record) {
        self.record.push(record.clone());
    }

    /// Appends data that outlives the process.
    pub fn store(&mut self, bytes: &[u8]) {
        self.data.extend_from_slice(bytes);
    }

    /// Starts or ends holding back outgoing traffic; all of it is sent at the end.
    pub fn cut_out(&mut self, cut: bool) {
        self.cut_out = cut;
        let all = self.all();
        self.commands.extend(all.into_iter().filter(|_| !cut).map(Command::Flush));
    }

    /// Starts or ends holding back incoming traffic; all of it is delivered at the end of this turn.
    pub fn cut_in(&mut self, cut: bool) {
        self.cut_in = cut;
    }

    /// Returns when the current frame arrived at this host. The audit takes this as the latest time of its
    /// sending, so that the emulated cut is not counted as the sender's delay.
    pub fn arrived_at(&self, now: Micros) -> Micros {
        self.arrived_at.unwrap_or(now)
    }

    /// Issues a command to the driver.
    pub fn command(&mut self, command: Command) {
        self.commands.push(command);
    }
}

/// Runs a peer as a machine.
pub struct Shell<P> {
    /// The peer.
    pub peer: P,
    links: Links,
}

impl<P: Peer> Shell<P> {
    /// Creates a machine that runs a peer.
    pub fn new(peer: P) -> Self {
        Shell { peer, links: Links::default() }
    }

    /// Takes the records since the last call. If the driver doesn't call this, they are written by
    /// `Command::AppendOutput`.
    pub fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.links.record)
    }
}

impl<P: Peer> Machine for Shell<P> {
    fn accepted(&mut self, listener: usize, now: Micros) -> Result<ConnId, Vec<u8>> {
        if !self.peer.accepts() {
            return Err(Vec::new());
        }
        let conn = self.links.open();
        self.peer.connection_accepted(conn, listener);
        self.peer.opened(&mut self.links, conn, now);
        Ok(conn)
    }

    fn connected(&mut self, conn: ConnId, now: Micros) {
        self.peer.opened(&mut self.links, conn, now);
    }

    fn connect_failed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        self.closed(conn, cause, now);
    }

    fn received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        if self.links.cut_in {
            self.links.held_back.push((now, conn, bytes.to_vec()));
            return;
        }
        let Some((inbox, _)) = self.links.links.get_mut(&conn) else { return };
        let mut inbox = std::mem::take(inbox);
        let (peer, links) = (&mut self.peer, &mut self.links);
        let fed = inbox.feed(bytes, |frame| {
            peer.frame(links, conn, frame, now);
            links.links.contains_key(&conn)
        });
        match fed {
            Ok(()) => {
                if let Some((place, _)) = self.links.links.get_mut(&conn) {
                    *place = inbox;
                }
            }
            Err(cause) => {
                warn!(%cause, "invalid data from a peer; closing the connection");
                self.links.close(conn);
                self.peer.connection_closed(&mut self.links, conn, now);
            }
        }
    }

    fn peer_finished(&mut self, _conn: ConnId, _now: Micros) -> bool {
        false
    }

    fn closed(&mut self, conn: ConnId, _cause: &str, now: Micros) {
        if self.links.links.remove(&conn).is_some() {
            self.peer.connection_closed(&mut self.links, conn, now);
        }
    }

    fn outgoing(&self, conn: ConnId) -> &[u8] {
        if self.links.cut_out {
            return &[];
        }
        self.links.links.get(&conn).map_or(&[], |(_, outbox)| outbox.pending())
    }

    fn written(&mut self, conn: ConnId, count: usize, _now: Micros) {
        if let Some((_, outbox)) = self.links.links.get_mut(&conn) {
            outbox.advance(count);
        }
    }

    fn wants_read(&self, conn: ConnId) -> bool {
        self.links.links.contains_key(&conn)
    }

    fn control(&mut self, control: Control, now: Micros) {
        match control {
            // The end of the input means that the parent process has exited.
            Control::Stop | Control::InputEnded => self.links.commands.push(Command::Exit),
            Control::Line(line) => self.peer.line(&mut self.links, &line, now),
            Control::Reload(_) => {}
        }
    }

    fn settle(&mut self, now: Micros) -> Option<Micros> {
        if !self.links.cut_in {
            for (arrived_at, conn, bytes) in std::mem::take(&mut self.links.held_back) {
                self.links.arrived_at = Some(arrived_at);
                self.received(conn, &bytes, now);
            }
            self.links.arrived_at = None;
        }
        self.peer.settle(&mut self.links, now)
    }

    fn take_commands(&mut self) -> Vec<Command> {
        let mut commands = Vec::new();
        if !self.links.record.is_empty() {
            let mut lines = Vec::new();
            self.links.record.drain(..).for_each(|record| record.write(&mut lines));
            commands.push(Command::AppendOutput(Sink::Record, lines));
        }
        if !self.links.data.is_empty() {
            commands.push(Command::AppendOutput(Sink::Data, std::mem::take(&mut self.links.data)));
        }
        commands.append(&mut self.links.commands);
        commands
    }
}
