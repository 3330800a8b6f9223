//! The same quotas, one group after the other: what is found faster must be the same.

use std::collections::BTreeMap;

use oliveworks_gateway_core::configuration::Model;
use oliveworks_gateway_core::quota::{DomainCapacity, Quotas, hosts_per_share};

/// The groups that each domain should hold, tried one by one.
pub fn one_by_one(models: &[Model], rooms: &BTreeMap<String, DomainCapacity>) -> Quotas {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut best = rooms.keys().map(|domain| (domain.clone(), BTreeMap::new())).collect();
    let mut open: Vec<&Model> = models.iter().filter(|model| model.size > 0).collect();
    while let Some(index) = neediest(&open, &counts) {
        let model = open[index];
        *counts.entry(&model.name).or_default() += 1;
        match pack(models, rooms, &counts) {
            Some(packed) => best = packed,
            None => {
                *counts.entry(&model.name).or_default() -= 1;
                open.remove(index);
            }
        }
    }
    best
}

fn neediest(open: &[&Model], counts: &BTreeMap<&str, usize>) -> Option<usize> {
    let need = |model: &Model| {
        let groups = counts.get(model.name.as_str()).copied().unwrap_or(0);
        hosts_per_share(groups * model.size, model)
    };
    // Where only one of two models fits, the one with the larger part of the work is served.
    let first = |model: &Model| if need(model) > 0.0 { 0.0 } else { -model.share };
    let indices = 0..open.len();
    indices.min_by(|a, b| {
        let (a, b) = (open[*a], open[*b]);
        need(a).total_cmp(&need(b)).then(first(a).total_cmp(&first(b)))
    })
}

/// Places so many groups of each model, the largest first; nothing if they do not fit.
fn pack(
    models: &[Model],
    rooms: &BTreeMap<String, DomainCapacity>,
    counts: &BTreeMap<&str, usize>,
) -> Option<Quotas> {
    let mut packed: Quotas = rooms.keys().map(|domain| (domain.clone(), BTreeMap::new())).collect();
    let mut left: BTreeMap<&str, usize> =
        rooms.iter().map(|(domain, room)| (domain.as_str(), room.hosts)).collect();
    let mut largest_first: Vec<&Model> = models.iter().collect();
    largest_first.sort_by_key(|model| std::cmp::Reverse(model.size));
    for model in largest_first {
        let count =
            |groups: &BTreeMap<String, usize>| groups.get(&model.name).copied().unwrap_or(0);
        for _ in 0..counts.get(model.name.as_str()).copied().unwrap_or(0) {
            let fitting = left.iter().filter(|(_, hosts)| **hosts >= model.size);
            let (domain, _) = fitting.min_by_key(|(domain, hosts)| {
                let placed = packed.get(**domain).map_or(0, count);
                let room = rooms.get(**domain);
                let groups = room.map_or(0, |room| count(&room.groups));
                let new = placed.saturating_sub(groups) * model.size;
                let hot = room.map_or(0, |room| count(&room.hot)).saturating_sub(new);
                let exists = placed < groups;
                let most = std::cmp::Reverse;
                (!exists, most(hot.min(model.size)), placed, most(**hosts))
            })?;
            let domain = *domain;
            *left.get_mut(domain)? -= model.size;
            *packed.get_mut(domain)?.entry(model.name.clone()).or_default() += 1;
        }
    }
    Some(packed)
}
