//! Backend servers that name a rate limit in their answers, and what all gateways together send them.
//!
//! | module | decides |
//! |---|---|
//! | [`limits`] | which limits are in force, by what answers and other gateways tell |

pub mod limits;

use serde::{Deserialize, Serialize};

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u32);

impl Rate {
    /// A rate in requests a second; none if it is negative or no number. One that is too large to be noted is taken for the
    /// largest that is.
    pub fn from_per_s(per_s: f64) -> Option<Rate> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Rate((per_s * 1_000.0) as u32))
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}
