//! Eras of the store: which copy of itself it answers from.
//!
//! A store that comes back from an older copy has lost what was written since, and gives the offsets of what it lost out
//! again. It says so by an era, which rises with each such return. A store that names none is in one era for good.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// How long after its return those who write to the store may take to write again what its copy lacks, in ms. What is
/// still missing then has gone.
pub const REWRITE_MS: u64 = 2_300;

/// An era of the store; later ones are higher.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What an answer's era tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The era that is known.
    Known,
    /// Another one, which is known from here on.
    New {
        /// The one that was known before.
        before: Option<Era>,
    },
    /// An earlier one, of a call that was made before the known one was: the answer was long on its way.
    Late,
}

/// The era of the store as one gateway knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreEra {
    era: Option<Era>,
    known_since: Millis,
}

impl StoreEra {
    /// The era; the first one before any was told.
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Since when it is known, if the store told any.
    pub fn known_since(&self) -> Option<Millis> {
        self.era.map(|_| self.known_since)
    }

    /// Whether what the store lacks may still be written again: it came back so lately, or this gateway has just started and
    /// cannot tell.
    pub fn may_lack_records(&self, now: Millis) -> bool {
        now < self.lacks_records_until()
    }

    /// Until when the store may lack what is written again; 0 if it does not.
    pub fn lacks_records_until(&self) -> Millis {
        self.known_since().map_or(0, |since| since + REWRITE_MS)
    }

    /// The same as other gateways know it, which may have heard of the era later: until then they may hold on to what the store
    /// lacks, or lack it themselves.
    pub fn others_lack_records_until(&self) -> Millis {
        self.known_since().map_or(0, |since| since + 2 * REWRITE_MS)
    }

    /// The store answered a call that was made at `sent` in an era.
    ///
    /// A lower one counts as well if the call was made since the known one is: a store that told one by mistake would
    /// otherwise never be read again.
    pub fn told(&mut self, now: Millis, sent: Millis, era: Era) -> Told {
        match self.era {
            Some(known) if known == era => Told::Known,
            Some(known) if era < known && sent < self.known_since => Told::Late,
            before => {
                self.era = Some(era);
                self.known_since = now;
                Told::New { before }
            }
        }
    }
}
