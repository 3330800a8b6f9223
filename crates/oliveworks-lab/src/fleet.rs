//! Simulation of how news of the platform's store reach the gateways of a whole fleet: how many
//! calls that takes, how old proofs become, and how long news are on their way.
//!
//! The gateways run the shipped decisions of `oliveworks-gateway-core`: discovery, choice of the
//! source, terms of calls to the store, reports of departures. Store, links and time are simulated.
//! Hosts, requests and elections are not.

mod gateway;
mod world;

use std::fmt;

use clap::ValueEnum;

use world::World;

/// Time between the start of the gateways and the first observation in calm, in ms.
pub(crate) const CALM_FROM_MS: u64 = 6_000;
/// Time of the fault, in ms after the start.
pub(crate) const FAULT_AT_MS: u64 = 20_000;
/// Duration of a silence of the store, in ms.
pub(crate) const SILENT_MS: u64 = 4_000;
/// Duration of a run, in ms.
pub(crate) const RUN_MS: u64 = 32_000;

/// Fault of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// The store answers nobody for 4 s.
    SilentStore,
    /// All gateways are killed and start again.
    AllRestarted,
}

/// Mechanism that a run does without, to show what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Without {
    /// The shipped decisions.
    Nothing,
    /// Gateways learn of each other by the names in heartbeats only.
    Introductions,
    /// Calls to the store are held and waited for whatever is known of the store.
    CallTerms,
    /// Readers learn of departures by their own reads only.
    Departures,
}

/// A run.
#[derive(Clone, Copy, Debug)]
pub struct FleetConfig {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of failure domains, which have equal numbers of gateways.
    pub domains: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Fault of the run.
    pub fault: Fault,
    /// Mechanism that the run does without.
    pub without: Without,
}

/// Observations of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetReport {
    /// Calls to the store until all gateways had been running for some seconds.
    pub calls_at_start: u64,
    /// Calls to the store in calm, in 10 s.
    pub calls_in_calm: u64,
    /// Calls to the store from the fault to the end.
    pub calls_after_fault: u64,
    /// Time from the last start until all gateways held the configuration, in ms; after the fault
    /// if it restarts them.
    pub ready_ms: u64,
    /// Age of proofs in calm that 99 in 100 do not exceed, and the greatest, in ms.
    pub proof_age_ms: (u64, u64),
    /// Longest time from the first gateway that held a change of the configuration to the last, in
    /// ms.
    pub change_spread_ms: u64,
    /// The same for a departure of a host, in ms.
    pub departure_spread_ms: u64,
    /// Time from the end of the fault until all gateways honoured keys, in ms.
    pub keys_after_ms: u64,
    /// Largest number of changes of source at one gateway after the end of the fault.
    pub source_changes: u64,
    /// Heartbeats that a gateway received in a second of calm, on average.
    pub heartbeats_per_s: u64,
}

impl fmt::Display for FleetReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (p99, most) = self.proof_age_ms;
        write!(
            f,
            "calls at start {}, in 10 s of calm {}, after the fault {}; ready after {} ms; proofs p99 {p99} ms, at \
             most {most} ms; change to the last gateway {} ms, departure {} ms; keys honoured after {} ms; changes of \
             source {}; heartbeats received a second {}",
            self.calls_at_start,
            self.calls_in_calm,
            self.calls_after_fault,
            self.ready_ms,
            self.change_spread_ms,
            self.departure_spread_ms,
            self.keys_after_ms,
            self.source_changes,
            self.heartbeats_per_s,
        )
    }
}

/// Runs a fleet.
pub fn run(config: FleetConfig) -> FleetReport {
    let mut world = World::new(config);
    while world.now() < RUN_MS {
        world.step();
    }
    world.report()
}
