//! Tests that each model has groups in more failure domains than may be lost, before traffic.

use oliveworks_gateway_core::configuration::Engine;

use crate::world::*;

/// Returns a pool that formed its groups before traffic, and whose larger model has a small share
/// of the work.
fn formed_over(tolerance: usize) -> (World, Leader) {
    let mut world = World::new(1, HostFaults::default());
    for _ in 0..FEW {
        DOMAINS.iter().for_each(|domain| world.add_host(domain));
    }
    let mut small_share: Engine = engine();
    small_share.models[0].share = 0.05;
    small_share.models[1].share = 0.95;
    let mut leader = Leader::take_over(&world, 1, vec![]);
    leader.planner.set_engine(&small_share);
    leader.planner.set_tolerance(tolerance);
    run_for(&mut world, &mut leader, 90_000, false);
    (world, leader)
}

/// Returns the failure domains in which the larger model serves.
fn serving_large(world: &World, leader: &Leader) -> Vec<&'static str> {
    let serves = |domain: &&str| serving(world, leader, "large", domain) > 0;
    DOMAINS.into_iter().filter(serves).collect()
}

#[test]
fn a_model_with_little_work_stands_in_one_domain_more_than_may_be_lost() {
    for tolerance in 0..2 {
        let (world, leader) = formed_over(tolerance);
        let domains = serving_large(&world, &leader);
        assert_eq!(domains.len(), tolerance + 1, "{:?}", leader.planner.describe_domains());
        assert_eq!(leader.planner.spread_gaps(), []);
    }
}

/// The model continues to serve without interruption when all hosts of one of its failure domains
/// are lost, and serves in two domains again after a load.
#[test]
fn a_model_serves_on_beside_a_lost_failure_domain() {
    let (mut world, mut leader) = formed_over(1);
    let domains = serving_large(&world, &leader);
    for host in world.hosts.values_mut().filter(|host| host.server.domain == domains[0]) {
        host.alive = false;
    }
    run_for(&mut world, &mut leader, 1_000, true);
    assert!(serving_large(&world, &leader).contains(&domains[1]));
    run_for(&mut world, &mut leader, 60_000, true);
    assert_eq!(serving_large(&world, &leader).len(), 2, "{:?}", leader.planner.describe_domains());
}

/// The gap in the spread is reported when only one failure domain remains.
#[test]
fn a_model_that_cannot_be_spread_is_reported() {
    let (mut world, mut leader) = formed_over(1);
    for host in world.hosts.values_mut().filter(|host| host.server.domain != DOMAINS[0]) {
        host.alive = false;
    }
    run_for(&mut world, &mut leader, 60_000, true);
    let gaps = leader.planner.spread_gaps();
    let reported: Vec<_> = gaps.iter().map(|gap| (&*gap.model, gap.found, gap.wanted)).collect();
    assert_eq!(reported, [("large", 1, 2), ("small", 1, 2)]);
}
