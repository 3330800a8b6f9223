//! Position up to which a topic of the store has been read, and the source of the next read.

use std::net::SocketAddr;

use crate::Millis;
use crate::era::Era;
use crate::position::Position;
use crate::sources::{self, LocalState, PeerState, Questions, ReadFrom};

/// Number of consecutive questions to other gateways before a gateway that has read nothing yet
/// reads the store.
const MAX_FIRST_QUESTIONS: u32 = 2;
/// Time for which a gateway that knows less than this one about the topic is not asked about it, in
/// ms: long enough for that gateway to read the store.
const BEHIND_MS: u64 = 500;

/// Reading progress of one gateway in a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadCursor {
    position: Option<Position>,
    /// Whether anything was read in this incarnation of the process.
    has_read: bool,
    questions: Questions,
    /// Gateway that knows less than this one, and the time until which it is not asked.
    behind: Option<(SocketAddr, Millis)>,
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
    pub fn source(
        &self,
        now: Millis,
        own: LocalState<'_>,
        mut others: Vec<PeerState<'_>>,
        draw: u64,
    ) -> ReadFrom {
        if self.from_store && own.store_answers {
            return ReadFrom::StoreTrial;
        }
        let behind = self.behind.filter(|(_, until)| now < *until).map(|(address, _)| address);
        for other in others.iter_mut().filter(|other| Some(other.address) == behind) {
            other.is_unresponsive = true;
        }
        let asks_first = !self.has_read && self.questions.unanswered < MAX_FIRST_QUESTIONS;
        let first = asks_first.then(|| sources::first_source(own, &others, draw)).flatten();
        first.unwrap_or_else(|| sources::next_source(own, &others, self.questions))
    }

    /// Records that the store has returned everything up to a position; `None` means that the store
    /// no longer keeps the requested position.
    pub fn store_answered(&mut self, position: Option<Position>) {
        self.position = position;
        self.has_read |= position.is_some();
        self.from_store &= position.is_none();
        self.questions = Questions::default();
    }

    /// Records that another gateway has returned everything up to a position.
    pub fn gateway_answered(&mut self, address: SocketAddr, position: Position) {
        self.position = Some(position);
        self.has_read = true;
        self.questions = Questions { unanswered: 0, answered_by: Some(address) };
    }

    /// Records that a gateway did not answer a question.
    pub fn gateway_did_not_answer(&mut self) {
        self.questions.unanswered += 1;
    }

    /// Records that a gateway knows less than this one about the topic. The gateway is alive and
    /// may be asked about other topics.
    pub fn gateway_is_behind(&mut self, now: Millis, address: SocketAddr) {
        self.behind = Some((address, now + BEHIND_MS));
    }
}
