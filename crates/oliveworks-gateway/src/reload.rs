//! Handling of SIGHUP: the settings are read again, and the log names the changes.
//!
//! Changes take effect only at the next start. Sockets, limits and decision parameters are read
//! once, so that a process never mixes old and new settings in its decisions. An error in the file
//! is logged with the key at fault, long before a restart would fail because of it.

use serde_json::Value;

use crate::events::Event;
use crate::settings::Settings;

/// Logs the changes in settings that were read again.
pub(crate) fn log_changes(held: &Settings, read: anyhow::Result<Settings>) {
    let event = Event::new("reload");
    let event = match read {
        Err(error) => event.with("outcome", "kept").with("error", format!("{error:#}")),
        Ok(new) => match changed_keys(held, &new) {
            keys if keys.is_empty() => event.with("outcome", "unchanged"),
            keys => event.with("outcome", "in force at the next start").with("keys", keys),
        },
    };
    event.write();
}

/// Returns the keys whose values differ, such as `bounds.drain_ms`.
pub fn changed_keys(held: &Settings, new: &Settings) -> Vec<String> {
    let mut keys = Vec::new();
    if let (Ok(held), Ok(new)) = (serde_json::to_value(held), serde_json::to_value(new)) {
        collect_changed_keys("", &held, &new, &mut keys);
    }
    keys
}

fn collect_changed_keys(key: &str, held: &Value, new: &Value, keys: &mut Vec<String>) {
    let (Value::Object(held_fields), Value::Object(new_fields)) = (held, new) else {
        if held != new {
            keys.push(key.to_owned());
        }
        return;
    };
    let names =
        held_fields.keys().chain(new_fields.keys().filter(|k| !held_fields.contains_key(*k)));
    for name in names {
        let nested_key = if key.is_empty() { name.clone() } else { format!("{key}.{name}") };
        let field = |fields: &serde_json::Map<String, Value>| fields.get(name).cloned();
        let held = field(held_fields).unwrap_or(Value::Null);
        let new = field(new_fields).unwrap_or(Value::Null);
        collect_changed_keys(&nested_key, &held, &new, keys);
    }
}
