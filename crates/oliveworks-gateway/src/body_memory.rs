//! Memory for the bodies of requests, which all connections of callers share.

use std::cell::Cell;
use std::rc::Rc;

/// Memory for bodies, with a limit on their sum.
#[derive(Debug)]
pub struct BodyMemory {
    max: usize,
    held: Cell<usize>,
    peak: Cell<usize>,
}

impl BodyMemory {
    /// Creates an account of at most `max` bytes.
    pub fn new(max: usize) -> Rc<BodyMemory> {
        Rc::new(BodyMemory { max, held: Cell::new(0), peak: Cell::new(0) })
    }

    /// Returns the number of bytes that are held, and the most that were.
    pub fn held_and_peak(&self) -> (usize, usize) {
        (self.held.get(), self.peak.get())
    }

    /// Creates an empty share of the memory.
    pub fn share(self: &Rc<BodyMemory>) -> BodyShare {
        BodyShare { memory: self.clone(), bytes: 0 }
    }
}

/// Error for a share that cannot grow because the memory is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// Memory that is held for one body, until it is dropped.
#[derive(Debug)]
pub struct BodyShare {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl BodyShare {
    /// Grows to `bytes`, if it is smaller.
    ///
    /// # Errors
    /// Returns an error if all shares together would exceed the limit; the share is unchanged.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let held = self.memory.held.get() + bytes.saturating_sub(self.bytes);
        if held > self.memory.max {
            return Err(OutOfMemory);
        }
        self.memory.held.set(held);
        self.memory.peak.set(self.memory.peak.get().max(held));
        self.bytes = self.bytes.max(bytes);
        Ok(())
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.memory.held.set(self.memory.held.get() - self.bytes);
    }
}
