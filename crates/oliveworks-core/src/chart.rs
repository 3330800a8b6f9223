//! State charts: parsing, checking and interpretation.
//!
//! A chart lists its states, its events and, for each state, the effect of every event. An event
//! that a state neither handles nor lists under `ignores` is an error in the chart, so that no pair
//! of state and event is left undefined. The charts of this crate are checked by its build script
//! and embedded in the binaries.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Deserialize;

/// Checked state chart.
#[derive(Clone, Debug)]
pub struct Chart {
    name: String,
    initial: usize,
    states: Vec<String>,
    events: Vec<String>,
    /// Target state in `next[state][event]`, or `None` where the state ignores the event.
    next: Vec<Vec<Option<usize>>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    chart: String,
    initial: String,
    events: Vec<String>,
    states: BTreeMap<String, FileState>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileState {
    #[serde(default)]
    on: BTreeMap<String, String>,
    #[serde(default)]
    ignores: Vec<String>,
    /// Whether the state is meant to have no outgoing transition.
    #[serde(default, rename = "final")]
    is_final: bool,
}

/// Error in a chart, or in an event fired on a chart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChartError(String);

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ChartError {}

impl Chart {
    /// Parses and checks a chart.
    ///
    /// # Errors
    /// Names the state or event at fault: broken YAML, an undeclared event or target, an event that
    /// a state neither handles nor ignores, an unreachable state, or a dead end not marked `final`.
    pub fn parse(text: &str) -> Result<Chart, ChartError> {
        let file: File =
            serde_saphyr::from_str(text).map_err(|e| ChartError(format!("not a chart: {e}")))?;
        let states: Vec<String> = file.states.keys().cloned().collect();
        let state_index = |name: &str| states.iter().position(|s| s == name);
        let initial = state_index(&file.initial)
            .ok_or_else(|| ChartError(format!("initial state {} is not declared", file.initial)))?;
        let mut next = Vec::new();
        for (name, state) in &file.states {
            next.push(row(name, state, &file.events, &state_index)?);
        }
        let chart = Chart { name: file.chart, initial, states, events: file.events, next };
        chart.check_reachable()?;
        Ok(chart)
    }

    /// Returns the name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the state that follows `state` on `event`, or `None` if `state` ignores the event.
    ///
    /// # Errors
    /// If the state or the event is not declared.
    pub fn next(&self, state: &str, event: &str) -> Result<Option<&str>, ChartError> {
        let s = position(&self.states, state, "state")?;
        let e = position(&self.events, event, "event")?;
        Ok(self.next[s][e].map(|i| self.states[i].as_str()))
    }

    /// Renders the chart in the DOT language.
    pub fn to_dot(&self) -> String {
        let mut out = format!("digraph {} {{\n  rankdir=LR;\n", self.name);
        out.push_str(&format!("  \"{}\" [shape=doublecircle];\n", self.states[self.initial]));
        for (from, row) in self.next.iter().enumerate() {
            for (event, to) in row.iter().enumerate() {
                let Some(to) = to else { continue };
                out.push_str(&format!(
                    "  \"{}\" -> \"{}\" [label=\"{}\"];\n",
                    self.states[from], self.states[*to], self.events[event]
                ));
            }
        }
        out.push_str("}\n");
        out
    }

    fn check_reachable(&self) -> Result<(), ChartError> {
        let mut seen = BTreeSet::from([self.initial]);
        let mut to_visit = vec![self.initial];
        while let Some(state) = to_visit.pop() {
            for target in self.next[state].iter().flatten() {
                if seen.insert(*target) {
                    to_visit.push(*target);
                }
            }
        }
        match (0..self.states.len()).find(|s| !seen.contains(s)) {
            Some(s) => Err(ChartError(format!("state {} is unreachable", self.states[s]))),
            None => Ok(()),
        }
    }
}

fn position(names: &[String], name: &str, what: &str) -> Result<usize, ChartError> {
    names
        .iter()
        .position(|n| n == name)
        .ok_or_else(|| ChartError(format!("{what} {name} is not declared")))
}

fn row(
    name: &str,
    state: &FileState,
    events: &[String],
    state_index: &dyn Fn(&str) -> Option<usize>,
) -> Result<Vec<Option<usize>>, ChartError> {
    let declared = |e: &String| events.contains(e);
    if let Some(e) = state.on.keys().chain(&state.ignores).find(|e| !declared(e)) {
        return Err(ChartError(format!("state {name}: event {e} is not declared")));
    }
    if state.on.is_empty() && !state.is_final {
        return Err(ChartError(format!(
            "state {name} has no outgoing transition and is not final"
        )));
    }
    let mut row = Vec::new();
    for event in events {
        let target = match (state.on.get(event), state.ignores.contains(event)) {
            (Some(_), true) => {
                return Err(ChartError(format!("state {name} both handles and ignores {event}")));
            }
            (None, false) => {
                return Err(ChartError(format!(
                    "state {name} neither handles nor ignores event {event}"
                )));
            }
            (None, true) => None,
            (Some(target), false) => Some(state_index(target).ok_or_else(|| {
                ChartError(format!("state {name}: target {target} is not declared"))
            })?),
        };
        row.push(target);
    }
    Ok(row)
}

/// Current position in a chart.
#[derive(Clone, Debug)]
pub struct Machine {
    chart: &'static Chart,
    state: &'static str,
}

impl Machine {
    /// Starts in the initial state of the chart.
    pub fn new(chart: &'static Chart) -> Machine {
        Machine { chart, state: &chart.states[chart.initial] }
    }

    /// Returns the name of the current state.
    pub fn state(&self) -> &'static str {
        self.state
    }

    /// Returns whether the machine is in `state`.
    pub fn is(&self, state: &str) -> bool {
        self.state == state
    }

    /// Fires an event. Returns whether the state changed.
    ///
    /// # Panics
    /// If the event is not declared in the chart. This is a programming error that every test
    /// reaching the call shows.
    pub fn fire(&mut self, event: &str) -> bool {
        let chart: &'static Chart = self.chart;
        let next = chart.next(self.state, event).unwrap_or_else(|e| panic!("{}: {e}", chart.name));
        match next {
            Some(next) if next != self.state => {
                self.state = next;
                true
            }
            _ => false,
        }
    }
}
