//! Pool: which records apply, which are ignored, and that every reader reaches the same state.

mod common;

use common::{Log, form, name, partner, template};
use oliveworks_core::id::{Epoch, HostId, Offset, RecordId};
use oliveworks_core::pool::{Pool, Snapshot};
use oliveworks_core::record::{Author, Basis, Body, Ignored, Record};
use proptest::prelude::*;
use test_case::test_case;

#[test]
fn a_partner_changes_its_own_workspaces_only() {
    let mut log = Log::new();
    let theirs = template("saffah", "assistant", 4, 0, 1);
    let body = Body::PublishTemplate { template: theirs.clone(), edits: None };
    assert_eq!(log.append(partner("sahel"), body.clone()), Err(Ignored::NoRight));
    assert_eq!(log.append(Author::System, body.clone()), Err(Ignored::NoRight));
    assert_eq!(log.append(partner("stranger"), body), Err(Ignored::NoRight));
    log.publish(&theirs);
    let withdraw = Body::WithdrawTemplate { key: theirs.key() };
    assert_eq!(log.append(partner("sahel"), withdraw), Err(Ignored::NoRight));
}

#[test]
fn a_partner_does_not_drain_the_others_hosts() {
    let mut log = Log::new();
    let t = template("saffah", "assistant", 4, 0, 1);
    let at = log.publish(&t);
    log.append(Author::System, form(&t, at, 0, &[1, 2, 3, 4], Basis::Fresh)).unwrap();
    let drain = Body::DrainHost { host: HostId(2) };
    assert_eq!(log.append(partner("sahel"), drain.clone()), Err(Ignored::NoRight));
    log.append(partner("saffah"), drain).unwrap();
    log.append(partner("sahel"), Body::DrainHost { host: HostId(9) }).unwrap();
}

#[test]
fn racing_publishers_are_ordered_and_the_loser_is_told() {
    let mut log = Log::new();
    let first = log.publish(&template("saffah", "assistant", 4, 0, 1));
    let mut edited = template("saffah", "assistant", 4, 0, 2);
    let edit = |t: &_, at| Body::PublishTemplate { template: Clone::clone(t), edits: Some(at) };
    log.append(partner("saffah"), edit(&edited, first)).unwrap();
    edited.replicas = 3;
    assert_eq!(log.append(partner("saffah"), edit(&edited, first)), Err(Ignored::Stale));
    assert_eq!(log.pool.template(&edited.key()).unwrap().template.replicas, 2);
}

#[test]
fn a_record_appended_twice_counts_once() {
    let mut log = Log::new();
    let body = Body::DrainHost { host: HostId(1) };
    let record = Record { id: RecordId(99), author: partner("saffah"), body };
    log.append_record(&record).unwrap();
    log.append(partner("saffah"), Body::RestoreHost { host: HostId(1) }).unwrap();
    assert_eq!(log.append_record(&record), Err(Ignored::Repeated));
    assert!(log.pool.drained().is_empty());
}

#[test_case(0, &[1, 2, 3, 4], Basis::Fresh, Ignored::SlotTaken; "the replica has a group")]
#[test_case(1, &[4, 5, 6, 7], Basis::Fresh, Ignored::HostNotFree(HostId(4)); "a host is taken")]
#[test_case(1, &[5, 5, 6, 7], Basis::Fresh, Ignored::HostNotFree(HostId(5)); "a host stands twice")]
#[test_case(1, &[5, 6, 7, 9], Basis::Fresh, Ignored::HostNotFree(HostId(9)); "a host is drained")]
#[test_case(2, &[5, 6, 7, 8], Basis::Fresh, Ignored::Missing; "no such replica")]
#[test_case(1, &[5, 6, 7], Basis::Fresh, Ignored::Invalid("the number of hosts".into()); "too few")]
#[test_case(1, &[5, 6, 7, 8], Basis::Supersedes(Epoch(77)), Ignored::Missing; "nothing to supersede")]
#[test_case(0, &[4, 5, 6, 7], Basis::Alongside(Epoch(2)), Ignored::HostNotFree(HostId(4)); "shares a host")]
fn a_group_that_does_not_fit_is_ignored(index: u16, hosts: &[u32], basis: Basis, why: Ignored) {
    let mut log = Log::new();
    let t = template("saffah", "assistant", 4, 0, 2);
    let at = log.publish(&t);
    log.append(partner("sahel"), Body::DrainHost { host: HostId(9) }).unwrap();
    log.append(Author::System, form(&t, at, 0, &[1, 2, 3, 4], Basis::Fresh)).unwrap();
    let before = log.pool.groups().count();
    assert_eq!(log.append(Author::System, form(&t, at, index, hosts, basis)), Err(why));
    assert_eq!(log.pool.groups().count(), before);
}

