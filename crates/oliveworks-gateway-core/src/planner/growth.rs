//! Whether a domain's hosts are still being listed.
//!
//! The load that this answers: a whole domain goes dark and comes back under twice the usual callers. Its
//! hosts are listed within a few seconds, some at a time, and what is known of it after the first of
//! them is no ground for loads that last 12 s and more. A host that replaces another waits a read of
//! the list only. Rejected: the longer wait for every host (hosts are replaced one by one all the
//! time, and each would load a second later), and no limit (a domain that keeps growing never settles).

use crate::Millis;

/// Hosts listed shortly after one another from which on a domain is taken to return as a whole: a
/// replacement brings one, a release a few.
const RETURNING_HOSTS: usize = 4;
/// How long a domain that returns must have got no host to be taken as complete, in ms: the longest
/// between a host's start and its record in the list, as seen by the other hosts' records.
const RETURN_QUIET_MS: u64 = 1_000;
/// The longest that a domain is taken to return, in ms: what comes later is dealt with as it comes.
const RETURN_MAX_MS: u64 = 3_000;

/// The hosts that a domain got shortly after one another.
#[derive(Clone, Copy, Debug)]
pub(super) struct Growth {
    first_at: Millis,
    last_at: Millis,
    hosts: usize,
}

impl Growth {
    pub(super) fn new(now: Millis) -> Growth {
        Growth { first_at: now, last_at: now, hosts: 0 }
    }

    /// One more host is listed.
    pub(super) fn add(&mut self, now: Millis) {
        if now >= self.last_at + RETURN_QUIET_MS {
            *self = Growth::new(now);
        }
        self.last_at = now;
        self.hosts += 1;
    }

    /// Whether it has been the same for so long that a replaced host would be used.
    pub(super) fn is_settled(&self, now: Millis, settle_ms: u64) -> bool {
        now >= self.last_at + settle_ms
    }

    /// Whether the domain is coming back, with more hosts to be listed.
    pub(super) fn is_return(&self, now: Millis) -> bool {
        let ends_at = (self.last_at + RETURN_QUIET_MS).min(self.first_at + RETURN_MAX_MS);
        self.hosts >= RETURNING_HOSTS && now < ends_at
    }
}
