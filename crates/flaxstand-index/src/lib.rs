//! Generic indexes and sums that are updated incrementally: the cost of an update depends on what changes,
//! not on the number of elements.
//!
//! - [`ExactSum`]: a sum that does not depend on the order of additions and removals.
//! - [`DecayingSum`]: a sum whose terms decay exponentially with time.
//! - [`lower_median`] and [`weighted_index`]: median and weighted selection in lists of numbers.
//! - [`SortedSamples`]: a multiset of numbers with order statistics and capped means.
//! - [`Table`]: records by key, with secondary indexes and a set of active records.
//!
//! None of them does I/O, reads a clock or hashes. The caller decides what is indexed and when a record
//! becomes inactive.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod decaying;
mod order;
mod samples;
mod sum;
mod table;

pub use decaying::DecayingSum;
pub use order::{lower_median, weighted_index};
pub use samples::SortedSamples;
pub use sum::ExactSum;
pub use table::{Membership, Record, Table};
