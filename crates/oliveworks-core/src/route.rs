//! Routing: selects the replica group for a request.
//!
//! The cost of a group is the estimated time to first token: the queued work in the group plus the
//! prefill of the prompt part that the group's cache does not hold. Load reports are delayed, so
//! the router compares only two groups drawn at random and the group that is believed to hold the
//! longest prefix. Requests that this entry sent since the last report are added to the reported
//! load.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{Epoch, Millis};
use crate::retry::Breaker;

/// Routing policy. The baselines of the measurements are policies too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Lowest cost of two random groups and the group with the longest cached prefix.
    #[default]
    Cost,
    /// Baseline: round robin.
    RoundRobin,
    /// Baseline: the group with the lowest load in the last reports.
    LeastLoaded,
}

/// Load that a group reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait at the engine.
    pub waiting: u32,
    /// Number of prompt tokens still to be prefilled.
    pub prefill: u32,
    /// Maximum number of requests that run at the same time.
    pub capacity: u32,
}

/// Parameters of the cost estimate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteConfig {
    /// Routing policy.
    pub policy: Policy,
    /// Number of prompt tokens that a group prefills in a millisecond.
    pub prefill_per_ms: f64,
    /// Expected time for which a running request occupies capacity, in milliseconds.
    pub hold_ms: f64,
    /// Number of prompt tokens in one block of the prefix cache.
    pub block: usize,
    /// Maximum number of blocks recorded for each group.
    pub blocks: usize,
}

impl Default for RouteConfig {
    fn default() -> RouteConfig {
        RouteConfig {
            policy: Policy::Cost,
            prefill_per_ms: 8.0,
            hold_ms: 1_500.0,
            block: 16,
            blocks: 4_096,
        }
    }
}

/// Returns the hashes of a prompt's blocks. Each hash covers all earlier blocks too, so equal
/// hashes mean equal prefixes.
pub fn prefix_blocks<T: AsRef<[u8]>>(tokens: &[T], block: usize) -> Vec<u64> {
    let mut hash = 0;
    let mut blocks = Vec::new();
    for chunk in tokens.chunks_exact(block.max(1)) {
        for token in chunk {
            hash = xxh3_64_with_seed(token.as_ref(), hash);
        }
        blocks.push(hash);
    }
    blocks
}

/// Estimated content of a group's prefix cache. Evicts the oldest block first, as the cache does.
#[derive(Clone, Debug, Default)]
struct Prefixes {
    count: HashMap<u64, u32>,
    order: VecDeque<u64>,
}

impl Prefixes {
    fn insert(&mut self, blocks: &[u64], max_blocks: usize) {
        for block in blocks {
            *self.count.entry(*block).or_default() += 1;
            self.order.push_back(*block);
        }
        while self.order.len() > max_blocks {
            let Some(old) = self.order.pop_front() else {
                return;
            };
            self.decrement_count(old);
        }
    }

    fn decrement_count(&mut self, block: u64) {
        if let Some(n) = self.count.get_mut(&block) {
            *n -= 1;
            if *n == 0 {
                self.count.remove(&block);
            }
        }
    }

    fn evict(&mut self, blocks: &[u64]) {
        for block in blocks {
            if self.count.remove(block).is_some() {
                self.order.retain(|b| b != block);
            }
        }
    }

    fn covered(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|b| self.count.contains_key(b)).count()
    }
}

#[derive(Clone, Debug, Default)]
struct Target {
    load: Load,
    sent_since_report: u32,
    prefill_since_report: u32,
    in_flight: u32,
    prefixes: Prefixes,
    breaker: Breaker,
}

/// Groups of one template that an entry knows.
#[derive(Clone, Debug)]
pub struct Router {
    config: RouteConfig,
    targets: BTreeMap<Epoch, Target>,
    round_robin_turn: usize,
}

impl Router {
    /// Returns a router without groups.
    pub fn new(config: RouteConfig) -> Router {
        Router { config, targets: BTreeMap::new(), round_robin_turn: 0 }
    }

