//! Proof runs: drive the shipped decision code through a random schedule of faults and check its
//! invariants from outside the processes.
//!
//! A proof run does not model the performance of a cluster: it has no costs and makes no forecasts.
//! It runs the same [`Agent`](oliveworks_core::agent::Agent),
//! [`Relay`](oliveworks_core::relay::Relay), [`Decider`](oliveworks_core::decider::Decider) and
//! [`Feed`](oliveworks_core::feed::Feed) as the processes do, and passes messages, times and faults
//! to them in an order drawn from a seed.

mod agents;
mod check;
mod entries;
pub mod faults;
mod net;
pub mod outage;
mod reading;
mod world;

use std::collections::BTreeMap;

pub use self::check::Breach;
use self::faults::Fault;
use self::world::World;

/// Deliberate defect. A run with a defect shows that the invariant checks detect it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Broken {
    /// No defect: the shipped behaviour.
    #[default]
    None,
    /// Agents send pieces of answers to the entry without checking that the group's view is still
    /// complete (the check of `Agent::may_pass`).
    PassesUnchecked,
    /// A restarted agent gives a promise (grants a lease) at once, without a quiet period.
    NoQuiet,
    /// An entry accepts pieces of any attempt.
    MixesTries,
    /// An agent answers a revocation with "not run" without recording the revocation.
    RevokesBlindly,
    /// A request that may not be repeated is retried like any other.
    RepeatsAll,
    /// Members do not report in their lease grants that they are leaving.
    HidesLeaving,
    /// A draining group is reported as drained, and so freed, before it is idle.
    FreesEarly,
    /// A process adopts any snapshot, also one that is older than its configuration.
    AdoptsOlder,
    /// An entry reports its configuration as current, regardless of when that was last proved.
    ClaimsCurrent,
    /// An agent treats its configuration as proved before it was, also after a restart, and so
    /// assumes that its keys had no home before.
    ClaimsHome,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Seed of the run.
    pub seed: u64,
    /// Number of events processed.
    pub steps: u64,
    /// Simulated time, in seconds.
    pub seconds: u64,
    /// Breaches found before the run stopped.
    pub breaches: Vec<Breach>,
    /// Digest of the times and kinds of all events.
    pub digest: u64,
    /// Number of occurrences of each fault.
    pub counts: BTreeMap<Fault, u64>,
    /// Number of times that each pair of faults overlapped.
    pub pairs: BTreeMap<(Fault, Fault), u64>,
    /// Numbers of requests that were answered completely, that were refused as not run, whose
    /// outcome is unknown to the caller, and that were cut off by the end of their group.
    pub requests: [u64; 4],
    /// Number of records in the log.
    pub records: u64,
}

/// Number of breaches after which a run stops.
const MAX_BREACHES: usize = 5;

/// Runs `steps` steps. Stops earlier if the run has found `MAX_BREACHES` breaches.
pub fn run(seed: u64, steps: u64, broken: Broken, calm: bool) -> Outcome {
    let mut world = World::new(seed, broken, calm);
    while world.check.step < steps && world.check.breaches.len() < MAX_BREACHES {
        if !world.step() {
            break;
        }
    }
    let check = &world.check;
    Outcome {
        seed,
        steps: check.step,
        seconds: world.now / 1000,
        breaches: check.breaches.clone(),
        digest: world.digest,
        counts: world.faults.counts.clone(),
        pairs: world.faults.pairs.clone(),
        requests: [check.answered, check.refused_not_run, check.unknown, check.cut],
        records: world.log.next().0,
    }
}
