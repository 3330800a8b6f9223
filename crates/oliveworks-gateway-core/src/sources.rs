//! Selection of the gateways that read the store, and of the gateway that each other one asks.
//!
//! Calls to the store are priced and limited, so one gateway of each failure domain reads it and
//! the others ask that reader. The reader is not elected: it is the first by name among the
//! gateways that report that they read the store and, if there is none, the first by name among
//! those that report that the store answers them. A reader keeps its role while the store answers
//! it, so a gateway that precedes it by name and returns does not take over. Two readers are
//! possible for a moment, and the second by name then gives up the role.
//!
//! All gateways of a failure domain decide by the same order, so after a failure they move together
//! and at once to one source. A silent store is detected late, so the choice of whom to ask depends
//! on the age of proofs: a reader whose own proof is old is not asked while another gateway, of any
//! failure domain, has a recent one.
//!
//! A gateway that finds nobody to ask calls the store at a pace that falls with its rank among the
//! gateways of its failure domain. The number of calls to a store that does not answer is then
//! nearly independent of the number of gateways.
//!
//! Rejected alternatives: every gateway reads the store (with 53 gateways 7,717 calls in 48 s,
//! which cost 0.077 of the value); two readers per failure domain (with 15 gateways 1,235 calls in
//! 48 s, which cost 0.101 of the value); one reader for all gateways (all would depend on the
//! connections of that reader); a random peer in place of a reader that does not answer (with 24
//! gateways in a failure domain, each asked up to 32 others within 4 s, most of which knew no more
//! than it did). The value is explained in the documentation of the [crate]. The first two figures
//! are from pools with different numbers of gateways and do not compare these alternatives with
//! each other.

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
    /// Age of the gateway's proof that the store holds nothing newer, in ms; none without a proof.
    pub proof_age_ms: Option<u64>,
    /// Whether that proof is as recent as a reader's proof should be.
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
    /// Time since this gateway's last call to the store or, before the first call, since its
    /// start, in ms.
    pub store_called_ms_ago: u64,
    /// Era of the store as this gateway observes it.
    pub era: Era,
}

/// Source of the next read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFrom {
    /// The store, which this gateway reads for its failure domain.
    Store,
    /// The store, to find out whether the store answers this gateway.
    StoreTrial,
    /// Another gateway.
    Gateway(SocketAddr),
    /// No gateway is known to hold what the store holds, and a call to the store is not due yet.
    Nobody,
}

/// Progress of this gateway's questions about one topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Questions {
    /// Number of consecutive questions without an answer.
    pub unanswered: u32,
    /// Gateway that gave the last answer.
    pub answered_by: Option<SocketAddr>,
}

/// Number of consecutive unanswered questions after which a gateway that the store answers reads
/// the store.
const UNANSWERED_MAX: u32 = 2;
/// Time between two calls of the first gateway by name to a store that rejects it while it answers
/// others, in ms. Each such call is charged, and the time is short compared to the 4 s for which a
/// proof is valid.
const REJECTED_RETRY_MS: u64 = 1_500;
/// Time between two calls of the first gateway by name to a store that is not known to answer
/// anyone, in ms. Callers with keys are rejected until the store is known to answer again.
const PROBE_MS: u64 = 300;
/// Maximum number of times that the pace of these calls is halved with the rank of a gateway. The
/// first ones by name may be the only ones that the store rejects, so the others call it as well.
const PROBE_HALVINGS_MAX: u32 = 6;
/// The same for calls to a store that rejects a gateway while it answers others.
const TRIAL_HALVINGS_MAX: u32 = 4;
/// Number of gateways of a failure domain that read the store when all of them start at once. The
/// others ask these for all records, which takes one gateway too long for a whole domain.
const FIRST_READERS: u32 = 3;
/// Difference in age, in ms, at which a younger proof is a reason to ask another gateway than the
/// last one. Two gateways that ask each other are thereby separated well before their proofs
/// expire.
const YOUNGER_PROOF_MS: u64 = 1_000;

impl PeerState<'_> {
    /// Whether an answer of the gateway is useful to this one. A gateway of an earlier era is not
    /// asked: it does not know yet that the store was restored from a copy.
    fn is_usable(&self, own: LocalState<'_>) -> bool {
        self.has_recent_proof && !self.is_unresponsive && self.era >= own.era
    }

    fn proof_age_ms(&self) -> u64 {
        self.proof_age_ms.unwrap_or(u64::MAX)
    }
}

