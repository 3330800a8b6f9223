//! What goes into a planner's decisions and what comes out.

use std::net::SocketAddr;

use crate::workers::WorkerId;

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Become a member of a group.
    Join {
        /// The group's name.
        group: String,
        /// The group's epoch.
        epoch: u64,
        /// The model.
        model: String,
        /// All members, the head first.
        members: Vec<WorkerId>,
    },
    /// To a head: serve.
    Open {
        /// The group's name.
        group: String,
        /// The group's epoch.
        epoch: u64,
    },
    /// To a head: finish what was taken and serve no more.
    Close {
        /// The group's name.
        group: String,
        /// The group's epoch.
        epoch: u64,
    },
    /// Load a model to the host's memory, beside everything else.
    Stage {
        /// The model.
        model: String,
    },
    /// Be no member any more.
    Leave {
        /// The group's name.
        group: String,
        /// The group's epoch.
        epoch: u64,
    },
}

/// What the planner wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Give an order; its outcome comes back through [`Planner::ordered`](super::Planner::ordered).
    Order {
        /// To whom.
        worker: WorkerId,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Ask for its state; the answer comes back through [`Planner::reported`](super::Planner::reported) or
    /// [`Planner::silent`](super::Planner::silent).
    Probe {
        /// Whom.
        worker: WorkerId,
        /// Where it listens.
        address: SocketAddr,
    },
}

/// How an order was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has begun, holds already, or is done.
    Taken,
    /// It does not fit the backend server's state.
    Unfit,
    /// A higher fence or epoch was seen.
    Fenced,
    /// Another backend server is at that address, or none.
    Gone,
    /// No answer: it may have been taken, or may be later.
    Unanswered,
}

/// A group as gateways need to know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Serving {
    /// The group's epoch.
    pub epoch: u64,
    /// Its model.
    pub model: String,
    /// Its members, the head first.
    pub members: Vec<WorkerId>,
    /// How much slower than usual it runs; 1 is usual.
    pub pace: f64,
}

/// Bounds of a planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerConfig {
    /// The part of a domain that is kept as spares, in hundredths, at the most.
    pub spare_percent: usize,
    /// How long a group that is to end still takes requests that are on their way.
    pub notice_ms: u64,
    /// The longest that a group may take to finish its work.
    pub finish_ms: u64,
    /// How long a domain's hosts must have been the same before cold ones become spares.
    pub settle_ms: u64,
}

impl Default for PlannerConfig {
    fn default() -> PlannerConfig {
        PlannerConfig { spare_percent: 20, notice_ms: 60, finish_ms: 9_000, settle_ms: 1_500 }
    }
}
