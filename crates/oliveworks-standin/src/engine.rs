//! Stand-in for a model engine with verifiable answers: word i of an answer is word (i mod n) of
//! the last user message, which has n words.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use clap::Args;
use ntex::time::Millis;
use ntex::util::Bytes;
use ntex::web::types::{Json, Query, State};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use oliveworks_core::message::{EngineOrder, Fence};
use oliveworks_core::route::{Load, prefix_blocks};
use oliveworks_platform::engine::{CacheEvents, Health};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Semaphore;

use super::HostOptions;

#[derive(Args)]
pub struct Options {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(flatten)]
    host: HostOptions,
    /// Duration of one step, in ms; each running request gets one token per step
    #[arg(long, default_value_t = 8)]
    step_ms: u32,
    /// Maximum number of requests that run simultaneously
    #[arg(long, default_value_t = 32)]
    capacity: usize,
    /// Number of prompt tokens that are prefilled per millisecond
    #[arg(long, default_value_t = 8)]
    prefill: u32,
    /// Capacity of the prefix cache, in blocks
    #[arg(long, default_value_t = 4096)]
    blocks: usize,
    /// Reject orders and requests with an outdated fence
    #[arg(long)]
    checks_fences: bool,
    /// Delay of the reported load, in ms
    #[arg(long, default_value_t = 300)]
    load_lag_ms: u64,
}

/// Number of prompt tokens per block of the prefix cache.
const BLOCK_TOKENS: usize = 16;
/// Number of tokens of an answer if the request sets no maximum.
const DEFAULT_TOKENS: u64 = 16;
/// Number of cache events that are retained.
const MAX_EVENTS: usize = 1024;
/// Every cache event with a number divisible by this value is lost.
const EVENT_LOSS_INTERVAL: u64 = 50;

/// Injected faults of the engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    /// Additional duration of each step, in ms.
    slow_ms: u32,
    /// Whether health checks fail.
    unhealthy: bool,
    /// Number of tokens after which streams break.
    break_after: Option<u64>,
}

#[derive(Default)]
struct Inner {
    fence: Fence,
    weights: Option<u64>,
    counts: BTreeMap<String, u32>,
    cache: HashSet<u64>,
    cache_order: VecDeque<u64>,
    events: VecDeque<(u64, bool, u64)>,
    next_event: u64,
    loads: VecDeque<(Instant, Load)>,
    faults: Faults,
}

struct Engine {
    instance: u64,
    inner: Mutex<Inner>,
    slots: Semaphore,
    waiting: AtomicU32,
    prefill: AtomicU32,
    options: Options,
}

type Shared = State<Arc<Engine>>;

impl Engine {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns the current load.
    fn load(&self) -> Load {
        Load {
            running: (self.options.capacity - self.slots.available_permits()) as u32,
            waiting: self.waiting.load(Ordering::Relaxed),
            prefill: self.prefill.load(Ordering::Relaxed),
            capacity: self.options.capacity as u32,
        }
    }

    /// Returns the load with the configured delay.
    fn delayed_load(&self) -> Load {
        let now = self.load();
        let lag = Duration::from_millis(self.options.load_lag_ms);
        let mut inner = self.lock();
        inner.loads.push_back((Instant::now(), now));
        while inner.loads.len() > 1 && inner.loads[1].0.elapsed() >= lag {
            inner.loads.pop_front();
        }
        inner.loads.front().map_or(now, |(_, load)| *load)
    }
}

impl Inner {
    /// Adds the blocks of a prompt to the cache and evicts the oldest blocks beyond `capacity`.
    /// Returns the number of leading blocks that were already cached.
    fn cache_blocks(&mut self, blocks: &[u64], capacity: usize) -> usize {
        let covered = blocks.iter().take_while(|b| self.cache.contains(b)).count();
        for block in &blocks[covered..] {
            if self.cache.insert(*block) {
                self.cache_order.push_back(*block);
                self.record_event(true, *block);
            }
        }
        while self.cache_order.len() > capacity {
            let Some(old) = self.cache_order.pop_front() else { break };
            self.cache.remove(&old);
            self.record_event(false, old);
        }
        covered
    }

