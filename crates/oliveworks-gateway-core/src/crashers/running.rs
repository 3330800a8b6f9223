//! Where requests of this gateway's that are held suspect run.

use std::collections::HashMap;

use super::{Fingerprint, Standing};
use crate::balance::Target;

/// Suspects that run at a place.
#[derive(Clone, Copy, Debug, Default)]
struct Suspects {
    all: u32,
    strong: u32,
}

/// Suspects that run now, by place.
#[derive(Clone, Debug, Default)]
pub(super) struct Running {
    places: HashMap<Target, Suspects>,
    /// Runs of each request.
    requests: HashMap<Fingerprint, u32>,
}

impl Running {
    /// One begins to run at a place.
    pub fn placed(&mut self, target: Target, request: Fingerprint, standing: Standing) {
        *self.requests.entry(request).or_default() += 1;
        let suspects = self.places.entry(target).or_default();
        suspects.all += 1;
        suspects.strong += u32::from(standing.is_strong_suspect());
    }

    /// It runs there no more.
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

    /// Whether a request runs anywhere.
    pub fn has_request(&self, request: Fingerprint) -> bool {
        self.requests.contains_key(&request)
    }

    /// Whether some run at a place.
    pub fn has_any(&self, target: Target) -> bool {
        self.places.contains_key(&target)
    }

    /// Whether strong ones run there.
    pub fn has_strong(&self, target: Target) -> bool {
        self.places.get(&target).is_some_and(|suspects| suspects.strong > 0)
    }
}
