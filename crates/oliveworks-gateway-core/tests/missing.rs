//! Backend servers that are missing from the list, and whether they are gone.

use std::rc::Rc;

use oliveworks_gateway_core::backend_servers::{BackendServer, Born, Directory, Holding};
use oliveworks_gateway_core::era::{Era, REWRITE_MS, StoreEra};
use oliveworks_gateway_core::missing::{Departed, Missing, StoreState};
use test_case::test_case;

/// When the store's era became known, and until when its copy may lack records.
const KNOWN_SINCE: u64 = 1_000;
const LACKS_UNTIL: u64 = KNOWN_SINCE + REWRITE_MS;
const LIFE: u64 = 500;
const NUMBER: u64 = 7;

fn server(born: u64, number: u64) -> BackendServer {
    BackendServer {
        id: Rc::from("h1"),
        service: "lm".into(),
        address: ([10, 0, 0, 1], 80).into(),
        failure_domain: "west".into(),
        domain: "west-d0".into(),
        slots: 8,
        draining: false,
        cold_ms: 0,
        number: Some(number),
        holding: Holding { born: Some(Born(born)), ..Holding::default() },
    }
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    directory.put(server(LIFE, NUMBER));
    directory
}

fn era(known_since: u64) -> StoreEra {
    let mut era = StoreEra::default();
    era.observe(known_since, known_since, Era(2));
    era
}

fn read_at(read_at: u64) -> StoreState {
    StoreState { store_failed_at: None, read_at }
}

fn left(missing: &mut Missing, now: u64, look: StoreState) -> Vec<Departed> {
    missing.sweep(now, look, &directory())
}

#[test]
fn one_that_a_record_drops_is_gone_at_once() {
    let mut missing = Missing::default();
    missing.record_removal(1_100, "h1".into());
    assert_eq!(left(&mut missing, 1_200, read_at(1_100)).len(), 1);
    assert!(missing.has_gone("h1") && !missing.contains("h1"));
}

#[test]
fn one_that_an_older_copy_lacks_is_gone_once_it_had_time_to_write_again() {
    let mut missing = Missing::default();
    missing.record_absence(1_100, "h1".into(), era(KNOWN_SINCE), true);
    assert_eq!(left(&mut missing, LACKS_UNTIL - 1, read_at(LACKS_UNTIL - 1)), []);
    assert_eq!(left(&mut missing, LACKS_UNTIL, read_at(LACKS_UNTIL)).len(), 1);
}

/// A gateway that was paused, or asked one that the store did not answer, had read nothing of what hosts wrote again.
#[test]
fn one_that_may_have_written_again_since_the_list_was_read_is_not_gone() {
    let mut missing = Missing::default();
    missing.record_absence(1_100, "h1".into(), era(KNOWN_SINCE), true);
    assert_eq!(left(&mut missing, 9_000, read_at(LACKS_UNTIL - 1)), []);
}

/// The store came back from a copy a second time before hosts had written again.
#[test]
fn a_second_copy_gives_time_anew() {
    let mut missing = Missing::default();
    missing.record_absence(1_100, "h1".into(), era(KNOWN_SINCE), true);
    missing.record_absence(3_100, "h1".into(), era(3_000), true);
    assert_eq!(left(&mut missing, LACKS_UNTIL, read_at(LACKS_UNTIL)), []);
    assert_eq!(left(&mut missing, 3_000 + REWRITE_MS, read_at(3_000 + REWRITE_MS)).len(), 1);
}

#[test]
fn one_that_another_gateway_lacks_has_the_time_of_that_gateway() {
    let mut missing = Missing::default();
    missing.record_absence(1_100, "h1".into(), era(KNOWN_SINCE), false);
    assert_eq!(left(&mut missing, LACKS_UNTIL, read_at(LACKS_UNTIL)), []);
}

#[test]
fn one_that_only_the_copy_lacked_was_not_lost() {
    let mut missing = Missing::default();
    missing.record_absence(1_100, "h1".into(), era(KNOWN_SINCE), true);
    assert!(!missing.record_listed(2_000, "h1"));
    missing.record_absence(5_000, "h1".into(), StoreEra::default(), true);
    assert!(missing.record_listed(5_100, "h1"), "no copy lacks it");
}

/// One that is gone, as of 900: before the era became known.
fn gone() -> Missing {
    let mut missing = Missing::default();
    missing.record_removal(900, "h1".into());
    missing.sweep(900, read_at(900), &directory());
    missing
}

#[test_case(server(LIFE, NUMBER), false, true; "its last record")]
#[test_case(server(LIFE, NUMBER - 2), false, true; "an earlier one, told again among others")]
#[test_case(server(LIFE, NUMBER + 1), false, false; "a later one")]
#[test_case(server(LIFE, NUMBER + 1), true, true; "a later one that a copy may hold since before it went")]
#[test_case(server(LIFE - 1, NUMBER + 9), false, true; "one of an earlier life")]
#[test_case(server(LIFE + 1, 1), true, false; "one of a later life")]
fn a_record_of_one_that_is_gone_is_old(record: BackendServer, newest: bool, expected: bool) {
    assert_eq!(gone().is_old(&record, newest, era(KNOWN_SINCE)), expected);
}

/// What was known of it had been forgotten with a second record that dropped it.
#[test]
fn one_that_is_dropped_twice_is_remembered_with_its_life() {
    let mut missing = gone();
    missing.record_removal(950, "h1".into());
    missing.sweep(950, read_at(950), &Directory::default());
    assert!(!missing.is_old(&server(LIFE + 1, 1), true, era(KNOWN_SINCE)));
    assert!(missing.is_old(&server(LIFE, NUMBER), false, era(KNOWN_SINCE)));
}
