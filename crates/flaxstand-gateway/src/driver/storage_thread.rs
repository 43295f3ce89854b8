//! A thread that carries out batches of a durable log, so that the driver never waits for a disk.

use flaxstand_storage::{Batch, Storage, perform};
use rustix::io::read;
use std::io::{self, PipeReader, PipeWriter, Write as _};
use std::sync::mpsc::{Receiver, Sender, channel};

/// A pipe that wakes the driver; reading its end here never blocks. Not a pair of Unix sockets: the platform has
/// none.
pub(super) fn wake_pipe() -> io::Result<(PipeReader, PipeWriter)> {
    let (reader, writer) = io::pipe()?;
    rustix::io::ioctl_fionbio(&reader, true)?;
    Ok((reader, writer))
}

/// Reads all that waits in a wake pipe.
pub(super) fn drain_wake_pipe(reader: &PipeReader) {
    let mut bytes = [0; 64];
    while matches!(read(reader, &mut bytes), Ok(count) if count > 0) {}
}

/// The thread with its queue of batches.
pub(super) struct StorageThread {
    batches: Sender<Batch>,
    results: Receiver<io::Result<()>>,
    /// Readable when a batch is done.
    pub(super) wake: PipeReader,
}

impl StorageThread {
    /// Starts the thread. It ends when this is dropped.
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

    /// Results of the batches that are done, in order.
    pub(super) fn take_results(&self) -> Vec<io::Result<()>> {
        drain_wake_pipe(&self.wake);
        self.results.try_iter().collect()
    }
}
