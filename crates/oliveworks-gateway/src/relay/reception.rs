//! Answers that are being received from backend servers.
//!
//! The silence of a host is evidence that it has ended, but no proof: a sound host may send nothing
//! for a second and then continue. A silent answer is therefore still awaited while the request is
//! sent to another place as well, and the first one to bring news for the caller is forwarded.

use std::future::{pending, poll_fn};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::Incoming;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::attempts::Failure;
use oliveworks_gateway_core::backend_servers::Born;
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::events::Splitter;
use oliveworks_gateway_core::group_id::GroupId;
use oliveworks_gateway_core::stop::check_interval_ms;

use crate::crashers::SuspectRun;
use crate::dialect::Headers;
use crate::exchange::{Exchange, headers_of};
use crate::places::Place;
use crate::state::Gateway;

/// Time between two checks whether a silent host has ended, in ms.
const ENDED_CHECK_INTERVAL_MS: u64 = 100;

/// Head of an answer.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub status: u16,
    pub headers: Headers,
}

/// Data of an answer.
pub(super) enum Data {
    Head(Head),
    /// Bytes of the body.
    Part(Bytes),
    /// End of a complete body.
    End,
}

/// A request that was sent to a place, and the answer that is being received from there.
pub(super) struct Reception<'a> {
    pub place: Place,
    /// Time of the send.
    pub sent: Millis,
    /// Time of the last data, or of the send.
    pub since: Millis,
    /// Whether nothing arrived for so long that the place counts as stalled.
    pub is_silent: bool,
    /// Head of the answer, once it was received.
    pub head: Option<Head>,
    /// Complete events are split off the body of a stream.
    pub splitter: Splitter,
    /// Bytes received so far of a body that is not forwarded by events.
    pub whole: Vec<u8>,
    pub outstanding: OutstandingRequest<'a>,
    exchange: Exchange,
    body: Option<Incoming>,
    /// Start of the incarnation that the request was sent to, according to its record.
    pub incarnation: Option<Born>,
    group: Option<GroupId>,
    _suspect_run: Option<SuspectRun<'a>>,
}

/// Parts of a reception that exist when its request is sent.
pub(super) struct Sent<'a> {
    pub place: Place,
    pub at: Millis,
    pub exchange: Exchange,
    pub incarnation: Option<Born>,
    pub group: Option<GroupId>,
    pub outstanding: OutstandingRequest<'a>,
    pub suspect_run: Option<SuspectRun<'a>>,
}

impl<'a> From<Sent<'a>> for Reception<'a> {
    fn from(sent: Sent<'a>) -> Reception<'a> {
        Reception {
            place: sent.place,
            sent: sent.at,
            since: sent.at,
            is_silent: false,
            head: None,
            splitter: Splitter::default(),
            whole: Vec::new(),
            outstanding: sent.outstanding,
            exchange: sent.exchange,
            body: None,
            incarnation: sent.incarnation,
            group: sent.group,
            _suspect_run: sent.suspect_run,
        }
    }
}

impl Reception<'_> {
    /// Returns the target of the place.
    pub fn target(&self) -> Target {
        self.place.candidate.target
    }

    fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Result<Data, Failure>> {
        let Some(body) = &mut self.body else {
            let head = ready!(self.exchange.poll_head(context));
            return Poll::Ready(head.map_err(|_| Failure::Lost).map(|response| {
                let head =
                    Head { status: response.status().as_u16(), headers: headers_of(&response) };
                self.body = Some(response.into_body());
                Data::Head(head)
            }));
        };
        Poll::Ready(match ready!(self.exchange.poll_next(context, body)) {
            Ok(Some(part)) => Ok(Data::Part(part)),
            Ok(None) => Ok(Data::End),
            Err(_) => Err(Failure::Lost),
        })
    }

    /// Returns whether it is certain that a silent group will not continue: the leader has ended it
    /// and freed the members.
    ///
    /// Rejected alternative: a record of a later incarnation of the host. The request may have been
    /// sent to that incarnation before its record arrived.
    fn has_ended(&self, gateway: &Gateway) -> bool {
        self.group.is_some_and(|group| gateway.table.borrow().ended.contains(&group))
    }
}

