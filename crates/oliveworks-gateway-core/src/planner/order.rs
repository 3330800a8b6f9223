//! Inputs and outputs of the planner.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::backend_servers::{BackendServerId, Born};

/// Order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Join a group.
    Join {
        /// Name of the group.
        group: String,
        /// Epoch of the group.
        epoch: u64,
        /// Model that the group serves.
        model: String,
        /// All members, the head first.
        members: Vec<BackendServerId>,
    },
    /// Open the group. Sent to the head, which then serves requests.
    Open {
        /// Name of the group.
        group: String,
        /// Epoch of the group.
        epoch: u64,
    },
    /// Close the group. Sent to the head, which finishes the requests that it accepted and accepts
    /// no more.
    Close {
        /// Name of the group.
        group: String,
        /// Epoch of the group.
        epoch: u64,
    },
    /// Load a model to the host's memory. Does not affect the group of the host.
    Stage {
        /// Model to load.
        model: String,
    },
    /// Leave a group.
    Leave {
        /// Name of the group.
        group: String,
        /// Epoch of the group.
        epoch: u64,
    },
}

/// Action that the planner requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send an order. Its outcome is passed to
    /// [`Planner::handle_order_outcome`](super::Planner::handle_order_outcome).
    Order {
        /// Backend server that receives the order.
        server: BackendServerId,
        /// Address on which the backend server listens.
        address: SocketAddr,
        /// Order to send.
        order: Order,
        /// Number of orders that the backend server must have begun so far in order to accept this
        /// order; `None` if the number does not matter. A backend server that has begun another
        /// order since its last report is not in the state with which the leader plans.
        expects: Option<u64>,
    },
    /// Request the state of a backend server. The answer is passed to
    /// [`Planner::handle_report`](super::Planner::handle_report) or
    /// [`Planner::handle_probe_failure`](super::Planner::handle_probe_failure).
    Probe {
        /// Backend server to probe.
        server: BackendServerId,
        /// Address on which the backend server listens.
        address: SocketAddr,
    },
}

impl Order {
    /// Whether the order adds a host to a group or lets a head serve. Such an order puts hosts into
    /// two groups if a host carries it out in another state than the leader knows.
    pub(super) fn is_bound(&self) -> bool {
        matches!(self, Order::Join { .. } | Order::Open { .. })
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The host has begun the order and counts it among the orders that it has begun.
    Begun,
    /// The host is in the ordered state already, or the order is complete.
    Holds,
    /// The order does not fit the backend server's state.
    Unfit,
    /// The backend server has seen a higher fence or epoch.
    Fenced,
    /// Another backend server is at that address, or none.
    Gone,
    /// No answer arrived. The order may have been accepted, or may be accepted later.
    Unanswered,
}

/// Reason why a probe returned no state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// The address refuses connections, since nothing listens there.
    Refused,
    /// No connection could be opened in time: the host is down or cut off.
    Unreachable,
    /// A connection was opened, but no valid answer arrived in time. The host runs, and its process
    /// may only pause.
    Unanswered,
}

/// A serving group as gateways need to know it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingGroup {
    /// Epoch of the group.
    pub epoch: u64,
    /// Model that the group serves.
    pub model: String,
    /// Members of the group, the head first.
    pub members: Vec<BackendServerId>,
    /// Pace of the group, as a factor on the usual time; 1 is usual.
    pub pace: f64,
    /// Start time of the head's incarnation, as far as is known.
    pub head_born: Option<Born>,
}

/// Load of a model's groups as observed by all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelLoad {
    /// Requests in flight per slot of the groups that serve.
    pub open_per_slot: f64,
    /// Fraction of the requests of the last seconds that found no slot, from 0 to 1.
    pub refused_part: f64,
}

/// Settings of the planner's decisions. docs/POLICY.md holds the measured effect of each setting
/// and how far it may be off.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlannerConfig {
    /// Maximum percentage of a domain's hosts that is kept as spares. 10 % instead of the default
    /// of 20 % serves equally well.
    pub spare_percent: usize,
    /// Time for which a group that is to end still accepts requests that are on their way, in ms:
    /// the time within which all gateways learn of the end.
    pub notice_ms: u64,
    /// Maximum time that a group may take to finish its requests, in ms. Longer than most answers
    /// take.
    pub finish_ms: u64,
    /// Time for which a domain's hosts must have been unchanged before free hosts load a model as
    /// spares, or hosts that must load a model join a group during traffic, in ms. The next read of
    /// the list may bring a host that completes a group.
    pub settle_ms: u64,
    /// Number of hosts of a domain with a second staged model, beyond which none is staged during
    /// traffic: as many as repair a group of four.
    pub staged_max: usize,
    /// Percentage of the loads that run at full speed beyond which nothing is staged during
    /// traffic; 0 stages nothing then.
    pub staging_percent: usize,
    /// Whether the first spare of each domain holds the largest model.
    pub first_spare_largest: bool,
    /// Whether hosts that wait for others to form a large group serve a crowded model in the
    /// meantime.
    pub waiting_serve: bool,
    /// Whether a small group is preempted for a large one that is busier, even if fewer small ones
    /// remain than the quota asks for.
    pub yields_by_load: bool,
    /// Whether the target shares of the hosts follow the demand for each model.
    pub follows_callers: bool,
    /// Demand per group (1 fills all its slots) above which spares that hold a model serve it.
    pub busy_load: f64,
    /// Demand per group above which a model gets hosts that are reserved or wait for another model,
    /// because its groups would soon refuse requests.
    pub crowded_load: f64,
    /// Margin by which a model's demand per group must exceed that of another model whose group is
    /// preempted for it. The change costs some seconds of both groups.
    pub yield_margin: f64,
}

impl Default for PlannerConfig {
    fn default() -> PlannerConfig {
        PlannerConfig {
            spare_percent: 20,
            notice_ms: 60,
            finish_ms: 9_000,
            settle_ms: 300,
            staged_max: 4,
            staging_percent: 100,
            first_spare_largest: true,
            waiting_serve: true,
            yields_by_load: true,
            follows_callers: true,
            busy_load: 0.5,
            crowded_load: 0.65,
            yield_margin: 0.1,
        }
    }
}
