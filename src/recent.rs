//! Decaying sums of recent events.

use crate::api::Millis;
use flaxstand_index::DecayingSum;

/// Time constant of the decay, ms.
pub(crate) const RECENT_TIME: Millis = 2000.0;

/// A sum that decays with time constant [`RECENT_TIME`].
pub(crate) type RecentSum = DecayingSum<{ RECENT_TIME as u64 }>;
