//! Context file: the processes that the command line contacts, and its credentials.

use std::path::{Path, PathBuf};

use anyhow::Context as _;
use oliveworks_core::id::Name;
use oliveworks_platform::sign::SigningKey;
use oliveworks_runtime::settings::{self, Check};
use serde::Deserialize;

/// Content of the context file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Context {
    /// URL of the platform.
    pub platform: String,
    /// URLs of the operator interfaces of the entries.
    pub entries: Vec<String>,
    /// Bearer token of the operators.
    pub operator_token: String,
    /// Partner that publishes the records.
    pub partner: Name,
    /// File with the private key that signs the partner's records.
    pub partner_key: PathBuf,
}

impl Check for Context {
    fn check(&self) -> Result<(), String> {
        if self.entries.is_empty() {
            return Err("entries: at least one entry is required".into());
        }
        Ok(())
    }
}

impl Context {
    /// Reads the context file.
    ///
    /// # Errors
    /// Returns an error if `path` is `None`, or the file cannot be read or is invalid.
    pub fn load(path: Option<&Path>) -> anyhow::Result<Context> {
        let path = path.context("--context or OLIVEWORKS_CONTEXT must name a context file")?;
        settings::load(path)
    }

    /// Reads the private key of the partner.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or is not a private key.
    pub fn key(&self) -> anyhow::Result<SigningKey> {
        let path = &self.partner_key;
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("partner_key: {}", path.display()))?;
        SigningKey::from_hex(&text).context("partner_key")
    }
}
