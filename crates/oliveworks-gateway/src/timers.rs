//! Timers that include the time in which the host was suspended.
//!
//! The runtime's timers use the monotonic clock, which stops during a suspension: a timer that was
//! set before a suspension fires late by the duration of that suspension. Tasks with long waits are
//! therefore also notified when the process continues after a pause, and then check the gateway's
//! own clock.

use std::pin::pin;
use std::time::Duration;

use tokio::time::sleep;

use crate::state::Gateway;

/// Error for a wait whose time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl Gateway {
    /// Waits for a future for at most `ms`.
    ///
    /// # Errors
    /// Returns an error if the time is over first.
    pub async fn within<T>(&self, ms: u64, waits: impl Future<Output = T>) -> Result<T, Elapsed> {
        let until = self.now() + ms;
        let mut waits = pin!(waits);
        loop {
            let resumed = self.resumed.notified();
            let left = Duration::from_millis(until.saturating_sub(self.now()));
            tokio::select! {
                biased;
                value = &mut waits => return Ok(value),
                () = sleep(left) => return Err(Elapsed),
                () = resumed => {}
            }
        }
    }

    /// Waits for a future unless the process continues after a pause. The caller then repeats its
    /// request.
    pub async fn unless_resumed<T>(&self, waits: impl Future<Output = T>) -> Option<T> {
        let resumed = self.resumed.notified();
        tokio::select! {
            biased;
            value = waits => Some(value),
            () = resumed => None,
        }
    }
}
