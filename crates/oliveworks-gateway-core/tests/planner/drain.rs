//! Drained failure domains: what is there stays and serves nothing, what is wanted moves, and all of it
//! serves again once the drain ends.

use std::collections::BTreeSet;

use oliveworks_gateway_core::planner::{Command, Order};

use crate::world::*;

fn drain(leader: &mut Leader, domains: &[&str]) {
    let names = domains.iter().map(|name| (*name).to_owned()).collect();
    leader.planner.set_drained(&names);
}

/// Epochs of the groups that serve in a domain.
fn epochs(world: &World, leader: &Leader, domain: &str) -> BTreeSet<u64> {
    let serving = leader.planner.serving(world.now).into_iter();
    let here = serving.filter(|group| world.hosts[&group.members[0]].server.domain == domain);
    here.map(|group| group.epoch).collect()
}

/// Runs on in traffic; returns the orders to hosts of a domain that make them load or join something.
fn run_and_note(world: &mut World, leader: &mut Leader, domain: &str, time_ms: u64) -> Vec<String> {
    let until = world.now + time_ms;
    let mut given = Vec::new();
    while world.now < until {
        world.step();
        leader.planner.set_traffic(true);
        for command in leader.planner.tick(world.now) {
            match command {
                Command::Order { server, order, expects, .. } => {
                    let here = world.hosts[&server].server.domain == domain;
                    if here && matches!(order, Order::Join { .. } | Order::Stage { .. }) {
                        given.push(format!("{server}: {order:?}"));
                    }
                    leader.give(world, server, order, expects);
                }
                Command::Probe { server, .. } => match world.holding(&server) {
                    Some(holding) => leader.planner.handle_report(world.now, &server, &holding),
                    None => leader.planner.handle_silence(world.now, &server, false),
                },
            }
        }
    }
    given
}

/// Groups there are not published from the next look on, get no orders, and serve with the first look
/// after the drain.
#[test]
fn groups_of_a_drained_domain_stay_and_serve_again_at_once() {
    let (mut world, mut leader) = formed(FEW);
    run_for(&mut world, &mut leader, 30_000, true);
    let before = epochs(&world, &leader, DOMAINS[0]);
    assert!(!before.is_empty());
    drain(&mut leader, &DOMAINS[..1]);
    assert_eq!(epochs(&world, &leader, DOMAINS[0]), BTreeSet::new());
    let given = run_and_note(&mut world, &mut leader, DOMAINS[0], 60_000);
    assert_eq!(given, Vec::<String>::new());
    drain(&mut leader, &[]);
    run_for(&mut world, &mut leader, TICK_MS, true);
    assert_eq!(epochs(&world, &leader, DOMAINS[0]), before);
}

/// The only domain with groups of the small model is drained: another one forms some.
#[test]
fn what_is_wanted_moves_to_other_domains() {
    let (mut world, mut leader) = formed(FEW);
    run_for(&mut world, &mut leader, 30_000, true);
    drain(&mut leader, &DOMAINS[1..]);
    run_for(&mut world, &mut leader, 30_000, true);
    for model in ["large", "small"] {
        let served = serving(&world, &leader, model, DOMAINS[0]);
        assert!(served > 0, "no {model}: {:?}", leader.planner.describe_domains());
    }
    // Nothing is wanted where nothing may be formed.
    let lines = leader.planner.describe_domains();
    let drained = lines.iter().filter(|line| !line.starts_with(DOMAINS[0]));
    drained.for_each(|line| assert!(line.ends_with("wanted {}"), "{line}"));
}

/// A member dies there: its head is told to leave, its hosts join nothing before the drain ends, and then
/// form a group again.
#[test]
fn a_hurt_group_of_a_drained_domain_is_made_safe() {
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
    let given = run_and_note(&mut world, &mut leader, DOMAINS[0], 20_000);
    assert_eq!(given, Vec::<String>::new());
    assert!(!world.head_serves(group.epoch, &group.members));
    drain(&mut leader, &[]);
    run_for(&mut world, &mut leader, 10_000, true);
    let after = epochs(&world, &leader, DOMAINS[0]);
    assert_eq!(after.len(), before.len(), "{:?}", leader.planner.describe_domains());
    assert!(!after.contains(&group.epoch));
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// Every domain is drained: nothing serves, nothing breaks, and everything serves again.
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

/// The next leader takes over in a drain: it keeps the groups there, and they serve after it.
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

/// A drain comes while hosts still wait for their turn to load: they load nothing more, and hosts
/// elsewhere have the loads to themselves.
#[test]
fn a_group_that_is_being_formed_is_given_up() {
    let mut world = World::new(1, Broken::default());
    for _ in 0..FEW {
        DOMAINS.iter().for_each(|domain| world.add_host(domain));
    }
    let mut leader = Leader::take_over(&world, 1, vec![]);
    run_for(&mut world, &mut leader, 2_000, true);
    let waits = |domain: &str| {
        let here = world.hosts.values().filter(|host| host.server.domain == domain);
        here.filter(|host| host.last_model.is_none()).count()
    };
    assert!(waits(DOMAINS[0]) > 0, "some wait");
    drain(&mut leader, &DOMAINS[..1]);
    let given = run_and_note(&mut world, &mut leader, DOMAINS[0], 60_000);
    assert_eq!(given, Vec::<String>::new());
    assert!(serving_everywhere(&world, &leader, "large") > 0);
    drain(&mut leader, &[]);
    run_for(&mut world, &mut leader, 60_000, true);
    assert!(!epochs(&world, &leader, DOMAINS[0]).is_empty());
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}
