//! The gateways that share a bound, and which part of it is this one's.
//!
//! What a cold backend server may be sent, and the repeats of requests, are bound for all gateways together, and no
//! call asks the others: each has an equal part. Of what is dealt out in whole requests, what is left of the
//! division goes to the gateways that come first for a backend server, by a hash of both names: another few for
//! each. Where there are more gateways than requests, so many of them have one, and the others send to other backend
//! servers.
//!
//! A bound holds as long as each gateway that takes a part counts all others that do: a part never grows when
//! more are counted. So others are remembered for long after they fall silent and told to new ones, a gateway
//! that hears few of them forgets nobody, and one that has just started, or was paused, has no part until all
//! others have heard of it. What remains are gateways that are cut off and do not count those that start
//! meanwhile: for them a margin is kept.
//!
//! Rejected: those who were heard in the last 20 s (one that starts, or is cut off, takes the whole bound: five
//! gateways that were killed three times in ten seconds sent 740 repeats where 660 are allowed). Rejected for cold
//! backend servers, by a replay of callers who return all at once: parts in proportion to callers (what gateways
//! know of each other's callers is some 100 ms old, and their parts sum up to more than the bound), and few
//! gateways for each cold backend server where there are enough requests for all (most callers come to a
//! gateway that has no part, and are refused beside what others do not need). Rejected too: a part of less
//! than one request, taken once in several seconds (nobody keeps all gateways from taking it in the same
//! one).

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;
use crate::balance::Target;

/// How long a gateway that is not heard may still send, in ms: one that is cut off serves what its callers
/// send it, and one that is gone costs the others its part for no longer.
const MEMBER_MS: u64 = 60_000;
/// The silence after which a gateway may be cut off, in ms: thirty heartbeats.
const SILENT_MS: u64 = 3_000;
/// The time in which all gateways hear of one that has started, in ms: twenty heartbeats, each of which
/// names some gateways.
const LEARN_MS: u64 = 2_000;
/// The part of the bound that is shared out, in hundredths. With a third of all gateways cut off and as
/// many new ones, the parts of those that are cut off are a twelfth of the bound too large.
const SHARED_PERCENT: f64 = 87.5;

/// The gateways that share a bound.
#[derive(Clone, Debug)]
pub struct Members {
    own: u64,
    /// Others, and when each was last heard.
    others: HashMap<u64, Millis>,
    /// Until when it sends nothing, since not all have heard of it.
    learns_until: Millis,
    started_at: Millis,
    /// When it last heard few of the others.
    cut_off_at: Option<Millis>,
}

impl Members {
    /// A gateway that has heard of no other yet; `alone` if there is none.
    pub fn new(own: u64, alone: bool, now: Millis) -> Members {
        // One that hears nobody may be cut off from those that send: it waits until these would be
        // forgotten.
        let learns_until = if alone { now } else { now + MEMBER_MS };
        Members { own, others: HashMap::new(), learns_until, started_at: now, cut_off_at: None }
    }

    /// Another gateway was heard at a time, here or by one that tells so.
    pub fn heard(&mut self, gateway: u64, at: Millis) {
        if gateway == self.own {
            return;
        }
        if self.others.is_empty() {
            self.hears_the_first(at);
        }
        let heard_at = self.others.entry(gateway).or_insert(at);
        *heard_at = at.max(*heard_at);
    }

    /// From now on others hear of it, too.
    fn hears_the_first(&mut self, at: Millis) {
        let learns_from = if at < self.started_at + LEARN_MS { self.started_at } else { at };
        self.learns_until = self.learns_until.min(learns_from + LEARN_MS);
    }

    /// This process was paused for so long: gateways that have started meanwhile may not know of it.
    pub fn paused(&mut self, now: Millis, paused_ms: u64) {
        if !self.others.is_empty() && paused_ms > SILENT_MS {
            self.learns_until = now + LEARN_MS;
        }
    }

    /// Others that have fallen silent and may still send, and when each was last heard.
    pub fn silent(&self, now: Millis) -> impl Iterator<Item = (u64, Millis)> {
        let silent = self.others.iter().filter(move |(_, at)| now > **at + SILENT_MS);
        let recent = silent.filter(move |(_, at)| now < **at + MEMBER_MS);
        recent.map(|(gateway, at)| (*gateway, *at))
    }

    /// Whether this gateway hears no more than half of all, itself among them: it is cut off, and not they.
    pub fn is_cut_off(&self, now: Millis) -> bool {
        !self.others.is_empty() && self.heard_count(now) * 2 <= self.count()
    }

    /// How many gateways share a bound; none while others may not count this one, which has no part then.
    pub fn sharers(&self, now: Millis) -> Option<usize> {
        (now >= self.learns_until).then(|| self.count())
    }

    /// All gateways, this one among them.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// This gateway, by its name's hash.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// The gateway that grants permits for a target: the first, by a hash of both names, of those heard lately and this one.
    pub fn limiter(&self, now: Millis, target: Target) -> u64 {
        let heard = self.others.iter().filter(|(_, at)| now <= **at + SILENT_MS);
        let all = heard.map(|(gateway, _)| *gateway).chain([self.own]);
        all.min_by_key(|gateway| place(*gateway, target)).unwrap_or(self.own)
    }

    /// The part of all gateways that were heard lately, this one among them.
    pub fn heard_part(&self, now: Millis) -> f64 {
        self.heard_count(now) as f64 / self.count() as f64
    }

    fn heard_count(&self, now: Millis) -> usize {
        1 + self.others.values().filter(|at| now <= **at + SILENT_MS).count()
    }

    /// Forgets gateways that were not heard for long, unless this one is cut off, or just was.
    pub fn retain(&mut self, now: Millis) {
        if self.is_cut_off(now) {
            self.cut_off_at = Some(now);
        }
        if self.cut_off_at.is_none_or(|at| now > at + LEARN_MS) {
            self.others.retain(|_, heard_at| now < *heard_at + MEMBER_MS);
        }
    }

    /// The requests of `bound` that are this gateway's.
    pub fn part(&self, now: Millis, bound: f64, target: Target) -> u32 {
        let Some(all) = self.sharers(now) else { return 0 };
        let shared = (bound * SHARED_PERCENT / 100.0) as u32;
        let all = all as u32;
        let (each, left) = (shared / all, shared % all);
        let own = place(self.own, target);
        let before = self.others.keys().filter(|other| place(**other, target) < own).count();
        each + u32::from((before as u32) < left)
    }
}

/// Where a gateway comes among others for a backend server.
fn place(gateway: u64, target: Target) -> (u64, u64) {
    (xxh3_64_with_seed(&gateway.to_le_bytes(), target.0), gateway)
}
