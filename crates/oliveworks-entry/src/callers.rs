//! HTTP interface for callers: the parts that all kinds of requests have in common.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures_util::StreamExt;
use ntex::http::header::HeaderMap;
use ntex::web::types::{Payload, State};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use oliveworks_core::admit::WaitingRequest;
use oliveworks_core::error::{ErrorKind, Ran, Refusal};
use oliveworks_core::id::{Epoch, Offset, RequestId};
use oliveworks_core::ledger::Key;
use oliveworks_core::pool::Published;
use oliveworks_core::relay::RequestTerms;
use oliveworks_core::template::{Kind, TemplateKey};
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_128;

use crate::process::Entry;
use crate::state::{Caller, Prompt};

/// Header that carries a caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header by which a caller declares that a request must not run twice.
pub const ONCE_HEADER: &str = "x-not-repeatable";
/// Header with the time left until a request's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Maximum length of a key, in bytes.
const KEY_LEN_MAX: usize = 255;
/// Maximum time until the deadline that a caller may ask for, in milliseconds.
const DEADLINE_MAX_MS: u64 = 3_600_000;

/// Entry as shared with the HTTP handlers.
pub type Shared = State<Arc<Entry>>;

/// Returns a refusal of a request that did not run.
pub fn refuse(kind: ErrorKind, why: impl Into<String>) -> Refusal {
    Refusal::new(kind, Ran::No, why)
}

/// Options of a request, taken from its headers and its template.
pub struct RequestOptions {
    /// Id of the request.
    pub id: RequestId,
    /// Caller's idempotency key.
    pub key: Option<Key>,
    /// Conditions under which the request may be attempted.
    pub terms: RequestTerms,
    /// Template of the request.
    pub template: TemplateKey,
    /// Priority of the template.
    pub priority: u8,
    /// Length of the workspace's queue at which this request is rejected, from the template's
    /// limits.
    pub queue: usize,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u32,
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

fn deadline_ms(headers: &HeaderMap, template_ms: u32) -> Result<u64, Refusal> {
    let Some(value) = header_text(headers, DEADLINE_HEADER) else {
        return Ok(u64::from(template_ms));
    };
    let bad =
        || refuse(ErrorKind::BadRequest, format!("{DEADLINE_HEADER}: 1 to {DEADLINE_MAX_MS}"));
    let ms: u64 = value.trim().parse().map_err(|_| bad())?;
    (1..=DEADLINE_MAX_MS).contains(&ms).then_some(ms).ok_or_else(bad)
}

/// Returns the creation time in a UUID of version 7, in milliseconds since 1970.
fn uuid_time_ms(key: &str) -> Option<u64> {
    let hex: String = key.chars().filter(|c| *c != '-').collect();
    if key.len() != 36 || hex.len() != 32 || hex.as_bytes()[12] != b'7' {
        return None;
    }
    let bits = u128::from_str_radix(&hex, 16).ok()?;
    Some((bits >> 80) as u64)
}

fn idempotency_key(
    headers: &HeaderMap,
    template: &TemplateKey,
    digest: u64,
) -> Result<Option<(RequestId, Key)>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else { return Ok(None) };
    let bad =
        || refuse(ErrorKind::BadRequest, format!("{KEY_HEADER}: 1 to {KEY_LEN_MAX} characters"));
    let value = value.to_str().map_err(|_| bad())?;
    if value.is_empty() || value.len() > KEY_LEN_MAX {
        return Err(bad());
    }
    let id = RequestId(xxh3_128(format!("{template}/{value}").as_bytes()));
    let key = Key { born_ms: uuid_time_ms(value), homes_at: Offset(0), digest };
    Ok(Some((id, key)))
}

impl RequestOptions {
    /// Reads the options of a request. `digest` is the digest of the request, which is stored with
    /// its key.
    pub fn new(
        entry: &Entry,
        headers: &HeaderMap,
        published: &Published,
        digest: u64,
    ) -> Result<RequestOptions, Refusal> {
        let template = &published.template;
        let must_not_repeat =
            header_text(headers, ONCE_HEADER).is_some_and(|v| v != "false" && v != "0");
        let repeatable = template.repeatable && !must_not_repeat;
        let left_ms = deadline_ms(headers, template.limits.deadline_ms)?;
        // A repeatable request may run more than once anyway, so its key is ignored.
        let key = match repeatable {
            true => None,
            false => idempotency_key(headers, &template.key(), digest)?,
        };
        let id = key.map_or_else(|| RequestId(rand::rng().random()), |(id, _)| id);
        let terms = RequestTerms {
            repeatable,
            has_key: key.is_some(),
            deadline: entry.clock.now().plus(left_ms),
            max_attempts: entry.settings.callers.tries,
        };
        Ok(RequestOptions {
            id,
            key: key.map(|(_, k)| k),
            terms,
            template: template.key(),
            priority: template.priority,
            queue: template.limits.queue as usize,
            max_tokens: template.limits.max_tokens,
        })
    }
}

