//! Publishing: appends signed records to the log, and queries their outcomes.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context as _, bail};
use ntex::time::{Millis, sleep};
use oliveworks_core::id::{HostId, Name, Offset, RecordId};
use oliveworks_core::record::{Author, Body, Record};
use oliveworks_core::template::TemplateKey;
use oliveworks_platform::client::{Platform, RECORDS, Read};
use rand::RngExt;
use serde_json::{Value, json};

use crate::Output;
use crate::client::{query, query_any};
use crate::context::Context;
use crate::document::Document;

/// Maximum number of attempts to append a record if no answer arrives.
const APPEND_ATTEMPTS: u32 = 5;
/// Time between two attempts to append, in ms.
const RETRY_INTERVAL_MS: u32 = 700;
/// Time between two queries of an outcome or of the positions of the processes, in ms.
const POLL_INTERVAL_MS: u32 = 200;
/// Maximum time to wait for the outcome of a record.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(8);

/// Published record and its outcome.
struct Published {
    kind: &'static str,
    offset: Offset,
    outcome: Outcome,
}

/// Outcome of a record.
enum Outcome {
    /// Applied by the readers.
    Applied,
    /// Ignored by every reader, for the given reason.
    Ignored(String),
    /// No entry reported the outcome in time.
    Unknown,
}

/// Runs `oliveworksctl publish`.
pub async fn publish(
    context: &Context,
    file: &Path,
    edits: Option<u64>,
    wait_s: Option<u64>,
    output: Output,
) -> anyhow::Result<()> {
    let document = Document::load(file)?;
    if edits.is_some() && document.templates.len() != 1 {
        bail!("--edits: the file must contain exactly one template");
    }
    let bodies = document.bodies(edits.map(Offset));
    publish_all(context, bodies, wait_s, output).await
}

/// Runs `oliveworksctl withdraw`.
pub async fn withdraw(
    context: &Context,
    workspace: &str,
    template: &str,
    output: Output,
) -> anyhow::Result<()> {
    let key = TemplateKey {
        partner: context.partner.clone(),
        workspace: Name::new(workspace)?,
        name: Name::new(template)?,
    };
    publish_all(context, vec![Body::WithdrawTemplate { key }], None, output).await
}

/// Runs `oliveworksctl drain` if `drain` is set, else `oliveworksctl restore`.
pub async fn drain(
    context: &Context,
    host: HostId,
    drain: bool,
    output: Output,
) -> anyhow::Result<()> {
    let body = if drain { Body::DrainHost { host } } else { Body::RestoreHost { host } };
    publish_all(context, vec![body], None, output).await
}

/// Appends the records one by one, waits for their outcomes, and prints them. With `wait_s`, also
/// waits until all processes hold the records.
async fn publish_all(
    context: &Context,
    bodies: Vec<Body>,
    wait_s: Option<u64>,
    output: Output,
) -> anyhow::Result<()> {
    let key = context.key()?;
    let platform = Platform::new(&context.platform).await;
    let mut published = Vec::new();
    for body in bodies {
        let record = Record {
            id: RecordId(rand::rng().random()),
            author: Author::Partner(context.partner.clone()),
            body,
        };
        let text = key.sign(&record)?;
        let offset = append(&platform, &text)
            .await
            .context("publishing stopped; no further records were appended")?;
        let outcome = wait_for_outcome(context, offset).await;
        published.push(Published { kind: record.body.kind(), offset, outcome });
    }
    let last = published.iter().map(|p| p.offset).max().unwrap_or_default();
    let behind = match wait_s {
        Some(s) => Some(wait_until_in_force(context, last, Duration::from_secs(s)).await),
        None => None,
    };
    print(&published, behind.as_ref(), output);
    if published.iter().any(|p| matches!(p.outcome, Outcome::Ignored(_))) {
        bail!("at least one record was ignored");
    }
    match behind {
        Some(behind) if !behind.is_empty() => {
            bail!("the records are not in force at all processes")
        }
        _ => Ok(()),
    }
}

/// Appends a record and returns its offset. If no answer arrives, the log is searched for the
/// record before the next attempt. A record that is nevertheless written twice has the same id, and
/// readers ignore the second copy.
async fn append(platform: &Platform, text: &str) -> anyhow::Result<Offset> {
    let from = next_offset(platform).await.unwrap_or_default();
    let mut last = None;
    for _ in 0..APPEND_ATTEMPTS {
        match platform.append(RECORDS, text).await {
            Ok(offset) => return Ok(offset),
            Err(e) => last = Some(e),
        }
        sleep(Millis(RETRY_INTERVAL_MS)).await;
        if let Ok(Read::Page(page)) = platform.read(RECORDS, from, 1000, 0).await
            && let Some(found) = page.records.iter().find(|r| r.data == text)
        {
            return Ok(found.offset);
        }
    }
    let error = last.unwrap_or_else(|| anyhow::anyhow!("the log did not answer"));
    Err(error.context("it is unknown whether the record is in the log; repeat the command"))
}

