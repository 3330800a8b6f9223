//! `oliveworks-lab`: command line for proof runs and experiments.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use oliveworks_core::placement::PlacementConfig;
use oliveworks_core::route::Policy;
use oliveworks_lab::fleet::{self, Fault, FleetConfig, Without};
use oliveworks_lab::load::{self, Load};
use oliveworks_lab::placement::{self, Costs, Trace};
use oliveworks_lab::prove::{self, Broken, Outcome, faults::ALL};
use oliveworks_lab::{routing, slopes};

#[derive(Parser)]
#[command(version, about = "Proof runs and experiments for oliveworks.")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

/// Fleet size of an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Size {
    /// 30 hosts: today's size for one pair of partners.
    Today,
    /// 4,100 hosts: the full size, expected in two years.
    TwoYears,
}

#[derive(Subcommand)]
enum Command {
    /// Measures group downtime and stranded accelerators, compared with two baselines on the same
    /// traces.
    Placement {
        /// Number of traces.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Fleet size.
        #[arg(long, value_enum, default_value_t = Size::Today)]
        size: Size,
    },
    /// Simulates an outage of the log for an hour, while a member of a group dies every five
    /// minutes.
    Outage {
        /// Seed of the run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Simulates how news of the store reach all gateways of a fleet.
    Fleet {
        /// Number of gateways.
        #[arg(long, default_value_t = 340)]
        gateways: usize,
        /// Number of failure domains.
        #[arg(long, default_value_t = 15)]
        domains: usize,
        /// First seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Fault of the runs.
        #[arg(long, value_enum, default_value_t = Fault::SilentStore)]
        fault: Fault,
        /// Mechanism to do without.
        #[arg(long, value_enum, default_value_t = Without::Nothing)]
        without: Without,
    },
    /// Measures the cost of the decisions by the size of the pool.
    Slopes,
    /// Sends a bounded load to an address on loopback, and prints the results as JSON.
    Load {
        /// Address to send to, such as `http://127.0.0.1:8080`.
        #[arg(long)]
        url: String,
        /// Bearer token.
        #[arg(long, default_value = "none")]
        token: String,
        /// Requested model.
        #[arg(long)]
        model: String,
        /// Number of concurrent requests.
        #[arg(long, default_value_t = 16)]
        concurrency: usize,
        /// Total number of requests.
        #[arg(long, default_value_t = 1_000)]
        requests: usize,
        /// Number of tokens of each answer.
        #[arg(long, default_value_t = 16)]
        tokens: u32,
        /// Time after which no more requests are sent, in seconds.
        #[arg(long, default_value_t = 60)]
        within_s: u64,
    },
    /// Compares the shipped routing with round-robin and least-loaded on the same traces.
    Routing {
        /// Number of traces.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Duration of the arrivals in each trace, in seconds.
        #[arg(long, default_value_t = 120.0)]
        seconds: f64,
    },
    /// Runs the decision code through a random schedule of faults and checks all invariants.
    Prove {
        /// First seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Total number of steps, divided among the seeds.
        #[arg(long, default_value_t = 1_000_000)]
        steps: u64,
        /// Number of consecutive seeds, starting with the first.
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        /// Deliberate defect that the run should detect.
        #[arg(long, value_enum, default_value_t = Broken::None)]
        broken: Broken,
        /// Make planned changes only, without faults. No request may be cut off.
        #[arg(long)]
        calm: bool,
        /// Print the number of occurrences of each fault and each pair of faults.
        #[arg(long)]
        coverage: bool,
    },
}

fn main() -> ExitCode {
    match Args::parse().command {
        Command::Placement { seeds, size } => print_placement(seeds, size),
        Command::Routing { seeds, seconds } => print_routing(seeds, seconds),
        Command::Fleet { gateways, domains, seed, seeds, fault, without } => {
            for seed in seed..seed + seeds {
                let config = FleetConfig { gateways, domains, seed, fault, without };
                println!("seed {seed}: {}", fleet::run(config));
            }
            ExitCode::SUCCESS
        }
        Command::Slopes => print_slopes(),
        Command::Outage { seed } => print_outage(seed),
        Command::Load { url, token, model, concurrency, requests, tokens, within_s } => {
            let within = Duration::from_secs(within_s);
            send_load(Load { url, token, model, concurrency, requests, tokens, within })
        }
        Command::Prove { seed, steps, seeds, broken, calm, coverage } => {
            let outcomes = prove_all(seed, steps, seeds.max(1), broken, calm);
            print_proof(&outcomes, coverage)
        }
    }
}

/// Runs the seeds on one thread per available processor.
fn prove_all(seed: u64, steps: u64, seeds: u64, broken: Broken, calm: bool) -> Vec<Outcome> {
    let steps_per_seed = steps.div_ceil(seeds);
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let mut outcomes = BTreeMap::new();
    std::thread::scope(|scope| {
        let run = |t: u64| {
            (t..seeds)
                .step_by(threads as usize)
                .map(|i| (i, prove::run(seed + i, steps_per_seed, broken, calm)))
                .collect::<Vec<_>>()
        };
        let handles: Vec<_> = (0..threads).map(|t| scope.spawn(move || run(t))).collect();
        for handle in handles {
            outcomes.extend(handle.join().expect("a run's thread panicked"));
        }
    });
    outcomes.into_values().collect()
}

fn print_proof(outcomes: &[Outcome], coverage: bool) -> ExitCode {
    let mut digest = 0u64;
    let mut requests = [0u64; 4];
    for outcome in outcomes {
        digest = digest.rotate_left(7) ^ outcome.digest;
        for (sum, n) in requests.iter_mut().zip(outcome.requests) {
            *sum += n;
        }
    }
    for outcome in outcomes {
        for breach in outcome.breaches.iter().take(1) {
            println!(
                "seed {}: breach of {:?} at step {}: {}",
                outcome.seed, breach.invariant, breach.step, breach.detail
            );
        }
    }
    if coverage {
        print_coverage(outcomes);
    }
    let [answered, not_run, unknown, cut] = requests;
    let seconds: u64 = outcomes.iter().map(|o| o.seconds).sum();
    let records: u64 = outcomes.iter().map(|o| o.records).sum();
    println!(
        "seeds {}, seconds {seconds}, records {records}, answered {answered}, not run {not_run}, unknown {unknown}, cut {cut}",
        outcomes.len()
    );
    let steps: u64 = outcomes.iter().map(|o| o.steps).sum();
    let breaches: usize = outcomes.iter().map(|o| o.breaches.len()).sum();
    println!("steps {steps}, breaches {breaches}, digest {digest:016x}");
    if breaches == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_coverage(outcomes: &[Outcome]) {
    let mut counts = BTreeMap::new();
    let mut pairs = BTreeMap::new();
    for outcome in outcomes {
        for (fault, n) in &outcome.counts {
            *counts.entry(*fault).or_insert(0) += n;
        }
        for (pair, n) in &outcome.pairs {
            *pairs.entry(*pair).or_insert(0) += n;
        }
    }
    for (fault, n) in &counts {
        println!("fault {fault:?}: {n}");
    }
    let possible = ALL.len() * (ALL.len() + 1) / 2;
    let least = pairs.values().min().copied().unwrap_or(0);
    println!("pairs of faults seen: {} of {possible}, the rarest {least} times", pairs.len());
}

fn print_placement(seeds: u64, size: Size) -> ExitCode {
    let (trace, concurrent_fetches) = match size {
        Size::Today => (Trace::today(), 4),
        Size::TwoYears => (Trace::two_years(), 64),
    };
    let costs =
        Costs { detection_s: 4.0, failover_s: 3.5, fetch_s: 60.0, bind_s: 1.5, concurrent_fetches };
    println!("{} hosts, {} days, {seeds} traces", trace.hosts, trace.days);
    // The floors are lower bounds: the first of the downtime over both partners, the second of the
    // stranded host time.
    println!(
        "| placement | downtime Saffah % | downtime Sahel % | floor % | stranded % | floor % | records |"
    );
    let configurations = [
        ("first fit, rebuilds whole", PlacementConfig::first_fit()),
        ("no spares", PlacementConfig::no_spares()),
        ("shipped", PlacementConfig::default()),
    ];
    for (name, config) in configurations {
        let runs: Vec<_> = std::thread::scope(|scope| {
            let trace = &trace;
            let handles: Vec<_> = (0..seeds)
                .map(|seed| scope.spawn(move || placement::measure(trace, costs, config, seed)))
                .collect();
            handles.into_iter().map(|h| h.join().expect("a run's thread panicked")).collect()
        });
        let mean = |f: &dyn Fn(&placement::Measures) -> f64| {
            100.0 * runs.iter().map(f).sum::<f64>() / seeds as f64
        };
        println!(
            "| {name} | {:.4} | {:.4} | {:.4} | {:.3} | {:.3} | {} |",
            mean(&|m| m.downtime[0]),
            mean(&|m| m.downtime[1]),
            mean(&|m| m.downtime_floor),
            mean(&|m| m.stranded),
            mean(&|m| m.stranded_floor),
            runs.iter().map(|m| m.records).sum::<u64>() / seeds
        );
    }
    ExitCode::SUCCESS
}

fn print_routing(seeds: u64, seconds: f64) -> ExitCode {
    println!(
        "| load | policy | first token p50 / p95 / p99 ms | between p50 / p95 / p99 ms | goodput tokens/s | refused % | first token in 580 ms % |"
    );
    for load in [0.7, 1.0, 1.5] {
        for policy in [Policy::RoundRobin, Policy::LeastLoaded, Policy::Cost] {
            let runs: Vec<_> =
                (0..seeds).map(|seed| routing::measure(policy, seed, load, seconds)).collect();
            let mut first = runs[0].first_token.clone();
            let mut between = runs[0].between_tokens.clone();
            for run in &runs[1..] {
                first.add(&run.first_token).expect("all histograms have the same bounds");
                between.add(&run.between_tokens).expect("all histograms have the same bounds");
            }
            let quantiles = |h: &hdrhistogram::Histogram<u64>| {
                [0.5, 0.95, 0.99].map(|q| h.value_at_quantile(q).to_string()).join(" / ")
            };
            let mean = |f: &dyn Fn(&routing::Outcome) -> f64| {
                runs.iter().map(f).sum::<f64>() / seeds as f64
            };
            println!(
                "| {load} | {policy:?} | {} | {} | {:.0} | {:.1} | {:.1} |",
                quantiles(&first),
                quantiles(&between),
                mean(&|o| o.goodput),
                mean(&|o| o.refused),
                mean(&|o| o.in_time)
            );
        }
    }
    ExitCode::SUCCESS
}

/// Fleet sizes at which costs are measured. The last is the full size, expected in two years.
const SIZES: [u32; 4] = [546, 1_092, 2_184, 4_100];

fn print_slopes() -> ExitCode {
    let rows: Vec<slopes::Row> = SIZES.iter().map(|n| slopes::measure(*n)).collect();
    println!(
        "| hosts | groups | snapshot bytes | record bytes | apply us | open us | idle plan us | list bytes | rack: records, rounds | domain: records, rounds | longest plan us |"
    );
    for r in &rows {
        println!(
            "| {} | {} | {} | {} | {:.1} | {:.0} | {:.0} | {} | {}, {} | {}, {} | {:.0} |",
            r.hosts,
            r.groups,
            r.snapshot_bytes,
            r.record_bytes,
            r.apply_us,
            r.open_us,
            r.idle_plan_us,
            r.list_bytes,
            r.rack_repair.0,
            r.rack_repair.1,
            r.domain_repair.0,
            r.domain_repair.1,
            r.repair_plan_us
        );
    }
    type Value = fn(&slopes::Row) -> f64;
    let fits: [(&str, Value); 4] = [
        ("snapshot bytes", |r| r.snapshot_bytes as f64),
        ("open us", |r| r.open_us),
        ("idle plan us", |r| r.idle_plan_us),
        ("list bytes", |r| r.list_bytes as f64),
    ];
    for (label, value) in fits {
        let points: Vec<(f64, f64)> = rows.iter().map(|r| (f64::from(r.hosts), value(r))).collect();
        let (base, slope, residual) = slopes::fit(&points);
        println!(
            "fit {label}: {base:.1} + {slope:.4} per host, residual {:.1} %",
            residual * 100.0
        );
    }
    for (label, bytes) in slopes::message_bytes() {
        println!("bytes of a {label}: {bytes}");
    }
    ExitCode::SUCCESS
}

fn send_load(load: Load) -> ExitCode {
    let system = ntex::rt::System::new("load", ntex::rt::DefaultRuntime);
    let outcome = system.block_on(async move { load::run(&load).await.map(|r| (r, load.tokens)) });
    match outcome {
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
        Ok((r, tokens)) => {
            let quantiles = |h: &hdrhistogram::Histogram<u64>| {
                [0.5, 0.95, 0.99].map(|q| h.value_at_quantile(q))
            };
            println!(
                "{}",
                serde_json::json!({
                    "whole": r.succeeded, "failed": r.failed, "seconds": r.seconds,
                    "requests_per_s": r.succeeded as f64 / r.seconds,
                    "tokens_per_s": r.succeeded as f64 * f64::from(tokens) / r.seconds,
                    "first_us": quantiles(&r.first_byte), "total_us": quantiles(&r.total),
                })
            );
            if r.failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
    }
}

fn print_outage(seed: u64) -> ExitCode {
    println!("| minute | hosts killed | serving groups | answered | not run | unknown |");
    let mut before = [0; 3];
    for s in prove::outage::run(seed) {
        let groups: Vec<String> = s.serving.iter().map(|(t, n)| format!("{t} {n}")).collect();
        let [answered, not_run, unknown] = [0, 1, 2].map(|i| s.requests[i] - before[i]);
        before = s.requests;
        let groups = groups.join(", ");
        println!("| {} | {} | {groups} | {answered} | {not_run} | {unknown} |", s.minute, s.killed);
    }
    ExitCode::SUCCESS
}
