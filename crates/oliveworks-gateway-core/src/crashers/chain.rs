//! Chains of ends: the ends of backend servers that count against one feature, and their exchange
//! between gateways.

use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::{Feature, Fingerprint, SAME_END_MS};
use crate::Millis;
use crate::balance::Target;

/// Maximum number of ends remembered per chain. This is more than a conviction requires, even if
/// requests with the feature run side by side, so that all ends that it explains are known.
const ENDS_MAX: usize = 24;
/// Minimum time between two ends of a chain that count separately, in ms. The hosts of a lost
/// failure domain do not end at exactly the same time, and the requests of the first one are
/// retried on the others.
const NEXT_END_MIN_MS: Millis = 100;
/// Full weight of an end. The unit of weights is half an end.
const FULL_WEIGHT: u32 = 2;
/// Weight of an end if the run had been delivering there for a while, if a convicted feature also
/// explains the end, or if an earlier end belongs to the same request.
const REDUCED_WEIGHT: u32 = 1;
/// Delivery time from which an end has less weight, in ms. Servers crash when they start to process
/// a request, and most of the other runs at that target have been delivering for longer.
const DELIVERING_AFTER_MS: u64 = 100;
/// Number of ended backend servers after which requests with a feature run one at a time.
const ONE_BY_ONE_AFTER_HOSTS: usize = 2;
/// Time for which other gateways wait for the result of a run, in ms. This is as long as a crashing
/// backend server takes to start processing the request under load.
const TRIAL_TIMEOUT_MS: Millis = 1_000;
/// Maximum delay of the report of an end, in ms. An end before a complete answer may appear to be
/// later than that answer by this time.
const REPORT_DELAY_MAX_MS: Millis = 50;

/// An end of a backend server, as exchanged between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEnd {
    /// The backend server that ended.
    pub host: Target,
    /// Time since the end, in ms.
    pub ago_ms: u64,
    /// Whether the run had been delivering there for a while.
    pub had_delivered: bool,
    /// The request that ran there, for shared features.
    pub request: Option<RequestHash>,
}

/// A short hash of a request's content. It tells the requests of one chain apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHash(pub u16);

impl From<Fingerprint> for RequestHash {
    fn from(content: Fingerprint) -> RequestHash {
        RequestHash(u16::from_le_bytes([content.0[0], content.0[1]]))
    }
}

/// An end of a backend server under a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct End {
    pub at: Millis,
    pub host: Target,
    /// Whether the run had been delivering there for a while.
    pub had_delivered: bool,
    /// The request that ran there, for shared features.
    pub request: Option<RequestHash>,
}

impl End {
    /// Creates the end of a run's backend server. `delivered_ms` is the time for which the run had
    /// been delivering there.
    pub fn of_run(at: Millis, host: Target, delivered_ms: u64) -> End {
        End { at, host, had_delivered: delivered_ms >= DELIVERING_AFTER_MS, request: None }
    }

    /// Adds the request that ran there.
    pub fn of_request(self, content: Fingerprint) -> End {
        End { request: Some(content.into()), ..self }
    }

    /// Creates an end from another gateway's report.
    pub fn from_report(now: Millis, reported: &ReportedEnd) -> End {
        let ReportedEnd { host, ago_ms, had_delivered, request } = *reported;
        End { at: now.saturating_sub(ago_ms), host, had_delivered, request }
    }

    fn reported(&self, now: Millis) -> ReportedEnd {
        let End { at, host, had_delivered, request } = *self;
        ReportedEnd { host, ago_ms: now.saturating_sub(at), had_delivered, request }
    }

    fn halves(&self) -> u32 {
        if self.had_delivered { REDUCED_WEIGHT } else { FULL_WEIGHT }
    }

    fn is_same(&self, other: &End) -> bool {
        self.host == other.host && self.at.abs_diff(other.at) < SAME_END_MS
    }
}

/// Weighted ends that count against a feature, in halves of an end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Evidence(u32);

impl Evidence {
    /// Returns the evidence of the given number of ends with full weight.
    pub const fn of_ends(ends: u32) -> Evidence {
        Evidence(ends * FULL_WEIGHT)
    }

    /// Returns the evidence in ends with full weight, rounded down.
    pub fn ends(self) -> u32 {
        self.0 / FULL_WEIGHT
    }
}

