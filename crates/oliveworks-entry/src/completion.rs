//! Chat and plain completions, as one body or as a stream of events.

use std::sync::Arc;

use ntex::util::Bytes;
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};
use oliveworks_core::error::{ErrorKind, Ran, Refusal};
use oliveworks_core::route::prefix_blocks;
use oliveworks_core::template::Kind;
use oliveworks_net::wire::{Call, Usage};
use oliveworks_runtime::clock::wall_ms;
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::REQUEST_HEADER;
use crate::callers::{self, RequestOptions, Shared, refuse};
use crate::driver::{AnswerPart, Body, Driver, Job};
use crate::process::Entry;
use crate::state::Prompt;

/// Properties of the answer that the JSON bodies depend on.
#[derive(Clone)]
struct Shape {
    chat: bool,
    id: String,
    model: String,
    created: u64,
    usage: bool,
}

/// Handles `GET /v1/models`.
pub async fn models(entry: Shared, request: HttpRequest) -> HttpResponse {
    let caller = match crate::auth::caller(&entry, request.headers()) {
        Ok(caller) => caller,
        Err(refusal) => return callers::answer_refused(&entry, &refusal),
    };
    let data: Vec<Value> = entry.store.with_pool(|pool| {
        let own = pool.templates().map(|p| &p.template).filter(|t| {
            let is_own = t.partner == caller.partner && t.workspace == caller.workspace;
            is_own && t.kind == Kind::Model
        });
        let line = |t: &oliveworks_core::template::Template| {
            json!({"id": t.model, "object": "model", "created": 0, "owned_by": t.partner})
        };
        own.map(line).collect()
    });
    HttpResponse::Ok().json(&json!({"object": "list", "data": data}))
}

/// Handles `POST /v1/chat/completions`.
pub async fn chat(entry: Shared, request: HttpRequest, body: Payload) -> HttpResponse {
    answer(entry, request, body, true).await
}

/// Handles `POST /v1/completions`.
pub async fn plain(entry: Shared, request: HttpRequest, body: Payload) -> HttpResponse {
    answer(entry, request, body, false).await
}

async fn answer(entry: Shared, request: HttpRequest, body: Payload, chat: bool) -> HttpResponse {
    let entry: Arc<Entry> = (*entry).clone();
    match prepare(&entry, &request, body, chat).await {
        Ok((driver, shape, true)) => streamed_response(entry, driver, shape).await,
        Ok((driver, shape, false)) => buffered_response(&entry, driver, &shape).await,
        Err(refusal) => callers::answer_refused(&entry, &refusal),
    }
}

/// Checks and admits a request. The flag in the result is set if the caller wants a stream.
async fn prepare(
    entry: &Arc<Entry>,
    request: &HttpRequest,
    mut body: Payload,
    chat: bool,
) -> Result<(Driver, Shape, bool), Refusal> {
    let caller = crate::auth::caller(entry, request.headers())?;
    let bytes = callers::read_body(entry, &mut body).await?;
    let parsed = parse(&bytes, chat)?;
    let model = parsed.get("model").and_then(Value::as_str).unwrap_or_default();
    let published = callers::find_template(entry, &caller, Kind::Model, model)?;
    let options = RequestOptions::new(entry, request.headers(), &published, xxh3_64(&bytes))?;
    check_tokens(&parsed, options.max_tokens)?;
    let prompt = prompt(&parsed, entry.settings.routing.block);
    let admitted = callers::admit(entry, &caller, &options, &prompt).await?;
    let include_usage = parsed.pointer("/stream_options/include_usage").and_then(Value::as_bool);
    let shape = Shape {
        chat,
        id: format!("{}-{}", if chat { "chatcmpl" } else { "cmpl" }, options.id),
        model: model.to_owned(),
        created: wall_ms() / 1000,
        usage: include_usage.unwrap_or(false),
    };
    let streamed = parsed.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let job = Job {
        id: options.id,
        template: options.template,
        terms: options.terms,
        key: options.key,
        priority: options.priority,
        call: Call::Completion { chat, body: bytes },
        body: Body::None,
        prompt,
    };
    Ok((Driver::new(entry.clone(), job, admitted), shape, streamed))
}

