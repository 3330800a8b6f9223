//! Group membership: the gateways that share a limit, and this gateway's share of it.
//!
//! The requests to a cold backend server and the retries of requests are limited for all gateways
//! together, without communication between them: each gateway has an equal share. For limits in
//! whole requests, the remainder of the division is assigned to the gateways that rank first for a
//! backend server, by a hash of both names, so the remainder goes to other gateways for each
//! backend server. If there are more gateways than requests, that many gateways have one request
//! each, and the others send to other backend servers.
//!
//! A limit holds as long as each gateway with a share counts all the others that have one, because
//! a share never grows when more gateways are counted. For this reason, silent gateways are
//! remembered for a long time and reported to new gateways, a gateway that observes few of the
//! others forgets none, and a gateway that has just started or was paused has no share until all
//! others know of it. The remaining case is a gateway that is cut off and does not count gateways
//! that start in the meantime; a margin of the limit is kept for this case.
//!
//! Rejected: counting only the gateways observed in the last 20 s (a gateway that starts or is cut
//! off takes the whole limit: five gateways that were killed three times in ten seconds sent 740
//! retries where 660 are allowed). Rejected for cold backend servers, after a replay with callers
//! that all return at once: shares in proportion to callers (the gateways' knowledge of each
//! other's callers is some 100 ms old, and the shares add up to more than the limit), and few
//! gateways per cold backend server if there are enough requests for all (most callers reach a
//! gateway without a share, and are rejected while other gateways leave requests unused). Also
//! rejected: a share of less than one request that is used once in several seconds (nothing
//! prevents all gateways from using it in the same second).

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;
use crate::balance::Target;

/// Time for which a silent gateway counts as a member, in ms. A gateway that is cut off still
/// serves its callers, and a gateway that is gone occupies its share for no longer than this.
const MEMBER_TIMEOUT_MS: u64 = 60_000;
/// Silence after which a gateway may be cut off, in ms. This is thirty heartbeats.
const SILENCE_MAX_MS: u64 = 3_000;
/// Time in which all gateways learn of a gateway that has started, in ms. This is twenty
/// heartbeats, each of which names some gateways.
const ANNOUNCE_MS: u64 = 2_000;
/// Part of the limit that is divided into shares, in percent. If a third of all gateways are cut
/// off and as many new ones start, the shares of those that are cut off are too large by a twelfth
/// of the limit in total.
const SHARED_PERCENT: f64 = 87.5;

/// The gateways that share a limit.
#[derive(Clone, Debug)]
pub struct Members {
    own: u64,
    /// Other gateways, and the time at which each was last observed.
    others: HashMap<u64, Millis>,
    /// Time until which this gateway has no share, because not all other gateways know of it yet.
    no_share_until: Millis,
    started_at: Millis,
    /// Time at which this gateway last was cut off from the others.
    cut_off_at: Option<Millis>,
}

impl Members {
    /// Creates the state of a gateway that has observed no other gateway yet. `alone` is whether
    /// there are no others.
    pub fn new(own: u64, alone: bool, now: Millis) -> Members {
        // A gateway that observes no other may be cut off from active gateways, so it waits until
        // they would be forgotten.
        let no_share_until = if alone { now } else { now + MEMBER_TIMEOUT_MS };
        Members { own, others: HashMap::new(), no_share_until, started_at: now, cut_off_at: None }
    }

    /// Records that another gateway was observed at a time, by this gateway or by another one that
    /// reports so.
    pub fn record_contact(&mut self, gateway: u64, at: Millis) {
        if gateway == self.own {
            return;
        }
        if self.others.is_empty() {
            self.observe_first(at);
        }
        let observed_at = self.others.entry(gateway).or_insert(at);
        *observed_at = at.max(*observed_at);
    }

    /// Starts the time in which the other gateways learn of this one.
    fn observe_first(&mut self, at: Millis) {
        let announced_from = if at < self.started_at + ANNOUNCE_MS { self.started_at } else { at };
        self.no_share_until = self.no_share_until.min(announced_from + ANNOUNCE_MS);
    }

    /// Records that this process was paused for `paused_ms`. Gateways that have started in the
    /// meantime may not know of it.
    pub fn record_pause(&mut self, now: Millis, paused_ms: u64) {
        if !self.others.is_empty() && paused_ms > SILENCE_MAX_MS {
            self.no_share_until = now + ANNOUNCE_MS;
        }
    }

    /// Returns the gateways that are silent and may still send requests, and the time at which each
    /// was last observed.
    pub fn silent(&self, now: Millis) -> impl Iterator<Item = (u64, Millis)> {
        let silent = self.others.iter().filter(move |(_, at)| now > **at + SILENCE_MAX_MS);
        let recent = silent.filter(move |(_, at)| now < **at + MEMBER_TIMEOUT_MS);
        recent.map(|(gateway, at)| (*gateway, *at))
    }

    /// Returns whether this gateway observes no more than half of all gateways, including itself.
    /// In this case this gateway is cut off, and not the others.
    pub fn is_cut_off(&self, now: Millis) -> bool {
        !self.others.is_empty() && self.observed_count(now) * 2 <= self.count()
    }

    /// Returns the number of gateways that share a limit; `None` while other gateways may not count
    /// this one, which has no share then.
    pub fn sharing_gateways(&self, now: Millis) -> Option<usize> {
        (now >= self.no_share_until).then(|| self.count())
    }

    /// Returns the number of all gateways, including this one.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns the hash of this gateway's name.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Returns the gateway that grants permits for a target: the first one, by a hash of both
    /// names, among this gateway and those observed recently.
    pub fn limiter(&self, now: Millis, target: Target) -> u64 {
        let observed = self.others.iter().filter(|(_, at)| now <= **at + SILENCE_MAX_MS);
        let all = observed.map(|(gateway, _)| *gateway).chain([self.own]);
        all.min_by_key(|gateway| rank(*gateway, target)).unwrap_or(self.own)
    }

    /// Returns the share of all gateways that were observed recently, including this one.
    pub fn observed_share(&self, now: Millis) -> f64 {
        self.observed_count(now) as f64 / self.count() as f64
    }

    fn observed_count(&self, now: Millis) -> usize {
        1 + self.others.values().filter(|at| now <= **at + SILENCE_MAX_MS).count()
    }

    /// Drops the gateways that were silent for long, unless this gateway is or recently was cut
    /// off.
    pub fn retain(&mut self, now: Millis) {
        if self.is_cut_off(now) {
            self.cut_off_at = Some(now);
        }
        if self.cut_off_at.is_none_or(|at| now > at + ANNOUNCE_MS) {
            self.others.retain(|_, observed_at| now < *observed_at + MEMBER_TIMEOUT_MS);
        }
    }

    /// Returns this gateway's share of a limit of `bound` requests.
    pub fn share(&self, now: Millis, bound: f64, target: Target) -> u32 {
        let Some(all) = self.sharing_gateways(now) else { return 0 };
        let shared = (bound * SHARED_PERCENT / 100.0) as u32;
        let all = all as u32;
        let (each, remainder) = (shared / all, shared % all);
        let own = rank(self.own, target);
        let ranked_before = self.others.keys().filter(|other| rank(**other, target) < own).count();
        each + u32::from((ranked_before as u32) < remainder)
    }
}

/// Returns the rank of a gateway for a backend server.
fn rank(gateway: u64, target: Target) -> (u64, u64) {
    (xxh3_64_with_seed(&gateway.to_le_bytes(), target.0), gateway)
}
