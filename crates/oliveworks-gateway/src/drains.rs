//! Drains of failure domains: start and end of drains, and reports on outstanding requests there.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::drains::Ended;
use tokio::time::sleep;

use crate::events::Event;
use crate::follow::RecordSource;
use crate::state::Gateway;

/// Time between two log lines on each drain, in ms. An operator waiting for a domain to become
/// empty sees the progress soon, and the log of a drain of several hours stays readable.
const LOG_INTERVAL_MS: u64 = 2_000;

/// Begins the drain of a failure domain.
pub fn begin(gateway: &Gateway, failure_domain: &str) {
    let now = gateway.now();
    if !gateway.drains.borrow_mut().begin(now, failure_domain) {
        return;
    }
    gateway.count("drains_begun");
    gateway.plan_now.notify_one();
    Event::new("drain_begins")
        .with("failure_domain", failure_domain)
        // The store may have accepted the record at any time since this proof.
        .with("proof_before_ms_ago", gateway.proof_age_ms())
        .with("open_requests", gateway.outstanding_in(failure_domain))
        .write();
}

/// Ends a drain because of its own record.
pub fn end(gateway: &Gateway, failure_domain: &str) {
    let ended = gateway.drains.borrow_mut().end(gateway.now(), failure_domain);
    ended.iter().for_each(|ended| process_end(gateway, ended, "its record is gone"));
}

/// Returns whether a snapshot is needed to confirm drains: some drains in force have not been seen
/// in the store since it was restored from a copy, and the time for writing missing records again
/// is over.
pub fn needs_snapshot(gateway: &Gateway) -> bool {
    gateway.drains.borrow().any_unconfirmed()
        && !gateway.store_may_lack_records()
        && gateway.election.borrow().store_answers()
}

/// Processes a snapshot of the store's records. `drained` holds the failure domains that are
/// drained according to it.
pub fn apply_snapshot(gateway: &Gateway, drained: &BTreeSet<String>, source: RecordSource) {
    let era = gateway.store_era.get();
    let now = gateway.now();
    match source {
        RecordSource::Store if era.may_lack_records(now) => {
            gateway.drains.borrow_mut().mark_unread_unconfirmed(drained);
            return;
        }
        // A drain named by another gateway is in force there, and may be missing in the store.
        RecordSource::Gateway { .. } if now < era.others_lack_records_until() => {
            gateway.drains.borrow_mut().mark_unread_unconfirmed(&BTreeSet::new());
            return;
        }
        _ => {}
    }
    let ended = gateway.drains.borrow_mut().replace_all(gateway.now(), drained);
    ended.iter().for_each(|ended| process_end(gateway, ended, "not among the newest records"));
}

/// Processes the end of a drain: the backend servers may have become cold meanwhile.
fn process_end(gateway: &Gateway, ended: &Ended, why: &str) {
    gateway.mark_cold_after_drain(&ended.failure_domain);
    gateway.count("drains_ended");
    gateway.plan_now.notify_one();
    Event::new("drain_ends")
        .with("failure_domain", ended.failure_domain.as_str())
        .with("why", why)
        .with("known_for_ms", ended.known_for_ms)
        .write();
}

/// Logs the outstanding requests of each drained failure domain while the drain lasts.
pub async fn log_progress(gateway: Rc<Gateway>) {
    loop {
        sleep(Duration::from_millis(LOG_INTERVAL_MS)).await;
        let drains = gateway.drains.borrow();
        for (failure_domain, known_for_ms) in drains.known_for(gateway.now()) {
            Event::new("drain_goes_on")
                .with("failure_domain", failure_domain)
                .with("known_for_ms", known_for_ms)
                .with("open_requests", gateway.outstanding_in(failure_domain))
                .write();
        }
    }
}

impl Gateway {
    /// Returns the drains that ended so recently that a record read now may have been written
    /// before the end.
    pub fn recently_ended_drains(&self) -> Vec<(String, u64)> {
        let lag_ms = self.settings.record_lag_ms();
        self.drains.borrow_mut().ended_within(self.now(), lag_ms)
    }

    /// Processes the end of a drain observed by another gateway.
    pub fn process_remote_drain_end(&self, failure_domain: &str, ms_ago: u64) {
        let at = self.now().saturating_sub(ms_ago);
        if !self.drains.borrow_mut().record_remote_end(failure_domain, at) {
            return;
        }
        self.mark_cold_after_drain(failure_domain);
        Event::new("drain_ended_elsewhere")
            .with("failure_domain", failure_domain)
            .with("ms_ago", ms_ago)
            .write();
    }

    /// Returns whether a service has backend servers and all of them are drained.
    pub fn is_all_drained(&self, service: &str) -> bool {
        let drains = self.drains.borrow();
        if drains.is_empty() {
            return false;
        }
        let directory = self.directory.borrow();
        let mut servers = directory.of_service(service).peekable();
        servers.peek().is_some() && servers.all(|server| drains.contains(&server.failure_domain))
    }

    /// Returns the number of this gateway's outstanding requests in a failure domain.
    pub fn outstanding_in(&self, failure_domain: &str) -> u32 {
        let balance = self.balance.borrow();
        let open: BTreeMap<Target, u32> =
            balance.own_open().map(|(target, load)| (target, load.requests)).collect();
        let directory = self.directory.borrow();
        let there = directory.iter().filter(|server| server.failure_domain == failure_domain);
        there.filter_map(|server| open.get(&Target::of(&server.id))).sum()
    }
}
