//! The planners of a leader while the configuration changes.

mod pool;
mod set;
mod settled;
