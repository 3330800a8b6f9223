//! HTTP queries to entries.

use anyhow::{Context as _, anyhow, bail};
use ntex::client::Client;
use ntex::time::Millis;
use serde_json::Value;

use crate::context::Context;

/// Timeout of a query to an entry, in ms.
const QUERY_TIMEOUT_MS: u32 = 4_000;

/// Queries one entry.
///
/// # Errors
/// Returns an error if the entry does not answer, or answers with an error status or invalid JSON.
pub async fn query(context: &Context, entry: &str, path: &str) -> anyhow::Result<Value> {
    let http = Client::new().await;
    let url = format!("{}{path}", entry.trim_end_matches('/'));
    let request =
        http.get(&url).bearer_auth(&context.operator_token).timeout(Millis(QUERY_TIMEOUT_MS));
    let response = request.send().await.map_err(|e| anyhow!("{entry}: {e}"))?;
    let status = response.status();
    let body = response.body().limit(64 << 20).await.map_err(|e| anyhow!("{entry}: {e}"))?;
    if !status.is_success() {
        bail!("{entry} answered {status}: {}", String::from_utf8_lossy(&body));
    }
    serde_json::from_slice(&body).with_context(|| entry.to_owned())
}

/// Queries the entries one after another until one of them answers.
///
/// # Errors
/// Returns the error of the last entry if no entry answers.
pub async fn query_any(context: &Context, path: &str) -> anyhow::Result<Value> {
    let mut last_error = anyhow!("the context file names no entry");
    for entry in &context.entries {
        match query(context, entry, path).await {
            Ok(value) => return Ok(value),
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}
