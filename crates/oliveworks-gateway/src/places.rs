//! Where requests can be sent: backend servers that stand alone, and heads of replica groups.

use std::net::SocketAddr;

use oliveworks_gateway_core::backend_servers::{BackendServer, BackendServerId, MemberState};
use oliveworks_gateway_core::balance::{Candidate, Target};

use crate::state::Gateway;

/// Somewhere that a request can be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The backend server's id.
    pub server: BackendServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// How it is counted.
    pub candidate: Candidate,
    /// The group that it heads.
    pub epoch: Option<u64>,
    /// Whether it, or another member of its group, leaves or is gone.
    pub leaves: bool,
}

/// How long a leader's table is believed without a heartbeat.
const TABLE_MS: u64 = 2_000;
/// What an open request costs the next one at a plain backend server, in ms.
const PLAIN_OPEN_MS: f64 = 5.0;
/// The same at a replica group, beside what its prompt costs.
const GROUP_OPEN_MS: f64 = 1.0;

impl Gateway {
    /// Whether the leader's table is young enough to be used. One that never came is not: a process
    /// that has just started goes by the list of backend servers until a leader is heard.
    fn table_is_young(&self) -> bool {
        let came = self.table.borrow().number > 0;
        let leads = self.election.borrow().leads().is_some();
        came && (leads || self.now() < self.table_heard_at.get() + TABLE_MS)
    }

    /// Backend servers that stand alone.
    pub fn plain_places(&self, service: &str) -> Vec<Place> {
        let directory = self.directory.borrow();
        let servers = directory.of_service(service);
        servers.map(|server| self.place(server, None)).collect()
    }

    fn place(&self, server: &BackendServer, epoch: Option<u64>) -> Place {
        let candidate = Candidate {
            target: Target::of(&server.id),
            slots: server.slots,
            near: server.failure_domain == self.settings.failure_domain,
            open_ms: PLAIN_OPEN_MS,
            token_ms: 0.0,
        };
        Place {
            server: server.id.clone(),
            address: server.address,
            failure_domain: server.failure_domain.clone(),
            candidate,
            epoch,
            leaves: server.draining,
        }
    }

    /// Whether a backend server leaves or is gone, as far as is known now.
    pub fn leaves(&self, server: &str) -> bool {
        let directory = self.directory.borrow();
        directory.get(server).is_some_and(|server| server.draining)
            || self.missing.borrow().has_gone(server)
    }

    /// Heads of groups that serve a model.
    pub fn group_places(&self, service: &str, model: &str) -> Vec<Place> {
        if self.table_is_young() {
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
                    // A slow group writes as fast as usual only with fewer requests.
                    slots: (f64::from(group.slots) / group.pace()).ceil() as u32,
                    near: group.failure_domain == self.settings.failure_domain,
                    open_ms: GROUP_OPEN_MS * group.pace(),
                    token_ms: token_ms * group.pace(),
                };
                Place {
                    server: head.as_str().into(),
                    address: group.address,
                    failure_domain: group.failure_domain.clone(),
                    candidate,
                    epoch: Some(group.epoch),
                    leaves: group.members.iter().any(|id| self.leaves(id)),
                }
            })
            .collect()
    }
}
