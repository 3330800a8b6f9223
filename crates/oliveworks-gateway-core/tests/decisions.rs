//! Table tests of single decisions: freshness, retry budget, attempts, events, balance and
//! election.

use std::collections::HashMap;

use oliveworks_gateway_core::attempts::{Attempts, Failure, Next, Terms, Verdict};
use oliveworks_gateway_core::balance::{Balance, Candidate, Load, NoTarget, Target};
use oliveworks_gateway_core::budget::{Budget, BudgetConfig};
use oliveworks_gateway_core::election::{Claim, Election, ElectionConfig, Heartbeat};
use oliveworks_gateway_core::era::Era;
use oliveworks_gateway_core::events::Splitter;
use oliveworks_gateway_core::fan_out::Source;
use oliveworks_gateway_core::freshness::Freshness;
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::suspensions::Suspensions;
use proptest::prelude::*;
use test_case::test_case;

/// `proofs` holds pairs: time at which the call to the store was sent, and time for which the store
/// held the call back. The proof is dated at the sum of the two.
#[test_case(&[], 1_000, Some(5_000), false; "nothing proved yet")]
#[test_case(&[(1_000, 0)], 4_900, Some(5_000), true; "young enough")]
#[test_case(&[(1_000, 0)], 5_000, Some(5_000), false; "four fifths of the bound")]
#[test_case(&[(1_000, 2_000)], 6_900, Some(5_000), true; "held back proves later")]
#[test_case(&[(5_000, 0), (1_000, 0)], 8_900, Some(5_000), true; "an older proof takes nothing back")]
#[test_case(&[(1_000, 0)], 90_000, None, true; "without a bound any proof will do")]
fn keys_are_accepted_while_the_proof_is_recent(
    proofs: &[(u64, u64)],
    now: u64,
    bound: Option<u64>,
    expected: bool,
) {
    let mut freshness = Freshness::default();
    for (sent, held) in proofs {
        freshness.proved(*sent, *held);
    }
    assert_eq!(freshness.accepts_keys(now, bound), expected);
}

const BUDGET: BudgetConfig = BudgetConfig { ratio: 0.2, extra: 160.0, window_ms: 10_000 };

/// Asserts that in each window all repeats together stay within the limit for all requests
/// together.
fn assert_within_the_bound(requests: &[u64], repeats: &[u64]) {
    for start in (0..50_000u64).step_by(500) {
        let within = |times: &[u64]| {
            times.iter().filter(|t| (start..start + 10_000).contains(*t)).count() as f64
        };
        let bound = 0.2 * within(requests) + 160.0;
        assert!(within(repeats) <= bound, "window at {start}: {} > {bound}", within(repeats));
    }
}

/// The limit holds over every window, for all gateways together.
#[test_case(1; "one gateway")]
#[test_case(5; "five")]
fn all_gateways_stay_within_the_bound(gateways: usize) {
    let mut budgets = vec![Budget::new(BUDGET, 0); gateways];
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for now in (0..60_000u64).step_by(10) {
        for budget in &mut budgets {
            budget.request(now, "lm");
            requests.push(now);
            for _ in 0..3 {
                if budget.take(now, "lm", Some(gateways)) {
                    repeats.push(now);
                }
            }
        }
    }
    assert_within_the_bound(&requests, &repeats);
    assert!(repeats.len() > 1_000, "repeats are allowed at all");
}

/// Guards against repeats above the limit on days with restarts. A process that starts does not
/// know how many repeats it used in the window. With the whole constant available until it received
/// heartbeats of others, five gateways that were each killed three times in ten seconds sent 740
/// repeats where 660 are allowed.
#[test]
fn restarted_gateways_stay_within_the_bound() {
    /// Time after which the other gateways count a gateway that has started, in ms.
    const COUNTED_AFTER_MS: u64 = 300;
    let mut budgets = vec![Budget::new(BUDGET, 0); 5];
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    let mut started_at = 0;
    for now in (0..60_000u64).step_by(10) {
        if [20_000, 23_000, 26_000].contains(&now) {
            budgets = vec![Budget::new(BUDGET, now); 5];
            started_at = now;
        }
        let sharers = (now >= started_at + COUNTED_AFTER_MS).then_some(5);
        for budget in &mut budgets {
            if now.is_multiple_of(20) {
                budget.request(now, "lm");
                requests.push(now);
            }
            if budget.take(now, "lm", sharers) {
                repeats.push(now);
            }
        }
    }
    assert_within_the_bound(&requests, &repeats);
}

