//! Seeded proof runs, experiments and cost measurements for oliveworks.
//!
//! All modules except [`load`] run shipped decision code: [`fleet`] that of
//! `oliveworks-gateway-core`, the others that of `oliveworks-core`. [`load`] sends requests to a
//! running process. No part of this crate runs on a host in production.
//!
//! ```
//! use oliveworks_lab::prove::{self, Broken};
//!
//! let outcome = prove::run(1, 20_000, Broken::None, false);
//! assert!(outcome.breaches.is_empty());
//! ```
//!
//! A proof run takes a few microseconds per step and a few megabytes of memory. It takes no
//! untrusted input.

pub mod fleet;
pub mod load;
pub mod placement;
pub mod prove;
pub mod routing;
pub mod slopes;
