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
//! | `connection` | reads requests of one connection and writes their answers |
//! | [`reload`] | tells what has changed in settings that are read again |
//! | `callers`, `relay` | take requests, and see each to its answer |
//! | `exchange` | one connection to a backend server or the store |
//! | `store` | calls to the platform's store |
//! | `eras` | which copy of itself the store answers from |
//! | `follow`, `sources` | follow a topic of the store, through it or another gateway |
//! | `records`, `missing` | take in what the topics tell |
//! | `drains` | drains of failure domains |
//! | `versions` | versions of the configuration that other gateways hold |
//! | `passing` | passes the store's records on to other gateways |
//! | `table`, `places` | groups that serve, and where requests can be sent |
//! | `obstacles` | what keeps a request from a place |
//! | `slow_start` | cold backend servers, and what they are sent |
//! | `pending_send` | requests that were given to a backend server and are not sent yet |
//! | `rate_limits` | backend servers that name a rate limit, and what they are sent |
//! | `host_says` | takes in what hosts say of themselves in their answers |
//! | `crashers` | requests that crash the backend servers they run at |
//! | `suspicions` | groups that stand still or run slowly |
//! | `leader` | gives the planner's orders |
//! | `calls` | how many calls a leader makes at once |
//! | `peers`, `heartbeat` | tells the other gateways, and hears them |

mod callers;
mod calls;
mod connection;
mod crashers;
pub mod dialect;
mod drains;
mod eras;
mod events;
mod exchange;
mod follow;
mod heartbeat;
mod host_says;
mod leader;
mod members;
mod missing;
mod obstacles;
mod passing;
mod peers;
mod pending_send;
mod places;
pub mod process;
mod rate_limits;
mod readiness;
mod records;
mod relay;
pub mod reload;
pub mod settings;
mod slow_start;
mod sources;
mod state;
mod store;
mod suspicions;
mod table;
mod timers;
mod versions;
