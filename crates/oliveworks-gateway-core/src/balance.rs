//! Where a request goes: to the backend server or replica group that is least busy.
//!
//! Each gateway counts what it has sent itself at once, and hears from the others every fraction
//! of a second what they have sent. Rejected: asking backend servers for their load, which is
//! priced and lags more than the gateways' own counts.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;
use crate::fan_out::Source;
use crate::locality::Sides;

/// A backend server, or a replica group by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target(pub u64);

impl Target {
    /// The target of a backend server's id: 40 bits, which heartbeats carry in six bytes in place of
    /// ten. Among 4,100 backend servers two are alike once in 130,000 deployments, and then only
    /// seem busier than they are.
    pub fn of(id: &str) -> Target {
        Target(xxh3_64(id.as_bytes()) >> 24)
    }
}

/// A target that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: Target,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is in this gateway's failure domain.
    pub near: bool,
    /// What each request that is open there costs the next one, in ms.
    pub open_ms: f64,
    /// What each token of a prompt that is not read yet costs the next request, in ms.
    pub token_ms: f64,
}

impl Candidate {
    /// How it is compared with others if it takes so many requests a second: its load counts as if it had as many slots
    /// as that, which is about as long as answers take. What it may have open stays: its rate alone is bound.
    pub fn taking(self, requests_per_s: f64) -> Candidate {
        let slots = f64::from(self.slots.max(1));
        let taken = requests_per_s.clamp(1.0, slots);
        Candidate { open_ms: self.open_ms * slots / taken, ..self }
    }
}

/// What is open at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Tokens of prompts that have not begun to be answered.
    pub tokens: u32,
}

impl Load {
    fn add(&mut self, other: Load) {
        self.requests += other.requests;
        self.tokens += other.tokens;
    }
}

/// The most that other gateways' counts are believed for.
const PEER_COUNT_MS: u64 = 1_500;
/// Targets that are compared for a request, from a random one on. What others have sent in the last
/// moments is not known yet. Rejected: comparing all of them (every gateway sends to the same one
/// until it hears of the others) and four (half as bad).
const COMPARED: usize = 2;
/// So few targets are all compared: few requests go to each of them in such a moment.
const FEW: usize = 4;
/// What being in another failure domain costs, in ms: the way there and back.
const FAR_MS: f64 = 3.0;
/// What a recent failure costs, in ms; fades with time.
const FAILURE_MS: f64 = 120.0;
/// The time in which the weight of failures halves.
const FAILURE_HALF_MS: f64 = 1_500.0;

/// What a replica group may be silent beyond its longest pass, while a stream of ours runs there.
const WRITING_SLACK_MS: u64 = 50;
/// Passes until a first event, one that reads and one that writes, and what may come on top.
const FIRST_PASSES: u64 = 2;
const FIRST_SLACK_MS: u64 = 100;

/// How many targets are compared for a request.
fn compared(candidates: &[Candidate]) -> usize {
    if candidates.len() <= FEW { FEW } else { COMPARED }
}

#[derive(Clone, Debug, Default)]
struct Own {
    open: u32,
    /// Tokens of prompts of requests that have not begun.
    tokens: u32,
    /// Streams among them that have begun.
    writing: u32,
    last_progress: Millis,
    /// When something last came, whether requests were open before or not.
    heard_at: Millis,
    failures: f64,
    failures_at: Millis,
}

impl Own {
    fn failures(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.failures_at) as f64;
        self.failures * 0.5f64.powf(age / FAILURE_HALF_MS)
    }
}

/// What others have open, and when they told so.
#[derive(Clone, Debug, Default)]
struct Told {
    at: Millis,
    open: HashMap<Target, Load>,
}

impl Told {
    fn is_believed(&self, now: Millis) -> bool {
        now < self.at + PEER_COUNT_MS
    }
}

/// What is known of how busy targets are.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    own: HashMap<Target, Own>,
    /// What others told: of other failure domains, with each heartbeat, what they have open at targets of
    /// this one.
    peers: HashMap<Source, Told>,
    /// What other failure domains told now and then of what they have open elsewhere.
    peers_elsewhere: HashMap<Source, Told>,
    /// When other gateways last heard from targets, as far as they told.
    heard_elsewhere: HashMap<Target, Millis>,
    /// The same of the gateways of this failure domain alone.
    heard_near: HashMap<Target, Millis>,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTarget {
    /// There is none.
    None,
    /// All are full.
    Full,
    /// All are in drained failure domains.
    Drained,
    /// All are cold, and this gateway has taken its part of them.
    Cold,
    /// All that are not cold asked to be left alone.
    Backoff,
    /// All name a rate limit, and no permit is left.
    Limited,
}

