//! A driver that waits for each answer.

use crate::answer::{AbandonedRequest, Answer};
use crate::config::Config;
use crate::polled::{Address, PolledClient};
use crate::request::Request;
use std::time::Duration;

/// Longest wait between two polls of the client while there is no connection.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A client that does one request at a time.
#[derive(Debug)]
pub struct BlockingClient {
    polled: PolledClient,
}

impl BlockingClient {
    /// A client of the initiator at an address. It connects with the first request.
    pub fn new(address: Address, config: Config) -> Self {
        BlockingClient { polled: PolledClient::new(address, config) }
    }

    /// Sends a request and waits for its final answer, at most for the request's timeout.
    ///
    /// # Errors
    /// The request was abandoned: why, after how many attempts, and whether it may have been executed.
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
