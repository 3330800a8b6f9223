//! Looks for a place for a request.

use std::time::Duration;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::admission::Asking;
use oliveworks_gateway_core::balance::{Candidate, NoTarget, Target};
use oliveworks_gateway_core::demand::ModelKey;
use tokio::time::sleep;

use super::Job;
use crate::places::Place;

/// The part of its goal that a request waits for a place, in hundredths.
const WAIT_PERCENT: u64 = 22;
/// How long a stream that has begun waits for a place to go on.
const RESUME_WAIT_MS: u64 = 1_800;
/// The time between two looks for a place.
const LOOK_MS: u64 = 15;

/// No place was found.
struct NoPlace {
    none: NoTarget,
    /// When there may be one, if that is known; it is not where all are full.
    free_at: Option<Millis>,
}

impl NoPlace {
    fn of(none: NoTarget) -> NoPlace {
        NoPlace { none, free_at: None }
    }

    /// Whether there is certainly none until a time.
    fn lasts_until(&self, until: Millis) -> bool {
        self.none == NoTarget::Cold && self.free_at.is_none_or(|at| at > until)
    }
}

impl Job<'_> {
    fn places(&self) -> Vec<Place> {
        let mut places = match &self.model {
            Some(model) => self.gateway.group_places(&self.service, model),
            None => self.gateway.plain_places(&self.service),
        };
        places.retain(|place| self.may_go_to(place));
        places
    }

    /// Whether a request may go to a place at all, however busy that is.
    pub(super) fn may_go_to(&self, place: &Place) -> bool {
        !self.gateway.is_drained(&place.failure_domain)
    }

    /// This gateway's part of the callers of its model, 0 to 1.
    fn own_part(&self) -> f64 {
        let Some(model) = &self.model else { return 1.0 };
        let key = ModelKey::of(&self.service, model);
        self.gateway.demand.borrow().own_part(self.gateway.now(), key)
    }

    /// Leaves out replica groups of which this gateway has taken its part.
    fn admit(&self, full_at: f64, candidates: &mut Vec<Candidate>) {
        let asking = Asking {
            tokens: self.asked.prompt_tokens,
            full_at,
            goal_ms: self.route.goal_ms,
            part: self.own_part(),
        };
        let balance = self.gateway.balance.borrow();
        let mut admission = self.gateway.admission.borrow_mut();
        admission.admit(self.gateway.now(), &balance, &asking, candidates);
    }

    /// Chooses among places, if one takes it now. A request that goes on after an attempt is not held
    /// up by admission: its caller has waited for it already.
    fn choose(&self, places: &[Place], goes_on: bool) -> Result<Target, NoPlace> {
        let full_at = self.gateway.settings.requests.full_at;
        let came_back = self.served.came_back && !goes_on;
        let full_at = self.gateway.admission.borrow().full_at(full_at, came_back);
        let mut candidates: Vec<_> = places.iter().map(|place| place.candidate).collect();
        if self.model.is_some() && !goes_on {
            self.admit(full_at, &mut candidates);
        }
        if candidates.is_empty() && !places.is_empty() {
            return Err(NoPlace::of(NoTarget::Full));
        }
        let free_at = self.gateway.leave_out_cold(&self.service, &mut candidates);
        if candidates.is_empty() && !places.is_empty() {
            return Err(NoPlace { none: NoTarget::Cold, free_at });
        }
        let now = self.gateway.now();
        let balance = self.gateway.balance.borrow();
        let chosen = balance.choose(now, &candidates, &self.tried, full_at, rand::random());
        chosen.map_err(NoPlace::of)
    }

    /// Chooses where to send it; waits a little if all places are taken, and for a first one not at all where
    /// there is none or it is known that none comes free.
    pub(super) async fn place(&mut self) -> Result<Place, NoTarget> {
        let goes_on = self.begun || self.attempts.sent() > 0;
        let patience_ms = match goes_on {
            true => RESUME_WAIT_MS,
            false => self.route.goal_ms * WAIT_PERCENT / 100,
        };
        let began = self.gateway.now();
        let until = (began + patience_ms).min(self.deadline);
        loop {
            let places = self.places();
            if places.is_empty() && self.gateway.is_all_drained(&self.service) {
                // Drains last: what goes on after an attempt does not wait for their end either.
                return Err(NoTarget::Drained);
            }
            if places.is_empty() && !goes_on {
                // No group is formed, and nobody joins the list, within a part of a goal.
                return Err(NoTarget::None);
            }
            let none = match self.choose(&places, goes_on) {
                Ok(target) => {
                    let found = places.into_iter().find(|place| place.candidate.target == target);
                    return found.ok_or(NoTarget::None);
                }
                Err(none) => none,
            };
            if self.gateway.now() >= until || (!goes_on && none.lasts_until(until)) {
                let part = self.own_part();
                self.log.push(format!("{} places, part of callers {part:.2}", places.len()));
                return Err(none.none);
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }
}
