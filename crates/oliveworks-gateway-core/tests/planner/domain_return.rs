//! Tests of a failure domain that is lost and returns while callers send more requests than all
//! groups can serve.
//!
//! Its hosts keep the models in memory that they held, or had staged, before. A load lasts 12 to 16
//! s; a group whose hosts all keep the model forms in 2 s.

use std::collections::BTreeSet;

use oliveworks_gateway_core::backend_servers::BackendServerId;

use crate::world::*;

/// Number of hosts of a domain.
const HOSTS: usize = 27;
/// Demand for each model, as the number of groups that it would fill: both models refuse some
/// requests all the time.
const EXCESS_DEMAND: [(&str, f64); 2] = [("large", 4.0), ("small", 9.0)];
/// Time between the loss and the return of a domain, in ms.
const OUTAGE_MS: u64 = 3_000;
/// Maximum time between the listing of hosts that keep a model and the service of their group, in
/// ms.
const FORMED_WITHIN_MS: u64 = 5_000;

fn wide_pool() -> (World, Leader) {
    let mut world = World::new(1, HostFaults::default());
    world.engine = wide_engine();
    formed_of(world, HOSTS, Default::default())
}

/// Returns a pool in which one domain has no group of the larger model, because the share of that
/// model is small. Also returns that domain.
fn pool_without_large() -> (World, Leader, &'static str) {
    let mut world = World::new(1, HostFaults::default());
    world.engine = wide_engine();
    world.engine.models[0].share = 0.1;
    let (world, leader) = formed_of(world, HOSTS, Default::default());
    let without = |domain: &&str| serving(&world, &leader, "large", domain) == 0;
    let domain = DOMAINS.into_iter().find(without).expect("a domain without the larger model");
    (world, leader, domain)
}

/// Kills all hosts of a domain. Gateways observe that its groups have stalled.
fn kill_domain(world: &mut World, leader: &mut Leader, domain: &str) {
    let here: Vec<_> = world
        .hosts
        .values()
        .filter(|h| h.server.domain == domain)
        .map(|h| h.server.id.clone())
        .collect();
    for id in here {
        world.hosts.get_mut(&id).expect("a host").alive = false;
        suspect(world, std::slice::from_mut(leader), &id);
    }
}

/// Adds hosts to a domain that keep a model in memory but do not hold it ready to serve.
fn return_hosts(world: &mut World, domain: &str, hosts: usize, keep: &str) {
    for _ in 0..hosts {
        world.add_host(domain);
        let id = format!("h{}", world.next_host);
        let host = world.hosts.get_mut(id.as_str()).expect("the new host");
        host.staging = vec![keep.to_owned()];
    }
}

fn descriptions(leader: &Leader) -> Vec<String> {
    leader.planner.describe_domains()
}

fn quotas(leader: &Leader, domain: &str) -> String {
    let line = descriptions(leader).into_iter().find(|line| line.starts_with(domain));
    line.and_then(|line| line.split(" wanted ").nth(1).map(str::to_owned)).unwrap_or_default()
}

/// Each read of the list adds some of the returning hosts. Groups of both models serve within
/// seconds, although by target shares alone the domain would have no group of the larger model.
#[test]
fn a_domain_that_returns_serves_what_its_hosts_keep() {
    let (mut world, mut leader) = wide_pool();
    let domain = DOMAINS[0];
    run_with_demand(&mut world, &mut leader, 2_000, &EXCESS_DEMAND);
    kill_domain(&mut world, &mut leader, domain);
    run_with_demand(&mut world, &mut leader, OUTAGE_MS, &EXCESS_DEMAND);
    for (keep_large, keep_small) in [(4, 5), (7, 2), (6, 3)] {
        return_hosts(&mut world, domain, keep_large, "large");
        return_hosts(&mut world, domain, keep_small, "small");
        run_with_demand(&mut world, &mut leader, 600, &EXCESS_DEMAND);
    }
    run_with_demand(&mut world, &mut leader, FORMED_WITHIN_MS, &EXCESS_DEMAND);
    let held = |model| serving(&world, &leader, model, domain);
    assert_eq!((held("large"), held("small")), (1, 1), "{:?}", descriptions(&leader));
}

