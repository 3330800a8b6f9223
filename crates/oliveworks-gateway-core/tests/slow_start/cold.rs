//! Until when a backend server counts as cold.

use oliveworks_gateway_core::slow_start::SlowStarts;
use oliveworks_gateway_core::slow_start::cold::{Evidence, Listed, Reading};
use test_case::test_case;

use crate::{HEAD, LAG_MS, TERMS, alone, unread};

fn record(slow_starts: &mut SlowStarts, now: u64, cold_ms: u64, listed: Listed) {
    slow_starts.record(now, HEAD, Some(TERMS.lasts_ms), cold_ms, listed);
}

/// A gateway that has read that the head is warm.
fn warm() -> SlowStarts {
    let mut slow_starts = unread();
    record(&mut slow_starts, 0, 0, Listed::Known);
    slow_starts
}

fn is_cold(slow_starts: &SlowStarts, now: u64) -> bool {
    slow_starts.is_cold(now, HEAD, TERMS, &alone())
}

#[test]
fn what_no_record_was_read_of_is_cold() {
    assert!(is_cold(&unread(), 100_000));
}

/// The store is away from then on: what was read is enough.
#[test]
fn a_record_tells_for_how_long() {
    let mut slow_starts = unread();
    record(&mut slow_starts, 1_000, 2_500, Listed::Newly);
    assert!(is_cold(&slow_starts, 3_499));
    assert!(!is_cold(&slow_starts, 3_500));
}

#[test]
fn a_new_one_that_says_it_is_warm_is_cold_for_the_whole_time() {
    let mut slow_starts = unread();
    record(&mut slow_starts, 1_000, 0, Listed::Newly);
    assert!(is_cold(&slow_starts, 3_999));
    assert!(!is_cold(&slow_starts, 4_000));
}

#[test]
fn what_is_listed_before_callers_come_is_as_it_says() {
    assert!(!is_cold(&warm(), 0));
}

#[test]
fn it_turns_cold_again_by_its_record() {
    let mut slow_starts = warm();
    let known = slow_starts.record(9_000, HEAD, Some(TERMS.lasts_ms), 2_000, Listed::Known);
    assert_eq!(known.map(|known| known.evidence), Some(Evidence::Record));
    assert!(is_cold(&slow_starts, 10_999));
    record(&mut slow_starts, 10_500, 0, Listed::Known);
    assert!(!is_cold(&slow_starts, 10_500));
}

#[test]
fn it_is_told_once_that_one_turned_cold() {
    let mut slow_starts = warm();
    assert!(slow_starts.record(9_000, HEAD, Some(TERMS.lasts_ms), 2_000, Listed::Known).is_some());
    assert!(slow_starts.record(10_000, HEAD, Some(TERMS.lasts_ms), 1_000, Listed::Known).is_none());
}

#[test]
fn it_is_cold_when_its_drain_has_ended() {
    let mut slow_starts = warm();
    slow_starts.drain_ended(5_000, HEAD, Some(TERMS));
    assert!(is_cold(&slow_starts, 7_999));
    assert!(!is_cold(&slow_starts, 8_000));
}

#[test]
fn one_that_is_lost_is_cold_from_when_it_is_heard_again() {
    let mut slow_starts = warm();
    slow_starts.lost(5_000, HEAD);
    assert!(is_cold(&slow_starts, 60_000));
    slow_starts.record_data(60_000, HEAD, TERMS);
    assert!(is_cold(&slow_starts, 62_999));
    assert!(!is_cold(&slow_starts, 63_000));
}

