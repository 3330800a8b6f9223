//! Placement of groups in domains.
//!
//! The largest groups are placed first, because small ones fit into the remaining capacity. The
//! groups that spread a model over failure domains are placed before all others, each in a failure
//! domain without a group of the model.

use std::collections::{BTreeMap, BTreeSet};

use super::{DomainCapacity, Quotas, Spread};
use crate::configuration::Model;

/// Domains and models by index, because packing visits each domain for each group.
pub(super) struct Pool<'a> {
    models: &'a [Model],
    capacities: &'a BTreeMap<String, DomainCapacity>,
    hosts: Vec<usize>,
    spares: Vec<usize>,
    /// Index of the failure domain of each domain.
    failure_domains: Vec<usize>,
    /// Number of groups of each model that are placed in separate failure domains; 0 for all models
    /// if no loss of a failure domain has to be tolerated.
    separate: Vec<usize>,
    /// Existing groups by domain and model, and free hosts that hold the model.
    groups: Vec<Vec<usize>>,
    hot: Vec<Vec<usize>>,
    /// Indexes of the models, the largest first.
    largest_first: Vec<usize>,
}

/// Number of groups by domain and model, both by index.
type Packed = Vec<Vec<usize>>;

impl<'a> Pool<'a> {
    /// Creates a pool from the capacities of the domains.
    pub(super) fn new(
        models: &'a [Model],
        capacities: &'a BTreeMap<String, DomainCapacity>,
        spread: &Spread,
    ) -> Pool<'a> {
        let by_model = |counts: &BTreeMap<String, usize>| -> Vec<usize> {
            models.iter().map(|model| counts.get(&model.name).copied().unwrap_or(0)).collect()
        };
        let mut largest_first: Vec<usize> = (0..models.len()).collect();
        largest_first.sort_by_key(|model| std::cmp::Reverse(models[*model].size));
        let mut pool = Pool {
            models,
            capacities,
            hosts: capacities.values().map(|capacity| capacity.hosts).collect(),
            spares: capacities.values().map(|capacity| capacity.spares).collect(),
            failure_domains: numbered(capacities, spread),
            separate: vec![0; models.len()],
            groups: capacities.values().map(|capacity| by_model(&capacity.groups)).collect(),
            hot: capacities.values().map(|capacity| by_model(&capacity.hot)).collect(),
            largest_first,
        };
        if spread.lost > 0 {
            pool.separate = pool.max_separate(spread.lost + 1);
        }
        pool
    }

    /// Returns the number of groups of each model that are placed before all others, in separate
    /// failure domains.
    pub(super) fn spread_groups(&self) -> &[usize] {
        &self.separate
    }

    /// Returns in how many failure domains each model can have a group along with the other models,
    /// at most `wanted`. First every model gets one, then a second and so on, with models of a
    /// larger share first.
    fn max_separate(&self, wanted: usize) -> Vec<usize> {
        let mut separate = vec![0; self.models.len()];
        let mut by_share: Vec<usize> = self.largest_first.clone();
        by_share.retain(|model| self.models[*model].size > 0);
        by_share.sort_by(|a, b| self.models[*b].share.total_cmp(&self.models[*a].share));
        for count in 1..=wanted {
            by_share.retain(|model| {
                separate[*model] = count;
                let fits = self.pack_separate(&separate, &separate).is_some();
                separate[*model] -= usize::from(!fits);
                fits
            });
        }
        separate
    }

    /// Returns a number of groups that never fits, as the upper bound of the search.
    pub(super) fn most_groups(&self) -> usize {
        let smallest = self.models.iter().map(|model| model.size).filter(|size| *size > 0).min();
        self.hosts.iter().sum::<usize>() / smallest.unwrap_or(1) + 1
    }

    /// Returns quotas without groups.
    pub(super) fn empty(&self) -> Quotas {
        self.capacities.keys().map(|domain| (domain.clone(), BTreeMap::new())).collect()
    }

    /// Converts indexes to names.
    pub(super) fn named(&self, packed: &Packed) -> Quotas {
        let groups = |counts: &Vec<usize>| {
            let some = self.models.iter().zip(counts).filter(|(_, count)| **count > 0);
            some.map(|(model, count)| (model.name.clone(), *count)).collect()
        };
        let domains = self.capacities.keys().zip(packed);
        domains.map(|(domain, counts)| (domain.clone(), groups(counts))).collect()
    }

    /// Places `counts` groups of each model, the largest first. Returns `None` if they do not fit.
    pub(super) fn pack(&self, counts: &[usize]) -> Option<Packed> {
        self.pack_separate(counts, &self.separate)
    }

    /// Like [`pack`](Pool::pack), with `separate` groups of each model in separate failure domains.
    fn pack_separate(&self, counts: &[usize], separate: &[usize]) -> Option<Packed> {
        let needed: usize =
            self.models.iter().zip(counts).map(|(model, count)| model.size * count).sum();
        let given: usize =
            if separate.iter().any(|count| *count > 0) { self.spares.iter().sum() } else { 0 };
        if needed > self.hosts.iter().sum::<usize>() + given {
            return None;
        }
        let mut packing = Packing {
            pool: self,
            left: self.hosts.clone(),
            spares: self.spares.clone(),
            packed: vec![vec![0; self.models.len()]; self.hosts.len()],
            per_failure_domain: vec![vec![0; self.models.len()]; self.hosts.len()],
        };
        for model in self.largest_first.iter().copied() {
            for _ in 0..separate[model] {
                packing.place_separate(model)?;
            }
        }
        for model in self.largest_first.iter().copied() {
            for _ in separate[model]..counts[model] {
                packing.place(model)?;
            }
        }
        Some(packing.packed)
    }
}

