//! Explains the outcome of a request from logs, and shows related events.
//!
//! The line of the request contains the decisions and their reasons. The output adds the state of
//! the system at that time: the number of serving groups, the demand of the callers, and the
//! events of the hosts to which the request was sent. No process has to be running.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use serde::Serialize;
use serde_json::Value;

use crate::Output;
use crate::logs::{LeftOut, Line, Logs};

/// Time before the end of a request from which lines about its hosts are shown, in ms. The time is
/// longer than the duration of any request that was sent twice.
const BEFORE_MS: u64 = 10_000;
/// Time after the end of a request until which lines about its hosts are shown, in ms. The repair
/// of a failed group has started by then.
const AFTER_MS: u64 = 2_000;
/// Event kinds whose newest line before the arrival of the request is shown, regardless of the
/// hosts that the line names. The newest line per model is shown.
const STATE_KINDS: [&str; 3] = ["groups_serve", "model", "leads"];

/// Filter of log lines. An empty filter matches all lines.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Request that a line must name.
    pub request: Option<String>,
    /// Group that a line must name, by epoch or name.
    pub group: Option<String>,
    /// Host that a line must name.
    pub host: Option<String>,
    /// Failure domain that a line must name.
    pub domain: Option<String>,
    /// Earliest time of a line, in ms since 1970.
    pub from_ms: Option<u64>,
    /// Latest time of a line, in ms since 1970.
    pub to_ms: Option<u64>,
}

impl Filter {
    fn matches(&self, line: &Line) -> bool {
        let named = [&self.request, &self.group, &self.host, &self.domain];
        let mut named = named.into_iter().flatten();
        named.all(|what| line.event.mentions(what))
            && self.from_ms.is_none_or(|from| line.time_ms >= from)
            && self.to_ms.is_none_or(|to| line.time_ms <= to)
    }
}

/// Kind of the line with the outcome of a request.
const REQUEST_KIND: &str = "request";
/// Kind of the line on a connection that ended while a request had no complete answer.
const CONNECTION_ENDED_KIND: &str = "connection_ended";

/// Start of the step of a request that was ended by the stop of its gateway.
const ENDED_BY_STOP: &str = "the gateway's stop ends";

/// Explanation of a request from logs.
#[derive(Serialize)]
struct Explanation {
    /// Lines that name the request.
    lines: Vec<Line>,
    /// Outcome and its cause, as a sentence.
    cause: String,
    /// State of the system when the request arrived.
    known: Vec<Line>,
    /// Events of the hosts to which the request was sent.
    hosts: Vec<Line>,
    left_out: LeftOut,
}

/// Runs `oliveworksctl explain REQUEST --logs`.
///
/// # Errors
/// Returns an error if a log cannot be read or contains no final line of the request.
pub fn explain(request: &str, paths: &[PathBuf], output: Output) -> anyhow::Result<()> {
    let logs = Logs::find(paths)?;
    let filter = Filter { request: Some(request.to_owned()), ..Filter::default() };
    let (lines, left_out) = collect(&logs, &filter)?;
    let Some(request_line) = outcome_line(&lines) else {
        print_left_out(left_out);
        anyhow::bail!("the logs contain no line with the outcome of request {request}");
    };
    let (known, hosts) = related_lines(&logs, request_line)?;
    let cause = match request_line.event.kind == CONNECTION_ENDED_KIND {
        true => connection_cause(request_line),
        false => cause(request_line),
    };
    let explained = Explanation { cause, known, hosts, lines, left_out };
    match output {
        Output::Json => println!("{}", serde_json::to_string(&explained)?),
        Output::Text => print(&explained),
    }
    Ok(())
}

/// Runs `oliveworksctl timeline --logs`.
///
/// # Errors
/// Returns an error if a log cannot be read.
pub fn timeline(filter: &Filter, paths: &[PathBuf], output: Output) -> anyhow::Result<()> {
    let (lines, left_out) = collect(&Logs::find(paths)?, filter)?;
    if output == Output::Json {
        let events = serde_json::json!({"lines": lines, "left_out": left_out});
        println!("{events}");
        return Ok(());
    }
    let start = lines.first().map_or(0, |line| line.time_ms);
    lines.iter().for_each(|line| print_line(line, start));
    print_left_out(left_out);
    Ok(())
}

