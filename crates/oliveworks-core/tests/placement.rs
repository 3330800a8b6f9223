//! Placement: the records that are proposed in a given state.

mod common;

use common::{Log, form, name, partner, template};
use oliveworks_core::fleet::{Fleet, FleetConfig, ListedHost};
use oliveworks_core::id::{DomainId, Epoch, HostId, Millis, Offset, View};
use oliveworks_core::message::GroupReport;
use oliveworks_core::placement::{PlacementConfig, plan};
use oliveworks_core::record::{Author, Basis, Body};
use oliveworks_core::template::Template;

/// Returns a fleet with hosts 1 to 10 in domain 1 and 11 to 20 in domain 2, without those in
/// `gone`.
fn fleet(gone: &[u32]) -> Fleet {
    let mut fleet = Fleet::new(FleetConfig::default());
    fleet.update_list(Millis(0), &listed(&[]));
    fleet.update_list(Millis(10_000), &listed(gone));
    fleet.tick(Millis(20_000));
    fleet
}

fn listed(gone: &[u32]) -> Vec<ListedHost> {
    let there = (1..=20).filter(|h| !gone.contains(h));
    there
        .map(|h| ListedHost {
            host: HostId(h),
            domain: DomainId(if h <= 10 { 1 } else { 2 }),
            address: ([127, 0, 0, 1], 7000).into(),
            leaving: false,
            service: None,
            weights: None,
        })
        .collect()
}

fn report(epoch: Epoch, serving: bool, drained: bool, leaving: bool) -> GroupReport {
    GroupReport { epoch, from: HostId(1), view: View(1), serving, lost: vec![], leaving, drained }
}

/// Returns a log with one template and its first group on hosts 1 to 4, plus 5 as an optional
/// spare.
fn one_group(spares: u16) -> (Log, Template, Offset, Epoch) {
    let mut log = Log::new();
    let t = template("saffah", "assistant", 4, spares, 1);
    let at = log.publish(&t);
    let hosts: &[u32] = if spares == 1 { &[1, 2, 3, 4, 5] } else { &[1, 2, 3, 4] };
    let epoch = log.append(Author::System, form(&t, at, 0, hosts, Basis::Fresh)).unwrap();
    (log, t, at, Epoch(epoch.0))
}

fn planned(log: &Log, fleet: &Fleet) -> Vec<Body> {
    plan(&log.pool, fleet, &PlacementConfig::default()).records
}

fn formed(body: &Body) -> (Vec<u32>, Vec<u32>, Basis) {
    let Body::FormGroup { hosts, spares, basis, .. } = body else { panic!("{body:?}") };
    let numbers = |h: &[HostId]| h.iter().map(|h| h.0).collect();
    (numbers(hosts), numbers(spares), *basis)
}

#[test]
fn a_group_is_formed_within_one_domain_with_its_spare() {
    let mut log = Log::new();
    log.publish(&template("saffah", "assistant", 4, 1, 1));
    let records = planned(&log, &fleet(&[11, 12, 13]));
    let (hosts, spares, _) = formed(&records[0]);
    assert_eq!((hosts.len(), spares.len(), records.len()), (4, 1, 1));
    let all: Vec<u32> = hosts.into_iter().chain(spares).collect();
    assert!(all.iter().all(|h| *h > 10), "the domain with fewer free hosts is used first: {all:?}");
}

#[test]
fn nothing_is_done_while_all_is_well() {
    let (log, ..) = one_group(1);
    assert_eq!(planned(&log, &fleet(&[])), []);
}

#[test]
fn a_lost_member_with_a_spare_needs_no_record() {
    let (log, ..) = one_group(1);
    assert_eq!(planned(&log, &fleet(&[2])), []);
}

#[test]
fn only_the_lost_member_is_replaced_and_ranks_are_kept() {
    let (log, _, _, epoch) = one_group(0);
    let records = planned(&log, &fleet(&[2]));
    let (hosts, _, basis) = formed(&records[0]);
    assert_eq!(basis, Basis::Supersedes(epoch));
    assert_eq!((hosts[0], hosts[2], hosts[3]), (1, 3, 4));
    assert!((5..=10).contains(&hosts[1]));
}

#[test]
fn a_group_without_enough_hosts_moves_or_frees_its_survivors() {
    let (log, _, _, epoch) = one_group(0);
    let gone: Vec<u32> = (2..=10).collect();
    let (hosts, _, basis) = formed(&planned(&log, &fleet(&gone))[0]);
    assert!(hosts.iter().all(|h| *h > 10));
    assert_eq!(basis, Basis::Supersedes(epoch));
    let gone: Vec<u32> = (2..=20).collect();
    assert_eq!(planned(&log, &fleet(&gone)), [Body::DrainGroup { epoch }]);
}

