//! Tests of drained failure domains, each of which has one fabric domain here: their groups remain
//! but do not serve, their quotas move to the fabric domains of other failure domains, and the
//! groups serve again once the drain ends.

use std::collections::BTreeSet;

use oliveworks_gateway_core::planner::{Command, Order};

use crate::world::*;

fn drain(leader: &mut Leader, domains: &[&str]) {
    let names = domains.iter().map(|name| (*name).to_owned()).collect();
    leader.planner.set_drained(&names);
}

/// Returns the epochs of the groups that serve in a domain.
fn epochs(world: &World, leader: &Leader, domain: &str) -> BTreeSet<u64> {
    let serving = leader.planner.serving(world.now).into_iter();
    let here = serving.filter(|group| world.hosts[&group.members[0]].server.domain == domain);
    here.map(|group| group.epoch).collect()
}

/// Continues the run with traffic. Returns the orders to hosts of a domain to load a model or to
/// join a group.
fn run_and_collect_orders(
    world: &mut World,
    leader: &mut Leader,
    domain: &str,
    time_ms: u64,
) -> Vec<String> {
    let until = world.now + time_ms;
    let mut orders = Vec::new();
    while world.now < until {
        world.step();
        leader.planner.set_traffic(true);
        for command in leader.planner.tick(world.now) {
            match command {
                Command::Order { server, order, expects, .. } => {
                    let here = world.hosts[&server].server.domain == domain;
                    if here && matches!(order, Order::Join { .. } | Order::Stage { .. }) {
                        orders.push(format!("{server}: {order:?}"));
                    }
                    leader.send_order(world, server, order, expects);
                }
                Command::Probe { server, .. } => match world.holding(&server) {
                    Some(holding) => leader.planner.handle_report(world.now, &server, &holding),
                    None => record_failed_probe(&mut leader.planner, world, &server),
                },
            }
        }
    }
    orders
}

/// Groups of a drained domain are not published from the next tick on, get no orders, and serve
/// with the first tick after the drain.
#[test]
fn groups_of_a_drained_domain_stay_and_serve_again_at_once() {
    let (mut world, mut leader) = formed(FEW);
    run_for(&mut world, &mut leader, 30_000, true);
    let before = epochs(&world, &leader, DOMAINS[0]);
    assert!(!before.is_empty());
    drain(&mut leader, &DOMAINS[..1]);
    assert_eq!(epochs(&world, &leader, DOMAINS[0]), BTreeSet::new());
    let orders = run_and_collect_orders(&mut world, &mut leader, DOMAINS[0], 60_000);
    assert_eq!(orders, Vec::<String>::new());
    drain(&mut leader, &[]);
    run_for(&mut world, &mut leader, TICK_MS, true);
    assert_eq!(epochs(&world, &leader, DOMAINS[0]), before);
}

/// All domains but one are drained. The remaining domain forms groups of both models.
#[test]
fn quotas_of_drained_domains_move_to_other_domains() {
    let (mut world, mut leader) = formed(FEW);
    run_for(&mut world, &mut leader, 30_000, true);
    drain(&mut leader, &DOMAINS[1..]);
    run_for(&mut world, &mut leader, 30_000, true);
    for model in ["large", "small"] {
        let served = serving(&world, &leader, model, DOMAINS[0]);
        assert!(served > 0, "no {model}: {:?}", leader.planner.describe_domains());
    }
    // Quotas are empty in domains that may not form groups.
    let lines = leader.planner.describe_domains();
    let drained = lines.iter().filter(|line| !line.starts_with(DOMAINS[0]));
    drained.for_each(|line| assert!(line.ends_with("wanted {}"), "{line}"));
}

