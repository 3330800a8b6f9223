//! Sound hosts that accept connections and answer nothing for a moment: their groups stay as they
//! are. Hosts that accept no connections, or stay silent, are replaced.

use std::collections::BTreeSet;

use oliveworks_gateway_core::backend_servers::{BackendServerId, MemberState};
use oliveworks_gateway_core::planner::{Command, Order, PlannerConfig, ProbeFailure, ServingGroup};
use rand::RngExt;
use test_case::test_case;

use crate::safety::seeds;
use crate::world::*;

/// Longest silence of a sound host, in ms.
const LONGEST_SILENCE_MS: u64 = 2_000;
/// Time between two reports of gateways that a group has stalled, in ms.
const SUSPECT_EVERY_MS: u64 = 100;
/// Time within which a group whose host stays silent is replaced, in ms.
const HUNG_REPAIR_MS: u64 = 4_000;
/// Number of hosts that fall silent at once, at most, in runs with random silences.
const SILENT_AT_ONCE_MAX: u32 = 8;
/// Default number of seeds of these runs.
const SILENCE_SEEDS: u64 = 6;
/// Age of the state that hosts report when their answer arrives, in ms.
const REPORT_LAG_MS: u64 = 200;
/// Number of probes of a host, in two seconds without an answer that is read in time: two to find it
/// lost, and one each 0.7 s from then on.
const PROBES_MAX: usize = 5;
/// Seeds of the runs that measure repairs.
const REPAIR_SEEDS: u64 = 8;

/// Hosts that fall silent.
#[derive(Clone, Copy, Debug)]
enum Silent {
    /// The head of a group.
    Head,
    /// Another member of a group.
    Member,
    /// The heads of all groups.
    AllHeads,
    /// All hosts of a domain.
    Domain,
    /// All hosts.
    All,
}

impl Silent {
    fn hosts(self, world: &World, leader: &Leader) -> Vec<BackendServerId> {
        let serving = leader.planner.serving(world.now);
        let all = world.hosts.iter();
        match self {
            Silent::Head => vec![serving[0].members[0].clone()],
            Silent::Member => vec![serving[0].members[1].clone()],
            Silent::AllHeads => serving.iter().map(|group| group.members[0].clone()).collect(),
            Silent::Domain => {
                let here = all.filter(|(_, host)| host.server.domain == DOMAINS[0]);
                here.map(|(id, _)| id.clone()).collect()
            }
            Silent::All => all.map(|(id, _)| id.clone()).collect(),
        }
    }
}

/// Returns a pool whose groups serve and whose spares hold their models.
fn serving_pool() -> (World, Leader) {
    let (mut world, mut leader) = formed(FEW);
    run_for(&mut world, &mut leader, 45_000, true);
    (world, leader)
}

fn silence(world: &mut World, hosts: &[BackendServerId], time_ms: u64) {
    let until = world.now + time_ms;
    for id in hosts {
        world.hosts.get_mut(id).expect("a host").unresponsive_until = until;
    }
}

/// Continues the run while gateways report the groups of the hosts as stalled.
fn run_suspected(world: &mut World, leader: &mut Leader, hosts: &[BackendServerId], time_ms: u64) {
    let until = world.now + time_ms;
    while world.now < until {
        for id in hosts {
            suspect(world, std::slice::from_mut(leader), id);
        }
        run_for(world, leader, SUSPECT_EVERY_MS, true);
    }
}

/// State of the pool that a silence must not change.
#[derive(Debug, PartialEq)]
struct Groups {
    serving: Vec<(u64, Vec<BackendServerId>)>,
    /// Heads that serve according to their own state.
    open: BTreeSet<BackendServerId>,
    loads: usize,
}

fn groups(world: &World, leader: &Leader) -> Groups {
    let serving = leader.planner.serving(world.now);
    let is_open = |group: &&ServingGroup| {
        let member = world.hosts[&group.members[0]].group.as_ref();
        member.is_some_and(|(member, ..)| {
            member.epoch == group.epoch && member.state == MemberState::Open
        })
    };
    Groups {
        open: serving.iter().filter(is_open).map(|group| group.members[0].clone()).collect(),
        serving: serving.into_iter().map(|group| (group.epoch, group.members)).collect(),
        loads: world.loads.len(),
    }
}

