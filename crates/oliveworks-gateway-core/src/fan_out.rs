//! Heartbeat fan-out: chooses the recipients of a heartbeat, so that the traffic per gateway stays
//! constant as the number of gateways grows.
//!
//! Gateways of one failure domain send heartbeats to each other directly. To other failure domains,
//! each gateway sends the sum over the gateways of its own domain, to a few gateways there. A
//! domain has enough senders for every remote gateway to receive the domain's sum with each
//! heartbeat or every other one. Rejected: sending each gateway's own counts to a random part of
//! all others (with 53 gateways: 0.875 GB between failure domains in 48 s, and a gateway missed
//! more than half of the others' heartbeats).

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The origin of a report: one gateway, or a whole failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// One gateway of this failure domain, identified by the hash of its name.
    Gateway(u64),
    /// The sum over another failure domain, identified by the hash of its name.
    FailureDomain(u64),
}

impl Source {
    /// Returns whether the source is a gateway of this failure domain.
    pub fn is_local(self) -> bool {
        matches!(self, Source::Gateway(_))
    }
}

/// Maximum number of recipients in the gateway's own failure domain.
const LOCAL_RECIPIENTS_MAX: usize = 24;
/// Number of recipients in each other failure domain. With two, one gateway in six misses a
/// heartbeat of a domain of ten or more gateways, instead of one in three with a single recipient.
const REMOTE_RECIPIENTS_PER_DOMAIN: usize = 2;
/// Maximum number of recipients in other failure domains.
const REMOTE_RECIPIENTS_MAX: usize = 12;

/// The recipients of one heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Recipients in the sender's failure domain.
    pub local: Vec<SocketAddr>,
    /// Recipients in other failure domains.
    pub remote: Vec<SocketAddr>,
}

/// Chooses the recipients among all other gateways, grouped by failure domain. `draw` is a random
/// number.
pub fn recipients(
    own_domain: &str,
    others: &BTreeMap<&str, Vec<SocketAddr>>,
    draw: u64,
) -> Recipients {
    let local = others.get(own_domain).map_or(&[][..], Vec::as_slice);
    let remote: Vec<_> = others.iter().filter(|(domain, _)| **domain != own_domain).collect();
    let start = if remote.is_empty() { 0 } else { draw as usize % remote.len() };
    let rotated_domains = (0..remote.len()).map(|step| remote[(start + step) % remote.len()]);
    let chosen = rotated_domains.flat_map(|(domain, gateways)| {
        let draw = xxh3_64_with_seed(domain.as_bytes(), draw);
        rotated(gateways, draw, REMOTE_RECIPIENTS_PER_DOMAIN)
    });
    Recipients {
        local: rotated(local, draw, LOCAL_RECIPIENTS_MAX).collect(),
        remote: chosen.take(REMOTE_RECIPIENTS_MAX).collect(),
    }
}

/// Returns up to `limit` addresses in order, starting at a random one.
fn rotated(
    addresses: &[SocketAddr],
    draw: u64,
    limit: usize,
) -> impl Iterator<Item = SocketAddr> + '_ {
    let count = addresses.len();
    let start = if count == 0 { 0 } else { (draw % count as u64) as usize };
    (0..count.min(limit)).map(move |step| addresses[(start + step) % count])
}
