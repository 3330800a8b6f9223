//! Order of the events of a stream: which events of a run are relayed, and whether another run may
//! continue the stream.
//!
//! A run is the processing of a request by one backend server. Its connection neither loses nor
//! repeats events, so the events of a single run are relayed whatever their ids say. Ids are needed
//! only to join two runs. For that, the id of the last relayed event has to be the one that its
//! place in the run implies, since a backend server may send a wrong id.
//!
//! Rejected alternatives:
//!
//! - Skipping all events up to the highest id that was relayed. One wrong id removes the events
//!   after it, and the stream looks complete.
//! - Holding each event until the next one confirms its id. That delays every stream.

use crate::events::Event;

/// Number of events that show how the ids of a run rise.
const SHOWN_BY: u64 = 3;

/// How the ids of streams rise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Numbering {
    /// Id of the first event.
    pub first: u64,
    /// Difference between the ids of two consecutive events.
    pub step: u64,
}

impl Default for Numbering {
    fn default() -> Numbering {
        Numbering { first: 1, step: 1 }
    }
}

impl Numbering {
    /// Returns the id of the event with this index, counted from 0.
    fn id(self, index: u64) -> Option<u64> {
        self.step.checked_mul(index)?.checked_add(self.first)
    }

    /// Returns the numbering of the events after `last`.
    fn after(self, last: u64) -> Numbering {
        Numbering { first: last.saturating_add(self.step), ..self }
    }
}

/// Position of the caller in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// Nothing was relayed. The caller may have named the last event that it has.
    Begin(Option<u64>),
    /// All events up to an id were relayed.
    After {
        /// Id of the last event.
        last: u64,
        /// Difference between the ids of two consecutive events.
        step: u64,
    },
    /// The id of the last relayed event may be wrong, or is missing. No other run may continue the
    /// stream.
    Unknown,
}

impl Position {
    /// Returns the id of the last event that the caller has, if it is known.
    pub fn last_event(self) -> Option<u64> {
        match self {
            Position::Begin(named) => named,
            Position::After { last, .. } => Some(last),
            Position::Unknown => None,
        }
    }

    /// Returns whether another run may continue the stream.
    pub fn is_known(self) -> bool {
        self != Position::Unknown
    }
}

/// The error for a run that is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutOfOrder {
    /// Ids fall, or repeat, more than once.
    Falling,
    /// The run does not continue the stream where another run ended.
    NotContinuing,
}

/// Where a run starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// At the first event of the stream.
    Stream,
    /// After an event that the caller has named.
    Named,
    /// After an event that another run ended with.
    Joined,
}

/// The events of a run in their order.
#[derive(Clone, Debug)]
pub struct EventOrder {
    position: Position,
    /// Ids that the events are expected to have.
    numbering: Numbering,
    start: Start,
    /// Id of the last event of another run that this one is to continue, until it does.
    to_continue: Option<u64>,
    /// Number of relayed events.
    relayed: u64,
    /// Number of relayed events with the expected id.
    expected: u64,
    /// Ids of the first two relayed events, if they have one.
    first_ids: [Option<u64>; 2],
    /// Id of the last event that has one.
    last_id: Option<u64>,
    /// Event whose id falls, until the next event shows that ids go on rising.
    held: Option<Event>,
    has_fallen: bool,
}

impl EventOrder {
    /// Creates the order of a run for a caller at a position. `usual` is the numbering of the
    /// service's streams.
    pub fn new(position: Position, usual: Numbering) -> EventOrder {
        let (start, numbering) = match position {
            Position::After { last, step } => {
                (Start::Joined, Numbering { step, ..usual }.after(last))
            }
            Position::Begin(Some(named)) => (Start::Named, usual.after(named)),
            Position::Begin(None) | Position::Unknown => (Start::Stream, usual),
        };
        EventOrder {
            position,
            numbering,
            start,
            to_continue: position.last_event().filter(|_| start == Start::Joined),
            relayed: 0,
            expected: 0,
            first_ids: [None; 2],
            last_id: None,
            held: None,
            has_fallen: false,
        }
    }

