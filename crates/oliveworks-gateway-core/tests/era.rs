//! Tests of the era of the store, that is, of the copy from which the store answers.

use oliveworks_gateway_core::era::{Era, EraChange, StoreEra};
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
