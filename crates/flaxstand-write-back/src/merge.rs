//! Merging of writes, and application of writes to the data of an extent.

use crate::record::Write;

/// Maximum length of an extent in bytes: what fits into a frame.
pub const MAX_EXTENT_BYTES: usize = 1 << 20;

/// Applies a write to the data of an extent. Gaps are filled with zeros.
pub fn apply_write(data: &mut Vec<u8>, write: &Write) {
    match write.at {
        None => data.clone_from(&write.payload),
        Some(at) => {
            let (at, end) = (at as usize, at as usize + write.payload.len());
            if data.len() < end {
                data.resize(end, 0);
            }
            data[at..end].copy_from_slice(&write.payload);
        }
    }
}

/// Returns the data of the extent if these writes determine it without the node's data, that is, if one of
/// them replaces the whole extent.
pub fn complete_extent<'a>(writes: impl DoubleEndedIterator<Item = &'a Write> + Clone) -> Option<Vec<u8>> {
    let trailing_partial = writes.clone().rev().take_while(|w| w.at.is_some()).count();
    let count = writes.clone().count();
    if trailing_partial == count {
        return None;
    }
    let mut data = Vec::new();
    writes.skip(count - trailing_partial - 1).for_each(|w| apply_write(&mut data, w));
    Some(data)
}

/// Merges two consecutive writes into one with the idempotency key of the later one. Returns `None` unless
/// one of them replaces the whole extent or their ranges overlap or are adjacent, and the result fits into an
/// extent.
pub fn merge_writes(earlier: &Write, later: &Write) -> Option<Write> {
    let (at, payload) = match (earlier.at, later.at) {
        (_, None) => (None, later.payload.clone()),
        (None, Some(_)) => {
            let mut data = earlier.payload.clone();
            apply_write(&mut data, later);
            (None, data)
        }
        (Some(a), Some(b)) => {
            let (a_end, b_end) = (a as usize + earlier.payload.len(), b as usize + later.payload.len());
            if (b as usize) > a_end || (a as usize) > b_end {
                return None;
            }
            let from = a.min(b);
            let mut data = vec![0; a_end.max(b_end) - from as usize];
            for (start, payload) in [(a, &earlier.payload), (b, &later.payload)] {
                let start = (start - from) as usize;
                data[start..start + payload.len()].copy_from_slice(payload);
            }
            (Some(from), data)
        }
    };
    let units = later.units.max(earlier.units);
    (payload.len() <= MAX_EXTENT_BYTES).then(|| Write { at, payload, units, ..later.clone() })
}
