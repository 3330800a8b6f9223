//! Decision logic of oliveworks, without I/O.
//!
//! Events and the current time are inputs, commands are outputs. Nothing here reads a clock, opens
//! a socket or draws a random number of its own, so every decision can be replayed from a seed. The
//! processes own these types, and adapters translate between them and the outside.
//!
//! | module | decides |
//! |---|---|
//! | [`pool`] | the state that results from all records of the log |
//! | [`placement`], [`fleet`], [`decider`] | which hosts form which group, and which entry decides |
//! | [`lease`], [`agent`] | whether a group is complete, and which host leads it |
//! | [`ledger`] | whether a request runs |
//! | [`relay`], [`answer`] | whether a request is retried, and whether an answer is complete |
//! | [`route`], [`admit`], [`retry`] | to which group a request is sent, when, and how often |
//! | [`feed`] | from which source a process reads records |
//! | [`error`] | which error a caller receives |
//!
//! # Example
//! Two records form a replica group. A third record that takes one of its hosts is ignored.
//!
//! ```
//! use oliveworks_core::id::{DomainId, HostId, Name, Offset, RecordId};
//! use oliveworks_core::pool::Pool;
//! use oliveworks_core::record::{Author, Basis, Body, Ignored, Record};
//! use oliveworks_core::template::{SlotId, Template};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let saffah = Name::new("saffah")?;
//! let mut pool = Pool::new([saffah.clone()]);
//! let template = Template {
//!     partner: saffah.clone(),
//!     workspace: Name::new("dispatch")?,
//!     name: Name::new("assistant")?,
//!     kind: Default::default(),
//!     model: Name::new("courier")?,
//!     adapter: None,
//!     version: Name::new("1")?,
//!     role: Default::default(),
//!     hosts: 4,
//!     spares: 0,
//!     replicas: 2,
//!     priority: 5,
//!     repeatable: true,
//!     limits: Default::default(),
//! };
//! let key = template.key();
//! let publish = Body::PublishTemplate { template, edits: None };
//! let record = |id, author, body| Record { id: RecordId(id), author, body };
//! pool.apply(Offset(0), &record(1, Author::Partner(saffah), publish)).unwrap();
//!
//! let form = |index, first: u32| Body::FormGroup {
//!     slot: SlotId { template: key.clone(), index },
//!     template_at: Offset(0),
//!     domain: DomainId(1),
//!     hosts: (first..first + 4).map(HostId).collect(),
//!     spares: vec![],
//!     addresses: vec![([127, 0, 0, 1], 7000).into(); 4],
//!     basis: Basis::Fresh,
//! };
//! pool.apply(Offset(1), &record(2, Author::System, form(0, 1))).unwrap();
//! let ignored = pool.apply(Offset(2), &record(3, Author::System, form(1, 4)));
//! assert_eq!(ignored, Err(Ignored::HostNotFree(HostId(4))));
//! # Ok(())
//! # }
//! ```
//!
//! # Cost and untrusted input
//! Applying a record takes time logarithmic in the size of the pool. A plan takes time proportional
//! to the number of hosts times the number of replicas that it forms. Records reach this crate only
//! after their signatures were verified. Their content is checked here, alike in every process.

pub mod admit;
pub mod agent;
pub mod answer;
pub mod chart;
pub mod charts;
pub mod decider;
pub mod error;
pub mod feed;
pub mod fleet;
pub mod id;
pub mod lease;
pub mod ledger;
pub mod message;
pub mod placement;
pub mod pool;
pub mod record;
pub mod relay;
pub mod retry;
pub mod route;
pub mod template;
