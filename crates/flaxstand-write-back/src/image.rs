//! Writes laid over each other, and over what a node holds.

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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::ExtentId;
    use proptest::prelude::*;

    fn write(at: Option<u32>, payload: Vec<u8>) -> Write {
        let extent_id = ExtentId { volume: 1, extent: 1 };
        Write {
            extent_id,
            class: 0,
            plan: 0,
            volume_initiators: 1,
            shard: 0,
            units: 1,
            operation: 0,
            at,
            payload,
        }
    }

    fn any_write() -> impl Strategy<Value = Write> {
        (proptest::option::of(0u32..12), proptest::collection::vec(any::<u8>(), 0..8))
            .prop_map(|(a, p)| write(a, p))
    }

    proptest! {
        /// A merged write does what the two did, whatever was there.
        #[test]
        fn merged_is_both(a in any_write(), b in any_write(), under in proptest::collection::vec(any::<u8>(), 0..16)) {
            let mut both = under.clone();
            lay(&mut both, &a);
            lay(&mut both, &b);
            match merged(&a, &b) {
                Some(m) => {
                    let mut one = under;
                    lay(&mut one, &m);
                    prop_assert_eq!(one, both);
                }
                None => prop_assert!(a.at.is_some() && b.at.is_some()),
            }
        }

        /// What is read without the node is what would have been read with it.
        #[test]
        fn whole_needs_no_node(writes in proptest::collection::vec(any_write(), 0..6)) {
            let mut data = vec![7; 20];
            writes.iter().for_each(|w| lay(&mut data, w));
            match whole(writes.iter()) {
                Some(found) => prop_assert_eq!(found, data),
                None => prop_assert!(writes.iter().all(|w| w.at.is_some())),
            }
        }
    }
}
