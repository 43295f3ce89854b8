//! Checks the guarantees of `docs/write-back.md`: compares the responses sent to clients with the data on
//! nodes, independently of the implementation of the buffer.
//!
//! Data consists of cells of four bytes. A write fills its cells with its own number, so that each cell shows
//! which write it comes from. Writes are numbered in the order of submission.

use flaxstand_write_back::{ExtentId, Write};
use std::collections::{BTreeMap, BTreeSet};

/// Response to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// None yet, or "failed": the write may or may not be executed, now or later.
    Unknown,
    /// Buffered or passed through: the write must not be lost.
    Acknowledged,
    /// Rejected: the write must not be executed.
    Rejected,
}

#[derive(Clone, Debug)]
struct SubmittedWrite {
    extent_id: ExtentId,
    cells: std::ops::Range<usize>,
    replaces_extent: bool,
    response: Response,
}

/// Submitted writes and acknowledged barriers.
#[derive(Clone, Debug, Default)]
pub struct Guarantees {
    writes: BTreeMap<u32, SubmittedWrite>,
    /// Acknowledged barriers: the volume, and the number of the last write submitted before it.
    barriers: Vec<(u64, u32)>,
}

/// Data of a node: cells by extent.
pub type Data = BTreeMap<ExtentId, Vec<u32>>;

/// Converts the bytes of an extent to cells.
pub fn cells(bytes: &[u8]) -> Vec<u32> {
    bytes.chunks(4).map(|c| c.iter().rev().fold(0, |n, b| n << 8 | u32::from(*b))).collect()
}

impl Guarantees {
    pub fn record_submission(&mut self, number: u32, write: &Write) {
        let from = write.at.unwrap_or(0) as usize / 4;
        let cells = from..from + write.payload.len() / 4;
        let (extent_id, replaces_extent) = (write.extent_id, write.at.is_none());
        self.writes.insert(
            number,
            SubmittedWrite { extent_id, cells, replaces_extent, response: Response::Unknown },
        );
    }

    pub fn record_response(&mut self, number: u32, response: Response) {
        let write = self.writes.get_mut(&number).expect("the write was submitted");
        assert_eq!(write.response, Response::Unknown, "write {number} has two responses");
        write.response = response;
    }

    pub fn record_barrier(&mut self, volume: u64, last: u32) {
        self.barriers.push((volume, last));
    }

    /// Returns the numbers that a cell may contain: that of the last acknowledged write that covers it, or of
    /// a later one that was not rejected.
    fn allowed_values(&self, extent_id: ExtentId, cell: usize, up_to: u32) -> BTreeSet<u32> {
        let mut allowed = BTreeSet::from([0]);
        for (number, w) in self.writes.range(..=up_to).filter(|(_, w)| w.extent_id == extent_id) {
            let value = match w.cells.contains(&cell) {
                true => *number,
                // A write that replaces the extent truncates it after its last cell.
                false if w.replaces_extent => 0,
                false => continue,
            };
            match w.response {
                Response::Acknowledged => allowed = BTreeSet::from([value]),
                Response::Unknown => drop(allowed.insert(value)),
                Response::Rejected => {}
            }
        }
        allowed
    }

    fn max_cells(&self, extent_id: ExtentId) -> usize {
        self.writes.values().filter(|w| w.extent_id == extent_id).map(|w| w.cells.end).max().unwrap_or(0)
    }

    /// Checks the data of an extent. Writes submitted after `up_to` are ignored.
    pub fn check_extent(&self, extent_id: ExtentId, data: &[u32], up_to: u32, context: &str) {
        for cell in 0..self.max_cells(extent_id).max(data.len()) {
            let found = data.get(cell).copied().unwrap_or(0);
            let allowed = self.allowed_values(extent_id, cell, up_to);
            assert!(
                allowed.contains(&found),
                "{context}: cell {cell} of {extent_id:?} holds {found}, expected one of {allowed:?}"
            );
        }
    }

    /// Checks the data of all extents after the test has drained the buffer.
    pub fn check_all(&self, data: &Data) {
        let extents: BTreeSet<ExtentId> = self.writes.values().map(|w| w.extent_id).collect();
        let none = Vec::new();
        for extent_id in extents {
            self.check_extent(extent_id, data.get(&extent_id).unwrap_or(&none), u32::MAX, "at the end");
        }
    }

    /// Checks that all acknowledged writes of a volume (or of all) up to `up_to`, or newer ones, are on the
    /// node.
    pub fn check_on_node(&self, data: &Data, volume: Option<u64>, up_to: u32, context: &str) {
        let concerned = |(_, w): &(&u32, &SubmittedWrite)| {
            volume.is_none_or(|v| v == w.extent_id.volume) && w.response == Response::Acknowledged
        };
        for (number, w) in self.writes.range(..=up_to).filter(concerned) {
            let held = data.get(&w.extent_id);
            for cell in w.cells.clone() {
                let found = held.and_then(|d| d.get(cell)).copied().unwrap_or(0);
                // A later write that replaces the extent may be shorter and truncate this cell.
                let truncated = found == 0 && self.truncated_later(*number, w.extent_id, cell);
                assert!(
                    found >= *number || truncated,
                    "{context}: write {number} is not on the node: cell {cell} holds {found}"
                );
            }
        }
    }

    fn truncated_later(&self, number: u32, extent_id: ExtentId, cell: usize) -> bool {
        self.writes
            .range(number + 1..)
            .any(|(_, w)| w.extent_id == extent_id && w.replaces_extent && w.cells.end <= cell)
    }

    /// Checks, when a node executes a write, that everything before the barriers that precede it is on the
    /// node.
    pub fn check_barriers(&self, data: &Data, number: u32, volume: u64) {
        for (_, last) in self.barriers.iter().filter(|(v, last)| *v == volume && *last < number) {
            self.check_on_node(data, Some(volume), *last, &format!("write {number} behind a barrier"));
        }
    }
}
