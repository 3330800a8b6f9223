//! Positions in a topic of the store, and the fences of claims to lead, which are derived from
//! positions.

use serde::{Deserialize, Serialize};

use crate::era::Era;

/// A position in a topic: an offset, and the era in which the store assigned it. Positions of
/// different eras are comparable only by era: all positions of a later era come after all positions
/// of an earlier one.
///
/// Rejected alternative: offsets alone. A store that is restored from an older copy reuses offsets,
/// so a reader that continues from an offset silently misses the records written below it since the
/// restore.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Era in which the store assigned the offset.
    pub era: Era,
    /// Counts the topic's records in this era.
    pub offset: u64,
}

/// Number of bits of a fence that count claims within an era; the era takes the bits above them.
const CLAIM_BITS: u32 = 21;
/// Highest era that fences distinguish. The epoch of a group is a million times a fence and is
/// encoded as an integer in JSON, which is exact up to 2^53.
const MAX_ERA: u64 = (1 << 12) - 1;

impl Position {
    /// Creates a position.
    pub fn new(era: Era, offset: u64) -> Position {
        Position { era, offset }
    }

    /// Returns the fence of a claim at this position. The fence is higher than all fences of
    /// earlier eras, including those of claims that the store has lost.
    pub fn fence(self) -> u64 {
        (self.era.0.min(MAX_ERA) << CLAIM_BITS) + self.offset + 1
    }
}
