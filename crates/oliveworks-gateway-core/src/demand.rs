//! Fraction of the requests for each model that find a slot, as observed by all gateways.
//!
//! The fraction of occupied slots shows how busy a model is only up to the point at which all slots
//! are occupied: a model that refuses one request of ten and a model that refuses nine look alike.
//! The fraction of refused requests tells the two apart. Rejected: computing the demand from arrivals
//! and the length of answers, because callers only guess that length.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;
use crate::fan_out::Source;
use crate::locality::CallerShare;

/// Key of a model of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelKey(u64);

impl ModelKey {
    /// Returns the key of a service's model.
    pub fn of(service: &str, model: &str) -> ModelKey {
        ModelKey(xxh3_64(format!("{service}\n{model}").as_bytes()))
    }
}

/// Counts of recent requests that needed a slot, weighted by age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// All of these requests.
    pub all: f64,
    /// Requests that found no slot and were refused.
    pub refused: f64,
}

impl RequestCounts {
    fn add(&mut self, other: RequestCounts) {
        self.all += other.all;
        self.refused += other.refused;
    }
}

/// Half-life of the weight of a request, in ms: long enough to hold some tens of requests at a
/// hundred per second, and short compared with the 1.6 s in which a replica group is formed.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Maximum age of another gateway's figures, in ms.
const PEER_STALE_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    counts: RequestCounts,
    at: Millis,
}

impl DecayingCount {
    fn now(&self, now: Millis) -> RequestCounts {
        let left = 0.5f64.powf(now.saturating_sub(self.at) as f64 / HALF_LIFE_MS);
        RequestCounts { all: self.counts.all * left, refused: self.counts.refused * left }
    }
}

/// Demand for models as known to this gateway.
#[derive(Clone, Debug, Default)]
pub struct ModelDemand {
    own: HashMap<ModelKey, DecayingCount>,
    peers: HashMap<Source, (Millis, HashMap<ModelKey, RequestCounts>)>,
}

impl ModelDemand {
    /// Records that a request at this gateway needed a slot. `refused` is whether no slot was free.
    pub fn record_request(&mut self, now: Millis, model: ModelKey, refused: bool) {
        let decaying = self.own.entry(model).or_default();
        let mut counts = decaying.now(now);
        counts.all += 1.0;
        counts.refused += f64::from(u8::from(refused));
        *decaying = DecayingCount { counts, at: now };
    }

    /// Returns the demand that this gateway observed.
    pub fn own_counts(&self, now: Millis) -> impl Iterator<Item = (ModelKey, RequestCounts)> {
        self.own.iter().map(move |(model, decaying)| (*model, decaying.now(now)))
    }

    /// Records the demand that another gateway, or the gateways of another failure domain,
    /// observed.
    pub fn record_peer(
        &mut self,
        now: Millis,
        source: Source,
        counts: HashMap<ModelKey, RequestCounts>,
    ) {
        self.peers.insert(source, (now, counts));
    }

    /// Returns the demand that the gateways of this failure domain observed.
    pub fn failure_domain_counts(&self, now: Millis) -> HashMap<ModelKey, RequestCounts> {
        let mut sum: HashMap<ModelKey, RequestCounts> = self.own_counts(now).collect();
        let local = self.peers.iter().filter(|(source, _)| source.is_local());
        for (_, (_, counts)) in local.filter(|(_, (at, _))| now < at + PEER_STALE_MS) {
            for (model, count) in counts {
                sum.entry(*model).or_default().add(*count);
            }
        }
        sum
    }

    fn own_demand(&self, now: Millis, model: ModelKey) -> RequestCounts {
        self.own.get(&model).map(|decaying| decaying.now(now)).unwrap_or_default()
    }

    fn total_demand(&self, now: Millis, model: ModelKey) -> RequestCounts {
        let mut sum = self.own_demand(now, model);
        for (_, counts) in self.peers.values().filter(|(at, _)| now < at + PEER_STALE_MS) {
            sum.add(counts.get(&model).copied().unwrap_or_default());
        }
        sum
    }

    /// Returns the fraction of a model's recent requests that found no slot, from 0 to 1; 0 without
    /// requests.
    pub fn refused_fraction(&self, now: Millis, model: ModelKey) -> f64 {
        let sum = self.total_demand(now, model);
        if sum.all > 0.0 { sum.refused / sum.all } else { 0.0 }
    }

    /// Returns this gateway's fraction of a model's recent requests, of all and of those in its
    /// failure domain.
    pub fn caller_share(&self, now: Millis, model: ModelKey) -> CallerShare {
        let own = self.own_demand(now, model).all;
        let total = self.total_demand(now, model);
        let all = total.all;
        let domain = self.failure_domain_counts(now).get(&model).map_or(0.0, |counts| counts.all);
        // Without known requests, this gateway may be the only one that receives any.
        let part = |of: f64, whole: f64| if whole > 0.0 { of / whole } else { 1.0 };
        CallerShare {
            of_all: part(own, all),
            of_domain: part(own, domain),
            domain: Some(part(domain, all)),
            refused: if all > 0.0 { total.refused / all } else { 0.0 },
        }
    }

    /// Removes the figures of other gateways that are too old.
    pub fn retain(&mut self, now: Millis) {
        self.peers.retain(|_, (at, _)| now < *at + PEER_STALE_MS);
    }
}
