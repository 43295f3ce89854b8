//! Storage nodes on threads of the test.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a node treats requests.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Answers after a delay, with a body of this length.
    Serve { delay: Duration, body_bytes: usize },
    /// Reads requests and never answers.
    Silent,
    /// Announces a body of this length, sends all of it but the last byte and stalls.
    StallInBody { body_bytes: usize },
    /// Accepts connections and reads nothing.
    Unread,
}

impl Behaviour {
    /// Answers at once with a few bytes.
    pub const QUICK: Behaviour = Behaviour::Serve { delay: Duration::ZERO, body_bytes: 2 };
}

/// A request that a node received whole.
#[derive(Clone, Debug)]
pub struct NodeRequest {
    pub id: String,
    pub at: Instant,
}

/// A node.
pub struct Node {
    address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    received: Arc<Mutex<Vec<NodeRequest>>>,
}

impl Node {
    /// Starts a node at an address.
    pub fn start(address: SocketAddr, behaviour: Behaviour) -> Node {
        let listener = TcpListener::bind(address).unwrap();
        let behaviour = Arc::new(Mutex::new(behaviour));
        let node = Node { address, behaviour, received: Arc::default() };
        let (behaviour, received) = (node.behaviour.clone(), node.received.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (behaviour, received) = (behaviour.clone(), received.clone());
                let serve = move || serve_connection(stream, &behaviour, &received);
                let _ = std::thread::Builder::new().stack_size(128 * 1024).spawn(serve);
            }
        });
        node
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how requests are treated from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// Returns the requests that were received whole.
    pub fn received(&self) -> Vec<NodeRequest> {
        self.received.lock().unwrap().clone()
    }

    /// Returns how many requests with this id were received whole.
    pub fn executions_of(&self, id: &str) -> usize {
        self.received.lock().unwrap().iter().filter(|request| request.id == id).count()
    }
}

fn serve_connection(mut stream: TcpStream, behaviour: &Mutex<Behaviour>, received: &Mutex<Vec<NodeRequest>>) {
    let _ = stream.set_nodelay(true);
    if let Behaviour::Unread = *behaviour.lock().unwrap() {
        std::thread::sleep(Duration::from_secs(60));
    }
    let mut buffered = Vec::new();
    while let Some(id) = read_request(&mut stream, &mut buffered) {
        received.lock().unwrap().push(NodeRequest { id, at: Instant::now() });
        let behaviour = *behaviour.lock().unwrap();
        let is_sent = match behaviour {
            Behaviour::Serve { delay, body_bytes } => {
                std::thread::sleep(delay);
                answer(&mut stream, body_bytes, body_bytes)
            }
            Behaviour::StallInBody { body_bytes } => answer(&mut stream, body_bytes, body_bytes - 1),
            Behaviour::Silent | Behaviour::Unread => Ok(()),
        };
        if is_sent.is_err() {
            return;
        }
    }
}

fn answer(stream: &mut TcpStream, announced: usize, sent: usize) -> std::io::Result<()> {
    let mut message = format!("HTTP/1.1 200 OK\r\nContent-Length: {announced}\r\n\r\n").into_bytes();
    message.resize(message.len() + sent, b'x');
    stream.write_all(&message)
}

/// Reads the next request; returns its id.
fn read_request(stream: &mut TcpStream, buffered: &mut Vec<u8>) -> Option<String> {
    let mut chunk = vec![0; 16 * 1024];
    loop {
        if let Some(end) = buffered.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffered[..end]).into_owned();
            let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name).map(str::trim));
            let length: usize = field("Content-Length:").map_or(0, |length| length.parse().unwrap());
            if buffered.len() >= end + 4 + length {
                buffered.drain(..end + 4 + length);
                return Some(field("X-Request-ID:").unwrap_or_default().to_owned());
            }
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        buffered.extend_from_slice(&chunk[..count]);
    }
}
