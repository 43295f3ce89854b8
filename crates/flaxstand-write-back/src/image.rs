//! Writes merged with each other, and laid over what a node holds.

use crate::record::Write;

/// Longest extent that writes may make, bytes: what fits into a frame.
pub const MAX_EXTENT_BYTES: usize = 1 << 20;

/// Lays a write over an extent's data. Bytes that no write reached are zero.
pub fn lay(data: &mut Vec<u8>, write: &Write) {
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

/// The extent's data, if these writes make it up without the node's: one of them replaces all of it.
pub fn whole<'a>(writes: impl DoubleEndedIterator<Item = &'a Write> + Clone) -> Option<Vec<u8>> {
    let from = writes.clone().rev().take_while(|w| w.at.is_some()).count();
    let count = writes.clone().count();
    if from == count {
        return None;
    }
    let mut data = Vec::new();
    writes.skip(count - from - 1).for_each(|w| lay(&mut data, w));
    Some(data)
}

/// One write in place of two that follow each other, if there is one: `later` replaces the extent, or
/// `earlier` does, or their ranges touch. It has the later one's key.
pub fn merged(earlier: &Write, later: &Write) -> Option<Write> {
    let (at, payload) = match (earlier.at, later.at) {
        (_, None) => (None, later.payload.clone()),
        (None, Some(_)) => {
            let mut data = earlier.payload.clone();
            lay(&mut data, later);
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
