//! Load balancing: chooses the least busy backend server or replica group for a request.
//!
//! Each gateway counts its own requests as it sends them, and receives the other gateways' counts
//! several times a second. Rejected: polling backend servers for their load, because those calls
//! are charged for and the answers lag more than the gateways' own counts.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;
use crate::fan_out::Source;
use crate::locality::UsageByLocality;

/// A backend server, or a replica group identified by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target(pub u64);

impl Target {
    /// Returns the target for a backend server's id: a 40-bit hash, which takes six bytes instead
    /// of ten in a heartbeat. Among 4,100 backend servers a collision occurs in one of 130,000
    /// deployments, and its only effect is that the two targets seem busier than they are.
    pub fn of(id: &str) -> Target {
        Target(xxh3_64(id.as_bytes()) >> 24)
    }
}

/// A target that is eligible for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The target itself.
    pub target: Target,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target is in this gateway's failure domain.
    pub is_local: bool,
    /// Delay that each outstanding request at the target adds to the next one, in ms.
    pub open_ms: f64,
    /// Delay that each unprocessed prompt token at the target adds to the next request, in ms.
    pub token_ms: f64,
}

impl Candidate {
    /// Returns this candidate with its cost adjusted for a limit of `requests_per_s`: the load is
    /// weighted as if the target had that many slots, since an answer takes about a second. The
    /// number of slots itself is unchanged, because only the rate is limited.
    pub fn with_rate_limit(self, requests_per_s: f64) -> Candidate {
        let slots = f64::from(self.slots.max(1));
        let taken = requests_per_s.clamp(1.0, slots);
        Candidate { open_ms: self.open_ms * slots / taken, ..self }
    }
}

/// The requests in flight at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of outstanding requests.
    pub requests: u32,
    /// Number of prompt tokens of requests whose answer has not begun.
    pub tokens: u32,
}

impl Load {
    fn add(&mut self, other: Load) {
        self.requests += other.requests;
        self.tokens = self.tokens.saturating_add(other.tokens);
    }
}

/// Maximum age at which other gateways' counts are still used, in ms.
const PEER_COUNT_MAX_AGE_MS: u64 = 1_500;
/// Number of targets compared for a request, starting from a random one. Requests that other
/// gateways sent in the last moments are not known yet. Rejected: comparing all targets (every
/// gateway sends to the same one until it receives the others' counts) and comparing four (half as
/// bad).
const COMPARED: usize = 2;
/// Maximum number of targets up to which all are compared: with so few, each target receives few
/// requests before the next counts arrive.
const COMPARE_ALL_MAX: usize = 4;
/// Cost of sending to another failure domain, in ms: the network round trip.
const REMOTE_COST_MS: f64 = 3.0;
/// Cost of a recent failure, in ms. The cost decays over time.
const FAILURE_COST_MS: f64 = 120.0;
/// Half-life of the cost of failures, in ms.
const FAILURE_HALF_LIFE_MS: f64 = 1_500.0;

/// Time for which a replica group that runs a stream of this gateway may be silent beyond the longest
/// pass of the group, in ms.
const STREAM_SLACK_MS: u64 = 50;
/// Number of passes until the first event: one to read the prompt and one to generate.
const FIRST_PASSES: u64 = 2;
/// Slack added to the passes until the first event, in ms.
const FIRST_SLACK_MS: u64 = 100;

/// Returns the maximum number of targets to compare for a request.
fn compare_limit(candidates: &[Candidate]) -> usize {
    if candidates.len() <= COMPARE_ALL_MAX { COMPARE_ALL_MAX } else { COMPARED }
}

#[derive(Clone, Debug, Default)]
struct OwnLoad {
    open: u32,
    /// Prompt tokens of the requests whose answer has not begun.
    tokens: u32,
    /// Number of the outstanding streams that have begun.
    active_streams: u32,
    last_progress: Millis,
    /// Time at which data was last received from the target. Unlike `last_progress`, sending a
    /// request does not reset this time.
    last_received_at: Millis,
    failures: f64,
    failures_at: Millis,
}

impl OwnLoad {
    fn failures(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.failures_at) as f64;
        self.failures * 0.5f64.powf(age / FAILURE_HALF_LIFE_MS)
    }
}

