//! Which gateways a heartbeat goes to, so that what each sends stays flat as gateways grow.
//!
//! Gateways of one failure domain hear each other directly. To other failure domains each sends the
//! sum of what its own domain's gateways told it, to a few gateways there; so many of a domain do so that
//! every gateway hears of every domain with each heartbeat or two. Rejected: each gateway's own figures
//! to a random part of all others (53 gateways: 0.875 GB between failure domains in 48 s, and a
//! gateway missed more than half of the others' heartbeats).

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Whose figures another gateway tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// Those of one gateway of this failure domain, by its name's hash.
    Gateway(u64),
    /// The sum of those of another failure domain, by its name's hash.
    FailureDomain(u64),
}

impl Source {
    /// Whether it is a gateway of this failure domain.
    pub fn is_near(self) -> bool {
        matches!(self, Source::Gateway(_))
    }
}

/// The most gateways of its own failure domain that a heartbeat goes to.
const NEAR_MAX: usize = 24;
/// The gateways of another failure domain that a heartbeat goes to: two, so that one in six misses
/// a heartbeat of a domain of ten gateways and more, in place of one in three.
const FAR_EACH: usize = 2;
/// The most gateways of other failure domains that a heartbeat goes to.
const FAR_MAX: usize = 12;

/// The gateways that one heartbeat goes to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Those of the sender's failure domain.
    pub near: Vec<SocketAddr>,
    /// Those of others.
    pub far: Vec<SocketAddr>,
}

/// Chooses the recipients among all others, by failure domain; `draw` is a random number.
pub fn recipients(
    own_domain: &str,
    others: &BTreeMap<&str, Vec<SocketAddr>>,
    draw: u64,
) -> Recipients {
    let near = others.get(own_domain).map_or(&[][..], Vec::as_slice);
    let far: Vec<_> = others.iter().filter(|(domain, _)| **domain != own_domain).collect();
    let first = if far.is_empty() { 0 } else { draw as usize % far.len() };
    let turns = (0..far.len()).map(|turn| far[(first + turn) % far.len()]);
    let chosen = turns.flat_map(|(domain, gateways)| {
        let draw = xxh3_64_with_seed(domain.as_bytes(), draw);
        rotated(gateways, draw, FAR_EACH)
    });
    Recipients {
        near: rotated(near, draw, NEAR_MAX).collect(),
        far: chosen.take(FAR_MAX).collect(),
    }
}

/// Up to so many addresses, from a drawn one on.
fn rotated(
    addresses: &[SocketAddr],
    draw: u64,
    most: usize,
) -> impl Iterator<Item = SocketAddr> + '_ {
    let count = addresses.len();
    let first = if count == 0 { 0 } else { (draw % count as u64) as usize };
    (0..count.min(most)).map(move |turn| addresses[(first + turn) % count])
}
