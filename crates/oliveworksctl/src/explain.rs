//! Explains from logs what became of a request, and shows what happened around it.
//!
//! The request's own line says what was decided and why. What a reader needs besides is what the system
//! knew then: how many groups served, what callers asked for, and what happened to the hosts that it went
//! to. No process need run.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use serde::Serialize;
use serde_json::Value;

use crate::Output;
use crate::logs::{LeftOut, Line, Logs};

/// How long before a request's end lines about its hosts are shown, in ms: longer than any request lasts
/// that was sent twice.
const BEFORE_MS: u64 = 10_000;
/// The same after its end, in ms: the repair of a group that failed it has begun by then.
const AFTER_MS: u64 = 2_000;
/// Kinds of lines of which the newest before the request was received is shown, whomever they name.
const STATE_KINDS: [&str; 3] = ["groups_serve", "model", "leads"];

/// Which lines are wanted. An empty filter wants all.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// About this request.
    pub request: Option<String>,
    /// About this group, by its epoch or name.
    pub group: Option<String>,
    /// About this host.
    pub host: Option<String>,
    /// About this domain.
    pub domain: Option<String>,
    /// Not before this time, in ms since 1970.
    pub from_ms: Option<u64>,
    /// Not after this time, in ms since 1970.
    pub to_ms: Option<u64>,
}

impl Filter {
    fn wants(&self, line: &Line) -> bool {
        let named = [&self.request, &self.group, &self.host, &self.domain];
        let mut named = named.into_iter().flatten();
        named.all(|what| line.event.names(what))
            && self.from_ms.is_none_or(|from| line.time_ms >= from)
            && self.to_ms.is_none_or(|to| line.time_ms <= to)
    }
}

/// What logs tell of a request.
#[derive(Serialize)]
struct Explained {
    /// Its own lines.
    lines: Vec<Line>,
    /// What became of it, in a sentence.
    cause: String,
    /// What the system knew when it came.
    known: Vec<Line>,
    /// What happened to the hosts that it was sent to.
    hosts: Vec<Line>,
    left_out: LeftOut,
}

/// `oliveworksctl explain REQUEST --logs`
///
/// # Errors
/// If a log cannot be read, or holds nothing about the request.
pub fn explain(request: &str, paths: &[PathBuf], output: Output) -> anyhow::Result<()> {
    let logs = Logs::find(paths)?;
    let filter = Filter { request: Some(request.to_owned()), ..Filter::default() };
    let (lines, left_out) = collect(&logs, &filter)?;
    let Some(own) = lines.iter().find(|line| line.event.kind == "request") else {
        tell_left_out(left_out);
        anyhow::bail!("no line of these logs tells how request {request} ended");
    };
    let (known, hosts) = around(&logs, own)?;
    let cause = cause(own);
    let explained = Explained { cause, known, hosts, lines, left_out };
    match output {
        Output::Json => println!("{}", serde_json::to_string(&explained)?),
        Output::Text => print(&explained),
    }
    Ok(())
}

/// `oliveworksctl timeline --logs`
///
/// # Errors
/// If a log cannot be read.
pub fn timeline(filter: &Filter, paths: &[PathBuf], output: Output) -> anyhow::Result<()> {
    let (lines, left_out) = collect(&Logs::find(paths)?, filter)?;
    if output == Output::Json {
        let events = serde_json::json!({"lines": lines, "left_out": left_out});
        println!("{events}");
        return Ok(());
    }
    let start = lines.first().map_or(0, |line| line.time_ms);
    lines.iter().for_each(|line| print_line(line, start));
    tell_left_out(left_out);
    Ok(())
}

/// The lines that are wanted, by time.
fn collect(logs: &Logs, filter: &Filter) -> anyhow::Result<(Vec<Line>, LeftOut)> {
    let mut lines = Vec::new();
    let left_out = logs.each(|line| {
        if filter.wants(&line) {
            lines.push(line);
        }
    })?;
    lines.sort_by_key(|line| line.time_ms);
    Ok((lines, left_out))
}

