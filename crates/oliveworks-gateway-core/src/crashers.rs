//! Crashers: detection of requests that crash the backend servers on which they run.
//!
//! If a request crashes its backend server, the caller retries through any gateway and under
//! another id, or sends similar requests. Each of them crashes one or two more backend servers,
//! along with everything else that runs there. The evidence is therefore held by [`Feature`]: the
//! content of a request, its body, and each part of its prompt. Each run has a [`Target`], which is
//! a backend server or a replica group identified by its head; names with `host` stand for the
//! target of an end. A feature is *convicted* if the backend servers of its runs ended one after the
//! other and none of its runs ever completed; requests with a convicted feature are not sent any
//! more.
//!
//! The evidence is a chain of ends. An *end* is the end of a backend server while a request with the
//! feature was running there. The chain is the same at all gateways because they report each end to
//! each other. An end counts only if some time has passed since the previous one, so a lost failure
//! domain, which ends hundreds of backend servers at once, counts once for each request that ran
//! there. An end has less weight if the run had already been delivering for a while. A completed run
//! clears all features of its request at all gateways. Requests that run beside a crasher share its
//! first ends. They are retried at separate targets and complete there, and an end that a convicted
//! feature explains has less weight against the others. If backend servers also end for other
//! reasons, a longer chain is required: one more end for each moment with such ends, up to a maximum,
//! because a request that keeps returning must be stopped eventually. Later ends do not revoke a
//! conviction.
//!
//! A part that most requests share is at nearly every end. Completed runs clear it again and again,
//! and for a minute after one of them it is not even a suspect. Features that are always at
//! the same ends cannot be told apart. They are convicted together: a request with all of them is not
//! sent any more, and one with some of them is tried alone. If it completes, its features are
//! cleared; if it crashes its backend server, its features explain more ends than the others.
//!
//! Rejected: convicting at the second end (requests that ran beside a crasher are retried at a few
//! targets, some of them beside its next run); counting ends regardless of the time between them (a
//! single lost failure domain would convict requests that many callers send); re-evaluating a
//! conviction at each query (each later end of another request would clear the first one); and
//! evidence by content alone (requests that differ a little each time would never be detected).

mod chain;
mod conviction;
mod features;
mod running;
mod sound;

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

use crate::Millis;
use crate::balance::Target;
pub use chain::{Chain, ReportedEnd, RequestHash};
use chain::{End, Evidence, News, Record};
pub use features::{Feature, Features, Fingerprint, PartId, WorkspaceHash};
use running::Running;
use sound::{KNOWN_SOUND_MS, SoundFeatures};

/// Number of ends with full weight, without a completed run in between, that convict a feature. For
/// a request that merely runs beside a crasher, two ends are about as likely as not; three ends
/// without a single completed run are not chance.
const CONVICTED_AFTER: u32 = 3;
/// Evidence that convicts a feature.
const CONVICTING_EVIDENCE: Evidence = Evidence::of_ends(CONVICTED_AFTER);
/// Maximum number of ends required for a conviction if backend servers also end for other reasons.
/// Each further end costs a group and everything that runs there.
const CONVICTED_AFTER_MAX: u32 = 5;
/// Number of ended backend servers that convicts a content regardless of other ends, if the request
/// had not been delivering at any of them. A request beside a crasher runs at one target at a time,
/// and few such requests are beside the crasher four times without having begun to deliver.
const CONVICTED_AFTER_HOSTS: usize = 4;
/// Time for which an end counts against a feature, in ms. Callers retry within their deadlines, and
/// sessions within a minute.
const SUSPECT_MS: Millis = 60_000;
/// Time for which requests with a convicted feature are rejected before one trial, in ms. Repaired servers or
/// weights are rolled out within minutes, and each trial may cost one backend server.
const CONVICTED_MS: Millis = 300_000;
/// Maximum number of features remembered: the contents of the streams of a lost failure domain with
/// 273 hosts and 15 streams each.
const FEATURES_MAX: usize = 4_096;
/// Time for which a change to a feature is reported to other gateways, in ms. This is ten
/// heartbeats, some of which may be lost.
const CHANGE_REPORT_MS: Millis = 1_000;
/// Interval between two reports of all convicted features, in ms. A gateway that starts receives
/// such a report before a rejected caller returns.
const REPORT_ALL_INTERVAL_MS: Millis = 500;
/// Maximum number of chains in one heartbeat, about 4 KB. The requests that ran at one ended backend
/// server have a few more features.
const CHAINS_MAX: usize = 64;
/// Time before the start of a chain from which unexplained ends count, in ms. This is as long as
/// most requests run.
const LOOK_BACK_MS: Millis = 10_000;
/// Maximum number of other features that are treated as crashers at the same time, so their ends do
/// not count as ends for other reasons. If many were treated so, the requests that ran during
/// repeated losses of many backend servers would all have long chains, and these would explain all
/// of the ends.
const OTHER_CRASHERS_MAX: usize = 3;
/// Maximum time between ends that count as one moment because they have a common cause, such as a
/// lost failure domain, in ms.
const SAME_MOMENT_MS: Millis = 500;
/// Time after an end by which all gateways know the requests that ran there, in ms: the delivery of
/// an immediate heartbeat, plus a short time to detect the end of the backend server.
pub const SETTLED_MS: Millis = 30;
/// Minimum interval between two evaluations of all features, in ms. A lost failure domain causes
/// thousands of ends at once, and each evaluation iterates over all known features.
const SETTLE_INTERVAL_MS: Millis = 20;
/// Maximum time between reports that refer to the same end of a backend server, in ms.
const SAME_END_MS: Millis = 1_000;

