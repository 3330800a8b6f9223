//! Cold backend servers: takes in what tells of them, and tells of which this gateway's part is taken.

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::backend_servers::{BackendServer, BackendServerId, Born};
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::configuration::SlowStart;
use oliveworks_gateway_core::obstacles::Obstacle;
use oliveworks_gateway_core::slow_start::cold::{Known, Listed};
use oliveworks_gateway_core::slow_start::{SlowStartConfig, SlowStarts};

use crate::events::Event;
use crate::settings::Settings;
use crate::state::Gateway;

/// The time between two lines that a part is taken, in ms: refusals come by the hundred.
const TELL_MS: u64 = 1_000;

/// Nothing is known yet; none if what cold backend servers are sent is not bound.
pub fn slow_starts(settings: &Settings, now: Millis) -> Option<SlowStarts> {
    let bound = settings.bounds.slow_start?;
    let config = SlowStartConfig {
        excess: bound.excess,
        extra: bound.extra,
        record_lag_ms: settings.record_lag_ms(),
    };
    Some(SlowStarts::new(config, now))
}

/// A line for a backend server that turns cold.
fn tell(server: &BackendServerId, now: Millis, known: Known) {
    Event::new("host_is_cold")
        .with("host", &**server)
        .with("for_ms", known.until.map(|until| until.saturating_sub(now)))
        .debug("evidence", known.evidence)
        .write();
}

impl Gateway {
    /// How the backend servers of a service begin, if that is bound.
    fn slow_start_of(&self, service: &str) -> Option<SlowStart> {
        self.lookup()?.service(service)?.slow_start
    }

    /// Whether the backend servers of a service may begin slowly, and how, if that is known. What tells that one is cold may come
    /// before the first configuration does, and is not told again.
    fn may_start_slowly(&self, service: &str) -> Option<Option<SlowStart>> {
        match self.lookup() {
            None => Some(None),
            Some(_) => self.slow_start_of(service).map(Some),
        }
    }

    /// Takes in what a record says of how cold its backend server is.
    pub fn take_cold(&self, server: &BackendServer, listed: Listed) {
        let now = self.now();
        let mut slow_starts = self.slow_starts.borrow_mut();
        let Some(slow_starts) = slow_starts.as_mut() else { return };
        let terms = self.may_start_slowly(&server.service);
        let lasts_ms = terms.map_or(Some(0), |known| known.map(|terms| terms.lasts_ms));
        let target = Target::of(&server.id);
        if let Some(known) = slow_starts.record(now, target, lasts_ms, server.cold_ms, listed) {
            self.count("hosts_turned_cold");
            tell(&server.id, now, known);
        }
    }

    /// A backend server's record for a gateway that takes the list over: as cold as it counts here.
    pub fn as_cold_as_known(&self, server: &BackendServer) -> BackendServer {
        let mut told = server.clone();
        if let (Some(terms), Some(slow_starts)) =
            (self.slow_start_of(&server.service), self.slow_starts.borrow().as_ref())
        {
            let cold_ms = slow_starts.told_ms(self.now(), Target::of(&server.id), terms.lasts_ms);
            told.cold_ms = told.cold_ms.max(cold_ms);
        }
        told
    }

    /// Whether a backend server is doubted: then a record that says what the one before it said is news.
    pub fn doubts_any_host(&self) -> bool {
        let slow_starts = self.slow_starts.borrow();
        slow_starts.as_ref().is_some_and(|slow_starts| slow_starts.doubts_any(self.now()))
    }

    /// A failure domain is drained no more: its backend servers may be cold.
    pub fn drain_leaves_cold(&self, failure_domain: &str) {
        let directory = self.directory.borrow();
        for server in directory.iter().filter(|s| s.failure_domain == failure_domain) {
            let Some(terms) = self.may_start_slowly(&server.service) else { continue };
            self.doubt(&server.id, |slow_starts, now, target| {
                slow_starts.drain_ended(now, target, terms)
            });
        }
    }