/// What the system knew when a request came, and what happened to the hosts that it was sent to.
fn around(logs: &Logs, own: &Line) -> anyhow::Result<(Vec<Line>, Vec<Line>)> {
    let received_ms = own.time_ms.saturating_sub(own.event.number("took_ms").unwrap_or(0));
    let hosts = hosts(own);
    let mut known: BTreeMap<(String, String), Line> = BTreeMap::new();
    let mut about = Vec::new();
    logs.each(|line| {
        if STATE_KINDS.contains(&line.event.kind.as_str()) && line.time_ms <= received_ms {
            let model = line.event.text("model").unwrap_or_default().to_owned();
            let key = (line.event.kind.clone(), model);
            if known.get(&key).is_none_or(|held| held.time_ms <= line.time_ms) {
                known.insert(key, line.clone());
            }
        }
        let span = own.time_ms.saturating_sub(BEFORE_MS)..=own.time_ms + AFTER_MS;
        let near = span.contains(&line.time_ms) && line.event.kind != "request";
        if near && hosts.iter().any(|host| line.event.names(host)) {
            about.push(line);
        }
    })?;
    about.sort_by_key(|line| line.time_ms);
    Ok((known.into_values().collect(), about))
}

fn steps(own: &Line) -> impl Iterator<Item = &str> {
    let steps = own.event.fields.get("steps").and_then(Value::as_array);
    steps.into_iter().flatten().filter_map(Value::as_str)
}

/// The hosts that a request was sent to.
fn hosts(own: &Line) -> BTreeSet<String> {
    let sent = steps(own).filter_map(|step| step.strip_prefix("to "));
    sent.filter_map(|step| step.split_whitespace().next()).map(str::to_owned).collect()
}

/// What became of a request, in a sentence.
fn cause(own: &Line) -> String {
    let outcome = own.event.text("outcome").unwrap_or("unknown");
    let took_ms = own.event.number("took_ms").unwrap_or(0);
    let decided = steps(own).filter(|step| !step.starts_with("to ")).last();
    let sent = own.event.number("sent").unwrap_or(0);
    let why = match decided {
        Some("no place: Full") => "every group that may serve it was full",
        Some("no place: Cold") => {
            "every host that may serve it is cold, and was sent this gateway's part"
        }
        Some("no place: Drained") => "every host of its service is in a drained failure domain",
        Some("no place in a region that may serve it") => "no region that may serve it has a place",
        Some("no place: None") => "no group served its model",
        Some("no repeat left") => "the retry budget was used up",
        Some("configuration too old to honour keys") => {
            "this gateway could not prove for too long that its key still holds"
        }
        Some(step) if step.contains("Stalled") => "the last group that it was sent to stood still",
        Some(step) if step.contains("Lost") => "the last answer broke off",
        Some(step) if step.contains("NotSent") => "the last host could not be reached",
        Some(step) if step.contains("Refused") => "the last host refused it without running it",
        _ if outcome.starts_with("served late: came back") => {
            "its caller had been refused or failed before, so that no answer is in time"
        }
        _ if outcome.starts_with("served late: waited") => "it waited too long for a place",
        _ if outcome.starts_with("served late: began late") => {
            "it was sent at once and its first event came late"
        }
        _ if outcome.starts_with("served late: paused") => "its events paused too long",
        _ if outcome.starts_with("served late: sent again") => "an attempt before failed",
        _ => return format!("{outcome} after {took_ms} ms, sent {sent} times"),
    };
    format!("{outcome} after {took_ms} ms, sent {sent} times: {why}")
}

fn print(explained: &Explained) {
    let received_ms = explained.lines.first().map_or(0, |line| line.time_ms);
    let end = explained.lines.iter().find(|line| line.event.kind == "request");
    println!("{}", explained.cause);
    for step in end.into_iter().flat_map(steps) {
        println!("    {step}");
    }
    println!("its lines:");
    explained.lines.iter().for_each(|line| print_line(line, received_ms));
    println!("known when it came:");
    explained.known.iter().for_each(|line| print_line(line, received_ms));
    println!("the hosts that it was sent to:");
    explained.hosts.iter().for_each(|line| print_line(line, received_ms));
    tell_left_out(explained.left_out);
}

fn print_line(line: &Line, start_ms: u64) {
    let after_s = (line.time_ms as f64 - start_ms as f64) / 1_000.0;
    let fields = line.event.fields.iter().filter(|(name, _)| *name != "steps");
    let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
    let fields = fields.join(" ");
    println!("{after_s:+9.3}s {:<16} {:<20} {fields}", line.process, line.event.kind);
}

fn tell_left_out(left_out: LeftOut) {
    if left_out != LeftOut::default() {
        println!(
            "left out: {} torn lines, {} that are no gateway's",
            left_out.torn, left_out.foreign
        );
    }
}