/// The quotas of a domain are the same after its first hosts are listed and after its last hosts
/// are listed.
#[test]
fn quotas_do_not_change_with_each_returning_host() {
    let (mut world, mut leader) = wide_pool();
    let domain = DOMAINS[0];
    run_with_demand(&mut world, &mut leader, 2_000, &EXCESS_DEMAND);
    kill_domain(&mut world, &mut leader, domain);
    run_with_demand(&mut world, &mut leader, OUTAGE_MS, &EXCESS_DEMAND);
    let mut seen = BTreeSet::new();
    for keep in ["small", "large", "large"] {
        return_hosts(&mut world, domain, 9, keep);
        leader.read_list(&world);
        run_with_demand(&mut world, &mut leader, 400, &EXCESS_DEMAND);
        seen.insert(quotas(&leader, domain));
    }
    run_with_demand(&mut world, &mut leader, FORMED_WITHIN_MS, &EXCESS_DEMAND);
    seen.insert(quotas(&leader, domain));
    assert_eq!(seen.len(), 1, "{seen:?}");
}

/// Thirteen hosts keep the larger model, and by its target share the domain should have no group of
/// it. The larger model refuses requests, though fewer than the smaller model. The hosts serve the
/// larger model, instead of loading the smaller model for 12 s.
#[test]
fn hosts_serve_the_model_that_they_keep_beside_a_load() {
    let (mut world, mut leader, domain) = pool_without_large();
    let mostly_small = [("large", 1.5), ("small", 30.0)];
    kill_domain(&mut world, &mut leader, domain);
    run_with_demand(&mut world, &mut leader, OUTAGE_MS, &mostly_small);
    return_hosts(&mut world, domain, 13, "large");
    (0..14).for_each(|_| world.add_host(domain));
    run_with_demand(&mut world, &mut leader, FORMED_WITHIN_MS, &mostly_small);
    assert_eq!(serving(&world, &leader, "large", domain), 1, "{:?}", descriptions(&leader));
}

/// Hosts load the smaller model and keep the larger model, which then starts to refuse requests.
/// The hosts cancel the loads, 9 s before these would end.
#[test]
fn a_load_is_given_up_for_a_group_that_serves_much_sooner() {
    let (mut world, mut leader, domain) = pool_without_large();
    kill_domain(&mut world, &mut leader, domain);
    let few_large = [("large", 0.3), EXCESS_DEMAND[1]];
    run_with_demand(&mut world, &mut leader, OUTAGE_MS, &few_large);
    return_hosts(&mut world, domain, 27, "large");
    run_with_demand(&mut world, &mut leader, 4_000, &few_large);
    let loading = world.hosts.values().filter(|host| host.join_loads.is_some()).count();
    assert!(loading >= 12, "{loading} load: {:?}", descriptions(&leader));
    run_with_demand(&mut world, &mut leader, FORMED_WITHIN_MS, &EXCESS_DEMAND);
    assert!(serving(&world, &leader, "large", domain) > 0, "{:?}", descriptions(&leader));
}

