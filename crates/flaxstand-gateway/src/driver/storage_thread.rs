//! A thread that stores batches in a durable log, so that the driver never blocks on a disk.

use flaxstand_storage::{Batch, Storage, perform};
use rustix::io::read;
use std::io::{self, PipeReader, PipeWriter, Write as _};
use std::sync::mpsc::{Receiver, Sender, channel};

/// Creates a pipe that wakes the driver; its read end is non-blocking. A pair of Unix sockets is not used,
/// since the platform does not support them.
pub(super) fn wake_pipe() -> io::Result<(PipeReader, PipeWriter)> {
    let (reader, writer) = io::pipe()?;
    rustix::io::ioctl_fionbio(&reader, true)?;
    Ok((reader, writer))
}

/// Reads and discards all bytes in a wake pipe.
pub(super) fn drain_wake_pipe(reader: &PipeReader) {
    let mut bytes = [0; 64];
    while matches!(read(reader, &mut bytes), Ok(count) if count > 0) {}
}

/// A storage thread and its queue of batches.
pub(super) struct StorageThread {
    batches: Sender<Batch>,
    results: Receiver<io::Result<()>>,
    /// Readable when a batch has completed.
    pub(super) wake: PipeReader,
}

impl StorageThread {
    /// Starts the thread. It ends when the returned value is dropped.
    pub(super) fn start(name: &str, mut storage: Box<dyn Storage>) -> io::Result<StorageThread> {
        let (wake, waker) = wake_pipe()?;
        let (batches, queue) = channel::<Batch>();
        let (result_sender, results) = channel();
        std::thread::Builder::new().name(name.into()).spawn(move || {
            for batch in queue {
                let result = perform(&mut *storage, &batch);
                if result_sender.send(result).is_err() || (&waker).write_all(&[1]).is_err() {
                    return;
                }
            }
        })?;
        Ok(StorageThread { batches, results, wake })
    }

    /// Queues a batch. Returns false if the thread has ended.
    pub(super) fn store(&self, batch: Batch) -> bool {
        self.batches.send(batch).is_ok()
    }

    /// Takes the results of the completed batches, in order.
    pub(super) fn take_results(&self) -> Vec<io::Result<()>> {
        drain_wake_pipe(&self.wake);
        self.results.try_iter().collect()
    }
}
