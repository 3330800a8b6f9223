//! Logging as plain text, each line with the name of its component, or as one JSON object per line.
//!
//! A separate thread writes the lines. Lines are dropped and counted if this thread cannot keep up
//! or if the limit of lines per second is exceeded; the thread that logs never blocks.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use log::LevelFilter;
use serde::{Deserialize, Serialize};

use crate::clock::wall_ms;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Plain text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Destination of log lines.
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
    /// Lowest severity that is logged: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: LevelFilter,
    /// Format of the lines.
    pub format: Format,
    /// Destination of the lines.
    pub to: Destination,
    /// Maximum number of lines per second. Further lines are dropped and counted.
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

/// Log target of lines whose message is itself a JSON object.
pub const EVENT_TARGET: &str = "oliveworks_event";
/// Maximum number of lines that wait to be written.
const QUEUE_CAPACITY: usize = 4_096;

/// Returns the component name of a log target: the crate name without `oliveworks_`.
fn part(target: &str) -> &str {
    target.strip_prefix("oliveworks_").unwrap_or(target).split("::").next().unwrap_or(target)
}

/// Formats a JSON line. The object of an event is placed under the key `event`, a text under
/// `message`.
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

/// Queue to the writer thread, with a limit of lines per second.
struct LineQueue {
    sender: SyncSender<String>,
    lines_per_s: u64,
    second: AtomicU64,
    lines: AtomicU64,
    left_out: AtomicU64,
}

impl LineQueue {
    /// Enqueues a line, or drops and counts it if the queue is full or the limit is reached.
    ///
    /// If lines were dropped, a line with their number precedes the first line of the next second
    /// in which a line is logged.
    fn push(&self, line: String, now_ms: u64) {
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
        // All lines that are already waiting are written in one call.
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

/// Sets up logging. `process` is the name of the process in each line.
///
/// # Errors
/// Returns an error if logging is already set up or the writer thread cannot be started.
pub fn init(process: &str, config: &LogConfig) -> anyhow::Result<()> {
    let process = process.to_owned();
    let (format, to) = (config.format, config.to);
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    std::thread::Builder::new().name("logs".into()).spawn(move || write_lines(&receiver, to))?;
    let queue = LineQueue {
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
            queue.push(record.args().to_string(), wall_ms());
        }))
        .apply()?;
    Ok(())
}
