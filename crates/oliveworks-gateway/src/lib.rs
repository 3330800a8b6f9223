//! A gateway: an entry that calls backend servers directly and forms replica groups itself.
//!
//! Gateways need nothing beside them but a metadata store and backend servers that check fences:
//! no agent on the hosts, no disk. What a platform calls things, and how its calls look, is behind
//! [`dialect::Dialect`]; what is decided is in `oliveworks-gateway-core`.
//!
//! | module | does |
//! |---|---|
//! | [`settings`] | the settings file |
//! | [`dialect`] | what a platform's adapter must say |
//! | [`process`] | starts and stops everything |
//! | `callers`, `relay` | take requests, and see each to its answer |
//! | `exchange` | one connection to a backend server or the store |
//! | `store` | follows the platform's records |
//! | `leader` | gives the planner's orders |
//! | `peers` | tells the other gateways, and hears them |

mod callers;
pub mod dialect;
mod events;
mod exchange;
mod leader;
mod peers;
pub mod process;
mod readiness;
mod relay;
pub mod settings;
mod state;
mod store;
