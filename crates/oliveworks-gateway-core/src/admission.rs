//! Admission control: limits how much of a replica group's free capacity this gateway uses.
//!
//! Every gateway sees the same slots come free, through counts that are 100 to 280 ms old. If each
//! gateway fills those slots, a group receives many times its capacity: in one case 30 requests
//! within 60 ms for two slots, with first events 300 to 700 ms later. Each gateway therefore uses
//! only its share of the free capacity, in proportion to its share of the callers, in each window
//! that is as long as the counts are old. The fraction of a slot that remains after rounding is
//! assigned to gateways by a pseudo-random draw that changes with each window.
//!
//! Two resources are shared in this way: slots, and the time that a group spends on reading
//! prompts, because a pass that reads prompts delays all streams of its group. Long prompts exhaust
//! the second resource long before the first.
//!
//! Rejected: fixed shares of the slots (a gateway with bursty callers rejects them while slots are
//! free that the others do not need), and one gateway that counts for each group (one more hop for
//! each request, and no count while that gateway is lost).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;
use crate::balance::{Balance, Candidate, Target};
use crate::locality::CapacityShares;

/// Parameters of admission control. The effect of each one was measured by replaying two loads with
/// 13 gateways. In *many*, there are more than twice as many callers as twelve groups can serve. In
/// *long*, there are one and a half times as many callers with long prompts as three groups can
/// serve. The figures below are the shares of callers that are served in time: 42 % of *many* and
/// 15 % of *long* without any limit, 75 % and 49 % with all limits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionConfig {
    /// Share of its slots, in percent, that a group must have free for gateways to send there
    /// without a limit; 0 disables the limit on slots. Below this share, a burst can fill the group
    /// before any gateway receives the new counts. Without the limit, 65 % of *many* are served in
    /// time.
    pub plenty_percent: u32,
    /// Length of the window in which a gateway uses its share once, in ms. This is the time between
    /// two heartbeats, which carry the counts. With 250 ms, 72 % of *many* are served in time.
    pub window_ms: u64,
    /// Maximum time for reading the unread prompts of all gateways at a group, in percent of the
    /// goal. Without this limit, 30 % of *long* are served in time. With 50 instead of 75, more of
    /// *long* are served in time, but 5 % of the callers are rejected when the load is just what
    /// the groups can serve, which reduced the value of pools of 30 hosts by 0.04 (see the [crate]
    /// for the value).
    pub reading_percent: u32,
    /// Share of the slots, in percent, that returning callers may fill. Returning callers are late
    /// in any case, so the rest is kept for callers that can still be served in time. With 100, 65
    /// % of *many* are served in time.
    pub returning_percent: u32,
}

impl Default for AdmissionConfig {
    fn default() -> AdmissionConfig {
        AdmissionConfig {
            plenty_percent: 25,
            window_ms: 100,
            reading_percent: 75,
            returning_percent: 85,
        }
    }
}

/// Half-life of the moving average of unread prompts, in ms. The average spans several passes
/// because no prompt is unread between the end of a pass and the next burst.
const UNREAD_HALF_LIFE_MS: f64 = 300.0;

/// A request that is looking for a replica group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Number of tokens of the prompt.
    pub tokens: u32,
    /// Load, as a multiple of the slots, up to which the request may fill a group.
    pub full_at: f64,
    /// Time within which the answer should begin, in ms.
    pub goal_ms: u64,
    /// This gateway's shares of the free capacity of groups.
    pub capacity_shares: CapacityShares,
}

impl AdmissionRequest {
    fn share(&self, candidate: &Candidate) -> f64 {
        if candidate.is_local { self.capacity_shares.local } else { self.capacity_shares.remote }
    }
}

/// This gateway's state for a group, besides the counts.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    /// Window in which this gateway last sent a request to the group, and the number of requests
    /// sent in that window.
    window: u64,
    sent: u32,
    /// Moving average of the time needed to read all unread prompts at the group, in ms.
    unread_ms: f64,
    updated_at: Millis,
}

impl Group {
    fn update_unread(&mut self, now: Millis, unread_ms: f64) {
        let age_ms = now.saturating_sub(self.updated_at) as f64;
        let old_weight = 0.5f64.powf(age_ms / UNREAD_HALF_LIFE_MS);
        self.unread_ms = self.unread_ms * old_weight + unread_ms * (1.0 - old_weight);
        self.updated_at = now;
    }

