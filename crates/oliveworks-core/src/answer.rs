//! Assembly of an answer at the entry.
//!
//! Every piece carries the id of its attempt and its own number. Duplicates and pieces of another
//! request or attempt are dropped. A piece that leaves a gap ends the attempt. An answer is
//! complete only after its explicit end, which states the number of pieces.

use serde::{Deserialize, Serialize};

use crate::id::RequestId;

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Id of the request.
    pub request: RequestId,
    /// Random number of the attempt.
    pub attempt: u64,
}

/// Decision on a received piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceAction {
    /// Pass the piece on.
    Pass,
    /// Drop the piece: it was passed on before, or belongs to another attempt.
    Drop,
    /// End this attempt: an earlier piece is missing.
    Gap,
}

/// Pieces of one request's answer, across all attempts.
#[derive(Clone, Debug)]
pub struct Assembly {
    current: AttemptId,
    passed: u64,
    complete: bool,
}

impl Assembly {
    /// Returns an assembly that has received nothing.
    pub fn new(current: AttemptId) -> Assembly {
        Assembly { current, passed: 0, complete: false }
    }

    /// Returns the number of pieces passed on. The next attempt continues after them.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// Returns whether the end has arrived and no piece is missing.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Continues with another attempt after the pieces that were passed on.
    pub fn retry(&mut self, attempt: u64) {
        self.current.attempt = attempt;
    }

    /// Handles the piece `number`, counted from zero across all attempts.
    pub fn piece(&mut self, from: AttemptId, number: u64) -> PieceAction {
        if from != self.current || self.complete || number < self.passed {
            return PieceAction::Drop;
        }
        if number > self.passed {
            return PieceAction::Gap;
        }
        self.passed += 1;
        PieceAction::Pass
    }

    /// Handles the end, which states the total number of pieces.
    pub fn end(&mut self, from: AttemptId, pieces: u64) -> PieceAction {
        if from != self.current || self.complete {
            return PieceAction::Drop;
        }
        if pieces != self.passed {
            return PieceAction::Gap;
        }
        self.complete = true;
        PieceAction::Pass
    }
}