/// It may be lost a second time before the first is over.
#[test]
fn one_that_is_lost_again_is_doubted_anew() {
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
fn one_that_was_missing_from_the_list_is_as_its_new_record_says() {
    let mut slow_starts = warm();
    slow_starts.lost(5_000, HEAD);
    record(&mut slow_starts, 6_000, 0, Listed::Again);
    assert!(!is_cold(&slow_starts, 6_000));
    record(&mut slow_starts, 7_000, 2_000, Listed::Again);
    assert!(is_cold(&slow_starts, 8_999));
}

#[test]
fn one_that_is_gone_is_unknown_when_it_is_back() {
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

/// The store does not answer after the pause.
#[test]
fn after_a_pause_what_was_missed_is_over_some_time() {
    let mut slow_starts = warm();
    slow_starts.record_pause(20_000, 4_000);
    assert!(!is_cold(&slow_starts, 20_000 + TERMS.lasts_ms + LAG_MS));
}

/// Whether all are cold to a gateway that knows two others, and heard them and the store then.
fn without_news(others_heard_at: u64, store_heard_at: u64, now: u64) -> bool {
    let mut slow_starts = warm();
    let mut members = alone();
    members.record_contact(1, others_heard_at);
    members.record_contact(2, others_heard_at);
    slow_starts.record_store_answer(store_heard_at);
    slow_starts.is_cold(now, HEAD, TERMS, &members)
}

#[test]
fn all_are_cold_to_a_gateway_that_is_cut_off() {
    assert!(without_news(10_000, 10_000, 14_000));
    assert!(!without_news(10_000, 13_500, 14_000), "the store answers");
    assert!(!without_news(13_500, 10_000, 14_000), "others are heard");
}

/// A gateway that starts takes the list over from one that has seen a loss: by then the record is old.
#[test]
fn what_is_doubted_is_told_to_who_takes_the_list_over() {
    let mut knows = warm();
    knows.lost(5_000, HEAD);
    let told_ms = knows.remaining_cold_ms(6_000, HEAD, TERMS.lasts_ms);
    let mut starts = unread();
    record(&mut starts, 6_000, told_ms, Listed::Known);
    assert!(is_cold(&starts, 6_000 + TERMS.lasts_ms + LAG_MS - 1));
    knows.record_data(7_000, HEAD, TERMS);
    assert_eq!(knows.remaining_cold_ms(8_000, HEAD, TERMS.lasts_ms), TERMS.lasts_ms - 1_000);
}

#[test]
fn what_is_warm_is_told_so() {
    assert_eq!(warm().remaining_cold_ms(5_000, HEAD, TERMS.lasts_ms), 0);
}

/// A gateway starts while the store is away, and is told the list by one that has lost the head since.
#[test]
fn a_list_of_a_gateway_without_the_store_does_not_say_that_one_is_warm() {
    let mut slow_starts = unread();
    record(&mut slow_starts, 1_000, 0, Listed::Late);
    slow_starts.record_data(20_000, HEAD, TERMS);
    assert!(is_cold(&slow_starts, 22_999));
    assert!(!is_cold(&slow_starts, 23_000));
}

/// Who doubts a host asks for records that say nothing new: the first one that is young enough clears it.
#[test]
fn a_doubt_is_known_until_a_younger_record_clears_it() {
    let mut slow_starts = warm();
    assert!(!slow_starts.doubts_any(1_000));
    slow_starts.lost(5_000, HEAD);
    assert!(slow_starts.doubts_any(5_000));
    record(&mut slow_starts, 5_000 + LAG_MS, 0, Listed::Known);
    assert!(!slow_starts.doubts_any(5_000 + LAG_MS));
}

/// Its domain's drain ends while it is still away.
#[test]
fn the_end_of_a_drain_does_not_bring_a_lost_one_back() {
    let mut slow_starts = warm();
    slow_starts.lost(5_000, HEAD);
    slow_starts.drain_ended(6_000, HEAD, Some(TERMS));
    assert!(is_cold(&slow_starts, 60_000));
}

/// The store forgot its history: its list holds the last record of a host that has been dark for long.
#[test]
fn the_last_record_of_a_lost_one_does_not_clear_it() {
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
fn what_a_reading_says(reading: Reading, expected: Listed) {
    assert_eq!(Listed::of(reading), expected);
}

/// A gateway that started just after a drain's end sent a cold host what a warm one bears: 28 requests in a second, where all
/// gateways together may send 20. It had heard of the end from another (`drain_ended_elsewhere` 62 ms after it) and read the
/// list 129 ms later, but the configuration 1 ms after that: it did not know yet how slowly the service begins, and
/// dropped the doubt.
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
fn a_new_one_that_is_listed_before_the_configuration_is_cold() {
    let mut slow_starts = unread();
    slow_starts.record(1_000, HEAD, None, 0, Listed::Newly);
    assert!(is_cold(&slow_starts, 60_000));
}
