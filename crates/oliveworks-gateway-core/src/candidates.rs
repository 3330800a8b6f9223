//! Order of the gateways as candidates for the leadership.
//!
//! The leader asks every host and plans for all of them, so gateways with more processor capacity
//! come first. Gateways of equal capacity are ordered by the hashes of their names. Rejected
//! alternative: the order of names, in which the reader of a failure domain would be the first
//! candidate; its end would leave the domain without a reader and all gateways without a leader.

use std::cmp::Reverse;

/// A gateway as a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Processor capacity, in percent of a core; none if it is not known.
    pub processor_percent: Option<u32>,
    /// Hash of the gateway's name.
    pub hash: u64,
}

/// Returns the number of other candidates that precede this gateway. A capacity that is not known
/// counts as that of this gateway.
pub fn rank(own: Candidate, others: impl Iterator<Item = Candidate>) -> u64 {
    let capacity = |candidate: Candidate| {
        own.processor_percent.map(|own| candidate.processor_percent.unwrap_or(own))
    };
    let key = |candidate: Candidate| (Reverse(capacity(candidate)), candidate.hash);
    others.filter(|other| key(*other) < key(own)).count() as u64
}
