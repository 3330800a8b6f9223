//! A failure domain goes dark and comes back, while callers ask for more than all groups serve.
//!
//! Its hosts keep in memory what they held, or had staged, before: a load lasts 12 to 16 s, a group whose
//! hosts all keep the model takes 2 s.

use std::collections::BTreeSet;

use oliveworks_gateway_core::backend_servers::BackendServerId;

use crate::world::*;

/// Hosts of a domain.
const HOSTS: usize = 27;
/// Callers who would fill so many groups: both models refuse some all the time.
const DOUBLED: [(&str, f64); 2] = [("large", 4.0), ("small", 9.0)];
/// How long a domain is away.
const AWAY_MS: u64 = 3_000;
/// A group whose hosts keep the model takes so long from their listing, at the most.
const SOON_MS: u64 = 5_000;

fn wide() -> (World, Leader) {
    let mut world = World::new(1, Broken::default());
    world.engine = wide_engine();
    formed_of(world, HOSTS, Default::default())
}

/// The larger model has so small a share that a domain has no group of it: that one.
fn without_large() -> (World, Leader, &'static str) {
    let mut world = World::new(1, Broken::default());
    world.engine = wide_engine();
    world.engine.models[0].share = 0.1;
    let (world, leader) = formed_of(world, HOSTS, Default::default());
    let without = |domain: &&str| serving(&world, &leader, "large", domain) == 0;
    let domain = DOMAINS.into_iter().find(without).expect("a domain without the larger model");
    (world, leader, domain)
}

