//! Takeover of services by the leader: at the beginning of its term, and when a configuration adds
//! one.

use std::net::SocketAddr;
use std::rc::Rc;

use log::warn;
use oliveworks_gateway_core::backend_servers::{BackendServer, Holding};
use oliveworks_gateway_core::planner::{Planner, ProbeFailure};
use oliveworks_gateway_core::planners::{PlannerChange, Takeover};

use crate::calls::CallKind;
use crate::events::Event;
use crate::exchange::{CallError, NoConnection, Reply};
use crate::leader::call_server;
use crate::state::Gateway;

/// Timeout of a probe of a backend server's state, in ms.
const PROBE_TIMEOUT_MS: u64 = 120;

/// Makes the planners follow the configuration, and takes over the services that are new.
pub fn follow_configuration(gateway: &Rc<Gateway>) {
    let Some(lookup) = gateway.lookup() else { return };
    let configuration = &lookup.configuration;
    let changes = gateway.planners.borrow_mut().follow(gateway.now(), configuration);
    for change in changes {
        log_planner_change(&change, configuration.version);
        if let PlannerChange::TakeOver(takeover) = change {
            ntex::rt::spawn(take_over(gateway.clone(), takeover));
        }
    }
}

fn log_planner_change(change: &PlannerChange, configuration: u64) {
    let (what, service) = match change {
        PlannerChange::TakeOver(takeover) => ("taken over", &takeover.service),
        PlannerChange::Paused(service) => ("paused", service),
        PlannerChange::Resumed(service) => ("resumed", service),
        PlannerChange::Removed(service) => ("removed", service),
    };
    Event::new("service_planner")
        .with("service", service.as_str())
        .with("change", what)
        .with("configuration", configuration)
        .write();
}

/// Requests the state of all hosts of a service, and passes it to the service's planner.
async fn take_over(gateway: Rc<Gateway>, takeover: Takeover) {
    let servers: Vec<BackendServer> =
        gateway.directory.borrow().of_service(&takeover.service).cloned().collect();
    let mut probes = Vec::new();
    for server in servers {
        if let Some(planner) = gateway.planners.borrow_mut().taking_over(&takeover) {
            planner.handle_listed_host(gateway.now(), &server);
        }
        let (gateway, id, address) = (gateway.clone(), server.id.clone(), server.address);
        let answer = ntex::rt::spawn(async move { probe(&gateway, &id, address).await });
        probes.push((server.id, answer));
    }
    for (id, answer) in probes {
        let outcome = match answer.await {
            Ok(outcome) => outcome,
            Err(error) => {
                warn!("takeover of {}: the probe of {id} failed: {error:?}", takeover.service);
                continue;
            }
        };
        if let Some(planner) = gateway.planners.borrow_mut().taking_over(&takeover) {
            apply_probe(&gateway, planner, &id, &outcome);
        }
    }
    complete_takeover(&gateway, &takeover);
    gateway.plan_now.notify_one();
}

fn complete_takeover(gateway: &Gateway, takeover: &Takeover) {
    let (now, table) = (gateway.now(), gateway.table.borrow());
    let most_hosts = table.most_hosts.get(&takeover.service);
    let mut planners = gateway.planners.borrow_mut();
    let Some(planner) = planners.adopt(now, takeover, &table.ended, most_hosts) else { return };
    for line in planner.describe() {
        Event::new("group_taken_over").with("group", line).with("fence", takeover.fence).write();
    }
}

/// Passes the outcome of a probe to a planner.
pub fn apply_probe(gateway: &Gateway, planner: &mut Planner, server: &str, outcome: &ProbeOutcome) {
    let now = gateway.now();
    match outcome {
        ProbeOutcome::Holding(holding) => planner.handle_report(now, server, holding),
        ProbeOutcome::Failed(failure) => planner.handle_probe_failure(now, server, *failure),
        ProbeOutcome::Replaced => planner.mark_replaced(now, server),
    }
}

/// Outcome of a probe of a backend server's state.
pub enum ProbeOutcome {
    /// The state that the server reports.
    Holding(Holding),
    /// The server does not report its state.
    Failed(ProbeFailure),
    /// Another backend server answers at the address.
    Replaced,
}

/// Requests the state of a backend server.
pub async fn probe(gateway: &Gateway, server: &str, address: SocketAddr) -> ProbeOutcome {
    gateway.count("probes");
    let _slot = gateway.calls.acquire_slot(CallKind::Probe).await;
    match call_server(
        gateway,
        server,
        address,
        &gateway.dialect.report_call(server),
        PROBE_TIMEOUT_MS,
    )
    .await
    {
        Ok(Reply { status, body, .. }) => match gateway.dialect.parse_report(status, &body) {
            Ok(Some(holding)) => ProbeOutcome::Holding(holding),
            Ok(None) => ProbeOutcome::Replaced,
            Err(_) => ProbeOutcome::Failed(ProbeFailure::Unanswered),
        },
        Err(error) => ProbeOutcome::Failed(probe_failure(&error)),
    }
}

fn probe_failure(error: &CallError) -> ProbeFailure {
    match error {
        CallError::NoConnection(NoConnection::Refused) => ProbeFailure::Refused,
        CallError::NoConnection(NoConnection::Silent) => ProbeFailure::Unreachable,
        CallError::NoAnswer => ProbeFailure::Unanswered,
    }
}
