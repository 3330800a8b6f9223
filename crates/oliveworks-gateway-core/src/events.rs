//! Event streams: decides which bytes of a stream may be relayed.
//!
//! A backend server may end in the middle of an event, so only complete events are relayed. If a
//! stream is resumed at another backend server, events that the caller already has are skipped, and
//! gaps are detected.

/// Maximum size of an incomplete event, in bytes.
pub const EVENT_MAX: usize = 1 << 20;

/// The error for an event that exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, including the empty line that ends it.
    pub bytes: Vec<u8>,
    /// Id of the event, if present.
    pub id: Option<u64>,
}

/// Splits a stream into events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
}

/// Returns the length of the first complete event, including the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_empty = true;
    for (index, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if line_empty && index > 0 => return Some(index + 1),
            b'\n' => line_empty = true,
            b'\r' => {}
            _ => line_empty = false,
        }
    }
    None
}

/// Prefix of a line with data.
const DATA_FIELD: &[u8] = b"data";

impl Event {
    /// Returns whether this is no event for the caller: it has neither an id nor data, like a
    /// comment that keeps a connection open.
    pub fn is_empty(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        self.id.is_none() && !lines.any(|line| line.starts_with(DATA_FIELD))
    }
}

/// Returns the id of an event.
fn event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

impl Splitter {
    /// Adds bytes to the stream and returns the events that they complete.
    ///
    /// # Errors
    /// Returns an error if an incomplete event exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, Oversized> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = event_length(&self.buffer[start..]) {
            let bytes = self.buffer[start..start + length].to_vec();
            let id = event_id(&bytes);
            events.push(Event { bytes, id });
            start += length;
        }
        self.buffer.drain(..start);
        match self.buffer.len() > EVENT_MAX {
            true => Err(Oversized),
            false => Ok(events),
        }
    }

    /// Returns the bytes of the incomplete event.
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }

    /// Discards the incomplete event.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }
}

/// The action for an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    /// Relay the event to the caller.
    On,
    /// Skip the event, because the caller already has it.
    Known,
    /// Abort this run, because an earlier event is missing.
    Gap,
}

/// The position of the caller in a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    last: Option<u64>,
}

impl Progress {
    /// Creates the position of a caller that has all events up to `last`.
    pub fn after(last: Option<u64>) -> Progress {
        Progress { last }
    }

    /// Returns the id of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Decides the action for the next event, and advances the position if the event is relayed.
    pub fn next(&mut self, id: Option<u64>) -> Pass {
        let (Some(last), Some(id)) = (self.last, id) else {
            self.last = id.or(self.last);
            return Pass::On;
        };
        if id <= last {
            return Pass::Known;
        }
        if id > last + 1 {
            return Pass::Gap;
        }
        self.last = Some(id);
        Pass::On
    }
}
