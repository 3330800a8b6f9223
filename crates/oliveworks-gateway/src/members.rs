//! Gateways that share limits on the sends of all gateways together: records messages from these
//! gateways, and reports the silent ones.

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::members::Members;
use xxhash_rust::xxh3::xxh3_64;

use crate::settings::Settings;
use crate::state::Gateway;

/// Returns the initial state, in which no other gateway is known.
pub fn members(settings: &Settings, now: Millis) -> Members {
    let own = settings.listen.peers.ip();
    let alone = settings.seeds.iter().all(|seed| seed.ip() == own);
    Members::new(hash(&settings.node), alone, now)
}

/// Returns the hash of a gateway's name, used as its id in the computation of shares.
pub fn hash(node: &str) -> u64 {
    xxh3_64(node.as_bytes())
}

impl Gateway {
    /// Records gateways with the time of the last message from each.
    pub fn record_members(&self, gateways: impl IntoIterator<Item = (u64, Millis)>) {
        let mut members = self.members.borrow_mut();
        for (gateway, at) in gateways {
            members.record_contact(gateway, at);
        }
    }

    /// Returns the silent gateways that may still use their share, each with the time since its
    /// last message in ms.
    pub fn silent_gateways(&self) -> Vec<(u64, u64)> {
        let now = self.now();
        let members = self.members.borrow();
        members.silent(now).map(|(gateway, at)| (gateway, now - at)).collect()
    }
}
