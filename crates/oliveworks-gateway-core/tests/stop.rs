//! The timeline of a stop holds its promises for every grace period.

use oliveworks_gateway_core::stop::{GRACE_MIN_MS, StopTimeline, check_interval_ms};
use proptest::prelude::*;

proptest! {
    /// Guards against a stop that cuts requests off before the last sixth of the grace period.
    #[test]
    fn answers_are_awaited_until_the_last_sixth_of_a_grace_period(
        began in 0_u64..1 << 40,
        grace_ms in GRACE_MIN_MS..600_000,
    ) {
        let stop = StopTimeline::new(began, grace_ms);
        let last_sixth = began as f64 + grace_ms as f64 * 5.0 / 6.0;
        prop_assert!(stop.awaits_until as f64 >= last_sixth, "{stop:?}");
    }

    /// The steps of a stop follow one another, and all end before the platform ends the process.
    #[test]
    fn steps_of_a_stop_are_in_order(began in 0_u64..1 << 40, grace_ms in GRACE_MIN_MS..600_000) {
        let stop = StopTimeline::new(began, grace_ms);
        prop_assert!(began < stop.accepts_until);
        prop_assert!(stop.accepts_until < stop.sends_until);
        prop_assert!(stop.accepts_until <= stop.may_end_at);
        prop_assert!(stop.sends_until < stop.awaits_until);
        prop_assert!(stop.awaits_until < stop.ends_at);
        prop_assert!(stop.may_end_at <= stop.ends_at);
        prop_assert!(stop.ends_at < began + grace_ms);
    }

    /// The process ends well before the platform ends it, and its last answers have time to leave.
    #[test]
    fn a_stop_leaves_time_for_last_answers_and_before_its_grace_period(
        grace_ms in GRACE_MIN_MS..600_000,
    ) {
        let stop = StopTimeline::new(0, grace_ms);
        let reserve_ms = (grace_ms / 20).min(500);
        prop_assert!(grace_ms - stop.ends_at >= reserve_ms, "{stop:?}");
        prop_assert!(stop.ends_at - stop.awaits_until >= (grace_ms / 50).min(100), "{stop:?}");
    }

    /// A request that notices a stop by a check does so before new requests are rejected.
    #[test]
    fn a_stop_is_noticed_in_time(grace_ms in GRACE_MIN_MS..600_000) {
        let stop = StopTimeline::new(0, grace_ms);
        prop_assert!(check_interval_ms(grace_ms) < stop.accepts_until);
    }

    /// What is accepted last has at least as long as it was accepted for.
    #[test]
    fn requests_that_are_accepted_have_time_left(grace_ms in GRACE_MIN_MS..600_000) {
        let stop = StopTimeline::new(0, grace_ms);
        prop_assert!(stop.awaits_until - stop.accepts_until >= stop.accepts_until);
    }

    /// A process without open requests ends early, and one with open requests uses its time.
    #[test]
    fn a_stop_ends_early_only_without_open_requests(
        grace_ms in GRACE_MIN_MS..600_000,
        after_ms in 0_u64..600_000,
    ) {
        let stop = StopTimeline::new(0, grace_ms);
        prop_assert_eq!(stop.has_ended(after_ms, true), after_ms >= stop.ends_at);
        prop_assert_eq!(stop.has_ended(after_ms, false), after_ms >= stop.may_end_at);
    }
}

#[test]
fn an_answer_is_not_awaited_beyond_its_own_time() {
    let stop = StopTimeline::new(0, 8_000);
    assert_eq!(stop.awaits_answer_until(3_000), 3_000);
    assert_eq!(stop.awaits_answer_until(30_000), stop.awaits_until);
}
