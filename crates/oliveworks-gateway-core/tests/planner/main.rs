//! The planner against a simulated pool of hosts.

mod follow;
mod handover;
mod heads;
mod policy;
mod safety;
mod starved;
mod world;
