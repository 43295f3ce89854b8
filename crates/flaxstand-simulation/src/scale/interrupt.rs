//! Waits that end early at SIGINT or SIGTERM. The run then fails, and the processes that it started are
//! killed.

use crate::process::{Process, RehearsalError};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Interval at which waits check for an interrupt.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Flag that is set by SIGINT and SIGTERM.
pub(super) struct Interrupt(Arc<AtomicBool>);

impl Interrupt {
    /// Installs the handlers for SIGINT and SIGTERM.
    ///
    /// # Errors
    /// A handler cannot be installed.
    pub(super) fn install() -> io::Result<Interrupt> {
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

    /// Sleeps until `deadline`.
    ///
    /// # Errors
    /// The run was interrupted.
    pub(super) fn sleep_until(&self, deadline: Instant) -> Result<(), RehearsalError> {
        loop {
            self.check()?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            std::thread::sleep(remaining.min(CHECK_INTERVAL));
        }
    }

    /// Sleeps for `duration`.
    ///
    /// # Errors
    /// The run was interrupted.
    pub(super) fn sleep(&self, duration: Duration) -> Result<(), RehearsalError> {
        self.sleep_until(Instant::now() + duration)
    }

    /// Waits until a process prints a line that starts with `prefix`. Returns the rest of the line.
    ///
    /// # Errors
    /// The run was interrupted, the process ended, or it printed no such line within `timeout`.
    pub(super) fn expect(
        &self,
        process: &mut Process,
        prefix: &str,
        timeout: Duration,
    ) -> Result<String, RehearsalError> {
        let deadline = Instant::now() + timeout;
        loop {
            self.check()?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if let Some(rest) = process.line(prefix, remaining.min(CHECK_INTERVAL))? {
                return Ok(rest);
            }
            if remaining.is_zero() {
                return Err(process.silent(prefix));
            }
        }
    }
}
