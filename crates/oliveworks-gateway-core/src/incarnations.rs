//! Incarnations of backend servers, remembered for a while after their records lapse.
//!
//! What a backend server asked for holds for its incarnation. The record may lapse meanwhile, when
//! the server is cut off from the store or the store is down, and return with the same incarnation.
//! What gateways learned about a backend server is therefore kept while its incarnation is known
//! here, and not just while the server is listed.
//!
//! Rejected: keeping it until a later incarnation is listed (most backend servers that are gone
//! never return under their id, so the state would grow without bound).

use std::collections::HashMap;

use crate::Millis;
use crate::backend_servers::Born;
use crate::backoff::BACKOFF_MAX_MS;
use crate::balance::Target;

/// Time for which the incarnation of an unlisted backend server is known, in ms. No backoff that
/// the server asked for lasts longer.
pub const UNLISTED_RETENTION_MS: u64 = BACKOFF_MAX_MS;

#[derive(Clone, Copy, Debug)]
struct Incarnation {
    born: Option<Born>,
    /// Time since which the backend server is not listed; `None` while it is.
    unlisted_since: Option<Millis>,
}

/// The last known incarnation of each backend server.
#[derive(Clone, Debug, Default)]
pub struct Incarnations(HashMap<Target, Incarnation>);

impl Incarnations {
    /// Records that a backend server is listed, and returns whether an earlier incarnation of it
    /// was known until now, in which case nothing that was learned about that one applies. Backend
    /// servers that record no start time have a new id in each incarnation.
    pub fn record_listed(&mut self, target: Target, born: Option<Born>) -> bool {
        let listed = Incarnation { born, unlisted_since: None };
        let Some(known) = self.0.insert(target, listed) else { return false };
        known.born.zip(born).is_some_and(|(known, born)| known < born)
    }

    /// Notes which backend servers are no longer listed, and forgets those that have been unlisted
    /// for `UNLISTED_RETENTION_MS`.
    pub fn sweep(&mut self, now: Millis, is_listed: impl Fn(Target) -> bool) {
        self.0.retain(|target, known| {
            let since = known.unlisted_since.unwrap_or(now);
            known.unlisted_since = (!is_listed(*target)).then_some(since);
            known.unlisted_since.is_none_or(|since| now < since + UNLISTED_RETENTION_MS)
        });
    }

    /// Whether the incarnation of a backend server is known.
    pub fn contains(&self, target: Target) -> bool {
        self.0.contains_key(&target)
    }
}
