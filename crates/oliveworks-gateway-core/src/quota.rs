//! How many replica groups of each model every failure domain should hold.
//!
//! Counts come first, places second. The model with the fewest hosts for its weight gets the next
//! group, as long as all groups still fit into the domains, the largest placed first. Rejected:
//! forming whatever fits next, group by group, since small groups spread over all domains leave no
//! domain with room for a large one.
//!
//! Where failure domains may be lost, each model first gets its groups in more of them than that.

mod packing;
mod spread;

use std::collections::BTreeMap;

use crate::configuration::Model;
use packing::Pool;
pub use spread::{Gap, Spread, gaps};

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
    spread_out(models, rooms, &Spread::default())
}

/// Like [`serving_all`], with each model spread over failure domains as far as groups fit; spares give way to
/// these, too.
pub fn spread_out(models: &[Model], rooms: &BTreeMap<String, Room>, spread: &Spread) -> Quotas {
    let mut rooms = rooms.clone();
    loop {
        let found = fill(models, &rooms, spread);
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
    fill(models, rooms, &Spread::default())
}

fn fill(models: &[Model], rooms: &BTreeMap<String, Room>, spread: &Spread) -> Quotas {
    let pool = Pool::new(models, rooms, spread);
    let mut counts = pool.spread_groups().to_vec();
    let mut open: Vec<usize> = (0..models.len()).filter(|index| models[*index].size > 0).collect();
    while !open.is_empty() {
        let most = pool.most_groups();
        let turns = turns(models, &open, &counts, most);
        let fitting = longest_fitting(&pool, &counts, &turns);
        turns[..fitting].iter().for_each(|model| counts[*model] += 1);
        // The next one does not fit, and no later one of the same model does.
        let Some(full) = turns.get(fitting) else { break };
        open.retain(|model| model != full);
    }
    pool.pack(&counts).map_or_else(|| pool.empty(), |packed| pool.named(&packed))
}

/// Which model gets the next group, turn by turn, if none of the open ones ever fails to fit.
fn turns(models: &[Model], open: &[usize], counts: &[usize], most: usize) -> Vec<usize> {
    let mut counts = counts.to_vec();
    let mut turns = Vec::new();
    for _ in 0..=most {
        let next = neediest(models, open, &counts);
        counts[next] += 1;
        turns.push(next);
    }
    turns
}

/// How many of these turns fit beside the groups of before, found by doubling and halving. Rejected: trying
/// one after the other (342 ms for 1,000 hosts in 100 domains in place of 1.5, on a whole core).
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

fn neediest(models: &[Model], open: &[usize], counts: &[usize]) -> usize {
    let need = |model: usize| per_weight(counts[model] * models[model].size, &models[model]);
    // Where only one of two models fits, the one with the larger part of the work is served.
    let first = |model: usize| if need(model) > 0.0 { 0.0 } else { -models[model].share };
    let by_need = |a: &&usize, b: &&usize| {
        need(**a).total_cmp(&need(**b)).then(first(**a).total_cmp(&first(**b)))
    };
    open.iter().min_by(by_need).copied().unwrap_or_default()
}
