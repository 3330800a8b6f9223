//! Replay of a topic's recent records to other gateways.
//!
//! A gateway that follows a topic of the store keeps the last records, so that other gateways can
//! follow the topic through it: they ask from a position on, as they would ask the store, and
//! positions are the store's. A gateway that asks from a position ahead of this one, or so far
//! behind that records are no longer kept, gets a corresponding answer. A position of an earlier
//! era counts as far behind, a position of a later era as ahead.
//!
//! Backend servers rewrite their records every second or so, mostly unchanged. Such a repeat is of
//! no use to a gateway that holds the record; only the leader depends on the age of records. So
//! repeats are sent only to gateways that request them: with 3,000 backend servers, most of the
//! records that a reader forwarded were repeats.

use std::collections::VecDeque;

use crate::era::Era;
use crate::position::Position;

/// Number of steps that are kept: at two or three a second, enough for a gateway that was away for
/// ten seconds.
const STEPS_MAX: usize = 32;
/// Number of records that are kept beyond the newest step.
const RECORDS_MAX: usize = 2_048;
/// Number of newest steps whose repeats are kept: a gateway that asks again within half a second
/// misses none.
const STEPS_WITH_REPEATS: usize = 4;

/// A record, and whether it has the same content as the previous record of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kept<R> {
    /// The record.
    pub record: R,
    /// Whether the record is a repeat.
    pub is_repeat: bool,
}

#[derive(Clone, Debug)]
struct Step<R> {
    end: Position,
    records: Vec<Kept<R>>,
}

/// The last records of a topic.
#[derive(Clone, Debug)]
pub struct ReplayBuffer<R> {
    /// Position from which on all records are kept.
    start: Position,
    /// Position of the next record; `None` before the topic was read.
    next: Option<Position>,
    steps: VecDeque<Step<R>>,
}

impl<R> Default for ReplayBuffer<R> {
    fn default() -> ReplayBuffer<R> {
        ReplayBuffer { start: Position::new(Era::default(), 0), next: None, steps: VecDeque::new() }
    }
}

/// Answer to a gateway that asks from a position on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayAnswer<R> {
    /// The records from that position on, possibly none, and the next position.
    Records(Vec<R>, Position),
    /// The records from that position on are no longer kept, or the asker holds nothing: the answer
    /// is the newest record of each key, as of this position.
    Newest(Position),
    /// The asker is ahead of this gateway: an answer would prove nothing.
    Behind,
    /// The topic was not read yet.
    Unread,
}

impl<R: Clone> ReplayBuffer<R> {
    /// Appends records that follow the ones read before; `next` is the position after them.
    pub fn append(&mut self, records: Vec<R>, next: Position) {
        let new = |record| Kept { record, is_repeat: false };
        self.append_with_repeats(records.into_iter().map(new).collect(), next);
    }

    /// Appends records that may be repeats; otherwise like [`ReplayBuffer::append`].
    pub fn append_with_repeats(&mut self, records: Vec<Kept<R>>, next: Position) {
        self.next = Some(next);
        if records.is_empty() {
            return;
        }
        self.steps.push_back(Step { end: next, records });
        if let Some(old) = self.steps.iter_mut().rev().nth(STEPS_WITH_REPEATS) {
            old.records.retain(|kept| !kept.is_repeat);
        }
        let count =
            |steps: &VecDeque<Step<R>>| steps.iter().map(|s| s.records.len()).sum::<usize>();
        while self.steps.len() > STEPS_MAX
            || (self.steps.len() > 1 && count(&self.steps) > RECORDS_MAX)
        {
            let Some(gone) = self.steps.pop_front() else { return };
            self.start = gone.end;
        }
    }

    /// Restarts after a read of the newest records of all keys, as of a position.
    pub fn restart_at(&mut self, next: Position) {
        self.steps.clear();
        self.start = next;
        self.next = Some(next);
    }

    /// Discards all records: the store was restored from a copy, and the topic is read from the
    /// beginning.
    pub fn clear(&mut self) {
        *self = ReplayBuffer::default();
    }

    /// Returns the position after the last record.
    pub fn next(&self) -> Option<Position> {
        self.next
    }

    /// Whether the records read so far extend beyond the newest records as of a position. Those may
    /// lack records known here, so they do not prove that anything has ended.
    pub fn is_ahead_of(&self, position: Position) -> bool {
        self.next.is_some_and(|next| next > position)
    }

    /// Returns the answer to a gateway that holds everything before a position, without repeats.
    pub fn since(&self, from: Option<Position>) -> ReplayAnswer<R> {
        self.answer_since(from, false)
    }

    /// Returns the answer to a gateway that holds everything before a position. The answer contains
    /// repeated records as well, as far as they are still kept.
    pub fn since_with_repeats(&self, from: Option<Position>) -> ReplayAnswer<R> {
        self.answer_since(from, true)
    }

    fn answer_since(&self, from: Option<Position>, repeats: bool) -> ReplayAnswer<R> {
        let Some(next) = self.next else { return ReplayAnswer::Unread };
        match from {
            Some(from) if from > next => ReplayAnswer::Behind,
            Some(from) if from >= self.start => {
                let later = self.steps.iter().filter(|step| step.end > from);
                let records = later.flat_map(|step| &step.records);
                let selected = records.filter(|kept| repeats || !kept.is_repeat);
                ReplayAnswer::Records(selected.map(|kept| kept.record.clone()).collect(), next)
            }
            _ => ReplayAnswer::Newest(next),
        }
    }
}