impl Balance {
    /// What another gateway, or those of another failure domain, have open, by target.
    pub fn peer(&mut self, now: Millis, source: Source, open: HashMap<Target, Load>) {
        self.peers.insert(source, Told { at: now, open });
    }

    /// What another failure domain has open outside of this one, by target: told less often than what
    /// it has open here.
    pub fn peer_elsewhere(&mut self, now: Millis, source: Source, open: HashMap<Target, Load>) {
        self.peers_elsewhere.insert(source, Told { at: now, open });
    }

    /// Whether another gateway or failure domain told that it has something open at a target.
    pub fn is_open_at(&self, now: Millis, source: Source, target: Target) -> bool {
        let told = [self.peers.get(&source), self.peers_elsewhere.get(&source)];
        let mut believed = told.into_iter().flatten().filter(|told| told.is_believed(now));
        believed.any(|told| told.open.contains_key(&target))
    }

    fn believed(&self, now: Millis) -> impl Iterator<Item = (Source, &HashMap<Target, Load>)> {
        let all = self.peers.iter().chain(&self.peers_elsewhere);
        let believed = all.filter(move |(_, told)| told.is_believed(now));
        believed.map(|(source, told)| (*source, &told.open))
    }

    /// What the gateways of this failure domain have open, by target.
    pub fn domain_open(&self, now: Millis) -> HashMap<Target, Load> {
        let mut sum: HashMap<Target, Load> = self.own_open().collect();
        for (_, open) in self.believed(now).filter(|(source, _)| source.is_near()) {
            for (target, load) in open {
                sum.entry(*target).or_default().add(*load);
            }
        }
        sum
    }

    /// What this gateway has open, by target.
    pub fn own_open(&self) -> impl Iterator<Item = (Target, Load)> {
        let busy = self.own.iter().filter(|(_, own)| own.open > 0);
        busy.map(|(target, own)| (*target, Load { requests: own.open, tokens: own.tokens }))
    }

    /// Tokens of this gateway's prompts at a target that are not read yet.
    pub fn own_unread(&self, target: Target) -> u32 {
        self.own.get(&target).map_or(0, |own| own.tokens)
    }

    /// What all gateways have open at a target.
    pub fn load(&self, now: Millis, target: Target) -> Load {
        let own = self.own.get(&target);
        let mut load =
            own.map(|own| Load { requests: own.open, tokens: own.tokens }).unwrap_or_default();
        for (_, open) in self.believed(now) {
            load.add(open.get(&target).copied().unwrap_or_default());
        }
        load
    }

