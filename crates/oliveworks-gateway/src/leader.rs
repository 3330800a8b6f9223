//! Elections, and the execution of the planner's commands while this gateway leads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oliveworks_gateway_core::backend_servers::{BackendServerId, Holding};
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::changed_lines::ChangedLines;
use oliveworks_gateway_core::demand::ModelKey;
use oliveworks_gateway_core::planner::{Command, Ending, ModelLoad, Order, Outcome, Planner};
use oliveworks_gateway_core::table::{Change, Table, TableGroup};
use serde_json::{Map, Value};
use tokio::time::{sleep, timeout};

use crate::calls::CallKind;
use crate::dialect::Call;
use crate::events::Event;
use crate::exchange::{
    self, CallError, Exchange, ExchangeError, MISDIRECTED, Reply, SERVER_ANSWER_MAX,
};
use crate::host_statements::Sender;
use crate::state::Gateway;
use crate::takeover::{ProbeOutcome, apply_probe, probe};
use crate::{peers, store, takeover};

/// Longest time between two planning rounds, in ms.
const PLAN_INTERVAL_MS: u64 = 40;
/// Shortest time between two planning rounds when an answer requests one at once, in ms. The median
/// repair of a large group takes 0.80 s with such early rounds and 1.05 s without them. The minimum
/// keeps a burst of answers from using up the processor.
const PLAN_INTERVAL_MIN_MS: u64 = 10;
/// Time after a pause in which a leader sends no orders, in ms.
const AFTER_PAUSE_MS: u64 = 250;
/// Time between two log lines on each model, and between two checks for changed lines on fabric
/// domains, in ms.
const LOG_INTERVAL_MS: u64 = 1_000;
/// Slowdown factor above which a host gets a log line.
const SLOW_PACE: f64 = 1.25;
/// Timeout of an order, in ms.
const ORDER_TIMEOUT_MS: u64 = 250;

/// Runs elections, and plans while this gateway leads.
pub async fn run(gateway: Rc<Gateway>) {
    let mut fence = None;
    let mut described_at = 0;
    let mut domain_lines = ChangedLines::default();
    loop {
        gateway.tick_with_processor_time();
        claim_if_due(&gateway);
        let leads = gateway.election.borrow().leading_fence();
        if leads != fence {
            fence = leads;
            change_leadership(&gateway, fence);
        }
        // Another gateway may have become leader during a pause: messages that arrived meanwhile
        // are processed before any planning.
        let is_catching_up =
            gateway.now() < gateway.awake_since() + AFTER_PAUSE_MS && gateway.awake_since() > 0;
        if let Some(fence) = fence.filter(|_| !is_catching_up) {
            takeover::follow_configuration(&gateway);
            plan(&gateway, fence);
            if gateway.now() >= described_at + LOG_INTERVAL_MS {
                described_at = gateway.now();
                describe(&gateway, &mut domain_lines);
            }
        }
        sleep(Duration::from_millis(PLAN_INTERVAL_MIN_MS)).await;
        let pause = Duration::from_millis(PLAN_INTERVAL_MS - PLAN_INTERVAL_MIN_MS);
        let _ = timeout(pause, gateway.plan_now.notified()).await;
    }
}

fn describe(gateway: &Gateway, domain_lines: &mut ChangedLines) {
    for (service, hosts) in gateway.unplanned_services() {
        Event::new("service_without_planner").with("service", service).with("hosts", hosts).write();
    }
    let planners = gateway.planners.borrow();
    let domains = planners.planning().flat_map(|(_, planner)| planner.describe_domains()).collect();
    for line in domain_lines.due(gateway.now(), domains) {
        Event::new("domain").with("hosts", line).write();
    }
    for (service, planner) in planners.planning() {
        for gap in planner.spread_gaps() {
            gateway.count("spread_gaps");
            Event::new("spread_gap")
                .with("model", gap.model)
                .with("failure_domains", gap.found)
                .with("wanted", gap.wanted)
                .write();
        }
        for model in planner.models() {
            let key = ModelKey::of(service, &model.name);
            let refused = gateway.demand.borrow().refused_fraction(gateway.now(), key);
            Event::new("model")
                .with("model", model.name.as_str())
                .with("demand_percent", percent(planner.demand(&model.name)))
                .with("refused_percent", percent(refused))
                .write();
        }
    }
}

fn percent(share: f64) -> u64 {
    (share * 100.0).round() as u64
}

fn claim_if_due(gateway: &Rc<Gateway>) {
    let ready = gateway.directory_read.get() && gateway.lookup.borrow().is_some();
    if !ready || gateway.is_stopping() {
        return;
    }
    let (now, rank) = (gateway.now(), peers::election_rank(gateway));
    gateway.election.borrow_mut().awake_since(gateway.awake_since());
    let claim = gateway.election.borrow_mut().claim(now, rank);
    if let Some(end) = claim {
        ntex::rt::spawn(store::claim_leadership(gateway.clone(), end));
    }
}

/// Starts or stops leading.
fn change_leadership(gateway: &Gateway, fence: Option<u64>) {
    gateway.planners.borrow_mut().change_term(fence);
    Event::new("leads").with("fence", fence).write();
}

