//! Tests of backend servers that are missing from the list, and of when they count as gone.

use std::rc::Rc;

use oliveworks_gateway_core::backend_servers::{BackendServer, Born, Directory, Holding};
use oliveworks_gateway_core::era::{Era, REWRITE_MS, StoreEra};
use oliveworks_gateway_core::missing::{Departed, Missing, StoreState};
use test_case::test_case;

/// Time at which the store's era became known, and time until which its copy may lack records, in
/// ms.
const KNOWN_SINCE: u64 = 1_000;
const LACKS_UNTIL: u64 = KNOWN_SINCE + REWRITE_MS;
const INCARNATION: u64 = 500;
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
    directory.put(server(INCARNATION, NUMBER));
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

fn departed(missing: &mut Missing, now: u64, store_state: StoreState) -> Vec<Departed> {
    missing.sweep(now, store_state, &directory())
}

#[test]
fn a_server_that_a_record_drops_is_gone_at_once() {
    let mut missing = Missing::default();
    missing.record_removal(1_100, "h1".into());
    assert_eq!(departed(&mut missing, 1_200, read_at(1_100)).len(), 1);
    assert!(missing.is_gone("h1") && !missing.contains("h1"));
}

#[test]
fn a_server_that_a_copy_lacks_is_gone_after_the_time_to_rewrite() {
    let mut missing = Missing::default();
    missing.record_absence(1_100, "h1".into(), era(KNOWN_SINCE), true);
    assert_eq!(departed(&mut missing, LACKS_UNTIL - 1, read_at(LACKS_UNTIL - 1)), []);
    assert_eq!(departed(&mut missing, LACKS_UNTIL, read_at(LACKS_UNTIL)).len(), 1);
}

/// Covers a gateway that was paused, or that asked a gateway without access to the store: neither
/// has read the records that hosts rewrote.
#[test]
fn a_server_that_may_have_rewritten_since_the_read_is_not_gone() {
    let mut missing = Missing::default();
    missing.record_absence(1_100, "h1".into(), era(KNOWN_SINCE), true);
    assert_eq!(departed(&mut missing, 9_000, read_at(LACKS_UNTIL - 1)), []);
}

/// The store was restored from a copy a second time before hosts had rewritten their records.
#[test]
fn a_second_restore_restarts_the_time_to_rewrite() {
    let mut missing = Missing::default();
    missing.record_absence(1_100, "h1".into(), era(KNOWN_SINCE), true);
    missing.record_absence(3_100, "h1".into(), era(3_000), true);
    assert_eq!(departed(&mut missing, LACKS_UNTIL, read_at(LACKS_UNTIL)), []);
    assert_eq!(departed(&mut missing, 3_000 + REWRITE_MS, read_at(3_000 + REWRITE_MS)).len(), 1);
}

#[test]
fn a_server_that_a_peer_lacks_has_longer_to_rewrite() {
    let mut missing = Missing::default();
    missing.record_absence(1_100, "h1".into(), era(KNOWN_SINCE), false);
    assert_eq!(departed(&mut missing, LACKS_UNTIL, read_at(LACKS_UNTIL)), []);
}

#[test]
fn a_server_that_only_the_copy_lacked_was_not_lost() {
    let mut missing = Missing::default();
    missing.record_absence(1_100, "h1".into(), era(KNOWN_SINCE), true);
    assert!(!missing.record_listed(2_000, "h1"));
    missing.record_absence(5_000, "h1".into(), StoreEra::default(), true);
    assert!(missing.record_listed(5_100, "h1"), "no restored copy lacks the server");
}

/// Returns a state with a backend server that is gone since 900 ms, before the era became known.
fn gone() -> Missing {
    let mut missing = Missing::default();
    missing.record_removal(900, "h1".into());
    missing.sweep(900, read_at(900), &directory());
    missing
}

/// `newest` states whether the record stands among all newest records of the store. If the store
/// was restored from an older copy after the server went, such a record may come from the copy,
/// whatever its number.
#[test_case(server(INCARNATION, NUMBER), false, true; "its last record")]
#[test_case(server(INCARNATION, NUMBER - 2), false, true; "an earlier one, told again among others")]
#[test_case(server(INCARNATION, NUMBER + 1), false, false; "a later one")]
#[test_case(server(INCARNATION, NUMBER + 1), true, true; "a later one that a copy may hold since before it went")]
#[test_case(server(INCARNATION - 1, NUMBER + 9), false, true; "one of an earlier life")]
#[test_case(server(INCARNATION + 1, 1), true, false; "one of a later life")]
fn a_record_of_one_that_is_gone_is_old(record: BackendServer, newest: bool, expected: bool) {
    assert_eq!(gone().is_old(&record, newest, era(KNOWN_SINCE)), expected);
}

/// A second record that removes the server must not erase the identity of the server's last record.
#[test]
fn a_server_that_is_dropped_twice_keeps_its_incarnation() {
    let mut missing = gone();
    missing.record_removal(950, "h1".into());
    missing.sweep(950, read_at(950), &Directory::default());
    assert!(!missing.is_old(&server(INCARNATION + 1, 1), true, era(KNOWN_SINCE)));
    assert!(missing.is_old(&server(INCARNATION, NUMBER), false, era(KNOWN_SINCE)));
}
