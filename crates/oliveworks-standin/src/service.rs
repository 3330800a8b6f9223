//! Stand-in for a plain service. Counts the bookings that it ran, by id.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use clap::Args;
use ntex::time::{Millis, sleep};
use ntex::web::types::{Json, State};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use oliveworks_platform::engine::Health;
use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::HostOptions;

#[derive(Args)]
pub struct Options {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Name of the service
    #[arg(long)]
    name: String,
    #[command(flatten)]
    host: HostOptions,
    /// Duration of a booking, in ms
    #[arg(long, default_value_t = 5)]
    book_ms: u32,
}

struct Service {
    instance: u64,
    counts: Mutex<BTreeMap<String, u32>>,
    book_ms: u32,
}

#[derive(Deserialize)]
struct Booking {
    id: serde_json::Value,
}

#[derive(Serialize)]
struct Booked {
    id: serde_json::Value,
    ran: bool,
}

/// Counts a booking and answers after the configured duration.
async fn book(service: State<Arc<Service>>, booking: Json<Booking>) -> HttpResponse {
    let id = booking.into_inner().id;
    let name = id.as_str().map_or_else(|| id.to_string(), str::to_owned);
    if let Ok(mut counts) = service.counts.lock() {
        *counts.entry(name).or_default() += 1;
    }
    sleep(Millis(service.book_ms)).await;
    HttpResponse::Ok().json(&Booked { id, ran: true })
}

async fn counts(service: State<Arc<Service>>) -> HttpResponse {
    match service.counts.lock() {
        Ok(counts) => HttpResponse::Ok().json(&*counts),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

/// Returns the method, path, query, `x-test-` headers and body of the request.
async fn echo(request: HttpRequest, body: web::types::Payload) -> HttpResponse {
    let mut response = HttpResponse::Ok();
    response.header("x-echo-method", request.method().as_str());
    response.header("x-echo-path", request.uri().to_string());
    for (name, value) in request.headers() {
        if name.as_str().starts_with("x-test-") {
            response.header(name.clone(), value.clone());
        }
    }
    response.streaming(body)
}

async fn health(service: State<Arc<Service>>) -> HttpResponse {
    let health = Health { instance: service.instance, ..Health::default() };
    HttpResponse::Ok().json(&health)
}

async fn order() -> HttpResponse {
    HttpResponse::NoContent().finish()
}

/// Runs the service until the process is stopped.
pub async fn run(options: Options) -> anyhow::Result<()> {
    let listener = TcpListener::bind(options.listen)?;
    super::announce(listener.local_addr()?);
    options.host.keep_listed(Some(options.name.clone()));
    let service = Arc::new(Service {
        instance: rand::rng().random(),
        counts: Mutex::default(),
        book_ms: options.book_ms,
    });
    let app = async move || {
        App::new()
            .state(service.clone())
            .route("/book", web::post().to(book))
            .route("/counts", web::get().to(counts))
            .route("/health", web::get().to(health))
            .route("/orders", web::post().to(order))
            .default_service(web::route().to(echo))
    };
    HttpServer::new(app).workers(1).listen(listener)?.run().await?;
    Ok(())
}
