//! Position up to which a topic of the store has been read, and the source of the next read.

use crate::era::Era;
use crate::position::Position;
use crate::sources::{self, LocalState, PeerState, ReadFrom};

/// Number of consecutive questions to other gateways before a gateway that has read nothing yet
/// reads the store.
const MAX_FIRST_QUESTIONS: u32 = 2;

/// Reading progress of one gateway in a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadCursor {
    position: Option<Position>,
    /// Whether anything was read in this incarnation of the process.
    has_read: bool,
    /// Number of consecutive questions without an answer.
    unanswered: u32,
    /// Whether the store itself is to be read, provided that it answers.
    from_store: bool,
}

impl ReadCursor {
    /// Returns the position up to which everything was read; `None` if all newest records are to be
    /// read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Restarts with a read of all newest records, from the store itself if it answers.
    pub fn restart(&mut self) {
        self.position = None;
        self.from_store = true;
    }

    /// Discards a position of an era other than the store's current one, and returns it.
    pub fn discard_other_era(&mut self, era: Era) -> Option<Position> {
        self.position.take_if(|position| position.era != era)
    }

    /// Returns the source of the next read; `draw` is a random number.
    pub fn source(&self, own: LocalState<'_>, others: &[PeerState<'_>], draw: u64) -> ReadFrom {
        if self.from_store && own.store_answers {
            return ReadFrom::Store;
        }
        let asks_first = !self.has_read && self.unanswered < MAX_FIRST_QUESTIONS;
        let first = asks_first.then(|| sources::first_source(others, draw)).flatten();
        let next = || sources::next_source(own, others, self.unanswered, draw);
        first.map_or_else(next, ReadFrom::Gateway)
    }

    /// Records that the store has returned everything up to a position; `None` means that the store
    /// no longer keeps the requested position.
    pub fn store_answered(&mut self, position: Option<Position>) {
        self.position = position;
        self.has_read |= position.is_some();
        self.from_store &= position.is_none();
        self.unanswered = 0;
    }

    /// Records that another gateway has returned everything up to a position.
    pub fn gateway_answered(&mut self, position: Position) {
        self.position = Some(position);
        self.has_read = true;
        self.unanswered = 0;
    }

    /// Records that a gateway did not answer a question.
    pub fn gateway_did_not_answer(&mut self) {
        self.unanswered += 1;
    }
}
