//! What this gateway has sent to backend servers in the last second.

use std::collections::{HashMap, VecDeque};

use crate::Millis;
use crate::balance::Target;

/// The time in which a gateway takes its part once, in ms: the second of the bound, and what a busy process
/// may take from noting that it sends to sending.
const WINDOW_MS: u64 = 1_100;

#[derive(Clone, Debug, Default)]
struct Sent {
    /// Requests that were given to it and are not sent yet.
    chosen: u32,
    /// When the last ones were sent.
    at: VecDeque<Millis>,
}

impl Sent {
    fn since(&self, since: Millis) -> impl Iterator<Item = Millis> {
        self.at.iter().copied().filter(move |at| *at > since)
    }
}

/// What this gateway has sent lately, by backend server.
#[derive(Clone, Debug, Default)]
pub struct Sends(HashMap<Target, Sent>);

impl Sends {
    /// When a backend server may be sent another request, of `part` in a window; none if never.
    pub fn free_at(&self, now: Millis, target: Target, part: u32) -> Option<Millis> {
        if part == 0 {
            return None;
        }
        let Some(sent) = self.0.get(&target) else { return Some(now) };
        let part = part.saturating_sub(sent.chosen) as usize;
        if part == 0 {
            // All of it is on its way.
            return Some(now + WINDOW_MS);
        }
        let lately = sent.since(now.saturating_sub(WINDOW_MS)).count();
        if lately < part {
            return Some(now);
        }
        // The one after whose end only `part` less one remain.
        let mut lately = sent.since(now.saturating_sub(WINDOW_MS)).skip(lately - part);
        lately.next().map(|at| at + WINDOW_MS)
    }

    /// A request was given to a backend server.
    pub fn chosen(&mut self, target: Target) {
        self.0.entry(target).or_default().chosen += 1;
    }

    /// One that was given to it is sent.
    pub fn sent(&mut self, now: Millis, target: Target) {
        let sent = self.0.entry(target).or_default();
        sent.chosen = sent.chosen.saturating_sub(1);
        sent.at.push_back(now);
        while sent.at.front().is_some_and(|at| now > at + WINDOW_MS) {
            sent.at.pop_front();
        }
    }

    /// One that was given to it will not be sent.
    pub fn not_sent(&mut self, target: Target) {
        if let Some(sent) = self.0.get_mut(&target) {
            sent.chosen = sent.chosen.saturating_sub(1);
        }
    }

    /// Forgets what was sent earlier.
    pub fn retain(&mut self, now: Millis) {
        self.0.retain(|_, sent| {
            let lately = sent.at.back().is_some_and(|at| now <= at + WINDOW_MS);
            sent.chosen > 0 || lately
        });
    }
}
