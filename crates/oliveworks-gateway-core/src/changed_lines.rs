//! Lines that describe a state, told when it changes and now and then.
//!
//! Rejected: all of them each second (the last hundred lines of a leader before ten failure domains held ten seconds, and
//! none of its orders).

use std::collections::HashSet;

use crate::Millis;

/// The time after which a line that has not changed is told again, in ms.
const AGAIN_MS: u64 = 10_000;

/// Lines, as they were last told.
#[derive(Clone, Debug, Default)]
pub struct ChangedLines {
    told: HashSet<String>,
    all_told_at: Option<Millis>,
}

impl ChangedLines {
    /// Which of all lines are to be told now.
    pub fn due(&mut self, now: Millis, lines: Vec<String>) -> Vec<String> {
        let all = self.all_told_at.is_none_or(|at| now >= at + AGAIN_MS);
        if all {
            self.all_told_at = Some(now);
        }
        let due = lines.iter().filter(|line| all || !self.told.contains(*line)).cloned().collect();
        self.told = lines.into_iter().collect();
        due
    }
}
