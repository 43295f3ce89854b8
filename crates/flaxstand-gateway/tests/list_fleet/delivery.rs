//! Delivery of the list service's responses in segments, at the rate and with the ending that a fault
//! prescribes.

use super::events::{Event, HostConn, Input};
use super::faults::Fault;
use super::list_service::{Answer, Reply};
use super::random::Random;
use super::simulation::{LATENCY, Simulation};
use flaxstand_gateway::machine::Micros;
use std::ops::Range;
use std::rc::Rc;

/// Size of a response segment in bytes.
const SEGMENT_BYTES: usize = 16 * 1024;
/// Size of a slow response's segments in bytes.
const SLOW_SEGMENT_BYTES: usize = 4 * 1024;
/// The probability of a pause after a slow response's segment, and the maximum number of pauses per response.
const PAUSE_PROBABILITY: f64 = 0.1;
const MAX_PAUSES: usize = 2;
/// Shortest delay of a delayed first byte in milliseconds.
const MIN_FIRST_BYTE_DELAY_MS: f64 = 500.0;
/// An endless response continues with this chunk at this interval.
const ENDLESS_CHUNK: &[u8] = b"1\r\n \r\n";
const ENDLESS_INTERVAL: Micros = Micros(200_000);

/// How a response ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    Complete,
    Reset,
    Never,
}

/// The rate and pauses of a slow response.
#[derive(Clone, Copy, Debug)]
struct SlowRate {
    bytes_per_second: f64,
    max_pause_ms: f64,
    pauses_left: usize,
}

/// A response that is being sent.
pub struct Delivery {
    text: Rc<[u8]>,
    offset: usize,
    ending: Ending,
    slow: Option<SlowRate>,
    /// The revision of the list in the response; `None` if the call is rejected.
    revision: Option<u64>,
}

/// What follows a segment of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Segment,
    End,
    Reset,
    EndlessChunk,
}

/// A segment of a response.
struct Segment {
    text: Rc<[u8]>,
    range: Range<usize>,
    /// The revision of the list, if this is the first segment of a response that no fault truncates.
    starts: Option<u64>,
    next: Next,
}

impl Delivery {
    fn new(answer: Answer, fault: Option<Fault>) -> Self {
        let (text, revision) = match answer {
            Answer::Rejected => {
                return Delivery {
                    text: rejection(),
                    offset: 0,
                    ending: Ending::Complete,
                    slow: None,
                    revision: None,
                };
            }
            Answer::List { revision, body } => (message(&body, fault), Some(revision)),
        };
        let ending = match fault {
            Some(Fault::Truncated) => Ending::Reset,
            Some(Fault::Endless) => Ending::Never,
            _ => Ending::Complete,
        };
        let slow = match fault {
            Some(Fault::SlowBody { bytes_per_second, max_pause_ms }) => {
                Some(SlowRate { bytes_per_second, max_pause_ms, pauses_left: MAX_PAUSES })
            }
            _ => None,
        };
        Delivery { text, offset: 0, ending, slow, revision }
    }

    fn next_segment(&mut self) -> Segment {
        let end = if self.ending == Ending::Reset { self.text.len() / 2 } else { self.text.len() };
        if self.offset == end {
            let range = 0..ENDLESS_CHUNK.len();
            return Segment { text: ENDLESS_CHUNK.into(), range, starts: None, next: Next::EndlessChunk };
        }
        let size = if self.slow.is_some() { SLOW_SEGMENT_BYTES } else { SEGMENT_BYTES };
        let from = self.offset;
        self.offset = (from + size).min(end);
        let starts = self.revision.filter(|_| from == 0 && self.ending == Ending::Complete);
        let next = match self.ending {
            _ if self.offset < end => Next::Segment,
            Ending::Complete => Next::End,
            Ending::Reset => Next::Reset,
            Ending::Never => Next::EndlessChunk,
        };
        Segment { text: self.text.clone(), range: from..self.offset, starts, next }
    }

    /// The time between a segment of this size and the next one.
    fn delay_after(&mut self, bytes: usize, bytes_per_second: f64, random: &mut Random) -> Micros {
        let time_at = |bytes_per_second: f64| Micros::from_ms(1000.0 * bytes as f64 / bytes_per_second);
        let Some(slow) = &mut self.slow else { return time_at(bytes_per_second) };
        let transfer = time_at(slow.bytes_per_second);
        if slow.pauses_left == 0 || !random.chance(PAUSE_PROBABILITY) {
            return transfer;
        }
        slow.pauses_left -= 1;
        transfer.after(random.millis(0.0, slow.max_pause_ms))
    }
}

impl Simulation {
    /// The list service starts to answer a call.
    pub(super) fn start_response(&mut self, reply: Reply) {
        let Some((conn, fault)) = self.network.take_call(reply.call) else { return };
        let delay = match fault {
            Some(Fault::FirstByteDelayed(max_ms)) => self.random.millis(MIN_FIRST_BYTE_DELAY_MS, max_ms),
            _ => Micros(0),
        };
        self.network.start_delivery(conn, Delivery::new(reply.answer, fault));
        self.events.schedule(self.now.after(delay), Event::SendSegment(conn));
    }

    /// The list service sends the next segment of a response.
    pub(super) fn send_segment(&mut self, conn: HostConn) {
        let Some(delivery) = self.network.delivery(conn) else { return };
        let Segment { text, range, starts, next } = delivery.next_segment();
        let (bytes, is_list) = (range.len(), delivery.revision.is_some());
        let delay = delivery.delay_after(bytes, self.day.bytes_per_second, &mut self.random);
        if let Some(revision) = starts {
            self.audit.response_started(conn.host, revision, self.now);
        }
        self.hosts[conn.host].list_bytes += bytes as u64;
        self.hosts[conn.host].unresponsive_calls = 0;
        let input = Input::Bytes(conn.conn, text, range);
        self.schedule_input(conn.host, conn.incarnation, self.now.after(LATENCY), input);
        match next {
            Next::Segment => self.events.schedule(self.now.after(delay), Event::SendSegment(conn)),
            Next::EndlessChunk => {
                self.events.schedule(self.now.after(ENDLESS_INTERVAL), Event::SendSegment(conn))
            }
            Next::End => self.finish_response(conn, is_list),
            Next::Reset => self.reset_connection(conn),
        }
    }

    fn finish_response(&mut self, conn: HostConn, is_list: bool) {
        self.network.finish_delivery(conn);
        if is_list {
            self.audit.response_completed(conn.host, self.now);
        }
        self.audit.call_ended(conn.host, is_list);
    }
}

/// The response to a rejected call.
pub(super) fn rejection() -> Rc<[u8]> {
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".as_slice().into()
}

/// A response with this body, with chunked encoding if the fault requires it.
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
    for chunk in body.chunks(SEGMENT_BYTES) {
        text.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        text.extend_from_slice(chunk);
        text.extend_from_slice(b"\r\n");
    }
    if fault != Some(Fault::Endless) {
        text.extend_from_slice(b"0\r\n\r\n");
    }
    text.into()
}
