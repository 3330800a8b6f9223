//! Whether a caller has come back after a refusal or a failure.
//!
//! An answer is worth most within its goal, counted from the caller's first try. Who comes back is past
//! that, so at full load the last places are left to those who come for the first time. Each attempt
//! bears an id of its own and may reach any gateway, so neither ids nor memory tell. What tells is the
//! time that the caller still waits: it shrinks with every attempt, and first attempts of a route name
//! much the same. Rejected: remembering prompts that were refused, which every gateway would have to be
//! told of.

use std::collections::{HashMap, VecDeque};

/// Attempts of a route that its usual time is taken from: one to three seconds of a busy route.
const KEPT: usize = 64;
/// The fewest of them that say anything.
const KEPT_MIN: usize = 8;
/// The part of those attempts, in hundredths, that name at most the usual time. Beyond half, since under
/// load as many may come back as come first; below all, so that a few very patient callers do not make
/// everyone else look late.
const USUAL_PERCENT: usize = 90;
/// A caller that names a smaller part of the usual time than this, in hundredths, has come back: first
/// attempts differ by up to 15 in 100.
const FIRST_PERCENT: u32 = 80;

/// The time that callers of each route still wait, as the last attempts named it, in ms.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    routes: HashMap<String, VecDeque<u32>>,
}

impl Waits {
    /// Notes the time that a caller of a route still waits, in ms, and tells whether it has come back.
    pub fn came_back(&mut self, route: &str, left_ms: u32) -> bool {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), VecDeque::with_capacity(KEPT));
        }
        let Some(kept) = self.routes.get_mut(route) else { return false };
        if kept.len() == KEPT {
            kept.pop_front();
        }
        kept.push_back(left_ms);
        usual_ms(kept).is_some_and(|usual_ms| left_ms < usual_ms / 100 * FIRST_PERCENT)
    }

    /// Forgets routes that a configuration no longer has.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }
}

/// The time that first attempts name, in ms, if enough attempts are known.
fn usual_ms(kept: &VecDeque<u32>) -> Option<u32> {
    if kept.len() < KEPT_MIN {
        return None;
    }
    let mut sorted: Vec<u32> = kept.iter().copied().collect();
    let index = (sorted.len() - 1) * USUAL_PERCENT / 100;
    let (_, usual_ms, _) = sorted.select_nth_unstable(index);
    Some(*usual_ms)
}
