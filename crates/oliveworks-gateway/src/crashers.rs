//! Requests that crash the backend servers they run at: identifies them by their features, finds out
//! whether a host ended during one, and reports them to the other gateways.
//!
//! The terms are those of [`oliveworks_gateway_core::crashers`]. The *standing* of a request is the
//! evidence against it:
//!
//! - A request is *clear* if there is no evidence against its features.
//! - A request is a *suspect* if a backend server ended under one of its features, and a *strong
//!   suspect* if more than one did.
//! - A feature is *convicted* if enough backend servers ended under it one after the other and no
//!   run completed. A request with a convicted feature is not sent until the conviction ends.
//!
//! A *trial* is a run of a request whose like must not run side by side. Other requests with the
//! feature are rejected while the outcome of the trial is awaited.

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::attempts::Failure;
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::crashers::{
    Chain, Features, Fingerprint, PartId, Standing, WorkspaceHash,
};
use ring::digest::{Context, SHA256};
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::ReceivedRequest;
use crate::dialect::{RequestInfo, SharedParts};
use crate::events::Event;
use crate::exchange::{Exchange, NoConnection};
use crate::places::Place;
use crate::state::Gateway;

/// Maximum number of a prompt's parts in a log line.
const LOGGED_PARTS_MAX: usize = 16;

/// Returns the features of a request. Values that differ between retries of the same request are
/// left out of its content, as are values that only influence placement: the service changes with
/// the configuration and, where it is split, with the id of the try, and a caller may name other
/// parts of the same prompt.
pub fn features(
    request: &ReceivedRequest,
    asked: &RequestInfo,
    parts: &SharedParts,
    workspace: Option<&str>,
) -> Features {
    let workspace = workspace.unwrap_or_default();
    let content: [&[u8]; 6] = [
        request.header("host").unwrap_or_default().as_bytes(),
        workspace.as_bytes(),
        request.method.as_str().as_bytes(),
        request.target.as_bytes(),
        asked.model.as_deref().unwrap_or_default().as_bytes(),
        &request.body,
    ];
    let mut features = Features::from(fingerprint(&content));
    if !request.body.is_empty() {
        features = features.with_body(fingerprint(&[workspace.as_bytes(), &request.body]));
    }
    match parts {
        SharedParts::Named(parts) => {
            features.with_parts(WorkspaceHash(xxh3_64(workspace.as_bytes())), parts)
        }
        SharedParts::Absent | SharedParts::Unreadable(_) => features,
    }
}

/// Returns the hash of a sequence of values.
fn fingerprint(values: &[&[u8]]) -> Fingerprint {
    let mut context = Context::new(&SHA256);
    for value in values {
        // The length is included so that two sequences never become equal by a different split into
        // values.
        context.update(&(value.len() as u64).to_le_bytes());
        context.update(value);
    }
    let digest = context.finish();
    let mut short = [0; 16];
    short.copy_from_slice(&digest.as_ref()[..16]);
    Fingerprint(short)
}

/// Returns the ids of a prompt's parts, for log lines; `None` without a list of parts.
fn part_names(parts: &SharedParts) -> Option<String> {
    match parts {
        SharedParts::Absent => None,
        SharedParts::Named(ids) => {
            let ids = ids.iter().take(LOGGED_PARTS_MAX).map(PartId::to_string);
            Some(ids.collect::<Vec<_>>().join(","))
        }
        SharedParts::Unreadable(list) => Some(format!("unreadable: {list}")),
    }
}

/// A failed run of a request.
pub struct FailedRun<'a> {
    /// Place of the run.
    pub place: &'a Place,
    /// Time of the send.
    pub sent: Millis,
    /// Time of the first event, if any.
    pub first_event: Option<Millis>,
    /// Kind of the failure.
    pub failure: Failure,
    /// Request id of the run.
    pub id: &'a str,
    /// Parts of the prompt.
    pub parts: &'a SharedParts,
}

impl Gateway {
    /// Returns whether the backend server of a run ended during it: the connection broke off, and
    /// nothing listens at the address afterwards. A leaving server ends as planned. A server that
    /// accepts connections again, or is silent, was slow, cut off, or only reset its connections.
    pub async fn server_ended_during(&self, request: &Features, run: &FailedRun<'_>) -> bool {
        let place = run.place;
        if run.failure != Failure::Lost || place.is_leaving || self.is_leaving(&place.server) {
            return false;
        }
        let within_ms = self.settings.requests.connect_ms;
        let opened = Exchange::open(place.address, within_ms).await;
        if !matches!(opened, Err(NoConnection::Refused)) {
            return false;
        }
        let (now, target) = (self.now(), place.candidate.target);
        let delivered_ms = run.first_event.map(|at| now.saturating_sub(at));
        self.crashers.borrow_mut().host_ended(now, request, target, delivered_ms.unwrap_or(0));
        self.count("hosts_ended_under_requests");
        let assessment = self.crashers.borrow().assess(now, request);
        Event::new("host_ended_under_request")
            .with("host", &*place.server)
            .with("request", run.id)
            .with("same_request", request.content().to_string())
            .with("parts", part_names(run.parts))
            .with("most_suspected", assessment.map(|known| known.feature.to_string()))
            .with("ends_in_a_row", assessment.map_or(0, |known| known.ends))
            .with("ends_needed", assessment.map(|known| known.needed))
            .with("shares_last_end", assessment.map(|known| known.shares_last_end))
            .with("ran_ms", now.saturating_sub(run.sent))
            .with("delivered_ms", delivered_ms)
            .write();
        self.report_crashers();
        true
    }

