//! Permits granted by a limiter, and permits held by a gateway.

use oliveworks_gateway_core::balance::{Candidate, Target};
use oliveworks_gateway_core::members::Members;
use oliveworks_gateway_core::rate_limits::buckets::{Buckets, Grant, Need};
use oliveworks_gateway_core::rate_limits::limits::Limit;
use oliveworks_gateway_core::rate_limits::{Rate, RateLimits, Step};
use test_case::test_case;

const HOST: Target = Target(1);

fn limit(revision: u32, per_s: Option<f64>) -> Limit {
    Limit { target: HOST, life: None, revision, rate: per_s.and_then(Rate::from_per_s) }
}

/// Returns the state of a gateway without peers, with a limit of two requests per second.
fn without_peers() -> (RateLimits, Members) {
    let mut rate_limits = RateLimits::default();
    rate_limits.limits.apply_report(0, limit(1, Some(2.0)));
    (rate_limits, Members::new(1, true, 0))
}

#[test]
fn a_bucket_begins_empty_and_saves_up_little() {
    let mut buckets = Buckets::default();
    assert_eq!(buckets.ask(0, HOST, 2.0, Need::Only), Grant::After(500));
    assert_eq!(buckets.ask(500, HOST, 2.0, Need::Only), Grant::Permit);
    let mut granted = || buckets.ask(60_000, HOST, 2.0, Need::Only) == Grant::Permit;
    assert_eq!([granted(), granted(), granted()], [true, true, false]);
}

/// The last permit is reserved for a request that has no other place.
#[test]
fn optional_requests_leave_the_last_permit() {
    let mut buckets = Buckets::default();
    buckets.ask(0, HOST, 2.0, Need::Optional);
    assert!(matches!(buckets.ask(500, HOST, 2.0, Need::Optional), Grant::After(_)));
    assert_eq!(buckets.ask(500, HOST, 2.0, Need::Only), Grant::Permit);
}

/// A host with a limit of zero is probed occasionally, because only its answers show that the limit
/// has been raised.
#[test]
fn a_host_with_a_limit_of_zero_is_probed() {
    let mut buckets = Buckets::default();
    buckets.ask(0, HOST, 0.0, Need::Only);
    assert_eq!(buckets.ask(3_900, HOST, 0.0, Need::Only), Grant::After(4_000));
    assert_eq!(buckets.ask(8_000, HOST, 0.0, Need::Only), Grant::Permit);
}

#[test]
fn calls_that_cannot_wait_consume_permits() {
    let mut buckets = Buckets::default();
    buckets.ask(0, HOST, 2.0, Need::Only);
    buckets.spend(500, HOST, 2.0);
    assert!(matches!(buckets.ask(500, HOST, 2.0, Need::Only), Grant::After(_)));
}

#[test]
fn a_permit_serves_one_request_and_ends() {
    let (mut rate_limits, members) = without_peers();
    assert!(rate_limits.check(0, HOST, Need::Only).is_err());
    assert!(matches!(
        rate_limits.want(0, HOST, Need::Only, &members),
        Step::Decided(Grant::After(_))
    ));
    assert_eq!(rate_limits.want(500, HOST, Need::Only, &members), Step::Decided(Grant::Permit));
    let permit = rate_limits.take(500, HOST);
    assert!(rate_limits.may_send(999, HOST, permit) && !rate_limits.may_send(1_000, HOST, permit));
    assert_eq!(rate_limits.take(500, HOST), None);
}

/// A request was assigned to its place before the limit was named, and its connection was
/// established afterwards.
#[test]
fn a_request_that_was_placed_before_the_limit_needs_a_permit() {
    let mut rate_limits = RateLimits::default();
    let permit = rate_limits.take(0, HOST);
    assert!(rate_limits.may_send(0, HOST, permit));
    rate_limits.limits.apply_report(10, limit(1, Some(2.0)));
    assert!(!rate_limits.may_send(20, HOST, permit));
}

#[test]
fn an_ended_limit_needs_no_permit() {
    let (mut rate_limits, _) = without_peers();
    rate_limits.limits.apply_report(10, limit(2, None));
    assert!(rate_limits.check(10, HOST, Need::Only).is_ok());
}

/// All gateways that receive each other's heartbeats choose the same limiter.
#[test]
fn gateways_agree_on_the_limiter() {
    let limiters = (0..20).map(|own| {
        let mut members = Members::new(own, false, 0);
        (0..20).for_each(|other| members.record_contact(other, 1_000));
        members.limiter(2_000, HOST)
    });
    let limiters: std::collections::HashSet<u64> = limiters.collect();
    assert_eq!(limiters.len(), 1);
}

#[test_case(2_000, 1.0; "all are heard")]
#[test_case(9_000, 0.25; "one of four that hears nobody grants its part")]
fn a_limiter_grants_the_share_of_the_peers_it_hears(now: u64, expected: f64) {
    let mut members = Members::new(0, false, 0);
    (1..4).for_each(|other| members.record_contact(other, 1_000));
    assert_eq!(members.observed_share(now), expected);
}

/// Two outstanding requests at a host with eight slots and a limit of two requests per second count
/// as much as eight at a host without a limit.
#[test]
fn a_rate_limited_host_counts_as_busier() {
    let host = Candidate { target: HOST, slots: 8, is_local: true, open_ms: 10.0, token_ms: 1.0 };
    assert_eq!(host.with_rate_limit(2.0).open_ms, 40.0);
    assert_eq!(host.with_rate_limit(0.1).open_ms, 80.0);
    assert_eq!(host.with_rate_limit(50.0), host);
}
