//! Obstacles: the reasons why a request may not use a target, and the result if no target can be
//! used.
//!
//! Obstacles are checked when a target is chosen and again right before the request is sent, because
//! the connection may be established much later. Every sender uses this module. Rejected: a
//! separate check for each cause (a check that was added to one path was missing from the others).

use std::collections::BTreeMap;

use crate::Millis;
use crate::balance::NoTarget;

/// A reason why a request may not use a target. Permanent reasons come first, then temporary ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The target is in a region that may not serve the request.
    Region,
    /// The backend server, or a member of its replica group, is leaving or gone.
    Leaving,
    /// The target's failure domain is drained.
    Drained,
    /// The target is stalled, or could not be reached.
    Suspended,
    /// The target refused a request and asked for a backoff.
    Backoff {
        /// End of the backoff.
        until: Millis,
    },
    /// The target is cold, and this gateway has used its share of the slow-start limit.
    Cold {
        /// Time at which the share is available again; `None` if unknown.
        free_at: Option<Millis>,
    },
    /// The target has a rate limit, and there is no permit for the request.
    Limited {
        /// Earliest time at which a permit may be available.
        free_at: Millis,
    },
}

impl Obstacle {
    /// Returns whether this obstacle also stops a request that was assigned to the target earlier
    /// and is not sent yet. A suspension does not, because the request's own connection has been
    /// established since. A cold target does not, because the request is already counted in this
    /// gateway's share. A rate limit does not, because the request's own permit is checked.
    pub fn stops_a_send(self) -> bool {
        !matches!(self, Obstacle::Suspended | Obstacle::Cold { .. } | Obstacle::Limited { .. })
    }

    /// Returns whether this obstacle may end within the time for which callers wait.
    fn is_temporary(self) -> bool {
        !matches!(self, Obstacle::Region | Obstacle::Leaving | Obstacle::Drained)
    }

    /// Returns the name of this obstacle for log messages.
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

    /// Returns the time at which this obstacle ends.
    fn ends_at(self) -> FreeAt {
        match self {
            Obstacle::Region | Obstacle::Leaving | Obstacle::Drained => FreeAt::NotSoon,
            Obstacle::Suspended => FreeAt::Unknown,
            Obstacle::Backoff { until } => FreeAt::At(until),
            Obstacle::Cold { free_at } => free_at.map_or(FreeAt::NotSoon, FreeAt::At),
            Obstacle::Limited { free_at } => FreeAt::At(free_at),
        }
    }
}

/// The earliest time at which a target may become available, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FreeAt {
    /// At any moment.
    Unknown,
    /// At a known time.
    At(Millis),
    /// Not within the time for which callers wait.
    NotSoon,
}

/// The result if a request has no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoPlace {
    /// Reason why there is no target.
    pub reason: NoTarget,
    /// Earliest time at which a target may be available.
    pub free_at: FreeAt,
}

impl From<NoTarget> for NoPlace {
    fn from(reason: NoTarget) -> NoPlace {
        NoPlace { reason, free_at: FreeAt::Unknown }
    }
}

impl NoPlace {
    /// Returns the result if every existing target has one of these obstacles.
    pub fn from_obstacles(obstacles: &[Obstacle]) -> NoPlace {
        let free_at = obstacles.iter().map(|obstacle| obstacle.ends_at()).min();
        let temporary = obstacles.iter().filter(|obstacle| obstacle.is_temporary());
        let reason = temporary.fold(NoTarget::None, |reason, obstacle| match obstacle {
            Obstacle::Backoff { .. } => NoTarget::Backoff,
            Obstacle::Cold { .. } if reason == NoTarget::None => NoTarget::Cold,
            Obstacle::Limited { .. } if reason == NoTarget::None => NoTarget::Limited,
            _ => reason,
        });
        NoPlace { reason, free_at: free_at.unwrap_or(FreeAt::NotSoon) }
    }

    /// Returns whether no target becomes available until a given time.
    pub fn lasts_until(&self, until: Millis) -> bool {
        self.free_at > FreeAt::At(until)
    }

    /// Returns the time for which no target becomes available, in ms, if known.
    pub fn known_ms(&self, now: Millis) -> Option<u64> {
        match self.free_at {
            FreeAt::At(at) => Some(at.saturating_sub(now)),
            FreeAt::Unknown | FreeAt::NotSoon => None,
        }
    }
}

/// Returns whether a request has no target only because every target that is not leaving is in a
/// region that may not serve the request.
pub fn is_kept_by_region(obstacles: &[Obstacle]) -> bool {
    let mut not_leaving =
        obstacles.iter().filter(|obstacle| **obstacle != Obstacle::Leaving).peekable();
    not_leaving.peek().is_some() && not_leaving.all(|obstacle| *obstacle == Obstacle::Region)
}

/// Returns the number of obstacles of each kind, as text for log messages.
pub fn describe(obstacles: &[Obstacle]) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for obstacle in obstacles {
        *counts.entry(obstacle.name()).or_default() += 1;
    }
    let counts: Vec<String> =
        counts.iter().map(|(name, count)| format!("{count} {name}")).collect();
    if counts.is_empty() { "none".into() } else { counts.join(", ") }
}
