//! The process's clocks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oliveworks_core::id::Millis;
use rustix::time::{ClockId, clock_gettime};

/// For how long a machine was suspended, in ms, as a test tells its clock.
#[derive(Debug, Default)]
pub struct Suspensions(AtomicU64);

impl Suspensions {
    /// The machine was suspended for so long, in ms, up to now.
    pub fn add(&self, ms: u64) {
        self.0.fetch_add(ms, Ordering::Relaxed);
    }
}

/// A clock that starts with the process, never goes back, and goes on while the machine is suspended.
///
/// What a process knows grows old in a suspension as well: leases run out, callers give up, others take over.
/// Rejected: the steady clock (`Instant`), which stands still meanwhile, and the time of day, which is set back and forth.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
    suspensions: Option<&'static Suspensions>,
}

impl Clock {
    /// Starts the clock.
    #[expect(clippy::new_without_default, reason = "starting a clock is not a default value")]
    pub fn new() -> Clock {
        Clock { start: since_boot(), suspensions: None }
    }

    /// Starts the clock of a machine that is suspended when a test says so.
    pub fn of_machine(suspensions: &'static Suspensions) -> Clock {
        Clock { suspensions: Some(suspensions), ..Clock::new() }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        let suspended_ms = self.suspensions.map_or(0, |told| told.0.load(Ordering::Relaxed));
        let passed = since_boot().saturating_sub(self.start);
        Millis(passed.as_millis() as u64 + suspended_ms)
    }
}

/// The time since the machine started, with all suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// The wall clock, in milliseconds since 1970. For people and callers' keys, never for leases.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
