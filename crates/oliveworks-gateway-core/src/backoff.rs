//! Backoff: backend servers that receive no requests for a while because they asked for that in a
//! refusal.
//!
//! A backend server that sheds load answers within milliseconds and has no outstanding requests. By
//! counts alone this server would be the least busy one and would attract more requests than while
//! it served, each of which costs a retry elsewhere.
//!
//! Each gateway applies only the backoffs that it received itself. Rejected: sharing backoffs with
//! the other gateways (a backend server may shed the requests of some gateways and serve those of
//! others), and treating the backend server as stalled (the server does answer: its replica group
//! is complete, and the leader has nothing to repair).

use std::collections::HashMap;

use crate::Millis;
use crate::balance::Target;

/// Maximum backoff for one answer, in ms. Operators remove a backend server that should receive
/// nothing for longer, and a corrupted answer cannot exclude a backend server permanently.
pub const BACKOFF_MAX_MS: u64 = 600_000;

/// The end of the backoff of each backend server, for this gateway.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    until: HashMap<Target, Millis>,
}

impl Backoffs {
    /// Records that a backend server refused a request and asked for a backoff of `ms`. Returns
    /// whether no backoff was in force before. A shorter backoff does not shorten the current one.
    pub fn asked(&mut self, now: Millis, target: Target, ms: u64) -> bool {
        let is_new = self.until(now, target).is_none();
        let until = self.until.entry(target).or_default();
        *until = (*until).max(now + ms.min(BACKOFF_MAX_MS));
        is_new
    }

    /// Returns the end of a backend server's backoff; `None` if no backoff is in force.
    pub fn until(&self, now: Millis, target: Target) -> Option<Millis> {
        self.until.get(&target).copied().filter(|until| now < *until)
    }

    /// Clears the backoff of a backend server that has restarted, because its new process has not
    /// asked for one.
    pub fn remove(&mut self, target: Target) {
        self.until.remove(&target);
    }

    /// Drops the backend servers for which `keep` returns false, and backoffs that have ended.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(Target) -> bool) {
        self.until.retain(|target, until| now < *until && keep(*target));
    }
}
