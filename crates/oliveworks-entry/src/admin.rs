//! HTTP interface for operators and monitoring: metrics, status and the timeline.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use ntex::web::types::{Path, Query, State};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use oliveworks_core::error::ErrorKind;
use oliveworks_core::id::{HostId, Offset};
use oliveworks_net::wire::{Question, Reply};
use oliveworks_platform::sign::token_digest;
use oliveworks_runtime::timeline::{Event, Filter};
use serde_json::{Value, json};

use crate::callers::refuse;
use crate::process::Entry;

type Shared = State<Arc<Entry>>;

/// Maximum number of processes queried for one timeline request.
const QUERIED_PEERS_MAX: usize = 64;
/// Timeout of a query for the events of another process.
const EVENTS_TIMEOUT: Duration = Duration::from_millis(1_500);

fn check_operator_token(entry: &Entry, request: &HttpRequest) -> Result<(), HttpResponse> {
    let token = crate::auth::bearer(request.headers()).map(token_digest);
    if token.as_deref() == Some(entry.settings.operator_token_digest.as_str()) {
        return Ok(());
    }
    let refusal = refuse(ErrorKind::Unauthorized, "the operators' token is needed");
    Err(crate::answer::refusal(&refusal, None))
}

async fn metrics(entry: Shared) -> HttpResponse {
    let now = entry.clock.now();
    let (sent, received) = entry.net.udp_bytes();
    entry.metrics.set("udp_bytes_sent", sent as i64);
    entry.metrics.set("udp_bytes_received", received as i64);
    entry.metrics.set("next_offset", entry.store.next().0 as i64);
    entry.metrics.set("config_age_ms", entry.store.age_ms(now).map_or(-1, |a| a as i64));
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(entry.metrics.text())
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(entry: Shared) -> HttpResponse {
    let has_config = entry.store.age_ms(entry.clock.now()).is_some();
    if has_config && !entry.draining.load(Ordering::Relaxed) {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("stopping, or the configuration is not known yet\n")
}

/// Returns groups, hosts and templates, and the reasons why replicas are missing.
async fn status(entry: Shared, request: HttpRequest) -> HttpResponse {
    if let Err(refused) = check_operator_token(&entry, &request) {
        return refused;
    }
    let now = entry.clock.now();
    let mut body = entry.store.with_pool(|pool| {
        let core = entry.core();
        let fleet = core.decider.fleet();
        let groups: Vec<Value> = pool
            .groups()
            .map(|g| {
                let report = fleet.report_of(g.epoch);
                json!({
                    "group": g.epoch.to_string(),
                    "replica": g.slot.to_string(),
                    "domain": g.domain.to_string(),
                    "state": format!("{:?}", g.state).to_lowercase(),
                    "serving": report.is_some_and(|r| r.serving),
                    "reported": report.is_some(),
                    "lost": report.map(|r| r.lost.clone()).unwrap_or_default(),
                    "members": &g.ranked[..g.width()],
                    "spares": &g.ranked[g.width()..],
                })
            })
            .collect();
        let hosts: Vec<Value> = fleet
            .hosts()
            .map(|(host, view)| {
                let group = pool.group_of(host).map(|g| g.epoch.to_string());
                let why = match (&group, view.state()) {
                    (Some(_), _) => Value::Null,
                    (None, "live") if pool.drained().contains(&host) => {
                        json!("an operator took it out of use")
                    }
                    (None, "live") => json!("no replica lacks a host here"),
                    (None, state) => json!(format!("it is {state}")),
                };
                json!({
                    "host": host.to_string(),
                    "domain": view.domain.to_string(),
                    "state": view.state(),
                    "service": view.service,
                    "group": group,
                    "idle_because": why,
                })
            })
            .collect();
        let templates: Vec<Value> = pool
            .templates()
            .map(|p| json!({"template": p.template.key().to_string(), "at": p.at, "replicas": p.template.replicas}))
            .collect();
        json!({"groups": groups, "hosts": hosts, "templates": templates, "next": pool.next(),
            "digest": format!("{:032x}", pool.digest()), "missing": core.decider.missing()})
    });
    body["entry"] = json!(entry.settings.entry.to_string());
    body["decider_rank"] = json!(entry.rank);
    body["config_age_ms"] = json!(entry.store.age_ms(now));
    body["source"] = json!(format!("{:?}", entry.store.source()));
    HttpResponse::Ok().json(&body)
}

/// Returns the next offset of this entry and of the processes that read records from it.
async fn heads(entry: Shared, request: HttpRequest) -> HttpResponse {
    if let Err(refused) = check_operator_token(&entry, &request) {
        return refused;
    }
    let now = entry.clock.now();
    let mut heads: BTreeMap<String, Offset> = BTreeMap::new();
    heads.insert(entry.settings.entry.to_string(), entry.store.next());
    let core = entry.core();
    let recent =
        core.reader_positions.iter().filter(|(_, (_, at))| now.since(*at) < READER_EXPIRY_MS);
    heads.extend(recent.map(|(name, (next, _))| (name.clone(), *next)));
    HttpResponse::Ok().json(&heads)
}

/// Time without a read of records after which a process is not listed any more, in milliseconds.
const READER_EXPIRY_MS: u64 = 15_000;

/// Returns whether the record at an offset was applied.
async fn outcome(entry: Shared, request: HttpRequest, offset: Path<u64>) -> HttpResponse {
    if let Err(refused) = check_operator_token(&entry, &request) {
        return refused;
    }
    let outcome = entry.store.outcome(Offset(*offset));
    let body = match outcome {
        None => json!({"known": false}),
        Some(Ok(())) => json!({"known": true, "applied": true}),
        Some(Err(why)) => json!({"known": true, "applied": false, "why": why.to_string()}),
    };
    HttpResponse::Ok().json(&body)
}

/// Returns the events of this entry, merged with those of other processes that may have matching
/// events. Processes that did not answer are listed as `silent`.
async fn timeline(entry: Shared, request: HttpRequest, filter: Query<Filter>) -> HttpResponse {
    if let Err(refused) = check_operator_token(&entry, &request) {
        return refused;
    }
    let filter = filter.into_inner();
    let mut events = entry.timeline.events(|e| filter.wants(e));
    let mut silent = BTreeSet::new();
    let peers = peers(&entry, &filter, &events);
    let replies = futures_util::future::join_all(peers.into_iter().map(|(name, at)| {
        let (entry, filter) = (entry.clone(), filter.clone());
        async move {
            let question = Question::Timeline(filter);
            let reply = entry.net.ask(&name, at, &question, EVENTS_TIMEOUT).await;
            (name, reply)
        }
    }));
    for (name, reply) in replies.await {
        match reply {
            Ok(Reply::Events(bytes)) => {
                events.extend(serde_json::from_slice::<Vec<Event>>(&bytes).unwrap_or_default());
            }
            _ => {
                silent.insert(name);
            }
        }
    }
    events
        .sort_by(|a, b| (a.time_ms, &a.process, a.number).cmp(&(b.time_ms, &b.process, b.number)));
    HttpResponse::Ok().json(&json!({"events": events, "silent": silent}))
}

/// Returns the processes to query for events: the other entries, and the members of the groups that
/// the filter or the events of this entry refer to.
fn peers(entry: &Entry, filter: &Filter, events: &[Event]) -> Vec<(String, SocketAddr)> {
    let own_id = entry.settings.entry;
    let entries = entry.settings.entries.iter().filter(|e| e.entry != own_id);
    let mut peers: Vec<(String, SocketAddr)> =
        entries.map(|e| (e.entry.to_string(), e.peer)).collect();
    let named: BTreeSet<&str> = events.iter().filter_map(|e| e.group.as_deref()).collect();
    entry.store.with_pool(|pool| {
        for group in pool.groups() {
            let text = group.epoch.to_string();
            for (host, at) in group.ranked.iter().zip(&group.addresses) {
                let name = HostId::to_string(host);
                let wanted = match (&filter.host, &filter.group, &filter.request) {
                    (Some(host), ..) => *host == name,
                    (None, Some(group), _) => *group == text,
                    (None, None, Some(_)) => named.contains(text.as_str()),
                    (None, None, None) => true,
                };
                if wanted {
                    peers.push((name, *at));
                }
            }
        }
    });
    peers.truncate(QUERIED_PEERS_MAX);
    peers
}

/// Starts the HTTP server for operators in a thread of its own.
pub fn serve(entry: &Arc<Entry>) -> anyhow::Result<ntex::server::Server> {
    let at = entry.settings.admin;
    let listener = TcpListener::bind(at).with_context(|| format!("admin: {at}"))?;
    let entry = entry.clone();
    let app = async move || {
        App::new()
            .state(entry.clone())
            .route("/metrics", web::get().to(metrics))
            .route("/live", web::get().to(live))
            .route("/ready", web::get().to(ready))
            .route("/admin/status", web::get().to(status))
            .route("/admin/heads", web::get().to(heads))
            .route("/admin/outcome/{offset}", web::get().to(outcome))
            .route("/admin/timeline", web::get().to(timeline))
    };
    Ok(HttpServer::new(app).workers(1).disable_signals().listen(listener)?.run())
}
