//! Memory that the connections of callers share for one purpose, with a limit on their sum.

use std::cell::Cell;
use std::rc::Rc;

/// Memory for one purpose, with a limit on the sum of its shares.
#[derive(Debug)]
pub struct MemoryBudget {
    max: usize,
    held: Cell<usize>,
    peak: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget of at most `max` bytes.
    pub fn new(max: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget { max, held: Cell::new(0), peak: Cell::new(0) })
    }

    /// Returns the number of bytes that are held, and the most that were.
    pub fn held_and_peak(&self) -> (usize, usize) {
        (self.held.get(), self.peak.get())
    }

    /// Creates an empty share of the memory.
    pub fn share(self: &Rc<MemoryBudget>) -> MemoryShare {
        MemoryShare { budget: self.clone(), bytes: 0 }
    }
}

/// Error for a share that cannot grow because the budget is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// Memory that is held until it is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryShare {
    /// Grows to `bytes`, if it is smaller.
    ///
    /// # Errors
    /// Returns an error if all shares together would exceed the limit; the share is unchanged.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let held = self.budget.held.get() + bytes.saturating_sub(self.bytes);
        if held > self.budget.max {
            return Err(OutOfMemory);
        }
        self.budget.held.set(held);
        self.budget.peak.set(self.budget.peak.get().max(held));
        self.bytes = self.bytes.max(bytes);
        Ok(())
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held.get() - self.bytes);
    }
}
