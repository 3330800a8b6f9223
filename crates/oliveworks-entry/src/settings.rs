//! Settings of an entry.

use std::net::SocketAddr;
use std::path::PathBuf;

use oliveworks_core::admit::AdmitConfig;
use oliveworks_core::decider::DeciderConfig;
use oliveworks_core::feed::FeedConfig;
use oliveworks_core::id::EntryId;
use oliveworks_core::route::RouteConfig;
use oliveworks_net::keys::TlsConfig;
use oliveworks_runtime::fleet::EntryPeer;
use oliveworks_runtime::keys::RecordKeys;
use oliveworks_runtime::logs::LogConfig;
use oliveworks_runtime::settings::Check;
use serde::{Deserialize, Serialize};

/// Limits and timeouts that concern callers' requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerSettings {
    /// Maximum size of a completion's body, in bytes.
    pub body_max: usize,
    /// Maximum time that a caller may take to send the body, in milliseconds.
    pub body_ms: u64,
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum number of attempts of one request.
    pub tries: u32,
    /// Maximum number of retries, in percent of the requests.
    pub retry_percent: u32,
    /// Maximum number of groups of one model template that this entry uses.
    pub groups: usize,
    /// Time without a frame from an agent after which the agent is treated as lost, in
    /// milliseconds.
    pub lost_ms: u64,
    /// Time between two status queries to a group, in milliseconds.
    pub hello_ms: u64,
}

impl Default for CallerSettings {
    fn default() -> CallerSettings {
        CallerSettings {
            body_max: 4 << 20,
            body_ms: 10_000,
            connections: 4_096,
            tries: 4,
            retry_percent: 20,
            groups: 16,
            lost_ms: 2_500,
            hello_ms: 1_000,
        }
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of this entry.
    pub entry: EntryId,
    /// Region of this entry.
    pub region: String,
    /// Failure domain of this entry.
    pub failure_domain: String,
    /// Address at which the entry listens for callers.
    pub listen: SocketAddr,
    /// Address at which the entry listens for operators and monitoring.
    pub admin: SocketAddr,
    /// Address at which the entry listens for other processes.
    pub peer: SocketAddr,
    /// URL of the platform.
    pub platform: String,
    /// All entries, including this one.
    pub entries: Vec<EntryPeer>,
    /// Certificates and keys of the connections between processes.
    pub tls: TlsConfig,
    /// Public keys that verify records.
    pub record_keys: RecordKeys,
    /// File with the system's private key, which signs records.
    pub system_key: PathBuf,
    /// Digest of the token that operators' tools present, in hexadecimal.
    pub operator_token_digest: String,
    /// Limits and timeouts that concern callers' requests.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Admission.
    #[serde(default)]
    pub admission: AdmitConfig,
    /// Routing.
    #[serde(default)]
    pub routing: RouteConfig,
    /// Deciding role.
    #[serde(default)]
    pub decider: DeciderConfig,
    /// Times and fan-out of the feed.
    #[serde(default)]
    pub feed: FeedConfig,
    /// Time between two reads of the platform's list of hosts by an entry that may decide, in
    /// milliseconds.
    #[serde(default = "one_second")]
    pub list_ms: u32,
    /// Logging.
    #[serde(default)]
    pub log: LogConfig,
    /// Maximum time that a stop waits for requests in progress, in milliseconds.
    #[serde(default = "one_minute")]
    pub drain_ms: u64,
}

fn one_second() -> u32 {
    1_000
}

fn one_minute() -> u64 {
    60_000
}

impl Check for Settings {
    fn check(&self) -> Result<(), String> {
        let own_entry = self.entries.iter().find(|e| e.entry == self.entry);
        match own_entry {
            None => return Err(format!("entries: this entry, {}, is not listed", self.entry)),
            Some(own_entry) if own_entry.region != self.region => {
                return Err(format!(
                    "region: the list of entries has region {} for this entry",
                    own_entry.region
                ));
            }
            Some(_) => {}
        }
        if !self.platform.starts_with("http://") {
            return Err("platform: must start with http://".into());
        }
        if self.callers.tries == 0 {
            return Err("callers.tries: must be at least 1".into());
        }
        if self.callers.groups == 0 {
            return Err("callers.groups: must be at least 1".into());
        }
        if self.routing.block == 0 {
            return Err("routing.block: must be at least 1".into());
        }
        self.record_keys.check()
    }
}
