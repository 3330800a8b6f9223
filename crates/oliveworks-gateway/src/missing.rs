//! Backend servers that are missing from the list, and when they count as gone.

use std::collections::BTreeMap;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::backend_servers::{BackendServer, BackendServerId, Born};
use oliveworks_gateway_core::era::REWRITE_MS;

use crate::events::Event;
use crate::state::Gateway;

/// How many entries that are missing together mean that the store let them go.
const MANY: usize = 3;
const MANY_PERCENT: usize = 15;
/// How long a backend server that is gone is remembered.
const GONE_MS: u64 = 60_000;

/// A backend server that was taken out of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone {
    /// When.
    at: Millis,
    /// When its life had begun, if its record said so.
    born: Option<Born>,
}

/// Since when a backend server is missing from the list, and how that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Loss {
    since: Millis,
    /// Whether it is only not among all newest records: a store that came back from an older copy may lack its record.
    is_absent: bool,
}

/// Backend servers that are missing from the list.
#[derive(Default)]
pub struct Missing(BTreeMap<BackendServerId, Loss>);

impl Missing {
    /// Whether a backend server is missing.
    pub fn holds(&self, id: &str) -> bool {
        self.0.contains_key(id)
    }

    /// A backend server is listed; tells whether it was missing.
    pub fn found(&mut self, id: &str) -> bool {
        self.0.remove(id).is_some()
    }

    /// A record says that a backend server is no longer listed, or not to be used.
    pub fn dropped(&mut self, now: Millis, id: BackendServerId) {
        let loss = self.0.entry(id).or_insert(Loss { since: now, is_absent: false });
        loss.is_absent = false;
    }

    /// A backend server is not among all newest records.
    pub fn absent(&mut self, now: Millis, id: BackendServerId) {
        self.0.entry(id).or_insert(Loss { since: now, is_absent: true });
    }

    /// Until when missing entries may come back.
    ///
    /// Only many at once, and only soon after the store was in trouble: then their leases ran out
    /// and the next heartbeats bring them back. One that goes alone has left.
    fn patient_until(&self, gateway: &Gateway) -> Millis {
        let listed = gateway.directory.borrow().len();
        let many = self.0.len() >= MANY && self.0.len() * 100 >= listed * MANY_PERCENT;
        match gateway.store_failed_at.get() {
            Some(failed_at) if many => failed_at + REWRITE_MS,
            _ => 0,
        }
    }

    /// Takes out those that are missing for long.
    pub fn sweep(&mut self, gateway: &Gateway) {
        let now = gateway.now();
        gateway.gone.borrow_mut().retain(|id, gone| {
            let is_kept = now < gone.at + GONE_MS;
            if !is_kept {
                gateway.directory.borrow_mut().forget_leaving(id);
            }
            is_kept
        });
        if now < self.patient_until(gateway) {
            return;
        }
        let may_be_written_again = gateway.store_may_lack_records();
        let over: Vec<(BackendServerId, Loss)> =
            self.0.extract_if(.., |_, loss| !(loss.is_absent && may_be_written_again)).collect();
        for (id, loss) in over {
            let missing_ms = now - loss.since;
            Event::new("host_gone").with("host", &*id).with("missing_ms", missing_ms).write();
            let born = gateway.directory.borrow_mut().remove(&id).and_then(|s| s.holding.born);
            for planner in gateway.planners.borrow_mut().values_mut() {
                planner.unlisted(&id);
            }
            gateway.gone.borrow_mut().insert(id, Gone { at: now, born });
        }
    }
}

impl Gateway {
    /// Whether a record that stands among all newest ones is of a backend server that had gone before the store came back from an
    /// older copy: it may stand there since then, and the next record shows whether it lives.
    pub fn is_listed_by_copy(&self, server: &BackendServer) -> bool {
        let known = self.store_era.get();
        let Some(gone) = self.gone.borrow().get(&server.id).copied() else { return false };
        known.known_since().is_some_and(|since| gone.at <= since)
            && !server.holding.is_of_later_life(gone.born)
    }
}
