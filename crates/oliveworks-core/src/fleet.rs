//! Fleet: the decider's knowledge of hosts, from the platform's delayed list and the groups'
//! reports.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::chart::Machine;
use crate::charts;
use crate::id::{DomainId, Epoch, HostId, Millis};
use crate::message::GroupReport;

/// Host as the platform's list of hosts describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Host.
    pub host: HostId,
    /// Fabric domain of the host.
    pub domain: DomainId,
    /// Address of the host's agent.
    pub address: SocketAddr,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
    /// Name of the plain service on the host, if any.
    #[serde(default)]
    pub service: Option<String>,
    /// Digest of the weights that the host holds, if known.
    #[serde(default)]
    pub weights: Option<u64>,
}

/// State of one host as known to the decider.
#[derive(Clone, Debug)]
pub struct HostView {
    /// Fabric domain of the host.
    pub domain: DomainId,
    /// Address of the host's agent.
    pub address: SocketAddr,
    /// Name of the plain service on the host, if any.
    pub service: Option<String>,
    /// Digest of the weights last reported for the host.
    pub weights: Option<u64>,
    machine: Machine,
    last_listed: Millis,
}

impl HostView {
    /// Returns whether the host is live. Unlike [`Fleet::is_usable`], it does not require that a
    /// host that was lost has been listed again for [`FleetConfig::settle_ms`].
    pub fn is_usable(&self) -> bool {
        self.machine.is("live")
    }

    /// Returns whether the host is lost or in the state `unknown`, the initial one.
    pub fn is_lost(&self) -> bool {
        self.machine.is("lost") || self.machine.is("unknown")
    }

    /// Returns whether the host is about to leave.
    pub fn is_leaving(&self) -> bool {
        self.machine.is("leaving")
    }

    /// Returns the name of the host's state, for operators.
    pub fn state(&self) -> &'static str {
        self.machine.state()
    }
}

/// Times for judging missing hosts and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetConfig {
    /// Time after which a host that the list no longer names is lost, in milliseconds. The host is
    /// suspect at once.
    pub confirm_ms: u64,
    /// Time for which a group report is valid, in milliseconds.
    pub report_ms: u64,
    /// Time for which a lost host must be listed again before it is used, in milliseconds.
    pub settle_ms: u64,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig { confirm_ms: 3_000, report_ms: 90_000, settle_ms: 2_000 }
    }
}

/// Known hosts and group reports.
#[derive(Clone, Debug)]
pub struct Fleet {
    config: FleetConfig,
    hosts: BTreeMap<HostId, HostView>,
    reports: BTreeMap<Epoch, (Millis, GroupReport)>,
    returned: BTreeMap<HostId, Millis>,
}

impl Fleet {
    /// Returns a fleet without hosts and reports.
    pub fn new(config: FleetConfig) -> Fleet {
        Fleet {
            config,
            hosts: BTreeMap::new(),
            reports: BTreeMap::new(),
            returned: BTreeMap::new(),
        }
    }

    /// Records the platform's list of hosts.
    pub fn update_list(&mut self, now: Millis, listed: &[ListedHost]) {
        let mut absent: BTreeSet<HostId> = self.hosts.keys().copied().collect();
        for listed_host in listed {
            absent.remove(&listed_host.host);
            self.update_host(now, listed_host);
        }
        for host in absent {
            if let Some(view) = self.hosts.get_mut(&host) {
                view.machine.fire("silent");
            }
        }
        self.tick(now);
    }

    fn update_host(&mut self, now: Millis, listed_host: &ListedHost) {
        let view = self.hosts.entry(listed_host.host).or_insert_with(|| HostView {
            domain: listed_host.domain,
            address: listed_host.address,
            service: listed_host.service.clone(),
            weights: None,
            machine: Machine::new(charts::host()),
            last_listed: now,
        });
        view.domain = listed_host.domain;
        view.address = listed_host.address;
        view.service = listed_host.service.clone();
        view.weights = listed_host.weights.or(view.weights);
        if listed_host.leaving {
            if view.machine.is("unknown") {
                view.machine.fire("listed");
            }
            view.machine.fire("leaving");
        } else {
            if view.machine.is("lost") {
                self.returned.insert(listed_host.host, now);
            }
            if view.machine.is("leaving") {
                // The platform no longer removes the host. The chart ignores `listed` in the state
                // `leaving`, so `gone` moves the host to `unknown` first, and `listed` below makes
                // it live.
                view.machine.fire("gone");
            }
            view.machine.fire("listed");
        }
        view.last_listed = now;
    }

    /// Advances the time: confirms lost hosts and drops expired reports.
    pub fn tick(&mut self, now: Millis) {
        for view in self.hosts.values_mut() {
            if view.machine.is("suspect") && now.since(view.last_listed) > self.config.confirm_ms {
                view.machine.fire("confirmed_lost");
            }
            if view.machine.is("leaving") && now.since(view.last_listed) > self.config.confirm_ms {
                view.machine.fire("confirmed_lost");
            }
        }
        let settle = self.config.settle_ms;
        self.returned.retain(|_, at| now.since(*at) <= settle);
        let keep = self.config.report_ms;
        self.reports.retain(|_, (at, _)| now.since(*at) <= keep);
    }

    /// Records a group's report.
    pub fn report(&mut self, now: Millis, report: GroupReport) {
        let replaces = |(_, old): &(Millis, GroupReport)| {
            old.view <= report.view || old.from == report.from || report.serving
        };
        if self.reports.get(&report.epoch).is_none_or(replaces) {
            self.reports.insert(report.epoch, (now, report));
        }
    }

    /// Returns the latest report of a group.
    pub fn report_of(&self, epoch: Epoch) -> Option<&GroupReport> {
        self.reports.get(&epoch).map(|(_, r)| r)
    }

    /// Drops the reports of groups that do not exist any more.
    pub fn retain_groups(&mut self, keep: impl Fn(Epoch) -> bool) {
        self.reports.retain(|e, _| keep(*e));
    }

    /// Returns a host.
    pub fn host(&self, host: HostId) -> Option<&HostView> {
        self.hosts.get(&host)
    }

    /// Returns all hosts.
    pub fn hosts(&self) -> impl Iterator<Item = (HostId, &HostView)> {
        self.hosts.iter().map(|(h, v)| (*h, v))
    }

    /// Returns whether new groups may use a host: it is live, and if it was lost, the list has
    /// named it again for longer than [`FleetConfig::settle_ms`].
    pub fn is_usable(&self, host: HostId) -> bool {
        let settled = !self.returned.contains_key(&host);
        settled && self.hosts.get(&host).is_some_and(HostView::is_usable)
    }
}
