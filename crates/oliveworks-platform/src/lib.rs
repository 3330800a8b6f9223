//! Clients of the platform and of backend servers, and signatures of records.
//!
//! Only these modules have to change when the users' own platform and engines replace the
//! stand-ins.
//!
//! ```
//! use oliveworks_core::record::{Author, Body, Record};
//! use oliveworks_core::id::{HostId, Name, RecordId};
//! use oliveworks_platform::sign::{KeyRing, SigningKey};
//!
//! let key = SigningKey::generate().unwrap();
//! let saffah = Name::new("saffah").unwrap();
//! let record = Record {
//!     id: RecordId(1),
//!     author: Author::Partner(saffah.clone()),
//!     body: Body::DrainHost { host: HostId(3) },
//! };
//! let signed = key.sign(&record).unwrap();
//! let ring = KeyRing::new([(Author::Partner(saffah), key.public_hex())]).unwrap();
//! assert_eq!(ring.open(&signed).unwrap(), record);
//! ```
//!
//! Verifying a signature takes some tens of microseconds. Answers of the log, of the host list and
//! of engines are untrusted input, and their sizes are limited.

pub mod client;
pub mod engine;
pub mod sign;