    /// Sets the current groups and drops the state of all others.
    pub fn set_groups(&mut self, groups: impl IntoIterator<Item = Epoch>) {
        let mut old = std::mem::take(&mut self.targets);
        for epoch in groups {
            let target = old.remove(&epoch).unwrap_or_default();
            self.targets.insert(epoch, target);
        }
    }

    /// Returns the known groups.
    pub fn groups(&self) -> impl Iterator<Item = Epoch> + '_ {
        self.targets.keys().copied()
    }

    /// Returns the number of requests of this entry that are in flight at a group.
    pub fn in_flight(&self, epoch: Epoch) -> u32 {
        self.targets.get(&epoch).map_or(0, |t| t.in_flight)
    }

    /// Returns whether any group can run one more request or let it wait for a short time.
    pub fn has_room(&self, now: Millis) -> bool {
        let available = self.targets.values().filter(|t| t.breaker.allows(now));
        available.into_iter().any(|t| {
            let capacity = t.load.capacity.max(UNKNOWN_CAPACITY);
            let outstanding = t.load.running + t.load.waiting + t.sent_since_report;
            outstanding < capacity + capacity / WAITING_DIVISOR
        })
    }

    /// Returns whether no group is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Records the load that a group reported.
    pub fn report(&mut self, epoch: Epoch, load: Load) {
        if let Some(target) = self.targets.get_mut(&epoch) {
            target.load = load;
            target.sent_since_report = 0;
            target.prefill_since_report = 0;
        }
    }

    /// Records an engine's report of stored and evicted blocks. The report may arrive late or
    /// never.
    pub fn cache_event(&mut self, epoch: Epoch, stored: &[u64], evicted: &[u64]) {
        let max_blocks = self.config.blocks;
        if let Some(target) = self.targets.get_mut(&epoch) {
            target.prefixes.evict(evicted);
            target.prefixes.insert(stored, max_blocks);
        }
    }

    /// Chooses a group that is not in `excluded`. `blocks` and `tokens` describe the prompt.
    pub fn choose(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        blocks: &[u64],
        tokens: u32,
        excluded: &[Epoch],
    ) -> Option<Epoch> {
        let allowed = |(epoch, target): &(&Epoch, &Target)| {
            target.breaker.allows(now) && !excluded.contains(epoch)
        };
        let mut candidates: Vec<Epoch> =
            self.targets.iter().filter(allowed).map(|(e, _)| *e).collect();
        if candidates.is_empty() {
            // If every breaker is open, any group is better than none.
            candidates = self.targets.keys().filter(|e| !excluded.contains(e)).copied().collect();
        }
        if candidates.len() <= 1 {
            return candidates.first().copied();
        }
        match self.config.policy {
            Policy::RoundRobin => {
                self.round_robin_turn = self.round_robin_turn.wrapping_add(1);
                Some(candidates[self.round_robin_turn % candidates.len()])
            }
            Policy::LeastLoaded => {
                let load =
                    |e: &Epoch| self.targets.get(e).map_or(0, |t| t.load.running + t.load.waiting);
                candidates.into_iter().min_by_key(load)
            }
            Policy::Cost => self.cheapest(rng, &candidates, blocks, tokens),
        }
    }

    fn cheapest(
        &self,
        rng: &mut impl Rng,
        candidates: &[Epoch],
        blocks: &[u64],
        tokens: u32,
    ) -> Option<Epoch> {
        let at = rng.random_range(0..candidates.len());
        let first = candidates[at];
        // The second draw always differs from the first, since equal draws would leave no choice.
        let second = candidates[(at + rng.random_range(1..candidates.len())) % candidates.len()];
        let covered = |e: &Epoch| self.targets.get(e).map_or(0, |t| t.prefixes.covered(blocks));
        let longest_prefix =
            candidates.iter().copied().max_by_key(|e| (covered(e), self.free_capacity(*e)));
        let choices = [Some(first), Some(second), longest_prefix];
        choices.into_iter().flatten().min_by(|a, b| {
            let (a, b) = (self.cost_ms(*a, blocks, tokens), self.cost_ms(*b, blocks, tokens));
            a.total_cmp(&b)
        })
    }

    fn free_capacity(&self, epoch: Epoch) -> u32 {
        self.targets.get(&epoch).map_or(0, |t| t.load.capacity.saturating_sub(t.load.running))
    }

    /// Returns the estimated time to first token of a request, in milliseconds.
    pub fn cost_ms(&self, epoch: Epoch, blocks: &[u64], tokens: u32) -> f64 {
        let Some(target) = self.targets.get(&epoch) else {
            return f64::INFINITY;
        };
        let covered = (target.prefixes.covered(blocks) * self.config.block) as u32;
        let prefill =
            tokens.saturating_sub(covered) + target.load.prefill + target.prefill_since_report;
        let outstanding = target.load.running + target.load.waiting + target.sent_since_report;
        let capacity = target.load.capacity.max(1);
        let queued_ahead = (outstanding + 1).saturating_sub(capacity);
        // At a full group, a running request ends every hold / capacity on average.
        let wait = f64::from(queued_ahead) * self.config.hold_ms / f64::from(capacity);
        // Prefers a less loaded group slightly, because its decoding steps are faster too.
        let load_penalty = f64::from(outstanding) / f64::from(capacity) * FULL_GROUP_PENALTY_MS;
        wait + f64::from(prefill) / self.config.prefill_per_ms + load_penalty
    }

    /// Records that a request was sent to a group.
    pub fn sent(&mut self, epoch: Epoch, blocks: &[u64], tokens: u32) {
        let (block, max_blocks) = (self.config.block, self.config.blocks);
        if let Some(target) = self.targets.get_mut(&epoch) {
            let covered = (target.prefixes.covered(blocks) * block) as u32;
            target.sent_since_report += 1;
            target.prefill_since_report += tokens.saturating_sub(covered);
            target.in_flight += 1;
            target.prefixes.insert(blocks, max_blocks);
        }
    }

    /// Records the end of a request. `fault` is set if the group caused a failure.
    pub fn ended(&mut self, now: Millis, epoch: Epoch, fault: bool) {
        if let Some(target) = self.targets.get_mut(&epoch) {
            target.in_flight = target.in_flight.saturating_sub(1);
            match fault {
                true => target.breaker.failure(now),
                false => target.breaker.success(),
            }
        }
    }
}

