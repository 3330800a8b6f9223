//! Logs: short sentences, each with the prefix of the part that speaks, or one JSON object a line.
//!
//! Lines are handed to a thread that writes them. If it cannot keep up, or there are more than a
//! second may hold, lines are left out and counted; whoever logs never waits.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use log::LevelFilter;
use serde::{Deserialize, Serialize};

use crate::clock::wall_ms;

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Destination {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// Log settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogConfig {
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: LevelFilter,
    /// How lines look.
    pub format: Format,
    /// Where they go.
    pub to: Destination,
    /// The most lines of a second; more are left out and counted.
    pub lines_per_s: u64,
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig {
            level: LevelFilter::Info,
            format: Format::Text,
            to: Destination::Stderr,
            lines_per_s: 1_000,
        }
    }
}

/// The target of lines whose message is a JSON object of its own.
pub const EVENT_TARGET: &str = "oliveworks_event";
/// Lines that may wait to be written.
const WAITING_MAX: usize = 4_096;

/// The fixed prefix of the part that a module belongs to.
fn part(target: &str) -> &str {
    target.strip_prefix("oliveworks_").unwrap_or(target).split("::").next().unwrap_or(target)
}

/// One JSON line. An event's own object stands under `event`.
fn json_line(process: &str, target: &str, level: log::Level, message: &str) -> String {
    let text = serde_json::Value::String(message.to_owned()).to_string();
    let (key, value) = match target == EVENT_TARGET {
        true => ("event", message),
        false => ("message", text.as_str()),
    };
    let process = serde_json::Value::String(process.to_owned());
    format!(
        "{{\"time_ms\":{},\"process\":{process},\"level\":\"{level}\",\"part\":\"{}\",\"{key}\":{value}}}",
        wall_ms(),
        part(target)
    )
}

/// Hands lines on, within bounds.
struct Bounded {
    sender: SyncSender<String>,
    lines_per_s: u64,
    second: AtomicU64,
    lines: AtomicU64,
    left_out: AtomicU64,
}

impl Bounded {
    /// Takes a line, or counts it as left out.
    fn take(&self, line: String, now_ms: u64) {
        let second = now_ms / 1_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
            let left_out = self.left_out.swap(0, Ordering::Relaxed);
            if left_out > 0 {
                let _ = self.sender.try_send(format!(
                    "{{\"time_ms\":{now_ms},\"event\":{{\"kind\":\"lines_left_out\",\"count\":{left_out}}}}}"
                ));
            }
        }
        let within = self.lines.fetch_add(1, Ordering::Relaxed) < self.lines_per_s;
        if !within || self.sender.try_send(line).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(lines: &Receiver<String>, to: Destination) {
    while let Ok(first) = lines.recv() {
        let mut block = first + "\n";
        // What waits already is written in one go.
        while let Ok(line) = lines.try_recv() {
            block += &line;
            block.push('\n');
        }
        let _ = match to {
            Destination::Stderr => std::io::stderr().write_all(block.as_bytes()),
            Destination::Stdout => std::io::stdout().write_all(block.as_bytes()),
        };
    }
}

/// Begins to write the process's logs. `process` names it in each line.
///
/// # Errors
/// If logs were set up before, or no thread can be started.
pub fn init(process: &str, config: &LogConfig) -> anyhow::Result<()> {
    let process = process.to_owned();
    let (format, to) = (config.format, config.to);
    let (sender, receiver) = sync_channel(WAITING_MAX);
    std::thread::Builder::new().name("logs".into()).spawn(move || write_lines(&receiver, to))?;
    let bounded = Bounded {
        sender,
        lines_per_s: config.lines_per_s,
        second: AtomicU64::new(0),
        lines: AtomicU64::new(0),
        left_out: AtomicU64::new(0),
    };
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("oliveworks_entry", config.level)
        .level_for("oliveworks_gateway", config.level)
        .level_for(EVENT_TARGET, config.level)
        .level_for("oliveworks_agent", config.level)
        .level_for("oliveworks_standin", config.level)
        .level_for("oliveworks_net", config.level)
        .level_for("oliveworks_platform", config.level)
        .level_for("oliveworks_runtime", config.level)
        .format(move |out, message, record| {
            let (time, target) = (wall_ms(), record.target());
            match format {
                Format::Text => out.finish(format_args!(
                    "{time} {process} {} {}: {message}",
                    record.level(),
                    part(target)
                )),
                Format::Json => {
                    let line = json_line(&process, target, record.level(), &message.to_string());
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(fern::Output::call(move |record| {
            bounded.take(record.args().to_string(), wall_ms());
        }))
        .apply()?;
    Ok(())
}