/// All hosts of a domain die, and gateways see its groups standing still.
fn lose(world: &mut World, leader: &mut Leader, domain: &str) {
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

/// Hosts come back that keep a model in memory and hold none.
fn bring(world: &mut World, domain: &str, hosts: usize, keep: &str) {
    for _ in 0..hosts {
        world.add_host(domain);
        let id = format!("h{}", world.next_host);
        let host = world.hosts.get_mut(id.as_str()).expect("the new host");
        host.staging = vec![keep.to_owned()];
    }
}

fn lines(leader: &Leader) -> Vec<String> {
    leader.planner.describe_domains()
}

fn wanted(leader: &Leader, domain: &str) -> String {
    let line = lines(leader).into_iter().find(|line| line.starts_with(domain));
    line.and_then(|line| line.split(" wanted ").nth(1).map(str::to_owned)).unwrap_or_default()
}

/// A part of the hosts is listed with each read of the list. Groups of both models serve within seconds, though
/// by shares alone the domain would have none of the larger one.
#[test]
fn a_domain_that_returns_serves_what_its_hosts_keep() {
    let (mut world, mut leader) = wide();
    let domain = DOMAINS[0];
    run_with_demand(&mut world, &mut leader, 2_000, &DOUBLED);
    lose(&mut world, &mut leader, domain);
    run_with_demand(&mut world, &mut leader, AWAY_MS, &DOUBLED);
    for (keep_large, keep_small) in [(4, 5), (7, 2), (6, 3)] {
        bring(&mut world, domain, keep_large, "large");
        bring(&mut world, domain, keep_small, "small");
        run_with_demand(&mut world, &mut leader, 600, &DOUBLED);
    }
    run_with_demand(&mut world, &mut leader, SOON_MS, &DOUBLED);
    let held = |model| serving(&world, &leader, model, domain);
    assert_eq!((held("large"), held("small")), (1, 1), "{:?}", lines(&leader));
}

/// What is wanted of a domain is the same after the first of its hosts is listed and after the last.
#[test]
fn what_is_wanted_does_not_change_with_each_host_that_is_listed() {
    let (mut world, mut leader) = wide();
    let domain = DOMAINS[0];
    run_with_demand(&mut world, &mut leader, 2_000, &DOUBLED);
    lose(&mut world, &mut leader, domain);
    run_with_demand(&mut world, &mut leader, AWAY_MS, &DOUBLED);
    let mut seen = BTreeSet::new();
    for keep in ["small", "large", "large"] {
        bring(&mut world, domain, 9, keep);
        leader.read_list(&world);
        run_with_demand(&mut world, &mut leader, 400, &DOUBLED);
        seen.insert(wanted(&leader, domain));
    }
    run_with_demand(&mut world, &mut leader, SOON_MS, &DOUBLED);
    seen.insert(wanted(&leader, domain));
    assert_eq!(seen.len(), 1, "{seen:?}");
}

/// Thirteen hosts keep the larger model, of which by its share the domain should have no group. It refuses
/// callers, though fewer than the smaller one: they serve it, and do not load the smaller one for 12 s.
#[test]
fn hosts_serve_the_model_that_they_keep_beside_a_load() {
    let (mut world, mut leader, domain) = without_large();
    let mostly_small = [("large", 1.5), ("small", 30.0)];
    lose(&mut world, &mut leader, domain);
    run_with_demand(&mut world, &mut leader, AWAY_MS, &mostly_small);
    bring(&mut world, domain, 13, "large");
    (0..14).for_each(|_| world.add_host(domain));
    run_with_demand(&mut world, &mut leader, SOON_MS, &mostly_small);
    assert_eq!(serving(&world, &leader, "large", domain), 1, "{:?}", lines(&leader));
}

/// Hosts load the smaller model and keep the larger one, whose callers are refused from then on: they give the
/// loads up, 9 s before these would end.
#[test]
fn a_load_is_given_up_for_a_group_that_serves_much_sooner() {
    let (mut world, mut leader, domain) = without_large();
    lose(&mut world, &mut leader, domain);
    let few_large = [("large", 0.3), DOUBLED[1]];
    run_with_demand(&mut world, &mut leader, AWAY_MS, &few_large);
    bring(&mut world, domain, 27, "large");
    run_with_demand(&mut world, &mut leader, 4_000, &few_large);
    let loading = world.hosts.values().filter(|host| host.join_loads.is_some()).count();
    assert!(loading >= 12, "{loading} load: {:?}", lines(&leader));
    run_with_demand(&mut world, &mut leader, SOON_MS, &DOUBLED);
    assert!(serving(&world, &leader, "large", domain) > 0, "{:?}", lines(&leader));
}

/// A group of twelve loses a member and its domain has no spare of its model, while hosts everywhere load what the next
/// loss may need: a spare of the other model loads the twelfth place at once, beside these.
#[test]
fn the_last_of_twelve_hosts_is_loaded_before_what_may_be_needed() {
    let (mut world, mut leader) = wide();
    let domain = DOMAINS[0];
    kill_spares(&mut world, &leader, domain);
    run_with_demand(&mut world, &mut leader, 3_000, &DOUBLED);
    bring(&mut world, domain, 1, "small");
    run_with_demand(&mut world, &mut leader, 2_000, &DOUBLED);
    let alive = |world: &World| -> Vec<BackendServerId> {
        world.listed().into_iter().map(|server| server.id).collect()
    };
    let stages = |id: &&BackendServerId| world.hosts[*id].staged_at.is_some();
    let staging = alive(&world).iter().filter(stages).count();
    assert!(staging >= world.engine.loads_at_once as usize, "{staging} stage");
    kill_member(&mut world, &mut leader, "large", domain);
    run_with_demand(&mut world, &mut leader, 1_000, &DOUBLED);
    let loads_large = |id: &&BackendServerId| {
        let host = &world.hosts[*id];
        let staged = host.staged_at.as_ref().is_some_and(|(_, model)| model == "large");
        let spare = host.group.as_ref().is_some_and(|(_, members, _)| members.len() == 1);
        host.server.domain == domain && spare && staged
    };
    let loading = alive(&world).iter().filter(loads_large).count();
    assert_eq!(loading, 1, "{:?}", lines(&leader));
}

/// Gateways see one group of a dark domain standing still, since no other gets requests: all hosts there are known to
/// be lost at once, spares too.
#[test]
fn a_dark_domain_is_seen_as_a_whole() {
    let (mut world, mut leader) = wide();
    let domain = DOMAINS[0];
    run_with_demand(&mut world, &mut leader, 2_000, &DOUBLED);
    let here = world.hosts.values_mut().filter(|host| host.server.domain == domain);
    here.for_each(|host| host.alive = false);
    kill_member(&mut world, &mut leader, "large", domain);
    run_for(&mut world, &mut leader, 100, true);
    let line = lines(&leader).into_iter().find(|line| line.starts_with(domain));
    assert!(line.as_ref().is_some_and(|line| line.contains("\"lost\": 27")), "{line:?}");
}

/// Three hosts of a group die: the others of the domain are asked, answer, and serve on.
#[test]
fn a_domain_that_loses_three_hosts_serves_on() {
    let (mut world, mut leader) = wide();
    let domain = DOMAINS[0];
    run_with_demand(&mut world, &mut leader, 2_000, &DOUBLED);
    let groups = leader.planner.serving(world.now);
    let large = groups.iter().find(|group| {
        group.model == "large" && world.hosts[&group.members[0]].server.domain == domain
    });
    for id in large.expect("a group").members.iter().rev().take(3) {
        world.hosts.get_mut(id).expect("a host").alive = false;
        suspect(&world, std::slice::from_mut(&mut leader), id);
    }
    run_for(&mut world, &mut leader, 100, true);
    let line = lines(&leader).into_iter().find(|line| line.starts_with(domain));
    assert!(line.as_ref().is_some_and(|line| line.contains("\"lost\": 3")), "{line:?}");
    assert_eq!(serving(&world, &leader, "small", domain), 2, "{line:?}");
}

/// Eleven of twelve hosts are free and nothing can load the twelfth: that is told once, after three seconds.
#[test]
fn hosts_that_wait_are_told() {
    let (mut world, mut leader) = wide();
    let domain = DOMAINS[0];
    kill_spares(&mut world, &leader, domain);
    run_with_demand(&mut world, &mut leader, 2_000, &DOUBLED);
    kill_member(&mut world, &mut leader, "large", domain);
    let mut told = Vec::new();
    for _ in 0..60 {
        run_with_demand(&mut world, &mut leader, 100, &DOUBLED);
        told.extend(leader.planner.waiting_hosts(world.now));
    }
    let here: Vec<_> = told.iter().filter(|waiting| waiting.domain == domain).collect();
    assert_eq!(here.len(), 1, "{told:?}");
    assert_eq!((here[0].hosts, here[0].missing), (11, 1));
}
