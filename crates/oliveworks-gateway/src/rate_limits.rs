//! Rate limits named by backend servers: processes limits from answers and from reports of other
//! gateways, and obtains permits for requests.
//!
//! Each backend server with a limit has a *limiter*: the gateway that grants permits for it to all
//! gateways (see [`oliveworks_gateway_core::rate_limits`]).

use std::net::SocketAddr;

use log::warn;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::obstacles::Obstacle;
use oliveworks_gateway_core::rate_limits::buckets::{Grant, Need};
use oliveworks_gateway_core::rate_limits::limits::{Limit, Limits, RateObservation};
use oliveworks_gateway_core::rate_limits::{Answer, NoPermit, PermitRequest, Rate, Step};

use crate::dialect::{AnswerInfo, NamedLimit};
use crate::events::Event;
use crate::host_statements::Sender;
use crate::members;
use crate::obstacles::Places;
use crate::places::Place;
use crate::state::Gateway;

/// Time between two log lines on the limit of one backend server, in ms. Each answer may name a
/// different limit.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Message to the limiter of a backend server.
#[derive(Clone, Copy, Debug)]
pub enum ToLimiter {
    /// Request for a permit.
    Question(PermitRequest),
    /// Report of a call that was made without waiting for a permit.
    Spent(Target),
}

impl Gateway {
    /// Processes the limit named in an answer.
    pub fn record_limit(&self, sender: Sender<'_>, answered: &AnswerInfo, request: &str) {
        let rate = match &answered.limit {
            NamedLimit::Absent => None,
            NamedLimit::Rate(rate) => {
                self.count("answers_with_limit");
                Some(*rate)
            }
            NamedLimit::Unreadable(value) => {
                self.count("limit_unreadable");
                warn!("{}: cannot parse the rate limit in an answer: {value:?}", sender.server);
                return;
            }
        };
        let target = Target::of(sender.server);
        // An answer without a limit shows that none is in force only if it would name an existing
        // limit. Answers to calls and refusals may omit the limit.
        let would_name = sender.to_request && answered.signed;
        let Sender { incarnation, sent_at, .. } = sender;
        let observation = RateObservation { target, incarnation, sent_at, rate, would_name };
        self.update_limit(target, request, |limits, now| limits.observe(now, observation));
    }

    /// Processes a limit reported by another gateway.
    pub fn record_reported_limit(&self, limit: Limit) {
        let target = limit.target;
        {
            let directory = self.directory.borrow();
            let Some(server) = directory.id(target) else { return };
            let known = directory.born(server);
            if known.zip(limit.life).is_some_and(|(known, reported)| reported < known) {
                return;
            }
        }
        self.update_limit(target, "another gateway", |limits, now| limits.apply_report(now, limit));
    }

    fn update_limit(
        &self,
        target: Target,
        reported_by: &str,
        update: impl FnOnce(&mut Limits, Millis) -> bool,
    ) {
        let now = self.now();
        let mut rate_limits = self.rate_limits.borrow_mut();
        let before = rate_limits.limits.rate(target);
        let sent_before = rate_limits.limits.sent_since_change(now, target);
        let changed = update(&mut rate_limits.limits, now);
        drop(rate_limits);
        if changed {
            self.log_limit(target, before, sent_before, reported_by);
        }
    }

    /// Logs a change of a limit. `before` is the previous limit, and `sent_before` the number of
    /// requests sent under it by this gateway and the time for which it was in force, in ms.
    fn log_limit(
        &self,
        target: Target,
        before: Option<Rate>,
        sent_before: Option<(u64, u64)>,
        reported_by: &str,
    ) {
        self.count("limits_changed");
        let now = self.now();
        let mut logged_at = self.limit_logged_at.borrow_mut();
        if logged_at.get(&target).is_some_and(|at| now < at + LOG_INTERVAL_MS) {
            return;
        }
        logged_at.insert(target, now);
        let known = self.rate_limits.borrow().limits.get(target);
        let directory = self.directory.borrow();
        Event::new("host_limit")
            .with("host", directory.id(target).map(|id| &**id))
            .with("per_s", known.and_then(|known| known.rate).map(Rate::per_s))
            .with("before_per_s", before.map(Rate::per_s))
            .with("sent_before", sent_before.map(|(sent, _)| sent))
            .with("before_lasted_ms", sent_before.map(|(_, ms)| ms))
            .with("revision", known.map(|known| known.revision))
            .with("told_by", reported_by)
            .write();
    }

    /// Returns the limit of a backend server for all gateways together, in requests per second, if
    /// it names one.
    pub fn limit_per_s(&self, target: Target) -> Option<f64> {
        self.rate_limits.borrow().limits.rate(target).map(Rate::per_s)
    }

