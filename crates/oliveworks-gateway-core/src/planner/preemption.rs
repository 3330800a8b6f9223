//! Preemption of groups so that a model that lacks groups more gets their hosts.

use super::Planner;
use super::domain::{Domain, Warmth, domains, quota, warmth};
use super::group::Phase;
use super::host::Host;
use super::shortage::Shortage;
use crate::Millis;
use crate::configuration::Model;

/// Groups that are preempted so that a model with a greater shortage gets their hosts.
pub(super) struct Preemption {
    pub(super) epochs: Vec<u64>,
    pub(super) model: String,
}

/// Returns groups to preempt where the domain should hold a larger group instead and lacks only
/// their hosts for it.
pub(super) fn find_preemption(now: Millis, planner: &Planner) -> Option<Preemption> {
    let domains = domains(now, planner);
    let short = Shortage::of(planner, &domains);
    let mut models: Vec<&Model> = planner.engine.models.iter().filter(|m| m.size > 1).collect();
    models.sort_by_key(|model| std::cmp::Reverse(model.size));
    // A silent host may not be able to join the group for which others would end.
    let mut candidates =
        domains.values().filter(|domain| !domain.in_transition && !domain.has_silent_host);
    candidates.find_map(|domain| {
        let beneficiary = models.iter().find(|model| domain.missing_groups(planner, model) > 0)?;
        let epochs = preemptable_groups(&short, domain, beneficiary)?;
        Some(Preemption { epochs, model: beneficiary.name.clone() })
    })
}

/// Returns the groups of a smaller model whose hosts complete a group of `beneficiary`, if the
/// domain keeps as many groups of that model as its quota asks for, or if the preemption serves
/// more requests. Hosts that are left over may form new groups at once. Otherwise returns a group
/// of a larger model that exceeds the quota, if there is one.
fn preemptable_groups(
    short: &Shortage<'_>,
    domain: &Domain<'_>,
    beneficiary: &Model,
) -> Option<Vec<u64>> {
    let planner = short.planner;
    let smaller = planner.engine.models.iter().filter(|m| m.size > 1 && m.size < beneficiary.size);
    let found =
        smaller.filter_map(|model| preemptable_groups_of(short, domain, beneficiary, model)).next();
    found.or_else(|| surplus_group(short, domain, beneficiary).map(|epoch| vec![epoch]))
}

/// Returns a group of a larger model that exceeds the domain's quota, if all its hosts have the
/// model of `beneficiary` in memory. Until then the group continues to serve, and so does one that
/// its hosts would form again.
fn surplus_group(short: &Shortage<'_>, domain: &Domain<'_>, beneficiary: &Model) -> Option<u64> {
    let planner = short.planner;
    let larger =
        |name: &str| planner.model(name).is_some_and(|model| model.size > beneficiary.size);
    let mut groups = planner.groups.values().filter(|group| larger(&group.model));
    groups.find_map(|group| {
        let model = planner.model(&group.model)?;
        let surplus = domain.group_count(model) > quota(planner, domain.name, model);
        let open = matches!(group.phase, Phase::Open { .. });
        let able = group.members.iter().all(|id| {
            let host = planner.hosts.get(id);
            host.is_some_and(|host| {
                host.server.domain == domain.name && warmth(host, beneficiary) < Warmth::Cold
            })
        });
        let in_vain = short.are_formed_again(model, 1, beneficiary);
        (surplus && open && able && !in_vain).then_some(group.epoch)
    })
}

fn preemptable_groups_of(
    short: &Shortage<'_>,
    domain: &Domain<'_>,
    beneficiary: &Model,
    model: &Model,
) -> Option<Vec<u64>> {
    let planner = short.planner;
    let mut lacking =
        beneficiary.size.checked_sub(domain.warm_hosts(beneficiary)).filter(|count| *count > 0)?;
    let unused = domain
        .free
        .iter()
        .filter(|host| host.held_last(&model.name) && warmth(host, beneficiary) == Warmth::Cold);
    let mut left_over = unused.count();
    let mut epochs = Vec::new();
    for group in planner.groups.values().filter(|group| group.model == model.name) {
        let members: Vec<&Host> =
            group.members.iter().filter_map(|id| planner.hosts.get(id)).collect();
        let here = members.iter().all(|host| host.server.domain == domain.name);
        let able = members.iter().filter(|host| warmth(host, beneficiary) < Warmth::Cold).count();
        if lacking == 0 || !here || able == 0 || !matches!(group.phase, Phase::Open { .. }) {
            continue;
        }
        let taken = able.min(lacking);
        lacking -= taken;
        left_over += members.len() - taken;
        epochs.push(group.epoch);
    }
    let keeps = domain.group_count(model) + left_over / model.size.max(1);
    let enough = keeps >= quota(planner, domain.name, model) + epochs.len()
        || planner.is_worth_preempting(beneficiary, model, epochs.len());
    let in_vain = short.are_formed_again(model, epochs.len(), beneficiary);
    (lacking == 0 && enough && !in_vain).then_some(epochs)
}
