//! Cold backend servers: processes evidence that a server is cold, and logs when this gateway's
//! share of one is used up.

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::backend_servers::{BackendServer, BackendServerId, Born};
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::configuration::SlowStart;
use oliveworks_gateway_core::obstacles::Obstacle;
use oliveworks_gateway_core::slow_start::cold::{ColdState, Listed};
use oliveworks_gateway_core::slow_start::{SlowStartConfig, SlowStarts};

use crate::events::Event;
use crate::settings::Settings;
use crate::state::Gateway;

/// Time between two log lines on used-up shares, in ms, since rejections come by the hundred.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Returns the initial state; none if the load on cold backend servers is not limited.
pub fn slow_starts(settings: &Settings, now: Millis) -> Option<SlowStarts> {
    let bound = settings.bounds.slow_start?;
    let config = SlowStartConfig {
        excess: bound.excess,
        extra: bound.extra,
        record_lag_ms: settings.record_lag_ms(),
    };
    Some(SlowStarts::new(config, now))
}

/// Logs a backend server that becomes cold.
fn log_cold_host(server: &BackendServerId, now: Millis, known: ColdState) {
    Event::new("host_is_cold")
        .with("host", &**server)
        .with("for_ms", known.until.map(|until| until.saturating_sub(now)))
        .debug("evidence", known.evidence)
        .write();
}

impl Gateway {
    /// Returns the ramp-up of the backend servers of a service, if it is limited.
    fn slow_start_of(&self, service: &str) -> Option<SlowStart> {
        self.lookup()?.service(service)?.slow_start
    }

    /// Returns whether the backend servers of a service may have a limited ramp-up, and its
    /// parameters if known. Evidence that a server is cold may arrive before the first
    /// configuration and is not repeated.
    fn may_start_slowly(&self, service: &str) -> Option<Option<SlowStart>> {
        match self.lookup() {
            None => Some(None),
            Some(_) => self.slow_start_of(service).map(Some),
        }
    }

    /// Processes the cold time of a backend server from its record.
    pub fn record_cold(&self, server: &BackendServer, listed: Listed) {
        let now = self.now();
        let mut slow_starts = self.slow_starts.borrow_mut();
        let Some(slow_starts) = slow_starts.as_mut() else { return };
        let terms = self.may_start_slowly(&server.service);
        let lasts_ms = terms.map_or(Some(0), |known| known.map(|terms| terms.lasts_ms));
        let target = Target::of(&server.id);
        if let Some(known) = slow_starts.record(now, target, lasts_ms, server.cold_ms, listed) {
            self.count("hosts_turned_cold");
            log_cold_host(&server.id, now, known);
        }
    }

    /// Returns the record of a backend server for a gateway that adopts the list, with the
    /// remaining cold time known here.
    pub fn with_known_cold_time(&self, server: &BackendServer) -> BackendServer {
        let mut record = server.clone();
        if let (Some(terms), Some(slow_starts)) =
            (self.slow_start_of(&server.service), self.slow_starts.borrow().as_ref())
        {
            let cold_ms =
                slow_starts.remaining_cold_ms(self.now(), Target::of(&server.id), terms.lasts_ms);
            record.cold_ms = record.cold_ms.max(cold_ms);
        }
        record
    }

    /// Returns whether any backend server is in doubt: it counts as cold for another reason than
    /// its record, and a newer record would settle its state. Records that repeat their
    /// predecessors are then needed as well.
    pub fn doubts_any_host(&self) -> bool {
        let slow_starts = self.slow_starts.borrow();
        slow_starts.as_ref().is_some_and(|slow_starts| slow_starts.doubts_any(self.now()))
    }

    /// Records the end of a drain: the backend servers of the failure domain may be cold.
    pub fn mark_cold_after_drain(&self, failure_domain: &str) {
        let directory = self.directory.borrow();
        for server in directory.iter().filter(|s| s.failure_domain == failure_domain) {
            let Some(terms) = self.may_start_slowly(&server.service) else { continue };
            self.apply_evidence(&server.id, |slow_starts, now, target| {
                slow_starts.drain_ended(now, target, terms)
            });
        }
    }

