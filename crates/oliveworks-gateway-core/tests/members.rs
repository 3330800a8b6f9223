//! Tests of the gateways that share a limit, and of the share of each gateway.

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::members::Members;
use test_case::test_case;

/// Returns the part of a limit that is shared, without the margin for gateways that are cut off.
const fn shared_part(bound: f64) -> u32 {
    (bound * 0.875) as u32
}

/// Returns the members as seen by a gateway that has known all of them for long.
fn members_known_to(own: u64, all: &[u64]) -> Members {
    let mut members = Members::new(own, all.len() == 1, 0);
    all.iter().for_each(|other| members.record_contact(*other, 1_000));
    all.iter().for_each(|other| members.record_contact(*other, 10_000));
    members
}

fn shares(all: &[u64], bound: f64, target: Target) -> Vec<u32> {
    all.iter().map(|own| members_known_to(*own, all).share(10_000, bound, target)).collect()
}

#[test_case(1, 47.0; "one")]
#[test_case(15, 47.0; "fifteen")]
#[test_case(15, 18.5; "fifteen, and little to share")]
#[test_case(53, 47.0; "more gateways than requests")]
#[test_case(53, 18.5; "far more gateways than requests")]
fn all_of_the_bound_is_shared_out(gateways: u64, bound: f64) {
    let all: Vec<u64> = (0..gateways).collect();
    for target in (0..20).map(Target) {
        assert_eq!(shares(&all, bound, target).iter().sum::<u32>(), shared_part(bound));
    }
}

/// If there are more gateways than requests, a gateway has a share of one request at some backend
/// servers and no share at the others. No gateway is without a share at all of them.
#[test]
fn every_gateway_has_a_share_at_some_target() {
    let all: Vec<u64> = (0..53).collect();
    for own in &all {
        let members = members_known_to(*own, &all);
        let shares = (0..40).map(|target| members.share(10_000, 18.5, Target(target)));
        assert!(shares.max() == Some(1), "gateway {own}");
    }
}

/// The limit depends on this property: a gateway that counts more gateways has no larger share.
#[test]
fn a_part_never_grows_with_more_gateways() {
    let all: Vec<u64> = (0..40).collect();
    for target in (0..20).map(Target) {
        let part = |count: usize| members_known_to(0, &all[..count]).share(10_000, 47.0, target);
        assert!((1..40).all(|count| part(count + 1) <= part(count)));
    }
}

#[test]
fn a_new_gateway_has_no_share_until_peers_have_heard_of_it() {
    let mut members = Members::new(0, false, 5_000);
    members.record_contact(1, 5_100);
    assert_eq!(members.share(6_999, 47.0, Target(1)), 0);
    assert!(members.share(7_000, 47.0, Target(1)) > 0);
}

#[test]
fn a_gateway_without_peers_has_the_whole_share_at_once() {
    assert_eq!(Members::new(0, true, 5_000).share(5_000, 47.0, Target(1)), shared_part(47.0));
}

#[test]
fn a_gateway_paused_for_long_counts_as_new() {
    let mut members = members_known_to(0, &[0, 1, 2]);
    members.record_pause(20_000, 3_500);
    assert_eq!(members.share(21_999, 47.0, Target(1)), 0);
    assert!(members.share(22_000, 47.0, Target(1)) > 0);
}

#[test]
fn a_gateway_that_hears_nobody_keeps_its_share() {
    let mut members = members_known_to(0, &[0, 1, 2, 3]);
    let before = members.share(10_000, 47.0, Target(1));
    (11..1_000).for_each(|second| members.retain(second * 1_000));
    assert_eq!(members.share(1_000_000, 47.0, Target(1)), before);
}

/// Three of fifteen gateways that are cut off together still receive each other's heartbeats.
#[test]
fn gateways_that_hear_only_each_other_keep_their_shares() {
    let all: Vec<u64> = (0..15).collect();
    let mut members = members_known_to(0, &all);
    for second in 11..1_000 {
        members.record_contact(1, second * 1_000);
        members.record_contact(2, second * 1_000);
        members.retain(second * 1_000);
    }
    assert_eq!(members.count(), 15);
}

#[test]
fn gone_peers_are_forgotten_after_a_minute() {
    let all: Vec<u64> = (0..15).collect();
    let mut members = members_known_to(0, &all);
    let observe =
        |members: &mut Members, now| (1..12).for_each(|other| members.record_contact(other, now));
    observe(&mut members, 69_000);
    members.retain(69_000);
    assert_eq!(members.count(), 15);
    observe(&mut members, 70_000);
    members.retain(70_000);
    assert_eq!(members.count(), 12);
}

/// Gateways that are reachable again are not forgotten before their heartbeats can be received.
#[test]
fn a_gateway_that_was_cut_off_does_not_forget_peers_at_once() {
    let all: Vec<u64> = (0..15).collect();
    let mut members = members_known_to(0, &all);
    members.retain(100_000);
    (1..9).for_each(|other| members.record_contact(other, 100_100));
    members.retain(100_100);
    assert_eq!(members.count(), 15);
}

/// Silent gateways are reported to new gateways.
#[test]
fn silent_peers_are_reported() {
    let members = members_known_to(0, &[0, 1, 2]);
    assert_eq!(members.silent(13_000).count(), 0);
    assert_eq!(members.silent(13_001).count(), 2);
}

/// A new gateway may be cut off from other gateways that send requests and do not know of it.
#[test]
fn a_new_gateway_that_hears_nobody_sends_nothing_for_a_minute() {
    let members = Members::new(0, false, 5_000);
    assert_eq!(members.share(64_999, 47.0, Target(1)), 0);
    assert_eq!(members.share(65_000, 47.0, Target(1)), shared_part(47.0));
}

#[test]
fn a_gateway_that_hears_peers_late_waits_until_they_have_heard_of_it() {
    let mut members = Members::new(0, false, 5_000);
    members.record_contact(1, 20_000);
    assert_eq!(members.share(21_999, 47.0, Target(1)), 0);
    assert!(members.share(22_000, 47.0, Target(1)) > 0);
}

#[test]
fn peers_silent_for_a_minute_are_not_reported() {
    let members = members_known_to(0, &[0, 1, 2]);
    assert_eq!(members.silent(70_000).count(), 0);
}

/// Gateways that receive no heartbeats, and that each restart while cut off, have no share of a
/// limit. The failure: each of them used the whole limit.
#[test]
fn a_gateway_that_starts_cut_off_has_no_share() {
    let members = Members::new(0, false, 5_000);
    assert_eq!(members.sharing_gateways(30_000), None);
    let mut members = Members::new(0, false, 5_000);
    members.record_contact(1, 40_000);
    assert_eq!(members.sharing_gateways(41_999), None, "other gateways may not count this one yet");
    assert_eq!(members.sharing_gateways(42_000), Some(2));
}

/// A gateway that receives no more heartbeats still counts the other gateways.
#[test]
fn a_gateway_that_is_cut_off_counts_all_peers() {
    let mut members = members_known_to(0, &[0, 1, 2, 3, 4]);
    (11..200).for_each(|second| members.retain(second * 1_000));
    assert_eq!(members.sharing_gateways(200_000), Some(5));
}