/// Guards against taking a group apart because a sound host of it answered nothing for a moment.
#[test_case(Silent::Head, 500; "a head for half a second")]
#[test_case(Silent::Head, 1_200; "a head")]
#[test_case(Silent::Head, LONGEST_SILENCE_MS; "a head for two seconds")]
#[test_case(Silent::Member, 1_200; "a member")]
#[test_case(Silent::AllHeads, 1_200; "all heads")]
#[test_case(Silent::Domain, 1_200; "a domain")]
#[test_case(Silent::All, LONGEST_SILENCE_MS; "all hosts for two seconds")]
fn groups_outlast_the_silence_of_sound_hosts(silent: Silent, time_ms: u64) {
    let (mut world, mut leader) = serving_pool();
    let hosts = silent.hosts(&world, &leader);
    let before = groups(&world, &leader);
    silence(&mut world, &hosts, time_ms);
    run_suspected(&mut world, &mut leader, &hosts, time_ms);
    run_for(&mut world, &mut leader, 10_000, true);
    assert_eq!(groups(&world, &leader), before);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a new leader that takes groups apart because their hosts do not answer its first
/// probe.
#[test_case(Silent::Head, 1_200; "a head")]
#[test_case(Silent::Member, 1_200; "a member")]
#[test_case(Silent::All, LONGEST_SILENCE_MS; "all hosts for two seconds")]
fn groups_outlast_a_silence_while_the_leader_changes(silent: Silent, time_ms: u64) {
    const HANDOVER_AFTER_MS: u64 = 400;
    let (mut world, mut leader) = serving_pool();
    let hosts = silent.hosts(&world, &leader);
    let before = groups(&world, &leader);
    silence(&mut world, &hosts, time_ms);
    run_suspected(&mut world, &mut leader, &hosts, HANDOVER_AFTER_MS);
    let mut next = Leader::take_over(&world, 2, leader.planner.ended().collect());
    run_suspected(&mut world, &mut next, &hosts, time_ms - HANDOVER_AFTER_MS);
    run_for(&mut world, &mut next, 10_000, true);
    assert_eq!(groups(&world, &next), before);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Random silences of several hosts at once, while leaders change: no group ends and no host loads
/// a model.
#[test]
fn groups_outlast_random_silences_and_changes_of_leader() {
    for seed in 0..seeds(SILENCE_SEEDS) {
        let mut world = World::new(seed, HostFaults::default());
        world.report_lag_ms = REPORT_LAG_MS;
        world.engine.report_lag_ms = REPORT_LAG_MS;
        let (mut world, mut leader) = formed_of(world, FEW, PlannerConfig::default());
        run_for(&mut world, &mut leader, 45_000, true);
        let before = groups(&world, &leader);
        let mut fence = 1;
        let until = world.now + 30_000;
        while world.now < until {
            let silent = silence_random_hosts(&mut world);
            let time_ms = world.rng.random_range(0..1_500);
            run_suspected(&mut world, &mut leader, &silent, time_ms);
            if world.rng.random_bool(0.3) {
                fence += 1;
                leader = Leader::take_over(&world, fence, leader.planner.ended().collect());
            }
        }
        run_for(&mut world, &mut leader, 10_000, true);
        assert_eq!(groups(&world, &leader), before, "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Makes hosts silent, and returns them. Each answers for a while between two of its silences.
fn silence_random_hosts(world: &mut World) -> Vec<BackendServerId> {
    const ANSWERS_MS: u64 = 1_000;
    let mut silent = Vec::new();
    for _ in 0..world.rng.random_range(1..=SILENT_AT_ONCE_MAX) {
        let Some(id) = world.random_host() else { continue };
        if world.now < world.hosts[&id].unresponsive_until + ANSWERS_MS {
            continue;
        }
        let time_ms = world.rng.random_range(500..=LONGEST_SILENCE_MS);
        silence(world, std::slice::from_ref(&id), time_ms);
        silent.push(id);
    }
    silent
}

/// A host that stays silent holds its group for a limited time.
#[test_case(Silent::Head; "a head")]
#[test_case(Silent::Member; "a member")]
fn a_host_that_stays_silent_is_replaced(silent: Silent) {
    let (mut world, mut leader) = serving_pool();
    let hosts = silent.hosts(&world, &leader);
    let before = leader.planner.serving(world.now).len();
    silence(&mut world, &hosts, 60_000);
    run_suspected(&mut world, &mut leader, &hosts, HUNG_REPAIR_MS);
    let serving = leader.planner.serving(world.now);
    assert_eq!(serving.len(), before);
    assert!(!serving.iter().any(|group| group.members.contains(&hosts[0])), "{serving:?}");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Returns the members that the leader orders to join groups within a time.
fn joining_hosts(
    world: &mut World,
    leader: &mut Leader,
    time_ms: u64,
) -> BTreeSet<BackendServerId> {
    let mut joining = BTreeSet::new();
    let until = world.now + time_ms;
    while world.now < until {
        world.step();
        for command in leader.planner.tick(world.now) {
            match command {
                Command::Order { server, order, expects, .. } => {
                    if let Order::Join { members, .. } = &order {
                        joining.extend(members.iter().cloned());
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
    joining
}

/// A host that is silent at the moment is not chosen for a new group.
#[test]
fn new_groups_are_formed_without_silent_hosts() {
    let (mut world, mut leader) = serving_pool();
    let serving: Vec<BackendServerId> =
        leader.planner.serving(world.now).into_iter().flat_map(|group| group.members).collect();
    let spares: Vec<BackendServerId> =
        world.hosts.keys().filter(|id| !serving.contains(id)).cloned().collect();
    assert!(!spares.is_empty(), "the pool has spares");
    silence(&mut world, &spares, LONGEST_SILENCE_MS);
    run_suspected(&mut world, &mut leader, &spares, SUSPECT_EVERY_MS);
    for domain in DOMAINS {
        kill_member(&mut world, &mut leader, "large", domain);
    }
    let joining = joining_hosts(&mut world, &mut leader, 1_000);
    assert!(spares.iter().all(|id| !joining.contains(id)), "{joining:?}");
    run_for(&mut world, &mut leader, LONGEST_SILENCE_MS + HOT_REPAIR_MS, true);
    assert_eq!(serving_everywhere(&world, &leader, "large"), DOMAINS.len());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Returns the time in which the leader replaces the group of a random member that accepts no
/// connections any more, because it crashed or is cut off.
fn repair_time(seed: u64, crashes: bool) -> u64 {
    let (mut world, mut leader) = serving_pool();
    let mut rng = <rand_chacha::ChaCha8Rng as rand::SeedableRng>::seed_from_u64(seed);
    run_for(&mut world, &mut leader, rng.random_range(0..50) * TICK_MS, true);
    let serving = leader.planner.serving(world.now);
    let group = &serving[rng.random_range(0..serving.len())];
    let lost = group.members[rng.random_range(0..group.members.len())].clone();
    let host = world.hosts.get_mut(&lost).expect("a host");
    match crashes {
        true => host.alive = false,
        false => host.silent_until = u64::MAX,
    }
    suspect(&world, std::slice::from_mut(&mut leader), &lost);
    let (from, epoch) = (world.now, group.epoch);
    let replaced = |world: &World, leader: &Leader| {
        let now = leader.planner.serving(world.now);
        now.len() == serving.len() && now.iter().all(|group| group.epoch != epoch)
    };
    while !replaced(&world, &leader) && world.now < from + 20_000 {
        run_for(&mut world, &mut leader, TICK_MS, true);
    }
    world.now - from
}

/// A host that accepts no connections is replaced without waiting.
#[test_case(true; "crashed")]
#[test_case(false; "cut off")]
fn unreachable_hosts_are_replaced_at_once(crashes: bool) {
    let times: Vec<u64> = (0..REPAIR_SEEDS).map(|seed| repair_time(seed, crashes)).collect();
    println!("repaired after {times:?} ms");
    assert!(times.iter().all(|time_ms| *time_ms <= HOT_REPAIR_MS), "{times:?}");
}

/// Returns how often hosts are probed while none of their answers is read in time.
fn probes_without_answers(
    world: &mut World,
    leader: &mut Leader,
    hosts: &BTreeSet<BackendServerId>,
    time_ms: u64,
) -> usize {
    let until = world.now + time_ms;
    let mut probes = 0;
    while world.now < until {
        world.step();
        for command in leader.planner.tick(world.now) {
            match command {
                Command::Order { server, order, expects, .. } => {
                    leader.send_order(world, server, order, expects);
                }
                Command::Probe { server, .. } if hosts.contains(&server) => {
                    probes += 1;
                    let failure = ProbeFailure::Unanswered;
                    leader.planner.handle_probe_failure(world.now, &server, failure);
                }
                Command::Probe { server, .. } => {
                    if let Some(holding) = world.holding(&server) {
                        leader.planner.handle_report(world.now, &server, &holding);
                    }
                }
            }
        }
    }
    probes
}

/// Guards against probing most hosts of a large pool again and again because the leader is too slow
/// to read their answers in time: the probes made it slower still, and no groups were formed.
#[test]
fn hosts_without_a_group_in_service_are_probed_rarely_while_answers_are_late() {
    let (mut world, mut leader) = serving_pool();
    let serving = leader.planner.serving(world.now);
    let in_service: BTreeSet<_> = serving.into_iter().flat_map(|group| group.members).collect();
    let all = world.hosts.keys().cloned().collect::<BTreeSet<_>>();
    let others: BTreeSet<_> = all.difference(&in_service).cloned().collect();
    assert!(!others.is_empty());
    leader.planner.request_reports();
    let probes = probes_without_answers(&mut world, &mut leader, &others, LONGEST_SILENCE_MS);
    assert!(probes <= PROBES_MAX * others.len(), "{probes} probes of {} hosts", others.len());
}
