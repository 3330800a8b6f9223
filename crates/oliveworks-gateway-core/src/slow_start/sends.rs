//! Counts the requests that this gateway has sent to backend servers in the last second.

use std::collections::{HashMap, VecDeque};

use crate::Millis;
use crate::balance::Target;

/// Length of the window in which a gateway uses its share once, in ms: the second of the limit,
/// plus the time that a busy process may need between recording a send and sending.
const WINDOW_MS: u64 = 1_100;

#[derive(Clone, Debug, Default)]
struct RecentSends {
    /// Number of requests that are assigned to the backend server and not sent yet.
    chosen: u32,
    /// Times of the most recent sends.
    sent_at: VecDeque<Millis>,
}

impl RecentSends {
    fn since(&self, since: Millis) -> impl Iterator<Item = Millis> {
        self.sent_at.iter().copied().filter(move |sent_at| *sent_at > since)
    }
}

/// The recent sends of this gateway, by backend server.
#[derive(Clone, Debug, Default)]
pub struct Sends(HashMap<Target, RecentSends>);

impl Sends {
    /// Returns the time from which a backend server may receive another request, with a limit of
    /// `share` requests per window; `None` if never.
    pub fn free_at(&self, now: Millis, target: Target, share: u32) -> Option<Millis> {
        if share == 0 {
            return None;
        }
        let Some(sent) = self.0.get(&target) else { return Some(now) };
        let share = share.saturating_sub(sent.chosen) as usize;
        if share == 0 {
            // The whole share is assigned to requests that are not sent yet.
            return Some(now + WINDOW_MS);
        }
        let recent = sent.since(now.saturating_sub(WINDOW_MS)).count();
        if recent < share {
            return Some(now);
        }
        // Finds the send that has to leave the window so that at most `share - 1` sends remain.
        let mut recent = sent.since(now.saturating_sub(WINDOW_MS)).skip(recent - share);
        recent.next().map(|sent_at| sent_at + WINDOW_MS)
    }

    /// Records that a request is assigned to a backend server.
    pub fn chosen(&mut self, target: Target) {
        self.0.entry(target).or_default().chosen += 1;
    }

    /// Records that an assigned request is sent.
    pub fn sent(&mut self, now: Millis, target: Target) {
        let sent = self.0.entry(target).or_default();
        sent.chosen = sent.chosen.saturating_sub(1);
        sent.sent_at.push_back(now);
        while sent.sent_at.front().is_some_and(|sent_at| now > sent_at + WINDOW_MS) {
            sent.sent_at.pop_front();
        }
    }

    /// Records that an assigned request will not be sent.
    pub fn not_sent(&mut self, target: Target) {
        if let Some(sent) = self.0.get_mut(&target) {
            sent.chosen = sent.chosen.saturating_sub(1);
        }
    }

    /// Drops the sends that have left the window.
    pub fn retain(&mut self, now: Millis) {
        self.0.retain(|_, sent| {
            let recent = sent.sent_at.back().is_some_and(|sent_at| now <= sent_at + WINDOW_MS);
            sent.chosen > 0 || recent
        });
    }
}
