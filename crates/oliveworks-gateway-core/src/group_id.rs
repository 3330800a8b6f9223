//! Ids of replica groups, as messages between gateways name them.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Identifies a replica group among the groups of all services.
///
/// Planners of several services use the same epochs, so an epoch alone does not identify a group.
/// The id is a hash, which takes no more space in a message than an epoch does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupId(u64);

impl GroupId {
    /// Returns the id of the group of a service with an epoch.
    pub fn of(service: &str, epoch: u64) -> GroupId {
        let mut hash = Xxh3::new();
        hash.update(service.as_bytes());
        hash.update(&epoch.to_le_bytes());
        GroupId(hash.digest())
    }
}
