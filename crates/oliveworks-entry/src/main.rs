//! `oliveworks-entry`: the process that accepts, admits, routes and relays callers' requests.
//!
//! Any entry can also hold the deciding role, which forms, drains and frees replica groups.

mod admin;
mod answer;
mod auth;
mod callers;
mod completion;
mod decide;
mod driver;
mod peers;
mod process;
mod service;
mod settings;
mod state;

use std::path::PathBuf;

use clap::Parser;
use oliveworks_runtime::logs;

use crate::settings::Settings;

#[derive(Parser)]
#[command(version, about = "Takes callers' requests, admits, routes and relays them.")]
struct Cli {
    /// The settings file.
    #[arg(long, env = "OLIVEWORKS_SETTINGS")]
    settings: PathBuf,
    /// Check the settings and end.
    #[arg(long)]
    check_settings: bool,
}

#[ntex::main]
async fn main() -> anyhow::Result<()> {
    let cli = Cli::parse();
    let settings: Settings = oliveworks_runtime::settings::load(&cli.settings)?;
    if cli.check_settings {
        println!("The settings are good.");
        return Ok(());
    }
    logs::init(&settings.entry.to_string(), &settings.log)?;
    process::run(settings).await
}