/// Calls a backend server on a new connection and processes the statements of the answer about its
/// sender.
pub async fn call_server(
    gateway: &Gateway,
    server: &str,
    address: SocketAddr,
    call: &Call,
    within_ms: u64,
) -> Result<Reply, CallError> {
    let incarnation = gateway.directory.borrow().born(server);
    let opened = Exchange::open(address, within_ms).await;
    let mut open = opened.map_err(CallError::NoConnection)?;
    let sent_at = gateway.now();
    gateway.count_own_call(server);
    let answer = exchange::call(&mut open, address, call, within_ms, SERVER_ANSWER_MAX).await;
    let reply = answer.map_err(|_: ExchangeError| CallError::NoAnswer)?;
    if reply.status != MISDIRECTED {
        let answered = gateway.dialect.parse_answer(reply.status, &reply.headers);
        let sender = Sender { server, incarnation, sent_at, to_request: false };
        gateway.process_statements(sender, &answered, &call.target);
    }
    Ok(reply)
}

fn plan(gateway: &Rc<Gateway>, fence: u64) {
    let now = gateway.now();
    let slow = gateway.slow_groups();
    slow.into_iter().for_each(|group| gateway.process_slow_group(group));
    let mut planners = gateway.planners.borrow_mut();
    if !planners.has_begun() {
        return;
    }
    let mut shares_before = BTreeMap::new();
    for (service, planner) in planners.planning_mut() {
        planner.set_drained(&gateway.drains.borrow().failure_domains());
        planner.set_traffic(gateway.traffic.get());
        report_load(gateway, service, planner);
        shares_before.insert(service.to_owned(), planner.target_shares());
    }
    let commands = planners.tick(now);
    let mut table = Table { fence, ended: planners.ended(), ..Table::default() };
    for (service, planner) in planners.planning_mut() {
        log_shares(planner, &shares_before[service]);
        log_waiting_hosts(gateway, planner);
        planner.take_endings().into_iter().for_each(log_ending);
        table.groups.extend(table_groups(gateway, service, planner));
        table.most_hosts.insert(service.to_owned(), planner.most_hosts().clone());
    }
    drop(planners);
    publish(gateway, &table);
    for (service, command) in commands {
        ntex::rt::spawn(execute(gateway.clone(), fence, service, command));
    }
}

/// Logs each model whose share of the hosts has changed.
fn log_shares(planner: &Planner, before: &BTreeMap<String, f64>) {
    for (model, share) in
        planner.target_shares().iter().filter(|(model, share)| before.get(*model) != Some(share))
    {
        Event::new("part_follows_callers")
            .with("model", model.as_str())
            .with("percent_of_hosts", (share * 100.0).round())
            .with("percent_before", before.get(model).map(|share| (share * 100.0).round()))
            .with("demand_percent", (planner.demand(model) * 100.0).round())
            .write();
    }
}

/// Logs the end of a group.
fn log_ending(ending: Ending) {
    Event::new("group_ended")
        .with("group", ending.group)
        .debug("reason", ending.reason)
        .with("members_are_free", ending.is_certain)
        .debug("head_said", ending.head_said)
        .with("head_said_ms_ago", ending.head_said_ms_ago)
        .write();
}

/// Logs free hosts that wait although a model rejects callers.
fn log_waiting_hosts(gateway: &Gateway, planner: &mut Planner) {
    for waiting in planner.waiting_hosts(gateway.now()) {
        gateway.count("free_hosts_wait");
        Event::new("free_hosts_wait")
            .with("domain", waiting.domain)
            .with("model", waiting.model)
            .with("hosts", waiting.hosts)
            .with("missing", waiting.missing)
            .with("loading", waiting.loading)
            .with("waited_ms", waiting.waited_ms)
            .write();
    }
}

/// Load of the serving groups of a model.
#[derive(Default)]
struct Serving {
    /// Outstanding requests at these groups.
    outstanding: u32,
    slots: u32,
    groups: usize,
}

/// Reports the load of each model's groups to the planner.
fn report_load(gateway: &Gateway, service: &str, planner: &mut Planner) {
    let now = gateway.now();
    let mut loads: BTreeMap<String, Serving> = BTreeMap::new();
    let table = gateway.table.borrow();
    for group in table.groups.iter().filter(|group| group.service == service) {
        let load = loads.entry(group.model.clone()).or_default();
        load.outstanding +=
            gateway.balance.borrow().load(now, Target::of(&group.members[0])).requests;
        load.slots += group.slots;
        load.groups += 1;
    }
    for (model, serving) in loads {
        let key = ModelKey::of(service, &model);
        let load = ModelLoad {
            open_per_slot: f64::from(serving.outstanding) / f64::from(serving.slots.max(1)),
            refused_part: gateway.demand.borrow().refused_fraction(now, key),
        };
        planner.record_load(now, &model, load, serving.groups);
    }
}

