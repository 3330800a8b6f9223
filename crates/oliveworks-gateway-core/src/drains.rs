//! Which failure domains the operators drain.
//!
//! The store keeps a record for each drained failure domain, for as long as the drain lasts. Gateways hold
//! what it said last, also while it is away: a drain ends only when the store is seen without its record.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;

/// The failure domains that are drained, and since when this gateway knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drains {
    since: BTreeMap<String, Millis>,
}

impl Drains {
    /// A failure domain is to be drained; tells whether that is new.
    pub fn begin(&mut self, now: Millis, failure_domain: &str) -> bool {
        if self.holds(failure_domain) {
            return false;
        }
        self.since.insert(failure_domain.to_owned(), now);
        true
    }

    /// A drain has ended; tells for how long it was known, in ms, if it was.
    pub fn end(&mut self, now: Millis, failure_domain: &str) -> Option<u64> {
        self.since.remove(failure_domain).map(|since| now.saturating_sub(since))
    }

    /// Whether a failure domain is drained.
    pub fn holds(&self, failure_domain: &str) -> bool {
        self.since.contains_key(failure_domain)
    }

    /// Drained failure domains, by name.
    pub fn failure_domains(&self) -> BTreeSet<String> {
        self.since.keys().cloned().collect()
    }
}
