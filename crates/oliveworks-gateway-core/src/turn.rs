//! Turns: how much of a peer's data is processed before other tasks run.
//!
//! All tasks of a gateway share one thread. A peer that sends faster than its data is processed
//! would otherwise keep it from all others, since data that was already received is available
//! without waiting.

/// Largest number of parts in a turn. A part costs some work however small it is.
const PARTS_MAX: u32 = 32;
/// Size of the parts, in bytes, that ends a turn.
const BYTES_MAX: usize = 64 << 10;
/// Pause after a turn of many small parts, in ms. It bounds the processor time that such a peer
/// takes; sound peers rarely send so many parts at once.
pub const PAUSE_MS: u64 = 1;

/// What follows a part of a peer's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The turn goes on.
    Take,
    /// Other tasks run, then the next turn begins.
    Yield,
    /// The next turn begins after `PAUSE_MS`.
    Pause,
}

/// A turn of one peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    parts: u32,
    bytes: usize,
}

impl Turn {
    /// Records a part, and returns what follows.
    pub fn record(&mut self, bytes: usize) -> Next {
        self.parts += 1;
        self.bytes += bytes;
        let next = match (self.bytes >= BYTES_MAX, self.parts >= PARTS_MAX) {
            (true, _) => Next::Yield,
            (false, true) => Next::Pause,
            (false, false) => return Next::Take,
        };
        *self = Turn::default();
        next
    }

    /// Ends the turn because the peer's data has to be waited for.
    pub fn end(&mut self) {
        *self = Turn::default();
    }
}
