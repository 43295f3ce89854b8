//! A face that waits for each answer.

use crate::core::{Answer, Call, Config, GaveUp};
use crate::polled::{Address, Polled};
use std::time::Duration;

/// Longest sleep between two looks while there is no connection.
const LOOK: Duration = Duration::from_millis(5);

/// A client that does one call at a time.
#[derive(Debug)]
pub struct Blocking {
    polled: Polled,
}

impl Blocking {
    /// A client of the initiator at an address. It connects with the first call.
    pub fn new(address: Address, config: Config) -> Self {
        Blocking { polled: Polled::new(address, config) }
    }

    /// Does a call; returns within its patience.
    ///
    /// # Errors
    /// It was given up: why, after how many tries, and whether it may have run.
    pub fn call(&mut self, call: Call) -> Result<Answer, GaveUp> {
        let id = self.polled.call(call);
        loop {
            let (done, wait) = self.polled.turn();
            if let Some(done) = done.into_iter().find(|d| d.call == id) {
                return done.result;
            }
            let wait = wait.unwrap_or(LOOK);
            match &self.polled.socket {
                Some(socket) => socket.wait(self.polled.wants_write(), wait),
                None => std::thread::sleep(wait.min(LOOK)),
            }
        }
    }
}
