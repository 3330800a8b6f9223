//! How much of what a replica group has free this gateway may take.
//!
//! Every gateway sees the same places come free, by counts that are some 100 to 280 ms old. If each
//! fills them, a group gets many times what it can take: 30 requests within 60 ms for two places, whose
//! first events came 300 to 700 ms later. So a gateway takes only its part of what is free, in
//! proportion to its part of the callers, in each window as long as the counts are old. What is left
//! of a place after rounding goes to gateways by lot, another one in each window.
//!
//! Rejected: fixed parts of the slots (a gateway whose callers come in bursts refuses them beside places
//! that others do not need), and one gateway that counts for each group (another hop for each request,
//! and nobody counts while it is lost).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;
use crate::balance::{Balance, Candidate, Target};

/// The weights of admission. Each is measured by the replay of a recorded load, 13 gateways before twelve
/// groups with more than twice the callers that these serve; without any, 39 in 100 of them are served
/// in time, with all 76.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionConfig {
    /// The part of its slots, in hundredths, that a group must have free for gateways to send there at
    /// will; 0 sets no bound on slots. Below it a herd can fill the group before anyone hears of it.
    pub plenty_percent: u32,
    /// The time in which a gateway takes its part once, in ms: that between two heartbeats, which bring
    /// the counts. With 250 ms 73 in 100 are in time.
    pub window_ms: u64,
    /// What reading the unread prompts of all gateways at a group may take, in hundredths of the goal;
    /// each gateway keeps to its part of it. A pass that reads holds up all streams of its group.
    pub reading_percent: u32,
    /// The part of the slots, in hundredths, that callers who have come back may fill. They are late
    /// whatever is done, and the rest is kept for those who can still be in time: with 100, 65 in 100 are.
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

/// A request that looks for a replica group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asking {
    /// Tokens of its prompt.
    pub tokens: u32,
    /// The load, in slots, up to which it may fill a group.
    pub full_at: f64,
    /// The time in which it should begin to be answered, in ms.
    pub goal_ms: u64,
    /// This gateway's part of the callers of its model, 0 to 1.
    pub part: f64,
}

/// A group as this gateway sees it.
#[derive(Clone, Copy, Debug)]
struct Room {
    target: Target,
    /// Requests that it works on at once, as far as this one may fill it.
    slots: f64,
    /// Requests that are open there, of all gateways.
    open: u32,
    /// What reading this gateway's unread prompts and this one takes, in ms.
    reading_ms: f64,
    /// Whether this gateway has no unread prompt there.
    all_read: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    index: u64,
    sent: u32,
}

/// What this gateway took of each group lately.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    windows: HashMap<Target, Window>,
    salt: u64,
}

impl Admission {
    /// Nothing was taken yet; `salt` differs from gateway to gateway.
    pub fn new(config: AdmissionConfig, salt: u64) -> Admission {
        Admission { config, windows: HashMap::new(), salt }
    }

    fn index(&self, now: Millis) -> u64 {
        now / self.config.window_ms.max(1)
    }

    fn sent(&self, now: Millis, target: Target) -> u32 {
        let window = self.windows.get(&target).filter(|window| window.index == self.index(now));
        window.map_or(0, |window| window.sent)
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
        &self,
        now: Millis,
        balance: &Balance,
        asking: &Asking,
        candidates: &mut Vec<Candidate>,
    ) {
        candidates.retain(|candidate| {
            let unread = balance.own_unread(candidate.target);
            let room = Room {
                target: candidate.target,
                slots: f64::from(candidate.slots) * asking.full_at,
                open: balance.load(now, candidate.target).requests,
                reading_ms: f64::from(unread + asking.tokens) * candidate.token_ms,
                all_read: unread == 0,
            };
            self.may_read(&room, asking) && self.may_take(now, &room, asking.part)
        });
    }

    /// Always for one prompt, however long.
    fn may_read(&self, room: &Room, asking: &Asking) -> bool {
        let all_ms = asking.goal_ms as f64 * f64::from(self.config.reading_percent) / 100.0;
        room.all_read || room.reading_ms <= all_ms * asking.part
    }

    fn may_take(&self, now: Millis, room: &Room, part: f64) -> bool {
        let free = room.slots - f64::from(room.open);
        if free >= room.slots * f64::from(self.config.plenty_percent) / 100.0 {
            return true;
        }
        let sent = f64::from(self.sent(now, room.target));
        sent + 1.0 <= (free + sent) * part + self.lot(now, room.target)
    }

    /// A number from 0 to 1, another one for each gateway, group and window.
    fn lot(&self, now: Millis, target: Target) -> f64 {
        let bytes = (target.0 ^ self.index(now).rotate_left(32)).to_le_bytes();
        xxh3_64_with_seed(&bytes, self.salt) as f64 / u64::MAX as f64
    }

    /// A request goes to a group.
    pub fn started(&mut self, now: Millis, target: Target) {
        let index = self.index(now);
        let window = self.windows.entry(target).or_default();
        if window.index != index {
            *window = Window { index, sent: 0 };
        }
        window.sent += 1;
    }

    /// Forgets groups that are gone.
    pub fn retain(&mut self, keep: impl Fn(Target) -> bool) {
        self.windows.retain(|target, _| keep(*target));
    }
}
