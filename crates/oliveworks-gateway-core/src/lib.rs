//! The decisions of a gateway, separate from the code that carries them out.
//!
//! A gateway is an entry point that calls backend servers directly. The gateways also form the
//! replica groups: one of them, the leader, issues the orders, and every order carries a fence that
//! backend servers check. Events and the time are inputs, commands are outputs; no code in this
//! crate reads a clock, opens a socket or draws a random number.
//!
//! Where a comment gives a *value*, it means the value of the served requests, as a fraction of the
//! value of all requests. A request is weighted by its kind and counts fully if its caller gets the
//! answer in time.
//!
//! | module | responsibility |
//! |---|---|
//! | [`configuration`] | the service of a request, and the workspace of its key |
//! | [`sources`] | which gateways read the store, and which gateway the others ask |
//! | [`read_cursor`] | the read position in a topic of the store, and the source of the next read |
//! | [`replay`] | replay of the store's recent records to other gateways |
//! | [`repeats`] | detection of records that are not new to other gateways |
//! | [`era`] | detection of a store that was restored from an older copy of its data |
//! | [`position`] | positions in a topic of the store, and the fence of a claim at a position |
//! | [`drains`] | failure domains that the operators drain |
//! | [`residency`] | regions that may serve a request |
//! | [`freshness`] | whether the configuration is recent enough to accept keys |
//! | [`versions`] | whether the store or this gateway lacks a version that others hold |
//! | [`caller_limits`] | limits on what callers may send, while configurations change them |
//! | [`backend_servers`] | state of backend servers according to the platform's records |
//! | [`missing`] | time after which backend servers that are missing from the list count as gone |
//! | [`listing`] | interval between reads of the list of backend servers |
//! | [`planner`] | which hosts form each replica group, and all orders |
//! | [`planners`] | the planner of each service, as the configuration changes |
//! | [`demand`] | share of the requests for each model that find a place |
//! | [`quota`] | number of groups of each model that every domain should hold |
//! | [`members`] | number of gateways that share a bound, and the share of this one |
//! | [`slow_start`] | share of a cold backend server's capacity that this gateway may use |
//! | [`speed`] | replica groups that run much slower than others |
//! | [`election`] | the gateway that issues orders |
//! | [`table`] | the groups that serve, and the propagation of changes to gateways |
//! | [`group_id`] | ids of groups among those of all services |
//! | [`fan_out`] | the gateways that a heartbeat is sent to |
//! | [`load_report`] | the outstanding requests that a heartbeat reports |
//! | [`incarnations`] | how long what was learned about a backend server is kept |
//! | [`backoff`] | backend servers that requested a backoff |
//! | [`rate_limits`] | total rate of all gateways to a backend server that announces a limit |
//! | [`obstacles`] | what excludes a request from a target, and the result if no target is left |
//! | [`suspensions`] | targets that are suspended because they make no progress |
//! | [`balance`] | the backend server or group that a request is sent to |
//! | [`locality`] | whether a request stays in its failure domain |
//! | [`returning`] | whether a caller has returned after a rejection |
//! | [`admission`] | share of a group's free capacity that this gateway may use |
//! | [`budget`] | whether a request may be retried |
//! | [`crashers`] | requests that crash their backend servers and are no longer sent |
//! | [`attempts`] | what follows a failed attempt, and the answer to the caller |
//! | [`changed_lines`] | the state lines that are logged |
//! | [`stop`] | what a stopping gateway does with requests, by the time since the stop began |
//! | [`timeliness`] | whether an answer was in time, and otherwise the cause of the delay |
//! | [`events`] | the events of a stream |
//! | [`event_order`] | events that are relayed, and whether another run may continue a stream |
//! | [`turn`] | how much of a peer's data is processed before other tasks run |
//! | [`evictions`] | connections that are closed when there are too many, or when memory runs out |
//! | [`arrivals`] | bounds on the bytes and the time of data that is of no use yet |

pub mod admission;
pub mod arrivals;
pub mod attempts;
pub mod backend_servers;
pub mod backoff;
pub mod balance;
pub mod budget;
pub mod caller_limits;
pub mod candidates;
pub mod changed_lines;
pub mod configuration;
pub mod crashers;
pub mod demand;
pub mod departures;
pub mod drains;
pub mod election;
pub mod era;
pub mod event_order;
pub mod events;
pub mod evictions;
pub mod fan_out;
pub mod freshness;
pub mod group_id;
pub mod incarnations;
pub mod introductions;
pub mod listing;
pub mod load_report;
pub mod locality;
pub mod members;
pub mod missing;
pub mod obstacles;
pub mod planner;
pub mod planners;
pub mod position;
pub mod quota;
pub mod rate_limits;
pub mod read_cursor;
pub mod repeats;
pub mod replay;
pub mod residency;
pub mod returning;
pub mod slow_start;
pub mod sources;
pub mod speed;
pub mod stop;
pub mod store_calls;
pub mod suspensions;
pub mod table;
pub mod timeliness;
pub mod turn;
pub mod versions;

/// A point on the process's steady clock, in milliseconds.
pub type Millis = u64;
