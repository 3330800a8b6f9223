//! Messages between oliveworks processes over QUIC with mutual TLS.
//!
//! Lease messages are sent as datagrams, because a late lease message is useless. All other
//! communication consists of questions, each on a stream of its own and answered by one or more
//! replies. A process without a certificate signed by the fleet's authority cannot connect. A
//! process is identified by its certificate, regardless of what its messages claim.
//!
//! ```
//! use oliveworks_net::keys::Authority;
//!
//! let authority = Authority::generate().unwrap();
//! let issued = authority.issue("host-7").unwrap();
//! assert!(issued.cert.contains("BEGIN CERTIFICATE"));
//! ```
//!
//! A frame has at most [`frame::FRAME_MAX`] bytes. A larger frame ends its stream. Data from peers
//! is decoded as untrusted input, but a peer with a valid key can still use up time and memory
//! within the limits of its streams.

pub mod frame;
pub mod keys;
pub mod net;
pub mod wire;
