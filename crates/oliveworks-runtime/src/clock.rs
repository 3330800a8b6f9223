//! Clocks of a process: a monotonic clock that includes suspensions, and the wall clock.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oliveworks_core::id::Millis;
use rustix::time::{ClockId, clock_gettime};

/// Total simulated suspension time of a host, in ms. Set by tests.
#[derive(Debug, Default)]
pub struct Suspensions(AtomicU64);

impl Suspensions {
    /// Adds a suspension of `ms` milliseconds that has just ended.
    pub fn add(&self, ms: u64) {
        self.0.fetch_add(ms, Ordering::Relaxed);
    }
}

/// A monotonic clock that starts with the process and advances while the host is suspended.
///
/// The state that a process holds becomes stale during a suspension too: leases expire, callers
/// time out, and other processes take over. Rejected alternatives: `Instant`, which does not
/// advance during a suspension, and the wall clock, which can be set forwards and backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
    suspensions: Option<&'static Suspensions>,
}

impl Clock {
    /// Starts a clock at zero.
    #[expect(clippy::new_without_default, reason = "starting a clock is not a default value")]
    pub fn new() -> Clock {
        Clock { start: since_boot(), suspensions: None }
    }

    /// Starts a clock at zero that also advances by the simulated suspensions of a test.
    pub fn of_machine(suspensions: &'static Suspensions) -> Clock {
        Clock { suspensions: Some(suspensions), ..Clock::new() }
    }

    /// Returns the time since the start of the clock, in ms, including suspensions.
    pub fn now(&self) -> Millis {
        let suspended_ms =
            self.suspensions.map_or(0, |simulated| simulated.0.load(Ordering::Relaxed));
        let elapsed = since_boot().saturating_sub(self.start);
        Millis(elapsed.as_millis() as u64 + suspended_ms)
    }
}

/// Returns the time since the boot of the host, including suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns the processor time that the process has taken, in ms.
pub fn processor_ms() -> u64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32).as_millis() as u64
}

/// Returns the wall-clock time, in milliseconds since 1970. For timestamps that people read and for
/// callers' keys, never for leases.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
