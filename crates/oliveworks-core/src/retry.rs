//! Retry budgets and circuit breakers, which bound the cost of retries.

use crate::id::Millis;

/// Budget that limits retries to a fraction of the requests, so that retries never multiply an
/// overload.
///
/// A token bucket in hundredths: each request adds `percent`, each retry removes 100.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    hundredths: u32,
    max: u32,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new(percent: u32, max_retries: u32) -> RetryBudget {
        RetryBudget { percent, hundredths: max_retries * 100, max: max_retries * 100 }
    }

    /// Records that a request was sent for the first time.
    pub fn record_request(&mut self) {
        self.hundredths = (self.hundredths + self.percent).min(self.max);
    }

    /// Takes one retry out of the budget. Returns whether the retry is allowed.
    pub fn try_take(&mut self) -> bool {
        if self.hundredths < 100 {
            return false;
        }
        self.hundredths -= 100;
        true
    }
}

/// Circuit breaker that keeps requests away from a failing group.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    open_until: Millis,
}

/// Number of consecutive failures that open a breaker.
const OPEN_AFTER: u32 = 2;
/// Time for which a breaker stays open at first, in milliseconds.
const OPEN_MS: u64 = 500;
/// Maximum time for which a breaker stays open, in milliseconds.
const OPEN_MAX_MS: u64 = 8_000;

impl Breaker {
    /// Returns whether requests may be sent. A breaker whose open time has passed lets requests
    /// through.
    pub fn allows(&self, now: Millis) -> bool {
        now >= self.open_until
    }

    /// Records a successful attempt.
    pub fn success(&mut self) {
        *self = Breaker::default();
    }

    /// Records an attempt that failed because of the group.
    pub fn failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= OPEN_AFTER {
            let doublings = (self.failures - OPEN_AFTER).min(8);
            self.open_until = now.plus((OPEN_MS << doublings).min(OPEN_MAX_MS));
        }
    }
}