fn parse(bytes: &[u8], chat: bool) -> Result<Value, Refusal> {
    let bad = |why: String| refuse(ErrorKind::BadRequest, why);
    let parsed: Value =
        serde_json::from_slice(bytes).map_err(|e| bad(format!("the body is not JSON: {e}")))?;
    if !parsed.get("model").is_some_and(Value::is_string) {
        return Err(bad("model: a text is expected".into()));
    }
    let n = parsed.get("n").and_then(Value::as_u64).unwrap_or(1);
    if n != 1 {
        return Err(bad("n: only 1 is served".into()));
    }
    let good = match chat {
        true => parsed.get("messages").and_then(Value::as_array).is_some_and(|m| !m.is_empty()),
        false => parsed.get("prompt").is_some_and(Value::is_string),
    };
    let what = if chat { "messages: a list is expected" } else { "prompt: a text is expected" };
    match good {
        true => Ok(parsed),
        false => Err(bad(what.into())),
    }
}

fn check_tokens(parsed: &Value, max: u32) -> Result<(), Refusal> {
    for name in ["max_tokens", "max_completion_tokens"] {
        let Some(value) = parsed.get(name).filter(|v| !v.is_null()) else { continue };
        let good = value.as_u64().is_some_and(|n| (1..=u64::from(max)).contains(&n));
        if !good {
            return Err(refuse(ErrorKind::BadRequest, format!("{name}: 1 to {max}")));
        }
    }
    Ok(())
}

/// Returns the prompt in the form that routing uses. Words take the place of tokens because the
/// model's tokenizer is not available here, and routing needs only the equality of prefixes and an
/// approximate length.
fn prompt(parsed: &Value, block: usize) -> Prompt {
    let mut words: Vec<&str> = Vec::new();
    if let Some(text) = parsed.get("prompt").and_then(Value::as_str) {
        words.extend(text.split_whitespace());
    }
    for message in parsed.get("messages").and_then(Value::as_array).into_iter().flatten() {
        let text = message.get("content").and_then(Value::as_str).unwrap_or_default();
        words.extend(text.split_whitespace());
    }
    Prompt { blocks: prefix_blocks(&words, block), tokens: words.len() as u32 }
}

fn usage(usage: &Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.completion,
        "total_tokens": usage.prompt + usage.completion,
        "prompt_tokens_details": {"cached_tokens": usage.cached},
    })
}

impl Shape {
    fn complete_body(&self, text: &str, finish_reason: &str, used: &Usage) -> Value {
        let mut choice = json!({"index": 0, "logprobs": null, "finish_reason": finish_reason});
        match self.chat {
            true => choice["message"] = json!({"role": "assistant", "content": text}),
            false => choice["text"] = json!(text),
        }
        json!({
            "id": self.id,
            "object": if self.chat { "chat.completion" } else { "text_completion" },
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": usage(used),
        })
    }

    fn chunk(&self, choices: Value) -> Value {
        json!({
            "id": self.id,
            "object": if self.chat { "chat.completion.chunk" } else { "text_completion" },
            "created": self.created,
            "model": self.model,
            "choices": choices,
        })
    }

    fn delta_chunk(&self, text: &str, first: bool) -> Value {
        let mut choice = json!({"index": 0, "logprobs": null, "finish_reason": null});
        match (self.chat, first) {
            (true, true) => choice["delta"] = json!({"role": "assistant", "content": text}),
            (true, false) => choice["delta"] = json!({"content": text}),
            (false, _) => choice["text"] = json!(text),
        }
        self.chunk(json!([choice]))
    }

    fn final_chunk(&self, finish_reason: &str) -> Value {
        let mut choice = json!({"index": 0, "logprobs": null, "finish_reason": finish_reason});
        match self.chat {
            true => choice["delta"] = json!({}),
            false => choice["text"] = json!(""),
        }
        self.chunk(json!([choice]))
    }
}

