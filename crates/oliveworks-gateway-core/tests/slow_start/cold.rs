//! Tests of the time until which a backend server counts as cold.
//!
//! A backend server that may have returned cold is in doubt: it counts as cold until a record
//! arrives that was written later, or until the longest possible time of being cold has passed.

use oliveworks_gateway_core::slow_start::SlowStarts;
use oliveworks_gateway_core::slow_start::cold::{Evidence, Listed, Reading};
use test_case::test_case;

use crate::{HEAD, LAG_MS, TERMS, no_peers, without_records};

fn record(slow_starts: &mut SlowStarts, now: u64, cold_ms: u64, listed: Listed) {
    slow_starts.record(now, HEAD, Some(TERMS.lasts_ms), cold_ms, listed);
}

/// Returns the state of a gateway that has read a record of a warm head.
fn warm() -> SlowStarts {
    let mut slow_starts = without_records();
    record(&mut slow_starts, 0, 0, Listed::Known);
    slow_starts
}

fn is_cold(slow_starts: &SlowStarts, now: u64) -> bool {
    slow_starts.is_cold(now, HEAD, TERMS, &no_peers())
}

#[test]
fn a_server_without_a_record_is_cold() {
    assert!(is_cold(&without_records(), 100_000));
}

/// The store is unavailable after the read: the cold time in the record is sufficient.
#[test]
fn a_record_gives_the_remaining_cold_time() {
    let mut slow_starts = without_records();
    record(&mut slow_starts, 1_000, 2_500, Listed::Newly);
    assert!(is_cold(&slow_starts, 3_499));
    assert!(!is_cold(&slow_starts, 3_500));
}

#[test]
fn a_new_server_that_reports_warm_is_cold_for_the_whole_time() {
    let mut slow_starts = without_records();
    record(&mut slow_starts, 1_000, 0, Listed::Newly);
    assert!(is_cold(&slow_starts, 3_999));
    assert!(!is_cold(&slow_starts, 4_000));
}

#[test]
fn a_server_listed_before_traffic_has_the_state_of_its_record() {
    assert!(!is_cold(&warm(), 0));
}

#[test]
fn a_server_turns_cold_again_by_its_record() {
    let mut slow_starts = warm();
    let cold_state = slow_starts.record(9_000, HEAD, Some(TERMS.lasts_ms), 2_000, Listed::Known);
    assert_eq!(cold_state.map(|cold_state| cold_state.evidence), Some(Evidence::Record));
    assert!(is_cold(&slow_starts, 10_999));
    record(&mut slow_starts, 10_500, 0, Listed::Known);
    assert!(!is_cold(&slow_starts, 10_500));
}

#[test]
fn turning_cold_is_reported_once() {
    let mut slow_starts = warm();
    assert!(slow_starts.record(9_000, HEAD, Some(TERMS.lasts_ms), 2_000, Listed::Known).is_some());
    assert!(slow_starts.record(10_000, HEAD, Some(TERMS.lasts_ms), 1_000, Listed::Known).is_none());
}

#[test]
fn a_server_is_cold_after_its_drain() {
    let mut slow_starts = warm();
    slow_starts.drain_ended(5_000, HEAD, Some(TERMS));
    assert!(is_cold(&slow_starts, 7_999));
    assert!(!is_cold(&slow_starts, 8_000));
}

#[test]
fn a_lost_server_is_cold_from_when_it_is_heard_again() {
    let mut slow_starts = warm();
    slow_starts.lost(5_000, HEAD);
    assert!(is_cold(&slow_starts, 60_000));
    slow_starts.record_data(60_000, HEAD, TERMS);
    assert!(is_cold(&slow_starts, 62_999));
    assert!(!is_cold(&slow_starts, 63_000));
}

/// A backend server may be lost a second time while it is still in doubt after the first loss.
#[test]
fn a_server_lost_again_is_doubted_again() {
    let mut slow_starts = warm();
    slow_starts.lost(5_000, HEAD);
    slow_starts.record_data(6_000, HEAD, TERMS);
    slow_starts.lost(7_000, HEAD);
    assert!(is_cold(&slow_starts, 9_500));
}

