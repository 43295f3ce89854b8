//! A disk that loses what was not synced, tears what it keeps of it, and fails when told to. In memory; for
//! tests and for rehearsals on virtual time.

use crate::storage::Storage;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;

/// What goes wrong with the disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The machine dies inside the so manieth call from now on (0: the next); all later ones fail too.
    pub dies_at: Option<u64>,
    /// The so manieth sync from now on fails, and what it was to make durable is dropped silently later.
    pub sync_fails_at: Option<u64>,
    /// Bytes that may be on the disk; beyond them an append fails after a part.
    pub full_at: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Part {
    durable: Vec<u8>,
    /// Appended since the last good sync.
    unsynced: Vec<u8>,
    /// Its name survives a loss of power.
    named: bool,
}

/// The disk.
#[derive(Clone, Debug)]
pub struct FaultyDisk {
    segments: BTreeMap<u64, Part>,
    /// Removed, and a loss of power brings them back.
    removed: BTreeMap<u64, Part>,
    aside: Vec<u64>,
    rng: Pcg64Mcg,
    faults: Faults,
    dead: bool,
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
            dead: false,
            calls: 0,
        }
    }

    /// What goes wrong from now on.
    pub fn set(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// The machine died inside a call.
    pub fn dead(&self) -> bool {
        self.dead
    }

    /// Calls so far that change something.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Numbers of segments set aside.
    pub fn aside(&self) -> &[u64] {
        &self.aside
    }

    /// Changes a byte of what is durable.
    pub fn flip(&mut self, segment: u64, at: usize) {
        if let Some(byte) = self.segments.get_mut(&segment).and_then(|p| p.durable.get_mut(at)) {
            *byte ^= 0x20;
        }
    }

    /// Power is lost and comes back: of what was not synced some part is there, perhaps with holes; names that
    /// were not synced may be gone, or back.
    pub fn lose_power(&mut self) {
        let rng = &mut self.rng;
        for (number, part) in std::mem::take(&mut self.removed) {
            if rng.next_u32().is_multiple_of(2) {
                self.segments.entry(number).or_insert(part);
            }
        }
        self.segments.retain(|_, part| part.named || rng.next_u32().is_multiple_of(2));
        for part in self.segments.values_mut() {
            let mut kept = std::mem::take(&mut part.unsynced);
            match rng.next_u32() % 4 {
                0 => kept.clear(),
                1 => kept.truncate(rng.next_u32() as usize % (kept.len() + 1)),
                // Written out of order: a stretch inside never made it.
                2 if !kept.is_empty() => {
                    let from = rng.next_u32() as usize % kept.len();
                    let to = from + rng.next_u32() as usize % (kept.len() - from + 1);
                    kept[from..to].fill(0);
                }
                _ => {}
            }
            part.durable.append(&mut kept);
            part.named = true;
        }
        (self.dead, self.faults) = (false, Faults::default());
    }

    /// The process dies and the machine lives: all that was written stays.
    pub fn lose_process(&mut self) {
        (self.dead, self.faults) = (false, Faults::default());
    }

    fn call(&mut self) -> io::Result<()> {
        if self.dead {
            return Err(io::Error::other("the machine is dead"));
        }
        self.calls += 1;
        match &mut self.faults.dies_at {
            Some(0) => {
                self.dead = true;
                Err(io::Error::other("the machine dies"))
            }
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn part(&mut self, segment: u64) -> io::Result<&mut Part> {
        self.segments.get_mut(&segment).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Storage for FaultyDisk {
    fn segments(&mut self) -> io::Result<Vec<u64>> {
        Ok(self.segments.keys().copied().collect())
    }
    fn read(&mut self, segment: u64) -> io::Result<Vec<u8>> {
        let part = self.part(segment)?;
        Ok([&part.durable[..], &part.unsynced].concat())
    }
    fn create(&mut self, segment: u64) -> io::Result<()> {
        let alive = !self.dead;
        let call = self.call();
        // Dying inside a call leaves it half done, or done.
        if call.is_ok() || alive && self.rng.next_u32().is_multiple_of(2) {
            self.segments.insert(segment, Part::default());
        }
        call
    }
    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()> {
        let was_dead = self.dead;
        let call = self.call();
        let used: usize = self.segments.values().map(|p| p.durable.len() + p.unsynced.len()).sum();
        let room = self.faults.full_at.map_or(usize::MAX, |full| (full as usize).saturating_sub(used));
        let mut fits = bytes.len().min(room);
        if call.is_err() {
            fits = if was_dead { 0 } else { self.rng.next_u32() as usize % (fits + 1) };
        }
        self.part(segment)?.unsynced.extend_from_slice(&bytes[..fits]);
        call?;
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
    fn sync(&mut self, segment: u64) -> io::Result<()> {
        let alive = !self.dead;
        let call = self.call();
        let done_anyway = alive && self.rng.next_u32().is_multiple_of(2);
        if call.is_ok() {
            match &mut self.faults.sync_fails_at {
                Some(0) => {
                    self.faults.sync_fails_at = None;
                    // A part made it, the rest is dropped: a later sync would say that all is well.
                    let keep = self.rng.next_u32() as usize;
                    let part = self.part(segment)?;
                    let kept = keep % (part.unsynced.len() + 1);
                    let lost: Vec<u8> = part.unsynced.drain(..).take(kept).collect();
                    part.durable.extend_from_slice(&lost);
                    return Err(io::Error::other("the sync failed"));
                }
                Some(left) => *left -= 1,
                None => {}
            }
        }
        if call.is_ok() || done_anyway {
            let part = self.part(segment)?;
            let mut unsynced = std::mem::take(&mut part.unsynced);
            part.durable.append(&mut unsynced);
        }
        call
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.call()?;
        self.segments.values_mut().for_each(|p| p.named = true);
        self.removed.clear();
        Ok(())
    }
    fn remove(&mut self, segment: u64) -> io::Result<()> {
        let alive = !self.dead;
        let call = self.call();
        if (call.is_ok() || alive && self.rng.next_u32().is_multiple_of(2))
            && let Some(part) = self.segments.remove(&segment)
        {
            self.removed.insert(segment, part);
        }
        call
    }
    fn set_aside(&mut self, segment: u64) -> io::Result<()> {
        self.call()?;
        self.segments.remove(&segment);
        self.aside.push(segment);
        Ok(())
    }
}
