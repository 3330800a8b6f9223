//! Checks every state chart at build time, so that a chart with an unreachable state, a missing
//! transition or an undeclared event never ships.

#[allow(dead_code)]
#[path = "src/chart.rs"]
mod chart;

fn main() {
    println!("cargo:rerun-if-changed=charts");
    println!("cargo:rerun-if-changed=src/chart.rs");
    for name in ["group", "host", "request", "drain"] {
        let path = format!("charts/{name}.yaml");
        let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"));
        if let Err(e) = chart::Chart::parse(&text) {
            panic!("{path}: {e}");
        }
    }
}
