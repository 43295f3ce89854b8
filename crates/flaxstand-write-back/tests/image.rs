//! Merged and overlaid writes have the effect that the writes would have had one by one.

use flaxstand_write_back::image::{lay, merged, whole};
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
