//! How much of what a replica group has free this gateway may take.
//!
//! Every gateway sees the same places come free, by counts that are some 100 to 280 ms old. If each
//! fills them, a group gets many times what it can take: 30 requests within 60 ms for two places, whose
//! first events came 300 to 700 ms later. So a gateway takes only its part of what is free, in
//! proportion to its part of the callers, in each window as long as the counts are old. What is left
//! of a place after rounding goes to gateways by lot, another one in each window.
//!
//! Two things are shared out so: slots, and the time in which a group reads prompts, since a pass that
//! reads holds up all streams of its group. Long prompts fill the second long before the first.
//!
//! Rejected: fixed parts of the slots (a gateway whose callers come in bursts refuses them beside places
//! that others do not need), and one gateway that counts for each group (another hop for each request,
//! and nobody counts while it is lost).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;
use crate::balance::{Balance, Candidate, Target};
use crate::locality::Parts;

/// The weights of admission, each measured by replayed loads with 13 gateways: *many* has more than twice
/// the callers that twelve groups serve, *long* has one and a half times the callers with
/// long prompts that three groups serve. Without any bound 42 in 100 callers of *many* and 15 of *long* are served in time, with
/// all 75 and 49.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionConfig {
    /// The part of its slots, in hundredths, that a group must have free for gateways to send there at
    /// will; 0 sets no bound on slots. Below it a herd can fill the group before anyone hears of it:
    /// without the bound 65 in 100 of *many* are in time.
    pub plenty_percent: u32,
    /// The time in which a gateway takes its part once, in ms: that between two heartbeats, which bring
    /// the counts. With 250 ms 72 in 100 of *many* are in time.
    pub window_ms: u64,
    /// What reading the unread prompts of all gateways at a group may take, in hundredths of the goal.
    /// Without the bound 30 in 100 of *long* are in time. With 50 in place of 75 more of *long* are, but 5 in 100 of
    /// as many as the groups can just serve are refused, which cost pools of 30 hosts 0.04 of their worth.
    pub reading_percent: u32,
    /// The part of the slots, in hundredths, that callers who have come back may fill. They are late
    /// whatever is done, and the rest is kept for those who can still be in time: with 100, 65 in 100
    /// of *many* are.
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

/// The time in which half of a change in what is unread is taken in, in ms: some passes, since between
/// the end of one and the next herd nothing is unread.
const UNREAD_HALF_MS: f64 = 300.0;

/// A request that looks for a replica group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asking {
    /// Tokens of its prompt.
    pub tokens: u32,
    /// The load, in slots, up to which it may fill a group.
    pub full_at: f64,
    /// The time in which it should begin to be answered, in ms.
    pub goal_ms: u64,
    /// This gateway's parts of what groups have free.
    pub parts: Parts,
}

impl Asking {
    fn part(&self, candidate: &Candidate) -> f64 {
        if candidate.near { self.parts.near } else { self.parts.far }
    }
}

/// What this gateway knows of a group beside the counts.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    /// The window in which it last sent there, and how many requests.
    window: u64,
    sent: u32,
    /// What reading all that is unread there takes, in the mean, in ms.
    unread_ms: f64,
    noted_at: Millis,
}

impl Group {
    fn note_unread(&mut self, now: Millis, unread_ms: f64) {
        let age_ms = now.saturating_sub(self.noted_at) as f64;
        let old = 0.5f64.powf(age_ms / UNREAD_HALF_MS);
        self.unread_ms = self.unread_ms * old + unread_ms * (1.0 - old);
        self.noted_at = now;
    }

    fn sent_in(&self, window: u64) -> f64 {
        if self.window == window { f64::from(self.sent) } else { 0.0 }
    }
}

/// What this gateway took of each group lately.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    groups: HashMap<Target, Group>,
    salt: u64,
}

impl Admission {
    /// Nothing was taken yet; `salt` differs from gateway to gateway.
    pub fn new(config: AdmissionConfig, salt: u64) -> Admission {
        Admission { config, groups: HashMap::new(), salt }
    }

    /// The load, in slots, up to which a caller may fill what others may fill up to `full_at`.
    pub fn full_at(&self, full_at: f64, came_back: bool) -> f64 {
        match came_back {
            true => full_at * f64::from(self.config.returning_percent) / 100.0,
            false => full_at,
        }
    }

    /// Leaves out the groups of which this gateway has taken its part.
    pub fn admit(
        &mut self,
        now: Millis,
        balance: &Balance,
        asking: &Asking,
        candidates: &mut Vec<Candidate>,
    ) {
        candidates.retain(|candidate| {
            let unread = balance.load(now, candidate.target).tokens;
            let unread_ms = f64::from(unread) * candidate.token_ms;
            self.groups.entry(candidate.target).or_default().note_unread(now, unread_ms);
            self.may_take_slot(now, balance, asking, candidate)
                && self.may_read(now, balance, asking, candidate, unread_ms)
        });
    }

    fn may_take_slot(
        &self,
        now: Millis,
        balance: &Balance,
        asking: &Asking,
        candidate: &Candidate,
    ) -> bool {
        let slots = f64::from(candidate.slots) * asking.full_at;
        let free = slots - f64::from(balance.load(now, candidate.target).requests);
        if free >= slots * f64::from(self.config.plenty_percent) / 100.0 {
            return true;
        }
        let group = self.groups.get(&candidate.target).copied().unwrap_or_default();
        let sent = group.sent_in(self.window(now));
        sent + 1.0 <= (free + sent) * asking.part(candidate) + self.lot(now, candidate.target)
    }

    fn may_read(
        &self,
        now: Millis,
        balance: &Balance,
        asking: &Asking,
        candidate: &Candidate,
        unread_ms: f64,
    ) -> bool {
        let all_ms = asking.goal_ms as f64 * f64::from(self.config.reading_percent) / 100.0;
        let own_ms = f64::from(balance.own_unread(candidate.target)) * candidate.token_ms;
        let prompt_ms = f64::from(asking.tokens) * candidate.token_ms;
        let group = self.groups.get(&candidate.target).copied().unwrap_or_default();
        // Kept to already where half of that time was taken, 5 in 100 callers were refused that the groups
        // could all serve in time.
        if group.unread_ms < all_ms {
            return own_ms == 0.0 || own_ms + prompt_ms <= all_ms * asking.part(candidate);
        }
        let part_ms = (all_ms - unread_ms + own_ms).max(0.0) * asking.part(candidate);
        let lot = if own_ms > 0.0 { 0.0 } else { self.lot(now, candidate.target) };
        own_ms + prompt_ms <= part_ms + prompt_ms * lot
    }

    fn window(&self, now: Millis) -> u64 {
        now / self.config.window_ms.max(1)
    }

    /// A number from 0 to 1, another one for each gateway, group and window.
    fn lot(&self, now: Millis, target: Target) -> f64 {
        let bytes = (target.0 ^ self.window(now).rotate_left(32)).to_le_bytes();
        xxh3_64_with_seed(&bytes, self.salt) as f64 / u64::MAX as f64
    }

    /// A request goes to a group.
    pub fn started(&mut self, now: Millis, target: Target) {
        let window = self.window(now);
        let group = self.groups.entry(target).or_default();
        if group.window != window {
            group.window = window;
            group.sent = 0;
        }
        group.sent += 1;
    }

    /// Forgets groups that are gone.
    pub fn retain(&mut self, keep: impl Fn(Target) -> bool) {
        self.groups.retain(|target, _| keep(*target));
    }
}