    /// Chooses among targets; `full_at` is the load, in slots, at which a target takes no more.
    ///
    /// # Errors
    /// If there is none, or all are full.
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
        let most = compared(candidates);
        self.least_busy(now, &open, most, full_at, draw).ok_or(NoTarget::Full)
    }

    /// The same, but among the near targets alone as long as one of them takes one more.
    ///
    /// # Errors
    /// If there is none, or all are full.
    pub fn choose_near(
        &self,
        now: Millis,
        candidates: &[Candidate],
        tried: &[Target],
        full_at: f64,
        draw: u64,
    ) -> Result<Target, NoTarget> {
        let untried = candidates.iter().filter(|candidate| !tried.contains(&candidate.target));
        let near: Vec<&Candidate> = untried.filter(|candidate| candidate.near).collect();
        let found = self.least_busy(now, &near, compared(candidates), full_at, draw);
        found.map_or_else(|| self.choose(now, candidates, tried, full_at, draw), Ok)
    }

    /// How busy targets are, near and elsewhere.
    pub fn sides(&self, now: Millis, candidates: &[Candidate]) -> Sides {
        let mut sides = Sides::default();
        for candidate in candidates {
            let load = self.load(now, candidate.target);
            let reading_ms = f64::from(load.tokens) * candidate.token_ms;
            let side = if candidate.near { &mut sides.near } else { &mut sides.far };
            side.add(f64::from(load.requests), f64::from(candidate.slots), reading_ms);
        }
        sides
    }

    /// The least busy of up to `most` targets that take one more.
    fn least_busy(
        &self,
        now: Millis,
        candidates: &[&Candidate],
        most: usize,
        full_at: f64,
        draw: u64,
    ) -> Option<Target> {
        let count = candidates.len().max(1);
        // Starting anywhere spreads gateways that know the same over equal targets.
        let first = (draw % count as u64) as usize;
        let turns = candidates.iter().cycle().skip(first).take(candidates.len());
        let takes_one = |candidate: &&&Candidate| {
            let slots = f64::from(candidate.slots.max(1));
            f64::from(self.load(now, candidate.target).requests) < slots * full_at
        };
        let compared = turns.filter(takes_one).take(most);
        let costs = compared.map(|candidate| (self.cost(now, candidate), candidate.target));
        costs.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, target)| target)
    }

    /// What one more request would wait at a target, in ms.
    fn cost(&self, now: Millis, candidate: &Candidate) -> f64 {
        let load = self.load(now, candidate.target);
        let failures = self.own.get(&candidate.target).map_or(0.0, |own| own.failures(now));
        let far = if candidate.near { 0.0 } else { FAR_MS };
        far + failures * FAILURE_MS
            + f64::from(load.requests) * candidate.open_ms
            + f64::from(load.tokens) * candidate.token_ms
    }

    /// A request with a prompt of `tokens` goes to a target.
    pub fn started(&mut self, now: Millis, target: Target, tokens: u32) {
        let own = self.own.entry(target).or_default();
        if own.open == 0 {
            own.last_progress = now;
        }
        own.open += 1;
        own.tokens += tokens;
    }

    /// Something came from a target.
    pub fn progress(&mut self, now: Millis, target: Target) {
        if let Some(own) = self.own.get_mut(&target) {
            own.last_progress = now;
            own.heard_at = now;
        }
    }

    /// A stream at a target has begun.
    pub fn began(&mut self, target: Target, tokens: u32) {
        if let Some(own) = self.own.get_mut(&target) {
            own.writing += 1;
            own.tokens = own.tokens.saturating_sub(tokens);
        }
    }

    /// Whether a stream of this gateway's has begun at a target, so that events must keep coming.
    pub fn is_writing(&self, target: Target) -> bool {
        self.own.get(&target).is_some_and(|own| own.writing > 0)
    }

    /// When something last came from a target, or its first request of now went there.
    pub fn last_progress(&self, target: Target) -> Option<Millis> {
        self.own.get(&target).filter(|own| own.open > 0).map(|own| own.last_progress)
    }

    /// Another gateway, or one of another failure domain, has just heard from a target.
    pub fn heard_elsewhere(&mut self, now: Millis, source: Source, target: Target) {
        self.heard_elsewhere.insert(target, now);
        if source.is_near() {
            self.heard_near.insert(target, now);
        }
    }

    /// When a replica group counts as standing still, if nothing comes from it and requests of this
    /// gateway wait there since `since`; `pass_ms` is its longest pass.
    ///
    /// Where a stream of ours has begun, an event must come with every pass. Where all of ours wait
    /// for their first event, a pass may read prompts only, and whether others hear from it tells
    /// more. Rejected: to judge by our own requests alone (half of all suspicions were false).
    pub fn silent_at(&self, target: Target, since: Millis, pass_ms: u64) -> Millis {
        let own = self.last_progress(target).unwrap_or(0).max(since);
        if self.is_writing(target) {
            return own + pass_ms + WRITING_SLACK_MS;
        }
        let elsewhere = self.heard_elsewhere.get(&target).copied().unwrap_or(0);
        own.max(elsewhere) + pass_ms * FIRST_PASSES + FIRST_SLACK_MS
    }

    /// Targets from which something has come since a time.
    pub fn heard_since(&self, since: Millis) -> impl Iterator<Item = Target> {
        let heard = self.own.iter().filter(move |(_, own)| own.heard_at >= since);
        heard.map(|(target, _)| *target)
    }

    /// Whether something has come from a target since a time.
    pub fn is_heard_since(&self, target: Target, since: Millis) -> bool {
        self.own.get(&target).is_some_and(|own| own.heard_at >= since)
    }

    /// The same as [`Balance::heard_since`], of other gateways of this failure domain.
    pub fn heard_near_since(&self, since: Millis) -> impl Iterator<Item = Target> {
        let heard = self.heard_near.iter().filter(move |(_, at)| **at >= since);
        heard.map(|(target, _)| *target)
    }

    /// A request at a target has ended; `began` if its stream had begun, `failed` if the target is
    /// to blame.
    pub fn ended(&mut self, now: Millis, target: Target, tokens: u32, began: bool, failed: bool) {
        let Some(own) = self.own.get_mut(&target) else { return };
        own.open = own.open.saturating_sub(1);
        match began {
            true => own.writing = own.writing.saturating_sub(1),
            false => own.tokens = own.tokens.saturating_sub(tokens),
        }
        if failed {
            own.failures = own.failures(now) + 1.0;
            own.failures_at = now;
        }
    }

    /// Forgets targets that are gone and hold nothing open.
    pub fn retain(&mut self, keep: impl Fn(Target) -> bool) {
        self.own.retain(|target, own| own.open > 0 || keep(*target));
        self.heard_elsewhere.retain(|target, _| keep(*target));
        self.heard_near.retain(|target, _| keep(*target));
    }
}
