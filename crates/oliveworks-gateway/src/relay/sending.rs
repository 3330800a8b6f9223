//! Sends a request to a place.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::attempts::Failure;
use oliveworks_gateway_core::balance::NoTarget;
use oliveworks_gateway_core::crashers::{Features, Standing};
use oliveworks_gateway_core::event_order::{EventOrder, Numbering};
use oliveworks_gateway_core::group_id::GroupId;
use oliveworks_gateway_core::obstacles::NoPlace;

use super::Job;
use super::forwarding::is_hop_by_hop;
use super::reception::{OutstandingRequest, Reception, Sent};
use crate::dialect::ForwardInfo;
use crate::events::Event;
use crate::exchange::{Exchange, NoConnection};
use crate::places::Place;
use crate::state::Gateway;

/// Reason why a request is not sent at present.
#[derive(Debug)]
pub(super) enum Rejection {
    /// The configuration is too old to honour keys.
    Stale,
    /// The request is convicted of crashing backend servers until this time.
    Convicted { until: Millis },
    /// A copy of the request, which may crash its backend server, is being tried.
    Copy,
    /// There is no place.
    NoPlace(NoPlace),
    /// The retry budget is used up.
    NoRepeatLeft,
}

/// Reason why a request was not sent.
pub(super) enum NotSent {
    /// The request is not sent at present.
    Rejected(Rejection),
    /// The attempt at a place failed before the request was sent.
    Failed {
        place: Place,
        /// Whether nothing listens at the address.
        gone: bool,
    },
}

impl From<Rejection> for NotSent {
    fn from(rejection: Rejection) -> NotSent {
        NotSent::Rejected(rejection)
    }
}

/// A repeat taken from the retry budget, which is given back if the request is not sent.
struct Repeat<'a> {
    gateway: &'a Gateway,
    /// Service of the repeat; none for a first send, or once the repeat is used.
    service: Option<String>,
}

impl Repeat<'_> {
    /// Marks the repeat as used.
    fn keep(&mut self) {
        self.service = None;
    }
}

impl Drop for Repeat<'_> {
    fn drop(&mut self) {
        if let Some(service) = self.service.take() {
            self.gateway.budget.borrow_mut().give_back(&service);
        }
    }
}

