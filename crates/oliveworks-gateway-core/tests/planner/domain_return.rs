//! A failure domain goes dark and comes back, while callers ask for more than all groups serve.
//!
//! Its hosts keep in memory what they held, or had staged, before: a load lasts 12 to 16 s, a group whose
//! hosts all keep the model takes 2 s.

use std::collections::BTreeSet;

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
