//! Answers of the list service on their way: in pieces, at the rate and with the end that a fault gives them.

use super::draw::Draw;
use super::events::{Event, HostConn, Input};
use super::faults::Fault;
use super::list_service::{Answer, Reply};
use super::simulation::{LATENCY, Simulation};
use flaxstand_gateway::machine::Micros;
use std::ops::Range;
use std::rc::Rc;

/// Bytes of a piece of an answer.
const PIECE: usize = 16 * 1024;
/// Bytes of a piece of a slow answer.
const SLOW_PIECE: usize = 4 * 1024;
/// Which part of the pieces of a slow answer is followed by a pause, and how many are at most.
const PAUSES: f64 = 0.1;
const PAUSES_MOST: usize = 2;
/// Least time by which a late first byte is late, ms.
const LATE_LEAST: f64 = 500.0;
/// An answer without an end goes on with this, so often.
const ENDLESS_CHUNK: &[u8] = b"1\r\n \r\n";
const ENDLESS_PAUSE: Micros = Micros(200_000);

/// How an answer ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    Whole,
    Reset,
    Never,
}

/// How slowly an answer comes.
#[derive(Clone, Copy, Debug)]
struct Slow {
    bytes_per_second: f64,
    pause_most: f64,
    pauses_left: usize,
}

/// An answer on its way.
pub struct Delivery {
    text: Rc<[u8]>,
    at: usize,
    ending: Ending,
    slow: Option<Slow>,
    /// Of a list; none: the call was turned away.
    revision: Option<u64>,
}

/// What follows a piece of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Piece,
    End,
    Reset,
    EndlessPiece,
}

/// A piece of an answer.
struct Piece {
    text: Rc<[u8]>,
    range: Range<usize>,
    /// The revision of a list that begins with this piece and will be written whole.
    begins: Option<u64>,
    next: Next,
}

impl Delivery {
    fn new(answer: Answer, fault: Option<Fault>) -> Self {
        let (text, revision) = match answer {
            Answer::Busy => {
                return Delivery { text: busy(), at: 0, ending: Ending::Whole, slow: None, revision: None };
            }
            Answer::List { revision, body } => (message(&body, fault), Some(revision)),
        };
        let ending = match fault {
            Some(Fault::CutOff) => Ending::Reset,
            Some(Fault::Endless) => Ending::Never,
            _ => Ending::Whole,
        };
        let slow = match fault {
            Some(Fault::SlowBody { bytes_per_second, pause_most }) => {
                Some(Slow { bytes_per_second, pause_most, pauses_left: PAUSES_MOST })
            }
            _ => None,
        };
        Delivery { text, at: 0, ending, slow, revision }
    }

    fn next_piece(&mut self) -> Piece {
        let stops = if self.ending == Ending::Reset { self.text.len() / 2 } else { self.text.len() };
        if self.at == stops {
            let range = 0..ENDLESS_CHUNK.len();
            return Piece { text: ENDLESS_CHUNK.into(), range, begins: None, next: Next::EndlessPiece };
        }
        let size = if self.slow.is_some() { SLOW_PIECE } else { PIECE };
        let from = self.at;
        self.at = (from + size).min(stops);
        let begins = self.revision.filter(|_| from == 0 && self.ending == Ending::Whole);
        let next = match self.ending {
            _ if self.at < stops => Next::Piece,
            Ending::Whole => Next::End,
            Ending::Reset => Next::Reset,
            Ending::Never => Next::EndlessPiece,
        };
        Piece { text: self.text.clone(), range: from..self.at, begins, next }
    }

    /// How long after so many bytes the next ones follow.
    fn pause_behind(&mut self, bytes: usize, bytes_per_second: f64, draw: &mut Draw) -> Micros {
        let time_at = |bytes_per_second: f64| Micros::from_ms(1000.0 * bytes as f64 / bytes_per_second);
        let Some(slow) = &mut self.slow else { return time_at(bytes_per_second) };
        let way = time_at(slow.bytes_per_second);
        if slow.pauses_left == 0 || !draw.chance(PAUSES) {
            return way;
        }
        slow.pauses_left -= 1;
        way.after(draw.millis(0.0, slow.pause_most))
    }
}

impl Simulation {
    /// The list service answers a call.
    pub(super) fn list_replies(&mut self, reply: Reply) {
        let Some((conn, fault)) = self.network.answers(reply.call) else { return };
        let late = match fault {
            Some(Fault::FirstByteLate(most)) => self.draw.millis(LATE_LEAST, most),
            _ => Micros(0),
        };
        self.network.deliver(conn, Delivery::new(reply.answer, fault));
        self.events.at(self.now.after(late), Event::Piece(conn));
    }

    /// The next piece of an answer leaves the list service.
    pub(super) fn next_piece(&mut self, conn: HostConn) {
        let Some(delivery) = self.network.delivery(conn) else { return };
        let Piece { text, range, begins, next } = delivery.next_piece();
        let (bytes, is_list) = (range.len(), delivery.revision.is_some());
        let pause = delivery.pause_behind(bytes, self.day.bytes_per_second, &mut self.draw);
        if let Some(revision) = begins {
            self.audit.writing(conn.host, revision, self.now);
        }
        self.hosts[conn.host].list_bytes += bytes as u64;
        self.hosts[conn.host].lifeless_calls = 0;
        let input = Input::Bytes(conn.conn, text, range);
        self.reaches(conn.host, conn.life, self.now.after(LATENCY), input);
        match next {
            Next::Piece => self.events.at(self.now.after(pause), Event::Piece(conn)),
            Next::EndlessPiece => self.events.at(self.now.after(ENDLESS_PAUSE), Event::Piece(conn)),
            Next::End => self.answer_ends(conn, is_list),
            Next::Reset => self.reset_link(conn),
        }
    }

    fn answer_ends(&mut self, conn: HostConn, is_list: bool) {
        self.network.delivered(conn);
        if is_list {
            self.audit.written(conn.host, self.now);
        }
        self.audit.call_ended(conn.host, is_list);
    }
}

pub(super) fn busy() -> Rc<[u8]> {
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".as_slice().into()
}

/// An answer with this body, in the framing that a fault asks for.
fn message(body: &[u8], fault: Option<Fault>) -> Rc<[u8]> {
    let chunked = matches!(fault, Some(Fault::Chunked | Fault::Endless));
    let head = match chunked {
        true => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
        false => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()),
    };
    let mut text = head.into_bytes();
    if !chunked {
        text.extend_from_slice(body);
        return text.into();
    }
    for chunk in body.chunks(PIECE) {
        text.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        text.extend_from_slice(chunk);
        text.extend_from_slice(b"\r\n");
    }
    if fault != Some(Fault::Endless) {
        text.extend_from_slice(b"0\r\n\r\n");
    }
    text.into()
}