/// The first request of a process is sent again if its backend server fails.
#[test]
fn a_process_that_has_just_started_may_repeat_a_little() {
    let mut budget = Budget::new(BUDGET, 5_000);
    budget.request(5_100, "lm");
    let taken =
        |budget: &mut Budget, now| (0..100).filter(|_| budget.take(now, "lm", Some(5))).count();
    assert_eq!(taken(&mut budget, 5_100), 2);
    assert_eq!(taken(&mut budget, 16_500), 24, "the window before the start has passed");
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = Budget::new(BudgetConfig { ratio: 0.0, extra: 4.0, window_ms: 10_000 }, 0);
    let taken = |budget: &mut Budget, service: &str| {
        (0..9).filter(|_| budget.take(11_000, service, Some(1))).count()
    };
    assert_eq!((taken(&mut budget, "a"), taken(&mut budget, "b")), (3, 3));
}

/// A repeat that was not used may be used later.
#[test]
fn a_repeat_that_is_given_back_is_available_again() {
    let config = BudgetConfig { ratio: 0.0, extra: 4.0, window_ms: 10_000 };
    let mut budget = Budget::new(config, 0);
    while budget.take(11_000, "lm", Some(1)) {}
    budget.give_back("lm");
    assert!(budget.take(11_000, "lm", Some(1)));
    assert!(!budget.take(11_000, "lm", Some(1)));
}

const TERMS: Terms = Terms { repeatable: true, max_attempts: 2, deadline: 1_000 };
const ONCE: Terms = Terms { repeatable: false, max_attempts: 2, deadline: 1_000 };

#[test_case(TERMS, 1, Failure::Lost, false, 10, Next::Again; "a repeatable one goes on")]
#[test_case(TERMS, 2, Failure::Lost, false, 10, Next::GiveUp(Verdict::MayHaveRun); "not beyond the attempts")]
#[test_case(TERMS, 2, Failure::Stalled, true, 10, Next::Again; "one that ended is not counted")]
#[test_case(TERMS, 2, Failure::Invalid, false, 10, Next::GiveUp(Verdict::MayHaveRun); "an invalid answer is a failure")]
#[test_case(TERMS, 1, Failure::Lost, false, 1_000, Next::GiveUp(Verdict::TimedOut); "its time is over")]
#[test_case(ONCE, 1, Failure::Lost, false, 10, Next::GiveUp(Verdict::MayHaveRun); "may have run once")]
#[test_case(ONCE, 1, Failure::Refused, false, 10, Next::Again; "refused has not run")]
#[test_case(ONCE, 2, Failure::Refused, false, 10, Next::GiveUp(Verdict::NotRun); "refused by all")]
#[test_case(ONCE, 0, Failure::NotSent, false, 10, Next::Again; "not sent at all")]
#[test_case(ONCE, 0, Failure::NotSent, false, 1_000, Next::GiveUp(Verdict::NotRun); "not sent in time")]
fn next_step_after_a_failure(
    terms: Terms,
    sent: u32,
    failure: Failure,
    gone: bool,
    now: u64,
    expected: Next,
) {
    let mut attempts = Attempts::new(terms);
    for _ in 0..sent {
        attempts.connecting();
        attempts.sending();
    }
    assert_eq!(attempts.failed(now, failure, gone), expected);
}

/// A request that may have run is never reported as "not run" afterwards.
#[test]
fn a_request_that_may_have_run_never_counts_as_not_run() {
    let mut attempts = Attempts::new(Terms { max_attempts: 3, ..TERMS });
    attempts.sending();
    attempts.failed(10, Failure::Lost, false);
    attempts.sending();
    attempts.failed(20, Failure::Refused, false);
    assert_eq!(attempts.verdict(30), Verdict::MayHaveRun);
}

/// A request whose answer is still awaited may go to another backend server as well, but only if it
/// may run more than once, and only as often as it may be sent.
#[test_case(TERMS, 1, 10, true; "a repeatable one")]
#[test_case(TERMS, 2, 10, false; "not beyond the attempts")]
#[test_case(TERMS, 1, 1_000, false; "not after the deadline")]
#[test_case(ONCE, 1, 10, false; "never one that may run once")]
fn a_silent_answer_lets_a_request_go_elsewhere_as_well(
    terms: Terms,
    sent: u32,
    now: u64,
    expected: bool,
) {
    let mut attempts = Attempts::new(terms);
    for _ in 0..sent {
        attempts.connecting();
        attempts.sending();
    }
    assert_eq!(attempts.may_send_beside(now), expected);
}

