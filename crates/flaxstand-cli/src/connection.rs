//! Client connection of a command to a running initiator.

use flaxstand_gateway::machine::Address;
use flaxstand_proto::{Frame, FrameError, Hello, Inbox, Refusal, Role, VERSION, VERSION_OLDEST, encode};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use thiserror::Error;

/// Maximum time for an initiator to welcome a client.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// A call to a running initiator failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection failed.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address of the initiator.
        address: Address,
        /// The error of the system.
        source: io::Error,
    },
    /// The request could not be sent.
    #[error("cannot send to the initiator: {0}")]
    Send(io::Error),
    /// The request could not be encoded.
    #[error("cannot encode the request: {0}")]
    Encode(postcard::Error),
    /// Reading the answer failed or timed out.
    #[error("cannot read the initiator's answer: {0}")]
    Receive(io::Error),
    /// The initiator closed the connection without a reason.
    #[error("the initiator closed the connection before it answered")]
    Closed,
    /// The initiator closed the connection with a reason.
    #[error("the initiator closed the connection: {0}")]
    ClosedBecause(String),
    /// The initiator sent an invalid frame.
    #[error("invalid frame from the initiator: {0}")]
    Frame(FrameError),
    /// The initiator refused the request.
    #[error("the initiator refused the request: {0:?}")]
    Rejected(Refusal),
    /// The flush did not complete within its time limit.
    #[error("flush incomplete: not all buffered writes reached their nodes within the time limit")]
    FlushIncomplete,
    /// The answer could not be decoded.
    #[error("cannot decode the initiator's answer: {0}")]
    Undecodable(postcard::Error),
    /// The answer is of another kind than the request asks for.
    #[error("expected a status report from the initiator, found another answer")]
    Unexpected,
}

/// A blocking connection to a running initiator.
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
    /// Connects to an initiator as client `name` and waits for its welcome.
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

    pub fn send(&mut self, frame: &Frame<'_>) -> Result<(), CallError> {
        let mut bytes = Vec::new();
        encode(frame, &mut bytes);
        self.stream.write_all(&bytes).map_err(CallError::Send)
    }

    /// Reads frames until `answer` returns a result for one. Each read waits for at most `timeout`.
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