    /// Returns the position of the caller after the relayed events.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns whether a relayed event has another id than its place in the run implies.
    pub fn is_irregular(&self) -> bool {
        self.expected < self.relayed
    }

    /// Adds the next event and returns the events that are to be relayed now.
    ///
    /// # Errors
    /// Returns an error if the run is of no further use.
    pub fn add(&mut self, event: Event) -> Result<Vec<Event>, OutOfOrder> {
        if let Some(last_relayed) = self.to_continue
            && !self.continues(last_relayed, event.id)?
        {
            return Ok(Vec::new());
        }
        let falls = matches!((self.last_id, event.id), (Some(last), Some(id)) if id <= last);
        self.last_id = event.id.or(self.last_id);
        if falls && self.has_fallen {
            return Err(OutOfOrder::Falling);
        }
        if falls {
            self.has_fallen = true;
            self.held = Some(event);
            return Ok(Vec::new());
        }
        let events: Vec<Event> = self.held.take().into_iter().chain([event]).collect();
        events.iter().for_each(|event| self.record_relayed(event.id));
        Ok(events)
    }

    /// Ends a complete run and returns the events that are still to be relayed.
    ///
    /// # Errors
    /// Returns an error if the run repeated events that the caller has and sent no others.
    pub fn end(&mut self) -> Result<Vec<Event>, OutOfOrder> {
        if self.to_continue.is_some() && self.last_id.is_some() {
            return Err(OutOfOrder::NotContinuing);
        }
        let held: Vec<Event> = self.held.take().into_iter().collect();
        held.iter().for_each(|event| self.record_relayed(event.id));
        Ok(held)
    }

    /// Returns the numbering that a complete run has shown.
    pub fn shown_numbering(&self) -> Option<Numbering> {
        let is_regular = self.relayed >= SHOWN_BY && !self.is_irregular();
        (self.start == Start::Stream && is_regular).then_some(self.numbering)
    }

    /// Returns whether an event is the first one after `last_relayed`. Events before it are
    /// repetitions, which the caller has.
    fn continues(&mut self, last_relayed: u64, id: Option<u64>) -> Result<bool, OutOfOrder> {
        let id = id.ok_or(OutOfOrder::NotContinuing)?;
        let next = match self.last_id {
            Some(last) => self.numbering.after(last).first,
            None => id,
        };
        let is_first = id == self.numbering.first;
        if id != next || (id > last_relayed && !is_first) {
            return Err(OutOfOrder::NotContinuing);
        }
        match is_first {
            true => self.to_continue = None,
            false => self.last_id = Some(id),
        }
        Ok(is_first)
    }

    fn record_relayed(&mut self, id: Option<u64>) {
        let index = self.relayed;
        self.relayed += 1;
        if let Some(own) = self.own_numbering(index, id) {
            self.numbering = own;
            self.expected = index;
        }
        if let Some(first) = usize::try_from(index).ok().and_then(|i| self.first_ids.get_mut(i)) {
            *first = id;
        }
        self.position = match id.filter(|_| id == self.numbering.id(index)) {
            Some(last) => Position::After { last, step: self.numbering.step },
            None => Position::Unknown,
        };
        self.expected += u64::from(self.position.is_known());
    }

    /// Returns the numbering of the run itself, once its first events rise by the same step.
    fn own_numbering(&self, index: u64, id: Option<u64>) -> Option<Numbering> {
        let ([Some(first), Some(second)], Some(third)) = (self.first_ids, id) else { return None };
        let step = second.checked_sub(first).filter(|step| *step > 0)?;
        let is_shown = index + 1 == SHOWN_BY && third.checked_sub(second) == Some(step);
        (is_shown && self.start != Start::Joined).then_some(Numbering { first, step })
    }
}
