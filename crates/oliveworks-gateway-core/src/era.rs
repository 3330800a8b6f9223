//! Eras of the store: each era stands for one copy of the store.
//!
//! A store that is restored from an older copy has lost the records written since that copy, and
//! reuses their offsets. The store reports each such restore by a higher era. A store that reports
//! no era stays in one era forever.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Highest era of a store that was never restored.
const FIRST_ERA: Era = Era(1);
/// Time after a restore of the store in which its writers may rewrite the records that the copy
/// lacks, in ms. Records that are still missing after that time have gone.
pub const REWRITE_MS: u64 = 2_300;

/// An era of the store; later eras are higher.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Result of comparing the era of an answer with the known era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The era is the known one.
    Known,
    /// The era differs from the known one and replaces it.
    New {
        /// Era that was known before.
        before: Option<Era>,
    },
    /// The era is an earlier one, and the call was made before the known era was observed: the
    /// answer was delayed.
    Late,
}

/// Era of the store as one gateway observes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreEra {
    era: Option<Era>,
    known_since: Millis,
    /// Whether the store was restored: the era is not the first, or it replaced another one.
    is_restored: bool,
}

impl StoreEra {
    /// Returns the era that the store has reported last, or the first era if it has reported none.
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Returns the time since which the era is known, if the store has reported any.
    pub fn known_since(&self) -> Option<Millis> {
        self.era.map(|_| self.known_since)
    }

    /// Whether records that the store lacks may still be rewritten: the store was restored
    /// recently, or this gateway has just started and does not know the time of a restore.
    pub fn may_lack_records(&self, now: Millis) -> bool {
        now < self.lacks_records_until()
    }

    /// Returns the time until which the store may lack records that are still to be rewritten; 0 if
    /// no era is known.
    pub fn lacks_records_until(&self) -> Millis {
        self.known_since().map_or(0, |since| since + REWRITE_MS)
    }

    /// Returns the time from which the store is complete: its writers have rewritten what a copy
    /// lacked. 0 in the first era, in which nothing is missing, even if this gateway has just
    /// started.
    pub fn complete_from(&self) -> Millis {
        if self.is_restored { self.lacks_records_until() } else { 0 }
    }

    /// Returns the earliest time from which the store is complete, as this gateway or one that has
    /// reported a time for the same era knows it. A gateway that observed the restore earlier knows
    /// an earlier time.
    pub fn earliest_complete_from(&self, reported: impl Iterator<Item = (Era, Millis)>) -> Millis {
        let of_era = reported.filter(|(era, _)| self.era == Some(*era)).map(|(_, from)| from);
        of_era.fold(self.complete_from(), Millis::min)
    }

    /// Returns the time until which other gateways may lack records. They may have learned of the
    /// era later: until then they may keep records that the store lacks, or lack them themselves.
    pub fn others_lack_records_until(&self) -> Millis {
        self.known_since().map_or(0, |since| since + 2 * REWRITE_MS)
    }

    /// Records that the store answered a call, made at `sent`, in an era.
    ///
    /// A lower era is accepted if the call was made after the known era was observed: otherwise a
    /// store that once reported a wrong era would never be read again.
    pub fn observe(&mut self, now: Millis, sent: Millis, era: Era) -> EraChange {
        match self.era {
            Some(known) if known == era => EraChange::Known,
            Some(known) if era < known && sent < self.known_since => EraChange::Late,
            before => {
                self.era = Some(era);
                self.known_since = now;
                self.is_restored = before.is_some() || era > FIRST_ERA;
                EraChange::New { before }
            }
        }
    }
}
