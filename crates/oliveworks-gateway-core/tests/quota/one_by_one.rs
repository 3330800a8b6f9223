//! A slow implementation of the quotas, which packs one group after the other. The implementation of
//! the crate must give the same quotas.

use std::collections::BTreeMap;

use oliveworks_gateway_core::configuration::Model;
use oliveworks_gateway_core::quota::{DomainCapacity, Quotas, hosts_per_share};

/// Returns the groups that each domain should hold, tried one by one.
pub fn one_by_one(models: &[Model], capacities: &BTreeMap<String, DomainCapacity>) -> Quotas {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut best = capacities.keys().map(|domain| (domain.clone(), BTreeMap::new())).collect();
    let mut candidates: Vec<&Model> = models.iter().filter(|model| model.size > 0).collect();
    while let Some(index) = least_served(&candidates, &counts) {
        let model = candidates[index];
        *counts.entry(&model.name).or_default() += 1;
        match pack(models, capacities, &counts) {
            Some(packed) => best = packed,
            None => {
                *counts.entry(&model.name).or_default() -= 1;
                candidates.remove(index);
            }
        }
    }
    best
}

fn least_served(candidates: &[&Model], counts: &BTreeMap<&str, usize>) -> Option<usize> {
    let relative_hosts = |model: &Model| {
        let groups = counts.get(model.name.as_str()).copied().unwrap_or(0);
        hosts_per_share(groups * model.size, model)
    };
    // If only one of two models fits, the model with the larger share of the work is served.
    let tie_breaker = |model: &Model| if relative_hosts(model) > 0.0 { 0.0 } else { -model.share };
    let indices = 0..candidates.len();
    indices.min_by(|a, b| {
        let (a, b) = (candidates[*a], candidates[*b]);
        relative_hosts(a)
            .total_cmp(&relative_hosts(b))
            .then(tie_breaker(a).total_cmp(&tie_breaker(b)))
    })
}

/// Packs `counts` groups of each model, the largest model first. Returns `None` if they do not fit.
fn pack(
    models: &[Model],
    capacities: &BTreeMap<String, DomainCapacity>,
    counts: &BTreeMap<&str, usize>,
) -> Option<Quotas> {
    let mut packed: Quotas =
        capacities.keys().map(|domain| (domain.clone(), BTreeMap::new())).collect();
    let mut free_hosts: BTreeMap<&str, usize> =
        capacities.iter().map(|(domain, capacity)| (domain.as_str(), capacity.hosts)).collect();
    let mut largest_first: Vec<&Model> = models.iter().collect();
    largest_first.sort_by_key(|model| std::cmp::Reverse(model.size));
    for model in largest_first {
        let count =
            |groups: &BTreeMap<String, usize>| groups.get(&model.name).copied().unwrap_or(0);
        for _ in 0..counts.get(model.name.as_str()).copied().unwrap_or(0) {
            let fitting = free_hosts.iter().filter(|(_, hosts)| **hosts >= model.size);
            let (domain, _) = fitting.min_by_key(|(domain, hosts)| {
                let placed = packed.get(**domain).map_or(0, count);
                let capacity = capacities.get(**domain);
                let groups = capacity.map_or(0, |capacity| count(&capacity.groups));
                let new_hosts = placed.saturating_sub(groups) * model.size;
                let hot =
                    capacity.map_or(0, |capacity| count(&capacity.hot)).saturating_sub(new_hosts);
                let is_kept = placed < groups;
                let descending = std::cmp::Reverse;
                (!is_kept, descending(hot.min(model.size)), placed, descending(**hosts))
            })?;
            let domain = *domain;
            *free_hosts.get_mut(domain)? -= model.size;
            *packed.get_mut(domain)?.entry(model.name.clone()).or_default() += 1;
        }
    }
    Some(packed)
}