    /// Records a cache event, or loses it on purpose.
    fn record_event(&mut self, stored: bool, block: u64) {
        self.next_event += 1;
        if self.next_event.is_multiple_of(EVENT_LOSS_INTERVAL) {
            return;
        }
        self.events.push_back((self.next_event, stored, block));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

async fn health(engine: Shared) -> HttpResponse {
    let load = engine.delayed_load();
    let inner = engine.lock();
    if inner.faults.unhealthy {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let fence = if engine.options.checks_fences { inner.fence } else { Fence::default() };
    let health = Health { instance: engine.instance, fence, weights: inner.weights, load };
    HttpResponse::Ok().json(&health)
}

async fn order(engine: Shared, order: Json<EngineOrder>) -> HttpResponse {
    let order = order.into_inner();
    let fence = order.fence();
    {
        let mut inner = engine.lock();
        if engine.options.checks_fences && fence < inner.fence {
            return HttpResponse::Conflict().body("an order with a higher fence came before");
        }
        inner.fence = inner.fence.max(fence);
    }
    let EngineOrder::Bind { weights, .. } = order else {
        return HttpResponse::NoContent().finish();
    };
    if engine.lock().weights != Some(weights) {
        let http = ntex::client::Client::new().await;
        let url = format!("{}/weights", engine.options.host.platform);
        let fetched = http.get(url).timeout(Millis(110_000)).send().await;
        if !fetched.is_ok_and(|r| r.status().is_success()) {
            return HttpResponse::ServiceUnavailable().body("the weight store does not answer");
        }
        engine.lock().weights = Some(weights);
    }
    HttpResponse::NoContent().finish()
}

#[derive(Deserialize)]
struct EventQuery {
    from: u64,
}

async fn cache_events(engine: Shared, query: Query<EventQuery>) -> HttpResponse {
    let inner = engine.lock();
    let selected = inner.events.iter().filter(|(n, ..)| *n >= query.from);
    let (stored, evicted): (Vec<_>, Vec<_>) = selected.partition(|(_, stored, _)| *stored);
    let blocks = |events: Vec<&(u64, bool, u64)>| events.into_iter().map(|(.., b)| *b).collect();
    let next = inner.next_event + 1;
    HttpResponse::Ok().json(&CacheEvents { next, stored: blocks(stored), evicted: blocks(evicted) })
}

async fn counts(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&engine.lock().counts)
}

async fn set_faults(engine: Shared, faults: Json<Faults>) -> HttpResponse {
    let mut inner = engine.lock();
    inner.faults = faults.into_inner();
    HttpResponse::Ok().json(&inner.faults)
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|v| v.to_str().ok())
}

fn parse_fence(text: &str) -> Option<Fence> {
    let (epoch, view) = text.split_once('.')?;
    Some(Fence { epoch: epoch.parse().ok()?, view: view.parse().ok()? })
}

/// Returns the text of the last user message, or of the prompt.
fn prompt(body: &Value) -> Option<String> {
    if let Some(messages) = body.get("messages").and_then(Value::as_array) {
        let user = |m: &&Value| m.get("role") == Some(&json!("user"));
        return messages.iter().rev().find(user)?.get("content")?.as_str().map(str::to_owned);
    }
    body.get("prompt")?.as_str().map(str::to_owned)
}

/// Returns the text of all messages, or of the prompt, for the prefix cache.
fn all_text(body: &Value) -> String {
    let messages = body.get("messages").and_then(Value::as_array);
    let texts = messages.into_iter().flatten().filter_map(|m| m.get("content")?.as_str());
    let joined: Vec<&str> = texts.collect();
    match body.get("prompt").and_then(Value::as_str) {
        Some(prompt) => prompt.to_owned(),
        None => joined.join(" "),
    }
}

/// Completion request to be processed.
struct Job {
    words: Vec<String>,
    blocks: Vec<u64>,
    tokens: u32,
    from: u64,
    total: u64,
    has_limit: bool,
    chat: bool,
}

async fn complete(engine: Shared, request: HttpRequest, body: Json<Value>) -> HttpResponse {
    let Some(text) = prompt(&body) else {
        return HttpResponse::BadRequest().json(&json!({"error": {"message": "no user message"}}));
    };
    let fence = header(&request, "x-fence").and_then(parse_fence).unwrap_or_default();
    let id = header(&request, "x-request-id").unwrap_or("direct").to_owned();
    {
        let mut inner = engine.lock();
        if engine.options.checks_fences && fence.epoch > 0 && fence < inner.fence {
            return HttpResponse::Conflict().body("a higher fence came before");
        }
        *inner.counts.entry(id).or_default() += 1;
    }
    let all = all_text(&body);
    let tokens: Vec<&str> = all.split_whitespace().collect();
    let limit =
        body.get("max_tokens").or(body.get("max_completion_tokens")).and_then(Value::as_u64);
    let job = Job {
        words: text.split_whitespace().map(str::to_owned).collect(),
        blocks: prefix_blocks(&tokens, BLOCK_TOKENS),
        tokens: tokens.len() as u32,
        from: header(&request, "x-resume-from").and_then(|v| v.parse().ok()).unwrap_or(0),
        total: limit.unwrap_or(DEFAULT_TOKENS),
        has_limit: limit.is_some(),
        chat: request.path().contains("chat"),
    };
    let (sender, receiver) = ntex::channel::mpsc::channel();
    ntex::rt::spawn(async move {
        generate(&engine, job, sender).await;
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(receiver)
}

type Sender = ntex::channel::mpsc::Sender<Result<Bytes, std::io::Error>>;

fn send(sender: &Sender, value: &Value) -> bool {
    sender.send(Ok(Bytes::from(format!("data: {value}\n\n")))).is_ok()
}

/// Sleeps for `ms` milliseconds. Uses the timers of tokio, which have a resolution of 1 ms; the
/// timers of the web library are coarser.
async fn sleep_ms(ms: u32) {
    tokio::time::sleep(Duration::from_millis(u64::from(ms))).await;
}

/// Waits for a slot, prefills the prompt, and generates one token per step until the answer is
/// complete or the receiver is closed.
async fn generate(engine: &Engine, job: Job, sender: Sender) {
    engine.waiting.fetch_add(1, Ordering::Relaxed);
    let permit = engine.slots.acquire().await;
    engine.waiting.fetch_sub(1, Ordering::Relaxed);
    let Ok(_permit) = permit else { return };
    let covered = engine.lock().cache_blocks(&job.blocks, engine.options.blocks) * BLOCK_TOKENS;
    let uncached = job.tokens.saturating_sub(covered as u32);
    engine.prefill.fetch_add(uncached, Ordering::Relaxed);
    sleep_ms(uncached / engine.options.prefill.max(1)).await;
    engine.prefill.fetch_sub(uncached, Ordering::Relaxed);
    for number in job.from..job.total {
        let faults = engine.lock().faults.clone();
        sleep_ms(engine.options.step_ms + faults.slow_ms).await;
        if faults.break_after.is_some_and(|n| number >= n) {
            let broken = std::io::Error::other("broken on purpose");
            let _ = sender.send(Err(broken));
            return;
        }
        let word = match job.words.len() {
            0 => "",
            n => &job.words[number as usize % n],
        };
        let text = if number == 0 { word.to_owned() } else { format!(" {word}") };
        let choice = match job.chat {
            true => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            false => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        if !send(&sender, &json!({"choices": [choice]})) {
            return;
        }
    }
    let reason = if job.has_limit { "length" } else { "stop" };
    let choice = json!({"index": 0, "delta": {}, "text": "", "finish_reason": reason});
    let usage = json!({
        "prompt_tokens": job.tokens,
        "completion_tokens": job.total,
        "total_tokens": u64::from(job.tokens) + job.total,
        "prompt_tokens_details": {"cached_tokens": covered},
    });
    send(&sender, &json!({"choices": [choice], "usage": usage}));
    let _ = sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
}

/// Runs the engine until the process is stopped.
pub async fn run(options: Options) -> anyhow::Result<()> {
    let listener = TcpListener::bind(options.listen)?;
    super::announce(listener.local_addr()?);
    options.host.keep_listed(None);
    let engine = Arc::new(Engine {
        instance: rand::rng().random(),
        inner: Mutex::default(),
        slots: Semaphore::new(options.capacity),
        waiting: AtomicU32::new(0),
        prefill: AtomicU32::new(0),
        options,
    });
    let app = async move || {
        App::new()
            .state(engine.clone())
            .state(web::types::JsonConfig::default().limit(16 << 20))
            .route("/health", web::get().to(health))
            .route("/orders", web::post().to(order))
            .route("/cache-events", web::get().to(cache_events))
            .route("/counts", web::get().to(counts))
            .route("/faults", web::post().to(set_faults))
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/v1/completions", web::post().to(complete))
    };
    HttpServer::new(app).workers(1).listen(listener)?.run().await?;
    Ok(())
}
