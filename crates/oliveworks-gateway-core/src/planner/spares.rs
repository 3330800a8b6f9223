//! Choice of the models that free hosts load while no group needs them.
//!
//! A percentage of each domain is kept as spares. Where there are many small groups, spares hold
//! the largest model, because the loss of a small group matters little and a large group is then
//! repaired within the time of an order. Where there are few, the first spare of a domain holds the
//! largest model and the others the smallest. These serve in pairs while the smallest model is
//! busy, and have the largest one staged. Rejected: one rule for all pools. Spares of the largest
//! model reduced the value of the pools of 30 hosts by 0.14 and 0.2, and spares of the smallest
//! reduced the value of the pools of 54 and 72 hosts by 0.03. The value is explained in the
//! documentation of the [crate].

use std::collections::BTreeMap;

use super::Planner;
use super::allocation::{NewGroup, new_group};
use super::domain::{Domain, can_hold};
use super::early_service::formable_group;
use super::host::Host;
use super::shortage::Shortage;
use crate::configuration::Model;

/// Number of groups of the smallest model from which on the loss of one matters little.
const MANY_GROUPS: usize = 9;

/// Returns the model that spares hold.
fn spare_model<'a>(planner: &Planner, grouped: &[&'a Model]) -> Option<&'a Model> {
    let smallest = grouped.iter().copied().min_by_key(|model| model.size)?;
    let wanted = planner.quotas.values().filter_map(|groups| groups.get(&smallest.name));
    match wanted.sum::<usize>() >= MANY_GROUPS {
        true => grouped.iter().copied().max_by_key(|model| model.size),
        false => Some(smallest),
    }
}

/// Returns the models of which a domain can hold a group.
fn models_for_domain<'a>(planner: &'a Planner, domain: &Domain<'_>) -> Vec<&'a Model> {
    let grouped = planner.engine.models.iter().filter(|model| model.size > 1);
    grouped.filter(|model| can_hold(planner, domain, model)).collect()
}

/// Plans a spare for each free host that holds no model of a group: the host loads a model, or uses
/// the copy that it has staged.
pub(super) fn load_spares(
    planner: &Planner,
    domains: &BTreeMap<&str, Domain<'_>>,
    plans: &mut Vec<NewGroup>,
) {
    // Before traffic the weight store is the bottleneck, and groups go first.
    if !planner.traffic && (!plans.is_empty() || planner.has_outstanding_joins()) {
        return;
    }
    let short = Shortage::of(planner, domains);
    for domain in domains.values().filter(|domain| domain.steady) {
        let grouped = models_for_domain(planner, domain);
        let mut formable = formable_group(&short, domain);
        let Some(held) = spare_model(planner, &grouped) else { continue };
        let mut loading: BTreeMap<&str, usize> = grouped
            .iter()
            .map(|model| (model.name.as_str(), domain.loading_spares(model)))
            .collect();
        for host in domain.free.iter().filter(|host| host.group.is_none() && host.is_assignable()) {
            if grouped.iter().any(|model| host.held_last(&model.name)) {
                continue;
            }
            let spare = next_spare_model(planner, domain, &grouped, &loading, held);
            let for_formable = formable.as_mut().and_then(|group| group.model_for(host));
            let model = for_formable
                .unwrap_or_else(|| model_to_load(planner, domain, &grouped, &loading, host, spare));
            *loading.entry(&model.name).or_default() += 1;
            plans.push(new_group(model, &[host]));
        }
    }
}

/// Returns the model for a free host that holds no model. The order of preference is: a model that
/// its domain lacks and that the host has in memory; the spare that the domain should have, if the
/// host has its model in memory; any model that the domain lacks; any other model that the host has
/// in memory; the spare that the domain should have. With the fourth choice made earlier, seven of
/// nine returning hosts were spares of a model that their domain did not lack, for 19 s and more
/// (in the simulated pool).
fn model_to_load<'a>(
    planner: &'a Planner,
    domain: &Domain<'_>,
    models: &[&'a Model],
    loading: &BTreeMap<&str, usize>,
    host: &Host,
    spare: &'a Model,
) -> &'a Model {
    let grouped = || models.iter().copied();
    let short = |model: &&Model| {
        let expected =
            domain.warm_hosts(model) + loading.get(model.name.as_str()).copied().unwrap_or(0);
        expected < model.size * domain.missing_groups(planner, model)
    };
    let kept = |model: &&Model| host.has_copy(&model.name);
    let kept_spare = Some(spare).filter(|model| kept(model) && lacks_spare(domain, loading, model));
    let kept_short = grouped().find(|model| kept(model) && short(model));
    let any_short = || grouped().find(short);
    let any_kept = || grouped().find(kept);
    kept_short.or(kept_spare).or_else(any_short).or_else(any_kept).unwrap_or(spare)
}

/// Whether a domain has no spare of a model, and none that loads it.
fn lacks_spare(domain: &Domain<'_>, loading: &BTreeMap<&str, usize>, model: &Model) -> bool {
    let held = domain.free.iter().any(|host| host.held_last(&model.name));
    let expected = loading.get(model.name.as_str()).is_some_and(|count| *count > 0);
    !held && !expected
}

/// Returns the model that the next spare of a domain loads. The first spare holds the largest
/// model, whose groups are the greatest loss and take longest to load.
fn next_spare_model<'a>(
    planner: &'a Planner,
    domain: &Domain<'_>,
    models: &[&'a Model],
    loading: &BTreeMap<&str, usize>,
    others: &'a Model,
) -> &'a Model {
    let Some(largest) = models.iter().copied().max_by_key(|model| model.size) else {
        return others;
    };
    let largest_first = planner.config.first_spare_largest && lacks_spare(domain, loading, largest);
    if largest_first { largest } else { others }
}
