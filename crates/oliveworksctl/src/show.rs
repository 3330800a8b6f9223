//! Commands that show the state of the system.

use oliveworks_runtime::timeline::{Event, Filter};
use serde_json::Value;

use crate::Output;
use crate::client::query_any;
use crate::context::Context;

/// Returns the text under a key, or `-`.
fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("-")
}

/// Formats an array of host numbers as a comma-separated list.
fn host_list(value: &Value) -> String {
    let items = value.as_array().into_iter().flatten();
    items.map(|v| format!("host-{v}")).collect::<Vec<_>>().join(",")
}

/// Runs `oliveworksctl status`.
pub async fn status(context: &Context, output: Output) -> anyhow::Result<()> {
    let status = query_any(context, "/admin/status").await?;
    if output == Output::Json {
        println!("{status}");
        return Ok(());
    }
    // `next` is the offset of the first record that the entry does not hold.
    println!(
        "Seen by {}: records up to {}, proved current {} ms ago, from {}.",
        text(&status, "entry"),
        status["next"],
        status["config_age_ms"],
        text(&status, "source")
    );
    for group in status["groups"].as_array().into_iter().flatten() {
        let state = match (text(group, "state"), group["serving"].as_bool()) {
            ("active", Some(true)) => "serving",
            ("active", _) => "not serving",
            (state, _) => state,
        };
        println!(
            "{:<10} {:<36} {:<12} {:<10} members {} spares {}",
            text(group, "group"),
            text(group, "replica"),
            state,
            text(group, "domain"),
            host_list(&group["members"]),
            host_list(&group["spares"]),
        );
    }
    for host in status["hosts"].as_array().into_iter().flatten() {
        if host["group"].is_null() {
            println!("{:<10} idle: {}", text(host, "host"), text(host, "idle_because"));
        }
    }
    for missing in status["missing"].as_array().into_iter().flatten() {
        println!(
            "missing: {} needs {} hosts in one domain; the most that are free in one is {}",
            missing["slot"]["template"]["name"].as_str().unwrap_or("-"),
            missing["wants"],
            missing["largest"]
        );
    }
    Ok(())
}

/// Queries the events that match the filter, and the processes that did not answer.
async fn events(context: &Context, filter: &Filter) -> anyhow::Result<(Vec<Event>, Value)> {
    let mut query = Vec::new();
    for (name, value) in
        [("request", &filter.request), ("group", &filter.group), ("host", &filter.host)]
    {
        query.extend(value.as_ref().map(|v| format!("{name}={v}")));
    }
    let answer = query_any(context, &format!("/admin/timeline?{}", query.join("&"))).await?;
    Ok((serde_json::from_value(answer["events"].clone())?, answer["silent"].clone()))
}

fn print_event(event: &Event, start: u64) {
    let mut subject = String::new();
    for part in [&event.request, &event.group, &event.host].into_iter().flatten() {
        subject.push_str(part);
        subject.push(' ');
    }
    println!(
        "+{:>8.3}s {:<10} {:<8} {:<16} {}{}",
        event.time_ms.saturating_sub(start) as f64 / 1000.0,
        event.process,
        event.part,
        event.kind,
        subject,
        event.text
    );
}

/// Runs `oliveworksctl timeline` without logs.
pub async fn timeline(context: &Context, filter: &Filter, output: Output) -> anyhow::Result<()> {
    let (events, silent) = events(context, filter).await?;
    if output == Output::Json {
        println!("{}", serde_json::json!({"events": events, "silent": silent}));
        return Ok(());
    }
    let start = events.first().map_or(0, |e| e.time_ms);
    for event in &events {
        print_event(event, start);
    }
    for process in silent.as_array().into_iter().flatten() {
        println!("no word from {}", process.as_str().unwrap_or("-"));
    }
    Ok(())
}

/// Runs `oliveworksctl explain` without logs.
pub async fn explain(context: &Context, request: &str, output: Output) -> anyhow::Result<()> {
    // The id in an answer is the id of the request after a prefix and a dash.
    let request = request.rsplit('-').next().unwrap_or(request).to_owned();
    let filter = Filter { request: Some(request.clone()), ..Filter::default() };
    let (events, silent) = events(context, &filter).await?;
    if output == Output::Json {
        println!("{}", serde_json::json!({"events": events, "silent": silent}));
        return Ok(());
    }
    if events.is_empty() {
        println!("No process that answered remembers {request}.");
        return Ok(());
    }
    let start = events.first().map_or(0, |e| e.time_ms);
    for event in &events {
        print_event(event, start);
    }
    let tries = events.iter().filter(|e| e.kind == "sent").count();
    let end = events.iter().rev().find(|e| e.part == "entry").map_or("-", |e| e.kind.as_str());
    println!("{tries} tries; at its entry it ended as {end}.");
    Ok(())
}
