//! Timers that count a suspension of the machine.
//!
//! The runtime's timers go by the steady clock, which stands still meanwhile: one that was set before fires so much later. So
//! whatever waits for long also hears when the process goes on after a pause, and looks at the gateway's own clock.

use std::pin::pin;
use std::time::Duration;

use tokio::time::sleep;

use crate::state::Gateway;

/// The time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl Gateway {
    /// Waits for something for so long at the most, in ms.
    ///
    /// # Errors
    /// If that time is over before.
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

    /// Waits for something unless the process goes on after a pause: what was asked before is asked anew then.
    pub async fn unless_resumed<T>(&self, waits: impl Future<Output = T>) -> Option<T> {
        let resumed = self.resumed.notified();
        tokio::select! {
            biased;
            value = waits => Some(value),
            () = resumed => None,
        }
    }
}