/// A gateway's report of a feature.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    /// The feature of the requests under which the backend servers ended.
    pub feature: Feature,
    /// Ends under these requests that the reporting gateway knows, oldest first.
    pub ends: Vec<ReportedEnd>,
    /// Time since the last completed run, in ms, if known. Earlier ends do not count against the
    /// feature.
    pub survived_ago_ms: Option<u64>,
    /// Time since the start of a run, in ms, if other gateways must not run such requests in the
    /// meantime.
    pub tried_ago_ms: Option<u64>,
    /// Whether the feature is convicted.
    pub is_convicted: bool,
}

/// Source of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum News {
    /// This gateway observed the change.
    #[default]
    Own,
    /// Another gateway reported the change, most likely to other gateways as well.
    Relayed,
}

/// The state of a feature. Two gateways that have exchanged all reports have the same state.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// The ends, in the order of their times.
    ends: Vec<End>,
    /// Time of the last completed run.
    survived_at: Option<Millis>,
    /// Number of ends that still count against the request after an expired conviction.
    carried: u32,
    /// Time at which the conviction expired.
    released_at: Millis,
    /// Start of the latest run whose result is awaited.
    tried_at: Option<Millis>,
    /// Time of the last end, or of the completed run that cleared it.
    kept_since: Millis,
    pub is_convicted: bool,
    /// Time at which this gateway learned of a change that has to be reported.
    pub report_since: Option<Millis>,
    /// Number of reports since that change.
    report_count: u32,
    /// Source of that change.
    news: News,
}

impl Record {
    /// Creates the state of a feature without an end.
    pub fn survived_at(survived_at: Option<Millis>) -> Record {
        Record { survived_at, kept_since: survived_at.unwrap_or(0), ..Record::default() }
    }

    /// Creates the state of a feature whose conviction has expired.
    pub fn released(now: Millis, carried: u32) -> Record {
        Record { carried, released_at: now, kept_since: now, ..Record::default() }
    }

    /// Returns whether a completed run shows that an end does not count against the feature.
    pub fn has_cleared(&self, end: &End) -> bool {
        self.survived_at.is_some_and(|survived_at| end.at <= survived_at + REPORT_DELAY_MAX_MS)
    }

    /// Returns the time of the last completed run.
    pub fn last_survival(&self) -> Option<Millis> {
        self.survived_at
    }

    /// Returns the time from which the state is kept for a while.
    pub fn kept_since(&self) -> Millis {
        self.kept_since
    }

    /// Records that a backend server ended under such a request. Returns whether the end was
    /// unknown, or known with less weight.
    pub fn ended(&mut self, end: End) -> bool {
        if self.has_cleared(&end) || end.at < self.released_at {
            return false;
        }
        self.kept_since = self.kept_since.max(end.at);
        if let Some(known) = self.ends.iter_mut().find(|known| known.is_same(&end)) {
            let is_stronger = known.halves() < end.halves();
            known.had_delivered &= end.had_delivered;
            return is_stronger;
        }
        let index = self.ends.partition_point(|known| known.at <= end.at);
        self.ends.insert(index, end);
        let surplus = self.ends.len().saturating_sub(ENDS_MAX);
        self.ends.drain(..surplus);
        surplus == 0 || index > 0
    }

    /// Records a completed run. Returns whether it is the first one, or clears ends: other gateways
    /// have to know of such a run.
    pub fn record_survival(&mut self, at: Millis) -> bool {
        if self.survived_at.is_some_and(|known| at <= known + REPORT_DELAY_MAX_MS) {
            return false;
        }
        let is_news = self.survived_at.is_none() || !self.ends.is_empty() || self.carried > 0;
        self.survived_at = Some(at);
        self.ends.retain(|end| end.at > at);
        self.is_convicted &= !self.ends.is_empty();
        self.carried = 0;
        if is_news {
            self.kept_since = self.kept_since.max(at);
        }
        is_news
    }

    /// Returns the evidence against the feature. Ends at the same moment count as one, and ends
    /// that another feature explains have less weight. For a shared feature, so have further ends
    /// of the same request: they may be due to something else in that request, or to bad luck.
    pub fn evidence(&self, is_explained: impl Fn(Target) -> bool) -> Evidence {
        let mut halves = self.carried * FULL_WEIGHT;
        let mut moment: Option<(Millis, u32)> = None;
        for (index, end) in self.ends.iter().enumerate() {
            let is_same = |earlier: &End| end.request.is_some() && earlier.request == end.request;
            let is_repeated = self.ends[..index].iter().any(is_same);
            let counted = match moment {
                Some((since, counted)) if end.at < since + NEXT_END_MIN_MS => counted,
                _ => {
                    moment = Some((end.at, 0));
                    0
                }
            };
            let is_reduced = is_repeated || is_explained(end.host);
            let weight = if is_reduced { REDUCED_WEIGHT } else { end.halves() };
            let weight = weight.max(counted);
            halves += weight - counted;
            moment = moment.map(|(since, _)| (since, weight));
        }
        Evidence(halves)
    }

