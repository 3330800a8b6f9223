//! Removal of backend servers that are missing from the list.

use oliveworks_gateway_core::missing::{Departed, Missing, StoreState};

use crate::events::Event;
use crate::state::Gateway;

/// Removes backend servers that have been missing for long enough.
pub fn sweep(gateway: &Gateway, missing: &mut Missing) {
    let now = gateway.now();
    for id in missing.forget_gone(now) {
        gateway.directory.borrow_mut().forget_leaving(&id);
    }
    let store = StoreState {
        store_failed_at: gateway.store_failed_at.get(),
        read_at: gateway.list_read_at.get(),
    };
    let left = missing.sweep(now, store, &gateway.directory.borrow());
    for Departed { id, missing_ms } in left {
        Event::new("host_gone").with("host", &*id).with("missing_ms", missing_ms).write();
        gateway.directory.borrow_mut().remove(&id);
        for planner in gateway.planners.borrow_mut().all_mut() {
            planner.mark_unlisted(&id);
        }
    }
}
