//! What one gateway tells another of a topic of the store.
//!
//! A gateway that follows a topic keeps its last records, so that others can follow the topic through
//! it: they ask from a place on, as they would ask the store, and places are the store's. Whoever is
//! ahead of it, or so far behind that records are gone, is told so; a place of an earlier era is far behind, and one of a
//! later era ahead.
//!
//! Backend servers write their records anew every second or so, mostly as they were. Such a repeat tells
//! nothing to a gateway that holds the record; only the leader goes by how young records are.
//! So repeats are told to those who ask for them and to nobody else: before 3,000 backend servers they were most of what a
//! reader passed on.

use std::collections::VecDeque;

use crate::era::Era;
use crate::place::Place;

/// Steps that are kept: at two or three a second, what a gateway misses that was away for ten seconds.
const STEPS_MAX: usize = 32;
/// Records that are kept beyond the newest step.
const RECORDS_MAX: usize = 2_048;
/// The newest steps whose repeats are kept: whoever asks again within half a second misses none.
const REPEATS_STEPS: usize = 4;

/// A record, and whether it says what the one of its key before it said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kept<R> {
    /// The record.
    pub record: R,
    /// Whether it is a repeat.
    pub is_repeat: bool,
}

#[derive(Clone, Debug)]
struct Step<R> {
    end: Place,
    records: Vec<Kept<R>>,
}

/// The last records of a topic.
#[derive(Clone, Debug)]
pub struct Passing<R> {
    /// From where on all records are kept.
    start: Place,
    /// Where the next one will be; none before the topic was read.
    next: Option<Place>,
    steps: VecDeque<Step<R>>,
}

impl<R> Default for Passing<R> {
    fn default() -> Passing<R> {
        Passing { start: Place::new(Era::default(), 0), next: None, steps: VecDeque::new() }
    }
}

/// What is told to whoever asks from a place on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told<R> {
    /// The records from there on, perhaps none, and the next place.
    Records(Vec<R>, Place),
    /// That is no longer kept, or nothing was held: the newest record of each key is to be told, as of
    /// this place.
    Newest(Place),
    /// The asker is ahead: nothing that is told here proves anything to it.
    Behind,
    /// The topic was not read yet.
    Unread,
}

impl<R: Clone> Passing<R> {
    /// Records that follow what was read before, and the place after them.
    pub fn followed(&mut self, records: Vec<R>, next: Place) {
        let new = |record| Kept { record, is_repeat: false };
        self.followed_with_repeats(records.into_iter().map(new).collect(), next);
    }

    /// The same, of records that may be repeats.
    pub fn followed_with_repeats(&mut self, records: Vec<Kept<R>>, next: Place) {
        self.next = Some(next);
        if records.is_empty() {
            return;
        }
        self.steps.push_back(Step { end: next, records });
        if let Some(old) = self.steps.iter_mut().rev().nth(REPEATS_STEPS) {
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

    /// The newest records of all keys were read, as of a place.
    pub fn read_anew(&mut self, next: Place) {
        self.steps.clear();
        self.start = next;
        self.next = Some(next);
    }

    /// What was read is told no more: the store has come back from a copy, and the topic is read anew.
    pub fn forget(&mut self) {
        *self = Passing::default();
    }

    /// The place after the last record.
    pub fn next(&self) -> Option<Place> {
        self.next
    }

    /// Whether more was read before than the newest records as of a place: they may lack what is known
    /// here, and so do not tell what has ended.
    pub fn is_ahead_of(&self, place: Place) -> bool {
        self.next.is_some_and(|next| next > place)
    }

    /// What is told to whoever holds everything before a place: all but repeats.
    pub fn since(&self, from: Option<Place>) -> Told<R> {
        self.told_since(from, false)
    }

    /// The same, and also the repeats that are still kept.
    pub fn since_with_repeats(&self, from: Option<Place>) -> Told<R> {
        self.told_since(from, true)
    }

    fn told_since(&self, from: Option<Place>, repeats: bool) -> Told<R> {
        let Some(next) = self.next else { return Told::Unread };
        match from {
            Some(from) if from > next => Told::Behind,
            Some(from) if from >= self.start => {
                let later = self.steps.iter().filter(|step| step.end > from);
                let records = later.flat_map(|step| &step.records);
                let told = records.filter(|kept| repeats || !kept.is_repeat);
                Told::Records(told.map(|kept| kept.record.clone()).collect(), next)
            }
            _ => Told::Newest(next),
        }
    }
}