/// A member of a group of a drained domain dies. The head is ordered to leave, the hosts join no
/// group before the drain ends, and form a group again afterwards.
#[test]
fn a_group_of_a_drained_domain_that_loses_a_member_stops_serving() {
    let (mut world, mut leader) = formed(FEW);
    run_for(&mut world, &mut leader, 30_000, true);
    let before = epochs(&world, &leader, DOMAINS[0]);
    let group = leader.planner.serving(world.now).into_iter().find(|group| {
        group.model == "large" && world.hosts[&group.members[0]].server.domain == DOMAINS[0]
    });
    let group = group.expect("a large group");
    drain(&mut leader, &DOMAINS[..1]);
    let lost = group.members.last().expect("a member");
    world.hosts.get_mut(lost).expect("a host").alive = false;
    suspect(&world, std::slice::from_mut(&mut leader), lost);
    let orders = run_and_collect_orders(&mut world, &mut leader, DOMAINS[0], 20_000);
    assert_eq!(orders, Vec::<String>::new());
    assert!(!world.head_serves(group.epoch, &group.members));
    drain(&mut leader, &[]);
    run_for(&mut world, &mut leader, 10_000, true);
    let after = epochs(&world, &leader, DOMAINS[0]);
    assert_eq!(after.len(), before.len(), "{:?}", leader.planner.describe_domains());
    assert!(!after.contains(&group.epoch));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Every domain is drained: no group serves, no rule is violated, and all groups serve again after
/// the drain.
#[test]
fn all_domains_are_drained() {
    let (mut world, mut leader) = formed(FEW);
    run_for(&mut world, &mut leader, 30_000, true);
    let before: Vec<_> = DOMAINS.map(|domain| epochs(&world, &leader, domain)).into();
    drain(&mut leader, &DOMAINS);
    run_for(&mut world, &mut leader, 20_000, true);
    assert!(leader.planner.serving(world.now).is_empty());
    drain(&mut leader, &[]);
    run_for(&mut world, &mut leader, TICK_MS, true);
    let after: Vec<_> = DOMAINS.map(|domain| epochs(&world, &leader, domain)).into();
    assert_eq!(before, after);
}

/// The next leader takes over during a drain. The groups of the drained domain are kept, and serve
/// after the drain.
#[test]
fn the_next_leader_keeps_groups_of_a_drained_domain() {
    let (mut world, mut leader) = formed(FEW);
    run_for(&mut world, &mut leader, 30_000, true);
    let before = epochs(&world, &leader, DOMAINS[0]);
    drain(&mut leader, &DOMAINS[..1]);
    run_for(&mut world, &mut leader, 5_000, true);
    let mut next = Leader::take_over(&world, 2, leader.planner.ended().collect());
    drain(&mut next, &DOMAINS[..1]);
    run_for(&mut world, &mut next, 5_000, true);
    assert_eq!(epochs(&world, &next, DOMAINS[0]), BTreeSet::new());
    drain(&mut next, &[]);
    run_for(&mut world, &mut next, TICK_MS, true);
    assert_eq!(epochs(&world, &next, DOMAINS[0]), before);
}

/// A domain is drained while its hosts still wait for permission to load. The hosts load nothing
/// more, and the loads are left to the hosts of other domains.
#[test]
fn a_group_that_is_being_formed_is_given_up() {
    let mut world = World::new(1, HostFaults::default());
    for _ in 0..FEW {
        DOMAINS.iter().for_each(|domain| world.add_host(domain));
    }
    let mut leader = Leader::take_over(&world, 1, vec![]);
    run_for(&mut world, &mut leader, 2_000, true);
    let waiting_hosts = |domain: &str| {
        let here = world.hosts.values().filter(|host| host.server.domain == domain);
        here.filter(|host| host.last_model.is_none()).count()
    };
    assert!(waiting_hosts(DOMAINS[0]) > 0, "hosts of the domain should still wait");
    drain(&mut leader, &DOMAINS[..1]);
    let orders = run_and_collect_orders(&mut world, &mut leader, DOMAINS[0], 60_000);
    assert_eq!(orders, Vec::<String>::new());
    assert!(serving_everywhere(&world, &leader, "large") > 0);
    drain(&mut leader, &[]);
    run_for(&mut world, &mut leader, 60_000, true);
    assert!(!epochs(&world, &leader, DOMAINS[0]).is_empty());
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
