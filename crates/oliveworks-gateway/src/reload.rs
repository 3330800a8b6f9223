//! What SIGHUP does: the settings are read again, and the log says what has changed.
//!
//! Nothing takes effect before the next start: sockets, bounds and the weights of decisions are read once, so that a
//! process never decides by some settings of before and some of after. A file that is wrong is told by the key
//! at fault, long before a restart would fail by it.

use serde_json::Value;

use crate::events::Event;
use crate::settings::Settings;

/// Writes what has changed in settings that were read again.
pub(crate) fn tell(held: &Settings, read: anyhow::Result<Settings>) {
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

/// The keys in which settings differ, such as `bounds.drain_ms`.
pub fn changed_keys(held: &Settings, new: &Settings) -> Vec<String> {
    let mut keys = Vec::new();
    if let (Ok(held), Ok(new)) = (serde_json::to_value(held), serde_json::to_value(new)) {
        differ("", &held, &new, &mut keys);
    }
    keys
}

fn differ(key: &str, held: &Value, new: &Value, keys: &mut Vec<String>) {
    let (Value::Object(held_fields), Value::Object(new_fields)) = (held, new) else {
        if held != new {
            keys.push(key.to_owned());
        }
        return;
    };
    let names =
        held_fields.keys().chain(new_fields.keys().filter(|k| !held_fields.contains_key(*k)));
    for name in names {
        let below = if key.is_empty() { name.clone() } else { format!("{key}.{name}") };
        let field = |fields: &serde_json::Map<String, Value>| fields.get(name).cloned();
        let held = field(held_fields).unwrap_or(Value::Null);
        let new = field(new_fields).unwrap_or(Value::Null);
        differ(&below, &held, &new, keys);
    }
}
