//! Tests of single repairs, and of the groups and spares of a pool before traffic.

use std::collections::BTreeSet;

use oliveworks_gateway_core::backend_servers::BackendServerId;
use oliveworks_gateway_core::planner::PlannerConfig;
use test_case::test_case;

use crate::world::*;

/// Before traffic every domain gets groups of both models, and spares that can serve either model.
#[test]
fn the_first_start_gives_each_domain_groups_and_spares() {
    let mut world = World::new(1, HostFaults::default());
    for _ in 0..10 {
        DOMAINS.iter().for_each(|domain| world.add_host(domain));
    }
    let mut leader = Leader::take_over(&world, 1, vec![]);
    run_for(&mut world, &mut leader, 90_000, false);
    for domain in DOMAINS {
        let group_count = |model: &str| {
            let serving = leader.planner.serving(world.now);
            let here = serving.iter().filter(|group| {
                group.model == model && world.hosts[&group.members[0]].server.domain == domain
            });
            here.count()
        };
        assert_eq!((group_count("large"), group_count("small")), (1, 2), "{domain}");
        let hosts = world.hosts.values().filter(|host| host.server.domain == domain);
        let flexible = hosts.filter(|host| {
            host.last_model.as_deref() == Some("small") && host.staging == ["large"]
        });
        assert!(flexible.count() >= 2, "{domain}: spares stage the larger model");
    }
}

/// In domains that are hardly larger than one group, every model still has a group: the last hosts
/// do not become spares.
#[test_case(4; "domains of one large group")]
#[test_case(5; "one host beside it")]
#[test_case(6; "two hosts beside it")]
fn every_model_is_served_in_small_domains(hosts: usize) {
    let (world, leader) = formed(hosts);
    for model in ["large", "small"] {
        let group_count: usize =
            DOMAINS.iter().map(|domain| serving(&world, &leader, model, domain)).sum();
        assert!(group_count >= 1, "no {model} group: {:?}", leader.planner.describe_domains());
    }
}

/// One domain is listed before the others, and its group serves. Its hosts stage nothing while
/// hosts of other domains have no model yet, because those hosts need the loads more.
#[test]
fn nothing_is_staged_while_hosts_wait_for_their_first_model() {
    let mut world = World::new(1, HostFaults::default());
    (0..4).for_each(|_| world.add_host(DOMAINS[0]));
    DOMAINS[1..].iter().for_each(|domain| (0..3).for_each(|_| world.add_host(domain)));
    let config = PlannerConfig { settle_ms: 60_000, ..PlannerConfig::default() };
    let mut leader = Leader::with_config(&world, 1, vec![], config);
    run_for(&mut world, &mut leader, 22_000, false);
    assert_eq!(serving(&world, &leader, "large", DOMAINS[0]), 1);
    let waiting = world.hosts.values().filter(|host| host.last_model.is_none()).count();
    let staging_hosts = world.hosts.values().filter(|host| host.staged_at.is_some()).count();
    assert_eq!((waiting, staging_hosts), (6, 0), "{:?}", leader.planner.describe_domains());
}

/// A domain lacks a group of the small model, and two of its hosts hold the large model without a
/// use for it. Both hosts load the small model while they remain spares.
#[test]
fn idle_hosts_load_what_their_domain_lacks() {
    let (mut world, mut leader) = formed(FEW);
    let domain = DOMAINS[0];
    let serving_hosts: Vec<BackendServerId> =
        leader.planner.serving(world.now).into_iter().flat_map(|group| group.members).collect();
    let here = world.hosts.values_mut().filter(|host| host.server.domain == domain);
    for host in here {
        let small = host.last_model.as_deref() == Some("small");
        host.alive = !small;
        host.staging = host.last_model.iter().cloned().collect();
        host.staged_at = None;
        // The other hosts serve, or hold only the large model.
        host.alive |= small && serving_hosts[..2].contains(&host.server.id);
    }
    let rest = world.hosts.values_mut().filter(|host| host.server.domain != domain);
    for host in rest {
        host.staging = host.last_model.iter().cloned().collect();
        host.staged_at = None;
    }
    for _ in 0..2 {
        world.add_host(domain);
        let id = format!("h{}", world.next_host);
        let host = world.hosts.get_mut(id.as_str()).expect("a host");
        host.last_model = Some("large".into());
        host.staging = vec!["large".into()];
    }
    run_for(&mut world, &mut leader, 3_000, true);
    let hosts_with_small = |world: &World| {
        let here = world.hosts.values().filter(|host| host.alive && host.server.domain == domain);
        here.filter(|host| host.staging == ["small"] || host.last_model.as_deref() == Some("small"))
            .count()
    };
    let before = hosts_with_small(&world);
    run_for(&mut world, &mut leader, 14_000, true);
    let descriptions = leader.planner.describe_domains();
    assert!(
        hosts_with_small(&world) >= before + 2,
        "{before} to {}: {descriptions:?}",
        hosts_with_small(&world)
    );
    assert!(serving(&world, &leader, "small", domain) >= 1, "{descriptions:?}");
}

