//! Permits that this gateway holds, one for each request that it may send to a backend server with a limit.

use std::collections::HashMap;

use super::buckets::Need;
use crate::Millis;
use crate::balance::Target;

/// How long a permit holds from when it was asked for, in ms. A host gets what was granted so long ago on top of its
/// rate, and a gateway with few callers has to meet one in this time.
const PERMIT_MS: u64 = 500;
/// The time after which a question that was not answered is asked again, in ms: several times the way between failure
/// domains.
const ANSWER_MS: u64 = 50;

/// Leave to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    until: Millis,
}

impl Permit {
    /// Whether it may still be used.
    pub fn holds(self, now: Millis) -> bool {
        now < self.until
    }
}

/// A question that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Millis,
    need: Need,
}

#[derive(Clone, Debug, Default)]
struct Host {
    held: Vec<Permit>,
    asked: Option<Asked>,
    /// Before this time no permit comes free.
    retry_at: Millis,
    /// Before this time none comes free for requests that could go elsewhere.
    optional_retry_at: Millis,
}

impl Host {
    fn free_at(&self, now: Millis, need: Need) -> Millis {
        let answered_at = self.asked.map_or(now, |asked| asked.at + ANSWER_MS);
        let retry_at = match need {
            Need::Only => self.retry_at,
            Need::Optional => self.retry_at.max(self.optional_retry_at),
        };
        now.max(retry_at).max(answered_at)
    }

    fn is_idle(&self, now: Millis) -> bool {
        self.held.is_empty() && self.free_at(now, Need::Optional) <= now
    }
}

/// The permits of this gateway.
#[derive(Clone, Debug, Default)]
pub struct Permits(HashMap<Target, Host>);

impl Permits {
    /// Whether there is one for a backend server.
    pub fn has(&self, now: Millis, target: Target) -> bool {
        let host = self.0.get(&target);
        host.is_some_and(|host| host.held.iter().any(|permit| permit.holds(now)))
    }

    /// Takes the one that ends first.
    pub fn take(&mut self, now: Millis, target: Target) -> Option<Permit> {
        let host = self.0.get_mut(&target)?;
        host.held.retain(|permit| permit.holds(now));
        let first = (0..host.held.len()).min_by_key(|index| host.held[*index].until)?;
        Some(host.held.swap_remove(first))
    }

    /// A request that had taken one was not sent.
    pub fn give_back(&mut self, target: Target, permit: Permit) {
        self.0.entry(target).or_default().held.push(permit);
    }

    /// When there may be a permit for a backend server.
    pub fn free_at(&self, now: Millis, target: Target, need: Need) -> Millis {
        self.0.get(&target).map_or(now, |host| host.free_at(now, need))
    }

    /// Notes that one is asked for, unless that is of no use now.
    pub fn begin_to_ask(&mut self, now: Millis, target: Target, need: Need) -> bool {
        let host = self.0.entry(target).or_default();
        if now < host.free_at(now, need) {
            return false;
        }
        host.asked = Some(Asked { at: now, need });
        true
    }

    /// One was granted. An answer that nobody waits for any more is too old to be used.
    pub fn granted(&mut self, target: Target) {
        let Some(host) = self.0.get_mut(&target) else { return };
        if let Some(asked) = host.asked.take() {
            host.held.push(Permit { until: asked.at + PERMIT_MS });
        }
    }

    /// None was granted, and none comes free for so long.
    pub fn refused(&mut self, now: Millis, target: Target, retry_ms: u64) {
        let host = self.0.entry(target).or_default();
        let retry_at = now + retry_ms;
        match host.asked.take().map(|asked| asked.need) {
            Some(Need::Optional) => host.optional_retry_at = retry_at,
            Some(Need::Only) | None => host.retry_at = retry_at,
        }
    }

    /// Forgets backend servers, and what is over.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(Target) -> bool) {
        self.0.retain(|target, host| {
            host.held.retain(|permit| permit.holds(now));
            keep(*target) && !host.is_idle(now)
        });
    }
}
