//! Load reports in heartbeats and replayed records stay small as the number of groups and backend
//! servers grows, and omitted load is reported in time.

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

/// Returns the load of a failure domain that has one outstanding request at each of `targets`
/// targets and has just received data from all of them.
fn domain_load(targets: u64) -> DomainLoad {
    DomainLoad {
        open: (0..targets).map(|target| (Target(target), load(1))).collect(),
        heard: (0..targets).map(Target).collect(),
    }
}

/// Returns the number of bytes that one gateway sends to a gateway of a remote failure domain
/// within a second.
fn bytes_per_second(targets: u64) -> usize {
    let (balance, domain_load, mut intervals) =
        (Balance::default(), domain_load(targets), ReportIntervals::default());
    let heartbeats = (0..10).map(|beat| {
        let due = intervals.is_due(beat * 100, EAST, domain_load.open.len());
        let is_recipients_target = |target: Target| target.0 < 10;
        let report = load_report::remote_report(
            &balance,
            beat * 100,
            &domain_load,
            EAST,
            is_recipients_target,
            due,
        );
        postcard::to_stdvec(&report).unwrap().len()
    });
    heartbeats.sum()
}

#[test]
fn a_remote_report_grows_slower_than_its_targets() {
    let (bytes_for_few, bytes_for_many) = (bytes_per_second(50), bytes_per_second(1_000));
    assert!(
        bytes_for_many <= bytes_for_few * 6,
        "{bytes_for_few} bytes a second for 50 targets, {bytes_for_many} for 1,000"
    );
}

#[test]
fn each_domain_gets_a_full_report_within_half_a_second() {
    let mut intervals = ReportIntervals::default();
    for source in [EAST, Source::FailureDomain(2)] {
        let due_count = (0..20).filter(|beat| intervals.is_due(beat * 100, source, 5_000)).count();
        assert_eq!(due_count, 4, "in two seconds");
    }
    let due_count = (0..20).filter(|beat| intervals.is_due(10_000 + beat * 100, EAST, 20)).count();
    assert_eq!(due_count, 20, "the load of few targets is reported with each heartbeat");
}

/// The load of the recipient's own targets is reported with each heartbeat. Other targets from
/// which data was received are reported only if the recipient has outstanding requests there.
#[test]
fn load_of_the_recipients_targets_is_reported_at_once() {
    let mut balance = Balance::default();
    balance.record_peer_load_elsewhere(0, EAST, HashMap::from([(Target(7), load(2))]));
    let is_recipients_target = |target: Target| target.0 < 3;
    let report = load_report::remote_report(
        &balance,
        100,
        &domain_load(10),
        EAST,
        is_recipients_target,
        false,
    );
    let open: HashSet<Target> = report.open.iter().map(|count| count.target).collect();
    assert_eq!(open, HashSet::from([Target(0), Target(1), Target(2)]));
    assert!(report.open.iter().all(|count| count.heard));
    assert_eq!((report.elsewhere, report.heard), (None, vec![Target(7)]));
}

/// Sums for targets outside the reporting failure domain are reported less often than sums for the
/// domain's own targets, and therefore expire later. Both count.
#[test]
fn load_that_is_reported_rarely_still_counts() {
    let mut balance = Balance::default();
    balance.record_peer_load_elsewhere(0, EAST, HashMap::from([(Target(1), load(5))]));
    balance.record_peer_load(0, EAST, HashMap::from([(Target(2), load(3))]));
    balance.record_peer_load(900, EAST, HashMap::from([(Target(2), load(4))]));
    assert_eq!(balance.load(1_000, Target(1)), load(5));
    assert_eq!(balance.load(1_000, Target(2)), load(4));
    assert_eq!(balance.load(1_600, Target(1)), load(0), "expired reports do not count");
    assert_eq!(balance.load(1_600, Target(2)), load(4));
}

#[test]
fn a_record_is_resent_after_a_while_or_when_it_is_new() {
    let mut repeats = Repeats::default();
    let id = Rc::from("host-1");
    assert!(!repeats.is_repeat(0, &id, true), "the record is new");
    assert!(repeats.is_repeat(1_000, &id, false));
    assert!(!repeats.is_repeat(2_000, &id, true), "the record has changed");
    assert!(repeats.is_repeat(16_000, &id, false));
    assert!(!repeats.is_repeat(17_000, &id, false), "the record was last sent as new too long ago");
    repeats.gone("host-1");
    assert!(!repeats.is_repeat(18_000, &id, false), "the backend server was gone in the meantime");
}
