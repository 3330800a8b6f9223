//! Signatures: records and snapshots are accepted only under the keys of their authors.

use oliveworks_core::id::{HostId, Name, RecordId};
use oliveworks_core::pool::{Pool, Snapshot};
use oliveworks_core::record::{Author, Body, Record};
use oliveworks_platform::sign::{KeyRing, SigningKey, from_hex, to_hex, token_digest};
use test_case::test_case;

fn partner(text: &str) -> Author {
    Author::Partner(Name::new(text).unwrap())
}

fn record(author: Author) -> Record {
    Record { id: RecordId(u128::MAX), author, body: Body::DrainHost { host: HostId(3) } }
}

fn fleet() -> (SigningKey, SigningKey, KeyRing) {
    let (saffah, system) = (SigningKey::generate().unwrap(), SigningKey::generate().unwrap());
    let keys = [(partner("saffah"), saffah.public_hex()), (Author::System, system.public_hex())];
    let ring = KeyRing::new(keys).unwrap();
    (saffah, system, ring)
}

#[test]
fn a_record_is_believed_under_its_authors_key_only() {
    let (saffah, system, ring) = fleet();
    let own = record(partner("saffah"));
    assert_eq!(ring.open(&saffah.sign(&own).unwrap()).unwrap(), own);
    // The system cannot sign records of a partner, and a partner cannot sign records of the system
    // or of another partner.
    assert!(ring.open(&system.sign(&own).unwrap()).is_err());
    assert!(ring.open(&saffah.sign(&record(Author::System)).unwrap()).is_err());
    assert!(ring.open(&saffah.sign(&record(partner("sahel"))).unwrap()).is_err());
}

#[test_case("host-3", "host-4"; "another text")]
#[test_case("3", "4"; "another host")]
#[test_case("\"sig\":\"", "\"sig\":\"00"; "another signature")]
#[test_case("{", "["; "not JSON")]
fn a_changed_record_is_not_believed(part: &str, changed: &str) {
    let (saffah, _, ring) = fleet();
    let text = saffah.sign(&record(partner("saffah"))).unwrap();
    let bad = text.replacen(part, changed, 1);
    if bad != text {
        assert!(ring.open(&bad).is_err(), "{bad}");
    }
}

#[test]
fn a_snapshot_is_believed_under_the_systems_key_only() {
    let (saffah, system, ring) = fleet();
    let snapshot = Snapshot::of(&Pool::new([Name::new("saffah").unwrap()]));
    let good = system.sign_snapshot(&snapshot).unwrap();
    assert_eq!(ring.open_snapshot(&good).unwrap(), snapshot);
    assert!(ring.open_snapshot(&saffah.sign_snapshot(&snapshot).unwrap()).is_err());
    for at in [0, good.len() / 2, good.len() - 1] {
        let mut bad = good.clone();
        bad[at] ^= 1;
        assert!(ring.open_snapshot(&bad).is_err(), "byte {at}");
    }
    assert!(ring.open_snapshot(&[]).is_err());
}

#[test]
fn keys_are_checked_when_they_are_read() {
    assert!(KeyRing::new([(Author::System, "zz".to_owned())]).is_err());
    assert!(KeyRing::new([(Author::System, "00".to_owned())]).is_err());
    assert!(SigningKey::from_hex("00").is_err());
    let key = SigningKey::generate().unwrap();
    assert_eq!(SigningKey::from_hex(&key.to_hex()).unwrap().public_hex(), key.public_hex());
    assert_eq!(from_hex(&to_hex(&[0, 255, 7])).unwrap(), [0, 255, 7]);
    assert!(from_hex("é").is_err());
    assert_eq!(token_digest("a").len(), 64);
}
