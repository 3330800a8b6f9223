//! Bytes that have arrived from a backend server and are of no use to the caller so far: an
//! incomplete head or event, or complete events that the caller does not lack.

use crate::Millis;

/// Longest time for which bytes of the same head or event may keep arriving, in ms.
const UNFINISHED_MAX_MS: u64 = 2_000;
/// Largest number of bytes without news, in bytes.
const WITHOUT_NEWS_MAX: usize = 16 << 20;
/// Longest part of a pause between two arrivals that counts, in ms. A sound host may fall silent at
/// any point and continue later.
const COUNTED_PAUSE_MAX_MS: u64 = 100;

/// The bound that a head or an event exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unbounded {
    /// More bytes arrived than allowed.
    Bytes,
    /// Bytes kept arriving for longer than allowed.
    Time,
}

/// Arrivals of bytes since the last useful ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrivals {
    bytes: usize,
    /// Time for which bytes kept arriving, in ms.
    duration_ms: u64,
    last_at: Option<Millis>,
}

impl Arrivals {
    /// Records that bytes arrived.
    pub fn record(&mut self, now: Millis, bytes: usize) {
        let pause_ms = now.saturating_sub(self.last_at.unwrap_or(now));
        self.bytes += bytes;
        self.duration_ms += pause_ms.min(COUNTED_PAUSE_MAX_MS);
        self.last_at = Some(now);
    }

    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Checks the bounds of an incomplete head or event.
    ///
    /// # Errors
    /// Returns the bound that is exceeded.
    pub fn check_unfinished(&self, max_bytes: usize) -> Result<(), Unbounded> {
        if self.bytes > max_bytes {
            return Err(Unbounded::Bytes);
        }
        match self.duration_ms > UNFINISHED_MAX_MS {
            true => Err(Unbounded::Time),
            false => Ok(()),
        }
    }

    /// Checks the bound of bytes without news.
    ///
    /// # Errors
    /// Returns an error if it is exceeded.
    pub fn check_without_news(&self) -> Result<(), Unbounded> {
        match self.bytes > WITHOUT_NEWS_MAX {
            true => Err(Unbounded::Bytes),
            false => Ok(()),
        }
    }
}
