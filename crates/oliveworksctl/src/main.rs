//! `oliveworksctl`: the operators' command line.

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

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// For people.
    Text,
    /// For programs.
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
#[command(version, about = "Operates oliveworks: publishes templates, shows state.", after_help = EXAMPLES)]
struct Cli {
    /// The file that names the platform, the entries and the partner's key.
    #[arg(long, env = "OLIVEWORKS_CONTEXT", global = true)]
    context: Option<PathBuf>,
    /// How results are printed.
    #[arg(long, value_enum, default_value = "text", global = true)]
    output: Output,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check a file of templates, workspaces and shares; publishes nothing.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Publish a file; prints the offset of each record. Safe to repeat.
    Publish {
        /// The file.
        file: PathBuf,
        /// Wait until everything is in force everywhere, and name the processes where it is not.
        #[arg(long)]
        wait: bool,
        /// How long to wait, in seconds.
        #[arg(long, default_value_t = 15)]
        wait_s: u64,
        /// Only if this is still the offset of the version that was edited (one template).
        #[arg(long)]
        edits: Option<u64>,
    },
    /// Withdraw a template; its groups finish and are freed.
    Withdraw {
        /// The workspace.
        workspace: String,
        /// The template.
        template: String,
    },
    /// Show groups and hosts, and why hosts are idle or replicas missing.
    Status,
    /// Show events, merged over all processes.
    Timeline {
        /// Only of this request.
        #[arg(long)]
        request: Option<String>,
        /// Only of this group, such as group-12.
        #[arg(long)]
        group: Option<String>,
        /// Only of this host, such as host-7.
        #[arg(long)]
        host: Option<String>,
        /// Only of this domain; with --logs.
        #[arg(long, requires = "logs")]
        domain: Option<String>,
        /// Only from this time on, in ms since 1970; with --logs.
        #[arg(long, requires = "logs")]
        from_ms: Option<u64>,
        /// Only up to this time, in ms since 1970; with --logs.
        #[arg(long, requires = "logs")]
        to_ms: Option<u64>,
        /// Gateways' logs, files or folders, to read in place of asking entries.
        #[arg(long, num_args = 1..)]
        logs: Vec<PathBuf>,
    },
    /// Take a host out of use; what runs there is finished first.
    Drain {
        /// The host.
        host: HostId,
    },
    /// Give a host back to use.
    Restore {
        /// The host.
        host: HostId,
    },
    /// Tell what became of a request, step by step.
    Explain {
        /// The request's id, as in the answer's `id` after the dash.
        request: String,
        /// Gateways' logs, files or folders, to read in place of asking entries.
        #[arg(long, num_args = 1..)]
        logs: Vec<PathBuf>,
    },
    /// Make keys and tokens.
    Keys {
        #[command(subcommand)]
        command: keys::Command,
    },
    /// Print a shell's completions.
    Completions {
        /// The shell.
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
