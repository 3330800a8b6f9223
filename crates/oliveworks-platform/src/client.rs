//! The platform as this project sees it: an append-only log and a lagging list of hosts, over HTTP.

use anyhow::{Context, anyhow, bail};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::time::Millis;
use oliveworks_core::fleet::ListedHost;
use oliveworks_core::id::Offset;
use serde::{Deserialize, Serialize};

/// The stream of all records.
pub const RECORDS: &str = "records";
/// The stream of our own snapshots.
pub const SNAPSHOTS: &str = "snapshots";

/// An append is given up after this long; its record may have been written all the same.
const APPEND_MS: u32 = 3_000;
/// Time beyond the platform's own waiting.
const READ_MARGIN_MS: u32 = 2_000;
/// The largest answer that is read, in bytes.
const ANSWER_MAX: usize = 16 << 20;

/// What an append answers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: Offset,
}

/// A record as the log keeps it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: Offset,
    /// What was appended.
    pub data: String,
}

/// What a read answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogPage {
    /// The first offset still kept.
    pub start: Offset,
    /// The offset after the last record of the whole stream.
    pub next: Offset,
    /// Records from the offset asked for on.
    pub records: Vec<LogRecord>,
}

/// What a read found.
#[derive(Clone, Debug)]
pub enum Read {
    /// Records, perhaps none.
    Page(LogPage),
    /// The offset asked for is no longer kept; reading can go on at this one.
    Expired(Offset),
}

/// A client of the platform. Belongs to the thread that made it.
#[derive(Clone)]
pub struct Platform {
    base: String,
    http: Client,
}

impl Platform {
    /// A client of the platform at `base`, such as `http://127.0.0.1:9000`.
    pub async fn new(base: &str) -> Platform {
        Platform { base: base.trim_end_matches('/').to_owned(), http: http_client().await }
    }

    /// Appends to a stream.
    ///
    /// # Errors
    /// If no answer came. The record may have been appended nevertheless: it is found by reading
    /// on, under its id.
    pub async fn append(&self, stream: &str, data: &str) -> anyhow::Result<Offset> {
        let request = self.http.post(format!("{}/log/{stream}", self.base));
        let mut response = request
            .timeout(Millis(APPEND_MS))
            .send_body(data.to_owned())
            .await
            .map_err(|e| anyhow!("append to {stream}: {e}"))?;
        check(&response).with_context(|| format!("append to {stream}"))?;
        let body = body(&mut response).await?;
        let appended: Appended = serde_json::from_slice(&body)?;
        Ok(appended.offset)
    }

    /// Reads a stream from an offset on, at most `max` records; waits up to `wait_ms` for the first.
    ///
    /// # Errors
    /// If the log does not answer.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait_ms: u32,
    ) -> anyhow::Result<Read> {
        let url = format!("{}/log/{stream}?from={from}&max={max}&wait_ms={wait_ms}", self.base);
        let mut response = self
            .http
            .get(url)
            .timeout(Millis(wait_ms + READ_MARGIN_MS))
            .send()
            .await
            .map_err(|e| anyhow!("read of {stream}: {e}"))?;
        let gone = response.status() == StatusCode::GONE;
        if !gone {
            check(&response).with_context(|| format!("read of {stream}"))?;
        }
        let body = body(&mut response).await.with_context(|| format!("read of {stream}"))?;
        let page: LogPage = serde_json::from_slice(&body)?;
        match gone {
            true => Ok(Read::Expired(page.start)),
            false => Ok(Read::Page(page)),
        }
    }

    /// The latest record of a stream.
    ///
    /// # Errors
    /// If the log does not answer.
    pub async fn last(&self, stream: &str) -> anyhow::Result<Option<LogRecord>> {
        let mut from = Offset(u64::MAX);
        for _ in 0..2 {
            match self.read(stream, from, 1, 0).await? {
                Read::Expired(_) => return Ok(None),
                Read::Page(page) if page.records.is_empty() && page.next > page.start => {
                    from = Offset(page.next.0 - 1);
                }
                Read::Page(page) => return Ok(page.records.into_iter().next()),
            }
        }
        Ok(None)
    }

    /// The list of hosts.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn hosts(&self) -> anyhow::Result<Vec<ListedHost>> {
        let mut response = self
            .http
            .get(format!("{}/hosts", self.base))
            .timeout(Millis(READ_MARGIN_MS))
            .send()
            .await
            .map_err(|e| anyhow!("list of hosts: {e}"))?;
        check(&response).context("list of hosts")?;
        let body = body(&mut response).await?;
        Ok(serde_json::from_slice(&body)?)
    }
}

/// Connections to one address at once. Templates' own limits bind before it.
const CONNECTIONS_MAX: usize = 4_096;

/// An HTTP client for long answers: whole answers have their own times.
pub async fn http_client() -> Client {
    // The library's own bound is 8 connections to one address: an agent would hand its engine no
    // more requests than that at once, whatever the template allows.
    let connector = Connector::default().limit(CONNECTIONS_MAX);
    Client::builder()
        .connector::<()>(connector)
        .disable_redirects()
        .response_payload_limit(ANSWER_MAX)
        .build(ntex::SharedCfg::default())
        .await
        .unwrap_or_else(|_| unreachable!("the settings are constant"))
}

fn check(response: &ClientResponse) -> anyhow::Result<()> {
    let status = response.status();
    match status.is_success() {
        true => Ok(()),
        false => bail!("the platform answered {status}"),
    }
}

async fn body(response: &mut ClientResponse) -> anyhow::Result<Vec<u8>> {
    let bytes = response.body().await.map_err(|e| anyhow!("{e}"))?;
    Ok(bytes.to_vec())
}
