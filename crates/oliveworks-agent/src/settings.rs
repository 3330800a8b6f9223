//! Settings of an agent.

use std::net::SocketAddr;

use oliveworks_core::feed::FeedConfig;
use oliveworks_core::id::{DomainId, HostId};
use oliveworks_core::lease::LeaseConfig;
use oliveworks_core::ledger::LedgerConfig;
use oliveworks_net::keys::TlsConfig;
use oliveworks_runtime::fleet::EntryPeer;
use oliveworks_runtime::keys::RecordKeys;
use oliveworks_runtime::logs::LogConfig;
use oliveworks_runtime::settings::Check;
use serde::{Deserialize, Serialize};

/// Backend server on the agent's host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// URL of the backend server.
    pub url: String,
    /// Whether the server rejects orders and requests with an old fence.
    pub checks_fences: bool,
    /// Maximum time after which an order can still take effect, in milliseconds. Used only for a
    /// server that checks no fences: a restarted agent waits this long before its first order.
    #[serde(default = "ten_seconds")]
    pub order_max_ms: u64,
}

fn ten_seconds() -> u64 {
    10_000
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Host that the agent runs on.
    pub host: HostId,
    /// Fabric domain of the host.
    pub domain: DomainId,
    /// Region of the host.
    pub region: String,
    /// Address at which the agent listens for other processes.
    pub peer: SocketAddr,
    /// Address at which metrics, liveness and readiness are served.
    pub admin: SocketAddr,
    /// URL of the platform.
    pub platform: String,
    /// Backend server.
    pub backend: BackendSettings,
    /// All entries.
    pub entries: Vec<EntryPeer>,
    /// Certificates and keys of the connections between processes.
    pub tls: TlsConfig,
    /// Public keys that verify records.
    pub record_keys: RecordKeys,
    /// Times of the lease protocol.
    #[serde(default)]
    pub lease: LeaseConfig,
    /// Times and limits of the request ledger.
    #[serde(default)]
    pub ledger: LedgerConfig,
    /// Times and fan-out of the feed.
    #[serde(default)]
    pub feed: FeedConfig,
    /// Logging.
    #[serde(default)]
    pub log: LogConfig,
    /// Maximum time that a stop waits for the host to drain, in milliseconds.
    #[serde(default = "two_minutes")]
    pub drain_ms: u64,
}

fn two_minutes() -> u64 {
    120_000
}

impl Check for Settings {
    fn check(&self) -> Result<(), String> {
        if self.entries.is_empty() {
            return Err("entries: must list at least one entry".into());
        }
        if !self.backend.url.starts_with("http://") {
            return Err("backend.url: must start with http://".into());
        }
        if !self.platform.starts_with("http://") {
            return Err("platform: must start with http://".into());
        }
        self.lease.check()?;
        self.ledger.check()?;
        self.record_keys.check()
    }
}