/// A group of twelve hosts loses a member and its domain has no spare of its model, while hosts of
/// all domains stage models for the next loss. A spare of the other model loads the model of the
/// twelfth member at once, in addition to these loads.
#[test]
fn a_missing_member_is_loaded_while_other_hosts_stage() {
    let (mut world, mut leader) = wide_pool();
    let domain = DOMAINS[0];
    kill_spares(&mut world, &leader, domain);
    run_with_demand(&mut world, &mut leader, 3_000, &EXCESS_DEMAND);
    return_hosts(&mut world, domain, 1, "small");
    run_with_demand(&mut world, &mut leader, 2_000, &EXCESS_DEMAND);
    let alive = |world: &World| -> Vec<BackendServerId> {
        world.listed().into_iter().map(|server| server.id).collect()
    };
    let stages = |id: &&BackendServerId| world.hosts[*id].staged_at.is_some();
    let staging = alive(&world).iter().filter(stages).count();
    assert!(staging >= world.engine.loads_at_once as usize, "{staging} stage");
    kill_member(&mut world, &mut leader, "large", domain);
    run_with_demand(&mut world, &mut leader, 1_000, &EXCESS_DEMAND);
    let loads_large = |id: &&BackendServerId| {
        let host = &world.hosts[*id];
        let staged = host.staged_at.as_ref().is_some_and(|(_, model)| model == "large");
        let spare = host.group.as_ref().is_some_and(|(_, members, _)| members.len() == 1);
        host.server.domain == domain && spare && staged
    };
    let loading = alive(&world).iter().filter(loads_large).count();
    assert_eq!(loading, 1, "{:?}", descriptions(&leader));
}

/// Gateways observe only one stalled group of a lost domain, because no other group receives
/// requests. All hosts of the domain, including spares, are recognized as lost at once.
#[test]
fn a_lost_domain_is_recognized_as_a_whole() {
    let (mut world, mut leader) = wide_pool();
    let domain = DOMAINS[0];
    run_with_demand(&mut world, &mut leader, 2_000, &EXCESS_DEMAND);
    let here = world.hosts.values_mut().filter(|host| host.server.domain == domain);
    here.for_each(|host| host.alive = false);
    kill_member(&mut world, &mut leader, "large", domain);
    run_for(&mut world, &mut leader, 100, true);
    let line = descriptions(&leader).into_iter().find(|line| line.starts_with(domain));
    assert!(line.as_ref().is_some_and(|line| line.contains("\"lost\": 27")), "{line:?}");
}

/// Three hosts of a group die. The other hosts of the domain are probed, answer, and continue to
/// serve.
#[test]
fn a_domain_that_loses_three_hosts_serves_on() {
    let (mut world, mut leader) = wide_pool();
    let domain = DOMAINS[0];
    run_with_demand(&mut world, &mut leader, 2_000, &EXCESS_DEMAND);
    let groups = leader.planner.serving(world.now);
    let large = groups.iter().find(|group| {
        group.model == "large" && world.hosts[&group.members[0]].server.domain == domain
    });
    for id in large.expect("a group").members.iter().rev().take(3) {
        world.hosts.get_mut(id).expect("a host").alive = false;
        suspect(&world, std::slice::from_mut(&mut leader), id);
    }
    run_for(&mut world, &mut leader, 100, true);
    let line = descriptions(&leader).into_iter().find(|line| line.starts_with(domain));
    assert!(line.as_ref().is_some_and(|line| line.contains("\"lost\": 3")), "{line:?}");
    assert_eq!(serving(&world, &leader, "small", domain), 2, "{line:?}");
}

/// Eleven of twelve hosts are free and no host can load the model as the twelfth member. The
/// waiting hosts are reported once, after three seconds.
#[test]
fn waiting_hosts_are_reported_once() {
    let (mut world, mut leader) = wide_pool();
    let domain = DOMAINS[0];
    kill_spares(&mut world, &leader, domain);
    run_with_demand(&mut world, &mut leader, 2_000, &EXCESS_DEMAND);
    kill_member(&mut world, &mut leader, "large", domain);
    let mut reported = Vec::new();
    for _ in 0..60 {
        run_with_demand(&mut world, &mut leader, 100, &EXCESS_DEMAND);
        reported.extend(leader.planner.waiting_hosts(world.now));
    }
    let here: Vec<_> = reported.iter().filter(|waiting| waiting.domain == domain).collect();
    assert_eq!(here.len(), 1, "{reported:?}");
    assert_eq!((here[0].hosts, here[0].missing), (11, 1));
}
