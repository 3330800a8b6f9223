//! Other processes of the fleet, as listed in the settings.

use std::net::SocketAddr;

use oliveworks_core::feed::EntryLocation;
use oliveworks_core::id::EntryId;
use serde::{Deserialize, Serialize};

/// An entry and its address for other processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryPeer {
    /// Id of the entry.
    pub entry: EntryId,
    /// Region of the entry.
    pub region: String,
    /// Address of the entry for other processes.
    pub peer: SocketAddr,
}

impl EntryPeer {
    /// Returns the id of the entry and its region.
    pub fn at(&self) -> EntryLocation {
        EntryLocation { entry: self.entry, region: self.region.clone() }
    }
}
