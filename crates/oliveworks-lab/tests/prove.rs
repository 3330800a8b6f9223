//! Short proof runs: the shipped decision code keeps all invariants, and each deliberate defect
//! listed here is detected.

use oliveworks_lab::prove::{Broken, run};
use test_case::test_case;

#[test]
fn the_shipped_decisions_keep_every_promise() {
    for seed in 1..5 {
        let outcome = run(seed, 60_000, Broken::None, false);
        assert!(outcome.breaches.is_empty(), "seed {seed}: {:?}", outcome.breaches);
        assert!(outcome.requests[0] > 50, "seed {seed} answered {:?}", outcome.requests);
    }
}

// Seed and number of steps with which each defect was first detected; see docs/PROOFS.md.
#[test_case(Broken::MixesTries, 1, 70_000, "whole answer")]
#[test_case(Broken::RepeatsAll, 1, 50_000, "at most once")]
#[test_case(Broken::NoQuiet, 4, 50_000, "two groups")]
#[test_case(Broken::ClaimsCurrent, 1, 1_000, "configuration")]
#[test_case(Broken::ClaimsHome, 226, 50_000, "at most once")]
fn a_deliberate_defect_is_seen(broken: Broken, seed: u64, steps: u64, invariant: &str) {
    let outcome = run(seed, steps, broken, false);
    assert!(outcome.breaches.iter().any(|b| b.invariant == invariant), "{:?}", outcome.breaches);
    assert!(run(seed, steps, Broken::None, false).breaches.is_empty());
}

#[test]
fn planned_changes_cut_nothing() {
    let outcome = run(3, 80_000, Broken::None, true);
    assert!(outcome.breaches.is_empty(), "{:?}", outcome.breaches);
    assert_eq!(outcome.requests[3], 0);
}

#[test]
fn a_seed_gives_the_same_run_twice() {
    let digests = [1, 1, 2].map(|seed| run(seed, 20_000, Broken::None, false).digest);
    assert_eq!(digests[0], digests[1]);
    assert_ne!(digests[0], digests[2]);
}