/// Returns the template of the caller's workspace that has the given kind and name.
pub fn find_template(
    entry: &Entry,
    caller: &Caller,
    kind: Kind,
    name: &str,
) -> Result<Published, Refusal> {
    let found = entry.store.with_pool(|pool| {
        pool.find_template(&caller.partner, &caller.workspace, kind, name).cloned()
    });
    found.ok_or_else(|| {
        let shown: String = name.chars().take(64).collect();
        refuse(ErrorKind::NotFound, format!("the workspace has no {shown:?}"))
    })
}

/// Guard that removes a waiting request from the queue if its caller disconnects.
struct QueueGuard<'a> {
    entry: &'a Entry,
    id: RequestId,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.entry.core().remove_waiting(self.id);
    }
}

/// Waits until the request is admitted and returns the chosen group. A request with a key is not
/// queued: it goes to the home of the key regardless of the load there, so `None` is returned.
pub async fn admit(
    entry: &Entry,
    caller: &Caller,
    options: &RequestOptions,
    prompt: &Prompt,
) -> Result<Option<Epoch>, Refusal> {
    if entry.draining.load(Ordering::Relaxed) {
        return Err(refuse(ErrorKind::Unavailable, "this entry is stopping"));
    }
    if options.key.is_some() {
        return Ok(None);
    }
    let now = entry.clock.now();
    let receiver = {
        let mut core = entry.core();
        let has_no_groups = core.routers.get(&options.template).is_none_or(|r| r.is_empty());
        if has_no_groups {
            return Err(refuse(ErrorKind::Unavailable, "no replica group serves this now"));
        }
        let waiting = WaitingRequest {
            id: options.id,
            template: options.template.clone(),
            priority: options.priority,
            deadline: options.terms.deadline,
            limit: options.queue,
        };
        core.enqueue(now, caller, waiting, prompt.clone())
    };
    let _guard = QueueGuard { entry, id: options.id };
    match receiver.await {
        Ok(admitted) => admitted.map(Some),
        Err(_) => Err(refuse(ErrorKind::Unavailable, "no replica group serves this now")),
    }
}

/// Reads a complete body, within the configured limits of size and time.
pub async fn read_body(entry: &Entry, payload: &mut Payload) -> Result<Vec<u8>, Refusal> {
    let callers = &entry.settings.callers;
    let max = callers.body_max;
    let read = async {
        let mut body = Vec::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|e| refuse(ErrorKind::BadRequest, format!("body: {e}")))?;
            if body.len() + chunk.len() > max {
                let why = format!("the body is larger than {max} bytes");
                return Err(refuse(ErrorKind::TooLarge, why));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    };
    match tokio::time::timeout(std::time::Duration::from_millis(callers.body_ms), read).await {
        Ok(body) => body,
        Err(_) => {
            let why = format!("the body did not come within {} ms", callers.body_ms);
            Err(refuse(ErrorKind::TooSlow, why))
        }
    }
}

/// Returns the HTTP answer to a refused request and counts the refusal in the metrics.
pub fn answer_refused(entry: &Entry, refusal: &Refusal) -> HttpResponse {
    entry.metrics.request(refusal.kind.answer().code);
    crate::answer::refusal(refusal, None)
}

async fn not_found(entry: Shared, request: HttpRequest) -> HttpResponse {
    let shown: String = request.path().chars().take(64).collect();
    answer_refused(&entry, &refuse(ErrorKind::NotFound, format!("nothing is at {shown}")))
}

/// Starts the HTTP server for callers in a thread of its own.
pub fn serve(entry: &Arc<Entry>, listener: TcpListener) -> anyhow::Result<ntex::server::Server> {
    let connections = entry.settings.callers.connections;
    let entry = entry.clone();
    let app = async move || {
        App::new()
            .state(entry.clone())
            .route("/v1/models", web::get().to(crate::completion::models))
            .route("/v1/chat/completions", web::post().to(crate::completion::chat))
            .route("/v1/completions", web::post().to(crate::completion::plain))
            .route("/services/{name}", web::route().to(crate::service::call))
            .route("/services/{name}/{rest}*", web::route().to(crate::service::call))
            .default_service(web::route().to(not_found))
    };
    let server = HttpServer::new(app).workers(1).maxconn(connections).disable_signals();
    Ok(server.listen(listener)?.run())
}
