//! The planner against a simulated pool of hosts.

mod follow;
mod heads;
mod handover;
mod policy;
mod safety;
mod starved;
mod world;