/// A domain of two hosts is too small for a large group, and for spares in addition to a small
/// group. Both hosts serve the small model.
#[test]
fn a_domain_of_one_small_group_serves() {
    let mut world = World::new(1, HostFaults::default());
    for _ in 0..FEW {
        DOMAINS.iter().for_each(|domain| world.add_host(domain));
    }
    (0..2).for_each(|_| world.add_host("tiny"));
    let mut leader = Leader::take_over(&world, 1, vec![]);
    run_for(&mut world, &mut leader, 90_000, false);
    let descriptions = leader.planner.describe_domains();
    assert_eq!(serving(&world, &leader, "small", "tiny"), 1, "{descriptions:?}");
}

/// In a domain with many small groups, spares hold the large model and are not used for small
/// groups: two consecutive losses of large groups are each repaired within the time of an order.
#[test]
fn spares_are_kept_for_the_large_model() {
    let (mut world, mut leader) = formed(MANY);
    let domain = DOMAINS[0];
    let before = serving(&world, &leader, "large", domain);
    kill_member(&mut world, &mut leader, "small", domain);
    run_for(&mut world, &mut leader, 5_000, true);
    for _ in 0..2 {
        kill_member(&mut world, &mut leader, "large", domain);
        run_for(&mut world, &mut leader, HOT_REPAIR_MS, true);
        let descriptions = leader.planner.describe_domains();
        assert_eq!(serving(&world, &leader, "large", domain), before, "{descriptions:?}");
    }
}

/// In a domain with few groups, one spare holds the large model and one the small model. The first
/// loss of either model is repaired within the time of an order. The next loss is repaired by a
/// spare that has the model staged. A small group is repaired this way once the load of the small
/// model is high.
#[test_case("large"; "large")]
#[test_case("small"; "small")]
fn either_model_is_repaired_at_once_where_groups_are_few(model: &str) {
    let (mut world, mut leader) = formed(FEW);
    let domain = DOMAINS[0];
    let before = serving(&world, &leader, model, domain);
    for within_ms in [HOT_REPAIR_MS, STAGED_REPAIR_MS] {
        kill_member(&mut world, &mut leader, model, domain);
        run_for(&mut world, &mut leader, within_ms, true);
        (0..60).for_each(|_| leader.set_load(&world, "small", load(0.9, 0.0)));
        let descriptions = leader.planner.describe_domains();
        assert_eq!(serving(&world, &leader, model, domain), before, "{descriptions:?}");
    }
}

/// No large group serves in any domain, and the only domain that could form one lacks a host. A
/// small group is preempted, although the domain then has fewer small groups than its quota. A new
/// host would load for 16 s.
#[test]
fn a_small_group_ends_for_a_model_without_any() {
    let (mut world, mut leader) = formed(FEW);
    for host in world.hosts.values_mut().filter(|host| host.server.domain != DOMAINS[0]) {
        host.alive = host.last_model.as_deref() == Some("small");
        host.staging = vec!["small".into()];
        host.staged_at = None;
    }
    kill_spares(&mut world, &leader, DOMAINS[0]);
    run_for(&mut world, &mut leader, 3_000, true);
    kill_member(&mut world, &mut leader, "small", DOMAINS[0]);
    run_for(&mut world, &mut leader, STAGED_REPAIR_MS, true);
    kill_spares(&mut world, &leader, DOMAINS[0]);
    world.add_host(DOMAINS[0]);
    run_for(&mut world, &mut leader, 1_000, true);
    kill_member(&mut world, &mut leader, "large", DOMAINS[0]);
    run_for(&mut world, &mut leader, 6_000, true);
    let large = serving(&world, &leader, "large", DOMAINS[0]);
    assert_eq!(large, 1, "{:?}", leader.planner.describe_domains());
}

