//! Selection of state lines for the log: a line is logged when it changes, and all lines
//! periodically.
//!
//! Rejected alternative: logging all lines every second. With ten failure domains, the last hundred
//! lines of a leader covered ten seconds and held none of its orders.

use std::collections::HashSet;

use crate::Millis;

/// Interval after which unchanged lines are logged again, in ms.
const REPEAT_MS: u64 = 10_000;

/// The lines that were logged last.
#[derive(Clone, Debug, Default)]
pub struct ChangedLines {
    logged: HashSet<String>,
    all_logged_at: Option<Millis>,
}

impl ChangedLines {
    /// Returns the lines that are to be logged now.
    pub fn due(&mut self, now: Millis, lines: Vec<String>) -> Vec<String> {
        let all = self.all_logged_at.is_none_or(|at| now >= at + REPEAT_MS);
        if all {
            self.all_logged_at = Some(now);
        }
        let due =
            lines.iter().filter(|line| all || !self.logged.contains(*line)).cloned().collect();
        self.logged = lines.into_iter().collect();
        due
    }
}
