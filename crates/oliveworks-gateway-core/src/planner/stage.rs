//! Which hosts load a second model to their memory, beside what they serve.
//!
//! A host that keeps the model it does not hold can repair a group of either within seconds. Loads
//! are few once traffic has begun, so the order matters: first the largest model, whose groups are
//! hardest to repair, on spares and then on the hosts of one small group after the other.

use std::collections::BTreeMap;

use super::Planner;
use super::group::Phase;
use super::host::Host;
use crate::backend_servers::BackendServerId;
use crate::configuration::Model;

/// A host that should load a model to its memory.
pub(super) struct Staging {
    pub(super) host: BackendServerId,
    pub(super) model: String,
}

/// A host that could stage a model, with what decides its turn.
struct Candidate<'a> {
    host: &'a Host,
    model: &'a Model,
    /// The group that it serves in; none for a spare.
    epoch: Option<u64>,
    /// How many of its domain have the model staged or come before it.
    turn: usize,
}

/// Hosts that should stage the model they do not hold, the most urgent first.
pub(super) fn stage(planner: &Planner) -> Vec<Staging> {
    let grouped = || planner.engine.models.iter().filter(|model| model.size > 1);
    let (Some(largest), Some(smallest)) =
        (grouped().max_by_key(|model| model.size), grouped().min_by_key(|model| model.size))
    else {
        return Vec::new();
    };
    if largest.name == smallest.name {
        return Vec::new();
    }
    let mut staged: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    let mut candidates = Vec::new();
    for host in planner.hosts.values().filter(|host| host.is_fit()) {
        let Some(holds) = grouped().find(|model| host.held_last(&model.name)) else { continue };
        let model = if holds.name == largest.name { smallest } else { largest };
        let group = host.group.and_then(|epoch| planner.groups.get(&epoch));
        if host.has(&model.name) || host.is_staging(&model.name) {
            *staged.entry((&host.server.domain, &model.name)).or_default() += 1;
            continue;
        }
        if group.is_none_or(|g| matches!(g.phase, Phase::Spare | Phase::Open { .. })) {
            let epoch = group.filter(|group| group.phase != Phase::Spare).map(|group| group.epoch);
            candidates.push(Candidate { host, model, epoch, turn: 0 });
        }
    }
    take_turns(&mut candidates, staged);
    let most = if planner.traffic { planner.config.staged_max } else { usize::MAX };
    candidates.retain(|candidate| candidate.turn < most);
    candidates.sort_by_key(|candidate| (std::cmp::Reverse(candidate.model.size), candidate.turn));
    let staging = candidates.into_iter().map(|candidate| Staging {
        host: candidate.host.server.id.clone(),
        model: candidate.model.name.clone(),
    });
    staging.collect()
}

/// Spares first, then hosts of one group after the other.
fn take_turns<'a>(
    candidates: &mut [Candidate<'a>],
    mut staged: BTreeMap<(&'a str, &'a str), usize>,
) {
    candidates.sort_by_key(|candidate| (candidate.epoch, candidate.host.server.id.clone()));
    for candidate in candidates {
        let key = (candidate.host.server.domain.as_str(), candidate.model.name.as_str());
        let count = staged.entry(key).or_default();
        candidate.turn = *count;
        *count += 1;
    }
}
