//! HTTP interface for monitoring: metrics, liveness and readiness.

use std::net::TcpListener;
use std::sync::Arc;

use anyhow::Context;
use ntex::web::types::State;
use ntex::web::{self, App, HttpResponse, HttpServer};

use crate::process::Process;

type Text = Arc<dyn Fn() -> String + Send + Sync>;

#[derive(Clone)]
struct Pages {
    metrics: Text,
    ready: Arc<dyn Fn() -> bool + Send + Sync>,
}

async fn metrics(pages: State<Pages>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body((pages.metrics)())
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(pages: State<Pages>) -> HttpResponse {
    match (pages.ready)() {
        true => HttpResponse::Ok().body("ready\n"),
        false => HttpResponse::ServiceUnavailable().body("the configuration is not known yet\n"),
    }
}

/// Starts the HTTP server for monitoring in a thread of its own.
pub fn serve(process: &Arc<Process>) -> anyhow::Result<ntex::server::Server> {
    let at = process.settings.admin;
    let listener = TcpListener::bind(at).with_context(|| format!("admin: {at}"))?;
    // The client of the engine cannot leave the main thread, so the closures hold only the parts of
    // the process that can be shared.
    let (metrics_of, store, clock) =
        (process.metrics.clone(), process.store.clone(), process.clock);
    let ready_store = store.clone();
    let net = process.net.clone();
    let pages = Pages {
        metrics: Arc::new(move || {
            let (sent, received) = net.udp_bytes();
            metrics_of.set("udp_bytes_sent", sent as i64);
            metrics_of.set("udp_bytes_received", received as i64);
            metrics_of.set("next_offset", store.next().0 as i64);
            metrics_of.set("config_age_ms", store.age_ms(clock.now()).map_or(-1, |a| a as i64));
            metrics_of.text()
        }),
        ready: Arc::new(move || ready_store.age_ms(clock.now()).is_some()),
    };
    let app = async move || {
        App::new()
            .state(pages.clone())
            .route("/metrics", web::get().to(metrics))
            .route("/live", web::get().to(live))
            .route("/ready", web::get().to(ready))
    };
    Ok(HttpServer::new(app).workers(1).disable_signals().listen(listener)?.run())
}
