//! Limits in force, from answers and from reports of other gateways.

use oliveworks_gateway_core::backend_servers::Born;
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::rate_limits::Rate;
use oliveworks_gateway_core::rate_limits::limits::{Limit, Limits, RateObservation};
use test_case::test_case;

const HOST: Target = Target(1);
const FIRST: Option<Born> = Some(Born(1_000));
const SECOND: Option<Born> = Some(Born(2_000));

fn rate(per_s: f64) -> Option<Rate> {
    Rate::from_per_s(per_s)
}

fn observation(sent_at: u64, per_s: Option<f64>) -> RateObservation {
    RateObservation {
        target: HOST,
        incarnation: FIRST,
        sent_at,
        rate: per_s.and_then(Rate::from_per_s),
        would_name: true,
    }
}

fn limit(life: Option<Born>, revision: u32, per_s: Option<f64>) -> Limit {
    Limit { target: HOST, life, revision, rate: per_s.and_then(Rate::from_per_s) }
}

/// Each answer consists of the send time of its request, its arrival time, and the named rate.
#[test_case(&[(0, 10, Some(4.2))], Some(4.2); "named")]
#[test_case(&[(0, 10, None)], None; "none is named")]
#[test_case(&[(0, 10, Some(4.2)), (11, 20, None)], None; "named no more")]
#[test_case(&[(0, 10, Some(4.2)), (5, 20, None)], Some(4.2); "an answer that was overtaken ends nothing")]
#[test_case(&[(0, 10, Some(4.2)), (5, 20, Some(9.0))], Some(4.2); "one that was overtaken raises nothing")]
#[test_case(&[(0, 10, Some(4.2)), (5, 20, Some(2.0))], Some(2.0); "but a lower limit holds at once")]
#[test_case(&[(0, 10, Some(4.2)), (11, 20, Some(9.0))], Some(9.0); "raised")]
#[test_case(&[(0, 10, Some(4.2)), (11, 20, None), (12, 30, Some(1.0))], Some(1.0); "named again")]
fn answers_set_and_end_the_limit(answers: &[(u64, u64, Option<f64>)], expected: Option<f64>) {
    let mut limits = Limits::default();
    for (sent_at, at, named) in answers {
        limits.observe(*at, observation(*sent_at, *named));
    }
    assert_eq!(limits.rate(HOST), expected.and_then(Rate::from_per_s));
}

#[test_case(&[limit(FIRST, 1, Some(4.2)), limit(FIRST, 2, None)], None; "a later revision ends it")]
#[test_case(&[limit(FIRST, 2, None), limit(FIRST, 1, Some(4.2))], None; "an earlier one that comes late does not bring it back")]
#[test_case(&[limit(FIRST, 1, Some(4.2)), limit(FIRST, 1, Some(2.0))], Some(2.0); "of two that were learned side by side the lower holds")]
#[test_case(&[limit(FIRST, 1, Some(2.0)), limit(FIRST, 1, Some(4.2))], Some(2.0); "whichever comes first")]
#[test_case(&[limit(FIRST, 7, Some(4.2)), limit(SECOND, 1, None)], None; "another life")]
#[test_case(&[limit(SECOND, 1, None), limit(FIRST, 7, Some(4.2))], None; "an earlier life")]
fn gateways_agree_on_a_limit(reports: &[Limit], expected: Option<f64>) {
    let mut limits = Limits::default();
    for limit in reports {
        limits.apply_report(10, *limit);
    }
    assert_eq!(limits.rate(HOST), expected.and_then(Rate::from_per_s));
}

#[test]
fn an_answer_of_an_earlier_incarnation_does_not_change_limits() {
    let mut limits = Limits::default();
    limits.apply_report(10, limit(SECOND, 1, Some(4.2)));
    assert!(!limits.observe(20, observation(15, None)));
    assert_eq!(limits.rate(HOST), rate(4.2));
}

/// Guards against an early end of a limit: the answer to a call that is not a request of a caller,
/// such as a call of the leader, may omit the limit of the host. Such an answer must not end the
/// limit.
#[test]
fn an_answer_that_may_omit_the_limit_does_not_end_it() {
    let mut limits = Limits::default();
    limits.observe(10, observation(0, Some(4.2)));
    limits.observe(30, RateObservation { would_name: false, ..observation(20, None) });
    assert_eq!(limits.rate(HOST), rate(4.2));
}

#[test]
fn changed_limits_are_reported_first_and_others_in_turn() {
    let mut limits = Limits::default();
    for host in 0..100 {
        limits.apply_report(0, Limit { target: Target(host), ..limit(FIRST, 1, Some(4.2)) });
    }
    limits.observe(5_000, observation(4_900, Some(1.0)));
    let reported = limits.limits_to_report(5_100, 17);
    assert_eq!(reported[0].rate, rate(1.0));
    assert_eq!(reported.len(), 3);
    let all: std::collections::HashSet<Target> = (0..100)
        .flat_map(|draw| limits.limits_to_report(9_000, draw))
        .map(|limit| limit.target)
        .collect();
    assert_eq!(all.len(), 100);
}

#[test_case(4.2, Some(4.2))]
#[test_case(0.0, Some(0.0))]
#[test_case(1e12, Some(4_294_967.295); "more than can be noted")]
#[test_case(-1.0, None)]
#[test_case(f64::NAN, None)]
#[test_case(f64::INFINITY, None)]
fn a_rate_is_read(per_s: f64, expected: Option<f64>) {
    assert_eq!(Rate::from_per_s(per_s).map(Rate::per_s), expected);
}

/// The end of a limit is forgotten after a minute; a limit in force is kept.
#[test_case(Some(4.2), rate(4.2))]
#[test_case(None, None)]
fn limits_in_force_are_kept(named: Option<f64>, expected: Option<Rate>) {
    let mut limits = Limits::default();
    limits.apply_report(0, limit(FIRST, 1, named));
    limits.retain(600_000, |_| true);
    assert_eq!(limits.rate(HOST), expected);
    assert_eq!(limits.get(HOST).is_some(), named.is_some());
}
