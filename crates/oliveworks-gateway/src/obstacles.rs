//! What keeps a request from a place: every choice, and every send after it, asks here.

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::obstacles::Obstacle;
use oliveworks_gateway_core::residency::Allowed;

use crate::places::Place;
use crate::state::Gateway;

/// Places for a request.
#[derive(Default)]
pub struct Places {
    /// Those that it may be sent to now, however busy they are.
    pub open: Vec<Place>,
    /// What keeps it from each of the others.
    pub obstacles: Vec<Obstacle>,
}

impl Gateway {
    /// Parts the places of a service into those that a request may be sent to now, however busy they are, and the others.
    /// `tried` are those that it was sent to before.
    pub fn part_places(
        &self,
        service: &str,
        all: Vec<Place>,
        allowed: Allowed<'_>,
        tried: &[Target],
    ) -> Places {
        // A request may be the first thing that runs after a pause, which has to be known by then.
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
                Ok(Some(per_s)) => place.candidate = place.candidate.taking(per_s),
            }
            match self.limit_allows(target) {
                true => places.open.push(place),
                false => without_permit.push(place),
            }
        }
        self.want_permits(without_permit, tried, &mut places);
        places
    }

    /// What a place takes, in requests a second, if that is bound: the lower of what it bears while it is cold and of the
    /// limit that it names.
    ///
    /// # Errors
    /// If something else than its limit keeps a request from it.
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

    /// Whether a request that was given to a place may still be sent there.
    pub fn may_still_send(&self, place: &Place, allowed: Allowed<'_>) -> bool {
        let stops = |obstacle: Obstacle| obstacle.stops_a_send();
        !self.leaves(&place.server) && !self.obstacle(place, allowed).is_some_and(stops)
    }

    /// What keeps a request from a place, but for how much of a cold one is taken.
    fn obstacle(&self, place: &Place, allowed: Allowed<'_>) -> Option<Obstacle> {
        let (now, target) = (self.now(), place.candidate.target);
        let region = self.settings.regions.get(&place.failure_domain);
        if !allowed.may_serve(region.map(String::as_str)) {
            return Some(Obstacle::Region);
        }
        if place.leaves {
            return Some(Obstacle::Leaving);
        }
        if self.drains.borrow().holds(&place.failure_domain) {
            return Some(Obstacle::Drained);
        }
        if self.suspensions.borrow().holds(now, target) {
            return Some(Obstacle::Suspended);
        }
        let until = self.backoffs.borrow().until(now, target);
        until.map(|until| Obstacle::Backoff { until })
    }
}