/// The status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// There is no evidence against the request.
    Clear,
    /// Backend servers ended under the request, but not enough for a conviction.
    Suspect {
        /// Weighted ends since the last completed run, in ends with full weight, rounded down.
        ends: u32,
    },
    /// The request is not sent any more.
    Convicted {
        /// End of the conviction.
        until: Millis,
    },
}

impl Standing {
    /// Returns whether the evidence amounts to at least two ends with full weight. Such a request
    /// is not retried within the same attempt of its caller: if it is a crasher, the retry would
    /// cost a third backend server just to prove that.
    pub fn is_strong_suspect(self) -> bool {
        !matches!(self, Standing::Clear | Standing::Suspect { ends: 0 | 1 })
    }
}

/// A summary of the evidence for and against a conviction, for log messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assessment {
    /// The feature with the most evidence against it.
    pub feature: Feature,
    /// Weighted ends since the last completed run, in ends with full weight, rounded down.
    pub ends: u32,
    /// Number of ends with full weight that a conviction requires.
    pub needed: u32,
    /// Whether another feature also explains the last end.
    pub shares_last_end: bool,
}

/// The requests under which backend servers ended.
#[derive(Clone, Debug, Default)]
pub struct Crashers {
    records: HashMap<Feature, Record>,
    sound: SoundFeatures,
    running: Running,
    /// Time of the last evaluation of all features.
    settled_at: Millis,
    /// Time of the last report of all convicted features.
    all_reported_at: Millis,
    /// The known ends of backend servers, oldest first.
    known_ends: VecDeque<(Millis, Target)>,
    /// Features convicted since the last call of [`Crashers::take_new_convictions`].
    new_convictions: Vec<Feature>,
    /// Convicted features that were cleared since the last call of [`Crashers::take_cleared`].
    newly_cleared: Vec<Feature>,
}

impl Crashers {
    /// Records that a backend server ended under a run of a request that had been delivering there
    /// for `delivered_ms`. Several runs may be active at once, for callers that send the same
    /// request.
    /// Rejected: counting only runs that began after the last end (if copies run side by side, few
    /// would count, and more backend servers would end before the request is detected).
    pub fn host_ended(&mut self, now: Millis, request: &Features, host: Target, delivered_ms: u64) {
        self.settle(now);
        self.record_end(now, host);
        let end = End::of_run(now, host, delivered_ms);
        for feature in request.iter() {
            let end = if feature.is_shared() { end.of_request(request.content()) } else { end };
            let record = self.record_mut(feature);
            if record.ended(end) {
                record.must_report(now, News::Own);
            }
        }
    }