/// Three hosts wait for a fourth host to form a large group. While the load of the small model is
/// high, two of the three hosts serve the small model, and return once the fourth host is listed.
#[test_case(0.9, 3; "crowded")]
#[test_case(0.4, 2; "not crowded")]
fn hosts_that_wait_serve_a_crowded_model(open: f64, expected: usize) {
    let (mut world, mut leader) = formed(FEW);
    let domain = DOMAINS[0];
    kill_spares(&mut world, &leader, domain);
    for host in world.hosts.values_mut().filter(|host| host.server.domain == domain) {
        host.staging = vec!["small".into()];
        host.staged_at = None;
    }
    run_for(&mut world, &mut leader, 3_000, true);
    for _ in 0..60 {
        leader.set_load(&world, "small", load(open, 0.0));
    }
    kill_member(&mut world, &mut leader, "large", domain);
    run_for(&mut world, &mut leader, STAGED_REPAIR_MS, true);
    let descriptions = leader.planner.describe_domains();
    assert_eq!(serving(&world, &leader, "small", domain), expected, "{descriptions:?}");
    world.add_host(domain);
    run_for(&mut world, &mut leader, 25_000, true);
    let descriptions = leader.planner.describe_domains();
    assert_eq!(serving(&world, &leader, "large", domain), 1, "{descriptions:?}");
}

/// Without a spare, a small group whose hosts have the large model staged is preempted for one of
/// its hosts. The remaining host forms a small group with a host whose own group had ended.
#[test]
fn a_small_group_is_preempted_for_a_host_and_reformed() {
    let (mut world, mut leader) = formed(FEW);
    let domain = DOMAINS[0];
    for _ in 0..2 {
        kill_member(&mut world, &mut leader, "large", domain);
        run_for(&mut world, &mut leader, STAGED_REPAIR_MS, true);
    }
    kill_member(&mut world, &mut leader, "small", domain);
    run_for(&mut world, &mut leader, STAGED_REPAIR_MS, true);
    // The remaining hosts do not keep the large model, so that they cannot complete a large group
    // by themselves.
    for host in world.hosts.values_mut().filter(|host| host.server.domain == domain) {
        if host.last_model.as_deref() == Some("small") && host.group.is_none() {
            host.staging = vec!["small".into()];
        }
    }
    run_for(&mut world, &mut leader, STAGED_REPAIR_MS, true);
    kill_member(&mut world, &mut leader, "large", domain);
    run_for(&mut world, &mut leader, 6_000, true);
    let group_count = |model| serving(&world, &leader, model, domain);
    assert_eq!((group_count("large"), group_count("small")), (1, 1));
}

/// A slow member of a group is replaced by a spare, and its host is eligible again once its pace is
/// normal.
#[test]
fn a_slow_member_is_replaced() {
    let (mut world, mut leader) = formed(FEW);
    let domain = DOMAINS[0];
    let group = |leader: &Leader, now| {
        let serving = leader.planner.serving(now);
        serving.into_iter().find(|group| group.model == "large").expect("a large group")
    };
    let before = group(&leader, world.now);
    let slow = before.members[1].clone();
    world.hosts.get_mut(&slow).expect("a host").pace = 5.0;
    leader.planner.probe_slow_group(world.now, before.epoch);
    run_for(&mut world, &mut leader, STAGED_REPAIR_MS, true);
    let slow_domain = world.hosts[&slow].server.domain.clone();
    assert_eq!(serving(&world, &leader, "large", &slow_domain), 1, "{domain}");
    assert!(!leader.planner.serving(world.now).iter().any(|g| g.members.contains(&slow)));
    let descriptions = leader.planner.describe_domains();
    assert!(descriptions.iter().any(|line| line.contains("slow")), "{descriptions:?}");
    world.hosts.get_mut(&slow).expect("a host").pace = 1.0;
    run_for(&mut world, &mut leader, 3_000, true);
    let descriptions = leader.planner.describe_domains();
    assert!(!descriptions.iter().any(|line| line.contains("slow")), "{descriptions:?}");
}

/// Where most hosts are slow, groups serve slowly instead of not at all.
#[test]
fn groups_serve_slowly_where_most_hosts_are_slow() {
    let (mut world, mut leader) = formed(FEW);
    world.hosts.values_mut().for_each(|host| host.pace = 5.0);
    for _ in 0..10 {
        let epochs: Vec<u64> =
            leader.planner.serving(world.now).iter().map(|group| group.epoch).collect();
        epochs.iter().for_each(|epoch| leader.planner.probe_slow_group(world.now, *epoch));
        run_for(&mut world, &mut leader, 2_000, true);
    }
    assert!(leader.planner.serving(world.now).len() >= 5, "{:?}", leader.planner.describe());
}

