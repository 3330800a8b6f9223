//! Stand-in for the platform: an append-only log with offsets and limited retention, an eventually
//! consistent list of hosts, and a weight store with limited concurrency.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use clap::Args;
use ntex::time::{Millis, sleep};
use ntex::web::types::{Json, Path, Query, State};
use ntex::web::{self, App, HttpResponse, HttpServer};
use oliveworks_core::fleet::ListedHost;
use oliveworks_core::id::{HostId, Offset};
use oliveworks_platform::client::{Appended, LogPage, LogRecord};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

#[derive(Args)]
pub struct Options {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Number of records retained in each stream
    #[arg(long, default_value_t = 100_000)]
    retention: usize,
    /// Maximum number of appends per second
    #[arg(long, default_value_t = 300)]
    appends: u32,
    /// Duration of a fetch of the weights of one host, in ms
    #[arg(long, default_value_t = 300)]
    weights_ms: u32,
    /// Maximum number of simultaneous fetches of weights
    #[arg(long, default_value_t = 8)]
    fetches: usize,
    /// Time that a host stays in the list after its last heartbeat, in ms
    #[arg(long, default_value_t = 3_000)]
    lag_ms: u64,
}

/// Injected faults of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    /// Whether the log is unavailable.
    down: bool,
    /// Whether the answers to appends are lost although the records are appended.
    lose_answers: bool,
    /// Additional delay of the answers of the log, in ms.
    slow_ms: u32,
    /// Whether the list of hosts no longer changes.
    list_stuck: bool,
    /// Hosts that are listed as leaving.
    leaving: BTreeSet<HostId>,
    /// Hosts that are omitted from the list.
    hidden: BTreeSet<HostId>,
    /// Records before this offset are dropped once, when the faults are set to this value.
    expire_before: u64,
}

#[derive(Default)]
struct Stream {
    start: u64,
    records: VecDeque<String>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.start + self.records.len() as u64
    }

    /// Drops the records before an offset.
    fn drop_before(&mut self, start: u64) {
        while self.start < start && self.records.pop_front().is_some() {
            self.start += 1;
        }
    }
}

struct Inner {
    streams: BTreeMap<String, Stream>,
    hosts: BTreeMap<HostId, (ListedHost, Instant)>,
    shown: Vec<ListedHost>,
    faults: Faults,
    second: Instant,
    appended: u32,
}

struct Platform {
    inner: Mutex<Inner>,
    fetches: Semaphore,
    options: Options,
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

type Shared = State<Arc<Platform>>;

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default = "many")]
    max: usize,
    #[serde(default)]
    wait_ms: u32,
}

fn many() -> usize {
    1000
}

/// Maximum time that a read waits for records, in ms.
const WAIT_MAX_MS: u32 = 5_000;
/// Time between two checks of a waiting read for new records, in ms.
const POLL_INTERVAL_MS: u32 = 20;

/// Waits for the injected delay. Returns whether the log is unavailable.
async fn inject_faults(platform: &Platform) -> bool {
    let (down, slow) = {
        let inner = platform.lock();
        (inner.faults.down, inner.faults.slow_ms)
    };
    if slow > 0 {
        sleep(Millis(slow)).await;
    }
    down
}

fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("the log is down")
}

async fn append(platform: Shared, stream: Path<String>, data: String) -> HttpResponse {
    if inject_faults(&platform).await {
        return unavailable();
    }
    let (offset, lost) = {
        let mut inner = platform.lock();
        if inner.second.elapsed() > Duration::from_secs(1) {
            inner.second = Instant::now();
            inner.appended = 0;
        }
        inner.appended += 1;
        if inner.appended > platform.options.appends {
            return HttpResponse::TooManyRequests().body("too many appends in this second");
        }
        let lost = inner.faults.lose_answers;
        let retention = platform.options.retention as u64;
        let stream = inner.streams.entry(stream.into_inner()).or_default();
        let offset = stream.next();
        stream.records.push_back(data);
        stream.drop_before(stream.next().saturating_sub(retention));
        (offset, lost)
    };
    match lost {
        true => HttpResponse::BadGateway().body("the answer was lost"),
        false => HttpResponse::Ok().json(&Appended { offset: Offset(offset) }),
    }
}

