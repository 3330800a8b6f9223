//! A gateway: an entry point that calls backend servers directly and forms replica groups itself.
//!
//! Gateways need only a metadata store and backend servers that check fencing tokens: no agent on
//! the hosts and no disk. The names and message formats of a platform are behind
//! [`dialect::Dialect`]; decisions are made in `oliveworks-gateway-core`.
//!
//! | module | contents |
//! |---|---|
//! | [`settings`] | the settings file |
//! | [`dialect`] | interface to the adapter of a platform |
//! | [`process`] | start and stop |
//! | `body`, `request_head` | bodies and heads of requests while they arrive |
//! | `memory_budget` | memory that all connections share for one purpose |
//! | `caller_connections` | open connections of callers, and their ends without an answer |
//! | `connection` | reads the requests of one connection and writes their answers |
//! | [`reload`] | logs changes in settings that are read again |
//! | `callers`, `relay` | accept requests and relay each one to backend servers |
//! | `exchange` | connections to backend servers and the store |
//! | `store` | calls to the platform's store |
//! | `eras` | era of the store, which changes when it is restored from a copy |
//! | `follow`, `sources` | follow a topic of the store, directly or through another gateway |
//! | `records` | processes the records of the topics |
//! | `missing` | removes backend servers that are missing from the list |
//! | `drains` | drains of failure domains |
//! | `versions` | configuration versions held by other gateways |
//! | `peer_replay` | serves the store's records to other gateways, and reads them from others |
//! | `table`, `places` | serving groups, and the destinations of requests |
//! | `planned_services` | services whose groups the leader does not plan, for operators |
//! | `obstacles` | reasons that make a place ineligible for a request |
//! | `slow_start` | cold backend servers and the limits on their load |
//! | `pending_send` | requests with a chosen backend server that are not sent yet |
//! | `rate_limits` | rate limits named by backend servers, and permits |
//! | `host_statements` | processes statements of hosts about themselves in their answers |
//! | `crashers` | requests that crash the backend servers they run at |
//! | `suspicions` | stalled and slow groups |
//! | `leader` | elections, and execution of the planner's commands |
//! | `takeover` | takes over the services that the configuration names |
//! | `calls` | limit on concurrent calls of a leader |
//! | `peers`, `heartbeat` | messages between gateways |
//! | `members` | gateways that share the limits on the sends of all gateways together |
//! | `state` | state shared by the modules |
//! | `events` | structured log lines |
//! | `timers` | timers that include the time in which the host was suspended |
//! | `readiness` | readiness checks and metrics for the platform |

mod body;
mod caller_connections;
mod callers;
mod calls;
mod connection;
mod counted_stream;
mod crashers;
pub mod dialect;
mod drains;
mod eras;
mod events;
mod exchange;
mod follow;
mod heartbeat;
mod host_statements;
mod leader;
mod members;
mod memory_budget;
mod missing;
mod obstacles;
mod peer_replay;
mod peers;
mod pending_send;
mod places;
mod planned_services;
pub mod process;
mod rate_limits;
mod readiness;
mod records;
mod relay;
pub mod reload;
mod request_head;
mod server_list;
pub mod settings;
mod slow_start;
mod sources;
mod state;
mod store;
mod suspicions;
mod table;
mod takeover;
mod timers;
mod versions;
