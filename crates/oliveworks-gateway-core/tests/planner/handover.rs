//! Tests that a change of leader changes neither groups nor spares nor running loads.

use std::collections::BTreeSet;

use oliveworks_gateway_core::planner::{Command, Order};
use test_case::test_case;

use crate::world::*;

/// Returns the orders that a leader sends within a second, except orders that only make its fence
/// known.
fn orders_within_a_second(world: &mut World, leader: &mut Leader) -> Vec<String> {
    let mut orders = Vec::new();
    for _ in 0..50 {
        world.step();
        leader.planner.set_traffic(true);
        for command in leader.planner.tick(world.now) {
            let Command::Order { server, order, expects, .. } = command else { continue };
            let shows_fence = match &order {
                Order::Stage { model } => world.hosts[&server].staging.contains(model),
                _ => false,
            };
            if !shows_fence {
                orders.push(format!("{server}: {order:?}"));
            }
            leader.send_order(world, server, order, expects);
        }
    }
    orders
}

/// All groups serve and all spares hold their models. The next leader sends no orders.
#[test_case(FEW; "few groups")]
#[test_case(MANY; "many groups")]
fn the_next_leader_keeps_groups_and_spares(hosts: usize) {
    let (mut world, mut leader) = formed(hosts);
    run_for(&mut world, &mut leader, 45_000, true);
    let before: BTreeSet<u64> =
        leader.planner.serving(world.now).iter().map(|group| group.epoch).collect();
    let lines = leader.planner.describe_domains();
    let mut next = Leader::take_over(&world, 2, leader.planner.ended().collect());
    let orders = orders_within_a_second(&mut world, &mut next);
    assert_eq!(orders, Vec::<String>::new());
    let after = next.planner.serving(world.now).iter().map(|group| group.epoch).collect();
    assert_eq!(before, after);
    assert_eq!(lines, next.planner.describe_domains());
}

/// A spare that is loading continues its load under the next leader, and is a spare of the loaded
/// model afterwards.
#[test]
fn the_next_leader_lets_a_spare_load_on() {
    let (mut world, mut leader) = formed(FEW);
    run_for(&mut world, &mut leader, 30_000, true);
    world.add_host(DOMAINS[0]);
    run_for(&mut world, &mut leader, 4_000, true);
    let loads = world.loads.len();
    let mut next = Leader::take_over(&world, 2, leader.planner.ended().collect());
    let orders = orders_within_a_second(&mut world, &mut next);
    assert_eq!(orders, Vec::<String>::new());
    assert_eq!(world.loads.len(), loads, "no load may be restarted");
}

/// Loads into hosts' memory that the previous leader began continue and are counted: the next
/// leader does not begin more loads than the maximum number of concurrent loads.
#[test]
fn the_next_leader_counts_the_loads_that_run() {
    let (mut world, mut leader) = formed(MANY);
    run_for(&mut world, &mut leader, 3_000, true);
    let running = |world: &World| world.hosts.values().filter(|h| h.staged_at.is_some()).count();
    let before = running(&world);
    assert!(before > 0, "loads should be running");
    let loads = world.loads.len();
    let mut next = Leader::take_over(&world, 2, leader.planner.ended().collect());
    run_for(&mut world, &mut next, 3_000, true);
    let max_loads = engine().loads_at_once as usize;
    assert!(before >= max_loads, "the maximum number of loads runs");
    assert_eq!(world.loads.len(), loads, "no further load may begin");
    // Loads are no longer counted once they have ended.
    run_for(&mut world, &mut next, 20_000, true);
    assert!(world.loads.len() > loads, "further loads begin afterwards");
}