/// Longest silence of a place before the request is sent to another place as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SilenceLimit {
    /// The request may not be sent to another place.
    Unlimited,
    /// Silence of a single backend server, in ms.
    Plain { silence_ms: u64 },
    /// Longest pass of a replica group, in ms.
    Group { pass_ms: u64 },
}

impl SilenceLimit {
    /// Returns the time at which a place counts as stalled if nothing arrives from it.
    fn stalled_at(self, gateway: &Gateway, reception: &Reception<'_>) -> Option<Millis> {
        let base = reception.since.max(gateway.awake_since());
        match self {
            SilenceLimit::Unlimited => None,
            SilenceLimit::Plain { silence_ms } => Some(base + silence_ms),
            SilenceLimit::Group { pass_ms } => {
                let balance = gateway.balance.borrow();
                Some(balance.stalled_at(reception.target(), base, pass_ms))
            }
        }
    }
}

/// What happened at the receptions of a request.
pub(super) enum ReceptionEvent {
    /// Data or the failure of the reception with this index.
    Received(usize, Result<Data, Failure>),
    /// The place of the reception with this index has become silent.
    Silent(usize),
    /// The time of the request is over, or that of the process.
    Expired,
}

async fn next_data(receptions: &mut [Reception<'_>]) -> (usize, Result<Data, Failure>) {
    if receptions.is_empty() {
        return pending().await;
    }
    poll_fn(|context| {
        for (index, reception) in receptions.iter_mut().enumerate() {
            if let Poll::Ready(data) = reception.poll_data(context) {
                return Poll::Ready((index, data));
            }
        }
        Poll::Pending
    })
    .await
}

/// Waits for the next event of the receptions, until `expires_at` or the end of a stop.
pub(super) async fn next_event(
    gateway: &Gateway,
    limit: SilenceLimit,
    expires_at: Millis,
    receptions: &mut [Reception<'_>],
) -> ReceptionEvent {
    let stop_check_interval_ms = check_interval_ms(gateway.settings.bounds.grace_ms());
    loop {
        let now = gateway.now();
        let expires_at = gateway.awaits_answer_until(expires_at);
        let until = receptions.iter().filter_map(|reception| match reception.is_silent {
            true => Some(now + ENDED_CHECK_INTERVAL_MS),
            false => limit.stalled_at(gateway, reception),
        });
        let until = until.fold(expires_at.min(now + stop_check_interval_ms), Millis::min);
        let arrived = gateway.within(until.saturating_sub(now), next_data(receptions)).await;
        if let Ok((index, data)) = arrived {
            return ReceptionEvent::Received(index, data);
        }
        let now = gateway.now();
        if now >= expires_at {
            return ReceptionEvent::Expired;
        }
        for (index, reception) in receptions.iter().enumerate() {
            match reception.is_silent {
                true if reception.has_ended(gateway) => {
                    return ReceptionEvent::Received(index, Err(Failure::Stalled));
                }
                true => {}
                false => {
                    if limit.stalled_at(gateway, reception).is_some_and(|at| now >= at) {
                        return ReceptionEvent::Silent(index);
                    }
                }
            }
        }
    }
}

/// Counts a request as outstanding at its target until dropped, however the attempt ends.
pub(super) struct OutstandingRequest<'a> {
    pub gateway: &'a Gateway,
    pub target: Target,
    /// Number of tokens in the prompt.
    pub tokens: u32,
    /// Time of the first event from the target, if any.
    pub first_event: Option<Millis>,
    /// Whether the target gets a penalty in later choices.
    pub failed: bool,
}

impl Drop for OutstandingRequest<'_> {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut balance = self.gateway.balance.borrow_mut();
        let began = self.first_event.is_some();
        balance.ended(now, self.target, self.tokens, began, self.failed);
    }
}
