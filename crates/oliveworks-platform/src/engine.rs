//! HTTP client of a backend server, used by its agent: health, orders and calls.

use anyhow::{Context, anyhow, bail};
use futures_util::StreamExt;
use ntex::client::{Client, ClientResponse};
use ntex::http::{Method, header};
use ntex::time::Millis;
use oliveworks_core::message::{EngineOrder, Fence};
use oliveworks_core::route::Load;
use serde::{Deserialize, Serialize};

use crate::client::http_client;

/// Health and load reported by a backend server.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Health {
    /// Random number that the server draws when it starts.
    pub instance: u64,
    /// Highest fence that the server has received; zero if the server does not check fences.
    #[serde(default)]
    pub fence: Fence,
    /// Digest of the loaded weights.
    #[serde(default)]
    pub weights: Option<u64>,
    /// Load of the server; may be out of date.
    #[serde(default)]
    pub load: Load,
}

/// A page of cache events. Events are numbered, and some numbers may be missing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number from which the next page starts.
    pub next: u64,
    /// Blocks that were stored.
    pub stored: Vec<u64>,
    /// Blocks that were evicted.
    pub evicted: Vec<u64>,
}

/// One event of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delta {
    /// Text of a token.
    Token(String),
    /// End of the completion, with its reason and token counts.
    End {
        /// Reason for the end.
        finish_reason: String,
        /// Number of tokens of the prompt.
        prompt: u32,
        /// Number of generated tokens.
        completion: u32,
        /// Number of tokens of the prompt that were found in the cache.
        cached: u32,
    },
}

/// HTTP client of one backend server. Must stay on the thread that created it.
#[derive(Clone)]
pub struct Engine {
    base: String,
    http: Client,
}

/// Timeout of requests for health and cache events, in ms.
const HEALTH_MS: u32 = 800;
/// Timeout of an order, in ms. Loading weights takes long.
const ORDER_MS: u32 = 120_000;
/// Maximum length of a line of an event stream, in bytes.
const LINE_MAX: usize = 1 << 20;

impl Engine {
    /// Creates a client of the server at the URL `base`.
    pub async fn new(base: &str) -> Engine {
        Engine { base: base.trim_end_matches('/').to_owned(), http: http_client().await }
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let request = self.http.get(format!("{}{path}", self.base)).timeout(Millis(HEALTH_MS));
        let response = request.send().await.map_err(|e| anyhow!("{path}: {e}"))?;
        if !response.status().is_success() {
            bail!("{path}: {}", response.status());
        }
        let body = response.body().await.map_err(|e| anyhow!("{path}: {e}"))?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Requests health and load.
    ///
    /// # Errors
    /// Returns an error if the server answers with an error or not in time.
    pub async fn health(&self) -> anyhow::Result<Health> {
        self.get("/health").await
    }

    /// Requests the cache events from the number `from` on.
    ///
    /// # Errors
    /// Returns an error if the server answers with an error or not in time.
    pub async fn cache_events(&self, from: u64) -> anyhow::Result<CacheEvents> {
        self.get(&format!("/cache-events?from={from}")).await
    }

    /// Sends an order and waits until the server has carried it out.
    ///
    /// # Errors
    /// Returns an error if the server rejects the order or does not answer in time.
    pub async fn order(&self, order: &EngineOrder) -> anyhow::Result<()> {
        let request = self.http.post(format!("{}/orders", self.base)).timeout(Millis(ORDER_MS));
        let response = request.send_json(order).await.map_err(|e| anyhow!("order: {e}"))?;
        match response.status().is_success() {
            true => Ok(()),
            false => bail!("order: {}", response.status()),
        }
    }

    /// Starts a completion. Dropping the returned stream cancels it.
    ///
    /// # Errors
    /// Returns an error if the server rejects the completion or does not answer. A rejection is an
    /// [`EngineStatus`].
    pub async fn complete(&self, call: &Completion<'_>) -> anyhow::Result<Deltas> {
        let path = if call.chat { "/v1/chat/completions" } else { "/v1/completions" };
        let request = self
            .http
            .post(format!("{}{path}", self.base))
            .header("x-request-id", call.request.as_str())
            .header("x-fence", format!("{}.{}", call.fence.epoch, call.fence.view))
            .header("x-resume-from", call.from.to_string())
            .header("x-priority", call.priority.to_string())
            .content_type("application/json")
            .timeout(Millis(call.left_ms));
        let response =
            request.send_body(call.body.to_vec()).await.map_err(|e| anyhow!("engine: {e}"))?;
        if !response.status().is_success() {
            let status = response.status();
            let body = response.body().await.map(|b| b.to_vec()).unwrap_or_default();
            return Err(anyhow!(EngineStatus {
                status: status.as_u16(),
                body: String::from_utf8_lossy(&body).into_owned(),
            }));
        }
        Ok(Deltas { response, buffer: Vec::new(), chat: call.chat })
    }

    /// Calls a plain service. The bodies of the request and of the answer are streamed.
    ///
    /// # Errors
    /// Returns an error if the method or a header is invalid, or if the server does not answer.
    pub async fn call<S>(&self, call: &ServiceCall<'_>, body: S) -> anyhow::Result<ClientResponse>
    where
        S: futures_util::Stream<Item = Result<ntex::util::Bytes, std::io::Error>> + Unpin + 'static,
    {
        let method = Method::from_bytes(call.method.as_bytes()).context("method")?;
        let mut request = self
            .http
            .request(method, format!("{}{}", self.base, call.path))
            .no_decompress()
            .timeout(Millis(call.left_ms));
        for (name, value) in call.headers {
            let name = header::HeaderName::from_bytes(name.as_bytes()).context("header")?;
            let value = header::HeaderValue::from_bytes(value).context("header")?;
            request.headers_mut().append(name, value);
        }
        let fence = format!("{}.{}", call.fence.epoch, call.fence.view);
        let request =
            request.header("x-request-id", call.request.as_str()).header("x-fence", fence);
        let response = match call.has_body {
            true => request.send_stream(body).await,
            false => request.send().await,
        };
        response.map_err(|e| anyhow!("service: {e}"))
    }
}

/// Completion request to an engine.
pub struct Completion<'a> {
    /// Id of the request, for the logs and counters of the engine.
    pub request: String,
    /// Fence of the group.
    pub fence: Fence,
    /// Whether the request is a chat; otherwise the body holds a plain prompt.
    pub chat: bool,
    /// Index of the first requested token.
    pub from: u64,
    /// Priority of the request.
    pub priority: u8,
    /// Time left until the deadline, in ms.
    pub left_ms: u32,
    /// Body of the request as JSON.
    pub body: &'a [u8],
}

/// Call of a plain service.
pub struct ServiceCall<'a> {
    /// Id of the request, for the logs and counters of the service.
    pub request: String,
    /// Fence of the group.
    pub fence: Fence,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query of the URL.
    pub path: &'a str,
    /// Headers that are passed on.
    pub headers: &'a [(String, Vec<u8>)],
    /// Whether a body follows.
    pub has_body: bool,
    /// Time left until the deadline, in ms.
    pub left_ms: u32,
}