    /// Treats a newly listed backend server as possibly cold if a drain of its failure domain has
    /// just ended, since its record may be older than that end. For servers that were already
    /// listed when the drain ended, `mark_cold_after_drain` does the same.
    pub fn doubt_after_drain(&self, server: &BackendServer) {
        let (now, lag_ms) = (self.now(), self.settings.record_lag_ms());
        if !self.drains.borrow().has_ended_within(now, &server.failure_domain, lag_ms) {
            return;
        }
        let Some(terms) = self.may_start_slowly(&server.service) else { return };
        self.apply_evidence(&server.id, |slow_starts, now, target| {
            slow_starts.drain_ended(now, target, terms)
        });
    }

    /// Records that a backend server could not be reached. If that lasts, it may be cold
    /// afterwards.
    ///
    /// Rejected alternative: treating each failed call as a loss. A host that missed one call would
    /// be sent few requests for seconds, and callers would be rejected meanwhile.
    pub fn record_unreachable(&self, server: &str) {
        if !self.suspensions.borrow().is_lost(Target::of(server)) {
            return;
        }
        let directory = self.directory.borrow();
        let Some(server) = directory.get(server) else { return };
        if self.may_start_slowly(&server.service).is_some() {
            self.apply_evidence(&server.id, SlowStarts::lost);
        }
    }

    /// Records that a backend server has begun a new incarnation that its record does not contain
    /// yet.
    pub fn record_restart(&self, server: &str, service: &str, born: Born) {
        let Some(terms) = self.may_start_slowly(service) else { return };
        let id: BackendServerId = server.into();
        self.apply_evidence(&id, |slow_starts, now, target| {
            slow_starts.started_again(now, target, born, terms)
        });
    }

    fn apply_evidence(
        &self,
        server: &BackendServerId,
        apply: impl FnOnce(&mut SlowStarts, Millis, Target) -> Option<ColdState>,
    ) {
        let now = self.now();
        let mut slow_starts = self.slow_starts.borrow_mut();
        let Some(slow_starts) = slow_starts.as_mut() else { return };
        if let Some(known) = apply(slow_starts, now, Target::of(server)) {
            self.count("hosts_turned_cold");
            log_cold_host(server, now, known);
        }
    }

    /// Records that data has arrived from a backend server.
    pub fn record_reached(&self, service: &str, target: Target) {
        let Some(terms) = self.slow_start_of(service) else { return };
        if let Some(slow_starts) = self.slow_starts.borrow_mut().as_mut() {
            slow_starts.record_data(self.now(), target, terms);
        }
    }

    /// Returns the request rate that a cold backend server can take, in requests per second; none
    /// if it is not cold or not limited.
    ///
    /// # Errors
    /// Returns an obstacle if this gateway has used up its share of the rate.
    pub fn cold_rate(&self, service: &str, target: Target) -> Result<Option<f64>, Obstacle> {
        let Some(terms) = self.slow_start_of(service) else { return Ok(None) };
        let mut slow_starts = self.slow_starts.borrow_mut();
        let Some(slow_starts) = slow_starts.as_mut() else { return Ok(None) };
        let members = self.members.borrow();
        let now = self.now();
        slow_starts.record_store_answer(self.store_answered_at.get());
        if !slow_starts.is_cold(now, target, terms, &members) {
            return Ok(None);
        }
        let free_at = slow_starts.free_at(now, target, terms, &members);
        if free_at.is_some_and(|at| at <= now) {
            return Ok(Some(terms.requests_per_s));
        }
        let share_per_s = slow_starts.share(now, target, terms, &members);
        self.log_used_up_share(target, share_per_s, members.count());
        Err(Obstacle::Cold { free_at })
    }

    fn log_used_up_share(&self, target: Target, share_per_s: u32, gateways: usize) {
        self.count("cold_parts_taken");
        let now = self.now();
        if now < self.cold_logged_at.get() + LOG_INTERVAL_MS {
            return;
        }
        self.cold_logged_at.set(now);
        let directory = self.directory.borrow();
        let host = directory.iter().find(|server| Target::of(&server.id) == target);
        Event::new("cold_part_taken")
            .with("host", host.map(|server| &*server.id))
            .with("part_per_s", share_per_s)
            .with("gateways", gateways)
            .write();
    }
}