/// Returns the lines that match the filter, sorted by time, and the numbers of skipped lines.
fn collect(logs: &Logs, filter: &Filter) -> anyhow::Result<(Vec<Line>, LeftOut)> {
    let mut lines = Vec::new();
    let left_out = logs.for_each(|line| {
        if filter.matches(&line) {
            lines.push(line);
        }
    })?;
    lines.sort_by_key(|line| line.time_ms);
    Ok((lines, left_out))
}

/// Returns the state of the system when a request arrived, and the events of the hosts to which the
/// request was sent.
fn related_lines(logs: &Logs, request_line: &Line) -> anyhow::Result<(Vec<Line>, Vec<Line>)> {
    let received_ms =
        request_line.time_ms.saturating_sub(request_line.event.number("took_ms").unwrap_or(0));
    let hosts = hosts(request_line);
    let mut known: BTreeMap<(String, String), Line> = BTreeMap::new();
    let mut host_lines = Vec::new();
    logs.for_each(|line| {
        if STATE_KINDS.contains(&line.event.kind.as_str()) && line.time_ms <= received_ms {
            let model = line.event.text("model").unwrap_or_default().to_owned();
            let key = (line.event.kind.clone(), model);
            if known.get(&key).is_none_or(|held| held.time_ms <= line.time_ms) {
                known.insert(key, line.clone());
            }
        }
        let span = request_line.time_ms.saturating_sub(BEFORE_MS)..=request_line.time_ms + AFTER_MS;
        let in_span = span.contains(&line.time_ms) && line.event.kind != REQUEST_KIND;
        if in_span && hosts.iter().any(|host| line.event.mentions(host)) {
            host_lines.push(line);
        }
    })?;
    host_lines.sort_by_key(|line| line.time_ms);
    Ok((known.into_values().collect(), host_lines))
}

/// Returns the line with the outcome of a request. A request whose connection ended while it was
/// being answered may have only the line on that end.
fn outcome_line(lines: &[Line]) -> Option<&Line> {
    let of_kind = |kind: &str| lines.iter().find(|line| line.event.kind == kind);
    of_kind(REQUEST_KIND).or_else(|| of_kind(CONNECTION_ENDED_KIND))
}

/// Describes the end of a connection before the answer to its request was complete.
fn connection_cause(line: &Line) -> String {
    let after_ms = line.event.number("after_ms").unwrap_or(0);
    let why = match line.event.text("reason").unwrap_or_default() {
        "caller_closed" => "its caller closed the connection, or only its sending side",
        "caller_reset" => "its caller reset the connection",
        "idle_timeout" => "the gateway closed the connection as idle",
        "stop" => "the gateway closed the connection because it stopped",
        "process_end" => "the gateway's process ended",
        "torn" => "the gateway broke the answer off",
        _ => "the connection ended for an unknown reason",
    };
    format!("no complete answer after {after_ms} ms: {why}{}", stop_of(line))
}

/// Describes the stop during which a connection ended, and how far the answer had come; empty if
/// the gateway was not stopping.
fn stop_of(line: &Line) -> String {
    let Some(stop_ms) = line.event.number("stop_ms") else { return String::new() };
    let progress = match line.event.text("progress").unwrap_or_default() {
        "not_sent" => ", and the request had not been sent to a host",
        "server_at_work" => ", and a host had the request and may have been working on it",
        "server_failed" => ", and the hosts that it was sent to had failed",
        "undelivered" => ", and its caller had not received all of a complete answer",
        _ => "",
    };
    format!(", {stop_ms} ms after the stop of {} began{progress}", line.process)
}

/// Describes the silence that a request without an answer waited for in vain; `None` if it ended
/// for another reason.
fn unended_silence(request_line: &Line) -> Option<String> {
    let steps: Vec<&str> = steps(request_line).collect();
    let last = steps.last()?;
    let waited = last.starts_with("taken back from ")
        || last.starts_with("not sent elsewhere: ")
        || last.contains(" silent at ");
    let outcome = request_line.event.text("outcome").unwrap_or_default();
    if !waited || outcome.starts_with("served") {
        return None;
    }
    let silent = steps.iter().rposition(|step| step.contains(" silent at "))?;
    let (host, since) = steps[silent].split_once(" silent at ")?;
    let continues = format!("{host} continues at ");
    if steps[silent..].iter().any(|step| step.starts_with(&continues)) {
        return None;
    }
    let elsewhere = steps.iter().rev().find(|step| step.starts_with("not sent elsewhere: "));
    let elsewhere = elsewhere.map_or(String::new(), |step| format!(", and it was {step}"));
    Some(format!("{host} was silent from {since} on{elsewhere}"))
}