/// Without a replacement, a group with a slow member continues to serve and reports its pace.
#[test]
fn a_slow_group_serves_on_without_spares() {
    let (mut world, mut leader) = formed(FEW);
    let domain = DOMAINS[0];
    let hosts: Vec<BackendServerId> = world.hosts.keys().cloned().collect();
    let serving_hosts: Vec<BackendServerId> =
        leader.planner.serving(world.now).into_iter().flat_map(|group| group.members).collect();
    for id in hosts.iter().filter(|id| !serving_hosts.contains(id)) {
        world.hosts.get_mut(id).expect("a spare").alive = false;
    }
    run_for(&mut world, &mut leader, 3_000, true);
    let large = |group: &oliveworks_gateway_core::planner::ServingGroup| group.model == "large";
    let group = leader.planner.serving(world.now).into_iter().find(large).expect("a large group");
    world.hosts.get_mut(&group.members[1]).expect("a host").pace = 5.0;
    leader.planner.probe_slow_group(world.now, group.epoch);
    run_for(&mut world, &mut leader, 500, true);
    let after = leader.planner.serving(world.now);
    let same = after
        .iter()
        .find(|other| other.epoch == group.epoch)
        .expect("the group continues to serve");
    assert!((same.pace - 5.0).abs() < f64::EPSILON, "{domain}: {}", same.pace);
}

/// A new leader adopts the largest numbers of hosts of the domains from the previous leader. The
/// hosts that remain after losses serve, and are not retained as spares.
#[test]
fn spares_shrink_with_losses_under_a_new_leader_too() {
    let (mut world, mut leader) = formed(FEW);
    let domain = DOMAINS[0];
    for _ in 0..2 {
        kill_member(&mut world, &mut leader, "small", domain);
        run_for(&mut world, &mut leader, 3_000, true);
    }
    let before = serving(&world, &leader, "small", domain);
    let mut next = Leader::take_over(&world, 2, leader.planner.ended().collect());
    next.planner.adopt_most_hosts(leader.planner.most_hosts());
    run_for(&mut world, &mut next, 3_000, true);
    let descriptions = next.planner.describe_domains();
    let line = descriptions.iter().find(|line| line.starts_with(domain)).expect("a line");
    assert!(line.ends_with(r#"wanted {"large": 1, "small": 2}"#), "{line}, before: {before}");
}

/// While the hosts of one domain are still being listed, the hosts of another domain wait for the
/// groups that they should form, and do not become spares.
#[test]
fn hosts_wait_for_a_domain_that_is_listed_late() {
    let mut world = World::new(1, HostFaults::default());
    for _ in 0..2 * MANY {
        DOMAINS[..2].iter().for_each(|domain| world.add_host(domain));
    }
    let mut leader = Leader::take_over(&world, 1, vec![]);
    for _ in 0..MANY {
        world.add_host(DOMAINS[2]);
        leader.read_list(&world);
        run_for(&mut world, &mut leader, 1_000, false);
    }
    run_for(&mut world, &mut leader, 90_000, false);
    let small = serving(&world, &leader, "small", DOMAINS[0]);
    assert!(small >= 6, "{small} small groups, {:?}", leader.planner.describe_domains());
}

/// The hosts of a domain fail one after the other. No group of another domain is preempted because
/// of quotas that are computed halfway through the outage.
#[test]
fn groups_elsewhere_serve_on_while_a_domain_fails() {
    let (mut world, mut leader) = formed(MANY);
    let lost_hosts: Vec<BackendServerId> = world
        .hosts
        .values()
        .filter(|host| host.server.domain == DOMAINS[0])
        .map(|host| host.server.id.clone())
        .collect();
    let other_epochs = |world: &World, leader: &Leader| -> BTreeSet<u64> {
        let serving = leader.planner.serving(world.now).into_iter();
        let others =
            serving.filter(|group| world.hosts[&group.members[0]].server.domain != DOMAINS[0]);
        others.map(|group| group.epoch).collect()
    };
    let before = other_epochs(&world, &leader);
    for id in lost_hosts {
        world.hosts.get_mut(&id).expect("a host").alive = false;
        suspect(&world, std::slice::from_mut(&mut leader), &id);
        run_for(&mut world, &mut leader, 60, true);
        let after = other_epochs(&world, &leader);
        assert!(before.is_subset(&after), "{:?}", leader.planner.describe_domains());
    }
}

/// The steps of a repair follow each other without a pause: in addition to the time to join and the
/// time to form, the loss is observed, reported and repaired within five ticks of the planner.
#[test]
fn a_repair_takes_all_steps_that_it_can_at_once() {
    let (mut world, mut leader) = formed(FEW);
    let domain = DOMAINS[0];
    kill_member(&mut world, &mut leader, "large", domain);
    let lost_at = world.now;
    run_for(&mut world, &mut leader, TICK_MS, true);
    while serving(&world, &leader, "large", domain) == 0 {
        run_for(&mut world, &mut leader, TICK_MS, true);
        assert!(world.now < lost_at + STAGED_REPAIR_MS, "{:?}", leader.planner.describe());
    }
    let tick_count = (world.now - lost_at - HOT_JOIN_MS - FORM_MS) / TICK_MS;
    assert!(tick_count <= 5, "{tick_count} ticks");
}
