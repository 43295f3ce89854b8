//! A command's connection to a running initiator.

use flaxstand_gateway::machine::Address;
use flaxstand_proto::{Frame, FrameError, Hello, Inbox, Refusal, Role, VERSION, VERSION_OLDEST, encode};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use thiserror::Error;

/// How long an initiator has to accept a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a running initiator did not answer as expected.
#[derive(Debug, Error)]
pub enum CallError {
    /// It can't be reached.
    #[error("{address}: {source}")]
    Connect {
        /// Its address.
        address: Address,
        /// What the system reports.
        source: io::Error,
    },
    /// The request could not be sent.
    #[error("{0}")]
    Send(io::Error),
    /// The request could not be encoded, or the answer decoded.
    #[error("{0}")]
    Encode(postcard::Error),
    /// No answer came.
    #[error("the initiator: {0}")]
    Receive(io::Error),
    /// It closed the connection.
    #[error("the initiator hung up")]
    Closed,
    /// It closed the connection and said why.
    #[error("the initiator says goodbye: {0}")]
    ClosedBecause(String),
    /// It sent what is not a frame.
    #[error("{0}")]
    Frame(FrameError),
    /// It rejected the request.
    #[error("refused: {0:?}")]
    Rejected(Refusal),
    /// The flush was not complete in its time.
    #[error("not all that is buffered reached its node in that time")]
    FlushIncomplete,
    /// Its answer can't be decoded.
    #[error("an answer that can't be read: {0}")]
    Undecodable(postcard::Error),
    /// It answered something else.
    #[error("an answer to something else")]
    Unexpected,
}

/// A connection to a running initiator.
pub struct Connection {
    stream: Box<dyn Stream>,
    inbox: Inbox,
}

trait Stream: Read + Write {
    fn set_timeout(&self, timeout: Duration) -> io::Result<()>;
}

impl Stream for TcpStream {
    fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.set_read_timeout(Some(timeout))
    }
}

impl Stream for UnixStream {
    fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.set_read_timeout(Some(timeout))
    }
}

fn open(address: &Address) -> io::Result<Box<dyn Stream>> {
    Ok(match address {
        Address::Tcp(at) => Box::new(TcpStream::connect(at)?),
        Address::Unix(path) => Box::new(UnixStream::connect(path)?),
    })
}

impl Connection {
    /// Connects to an initiator, as a client of this name.
    pub fn open(address: &Address, name: &str) -> Result<Connection, CallError> {
        let stream =
            open(address).map_err(|source| CallError::Connect { address: address.clone(), source })?;
        let mut connection = Connection { stream, inbox: Inbox::default() };
        let (role, versions) = (Role::Client, (VERSION_OLDEST, VERSION));
        connection.send(&Frame::Hello(Hello { role, versions, id: 0, epoch: 0, name }))?;
        let welcomed = |frame: &Frame<'_>| matches!(frame, Frame::Welcome(_)).then_some(Ok(()));
        connection.receive(HELLO_TIMEOUT, welcomed)?;
        Ok(connection)
    }

    /// Sends a frame.
    pub fn send(&mut self, frame: &Frame<'_>) -> Result<(), CallError> {
        let mut bytes = Vec::new();
        encode(frame, &mut bytes);
        self.stream.write_all(&bytes).map_err(CallError::Send)
    }

    /// Reads until `answer` finds one in a frame. Each read waits for at most `timeout`.
    pub fn receive<T>(
        &mut self,
        timeout: Duration,
        mut answer: impl FnMut(&Frame<'_>) -> Option<Result<T, CallError>>,
    ) -> Result<T, CallError> {
        self.stream.set_timeout(timeout).map_err(CallError::Receive)?;
        let mut buffer = [0; 4096];
        loop {
            let count = self.stream.read(&mut buffer).map_err(CallError::Receive)?;
            if count == 0 {
                return Err(CallError::Closed);
            }
            let mut found = None;
            let fed = self.inbox.feed(&buffer[..count], |frame| {
                found = found.take().or_else(|| match &frame {
                    Frame::Bye { text, .. } => Some(Err(CallError::ClosedBecause((*text).to_owned()))),
                    other => answer(other),
                });
                true
            });
            fed.map_err(CallError::Frame)?;
            if let Some(found) = found {
                return found;
            }
        }
    }
}