    fn sent_in_window(&self, window: u64) -> f64 {
        if self.window == window { f64::from(self.sent) } else { 0.0 }
    }
}

/// Admission state: the requests that this gateway recently sent to each group.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    groups: HashMap<Target, Group>,
    salt: u64,
}

impl Admission {
    /// Creates the state of a gateway that has sent nothing. `salt` differs between gateways.
    pub fn new(config: AdmissionConfig, salt: u64) -> Admission {
        Admission { config, groups: HashMap::new(), salt }
    }

    /// Returns the load, as a multiple of the slots, up to which a caller may fill a group.
    /// `full_at` is the limit for first-time callers.
    pub fn full_at(&self, full_at: f64, came_back: bool) -> f64 {
        match came_back {
            true => full_at * f64::from(self.config.returning_percent) / 100.0,
            false => full_at,
        }
    }

    /// Removes the groups of which this gateway has used its share.
    pub fn admit(
        &mut self,
        now: Millis,
        balance: &Balance,
        request: &AdmissionRequest,
        candidates: &mut Vec<Candidate>,
    ) {
        candidates.retain(|candidate| {
            let unread = balance.load(now, candidate.target).tokens;
            let unread_ms = f64::from(unread) * candidate.token_ms;
            self.groups.entry(candidate.target).or_default().update_unread(now, unread_ms);
            self.has_slot_share(now, balance, request, candidate)
                && self.has_reading_share(now, balance, request, candidate, unread_ms)
        });
    }

    fn has_slot_share(
        &self,
        now: Millis,
        balance: &Balance,
        request: &AdmissionRequest,
        candidate: &Candidate,
    ) -> bool {
        let slots = f64::from(candidate.slots) * request.full_at;
        let free = slots - f64::from(balance.load(now, candidate.target).requests);
        if free >= slots * f64::from(self.config.plenty_percent) / 100.0 {
            return true;
        }
        let group = self.groups.get(&candidate.target).copied().unwrap_or_default();
        let sent = group.sent_in_window(self.window(now));
        sent + 1.0
            <= (free + sent) * request.share(candidate) + self.window_draw(now, candidate.target)
    }

    fn has_reading_share(
        &self,
        now: Millis,
        balance: &Balance,
        request: &AdmissionRequest,
        candidate: &Candidate,
        unread_ms: f64,
    ) -> bool {
        let limit_ms = request.goal_ms as f64 * f64::from(self.config.reading_percent) / 100.0;
        let own_ms = f64::from(balance.own_unread(candidate.target)) * candidate.token_ms;
        let prompt_ms = f64::from(request.tokens) * candidate.token_ms;
        let group = self.groups.get(&candidate.target).copied().unwrap_or_default();
        // Enforcing the share from half of that time on rejected 5 % of the callers although the
        // groups could serve all of them in time.
        if group.unread_ms < limit_ms {
            return own_ms == 0.0 || own_ms + prompt_ms <= limit_ms * request.share(candidate);
        }
        let share_ms = (limit_ms - unread_ms + own_ms).max(0.0) * request.share(candidate);
        let window_draw = if own_ms > 0.0 { 0.0 } else { self.window_draw(now, candidate.target) };
        own_ms + prompt_ms <= share_ms + prompt_ms * window_draw
    }

    fn window(&self, now: Millis) -> u64 {
        now / self.config.window_ms.max(1)
    }

    /// Returns a pseudo-random number from 0 to 1 that depends on the gateway, the group and the
    /// window.
    fn window_draw(&self, now: Millis, target: Target) -> f64 {
        let bytes = (target.0 ^ self.window(now).rotate_left(32)).to_le_bytes();
        xxh3_64_with_seed(&bytes, self.salt) as f64 / u64::MAX as f64
    }

    /// Records that a request is sent to a group.
    pub fn started(&mut self, now: Millis, target: Target) {
        let window = self.window(now);
        let group = self.groups.entry(target).or_default();
        if group.window != window {
            group.window = window;
            group.sent = 0;
        }
        group.sent += 1;
    }

    /// Drops the groups for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(Target) -> bool) {
        self.groups.retain(|target, _| keep(*target));
    }
}
