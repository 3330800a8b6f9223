//! How soon the list of backend servers is read again.
//!
//! All hosts and all gateways may start at once, and records of hosts come in over some seconds.
//! While new ones keep coming, reads follow each other quickly, so that a domain is not taken for
//! complete when it is not. Rejected: a fixed number of quick reads (they ran out while a third of
//! the hosts was still to come, and the pause after them looked like an end of the list).

use crate::Millis;

/// Reads in quick succession at the start, whether new hosts come or not.
const FIRST_READS: u32 = 4;

/// The pace of reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListingConfig {
    /// The time between two reads while new hosts come.
    pub quick_ms: u64,
    /// How long after the last new host reads stay quick, once the start is over as well.
    pub settle_ms: u64,
    /// The time between two reads at all other times.
    pub every_ms: u64,
}

/// Reads of the list so far.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    config: ListingConfig,
    reads: u32,
    first_at: Millis,
    new_at: Millis,
}

/// How long after the first read new hosts count as a start. Later ones come one at a time.
const START_MS: u64 = 9_000;

impl Listing {
    /// A list that was never read.
    pub fn new(config: ListingConfig) -> Listing {
        Listing { config, reads: 0, first_at: 0, new_at: 0 }
    }

    /// The list was read; `new` is whether it held a host that was not listed before. Tells how
    /// long to wait for the next read.
    pub fn read(&mut self, now: Millis, new: bool) -> u64 {
        if self.reads == 0 {
            self.first_at = now;
        }
        self.reads += 1;
        if new {
            self.new_at = now;
        }
        let starts = now < self.first_at + START_MS;
        let new_ones_come = now < self.new_at + self.config.settle_ms;
        match self.reads < FIRST_READS || (starts && new_ones_come) {
            true => self.config.quick_ms.min(self.config.every_ms),
            false => self.config.every_ms,
        }
    }
}
