//! The operators' configuration: routes, services, workspaces and limits.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
}

/// A route: the requests that it matches, and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Host name that the route belongs to, in lower case.
    pub host: String,
    /// Prefix of the matching paths; begins and ends with a slash.
    pub path_prefix: String,
    /// Services and their weights.
    pub targets: Vec<(String, u32)>,
    /// Whether requests may be sent more than once.
    pub repeat: Repeat,
    /// Whether answers are event streams.
    pub stream: bool,
    /// Whether a stream may be resumed at another backend server.
    pub resumable: bool,
    /// Maximum time for which a request is held, in ms.
    pub timeout_ms: u64,
    /// Time within which an answer has its full value, in ms.
    pub goal_ms: u64,
    /// Maximum gap between events for which a stream counts as in time, in ms.
    pub gap_goal_ms: Option<u64>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions in which requests may be served; empty if any region may serve them.
    pub regions: Vec<String>,
}

/// A model that a service offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Number of hosts in a replica group.
    pub size: usize,
    /// Share of the work at the start.
    pub share: f64,
    /// Factor that applies to all times of the engine.
    pub pace: f64,
    /// Time that a host takes to load the model from the weight store, in ms.
    pub load_ms: u64,
    /// Time that a host takes to load the model from its own memory, in ms.
    pub warm_ms: u64,
}

/// Engine of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Models that replica groups serve; empty if backend servers serve individually.
    pub models: Vec<Model>,
    /// Number of requests that a replica group works on concurrently.
    pub slots: u32,
    /// Memory of a replica group, in tokens.
    pub memory_tokens: u64,
    /// Duration of a token step, in ms.
    pub step_ms: f64,
    /// Additional duration of a step for each decoding request, in ms.
    pub per_sequence_ms: f64,
    /// Prompt tokens that are read per ms.
    pub read_per_ms: f64,
    /// Maximum number of prompt tokens that are read in a step.
    pub chunk: u32,
    /// Number of steps in a pass.
    pub stride: u32,
    /// Loads that may begin each second.
    pub loads_per_s: f64,
    /// Number of concurrent loads that run at full speed.
    pub loads_at_once: u32,
    /// Time from an order to open until a group serves, in ms.
    pub form_ms: u64,
    /// Age of the state in a backend server's report when it is sent, in ms.
    pub report_lag_ms: u64,
}

/// Slow start of the backend servers of a service: each can handle only few requests for some time
/// after its start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Time after its start for which a backend server is cold, in ms.
    pub lasts_ms: u64,
    /// Requests per second that a cold backend server can handle.
    pub requests_per_s: f64,
}

/// A service: a set of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that a backend server of the service accepts.
    pub max_connections: u32,
    /// Engine of the service, if it serves models.
    pub engine: Option<Engine>,
    /// Slow start of the backend servers; `None` if they can handle any load from the start.
    pub slow_start: Option<SlowStart>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head, in ms.
    pub header_timeout_ms: u64,
    /// Maximum time for which a connection may be idle, in ms.
    pub idle_timeout_ms: u64,
}

/// A workspace and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// API keys of the workspace.
    pub keys: Vec<String>,
    /// Priority of its requests, 0 the highest; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served; empty if any region may serve them.
    pub regions: Vec<String>,
}

/// A version of the configuration, as published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number; later versions have higher numbers.
    pub version: u64,
    /// All routes of this version.
    pub routes: Vec<Route>,
    /// All services of this version.
    pub services: Vec<Service>,
    /// Limits on the requests of callers.
    pub limits: Limits,
    /// Workspaces; `None` if requests need no keys.
    pub workspaces: Option<Vec<Workspace>>,
}

/// Reason for which the configuration has no match for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unmatched {
    /// No route matches the request.
    NoRoute,
    /// The request carries no key, or a key of no workspace.
    NoKey,
}

/// Match of a request in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Match<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Workspace whose key the request carries.
    pub workspace: Option<&'a Workspace>,
}

/// A configuration with indexes for looking up requests.
#[derive(Clone, Debug)]
pub struct Lookup {
    /// The configuration itself.
    pub configuration: Configuration,
    routes_of_host: HashMap<String, Vec<usize>>,
    workspace_of_key: HashMap<String, usize>,
    service_of_name: HashMap<String, usize>,
}

impl Lookup {
    /// Builds the indexes for a configuration.
    pub fn new(configuration: Configuration) -> Lookup {
        let mut routes_of_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            routes_of_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for routes in routes_of_host.values_mut() {
            // Longest prefix first, so that the first match is the most specific one.
            routes.sort_by_key(|&i| std::cmp::Reverse(configuration.routes[i].path_prefix.len()));
        }
        let mut workspace_of_key = HashMap::new();
        for (index, workspace) in configuration.workspaces.iter().flatten().enumerate() {
            for key in &workspace.keys {
                workspace_of_key.insert(key.clone(), index);
            }
        }
        let names = configuration.services.iter().enumerate();
        let service_of_name = names.map(|(index, s)| (s.name.clone(), index)).collect();
        Lookup { configuration, routes_of_host, workspace_of_key, service_of_name }
    }

    /// Finds the route of a request and the workspace of its key.
    ///
    /// # Errors
    ///
    /// If no route matches, or the key is missing or unknown.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<Match<'_>, Unmatched> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.routes_of_host.get(&host).ok_or(Unmatched::NoRoute)?;
        let mut routes = routes.iter().map(|&index| &self.configuration.routes[index]);
        let route =
            routes.find(|route| path.starts_with(&route.path_prefix)).ok_or(Unmatched::NoRoute)?;
        if route.public || self.configuration.workspaces.is_none() {
            return Ok(Match { route, workspace: None });
        }
        let workspaces = self.configuration.workspaces.as_deref().unwrap_or_default();
        let index = key.and_then(|key| self.workspace_of_key.get(key)).ok_or(Unmatched::NoKey)?;
        Ok(Match { route, workspace: Some(&workspaces[*index]) })
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.service_of_name.get(name).map(|&index| &self.configuration.services[index])
    }
}

impl Route {
    /// Returns the service that a request goes to; always the same one for the same request id.
    pub fn service_for(&self, request: &str) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return self.targets.first().map(|(name, _)| name.as_str());
        }
        let mut point = xxh3_64(request.as_bytes()) % total;
        for (name, weight) in &self.targets {
            if point < u64::from(*weight) {
                return Some(name);
            }
            point -= u64::from(*weight);
        }
        None
    }
}

impl Engine {
    /// Returns the maximum gap between two events of a stream of a model's replica group, in ms:
    /// the duration of a pass in which every step reads as many prompt tokens as it may.
    pub fn longest_pass_ms(&self, model: &Model) -> f64 {
        let writing = self.step_ms + self.per_sequence_ms * f64::from(self.slots);
        let reading = f64::from(self.chunk) / self.read_per_ms.max(0.001);
        f64::from(self.stride) * (writing + reading) * model.pace
    }

    /// Returns a model by its name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }
}
