//! The decisions of a gateway, apart from everything that does them.
//!
//! A gateway is an entry that calls backend servers directly. Gateways form the replica groups
//! themselves: one of them, the leader, gives the orders, and every order carries a fence that
//! backend servers check. Events and the time go in, commands come out; nothing here reads a
//! clock, opens a socket or draws a random number.
//!
//! | module | decides |
//! |---|---|
//! | [`configuration`] | which service a request belongs to, and whose key it carries |
//! | [`sources`] | which gateways read the store, and whom the others ask |
//! | [`following`] | from where on a topic of the store is read, and through whom |
//! | [`passing`] | what one gateway tells another of the store's records |
//! | [`repeats`] | which records tell other gateways nothing new |
//! | [`era`] | which copy of itself the store answers from |
//! | [`place`] | what a place in a topic of the store means, and the fence of a claim there |
//! | [`drains`] | which failure domains get no requests, by the operators' word |
//! | [`residency`] | which regions may serve a request |
//! | [`freshness`] | whether the configuration is young enough to honour keys |
//! | [`versions`] | whether the store, or this gateway, lacks a version that others know |
//! | [`backend_servers`] | what the platform's records say of backend servers |
//! | [`missing`] | when backend servers that are missing from the list are gone |
//! | [`listing`] | how soon the list of backend servers is read again |
//! | [`planner`] | which hosts form each replica group, and every order |
//! | [`demand`] | how many requests for a model find a place |
//! | [`quota`] | how many groups of each model every domain should hold |
//! | [`members`] | how many gateways share a bound, and which part of it is this one's |
//! | [`slow_start`] | how much of what a cold backend server bears this gateway may send it |
//! | [`speed`] | which replica groups run much slower than others |
//! | [`election`] | which gateway gives orders |
//! | [`table`] | which groups serve, and how gateways hear of changes |
//! | [`fan_out`] | which gateways a heartbeat goes to |
//! | [`telling`] | what a heartbeat tells of open requests |
//! | [`backoff`] | which backend servers are left alone, since they asked for it |
//! | [`rate_limits`] | what all gateways together send a backend server that names a limit |
//! | [`obstacles`] | what keeps a request from a place, and what follows if it has none |
//! | [`suspensions`] | which places get nothing, since they stand still |
//! | [`balance`] | where a request goes |
//! | [`locality`] | whether a request stays in its failure domain |
//! | [`returning`] | whether a caller has come back after a refusal |
//! | [`admission`] | how much of what a group has free this gateway may take |
//! | [`budget`] | whether a request may be sent once more |
//! | [`crashers`] | which requests crash their backend servers, and are sent nowhere |
//! | [`attempts`] | what follows a failed attempt, and what the caller is told |
//! | [`changed_lines`] | which lines on a state are told |
//! | [`timeliness`] | whether an answer came in time, and if not, why |
//! | [`events`] | which bytes of a stream may be passed on |

pub mod admission;
pub mod attempts;
pub mod backend_servers;
pub mod backoff;
pub mod balance;
pub mod budget;
pub mod changed_lines;
pub mod configuration;
pub mod crashers;
pub mod demand;
pub mod drains;
pub mod election;
pub mod era;
pub mod events;
pub mod fan_out;
pub mod following;
pub mod freshness;
pub mod listing;
pub mod locality;
pub mod members;
pub mod missing;
pub mod obstacles;
pub mod passing;
pub mod place;
pub mod planner;
pub mod quota;
pub mod rate_limits;
pub mod repeats;
pub mod residency;
pub mod returning;
pub mod slow_start;
pub mod sources;
pub mod speed;
pub mod suspensions;
pub mod table;
pub mod telling;
pub mod timeliness;
pub mod versions;

/// A point on the process's steady clock, in milliseconds.
pub type Millis = u64;
