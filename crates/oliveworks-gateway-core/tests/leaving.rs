//! Tests of backend servers that report in answers that they leave.

use oliveworks_gateway_core::backend_servers::{BackendServer, Born, Directory, Holding};

fn record(born: u64, number: u64) -> BackendServer {
    BackendServer {
        id: "h1".into(),
        service: "lm".into(),
        address: "127.0.0.1:80".parse().expect("an address"),
        failure_domain: "a".into(),
        domain: "a-d0".into(),
        slots: 8,
        draining: false,
        cold_ms: 0,
        number: Some(number),
        holding: Holding { born: Some(Born(born)), ..Holding::default() },
    }
}

fn is_leaving(directory: &Directory) -> bool {
    directory.get("h1").is_some_and(|server| server.draining)
}

/// The record of a leaving server may be written later and lack that state, because the state
/// reaches the store late or never.
#[test]
fn records_of_the_same_incarnation_do_not_revoke_leaving() {
    let mut directory = Directory::default();
    directory.put(record(5, 1));
    assert!(directory.leaves("h1", Some(Born(5))));
    assert!(!directory.leaves("h1", Some(Born(5))), "the state is already known");
    directory.put(record(5, 9));
    assert!(is_leaving(&directory));
    directory.remove("h1");
    directory.put(record(5, 10));
    assert!(is_leaving(&directory), "also if its entry expired meanwhile");
}

#[test]
fn a_later_incarnation_is_not_leaving() {
    let mut directory = Directory::default();
    directory.put(record(5, 1));
    directory.leaves("h1", Some(Born(5)));
    directory.put(record(6, 1));
    assert!(!is_leaving(&directory));
}

/// An answer of an earlier incarnation is read after the record of the next incarnation, for
/// example because this process was paused.
#[test]
fn an_answer_of_an_earlier_incarnation_is_ignored() {
    let mut directory = Directory::default();
    directory.put(record(6, 1));
    assert!(!directory.leaves("h1", Some(Born(5))));
    assert!(!is_leaving(&directory));
}
