//! A driver that blocks until each request's final answer.

use crate::answer::{AbandonedRequest, Answer};
use crate::config::Config;
use crate::polled::{Address, PolledClient};
use crate::request::Request;
use std::time::Duration;

/// Longest wait between two polls of the client while it is disconnected.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A client that processes one request at a time.
#[derive(Debug)]
pub struct BlockingClient {
    polled: PolledClient,
}

impl BlockingClient {
    /// Creates a client of the initiator at an address. It connects when the first request is sent.
    pub fn new(address: Address, config: Config) -> Self {
        BlockingClient { polled: PolledClient::new(address, config) }
    }

    /// Sends a request and blocks until its final answer, for at most the request's time-out.
    ///
    /// # Errors
    /// The request was abandoned. The error holds the reason, the number of attempts, and whether the request
    /// may have been executed.
    pub fn send(&mut self, request: Request) -> Result<Answer, AbandonedRequest> {
        let id = self.polled.submit(request);
        loop {
            let progress = self.polled.drive();
            let mut completions = progress.completions.into_iter();
            if let Some(completion) = completions.find(|completion| completion.request == id) {
                return completion.result;
            }
            self.wait(progress.next_wake_in.unwrap_or(POLL_INTERVAL));
        }
    }

    fn wait(&self, timeout: Duration) {
        match &self.polled.socket {
            Some(socket) => socket.wait_until_ready(self.polled.wants_write(), timeout),
            None => std::thread::sleep(timeout.min(POLL_INTERVAL)),
        }
    }
}
