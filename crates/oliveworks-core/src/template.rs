//! Templates and workspaces, which operators publish.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::Name;

/// Minimum number of hosts of a model's replica.
pub const HOSTS_MIN: u16 = 4;
/// Maximum number of hosts of a model's replica.
pub const HOSTS_MAX: u16 = 32;
/// Maximum number of replicas of one template.
pub const REPLICAS_MAX: u16 = 1024;
/// Highest priority.
pub const PRIORITY_MAX: u8 = 9;

/// Key of a template: partner, workspace and the template's own name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TemplateKey {
    /// Owning partner.
    pub partner: Name,
    /// Workspace of the partner.
    pub workspace: Name,
    /// Name of the template within the workspace.
    pub name: Name,
}

impl fmt::Display for TemplateKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.partner, self.workspace, self.name)
    }
}

/// Slot: the place of one replica in a template, independent of the hosts that form the replica at
/// a given time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotId {
    /// Template that the slot belongs to.
    pub template: TemplateKey,
    /// Index of the replica, from 0 up to but excluding the template's number of replicas.
    pub index: u16,
}

impl fmt::Display for SlotId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.template, self.index)
    }
}

/// Kind of backend that a template describes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engine across several hosts.
    #[default]
    Model,
    /// Plain service on one host.
    Service,
}

/// Part of the request processing that the hosts of a replica perform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prefill and decode together.
    #[default]
    Combined,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// Limits on the requests of a template's callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of requests that run on one replica at the same time.
    pub concurrent: u32,
    /// Maximum number of requests that wait at one entry.
    pub queue: u32,
    /// Maximum number of tokens of one answer.
    pub max_tokens: u32,
    /// Time allowed for a request without its own deadline, in milliseconds.
    pub deadline_ms: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { concurrent: 32, queue: 64, max_tokens: 4096, deadline_ms: 60_000 }
    }
}

/// Template: the replicas that a workspace requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Owning partner.
    pub partner: Name,
    /// Workspace of the partner.
    pub workspace: Name,
    /// Name of the template.
    pub name: Name,
    /// Kind of backend: model engine or plain service.
    #[serde(default)]
    pub kind: Kind,
    /// Name of the model or service. Callers request it by this name.
    pub model: Name,
    /// Adapter on top of the model.
    #[serde(default)]
    pub adapter: Option<Name>,
    /// Version of the model.
    pub version: Name,
    /// Role of the replicas.
    #[serde(default)]
    pub role: Role,
    /// Number of hosts of one replica.
    pub hosts: u16,
    /// Number of spare hosts assigned to each replica in advance. A spare can take a lost member's
    /// place at once.
    #[serde(default)]
    pub spares: u16,
    /// Number of replicas requested.
    pub replicas: u16,
    /// Priority from 0 to 9. A higher priority goes first among templates of the same partner.
    #[serde(default)]
    pub priority: u8,
    /// Whether a request may run again after it may have run.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Limits on the requests of callers.
    #[serde(default)]
    pub limits: Limits,
}

fn yes() -> bool {
    true
}

/// Error for a template or workspace that violates a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TemplateError {
    key: &'static str,
    why: String,
}

impl TemplateError {
    fn new(key: &'static str, why: impl Into<String>) -> TemplateError {
        TemplateError { key, why: why.into() }
    }

    /// Returns the name of the invalid setting.
    pub fn key(&self) -> &'static str {
        self.key
    }
}

impl fmt::Display for TemplateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.why)
    }
}

impl std::error::Error for TemplateError {}

impl Template {
    /// Returns the key of the template.
    pub fn key(&self) -> TemplateKey {
        TemplateKey {
            partner: self.partner.clone(),
            workspace: self.workspace.clone(),
            name: self.name.clone(),
        }
    }

    /// Checks the rules that the types do not enforce.
    ///
    /// # Errors
    /// Names the first invalid setting.
    pub fn check(&self) -> Result<(), TemplateError> {
        let range = match self.kind {
            Kind::Model => HOSTS_MIN..=HOSTS_MAX,
            Kind::Service => 1..=1,
        };
        if !range.contains(&self.hosts) {
            let why = format!("{} to {} for this kind", range.start(), range.end());
            return Err(TemplateError::new("hosts", why));
        }
        // Any two choices of `hosts` members out of `hosts + spares` must share a host. The lease
        // module explains why.
        if self.spares >= self.hosts {
            return Err(TemplateError::new("spares", "must be fewer than hosts"));
        }
        if self.replicas > REPLICAS_MAX {
            return Err(TemplateError::new("replicas", format!("at most {REPLICAS_MAX}")));
        }
        if self.priority > PRIORITY_MAX {
            return Err(TemplateError::new("priority", format!("0 to {PRIORITY_MAX}")));
        }
        if self.limits.concurrent == 0 {
            return Err(TemplateError::new("limits.concurrent", "at least 1"));
        }
        if self.limits.deadline_ms == 0 {
            return Err(TemplateError::new("limits.deadline_ms", "at least 1"));
        }
        if self.limits.max_tokens == 0 {
            return Err(TemplateError::new("limits.max_tokens", "at least 1"));
        }
        Ok(())
    }

    /// Returns a digest of the fields that determine a running replica. Templates of the same shape
    /// can keep the same replica groups.
    pub fn shape(&self) -> u64 {
        let parts = (self.kind, &self.model, &self.adapter, &self.version, self.role, self.hosts);
        xxh3_64(&postcard::to_stdvec(&parts).expect("plain data always serializes"))
    }

    /// Returns a digest of the weights that each host of a replica holds.
    pub fn weights(&self) -> u64 {
        let parts = (&self.model, &self.adapter, &self.version, self.hosts);
        xxh3_64(&postcard::to_stdvec(&parts).expect("plain data always serializes"))
    }
}

/// Workspace: its callers, and its weight in sharing the entries' capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Owning partner.
    pub partner: Name,
    /// Name of the workspace.
    pub workspace: Name,
    /// Digests of the callers' tokens, in hexadecimal. The tokens themselves are never published.
    pub tokens: Vec<String>,
    /// Weight of the workspace where requests wait for the same replicas.
    #[serde(default = "one")]
    pub weight: u32,
}

fn one() -> u32 {
    1
}

/// Length of a token digest in hexadecimal digits.
pub const TOKEN_DIGEST_LEN: usize = 64;

impl Workspace {
    /// Checks the rules that the types do not enforce.
    ///
    /// # Errors
    /// Names the first invalid setting.
    pub fn check(&self) -> Result<(), TemplateError> {
        let hex = |t: &String| {
            t.len() == TOKEN_DIGEST_LEN
                && t.chars().all(|c| c.is_ascii_hexdigit() && !c.is_ascii_uppercase())
        };
        if !self.tokens.iter().all(hex) {
            return Err(TemplateError::new("tokens", "each is 64 lower-case hexadecimal digits"));
        }
        if self.weight == 0 {
            return Err(TemplateError::new("weight", "at least 1"));
        }
        Ok(())
    }
}