    /// A backend server is listed whose failure domain's drain has ended just before: its record may be from before
    /// that. Those that were listed then are doubted with the end itself.
    pub fn doubt_after_drain(&self, server: &BackendServer) {
        let (now, lag_ms) = (self.now(), self.settings.record_lag_ms());
        if !self.drains.borrow().has_ended_within(now, &server.failure_domain, lag_ms) {
            return;
        }
        let Some(terms) = self.may_start_slowly(&server.service) else { return };
        self.doubt(&server.id, |slow_starts, now, target| {
            slow_starts.drain_ended(now, target, terms)
        });
    }

    /// A backend server is not reached. If that lasts, it may come back cold.
    ///
    /// Rejected: taking each failed call for a loss (a host that missed one call would be sent few requests
    /// for seconds, and callers refused beside it).
    pub fn lose(&self, server: &str) {
        if !self.suspensions.borrow().is_lost(Target::of(server)) {
            return;
        }
        let directory = self.directory.borrow();
        let Some(server) = directory.get(server) else { return };
        if self.may_start_slowly(&server.service).is_some() {
            self.doubt(&server.id, SlowStarts::lost);
        }
    }

    /// A backend server of a service has begun a life of which its record does not tell.
    pub fn starts_again(&self, server: &str, service: &str, born: Born) {
        let Some(terms) = self.may_start_slowly(service) else { return };
        let id: BackendServerId = server.into();
        self.doubt(&id, |slow_starts, now, target| {
            slow_starts.started_again(now, target, born, terms)
        });
    }

    fn doubt(
        &self,
        server: &BackendServerId,
        doubt: impl FnOnce(&mut SlowStarts, Millis, Target) -> Option<Known>,
    ) {
        let now = self.now();
        let mut slow_starts = self.slow_starts.borrow_mut();
        let Some(slow_starts) = slow_starts.as_mut() else { return };
        if let Some(known) = doubt(slow_starts, now, Target::of(server)) {
            self.count("hosts_turned_cold");
            tell(server, now, known);
        }
    }

    /// Something came from a backend server of a service.
    pub fn reached(&self, service: &str, target: Target) {
        let Some(terms) = self.slow_start_of(service) else { return };
        if let Some(slow_starts) = self.slow_starts.borrow_mut().as_mut() {
            slow_starts.heard(self.now(), target, terms);
        }
    }

    /// What a backend server of a service bears, in requests a second, if it is cold.
    ///
    /// # Errors
    /// If this gateway has taken its part of it.
    pub fn cold_rate(&self, service: &str, target: Target) -> Result<Option<f64>, Obstacle> {
        let Some(terms) = self.slow_start_of(service) else { return Ok(None) };
        let mut slow_starts = self.slow_starts.borrow_mut();
        let Some(slow_starts) = slow_starts.as_mut() else { return Ok(None) };
        let members = self.members.borrow();
        let now = self.now();
        slow_starts.store_heard(self.store_heard_at.get());
        if !slow_starts.is_cold(now, target, terms, &members) {
            return Ok(None);
        }
        let free_at = slow_starts.free_at(now, target, terms, &members);
        if free_at.is_some_and(|at| at <= now) {
            return Ok(Some(terms.requests_per_s));
        }
        let part_per_s = slow_starts.part(now, target, terms, &members);
        self.part_is_taken(target, part_per_s, members.count());
        Err(Obstacle::Cold { free_at })
    }

    fn part_is_taken(&self, target: Target, part_per_s: u32, gateways: usize) {
        self.count("cold_parts_taken");
        let now = self.now();
        if now < self.cold_told_at.get() + TELL_MS {
            return;
        }
        self.cold_told_at.set(now);
        let directory = self.directory.borrow();
        let host = directory.iter().find(|server| Target::of(&server.id) == target);
        Event::new("cold_part_taken")
            .with("host", host.map(|server| &*server.id))
            .with("part_per_s", part_per_s)
            .with("gateways", gateways)
            .write();
    }
}
