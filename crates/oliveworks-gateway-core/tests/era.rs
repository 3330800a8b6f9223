//! Tests of the era of the store, that is, of the copy from which the store answers.

use oliveworks_gateway_core::era::{Era, EraChange, REWRITE_MS, StoreEra};
use test_case::test_case;

/// Time at which era 3 became known, in ms.
const KNOWN_SINCE: u64 = 1_000;

fn in_era_3() -> StoreEra {
    let mut era = StoreEra::default();
    era.observe(KNOWN_SINCE, 990, Era(3));
    era
}

#[test]
fn the_first_reported_era_is_new() {
    let mut era = StoreEra::default();
    assert_eq!(era.known_since(), None);
    assert_eq!(era.observe(10, 5, Era(0)), EraChange::New { before: None });
    assert_eq!((era.era(), era.known_since()), (Era(0), Some(10)));
}

#[test_case(2_000, 1_990, Era(3), EraChange::Known, Era(3); "the same")]
#[test_case(2_000, 1_990, Era(4), EraChange::New { before: Some(Era(3)) }, Era(4); "the next")]
#[test_case(2_000, 1_990, Era(40), EraChange::New { before: Some(Era(3)) }, Era(40); "one that leaps")]
#[test_case(2_000, 900, Era(2), EraChange::Late, Era(3); "a former one by an answer that was held back")]
#[test_case(2_000, 1_990, Era(2), EraChange::New { before: Some(Era(3)) }, Era(2); "a lower one of a new call")]
fn era_changes_are_classified(now: u64, sent: u64, reported: Era, expected: EraChange, known: Era) {
    let mut era = in_era_3();
    assert_eq!(era.observe(now, sent, reported), expected);
    assert_eq!(era.era(), known);
}

#[test_case(&[1], 0; "the first era")]
#[test_case(&[0], 0; "an era below the first")]
#[test_case(&[2], KNOWN_SINCE + REWRITE_MS; "a later era at the start")]
#[test_case(&[0, 1], KNOWN_SINCE + REWRITE_MS; "an era that replaced another one")]
fn a_restored_store_is_complete_after_the_rewrite_time(eras: &[u64], expected: u64) {
    let mut era = StoreEra::default();
    for number in eras {
        era.observe(KNOWN_SINCE, 990, Era(*number));
    }
    assert_eq!(era.complete_from(), expected);
}

#[test_case(&[], KNOWN_SINCE + REWRITE_MS; "nobody reports anything")]
#[test_case(&[(3, 1_700), (3, 1_900)], 1_700; "others observed the restore earlier")]
#[test_case(&[(3, 9_000)], KNOWN_SINCE + REWRITE_MS; "another observed the restore later")]
#[test_case(&[(2, 0), (4, 0)], KNOWN_SINCE + REWRITE_MS; "others report on other eras")]
fn the_earliest_report_on_the_era_tells_when_the_store_is_complete(
    reported: &[(u64, u64)],
    expected: u64,
) {
    let reported = reported.iter().map(|(era, from)| (Era(*era), *from));
    assert_eq!(in_era_3().earliest_complete_from(reported), expected);
}

#[test]
fn without_an_era_the_store_is_complete() {
    assert_eq!(StoreEra::default().complete_from(), 0);
}
