//! Latency histograms by kind, exported as summaries in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;

/// Upper bound of the histograms, in microseconds: ten minutes. Longer latencies count as this.
const LATENCY_MAX_US: u64 = 600_000_000;
/// Significant decimal digits of the histograms. With 2, latencies of 100 and 101 ms fall into
/// different buckets, and each histogram takes about 25 KB.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Exported quantiles.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Latency histograms since the start of the process, by kind.
#[derive(Debug, Default)]
pub struct Latencies(BTreeMap<&'static str, Histogram<u64>>);

impl Latencies {
    /// Records a latency, in microseconds, of the kind `what`.
    pub fn note(&mut self, what: &'static str, micros: u64) {
        let histogram = self.0.entry(what).or_insert_with(|| {
            Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
                .expect("constant bounds")
        });
        histogram.saturating_record(micros.max(1));
    }

    /// Returns all summaries as text. Values are in seconds; metric names start with `prefix`.
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