/// Outstanding requests reported by another gateway or failure domain, and the time of that report.
#[derive(Clone, Debug, Default)]
struct PeerLoad {
    at: Millis,
    open: HashMap<Target, Load>,
}

impl PeerLoad {
    fn is_fresh(&self, now: Millis) -> bool {
        now < self.at + PEER_COUNT_MAX_AGE_MS
    }
}

/// This gateway's view of the load of all targets.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    own: HashMap<Target, OwnLoad>,
    /// Reported load by source. Another failure domain reports with each heartbeat the load that it
    /// puts on targets of this domain.
    peers: HashMap<Source, PeerLoad>,
    /// Load that other failure domains put on targets outside this domain, reported less often.
    peers_elsewhere: HashMap<Source, PeerLoad>,
    /// Time at which other gateways last received data from each target, as far as reported.
    received_by_peers: HashMap<Target, Millis>,
    /// The same, restricted to gateways of this failure domain.
    received_by_local_peers: HashMap<Target, Millis>,
}

/// The reason why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTarget {
    /// No target exists, all were tried, or all have obstacles that none of the other reasons
    /// names: region, leaving, drained or suspended.
    None,
    /// All targets are full.
    Full,
    /// All targets are in drained failure domains.
    Drained,
    /// No target may be used and none asked for a backoff, but at least one is cold, and this
    /// gateway has used its share of the slow-start limit. If others have no permit left, the first
    /// target of either kind decides.
    Cold,
    /// No target may be used, and at least one asked for a backoff. The others may have any
    /// obstacle.
    Backoff,
    /// No target may be used and none asked for a backoff, but at least one has a rate limit and no
    /// permit is left. If others are cold, the first target of either kind decides.
    Limited,
}

impl Balance {
    /// Records the outstanding requests by target that another gateway, or another failure domain,
    /// reported.
    pub fn record_peer_load(&mut self, now: Millis, source: Source, open: HashMap<Target, Load>) {
        self.peers.insert(source, PeerLoad { at: now, open });
    }

    /// Records the outstanding requests by target that another failure domain has outside this one.
    /// These reports arrive less often than those about targets of this domain.
    pub fn record_peer_load_elsewhere(
        &mut self,
        now: Millis,
        source: Source,
        open: HashMap<Target, Load>,
    ) {
        self.peers_elsewhere.insert(source, PeerLoad { at: now, open });
    }

    /// Returns whether another gateway or failure domain reported an outstanding request at a
    /// target.
    pub fn is_open_at(&self, now: Millis, source: Source, target: Target) -> bool {
        let reports = [self.peers.get(&source), self.peers_elsewhere.get(&source)];
        let mut fresh = reports.into_iter().flatten().filter(|report| report.is_fresh(now));
        fresh.any(|report| report.open.contains_key(&target))
    }

    fn fresh_reports(&self, now: Millis) -> impl Iterator<Item = (Source, &HashMap<Target, Load>)> {
        let all = self.peers.iter().chain(&self.peers_elsewhere);
        let fresh = all.filter(move |(_, report)| report.is_fresh(now));
        fresh.map(|(source, report)| (*source, &report.open))
    }

    /// Returns the outstanding requests of this failure domain's gateways, by target.
    pub fn domain_open(&self, now: Millis) -> HashMap<Target, Load> {
        let mut sum: HashMap<Target, Load> = self.own_open().collect();
        for (_, open) in self.fresh_reports(now).filter(|(source, _)| source.is_local()) {
            for (target, load) in open {
                sum.entry(*target).or_default().add(*load);
            }
        }
        sum
    }

    /// Returns this gateway's outstanding requests, by target.
    pub fn own_open(&self) -> impl Iterator<Item = (Target, Load)> {
        let busy = self.own.iter().filter(|(_, own)| own.open > 0);
        busy.map(|(target, own)| (*target, Load { requests: own.open, tokens: own.tokens }))
    }

    /// Returns the number of unprocessed prompt tokens of this gateway's requests at a target.
    pub fn own_unread(&self, target: Target) -> u32 {
        self.own.get(&target).map_or(0, |own| own.tokens)
    }

