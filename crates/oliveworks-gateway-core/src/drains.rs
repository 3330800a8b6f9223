//! Failure domains that the operators drain.
//!
//! The store keeps a record for each drained failure domain for as long as the drain lasts.
//! Gateways keep the last state that the store returned, also while the store is unavailable: a
//! drain ends only when the store is read and does not hold its record.
//!
//! The record that ends a drain may be removed with the store's history before a gateway reads it.
//! The gateway then reads all newest records, and a drain that is not among them has ended. All
//! newest records are returned in pages, which form no consistent snapshot; changes since the first
//! page are read right after the last one, so a drain that began or ended meanwhile is corrected by
//! the next read.
//!
//! A store that was restored from an older copy may lack drains until the operators have written
//! them again. These drains stay in force meanwhile, and end if a later read does not hold them. A
//! drain whose end the copy lacks is in force once more until its end is written again: no request
//! goes to a failure domain that the operators may want empty.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;

/// Failure domains that are drained, and the time since which this gateway knows of each drain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drains {
    since: BTreeMap<String, Millis>,
    /// Drains that the store has not been observed to hold since it was restored from an older
    /// copy.
    unconfirmed: BTreeSet<String>,
    /// Drains that ended recently, by failure domain.
    ended: BTreeMap<String, End>,
}

/// End of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct End {
    at: Millis,
    /// Whether this gateway observed the end itself. An end reported by another gateway is not
    /// forwarded: a process that has just started has no time before its start, so the end would
    /// seem younger with each gateway that forwards it.
    seen: bool,
}

/// Maximum difference between the times at which two gateways learn of the same end, in ms; beyond
/// that the reports concern different ends.
const SAME_END_MS: u64 = 1_000;

/// A drain that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Failure domain that was drained.
    pub failure_domain: String,
    /// For how long this gateway knew of the drain, in ms.
    pub known_for_ms: u64,
}

impl Drains {
    /// Begins the drain of a failure domain and returns whether the drain is new.
    pub fn begin(&mut self, now: Millis, failure_domain: &str) -> bool {
        self.unconfirmed.remove(failure_domain);
        if self.contains(failure_domain) {
            return false;
        }
        self.since.insert(failure_domain.to_owned(), now);
        self.ended.remove(failure_domain);
        true
    }

    /// Ends a drain; returns `None` if the drain was not known.
    pub fn end(&mut self, now: Millis, failure_domain: &str) -> Option<Ended> {
        self.unconfirmed.remove(failure_domain);
        let (failure_domain, since) = self.since.remove_entry(failure_domain)?;
        self.ended.insert(failure_domain.clone(), End { at: now, seen: true });
        Some(Ended { failure_domain, known_for_ms: now.saturating_sub(since) })
    }

    /// Replaces the drains by those of a read of all newest records: any other drain has ended.
    /// Returns the drains that ended.
    pub fn replace_all(&mut self, now: Millis, drained: &BTreeSet<String>) -> Vec<Ended> {
        self.unconfirmed.clear();
        let ended: Vec<String> =
            self.since.keys().filter(|name| !drained.contains(*name)).cloned().collect();
        ended.iter().filter_map(|name| self.end(now, name)).collect()
    }

    /// Marks the drains that are not among `drained` as unconfirmed, after a read of all newest
    /// records of a store that may lack some of them. These drains stay in force until the store
    /// has been read again.
    pub fn mark_unread_unconfirmed(&mut self, drained: &BTreeSet<String>) {
        let others = self.since.keys().filter(|name| !drained.contains(*name));
        self.unconfirmed = others.cloned().collect();
    }

    /// Whether any drain is in force that the store has not been observed to hold since it was
    /// restored.
    pub fn any_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Records that another gateway observed the end of a drain, and returns whether the end is
    /// new. This gateway may have started since, in which case it never knew of the drain, and the
    /// records that it reads may predate the end.
    pub fn record_remote_end(&mut self, failure_domain: &str, at: Millis) -> bool {
        let known = self.ended.get(failure_domain);
        if self.contains(failure_domain) || known.is_some_and(|known| at <= known.at + SAME_END_MS)
        {
            return false;
        }
        self.ended.insert(failure_domain.to_owned(), End { at, seen: false });
        true
    }

    /// Returns the failure domains whose drain this gateway itself observed to end within `ms`,
    /// each with the time since the end in ms; discards older ends.
    pub fn ended_within(&mut self, now: Millis, ms: u64) -> Vec<(String, u64)> {
        self.ended.retain(|_, end| now < end.at + ms);
        let seen = self.ended.iter().filter(|(_, end)| end.seen);
        seen.map(|(name, end)| (name.clone(), now.saturating_sub(end.at))).collect()
    }

    /// Whether the drain of a failure domain ended within `ms`, in which case records of its
    /// backend servers that are read now may predate the end.
    pub fn has_ended_within(&self, now: Millis, failure_domain: &str, ms: u64) -> bool {
        self.ended.get(failure_domain).is_some_and(|end| now < end.at + ms)
    }

    /// Whether a failure domain is drained.
    pub fn contains(&self, failure_domain: &str) -> bool {
        self.since.contains_key(failure_domain)
    }

    /// Whether no failure domain is drained.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }

    /// Returns the drained failure domains, sorted by name.
    pub fn failure_domains(&self) -> BTreeSet<String> {
        self.since.keys().cloned().collect()
    }

    /// Returns the drained failure domains, each with the time for which this gateway has known of
    /// the drain, in ms.
    pub fn known_for(&self, now: Millis) -> impl Iterator<Item = (&str, u64)> {
        self.since.iter().map(move |(name, since)| (name.as_str(), now.saturating_sub(*since)))
    }
}
