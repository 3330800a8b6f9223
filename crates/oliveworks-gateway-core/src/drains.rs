//! Which failure domains the operators drain.
//!
//! The store keeps a record for each drained failure domain, for as long as the drain lasts. Gateways hold
//! what it said last, also while it is away: a drain ends only when the store is seen without its record.
//!
//! The record that ends a drain may be forgotten with the store's history before a gateway reads it. The
//! gateway then reads all newest records, and a drain that is not among them has ended. These come in
//! pages, which are no snapshot; what changed since the first is read again right after them, so a drain
//! that began or ended meanwhile is put right by the next read.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;

/// The failure domains that are drained, and since when this gateway knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drains {
    since: BTreeMap<String, Millis>,
}

/// A drain that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The failure domain that was drained.
    pub failure_domain: String,
    /// For how long this gateway knew, in ms.
    pub known_for_ms: u64,
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

    /// A drain has ended; nothing if it was not known.
    pub fn end(&mut self, now: Millis, failure_domain: &str) -> Option<Ended> {
        let (failure_domain, since) = self.since.remove_entry(failure_domain)?;
        Some(Ended { failure_domain, known_for_ms: now.saturating_sub(since) })
    }

    /// All newest records were read, and these are the drains among them: any other one has ended.
    pub fn read_anew(&mut self, now: Millis, drained: &BTreeSet<String>) -> Vec<Ended> {
        let over: Vec<String> =
            self.since.keys().filter(|name| !drained.contains(*name)).cloned().collect();
        over.iter().filter_map(|name| self.end(now, name)).collect()
    }

    /// Whether a failure domain is drained.
    pub fn holds(&self, failure_domain: &str) -> bool {
        self.since.contains_key(failure_domain)
    }

    /// Whether none is drained.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }

    /// Drained failure domains, by name.
    pub fn failure_domains(&self) -> BTreeSet<String> {
        self.since.keys().cloned().collect()
    }

    /// Drained failure domains and for how long this gateway has known, in ms.
    pub fn known_for(&self, now: Millis) -> impl Iterator<Item = (&str, u64)> {
        self.since.iter().map(move |(name, since)| (name.as_str(), now.saturating_sub(*since)))
    }
}
