//! Search for a place for a request.

use std::time::Duration;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::admission::AdmissionRequest;
use oliveworks_gateway_core::balance::{Candidate, NoTarget, Target};
use oliveworks_gateway_core::crashers::{Crashers, Standing};
use oliveworks_gateway_core::demand::ModelKey;
use oliveworks_gateway_core::locality::{CallerShare, CapacityShares};
use oliveworks_gateway_core::obstacles::{FreeAt, NoPlace, describe, is_kept_by_region};
use oliveworks_gateway_core::residency::Allowed;
use tokio::time::timeout;

use super::Job;
use crate::obstacles::Places;
use crate::places::Place;

/// Longest wait for a first place, in hundredths of the goal of the route.
const WAIT_PERCENT: u64 = 22;
/// Longest wait for a place to resume a request that was sent before, in ms.
const RESUME_WAIT_MS: u64 = 1_800;
/// Time between two searches for a place, in ms.
const POLL_INTERVAL_MS: u64 = 15;

impl Job<'_> {
    fn candidate_places(&self) -> Vec<Place> {
        match &self.model {
            Some(model) => self.gateway.group_places(&self.service, model),
            None => self.gateway.plain_places(&self.service),
        }
    }

    pub(super) fn allowed(&self) -> Allowed<'_> {
        Allowed { route: &self.route.regions, workspace: &self.workspace_regions }
    }

    /// Returns this gateway's share of the callers of the model.
    fn callers_share(&self) -> CallerShare {
        let Some(model) = &self.model else { return CallerShare::UNKNOWN };
        let key = ModelKey::of(&self.service, model);
        self.gateway.demand.borrow().caller_share(self.gateway.now(), key)
    }

    /// Removes replica groups whose quota for this gateway is used up.
    fn admit(
        &self,
        full_at: f64,
        capacity_shares: CapacityShares,
        candidates: &mut Vec<Candidate>,
    ) {
        let request = AdmissionRequest {
            tokens: self.asked.prompt_tokens,
            full_at,
            goal_ms: self.route.goal_ms,
            capacity_shares,
        };
        let balance = self.gateway.balance.borrow();
        let mut admission = self.gateway.admission.borrow_mut();
        admission.admit(self.gateway.now(), &balance, &request, candidates);
    }

    /// Chooses among eligible places, if one has a free slot now. A request that resumes after an
    /// attempt skips admission, since its caller has already waited for it.
    fn choose(&self, places: &[Place], is_resumed: bool) -> Result<Target, NoTarget> {
        let full_at = self.gateway.settings.requests.full_at;
        let came_back = self.served.came_back && !is_resumed;
        let full_at = self.gateway.admission.borrow().full_at(full_at, came_back);
        let mut candidates: Vec<_> = places.iter().map(|place| place.candidate).collect();
        let now = self.gateway.now();
        let callers = self.callers_share();
        let usage = self.gateway.balance.borrow().usage_by_locality(now, &candidates);
        if self.model.is_some() && !is_resumed {
            self.admit(full_at, usage.capacity_shares(&callers), &mut candidates);
        }
        if candidates.is_empty() && !places.is_empty() {
            return Err(NoTarget::Full);
        }
        let balance = self.gateway.balance.borrow();
        let draw = rand::random();
        match usage.spills(&callers, draw) {
            true => balance.choose(now, &candidates, &self.tried_targets, full_at, draw),
            false => balance.choose_local(now, &candidates, &self.tried_targets, full_at, draw),
        }
    }

    /// Chooses a place for a request that may be a suspect (see [`crate::crashers`]). Places with
    /// other suspects are avoided, since the end of a backend server then gives the strongest
    /// evidence of its cause. If all places have suspects, only places with strong suspects are
    /// avoided.
    fn choose_for_suspect(
        &self,
        places: &[Place],
        is_resumed: bool,
        standing: Standing,
    ) -> Result<Target, NoTarget> {
        if standing == Standing::Clear {
            return self.choose(places, is_resumed);
        }
        let without = |is_there: fn(&Crashers, Target) -> bool| {
            let crashers = self.gateway.crashers.borrow();
            let apart = places.iter().filter(|p| !is_there(&crashers, p.candidate.target));
            apart.cloned().collect::<Vec<Place>>()
        };
        let found = self.choose(&without(Crashers::has_suspects), is_resumed);
        let found =
            found.or_else(|_| self.choose(&without(Crashers::has_strong_suspects), is_resumed));
        found.or_else(|_| self.choose(places, is_resumed))
    }

    /// Counts whether a request stays in the local failure domain; `is_local_eligible` is whether a
    /// local place was eligible.
    fn count_locality(&self, place: &Place, is_local_eligible: bool) {
        let counter = match (place.candidate.is_local, is_local_eligible) {
            (true, _) => "requests_near",
            (false, true) => "requests_spilled",
            (false, false) => "requests_far",
        };
        self.gateway.count(counter);
    }

    /// Returns whether a request that found no place stops waiting.
    ///
    /// A request that was sent before also waits if no place is expected, since a group may form
    /// meanwhile. The exception is a backoff of the hosts while the caller has received nothing: an
    /// early answer that names the retry time serves the caller better.
    fn stops_waiting(&self, no_place: &NoPlace, is_resumed: bool, until: Millis) -> bool {
        let waits_anyway = match no_place.reason {
            NoTarget::Backoff => self.head_sent,
            // A drain may last for hours.
            NoTarget::Drained => false,
            _ => is_resumed,
        };
        self.gateway.now() >= until || !waits_anyway && no_place.lasts_until(until)
    }

    /// Returns the reason why no place was found, from the failed choice or the obstacles.
    fn no_place(&self, places: &Places, found: NoTarget) -> NoPlace {
        if !places.eligible.is_empty() {
            return found.into();
        }
        let no_place = NoPlace::from_obstacles(&places.obstacles);
        let may_be_drained = no_place.free_at == FreeAt::NotSoon;
        if may_be_drained && self.gateway.is_all_drained(&self.service) {
            return NoPlace { reason: NoTarget::Drained, ..no_place };
        }
        no_place
    }

    fn log_no_place(&mut self, places: &Places) {
        let part = self.callers_share().of_all;
        let (open, obstacles) = (places.eligible.len(), &places.obstacles);
        let kept = describe(obstacles);
        self.log.push(format!(
            "{open} open places; kept from others: {kept}; part of callers {part:.2}"
        ));
        if self.model.is_some() && open == 0 && obstacles.is_empty() {
            self.log.push(self.gateway.describe_service(&self.service));
        }
        if open == 0 && is_kept_by_region(obstacles) {
            self.log.push("no place in a region that may serve it".into());
            self.gateway.count("refused_for_region");
        }
    }

    /// Chooses where to send the request. Waits for a limited time if all places are taken. A first
    /// attempt does not wait if there is no place or none is known to become free in time, and a
    /// search after one that failed does not wait, since it will be repeated.
    pub(super) async fn place(&mut self, standing: Standing) -> Result<Place, NoPlace> {
        let is_resumed = self.head_sent || self.attempts.sent() > 0;
        let max_wait_ms = match is_resumed {
            true if self.searches_failed > 0 => 0,
            true => RESUME_WAIT_MS,
            false => self.route.goal_ms * WAIT_PERCENT / 100,
        };
        let began = self.gateway.now();
        let until = (began + max_wait_ms).min(self.deadline);
        loop {
            let all = self.candidate_places();
            let places =
                self.gateway.divide_places(&self.service, all, self.allowed(), &self.tried_targets);
            let no_place = match self.choose_for_suspect(&places.eligible, is_resumed, standing) {
                Ok(target) => {
                    let is_local_eligible =
                        places.eligible.iter().any(|place| place.candidate.is_local);
                    let mut open = places.eligible.into_iter();
                    let found = open.find(|place| place.candidate.target == target);
                    let place = found.ok_or(NoTarget::None)?;
                    self.count_locality(&place, is_local_eligible);
                    return Ok(place);
                }
                Err(found) => self.no_place(&places, found),
            };
            if self.stops_waiting(&no_place, is_resumed, until) {
                if self.searches_failed == 0 {
                    self.log_no_place(&places);
                }
                return Err(no_place);
            }
            let poll_interval = Duration::from_millis(POLL_INTERVAL_MS);
            // The wait also ends when a permit arrives, since permits are valid for a short time
            // only.
            let _ = timeout(poll_interval, self.gateway.permits_received.notified()).await;
        }
    }
}
