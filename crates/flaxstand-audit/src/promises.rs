//! What clients were told of buffered writes against what nodes stored. Of a place whose writes are buffered
//! all writes come on one connection at a time, so the order in which they were written is the order in which
//! they were taken.

use crate::book::{Book, Try};
use crate::record::{Answer, Mark, Record};
use crate::rules::{Rule, Terms, Verdict};
use std::collections::BTreeMap;

type Place = (u64, u64);

/// The writes of the places concerned, and where nodes are in them.
struct Places<'a> {
    /// By place: its tries, in the order in which they were written.
    tries: BTreeMap<Place, Vec<&'a Try>>,
    /// By place: which of them was stored last; none: none.
    stored: BTreeMap<Place, usize>,
}

/// It is there for good.
fn kept(t: &Try) -> bool {
    matches!(t.answers.first(), Some((_, Answer::Buffered | Answer::Served { .. })))
}

impl Places<'_> {
    /// The last write of a place, of those written before a moment, that must be there.
    fn must(&self, place: &Place, before: u64) -> Option<usize> {
        self.tries[place].iter().rposition(|t| kept(t) && t.at < before)
    }

    /// The first place of a volume whose node is behind what was kept of it before a moment.
    fn behind(&self, volume: u64, before: u64) -> Option<(u64, u64)> {
        let of_volume = self.tries.range((volume, 0)..=(volume, u64::MAX));
        for (place, tries) in of_volume {
            if let Some(must) = self.must(place, before)
                && self.stored.get(place).is_none_or(|at| *at < must)
            {
                return Some((place.1, tries[must].op));
            }
        }
        None
    }
}

pub(crate) fn promises(book: &Book, terms: &Terms, v: &mut Verdict) {
    let buffered = |t: &&Try| t.write && terms.buffered[usize::from(t.class)];
    let mut tries: BTreeMap<Place, Vec<&Try>> = BTreeMap::new();
    book.tries.iter().filter(buffered).for_each(|t| tries.entry(t.place).or_default().push(t));
    if tries.is_empty() {
        return;
    }
    let mut places = Places { tries, stored: BTreeMap::new() };
    let mut marks: BTreeMap<(u64, u64), (u64, u64, Mark)> = BTreeMap::new();
    // Barriers that stand, by volume: when each was written.
    let mut barriers: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for record in &book.records {
        match *record {
            Record::Stored { at, node, op, volume, extent } => {
                stored(&mut places, &barriers, (at, node, op, (volume, extent)), v);
            }
            Record::Marked { at, client, id, volume, mark } => {
                marks.insert((client, id), (at, volume, mark));
            }
            Record::MarkStands { at, client, id } => match marks.get(&(client, id)) {
                Some((written, volume, Mark::Barrier)) => barriers.entry(*volume).or_default().push(*written),
                Some((written, volume, Mark::Flush)) => {
                    v.checked(Rule::Promises, 1);
                    if let Some((extent, op)) = places.behind(*volume, *written) {
                        let how = format!("a flush was answered, and extent {extent:x} is not on its node");
                        v.breach(Rule::Promises, at, Some(op), None, how);
                    }
                }
                None => v.breach(Rule::Promises, at, None, None, "a mark stands that no one made"),
            },
            _ => {}
        }
    }
    let end = book.records.last().map_or(0, Record::at);
    for (place, tries) in &places.tries {
        let Some(must) = places.must(place, u64::MAX) else { continue };
        v.checked(Rule::Promises, 1);
        if places.stored.get(place).is_none_or(|at| *at < must) {
            let t = tries[must];
            let how = format!("it was acknowledged and extent {:x} does not hold it", place.1);
            v.breach(Rule::Promises, end, Some(t.op), None, how);
        }
    }
}

fn stored(
    places: &mut Places<'_>,
    barriers: &BTreeMap<u64, Vec<u64>>,
    (at, node, op, place): (u64, u64, u64, Place),
    v: &mut Verdict,
) {
    let Some(tries) = places.tries.get(&place) else { return };
    v.checked(Rule::Promises, 1);
    let Some(which) = tries.iter().rposition(|t| t.op == op && t.at <= at) else {
        v.breach(Rule::Promises, at, Some(op), Some(node), "a node stored what no one wrote there");
        return;
    };
    let first = tries.iter().position(|t| t.op == op).unwrap_or(which);
    if let Some(was) = places.stored.get(&place).copied().filter(|was| which < *was) {
        let how = format!("stored after operation {}, which is newer", tries[was].op);
        v.breach(Rule::Promises, at, Some(op), Some(node), how);
    }
    // A further try of it may have been written after a barrier that the one that ran lies before.
    let written_first = tries[first].at;
    for barrier in barriers.get(&place.0).into_iter().flatten().filter(|b| **b < written_first) {
        if let Some((extent, earlier)) = places.behind(place.0, *barrier) {
            let how =
                format!("stored though operation {earlier} (extent {extent:x}), before a barrier, was not");
            v.breach(Rule::Promises, at, Some(op), Some(node), how);
            break;
        }
    }
    places.stored.insert(place, which);
}
