//! Latencies by what they are of, told as summaries in the text format that monitoring systems scrape.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;

/// The longest latency told apart, in microseconds: ten minutes.
const LATENCY_MAX_US: u64 = 600_000_000;
/// Significant digits: latencies of 100 and 101 ms are told apart. Each histogram takes some 25 KB.
const DIGITS: u8 = 2;
/// Quantiles that are shown.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Latencies since the process's start.
#[derive(Debug, Default)]
pub struct Latencies(BTreeMap<&'static str, Histogram<u64>>);

impl Latencies {
    /// Notes a latency in microseconds.
    pub fn note(&mut self, what: &'static str, micros: u64) {
        let histogram = self.0.entry(what).or_insert_with(|| {
            Histogram::new_with_bounds(1, LATENCY_MAX_US, DIGITS).expect("constant bounds")
        });
        histogram.saturating_record(micros.max(1));
    }

    /// All of them as text, in seconds, under names that begin with `prefix`.
    pub fn text(&self, prefix: &str) -> String {
        let mut out = String::new();
        for (what, histogram) in &self.0 {
            // Writing to a string does not fail.
            let _ = write_summary(&mut out, &format!("{prefix}_{what}_seconds"), histogram);
        }
        out
    }
}

fn write_summary(
    out: &mut String,
    name: &str,
    histogram: &Histogram<u64>,
) -> Result<(), std::fmt::Error> {
    writeln!(out, "# TYPE {name} summary")?;
    for quantile in QUANTILES {
        let value = histogram.value_at_quantile(quantile) as f64 / 1e6;
        writeln!(out, "{name}{{quantile=\"{quantile}\"}} {value}")?;
    }
    writeln!(out, "{name}_count {}", histogram.len())
}
