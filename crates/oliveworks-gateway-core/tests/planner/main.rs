//! The planner against a simulated pool of hosts.

mod policy;
mod safety;
mod starved;
mod world;
