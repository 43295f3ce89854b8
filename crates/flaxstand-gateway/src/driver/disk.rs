//! The thread that carries batches of a durable log out, and the pipe by which it wakes the driver.

use flaxstand_storage::{Batch, Storage, perform};
use std::io::{self, PipeReader, PipeWriter, Write as _};
use std::sync::mpsc::{Receiver, Sender, channel};

/// A pipe whose end here is never waited for. Not a pair of Unix sockets: the platform knows none.
pub(super) fn wake_pipe() -> io::Result<(PipeReader, PipeWriter)> {
    let (ours, theirs) = io::pipe()?;
    rustix::io::ioctl_fionbio(&ours, true)?;
    Ok((ours, theirs))
}

/// The thread that carries batches out.
pub(super) struct Disk {
    pub(super) batches: Sender<Batch>,
    pub(super) done: Receiver<io::Result<()>>,
    /// Readable when a batch is done.
    pub(super) done_pipe: PipeReader,
}

impl Disk {
    /// The thread ends with this.
    pub(super) fn start(name: &str, mut storage: Box<dyn Storage>) -> io::Result<Disk> {
        let (done_pipe, ring) = wake_pipe()?;
        let (batches, todo) = channel::<Batch>();
        let (tell, done) = channel();
        std::thread::Builder::new().name(name.into()).spawn(move || {
            for batch in todo {
                if tell.send(perform(&mut *storage, &batch)).is_err() || (&ring).write_all(&[1]).is_err() {
                    return;
                }
            }
        })?;
        Ok(Disk { batches, done, done_pipe })
    }
}
