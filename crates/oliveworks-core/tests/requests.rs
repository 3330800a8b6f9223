//! Answers, attempts, admission and routing.

mod common;

use common::name;
use oliveworks_core::admit::{Admission, AdmitConfig, WaitingRequest, WorkspaceKey};
use oliveworks_core::answer::{Assembly, AttemptId, PieceAction};
use oliveworks_core::error::{ANSWERS, ErrorKind, Ran, Refusal};
use oliveworks_core::id::{Epoch, Millis, RequestId};
use oliveworks_core::ledger::Revoked;
use oliveworks_core::relay::{Next, Relay, RequestTerms};
use oliveworks_core::retry::{Breaker, RetryBudget};
use oliveworks_core::route::{
    Load, Policy, RouteConfig, Router, groups_for_entry, home_replica, prefix_blocks,
};
use oliveworks_core::template::TemplateKey;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const ID: RequestId = RequestId(1);

fn attempt_id(attempt: u64) -> AttemptId {
    AttemptId { request: ID, attempt }
}

#[test]
fn every_error_kind_has_one_row() {
    let mut codes: Vec<&str> = ANSWERS.iter().map(|a| a.code).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), ANSWERS.len());
    assert!(ANSWERS.iter().all(|a| a.kind.answer() == a));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Delivers pieces of two attempts and of another request, with duplicates, losses and
    /// reordering. The pieces passed on must be a prefix of the answer, and the answer is complete
    /// only without gaps.
    #[test]
    fn pieces_do_not_mix(total in 1u64..8, deliveries in prop::collection::vec((0u64..3, 0u64..9), 0..60)) {
        let mut assembly = Assembly::new(attempt_id(1));
        let mut passed = Vec::new();
        for (who, number) in deliveries {
            let from = match who {
                0 => AttemptId { request: RequestId(2), attempt: 1 },
                attempt => attempt_id(attempt),
            };
            if number < total {
                if assembly.piece(from, number) == PieceAction::Pass {
                    prop_assert_eq!(from, attempt_id(1));
                    passed.push(number);
                }
            } else if assembly.end(from, total) == PieceAction::Pass {
                prop_assert!(assembly.is_complete());
            }
        }
        prop_assert!(passed.iter().copied().eq(0..passed.len() as u64));
        prop_assert_eq!(assembly.is_complete() && passed.len() as u64 != total, false);
    }
}

#[test]
fn a_resumed_answer_neither_repeats_nor_skips() {
    let mut assembly = Assembly::new(attempt_id(1));
    assert_eq!(assembly.piece(attempt_id(1), 0), PieceAction::Pass);
    assembly.retry(2);
    assert_eq!(
        assembly.piece(attempt_id(1), 1),
        PieceAction::Drop,
        "a late piece of the first attempt"
    );
    assert_eq!(assembly.piece(attempt_id(2), 0), PieceAction::Drop, "was passed on before");
    assert_eq!(assembly.piece(attempt_id(2), 2), PieceAction::Gap);
    assert_eq!(assembly.piece(attempt_id(2), 1), PieceAction::Pass);
    assert_eq!(assembly.end(attempt_id(2), 3), PieceAction::Gap, "the end names more than came");
    assert_eq!(assembly.end(attempt_id(2), 2), PieceAction::Pass);
}

fn relay(repeatable: bool, has_key: bool) -> Relay {
    Relay::new(ID, RequestTerms { repeatable, has_key, deadline: Millis(1_000), max_attempts: 3 })
}

fn refusal(kind: ErrorKind, ran: Ran) -> Refusal {
    Refusal::new(kind, ran, "")
}

fn refused_ran(next: Next) -> Ran {
    match next {
        Next::Refuse(refusal) => refusal.ran,
        other => panic!("{other:?}"),
    }
}

#[test_case(true, false, Ran::Unknown, true; "repeatable: tried again, and then uncertain")]
#[test_case(false, false, Ran::Unknown, false; "not repeatable: ends at once")]
fn a_try_that_may_have_run(repeatable: bool, has_key: bool, ran: Ran, again: bool) {
    let mut relay = relay(repeatable, has_key);
    relay.sent(Epoch(1), 1);
    let unknown = refusal(ErrorKind::ContactLost, Ran::Unknown);
    let mut next = relay.refused(Millis(1), unknown, false, true);
    assert_eq!(next == Next::Send, again);
    if again {
        relay.sent(Epoch(2), 2);
        let no = refusal(ErrorKind::Overloaded, Ran::No);
        next = relay.refused(Millis(1), no, false, false);
    }
    assert_eq!(refused_ran(next), ran);
}

