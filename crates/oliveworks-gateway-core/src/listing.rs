//! Interval between two reads of the list of backend servers.
//!
//! All hosts and all gateways may start at once, and records of hosts arrive over some seconds.
//! While new hosts keep arriving, reads follow each other quickly, so that an incomplete domain is
//! not taken for complete. Rejected alternative: a fixed number of quick reads. Such reads ended
//! while a third of the hosts was still to come, and the pause after them looked like the end of
//! the list.

use crate::Millis;

/// Number of quick reads at the start, whether new hosts arrive or not.
const FIRST_READS: u32 = 4;

/// Intervals between reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListingConfig {
    /// Interval between two reads while new hosts arrive, in ms.
    pub quick_ms: u64,
    /// How long reads stay quick after the last new host during the start, in ms.
    pub settle_ms: u64,
    /// Interval between two reads at all other times, in ms.
    pub every_ms: u64,
}

/// Reads of the list so far.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    config: ListingConfig,
    reads: u32,
    first_at: Millis,
    last_new_at: Millis,
}

/// Time after the first read in which new hosts count as part of a start, in ms. Later hosts arrive
/// one at a time.
const START_MS: u64 = 9_000;

impl Listing {
    /// Creates the state of a list that was never read.
    pub fn new(config: ListingConfig) -> Listing {
        Listing { config, reads: 0, first_at: 0, last_new_at: 0 }
    }

    /// Records a read of the list; `new` is whether it held a host that was not listed before.
    /// Returns the time until the next read, in ms.
    pub fn read(&mut self, now: Millis, new: bool) -> u64 {
        if self.reads == 0 {
            self.first_at = now;
        }
        self.reads += 1;
        if new {
            self.last_new_at = now;
        }
        let is_starting = now < self.first_at + START_MS;
        let new_hosts_arrive = now < self.last_new_at + self.config.settle_ms;
        match self.reads < FIRST_READS || (is_starting && new_hosts_arrive) {
            true => self.config.quick_ms.min(self.config.every_ms),
            false => self.config.every_ms,
        }
    }
}
