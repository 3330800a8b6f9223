//! Settings of a gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oliveworks_gateway_core::admission::AdmissionConfig;
use oliveworks_gateway_core::planner::PlannerConfig;
use oliveworks_gateway_core::stop::{GRACE_MAX_MS, GRACE_MIN_MS};
use oliveworks_runtime::descriptors;
use oliveworks_runtime::logs::LogConfig;
use oliveworks_runtime::settings::Check;
use serde::{Deserialize, Serialize};

/// All settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this gateway, unique among gateways.
    pub node: String,
    /// Failure domain of this gateway.
    pub failure_domain: String,
    /// Listening addresses.
    pub listen: Listen,
    /// Addresses of some gateways to contact first; they may be stale. Only the host part is used,
    /// since gateways communicate on the port of `listen.peers`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Part of a processor core that this gateway may use. Gateways with more of it are preferred
    /// as leaders.
    #[serde(default)]
    pub processor: Option<f64>,
    /// Memory that this process may use, in MB.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Number of descriptors that this process may have open; by default the limit of the process.
    #[serde(default)]
    pub descriptors: Option<usize>,
    /// The platform's store.
    pub store: Store,
    /// Guarantees that the gateway has to keep.
    pub bounds: Bounds,
    /// Region of each failure domain; required if routes or workspaces name regions.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Losses that may occur at once without breaking a guarantee.
    #[serde(default)]
    pub tolerance: Tolerance,
    /// Handling of requests.
    #[serde(default)]
    pub requests: Requests,
    /// Parameters of decisions.
    #[serde(default)]
    pub policy: Policy,
    /// Logging.
    #[serde(default)]
    pub log: LogConfig,
}

/// Parameters of a gateway's decisions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Parameters of the planner, which chooses the hosts that form groups and the models that
    /// other hosts load.
    pub planner: PlannerConfig,
    /// Parameters of the share of free capacity that this gateway may use.
    pub admission: AdmissionConfig,
}

/// Listening addresses of a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers, TCP.
    pub callers: SocketAddr,
    /// Address for readiness checks and metrics, TCP.
    pub ready: SocketAddr,
    /// Address for other gateways, UDP and TCP.
    pub peers: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Longest time for which the store holds a call back while the configuration is unchanged, in
    /// ms; by default 65 in 100 of `bounds.apply_ms`, or of `bounds.domain_drain_ms` if that is
    /// less.
    #[serde(default)]
    pub configuration_wait_ms: Option<u64>,
    /// Time between two reads of the backend servers' records, in ms; by default 65 in 100 of
    /// `bounds.drain_ms`.
    #[serde(default)]
    pub servers_every_ms: Option<u64>,
    /// Time between two records of a backend server, in ms.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Timeout of a call, in ms, in addition to the time for which the store may hold it back.
    #[serde(default = "default_call_ms")]
    pub call_ms: u64,
}

/// Guarantees that a gateway has to keep.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time after which a leaving backend server gets no new requests, in ms.
    pub drain_ms: u64,
    /// Time after which a published configuration is in force, in ms.
    pub apply_ms: u64,
    /// Grace period of a stopping process, in seconds.
    pub grace_s: f64,
    /// Time after which a revoked key is no longer honoured, in ms; none if it is not limited.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// Repeated sends allowed per request, over all gateways.
    pub repeat_ratio: f64,
    /// Repeated sends allowed in addition per window, over all gateways.
    pub repeat_extra: f64,
    /// Length of the window, in seconds.
    pub repeat_window_s: f64,
    /// Time after which a drained failure domain gets no requests, in ms; none if it is not
    /// limited.
    #[serde(default)]
    pub domain_drain_ms: Option<u64>,
    /// Limit on requests to a cold backend server; none if they are not limited.
    #[serde(default)]
    pub slow_start: Option<SlowStartBound>,
}

impl Bounds {
    /// Returns the grace period of a stopping process, in ms.
    pub fn grace_ms(&self) -> u64 {
        whole_ms(self.grace_s)
    }

    /// Returns the length of the window of repeated sends, in ms.
    pub fn repeat_window_ms(&self) -> u64 {
        whole_ms(self.repeat_window_s)
    }
}

/// Returns the whole milliseconds of a time in seconds.
fn whole_ms(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}

/// Losses that may occur at once.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tolerance {
    /// Number of failure domains.
    pub failure_domains: usize,
}

/// Limit on the requests per second that all gateways together send to a cold backend server: the
/// rate that the server can take times `excess`, plus `extra`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStartBound {
    /// Factor on the rate that the server can take.
    pub excess: f64,
    /// Requests per second in addition.
    pub extra: f64,
}

