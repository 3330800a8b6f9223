//! State of backend servers, as records and reports describe it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::balance::Target;

/// Id of a backend server; a restarted one may keep its id.
pub type BackendServerId = Rc<str>;

/// State of a member of a replica group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The member loads the model.
    Joining,
    /// The member has loaded the model.
    Ready,
    /// The member is the head and serves.
    Open,
    /// The member is the head and finishes its outstanding requests.
    Closing,
    /// A member of the group is missing.
    Broken,
}

/// Membership of a backend server in a replica group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Name of the group.
    pub name: String,
    /// Epoch of the group.
    pub epoch: u64,
    /// Rank in the group; 0 for the head.
    pub rank: usize,
    /// State of the member.
    pub state: MemberState,
}

/// Start of a backend server's incarnation, in ms since 1970-01-01 by its own clock. It
/// distinguishes what the server reports from what it reported before a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Born(pub u64);

/// A backend server as its record describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Id of the backend server.
    pub id: BackendServerId,
    /// Service that the backend server belongs to.
    pub service: String,
    /// Address on which the backend server listens.
    pub address: SocketAddr,
    /// Failure domain of the backend server.
    pub failure_domain: String,
    /// Fabric domain of the backend server.
    pub domain: String,
    /// Number of requests that the backend server works on concurrently.
    pub slots: u32,
    /// Whether the backend server is leaving.
    pub draining: bool,
    /// Remaining cold time when the record was written, in ms; 0 if the backend server was warm.
    pub cold_ms: u64,
    /// Number of the record among those of the same incarnation; none if records are not numbered.
    /// Records that differ in the number alone have the same content.
    pub number: Option<u64>,
    /// State of the models on the backend server.
    pub holding: Holding,
}

impl BackendServer {
    /// Whether this record may be newer than a known one: a store that has lost its history, and a
    /// gateway that was paused, return records that are seconds old. A backend server that leaves
    /// never comes back in the same incarnation.
    pub fn may_follow(&self, known: &BackendServer) -> bool {
        if self.holding.is_of_later_incarnation(known.holding.born) {
            return true;
        }
        let older = self.number.zip(known.number).is_some_and(|(own, known)| own < known);
        !older
            && !known.holding.is_of_later_incarnation(self.holding.born)
            && (self.draining || !known.draining)
    }

    /// Whether both records have the same content, whenever they were written.
    pub fn has_same_content(&self, other: &BackendServer) -> bool {
        BackendServer { number: other.number, ..self.clone() } == *other
    }
}

/// State of the models on a backend server; changes with every order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// Models in the accelerators.
    pub models: Vec<String>,
    /// Models in the memory of the host, completely loaded.
    pub staging: Vec<String>,
    /// Membership in a replica group.
    pub group: Option<Membership>,
    /// Slowdown factor, if reported; 1 is the usual pace.
    pub pace: Option<f64>,
    /// Whether the backend server loads a model or joins a group, if reported.
    pub loads: Option<bool>,
    /// Number of orders begun in this incarnation, if reported; records do not hold it.
    pub orders: Option<u64>,
    /// Start of the incarnation, if reported.
    pub born: Option<Born>,
}

impl Holding {
    /// Whether this state is of a later incarnation than `known`; `false` if either is unknown.
    pub fn is_of_later_incarnation(&self, known: Option<Born>) -> bool {
        self.born.zip(known).is_some_and(|(own, known)| own > known)
    }

    /// Whether both states have the same models and the same group membership.
    pub fn has_same_models_and_group(&self, other: &Holding) -> bool {
        self.models == other.models && self.staging == other.staging && self.group == other.group
    }
}

/// All backend servers that the platform lists.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: BTreeMap<BackendServerId, BackendServer>,
    by_target: HashMap<Target, BackendServerId>,
    /// Backend servers that reported in an answer that they leave, each with its incarnation. An
    /// entry is kept also while the server is not listed.
    leaving: HashMap<BackendServerId, Option<Born>>,
}

impl Directory {
    /// Records that a backend server, in the incarnation `born`, reported in an answer that it
    /// leaves. Returns whether that is new.
    ///
    /// The server's record may be older than the answer, or never hold this state: only a later
    /// incarnation cancels it.
    pub fn leaves(&mut self, id: &str, born: Option<Born>) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        if server.draining || server.holding.born != born {
            return false;
        }
        server.draining = true;
        self.leaving.insert(server.id.clone(), born);
        true
    }

    /// Returns a record with `draining` set if its backend server reported, in this incarnation,
    /// that it leaves.
    pub fn with_leaving(&self, mut server: BackendServer) -> BackendServer {
        server.draining |= self.leaving.get(&server.id) == Some(&server.holding.born);
        server
    }

    /// Forgets that a backend server reported that it leaves, if the server is no longer listed.
    pub fn forget_leaving(&mut self, id: &str) {
        if !self.servers.contains_key(id) {
            self.leaving.remove(id);
        }
    }

    /// Returns the start of a backend server's incarnation, according to its record.
    pub fn born(&self, id: &str) -> Option<Born> {
        self.servers.get(id)?.holding.born
    }

    /// Returns the id of a target, if its backend server is listed.
    pub fn id(&self, target: Target) -> Option<&BackendServerId> {
        self.by_target.get(&target)
    }

    /// Adds or replaces a record and returns whether its content changed anything.
    pub fn put(&mut self, server: BackendServer) -> bool {
        let server = self.with_leaving(server);
        if !server.draining {
            self.leaving.remove(&server.id);
        }
        if let Some(known) = self.servers.get_mut(&server.id) {
            if !server.may_follow(known) {
                return false;
            }
            if server.has_same_content(known) {
                known.number = server.number;
                return false;
            }
        }
        self.by_target.insert(Target::of(&server.id), server.id.clone());
        self.servers.insert(server.id.clone(), server);
        true
    }

    /// Removes a backend server that is no longer listed.
    pub fn remove(&mut self, id: &str) -> Option<BackendServer> {
        self.by_target.remove(&Target::of(id));
        self.servers.remove(id)
    }

    /// Removes all backend servers for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.servers.retain(|id, _| keep(id));
        self.by_target.retain(|_, id| self.servers.contains_key(id));
    }

    /// Returns the record of a backend server.
    pub fn get(&self, id: &str) -> Option<&BackendServer> {
        self.servers.get(id)
    }

    /// Returns the failure domain of a target, if its backend server is listed.
    pub fn failure_domain(&self, target: Target) -> Option<&str> {
        let server = self.servers.get(self.by_target.get(&target)?)?;
        Some(&server.failure_domain)
    }

    /// Returns the number of backend servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether the directory is empty.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Iterates over all backend servers, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &BackendServer> {
        self.servers.values()
    }

    /// Iterates over the backend servers of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a BackendServer> {
        self.iter().filter(move |server| server.service == service)
    }
}
