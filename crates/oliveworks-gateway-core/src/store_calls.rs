//! Terms of a call to the store, and when a call without an answer is given up.
//!
//! The store may hold a call back until there are new records, for seconds. While it is silent, an
//! unanswered call looks like a held one, and the connection of such a call may stay silent after
//! the store has returned. All gateways that wait for the end of their calls would then reject
//! callers with keys, for as long as a call may take. So a call is held only by a store that is
//! known to answer, and it is given up as soon as anything shows that another call would be
//! answered.

use crate::Millis;

/// Timeout, in ms, of a call to a store that is not known to answer. The value is many times a
/// usual response time, and short compared to the time of more than 2 s within which a change must
/// be in force. In a domain of five gateways, three of which got no answer from a silent store, the
/// usual timeout of 2.95 s delayed a change to 3.4 s instead of 3 s.
pub const BRIEF_TIMEOUT_MS: u64 = 400;

/// What a gateway knows of the store before it calls it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Knowledge {
    /// Whether the store answered this gateway recently.
    pub answers_this_gateway: bool,
    /// Whether another gateway has a recent proof of what the store holds.
    pub others_are_informed: bool,
    /// Whether another gateway holds a newer version of the configuration. The store may fail to
    /// answer a call that arrives together with a change.
    pub others_hold_newer: bool,
    /// Whether this gateway lacks a recent proof about the topic although it had one.
    pub proof_is_old: bool,
    /// Whether calls about this topic also wait for a slow store while nobody knows whether the
    /// store answers. One topic is enough, and the others find a silent store back sooner.
    pub reaches_slow_store: bool,
    /// Whether all newest records are read. That takes several calls, the more the more hosts there
    /// are, and each of them has a timeout of its own.
    pub reads_all: bool,
}

/// Terms of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Whether the store may hold the call back for lack of new records.
    pub may_be_held: bool,
    /// Timeout in ms, if it is shorter than usual.
    pub timeout_ms: Option<u64>,
}

/// Shortest time for which the store may hold a call back, in ms. A proof that is not renewed by an
/// answer would otherwise lead to one call after the other.
const HELD_MIN_MS: u64 = 300;

/// Returns the longest time for which the store may hold the next call back, in ms, so that this
/// gateway's proof grows no older than `longest_ms`. A gateway that takes over as reader holds a
/// proof that others told it, which may be old already.
pub fn held_ms(longest_ms: u64, proof_age_ms: Option<u64>) -> u64 {
    let left_ms = longest_ms.saturating_sub(proof_age_ms.unwrap_or(0));
    left_ms.max(HELD_MIN_MS.min(longest_ms))
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The store answered.
    Answered,
    /// The call failed, or its timeout expired.
    Failed,
    /// The call was given up.
    GivenUp,
}

/// The previous call about a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreviousCall {
    /// Terms of the call.
    pub terms: Terms,
    /// How the call ended.
    pub outcome: Outcome,
}

impl Terms {
    /// Returns the terms of the next call about a topic.
    ///
    /// A held call renews an old proof late, so a call that is not held comes first. Two such calls
    /// do not follow each other while the store answers, as it may hold nothing that proves more.
    ///
    /// While nobody knows whether the store answers, calls are brief, since brief calls soon reveal
    /// that a silent store answers again. Every other call about one topic is not, to reach a store
    /// that is slow.
    pub fn of(knowledge: Knowledge, previous: Option<PreviousCall>) -> Terms {
        let Knowledge { answers_this_gateway, others_are_informed, .. } = knowledge;
        let was_brief = previous.is_some_and(|call| call.terms.timeout_ms.is_some());
        let renews_proof = match previous {
            Some(PreviousCall { outcome: Outcome::GivenUp, .. }) => true,
            Some(PreviousCall { outcome: Outcome::Answered, terms }) => {
                knowledge.proof_is_old && terms.may_be_held
            }
            _ => knowledge.proof_is_old,
        };
        let waits = knowledge.reaches_slow_store && was_brief;
        let is_brief =
            !knowledge.reads_all && !answers_this_gateway && (others_are_informed || !waits);
        Terms {
            may_be_held: answers_this_gateway && !renews_proof,
            timeout_ms: is_brief.then_some(BRIEF_TIMEOUT_MS),
        }
    }
}

/// A call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingCall {
    /// Time at which the call was sent.
    pub sent: Millis,
    /// Longest time for which the store may hold the call back, in ms.
    pub held_ms: u64,
}

/// Whether to give up a call, because another one is likely to be answered earlier. The store has
/// answered this gateway without a failure since `answers_since`; a later time than that of the
/// call means that the store failed after the call was sent, and that it answers again.
pub fn is_superseded(
    now: Millis,
    call: PendingCall,
    answers_since: Option<Millis>,
    knowledge: Knowledge,
) -> bool {
    let others_know_more = knowledge.others_hold_newer
        || !knowledge.answers_this_gateway && knowledge.others_are_informed;
    let is_known_better = others_know_more || answers_since > Some(call.sent);
    let was_held_too_long = call.held_ms > 0 && now >= call.sent + call.held_ms + BRIEF_TIMEOUT_MS;
    was_held_too_long || now >= call.sent + BRIEF_TIMEOUT_MS && is_known_better
}
