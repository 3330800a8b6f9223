//! Messages of the lease protocol between agents.

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, HostId, View};
use crate::lease::GrantRefusal;

/// Message from one agent to another. Messages may be lost, duplicated or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMsg {
    /// A leader asks a member of its view for a promise.
    Ask {
        /// Epoch.
        epoch: Epoch,
        /// View.
        view: View,
        /// Rank of the receiver in the view.
        rank: u16,
        /// Sequence number among the asks of this host, with an arbitrary start.
        seq: u64,
    },
    /// A member promises.
    Grant {
        /// Epoch.
        epoch: Epoch,
        /// View.
        view: View,
        /// Sequence number of the ask that this message answers.
        seq: u64,
        /// Whether the member's engine is ready for this view.
        ready: bool,
        /// Whether the member is about to leave.
        leaving: bool,
    },
    /// A member refuses to promise.
    Refuse {
        /// Epoch of the ask.
        epoch: Epoch,
        /// View of the ask.
        view: View,
        /// Reason for the refusal.
        why: GrantRefusal,
        /// Highest view of this epoch that the member knows.
        highest: View,
    },
    /// A leader informs a host of the group outside its view that the view is in use.
    Beat {
        /// Epoch.
        epoch: Epoch,
        /// View.
        view: View,
    },
    /// A leader returns its promises, because it no longer serves in this view.
    Release {
        /// Epoch.
        epoch: Epoch,
        /// View.
        view: View,
    },
}

/// Fencing token of an order to an engine. Fences compare by epoch, then by view. An engine that
/// checks fences refuses an order whose fence is lower than one it has seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Offset of the epoch plus one. Zero is below every epoch.
    pub epoch: u64,
    /// View.
    pub view: u32,
}

impl Fence {
    /// Returns the fence of a view.
    pub fn new(epoch: Epoch, view: View) -> Fence {
        Fence { epoch: epoch.0 + 1, view: view.0 }
    }
}

/// Order of an agent to its own backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineOrder {
    /// Stop the work of older fences.
    Withdraw {
        /// Fence up to which work stops.
        fence: Fence,
    },
    /// Load these weights and serve with this rank in the replica. Weights that are already loaded
    /// are kept.
    Bind {
        /// Fence of the order.
        fence: Fence,
        /// Digest of the weights.
        weights: u64,
        /// Rank of this host.
        rank: u16,
        /// Number of hosts of the replica.
        width: u16,
    },
}

impl EngineOrder {
    /// Returns the fence of the order.
    pub fn fence(&self) -> Fence {
        match self {
            EngineOrder::Withdraw { fence } | EngineOrder::Bind { fence, .. } => *fence,
        }
    }
}

/// Report of an agent to the decider about its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// Epoch of the group.
    pub epoch: Epoch,
    /// Reporting host: the leader, or a host that tries to lead.
    pub from: HostId,
    /// View.
    pub view: View,
    /// Whether the group serves.
    pub serving: bool,
    /// Members that do not answer.
    pub lost: Vec<HostId>,
    /// Whether a member is about to leave.
    pub leaving: bool,
    /// Whether the group is draining and no request runs any more.
    pub drained: bool,
}
