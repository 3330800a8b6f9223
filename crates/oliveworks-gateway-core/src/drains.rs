//! Which failure domains the operators drain.
//!
//! The store keeps a record for each drained failure domain, for as long as the drain lasts. Gateways hold
//! what it said last, also while it is away: a drain ends only when the store is seen without its record.
//!
//! The record that ends a drain may be forgotten with the store's history before a gateway reads it. The
//! gateway then reads all newest records, and a drain that is not among them has ended. These come in
//! pages, which are no snapshot; what changed since the first is read again right after them, so a drain
//! that began or ended meanwhile is put right by the next read.
//!
//! A store that has come back from an older copy may lack drains until the operators have written again. They stay in force
//! meanwhile, and end if a later read does not hold them. One whose end the copy lacks is in force once more until its end is
//! written again: nothing is sent to a domain that the operators may want empty.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;

/// The failure domains that are drained, and since when this gateway knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drains {
    since: BTreeMap<String, Millis>,
    /// Those that the store was not seen to hold since it came back from an older copy.
    unconfirmed: BTreeSet<String>,
    /// When drains ended lately.
    ended: BTreeMap<String, End>,
}

/// When a drain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct End {
    at: Millis,
    /// Whether this gateway saw it itself. What others told is not told on: a process that has just started knows no
    /// time before its start, so that an end would seem younger with each one that passes it on.
    seen: bool,
}

/// How much later a gateway may learn of a drain's end than the one that tells it, in ms: beyond that it is another end.
const SAME_END_MS: u64 = 1_000;

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
        self.unconfirmed.remove(failure_domain);
        if self.holds(failure_domain) {
            return false;
        }
        self.since.insert(failure_domain.to_owned(), now);
        self.ended.remove(failure_domain);
        true
    }

    /// A drain has ended; nothing if it was not known.
    pub fn end(&mut self, now: Millis, failure_domain: &str) -> Option<Ended> {
        self.unconfirmed.remove(failure_domain);
        let (failure_domain, since) = self.since.remove_entry(failure_domain)?;
        self.ended.insert(failure_domain.clone(), End { at: now, seen: true });
        Some(Ended { failure_domain, known_for_ms: now.saturating_sub(since) })
    }

    /// All newest records were read, and these are the drains among them: any other one has ended.
    pub fn read_anew(&mut self, now: Millis, drained: &BTreeSet<String>) -> Vec<Ended> {
        self.unconfirmed.clear();
        let over: Vec<String> =
            self.since.keys().filter(|name| !drained.contains(*name)).cloned().collect();
        over.iter().filter_map(|name| self.end(now, name)).collect()
    }

    /// The newest records of a store were read that may lack some, with these drains among them: the others stay in force
    /// until it has been read again.
    pub fn read_in_part(&mut self, drained: &BTreeSet<String>) {
        let others = self.since.keys().filter(|name| !drained.contains(*name));
        self.unconfirmed = others.cloned().collect();
    }

    /// Whether any drain is in force that the store was not seen to hold since it came back.
    pub fn any_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Another gateway saw a drain end; tells whether that is news. This one may have started since, so that it never
    /// knew of the drain, and the records that it reads may be from before its end.
    pub fn ended_elsewhere(&mut self, failure_domain: &str, at: Millis) -> bool {
        let known = self.ended.get(failure_domain);
        if self.holds(failure_domain) || known.is_some_and(|known| at <= known.at + SAME_END_MS) {
            return false;
        }
        self.ended.insert(failure_domain.to_owned(), End { at, seen: false });
        true
    }

    /// Failure domains whose drain this gateway saw end within so many ms, and how many ms ago; forgets older ends.
    pub fn ended_within(&mut self, now: Millis, ms: u64) -> Vec<(String, u64)> {
        self.ended.retain(|_, end| now < end.at + ms);
        let seen = self.ended.iter().filter(|(_, end)| end.seen);
        seen.map(|(name, end)| (name.clone(), now.saturating_sub(end.at))).collect()
    }

    /// Whether a failure domain's drain ended within so many ms, so that a record of its backend servers which is
    /// read now may be from before.
    pub fn has_ended_within(&self, now: Millis, failure_domain: &str, ms: u64) -> bool {
        self.ended.get(failure_domain).is_some_and(|end| now < end.at + ms)
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
