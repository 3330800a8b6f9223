//! Ramp-up of cold backend servers: the conditions under which a backend server counts as cold, the
//! share of each gateway, and the total load when callers return all at once.

mod cold;
mod replay;
mod sends;

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::configuration::SlowStart;
use oliveworks_gateway_core::members::Members;
use oliveworks_gateway_core::slow_start::{SlowStartConfig, SlowStarts};

/// The backend server of these tests.
pub const HEAD: Target = Target(77);
/// Ramp-up terms of the backend server: the rate that it can handle while it is cold.
pub const TERMS: SlowStart = SlowStart { lasts_ms: 3_000, requests_per_s: 28.0 };
/// Maximum number of requests that all gateways together may send to the cold backend server in any
/// second.
pub const BOUND: usize = 47;
/// Maximum age of a record when a gateway receives it, in ms.
pub const LAG_MS: u64 = 4_000;
/// The limit on requests of all gateways to the cold backend server.
pub const CONFIG: SlowStartConfig =
    SlowStartConfig { excess: 1.5, extra: 5.0, record_lag_ms: LAG_MS };

/// Returns the state of a gateway that has read no records.
pub fn without_records() -> SlowStarts {
    SlowStarts::new(CONFIG, 0)
}

/// Returns the members of a deployment with a single gateway.
pub fn no_peers() -> Members {
    Members::new(0, true, 0)
}
