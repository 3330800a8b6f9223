//! Departures of backend servers, told between the gateways that read the list of them.
//!
//! One gateway of each failure domain reads the list every few seconds. Without reports, a backend
//! server that has left is removed from the tables of one failure domain seconds after those of
//! another. So heartbeats carry the position after the newest record of a departure, and a reader
//! that has not read as far reads the list at once. Rejected alternative: departures themselves in
//! heartbeats, which would need an order between two sources of the same records.

use crate::position::Position;

/// Newest departure known to any gateway, as far as this one has heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    newest: Option<Position>,
}

impl Departures {
    /// Returns the position after the record of the newest departure, which is to be reported.
    pub fn newest(&self) -> Option<Position> {
        self.newest
    }

    /// Records that this gateway has read of a departure, up to a position. Returns whether that is
    /// new to the others.
    pub fn read(&mut self, position: Position) -> bool {
        let is_new = self.newest < Some(position);
        self.newest = self.newest.max(Some(position));
        is_new
    }

    /// Records the report of another gateway. Returns whether to read the list now, given the
    /// position up to which this gateway has read it.
    pub fn reported(&mut self, position: Position, read_to: Option<Position>) -> bool {
        let is_new = self.read(position);
        is_new && read_to.is_some_and(|read| read.era == position.era && read < position)
    }
}
