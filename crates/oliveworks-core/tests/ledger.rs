//! Ledger: guards against false "not run" answers and against running a request twice.

use oliveworks_core::error::{ErrorKind, Ran};
use oliveworks_core::id::{Incarnation, Millis, Offset, RequestId};
use oliveworks_core::ledger::{
    Begin, EarlierHome, Handover, Kept, Key, Ledger, LedgerConfig, Now, Revoked,
};
use test_case::test_case;

const ME: Incarnation = Incarnation(5);
const WALL: u64 = 1_700_000_000_000;

fn config() -> LedgerConfig {
    LedgerConfig {
        key_window_ms: 60_000,
        key_fresh_ms: 10_000,
        clock_skew_ms: 1_000,
        ..LedgerConfig::default()
    }
}

fn at(ms: u64) -> Now {
    Now { mono: Millis(ms), wall_ms: WALL + ms, config_age_ms: 0 }
}

fn handover(attempt: u64, key: Option<Key>) -> Handover {
    Handover { id: RequestId(7), attempt, incarnation: ME, not_after: Millis(5_000), key }
}

fn key(born_ms: Option<u64>) -> Option<Key> {
    Some(Key { born_ms, homes_at: Offset(0), digest: 1 })
}

/// Decides in the gate's order: first from the records, then whether the request may begin.
fn gate(ledger: &mut Ledger, now: Now, handover: &Handover) -> Begin {
    ledger.recall(now.mono, handover).unwrap_or_else(|| ledger.begin(now, handover))
}

fn ran(begin: Begin) -> Option<(ErrorKind, Ran)> {
    match begin {
        Begin::Refuse(refusal) => Some((refusal.kind, refusal.ran)),
        _ => None,
    }
}

#[test]
fn a_revoked_try_never_begins() {
    let mut ledger = Ledger::new(ME, config());
    assert_eq!(ledger.revoke(Millis(0), &handover(1, None)), Revoked::NotRun);
    let refused = ran(gate(&mut ledger, at(1), &handover(1, None)));
    assert_eq!(refused, Some((ErrorKind::ContactLost, Ran::No)));
    // Another attempt of the same request may begin.
    assert_eq!(gate(&mut ledger, at(2), &handover(2, None)), Begin::Run);
}

#[test]
fn what_began_is_not_revoked() {
    let mut ledger = Ledger::new(ME, config());
    assert_eq!(gate(&mut ledger, at(0), &handover(1, None)), Begin::Run);
    assert_eq!(ledger.revoke(Millis(1), &handover(1, None)), Revoked::Begun);
    ledger.finish(Millis(2), RequestId(7), None);
    assert_eq!(ledger.revoke(Millis(3), &handover(1, None)), Revoked::Begun);
    assert_eq!(ledger.running(), 0);
}

#[test_case(Incarnation(6), 0, Revoked::Unknown; "another run of the agent")]
#[test_case(ME, 5_000, Revoked::Unknown; "after its time")]
#[test_case(ME, 4_999, Revoked::NotRun; "before its time")]
fn a_revocation_says_only_what_is_known(incarnation: Incarnation, now: u64, wanted: Revoked) {
    let mut ledger = Ledger::new(ME, config());
    let handover = Handover { incarnation, ..handover(1, None) };
    assert_eq!(ledger.revoke(Millis(now), &handover), wanted);
}

#[test]
fn a_second_copy_is_not_said_not_to_have_run() {
    let mut ledger = Ledger::new(ME, config());
    assert_eq!(gate(&mut ledger, at(0), &handover(1, None)), Begin::Run);
    assert_eq!(ran(gate(&mut ledger, at(1), &handover(1, None))).unwrap().1, Ran::Unknown);
    ledger.finish(Millis(2), RequestId(7), None);
    assert_eq!(ran(gate(&mut ledger, at(3), &handover(1, None))).unwrap().1, Ran::Yes);
    // The record has expired after the request's start limit. A later copy must not be reported as
    // "not run".
    assert_eq!(ran(gate(&mut ledger, at(5_001), &handover(1, None))).unwrap().1, Ran::Unknown);
    assert!(ledger.is_empty());
    let earlier = Handover { incarnation: Incarnation(4), ..handover(1, None) };
    assert_eq!(ran(gate(&mut ledger, at(1), &earlier)).unwrap().1, Ran::Unknown);
}

