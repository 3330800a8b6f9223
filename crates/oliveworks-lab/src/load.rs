//! Bounded load on one loopback address. Measures requests per second, tokens per second and
//! latencies.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{anyhow, bail};
use futures_util::StreamExt;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use ntex::client::Client;
use ntex::time::Millis;
use serde_json::json;

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Address to send to, such as `http://127.0.0.1:8080`.
    pub url: String,
    /// Bearer token.
    pub token: String,
    /// Requested model.
    pub model: String,
    /// Number of concurrent requests.
    pub concurrency: usize,
    /// Total number of requests.
    pub requests: usize,
    /// Number of tokens of each answer.
    pub tokens: u32,
    /// Time after which no more requests are sent.
    pub within: Duration,
}

/// Results of a load.
#[derive(Debug)]
pub struct LoadResult {
    /// Number of complete and correct answers.
    pub succeeded: usize,
    /// Number of all other requests.
    pub failed: usize,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Times to the first byte of an answer's body, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Times to the end of an answer, in microseconds.
    pub total: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("the histogram bounds are valid")
}

struct Shared {
    remaining: usize,
    result: LoadResult,
}

/// Sends the load and waits until it ends.
///
/// # Errors
/// If the address is not on loopback.
pub async fn run(load: &Load) -> anyhow::Result<LoadResult> {
    if !load.url.starts_with("http://127.") {
        bail!("refused to send a load to {}: the address is not on loopback", load.url);
    }
    let result = LoadResult {
        succeeded: 0,
        failed: 0,
        seconds: 0.0,
        first_byte: histogram(),
        total: histogram(),
    };
    let shared = Rc::new(RefCell::new(Shared { remaining: load.requests, result }));
    let start = Instant::now();
    let callers = (0..load.concurrency).map(|n| caller(load, n, start, shared.clone()));
    join_all(callers).await;
    let seconds = start.elapsed().as_secs_f64();
    let shared = Rc::try_unwrap(shared)
        .map_err(|_| anyhow!("a caller is still running after the load ended"))?
        .into_inner();
    Ok(LoadResult { seconds, ..shared.result })
}

async fn caller(load: &Load, number: usize, start: Instant, shared: Rc<RefCell<Shared>>) {
    let http = Client::new().await;
    let mut count = 0;
    while start.elapsed() < load.within {
        {
            let mut shared = shared.borrow_mut();
            if shared.remaining == 0 {
                return;
            }
            shared.remaining -= 1;
        }
        count += 1;
        let outcome =
            send_completion(&http, load, &format!("caller {number} asks {count} times")).await;
        let mut shared = shared.borrow_mut();
        match outcome {
            Ok((first, total)) => {
                shared.result.succeeded += 1;
                shared.result.first_byte.saturating_record(first.as_micros() as u64);
                shared.result.total.saturating_record(total.as_micros() as u64);
            }
            Err(_) => shared.result.failed += 1,
        }
    }
}

/// Requests a streamed completion and checks that the answer is complete. Returns the times to the
/// first byte and to the end of the answer.
async fn send_completion(
    http: &Client,
    load: &Load,
    text: &str,
) -> anyhow::Result<(Duration, Duration)> {
    let body = json!({
        "model": load.model, "stream": true, "max_tokens": load.tokens,
        "messages": [{"role": "user", "content": text}],
    });
    let start = Instant::now();
    let request = http
        .post(format!("{}/v1/chat/completions", load.url))
        .bearer_auth(&load.token)
        .timeout(Millis(30_000));
    let mut response = request.send_json(&body).await.map_err(|e| anyhow!("{e}"))?;
    if !response.status().is_success() {
        bail!("the request failed with status {}", response.status());
    }
    let mut first = None;
    let mut answer = Vec::new();
    while let Some(chunk) = response.next().await {
        first.get_or_insert_with(|| start.elapsed());
        answer.extend_from_slice(&chunk.map_err(|e| anyhow!("{e}"))?);
    }
    let answer = String::from_utf8_lossy(&answer);
    let tokens = answer.matches("\"content\":").count();
    if tokens != load.tokens as usize || !answer.contains("[DONE]") {
        bail!("incomplete answer: got {tokens} of {} tokens, or no end marker", load.tokens);
    }
    Ok((first.unwrap_or_default(), start.elapsed()))
}
