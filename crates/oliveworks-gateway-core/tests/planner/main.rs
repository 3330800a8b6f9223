//! The planner against a simulated pool of hosts.

mod handover;
mod policy;
mod safety;
mod starved;
mod world;
