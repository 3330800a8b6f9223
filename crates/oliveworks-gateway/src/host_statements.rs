//! Processing of the statements of backend servers about themselves in their answers: limits,
//! backoffs and leaving.

use log::warn;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::backend_servers::Born;
use oliveworks_gateway_core::balance::Target;
use serde::{Deserialize, Serialize};

use crate::dialect::{AnswerInfo, RetryAfter};
use crate::events::Event;
use crate::state::Gateway;

/// Time for which a gateway reports a leaving backend server to others, in ms: ten heartbeats, some
/// of which may be lost. Gateways that learn of it from a report repeat the report for the same
/// time.
const LEAVING_REPORTED_MS: u64 = 1_000;

/// Largest number of names of unread headers that are reported.
const UNREAD_NAMES_MAX: usize = 32;

/// Sender of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// Id of the backend server.
    pub server: &'a str,
    /// Start of the server's incarnation, as known when the request was sent.
    pub incarnation: Option<Born>,
    /// Time at which the request was sent.
    pub sent_at: Millis,
    /// Whether the answer is to a caller's request, as opposed to a call of this system itself.
    pub to_request: bool,
}

/// A leaving backend server, as reported between gateways.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Leaving {
    /// The backend server.
    target: Target,
    /// Start of the incarnation that is leaving.
    life: Option<Born>,
}

impl Gateway {
    /// Processes the statements of an answer, to a request or a call, about its sender.
    pub fn process_statements(&self, sender: Sender<'_>, answered: &AnswerInfo, request: &str) {
        let Sender { server, incarnation, .. } = sender;
        self.record_limit(sender, answered, request);
        self.report_unread(server, &answered.unknown_headers);
        if answered.leaving {
            self.count("answers_of_leaving_hosts");
            self.mark_leaving(server, incarnation, "an answer");
        }
        match &answered.retry_after {
            RetryAfter::Absent => {}
            RetryAfter::Ms(ms) => self.begin_backoff(server, *ms, request),
            RetryAfter::Unreadable(value) => {
                self.count("retry_after_unreadable");
                warn!("{server}: cannot parse the retry time in an answer: {value:?}");
            }
        }
    }

    /// Reports, once per name, answer headers about the backend server that this gateway does not
    /// read. Operators thereby see new headers of hosts before anyone misses them.
    fn report_unread(&self, server: &str, names: &[String]) {
        if names.is_empty() {
            return;
        }
        self.count("answers_with_unread_headers");
        let mut known = self.unread_headers.borrow_mut();
        for name in names {
            if known.len() < UNREAD_NAMES_MAX && known.insert(name.clone()) {
                Event::new("header_not_read")
                    .with("host", server)
                    .with("header", name.as_str())
                    .write();
            }
        }
    }

    /// Starts a backoff that a backend server asked for.
    fn begin_backoff(&self, server: &str, ms: u64, request: &str) {
        self.count("refusals_with_retry_after");
        let is_news = self.backoffs.borrow_mut().asked(self.now(), Target::of(server), ms);
        if is_news {
            self.count("backoffs_begun");
            Event::new("backs_off")
                .with("host", server)
                .with("for_ms", ms)
                .with("request", request)
                .write();
        }
    }

    /// Marks a backend server as leaving: it gets no new requests, and the leader is informed.
    fn mark_leaving(&self, server: &str, incarnation: Option<Born>, reported_by: &str) {
        if !self.directory.borrow_mut().leaves(server, incarnation) {
            return;
        }
        self.count("hosts_said_they_leave");
        Event::new("host_leaves")
            .with("host", server)
            .debug("born", incarnation)
            .with("told_by", reported_by)
            .write();
        for planner in self.planners.borrow_mut().all_mut() {
            planner.mark_leaving(server, incarnation);
        }
        self.plan_now.notify_one();
        let report = Leaving { target: Target::of(server), life: incarnation };
        self.leaving_reports.borrow_mut().push((self.now(), report));
        self.send_heartbeat_now();
    }

    /// Processes another gateway's report that a backend server is leaving.
    pub fn process_leaving_report(&self, leaving: Leaving) {
        let server = self.directory.borrow().id(leaving.target).cloned();
        if let Some(server) = server {
            self.mark_leaving(&server, leaving.life, "another gateway");
        }
    }

    /// Returns the leaving backend servers to report to other gateways.
    pub fn leaving_to_report(&self) -> Vec<Leaving> {
        let now = self.now();
        let mut reports = self.leaving_reports.borrow_mut();
        reports.retain(|(at, _)| now < *at + LEAVING_REPORTED_MS);
        reports.iter().map(|(_, leaving)| *leaving).collect()
    }

    /// Counts requests sent to a backend server that is in a backoff or names a limit.
    pub fn count_send(&self, target: Target) {
        if self.rate_limits.borrow_mut().limits.sent(target) {
            self.count("sent_to_limited_hosts");
        }
        if self.backoffs.borrow().until(self.now(), target).is_some() {
            self.count("sent_within_backoff");
        }
    }
}
