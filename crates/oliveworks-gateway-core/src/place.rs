//! Places in a topic of the store, and the fences that claims to lead take from them.

use serde::{Deserialize, Serialize};

use crate::era::Era;

/// A place in a topic: an offset, and the era in which the store gave it out. Places of different eras have nothing in
/// common but their order: all of a later era come after all of an earlier one.
///
/// Rejected: offsets alone. A store that comes back from an older copy gives them out again, so that whoever reads on from
/// one misses what was written below it since, without any sign of that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The era.
    pub era: Era,
    /// Counts the topic's records in this era.
    pub offset: u64,
}

/// Bits of a fence that count claims within an era; the era stands above them.
const CLAIM_BITS: u32 = 21;
/// The highest era that a fence tells apart: epochs of groups are a million times a fence, and are whole numbers of JSON, which
/// are exact up to 2^53.
const ERA_MAX: u64 = (1 << 12) - 1;

impl Place {
    /// A place.
    pub fn new(era: Era, offset: u64) -> Place {
        Place { era, offset }
    }

    /// The fence of a claim that stands here: above all of earlier eras, also those that the store has lost.
    pub fn fence(self) -> u64 {
        (self.era.0.min(ERA_MAX) << CLAIM_BITS) + self.offset + 1
    }
}
