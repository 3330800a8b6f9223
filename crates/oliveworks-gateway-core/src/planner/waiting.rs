//! Free hosts that wait while a model that they could serve refuses requests.
//!
//! Most hosts of a group are free and have its model, requests for that model are refused, and yet
//! no group is formed. Operators should see that and its reason. A repair takes 2 s, so a longer
//! wait is reported, once.

use std::collections::BTreeMap;

use super::Planner;
use super::domain::domains;
use super::shortage::Shortage;
use crate::Millis;

/// Waiting time after which hosts are reported, in ms. A group of hosts with the model in memory
/// forms in 2 s.
const REPORT_AFTER_MS: u64 = 3_000;

/// Free hosts that wait for a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingHosts {
    /// Domain of the hosts.
    pub domain: String,
    /// Model that the hosts could serve.
    pub model: String,
    /// Number of hosts that hold the model or have it in memory.
    pub hosts: usize,
    /// Number of hosts that the group lacks.
    pub missing: usize,
    /// Number of hosts that load the model.
    pub loading: usize,
    /// Time that the hosts have waited, in ms.
    pub waited_ms: u64,
}

/// Time since which hosts wait, by domain and model, and whether that was reported.
#[derive(Clone, Debug, Default)]
pub(super) struct Waits(BTreeMap<(String, String), (Millis, bool)>);

impl Planner {
    /// Returns the free hosts that have waited for too long. Each wait is returned once.
    pub fn waiting_hosts(&mut self, now: Millis) -> Vec<WaitingHosts> {
        let found = self.find_waiting(now);
        let key = |waiting: &WaitingHosts| (waiting.domain.clone(), waiting.model.clone());
        self.waits.0.retain(|known, _| found.iter().any(|waiting| key(waiting) == *known));
        let mut reported = Vec::new();
        for waiting in found {
            let (since, is_reported) = self.waits.0.entry(key(&waiting)).or_insert((now, false));
            let waited_ms = now.saturating_sub(*since);
            if waited_ms >= REPORT_AFTER_MS && !*is_reported {
                *is_reported = true;
                reported.push(WaitingHosts { waited_ms, ..waiting });
            }
        }
        reported
    }

    fn find_waiting(&self, now: Millis) -> Vec<WaitingHosts> {
        if !self.traffic {
            return Vec::new();
        }
        let domains = domains(now, self);
        let short = Shortage::of(self, &domains);
        let refusing: Vec<_> = self.engine.models.iter().filter(|m| short.refuses(m)).collect();
        let each = domains.values().flat_map(|domain| {
            let mostly_free =
                refusing.iter().filter(|model| domain.warm_hosts(model) * 2 > model.size);
            mostly_free.map(|model| {
                let hosts = domain.warm_hosts(model);
                let staging =
                    domain.free.iter().filter(|host| host.is_loading_to_memory(&model.name));
                WaitingHosts {
                    domain: domain.name.to_owned(),
                    model: model.name.clone(),
                    hosts,
                    missing: model.size.saturating_sub(hosts),
                    loading: domain.loading_spares(model) + staging.count(),
                    waited_ms: 0,
                }
            })
        });
        each.collect()
    }
}
