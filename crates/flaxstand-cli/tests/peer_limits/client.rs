//! Clients: their requests, a well-behaved client that measures its service, and crowds.

use crate::common::read_message;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time for any answer to arrive.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A request of a client.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub volume: u64,
    pub extent: u64,
    pub shard: i64,
    pub timeout: Duration,
    /// Length of the body of a write; `None` for a read.
    pub body_bytes: Option<usize>,
}

impl<'a> Request<'a> {
    /// A small read from shard 0.
    pub fn read(id: &'a str, timeout: Duration) -> Self {
        Request { id, class: "read", volume: 1, extent: 1, shard: 0, timeout, body_bytes: None }
    }

    /// Returns the head.
    pub fn head(&self) -> String {
        let Request { id, class, volume, extent, shard, .. } = self;
        let method = if self.body_bytes.is_some() { "PUT" } else { "GET" };
        let length = self.body_bytes.map(|bytes| format!("Content-Length: {bytes}\r\n")).unwrap_or_default();
        format!(
            "{method} /api/{volume:016x}/{extent:016x} HTTP/1.1\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {class}\r\nX-Qos-Policy: gold\r\nX-Timeout: {:.3}\r\n\
             X-Placement: units=1,shard={shard},hosts=1\r\n{length}\r\n",
            self.timeout.as_secs_f64()
        )
    }

    /// Returns the head with as many further short fields as a head may have.
    pub fn head_with_short_fields(&self, fields: usize) -> String {
        let head = self.head();
        let further: String = (0..fields).map(|number| format!("{}:\r\n", short_name(number))).collect();
        format!("{}{further}\r\n", head.strip_suffix("\r\n").unwrap())
    }

    /// Returns the head and the body.
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.head().into_bytes();
        bytes.resize(bytes.len() + self.body_bytes.unwrap_or(0), b'b');
        bytes
    }
}

fn short_name(number: usize) -> String {
    format!("{}{}", char::from(b'a' + (number / 26) as u8), char::from(b'a' + (number % 26) as u8))
}

/// Connects with a time-out for answers.
pub fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    stream
}

/// Sends a request and returns the status of its answer; `None` if the connection ends without one.
pub fn status_of(stream: &mut TcpStream, request: &[u8]) -> Option<u16> {
    stream.write_all(request).ok()?;
    let (head, _) = read_message(stream)?;
    head.split(' ').nth(1)?.parse().ok()
}

/// How often a write that the connection does not take is tried again, and after which time.
const WRITE_RETRIES: u32 = 4;
const WRITE_RETRY_AFTER: Duration = Duration::from_millis(1);

/// Writes as much as the connection takes, `bytes` again and again up to `max_bytes`. Returns how much it took.
pub fn write_what_is_taken(stream: &mut TcpStream, bytes: &[u8], max_bytes: usize) -> usize {
    stream.set_nonblocking(true).unwrap();
    let (mut written, mut retries) = (0, 0);
    while written < max_bytes && retries <= WRITE_RETRIES {
        let offset = written % bytes.len();
        let end = bytes.len().min(offset + max_bytes - written);
        match stream.write(&bytes[offset..end]) {
            Ok(count) => (written, retries) = (written + count, 0),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                retries += 1;
                std::thread::sleep(WRITE_RETRY_AFTER);
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    stream.set_nonblocking(false).unwrap();
    written
}

/// One request of a [`UsualClient`].
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "printed where a check fails")]
pub struct Exchange {
    pub id: String,
    /// Status and latency; `None` if it was not answered.
    pub answer: Option<(u16, Duration)>,
}

/// A client that keeps its connection and sends a small read again and again.
pub struct UsualClient {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Exchange>>,
}

impl UsualClient {
    /// Starts a client.
    pub fn start(at: SocketAddr, name: &str, deadline: Duration, interval: Duration) -> UsualClient {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (stopped, name) = (is_stopped.clone(), name.to_owned());
        let thread = std::thread::spawn(move || {
            let mut connection = None;
            let mut exchanges = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                let id = format!("{name}-{}", exchanges.len());
                let request = Request::read(&id, deadline).bytes();
                let sent_at = Instant::now();
                let status = exchange(at, &mut connection, &request);
                let answer = status.map(|status| (status, sent_at.elapsed()));
                exchanges.push(Exchange { id, answer });
                std::thread::sleep(interval);
            }
            exchanges
        });
        UsualClient { is_stopped, thread }
    }

    /// Stops the client; returns what it has seen.
    pub fn finish(self) -> Vec<Exchange> {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

/// Sends a request on the kept connection, or once more on a new one if that was closed before any answer.
fn exchange(at: SocketAddr, kept: &mut Option<TcpStream>, request: &[u8]) -> Option<u16> {
    if let Some(stream) = kept {
        let status = status_of(stream, request);
        if status.is_some() {
            return status;
        }
    }
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let status = status_of(&mut stream, request);
    *kept = Some(stream);
    status
}

/// Asserts that each request was answered by its deadline, and that at least `served_share` were served.
#[track_caller]
pub fn assert_served_in_time(exchanges: &[Exchange], deadline: Duration, served_share: f64) {
    let late: Vec<&Exchange> = exchanges
        .iter()
        .filter(|exchange| exchange.answer.is_none_or(|(_, latency)| latency > deadline))
        .collect();
    let served = exchanges.iter().filter(|exchange| matches!(exchange.answer, Some((200, _)))).count();
    let longest = exchanges.iter().filter_map(|exchange| exchange.answer).map(|(_, latency)| latency).max();
    println!("{served} of {} served, longest {longest:?}", exchanges.len());
    assert!(!exchanges.is_empty(), "no request was sent");
    assert!(late.is_empty(), "{} of {} late or unanswered: {late:?}", late.len(), exchanges.len());
    assert!(served as f64 >= served_share * exchanges.len() as f64, "only {served} served: {exchanges:?}");
}