/// Collects the complete answer and returns it as one body. An incomplete answer is never returned.
async fn buffered_response(entry: &Entry, mut driver: Driver, shape: &Shape) -> HttpResponse {
    let mut text = Vec::new();
    loop {
        match driver.next().await {
            Ok(AnswerPart::Piece(data)) => text.extend_from_slice(&data),
            Ok(AnswerPart::End(reason, used)) => {
                let text = String::from_utf8_lossy(&text);
                return HttpResponse::Ok()
                    .header(REQUEST_HEADER, driver.id().to_string())
                    .json(&shape.complete_body(&text, &reason, &used));
            }
            Ok(AnswerPart::Head(..) | AnswerPart::Kept(_)) => {
                // Answers are kept for repeated keys of plain services only.
                let why = "the request ran; its answer is not kept";
                let refusal = Refusal::new(ErrorKind::AnswerGone, Ran::Yes, why);
                return callers::answer_refused(entry, &refusal);
            }
            Err(refusal) => return crate::answer::refusal(&refusal, Some(driver.id())),
        }
    }
}

fn event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

/// Streams the answer. A refusal before the first piece is returned as an HTTP error. A later
/// refusal is sent as an error event, and the connection is aborted so that no client takes the
/// stream for complete.
async fn streamed_response(entry: Arc<Entry>, mut driver: Driver, shape: Shape) -> HttpResponse {
    let first = match driver.next().await {
        Ok(out) => out,
        Err(refusal) => return crate::answer::refusal(&refusal, Some(driver.id())),
    };
    let id = driver.id();
    let (sender, receiver) = ntex::channel::mpsc::channel();
    ntex::rt::spawn(async move {
        let started = entry.clock.now();
        let outcome = relay(&mut driver, first, &shape, &sender).await;
        if let Err(Some(refusal)) = outcome {
            let _ = sender.send(Ok(event(&crate::answer::error_body(&refusal))));
            let _ = sender.send(Err(std::io::Error::other(refusal.to_string())));
        }
        let micros = entry.clock.now().since(started) * 1000;
        entry.metrics.latency("stream", micros);
    });
    HttpResponse::Ok()
        .header(REQUEST_HEADER, id.to_string())
        .header("cache-control", "no-cache")
        .content_type("text/event-stream")
        .streaming(receiver)
}

type Sender = ntex::channel::mpsc::Sender<Result<Bytes, std::io::Error>>;

/// Passes the answer on to the caller. Returns `Err(None)` if the caller disconnected.
async fn relay(
    driver: &mut Driver,
    first: AnswerPart,
    shape: &Shape,
    sender: &Sender,
) -> Result<(), Option<Refusal>> {
    let send = |bytes: Bytes| sender.send(Ok(bytes)).map_err(|_| None::<Refusal>);
    let mut out = first;
    let mut is_first = true;
    loop {
        match out {
            AnswerPart::Piece(data) => {
                let text = String::from_utf8_lossy(&data);
                send(event(&shape.delta_chunk(&text, is_first)))?;
                is_first = false;
            }
            AnswerPart::End(reason, used) => {
                send(event(&shape.final_chunk(&reason)))?;
                if shape.usage {
                    let mut chunk = shape.chunk(json!([]));
                    chunk["usage"] = usage(&used);
                    send(event(&chunk))?;
                }
                return send(Bytes::from_static(b"data: [DONE]\n\n"));
            }
            AnswerPart::Head(..) | AnswerPart::Kept(_) => {
                let why = "the request ran; its answer is not kept";
                return Err(Some(Refusal::new(ErrorKind::AnswerGone, Ran::Yes, why)));
            }
        }
        // The loop does not wait for a caller that reads slowly: the channel to the caller has no
        // bound. A caller that disconnects is detected during the wait for the next piece.
        out = tokio::select! {
            next = driver.next() => next.map_err(Some)?,
            () = closed(sender) => return Err(None),
        };
    }
}

/// Waits until the caller has disconnected.
async fn closed(sender: &Sender) {
    while !sender.is_closed() {
        ntex::time::sleep(ntex::time::Millis(DISCONNECT_CHECK_MS)).await;
    }
}

/// Time between two checks whether the caller of a stream has disconnected, in milliseconds.
const DISCONNECT_CHECK_MS: u32 = 100;
