//! The planner against a simulated pool of hosts.

mod domain_return;
mod follow;
mod handover;
mod policy;
mod safety;
mod starved;
mod world;
