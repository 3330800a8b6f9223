//! Tests of records of backend servers that arrive in any order.

use std::net::SocketAddr;

use oliveworks_gateway_core::backend_servers::{BackendServer, Born, Directory, Holding};
use test_case::test_case;

fn record(number: Option<u64>, draining: bool) -> BackendServer {
    BackendServer {
        id: "a".into(),
        service: "lm".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        failure_domain: "a".into(),
        domain: "a".into(),
        slots: 34,
        draining,
        cold_ms: 0,
        number,
        holding: Holding::default(),
    }
}

/// Guards against requests to a leaving host: a store that has lost its history returns again the
/// records that the host wrote before it began to leave, and a gateway sent requests to the host.
#[test_case(record(Some(7), true), record(Some(6), false), true; "an older record")]
#[test_case(record(None, true), record(None, false), true; "one that does not count its records still leaves")]
#[test_case(record(Some(7), false), record(Some(8), true), true; "a newer record")]
#[test_case(record(Some(7), false), record(Some(6), true), false; "a record that was overtaken")]
fn a_host_that_leaves_never_comes_back(
    first: BackendServer,
    second: BackendServer,
    draining: bool,
) {
    let mut directory = Directory::default();
    directory.put(first);
    directory.put(second);
    assert_eq!(directory.get("a").map(|server| server.draining), Some(draining));
}

/// The host began to leave in an earlier incarnation and is back in a later one.
#[test_case(2, Some(1), false; "a later life, whose records count anew")]
#[test_case(1, Some(9), true; "an earlier life")]
fn a_later_life_replaces_an_earlier_one(born: u64, number: Option<u64>, draining: bool) {
    let mut directory = Directory::default();
    let incarnation = |born| Holding { born: Some(Born(born)), ..Holding::default() };
    directory.put(BackendServer { holding: incarnation(1), ..record(Some(7), true) });
    let next = BackendServer { holding: incarnation(born), ..record(number, false) };
    assert_eq!(directory.put(next), !draining);
    assert_eq!(directory.get("a").map(|server| server.draining), Some(draining));
}

/// A record in which only the number differs changes nothing, but its number is used to recognize
/// an older record.
#[test]
fn a_repeated_record_is_no_news() {
    let mut directory = Directory::default();
    assert!(directory.put(record(Some(1), false)));
    assert!(!directory.put(record(Some(5), false)));
    assert!(!directory.put(BackendServer { slots: 9, ..record(Some(4), false) }));
    assert!(directory.put(BackendServer { slots: 9, ..record(Some(6), false) }));
}
