//! Reads the gateways' logs: files of one JSON object a line, as gateways write them.
//!
//! Logs of a day are larger than memory, so lines are handed on one by one. A file may have been cut while
//! it was written, and a collector may have put words of its own before each line or between them: what
//! cannot be read is counted and left out, never an error.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use anyhow::Context;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One line about a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When it was written, by the process's wall clock, in ms since 1970.
    pub time_ms: u64,
    /// Who wrote it; empty where a line counts those that were left out.
    #[serde(default)]
    pub process: String,
    /// What it says.
    pub event: Event,
}

/// What a line says: its kind, and fields that differ from kind to kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Its kind.
    pub kind: String,
    /// The other fields, by name.
    #[serde(flatten)]
    pub fields: BTreeMap<String, Value>,
}

/// Lines that were left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LeftOut {
    /// Lines that begin as a gateway's do and cannot be read to their end.
    pub torn: u64,
    /// Lines that are no gateway's.
    pub foreign: u64,
}

/// The files that logs were asked for in: files themselves, and all files in folders and below.
pub struct Logs {
    files: Vec<PathBuf>,
}

/// What every line of a gateway begins with.
const BEGINNING: &str = "{\"time_ms\":";

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
    /// Finds the files.
    ///
    /// # Errors
    /// If a folder cannot be read.
    pub fn find(paths: &[PathBuf]) -> anyhow::Result<Logs> {
        let mut files = Vec::new();
        for path in paths {
            files_below(path, &mut files)?;
        }
        files.sort();
        Ok(Logs { files })
    }

    /// Hands on every line about a decision, file by file; tells what was left out.
    ///
    /// # Errors
    /// If a file cannot be read.
    pub fn each(&self, mut take: impl FnMut(Line)) -> anyhow::Result<LeftOut> {
        let mut left_out = LeftOut::default();
        for path in &self.files {
            let name = || path.display().to_string();
            let mut reader = BufReader::new(File::open(path).with_context(name)?);
            let mut bytes = Vec::new();
            while reader.read_until(b'\n', &mut bytes).with_context(name)? > 0 {
                match read(&String::from_utf8_lossy(&bytes)) {
                    Read::Line(line) => take(*line),
                    Read::Message => {}
                    Read::Torn => left_out.torn += 1,
                    Read::Foreign => left_out.foreign += 1,
                }
                bytes.clear();
            }
        }
        Ok(left_out)
    }
}

/// What a line of a file is.
enum Read {
    /// A line about a decision.
    Line(Box<Line>),
    /// A gateway's line in plain words.
    Message,
    /// The beginning of a gateway's line.
    Torn,
    /// No gateway's line.
    Foreign,
}

fn read(text: &str) -> Read {
    let Some(at) = text.find(BEGINNING) else { return Read::Foreign };
    let Ok(value) = serde_json::from_str::<Value>(text[at..].trim_end()) else { return Read::Torn };
    if value.get("event").is_none() {
        return Read::Message;
    }
    serde_json::from_value(value).map_or(Read::Torn, |line| Read::Line(Box::new(line)))
}

impl Event {
    /// A field's text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// A field's number.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Whether any field, or a text in it, names something.
    pub fn names(&self, what: &str) -> bool {
        self.fields.values().any(|value| names(value, what))
    }
}

fn names(value: &Value, what: &str) -> bool {
    match value {
        Value::String(text) => text.split(|c: char| !is_of_name(c)).any(|word| word == what),
        Value::Number(number) => number.to_string() == what,
        Value::Array(items) => items.iter().any(|item| names(item, what)),
        Value::Object(fields) => {
            fields.iter().any(|(key, value)| key == what || names(value, what))
        }
        Value::Null | Value::Bool(_) => false,
    }
}

/// Whether a character may stand in the name of a host, group, domain or request.
fn is_of_name(character: char) -> bool {
    character.is_alphanumeric() || matches!(character, '-' | '_' | '.')
}
