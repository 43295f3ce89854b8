//! Processes that a rehearsal or a measurement starts, each with its log; they end with whoever holds them.

use std::fs::OpenOptions;
use std::io::{self, BufRead, BufReader, Write as _};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::Duration;
use thiserror::Error;

/// Why a day can't be played.
#[derive(Debug, Error)]
pub enum RehearsalError {
    /// The system says so.
    #[error("{what}: {cause}")]
    Io {
        /// What was tried.
        what: String,
        /// What the system said.
        cause: io::Error,
    },
    /// A process did not do what it was started for.
    #[error("{0}")]
    Process(String),
    /// Whoever started it wants it to end.
    #[error("interrupted: all that was started has been stopped")]
    Interrupted,
    /// What was recorded can't be read.
    #[error(transparent)]
    Records(#[from] flaxstand_audit::record::RecordError),
}

pub(crate) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> RehearsalError {
    let what = what.into();
    move |cause| RehearsalError::Io { what, cause }
}

/// A process that is killed when nobody holds it any more.
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

fn lines_of(output: ChildStdout) -> Receiver<String> {
    let (sender, receiver) = channel();
    // Ends with the process, or when nobody listens any more.
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
        let log = OpenOptions::new().create(true).append(true).open(log).map_err(io_error("its log"))?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(io_error(format!("cannot start {name}")))?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let (Some(input), Some(output)) = (input, output) else {
            return Err(RehearsalError::Process(format!("{name} has no pipes")));
        };
        Ok(Process { name: name.into(), child, input, output: lines_of(output) })
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a line that starts with a word; returns the rest of it.
    pub(crate) fn expect(&mut self, word: &str, within: Duration) -> Result<String, RehearsalError> {
        self.line(word, within)?.ok_or_else(|| self.silent(word))
    }

    /// The same; none if no such line comes in time.
    pub(crate) fn line(&mut self, word: &str, within: Duration) -> Result<Option<String>, RehearsalError> {
        let until = std::time::Instant::now() + within;
        loop {
            let left = until.saturating_duration_since(std::time::Instant::now());
            match self.output.recv_timeout(left) {
                Ok(line) => {
                    if let Some(rest) = line.strip_prefix(word) {
                        return Ok(Some(rest.trim().to_owned()));
                    }
                }
                Err(RecvTimeoutError::Timeout) => return Ok(None),
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(RehearsalError::Process(format!("{} ended; its log says why", self.name)));
                }
            }
        }
    }

    /// It did not say what was waited for.
    pub(crate) fn silent(&self, word: &str) -> RehearsalError {
        RehearsalError::Process(format!("{} did not say {word:?} in time", self.name))
    }

    pub(crate) fn signal(&self, signal: rustix::process::Signal) {
        let _ = rustix::process::kill_process(rustix::process::Pid::from_child(&self.child), signal);
    }

    pub(crate) fn tell(&mut self, lines: &str) {
        if !lines.is_empty() {
            // A process that is gone hears nothing: that is the trouble being played.
            let _ = writeln!(self.input, "{lines}").and_then(|()| self.input.flush());
        }
    }
}

pub(crate) const SOON: Duration = Duration::from_secs(10);

/// Asks a process to stop in good order.
pub(crate) fn ask_to_stop(process: &Process) -> Result<(), RehearsalError> {
    let pid = rustix::process::Pid::from_child(&process.child);
    let asked = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
    asked.map_err(|e| io_error(format!("cannot stop {}", process.name))(e.into()))
}

/// Stops a process in good order.
pub(crate) fn stop(process: Process) -> Result<(), RehearsalError> {
    ask_to_stop(&process)?;
    stopped(process)
}

/// Waits until a process that was asked to stop has.
pub(crate) fn stopped(mut process: Process) -> Result<(), RehearsalError> {
    for _ in 0..1000 {
        if let Ok(Some(status)) = process.child.try_wait() {
            return match status.success() {
                true => Ok(()),
                false => Err(RehearsalError::Process(format!("{} ended with {status}", process.name))),
            };
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Err(RehearsalError::Process(format!("{} did not stop", process.name)))
}