    /// Returns a hash of all that the evaluation of the evidence depends on.
    pub fn history(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for end in &self.ends {
            let request = end.request.map(|request| request.0);
            (end.at, end.host, end.had_delivered, request).hash(&mut hasher);
        }
        (self.carried, self.released_at, self.survived_at, self.is_convicted).hash(&mut hasher);
        hasher.finish()
    }

    pub fn ends(&self) -> &[End] {
        &self.ends
    }

    /// Returns the backend servers that ended, newest last.
    pub fn hosts(&self) -> impl DoubleEndedIterator<Item = Target> + '_ {
        self.ends.iter().map(|end| end.host)
    }

    /// Returns whether all ends of another feature are ends of this one as well.
    pub fn has_all_hosts_of(&self, other: &Record) -> bool {
        other.hosts().all(|host| self.hosts().any(|own| own == host))
    }

    /// Records the start of a run, and returns whether this was unknown.
    pub fn tried(&mut self, at: Millis) -> bool {
        let is_new = self.tried_at.is_none_or(|known| at > known + REPORT_DELAY_MAX_MS);
        if is_new {
            self.tried_at = Some(at);
        }
        is_new
    }

    /// Returns whether the result of a run is still awaited.
    pub fn is_being_tried(&self, now: Millis) -> bool {
        self.tried_at.is_some_and(|at| at >= self.last_change() && now < at + TRIAL_TIMEOUT_MS)
    }

    /// Returns whether requests with the feature must not run side by side. This also applies after
    /// the conviction has expired.
    pub fn runs_one_by_one(&self) -> bool {
        self.carried > 0 || self.ended_hosts() >= ONE_BY_ONE_AFTER_HOSTS
    }

    /// Returns the number of backend servers that ended before the run there had been delivering
    /// for a while.
    pub fn ended_hosts(&self) -> usize {
        self.ends.iter().filter(|end| !end.had_delivered).count()
    }

    pub fn first_end(&self) -> Millis {
        self.ends.first().map_or(self.released_at, |end| end.at)
    }

    pub fn last_end(&self) -> Millis {
        self.ends.last().map_or(self.released_at, |end| end.at)
    }

    /// Returns the time of the last change to the known ends or completed runs.
    pub fn last_change(&self) -> Millis {
        self.last_end().max(self.survived_at.unwrap_or(0))
    }

    /// Records a change that has to be reported.
    pub fn must_report(&mut self, now: Millis, news: News) {
        self.report_since = Some(now);
        self.report_count = 0;
        self.news = news;
    }

    /// Returns whether this gateway observed the last change itself.
    pub fn is_own_news(&self) -> bool {
        self.news == News::Own
    }

    /// Returns the number of reports since the last change.
    pub fn report_count(&self) -> u32 {
        self.report_count
    }

    /// Returns the report for other gateways. Ends from before the start of this process are
    /// omitted: their age is unknown here, and they would seem more recent with each gateway that
    /// forwards them.
    pub fn report(&mut self, now: Millis, feature: Feature) -> Option<Chain> {
        let dated = self.ends.iter().filter(|end| end.at > 0);
        let ends: Vec<ReportedEnd> = dated.map(|end| end.reported(now)).collect();
        let survived_at = self.survived_at.filter(|at| *at > 0);
        let survived_ago_ms = survived_at.map(|at| now.saturating_sub(at));
        let tried_ago_ms = self.tried_at.filter(|_| self.is_being_tried(now));
        let tried_ago_ms = tried_ago_ms.map(|at| now.saturating_sub(at));
        if ends.is_empty() && survived_ago_ms.is_none() && tried_ago_ms.is_none() {
            return None;
        }
        self.report_count += 1;
        let is_convicted = self.is_convicted;
        Some(Chain { feature, ends, survived_ago_ms, tried_ago_ms, is_convicted })
    }
}
