//! Readiness checks and metrics for the platform.

use std::rc::Rc;

use ntex::http::StatusCode;
use ntex::io::Io;

use crate::connection::{Connection, Received};
use crate::state::Gateway;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Prefix of the names of metrics.
const METRICS_PREFIX: &str = "oliveworks_gateway";

/// Serves a connection of the platform.
pub async fn serve(gateway: Rc<Gateway>, io: Io) {
    let mut connection = Connection::new(io);
    while let Received::Request(request) = connection.receive(&gateway, &|_| Ok(())).await {
        let path = request.target.split('?').next().unwrap_or_default();
        let answer = if path == gateway.dialect.ready_path() {
            match gateway.is_ready() {
                true => (StatusCode::OK, String::new()),
                false => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
            }
        } else if path == METRICS_PATH {
            (StatusCode::OK, render_metrics(&gateway))
        } else {
            (StatusCode::NOT_FOUND, String::new())
        };
        let headers = [("content-type".to_owned(), "text/plain; version=0.0.4".into())];
        if connection.answer(answer.0, &headers, answer.1.into()).await.is_err() {
            return;
        }
        if !connection.can_continue() {
            break;
        }
    }
    connection.close(&gateway, None).await;
}

fn render_metrics(gateway: &Gateway) -> String {
    let counters = gateway.counters.borrow();
    let drains = gateway.drains.borrow().failure_domains();
    let open: u32 = drains.iter().map(|name| gateway.outstanding_in(name)).sum();
    let lookup = gateway.lookup();
    let version = lookup.map_or(0, |lookup| lookup.configuration.version);
    let proof_age_ms = gateway.proof_age_ms();
    let unplanned = gateway.count_unplanned();
    let (body_bytes, body_bytes_peak) = gateway.body_memory.held_and_peak();
    let now = [
        ("body_bytes", body_bytes as u64),
        ("body_bytes_peak", body_bytes_peak as u64),
        ("drained_failure_domains", drains.len() as u64),
        ("drained_open_requests", u64::from(open)),
        ("gateways_heard", gateway.peers.borrow().len() as u64),
        ("hosts_missing", gateway.missing.borrow().len() as u64),
        ("hosts", gateway.directory.borrow().len() as u64),
        ("store_era", gateway.era().0),
        ("configuration_version", version),
        ("services_without_planner", unplanned.services as u64),
        ("hosts_without_planner", unplanned.hosts as u64),
        ("models_without_group", unplanned.models_without_group as u64),
    ];
    let proof_age_ms = proof_age_ms.map(|age_ms| ("configuration_proof_age_ms", age_ms));
    let counts = counters.iter().map(|(name, count)| {
        format!(
            "{METRICS_PREFIX}_{name} {count}
"
        )
    });
    let states = now.into_iter().chain(proof_age_ms).map(|(name, count)| {
        format!(
            "{METRICS_PREFIX}_{name} {count}
"
        )
    });
    counts.chain(states).collect::<String>() + &gateway.latencies.borrow().text(METRICS_PREFIX)
}
