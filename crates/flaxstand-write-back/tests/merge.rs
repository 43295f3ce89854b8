//! Merged writes have the same effect as the separate writes.

use flaxstand_write_back::merge::{apply_write, complete_extent, merge_writes};
use flaxstand_write_back::{ExtentId, Write};
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
        .prop_map(|(at, payload)| write(at, payload))
}

proptest! {
    /// A merged write has the effect of both writes on any data.
    #[test]
    fn a_merged_write_equals_both_writes(
        a in any_write(),
        b in any_write(),
        initial in proptest::collection::vec(any::<u8>(), 0..16),
    ) {
        let mut both = initial.clone();
        apply_write(&mut both, &a);
        apply_write(&mut both, &b);
        match merge_writes(&a, &b) {
            Some(m) => {
                let mut one = initial;
                apply_write(&mut one, &m);
                prop_assert_eq!(one, both);
            }
            None => prop_assert!(a.at.is_some() && b.at.is_some()),
        }
    }

    /// The extent computed without the node's data equals the result of applying the writes to it.
    #[test]
    fn a_complete_extent_does_not_depend_on_the_node(writes in proptest::collection::vec(any_write(), 0..6)) {
        let mut data = vec![7; 20];
        writes.iter().for_each(|w| apply_write(&mut data, w));
        match complete_extent(writes.iter()) {
            Some(found) => prop_assert_eq!(found, data),
            None => prop_assert!(writes.iter().all(|w| w.at.is_some())),
        }
    }
}
