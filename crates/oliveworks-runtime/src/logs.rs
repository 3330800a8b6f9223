//! Logs: short sentences, each with the prefix of the part that speaks.

use std::io::stderr;

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

/// Log settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogConfig {
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: LevelFilter,
    /// How lines look.
    pub format: Format,
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig { level: LevelFilter::Info, format: Format::Text }
    }
}

/// The fixed prefix of the part that a module belongs to.
fn part(target: &str) -> &str {
    target.strip_prefix("oliveworks_").unwrap_or(target).split("::").next().unwrap_or(target)
}

/// Sends the process's logs to standard error. `process` names it in each line.
///
/// # Errors
/// If logs were set up before.
pub fn init(process: &str, config: &LogConfig) -> anyhow::Result<()> {
    let process = process.to_owned();
    let format = config.format;
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("oliveworks_entry", config.level)
        .level_for("oliveworks_gateway", config.level)
        .level_for("oliveworks_agent", config.level)
        .level_for("oliveworks_standin", config.level)
        .level_for("oliveworks_net", config.level)
        .level_for("oliveworks_platform", config.level)
        .level_for("oliveworks_runtime", config.level)
        .format(move |out, message, record| {
            let (time, part) = (wall_ms(), part(record.target()));
            match format {
                Format::Text => out
                    .finish(format_args!("{time} {process} {} {part}: {message}", record.level())),
                Format::Json => {
                    let line = serde_json::json!({
                        "time_ms": time, "process": process, "level": record.level().as_str(),
                        "part": part, "message": message.to_string(),
                    });
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(stderr())
        .apply()?;
    Ok(())
}
