//! The body of a request or an answer while it arrives.

use std::rc::Rc;

use bytes::Bytes;

use crate::memory_budget::{MemoryBudget, MemoryShare, OutOfMemory};

/// Size up to which a body is read before its request is judged, in bytes. The connection of a
/// request that is rejected later can go on only if its body was read.
const READ_UNJUDGED_MAX: usize = 16 << 10;
/// Smallest capacity of a body whose length is not known, in bytes.
const CAPACITY_MIN: usize = 1 << 10;

/// Bytes of a body, and the memory that they hold.
///
/// Bodies up to `READ_UNJUDGED_MAX` take no memory of the budget, so that small requests are read
/// when large ones use it up; the limit on connections covers them.
pub struct ArrivingBody {
    bytes: Vec<u8>,
    share: MemoryShare,
}

impl ArrivingBody {
    /// Creates an empty body.
    pub fn new(memory: &Rc<MemoryBudget>) -> ArrivingBody {
        ArrivingBody { bytes: Vec::new(), share: memory.share() }
    }

    /// Returns the length of the body with `more` bytes.
    pub fn length_with(&self, more: usize) -> usize {
        self.bytes.len() + more
    }

    /// Returns whether a body of a length is too long to be read before its request is judged.
    pub fn requires_judgement(length: usize) -> bool {
        length > READ_UNJUDGED_MAX
    }

    /// Reserves memory for a body whose length is known. Rejected alternative: memory for what has
    /// arrived alone. Many bodies at once would all begin and none would be completed.
    ///
    /// # Errors
    /// Returns an error if the memory for bodies is used up.
    pub fn reserve(&mut self, length: usize) -> Result<(), OutOfMemory> {
        if length > READ_UNJUDGED_MAX {
            self.share.grow_to(length)?;
        }
        if length > self.bytes.capacity() {
            self.bytes.reserve_exact(length - self.bytes.len());
        }
        Ok(())
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// Returns an error if the memory for bodies is used up.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), OutOfMemory> {
        let length = self.length_with(bytes.len());
        if length > self.bytes.capacity() {
            self.reserve(length.max(2 * self.bytes.capacity()).max(CAPACITY_MIN))?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the body, and the memory that it holds.
    pub fn into_parts(self) -> (Bytes, MemoryShare) {
        (self.bytes.into(), self.share)
    }
}
