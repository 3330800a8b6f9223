//! State charts of this crate, embedded at build time.

use std::sync::OnceLock;

use crate::chart::Chart;

macro_rules! chart {
    ($name:ident, $file:literal, $doc:literal) => {
        #[doc = $doc]
        pub fn $name() -> &'static Chart {
            static CHART: OnceLock<Chart> = OnceLock::new();
            CHART.get_or_init(|| {
                Chart::parse(include_str!(concat!("../charts/", $file)))
                    .expect("checked by the build script")
            })
        }
    };
}

chart!(group, "group.yaml", "Returns the chart of an agent's work for its host's replica group.");
chart!(host, "host.yaml", "Returns the chart of a host's state as known to the decider.");
chart!(request, "request.yaml", "Returns the chart of a request at its entry.");
chart!(drain, "drain.yaml", "Returns the chart of a process that was asked to stop.");

/// Returns every chart.
pub fn all() -> [&'static Chart; 4] {
    [group(), host(), request(), drain()]
}
