//! What operators do with the log of an initiator that is stopped.

use crate::record::{Record, Seq};
use crate::recover::{LiveRecord, RecoverError, recover};
use flaxstand_proto::Micros;
use flaxstand_storage::{Batch, Storage, perform};

/// What an operator decides of a parked write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParkedDecision {
    /// It is on its node.
    Done,
    /// It is not, and goes out as if it never had.
    Again,
}

/// An operator's word on a parked write. False, and nothing is changed, if there is no such write.
///
/// # Errors
/// The log can't be read or written; then nothing is decided.
pub fn decide(storage: &mut dyn Storage, seq: Seq, verdict: ParkedDecision) -> Result<bool, RecoverError> {
    let mut recovered = recover(storage)?;
    let Some(LiveRecord::Write { taken, parked: true, write, .. }) = recovered.live.remove(&seq) else {
        return Ok(false);
    };
    let record = match verdict {
        ParkedDecision::Done => Record::Done { seq },
        ParkedDecision::Again => Record::Write { seq, taken, started: None, parked: false, write },
    };
    let now = Micros(0);
    recovered.log.append(&record, now);
    recovered.log.hurry();
    while let Some(Batch { ops }) = recovered.log.batch(Micros(0), now) {
        perform(storage, &Batch { ops })?;
        recovered.log.stored(true, now);
    }
    Ok(true)
}