    /// Logs new convictions and sends a heartbeat at once, so that other gateways learn of the new
    /// evidence about a request.
    fn report_crashers(&self) {
        self.log_convictions();
        self.send_heartbeat_now();
    }

    /// Logs the features that have been convicted, and those that have been cleared since.
    pub fn log_convictions(&self) {
        let cleared = self.crashers.borrow_mut().take_cleared();
        for feature in cleared {
            self.count("cleared_crashers");
            Event::new("crasher_cleared").with("feature", feature.to_string()).write();
        }
        let convicted = self.crashers.borrow_mut().take_new_convictions();
        for feature in convicted {
            self.count("convicted_crashers");
            let assessment = self.crashers.borrow().assess_feature(self.now(), feature);
            Event::new("crasher_convicted")
                .with("feature", feature.to_string())
                .with("ends_in_a_row", assessment.map(|known| known.ends))
                .with("ends_needed", assessment.map(|known| known.needed))
                .write();
            self.convictions.notify_waiters();
        }
    }

    /// Returns the standing of a request.
    pub fn standing(&self, request: &Features) -> Standing {
        if !self.settings.requests.refuse_crashers {
            return Standing::Clear;
        }
        let standing = self.crashers.borrow_mut().standing(self.now(), request);
        self.log_convictions();
        standing
    }

    /// Logs the rejection of a request during which several backend servers ended in a row.
    pub fn log_crasher_refusal(&self, request: &Features, id: &str, for_ms: u64) {
        self.count("refused_crashers");
        let assessment = self.crashers.borrow().assess(self.now(), request);
        Event::new("crasher_refused")
            .with("request", id)
            .with("same_request", request.content().to_string())
            .with("feature", assessment.map(|known| known.feature.to_string()))
            .with("for_ms", for_ms)
            .write();
    }

    /// Records that a request ran to completion.
    pub fn record_completion(&self, request: &Features) {
        self.crashers.borrow_mut().record_survival(self.now(), request);
        self.log_convictions();
    }

    /// Processes a report of another gateway on backend servers that ended during a request.
    pub fn process_crasher_report(&self, chain: Chain) {
        let feature = chain.feature;
        if !self.crashers.borrow_mut().apply_report(self.now(), chain) {
            return;
        }
        self.report_crashers();
        let assessment = self.crashers.borrow().assess_feature(self.now(), feature);
        Event::new("crasher_told")
            .with("feature", feature.to_string())
            .with("ends_in_a_row", assessment.map_or(0, |known| known.ends))
            .write();
    }

    /// Returns the reports for other gateways on requests during which backend servers ended.
    pub fn crashers_to_report(&self) -> Vec<Chain> {
        let reports = self.crashers.borrow_mut().chains_to_report(self.now());
        self.log_convictions();
        reports
    }

    /// Waits until a request is convicted, and returns the end of the conviction.
    pub async fn wait_for_conviction(&self, request: &Features) -> Millis {
        loop {
            let news = self.convictions.notified();
            if let Standing::Convicted { until } = self.standing(request) {
                return until;
            }
            news.await;
        }
    }

    /// Returns whether copies of a request wait for the outcome of one that is running.
    pub fn must_wait_for_trial(&self, request: &Features) -> bool {
        let is_off = !self.settings.requests.refuse_crashers;
        !is_off && self.crashers.borrow().must_wait_for_trial(self.now(), request)
    }

    /// Registers a run of a suspect request until the returned value is dropped.
    pub fn suspect_run<'a>(
        &'a self,
        request: &'a Features,
        target: Target,
    ) -> Option<SuspectRun<'a>> {
        let standing = self.standing(request);
        if standing == Standing::Clear {
            return None;
        }
        let now = self.now();
        let others_wait = self.crashers.borrow_mut().placed(now, target, request, standing);
        if others_wait {
            self.report_crashers();
        }
        Some(SuspectRun { gateway: self, request, target, standing })
    }
}

/// A registered run of a suspect request.
pub struct SuspectRun<'a> {
    gateway: &'a Gateway,
    request: &'a Features,
    target: Target,
    standing: Standing,
}

impl Drop for SuspectRun<'_> {
    fn drop(&mut self) {
        let SuspectRun { gateway, request, target, standing } = *self;
        gateway.crashers.borrow_mut().left(target, request, standing);
    }
}
