//! The promises of `docs/write-back.md`, as a check of what was told to clients against what nodes hold. It
//! knows nothing of how the buffer works.
//!
//! Data is cells of four bytes; a write fills its cells with its own number, so that a node's data tells
//! who wrote what. Numbers are given in the order in which writes were offered, and so order them.

use flaxstand_write_back::{ExtentId, Write};
use std::collections::{BTreeMap, BTreeSet};

/// What a client was told of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Nothing yet, or "failed": it may be there, now or later, or not.
    Unknown,
    /// Buffered, or through: it is there for good.
    Kept,
    /// Refused: it is not there.
    Refused,
}

#[derive(Clone, Debug)]
struct Written {
    extent_id: ExtentId,
    cells: std::ops::Range<usize>,
    whole: bool,
    told: Told,
}

/// What was told.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    writes: BTreeMap<u32, Written>,
    /// Barriers that stand: the volume, and the number of the last write offered before it.
    barriers: Vec<(u64, u32)>,
}

/// A node's data: cells by place.
pub type Data = BTreeMap<ExtentId, Vec<u32>>;

/// Cells of an extent's bytes.
pub fn cells(bytes: &[u8]) -> Vec<u32> {
    bytes.chunks(4).map(|c| c.iter().rev().fold(0, |n, b| n << 8 | u32::from(*b))).collect()
}

impl Promises {
    pub fn offered(&mut self, number: u32, write: &Write) {
        let from = write.at.unwrap_or(0) as usize / 4;
        let cells = from..from + write.payload.len() / 4;
        let (extent_id, whole) = (write.extent_id, write.at.is_none());
        self.writes.insert(number, Written { extent_id, cells, whole, told: Told::Unknown });
    }

    pub fn told(&mut self, number: u32, told: Told) {
        let write = self.writes.get_mut(&number).expect("it was offered");
        assert_eq!(write.told, Told::Unknown, "write {number} is answered twice");
        write.told = told;
    }

    pub fn barrier_stands(&mut self, volume: u64, last: u32) {
        self.barriers.push((volume, last));
    }

    /// Numbers that a cell may hold: of the last kept write that covers it, or of a later one that is not refused.
    fn may_hold(&self, extent_id: ExtentId, cell: usize, upto: u32) -> BTreeSet<u32> {
        let mut may = BTreeSet::from([0]);
        for (number, w) in self.writes.range(..=upto).filter(|(_, w)| w.extent_id == extent_id) {
            let value = match w.cells.contains(&cell) {
                true => *number,
                // A write of the whole extent ends it after its last cell.
                false if w.whole => 0,
                false => continue,
            };
            match w.told {
                Told::Kept => may = BTreeSet::from([value]),
                Told::Unknown => drop(may.insert(value)),
                Told::Refused => {}
            }
        }
        may
    }

    fn longest(&self, extent_id: ExtentId) -> usize {
        self.writes.values().filter(|w| w.extent_id == extent_id).map(|w| w.cells.end).max().unwrap_or(0)
    }

    /// What a place holds is what it may. `upto`: writes offered later do not count.
    pub fn check_place(&self, extent_id: ExtentId, data: &[u32], upto: u32, why: &str) {
        for cell in 0..self.longest(extent_id).max(data.len()) {
            let found = data.get(cell).copied().unwrap_or(0);
            let may = self.may_hold(extent_id, cell, upto);
            assert!(
                may.contains(&found),
                "{why}: cell {cell} of {extent_id:?} holds {found}, may hold {may:?}"
            );
        }
    }

    /// Every place holds what it may, once all is over.
    pub fn check_all(&self, data: &Data) {
        let places: BTreeSet<ExtentId> = self.writes.values().map(|w| w.extent_id).collect();
        let none = Vec::new();
        for extent_id in places {
            self.check_place(extent_id, data.get(&extent_id).unwrap_or(&none), u32::MAX, "at the end");
        }
    }

    /// All kept writes of a volume (or of all) up to a number are on the node, or newer ones in their place.
    pub fn check_reached(&self, data: &Data, volume: Option<u64>, upto: u32, why: &str) {
        let concerned = |(_, w): &(&u32, &Written)| {
            volume.is_none_or(|v| v == w.extent_id.volume) && w.told == Told::Kept
        };
        for (number, w) in self.writes.range(..=upto).filter(concerned) {
            let held = data.get(&w.extent_id);
            for cell in w.cells.clone() {
                let found = held.and_then(|d| d.get(cell)).copied().unwrap_or(0);
                // A later whole write that is shorter leaves nothing in this cell.
                let cut = found == 0 && self.cut_later(*number, w.extent_id, cell);
                assert!(
                    found >= *number || cut,
                    "{why}: write {number} is not there: cell {cell} holds {found}"
                );
            }
        }
    }

    fn cut_later(&self, number: u32, extent_id: ExtentId, cell: usize) -> bool {
        self.writes
            .range(number + 1..)
            .any(|(_, w)| w.extent_id == extent_id && w.whole && w.cells.end <= cell)
    }

    /// A node takes a write: all before each barrier that lies before it must be there.
    pub fn check_barriers(&self, data: &Data, number: u32, volume: u64) {
        for (_, last) in self.barriers.iter().filter(|(v, last)| *v == volume && *last < number) {
            self.check_reached(data, Some(volume), *last, &format!("write {number} behind a barrier"));
        }
    }
}
