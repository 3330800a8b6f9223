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
const NEXT_END_MS: Millis = 100;
/// What an end says against a request, in halves of an end.
const FULL: u32 = 2;
/// The same if its run had delivered for a while there, or a convicted request ran there as well.
const POOR: u32 = 1;
/// How long a run delivers before its backend server's end says less against it, in ms: servers crash as they begin with a
/// request, and of the runs that are beside it most have delivered for longer.
const BEGINNING_MS: u64 = 100;
/// Backend servers after which copies of a request run one by one.
const ONE_BY_ONE_AFTER_HOSTS: usize = 2;
/// How long others wait for what a run tells, in ms: as long as a backend server that crashes takes to begin with it
/// under load.
const TRIAL_MS: Millis = 1_000;
/// How late an end is told at the most, in ms: one that came before a whole answer may seem to have come after it by that.
const TOLD_LATE_MS: Millis = 50;

/// An end, as gateways tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldEnd {
    /// The backend server.
    pub host: Target,
    /// How long ago it ended, in ms.
    pub ago_ms: u64,
    /// Whether the run had delivered for a while there.
    pub had_delivered: bool,
}

/// An end under a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct End {
    pub at: Millis,
    pub host: Target,
    /// Whether the run had delivered for a while there.
    pub had_delivered: bool,
}

impl End {
    /// The end of a run's backend server, by how long the run had delivered there.
    pub fn of_run(at: Millis, host: Target, delivered_ms: u64) -> End {
        End { at, host, had_delivered: delivered_ms >= BEGINNING_MS }
    }

    /// An end that another gateway told.
    pub fn of_told(now: Millis, told: &ToldEnd) -> End {
        let ToldEnd { host, ago_ms, had_delivered } = *told;
        End { at: now.saturating_sub(ago_ms), host, had_delivered }
    }

    fn told(&self, now: Millis) -> ToldEnd {
        let End { at, host, had_delivered } = *self;
        ToldEnd { host, ago_ms: now.saturating_sub(at), had_delivered }
    }

    fn halves(&self) -> u32 {
        if self.had_delivered { POOR } else { FULL }
    }

    fn is_same(&self, other: &End) -> bool {
        self.host == other.host && self.at.abs_diff(other.at) < SAME_END_MS
    }
}

/// Ends that speak against a request, in halves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Evidence(u32);

impl Evidence {
    /// So many whole ends.
    pub const fn of_ends(ends: u32) -> Evidence {
        Evidence(ends * FULL)
    }

    /// The whole ends.
    pub fn ends(self) -> u32 {
        self.0 / FULL
    }
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
    /// How long ago a run of it began, in ms, if others are to leave it alone meanwhile.
    pub tried_ago_ms: Option<u64>,
    /// Whether it is convicted.
    pub is_convicted: bool,
}

/// What a gateway knows of a request. Two gateways that have told each other all know the same.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// The ends, in the order of their times.
    ends: Vec<End>,
    /// When it last came to its end.
    survived_at: Option<Millis>,
    /// Ends that are held against it from before a trial.
    carried: u32,
    /// When its conviction was over.
    released_at: Millis,
    /// When a run of it last began, if that is to tell more.
    tried_at: Option<Millis>,
    pub is_convicted: bool,
    /// When this gateway learned of something that others are told.
    pub tell_since: Option<Millis>,
}

impl Record {
    /// A request whose conviction is over.
    pub fn released(now: Millis, carried: u32) -> Record {
        Record { carried, released_at: now, ..Record::default() }
    }

    /// A backend server ended under it; tells whether that was not known, or not that it says so much.
    pub fn ended(&mut self, end: End) -> bool {
        let is_cleared = self.survived_at.is_some_and(|cleared| end.at <= cleared + TOLD_LATE_MS);
        if is_cleared || end.at < self.released_at {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|known| known.is_same(&end)) {
            let says_more = known.halves() < end.halves();
            known.had_delivered &= end.had_delivered;
            return says_more;
        }
        let place = self.ends.partition_point(|known| known.at <= end.at);
        self.ends.insert(place, end);
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
        self.ends.retain(|end| end.at > at);
        self.is_convicted &= !self.ends.is_empty();
        self.carried = 0;
        true
    }

    /// What speaks against it. Ends at one moment are one; those that another request explains say less.
    pub fn evidence(&self, is_explained: impl Fn(Target) -> bool) -> Evidence {
        let mut halves = self.carried * FULL;
        let mut moment: Option<(Millis, u32)> = None;
        for end in &self.ends {
            let said = match moment {
                Some((since, said)) if end.at < since + NEXT_END_MS => said,
                _ => {
                    moment = Some((end.at, 0));
                    0
                }
            };
            let says = if is_explained(end.host) { POOR } else { end.halves() };
            let says = says.max(said);
            halves += says - said;
            moment = moment.map(|(since, _)| (since, says));
        }
        Evidence(halves)
    }

    /// The ends.
    pub fn ends(&self) -> &[End] {
        &self.ends
    }

    /// The backend servers that ended, the newest last.
    pub fn hosts(&self) -> impl DoubleEndedIterator<Item = Target> + '_ {
        self.ends.iter().map(|end| end.host)
    }

    /// A run of it begins; tells whether that was not known.
    pub fn tried(&mut self, at: Millis) -> bool {
        let is_news = self.tried_at.is_none_or(|known| at > known + TOLD_LATE_MS);
        if is_news {
            self.tried_at = Some(at);
        }
        is_news
    }

    /// Whether a run that has begun may tell more.
    pub fn is_being_tried(&self, now: Millis) -> bool {
        self.tried_at.is_some_and(|at| at >= self.last_news() && now < at + TRIAL_MS)
    }

    /// Whether copies of it are not to run side by side: also those that come once its conviction is over.
    pub fn runs_one_by_one(&self) -> bool {
        self.carried > 0 || self.ended_hosts() >= ONE_BY_ONE_AFTER_HOSTS
    }

    /// Backend servers that ended before its run there had delivered for long.
    pub fn ended_hosts(&self) -> usize {
        self.ends.iter().filter(|end| !end.had_delivered).count()
    }

    pub fn first_end(&self) -> Millis {
        self.ends.first().map_or(self.released_at, |end| end.at)
    }

    pub fn last_end(&self) -> Millis {
        self.ends.last().map_or(self.released_at, |end| end.at)
    }

    /// When anything last became known of it.
    pub fn last_news(&self) -> Millis {
        self.last_end().max(self.survived_at.unwrap_or(0))
    }

    /// What others are told. An end from before this process has no age here, and would seem younger with
    /// each one that passes it on: it is left out.
    pub fn tell(&self, now: Millis, request: Fingerprint) -> Option<Chain> {
        let dated = self.ends.iter().filter(|end| end.at > 0);
        let ends: Vec<ToldEnd> = dated.map(|end| end.told(now)).collect();
        let survived_at = self.survived_at.filter(|at| *at > 0);
        let survived_ago_ms = survived_at.map(|at| now.saturating_sub(at));
        let tried_ago_ms = self.tried_at.filter(|_| self.is_being_tried(now));
        let tried_ago_ms = tried_ago_ms.map(|at| now.saturating_sub(at));
        if ends.is_empty() && survived_ago_ms.is_none() && tried_ago_ms.is_none() {
            return None;
        }
        let is_convicted = self.is_convicted;
        Some(Chain { request, ends, survived_ago_ms, tried_ago_ms, is_convicted })
    }
}
