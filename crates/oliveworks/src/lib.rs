//! oliveworks serves models whose replicas span several hosts, for partners who share hosts.
//!
//! This crate is a facade: it re-exports the types that are usually needed by programs that embed
//! oliveworks and by separate tools. The executables `oliveworks-entry`, `oliveworks-agent` and
//! `oliveworksctl` are separate crates, and each library crate can also be used alone.
//!
//! | contents | crate |
//! |---|---|
//! | decisions without I/O | [`core`] |
//! | signed records, platform, backend servers | [`platform`] |
//! | messages between processes | [`net`] |
//! | updates of the pool from the log | [`feed`] |
//! | settings, logs, metrics, timeline | [`runtime`] |
//!
//! # Example
//! Replay of a log in a program: records are applied in order, and all readers ignore the same
//! invalid records.
//!
//! ```
//! use oliveworks::{Author, Body, HostId, Ignored, Name, Offset, Pool, Record, RecordId};
//!
//! let saffah = Name::new("saffah").unwrap();
//! let mut pool = Pool::new([saffah]);
//! let record = Record {
//!     id: RecordId(1),
//!     author: Author::Partner(Name::new("stranger").unwrap()),
//!     body: Body::DrainHost { host: HostId(3) },
//! };
//! assert_eq!(pool.apply(Offset(0), &record), Err(Ignored::NoRight));
//! assert_eq!(pool.next(), Offset(1));
//! ```
//!
//! # Cost and untrusted input
//! The pool of 4,100 hosts takes about 1 MB; `docs/CAPACITY.md` contains the measured figures.
//! Records must be opened with [`platform::sign::KeyRing`] before they are applied, because the
//! pool checks the content of a record but not its signature.

pub use oliveworks_core as core;
pub use oliveworks_feed as feed;
pub use oliveworks_net as net;
pub use oliveworks_platform as platform;
pub use oliveworks_runtime as runtime;

pub use oliveworks_core::error::{ErrorKind, Ran, Refusal};
pub use oliveworks_core::id::{Epoch, HostId, Name, Offset, RecordId, RequestId};
pub use oliveworks_core::pool::{Pool, Snapshot};
pub use oliveworks_core::record::{Author, Body, Ignored, Record};
pub use oliveworks_core::template::{Template, Workspace};
