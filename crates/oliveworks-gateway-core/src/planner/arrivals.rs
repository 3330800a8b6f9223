//! Detects whether a domain's hosts are still being listed.
//!
//! Motivating case: a whole domain goes down and returns under twice the usual traffic. Its hosts
//! are listed in batches within a few seconds. The state of the domain after the first batch does
//! not justify loads of 12 s and more. A host that replaces another waits only for one read of the
//! list. Rejected: the wait of a returning domain (`RETURN_QUIET_MS`) for every host, because hosts
//! are replaced one by one all the time and each would load a second later. Rejected: no time
//! limit, because a domain that keeps growing would never settle.

use crate::Millis;

/// Number of hosts listed in short succession from which on a domain counts as returning as a
/// whole. A replacement brings one host, a release a few.
const RETURNING_HOSTS_MIN: usize = 4;
/// Time without a new host after which a returning domain counts as complete, in ms: the longest
/// time between a host's start and its record in the list, as seen in the records of the other
/// hosts.
const RETURN_QUIET_MS: u64 = 1_000;
/// Maximum time for which a domain counts as returning, in ms. Later hosts are assigned as they
/// arrive.
const RETURN_MAX_MS: u64 = 3_000;

/// Hosts that a domain got in short succession.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivalBurst {
    first_at: Millis,
    last_at: Millis,
    hosts: usize,
}

impl ArrivalBurst {
    pub(super) fn new(now: Millis) -> ArrivalBurst {
        ArrivalBurst { first_at: now, last_at: now, hosts: 0 }
    }

    /// Records one more listed host.
    pub(super) fn add(&mut self, now: Millis) {
        if now >= self.last_at + RETURN_QUIET_MS {
            *self = ArrivalBurst::new(now);
        }
        self.last_at = now;
        self.hosts += 1;
    }

    /// Whether the hosts have been unchanged for long enough to use a host that replaces another.
    pub(super) fn is_settled(&self, now: Millis, settle_ms: u64) -> bool {
        now >= self.last_at + settle_ms
    }

    /// Whether the domain is returning, with more hosts to be listed.
    pub(super) fn is_returning(&self, now: Millis) -> bool {
        let ends_at = (self.last_at + RETURN_QUIET_MS).min(self.first_at + RETURN_MAX_MS);
        self.hosts >= RETURNING_HOSTS_MIN && now < ends_at
    }
}
