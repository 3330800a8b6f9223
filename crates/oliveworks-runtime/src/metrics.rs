//! Metrics, in the text format that monitoring systems scrape.

use std::fmt::Write;
use std::sync::Mutex;

use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::latencies::Latencies;

/// Labels of a count of messages.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MessageLabels {
    direction: &'static str,
    kind: &'static str,
}

/// A label of its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: String,
}

/// Which way a message went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To this process.
    In,
    /// From this process.
    Out,
}

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    messages: Family<MessageLabels, Counter>,
    bytes: Family<MessageLabels, Counter>,
    requests: Family<KindLabel, Counter>,
    gauges: Family<KindLabel, Gauge>,
    latencies: Mutex<Latencies>,
}

impl Metrics {
    /// Metrics at zero.
    #[expect(clippy::new_without_default, reason = "a registry is started, not defaulted")]
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("oliveworks");
        let messages = Family::<MessageLabels, Counter>::default();
        let bytes = Family::<MessageLabels, Counter>::default();
        let requests = Family::<KindLabel, Counter>::default();
        let gauges = Family::<KindLabel, Gauge>::default();
        let help = "Messages between processes by kind";
        registry.register("messages", help, messages.clone());
        registry.register("message_bytes", "Bytes of these messages", bytes.clone());
        registry.register("requests", "Requests by outcome", requests.clone());
        registry.register("state", "Sizes and states", gauges.clone());
        Metrics { registry, messages, bytes, requests, gauges, latencies: Mutex::default() }
    }

    /// Counts a message.
    pub fn message(&self, direction: Direction, kind: &'static str, bytes: usize) {
        let direction = match direction {
            Direction::In => "in",
            Direction::Out => "out",
        };
        let labels = MessageLabels { direction, kind };
        self.messages.get_or_create(&labels).inc();
        self.bytes.get_or_create(&labels).inc_by(bytes as u64);
    }

    /// Counts a request's outcome.
    pub fn request(&self, outcome: &str) {
        self.requests.get_or_create(&KindLabel { kind: outcome.to_owned() }).inc();
    }

    /// Sets a size or state.
    pub fn set(&self, kind: &str, value: i64) {
        self.gauges.get_or_create(&KindLabel { kind: kind.to_owned() }).set(value);
    }

    /// Notes a latency in microseconds.
    pub fn latency(&self, what: &'static str, micros: u64) {
        let Ok(mut latencies) = self.latencies.lock() else { return };
        latencies.note(what, micros);
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let (cpu_seconds, resident) = process_usage();
        self.set("resident_bytes", resident as i64);
        // Writing to a string does not fail.
        let _ = encode(&mut out, &self.registry);
        let end = out.rfind("# EOF").unwrap_or(out.len());
        out.truncate(end);
        let _ = writeln!(out, "# TYPE process_cpu_seconds counter");
        let _ = writeln!(out, "process_cpu_seconds_total {cpu_seconds}");
        if let Ok(latencies) = self.latencies.lock() {
            out.push_str(&latencies.text("oliveworks"));
        }
        out.push_str("# EOF\n");
        out
    }
}

/// Kernel ticks in a second, as the process files count them.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes in a page, as the process files count them.
const PAGE: u64 = 4096;

/// This process's processor time in seconds and resident memory in bytes.
pub fn process_usage() -> (f64, u64) {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| {
        after_name.split_whitespace().nth(n).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0)
    };
    // User and system time are the 14th and 15th fields of the file, resident pages the 24th.
    let ticks = field(11) + field(12);
    (ticks as f64 / TICKS_PER_SECOND, field(21) * PAGE)
}
