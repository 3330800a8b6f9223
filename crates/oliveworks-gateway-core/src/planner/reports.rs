//! Records of hosts, and their answers to probes and orders.

use std::collections::BTreeMap;

use super::arrivals::ArrivalBurst;
use super::group::Group;
use super::host::Host;
use super::{Order, Outcome, Planner, ProbeFailure};
use crate::Millis;
use crate::backend_servers::{BackendServer, Holding};

impl Planner {
    /// Handles a host that is listed, or whose record changed.
    pub fn handle_listed_host(&mut self, now: Millis, server: &BackendServer) {
        let known = self.hosts.get(&server.id).map(Host::born);
        match self.hosts.get_mut(&server.id) {
            Some(_) if known.is_some_and(|known| server.holding.is_of_later_incarnation(known)) => {
                self.handle_restart(now, server);
            }
            Some(host) => host.update_record(now, server),
            None => {
                self.hosts.insert(server.id.clone(), Host::new(now, server));
                record_arrival(&mut self.arrival_bursts, now, &server.domain);
            }
        }
    }

    /// Handles a state report of a host.
    pub fn handle_report(&mut self, now: Millis, id: &str, holding: &Holding) {
        let host = self.hosts.get(id).filter(|host| holding.is_of_later_incarnation(host.born()));
        if let Some(server) = host.map(|host| host.server.clone()) {
            let holding = holding.clone();
            let server = BackendServer { draining: false, number: None, holding, ..server };
            self.handle_restart(now, &server);
        }
        let may_be_slow = self.may_be_slow();
        if let Some(host) = self.hosts.get_mut(id) {
            if host.is_lost() {
                record_arrival(&mut self.arrival_bursts, now, &host.server.domain);
            }
            host.mark_answering();
            if let Some(pace) = holding.pace {
                host.update_pace(pace, may_be_slow);
            }
            host.handle_probe_answer(now, self.engine.report_lag_ms, holding);
        }
    }

    /// Handles a failed probe of a host.
    pub fn handle_probe_failure(&mut self, now: Millis, id: &str, failure: ProbeFailure) {
        let Some(host) = self.hosts.get_mut(id) else { return };
        let group = host.group.and_then(|epoch| self.groups.get(&epoch));
        let failure = match failure {
            // Nothing is destroyed if a host without a serving group counts as lost, and it is then
            // probed less often. A leader that is too slow to read answers in time would otherwise
            // probe most hosts of a large pool again and again.
            ProbeFailure::Unanswered if !group.is_some_and(Group::is_in_service) => {
                ProbeFailure::Unreachable
            }
            _ => failure,
        };
        let was_suspected = host.suspected && !host.is_lost();
        host.record_probe_failure(now, failure);
        // A host that accepts connections does not show that its domain is down.
        if was_suspected && failure != ProbeFailure::Unanswered {
            self.outages.add(now, &host.server.domain);
        }
    }

    /// Handles the outcome of an order.
    pub fn handle_order_outcome(&mut self, now: Millis, id: &str, order: &Order, outcome: Outcome) {
        let Some(host) = self.hosts.get_mut(id) else { return };
        host.apply_outcome(now, order, outcome);
    }
}

/// Records that one more host of a domain is listed, or answers again.
pub(super) fn record_arrival(
    bursts: &mut BTreeMap<String, ArrivalBurst>,
    now: Millis,
    domain: &str,
) {
    bursts.entry(domain.to_owned()).or_insert_with(|| ArrivalBurst::new(now)).add(now);
}
