//! Computes how many replica groups of each model every domain should hold.
//!
//! Counts are decided first, locations second. The model with the fewest hosts for its share gets
//! the next group, as long as all groups still fit into the domains. Groups of the largest model
//! are placed first. Rejected: forming whatever fits next, group by group, because small groups
//! spread over all domains then leave no domain with enough hosts for a large one.
//!
//! If the loss of failure domains has to be tolerated, each model first gets groups in more failure
//! domains than may be lost.

mod packing;
mod spread;

use std::collections::BTreeMap;

use crate::configuration::Model;
use packing::Pool;
pub use spread::{Spread, SpreadGap, spread_gaps};

/// Capacity and current groups of a domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainCapacity {
    /// Hosts that may serve: the eligible hosts less the spares.
    pub hosts: usize,
    /// Hosts that are kept as spares, in addition to those that may serve.
    pub spares: usize,
    /// Groups that serve or are being formed, by model.
    pub groups: BTreeMap<String, usize>,
    /// Number of free hosts that can serve a model without a load from the weight store, by model:
    /// hosts that held the model last or have it staged in memory. A group is preferably placed
    /// where the most hosts have its model.
    pub hot: BTreeMap<String, usize>,
}

/// Number of groups by domain and model.
pub type Quotas = BTreeMap<String, BTreeMap<String, usize>>;

/// Minimum share with which a model is counted.
const SHARE_MIN: f64 = 0.001;

/// Returns the number of hosts of a model relative to its weight. The model with the smallest value
/// needs hosts the most.
///
/// The weight is the model's share. Rejected: the share times the square root of the model's size,
/// on the ground that there are fewer of larger groups. Once all groups are packed, that leaves too
/// few groups to the smaller models.
pub fn hosts_per_share(hosts: usize, model: &Model) -> f64 {
    hosts as f64 / model.share.max(SHARE_MIN)
}

/// Returns the groups that each domain should hold, where spares are released for a model that
/// would have no group otherwise.
///
/// A domain may have only as many hosts as one group needs, and spares without a group to repair
/// serve nothing.
pub fn quotas_releasing_spares(
    models: &[Model],
    capacities: &BTreeMap<String, DomainCapacity>,
) -> Quotas {
    quotas_spread_over_failure_domains(models, capacities, &Spread::default())
}

/// Like [`quotas_releasing_spares`], with each model spread over failure domains as far as its
/// groups fit. Spares are released for these groups, too.
pub fn quotas_spread_over_failure_domains(
    models: &[Model],
    capacities: &BTreeMap<String, DomainCapacity>,
    spread: &Spread,
) -> Quotas {
    let mut capacities = capacities.clone();
    loop {
        let found = fill(models, &capacities, spread);
        let Some(domain) = domain_to_release_spare(models, &capacities, &found) else {
            return found;
        };
        let Some(capacity) = capacities.get_mut(&domain) else { return found };
        capacity.hosts += 1;
        capacity.spares -= 1;
    }
}

/// Returns the domain that should keep one spare less, because a model has no group and the hosts
/// of the domain would suffice for one.
fn domain_to_release_spare(
    models: &[Model],
    capacities: &BTreeMap<String, DomainCapacity>,
    found: &Quotas,
) -> Option<String> {
    let has_group = |model: &Model| found.values().any(|groups| groups.contains_key(&model.name));
    let unserved = models.iter().filter(|model| model.size > 0 && !has_group(model));
    let fits = unserved.flat_map(|model| {
        let all = capacities.iter().filter(|(_, capacity)| capacity.spares > 0);
        all.filter(|(_, capacity)| capacity.hosts + capacity.spares >= model.size)
    });
    let largest = fits.max_by_key(|(_, capacity)| capacity.hosts + capacity.spares)?;
    Some(largest.0.clone())
}

/// Returns the groups that each domain should hold.
///
/// Existing groups are kept where possible. A domain that lost a large group may have to give up
/// small ones for it.
pub fn quotas(models: &[Model], capacities: &BTreeMap<String, DomainCapacity>) -> Quotas {
    fill(models, capacities, &Spread::default())
}

fn fill(
    models: &[Model],
    capacities: &BTreeMap<String, DomainCapacity>,
    spread: &Spread,
) -> Quotas {
    let pool = Pool::new(models, capacities, spread);
    let mut counts = pool.spread_groups().to_vec();
    let mut open: Vec<usize> = (0..models.len()).filter(|index| models[*index].size > 0).collect();
    while !open.is_empty() {
        let most = pool.most_groups();
        let turns = turns(models, &open, &counts, most);
        let fitting = longest_fitting(&pool, &counts, &turns);
        turns[..fitting].iter().for_each(|model| counts[*model] += 1);
        // The next group does not fit, and neither does any later one of the same model.
        let Some(full) = turns.get(fitting) else { break };
        open.retain(|model| model != full);
    }
    pool.pack(&counts).map_or_else(|| pool.empty(), |packed| pool.named(&packed))
}

/// Returns the order in which models get groups if no group of the `open` models fails to fit.
fn turns(models: &[Model], open: &[usize], counts: &[usize], most: usize) -> Vec<usize> {
    let mut counts = counts.to_vec();
    let mut turns = Vec::new();
    for _ in 0..=most {
        let next = most_underserved(models, open, &counts);
        counts[next] += 1;
        turns.push(next);
    }
    turns
}

/// Returns how many of these turns fit in addition to the existing counts, found by exponential and
/// binary search. Rejected: trying one after the other, which takes 342 ms on a whole core for
/// 1,000 hosts in 100 domains instead of 1.5 ms.
fn longest_fitting(pool: &Pool<'_>, counts: &[usize], turns: &[usize]) -> usize {
    let fits = |length: usize| {
        let mut counts = counts.to_vec();
        turns[..length].iter().for_each(|model| counts[*model] += 1);
        pool.pack(&counts).is_some()
    };
    let mut fitting = 0;
    let mut step = 1;
    while fitting + step <= turns.len() && fits(fitting + step) {
        fitting += step;
        step *= 2;
    }
    while step > 1 {
        step /= 2;
        if fitting + step <= turns.len() && fits(fitting + step) {
            fitting += step;
        }
    }
    fitting
}

fn most_underserved(models: &[Model], open: &[usize], counts: &[usize]) -> usize {
    let need = |model: usize| hosts_per_share(counts[model] * models[model].size, &models[model]);
    // If only one of two models without groups fits, the one with the larger share is served.
    let first = |model: usize| if need(model) > 0.0 { 0.0 } else { -models[model].share };
    let by_need = |a: &&usize, b: &&usize| {
        need(**a).total_cmp(&need(**b)).then(first(**a).total_cmp(&first(**b)))
    };
    open.iter().min_by(by_need).copied().unwrap_or_default()
}