    /// Applies another gateway's report of a feature, and returns whether the report contains
    /// anything new.
    pub fn apply_report(&mut self, now: Millis, chain: Chain) -> bool {
        let held_ms = if chain.is_convicted { CONVICTED_MS } else { SUSPECT_MS };
        let is_recent = |ago_ms: u64| ago_ms < held_ms;
        let ends = chain.ends.iter().filter(|end| is_recent(end.ago_ms));
        let ends: Vec<End> = ends.map(|reported| End::from_report(now, reported)).collect();
        let survived = chain.survived_ago_ms.map(|ago_ms| now.saturating_sub(ago_ms));
        let tried = chain.tried_ago_ms.map(|ago_ms| now.saturating_sub(ago_ms));
        if ends.is_empty() && survived.is_none() && tried.is_none() {
            return false;
        }
        if !self.records.contains_key(&chain.feature) {
            self.settle(now);
        }
        ends.iter().for_each(|end| self.record_end(end.at, end.host));
        let record = self.record_mut(chain.feature);
        let was_convicted = record.is_convicted;
        let mut is_new = survived.is_some_and(|at| record.record_survival(at));
        let is_newly_cleared = was_convicted && !record.is_convicted;
        let must_answer = ends.iter().any(|end| record.has_cleared(end));
        for end in ends {
            is_new |= record.ended(end);
        }
        is_new |= tried.is_some_and(|at| record.tried(at));
        let is_newly_convicted =
            chain.is_convicted && !record.is_convicted && !record.ends().is_empty();
        if is_newly_convicted {
            record.is_convicted = true;
        }
        // A sender that still counts ends from before a completed run does not know of that run.
        if is_new || is_newly_convicted || must_answer {
            record.must_report(now, if must_answer { News::Own } else { News::Relayed });
        }
        if is_newly_convicted {
            self.new_convictions.push(chain.feature);
        }
        if is_newly_cleared {
            self.newly_cleared.push(chain.feature);
        }
        is_new || is_newly_convicted
    }

    /// Records that a run of a request completed, so its features do not crash the backend server.
    /// The outcome is reported to other gateways, which may know of backend servers that ended under
    /// the same features.
    pub fn record_survival(&mut self, now: Millis, request: &Features) {
        for feature in request.iter() {
            if feature.is_shared() {
                self.sound.completed(now, feature);
            }
            let Some(record) = self.records.get_mut(&feature) else { continue };
            let was_convicted = record.is_convicted;
            if record.record_survival(now) {
                record.must_report(now, News::Own);
            }
            if was_convicted && !record.is_convicted {
                self.newly_cleared.push(feature);
            }
        }
    }

    /// Returns the status of a request. After the conviction of a feature has expired, requests with
    /// the feature are strong suspects again: the next end convicts it again.
    pub fn standing(&mut self, now: Millis, request: &Features) -> Standing {
        if self.records.is_empty() {
            return Standing::Clear;
        }
        for alike in self.group_alike(request.iter()) {
            self.convict_if_due(now, &alike);
            alike.all.iter().for_each(|feature| self.release_if_expired(now, *feature));
        }
        let groups = self.group_alike(request.iter());
        if let Some(until) = self.convicted_until(now, request, &groups) {
            return Standing::Convicted { until };
        }
        match groups.iter().map(|alike| self.suspicion(now, alike.first).ends()).max() {
            None | Some(0) => Standing::Clear,
            Some(ends) => Standing::Suspect { ends },
        }
    }

    /// Returns a summary of the evidence for and against a conviction; `None` if there is no
    /// evidence against the request.
    pub fn assess(&self, now: Millis, request: &Features) -> Option<Assessment> {
        let groups = self.group_alike(request.iter());
        let strongest = groups.iter().max_by_key(|alike| self.suspicion(now, alike.first))?;
        self.assess_feature(now, strongest.first)
    }

    /// Returns a summary of the evidence for and against a conviction of a feature; `None` if there
    /// is no evidence against it.
    pub fn assess_feature(&self, now: Millis, feature: Feature) -> Option<Assessment> {
        let record = self.records.get(&feature)?;
        Some(Assessment {
            feature,
            ends: self.suspicion(now, feature).ends(),
            needed: self.needed(now, feature, record),
            shares_last_end: self.shares_last_end(now, feature),
        })
    }

    /// Returns the features convicted since the last call. Active runs of requests with these
    /// features must be stopped.
    pub fn take_new_convictions(&mut self) -> Vec<Feature> {
        std::mem::take(&mut self.new_convictions)
    }

    /// Returns the convicted features that were cleared by a completed run since the last call.
    pub fn take_cleared(&mut self) -> Vec<Feature> {
        std::mem::take(&mut self.newly_cleared)
    }

    /// Returns the chains to report to other gateways, most important first: recent changes, and at
    /// intervals all convicted features, for gateways that have started or were cut off.
    pub fn chains_to_report(&mut self, now: Millis) -> Vec<Chain> {
        self.settle(now);
        let all = now >= self.all_reported_at + REPORT_ALL_INTERVAL_MS;
        if all {
            self.all_reported_at = now;
        }
        let to_report = self.records.iter_mut().filter(|(_, record)| {
            let is_new = record.report_since.is_some_and(|since| now < since + CHANGE_REPORT_MS);
            let lasts = record.is_convicted && now < record.last_end() + CONVICTED_MS;
            is_new || all && lasts
        });
        let mut to_report: Vec<_> = to_report.collect();
        to_report.sort_by_cached_key(|(feature, record)| {
            let evidence = record.evidence(|_| false);
            // Each chain is reported once before others are reported again.
            let turn = Reverse(record.report_count());
            // Prompts of many parts have many sound ones at each end. They come after a part that
            // no run has cleared and that more than one end points to. Otherwise, a part that most
            // requests share must be cleared as fast as its ends are reported.
            let is_cleared = feature.is_part() && record.last_survival().is_some();
            let is_strong = !is_cleared && evidence.ends() > 1;
            let kind = (is_strong, is_cleared, evidence);
            let rank = (kind, record.is_own_news(), feature.report_rank());
            Reverse((record.is_convicted, turn, rank, record.last_end(), **feature))
        });
        let chains =
            to_report.into_iter().filter_map(|(feature, record)| record.report(now, *feature));
        chains.take(CHAINS_MAX).collect()
    }