/// Handling of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// Timeout for opening a connection to a backend server, in ms.
    pub connect_ms: u64,
    /// Load, as a fraction of its slots, at which a backend server accepts no more requests.
    pub full_at: f64,
    /// Largest answer that is buffered until it is complete, in bytes.
    pub answer_max: usize,
    /// Largest sum of the bodies that are held at once, in bytes; by default a quarter of
    /// `memory_mb`, or of 1024 MB if that is not set.
    pub bodies_max: Option<usize>,
    /// Largest sum of the memory that heads with many fields and prompts with many parts take at
    /// once, in bytes; by default a sixteenth of `memory_mb`, or of 1024 MB if that is not set.
    pub heads_max: Option<usize>,
    /// Largest sum of the answers that are held at once until they are complete and delivered, in
    /// bytes; by default an eighth of `memory_mb`, or of 1024 MB if that is not set.
    pub answers_max: Option<usize>,
    /// Largest number of connections of callers that are open at once; by default what `memory_mb` and
    /// `descriptors` have room for.
    pub connections_max: Option<usize>,
    /// Whether requests during which several backend servers ended in a row are rejected.
    pub refuse_crashers: bool,
}

impl Default for Requests {
    fn default() -> Requests {
        Requests {
            connect_ms: 150,
            full_at: 1.0,
            answer_max: 8 << 20,
            bodies_max: None,
            heads_max: None,
            answers_max: None,
            connections_max: None,
            refuse_crashers: true,
        }
    }
}

fn default_heartbeat_ms() -> u64 {
    1_500
}

fn default_call_ms() -> u64 {
    1_000
}

/// Memory of a process if its setting is missing, in MB.
const MEMORY_MB: usize = 1 << 10;
/// Parts of the memory of the process that bodies, heads with many fields, and answers may use. The
/// rest is left for connections, records, and buffers of the sockets.
const BODIES_MEMORY_DIVISOR: usize = 4;
const HEADS_MEMORY_DIVISOR: usize = 16;
const ANSWERS_MEMORY_DIVISOR: usize = 8;
/// Part of the memory of the process that the connections of callers may use.
const CONNECTIONS_MEMORY_DIVISOR: usize = 4;
/// Memory of a connection, in bytes: a head or a small body in its read buffer, the same once more as
/// a request, and as much in the receive buffer of its socket.
const CONNECTION_BYTES: usize = 64 << 10;
/// Number of descriptors for other purposes than callers and their requests: files, the store, other
/// gateways, readiness checks, and calls of a leader.
const DESCRIPTORS_RESERVED: usize = 500;
/// Number of descriptors of a caller: its connection, and one to a backend server.
const DESCRIPTORS_PER_CALLER: usize = 2;

/// Part of a limit by which a read of the store may be late, in hundredths. Reads are not made more
/// often because each one is charged.
const READ_PERCENT: u64 = 65;

impl Settings {
    /// Returns the processor capacity in percent of a core, if it is set.
    pub fn processor_percent(&self) -> Option<u32> {
        self.processor.map(|share| (share * 100.0).round() as u32)
    }

    /// Returns the memory of the process, in bytes.
    fn memory_bytes(&self) -> usize {
        self.memory_mb.unwrap_or(MEMORY_MB) << 20
    }

    /// Returns the largest sum of the bodies that are held at once, in bytes.
    pub fn bodies_max(&self) -> usize {
        self.requests.bodies_max.unwrap_or(self.memory_bytes() / BODIES_MEMORY_DIVISOR)
    }

    /// Returns the largest sum of the memory of heads with many fields, in bytes.
    pub fn heads_max(&self) -> usize {
        self.requests.heads_max.unwrap_or(self.memory_bytes() / HEADS_MEMORY_DIVISOR)
    }

    /// Returns the largest sum of the answers that are held at once, in bytes.
    pub fn answers_max(&self) -> usize {
        self.requests.answers_max.unwrap_or(self.memory_bytes() / ANSWERS_MEMORY_DIVISOR)
    }

    /// Returns the largest number of connections of callers.
    pub fn connections_max(&self) -> usize {
        let by_memory = self.memory_bytes() / CONNECTIONS_MEMORY_DIVISOR / CONNECTION_BYTES;
        let descriptors = self.descriptors.or_else(descriptors::limit).unwrap_or(usize::MAX);
        let by_descriptors =
            descriptors.saturating_sub(DESCRIPTORS_RESERVED) / DESCRIPTORS_PER_CALLER;
        self.requests.connections_max.unwrap_or(by_memory.min(by_descriptors).max(1))
    }