/// Error status with which an engine rejected a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// HTTP status.
    pub status: u16,
    /// Body of the answer.
    pub body: String,
}

impl std::fmt::Display for EngineStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the engine answered {}: {}", self.status, self.body)
    }
}

impl std::error::Error for EngineStatus {}

/// Stream of the events of a completion.
pub struct Deltas {
    response: ClientResponse,
    buffer: Vec<u8>,
    chat: bool,
}

impl Deltas {
    /// Returns the next event, or `None` after the end of the stream.
    ///
    /// # Errors
    /// Returns an error if the connection fails, a line is too long, or an event is malformed.
    pub async fn next(&mut self) -> anyhow::Result<Option<Delta>> {
        loop {
            while let Some(line) = self.next_line() {
                if let Some(delta) = parse_line(&line, self.chat)? {
                    return Ok(Some(delta));
                }
            }
            let Some(chunk) = self.response.next().await else { return Ok(None) };
            self.buffer.extend_from_slice(&chunk.map_err(|e| anyhow!("engine: {e}"))?);
            if self.buffer.len() > LINE_MAX {
                bail!("engine: a line is longer than {LINE_MAX} bytes");
            }
        }
    }

    /// Removes the first complete line from the buffer.
    fn next_line(&mut self) -> Option<Vec<u8>> {
        let at = self.buffer.iter().position(|b| *b == b'\n')?;
        let rest = self.buffer.split_off(at + 1);
        Some(std::mem::replace(&mut self.buffer, rest))
    }
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<ChunkUsage>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<ChoiceDelta>,
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct ChoiceDelta {
    content: Option<String>,
}

#[derive(Default, Deserialize)]
struct ChunkUsage {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: PromptDetails,
}

#[derive(Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u32,
}

/// Parses a line of an event stream. Returns `None` for lines that contain no part of the answer.
fn parse_line(line: &[u8], chat: bool) -> anyhow::Result<Option<Delta>> {
    let text = std::str::from_utf8(line).context("engine: not text")?.trim();
    let Some(data) = text.strip_prefix("data:").map(str::trim) else { return Ok(None) };
    if data == "[DONE]" {
        return Ok(None);
    }
    let chunk: Chunk = serde_json::from_str(data).context("engine: not a chunk")?;
    let Some(choice) = chunk.choices.into_iter().next() else { return Ok(None) };
    if let Some(finish_reason) = choice.finish_reason {
        let usage = chunk.usage.unwrap_or_default();
        return Ok(Some(Delta::End {
            finish_reason,
            prompt: usage.prompt_tokens,
            completion: usage.completion_tokens,
            cached: usage.prompt_tokens_details.cached_tokens,
        }));
    }
    let token = match chat {
        true => choice.delta.and_then(|d| d.content),
        false => choice.text,
    };
    Ok(token.map(Delta::Token))
}
