//! Who shares a bound, and which part of it is a gateway's.

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::members::Members;
use test_case::test_case;

/// What is left of a bound with the margin for gateways that are cut off.
const fn shared(bound: f64) -> u32 {
    (bound * 0.875) as u32
}

/// A gateway that has long known all of these.
fn knows(own: u64, all: &[u64]) -> Members {
    let mut members = Members::new(own, all.len() == 1, 0);
    all.iter().for_each(|other| members.record_contact(*other, 1_000));
    all.iter().for_each(|other| members.record_contact(*other, 10_000));
    members
}

fn parts(all: &[u64], bound: f64, target: Target) -> Vec<u32> {
    all.iter().map(|own| knows(*own, all).share(10_000, bound, target)).collect()
}

#[test_case(1, 47.0; "one")]
#[test_case(15, 47.0; "fifteen")]
#[test_case(15, 18.5; "fifteen, and little to share")]
#[test_case(53, 47.0; "more gateways than requests")]
#[test_case(53, 18.5; "far more gateways than requests")]
fn all_of_the_bound_is_shared_out(gateways: u64, bound: f64) {
    let all: Vec<u64> = (0..gateways).collect();
    for target in (0..20).map(Target) {
        assert_eq!(parts(&all, bound, target).iter().sum::<u32>(), shared(bound));
    }
}

/// Where there are more gateways than requests, other gateways have one at other backend servers.
#[test]
fn no_gateway_has_no_part_at_any() {
    let all: Vec<u64> = (0..53).collect();
    for own in &all {
        let members = knows(*own, &all);
        let parts = (0..40).map(|target| members.share(10_000, 18.5, Target(target)));
        assert!(parts.max() == Some(1), "gateway {own}");
    }
}

/// What the bound rests on: who counts more gateways takes no more.
#[test]
fn a_part_never_grows_with_more_gateways() {
    let all: Vec<u64> = (0..40).collect();
    for target in (0..20).map(Target) {
        let part = |count: usize| knows(0, &all[..count]).share(10_000, 47.0, target);
        assert!((1..40).all(|count| part(count + 1) <= part(count)));
    }
}

#[test]
fn a_new_gateway_has_none_until_others_have_heard_of_it() {
    let mut members = Members::new(0, false, 5_000);
    members.record_contact(1, 5_100);
    assert_eq!(members.share(6_999, 47.0, Target(1)), 0);
    assert!(members.share(7_000, 47.0, Target(1)) > 0);
}

#[test]
fn a_gateway_without_others_has_all_at_once() {
    assert_eq!(Members::new(0, true, 5_000).share(5_000, 47.0, Target(1)), shared(47.0));
}

#[test]
fn one_that_was_paused_for_long_begins_anew() {
    let mut members = knows(0, &[0, 1, 2]);
    members.record_pause(20_000, 3_500);
    assert_eq!(members.share(21_999, 47.0, Target(1)), 0);
    assert!(members.share(22_000, 47.0, Target(1)) > 0);
}

#[test]
fn one_that_hears_nobody_keeps_its_part() {
    let mut members = knows(0, &[0, 1, 2, 3]);
    let before = members.share(10_000, 47.0, Target(1));
    (11..1_000).for_each(|second| members.retain(second * 1_000));
    assert_eq!(members.share(1_000_000, 47.0, Target(1)), before);
}

/// Three of fifteen that are cut off together still hear each other.
#[test]
fn some_that_hear_only_each_other_keep_their_parts() {
    let all: Vec<u64> = (0..15).collect();
    let mut members = knows(0, &all);
    for second in 11..1_000 {
        members.record_contact(1, second * 1_000);
        members.record_contact(2, second * 1_000);
        members.retain(second * 1_000);
    }
    assert_eq!(members.count(), 15);
}

#[test]
fn others_that_are_gone_are_forgotten_in_time() {
    let all: Vec<u64> = (0..15).collect();
    let mut members = knows(0, &all);
    let hear =
        |members: &mut Members, now| (1..12).for_each(|other| members.record_contact(other, now));
    hear(&mut members, 69_000);
    members.retain(69_000);
    assert_eq!(members.count(), 15);
    hear(&mut members, 70_000);
    members.retain(70_000);
    assert_eq!(members.count(), 12);
}

/// Those that come back into touch are not forgotten before they can be heard.
#[test]
fn one_that_was_cut_off_gives_others_time_to_be_heard() {
    let all: Vec<u64> = (0..15).collect();
    let mut members = knows(0, &all);
    members.retain(100_000);
    (1..9).for_each(|other| members.record_contact(other, 100_100));
    members.retain(100_100);
    assert_eq!(members.count(), 15);
}

/// A new gateway is told of those that are cut off.
#[test]
fn silent_ones_are_told_on() {
    let members = knows(0, &[0, 1, 2]);
    assert_eq!(members.silent(13_000).count(), 0);
    assert_eq!(members.silent(13_001).count(), 2);
}

/// It may be cut off from others that send, and they do not know of it.
#[test]
fn a_new_gateway_that_hears_nobody_sends_nothing_for_a_minute() {
    let members = Members::new(0, false, 5_000);
    assert_eq!(members.share(64_999, 47.0, Target(1)), 0);
    assert_eq!(members.share(65_000, 47.0, Target(1)), shared(47.0));
}

#[test]
fn one_that_hears_others_late_waits_until_they_have_heard_of_it() {
    let mut members = Members::new(0, false, 5_000);
    members.record_contact(1, 20_000);
    assert_eq!(members.share(21_999, 47.0, Target(1)), 0);
    assert!(members.share(22_000, 47.0, Target(1)) > 0);
}

#[test]
fn what_is_over_is_not_told_on() {
    let members = knows(0, &[0, 1, 2]);
    assert_eq!(members.silent(70_000).count(), 0);
}

/// Gateways that hear nobody, of whom each starts again while it is cut off, have no part of a bound: each of them
/// took all of it.
#[test]
fn one_that_starts_without_others_has_no_part() {
    let members = Members::new(0, false, 5_000);
    assert_eq!(members.sharers(30_000), None);
    let mut members = Members::new(0, false, 5_000);
    members.record_contact(1, 40_000);
    assert_eq!(members.sharers(41_999), None, "others may not count it yet");
    assert_eq!(members.sharers(42_000), Some(2));
}

/// One that no longer hears the others still counts them.
#[test]
fn one_that_is_cut_off_counts_all() {
    let mut members = knows(0, &[0, 1, 2, 3, 4]);
    (11..200).for_each(|second| members.retain(second * 1_000));
    assert_eq!(members.sharers(200_000), Some(5));
}