/// Returns the steps of a request, from its line.
fn steps(request_line: &Line) -> impl Iterator<Item = &str> {
    let steps = request_line.event.fields.get("steps").and_then(Value::as_array);
    steps.into_iter().flatten().filter_map(Value::as_str)
}

/// Returns the hosts to which a request was sent.
fn hosts(request_line: &Line) -> BTreeSet<String> {
    let sent = steps(request_line).filter_map(|step| step.strip_prefix("to "));
    sent.filter_map(|step| step.split_whitespace().next()).map(str::to_owned).collect()
}

/// Explains why no group served the model of a request, from the step on its service.
fn why_no_group(request_line: &Line) -> &'static str {
    let service = steps(request_line).find(|step| step.starts_with("service ")).unwrap_or_default();
    match () {
        _ if service.contains("hosts: 0;") => "its service has no listed hosts",
        _ if service.contains("planned: no;") => "the leader plans no groups of its service",
        _ if service.ends_with("groups: 0") => {
            "its service has hosts, and none of its groups serves"
        }
        _ => "no group served its model",
    }
}

/// Describes the outcome of a request and its cause in a sentence.
fn cause(request_line: &Line) -> String {
    let outcome = request_line.event.text("outcome").unwrap_or("unknown");
    let took_ms = request_line.event.number("took_ms").unwrap_or(0);
    let decides = |step: &&str| !step.starts_with("to ") && !step.starts_with("taken back from ");
    let last_decision = steps(request_line).filter(decides).last();
    let sent = request_line.event.number("sent").unwrap_or(0);
    if let Some(silence) = unended_silence(request_line) {
        return format!("{outcome} after {took_ms} ms, sent {sent} times: {silence}");
    }
    if steps(request_line).any(|step| step.starts_with(ENDED_BY_STOP)) {
        let node = &request_line.process;
        return format!(
            "{outcome} after {took_ms} ms, sent {sent} times: ended by the stop of {node}"
        );
    }
    let was_silent = steps(request_line).any(|step| step.contains(" silent at "));
    let why = match last_decision {
        Some("no place: Full") => "every group that may serve it was full",
        Some("no place: Cold") => {
            "every host that may serve it is cold, and was sent this gateway's part"
        }
        Some("no place: Drained") => "every host of its service is in a drained failure domain",
        Some("no place in a region that may serve it") => "no region that may serve it has a place",
        Some("no place: None") => why_no_group(request_line),
        Some("no memory for its body") => "the bodies of other requests filled the memory for them",
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
        _ if outcome.starts_with("served late: sent again") && was_silent => {
            "a host that it was sent to before fell silent"
        }
        _ if outcome.starts_with("served late: sent again") => "an attempt before failed",
        _ => return format!("{outcome} after {took_ms} ms, sent {sent} times"),
    };
    format!("{outcome} after {took_ms} ms, sent {sent} times: {why}")
}

fn print(explained: &Explanation) {
    let received_ms = explained.lines.first().map_or(0, |line| line.time_ms);
    let end = outcome_line(&explained.lines);
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
    print_left_out(explained.left_out);
}

fn print_line(line: &Line, start_ms: u64) {
    let after_s = (line.time_ms as f64 - start_ms as f64) / 1_000.0;
    let fields = line.event.fields.iter().filter(|(name, _)| *name != "steps");
    let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
    let fields = fields.join(" ");
    println!("{after_s:+9.3}s {:<16} {:<20} {fields}", line.process, line.event.kind);
}

fn print_left_out(left_out: LeftOut) {
    if left_out != LeftOut::default() {
        println!(
            "left out: {} torn lines, {} that are no gateway's",
            left_out.torn, left_out.foreign
        );
    }
}