/// Returns the offset of the next record in the log.
async fn next_offset(platform: &Platform) -> Option<Offset> {
    match platform.read(RECORDS, Offset(u64::MAX), 1, 0).await {
        Ok(Read::Page(page)) => Some(page.next),
        _ => None,
    }
}

/// Queries the entries until one of them reports the outcome of a record, or until the timeout.
async fn wait_for_outcome(context: &Context, offset: Offset) -> Outcome {
    let deadline = Instant::now() + OUTCOME_TIMEOUT;
    while Instant::now() < deadline {
        if let Ok(answer) = query_any(context, &format!("/admin/outcome/{offset}")).await
            && answer["known"] == json!(true)
        {
            return match answer["why"].as_str() {
                Some(why) => Outcome::Ignored(why.to_owned()),
                None => Outcome::Applied,
            };
        }
        sleep(Millis(POLL_INTERVAL_MS)).await;
    }
    Outcome::Unknown
}

/// Waits until every process holds the record. Returns the processes that do not hold it, each with
/// its next offset if known.
async fn wait_until_in_force(
    context: &Context,
    offset: Offset,
    timeout: Duration,
) -> BTreeMap<String, Option<u64>> {
    let deadline = Instant::now() + timeout;
    loop {
        let behind = processes_behind(context, offset).await;
        if behind.is_empty() || Instant::now() > deadline {
            return behind;
        }
        sleep(Millis(POLL_INTERVAL_MS)).await;
    }
}

/// Returns the processes that do not hold the record, each with its next offset if known. Covers
/// the processes that the entries report, the entries that do not answer, and the live hosts.
async fn processes_behind(context: &Context, offset: Offset) -> BTreeMap<String, Option<u64>> {
    let mut held: BTreeMap<String, Option<u64>> = BTreeMap::new();
    let mut expected: BTreeSet<String> = BTreeSet::new();
    for entry in &context.entries {
        match query(context, entry, "/admin/heads").await {
            Err(_) => {
                held.insert(entry.clone(), None);
            }
            Ok(heads) => {
                for (process, next) in heads.as_object().into_iter().flatten() {
                    let next = next.as_u64().unwrap_or(0);
                    let best = held.entry(process.clone()).or_insert(Some(next));
                    *best = (*best).max(Some(next));
                }
            }
        }
    }
    if let Ok(status) = query_any(context, "/admin/status").await {
        for host in status["hosts"].as_array().into_iter().flatten() {
            if host["state"] == json!("live") {
                expected.extend(host["host"].as_str().map(str::to_owned));
            }
        }
    }
    for process in expected {
        held.entry(process).or_insert(None);
    }
    held.retain(|_, next| next.is_none_or(|n| n <= offset.0));
    held
}

fn print(published: &[Published], behind: Option<&BTreeMap<String, Option<u64>>>, output: Output) {
    let line = |p: &Published| match &p.outcome {
        Outcome::Applied => json!({"record": p.kind, "offset": p.offset, "outcome": "applied"}),
        Outcome::Unknown => json!({"record": p.kind, "offset": p.offset, "outcome": "unknown"}),
        Outcome::Ignored(why) => {
            json!({"record": p.kind, "offset": p.offset, "outcome": "ignored", "why": why})
        }
    };
    let lines: Vec<Value> = published.iter().map(line).collect();
    if output == Output::Json {
        println!("{}", json!({"published": lines, "behind": behind}));
        return;
    }
    for p in published {
        let text = match &p.outcome {
            Outcome::Applied => "applied".to_owned(),
            Outcome::Unknown => "appended; no entry could tell whether it is applied".to_owned(),
            Outcome::Ignored(why) => format!("ignored by every reader: {why}"),
        };
        println!("offset {} {}: {text}", p.offset, p.kind);
    }
    match behind {
        None => {}
        Some(behind) if behind.is_empty() => println!("In force everywhere."),
        Some(behind) => {
            // `next` is the offset of the first record that the process does not hold.
            for (process, next) in behind {
                match next {
                    Some(next) => println!("not in force at {process}: it holds up to {next}"),
                    None => println!("not in force at {process}: it gives no word"),
                }
            }
        }
    }
}
