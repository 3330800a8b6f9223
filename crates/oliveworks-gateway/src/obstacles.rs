//! Obstacles that make a place ineligible for a request. Every choice of a place, and every send
//! after it, is checked here.

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::obstacles::Obstacle;
use oliveworks_gateway_core::residency::Allowed;

use crate::places::Place;
use crate::state::Gateway;

/// Places of a service, divided by whether a request may be sent there.
#[derive(Default)]
pub struct Places {
    /// Eligible places, regardless of their load.
    pub eligible: Vec<Place>,
    /// Obstacle at each of the other places.
    pub obstacles: Vec<Obstacle>,
}

impl Gateway {
    /// Divides the places of a service into those that are eligible for a request, regardless of
    /// their load, and the others. `tried` are the targets of earlier attempts.
    pub fn divide_places(
        &self,
        service: &str,
        all: Vec<Place>,
        allowed: Allowed<'_>,
        tried: &[Target],
    ) -> Places {
        // A request may be the first code to run after a pause of the process, and the pause has to
        // be detected before the choice.
        self.tick();
        let mut places = Places::default();
        let mut without_permit = Vec::new();
        for mut place in all {
            let target = place.candidate.target;
            match self.rate_bound(service, &place, allowed) {
                Err(obstacle) => {
                    places.obstacles.push(obstacle);
                    continue;
                }
                Ok(None) => {}
                Ok(Some(per_s)) => place.candidate = place.candidate.with_rate_limit(per_s),
            }
            match self.limit_allows(target) {
                true => places.eligible.push(place),
                false => without_permit.push(place),
            }
        }
        self.request_permits(without_permit, tried, &mut places);
        places
    }

    /// Returns the request rate that a place accepts, in requests per second, if it is limited: the
    /// lower of its rate while cold and its named limit.
    ///
    /// # Errors
    /// Returns an obstacle if a request is prevented by anything other than the named limit.
    fn rate_bound(
        &self,
        service: &str,
        place: &Place,
        allowed: Allowed<'_>,
    ) -> Result<Option<f64>, Obstacle> {
        if let Some(obstacle) = self.obstacle(place, allowed) {
            return Err(obstacle);
        }
        let target = place.candidate.target;
        let cold = self.cold_rate(service, target)?;
        let limit = self.limit_per_s(target);
        Ok(cold.into_iter().chain(limit).reduce(f64::min))
    }

    /// Returns whether a request may still be sent to the place that was chosen for it.
    pub fn may_still_send(&self, place: &Place, allowed: Allowed<'_>) -> bool {
        let stops = |obstacle: Obstacle| obstacle.stops_a_send();
        !self.is_leaving(&place.server) && !self.obstacle(place, allowed).is_some_and(stops)
    }

    /// Returns the obstacle between a request and a place, if any, except for a used-up share of a
    /// cold one.
    fn obstacle(&self, place: &Place, allowed: Allowed<'_>) -> Option<Obstacle> {
        let (now, target) = (self.now(), place.candidate.target);
        let region = self.settings.regions.get(&place.failure_domain);
        if !allowed.may_serve(region.map(String::as_str)) {
            return Some(Obstacle::Region);
        }
        if place.is_leaving {
            return Some(Obstacle::Leaving);
        }
        if self.drains.borrow().contains(&place.failure_domain) {
            return Some(Obstacle::Drained);
        }
        if self.suspensions.borrow().is_suspended(now, target) {
            return Some(Obstacle::Suspended);
        }
        let until = self.backoffs.borrow().until(now, target);
        until.map(|until| Obstacle::Backoff { until })
    }
}
