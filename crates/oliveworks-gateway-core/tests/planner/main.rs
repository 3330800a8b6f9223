//! Tests of the planner against a simulated pool of hosts.

mod domain_return;
mod drain;
mod follow;
mod handover;
mod heads;
mod leader;
mod policy;
mod restart;
mod safety;
mod silent;
mod spread;
mod stale;
mod starved;
mod world;
