//! Looks for a place for a request.

use std::time::Duration;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::admission::Asking;
use oliveworks_gateway_core::balance::{Candidate, NoTarget, Target};
use oliveworks_gateway_core::demand::ModelKey;
use oliveworks_gateway_core::locality::{CallersPart, Parts};
use oliveworks_gateway_core::residency::Allowed;
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
    reason: NoTarget,
    /// When a place may come free; none if that is not known, or never. Known of cold places only, whose
    /// bound is by the second.
    free_at: Option<Millis>,
}

impl NoPlace {
    fn of(reason: NoTarget) -> NoPlace {
        NoPlace { reason, free_at: None }
    }

    /// Whether there is certainly none until a time.
    fn lasts_until(&self, until: Millis) -> bool {
        self.reason == NoTarget::Cold && self.free_at.is_none_or(|at| at > until)
    }
}

impl Job<'_> {
    fn all_places(&self) -> Vec<Place> {
        match &self.model {
            Some(model) => self.gateway.group_places(&self.service, model),
            None => self.gateway.plain_places(&self.service),
        }
    }

    fn places(&self) -> Vec<Place> {
        let mut places = self.all_places();
        places.retain(|place| self.may_go_to(place));
        places
    }

    /// Whether a request may go to a place at all, however busy that is.
    pub(super) fn may_go_to(&self, place: &Place) -> bool {
        !self.gateway.is_drained(&place.failure_domain) && self.may_be_served_at(place)
    }

    /// Whether a place is in a region that may serve the request.
    fn may_be_served_at(&self, place: &Place) -> bool {
        let region = self.gateway.settings.regions.get(&place.failure_domain);
        self.allowed().may_serve(region.map(String::as_str))
    }

    fn allowed(&self) -> Allowed<'_> {
        Allowed { route: &self.route.regions, workspace: &self.workspace_regions }
    }

    /// Whether there are places, but none in a region that may serve the request.
    pub(super) fn is_kept_from_all_regions(&self) -> bool {
        let places = self.all_places();
        !places.is_empty() && !places.iter().any(|place| self.may_be_served_at(place))
    }

    /// This gateway's part of the callers of its model.
    fn callers_part(&self) -> CallersPart {
        let Some(model) = &self.model else { return CallersPart::UNKNOWN };
        let key = ModelKey::of(&self.service, model);
        self.gateway.demand.borrow().callers_part(self.gateway.now(), key)
    }

    /// Leaves out replica groups of which this gateway has taken its part.
    fn admit(&self, full_at: f64, parts: Parts, candidates: &mut Vec<Candidate>) {
        let asking = Asking {
            tokens: self.asked.prompt_tokens,
            full_at,
            goal_ms: self.route.goal_ms,
            parts,
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
        let now = self.gateway.now();
        let callers = self.callers_part();
        let sides = self.gateway.balance.borrow().sides(now, &candidates);
        if self.model.is_some() && !goes_on {
            self.admit(full_at, sides.parts(&callers), &mut candidates);
        }
        if candidates.is_empty() && !places.is_empty() {
            return Err(NoPlace::of(NoTarget::Full));
        }
        let free_at = self.gateway.leave_out_cold(&self.service, &mut candidates);
        if candidates.is_empty() && !places.is_empty() {
            return Err(NoPlace { reason: NoTarget::Cold, free_at });
        }
        let balance = self.gateway.balance.borrow();
        let draw = rand::random();
        let chosen = match sides.spills(&callers, draw) {
            true => balance.choose(now, &candidates, &self.tried, full_at, draw),
            false => balance.choose_near(now, &candidates, &self.tried, full_at, draw),
        };
        chosen.map_err(NoPlace::of)
    }

    /// Counts whether a request stays in this failure domain; `near` is whether it could.
    fn count_way(&self, place: &Place, near: bool) {
        let way = match (place.candidate.near, near) {
            (true, _) => "requests_near",
            (false, true) => "requests_spilled",
            (false, false) => "requests_far",
        };
        self.gateway.count(way);
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
                // A drain may take hours: not even a request that was sent before waits for its end.
                return Err(NoTarget::Drained);
            }
            if places.is_empty() && !goes_on {
                // Neither a group nor a backend server is expected before the wait would be over.
                return Err(NoTarget::None);
            }
            let no_place = match self.choose(&places, goes_on) {
                Ok(target) => {
                    let near = places.iter().any(|place| place.candidate.near);
                    let found = places.into_iter().find(|place| place.candidate.target == target);
                    let place = found.ok_or(NoTarget::None)?;
                    self.count_way(&place, near);
                    return Ok(place);
                }
                Err(no_place) => no_place,
            };
            if self.gateway.now() >= until || (!goes_on && no_place.lasts_until(until)) {
                let part = self.callers_part().of_all;
                self.log.push(format!("{} places, part of callers {part:.2}", places.len()));
                return Err(no_place.reason);
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }
}
