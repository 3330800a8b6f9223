//! Answers that are being received from backend servers.
//!
//! The silence of a host is evidence that it has ended, but no proof: a sound host may send nothing
//! for a second and then continue. A silent answer is therefore still awaited while the request is
//! sent to another place as well, and the first one to bring news for the caller is forwarded.

use std::future::{pending, poll_fn};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::body::Incoming;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::arrivals::Arrivals;
use oliveworks_gateway_core::attempts::Failure;
use oliveworks_gateway_core::backend_servers::Born;
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::event_order::{EventOrder, OutOfOrder};
use oliveworks_gateway_core::events::{EVENT_MAX, Event, Splitter};
use oliveworks_gateway_core::group_id::GroupId;
use oliveworks_gateway_core::stop::check_interval_ms;

use crate::body::ArrivingBody;
use crate::crashers::SuspectRun;
use crate::dialect::Headers;
use crate::exchange::{Exchange, HEAD_MAX, headers_of};
use crate::memory_budget::MemoryShare;
use crate::places::Place;
use crate::state::Gateway;

/// Time between two checks whether a silent host has ended, in ms.
const ENDED_CHECK_INTERVAL_MS: u64 = 100;

/// Largest size of the blocks without an event between two events, in bytes.
const HELD_MAX: usize = 64 << 10;

/// Head of an answer.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub status: u16,
    pub headers: Headers,
}

/// Data of an answer.
pub(super) enum Data {
    Head(Head),
    /// Events of a stream that the caller lacks.
    Events(Vec<u8>),
    /// Bytes of a body that is forwarded as a whole.
    Part(Bytes),
    /// End of a complete body.
    End,
}

