//! What was learned about a backend server ends with its incarnation, not with its record.

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::backend_servers::Born;
use oliveworks_gateway_core::backoff::{BACKOFF_MAX_MS, Backoffs};
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::incarnations::{Incarnations, UNLISTED_RETENTION_MS};
use oliveworks_gateway_core::rate_limits::limits::{Limit, RateObservation};
use oliveworks_gateway_core::rate_limits::{Rate, RateLimits};
use oliveworks_gateway_core::suspensions::Suspensions;
use test_case::test_case;

const HOST: Target = Target(1);
const FIRST: Option<Born> = Some(Born(1_000));
const SECOND: Option<Born> = Some(Born(2_000));
/// Time at which the record lapses, in ms.
const LAPSED_AT: Millis = 1_000;

/// Time at which the record of a restart is read, in ms.
const RESTART_READ_AT: Millis = 2_500;

/// What a gateway keeps about a host that asked for a backoff and named a limit at 0 ms.
struct Known {
    incarnations: Incarnations,
    backoffs: Backoffs,
    rate_limits: RateLimits,
}

impl Known {
    fn new(born: Option<Born>) -> Known {
        let mut known = Known {
            incarnations: Incarnations::default(),
            backoffs: Backoffs::default(),
            rate_limits: RateLimits::default(),
        };
        known.list(born);
        known.backoffs.asked(0, HOST, BACKOFF_MAX_MS);
        let limit = Limit { target: HOST, life: born, revision: 1, rate: Rate::from_per_s(4.2) };
        known.rate_limits.limits.apply_report(0, limit);
        known
    }

    fn list(&mut self, born: Option<Born>) {
        if self.incarnations.record_listed(HOST, born) {
            self.backoffs.remove(HOST);
            let started_at = born.map_or(0, |born| born.0);
            self.rate_limits.limits.restart(RESTART_READ_AT, HOST, born, started_at);
        }
    }

    fn sweep(&mut self, now: Millis, is_listed: bool) {
        self.incarnations.sweep(now, |_| is_listed);
        let incarnations = &self.incarnations;
        self.backoffs.retain(now, |target| incarnations.contains(target));
        self.rate_limits.retain(now, |target| incarnations.contains(target));
    }

    /// Returns whether the backoff and the limit are in force; both or neither must be.
    fn holds(&self, now: Millis) -> bool {
        let in_backoff = self.backoffs.until(now, HOST).is_some();
        assert_eq!(in_backoff, self.rate_limits.limits.rate(HOST).is_some());
        in_backoff
    }
}

#[test_case(FIRST, FIRST, true; "the same incarnation")]
#[test_case(FIRST, SECOND, false; "a later incarnation")]
#[test_case(FIRST, None, true; "a record without an incarnation")]
#[test_case(None, None, true; "no incarnation is known")]
#[test_case(None, FIRST, true; "an incarnation that was not known")]
fn a_record_that_returns(before: Option<Born>, after: Option<Born>, holds: bool) {
    let mut known = Known::new(before);
    known.sweep(LAPSED_AT, false);
    known.list(after);
    known.sweep(LAPSED_AT + 500, true);
    assert_eq!(known.holds(LAPSED_AT + 500), holds);
}

#[test]
fn a_host_that_restarts_while_it_is_listed_is_not_bound_by_what_it_asked_before() {
    let mut known = Known::new(FIRST);
    known.list(FIRST);
    assert!(known.holds(10));
    known.list(SECOND);
    assert!(!known.holds(10));
}

#[test]
fn the_time_without_a_record_starts_anew_with_each_lapse() {
    let mut known = Known::new(FIRST);
    known.sweep(LAPSED_AT, false);
    known.sweep(LAPSED_AT + UNLISTED_RETENTION_MS - 1, false);
    known.list(FIRST);
    known.sweep(LAPSED_AT + UNLISTED_RETENTION_MS, true);
    known.sweep(LAPSED_AT + UNLISTED_RETENTION_MS + 1, false);
    assert!(known.incarnations.contains(HOST));
}

#[test]
fn a_host_that_never_returns_is_forgotten() {
    let mut known = Known::new(FIRST);
    known.sweep(LAPSED_AT, false);
    known.sweep(LAPSED_AT + UNLISTED_RETENTION_MS - 1, false);
    assert!(known.incarnations.contains(HOST));
    known.sweep(LAPSED_AT + UNLISTED_RETENTION_MS, false);
    assert!(!known.incarnations.contains(HOST));
    assert!(known.rate_limits.limits.get(HOST).is_none());
}

/// A target that could not be reached is not tried again at once because its record returned.
#[test]
fn a_suspension_outlasts_the_record() {
    let mut suspensions = Suspensions::default();
    suspensions.suspend(0, HOST);
    suspensions.retain(10, |_| false);
    assert!(suspensions.is_suspended(999, HOST));
    assert!(!suspensions.is_suspended(1_000, HOST));
}

#[test]
fn a_suspension_that_has_ended_is_forgotten_with_the_record() {
    let mut suspensions = Suspensions::default();
    suspensions.suspend(0, HOST);
    suspensions.suspend(1_000, HOST);
    assert!(suspensions.is_lost(HOST));
    suspensions.retain(3_000, |_| false);
    assert!(!suspensions.is_lost(HOST));
}

/// The record of a restart is read up to a second later than answers of the new process arrive. These
/// are to requests that were sent while the former incarnation was known, so the limit that they name
/// counted as that of the former one, and ended with it.
#[test]
fn a_limit_that_a_host_names_before_the_record_of_its_restart_is_kept() {
    let mut known = Known::new(FIRST);
    let lower = Rate::from_per_s(0.2);
    let observation = RateObservation {
        target: HOST,
        incarnation: FIRST,
        sent_at: 2_000,
        rate: lower,
        would_name: true,
    };
    assert!(known.rate_limits.limits.observe(2_100, observation));
    known.list(SECOND);
    assert_eq!(known.rate_limits.limits.rate(HOST), lower);
}

/// The limit of a process that has ended must not bind the next one.
#[test]
fn a_limit_that_was_named_before_a_restart_ends_with_it() {
    let mut known = Known::new(FIRST);
    let observation = RateObservation {
        target: HOST,
        incarnation: FIRST,
        sent_at: 10,
        rate: Rate::from_per_s(0.2),
        would_name: true,
    };
    let limits = &mut known.rate_limits.limits;
    assert!(limits.observe(20, observation));
    limits.restart(500, HOST, SECOND, 21);
    assert_eq!(limits.rate(HOST), None);
}

/// Guards against a limit that binds a process which names none.
#[test]
fn a_limit_that_is_kept_over_a_restart_ends_with_an_answer_that_names_none() {
    let mut known = Known::new(FIRST);
    let observation = |sent_at, incarnation, rate| RateObservation {
        target: HOST,
        incarnation,
        sent_at,
        rate,
        would_name: true,
    };
    let limits = &mut known.rate_limits.limits;
    assert!(limits.observe(20, observation(10, FIRST, Rate::from_per_s(0.2))));
    limits.restart(500, HOST, SECOND, 15);
    assert_eq!(limits.get(HOST).and_then(|limit| limit.life), SECOND);
    assert!(!limits.observe(550, observation(499, FIRST, None)));
    assert!(limits.observe(600, observation(510, SECOND, None)));
    assert_eq!(limits.rate(HOST), None);
}
