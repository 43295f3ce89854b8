//! Reads a replica's journal directory after a start.

use super::frame::{decode, has_later_frame};
use super::record::{DurableState, Record};
use flaxstand_storage::Storage;
use std::io;

/// Result of reading a journal directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveredState {
    /// No durable state: the replica is new.
    Empty,
    /// The recovered state.
    Intact(Box<DurableState>),
    /// Durable state that earlier messages may depend on is lost. Holds the position and the reason, for
    /// operators.
    Damaged(String),
}

/// Reads a journal directory.
///
/// # Errors
/// The storage can't be read. This does not mean that its contents are damaged; the caller may retry.
pub fn recover(storage: &mut dyn Storage) -> io::Result<RecoveredState> {
    let mut segments = storage.segments()?;
    segments.sort_unstable();
    for segment in segments.into_iter().rev() {
        let bytes = storage.read(segment)?;
        match recover_segment(segment, &bytes) {
            // Segment without a durable checkpoint: no message was sent after the previous segment's last
            // record.
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
                (slot, Record::State(checkpoint)) => *slot = Some(*checkpoint),
                (None, _) => {
                    return RecoveredState::Damaged(format!(
                        "journal segment {segment} does not start with a checkpoint"
                    ));
                }
            }
        }
        at += frame.length;
        last_number = frame.number;
    }
    // A torn last frame was never durable, so no message depends on it. A damaged frame that is followed by
    // an intact one was durable: ignoring it would drop promises.
    if has_later_frame(&bytes[at..], last_number) {
        return RecoveredState::Damaged(format!("journal segment {segment} is damaged at byte {at}"));
    }
    state.map_or(RecoveredState::Empty, |state| RecoveredState::Intact(Box::new(state)))
}
