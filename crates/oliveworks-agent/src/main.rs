//! `oliveworks-agent`: the process that runs on each host beside the backend server.
//!
//! The agent is the only process that sends orders to the server. The agent represents the host in
//! a replica group, forms the group with the other members, and gates every request.

mod admin;
mod backend;
mod peers;
mod process;
mod run;
mod settings;

use std::path::PathBuf;

use clap::Parser;
use oliveworks_runtime::logs;

use crate::settings::Settings;

#[derive(Parser)]
#[command(version, about = "The oliveworks process beside each backend server.")]
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
    logs::init(&settings.host.to_string(), &settings.log)?;
    process::run(settings).await
}
