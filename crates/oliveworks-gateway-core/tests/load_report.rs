//! What heartbeats and passed-on records tell stays small as groups and backend servers grow in number, and what
//! it leaves out comes in time.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use oliveworks_gateway_core::balance::{Balance, Load, Target};
use oliveworks_gateway_core::fan_out::Source;
use oliveworks_gateway_core::load_report::{self, DomainLoad, ReportIntervals};
use oliveworks_gateway_core::repeats::Repeats;

const EAST: Source = Source::FailureDomain(1);

fn load(requests: u32) -> Load {
    Load { requests, tokens: 0 }
}

/// What a domain knows that has a request open at each of so many targets and has just heard them all.
fn known(targets: u64) -> DomainLoad {
    DomainLoad {
        open: (0..targets).map(|target| (Target(target), load(1))).collect(),
        heard: (0..targets).map(Target).collect(),
    }
}

/// Bytes that one gateway sends another domain's gateway within a second.
fn bytes_a_second(targets: u64) -> usize {
    let (balance, known, mut pace) =
        (Balance::default(), known(targets), ReportIntervals::default());
    let heartbeats = (0..10).map(|beat| {
        let due = pace.is_due(beat * 100, EAST, known.open.len());
        let there = |target: Target| target.0 < 10;
        let telling = load_report::remote_report(&balance, beat * 100, &known, EAST, there, due);
        postcard::to_stdvec(&telling).unwrap().len()
    });
    heartbeats.sum()
}

#[test]
fn what_a_domain_tells_another_grows_less_than_targets() {
    let (few, many) = (bytes_a_second(50), bytes_a_second(1_000));
    assert!(many <= few * 6, "{few} bytes a second for 50 targets, {many} for 1,000");
}

#[test]
fn each_domain_is_told_all_within_half_a_second() {
    let mut pace = ReportIntervals::default();
    for source in [EAST, Source::FailureDomain(2)] {
        let told = (0..20).filter(|beat| pace.is_due(beat * 100, source, 5_000)).count();
        assert_eq!(told, 4, "in two seconds");
    }
    let told = (0..20).filter(|beat| pace.is_due(10_000 + beat * 100, EAST, 20)).count();
    assert_eq!(told, 20, "few targets are told with each heartbeat");
}

/// The listener's own targets are told with each heartbeat, and others that were heard only if it waits there.
#[test]
fn a_domain_is_told_what_matters_to_it_at_once() {
    let mut balance = Balance::default();
    balance.record_peer_load_elsewhere(0, EAST, HashMap::from([(Target(7), load(2))]));
    let there = |target: Target| target.0 < 3;
    let telling = load_report::remote_report(&balance, 100, &known(10), EAST, there, false);
    let open: HashSet<Target> = telling.open.iter().map(|count| count.target).collect();
    assert_eq!(open, HashSet::from([Target(0), Target(1), Target(2)]));
    assert!(telling.open.iter().all(|count| count.heard));
    assert_eq!((telling.elsewhere, telling.heard), (None, vec![Target(7)]));
}

/// Sums of what is open elsewhere are older than those of a domain's own targets, and both count.
#[test]
fn what_is_told_now_and_then_still_counts() {
    let mut balance = Balance::default();
    balance.record_peer_load_elsewhere(0, EAST, HashMap::from([(Target(1), load(5))]));
    balance.record_peer_load(0, EAST, HashMap::from([(Target(2), load(3))]));
    balance.record_peer_load(900, EAST, HashMap::from([(Target(2), load(4))]));
    assert_eq!(balance.load(1_000, Target(1)), load(5));
    assert_eq!(balance.load(1_000, Target(2)), load(4));
    assert_eq!(balance.load(1_600, Target(1)), load(0), "what is old does not count");
    assert_eq!(balance.load(1_600, Target(2)), load(4));
}

#[test]
fn a_record_is_told_again_after_a_while_or_when_it_is_news() {
    let mut repeats = Repeats::default();
    let id = Rc::from("host-1");
    assert!(!repeats.is_repeat(0, &id, true), "it is new");
    assert!(repeats.is_repeat(1_000, &id, false));
    assert!(!repeats.is_repeat(2_000, &id, true), "it has changed");
    assert!(repeats.is_repeat(16_000, &id, false));
    assert!(!repeats.is_repeat(17_000, &id, false), "it was told long ago");
    repeats.gone("host-1");
    assert!(!repeats.is_repeat(18_000, &id, false), "it was gone");
}