#[test]
fn a_refused_try_stays_refused() {
    let mut ledger = Ledger::new(ME, config());
    assert!(ledger.stop(&handover(1, None)));
    let again = ran(gate(&mut ledger, at(1), &handover(1, None)));
    assert_eq!(again, Some((ErrorKind::ContactLost, Ran::No)));
}

#[test]
fn a_repeated_key_gets_the_kept_answer() {
    let mut ledger = Ledger::new(ME, config());
    ledger.become_home(at(0), EarlierHome::Nobody);
    assert_eq!(gate(&mut ledger, at(0), &handover(1, key(None))), Begin::Run);
    let busy = ran(gate(&mut ledger, at(1), &handover(2, key(None))));
    assert_eq!(busy, Some((ErrorKind::InProgress, Ran::Unknown)));
    let kept = Kept { status: 200, content_type: "text/plain".into(), body: b"ran".to_vec() };
    ledger.finish(Millis(2), RequestId(7), Some(kept.clone()));
    let late = Handover { not_after: Millis(70_000), ..handover(3, key(None)) };
    assert_eq!(gate(&mut ledger, at(50_000), &late), Begin::Kept(kept));
    let other = Some(Key { digest: 2, ..key(None).unwrap() });
    let other = Handover { not_after: Millis(70_000), ..handover(4, other) };
    assert_eq!(ran(gate(&mut ledger, at(3), &other)).unwrap().0, ErrorKind::KeyReused);
}

#[test_case(EarlierHome::Nobody, None, 100, true; "the first home there ever was")]
#[test_case(EarlierHome::Others, None, 100, false; "a later home, a key without its time")]
#[test_case(EarlierHome::Others, Some(WALL + 500), 1_000, false; "made before the earlier home had stopped")]
#[test_case(EarlierHome::Others, Some(WALL + 11_500), 12_000, true; "made after it")]
#[test_case(EarlierHome::Others, Some(WALL + 99_000), 12_000, false; "made in the future")]
#[test_case(EarlierHome::Others, None, 60_000, true; "a home as old as keys are kept")]
#[test_case(EarlierHome::OwnRuns, None, 100, false; "a restarted home, a key without its time")]
#[test_case(EarlierHome::OwnRuns, Some(WALL + 900), 1_100, false; "made within the clocks' difference")]
#[test_case(EarlierHome::OwnRuns, Some(WALL + 1_100), 1_200, true; "made since the restart")]
fn an_unknown_key_begins_only_if_nobody_can_have_run_it(
    before: EarlierHome,
    born: Option<u64>,
    now: u64,
    runs: bool,
) {
    let mut ledger = Ledger::new(ME, config());
    ledger.become_home(at(0), before);
    let handover = Handover { not_after: Millis(200_000), ..handover(1, key(born)) };
    match gate(&mut ledger, at(now), &handover) {
        Begin::Run => assert!(runs),
        Begin::Refuse(refusal) => {
            assert!(!runs);
            assert_eq!((refusal.kind, refusal.ran), (ErrorKind::OutcomeForgotten, Ran::Unknown));
            assert!(refusal.retry_after_ms.is_some());
        }
        Begin::Kept(_) => panic!("nothing was kept"),
    }
}

#[test]
fn an_agent_out_of_touch_decides_on_no_key() {
    let mut ledger = Ledger::new(ME, config());
    ledger.become_home(at(0), EarlierHome::Nobody);
    let now = Now { config_age_ms: 10_001, ..at(100) };
    assert_eq!(ran(gate(&mut ledger, now, &handover(1, key(None)))).unwrap().1, Ran::Unknown);
    ledger.resign_home();
    assert_eq!(ran(gate(&mut ledger, at(100), &handover(2, key(None)))).unwrap().1, Ran::Unknown);
}

#[test]
fn memory_is_bounded() {
    let mut ledger = Ledger::new(ME, LedgerConfig { entries: 2, ..config() });
    for id in 0..2 {
        let handover = Handover { id: RequestId(id), ..handover(1, None) };
        assert_eq!(gate(&mut ledger, at(0), &handover), Begin::Run);
    }
    let full = Handover { id: RequestId(9), ..handover(1, None) };
    assert_eq!(ran(gate(&mut ledger, at(0), &full)).unwrap().0, ErrorKind::Overloaded);
    assert_eq!(ledger.revoke(Millis(0), &full), Revoked::Unknown);
    ledger.finish(Millis(1), RequestId(0), None);
    let later = Handover { id: RequestId(9), not_after: Millis(9_000), ..handover(1, None) };
    assert_eq!(gate(&mut ledger, at(5_001), &later), Begin::Run);
}
