//! A command's connection to a running initiator.

use crate::Failure;
use flaxstand_gateway::machine::Address;
use flaxstand_proto::{Frame, Hello, Inbox, Role, VERSION, VERSION_OLDEST, encode};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// A connection to a running initiator.
pub struct Caller {
    stream: Box<dyn Stream>,
    inbox: Inbox,
}

trait Stream: Read + Write {
    fn patience(&self, time: Duration) -> io::Result<()>;
}

impl Stream for TcpStream {
    fn patience(&self, time: Duration) -> io::Result<()> {
        self.set_read_timeout(Some(time))
    }
}

impl Stream for UnixStream {
    fn patience(&self, time: Duration) -> io::Result<()> {
        self.set_read_timeout(Some(time))
    }
}

impl Caller {
    /// Calls it, under the name of a command.
    pub fn call(address: &Address, name: &str) -> Result<Caller, Failure> {
        let stream: io::Result<Box<dyn Stream>> = match address {
            Address::Tcp(at) => TcpStream::connect(at).map(|s| Box::new(s) as Box<dyn Stream>),
            Address::Unix(path) => UnixStream::connect(path).map(|s| Box::new(s) as Box<dyn Stream>),
        };
        let stream = stream.map_err(|e| Failure::System(format!("{address}: {e}")))?;
        let mut caller = Caller { stream, inbox: Inbox::default() };
        let (role, versions) = (Role::Client, (VERSION_OLDEST, VERSION));
        caller.say(&Frame::Hello(Hello { role, versions, id: 0, epoch: 0, name }))?;
        let greeted = |f: &Frame<'_>| matches!(f, Frame::Welcome(_)).then_some(Ok(()));
        caller.hear(Duration::from_secs(5), greeted)?;
        Ok(caller)
    }

    pub fn say(&mut self, frame: &Frame<'_>) -> Result<(), Failure> {
        let mut bytes = Vec::new();
        encode(frame, &mut bytes);
        self.stream.write_all(&bytes).map_err(|e| Failure::System(e.to_string()))
    }

    /// Reads until a frame is the answer.
    pub fn hear<T>(
        &mut self,
        patience: Duration,
        mut answer: impl FnMut(&Frame<'_>) -> Option<Result<T, String>>,
    ) -> Result<T, Failure> {
        let system = |e: io::Error| Failure::System(format!("the initiator: {e}"));
        self.stream.patience(patience).map_err(system)?;
        let mut buffer = [0; 4096];
        let mut found = None;
        while found.is_none() {
            let count = self.stream.read(&mut buffer).map_err(system)?;
            if count == 0 {
                return Err(Failure::System("the initiator hung up".into()));
            }
            let fed = self.inbox.feed(&buffer[..count], |frame| {
                found = found.take().or_else(|| match &frame {
                    Frame::Bye { text, .. } => Some(Err(format!("the initiator says goodbye: {text}"))),
                    other => answer(other),
                });
                true
            });
            fed.map_err(|e| Failure::System(e.to_string()))?;
        }
        found.expect("the loop ends with it").map_err(Failure::System)
    }
}
