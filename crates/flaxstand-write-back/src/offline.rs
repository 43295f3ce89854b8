//! Operations on the log of a stopped initiator.

use crate::record::{Record, Seq};
use crate::recover::{LiveRecord, LiveWrite, RecoverError, recover};
use flaxstand_proto::Micros;
use flaxstand_storage::{Storage, perform};

/// Operator's decision on a parked write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParkedDecision {
    /// The write was executed by its node.
    Done,
    /// The write was not executed; it is written out as if it had never been sent.
    Resend,
}

/// Records an operator's decision on a parked write. Returns false, and changes nothing, if there is no
/// parked write of this number.
///
/// # Errors
/// If the log can't be read or written; no decision is recorded then.
pub fn decide(storage: &mut dyn Storage, seq: Seq, decision: ParkedDecision) -> Result<bool, RecoverError> {
    let mut recovered = recover(storage)?;
    let Some(LiveRecord::Write(LiveWrite { accepted, parked: true, write, .. })) =
        recovered.live.remove(&seq)
    else {
        return Ok(false);
    };
    let record = match decision {
        ParkedDecision::Done => Record::Done { seq },
        ParkedDecision::Resend => Record::Write { seq, accepted, started: None, parked: false, write },
    };
    let now = Micros(0);
    recovered.log.append(&record, now);
    recovered.log.expedite();
    while let Some(batch) = recovered.log.next_batch(Micros(0), now) {
        perform(storage, &batch)?;
        recovered.log.batch_stored(true, now);
    }
    Ok(true)
}
