//! Event streams: splits the bytes of a stream into events.
//!
//! A backend server may end in the middle of an event, so only complete events are relayed.

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
    /// Id of the event, if it has exactly one.
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

/// Prefix of the line with the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// Prefixes of lines that make no event: comments, and fields without a content of their own.
const FIELDS_WITHOUT_CONTENT: [&[u8]; 3] = [b":", b"event", b"retry"];

impl Event {
    /// Returns whether this is no event for the caller, like a comment that keeps a connection open.
    pub fn is_empty(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| {
            let text = line.trim_ascii();
            text.is_empty() || FIELDS_WITHOUT_CONTENT.iter().any(|field| text.starts_with(field))
        })
    }
}

/// Returns the id of an event; none if two events may have run together because the empty line
/// between them was damaged.
fn event_id(bytes: &[u8]) -> Option<u64> {
    let mut ids = bytes.split(|byte| *byte == b'\n').filter(|line| {
        line.starts_with(ID_FIELD) || line.get(1..).is_some_and(|rest| rest.starts_with(ID_FIELD))
    });
    let line = ids.next().filter(|_| ids.next().is_none())?;
    std::str::from_utf8(line.strip_prefix(ID_FIELD)?).ok()?.trim().parse().ok()
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
