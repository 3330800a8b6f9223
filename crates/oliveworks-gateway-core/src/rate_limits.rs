//! Rate limits: enforces, across all gateways, the limits that backend servers name in their
//! answers.
//!
//! Each such backend server has a limiter: the gateway that ranks first for the backend server, by
//! a hash of both names, among the gateways observed recently. The limiter keeps a token bucket,
//! and the other gateways ask for a permit before they send. In this way, hundreds of gateways can
//! share a rate as low as one request in several seconds, and the rate goes to the gateways that
//! have callers for it. Without a permit, a request goes elsewhere, or is rejected if there is no
//! other place.
//!
//! A limiter that falls silent is replaced after the time in which gateways detect its silence.
//! Until then nothing is granted, and the next limiter starts with an empty bucket. Under a network
//! partition each side has its own limiter, which grants the part of the rate that corresponds to
//! the share of all gateways observed on its side (see [`members`](crate::members)).
//!
//! | module | decides |
//! |---|---|
//! | [`limits`] | which limits are in force, from answers and from reports of other gateways |
//! | [`buckets`] | what a limiter grants |
//! | [`permits`] | what this gateway may send |
//!
//! Rejected, after a replay of one backend server that accepts few requests per second: equal
//! shares in whole requests, and equal rates (with more gateways than requests, most callers reach
//! a gateway without a share, and unused shares are lost); shares by reported numbers of callers
//! (the reports are some 100 ms old, and the shares add up to more than the limit); and the leader
//! as the only limiter (one gateway would answer for every request of the fleet).

pub mod buckets;
pub mod limits;
pub mod permits;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::balance::Target;
use crate::members::Members;
use buckets::{Buckets, Grant, Need};
use limits::{Limit, Limits};
use permits::{Permit, Permits};

/// Time after which a gateway that is not the limiter, or not yet, is asked again, in ms. This is
/// two heartbeats.
const NO_LIMITER_RETRY_MS: u32 = 200;

/// A rate, stored in thousandths of a request per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u32);

impl Rate {
    /// Creates a rate from requests per second. Returns `None` for negative values, NaN and
    /// infinity. A rate that is too large to be represented is replaced by the largest possible
    /// rate.
    pub fn from_per_s(per_s: f64) -> Option<Rate> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Rate((per_s * 1_000.0) as u32))
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// A request for a permit, sent to a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The limit as known by the requesting gateway.
    pub limit: Limit,
    /// The purpose of the permit.
    pub need: Need,
}

/// A limiter's answer to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The limit as known by the limiter.
    pub limit: Limit,
    /// The permit, or the time until the next attempt.
    pub grant: Grant,
}

/// The error for a backend server with a rate limit and no permit left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoPermit {
    /// Earliest time at which a permit may be available.
    pub free_at: Millis,
}

/// The next step for a request that needs a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// No step: a permit was already requested, or none is available for now.
    Wait,
    /// This gateway is the limiter and has decided.
    Decided(Grant),
    /// Send the permit request to the limiter with this name hash.
    Ask(u64, PermitRequest),
}

/// The rate limits that this gateway knows, and the buckets and permits that it holds.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    /// The limits in force.
    pub limits: Limits,
    buckets: Buckets,
    permits: Permits,
}

impl RateLimits {
    /// Checks whether a request may be assigned to a backend server now.
    ///
    /// # Errors
    /// Returns an error if the backend server has a rate limit and no permit is available.
    pub fn check(&self, now: Millis, target: Target, need: Need) -> Result<(), NoPermit> {
        if self.limits.rate(target).is_none() || self.permits.has(now, target) {
            return Ok(());
        }
        Err(NoPermit { free_at: self.permits.free_at(now, target, need) })
    }

    /// Takes a permit for a request that is assigned to a backend server. Returns `None` if no
    /// permit is available or none is needed.
    pub fn take(&mut self, now: Millis, target: Target) -> Option<Permit> {
        self.limits.rate(target)?;
        self.permits.take(now, target)
    }

    /// Takes back the permit of a request that is not sent, for use by another request.
    pub fn give_back(&mut self, target: Target, permit: Permit) {
        self.permits.give_back(target, permit);
    }

    /// Returns whether a request with this permit may be sent to a backend server now. A limit may
    /// have been named after the request was assigned.
    pub fn may_send(&self, now: Millis, target: Target, permit: Option<Permit>) -> bool {
        self.limits.rate(target).is_none() || permit.is_some_and(|permit| permit.is_valid(now))
    }

    /// Returns the next step for a request that needs a permit for a backend server with a rate
    /// limit.
    pub fn want(&mut self, now: Millis, target: Target, need: Need, members: &Members) -> Step {
        let Some(limit) = self.limits.get(target) else { return Step::Wait };
        if !self.permits.begin_to_ask(now, target, need) {
            return Step::Wait;
        }
        let request = PermitRequest { limit, need };
        let limiter = members.limiter(now, target);
        if limiter != members.own() {
            self.buckets.drop_bucket(target);
            return Step::Ask(limiter, request);
        }
        let answer = self.answer(now, request, members);
        self.apply_answer(now, answer);
        Step::Decided(answer.grant)
    }

    /// Answers a permit request of another gateway or of this one.
    pub fn answer(&mut self, now: Millis, request: PermitRequest, members: &Members) -> Answer {
        self.limits.apply_report(now, request.limit);
        let target = request.limit.target;
        let limit = self.limits.get(target).unwrap_or(request.limit);
        let is_limiter = members.limiter(now, target) == members.own();
        if !is_limiter {
            self.buckets.drop_bucket(target);
        }
        let grant = match limit.rate {
            None => Grant::Permit,
            Some(rate) if is_limiter && members.sharing_gateways(now).is_some() => {
                let per_s = rate.per_s() * members.observed_share(now);
                self.buckets.ask(now, target, per_s, request.need)
            }
            Some(_) => Grant::After(NO_LIMITER_RETRY_MS),
        };
        Answer { limit, grant }
    }

    /// Applies a limiter's answer.
    pub fn apply_answer(&mut self, now: Millis, answer: Answer) {
        self.limits.apply_report(now, answer.limit);
        let target = answer.limit.target;
        match answer.grant {
            Grant::Permit => self.permits.granted(target),
            Grant::After(ms) => self.permits.refused(now, target, u64::from(ms)),
        }
    }

    /// Records a call to a backend server that was sent without a permit because the call cannot
    /// wait. Returns the limiter that must be informed, if another gateway is the limiter.
    pub fn spent(&mut self, now: Millis, target: Target, members: &Members) -> Option<u64> {
        let rate = self.limits.rate(target)?;
        let limiter = members.limiter(now, target);
        if limiter != members.own() {
            return Some(limiter);
        }
        self.buckets.spend(now, target, rate.per_s() * members.observed_share(now));
        None
    }

    /// Drops the backend servers for which `keep` returns false, expired permits and outdated
    /// limits.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(Target) -> bool) {
        self.limits.retain(now, &keep);
        self.permits.retain(now, &keep);
        let limits = &self.limits;
        self.buckets.retain(|target| limits.rate(target).is_some());
    }
}
