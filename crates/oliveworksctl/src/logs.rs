//! Reader of gateway logs, which are files with one JSON object per line.
//!
//! The logs of a day can be larger than memory, so lines are processed one by one. A file may have
//! been truncated during a write, and a log collector may have added text before or between the
//! lines. Lines that cannot be parsed are therefore counted and skipped; they are not an error.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use anyhow::Context;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Log line with an event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Time of the line by the wall clock of its process, in ms since 1970.
    pub time_ms: u64,
    /// Process that wrote the line; empty for lines that report the number of dropped lines.
    #[serde(default)]
    pub process: String,
    /// Logged event.
    pub event: Event,
}

/// Logged event: its kind, and fields that depend on the kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Kind of the event.
    pub kind: String,
    /// Other fields, by name.
    #[serde(flatten)]
    pub fields: BTreeMap<String, Value>,
}

/// Numbers of skipped lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LeftOut {
    /// Lines that start like a gateway's line but cannot be parsed.
    pub torn: u64,
    /// Lines that no gateway wrote.
    pub foreign: u64,
}

/// Log files: the given files, and all files below the given directories.
pub struct Logs {
    files: Vec<PathBuf>,
}

/// Start of each line that a gateway writes.
const LINE_PREFIX: &str = "{\"time_ms\":";

/// Adds a file, or all files below a directory, to `files`.
fn files_below(path: &Path, files: &mut Vec<PathBuf>) -> anyhow::Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    let entries = std::fs::read_dir(path).with_context(|| path.display().to_string())?;
    for entry in entries {
        let entry = entry.with_context(|| path.display().to_string())?;
        files_below(&entry.path(), files)?;
    }
    Ok(())
}

impl Logs {
    /// Finds the log files.
    ///
    /// # Errors
    /// Returns an error if a directory cannot be read.
    pub fn find(paths: &[PathBuf]) -> anyhow::Result<Logs> {
        let mut files = Vec::new();
        for path in paths {
            files_below(path, &mut files)?;
        }
        files.sort();
        Ok(Logs { files })
    }

    /// Calls `handle` for each line with an event, file by file. Returns the numbers of skipped
    /// lines.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read.
    pub fn for_each(&self, mut handle: impl FnMut(Line)) -> anyhow::Result<LeftOut> {
        let mut left_out = LeftOut::default();
        for path in &self.files {
            let name = || path.display().to_string();
            let mut reader = BufReader::new(File::open(path).with_context(name)?);
            let mut bytes = Vec::new();
            while reader.read_until(b'\n', &mut bytes).with_context(name)? > 0 {
                match parse_line(&String::from_utf8_lossy(&bytes)) {
                    ParsedLine::Line(line) => handle(*line),
                    ParsedLine::Message => {}
                    ParsedLine::Torn => left_out.torn += 1,
                    ParsedLine::Foreign => left_out.foreign += 1,
                }
                bytes.clear();
            }
        }
        Ok(left_out)
    }
}

/// Result of parsing a line.
enum ParsedLine {
    /// Line with an event.
    Line(Box<Line>),
    /// Line of a gateway with a text message, not an event.
    Message,
    /// Line that starts like a gateway's line but cannot be parsed.
    Torn,
    /// Line that no gateway wrote.
    Foreign,
}

fn parse_line(text: &str) -> ParsedLine {
    let Some(at) = text.find(LINE_PREFIX) else { return ParsedLine::Foreign };
    let Ok(value) = serde_json::from_str::<Value>(text[at..].trim_end()) else {
        return ParsedLine::Torn;
    };
    if value.get("event").is_none() {
        return ParsedLine::Message;
    }
    serde_json::from_value(value).map_or(ParsedLine::Torn, |line| ParsedLine::Line(Box::new(line)))
}

impl Event {
    /// Returns the value of a text field.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns the value of a field that is an unsigned integer.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Returns whether any field contains the name `what` as a word, number or key.
    pub fn mentions(&self, what: &str) -> bool {
        self.fields.values().any(|value| mentions(value, what))
    }
}

/// Returns whether a value contains the name `what` as a word, number or key.
fn mentions(value: &Value, what: &str) -> bool {
    match value {
        Value::String(text) => text.split(|c: char| !is_name_char(c)).any(|word| word == what),
        Value::Number(number) => number.to_string() == what,
        Value::Array(items) => items.iter().any(|item| mentions(item, what)),
        Value::Object(fields) => {
            fields.iter().any(|(key, value)| key == what || mentions(value, what))
        }
        Value::Null | Value::Bool(_) => false,
    }
}

/// Returns whether a character can be part of the name of a host, group, domain or request.
fn is_name_char(character: char) -> bool {
    character.is_alphanumeric() || matches!(character, '-' | '_' | '.')
}
