//! Executes the commands of the machine.

use super::Driver;
use super::state_files::{append, replace, replace_durably};
use crate::machine::{Command, Machine, Sink};
use std::io::{self, Write as _};
use std::path::Path;
use tracing::warn;

impl<M: Machine> Driver<M> {
    pub(super) fn execute(&mut self, command: Command) {
        match command {
            Command::Connect { conn, address } => self.connect(conn, &address),
            Command::Flush(conn) => self.flush(conn),
            Command::ShutdownWrite(conn) => self.shut_down_write(conn),
            Command::Close { conn, last } => self.close(conn, &last),
            Command::SaveList(bytes) => self.update_saved_list(|path| replace(path, &bytes)),
            Command::AppendList(bytes) => self.update_saved_list(|path| append(path, &bytes)),
            Command::AppendOutput(sink, bytes) => self.append_output(sink, &bytes),
            Command::StoreWriteBack(batch) => {
                let is_queued = self.write_back_log.as_ref().is_some_and(|log| log.store(batch));
                if !is_queued {
                    self.machine.write_back_stored(false, self.now);
                }
            }
            Command::StoreConsensus(batch) => {
                let is_queued = self.consensus_log.as_ref().is_some_and(|log| log.store(batch));
                if !is_queued {
                    self.machine.consensus_stored(false, self.now);
                }
            }
            Command::SaveReplicatedState(bytes) => self.save_replicated_state(&bytes),
            Command::StopListening => self.stop_listening(),
            Command::Print(line) => {
                let mut out = io::stdout().lock();
                let _ = writeln!(out, "{line}").and_then(|()| out.flush());
            }
            Command::Exit => self.is_done = true,
        }
    }

    /// Writes to the file of the saved endpoint list, if one is configured.
    fn update_saved_list(&mut self, write: impl FnOnce(&Path) -> io::Result<()>) {
        let Some(path) = &self.options.saved_list else { return };
        if let Err(error) = write(path) {
            warn!(%error, path = %path.display(), "cannot write the saved endpoint list; retrying later");
            self.machine.save_failed(self.now);
        }
    }

    fn append_output(&mut self, sink: Sink, bytes: &[u8]) {
        let file = match sink {
            Sink::Record => &mut self.options.record,
            Sink::Data => &mut self.options.data,
        };
        if let Some(file) = file
            && let Err(error) = file.write_all(bytes)
        {
            warn!(%error, ?sink, "cannot append {} bytes of output; discarding them", bytes.len());
        }
    }

    fn save_replicated_state(&mut self, bytes: &[u8]) {
        if let Some(path) = &self.options.replicated_state
            && let Err(error) = replace_durably(path, bytes)
        {
            warn!(%error, path = %path.display(), "cannot save the replicated state; leaving it unsaved");
        }
    }

    /// Reports completed batches of the write-back log to the machine.
    pub(super) fn report_write_back_results(&mut self) {
        let Some(log) = &self.write_back_log else { return };
        for result in log.take_results() {
            warn_if_failed("write-back", &result);
            self.machine.write_back_stored(result.is_ok(), self.now);
        }
    }

    /// Reports completed batches of the consensus log to the machine.
    pub(super) fn report_consensus_results(&mut self) {
        let Some(log) = &self.consensus_log else { return };
        for result in log.take_results() {
            warn_if_failed("consensus", &result);
            self.machine.consensus_stored(result.is_ok(), self.now);
        }
    }
}

fn warn_if_failed(log: &str, result: &io::Result<()>) {
    if let Err(error) = result {
        warn!(%error, "batch of the {log} log failed; retrying later");
    }
}
