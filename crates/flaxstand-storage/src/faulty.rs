//! A disk that loses what was not synced, tears what it keeps of it, and fails where a test says so. In
//! memory; for tests and for rehearsals on virtual time.

use crate::storage::Storage;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The machine dies inside this call, counted from now on (0: the next one); all later ones fail too.
    pub dies_at: Option<u64>,
    /// This sync fails, counted from now on (0: the next one). Some of what it was to make durable is dropped.
    pub sync_fails_at: Option<u64>,
    /// Capacity of the disk, bytes; an append beyond it fails after some of its bytes.
    pub full_at: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct SegmentData {
    durable: Vec<u8>,
    /// Appended since the last sync that succeeded.
    unsynced: Vec<u8>,
    /// The folder was synced since it was created: it survives a loss of power.
    is_name_durable: bool,
}

/// A disk in memory with faults.
#[derive(Clone, Debug)]
pub struct FaultyDisk {
    segments: BTreeMap<u64, SegmentData>,
    /// Removed since the folder was last synced: a loss of power may bring them back.
    removed: BTreeMap<u64, SegmentData>,
    aside: Vec<u64>,
    rng: Pcg64Mcg,
    faults: Faults,
    is_dead: bool,
    calls: u64,
}

impl FaultyDisk {
    /// An empty disk whose losses are drawn from a seed.
    pub fn new(seed: u64) -> Self {
        FaultyDisk {
            segments: BTreeMap::new(),
            removed: BTreeMap::new(),
            aside: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            faults: Faults::default(),
            is_dead: false,
            calls: 0,
        }
    }

    /// Injects faults from now on, in place of those before.
    pub fn set(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Whether the machine died inside a call.
    pub fn dead(&self) -> bool {
        self.is_dead
    }

    /// How many calls so far change something.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Numbers of the segments that were set aside.
    pub fn aside(&self) -> &[u64] {
        &self.aside
    }

    /// Flips a bit of a durable byte.
    pub fn flip(&mut self, segment: u64, at: usize) {
        if let Some(byte) = self.segments.get_mut(&segment).and_then(|data| data.durable.get_mut(at)) {
            *byte ^= 0x20;
        }
    }

    /// The machine loses power and starts again: of what was not synced some part is there, perhaps with
    /// holes; segments whose creation or removal was not synced may be gone, or back.
    pub fn lose_power(&mut self) {
        let rng = &mut self.rng;
        for (number, data) in std::mem::take(&mut self.removed) {
            if rng.next_u32().is_multiple_of(2) {
                self.segments.entry(number).or_insert(data);
            }
        }
        self.segments.retain(|_, data| data.is_name_durable || rng.next_u32().is_multiple_of(2));
        for data in self.segments.values_mut() {
            let mut kept = std::mem::take(&mut data.unsynced);
            match rng.next_u32() % 4 {
                0 => kept.clear(),
                1 => kept.truncate(rng.next_u32() as usize % (kept.len() + 1)),
                // Written out of order: a range inside was not written.
                2 if !kept.is_empty() => {
                    let from = rng.next_u32() as usize % kept.len();
                    let to = from + rng.next_u32() as usize % (kept.len() - from + 1);
                    kept[from..to].fill(0);
                }
                _ => {}
            }
            data.durable.append(&mut kept);
            data.is_name_durable = true;
        }
        (self.is_dead, self.faults) = (false, Faults::default());
    }

    /// The process dies and the machine goes on: all that was written stays.
    pub fn lose_process(&mut self) {
        (self.is_dead, self.faults) = (false, Faults::default());
    }

    /// Counts a call, and fails it where the machine dies in it or is dead.
    fn begin_call(&mut self) -> io::Result<()> {
        if self.is_dead {
            return Err(io::Error::other("the machine is dead"));
        }
        self.calls += 1;
        match &mut self.faults.dies_at {
            Some(0) => {
                self.is_dead = true;
                Err(io::Error::other("the machine dies"))
            }
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn segment(&mut self, segment: u64) -> io::Result<&mut SegmentData> {
        self.segments.get_mut(&segment).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Storage for FaultyDisk {
    fn segments(&mut self) -> io::Result<Vec<u64>> {
        Ok(self.segments.keys().copied().collect())
    }

    fn read(&mut self, segment: u64) -> io::Result<Vec<u8>> {
        let data = self.segment(segment)?;
        Ok([&data.durable[..], &data.unsynced].concat())
    }

    fn create(&mut self, segment: u64) -> io::Result<()> {
        let was_alive = !self.is_dead;
        let call = self.begin_call();
        // A call inside which the machine dies may be done or not.
        if call.is_ok() || was_alive && self.rng.next_u32().is_multiple_of(2) {
            self.segments.insert(segment, SegmentData::default());
        }
        call
    }

    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()> {
        let was_dead = self.is_dead;
        let call = self.begin_call();
        let used: usize = self.segments.values().map(|data| data.durable.len() + data.unsynced.len()).sum();
        let free = self.faults.full_at.map_or(usize::MAX, |full| (full as usize).saturating_sub(used));
        let mut fits = bytes.len().min(free);
        if call.is_err() {
            fits = if was_dead { 0 } else { self.rng.next_u32() as usize % (fits + 1) };
        }
        self.segment(segment)?.unsynced.extend_from_slice(&bytes[..fits]);
        call?;
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, segment: u64) -> io::Result<()> {
        let was_alive = !self.is_dead;
        let call = self.begin_call();
        let is_done_anyway = was_alive && self.rng.next_u32().is_multiple_of(2);
        if call.is_ok() {
            match &mut self.faults.sync_fails_at {
                Some(0) => {
                    self.faults.sync_fails_at = None;
                    // Some bytes are durable, the rest is dropped. A later sync succeeds: a log must not take it
                    // for a sync of these bytes.
                    let keep = self.rng.next_u32() as usize;
                    let data = self.segment(segment)?;
                    let kept = keep % (data.unsynced.len() + 1);
                    let durable: Vec<u8> = data.unsynced.drain(..).take(kept).collect();
                    data.durable.extend_from_slice(&durable);
                    return Err(io::Error::other("the sync failed"));
                }
                Some(left) => *left -= 1,
                None => {}
            }
        }
        if call.is_ok() || is_done_anyway {
            let data = self.segment(segment)?;
            let mut unsynced = std::mem::take(&mut data.unsynced);
            data.durable.append(&mut unsynced);
        }
        call
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.begin_call()?;
        self.segments.values_mut().for_each(|data| data.is_name_durable = true);
        self.removed.clear();
        Ok(())
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        let was_alive = !self.is_dead;
        let call = self.begin_call();
        if (call.is_ok() || was_alive && self.rng.next_u32().is_multiple_of(2))
            && let Some(data) = self.segments.remove(&segment)
        {
            self.removed.insert(segment, data);
        }
        call
    }

    fn set_aside(&mut self, segment: u64) -> io::Result<()> {
        self.begin_call()?;
        self.segments.remove(&segment);
        self.aside.push(segment);
        Ok(())
    }
}
