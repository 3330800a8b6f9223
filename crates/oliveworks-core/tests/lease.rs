//! Leases: guards against a host that gives two promises at a time, and against a leader that
//! relies on a promise after it has ended on the member's clock.

use oliveworks_core::id::{Epoch, HostId, Millis, View};
use oliveworks_core::lease::{GrantRefusal, Grantor, Holder, LeaseConfig};
use test_case::test_case;

const START: Millis = Millis(1_000);

fn awake(config: &LeaseConfig) -> (Grantor, Millis) {
    (Grantor::new(START, config), START.plus(config.quiet_ms()))
}

#[test]
fn a_process_that_just_started_promises_nothing() {
    let config = LeaseConfig::default();
    let (mut grantor, awake) = awake(&config);
    let early = Millis(awake.0 - 1);
    assert_eq!(
        grantor.grant(early, Epoch(1), View(1), HostId(1), &config),
        Err(GrantRefusal::Quiet)
    );
    assert_eq!(grantor.grant(awake, Epoch(1), View(1), HostId(1), &config), Ok(()));
}

#[test_case(Epoch(1), View(1), HostId(1), 0, Ok(()); "renewed")]
#[test_case(Epoch(1), View(2), HostId(1), 0, Ok(()); "same leader, later view")]
#[test_case(Epoch(1), View(2), HostId(2), 0, Err(GrantRefusal::Promised); "another leader")]
#[test_case(Epoch(2), View(1), HostId(1), 0, Err(GrantRefusal::Promised); "another epoch")]
#[test_case(Epoch(1), View(0), HostId(2), 2_000, Err(GrantRefusal::OldView); "an older view after the end")]
#[test_case(Epoch(2), View(1), HostId(2), 1_599, Err(GrantRefusal::Promised); "a moment before the end")]
#[test_case(Epoch(2), View(1), HostId(2), 1_600, Ok(()); "at the end")]
fn a_promise_is_given_to_one(
    epoch: Epoch,
    view: View,
    leader: HostId,
    later: u64,
    wanted: Result<(), GrantRefusal>,
) {
    let config = LeaseConfig::default();
    let (mut grantor, now) = awake(&config);
    grantor.grant(now, Epoch(1), View(1), HostId(1), &config).unwrap();
    assert_eq!(grantor.grant(now.plus(later), epoch, view, leader, &config), wanted);
}

#[test]
fn a_promise_given_back_is_free() {
    let config = LeaseConfig::default();
    let (mut grantor, now) = awake(&config);
    grantor.grant(now, Epoch(1), View(1), HostId(1), &config).unwrap();
    grantor.release(Epoch(1), View(1), HostId(2)); // Host 2 is not the holder.
    assert!(grantor.promise(now).is_some());
    grantor.release(Epoch(1), View(1), HostId(1));
    assert_eq!(grantor.grant(now, Epoch(2), View(1), HostId(2), &config), Ok(()));
}

#[test_case(0)]
#[test_case(1_000)]
#[test_case(50_000)]
fn the_leader_ends_first_whatever_the_drift(drift_ppm: u64) {
    let config = LeaseConfig { drift_ppm, ..LeaseConfig::default() };
    let million = 1_000_000;
    // Compares the slowest leader's clock with the fastest member's, in real microseconds.
    let leader_real = config.leader_ttl_ms() * 1000 * million / (million - drift_ppm);
    let member_real = config.ttl_ms * 1000 * million / (million + drift_ppm);
    assert!(leader_real <= member_real, "{leader_real} {member_real}");
    // A restarted member with the fastest clock stays quiet at least as long, in real time, as a
    // promise lasts on the slowest clock. Checked up to a drift of 1000 ppm.
    let quiet_real = config.quiet_ms() * 1000 * million / (million + drift_ppm);
    let promise_real = config.ttl_ms * 1000 * million / (million - drift_ppm.min(1000));
    assert!(drift_ppm > 1000 || quiet_real >= promise_real, "{quiet_real} {promise_real}");
}

#[test]
fn a_promise_counts_from_the_ask() {
    let config = LeaseConfig::default();
    let mut holder = Holder::new(START, Epoch(1), View(1), &[HostId(1)]);
    assert!(holder.ask(START, 41, &config));
    let late = START.plus(config.leader_ttl_ms() - 1);
    holder.granted(late, HostId(1), 41, true, false, &config);
    assert!(holder.is_complete(late));
    assert!(!holder.is_complete(late.plus(1)), "counted from the answer instead");
}

#[test_case(41, true; "the ask's own number")]
#[test_case(33, false; "a number of the same place in memory, from an earlier run")]
#[test_case(42, false; "a number not asked yet")]
fn only_an_answer_to_an_ask_counts(seq: u64, counts: bool) {
    let config = LeaseConfig::default();
    let mut holder = Holder::new(START, Epoch(1), View(1), &[HostId(1)]);
    assert!(holder.ask(START, 41, &config));
    holder.granted(START, HostId(1), seq, true, false, &config);
    assert_eq!(holder.is_complete(START), counts);
}

#[test]
fn a_view_needs_all_members_ready() {
    let config = LeaseConfig::default();
    let mut holder = Holder::new(START, Epoch(1), View(1), &[HostId(1), HostId(2)]);
    assert!(holder.ask(START, 1, &config));
    holder.granted(START, HostId(1), 1, true, false, &config);
    assert!(!holder.is_complete(START));
    holder.granted(START, HostId(2), 1, false, false, &config);
    assert!(!holder.is_complete(START));
    holder.granted(START, HostId(2), 1, true, false, &config);
    assert!(holder.is_complete(START));
    assert_eq!(holder.lost(START.plus(config.lost_ms + 1), &config), [HostId(1), HostId(2)]);
}

#[test]
fn a_leader_that_was_paused_blames_nobody() {
    let config = LeaseConfig::default();
    let mut holder = Holder::new(START, Epoch(1), View(1), &[HostId(1), HostId(2)]);
    let later = START.plus(config.lost_ms * 2);
    assert_eq!(holder.lost(later, &config).len(), 2);
    holder.reset_silence(later);
    assert!(holder.lost(later, &config).is_empty());
    assert!(holder.ask(later, 7, &config), "it asks at once");
    assert!(!holder.is_complete(later), "and serves nothing before it is answered");
}
