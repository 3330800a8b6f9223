//! Free hosts that wait beside a model which refuses callers.
//!
//! Most hosts of a group are free and hold or keep its model, callers of that model are refused, and no group comes
//! of them: an operator should see it, and why. A repair takes 2 s, so what lasts longer is told, once.

use std::collections::BTreeMap;

use super::Planner;
use super::domain::domains;
use super::shortage::Shortage;
use crate::Millis;

/// How long hosts may wait before it is told, in ms: a group of hosts that keep its model forms in 2 s.
const TOLD_AFTER_MS: u64 = 3_000;

/// Free hosts that wait for a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingHosts {
    /// Their domain.
    pub domain: String,
    /// The model that they could serve.
    pub model: String,
    /// How many hold it, or keep it in memory.
    pub hosts: usize,
    /// How many more their group takes.
    pub missing: usize,
    /// How many of these load the model.
    pub loading: usize,
    /// How long they have waited, in ms.
    pub waited_ms: u64,
}

/// Since when hosts wait, by domain and model, and whether that was told.
#[derive(Clone, Debug, Default)]
pub(super) struct Waits(BTreeMap<(String, String), (Millis, bool)>);

impl Planner {
    /// Free hosts that have waited for too long, each set once.
    pub fn waiting_hosts(&mut self, now: Millis) -> Vec<WaitingHosts> {
        let found = self.find_waiting(now);
        let key = |waiting: &WaitingHosts| (waiting.domain.clone(), waiting.model.clone());
        self.waits.0.retain(|known, _| found.iter().any(|waiting| key(waiting) == *known));
        let mut told = Vec::new();
        for waiting in found {
            let (since, is_told) = self.waits.0.entry(key(&waiting)).or_insert((now, false));
            let waited_ms = now.saturating_sub(*since);
            if waited_ms >= TOLD_AFTER_MS && !*is_told {
                *is_told = true;
                told.push(WaitingHosts { waited_ms, ..waiting });
            }
        }
        told
    }

    fn find_waiting(&self, now: Millis) -> Vec<WaitingHosts> {
        if !self.traffic {
            return Vec::new();
        }
        let domains = domains(now, self);
        let short = Shortage::of(self, &domains);
        let refusing: Vec<_> = self.engine.models.iter().filter(|m| short.refuses(m)).collect();
        let each = domains.values().flat_map(|domain| {
            let near = refusing.iter().filter(|model| domain.warm(model) * 2 > model.size);
            near.map(|model| {
                let hosts = domain.warm(model);
                let staging = domain.free.iter().filter(|host| host.is_staging(&model.name));
                WaitingHosts {
                    domain: domain.name.to_owned(),
                    model: model.name.clone(),
                    hosts,
                    missing: model.size.saturating_sub(hosts),
                    loading: domain.loads(model) + staging.count(),
                    waited_ms: 0,
                }
            })
        });
        each.collect()
    }
}