#[test]
fn a_record_from_before_the_loss_does_not_clear_it() {
    let mut slow_starts = warm();
    slow_starts.lost(5_000, HEAD);
    record(&mut slow_starts, 5_000 + LAG_MS - 1, 0, Listed::Known);
    assert!(is_cold(&slow_starts, 5_000 + LAG_MS));
    record(&mut slow_starts, 5_000 + LAG_MS, 0, Listed::Known);
    assert!(!is_cold(&slow_starts, 5_000 + LAG_MS));
}

#[test]
fn a_server_missing_from_the_list_has_the_state_of_its_new_record() {
    let mut slow_starts = warm();
    slow_starts.lost(5_000, HEAD);
    record(&mut slow_starts, 6_000, 0, Listed::Again);
    assert!(!is_cold(&slow_starts, 6_000));
    record(&mut slow_starts, 7_000, 2_000, Listed::Again);
    assert!(is_cold(&slow_starts, 8_999));
}

#[test]
fn a_server_that_was_gone_is_cold_on_return() {
    let mut slow_starts = warm();
    slow_starts.retain(1_000, |_| false);
    assert!(is_cold(&slow_starts, 1_000));
}

#[test]
fn after_a_pause_all_are_cold_until_records_are_read() {
    let mut slow_starts = warm();
    slow_starts.record_pause(20_000, 4_000);
    slow_starts.records_read(19_999);
    assert!(is_cold(&slow_starts, 20_100));
    slow_starts.records_read(20_000);
    assert!(!is_cold(&slow_starts, 20_100));
}

/// If the store does not answer after a pause, the doubt ends after the cold time plus the maximum
/// age of records.
#[test]
fn doubt_after_a_pause_ends_without_the_store() {
    let mut slow_starts = warm();
    slow_starts.record_pause(20_000, 4_000);
    assert!(!is_cold(&slow_starts, 20_000 + TERMS.lasts_ms + LAG_MS));
}

/// Returns whether backend servers count as cold at a gateway with two peers that last received
/// data from the peers and the store at the given times.
fn all_cold_after_silence(others_heard_at: u64, store_heard_at: u64, now: u64) -> bool {
    let mut slow_starts = warm();
    let mut members = no_peers();
    members.record_contact(1, others_heard_at);
    members.record_contact(2, others_heard_at);
    slow_starts.record_store_answer(store_heard_at);
    slow_starts.is_cold(now, HEAD, TERMS, &members)
}

#[test]
fn all_are_cold_to_a_gateway_that_is_cut_off() {
    assert!(all_cold_after_silence(10_000, 10_000, 14_000));
    assert!(!all_cold_after_silence(10_000, 13_500, 14_000), "the store answered recently");
    assert!(!all_cold_after_silence(13_500, 10_000, 14_000), "peers sent heartbeats recently");
}

/// A gateway that starts copies the list from a gateway that has observed a loss of the head, by
/// which time the record of the head is outdated.
#[test]
fn doubt_is_passed_on_with_the_list() {
    let mut informed = warm();
    informed.lost(5_000, HEAD);
    let remaining_ms = informed.remaining_cold_ms(6_000, HEAD, TERMS.lasts_ms);
    let mut starting = without_records();
    record(&mut starting, 6_000, remaining_ms, Listed::Known);
    assert!(is_cold(&starting, 6_000 + TERMS.lasts_ms + LAG_MS - 1));
    informed.record_data(7_000, HEAD, TERMS);
    assert_eq!(informed.remaining_cold_ms(8_000, HEAD, TERMS.lasts_ms), TERMS.lasts_ms - 1_000);
}

#[test]
fn a_warm_server_has_no_remaining_cold_time() {
    assert_eq!(warm().remaining_cold_ms(5_000, HEAD, TERMS.lasts_ms), 0);
}

