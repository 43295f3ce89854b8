//! Child processes of a rehearsal or a measurement, each with a log file. A child is killed when its handle
//! is dropped.

use std::fs::OpenOptions;
use std::io::{self, BufRead, BufReader, Write as _};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::Duration;
use thiserror::Error;

/// Errors of playing a day or measuring.
#[derive(Debug, Error)]
pub enum RehearsalError {
    /// An I/O operation failed.
    #[error("{what}: {cause}")]
    Io {
        /// The operation that failed.
        what: String,
        /// Cause reported by the system.
        cause: io::Error,
    },
    /// A child process failed or misbehaved.
    #[error("{0}")]
    Process(String),
    /// The run was interrupted from outside.
    #[error("interrupted: all processes of the run have been stopped")]
    Interrupted,
    /// The records can't be read.
    #[error(transparent)]
    Records(#[from] flaxstand_audit::record::RecordError),
}

pub(crate) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> RehearsalError {
    let what = what.into();
    move |cause| RehearsalError::Io { what, cause }
}

/// A child process that is killed on drop.
pub(crate) struct Process {
    name: String,
    child: Child,
    input: ChildStdin,
    output: Receiver<String>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_lines(output: ChildStdout) -> Receiver<String> {
    let (sender, receiver) = channel();
    // Ends when the process closes its output or the receiver is dropped.
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines() {
            let Ok(line) = line else { break };
            if sender.send(line).is_err() {
                break;
            }
        }
    });
    receiver
}

impl Process {
    pub(crate) fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        arguments: &[String],
    ) -> Result<Process, RehearsalError> {
        let log = folder.join(format!("{name}.log"));
        let failed = io_error(format!("cannot open log file {}", log.display()));
        let log = OpenOptions::new().create(true).append(true).open(log).map_err(failed)?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(io_error(format!("cannot start {name}")))?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let (Some(input), Some(output)) = (input, output) else {
            return Err(RehearsalError::Process(format!(
                "{name} was started without pipes on its standard input and output"
            )));
        };
        Ok(Process { name: name.into(), child, input, output: read_lines(output) })
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a line that starts with a word and returns the rest of it.
    pub(crate) fn expect(&mut self, prefix: &str, within: Duration) -> Result<String, RehearsalError> {
        self.line(prefix, within)?.ok_or_else(|| self.silent(prefix))
    }

    /// As `expect`, but returns none if no such line arrives in time.
    pub(crate) fn line(&mut self, prefix: &str, within: Duration) -> Result<Option<String>, RehearsalError> {
        let until = std::time::Instant::now() + within;
        loop {
            let left = until.saturating_duration_since(std::time::Instant::now());
            match self.output.recv_timeout(left) {
                Ok(line) => {
                    if let Some(rest) = line.strip_prefix(prefix) {
                        return Ok(Some(rest.trim().to_owned()));
                    }
                }
                Err(RecvTimeoutError::Timeout) => return Ok(None),
                Err(RecvTimeoutError::Disconnected) => {
                    let name = &self.name;
                    let message = format!("{name} exited unexpectedly; see its log file {name}.log");
                    return Err(RehearsalError::Process(message));
                }
            }
        }
    }

    /// Returns the error for a line that did not arrive in time.
    pub(crate) fn silent(&self, prefix: &str) -> RehearsalError {
        RehearsalError::Process(format!(
            "{} did not print a line starting with {prefix:?} in time",
            self.name
        ))
    }

    pub(crate) fn signal(&self, signal: rustix::process::Signal) {
        let _ = rustix::process::kill_process(rustix::process::Pid::from_child(&self.child), signal);
    }

    pub(crate) fn send_line(&mut self, lines: &str) {
        if !lines.is_empty() {
            // A write to a process that has exited is ignored: the exit is part of the scenario.
            let _ = writeln!(self.input, "{lines}").and_then(|()| self.input.flush());
        }
    }
}

pub(crate) const PROCESS_TIMEOUT: Duration = Duration::from_secs(10);

/// Asks a process to shut down gracefully.
pub(crate) fn request_stop(process: &Process) -> Result<(), RehearsalError> {
    let pid = rustix::process::Pid::from_child(&process.child);
    let sent = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
    sent.map_err(|e| io_error(format!("cannot stop {}", process.name))(e.into()))
}

/// Shuts a process down gracefully.
pub(crate) fn stop(process: Process) -> Result<(), RehearsalError> {
    request_stop(&process)?;
    wait_for_exit(process)
}

/// Waits until a process that was asked to stop has exited.
pub(crate) fn wait_for_exit(mut process: Process) -> Result<(), RehearsalError> {
    for _ in 0..1000 {
        if let Ok(Some(status)) = process.child.try_wait() {
            return match status.success() {
                true => Ok(()),
                false => {
                    Err(RehearsalError::Process(format!("{} failed on shutdown: {status}", process.name)))
                }
            };
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Err(RehearsalError::Process(format!("{} did not exit within 10 s of SIGTERM", process.name)))
}
