//! Which bytes of a stream may be passed on.
//!
//! A backend server may end in the middle of an event, so only whole events are passed on. When a
//! stream is taken up at another backend server, events that the caller already has are left out,
//! and a gap is noticed.

/// The most bytes that an unfinished event may hold.
const EVENT_MAX: usize = 1 << 20;

/// An event that is longer than any that is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes with the empty line that ends it.
    pub bytes: Vec<u8>,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// Cuts a stream into events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
}

/// The length of the first whole event with its ending.
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

/// The id that an event names.
fn event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

impl Splitter {
    /// Takes bytes in and gives the events that they complete.
    ///
    /// # Errors
    /// If an event grows beyond all bounds.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, Oversized> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(length) = event_length(&self.buffer) {
            let rest = self.buffer.split_off(length);
            let bytes = std::mem::replace(&mut self.buffer, rest);
            let id = event_id(&bytes);
            events.push(Event { bytes, id });
        }
        match self.buffer.len() > EVENT_MAX {
            true => Err(Oversized),
            false => Ok(events),
        }
    }

    /// The bytes of an event that has not ended.
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }

    /// Forgets an event that has not ended.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }
}

/// What becomes of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    /// The caller gets it.
    On,
    /// The caller has it already.
    Known,
    /// An event before it is missing: this run cannot go on.
    Gap,
}

/// What the caller has had of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    last: Option<u64>,
}

impl Progress {
    /// A stream of which the caller has all events up to `last`.
    pub fn after(last: Option<u64>) -> Progress {
        Progress { last }
    }

    /// The last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Decides on the next event.
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
