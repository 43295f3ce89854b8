//! An in-memory disk that loses or tears unsynced data on power loss and fails on request, for tests and for
//! rehearsals on virtual time.

use crate::storage::Storage;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Number of calls until the machine crashes (0: in the next call). All later calls fail too.
    pub crash_at_call: Option<u64>,
    /// Number of syncs until one fails (0: the next one). Some of the unsynced bytes are dropped.
    pub sync_fails_at: Option<u64>,
    /// Capacity of the disk in bytes. An append beyond it fails after writing the bytes that fit.
    pub capacity: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct SegmentData {
    durable: Vec<u8>,
    /// Bytes appended since the last successful sync.
    unsynced: Vec<u8>,
    /// Whether the folder was synced after the creation of the segment, so that it survives a power loss.
    is_name_durable: bool,
}

/// In-memory disk with fault injection.
#[derive(Clone, Debug)]
pub struct FaultyDisk {
    segments: BTreeMap<u64, SegmentData>,
    /// Segments removed since the last sync of the folder: they may reappear after a power loss.
    removed: BTreeMap<u64, SegmentData>,
    quarantined: Vec<u64>,
    rng: Pcg64Mcg,
    faults: Faults,
    has_crashed: bool,
    calls: u64,
}

impl FaultyDisk {
    /// Creates an empty disk. `seed` determines which data is lost.
    pub fn new(seed: u64) -> Self {
        FaultyDisk {
            segments: BTreeMap::new(),
            removed: BTreeMap::new(),
            quarantined: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            faults: Faults::default(),
            has_crashed: false,
            calls: 0,
        }
    }

    /// Replaces the injected faults.
    pub fn set(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns whether the machine crashed inside a call.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed
    }

    /// Returns the number of modifying calls so far.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Returns the numbers of the quarantined segments.
    pub fn quarantined(&self) -> &[u64] {
        &self.quarantined
    }

    /// Flips a bit in the durable byte at offset `at`.
    pub fn flip(&mut self, segment: u64, at: usize) {
        if let Some(byte) = self.segments.get_mut(&segment).and_then(|data| data.durable.get_mut(at)) {
            *byte ^= 0x20;
        }
    }

    /// Simulates a power loss and restart. A random part of the unsynced data survives, possibly with holes.
    /// Segments whose creation was not synced may be lost; those whose removal was not synced may reappear.
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
                // Writes reached the disk out of order: a range in the middle is missing.
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
        (self.has_crashed, self.faults) = (false, Faults::default());
    }

    /// Simulates a crash of the process alone: all written data survives.
    pub fn crash_process(&mut self) {
        (self.has_crashed, self.faults) = (false, Faults::default());
    }

    /// Counts a call. Fails if the machine has crashed or crashes in this call.
    fn begin_call(&mut self) -> io::Result<()> {
        if self.has_crashed {
            return Err(io::Error::other("simulated machine has crashed"));
        }
        self.calls += 1;
        match &mut self.faults.crash_at_call {
            Some(0) => {
                self.has_crashed = true;
                Err(io::Error::other("simulated machine crash"))
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
        let was_running = !self.has_crashed;
        let call = self.begin_call();
        // The call in which the machine crashes may take effect or not.
        if call.is_ok() || was_running && self.rng.next_u32().is_multiple_of(2) {
            self.segments.insert(segment, SegmentData::default());
        }
        call
    }

    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()> {
        let had_crashed = self.has_crashed;
        let call = self.begin_call();
        let used: usize = self.segments.values().map(|data| data.durable.len() + data.unsynced.len()).sum();
        let free = self.faults.capacity.map_or(usize::MAX, |full| (full as usize).saturating_sub(used));
        let mut fits = bytes.len().min(free);
        if call.is_err() {
            fits = if had_crashed { 0 } else { self.rng.next_u32() as usize % (fits + 1) };
        }
        self.segment(segment)?.unsynced.extend_from_slice(&bytes[..fits]);
        call?;
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, segment: u64) -> io::Result<()> {
        let was_running = !self.has_crashed;
        let call = self.begin_call();
        let takes_effect_anyway = was_running && self.rng.next_u32().is_multiple_of(2);
        if call.is_ok() {
            match &mut self.faults.sync_fails_at {
                Some(0) => {
                    self.faults.sync_fails_at = None;
                    // Some bytes become durable, the rest is dropped. A later sync succeeds although it does
                    // not cover the dropped bytes, as with a real fsync; the log must handle that.
                    let keep = self.rng.next_u32() as usize;
                    let data = self.segment(segment)?;
                    let kept = keep % (data.unsynced.len() + 1);
                    let durable: Vec<u8> = data.unsynced.drain(..).take(kept).collect();
                    data.durable.extend_from_slice(&durable);
                    return Err(io::Error::other("simulated sync failure"));
                }
                Some(left) => *left -= 1,
                None => {}
            }
        }
        if call.is_ok() || takes_effect_anyway {
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
        let was_running = !self.has_crashed;
        let call = self.begin_call();
        if (call.is_ok() || was_running && self.rng.next_u32().is_multiple_of(2))
            && let Some(data) = self.segments.remove(&segment)
        {
            self.removed.insert(segment, data);
        }
        call
    }

    fn quarantine(&mut self, segment: u64) -> io::Result<()> {
        self.begin_call()?;
        self.segments.remove(&segment);
        self.quarantined.push(segment);
        Ok(())
    }
}