    /// Returns the longest time for which the store holds back a read of the configuration and of
    /// drains, in ms. The store may fail to answer a read that arrives together with a change, so
    /// that only the next read returns the change. Both limits leave enough time for that.
    pub fn configuration_wait_ms(&self) -> u64 {
        let Bounds { apply_ms, domain_drain_ms, .. } = self.bounds;
        let bound = domain_drain_ms.map_or(apply_ms, |drain_ms| drain_ms.min(apply_ms));
        self.store.configuration_wait_ms.unwrap_or(bound * READ_PERCENT / 100)
    }

    /// Returns the time between two reads of the backend servers' records, in ms. A leaving server
    /// is noticed by the next read, and the rest of the limit is left for the read itself and for
    /// requests in transit.
    pub fn servers_every_ms(&self) -> u64 {
        self.store.servers_every_ms.unwrap_or(self.bounds.drain_ms * READ_PERCENT / 100)
    }

    /// Returns the longest time between the writing of a backend server's record and its processing
    /// here, in ms: the record is written with a heartbeat and processed with the next read of the
    /// list.
    pub fn record_lag_ms(&self) -> u64 {
        self.store.heartbeat_ms + self.servers_every_ms() + self.store.call_ms
    }
}

impl Check for Settings {
    fn check(&self) -> Result<(), String> {
        // Checked before the values derived from it, whose names would otherwise appear in the
        // error.
        if self.bounds.domain_drain_ms == Some(0) {
            return Err("bounds.domain_drain_ms: must be more than 0".into());
        }
        let positive = [
            ("store.configuration_wait_ms", self.configuration_wait_ms()),
            ("store.servers_every_ms", self.servers_every_ms()),
            ("store.call_ms", self.store.call_ms),
            ("store.heartbeat_ms", self.store.heartbeat_ms),
            ("bounds.drain_ms", self.bounds.drain_ms),
            ("bounds.apply_ms", self.bounds.apply_ms),
            ("bounds.repeat_window_s", self.bounds.repeat_window_ms()),
            ("requests.connect_ms", self.requests.connect_ms),
            ("policy.admission.window_ms", self.policy.admission.window_ms),
        ];
        for (key, value) in positive {
            if value == 0 {
                return Err(format!("{key}: must be more than 0"));
            }
        }
        if !(GRACE_MIN_MS..=GRACE_MAX_MS).contains(&self.bounds.grace_ms()) {
            return Err("bounds.grace_s: must be at least 1 and at most 86400".into());
        }
        if self.processor.is_some_and(|share| !(share > 0.0 && share.is_finite())) {
            return Err("processor: must be more than 0".into());
        }
        if self.memory_mb == Some(0) {
            return Err("memory_mb: must be more than 0".into());
        }
        let limits = [
            ("requests.bodies_max", self.requests.bodies_max),
            ("requests.heads_max", self.requests.heads_max),
            ("requests.answers_max", self.requests.answers_max),
            ("requests.connections_max", self.requests.connections_max),
            ("descriptors", self.descriptors),
        ];
        if let Some((key, _)) = limits.into_iter().find(|(_, max)| *max == Some(0)) {
            return Err(format!("{key}: must be more than 0"));
        }
        if self.node.is_empty() {
            return Err("node: must not be empty".into());
        }
        if let Some(bound) = self.bounds.slow_start
            && !(bound.excess > 0.0 && bound.extra >= 0.0)
        {
            let message = "bounds.slow_start: excess must be more than 0, extra not negative";
            return Err(message.into());
        }
        if !(self.bounds.repeat_ratio >= 0.0 && self.bounds.repeat_extra >= 0.0) {
            return Err("bounds.repeat_ratio, bounds.repeat_extra: must not be negative".into());
        }
        let planner = &self.policy.planner;
        let percents = [
            ("policy.planner.spare_percent", planner.spare_percent),
            ("policy.planner.staging_percent", planner.staging_percent),
            ("policy.admission.plenty_percent", self.policy.admission.plenty_percent as usize),
            (
                "policy.admission.returning_percent",
                self.policy.admission.returning_percent as usize,
            ),
        ];
        for (key, percent) in percents {
            if percent > 100 {
                return Err(format!("{key}: must be at most 100"));
            }
        }
        let loads = [
            ("policy.planner.busy_load", planner.busy_load),
            ("policy.planner.crowded_load", planner.crowded_load),
            ("policy.planner.yield_margin", planner.yield_margin),
        ];
        for (key, load) in loads {
            if load.is_nan() || load < 0.0 {
                return Err(format!("{key}: must not be negative"));
            }
        }
        if self.requests.full_at.is_nan() || self.requests.full_at <= 0.0 {
            return Err("requests.full_at: must be more than 0".into());
        }
        Ok(())
    }
}
