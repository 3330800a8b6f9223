//! Selection of the gateways that read the store, and of the gateway that each other one asks.
//!
//! Calls to the store are priced and limited, so one gateway of each failure domain reads it and
//! the others ask that reader. The reader is not elected: it is the first by name among the
//! gateways that report that the store answers them. When the reader falls silent or the store
//! refuses it, the next one takes over as soon as it learns of that. A gateway that precedes the
//! reader by name takes over once it has read the store itself. If it took over when the others
//! first observe it, no gateway would read the store until its first read. A silent store is
//! detected late, so the choice of whom to ask depends on the age of proofs: a reader whose own
//! proof is old is not asked while another gateway, of any failure domain, has a recent one. A
//! gateway that finds no such gateway reads the store itself.
//!
//! Rejected alternatives: every gateway reads the store (with 53 gateways 7,717 calls in 48 s,
//! which cost 0.077 of the value); two readers per failure domain (with 15 gateways 1,235 calls in
//! 48 s, which cost 0.101 of the value); one reader for all gateways (all would depend on the
//! connections of that reader). The value is explained in the documentation of the [crate]. The two
//! figures are from pools with different numbers of gateways and do not compare the two
//! alternatives with each other.

use std::net::SocketAddr;

use crate::era::Era;

/// Another gateway, as this one observes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState<'a> {
    /// Name of the gateway.
    pub name: &'a str,
    /// Address for questions.
    pub address: SocketAddr,
    /// Whether the gateway belongs to the local failure domain.
    pub is_local: bool,
    /// Whether the store answers the gateway.
    pub store_answers: bool,
    /// Whether the gateway reads the store itself.
    pub reads_store: bool,
    /// Whether the gateway has a recent proof that the store holds nothing newer.
    pub has_recent_proof: bool,
    /// Whether the gateway recently failed to answer.
    pub is_unresponsive: bool,
    /// Era of the store as the gateway observes it, according to its last report.
    pub era: Era,
    /// Newest version of the configuration that the gateway holds.
    pub version: Option<u64>,
}

/// State of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalState<'a> {
    /// Name of this gateway.
    pub name: &'a str,
    /// Whether the store answers this gateway.
    pub store_answers: bool,
    /// Whether this gateway reads the store itself.
    pub reads_store: bool,
    /// Whether a retry is due, to find out if the store answers again.
    pub retry_due: bool,
    /// Era of the store as this gateway observes it.
    pub era: Era,
}

/// Source of the next read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFrom {
    /// The store itself.
    Store,
    /// Another gateway.
    Gateway(SocketAddr),
}

/// Number of consecutive unanswered questions after which a gateway that the store answers reads
/// the store.
const UNANSWERED_MAX: u32 = 2;

/// Returns the source of the next read, after `unanswered` consecutive questions without an answer;
/// `draw` is a random number.
pub fn next_source(
    own: LocalState<'_>,
    others: &[PeerState<'_>],
    unanswered: u32,
    draw: u64,
) -> ReadFrom {
    if !own.store_answers && own.retry_due {
        return ReadFrom::Store;
    }
    if own.store_answers && unanswered >= UNANSWERED_MAX {
        return ReadFrom::Store;
    }
    let local = || others.iter().filter(|other| other.is_local);
    let candidates = || local().filter(|other| other.store_answers);
    let current = candidates().filter(|other| other.reads_store).min_by_key(|other| other.name);
    let reader = match own.reads_store {
        true => current,
        false => current.or_else(|| candidates().min_by_key(|other| other.name)),
    };
    if own.store_answers && reader.is_none_or(|reader| own.name < reader.name) {
        return ReadFrom::Store;
    }
    // A gateway of an earlier era is not asked: it does not know yet that the store was restored
    // from a copy.
    let answers = |other: &&PeerState<'_>| {
        other.has_recent_proof && !other.is_unresponsive && other.era >= own.era
    };
    let asked = reader
        .filter(answers)
        .or_else(|| pick_random(local().filter(answers), draw))
        .or_else(|| pick_random(others.iter().filter(answers), draw));
    asked.map_or(ReadFrom::Store, |other| ReadFrom::Gateway(other.address))
}

/// Returns the gateway to ask for a gateway that has not read anything yet: one that holds the
/// newest version. The store may have been restored from a copy that lacks versions known to be in
/// force.
pub fn first_source(others: &[PeerState<'_>], draw: u64) -> Option<SocketAddr> {
    let candidates =
        || others.iter().filter(|other| !other.is_unresponsive && other.version.is_some());
    let newest = candidates().map(|other| (other.version, other.era)).max()?;
    let holds_newest = candidates().filter(|other| (other.version, other.era) == newest);
    pick_random(holds_newest, draw).map(|other| other.address)
}

fn pick_random<'a, 'b: 'a>(
    all: impl Iterator<Item = &'a PeerState<'b>>,
    draw: u64,
) -> Option<&'a PeerState<'b>> {
    let all: Vec<&PeerState<'_>> = all.collect();
    let count = all.len() as u64;
    (count > 0).then(|| all[(draw % count) as usize])
}