async fn read(platform: Shared, stream: Path<String>, query: Query<ReadQuery>) -> HttpResponse {
    let name = stream.into_inner();
    let mut remaining_ms = query.wait_ms.min(WAIT_MAX_MS);
    loop {
        if inject_faults(&platform).await {
            return unavailable();
        }
        let page = page(&mut platform.lock(), &name, &query);
        let empty = page.records.is_empty() && query.from >= page.next.0;
        if query.from < page.start.0 {
            return HttpResponse::Gone().json(&page);
        }
        if !empty || remaining_ms == 0 {
            return HttpResponse::Ok().json(&page);
        }
        sleep(Millis(POLL_INTERVAL_MS.min(remaining_ms))).await;
        remaining_ms = remaining_ms.saturating_sub(POLL_INTERVAL_MS);
    }
}

fn page(inner: &mut Inner, name: &str, query: &ReadQuery) -> LogPage {
    let stream = inner.streams.entry(name.to_owned()).or_default();
    let skip = query.from.saturating_sub(stream.start) as usize;
    let records = stream.records.iter().enumerate().skip(skip).take(query.max);
    let records = records
        .map(|(i, data)| LogRecord { offset: Offset(stream.start + i as u64), data: data.clone() });
    LogPage { start: Offset(stream.start), next: Offset(stream.next()), records: records.collect() }
}

/// Records a heartbeat of a host.
async fn beat(platform: Shared, listed: Json<ListedHost>) -> HttpResponse {
    let listed = listed.into_inner();
    platform.lock().hosts.insert(listed.host, (listed, Instant::now()));
    HttpResponse::NoContent().finish()
}

/// Returns the list of hosts, with the injected faults.
async fn hosts(platform: Shared) -> HttpResponse {
    let lag = Duration::from_millis(platform.options.lag_ms);
    let mut inner = platform.lock();
    if !inner.faults.list_stuck {
        let Inner { hosts, faults, .. } = &*inner;
        let present =
            hosts.values().filter(|(l, at)| at.elapsed() < lag && !faults.hidden.contains(&l.host));
        let shown = present
            .map(|(l, _)| ListedHost { leaving: faults.leaving.contains(&l.host), ..l.clone() });
        inner.shown = shown.collect();
    }
    HttpResponse::Ok().json(&inner.shown)
}

/// Simulates a fetch of weights.
async fn weights(platform: Shared) -> HttpResponse {
    let Ok(_permit) = platform.fetches.acquire().await else { return unavailable() };
    sleep(Millis(platform.options.weights_ms)).await;
    HttpResponse::NoContent().finish()
}

async fn set_faults(platform: Shared, faults: Json<Faults>) -> HttpResponse {
    let mut inner = platform.lock();
    let before = faults.expire_before;
    for stream in inner.streams.values_mut() {
        stream.drop_before(before);
    }
    inner.faults = faults.into_inner();
    log::info!("Injected faults changed to {:?}.", inner.faults);
    HttpResponse::Ok().json(&inner.faults)
}

async fn get_faults(platform: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&platform.lock().faults)
}

/// Runs the platform until the process is stopped.
pub async fn run(options: Options) -> anyhow::Result<()> {
    let listener = TcpListener::bind(options.listen)?;
    super::announce(listener.local_addr()?);
    let platform = Arc::new(Platform {
        inner: Mutex::new(Inner {
            streams: BTreeMap::new(),
            hosts: BTreeMap::new(),
            shown: Vec::new(),
            faults: Faults::default(),
            second: Instant::now(),
            appended: 0,
        }),
        fetches: Semaphore::new(options.fetches),
        options,
    });
    let app = async move || {
        App::new()
            .state(platform.clone())
            .state(web::types::PayloadConfig::new(16 << 20))
            .service(
                web::resource("/log/{stream}")
                    .route(web::post().to(append))
                    .route(web::get().to(read)),
            )
            .route("/hosts", web::get().to(hosts))
            .route("/hosts/beat", web::post().to(beat))
            .route("/weights", web::get().to(weights))
            .route("/faults", web::post().to(set_faults))
            .route("/faults", web::get().to(get_faults))
    };
    HttpServer::new(app).workers(1).listen(listener)?.run().await?;
    Ok(())
}