    /// Returns whether the limit of a backend server allows a request now.
    pub fn limit_allows(&self, target: Target) -> bool {
        self.rate_limits.borrow().check(self.now(), target, Need::Only).is_ok()
    }

    /// Requests a permit for one of the places that lack one, and divides these places into
    /// eligible ones and others.
    ///
    /// A place in a remote failure domain is not asked for while a local one is eligible, nor is a
    /// place that was already tried.
    ///
    /// Rejected alternative: requesting several permits at once, since all but one of them would
    /// remain unused.
    pub fn request_permits(
        &self,
        without_permit: Vec<Place>,
        tried: &[Target],
        places: &mut Places,
    ) {
        if without_permit.is_empty() {
            return;
        }
        let is_untried = |place: &&Place| !tried.contains(&place.candidate.target);
        let mut others = places.eligible.iter().filter(is_untried).peekable();
        let need = if others.peek().is_none() { Need::Only } else { Need::Optional };
        let local_is_eligible = others.any(|place| place.candidate.is_local);
        let first = rand::random_range(0..without_permit.len());
        let mut asked = false;
        let (before, from_first) = without_permit.split_at(first);
        for place in from_first.iter().chain(before) {
            let target = place.candidate.target;
            let is_wanted = place.candidate.is_local || !local_is_eligible;
            if !asked && is_wanted && is_untried(&place) {
                asked = self.request_permit(target, need);
            }
            match self.rate_limits.borrow().check(self.now(), target, need) {
                Ok(()) => places.eligible.push(place.clone()),
                Err(NoPermit { free_at }) => places.obstacles.push(Obstacle::Limited { free_at }),
            }
        }
    }

    /// Requests a permit unless that is of no use now, and returns whether it was requested.
    fn request_permit(&self, target: Target, need: Need) -> bool {
        let now = self.now();
        let members = self.members.borrow();
        let step = self.rate_limits.borrow_mut().want(now, target, need, &members);
        drop(members);
        match step {
            Step::Wait => return false,
            Step::Decided(grant) => self.count_grant(grant),
            Step::Ask(limiter, question) => {
                self.queue_for_limiter(limiter, ToLimiter::Question(question))
            }
        }
        true
    }

    fn count_grant(&self, grant: Grant) {
        self.count(match grant {
            Grant::Permit => "permits_granted",
            Grant::After(_) => "permits_refused",
        });
    }

    fn queue_for_limiter(&self, limiter: u64, message: ToLimiter) {
        let peers = self.peers.borrow();
        let found = peers.iter().find(|(name, _)| members::hash(name) == limiter);
        let Some((_, peer)) = found else {
            self.count("limiters_without_address");
            return;
        };
        self.count("limiters_told");
        self.to_limiters.borrow_mut().push((peer.address, message));
        self.send_now.notify_one();
    }

    /// Returns and removes the pending messages to limiters, with their addresses.
    pub fn take_messages_to_limiters(&self) -> Vec<(SocketAddr, ToLimiter)> {
        std::mem::take(&mut *self.to_limiters.borrow_mut())
    }

    /// Answers a gateway that requests a permit.
    pub fn answer_permit(&self, question: PermitRequest) -> Answer {
        self.record_reported_limit(question.limit);
        let members = self.members.borrow();
        let answer = self.rate_limits.borrow_mut().answer(self.now(), question, &members);
        self.count_grant(answer.grant);
        answer
    }

    /// Processes the answer of a limiter.
    pub fn permit_answered(&self, answer: Answer) {
        self.record_reported_limit(answer.limit);
        self.rate_limits.borrow_mut().apply_answer(self.now(), answer);
        if answer.grant == Grant::Permit {
            self.permits_received.notify_waiters();
        }
    }

    /// Counts one of this system's own calls to a backend server. Such a call is never held back,
    /// since the safety of a replica group may depend on it, but it counts against the limit.
    pub fn count_own_call(&self, server: &str) {
        let target = Target::of(server);
        let members = self.members.borrow();
        let limiter = self.rate_limits.borrow_mut().spent(self.now(), target, &members);
        drop(members);
        if let Some(limiter) = limiter {
            self.queue_for_limiter(limiter, ToLimiter::Spent(target));
        }
    }

    /// Counts a call made by another gateway to a backend server whose limiter is this gateway.
    pub fn count_peer_call(&self, target: Target) {
        let members = self.members.borrow();
        // If this gateway considers another one the limiter, the report is not forwarded: such a
        // difference lasts only a moment, and the count is an estimate.
        let _ = self.rate_limits.borrow_mut().spent(self.now(), target, &members);
    }
}