    /// Returns the outstanding requests of all gateways at a target.
    pub fn load(&self, now: Millis, target: Target) -> Load {
        let own = self.own.get(&target);
        let mut load =
            own.map(|own| Load { requests: own.open, tokens: own.tokens }).unwrap_or_default();
        for (_, open) in self.fresh_reports(now) {
            load.add(open.get(&target).copied().unwrap_or_default());
        }
        load
    }

    /// Chooses a target among the candidates. A target is full once its load reaches `full_at`
    /// times its slots.
    ///
    /// # Errors
    /// Returns an error if there is no untried candidate, or if all are full.
    pub fn choose(
        &self,
        now: Millis,
        candidates: &[Candidate],
        tried: &[Target],
        full_at: f64,
        draw: u64,
    ) -> Result<Target, NoTarget> {
        let open: Vec<&Candidate> =
            candidates.iter().filter(|candidate| !tried.contains(&candidate.target)).collect();
        if open.is_empty() {
            return Err(NoTarget::None);
        }
        let limit = compare_limit(candidates);
        self.least_busy(now, &open, limit, full_at, draw).ok_or(NoTarget::Full)
    }

    /// Chooses like [`Balance::choose`], but only among the local candidates as long as one of them
    /// is not full.
    ///
    /// # Errors
    /// Returns an error if there is no untried candidate, or if all are full.
    pub fn choose_local(
        &self,
        now: Millis,
        candidates: &[Candidate],
        tried: &[Target],
        full_at: f64,
        draw: u64,
    ) -> Result<Target, NoTarget> {
        let untried = candidates.iter().filter(|candidate| !tried.contains(&candidate.target));
        let local: Vec<&Candidate> = untried.filter(|candidate| candidate.is_local).collect();
        let found = self.least_busy(now, &local, compare_limit(candidates), full_at, draw);
        found.map_or_else(|| self.choose(now, candidates, tried, full_at, draw), Ok)
    }

    /// Returns the usage of the local and of the remote candidates.
    pub fn usage_by_locality(&self, now: Millis, candidates: &[Candidate]) -> UsageByLocality {
        let mut usage = UsageByLocality::default();
        for candidate in candidates {
            let load = self.load(now, candidate.target);
            let reading_ms = f64::from(load.tokens) * candidate.token_ms;
            let side = if candidate.is_local { &mut usage.local } else { &mut usage.remote };
            side.add(f64::from(load.requests), f64::from(candidate.slots), reading_ms);
        }
        usage
    }