/// A gateway starts while the store is unavailable and receives the list from a gateway that has
/// lost the head since.
#[test]
fn a_list_of_a_gateway_without_the_store_does_not_say_that_one_is_warm() {
    let mut slow_starts = without_records();
    record(&mut slow_starts, 1_000, 0, Listed::Late);
    slow_starts.record_data(20_000, HEAD, TERMS);
    assert!(is_cold(&slow_starts, 22_999));
    assert!(!is_cold(&slow_starts, 23_000));
}

/// A gateway in doubt about a host also asks for repeated records: the first record that is recent
/// enough clears the doubt.
#[test]
fn a_doubt_is_known_until_a_younger_record_clears_it() {
    let mut slow_starts = warm();
    assert!(!slow_starts.doubts_any(1_000));
    slow_starts.lost(5_000, HEAD);
    assert!(slow_starts.doubts_any(5_000));
    record(&mut slow_starts, 5_000 + LAG_MS, 0, Listed::Known);
    assert!(!slow_starts.doubts_any(5_000 + LAG_MS));
}

/// The drain of the head's failure domain ends while the head is still lost.
#[test]
fn the_end_of_a_drain_does_not_clear_a_loss() {
    let mut slow_starts = warm();
    slow_starts.lost(5_000, HEAD);
    slow_starts.drain_ended(6_000, HEAD, Some(TERMS));
    assert!(is_cold(&slow_starts, 60_000));
}

/// The store has dropped its history, so its complete list contains the last record of a host that
/// has been unreachable for a long time.
#[test]
fn the_last_record_of_a_lost_server_does_not_clear_its_loss() {
    let mut slow_starts = warm();
    slow_starts.lost(5_000, HEAD);
    record(&mut slow_starts, 60_000, 0, Listed::Last);
    assert!(is_cold(&slow_starts, 60_000));
}

const ADDED: Reading = Reading {
    first_list: false,
    late: false,
    whole_list: false,
    was_missing: false,
    is_new: false,
    traffic: true,
};

#[test_case(ADDED, Listed::Known; "it was added to the list")]
#[test_case(Reading { whole_list: true, ..ADDED }, Listed::Last; "a whole list again")]
#[test_case(Reading { is_new: true, ..ADDED }, Listed::Newly; "a new one")]
#[test_case(Reading { is_new: true, traffic: false, ..ADDED }, Listed::Known; "a new one before callers come")]
#[test_case(Reading { was_missing: true, whole_list: true, ..ADDED }, Listed::Again; "one that was missing")]
#[test_case(Reading { first_list: true, is_new: true, whole_list: true, ..ADDED }, Listed::Known; "the first list")]
#[test_case(Reading { first_list: true, is_new: true, late: true, ..ADDED }, Listed::Late; "the first list, by one without the store")]
fn a_reading_classifies_each_record(reading: Reading, expected: Listed) {
    assert_eq!(Listed::of(reading), expected);
}

/// Guards against a doubt that is dropped because the configuration, with the ramp-up terms of the
/// service, is not read yet. A gateway that starts just after the end of a drain may receive that
/// end from a peer (`drain_ended_elsewhere`, 62 ms after the end) and read the list 129 ms later,
/// but the configuration only 1 ms after the list. In the failure, such a gateway sent a cold host
/// the load of a warm host: 28 requests in a second, where all gateways together may send 20.
#[test]
fn a_doubt_that_comes_before_the_configuration_is_kept() {
    let mut slow_starts = warm();
    slow_starts.drain_ended(5_000, HEAD, None);
    assert!(is_cold(&slow_starts, 60_000));
    slow_starts.record_data(61_000, HEAD, TERMS);
    assert!(is_cold(&slow_starts, 61_000 + TERMS.lasts_ms - 1));
    assert!(!is_cold(&slow_starts, 61_000 + TERMS.lasts_ms));
}

#[test]
fn a_new_server_listed_before_the_configuration_is_cold() {
    let mut slow_starts = without_records();
    slow_starts.record(1_000, HEAD, None, 0, Listed::Newly);
    assert!(is_cold(&slow_starts, 60_000));
}
