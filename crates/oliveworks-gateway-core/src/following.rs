//! From where on a topic of the store is read, and through whom.

use crate::era::Era;
use crate::place::Place;
use crate::sources::{self, Known, Own, ReadFrom};

/// Questions of a gateway that has read nothing yet, one after the other, before it reads the store.
const FIRST_QUESTIONS: u32 = 2;

/// How far one gateway has read a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Following {
    place: Option<Place>,
    /// Whether anything was read in this life.
    has_read: bool,
    /// How many gateways in turn did not answer.
    unanswered: u32,
    /// Whether the store itself is to be read, as far as it answers.
    from_store: bool,
}

impl Following {
    /// The place up to which everything was read; none if all newest records are to be read.
    pub fn place(&self) -> Option<Place> {
        self.place
    }

    /// Reads all newest records next, from the store itself if that answers.
    pub fn read_anew(&mut self) {
        self.place = None;
        self.from_store = true;
    }

    /// The store answers from the copy of an era: a place of another one is forgotten, and told.
    pub fn forget_other_eras(&mut self, era: Era) -> Option<Place> {
        self.place.take_if(|place| place.era != era)
    }

    /// Where the next step is made; `draw` is a random number.
    pub fn source(&self, own: Own<'_>, others: &[Known<'_>], draw: u64) -> ReadFrom {
        if self.from_store && own.store_answers {
            return ReadFrom::Store;
        }
        let asks_first = !self.has_read && self.unanswered < FIRST_QUESTIONS;
        let first = asks_first.then(|| sources::first_asked(others, draw)).flatten();
        let next = || sources::read_from(own, others, self.unanswered, draw);
        first.map_or_else(next, ReadFrom::Gateway)
    }

    /// The store has told everything up to a place, or that it does not keep the one asked for.
    pub fn store_told(&mut self, place: Option<Place>) {
        self.place = place;
        self.has_read |= place.is_some();
        self.from_store &= place.is_none();
        self.unanswered = 0;
    }

    /// Another gateway has told everything up to a place.
    pub fn gateway_told(&mut self, place: Place) {
        self.place = Some(place);
        self.has_read = true;
        self.unanswered = 0;
    }

    /// A gateway that was asked has told nothing.
    pub fn gateway_did_not_tell(&mut self) {
        self.unanswered += 1;
    }
}
