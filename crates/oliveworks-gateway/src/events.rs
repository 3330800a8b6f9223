//! Structured log lines: one for each decision on a request, and for each change in the state known
//! to this process.

use std::fmt::Debug;

use log::info;
use oliveworks_runtime::logs::EVENT_TARGET;
use serde_json::{Map, Value};

/// A log line under construction.
pub struct Event(Map<String, Value>);

impl Event {
    /// Creates a line of a kind.
    pub fn new(kind: &str) -> Event {
        let mut fields = Map::new();
        fields.insert("kind".into(), kind.into());
        Event(fields)
    }

    /// Adds a field.
    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Event {
        self.0.insert(name.into(), value.into());
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
