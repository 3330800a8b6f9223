//! Backend servers that name a rate limit in their answers, and what all gateways together send them.
//!
//! Each such backend server has a limiter: the gateway that comes first for it, by a hash of both names, among those that
//! were heard lately. It keeps a token bucket, and the others ask it for a permit before they send. So a rate of a
//! request in seconds can be shared by hundreds of gateways, and goes to those that have callers for it. Without a
//! permit a request goes elsewhere, or is refused if there is no other place.
//!
//! A limiter that falls silent is replaced after the time in which gateways notice; until then nothing is granted, and the
//! next one begins with an empty bucket. Gateways that are cut off from each other have a limiter each, which grants the
//! part of the rate that the gateways it hears are of all (see [`members`](crate::members)).
//!
//! | module | decides |
//! |---|---|
//! | [`limits`] | which limits are in force, by what answers and other gateways tell |
//! | [`buckets`] | what a limiter grants |
//! | [`permits`] | what this gateway may send |
//!
//! Rejected, by a replay of one backend server that takes few requests a second: equal parts in whole requests, and equal rates
//! (where gateways are more than requests, most callers come to one that has no part, and what others do not need is
//! lost), shares by what gateways tell of their callers (some 100 ms old, they sum up to more than the limit), and the
//! leader as the limiter of all (one gateway would answer for every request of the fleet).

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

/// The time after which a gateway is asked again that is no limiter, or not yet, in ms: two heartbeats.
const NO_LIMITER_MS: u32 = 200;

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u32);

impl Rate {
    /// A rate in requests a second; none if it is negative or no number. One that is too large to be noted is taken for the
    /// largest that is.
    pub fn from_per_s(per_s: f64) -> Option<Rate> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Rate((per_s * 1_000.0) as u32))
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// Asks a limiter for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The limit as the asking gateway knows it.
    pub limit: Limit,
    /// What the permit is wanted for.
    pub need: Need,
}

/// A limiter's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The limit as the limiter knows it.
    pub limit: Limit,
    /// Whether a request may be sent.
    pub grant: Grant,
}

/// What keeps a request from a backend server that names a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoPermit {
    /// When there may be one.
    pub free_at: Millis,
}

/// What follows when a permit is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: it was asked for, or it is known that there is none.
    Wait,
    /// This gateway is the limiter, and has decided.
    Decided(Grant),
    /// Another one, by its name's hash, is to be asked.
    Ask(u64, Question),
}

/// Rate limits, as one gateway knows and keeps them.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    /// The limits in force.
    pub limits: Limits,
    buckets: Buckets,
    permits: Permits,
}

impl RateLimits {
    /// Whether a request may be given to a backend server now.
    ///
    /// # Errors
    /// If it names a limit and there is no permit.
    pub fn check(&self, now: Millis, target: Target, need: Need) -> Result<(), NoPermit> {
        if self.limits.rate(target).is_none() || self.permits.has(now, target) {
            return Ok(());
        }
        Err(NoPermit { free_at: self.permits.free_at(now, target, need) })
    }

    /// Takes a permit for a request that is given to a backend server; none if there is none, or none is needed.
    pub fn take(&mut self, now: Millis, target: Target) -> Option<Permit> {
        self.limits.rate(target)?;
        self.permits.take(now, target)
    }

    /// A request that had taken a permit is not sent.
    pub fn give_back(&mut self, target: Target, permit: Permit) {
        self.permits.give_back(target, permit);
    }

    /// Whether a request with this permit may be sent to a backend server now: a limit may have been named since it was given to it.
    pub fn may_send(&self, now: Millis, target: Target, permit: Option<Permit>) -> bool {
        self.limits.rate(target).is_none() || permit.is_some_and(|permit| permit.holds(now))
    }

    /// A request wants a permit at a backend server that names a limit.
    pub fn want(&mut self, now: Millis, target: Target, need: Need, members: &Members) -> Step {
        let Some(limit) = self.limits.get(target) else { return Step::Wait };
        if !self.permits.begin_to_ask(now, target, need) {
            return Step::Wait;
        }
        let question = Question { limit, need };
        let limiter = members.limiter(now, target);
        if limiter != members.own() {
            self.buckets.hand_over(target);
            return Step::Ask(limiter, question);
        }
        let answer = self.answer(now, question, members);
        self.answered(now, answer);
        Step::Decided(answer.grant)
    }

    /// Answers a gateway that asks for a permit, or this one.
    pub fn answer(&mut self, now: Millis, question: Question, members: &Members) -> Answer {
        self.limits.told(now, question.limit);
        let target = question.limit.target;
        let limit = self.limits.get(target).unwrap_or(question.limit);
        let is_limiter = members.limiter(now, target) == members.own();
        if !is_limiter {
            self.buckets.hand_over(target);
        }
        let grant = match limit.rate {
            None => Grant::Permit,
            Some(rate) if is_limiter && members.sharers(now).is_some() => {
                let per_s = rate.per_s() * members.heard_part(now);
                self.buckets.ask(now, target, per_s, question.need)
            }
            Some(_) => Grant::After(NO_LIMITER_MS),
        };
        Answer { limit, grant }
    }

    /// Takes a limiter's answer in.
    pub fn answered(&mut self, now: Millis, answer: Answer) {
        self.limits.told(now, answer.limit);
        let target = answer.limit.target;
        match answer.grant {
            Grant::Permit => self.permits.granted(target),
            Grant::After(ms) => self.permits.refused(now, target, u64::from(ms)),
        }
    }

    /// A call was made to a backend server that cannot wait for a permit; tells which limiter is to be told.
    pub fn spent(&mut self, now: Millis, target: Target, members: &Members) -> Option<u64> {
        let rate = self.limits.rate(target)?;
        let limiter = members.limiter(now, target);
        if limiter != members.own() {
            return Some(limiter);
        }
        self.buckets.spend(now, target, rate.per_s() * members.heard_part(now));
        None
    }

    /// Forgets backend servers that are gone, and what is over.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(Target) -> bool) {
        self.limits.retain(now, &keep);
        self.permits.retain(now, &keep);
        let limits = &self.limits;
        self.buckets.retain(|target| limits.rate(target).is_some());
    }
}
