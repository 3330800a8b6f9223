//! How many replica groups of each model every failure domain should hold.
//!
//! Counts come first, places second. The model with the fewest hosts for its weight gets the next
//! group, as long as all groups still fit into the domains, the largest placed first. Rejected:
//! forming whatever fits next, group by group, since small groups spread over all domains leave no
//! domain with room for a large one.

use std::collections::BTreeMap;

use crate::configuration::Model;

/// What a domain can hold, and holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Hosts that may serve: those that live, less the spares.
    pub hosts: usize,
    /// Hosts that are kept as spares beside them.
    pub spares: usize,
    /// Groups that serve or are being formed, by model.
    pub groups: BTreeMap<String, usize>,
    /// Free hosts that hold a model, by model: what is left of a group is completed where it is.
    pub hot: BTreeMap<String, usize>,
}

/// Groups by domain and model.
pub type Quotas = BTreeMap<String, BTreeMap<String, usize>>;

/// The least share that a model is taken to have.
const SHARE_MIN: f64 = 0.001;

/// Hosts of a model, measured by its weight: the least needs hosts the most.
///
/// The weight is the model's share. Rejected: the share times the root of the model's size, since of
/// larger groups there are fewer. Once all groups are packed it leaves the smaller models too few.
pub fn per_weight(hosts: usize, model: &Model) -> f64 {
    hosts as f64 / model.share.max(SHARE_MIN)
}

/// The groups that each domain should hold, where spares give way to a model that would have none.
///
/// A domain may be no larger than one group: spares that no group is left for serve nobody.
pub fn serving_all(models: &[Model], rooms: &BTreeMap<String, Room>) -> Quotas {
    let mut rooms = rooms.clone();
    loop {
        let found = quotas(models, &rooms);
        let Some(domain) = gives_way(models, &rooms, &found) else { return found };
        let Some(room) = rooms.get_mut(&domain) else { return found };
        room.hosts += 1;
        room.spares -= 1;
    }
}

/// The domain that should keep a spare less, since a model has no group and its hosts would do.
fn gives_way(models: &[Model], rooms: &BTreeMap<String, Room>, found: &Quotas) -> Option<String> {
    let has_group = |model: &Model| found.values().any(|groups| groups.contains_key(&model.name));
    let unserved = models.iter().filter(|model| model.size > 0 && !has_group(model));
    let fits = unserved.flat_map(|model| {
        let all = rooms.iter().filter(|(_, room)| room.spares > 0);
        all.filter(|(_, room)| room.hosts + room.spares >= model.size)
    });
    let largest = fits.max_by_key(|(_, room)| room.hosts + room.spares)?;
    Some(largest.0.clone())
}

/// The groups that each domain should hold.
///
/// Groups that exist are kept where that is possible; a domain that lost a large group may have to
/// give up small ones for it.
pub fn quotas(models: &[Model], rooms: &BTreeMap<String, Room>) -> Quotas {
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
        per_weight(groups * model.size, model)
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
    rooms: &BTreeMap<String, Room>,
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
