//! Which domains hold how many groups of each model.
//!
//! The largest groups are placed first, since small ones fit into what is left. Before them come the groups
//! that spread a model over failure domains, each in one that has none of it yet.

use std::collections::{BTreeMap, BTreeSet};

use super::{Quotas, Room, Spread};
use crate::configuration::Model;

/// Domains and models by number, since packing looks at each domain for each group.
pub(super) struct Pool<'a> {
    models: &'a [Model],
    rooms: &'a BTreeMap<String, Room>,
    hosts: Vec<usize>,
    spares: Vec<usize>,
    /// The failure domain of each domain.
    failure_domains: Vec<usize>,
    /// How many groups of each model are placed in failure domains of their own; 0 for all where none may be
    /// lost.
    apart: Vec<usize>,
    /// Groups that exist, and free hosts that hold the model, by domain and model.
    groups: Vec<Vec<usize>>,
    hot: Vec<Vec<usize>>,
    /// Models, the largest first.
    largest_first: Vec<usize>,
}

/// Groups by domain and model, by number.
type Packed = Vec<Vec<usize>>;

impl<'a> Pool<'a> {
    /// Domains with what they can hold.
    pub(super) fn new(
        models: &'a [Model],
        rooms: &'a BTreeMap<String, Room>,
        spread: &Spread,
    ) -> Pool<'a> {
        let by_model = |counts: &BTreeMap<String, usize>| -> Vec<usize> {
            models.iter().map(|model| counts.get(&model.name).copied().unwrap_or(0)).collect()
        };
        let mut largest_first: Vec<usize> = (0..models.len()).collect();
        largest_first.sort_by_key(|model| std::cmp::Reverse(models[*model].size));
        let mut pool = Pool {
            models,
            rooms,
            hosts: rooms.values().map(|room| room.hosts).collect(),
            spares: rooms.values().map(|room| room.spares).collect(),
            failure_domains: numbered(rooms, spread),
            apart: vec![0; models.len()],
            groups: rooms.values().map(|room| by_model(&room.groups)).collect(),
            hot: rooms.values().map(|room| by_model(&room.hot)).collect(),
            largest_first,
        };
        if spread.lost > 0 {
            pool.apart = pool.most_apart(spread.lost + 1);
        }
        pool
    }

    /// The groups of each model that are placed before all others, in failure domains of their own.
    pub(super) fn spread_groups(&self) -> &[usize] {
        &self.apart
    }

    /// In how many failure domains each model can have a group beside the other models, `wanted` at the most.
    /// First every model gets one, then a second, the one with the larger part of the work before others.
    fn most_apart(&self, wanted: usize) -> Vec<usize> {
        let mut apart = vec![0; self.models.len()];
        let mut by_share: Vec<usize> = self.largest_first.clone();
        by_share.retain(|model| self.models[*model].size > 0);
        by_share.sort_by(|a, b| self.models[*b].share.total_cmp(&self.models[*a].share));
        for count in 1..=wanted {
            by_share.retain(|model| {
                apart[*model] = count;
                let fits = self.pack_apart(&apart, &apart).is_some();
                apart[*model] -= usize::from(!fits);
                fits
            });
        }
        apart
    }

    /// More groups than ever fit.
    pub(super) fn most_groups(&self) -> usize {
        let smallest = self.models.iter().map(|model| model.size).filter(|size| *size > 0).min();
        self.hosts.iter().sum::<usize>() / smallest.unwrap_or(1) + 1
    }

    /// No groups at all.
    pub(super) fn empty(&self) -> Quotas {
        self.rooms.keys().map(|domain| (domain.clone(), BTreeMap::new())).collect()
    }

    /// Groups by name.
    pub(super) fn named(&self, packed: &Packed) -> Quotas {
        let groups = |counts: &Vec<usize>| {
            let some = self.models.iter().zip(counts).filter(|(_, count)| **count > 0);
            some.map(|(model, count)| (model.name.clone(), *count)).collect()
        };
        let domains = self.rooms.keys().zip(packed);
        domains.map(|(domain, counts)| (domain.clone(), groups(counts))).collect()
    }

    /// Places so many groups of each model, the largest first; nothing if they do not fit.
    pub(super) fn pack(&self, counts: &[usize]) -> Option<Packed> {
        self.pack_apart(counts, &self.apart)
    }

    /// The same, with so many groups of each model in failure domains of their own.
    fn pack_apart(&self, counts: &[usize], apart: &[usize]) -> Option<Packed> {
        let needed: usize =
            self.models.iter().zip(counts).map(|(model, count)| model.size * count).sum();
        let given: usize =
            if apart.iter().any(|count| *count > 0) { self.spares.iter().sum() } else { 0 };
        if needed > self.hosts.iter().sum::<usize>() + given {
            return None;
        }
        let mut packing = Packing {
            pool: self,
            left: self.hosts.clone(),
            spares: self.spares.clone(),
            packed: vec![vec![0; self.models.len()]; self.hosts.len()],
            together: vec![vec![0; self.models.len()]; self.hosts.len()],
        };
        for model in self.largest_first.iter().copied() {
            for _ in 0..apart[model] {
                packing.place_apart(model)?;
            }
        }
        for model in self.largest_first.iter().copied() {
            for _ in apart[model]..counts[model] {
                packing.place(model)?;
            }
        }
        Some(packing.packed)
    }
}

