//! Outage run: the log is down for an hour, and a member of a group dies every five minutes.

use std::collections::BTreeMap;

use oliveworks_core::id::HostId;
use rand::RngExt;

use super::Broken;
use super::net::{Event, Node};
use super::world::World;

/// State of the run at one time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time since the log went down, in minutes.
    pub minute: u64,
    /// Number of serving groups by template.
    pub serving: BTreeMap<String, usize>,
    /// Number of hosts killed so far.
    pub killed: usize,
    /// Numbers of requests so far that were answered completely, that were refused as not run, and
    /// whose outcome is unknown to the caller.
    pub requests: [u64; 3],
}

/// Time before the log goes down, in milliseconds.
const WARM_UP_MS: u64 = 60_000;
/// Duration of the log's outage, in milliseconds.
const OUTAGE_MS: u64 = 3_600_000;
/// Time between two kills of a host, in milliseconds.
const KILL_INTERVAL_MS: u64 = 300_000;
/// Time after which a killed host returns, in milliseconds.
const HOST_DOWN_MS: u64 = 900_000;
/// Time from the end of the outage to the last sample, in milliseconds.
const RECOVERY_MS: u64 = 300_000;
/// Time between two samples during the outage, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 600_000;

/// Runs the outage and returns the samples.
///
/// # Panics
/// If an invariant is breached.
pub fn run(seed: u64) -> Vec<Sample> {
    let mut world = World::new(seed, Broken::None, false);
    world.faults.disabled = true;
    let outage_start = world.now + WARM_UP_MS;
    run_until(&mut world, outage_start);
    world.log.down = true;
    let mut samples = Vec::new();
    let mut killed = 0;
    let mut next_kill = outage_start + KILL_INTERVAL_MS;
    let mut next_sample = outage_start;
    while next_sample <= outage_start + OUTAGE_MS + RECOVERY_MS {
        let stop = next_sample.min(next_kill);
        run_until(&mut world, stop);
        if stop >= outage_start + OUTAGE_MS {
            world.log.down = false;
        }
        if stop == next_kill {
            next_kill += KILL_INTERVAL_MS;
            if world.log.down {
                killed += usize::from(kill_member(&mut world));
            }
        }
        if stop == next_sample {
            samples.push(sample(&world, (stop - outage_start) / 60_000, killed));
            next_sample +=
                if stop >= outage_start + OUTAGE_MS { RECOVERY_MS } else { SAMPLE_INTERVAL_MS };
        }
    }
    assert!(world.check.breaches.is_empty(), "{:?}", world.check.breaches);
    samples
}

fn run_until(world: &mut World, time: u64) {
    while world.now < time && world.step() {}
}

/// Kills a random member of a serving group. The host returns later with an empty state. Returns
/// `false` if no group serves.
fn kill_member(world: &mut World) -> bool {
    let serving_agents =
        world.agents.iter().filter(|(h, a)| a.agent.is_serving(world.clock(Node::Agent(**h))));
    let members: Vec<HostId> = serving_agents.flat_map(|(_, a)| a.agent.view_members()).collect();
    if members.is_empty() {
        return false;
    }
    let host = members[world.rng.random_range(0..members.len())];
    world.kill_host(host);
    world.queue.push(world.now + HOST_DOWN_MS, Event::Restart(Node::Agent(host)));
    true
}

fn sample(world: &World, minute: u64, killed: usize) -> Sample {
    let mut serving: BTreeMap<String, usize> = BTreeMap::new();
    for (host, proc) in &world.agents {
        if !proc.agent.is_serving(world.clock(Node::Agent(*host))) {
            continue;
        }
        if let Some(assigned) = proc.agent.assigned() {
            *serving.entry(assigned.slot.template.name.to_string()).or_default() += 1;
        }
    }
    let check = &world.check;
    let requests = [check.answered, check.refused_not_run, check.unknown];
    Sample { minute, serving, killed, requests }
}
