//! What keeps a request from a place, and what follows where it keeps it from all of them.
//!
//! A place is looked at when a request chooses one, and once more right before the request is sent, since its
//! connection may come up long after. Whoever sends asks here and nowhere else. Rejected: a check beside each of
//! these causes (what was added to one path was missed on the others).

use std::collections::BTreeMap;

use crate::Millis;
use crate::balance::NoTarget;

/// What keeps a request from a place: first what lasts, then what passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// It is in a region that may not serve the request.
    Region,
    /// The backend server, or a member of its replica group, leaves or is gone.
    Leaving,
    /// Its failure domain is drained.
    Drained,
    /// It stands still, or could not be reached.
    Suspended,
    /// It refused and asked to be left alone.
    Backoff {
        /// Until when.
        until: Millis,
    },
    /// It is cold, and this gateway has taken its part of it.
    Cold {
        /// When the part is free again; none if that is not known.
        free_at: Option<Millis>,
    },
    /// It names a rate limit, and there is no permit for it.
    Limited {
        /// When there may be one.
        free_at: Millis,
    },
}

impl Obstacle {
    /// Whether it also stops a request that was given to the place before and is not sent yet. A suspension does
    /// not: the request's own connection has come up since. Nor does a cold place: the request is in this gateway's part; nor
    /// a limited one: the request's own permit is looked at.
    pub fn stops_a_send(self) -> bool {
        !matches!(self, Obstacle::Suspended | Obstacle::Cold { .. } | Obstacle::Limited { .. })
    }

    /// Whether it passes within the time in which callers wait, or may.
    fn passes(self) -> bool {
        !matches!(self, Obstacle::Region | Obstacle::Leaving | Obstacle::Drained)
    }

    /// A word for it.
    fn name(self) -> &'static str {
        match self {
            Obstacle::Region => "region",
            Obstacle::Leaving => "leaving",
            Obstacle::Drained => "drained",
            Obstacle::Suspended => "suspended",
            Obstacle::Backoff { .. } => "backoff",
            Obstacle::Cold { .. } => "cold",
            Obstacle::Limited { .. } => "limited",
        }
    }

    /// When it ends.
    fn ends(self) -> FreeAt {
        match self {
            Obstacle::Region | Obstacle::Leaving | Obstacle::Drained => FreeAt::NotSoon,
            Obstacle::Suspended => FreeAt::Unknown,
            Obstacle::Backoff { until } => FreeAt::At(until),
            Obstacle::Cold { free_at } => free_at.map_or(FreeAt::NotSoon, FreeAt::At),
            Obstacle::Limited { free_at } => FreeAt::At(free_at),
        }
    }
}

/// When a place may come free, from the soonest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FreeAt {
    /// At any moment.
    Unknown,
    /// At this time.
    At(Millis),
    /// Not within the time in which callers wait.
    NotSoon,
}

/// No place was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoPlace {
    /// Why.
    pub reason: NoTarget,
    /// When there may be one.
    pub free_at: FreeAt,
}

impl From<NoTarget> for NoPlace {
    fn from(reason: NoTarget) -> NoPlace {
        NoPlace { reason, free_at: FreeAt::Unknown }
    }
}

impl NoPlace {
    /// What follows if these keep a request from every place that there is.
    pub fn kept_by(obstacles: &[Obstacle]) -> NoPlace {
        let free_at = obstacles.iter().map(|obstacle| obstacle.ends()).min();
        let passing = obstacles.iter().filter(|obstacle| obstacle.passes());
        let reason = passing.fold(NoTarget::None, |reason, obstacle| match obstacle {
            Obstacle::Backoff { .. } => NoTarget::Backoff,
            Obstacle::Cold { .. } if reason == NoTarget::None => NoTarget::Cold,
            Obstacle::Limited { .. } if reason == NoTarget::None => NoTarget::Limited,
            _ => reason,
        });
        NoPlace { reason, free_at: free_at.unwrap_or(FreeAt::NotSoon) }
    }

    /// Whether there is certainly none until a time.
    pub fn lasts_until(&self, until: Millis) -> bool {
        self.free_at > FreeAt::At(until)
    }

    /// How long there is certainly none, in ms, if that is known.
    pub fn known_ms(&self, now: Millis) -> Option<u64> {
        match self.free_at {
            FreeAt::At(at) => Some(at.saturating_sub(now)),
            FreeAt::Unknown | FreeAt::NotSoon => None,
        }
    }
}

/// Whether a request has no place only because none is in a region that may serve it.
pub fn is_kept_by_region(obstacles: &[Obstacle]) -> bool {
    let mut staying =
        obstacles.iter().filter(|obstacle| **obstacle != Obstacle::Leaving).peekable();
    staying.peek().is_some() && staying.all(|obstacle| *obstacle == Obstacle::Region)
}

/// How many obstacles there are of each kind, for people.
pub fn describe(obstacles: &[Obstacle]) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for obstacle in obstacles {
        *counts.entry(obstacle.name()).or_default() += 1;
    }
    let counts: Vec<String> =
        counts.iter().map(|(name, count)| format!("{count} {name}")).collect();
    if counts.is_empty() { "none".into() } else { counts.join(", ") }
}
