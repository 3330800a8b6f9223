//! Metrics of a process, in the Prometheus text format.

use std::fmt::Write;
use std::sync::Mutex;

use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::latencies::Latencies;

/// Labels of the message counters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MessageLabels {
    direction: &'static str,
    kind: &'static str,
}

/// Label set with the single label `kind`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: String,
}

/// Direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Received by this process.
    In,
    /// Sent by this process.
    Out,
}

/// Metrics of one process.
pub struct Metrics {
    registry: Registry,
    messages: Family<MessageLabels, Counter>,
    bytes: Family<MessageLabels, Counter>,
    requests: Family<KindLabel, Counter>,
    gauges: Family<KindLabel, Gauge>,
    latencies: Mutex<Latencies>,
}

impl Metrics {
    /// Creates the metrics, all at zero.
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

    /// Counts a message of `bytes` bytes.
    pub fn message(&self, direction: Direction, kind: &'static str, bytes: usize) {
        let direction = match direction {
            Direction::In => "in",
            Direction::Out => "out",
        };
        let labels = MessageLabels { direction, kind };
        self.messages.get_or_create(&labels).inc();
        self.bytes.get_or_create(&labels).inc_by(bytes as u64);
    }

    /// Counts a request by its outcome.
    pub fn request(&self, outcome: &str) {
        self.requests.get_or_create(&KindLabel { kind: outcome.to_owned() }).inc();
    }

    /// Sets the gauge of a size or state.
    pub fn set(&self, kind: &str, value: i64) {
        self.gauges.get_or_create(&KindLabel { kind: kind.to_owned() }).set(value);
    }

    /// Records a latency, in microseconds, of the kind `what`.
    pub fn latency(&self, what: &'static str, micros: u64) {
        let Ok(mut latencies) = self.latencies.lock() else { return };
        latencies.note(what, micros);
    }

    /// Returns all metrics as text, together with the CPU time and resident memory of the process.
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

/// Kernel clock ticks per second, the unit of CPU time in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page in bytes, the unit of resident memory in `/proc/self/stat`.
const PAGE_BYTES: u64 = 4096;

/// Returns the CPU time of this process in seconds and its resident memory in bytes.
pub fn process_usage() -> (f64, u64) {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| {
        after_name.split_whitespace().nth(n).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0)
    };
    // User and system time are fields 14 and 15 of the file, the number of resident pages is field
    // 24. Index 0 is field 3, the first field after the process name.
    let ticks = field(11) + field(12);
    (ticks as f64 / TICKS_PER_SECOND, field(21) * PAGE_BYTES)
}
