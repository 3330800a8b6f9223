//! HTTP client of the platform, which provides an append-only log and an eventually consistent list
//! of hosts.

use anyhow::{Context, anyhow, bail};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::time::Millis;
use oliveworks_core::fleet::ListedHost;
use oliveworks_core::id::Offset;
use serde::{Deserialize, Serialize};

/// Stream of all records.
pub const RECORDS: &str = "records";
/// Stream of the snapshots that the system writes.
pub const SNAPSHOTS: &str = "snapshots";

/// Timeout of an append, in ms. The record may have been written even if the append times out.
const APPEND_MS: u32 = 3_000;
/// Timeout of a read beyond the time that the platform may wait for records, in ms.
const READ_MARGIN_MS: u32 = 2_000;
/// Maximum size of an answer, in bytes.
const ANSWER_MAX: usize = 16 << 20;

/// Answer to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the appended record.
    pub offset: Offset,
}

/// A record as stored in the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Appended text.
    pub data: String,
}

/// Answer to a read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogPage {
    /// First offset that is still retained.
    pub start: Offset,
    /// Offset after the last record of the whole stream.
    pub next: Offset,
    /// Records from the requested offset on.
    pub records: Vec<LogRecord>,
}

/// Result of a read.
#[derive(Clone, Debug)]
pub enum Read {
    /// Page of records, possibly empty.
    Page(LogPage),
    /// The requested offset is no longer retained. Reading can resume at the given offset.
    Expired(Offset),
}

/// HTTP client of the platform. Must stay on the thread that created it.
#[derive(Clone)]
pub struct Platform {
    base: String,
    http: Client,
}

impl Platform {
    /// Creates a client of the platform at the URL `base`, such as `http://127.0.0.1:9000`.
    pub async fn new(base: &str) -> Platform {
        Platform { base: base.trim_end_matches('/').to_owned(), http: http_client().await }
    }

    /// Appends a record to a stream and returns its offset.
    ///
    /// # Errors
    /// Returns an error if the platform rejects the append or does not answer. In the second case
    /// the record may have been appended; a reader then finds it by its id.
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

    /// Reads at most `max` records of a stream from an offset on. Waits up to `wait_ms`
    /// milliseconds for the first record.
    ///
    /// # Errors
    /// Returns an error if the log rejects the read or does not answer.
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

    /// Returns the last record of a stream.
    ///
    /// # Errors
    /// Returns an error if the log rejects a read or does not answer.
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

    /// Returns the list of hosts.
    ///
    /// # Errors
    /// Returns an error if the platform rejects the request or does not answer.
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

/// Maximum number of simultaneous connections to one address. The limits of templates are lower.
const CONNECTIONS_MAX: usize = 4_096;

/// Creates an HTTP client for long answers. Each request sets its own timeout.
pub async fn http_client() -> Client {
    // The default of the library is 8 connections per address, which would limit an agent to 8
    // simultaneous requests to its engine, regardless of the limit of the template.
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
