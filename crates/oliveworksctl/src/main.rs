//! `oliveworksctl`: command line for operators.

mod client;
mod context;
mod document;
mod explain;
mod keys;
mod logs;
mod publish;
mod show;

use std::path::PathBuf;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use oliveworks_core::id::HostId;
use oliveworks_runtime::timeline::Filter;

use crate::context::Context;

/// Output format of results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Text for people
    Text,
    /// JSON for programs
    Json,
}

const EXAMPLES: &str = "Examples:
  oliveworksctl check templates.yaml
  oliveworksctl --context saffah.yaml publish templates.yaml --wait
  oliveworksctl --context saffah.yaml status
  oliveworksctl --context saffah.yaml timeline --group group-12
  oliveworksctl --context saffah.yaml explain 0123456789abcdef0123456789abcdef
  oliveworksctl explain d8f0409b51bf2cdc --logs /var/log/oliveworks
  oliveworksctl timeline --host i-5023806497 --logs gateway-1.log gateway-2.log
  oliveworksctl --context saffah.yaml drain host-7
  oliveworksctl keys token";

#[derive(Parser)]
#[command(version, about = "Operate oliveworks: publish templates and show state", after_help = EXAMPLES)]
struct Cli {
    /// Context file with the platform, the entries and the partner's key
    #[arg(long, env = "OLIVEWORKS_CONTEXT", global = true)]
    context: Option<PathBuf>,
    /// Output format
    #[arg(long, value_enum, default_value = "text", global = true)]
    output: Output,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check a file of templates, workspaces and shares without publishing it
    Check {
        /// File to check
        file: PathBuf,
    },
    /// Publish a file and print the offset of each record; can be repeated safely
    Publish {
        /// File to publish
        file: PathBuf,
        /// Wait until the records are in force at all processes, and list the processes where they
        /// are not
        #[arg(long)]
        wait: bool,
        /// Maximum time to wait, in seconds
        #[arg(long, default_value_t = 15)]
        wait_s: u64,
        /// Publish only if the current version of the template has this offset; the file must
        /// contain one template
        #[arg(long)]
        edits: Option<u64>,
    },
    /// Withdraw a template; its groups finish their requests and are freed
    Withdraw {
        /// Name of the workspace
        workspace: String,
        /// Name of the template
        template: String,
    },
    /// Show groups and hosts, and why hosts are idle or replicas are missing
    Status,
    /// Show the events of all processes, sorted by time
    Timeline {
        /// Show only events of this request
        #[arg(long)]
        request: Option<String>,
        /// Show only events of this group, such as group-12
        #[arg(long)]
        group: Option<String>,
        /// Show only events of this host, such as host-7
        #[arg(long)]
        host: Option<String>,
        /// Show only events of this failure domain; requires --logs
        #[arg(long, requires = "logs")]
        domain: Option<String>,
        /// Show only events from this time on, in ms since 1970; requires --logs
        #[arg(long, requires = "logs")]
        from_ms: Option<u64>,
        /// Show only events up to this time, in ms since 1970; requires --logs
        #[arg(long, requires = "logs")]
        to_ms: Option<u64>,
        /// Read these gateway log files or directories instead of querying the entries
        #[arg(long, num_args = 1..)]
        logs: Vec<PathBuf>,
    },
    /// Drain a host: finish its running requests and take the host out of use
    Drain {
        /// Host, such as host-7
        host: HostId,
    },
    /// Put a drained host back into use
    Restore {
        /// Host, such as host-7
        host: HostId,
    },
    /// Show the steps and the outcome of a request
    Explain {
        /// Id of the request: the part after the dash in the `id` of the answer
        request: String,
        /// Read these gateway log files or directories instead of querying the entries
        #[arg(long, num_args = 1..)]
        logs: Vec<PathBuf>,
    },
    /// Generate keys, certificates and tokens
    Keys {
        #[command(subcommand)]
        command: keys::Command,
    },
    /// Print the completion script of a shell
    Completions {
        /// Shell
        shell: clap_complete::Shell,
    },
}

#[ntex::main]
async fn main() -> anyhow::Result<()> {
    let cli = Cli::parse();
    let context = || Context::load(cli.context.as_deref());
    match cli.command {
        Command::Check { file } => document::check(&file, cli.output),
        Command::Publish { file, wait, wait_s, edits } => {
            let wait_s = wait.then_some(wait_s);
            publish::publish(&context()?, &file, edits, wait_s, cli.output).await
        }
        Command::Withdraw { workspace, template } => {
            publish::withdraw(&context()?, &workspace, &template, cli.output).await
        }
        Command::Status => show::status(&context()?, cli.output).await,
        Command::Timeline { request, group, host, domain, from_ms, to_ms, logs }
            if !logs.is_empty() =>
        {
            let filter = explain::Filter { request, group, host, domain, from_ms, to_ms };
            explain::timeline(&filter, &logs, cli.output)
        }
        Command::Timeline { request, group, host, .. } => {
            show::timeline(&context()?, &Filter { request, group, host }, cli.output).await
        }
        Command::Drain { host } => publish::drain(&context()?, host, true, cli.output).await,
        Command::Restore { host } => publish::drain(&context()?, host, false, cli.output).await,
        Command::Explain { request, logs } if !logs.is_empty() => {
            explain::explain(&request, &logs, cli.output)
        }
        Command::Explain { request, .. } => show::explain(&context()?, &request, cli.output).await,
        Command::Keys { command } => keys::run(command, cli.output),
        Command::Completions { shell } => {
            let name = "oliveworksctl";
            clap_complete::generate(shell, &mut Cli::command(), name, &mut std::io::stdout());
            Ok(())
        }
    }
}
