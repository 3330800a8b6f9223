//! Timeline: recent events of a process, kept in memory. The operators' command line merges the
//! timelines of all processes.

use std::collections::VecDeque;
use std::sync::Mutex;

use oliveworks_core::id::{Epoch, HostId};
use serde::{Deserialize, Serialize};

use crate::clock::wall_ms;

/// Number of events that a process keeps. At about 300 bytes each, they take a little over 1 MB.
const MAX_EVENTS: usize = 4096;

/// An event in the timeline of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event by the wall clock of the process, in milliseconds since 1970.
    pub time_ms: u64,
    /// Name of the process.
    pub process: String,
    /// Sequence number within the process; orders events with equal times.
    pub number: u64,
    /// Component of the process.
    pub part: String,
    /// Kind of the event, in one word.
    pub kind: String,
    /// Request that the event concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Group that the event concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<String>,
    /// Host that the event concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Additional text for people.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub text: String,
}

impl Event {
    /// Creates an event with the current wall-clock time.
    pub fn new(part: &str, kind: &str) -> Event {
        Event {
            time_ms: wall_ms(),
            process: String::new(),
            number: 0,
            part: part.to_owned(),
            kind: kind.to_owned(),
            request: None,
            group: None,
            host: None,
            text: String::new(),
        }
    }

    /// Sets the request that the event concerns.
    pub fn request(mut self, request: impl ToString) -> Event {
        self.request = Some(request.to_string());
        self
    }

    /// Sets the group that the event concerns.
    pub fn group(mut self, group: Epoch) -> Event {
        self.group = Some(group.to_string());
        self
    }

    /// Sets the host that the event concerns.
    pub fn host(mut self, host: HostId) -> Event {
        self.host = Some(host.to_string());
        self
    }

    /// Sets the additional text for people.
    pub fn text(mut self, text: impl Into<String>) -> Event {
        self.text = text.into();
        self
    }
}

/// Filter of events. An empty filter matches all events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// Request that an event must concern.
    pub request: Option<String>,
    /// Group that an event must concern.
    pub group: Option<String>,
    /// Host that an event must concern.
    pub host: Option<String>,
}

impl Filter {
    /// Returns whether an event matches the filter.
    pub fn wants(&self, event: &Event) -> bool {
        let fits = |expected: &Option<String>, actual: &Option<String>| {
            expected.is_none() || expected == actual
        };
        fits(&self.request, &event.request)
            && fits(&self.group, &event.group)
            && fits(&self.host, &event.host)
    }
}

/// Most recent events of one process.
#[derive(Debug)]
pub struct Timeline {
    process: String,
    events: Mutex<(u64, VecDeque<Event>)>,
}

impl Timeline {
    /// Creates an empty timeline.
    pub fn new(process: &str) -> Timeline {
        Timeline { process: process.to_owned(), events: Mutex::new((0, VecDeque::new())) }
    }

    /// Adds an event, and drops the oldest event if the timeline is full.
    pub fn note(&self, mut event: Event) {
        let Ok(mut guard) = self.events.lock() else { return };
        let (number, events) = &mut *guard;
        *number += 1;
        event.number = *number;
        event.process.clone_from(&self.process);
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns the events that match the predicate, oldest first.
    pub fn events(&self, wants: impl Fn(&Event) -> bool) -> Vec<Event> {
        let Ok(guard) = self.events.lock() else { return Vec::new() };
        guard.1.iter().filter(|e| wants(e)).cloned().collect()
    }
}