#[test_case(Some(Revoked::NotRun), false, Some(Ran::No); "proved")]
#[test_case(Some(Revoked::NotRun), true, Some(Ran::Unknown); "another request with the key may have run")]
#[test_case(Some(Revoked::Begun), false, Some(Ran::Unknown); "begun")]
#[test_case(Some(Revoked::Unknown), false, Some(Ran::Unknown); "not known")]
#[test_case(None, false, Some(Ran::Unknown); "no word")]
fn lost_contact_with_what_must_not_repeat(
    outcome: Option<Revoked>,
    has_key: bool,
    ran: Option<Ran>,
) {
    let mut relay = relay(false, has_key);
    relay.sent(Epoch(1), 1);
    assert_eq!(relay.failed(Millis(1), "lost", true), Next::Revoke);
    let next = relay.revoked(Millis(1), outcome, false);
    assert_eq!(Some(refused_ran(next)), ran);
}

#[test]
fn tries_are_bounded() {
    let mut relay = relay(true, false);
    for attempt in 0..2 {
        relay.sent(Epoch(attempt), attempt);
        let no = refusal(ErrorKind::Unavailable, Ran::No);
        assert_eq!(relay.refused(Millis(1), no, false, true), Next::Send);
    }
    relay.sent(Epoch(9), 9);
    let next = relay.refused(Millis(1), refusal(ErrorKind::Unavailable, Ran::No), false, true);
    assert_eq!(refused_ran(next), Ran::No);
}

#[test]
fn retries_stay_within_their_part() {
    let mut budget = RetryBudget::new(20, 2);
    assert!(budget.try_take() && budget.try_take() && !budget.try_take());
    for _ in 0..4 {
        budget.record_request();
    }
    assert!(!budget.try_take());
    budget.record_request();
    assert!(budget.try_take());
}

#[test]
fn a_breaker_opens_longer_each_time_and_closes_on_success() {
    let mut breaker = Breaker::default();
    breaker.failure(Millis(0));
    assert!(breaker.allows(Millis(0)));
    breaker.failure(Millis(0));
    assert!(!breaker.allows(Millis(499)) && breaker.allows(Millis(500)));
    breaker.failure(Millis(500));
    assert!(!breaker.allows(Millis(1_499)) && breaker.allows(Millis(1_500)));
    breaker.success();
    breaker.failure(Millis(1_500));
    assert!(breaker.allows(Millis(1_500)));
}

fn owner(text: &str) -> WorkspaceKey {
    WorkspaceKey { partner: name("saffah"), workspace: name(text) }
}

fn waiting(id: u128, priority: u8, deadline: u64) -> WaitingRequest {
    let template =
        TemplateKey { partner: name("saffah"), workspace: name("main"), name: name("a") };
    WaitingRequest { id: RequestId(id), template, priority, deadline: Millis(deadline), limit: 10 }
}

fn admission(queue: usize) -> Admission {
    Admission::new(AdmitConfig { queue, wait_ms: 60_000, least_ms: 1 })
}

fn order(admission: &mut Admission) -> Vec<u128> {
    std::iter::from_fn(|| admission.next(Millis(0), |_| true).0.map(|id| id.0)).collect()
}

#[test]
fn workspaces_take_turns_by_weight() {
    let mut admission = admission(100);
    for i in 0..6 {
        assert!(admission.enqueue(Millis(0), &owner("large"), 1, waiting(i, 5, 99_000)).is_empty());
    }
    for i in 10..13 {
        assert!(admission.enqueue(Millis(0), &owner("small"), 2, waiting(i, 5, 99_000)).is_empty());
    }
    let order = order(&mut admission);
    let small: Vec<usize> = (10..13).map(|i| order.iter().position(|o| *o == i).unwrap()).collect();
    assert!(small.iter().all(|at| *at <= 5), "{order:?}");
}

#[test]
fn the_higher_priority_goes_first() {
    let mut admission = admission(100);
    admission.enqueue(Millis(0), &owner("a"), 1, waiting(1, 2, 99_000));
    admission.enqueue(Millis(0), &owner("a"), 1, waiting(2, 8, 99_000));
    assert_eq!(order(&mut admission), [2, 1]);
}

