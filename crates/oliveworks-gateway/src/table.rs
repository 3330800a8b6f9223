//! The replica groups that serve, as the leader publishes them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A replica group as the leader publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableGroup {
    /// Its service.
    pub service: String,
    /// Its model.
    pub model: String,
    /// Its epoch.
    pub epoch: u64,
    /// Its members, the head first.
    pub members: Vec<String>,
    /// Where its head listens.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// The failure domain of its head.
    pub failure_domain: String,
    /// How much slower than usual it runs, in hundredths; 100 is usual.
    pub pace_percent: u32,
}

impl TableGroup {
    /// How much slower than usual it runs.
    pub fn pace(&self) -> f64 {
        f64::from(self.pace_percent.max(100)) / 100.0
    }
}

/// All groups that serve, as the leader published them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The fence of the leader.
    pub fence: u64,
    /// Counts the leader's changes.
    pub number: u64,
    /// The groups.
    pub groups: Vec<TableGroup>,
    /// Epochs of groups that have ended for certain, for the next leader.
    pub ended: Vec<u64>,
    /// The most hosts that each domain of each service had, for the next leader.
    pub most_hosts: BTreeMap<String, BTreeMap<String, usize>>,
}
