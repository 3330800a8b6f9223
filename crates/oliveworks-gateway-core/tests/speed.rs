//! Tests of the detection of replica groups that run much slower than other groups of their model.

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::speed::Speeds;
use test_case::test_case;

const LONGEST_PASS_MS: u64 = 285;

fn targets(count: u64) -> Vec<Target> {
    (0..count).map(Target).collect()
}

/// Checks which groups are slow, given the pause of each group and the number of times that each
/// pause is observed.
#[test_case(&[60, 65, 70], 20, &[]; "alike")]
#[test_case(&[60, 65, 240], 20, &[2]; "one slow")]
#[test_case(&[60, 240], 20, &[1]; "one of two")]
#[test_case(&[240], 20, &[]; "nothing to compare with")]
#[test_case(&[300], 20, &[0]; "longer than any pass")]
#[test_case(&[60, 65, 240], 3, &[]; "seen too seldom")]
fn slow_groups(pauses: &[u64], times: u64, expected: &[u64]) {
    let mut speeds = Speeds::default();
    for turn in 0..times {
        for (index, pause_ms) in pauses.iter().enumerate() {
            speeds.record_pause(10_000 + turn * 20, Target(index as u64), *pause_ms);
        }
    }
    let now = 10_000 + times * 20;
    let slow = speeds.slow(now, &targets(pauses.len() as u64), LONGEST_PASS_MS);
    assert_eq!(slow.iter().map(|target| target.0).collect::<Vec<_>>(), expected);
}

#[test]
fn old_observations_do_not_count() {
    let mut speeds = Speeds::default();
    (0..20).for_each(|turn| speeds.record_pause(turn * 20, Target(0), 500));
    assert_eq!(speeds.slow(3_000, &targets(1), LONGEST_PASS_MS), []);
    speeds.record_pause(3_000, Target(0), 500);
    assert_eq!(
        speeds.slow(3_000, &targets(1), LONGEST_PASS_MS),
        [],
        "the observations restart after a gap"
    );
}
