//! Structured log lines: one for each decision on a request, and for each change in the state known
//! to this process.

use std::fmt::Debug;

use log::info;
use oliveworks_runtime::logs::EVENT_TARGET;
use serde_json::{Map, Value};

/// Largest length of a text, in bytes. Callers choose the ids of their requests, and the lines that
/// wait to be written must not fill the memory.
const TEXT_MAX: usize = 1 << 10;

/// A log line under construction.
pub struct Event(Map<String, Value>);

impl Event {
    /// Creates a line of a kind.
    pub fn new(kind: &str) -> Event {
        let mut fields = Map::new();
        fields.insert("kind".into(), kind.into());
        Event(fields)
    }

    /// Adds a field. The rest of a text that is longer than `TEXT_MAX` is left out.
    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Event {
        let mut value = value.into();
        if let Value::String(text) = &mut value {
            text.truncate(text.floor_char_boundary(TEXT_MAX));
        }
        self.0.insert(name.into(), value);
        self
    }

    /// Adds a field in debug format.
    pub fn debug(self, name: &str, value: impl Debug) -> Event {
        self.with(name, format!("{value:?}"))
    }

    /// Writes the line.
    pub fn write(self) {
        info!(target: EVENT_TARGET, "{}", Value::Object(self.0));
    }
}