    /// Returns the least busy of the first `limit` candidates that are not full.
    fn least_busy(
        &self,
        now: Millis,
        candidates: &[&Candidate],
        limit: usize,
        full_at: f64,
        draw: u64,
    ) -> Option<Target> {
        let count = candidates.len().max(1);
        // A random start spreads gateways with the same counts over equally loaded targets.
        let start = (draw % count as u64) as usize;
        let rotated = candidates.iter().cycle().skip(start).take(candidates.len());
        let has_free_slot = |candidate: &&&Candidate| {
            let slots = f64::from(candidate.slots.max(1));
            f64::from(self.load(now, candidate.target).requests) < slots * full_at
        };
        let compared = rotated.filter(has_free_slot).take(limit);
        let costs = compared.map(|candidate| (self.cost(now, candidate), candidate.target));
        costs.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, target)| target)
    }

    /// Returns the expected delay of one more request at a target, in ms.
    fn cost(&self, now: Millis, candidate: &Candidate) -> f64 {
        let load = self.load(now, candidate.target);
        let failures = self.own.get(&candidate.target).map_or(0.0, |own| own.failures(now));
        let remote_ms = if candidate.is_local { 0.0 } else { REMOTE_COST_MS };
        remote_ms
            + failures * FAILURE_COST_MS
            + f64::from(load.requests) * candidate.open_ms
            + f64::from(load.tokens) * candidate.token_ms
    }

    /// Records that a request with a prompt of `tokens` tokens is sent to a target.
    pub fn started(&mut self, now: Millis, target: Target, tokens: u32) {
        let own = self.own.entry(target).or_default();
        if own.open == 0 {
            own.last_progress = now;
        }
        own.open += 1;
        own.tokens = own.tokens.saturating_add(tokens);
    }

    /// Records that data was received from a target.
    pub fn progress(&mut self, now: Millis, target: Target) {
        if let Some(own) = self.own.get_mut(&target) {
            own.last_progress = now;
            own.last_received_at = now;
        }
    }

    /// Records that a stream at a target has begun.
    pub fn began(&mut self, target: Target, tokens: u32) {
        if let Some(own) = self.own.get_mut(&target) {
            own.active_streams += 1;
            own.tokens = own.tokens.saturating_sub(tokens);
        }
    }

    /// Returns whether a stream of this gateway has begun at a target, in which case events must
    /// keep arriving.
    pub fn has_active_stream(&self, target: Target) -> bool {
        self.own.get(&target).is_some_and(|own| own.active_streams > 0)
    }

    /// Returns the time at which data was last received from a target, or at which the earliest of
    /// its outstanding requests was sent; `None` without outstanding requests.
    pub fn last_progress(&self, target: Target) -> Option<Millis> {
        self.own.get(&target).filter(|own| own.open > 0).map(|own| own.last_progress)
    }

    /// Records that another gateway, or a gateway of another failure domain, has just received data
    /// from a target.
    pub fn record_peer_receipt(&mut self, now: Millis, source: Source, target: Target) {
        self.received_by_peers.insert(target, now);
        if source.is_local() {
            self.received_by_local_peers.insert(target, now);
        }
    }

    /// Returns the time at which a replica group counts as stalled, if no data arrives until then
    /// and requests of this gateway have been waiting there since `since`. `pass_ms` is the group's
    /// longest pass.
    ///
    /// If a stream of this gateway has begun, an event must arrive with every pass. If all of its
    /// requests wait for their first event, a pass may consist of prompts only, so data received by
    /// other gateways counts as well. Rejected: judging by this gateway's own requests alone (half
    /// of all suspicions were false).
    pub fn stalled_at(&self, target: Target, since: Millis, pass_ms: u64) -> Millis {
        let own = self.last_progress(target).unwrap_or(0).max(since);
        if self.has_active_stream(target) {
            return own + pass_ms + STREAM_SLACK_MS;
        }
        let elsewhere = self.received_by_peers.get(&target).copied().unwrap_or(0);
        own.max(elsewhere) + pass_ms * FIRST_PASSES + FIRST_SLACK_MS
    }

    /// Returns the targets from which this gateway has received data since a given time.
    pub fn received_since(&self, since: Millis) -> impl Iterator<Item = Target> {
        let recent = self.own.iter().filter(move |(_, own)| own.last_received_at >= since);
        recent.map(|(target, _)| *target)
    }

    /// Returns whether this gateway has received data from a target since a given time.
    pub fn has_received_since(&self, target: Target, since: Millis) -> bool {
        self.own.get(&target).is_some_and(|own| own.last_received_at >= since)
    }

    /// Returns the targets from which other gateways of this failure domain have received data
    /// since a given time. See also [`Balance::received_since`].
    pub fn received_by_local_peers_since(&self, since: Millis) -> impl Iterator<Item = Target> {
        let recent = self.received_by_local_peers.iter().filter(move |(_, at)| **at >= since);
        recent.map(|(target, _)| *target)
    }

    /// Records that a request at a target has ended. `began` is whether its stream had begun,
    /// `failed` whether the target caused a failure.
    pub fn ended(&mut self, now: Millis, target: Target, tokens: u32, began: bool, failed: bool) {
        let Some(own) = self.own.get_mut(&target) else { return };
        own.open = own.open.saturating_sub(1);
        match began {
            true => own.active_streams = own.active_streams.saturating_sub(1),
            false => own.tokens = own.tokens.saturating_sub(tokens),
        }
        if failed {
            own.failures = own.failures(now) + 1.0;
            own.failures_at = now;
        }
    }

    /// Drops targets for which `keep` returns false and which have no outstanding requests.
    pub fn retain(&mut self, keep: impl Fn(Target) -> bool) {
        self.own.retain(|target, own| own.open > 0 || keep(*target));
        self.received_by_peers.retain(|target, _| keep(*target));
        self.received_by_local_peers.retain(|target, _| keep(*target));
    }
}
