//! Budget of loads from the weight store, which all services of a leader share.

use super::Planner;
use crate::Millis;
use crate::configuration::Engine;

/// Maximum number of loads that may begin at once.
const LOAD_BURST: f64 = 2.0;
/// Fraction of the weight store's rate that is used. The rest is left for orders that are carried
/// out late.
const LOAD_RATE_FRACTION: f64 = 0.75;
/// Number of loads that are ordered before traffic in addition to those that run at full speed, so
/// that no host idles until it receives its order.
const EXTRA_LOADS_BEFORE_TRAFFIC: u32 = 5;

/// Token bucket of loads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBudget {
    tokens: f64,
    refilled_at: Millis,
}

impl LoadBudget {
    /// Creates an empty budget.
    pub fn new(now: Millis) -> LoadBudget {
        LoadBudget { tokens: 0.0, refilled_at: now }
    }

    /// Adds the loads that may begin at a rate of `loads_per_s` since the last refill.
    pub fn refill(&mut self, now: Millis, loads_per_s: f64) {
        let passed = now.saturating_sub(self.refilled_at) as f64 / 1_000.0;
        self.refilled_at = now;
        let rate = loads_per_s * LOAD_RATE_FRACTION;
        self.tokens = (self.tokens + passed * rate).min(LOAD_BURST);
    }

    /// Sets the budget before traffic, when loads are short and do not count against the rate. Only
    /// the number of concurrent loads matters.
    fn allow_concurrent(&mut self, now: Millis, engine: &Engine, loading: usize) {
        self.refilled_at = now;
        let most = engine.loads_at_once + EXTRA_LOADS_BEFORE_TRAFFIC;
        self.tokens = f64::from(most) - loading as f64;
    }

    /// Whether a load may begin.
    pub(super) fn allows_load(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Records that a load begins.
    pub(super) fn begin_load(&mut self) {
        self.tokens -= 1.0;
    }
}

impl Planner {
    /// Returns the budget of loads.
    pub fn load_budget(&self) -> LoadBudget {
        self.load_budget
    }

    /// Replaces the budget of loads by one that is shared with other services, whose hosts run
    /// `loading` loads.
    pub fn share_load_budget(&mut self, budget: LoadBudget, loading: usize) {
        self.load_budget = budget;
        self.loading_elsewhere = loading;
    }

    /// Returns the number of hosts of this service that load a model.
    pub fn own_loading(&self) -> usize {
        self.hosts.values().filter(|host| host.is_available() && host.is_loading()).count()
    }

    /// Returns the number of hosts that load a model, of all services.
    pub(super) fn loading(&self) -> usize {
        self.own_loading() + self.loading_elsewhere
    }

    /// Returns the number of loads that may begin each second.
    pub fn loads_per_s(&self) -> f64 {
        self.engine.loads_per_s
    }

    pub(super) fn refill_loads(&mut self, now: Millis) {
        match self.traffic {
            true => self.load_budget.refill(now, self.engine.loads_per_s),
            false => {
                let loading = self.loading();
                self.load_budget.allow_concurrent(now, &self.engine, loading);
            }
        }
    }
}
