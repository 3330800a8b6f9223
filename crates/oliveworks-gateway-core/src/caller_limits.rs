//! Limits on what callers may send, while configurations change them.
//!
//! Callers learn of a configuration later than gateways do. For a while after a change, a caller may
//! therefore use what either configuration allows.

use crate::Millis;
use crate::configuration::Limits;

/// The limits in force, and those that callers may still go by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerLimits {
    newest: Option<Limits>,
    /// Replaced limits, and the times until which callers may go by them.
    replaced: Vec<(Limits, Millis)>,
}

impl CallerLimits {
    /// Adopts the limits of a new configuration; callers may go by the former ones for `overlap_ms`.
    pub fn adopt(&mut self, now: Millis, limits: Limits, overlap_ms: u64) {
        self.replaced.retain(|(_, until)| *until > now);
        if let Some(former) = self.newest.replace(limits).filter(|former| *former != limits) {
            self.replaced.push((former, now + overlap_ms));
        }
    }

    /// Returns the most that callers may use; `None` before the first configuration.
    pub fn at(&self, now: Millis) -> Option<Limits> {
        let valid = self.replaced.iter().filter(|(_, until)| *until > now);
        let most = valid.fold(self.newest?, |most, (limits, _)| Limits {
            max_header_bytes: most.max_header_bytes.max(limits.max_header_bytes),
            max_body_bytes: most.max_body_bytes.max(limits.max_body_bytes),
            header_timeout_ms: most.header_timeout_ms.max(limits.header_timeout_ms),
            idle_timeout_ms: most.idle_timeout_ms.max(limits.idle_timeout_ms),
        });
        Some(most)
    }
}