/// Capacity assumed for a group that has not reported its capacity.
const UNKNOWN_CAPACITY: u32 = 4;
/// Divisor of a group's capacity that gives the number of requests that may wait at its engine.
/// Capacity that becomes free is then used at once.
const WAITING_DIVISOR: u32 = 16;

/// Additional cost of a full group over an empty group with the same wait, in milliseconds.
const FULL_GROUP_PENALTY_MS: f64 = 8.0;

/// Returns the home replica of a caller's key, out of `replicas`. Every process computes the same
/// result. Rendezvous hashing moves the fewest possible keys when the number of replicas changes.
pub fn home_replica(key: u128, replicas: u16) -> u16 {
    let score = |index: &u16| xxh3_64_with_seed(&key.to_be_bytes(), u64::from(*index));
    (0..replicas).max_by_key(score).unwrap_or(0)
}

/// Returns the groups of a template that an entry uses, at most `max_groups`. The groups are spread
/// evenly over the entries, so that no entry receives reports from every group and no group reports
/// to every entry.
pub fn groups_for_entry(
    entry: u32,
    groups: impl IntoIterator<Item = Epoch>,
    max_groups: usize,
) -> Vec<Epoch> {
    let mut groups: Vec<Epoch> = groups.into_iter().collect();
    let score = |e: &Epoch| xxh3_64_with_seed(&e.0.to_be_bytes(), u64::from(entry));
    groups.sort_by_key(score);
    groups.truncate(max_groups);
    groups
}
