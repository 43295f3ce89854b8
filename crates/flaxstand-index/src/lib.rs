//! Generic indexes and sums whose cost follows what changes, not what they hold.
//!
//! - [`ExactSum`]: a sum that does not depend on the order of additions and removals.
//! - [`DecayingSum`]: a sum whose terms lose weight as time passes.
//! - [`lower_median`] and [`place_by_weight`]: places in lists of numbers.
//! - [`SortedSamples`]: a multiset of numbers with order statistics and capped means.
//! - [`Table`]: records by key, with secondary indexes and a set of active records.
//!
//! None of them does I/O, reads a clock, hashes or decides anything: what is indexed, and when a record stops
//! being active, is the caller's to say.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod decaying;
mod order;
mod samples;
mod sum;
mod table;

pub use decaying::DecayingSum;
pub use order::{lower_median, place_by_weight};
pub use samples::SortedSamples;
pub use sum::ExactSum;
pub use table::{Membership, Record, Table};
