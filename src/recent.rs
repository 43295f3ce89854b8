//! Sums of what happened recently.

use crate::api::Millis;
use flaxstand_index::DecayingSum;

/// Time constant with which recent events fade, ms.
pub(crate) const RECENT_TIME: Millis = 2000.0;

/// A sum of what happened within about [`RECENT_TIME`].
pub(crate) type RecentSum = DecayingSum<{ RECENT_TIME as u64 }>;