#[test]
fn a_leaving_host_drains_its_group_and_a_new_one_is_formed_beside_it() {
    let (log, _, _, epoch) = one_group(0);
    let mut fleet = fleet(&[]);
    fleet.report(Millis(20_000), report(epoch, true, false, true));
    let records = planned(&log, &fleet);
    let (hosts, _, basis) = formed(&records[0]);
    assert!(hosts.iter().all(|h| *h > 4));
    assert_eq!(basis, Basis::Alongside(epoch));
    assert_eq!(records[1], Body::DrainGroup { epoch });
}

#[test]
fn a_new_version_serves_before_the_old_one_stops() {
    let (mut log, mut t, _, old) = one_group(0);
    t.version = name("2");
    log.publish(&t);
    let mut fleet = fleet(&[]);
    let records = planned(&log, &fleet);
    assert_eq!(records.len(), 1, "the old group is left alone: {records:?}");
    assert_eq!(formed(&records[0]).2, Basis::Alongside(old));
    let new = Epoch(log.append(Author::System, records[0].clone()).unwrap().0);
    assert_eq!(planned(&log, &fleet), []);
    fleet.report(Millis(20_000), report(new, true, false, false));
    assert_eq!(planned(&log, &fleet), [Body::DrainGroup { epoch: old }]);
    log.append(Author::System, Body::DrainGroup { epoch: old }).unwrap();
    assert_eq!(planned(&log, &fleet), []);
    fleet.report(Millis(20_000), report(old, false, true, false));
    assert_eq!(planned(&log, &fleet), [Body::FreeGroup { epoch: old }]);
}

#[test]
fn a_change_of_limits_keeps_the_groups() {
    let (mut log, mut t, ..) = one_group(0);
    t.limits.concurrent = 7;
    t.priority = 9;
    log.publish(&t);
    assert_eq!(planned(&log, &fleet(&[])), []);
}

#[test]
fn what_a_partner_borrowed_is_given_back() {
    let mut log = Log::new();
    let shares = [(name("saffah"), 50), (name("sahel"), 50)].into();
    for p in ["saffah", "sahel"] {
        log.append(partner(p), Body::SetShares { shares: Clone::clone(&shares) }).unwrap();
    }
    let greedy = template("saffah", "assistant", 4, 0, 9);
    log.publish(&greedy);
    for record in planned(&log, &fleet(&[])) {
        log.append(Author::System, record).unwrap();
    }
    assert_eq!(log.pool.groups().count(), 4, "it borrows what the other leaves idle");
    let mut modest = template("sahel", "rehearsal", 4, 0, 1);
    modest.priority = 0;
    log.publish(&modest);
    let records = planned(&log, &fleet(&[]));
    assert!(matches!(records[..], [Body::DrainGroup { .. }]), "{records:?}");
}

#[test]
fn without_agreed_shares_nothing_is_taken_back() {
    let mut log = Log::new();
    log.publish(&template("saffah", "assistant", 4, 0, 9));
    for record in planned(&log, &fleet(&[])) {
        log.append(Author::System, record).unwrap();
    }
    let mut urgent = template("sahel", "rehearsal", 4, 0, 1);
    urgent.priority = 9;
    log.publish(&urgent);
    assert_eq!(planned(&log, &fleet(&[])), []);
}

#[test]
fn a_higher_priority_of_the_same_partner_gets_its_hosts() {
    let mut log = Log::new();
    let mut low = template("saffah", "batch", 4, 0, 4);
    low.priority = 1;
    log.publish(&low);
    for record in planned(&log, &fleet(&[])) {
        log.append(Author::System, record).unwrap();
    }
    log.publish(&template("saffah", "assistant", 4, 0, 1));
    let records = planned(&log, &fleet(&[]));
    assert!(matches!(records[..], [Body::DrainGroup { .. }]), "{records:?}");
}

#[test]
fn a_host_that_flaps_is_not_used_at_once() {
    let mut fleet = fleet(&[3]);
    assert!(!fleet.is_usable(HostId(3)));
    fleet.update_list(Millis(30_000), &listed(&[]));
    assert!(!fleet.is_usable(HostId(3)), "it has only just come back");
    fleet.update_list(Millis(33_000), &listed(&[]));
    assert!(fleet.is_usable(HostId(3)));
}

#[test]
fn a_large_domain_keeps_free_hosts_before_it_names_spares() {
    let spares_named = |hosts: u32| {
        let mut log = Log::new();
        log.publish(&template("saffah", "assistant", 8, 1, 5));
        let mut fleet = Fleet::new(FleetConfig::default());
        let line =
            |h| ListedHost { host: HostId(h), domain: DomainId(1), ..listed(&[])[0].clone() };
        fleet.update_list(Millis(0), &(1..=hosts).map(line).collect::<Vec<_>>());
        planned(&log, &fleet).iter().map(|r| formed(r).1.len()).sum::<usize>()
    };
    assert_eq!(spares_named(40), 0, "no host is left over");
    assert_eq!(spares_named(41), 0, "the only one left over is kept free");
    assert_eq!(spares_named(42), 1);
}
