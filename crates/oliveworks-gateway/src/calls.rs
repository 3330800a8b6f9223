//! Limit on the number of concurrent calls to backend servers that this system makes for itself.
//!
//! A leader that takes over probes each of thousands of backend servers. With a connection and its
//! buffers for each at the same time, the process would need several times its usual memory, and a
//! process with a small share of a core would read the first answers after their timeout. Calls
//! therefore wait for a slot, in order of arrival. Orders have slots of their own, since a probe of
//! a backend server that is gone occupies its slot for the whole timeout.

use tokio::sync::{Semaphore, SemaphorePermit};

/// Number of concurrent calls of one kind: enough for ten thousand per second at a few ms each.
const CONCURRENT_CALLS: usize = 64;

/// Purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads the state of a backend server.
    Probe,
    /// Changes the state of a backend server.
    Order,
}

/// Slots for calls.
pub struct Calls {
    probes: Semaphore,
    orders: Semaphore,
}

impl Default for Calls {
    fn default() -> Calls {
        Calls { probes: Semaphore::new(CONCURRENT_CALLS), orders: Semaphore::new(CONCURRENT_CALLS) }
    }
}

impl Calls {
    /// Waits for a slot; returns none if the process ends.
    pub async fn acquire_slot(&self, kind: CallKind) -> Option<SemaphorePermit<'_>> {
        let slots = match kind {
            CallKind::Probe => &self.probes,
            CallKind::Order => &self.orders,
        };
        slots.acquire().await.ok()
    }
}
