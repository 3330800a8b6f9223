//! Settings: YAML files, overridden by environment variables, and checked before a process starts.
//!
//! `OLIVEWORKS_SET_LISTEN=127.0.0.1:1` overrides the key `listen`. Two underscores separate the
//! levels of a nested key: `OLIVEWORKS_SET_LEASE__TTL_MS=900` overrides `lease.ttl_ms`.

use std::path::Path;

use anyhow::{Context, anyhow, bail};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Prefix of environment variables that override settings.
pub const PREFIX: &str = "OLIVEWORKS_SET_";

/// Settings that can be validated.
pub trait Check {
    /// Checks the rules that the types do not express.
    ///
    /// # Errors
    /// Returns an error that names the invalid settings key.
    fn check(&self) -> Result<(), String>;
}

/// Reads and checks a settings file.
///
/// # Errors
/// Returns an error that names the file if it cannot be read, and the file and the key if a key is
/// unknown, missing or invalid.
pub fn load<T: DeserializeOwned + Check>(path: &Path) -> anyhow::Result<T> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("settings {}", path.display()))?;
    let overrides = std::env::vars().filter(|(k, _)| k.starts_with(PREFIX));
    parse(&text, overrides).with_context(|| format!("settings {}", path.display()))
}

/// Parses and checks settings from text. Overrides are pairs of an environment variable and its
/// value.
///
/// # Errors
/// Returns an error that names the key if a key is unknown, missing or invalid, or the variable if
/// an override does not fit.
pub fn parse<T: DeserializeOwned + Check>(
    text: &str,
    overrides: impl IntoIterator<Item = (String, String)>,
) -> anyhow::Result<T> {
    let mut overrides = overrides.into_iter().peekable();
    let settings: T = if overrides.peek().is_none() {
        serde_saphyr::from_str(text).map_err(|e| anyhow!("{e}"))?
    } else {
        let mut value: Value = serde_saphyr::from_str(text).map_err(|e| anyhow!("{e}"))?;
        for (variable, new) in overrides {
            let key = variable.trim_start_matches(PREFIX).to_lowercase();
            override_key(&mut value, &key, &new).with_context(|| format!("variable {variable}"))?;
        }
        serde_path_to_error::deserialize(value)
            .map_err(|e| anyhow!("{}: {}", e.path(), e.inner()))?
    };
    settings.check().map_err(|e| anyhow!("{e}"))?;
    Ok(settings)
}

/// Sets a key, whose levels are separated by two underscores, to a value given as text.
fn override_key(value: &mut Value, key: &str, new: &str) -> anyhow::Result<()> {
    let mut target = value;
    for level in key.split("__") {
        let Value::Object(map) = target else {
            bail!("{key}: a level above the last one is not a mapping")
        };
        target = map.entry(level).or_insert(Value::Object(Default::default()));
    }
    // The text is parsed as YAML, so that numbers, booleans and lists get their types. Text that is
    // not valid YAML is used as a string.
    *target = serde_saphyr::from_str(new).unwrap_or_else(|_| Value::String(new.to_owned()));
    Ok(())
}
