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
    search: Search,
}

/// Search for the end of the first event in a buffer that grows. Each byte is looked at once,
/// however small the parts are in which the event arrives.
#[derive(Clone, Copy, Debug)]
struct Search {
    /// Number of bytes of the event that were searched.
    position: usize,
    is_line_empty: bool,
    /// Number of bytes that were searched for all events.
    total: usize,
}

impl Default for Search {
    fn default() -> Search {
        Search { position: 0, is_line_empty: true, total: 0 }
    }
}

impl Search {
    /// Continues in the bytes of the event, and returns the length of the event if it is complete,
    /// including the empty line that ends it.
    fn event_length(&mut self, bytes: &[u8]) -> Option<usize> {
        for byte in &bytes[self.position..] {
            self.position += 1;
            self.total += 1;
            match byte {
                b'\n' if self.is_line_empty && self.position > 1 => return Some(self.position),
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        None
    }

    /// Starts the search in the next event.
    fn restart(&mut self) {
        *self = Search { total: self.total, ..Search::default() };
    }
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
        while let Some(length) = self.search.event_length(&self.buffer[start..]) {
            self.search.restart();
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

    /// Returns the number of bytes that were searched for the ends of events.
    pub fn searched(&self) -> usize {
        self.search.total
    }

    /// Discards the incomplete event.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.search.restart();
    }
}
