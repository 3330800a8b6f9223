//! Introductions: a gateway that knows few of the gateways of its failure domain is told the others
//! by one that knows them.
//!
//! A gateway that starts knows only its seeds, and heartbeats name two gateways each. With 24
//! gateways in each of five failure domains, all started at once, half of them had heard fewer than
//! half of their own domain after 3 s. Decisions that depend on the names or the number of the
//! others (who reads the store, who leads, shares of a limit) were made without them. Rejected: more
//! names in each heartbeat, which costs as much in calm as at a start.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::Millis;

/// Time between two introductions of the same gateway, in ms: two heartbeats, within which it tells
/// what it has learned from the first.
const INTERVAL_MS: u64 = 200;
/// Percentage of the gateways of its failure domain that a gateway should know. The rest becomes
/// known by heartbeats, which the known ones exchange.
const KNOWN_PERCENT: usize = 75;

/// Gateways that were introduced to others lately.
#[derive(Clone, Debug, Default)]
pub struct Introductions {
    introduced_at: HashMap<SocketAddr, Millis>,
}

impl Introductions {
    /// Whether to tell a gateway the others of its failure domain. It knows `known` of them, and
    /// this gateway `held`. Counts as told if so.
    pub fn is_due(&mut self, now: Millis, to: SocketAddr, known: usize, held: usize) -> bool {
        if known * 100 >= held * KNOWN_PERCENT {
            return false;
        }
        self.introduced_at.retain(|_, at| now < *at + INTERVAL_MS);
        if self.introduced_at.contains_key(&to) {
            return false;
        }
        self.introduced_at.insert(to, now);
        true
    }
}
