//! The ends of backend servers that are held against one request, and how gateways tell each other of them.

use serde::{Deserialize, Serialize};

use super::{Fingerprint, SAME_END_MS};
use crate::Millis;
use crate::balance::Target;

/// Ends of a chain that are remembered: more than convict a request, also where copies of it run side by side, so that what
/// it explains is known.
const ENDS_KEPT: usize = 24;
/// How much later the next end of a chain comes at the least, in ms: the hosts of a lost failure domain do not end at
/// once, and what ran at the first is sent on to the others.
const NEXT_END_MS: Millis = 200;
/// How late an end is told at the most, in ms: one that came before a whole answer may seem to have come after it by that.
const TOLD_LATE_MS: Millis = 50;

/// An end, as gateways tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldEnd {
    /// The backend server.
    pub host: Target,
    /// How long ago it ended, in ms.
    pub ago_ms: u64,
}

/// What gateways tell each other of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    /// The request.
    pub request: Fingerprint,
    /// Ends under it that the teller knows, the oldest first.
    pub ends: Vec<ToldEnd>,
    /// How long ago it came to its end, in ms, if that is known: earlier ends are not held against it.
    pub survived_ago_ms: Option<u64>,
    /// Whether it is convicted.
    pub is_convicted: bool,
}

/// What a gateway knows of a request. Two gateways that have told each other all know the same.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// The ends, in the order of their times.
    ends: Vec<(Millis, Target)>,
    /// When it last came to its end.
    survived_at: Option<Millis>,
    /// Ends that are held against it from before a trial.
    carried: u32,
    /// When it was set on trial.
    trial_at: Millis,
    pub is_convicted: bool,
    /// When this gateway learned of something that others are told.
    pub tell_since: Option<Millis>,
}

impl Record {
    /// A request whose conviction is over.
    pub fn on_trial(now: Millis, carried: u32) -> Record {
        Record { carried, trial_at: now, ..Record::default() }
    }

    /// A backend server ended under it; tells whether that was not known.
    pub fn ended(&mut self, at: Millis, host: Target) -> bool {
        let is_cleared = self.survived_at.is_some_and(|cleared| at <= cleared + TOLD_LATE_MS);
        let is_known = |(known_at, known): &(Millis, Target)| {
            *known == host && at.abs_diff(*known_at) < SAME_END_MS
        };
        if is_cleared || at < self.trial_at || self.ends.iter().any(is_known) {
            return false;
        }
        let place = self.ends.partition_point(|(known_at, _)| *known_at <= at);
        self.ends.insert(place, (at, host));
        let surplus = self.ends.len().saturating_sub(ENDS_KEPT);
        self.ends.drain(..surplus);
        surplus == 0 || place > 0
    }

    /// It came to its end; tells whether that was not known.
    pub fn survived(&mut self, at: Millis) -> bool {
        if self.survived_at.is_some_and(|known| at <= known + TOLD_LATE_MS) {
            return false;
        }
        self.survived_at = Some(at);
        self.ends.retain(|(ended_at, _)| *ended_at > at);
        self.is_convicted &= !self.ends.is_empty();
        self.carried = 0;
        true
    }

    /// Moments at which backend servers ended under it, of those that count.
    pub fn moments(&self, counts: impl Fn(Target) -> bool) -> u32 {
        let mut moments = self.carried;
        let mut last: Option<Millis> = None;
        for (at, _) in self.ends.iter().filter(|(_, host)| counts(*host)) {
            if last.is_none_or(|last| *at >= last + NEXT_END_MS) {
                moments += 1;
                last = Some(*at);
            }
        }
        moments
    }

    /// The ends.
    pub fn ends(&self) -> &[(Millis, Target)] {
        &self.ends
    }

    /// The backend servers that ended, the newest last.
    pub fn hosts(&self) -> impl DoubleEndedIterator<Item = Target> + '_ {
        self.ends.iter().map(|(_, host)| *host)
    }

    pub fn first_end(&self) -> Millis {
        self.ends.first().map_or(self.trial_at, |(at, _)| *at)
    }

    pub fn last_end(&self) -> Millis {
        self.ends.last().map_or(self.trial_at, |(at, _)| *at)
    }

    /// When anything last became known of it.
    pub fn last_news(&self) -> Millis {
        self.last_end().max(self.survived_at.unwrap_or(0))
    }

    /// What others are told. An end from before this process has no age here, and would seem younger with
    /// each one that passes it on: it is left out.
    pub fn tell(&self, now: Millis, request: Fingerprint) -> Option<Chain> {
        let dated = self.ends.iter().filter(|(at, _)| *at > 0);
        let told = dated.map(|(at, host)| ToldEnd { host: *host, ago_ms: now.saturating_sub(*at) });
        let ends: Vec<ToldEnd> = told.collect();
        let survived_ago_ms =
            self.survived_at.filter(|at| *at > 0).map(|at| now.saturating_sub(at));
        if ends.is_empty() && survived_ago_ms.is_none() {
            return None;
        }
        Some(Chain { request, ends, survived_ago_ms, is_convicted: self.is_convicted })
    }
}
