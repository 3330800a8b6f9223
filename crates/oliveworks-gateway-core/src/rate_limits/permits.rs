//! Permits held by this gateway. Each permit allows one request to a backend server with a rate
//! limit.

use std::collections::HashMap;

use super::buckets::Need;
use crate::Millis;
use crate::balance::Target;

/// Validity of a permit from the time of its request, in ms. The value is a compromise: a host can
/// receive one request for each valid permit of all gateways in addition to its rate, and a gateway
/// with few callers must have a use for a permit within this time.
const PERMIT_VALID_MS: u64 = 500;
/// Time after which an unanswered permit request is sent again, in ms. This is several times the
/// network delay between failure domains.
const ANSWER_TIMEOUT_MS: u64 = 50;

/// Permission to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    until: Millis,
}

impl Permit {
    /// Returns whether the permit is still valid.
    pub fn is_valid(self, now: Millis) -> bool {
        now < self.until
    }
}

/// An outstanding permit request.
#[derive(Clone, Copy, Debug)]
struct OutstandingRequest {
    at: Millis,
    need: Need,
}

#[derive(Clone, Debug, Default)]
struct Host {
    held: Vec<Permit>,
    outstanding: Option<OutstandingRequest>,
    /// Earliest time at which a permit may be available.
    retry_at: Millis,
    /// Earliest time at which a permit may be available for requests that have another place.
    optional_retry_at: Millis,
}

impl Host {
    fn free_at(&self, now: Millis, need: Need) -> Millis {
        let timeout_at =
            self.outstanding.map_or(now, |outstanding| outstanding.at + ANSWER_TIMEOUT_MS);
        let retry_at = match need {
            Need::Only => self.retry_at,
            Need::Optional => self.retry_at.max(self.optional_retry_at),
        };
        now.max(retry_at).max(timeout_at)
    }

    fn is_idle(&self, now: Millis) -> bool {
        self.held.is_empty() && self.free_at(now, Need::Optional) <= now
    }
}

/// The permits of this gateway, by backend server.
#[derive(Clone, Debug, Default)]
pub struct Permits(HashMap<Target, Host>);

impl Permits {
    /// Returns whether a valid permit for a backend server is held.
    pub fn has(&self, now: Millis, target: Target) -> bool {
        let host = self.0.get(&target);
        host.is_some_and(|host| host.held.iter().any(|permit| permit.is_valid(now)))
    }

    /// Takes the permit that expires first.
    pub fn take(&mut self, now: Millis, target: Target) -> Option<Permit> {
        let host = self.0.get_mut(&target)?;
        host.held.retain(|permit| permit.is_valid(now));
        let first = (0..host.held.len()).min_by_key(|index| host.held[*index].until)?;
        Some(host.held.swap_remove(first))
    }

    /// Returns the permit of a request that was not sent.
    pub fn give_back(&mut self, target: Target, permit: Permit) {
        self.0.entry(target).or_default().held.push(permit);
    }

    /// Returns the earliest time at which a permit for a backend server may be available.
    pub fn free_at(&self, now: Millis, target: Target, need: Need) -> Millis {
        self.0.get(&target).map_or(now, |host| host.free_at(now, need))
    }

    /// Records that a permit is being requested. Returns false, and records nothing, if a request
    /// is of no use at present.
    pub fn begin_to_ask(&mut self, now: Millis, target: Target, need: Need) -> bool {
        let host = self.0.entry(target).or_default();
        if now < host.free_at(now, need) {
            return false;
        }
        host.outstanding = Some(OutstandingRequest { at: now, need });
        true
    }

    /// Records that a permit was granted. A late answer, to a permit request that is no longer
    /// outstanding, is ignored.
    pub fn granted(&mut self, target: Target) {
        let Some(host) = self.0.get_mut(&target) else { return };
        if let Some(outstanding) = host.outstanding.take() {
            host.held.push(Permit { until: outstanding.at + PERMIT_VALID_MS });
        }
    }

    /// Records that a permit was refused, and that none is available for `retry_ms`.
    pub fn refused(&mut self, now: Millis, target: Target, retry_ms: u64) {
        let host = self.0.entry(target).or_default();
        let retry_at = now + retry_ms;
        match host.outstanding.take().map(|outstanding| outstanding.need) {
            Some(Need::Optional) => host.optional_retry_at = retry_at,
            Some(Need::Only) | None => host.retry_at = retry_at,
        }
    }

    /// Drops the backend servers for which `keep` returns false, and expired permits.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(Target) -> bool) {
        self.0.retain(|target, host| {
            host.held.retain(|permit| permit.is_valid(now));
            keep(*target) && !host.is_idle(now)
        });
    }
}
