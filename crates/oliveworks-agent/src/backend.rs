//! Communication with the backend server: health, orders and cache events.

use std::sync::Arc;

use ntex::time::{Millis as Wait, sleep};
use oliveworks_core::message::EngineOrder;
use oliveworks_runtime::timeline::Event;

use crate::process::{Process, lock};

/// Time between two health checks, in milliseconds.
const HEALTH_MS: u32 = 300;
/// Number of consecutive failed health checks after which the server counts as unhealthy.
const UNHEALTHY_FAILURES: u32 = 2;
/// Number of recent cache events kept for entries.
const CACHE_EVENTS_MAX: usize = 256;

impl Process {
    /// Sends an order to the backend server in the background, and records the result.
    pub fn send_order(self: Arc<Process>, number: u64, order: EngineOrder) {
        ntex::rt::spawn(async move {
            let done = self.engine.order(&order).await;
            if let Err(e) = &done {
                log::warn!("The backend server failed to carry out the order {order:?}: {e:#}.");
            }
            let now = self.clock.now();
            self.apply(|agent| agent.order_done(now, number, done.is_ok()));
        });
    }
}

/// Waits for the first answer of the backend server and records the highest fence that the server
/// has seen.
pub async fn wait_for_backend(process: &Arc<Process>) {
    loop {
        match process.engine.health().await {
            Ok(health) => {
                process.with_agent(|agent| agent.engine_fence(health.fence));
                return;
            }
            Err(e) => {
                log::warn!("The backend server is not reachable yet: {e:#}.");
                sleep(Wait(HEALTH_MS * 3)).await;
            }
        }
    }
}

/// Checks the health of the backend server and reads its cache events. Never returns.
pub async fn watch(process: Arc<Process>) {
    let mut failures = 0;
    let mut instance = None;
    let mut next_event = 0;
    loop {
        match process.engine.health().await {
            Ok(health) => {
                failures = 0;
                if instance.is_some_and(|i| i != health.instance) {
                    // The server was restarted and has lost its state.
                    process.apply(|agent| agent.engine_health(false));
                    process.timeline.note(Event::new("agent", "backend_restarted"));
                }
                instance = Some(health.instance);
                process.apply(|agent| agent.engine_health(true));
                let mut backend = lock(&process.backend);
                backend.load = health.load;
                backend.weights = health.weights;
            }
            Err(e) => {
                failures += 1;
                log::debug!("The backend server's health check failed: {e:#}.");
                if failures >= UNHEALTHY_FAILURES {
                    process.apply(|agent| agent.engine_health(false));
                }
            }
        }
        read_cache_events(&process, &mut next_event).await;
        sleep(Wait(HEALTH_MS)).await;
    }
}

async fn read_cache_events(process: &Process, next: &mut u64) {
    // A plain service has no cache events. After a gap, the entries learn the cached blocks from
    // their own traffic.
    let Ok(events) = process.engine.cache_events(*next).await else { return };
    *next = events.next;
    let stored = events.stored.into_iter().map(|block| (true, block));
    let all = stored.chain(events.evicted.into_iter().map(|block| (false, block)));
    let mut backend = lock(&process.backend);
    for (stored, block) in all {
        let number = backend.next_event;
        backend.next_event += 1;
        backend.events.push_back((number, stored, block));
        if backend.events.len() > CACHE_EVENTS_MAX {
            backend.events.pop_front();
        }
    }
}
