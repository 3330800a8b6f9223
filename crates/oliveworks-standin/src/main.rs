//! `oliveworks-standin`: small stand-ins for the external systems, for demonstrations and tests.
//!
//! Not part of the product. `POST /faults` with a JSON body injects faults. `GET /faults` of the
//! platform returns the injected faults.

mod engine;
mod platform;
mod service;

use std::net::SocketAddr;

use clap::{Args, Parser, Subcommand};
use oliveworks_core::fleet::ListedHost;
use oliveworks_core::id::{DomainId, HostId};
use oliveworks_runtime::logs::{self, LogConfig};

#[derive(Parser)]
#[command(version, about = "Run a stand-in for the platform or for a backend server")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Platform: log, list of hosts and weight store
    Platform(platform::Options),
    /// Model engine
    Engine(engine::Options),
    /// Plain service
    Service(service::Options),
}

/// Host of a backend server, as registered in the host list of the platform.
#[derive(Args, Clone)]
pub struct HostOptions {
    /// Host id
    #[arg(long)]
    host: HostId,
    /// Fabric domain of the host
    #[arg(long)]
    domain: DomainId,
    /// Address of the agent of the host
    #[arg(long)]
    agent: SocketAddr,
    /// URL of the platform that lists the host
    #[arg(long)]
    platform: String,
}

impl HostOptions {
    /// Spawns a task that sends a heartbeat of the host to the platform once per second.
    fn keep_listed(&self, service: Option<String>) {
        let listed = ListedHost {
            host: self.host,
            domain: self.domain,
            address: self.agent,
            leaving: false,
            service,
            weights: None,
        };
        let url = format!("{}/hosts/beat", self.platform);
        ntex::rt::spawn(async move {
            let http = ntex::client::Client::new().await;
            loop {
                // Errors are ignored, since the next heartbeat replaces a lost one.
                let _ = http.post(&url).send_json(&listed).await;
                ntex::time::sleep(ntex::time::Millis(1000)).await;
            }
        });
    }
}

#[ntex::main]
async fn main() -> anyhow::Result<()> {
    logs::init("standin", &LogConfig::default())?;
    match Cli::parse().command {
        Command::Platform(options) => platform::run(options).await,
        Command::Engine(options) => engine::run(options).await,
        Command::Service(options) => service::run(options).await,
    }
}

/// Prints the listening address for the process that started the server.
fn announce(at: SocketAddr) {
    println!("listening {at}");
}
