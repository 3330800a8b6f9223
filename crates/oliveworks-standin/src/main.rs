//! `oliveworks-standin`: small stand-ins for the outside systems, for demonstrations and tests.
//!
//! Not part of the product. Faults are switched on by `POST /faults` with a JSON body; `GET /faults`
//! shows them.

mod engine;
mod platform;
mod service;

use std::net::SocketAddr;

use clap::{Args, Parser, Subcommand};
use oliveworks_core::fleet::ListedHost;
use oliveworks_core::id::{DomainId, HostId};
use oliveworks_runtime::logs::{self, LogConfig};

#[derive(Parser)]
#[command(version, about = "Stand-ins for the platform and for backend servers.")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The log, the list of hosts and the weight store.
    Platform(platform::Options),
    /// A model engine.
    Engine(engine::Options),
    /// A plain service.
    Service(service::Options),
}

/// The host that a backend server stands on, for the platform's list.
#[derive(Args, Clone)]
pub struct HostOptions {
    /// The host.
    #[arg(long)]
    host: HostId,
    /// Its fabric domain.
    #[arg(long)]
    domain: DomainId,
    /// Where its agent is reached.
    #[arg(long)]
    agent: SocketAddr,
    /// The platform that lists the host.
    #[arg(long)]
    platform: String,
}

impl HostOptions {
    /// Tells the platform once a second that the host is there.
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
                // A lost beat is made up by the next.
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

/// Prints where a server listens, for whoever started it.
fn announce(at: SocketAddr) {
    println!("listening {at}");
}