#[test]
fn a_decision_on_an_older_template_is_ignored() {
    let mut log = Log::new();
    let t = template("saffah", "assistant", 4, 0, 1);
    let old = log.publish(&t);
    log.publish(&t);
    let form = form(&t, old, 0, &[1, 2, 3, 4], Basis::Fresh);
    assert_eq!(log.append(Author::System, form), Err(Ignored::Stale));
}

#[test]
fn shares_count_once_both_partners_say_the_same() {
    let mut log = Log::new();
    let shares =
        |a, b| Body::SetShares { shares: [(name("saffah"), a), (name("sahel"), b)].into() };
    assert!(log.append(partner("saffah"), shares(60, 60)).is_err());
    log.append(partner("saffah"), shares(60, 40)).unwrap();
    assert_eq!(log.pool.share(&name("saffah")), None);
    log.append(partner("sahel"), shares(50, 50)).unwrap();
    assert_eq!(log.pool.share(&name("saffah")), None);
    log.append(partner("sahel"), shares(60, 40)).unwrap();
    assert_eq!(log.pool.share(&name("sahel")), Some(40));
}

#[test]
fn only_the_first_group_of_a_new_template_is_a_first_home() {
    let mut log = Log::new();
    let t = template("saffah", "assistant", 4, 0, 1);
    let at = log.publish(&t);
    let first = log.append(Author::System, form(&t, at, 0, &[1, 2, 3, 4], Basis::Fresh)).unwrap();
    assert!(log.pool.group(Epoch(first.0)).unwrap().first_home);
    let basis = Basis::Supersedes(Epoch(first.0));
    let second = log.append(Author::System, form(&t, at, 0, &[1, 2, 3, 5], basis)).unwrap();
    assert!(!log.pool.group(Epoch(second.0)).unwrap().first_home);
    log.append(partner("saffah"), Body::WithdrawTemplate { key: t.key() }).unwrap();
    let again = log.publish(&t);
    let basis = Basis::Supersedes(Epoch(second.0));
    let third = log.append(Author::System, form(&t, again, 0, &[1, 2, 3, 6], basis)).unwrap();
    assert!(!log.pool.group(Epoch(third.0)).unwrap().first_home);
}

#[test]
fn a_snapshot_that_was_changed_is_not_opened() {
    let mut log = Log::new();
    log.publish(&template("saffah", "assistant", 4, 0, 1));
    let good = Snapshot::of(&log.pool);
    assert_eq!(
        Snapshot::from_bytes(&good.to_bytes()).unwrap().into_verified_pool().unwrap(),
        log.pool
    );
    let bad = Snapshot { digest: good.digest ^ 1, ..good };
    assert!(bad.into_verified_pool().is_err());
}

/// Generates records of any kind, most of which are not valid at their position.
fn any_body() -> impl Strategy<Value = (Author, Body)> {
    let author = prop_oneof![Just(partner("saffah")), Just(partner("sahel")), Just(Author::System)];
    let hosts = prop::collection::vec(1u32..14, 4..6);
    let basis = (0u64..40).prop_flat_map(|e| {
        prop_oneof![
            Just(Basis::Fresh),
            Just(Basis::Supersedes(Epoch(e))),
            Just(Basis::Alongside(Epoch(e)))
        ]
    });
    let body = (0u8..7, hosts, basis, 0u64..40, 0u16..3, any::<bool>()).prop_map(
        |(kind, hosts, basis, offset, index, ours)| {
            let owner = if ours { "saffah" } else { "sahel" };
            let t = template(owner, "assistant", 4, 1, index + 1);
            match kind {
                0 => Body::PublishTemplate { template: t, edits: None },
                1 => Body::WithdrawTemplate { key: t.key() },
                2 => Body::DrainHost { host: HostId(hosts[0]) },
                3 => Body::RestoreHost { host: HostId(hosts[0]) },
                4 => Body::DrainGroup { epoch: Epoch(offset) },
                5 => Body::FreeGroup { epoch: Epoch(offset) },
                _ => form(&t, Offset(offset), index, &hosts, basis),
            }
        },
    );
    (author, body)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_reader_comes_to_the_same_pool(records in prop::collection::vec(any_body(), 1..60), cut in 0usize..60) {
        let mut log = Log::new();
        let all: Vec<Record> = records
            .into_iter()
            .enumerate()
            .map(|(i, (author, body))| Record { id: RecordId(i as u128), author, body })
            .collect();
        let mut from_snapshot: Option<Pool> = None;
        for (i, record) in all.iter().enumerate() {
            // A reader that starts from a snapshot and applies the rest reaches the same state.
            if i == cut {
                from_snapshot = Some(Snapshot::of(&log.pool).into_verified_pool().unwrap());
            }
            let _ = log.append_record(record);
            if let Some(pool) = &mut from_snapshot {
                let _ = pool.apply(Offset(i as u64), record);
                prop_assert_eq!(pool.digest(), log.pool.digest());
            }
        }
    }
}
