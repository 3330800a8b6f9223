//! Readiness checks and metrics for the platform.

use std::rc::Rc;

use ntex::http::StatusCode;
use ntex::io::Io;
use oliveworks_gateway_core::attempts::Verdict;

use crate::callers::RETRY_AFTER_MS;
use crate::connection::{Connection, Disconnected, Received, ReceivedRequest, Rejected};
use crate::relay;
use crate::state::Gateway;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Prefix of the names of metrics.
const METRICS_PREFIX: &str = "oliveworks_gateway";

/// Serves a connection of the platform until it ends or is closed in favour of others.
pub async fn serve(gateway: Rc<Gateway>, io: Io) {
    let mut connection = Connection::new(io, gateway.clock);
    let state = connection.state().clone();
    let _open = gateway.platform_connections.add(state.clone());
    let served = tokio::select! {
        biased;
        served = serve_requests(&gateway, &mut connection) => served,
        () = state.wait_for_eviction() => {
            gateway.count("platform_connections_evicted");
            Err(Disconnected)
        }
    };
    match served {
        Ok(()) => connection.close(&gateway, None).await,
        Err(Disconnected) => connection.abort(),
    }
}

/// Answers the requests of a connection until its end. No request of the platform has a long body.
async fn serve_requests(
    gateway: &Gateway,
    connection: &mut Connection,
) -> Result<(), Disconnected> {
    let admit = |_: &ReceivedRequest| Err(Rejected::Verdict(Verdict::BodyTooLarge));
    loop {
        let request = match connection.receive(gateway, &admit).await {
            Received::Request(request) => request,
            Received::Invalid(verdict) | Received::Rejected(_, Rejected::Verdict(verdict)) => {
                connection.close_after_next_answer();
                relay::reject(gateway, connection, "", verdict, RETRY_AFTER_MS).await;
                return Ok(());
            }
            Received::Rejected(_, Rejected::LacksMemory) | Received::End(_) => return Ok(()),
        };
        let path = request.target.split('?').next().unwrap_or_default();
        let answer = if path == gateway.dialect.ready_path() {
            match gateway.is_ready() {
                true => (StatusCode::OK, String::new()),
                false => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
            }
        } else if path == METRICS_PATH {
            (StatusCode::OK, render_metrics(gateway))
        } else {
            (StatusCode::NOT_FOUND, String::new())
        };
        let headers = [("content-type".to_owned(), "text/plain; version=0.0.4".into())];
        connection.answer(answer.0, &headers, answer.1.into()).await?;
        if !connection.can_continue() {
            return Ok(());
        }
    }
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
    let (head_bytes, head_bytes_peak) = gateway.head_memory.held_and_peak();
    let (answer_bytes, answer_bytes_peak) = gateway.answer_memory.held_and_peak();
    let now = [
        ("answer_bytes", answer_bytes as u64),
        ("answer_bytes_peak", answer_bytes_peak as u64),
        ("body_bytes", body_bytes as u64),
        ("body_bytes_peak", body_bytes_peak as u64),
        ("caller_connections", gateway.caller_connections.len() as u64),
        ("drained_failure_domains", drains.len() as u64),
        ("drained_open_requests", u64::from(open)),
        ("gateways_heard", gateway.peers.borrow().len() as u64),
        ("head_bytes", head_bytes as u64),
        ("head_bytes_peak", head_bytes_peak as u64),
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