fn table_groups(gateway: &Gateway, service: &str, planner: &Planner) -> Vec<TableGroup> {
    let directory = gateway.directory.borrow();
    let lookup = gateway.lookup();
    let engine = lookup.as_ref().and_then(|l| l.service(service)).and_then(|s| s.engine.as_ref());
    let slots = engine.map_or(1, |engine| engine.slots);
    let mut groups = Vec::new();
    for group in planner.serving(gateway.now()) {
        let Some(head) = directory.get(&group.members[0]) else { continue };
        groups.push(TableGroup {
            service: service.to_owned(),
            model: group.model,
            epoch: group.epoch,
            members: group.members.iter().map(|id| id.to_string()).collect(),
            address: head.address,
            slots,
            failure_domain: head.failure_domain.clone(),
            pace_percent: (group.pace * 100.0) as u32,
            head_born: group.head_born,
        });
    }
    groups
}

/// Publishes the changes of the leader's table under the next numbers.
fn publish(gateway: &Gateway, new: &Table) {
    let changes = gateway.table.borrow().changes_to(new);
    if changes.is_empty() {
        return;
    }
    let new_leader = gateway.table.borrow().fence != new.fence;
    let regrouped = new_leader || changes.iter().any(Change::regroups);
    if !changes.iter().all(|change| gateway.change_table(change.clone())) {
        // The table of another leader is newer, and this gateway is about to learn that it no
        // longer leads.
        return;
    }
    gateway.changes_to_forward.borrow_mut().extend(changes);
    gateway.send_now.notify_one();
    if regrouped {
        log_groups(&gateway.table.borrow());
    }
}

/// Logs the number of serving groups per model.
fn log_groups(table: &Table) {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for group in &table.groups {
        *counts.entry(&group.model).or_default() += 1;
    }
    let counts: Map<String, Value> =
        counts.into_iter().map(|(model, count)| (model.to_owned(), count.into())).collect();
    Event::new("groups_serve")
        .with("groups", counts)
        .with("fence", table.fence)
        .with("table", table.number)
        .write();
}

async fn execute(gateway: Rc<Gateway>, fence: u64, service: String, command: Command) {
    match command {
        Command::Probe { server, address } => {
            let answer = probe(&gateway, &server, address).await;
            let mut planners = gateway.planners.borrow_mut();
            let Some(planner) = planners.get_mut(&service).filter(|p| p.fence() == fence) else {
                return;
            };
            if let ProbeOutcome::Holding(holding) = &answer {
                log_slow_host(&server, holding.pace);
                log_changed_holding(planner, &server, holding);
            }
            apply_probe(&gateway, planner, &server, &answer);
        }
        Command::Order { server, address, order, expects } => {
            let call = gateway.dialect.order_call(&server, fence, &order, expects);
            let outcome = send_order(&gateway, fence, &server, address, &call).await;
            Event::new("order")
                .with("host", &*server)
                .with("fence", fence)
                .debug("order", &order)
                .with("expects", expects)
                .debug("outcome", outcome)
                .write();
            record_order_outcome(&gateway, fence, &service, &server, &order, outcome);
        }
    }
    gateway.plan_now.notify_one();
}

/// Logs a host that reports to be slower than usual.
fn log_slow_host(server: &str, pace: Option<f64>) {
    if let Some(pace) = pace.filter(|pace| *pace > SLOW_PACE) {
        Event::new("host_is_slow").with("host", server).with("pace", pace).write();
    }
}

/// Logs a host that holds other models than last known.
fn log_changed_holding(planner: &Planner, server: &str, holding: &Holding) {
    let Some(before) = planner.holding(server) else { return };
    if (&before.models, &before.staging) == (&holding.models, &holding.staging) {
        return;
    }
    Event::new("host_holds")
        .with("host", server)
        .with("model", holding.models.first().cloned())
        .with("in_memory", holding.staging.clone())
        .with("model_before", before.models.first().cloned())
        .with("in_memory_before", before.staging.clone())
        .write();
}

async fn send_order(
    gateway: &Gateway,
    fence: u64,
    server: &str,
    address: SocketAddr,
    order: &Call,
) -> Outcome {
    let _slot = gateway.calls.acquire_slot(CallKind::Order).await;
    // The gateway may have lost the leadership while it waited for a free call slot, and some hosts
    // don't check fences.
    if gateway.election.borrow().leading_fence() != Some(fence) {
        return Outcome::Unanswered;
    }
    gateway.count("orders");
    match call_server(gateway, server, address, order, ORDER_TIMEOUT_MS).await {
        Ok(Reply { status, .. }) => gateway.dialect.parse_order_status(status),
        Err(_) => Outcome::Unanswered,
    }
}

fn record_order_outcome(
    gateway: &Gateway,
    fence: u64,
    service: &str,
    server: &BackendServerId,
    order: &Order,
    outcome: Outcome,
) {
    if outcome == Outcome::Fenced {
        gateway.election.borrow_mut().fenced(fence);
    }
    let now = gateway.now();
    let mut planners = gateway.planners.borrow_mut();
    if let Some(planner) = planners.get_mut(service).filter(|p| p.fence() == fence) {
        planner.handle_order_outcome(now, server, order, outcome);
    }
}