/// A request whose answer is not awaited any longer may have run.
#[test]
fn an_abandoned_request_never_counts_as_not_run() {
    let mut attempts = Attempts::new(TERMS);
    attempts.sending();
    attempts.abandoned();
    assert_eq!(attempts.verdict(30), Verdict::MayHaveRun);
    assert_eq!(attempts.verdict(1_000), Verdict::TimedOut);
}

#[test_case(Verdict::NotRun, 503, true)]
#[test_case(Verdict::MayHaveRun, 502, false)]
#[test_case(Verdict::TimedOut, 504, false)]
#[test_case(Verdict::NoKey, 401, false)]
#[test_case(Verdict::NoRoute, 404, false)]
#[test_case(Verdict::BodyTooLarge, 413, false)]
#[test_case(Verdict::HeadTooLarge, 431, false)]
fn verdicts_map_to_answers(verdict: Verdict, status: u16, come_back: bool) {
    let answer = verdict.answer();
    assert_eq!((answer.status, answer.come_back), (status, come_back));
}

proptest! {
    /// The same complete events are found wherever the bytes of a stream are split.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(ids in prop::collection::vec(0u64..99, 0..9), cut in 1usize..9) {
        let text: String = ids.iter().map(|id| format!("id: {id}\ndata: x{id}\n\n")).collect();
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for part in text.as_bytes().chunks(cut) {
            events.extend(splitter.push(part).expect("short events"));
        }
        let found: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
        let joined: Vec<u8> = events.into_iter().flat_map(|event| event.bytes).collect();
        prop_assert_eq!(found, ids);
        prop_assert_eq!(joined, text.into_bytes());
        prop_assert!(splitter.rest().is_empty());
    }

    /// No bytes from a backend server cause a panic or growth without bound.
    #[test]
    fn arbitrary_event_stream_bytes_are_tolerated(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let mut splitter = Splitter::default();
        let events = splitter.push(&bytes).expect("below the bound");
        let passed: usize = events.iter().map(|event| event.bytes.len()).sum();
        prop_assert_eq!(passed + splitter.rest().len(), bytes.len());
    }
}

#[test]
fn an_event_without_end_is_refused() {
    let mut splitter = Splitter::default();
    let long = vec![b'x'; 300_000];
    let refused = (0..9).any(|_| splitter.push(&long).is_err());
    assert!(refused);
}

#[test]
fn a_cut_event_is_not_passed_on() {
    let mut splitter = Splitter::default();
    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("short");
    assert_eq!((events.len(), splitter.rest()), (1, b"id: 2\nda".as_slice()));
}

fn candidates(count: u64) -> Vec<Candidate> {
    let each = (0..count).map(|n| Candidate {
        target: Target(n),
        slots: 4,
        is_local: true,
        open_ms: 1.0,
        token_ms: 0.1,
    });
    each.collect()
}

#[test]
fn the_least_busy_of_few_is_chosen_with_what_others_sent() {
    let mut balance = Balance::default();
    balance.started(0, Target(0), 0);
    let others = HashMap::from([(Target(1), Load { requests: 2, tokens: 0 })]);
    balance.record_peer_load(0, Source::Gateway(7), others);
    for draw in 0..3 {
        assert_eq!(balance.choose(10, &candidates(3), &[], 1.0, draw), Ok(Target(2)));
    }
    // With many candidates, each draw compares two neighbors.
    for (draw, expected) in [(0, 0), (1, 2), (2, 2)] {
        let chosen = balance.choose(10, &candidates(6), &[], 1.0, draw);
        assert_eq!(chosen, Ok(Target(expected)), "draw {draw}");
    }
    assert_eq!(balance.choose(10, &candidates(2), &[], 1.0, 0), Ok(Target(0)));
    // Old counts of other gateways expire.
    assert_eq!(balance.choose(9_000, &candidates(2), &[], 1.0, 0), Ok(Target(1)));
}

/// Gateways with the same information do not all choose the single least loaded target.
#[test]
fn gateways_with_the_same_stale_load_reports_spread_their_requests() {
    let candidates = candidates(12);
    let mut balance = Balance::default();
    let busy = candidates[1..].iter().map(|c| (c.target, Load { requests: 3, tokens: 0 }));
    balance.record_peer_load(0, Source::Gateway(1), busy.collect());
    let idle = candidates[0].target;
    let chosen = (0..24).map(|draw| balance.choose(1, &candidates, &[], 1.0, draw));
    let to_idle = chosen.filter(|target| *target == Ok(idle)).count();
    assert!((1..=6).contains(&to_idle), "{to_idle} of 24 gateways chose the idle target");
}