    /// Records that this gateway starts a run of a suspected request at a target. Returns whether
    /// other gateways must not run requests with the same features in the meantime.
    pub fn placed(
        &mut self,
        now: Millis,
        target: Target,
        request: &Features,
        standing: Standing,
    ) -> bool {
        self.running.placed(target, request.content(), standing);
        let one_by_one: Vec<Feature> =
            request.iter().filter(|feature| self.runs_one_by_one(now, *feature)).collect();
        for feature in &one_by_one {
            let record = self.record_mut(*feature);
            record.tried(now);
            record.must_report(now, News::Own);
        }
        !one_by_one.is_empty()
    }

    /// Records that a run of a suspected request at a target is over.
    pub fn left(&mut self, target: Target, request: &Features, standing: Standing) {
        self.running.left(target, request.content(), standing);
    }

    /// Returns whether a request has to wait for the result of a run with the same features at any
    /// gateway, because each of several concurrent runs could crash a backend server. A feature of
    /// requests that many callers send at once completes somewhere and is no suspect.
    pub fn must_wait_for_trial(&self, now: Millis, request: &Features) -> bool {
        request.iter().any(|feature| {
            let is_tried = match feature {
                Feature::Content(content) if self.running.has_request(content) => true,
                _ => self.records.get(&feature).is_some_and(|record| record.is_being_tried(now)),
            };
            is_tried && self.runs_one_by_one(now, feature)
        })
    }

    /// Returns whether this gateway runs a suspected request at a target. Other suspected requests
    /// are sent to other targets, so that an end of this one points to a single request.
    pub fn has_suspects(&self, target: Target) -> bool {
        self.running.has_any(target)
    }

    /// Returns whether this gateway runs strongly suspected requests at a target. Strong suspects
    /// are separated even if every target has some suspect.
    pub fn has_strong_suspects(&self, target: Target) -> bool {
        self.running.has_strong(target)
    }

    /// Returns the record of a feature. A new record contains the last completed run that this
    /// gateway knows.
    fn record_mut(&mut self, feature: Feature) -> &mut Record {
        let completed_at = self.sound.completed_at(feature);
        self.records.entry(feature).or_insert_with(|| Record::survived_at(completed_at))
    }

    /// Records an end of a backend server, in the order of times.
    fn record_end(&mut self, at: Millis, host: Target) {
        let is_known = |(known_at, known): &(Millis, Target)| {
            *known == host && at.abs_diff(*known_at) < SAME_END_MS
        };
        if self.known_ends.iter().any(is_known) {
            return;
        }
        let place = self.known_ends.partition_point(|(known_at, _)| *known_at <= at);
        self.known_ends.insert(place, (at, host));
    }

    /// Drops expired entries, and the features with the least evidence if there are too many, those
    /// that completed recently first.
    fn forget(&mut self, now: Millis) {
        while self.known_ends.front().is_some_and(|(at, _)| now > *at + SUSPECT_MS) {
            self.known_ends.pop_front();
        }
        self.records.retain(|_, record| {
            let held_ms = if record.is_convicted { CONVICTED_MS } else { SUSPECT_MS };
            now < record.kept_since() + held_ms
        });
        let surplus = self.records.len().saturating_sub(FEATURES_MAX);
        if surplus == 0 {
            return;
        }
        let mut weakest: Vec<_> = self.records.iter().collect();
        weakest.sort_by_key(|(_, record)| {
            let is_cleared = record.last_survival().is_some_and(|at| now < at + KNOWN_SOUND_MS);
            let evidence = record.evidence(|_| false);
            (record.is_convicted, !is_cleared, evidence, record.last_change())
        });
        let weakest: Vec<Feature> =
            weakest.into_iter().take(surplus).map(|(feature, _)| *feature).collect();
        for feature in weakest {
            self.records.remove(&feature);
        }
    }
}