/// Numbers the failure domain of each domain; one that is not known is a failure domain by itself.
fn numbered(rooms: &BTreeMap<String, Room>, spread: &Spread) -> Vec<usize> {
    let name = |domain| spread.failure_domains.get(domain).unwrap_or(domain);
    let names: BTreeSet<&String> = rooms.keys().map(name).collect();
    let numbers: BTreeMap<&String, usize> =
        names.into_iter().enumerate().map(|(number, name)| (name, number)).collect();
    rooms.keys().map(|domain| numbers[name(domain)]).collect()
}

/// Groups that are placed so far.
struct Packing<'a> {
    pool: &'a Pool<'a>,
    /// Hosts of each domain that are left, without spares.
    left: Vec<usize>,
    /// Spares that have not given way.
    spares: Vec<usize>,
    packed: Packed,
    /// Groups by failure domain and model.
    together: Packed,
}

impl Packing<'_> {
    /// Places a group of a model in a failure domain without one, if there is room: where one exists, where
    /// no spare gives way, where most hosts hold the model, where most hosts are left.
    fn place_apart(&mut self, model: usize) -> Option<()> {
        let size = self.pool.models[model].size;
        let fitting = (0..self.left.len()).filter(|domain| {
            self.beside(*domain)[model] == 0 && self.left[*domain] + self.spares[*domain] >= size
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

    /// Places a group of a model, if there is room: where one exists, where most hosts hold the model, where
    /// there are fewest of it (for a model that is spread, in the whole failure domain), where most hosts are
    /// left.
    fn place(&mut self, model: usize) -> Option<()> {
        let size = self.pool.models[model].size;
        let spreads = self.pool.apart[model] > 0;
        let fitting = (0..self.left.len()).filter(|domain| self.left[*domain] >= size);
        let most = std::cmp::Reverse;
        let domain = fitting.min_by_key(|domain| {
            let placed = self.packed[*domain][model];
            let groups = self.pool.groups[*domain][model];
            let new = placed.saturating_sub(groups) * size;
            let hot = self.pool.hot[*domain][model].saturating_sub(new);
            let exists = placed < groups;
            let beside = if spreads { self.beside(*domain)[model] } else { 0 };
            (!exists, most(hot.min(size)), beside, placed, most(self.left[*domain]))
        })?;
        self.left[domain] -= size;
        self.count(domain, model);
        Some(())
    }

    /// Groups in the failure domain of a domain, by model.
    fn beside(&self, domain: usize) -> &[usize] {
        &self.together[self.pool.failure_domains[domain]]
    }

    fn count(&mut self, domain: usize, model: usize) {
        self.packed[domain][model] += 1;
        self.together[self.pool.failure_domains[domain]][model] += 1;
    }
}