/// Returns the index of the failure domain of each domain. A domain with an unknown failure domain
/// counts as its own failure domain.
fn numbered(capacities: &BTreeMap<String, DomainCapacity>, spread: &Spread) -> Vec<usize> {
    let name = |domain| spread.failure_domains.get(domain).unwrap_or(domain);
    let names: BTreeSet<&String> = capacities.keys().map(name).collect();
    let numbers: BTreeMap<&String, usize> =
        names.into_iter().enumerate().map(|(number, name)| (name, number)).collect();
    capacities.keys().map(|domain| numbers[name(domain)]).collect()
}

/// Groups placed so far.
struct Packing<'a> {
    pool: &'a Pool<'a>,
    /// Remaining hosts of each domain, without spares.
    left: Vec<usize>,
    /// Remaining spares of each domain.
    spares: Vec<usize>,
    packed: Packed,
    /// Number of groups by failure domain and model.
    per_failure_domain: Packed,
}

impl Packing<'_> {
    /// Places a group of a model in a failure domain without a group of the model, if enough hosts
    /// remain. The criteria for the domain are, in this order: a group of the model exists, no
    /// spare is released, most hosts hold the model, most hosts remain.
    fn place_separate(&mut self, model: usize) -> Option<()> {
        let size = self.pool.models[model].size;
        let fitting = (0..self.left.len()).filter(|domain| {
            self.in_failure_domain(*domain)[model] == 0
                && self.left[*domain] + self.spares[*domain] >= size
        });
        let most = std::cmp::Reverse;
        let domain = fitting.min_by_key(|domain| {
            let exists = self.pool.groups[*domain][model] > 0;
            let takes_spares = self.left[*domain] < size;
            let hot = self.pool.hot[*domain][model].min(size);
            (!exists, takes_spares, most(hot), most(self.left[*domain]))
        })?;
        let spares = size.saturating_sub(self.left[domain]);
        self.spares[domain] -= spares;
        self.left[domain] -= size - spares;
        self.count(domain, model);
        Some(())
    }

    /// Places a group of a model, if enough hosts remain. The criteria for the domain are, in this
    /// order: a group of the model exists, most hosts hold the model, the number of its groups is
    /// smallest (in the whole failure domain for a model that is spread, then in the domain), most
    /// hosts remain.
    fn place(&mut self, model: usize) -> Option<()> {
        let size = self.pool.models[model].size;
        let spreads = self.pool.separate[model] > 0;
        let fitting = (0..self.left.len()).filter(|domain| self.left[*domain] >= size);
        let most = std::cmp::Reverse;
        let domain = fitting.min_by_key(|domain| {
            let placed = self.packed[*domain][model];
            let groups = self.pool.groups[*domain][model];
            let new = placed.saturating_sub(groups) * size;
            let hot = self.pool.hot[*domain][model].saturating_sub(new);
            let exists = placed < groups;
            let in_failure_domain =
                if spreads { self.in_failure_domain(*domain)[model] } else { 0 };
            (!exists, most(hot.min(size)), in_failure_domain, placed, most(self.left[*domain]))
        })?;
        self.left[domain] -= size;
        self.count(domain, model);
        Some(())
    }

    /// Returns the groups in the failure domain of a domain, by model.
    fn in_failure_domain(&self, domain: usize) -> &[usize] {
        &self.per_failure_domain[self.pool.failure_domains[domain]]
    }

    fn count(&mut self, domain: usize, model: usize) {
        self.packed[domain][model] += 1;
        self.per_failure_domain[self.pool.failure_domains[domain]][model] += 1;
    }
}
