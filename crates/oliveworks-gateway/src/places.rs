//! Destinations of requests: single backend servers, and heads of replica groups.

use std::net::SocketAddr;

use oliveworks_gateway_core::backend_servers::{BackendServer, BackendServerId, MemberState};
use oliveworks_gateway_core::balance::{Candidate, Target};

use crate::state::Gateway;

/// A destination of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// Id of the backend server.
    pub server: BackendServerId,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Failure domain of the backend server.
    pub failure_domain: String,
    /// Properties by which the load balancer compares places.
    pub candidate: Candidate,
    /// Epoch of the group whose head the backend server is; none for a single backend server.
    pub epoch: Option<u64>,
    /// Whether the backend server or another member of its group is leaving or gone.
    pub is_leaving: bool,
}

/// Time for which a leader's table is used without a heartbeat, in ms.
const TABLE_VALID_MS: u64 = 2_000;
/// Cost of an outstanding request for the next one at a single backend server, in ms.
const PLAIN_REQUEST_COST_MS: f64 = 5.0;
/// The same at a replica group, in ms, in addition to the cost of reading its prompt.
const GROUP_REQUEST_COST_MS: f64 = 1.0;

impl Gateway {
    /// Returns whether the leader's table is recent enough to be used. A process that has just
    /// started has no table, and uses the list of backend servers until it receives the table of a
    /// leader.
    fn table_is_recent(&self) -> bool {
        let has_table = self.table.borrow().number > 0;
        let leads = self.election.borrow().leading_fence().is_some();
        has_table && (leads || self.now() < self.table_confirmed_at.get() + TABLE_VALID_MS)
    }

    /// Returns the backend servers of a service as single places.
    pub fn plain_places(&self, service: &str) -> Vec<Place> {
        let directory = self.directory.borrow();
        let servers = directory.of_service(service);
        servers.map(|server| self.place(server, None)).collect()
    }

    fn place(&self, server: &BackendServer, epoch: Option<u64>) -> Place {
        let candidate = Candidate {
            target: Target::of(&server.id),
            slots: server.slots,
            is_local: server.failure_domain == self.settings.failure_domain,
            open_ms: PLAIN_REQUEST_COST_MS,
            token_ms: 0.0,
        };
        Place {
            server: server.id.clone(),
            address: server.address,
            failure_domain: server.failure_domain.clone(),
            candidate,
            epoch,
            is_leaving: server.draining,
        }
    }

    /// Returns whether a backend server is known to be leaving or gone.
    pub fn is_leaving(&self, server: &str) -> bool {
        let directory = self.directory.borrow();
        directory.get(server).is_some_and(|server| server.draining)
            || self.missing.borrow().is_gone(server)
    }

    /// Returns the heads of the groups that serve a model.
    pub fn group_places(&self, service: &str, model: &str) -> Vec<Place> {
        if self.table_is_recent() {
            return self.table_places(service, model);
        }
        let directory = self.directory.borrow();
        let mut places = Vec::new();
        for server in directory.of_service(service) {
            let Some(member) = &server.holding.group else { continue };
            let serves = member.rank == 0 && member.state == MemberState::Open;
            let has = server.holding.models.iter().any(|held| held == model);
            if serves && has {
                places.push(self.place(server, Some(member.epoch)));
            }
        }
        places
    }

    fn table_places(&self, service: &str, model: &str) -> Vec<Place> {
        let lookup = self.lookup();
        let engine = lookup.as_ref().and_then(|l| l.service(service)?.engine.as_ref());
        let token_ms = engine.map_or(0.0, |engine| {
            let pace = engine.model(model).map_or(1.0, |model| model.pace);
            pace / engine.read_per_ms.max(0.001)
        });
        let table = self.table.borrow();
        let groups = table.groups.iter().filter(|g| g.service == service && g.model == model);
        groups
            .map(|group| {
                let head = &group.members[0];
                let candidate = Candidate {
                    target: Target::of(head),
                    // A slow group reaches the usual output speed only with fewer requests.
                    slots: (f64::from(group.slots) / group.pace()).ceil() as u32,
                    is_local: group.failure_domain == self.settings.failure_domain,
                    open_ms: GROUP_REQUEST_COST_MS * group.pace(),
                    token_ms: token_ms * group.pace(),
                };
                Place {
                    server: head.as_str().into(),
                    address: group.address,
                    failure_domain: group.failure_domain.clone(),
                    candidate,
                    epoch: Some(group.epoch),
                    is_leaving: group.members.iter().any(|id| self.is_leaving(id)),
                }
            })
            .collect()
    }
}