impl<'a> Job<'a> {
    /// Sends the request to a place as soon as there is one. Dropping the future before it is done
    /// sends nothing.
    pub(super) async fn send<'r>(
        &mut self,
        features: &'r Features,
    ) -> Result<Reception<'r>, NotSent>
    where
        'a: 'r,
    {
        let gateway: &'r _ = self.gateway;
        let place = self.choose_place(features).await?;
        let mut repeat = self.take_repeat()?;
        let mut outstanding = self.begin_send(&place);
        let target = place.candidate.target;
        let suspect_run = gateway.suspect_run(features, target);
        let mut pending_send = gateway.pending_send(target);
        let opened = Exchange::open(place.address, gateway.settings.requests.connect_ms).await;
        self.attempts.connecting();
        self.tried_targets.push(target);
        outstanding.failed = true;
        let mut exchange = match opened {
            Ok(exchange) => exchange,
            Err(why) => {
                self.record_connect_failure(&place, why);
                return Err(NotSent::Failed { place, gone: why == NoConnection::Refused });
            }
        };
        // While the connection was being opened, keys may have been revoked, a drain may have
        // begun, or the host may have lowered its limit.
        let may_send = self.may_send()
            && gateway.may_still_send(&place, self.allowed())
            && pending_send.may_be_sent();
        let request = if may_send { self.build_request(&place) } else { None };
        let Some(request) = request else {
            return Err(NotSent::Failed { place, gone: false });
        };
        self.attempts.sending();
        pending_send.sent();
        repeat.keep();
        let incarnation = gateway.directory.borrow().born(&place.server);
        gateway.count_send(target);
        exchange.begin(request);
        outstanding.failed = false;
        let group = place.epoch.map(|epoch| GroupId::of(&self.service, epoch));
        let at = gateway.now();
        let sent = Sent {
            place,
            at,
            streams: self.route.stream,
            order: EventOrder::new(self.position, self.usual_numbering()),
            exchange,
            incarnation,
            group,
            outstanding,
            suspect_run,
        };
        Ok(sent.into())
    }

    async fn choose_place(&mut self, features: &Features) -> Result<Place, Rejection> {
        if !self.may_send() {
            return Err(Rejection::Stale);
        }
        let gateway = self.gateway;
        let standing = gateway.standing(features);
        if let Standing::Convicted { until } = standing {
            return Err(Rejection::Convicted { until });
        }
        if gateway.must_wait_for_trial(features) {
            return Err(Rejection::Copy);
        }
        let found = self.place(standing).await;
        // Backend servers in a backoff exist and are not idle, so more of them may not help: a lack
        // of places for this reason does not count as unmet demand.
        let lacks_place = found.as_ref().is_err_and(|none| none.reason != NoTarget::Backoff);
        self.note_demand(lacks_place);
        let place = found.map_err(Rejection::NoPlace)?;
        // A copy of the request may have been sent while this one waited for a place.
        if gateway.must_wait_for_trial(features) {
            return Err(Rejection::Copy);
        }
        Ok(place)
    }

    /// Takes a repeat from the retry budget if the request was sent before.
    fn take_repeat(&self) -> Result<Repeat<'a>, Rejection> {
        let gateway = self.gateway;
        if !self.attempts.next_is_repeat() {
            return Ok(Repeat { gateway, service: None });
        }
        let now = gateway.now();
        let sharers = gateway.members.borrow().sharing_gateways(now);
        match gateway.budget.borrow_mut().take(now, &self.service, sharers) {
            true => Ok(Repeat { gateway, service: Some(self.service.clone()) }),
            false => Err(Rejection::NoRepeatLeft),
        }
    }

    /// Records the send in the load counts and in the log.
    fn begin_send<'r>(&mut self, place: &Place) -> OutstandingRequest<'r>
    where
        'a: 'r,
    {
        self.table = self.gateway.table_version();
        let (target, tokens) = (place.candidate.target, self.asked.prompt_tokens);
        let now = self.gateway.now();
        if self.attempts.sent() == 0 {
            self.served.sent_after_ms = now - self.received;
        }
        let load = self.gateway.balance.borrow().load(now, target);
        self.log.push(format!(
            "to {}{} at {} ms: {} open, {} tokens unread",
            place.server,
            if place.candidate.is_local { "" } else { " elsewhere" },
            now - self.received,
            load.requests,
            load.tokens,
        ));
        self.gateway.balance.borrow_mut().started(now, target, tokens);
        self.gateway.admission.borrow_mut().started(now, target);
        OutstandingRequest {
            gateway: self.gateway,
            target,
            tokens,
            first_event: None,
            failed: false,
        }
    }

    /// Returns how the ids of the service's streams rise, as far as it is known.
    fn usual_numbering(&self) -> Numbering {
        self.gateway.numberings.borrow().get(&self.service).copied().unwrap_or_default()
    }

    fn build_request(&self, place: &Place) -> Option<Request<Full<Bytes>>> {
        let now = self.gateway.now();
        let info = ForwardInfo {
            deadline_ms: self.deadline.saturating_sub(now).max(1),
            server: &place.server,
            workspace: self.workspace.as_deref(),
            last_event: self.position.last_event(),
            priority: self.priority.filter(|_| self.model.is_some()),
        };
        let mut builder = Request::builder();
        builder = builder.method(self.request.method.as_str()).uri(&self.request.target);
        for (name, value) in self.gateway.dialect.outgoing_headers(&self.request.headers, &info) {
            if !is_hop_by_hop(&name) {
                builder = builder.header(name, value.as_ref());
            }
        }
        builder.body(Full::new(self.request.body.clone())).ok()
    }

    fn record_connect_failure(&self, place: &Place, why: NoConnection) {
        let now = self.gateway.now();
        self.gateway.suspensions.borrow_mut().suspend(now, place.candidate.target);
        self.gateway.record_unreachable(&place.server);
        if let Some(epoch) = place.epoch {
            Event::new("head_unreachable")
                .with("host", &*place.server)
                .with("epoch", epoch)
                .debug("why", why)
                .with("request", self.asked.id.as_str())
                .write();
            self.gateway.report_stalled_group(GroupId::of(&self.service, epoch));
        }
    }

    /// Returns whether a target gets a penalty in later choices because an attempt there failed.
    ///
    /// A refusal counts as well: a host that rejects its requests at once has nothing outstanding
    /// and would attract the next ones. The penalty reduces refusals by 18 in 100 (4,726 instead of
    /// 5,759 in three runs of a day on which a third of the hosts refuse), and the number of served
    /// callers stays the same. A host that named a backoff time gets no penalty, since it is as
    /// good as any other afterwards.
    ///
    /// Rejected alternative: a backoff, doubled with each consecutive refusal, for hosts that name
    /// no time. The system then lacks the capacity of these hosts under load (0.79 of callers
    /// served instead of 0.81).
    pub(super) fn is_penalized(&self, reception: &Reception<'_>, failure: Failure) -> bool {
        let now = self.gateway.now();
        let backoff = self.gateway.backoffs.borrow().until(now, reception.target());
        failure != Failure::Refused || backoff.is_none()
    }
}
