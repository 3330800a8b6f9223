//! The planners of a leader while the configuration changes.

mod handover;
mod pool;
mod set;
mod settled;
