//! Other processes, as settings name them.

use std::net::SocketAddr;

use oliveworks_core::feed::EntryLocation;
use oliveworks_core::id::EntryId;
use serde::{Deserialize, Serialize};

/// An entry as other processes know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryPeer {
    /// The entry.
    pub entry: EntryId,
    /// Its region.
    pub region: String,
    /// Where it is reached by other processes.
    pub peer: SocketAddr,
}

impl EntryPeer {
    /// The entry's place among all.
    pub fn at(&self) -> EntryLocation {
        EntryLocation { entry: self.entry, region: self.region.clone() }
    }
}