/// A request that was sent to a place, and the answer that is being received from there.
pub(super) struct Reception<'a> {
    pub place: Place,
    /// Time of the send.
    pub sent: Millis,
    /// Time of the last data that was news for the caller, of the head, or of the send.
    pub since: Millis,
    /// Whether nothing arrived for so long that the place counts as stalled.
    pub is_silent: bool,
    /// Head of the answer, once it was received.
    pub head: Option<Head>,
    /// Whether a successful answer is forwarded event by event.
    streams: bool,
    /// Complete events are split off the body of a stream.
    splitter: Splitter,
    /// Order of the events received here.
    pub order: EventOrder,
    /// Blocks without an event, such as comments, since the last event. They are forwarded with the
    /// next one, or at the end of the stream.
    held_blocks: Vec<u8>,
    /// Bytes of the head, or of the latest event of a stream, until it is complete.
    unfinished: Arrivals,
    /// Bytes since the last news for the caller.
    without_news: Arrivals,
    /// Bytes received so far of a body that is not forwarded by events.
    pub whole: ArrivingBody,
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
    /// Whether a successful answer is forwarded event by event.
    pub streams: bool,
    /// Order of the events of a stream.
    pub order: EventOrder,
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
            streams: sent.streams,
            splitter: Splitter::default(),
            order: sent.order,
            held_blocks: Vec::new(),
            unfinished: Arrivals::default(),
            without_news: Arrivals::default(),
            whole: ArrivingBody::new(&sent.outstanding.gateway.answer_memory),
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

    /// Takes the body of a complete answer, and the memory that it holds.
    pub fn take_whole(&mut self) -> (Bytes, MemoryShare) {
        let memory = &self.outstanding.gateway.answer_memory;
        std::mem::replace(&mut self.whole, ArrivingBody::new(memory)).into_parts()
    }

    /// Returns whether the answer is forwarded event by event.
    pub fn is_stream(&self) -> bool {
        let status = self.head.as_ref().map_or(0, |head| head.status);
        self.streams && (200..300).contains(&status)
    }

    /// Returns whether a stream has ended within an event.
    pub fn is_cut(&self) -> bool {
        !self.splitter.rest().is_empty()
    }

    /// Polls for data that is of use. Other bytes of a stream are dropped here, so that they
    /// neither end a silence nor interrupt the search for another place.
    fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Result<Data, Failure>> {
        loop {
            let Some(body) = &mut self.body else { return self.poll_head(context) };
            let part = match ready!(self.exchange.poll_next(context, body)) {
                Ok(Some(part)) => part,
                Ok(None) => return Poll::Ready(Ok(Data::End)),
                Err(_) => return Poll::Ready(Err(Failure::Lost)),
            };
            if !self.is_stream() {
                return Poll::Ready(Ok(Data::Part(part)));
            }
            match self.news(&part) {
                Ok(news) if news.is_empty() => {}
                news => return Poll::Ready(news.map(Data::Events)),
            }
        }
    }

    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<Result<Data, Failure>> {
        let response = match self.exchange.poll_head(context) {
            Poll::Ready(Ok(response)) => response,
            Poll::Ready(Err(_)) => return Poll::Ready(Err(self.failure_of_head())),
            Poll::Pending => {
                let bytes = self.exchange.received_bytes() - self.unfinished.bytes();
                let recorded = self.record_without_news(bytes);
                return match recorded.and_then(|()| self.record_unfinished(bytes, HEAD_MAX)) {
                    Ok(()) => Poll::Pending,
                    Err(failure) => Poll::Ready(Err(failure)),
                };
            }
        };
        self.unfinished = Arrivals::default();
        let head = Head { status: response.status().as_u16(), headers: headers_of(&response) };
        self.body = Some(response.into_body());
        Poll::Ready(Ok(Data::Head(head)))
    }

    /// Returns the failure of an answer whose head was not received: its size, or the end of the
    /// connection.
    fn failure_of_head(&self) -> Failure {
        match self.exchange.received_bytes() >= HEAD_MAX {
            true => Failure::Invalid,
            false => Failure::Lost,
        }
    }

    /// Adds a part of a stream and returns the events that the caller lacks.
    fn news(&mut self, part: &[u8]) -> Result<Vec<u8>, Failure> {
        let events = self.splitter.push(part).map_err(|_| Failure::Invalid)?;
        if !events.is_empty() {
            self.unfinished = Arrivals::default();
        }
        let mut news = Vec::new();
        for event in events {
            if event.is_empty() {
                self.held_blocks.extend_from_slice(&event.bytes);
                continue;
            }
            let mut bytes = std::mem::take(&mut self.held_blocks);
            bytes.extend(event.bytes);
            let relayed = self.order.add(Event { bytes, id: event.id }).map_err(failure_of)?;
            news.extend(relayed.into_iter().flat_map(|event| event.bytes));
        }
        if self.held_blocks.len() > HELD_MAX {
            return Err(Failure::Invalid);
        }
        match news.is_empty() {
            true => self.record_without_news(part.len())?,
            false => self.without_news = Arrivals::default(),
        }
        let unfinished = self.splitter.rest().len().min(part.len());
        self.record_unfinished(unfinished, EVENT_MAX)?;
        Ok(news)
    }

    /// Ends a complete stream and returns the bytes that are still to be relayed.
    pub fn take_rest(&mut self) -> Result<Vec<u8>, Failure> {
        let events = self.order.end().map_err(failure_of)?;
        let mut rest: Vec<u8> = events.into_iter().flat_map(|event| event.bytes).collect();
        rest.append(&mut self.held_blocks);
        Ok(rest)
    }

    fn record_without_news(&mut self, bytes: usize) -> Result<(), Failure> {
        if bytes > 0 {
            self.without_news.record(self.outstanding.gateway.now(), bytes);
        }
        self.without_news.check_without_news().map_err(|_| Failure::Invalid)
    }

    /// Records new bytes of a head or event that is incomplete.
    fn record_unfinished(&mut self, bytes: usize, max_bytes: usize) -> Result<(), Failure> {
        if bytes == 0 {
            return Ok(());
        }
        self.unfinished.record(self.outstanding.gateway.now(), bytes);
        self.unfinished.check_unfinished(max_bytes).map_err(|_| Failure::Invalid)
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

fn failure_of(error: OutOfOrder) -> Failure {
    match error {
        OutOfOrder::Falling => Failure::Invalid,
        OutOfOrder::NotContinuing => Failure::Lost,
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
        if now >= expires_at {
            // What has arrived is still delivered, but nothing is waited for.
            return match next_data(receptions).now_or_never() {
                Some((index, data)) => ReceptionEvent::Received(index, data),
                None => ReceptionEvent::Expired,
            };
        }
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