/// Returns the source of the next read of a topic.
pub fn next_source(
    own: LocalState<'_>,
    others: &[PeerState<'_>],
    questions: Questions,
) -> ReadFrom {
    if is_reader(own, others) {
        return ReadFrom::Store;
    }
    if own.store_answers && questions.unanswered >= UNANSWERED_MAX {
        return ReadFrom::StoreTrial;
    }
    match peer_to_ask(own, others, questions.answered_by) {
        Some(_) if is_trial_due(own, others) => ReadFrom::StoreTrial,
        Some(peer) => ReadFrom::Gateway(peer.address),
        None if is_probe_due(own, others) => ReadFrom::Store,
        None => ReadFrom::Nobody,
    }
}

/// Whether this gateway reads the store for its failure domain.
fn is_reader(own: LocalState<'_>, others: &[PeerState<'_>]) -> bool {
    if !own.store_answers {
        return false;
    }
    match local_reader(others) {
        Some(reader) => own.reads_store && own.name < reader.name,
        None => {
            own.reads_store || first_candidate(others).is_none_or(|first| own.name < first.name)
        }
    }
}

fn local_candidates<'a, 'b>(
    others: &'a [PeerState<'b>],
) -> impl Iterator<Item = &'a PeerState<'b>> {
    others.iter().filter(|other| other.is_local && other.store_answers)
}

fn local_reader<'a, 'b>(others: &'a [PeerState<'b>]) -> Option<&'a PeerState<'b>> {
    local_candidates(others).filter(|other| other.reads_store).min_by_key(|other| other.name)
}

fn first_candidate<'a, 'b>(others: &'a [PeerState<'b>]) -> Option<&'a PeerState<'b>> {
    local_candidates(others).min_by_key(|other| other.name)
}

/// Returns the gateway to ask: the reader of the failure domain or the gateway that is to become
/// its reader, else the last one that answered, else the one with the youngest proof.
fn peer_to_ask<'a, 'b>(
    own: LocalState<'_>,
    others: &'a [PeerState<'b>],
    answered_by: Option<SocketAddr>,
) -> Option<&'a PeerState<'b>> {
    let reader = local_reader(others).or_else(|| first_candidate(others));
    if let Some(reader) = reader.filter(|reader| reader.is_usable(own)) {
        return Some(reader);
    }
    let usable = || others.iter().filter(|other| other.is_usable(own));
    let youngest = usable().min_by_key(|other| (other.proof_age_ms(), other.name))?;
    let last = usable().find(|other| Some(other.address) == answered_by);
    let is_as_good =
        |peer: &&PeerState<'_>| peer.proof_age_ms() < youngest.proof_age_ms() + YOUNGER_PROOF_MS;
    let local = usable().filter(|other| other.is_local);
    let youngest_local = local.min_by_key(|other| (other.proof_age_ms(), other.name));
    last.filter(is_as_good).or(youngest_local.filter(is_as_good)).or(Some(youngest))
}

/// Whether a call is due that tells if the store answers this gateway again, while it answers
/// others.
fn is_trial_due(own: LocalState<'_>, others: &[PeerState<'_>]) -> bool {
    let rejected = others.iter().filter(|other| !other.store_answers);
    let interval_ms = REJECTED_RETRY_MS << rank(own, rejected).min(TRIAL_HALVINGS_MAX);
    !own.store_answers && own.store_called_ms_ago >= interval_ms
}

/// Whether a call is due that tells if the store answers, while it is not known to answer anyone.
fn is_probe_due(own: LocalState<'_>, others: &[PeerState<'_>]) -> bool {
    let interval_ms = PROBE_MS << rank(own, others.iter()).min(PROBE_HALVINGS_MAX);
    own.store_called_ms_ago >= interval_ms
}

/// Returns the number of local gateways among the others that precede this one by name.
fn rank<'a, 'b: 'a>(own: LocalState<'_>, others: impl Iterator<Item = &'a PeerState<'b>>) -> u32 {
    others.filter(|other| other.is_local && other.name < own.name).count() as u32
}

/// Returns the source for a gateway that has not read anything yet, if there is one now: a gateway
/// that holds the newest version, since the store may have been restored from a copy that lacks
/// versions known to be in force, and otherwise the store, for a few gateways of each failure
/// domain. `draw` is a random number, since such a question is answered with all records and one
/// gateway should not have to answer all of them.
pub fn first_source(own: LocalState<'_>, others: &[PeerState<'_>], draw: u64) -> Option<ReadFrom> {
    let candidates =
        || others.iter().filter(|other| !other.is_unresponsive && other.version.is_some());
    let Some(newest) = candidates().map(|other| (other.version, other.era)).max() else {
        let reads = own.store_answers && rank(own, others.iter()) < FIRST_READERS;
        return reads.then_some(ReadFrom::StoreTrial);
    };
    let holds_newest = candidates().filter(|other| (other.version, other.era) == newest);
    pick_random(holds_newest, draw).map(|other| ReadFrom::Gateway(other.address))
}

fn pick_random<'a, 'b: 'a>(
    all: impl Iterator<Item = &'a PeerState<'b>>,
    draw: u64,
) -> Option<&'a PeerState<'b>> {
    let all: Vec<&PeerState<'_>> = all.collect();
    let count = all.len() as u64;
    (count > 0).then(|| all[(draw % count) as usize])
}