#[test]
fn an_unread_prompt_weighs_more_than_open_streams() {
    let mut balance = Balance::default();
    balance.started(0, Target(0), 4_000);
    for _ in 0..3 {
        balance.started(0, Target(1), 100);
        balance.began(Target(1), 100);
    }
    assert_eq!(balance.choose(10, &candidates(2), &[], 1.0, 0), Ok(Target(1)));
}

/// A gateway starts while the store is unavailable, and another gateway that is also cut off
/// reports an old proof. The clock of the process begins at 0, and the proof is older than that.
/// Guards against a sum that wraps, after which a target with the largest prompts counts as idle.
#[test]
fn prompts_of_the_largest_size_add_up() {
    let mut balance = Balance::default();
    balance.started(0, Target(0), u32::MAX);
    balance.started(0, Target(0), u32::MAX);
    assert_eq!(balance.own_unread(Target(0)), u32::MAX);
}

#[test]
fn a_peer_proof_older_than_the_process_keeps_its_age() {
    let mut freshness = Freshness::default();
    freshness.proved_by_peer(40, 0, 4_600);
    assert_eq!(freshness.age_ms(200), Some(4_760));
    assert!(!freshness.accepts_keys(200, Some(3_000)));
}

#[test]
fn full_suspended_and_tried_targets_get_nothing() {
    let mut balance = Balance::default();
    let mut suspensions = Suspensions::default();
    for _ in 0..4 {
        balance.started(0, Target(0), 0);
    }
    assert_eq!(balance.choose(0, &candidates(1), &[], 1.0, 0), Err(NoTarget::Full));
    suspensions.suspend(0, Target(1));
    let open = |now| {
        let mut open = candidates(3);
        open.retain(|candidate| !suspensions.is_suspended(now, candidate.target));
        open
    };
    assert_eq!(balance.choose(0, &open(0), &[Target(2)], 1.0, 0), Err(NoTarget::Full));
    assert_eq!(balance.choose(5_000, &open(5_000), &[Target(2)], 1.0, 0), Ok(Target(1)));
    assert_eq!(balance.choose(0, &[], &[], 1.0, 0), Err(NoTarget::None));
}

/// Requests that wait for one host at the same time all fail when the host misses a call. These
/// failures count once.
#[test]
fn concurrent_failures_count_once() {
    let mut suspensions = Suspensions::default();
    suspensions.suspend(0, Target(1));
    suspensions.suspend(5, Target(1));
    assert!(!suspensions.is_lost(Target(1)));
    suspensions.suspend(1_500, Target(1));
    assert!(suspensions.is_lost(Target(1)));
}

const PASS_MS: u64 = 285;

/// Checks when a replica group counts as stalled, with outstanding requests of this gateway since
/// 1,000 ms. `begun` is whether one of its streams has begun, with its last event at 1,400 ms;
/// `other_receipt` is when another gateway last received data from the group.
#[test_case(true, None, 1_400 + PASS_MS + 50; "a stream of ours has begun")]
#[test_case(true, Some(1_600), 1_400 + PASS_MS + 50; "what others hear is no help to our own stream")]
#[test_case(false, None, 1_000 + 2 * PASS_MS + 100; "all of ours wait for a first event")]
#[test_case(false, Some(1_600), 1_600 + 2 * PASS_MS + 100; "others hear from it meanwhile")]
fn a_group_counts_as_stalled_after_its_bound(
    begun: bool,
    other_receipt: Option<u64>,
    expected: u64,
) {
    let mut balance = Balance::default();
    let target = Target::of("head");
    balance.started(1_000, target, 500);
    if begun {
        balance.progress(1_400, target);
        balance.began(target, 500);
    }
    if let Some(at) = other_receipt {
        balance.record_peer_receipt(at, Source::Gateway(1), target);
    }
    assert_eq!(balance.stalled_at(target, 1_000, PASS_MS), expected);
}

/// Returns a position in a topic of a store that reports no era.
fn position(offset: u64) -> Position {
    Position::new(Era::default(), offset)
}

/// Returns the claim that results in `fence`, in a store that reports no era.
fn claim(fence: u64, claimant: u64) -> Claim {
    Claim { place: position(fence - 1), claimant }
}

fn election(claimant: u64) -> Election {
    Election::new(ElectionConfig::default(), claimant, 0)
}

fn heartbeat(fence: u64, number: u64) -> Heartbeat {
    Heartbeat { fence, number, table: 0, reaches_store: true }
}

#[test]
fn a_claim_on_the_first_start_is_made_at_once() {
    let mut first = election(1);
    assert_eq!(first.claim(0, 0), None, "the topic was not read yet");
    first.read(0, None, position(0));
    assert_eq!(first.claim(0, 0), Some(position(0)));
    assert_eq!(first.claim(1, 0), None, "one claim at a time");
}

