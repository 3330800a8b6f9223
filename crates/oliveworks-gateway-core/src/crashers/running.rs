//! The targets at which suspected requests of this gateway are running.

use std::collections::HashMap;

use super::{Fingerprint, Standing};
use crate::balance::Target;

/// Number of suspected requests that run at a target.
#[derive(Clone, Copy, Debug, Default)]
struct Suspects {
    all: u32,
    strong: u32,
}

/// The suspected requests that are running now.
#[derive(Clone, Debug, Default)]
pub(super) struct Running {
    places: HashMap<Target, Suspects>,
    /// Number of runs of each request.
    requests: HashMap<Fingerprint, u32>,
}

impl Running {
    /// Records that a suspected request starts to run at a target.
    pub fn placed(&mut self, target: Target, request: Fingerprint, standing: Standing) {
        *self.requests.entry(request).or_default() += 1;
        let suspects = self.places.entry(target).or_default();
        suspects.all += 1;
        suspects.strong += u32::from(standing.is_strong_suspect());
    }

    /// Records that a suspected request no longer runs at a target.
    pub fn left(&mut self, target: Target, request: Fingerprint, standing: Standing) {
        if let Some(runs) = self.requests.get_mut(&request) {
            *runs = runs.saturating_sub(1);
            if *runs == 0 {
                self.requests.remove(&request);
            }
        }
        let Some(suspects) = self.places.get_mut(&target) else { return };
        suspects.all = suspects.all.saturating_sub(1);
        suspects.strong = suspects.strong.saturating_sub(u32::from(standing.is_strong_suspect()));
        if suspects.all == 0 {
            self.places.remove(&target);
        }
    }

    /// Returns whether a request is running at any target.
    pub fn has_request(&self, request: Fingerprint) -> bool {
        self.requests.contains_key(&request)
    }

    /// Returns whether any suspected request is running at a target.
    pub fn has_any(&self, target: Target) -> bool {
        self.places.contains_key(&target)
    }

    /// Returns whether any strongly suspected request is running at a target.
    pub fn has_strong(&self, target: Target) -> bool {
        self.places.get(&target).is_some_and(|suspects| suspects.strong > 0)
    }
}