#[test]
fn overload_refuses_the_least_worth_at_once() {
    let mut admission = admission(2);
    admission.enqueue(Millis(0), &owner("a"), 1, waiting(1, 5, 99_000));
    admission.enqueue(Millis(0), &owner("b"), 1, waiting(2, 1, 99_000));
    let refused = admission.enqueue(Millis(0), &owner("c"), 1, waiting(3, 5, 99_000));
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].0, RequestId(2));
    assert_eq!((refused[0].1.kind, refused[0].1.ran), (ErrorKind::Overloaded, Ran::No));
    assert!(refused[0].1.retry_after_ms.is_some());
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_on_entry() {
    let mut admission = admission(100);
    for i in 0..20 {
        admission.enqueue(Millis(0), &owner("a"), 1, waiting(i, 5, 99_000));
    }
    let refused = admission.enqueue(Millis(0), &owner("a"), 1, waiting(99, 5, 50));
    assert_eq!(refused[0].1.kind, ErrorKind::DeadlineExceeded);
}

#[test]
fn a_template_without_room_holds_up_nobody() {
    let mut admission = admission(100);
    let mut full = waiting(1, 9, 99_000);
    full.template.name = name("full");
    admission.enqueue(Millis(0), &owner("a"), 1, full);
    admission.enqueue(Millis(0), &owner("a"), 1, waiting(2, 1, 99_000));
    let (next, _) = admission.next(Millis(0), |t| t.name != name("full"));
    assert_eq!(next, Some(RequestId(2)));
    assert_eq!(admission.len(), 1);
}

fn router(policy: Policy) -> Router {
    let mut router = Router::new(RouteConfig { policy, ..RouteConfig::default() });
    router.set_groups([Epoch(1), Epoch(2)]);
    for epoch in [Epoch(1), Epoch(2)] {
        router.report(epoch, Load { capacity: 10, ..Load::default() });
    }
    router
}

#[test]
fn a_known_prefix_draws_and_a_queue_drives_away() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = router(Policy::Cost);
    let words: Vec<String> = (0..64).map(|i| i.to_string()).collect();
    let blocks = prefix_blocks(&words, 16);
    router.sent(Epoch(2), &blocks, 64);
    router.ended(Millis(0), Epoch(2), false);
    router.report(Epoch(2), Load { capacity: 10, ..Load::default() });
    for _ in 0..20 {
        assert_eq!(router.choose(Millis(0), &mut rng, &blocks, 64, &[]), Some(Epoch(2)));
    }
    router.report(Epoch(2), Load { capacity: 10, running: 10, waiting: 10, prefill: 0 });
    for _ in 0..20 {
        assert_eq!(router.choose(Millis(0), &mut rng, &blocks, 64, &[]), Some(Epoch(1)));
    }
    router.cache_event(Epoch(2), &[], &blocks);
    router.report(Epoch(2), Load { capacity: 10, running: 1, waiting: 0, prefill: 0 });
    let cost = router.cost_ms(Epoch(2), &blocks, 64);
    assert!(cost > router.cost_ms(Epoch(1), &blocks, 64), "an evicted prefix draws no more");
}

#[test]
fn failing_groups_are_avoided_while_another_is_there() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = router(Policy::Cost);
    for _ in 0..2 {
        router.ended(Millis(0), Epoch(1), true);
    }
    for _ in 0..20 {
        assert_eq!(router.choose(Millis(1), &mut rng, &[], 1, &[]), Some(Epoch(2)));
    }
    assert_eq!(router.choose(Millis(1), &mut rng, &[], 1, &[Epoch(2)]), Some(Epoch(1)));
}

#[test]
fn keys_keep_their_homes_when_replicas_are_added() {
    let moved = (0..1_000u128).filter(|k| home_replica(*k, 4) != home_replica(*k, 5)).count();
    assert!((100..320).contains(&moved), "{moved} of 1000 moved");
    assert!(
        (0..1_000u128).all(|k| home_replica(k, 5) == home_replica(k, 4) || home_replica(k, 5) == 4)
    );
}

#[test]
fn entries_share_groups_evenly() {
    let mut uses = vec![0u32; 64];
    for entry in 0..340 {
        for epoch in groups_for_entry(entry, (0..64).map(Epoch), 16) {
            uses[epoch.0 as usize] += 1;
        }
    }
    assert!(uses.iter().all(|n| (50..130).contains(n)), "{uses:?}");
}
