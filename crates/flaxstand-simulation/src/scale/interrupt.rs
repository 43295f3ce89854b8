//! Waits that end at SIGINT or SIGTERM: a run gives up then, and what it holds ends with it.

use crate::process::{Process, RehearsalError};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Longest time until an interrupt is noticed.
const SLICE: Duration = Duration::from_millis(50);

/// Whether the run is to end.
pub(super) struct Interrupt(Arc<AtomicBool>);

impl Interrupt {
    /// Catches SIGINT and SIGTERM from now on.
    ///
    /// # Errors
    /// The system does not allow it.
    pub(super) fn catch() -> io::Result<Interrupt> {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, Arc::clone(&flag))?;
        }
        Ok(Interrupt(flag))
    }

    /// # Errors
    /// The run was interrupted.
    pub(super) fn check(&self) -> Result<(), RehearsalError> {
        if self.0.load(Ordering::Relaxed) { Err(RehearsalError::Interrupted) } else { Ok(()) }
    }

    /// Waits until a moment.
    ///
    /// # Errors
    /// The run was interrupted.
    pub(super) fn sleep_until(&self, until: Instant) -> Result<(), RehearsalError> {
        loop {
            self.check()?;
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(SLICE));
        }
    }

    /// Waits for a time.
    ///
    /// # Errors
    /// The run was interrupted.
    pub(super) fn sleep(&self, time: Duration) -> Result<(), RehearsalError> {
        self.sleep_until(Instant::now() + time)
    }

    /// Waits for a process's line that starts with a word; returns the rest of it.
    ///
    /// # Errors
    /// The run was interrupted, the process ended, or it did not say so in time.
    pub(super) fn expect(
        &self,
        process: &mut Process,
        word: &str,
        within: Duration,
    ) -> Result<String, RehearsalError> {
        let until = Instant::now() + within;
        loop {
            self.check()?;
            let left = until.saturating_duration_since(Instant::now());
            if let Some(rest) = process.line(word, left.min(SLICE))? {
                return Ok(rest);
            }
            if left.is_zero() {
                return Err(process.silent(word));
            }
        }
    }
}
