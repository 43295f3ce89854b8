//! Reads a replica's folder back after a start.

use super::frame::{decode, has_later_frame};
use super::record::{DurableState, Record};
use flaxstand_storage::Storage;
use std::io;

/// What a folder held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveredState {
    /// Nothing that anything was sent after: the replica is new.
    Empty,
    /// Its state.
    Intact(Box<DurableState>),
    /// Something that messages may have told of is gone: where and why, for operators.
    Damaged(String),
}

/// Reads a folder back.
///
/// # Errors
/// The storage can't be read at all. That says nothing of what is on it: try again, or look at the disk.
pub fn recover(storage: &mut dyn Storage) -> io::Result<RecoveredState> {
    let mut segments = storage.segments()?;
    segments.sort_unstable();
    for segment in segments.into_iter().rev() {
        let bytes = storage.read(segment)?;
        match recover_segment(segment, &bytes) {
            // Begun and never durable: nothing was sent since the segment before it.
            RecoveredState::Empty => {}
            recovered => return Ok(recovered),
        }
    }
    Ok(RecoveredState::Empty)
}

fn recover_segment(segment: u64, bytes: &[u8]) -> RecoveredState {
    let mut at = 0;
    let mut last_number = 0;
    let mut state = None::<DurableState>;
    while let Some(frame) = decode(&bytes[at..]) {
        for record in frame.records {
            match (&mut state, record) {
                (Some(state), record) => state.replay(record),
                (none, Record::State(first)) => *none = Some(*first),
                (None, _) => {
                    return RecoveredState::Damaged(format!("segment {segment} begins with no state"));
                }
            }
        }
        at += frame.length;
        last_number = frame.number;
    }
    // A torn last frame was never durable, so nothing was sent after it. One with an intact later frame
    // behind it was: without it the replica would forget promises.
    if has_later_frame(&bytes[at..], last_number) {
        return RecoveredState::Damaged(format!("segment {segment} is damaged at byte {at}"));
    }
    state.map_or(RecoveredState::Empty, |state| RecoveredState::Intact(Box::new(state)))
}