#[test]
fn a_silent_leader_is_replaced_by_rank() {
    let mut second = election(2);
    second.read(0, Some(claim(1, 1)), position(1));
    assert!(second.observe_heartbeat(1_000, heartbeat(1, 0)));
    assert_eq!(second.claim(1_600, 0), None);
    assert_eq!(second.claim(1_700, 0), Some(position(1)));
    let mut third = election(3);
    third.read(0, Some(claim(1, 1)), position(1));
    assert!(third.observe_heartbeat(1_000, heartbeat(1, 0)));
    assert_eq!(third.claim(1_700, 1), None, "the candidate ranked before it claims first");
}

#[test]
fn expired_leader_records_are_no_first_start() {
    let mut late = election(4);
    late.read(0, None, position(9));
    assert_eq!(late.claim(0, 0), None);
    assert_eq!(late.claim(700, 0), Some(position(9)));
}

/// A leader that was paused steps down when it observes a higher fence, or when its orders are
/// rejected because of one.
#[test]
fn an_old_leader_steps_down() {
    let mut old = election(1);
    old.read(0, Some(claim(1, 1)), position(1));
    assert_eq!(old.leading_fence(), Some(1));
    let mut refused = old.clone();
    refused.fenced(1);
    assert_eq!(refused.leading_fence(), None);
    let mut informed = old.clone();
    assert!(informed.observe_heartbeat(10, heartbeat(2, 0)));
    assert_eq!(informed.leading_fence(), None);
    old.read(10, Some(claim(2, 2)), position(2));
    assert_eq!(old.leading_fence(), None);
}

/// An older record that is read late does not reinstate an old leader.
#[test]
fn leadership_never_goes_back() {
    let mut election = election(1);
    election.read(0, Some(claim(5, 2)), position(5));
    election.read(1, Some(claim(3, 1)), position(5));
    assert_eq!((election.leading_fence(), election.fence()), (None, Some(5)));
}

/// Heartbeats that are forwarded late, or by a gateway that was paused, do not keep a silent leader
/// in office.
#[test]
fn only_new_heartbeats_of_the_leader_count() {
    let mut election = election(2);
    election.read(0, Some(claim(5, 1)), position(5));
    assert!(election.observe_heartbeat(1_000, heartbeat(5, 8)));
    assert!(!election.observe_heartbeat(1_500, heartbeat(5, 8)), "the same heartbeat again");
    assert!(!election.observe_heartbeat(1_500, heartbeat(5, 7)), "an earlier heartbeat");
    assert!(
        !election.observe_heartbeat(1_500, heartbeat(4, 99)),
        "a heartbeat of an earlier leader"
    );
    assert_eq!(election.claim(1_700, 0), Some(position(5)));
}

/// A leader without access to the store remains, unless the candidate itself reaches the store.
#[test_case(true, Some(5); "the candidate reaches the store")]
#[test_case(false, None; "nobody reaches the store")]
fn a_leader_without_the_store(answers: bool, expected: Option<u64>) {
    let mut election = election(2);
    election.read(0, Some(claim(5, 1)), position(5));
    if !answers {
        election.store_failed();
    }
    for number in 0..60 {
        let heartbeat = Heartbeat { reaches_store: false, ..heartbeat(5, number) };
        let now = number * 100;
        election.observe_heartbeat(now, heartbeat);
        let claimed = election.claim(now, 0);
        assert_eq!(claimed, expected.map(position).filter(|_| now == 2_500), "at {now} ms");
        if claimed.is_some() {
            return;
        }
    }
}

/// The store is available again for all gateways. The leader has time to observe that before
/// another gateway replaces it.
#[test]
fn an_outage_that_ends_deposes_nobody() {
    let mut election = election(2);
    election.read(0, Some(claim(5, 1)), position(5));
    election.store_failed();
    election.observe_heartbeat(9_900, Heartbeat { reaches_store: false, ..heartbeat(5, 0) });
    election.store_answered(10_000);
    assert_eq!(election.claim(10_100, 0), None);
    election.observe_heartbeat(10_300, heartbeat(5, 1));
    assert_eq!(election.claim(10_400, 0), None);
}

/// A process that was paused has not received the heartbeats of that time.
#[test]
fn a_local_pause_does_not_count_as_silence_of_the_leader() {
    let mut election = election(2);
    election.read(0, Some(claim(5, 1)), position(5));
    election.awake_since(4_000);
    assert_eq!(election.claim(4_100, 0), None);
    assert_eq!(election.claim(4_700, 0), Some(position(5)));
}
