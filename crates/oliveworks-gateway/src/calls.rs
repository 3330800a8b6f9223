//! How many calls to backend servers this system makes at once on its own behalf.
//!
//! A leader that takes over asks each backend server, thousands of them. A connection and its buffers for each at the same
//! time would need several times the memory that a gateway has otherwise, and a process whose share of a core is small
//! would read the first answers after the time that it gives them. So calls wait for a place, in the order in which they
//! come. Orders have places of their own: a question to a backend server that is gone takes its whole time.

use tokio::sync::{Semaphore, SemaphorePermit};

/// Calls of one kind under way at once: enough for ten thousand a second at a few ms each.
const AT_ONCE: usize = 64;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It asks for a state.
    Question,
    /// It changes one.
    Order,
}

/// The places for calls.
pub struct Calls {
    questions: Semaphore,
    orders: Semaphore,
}

impl Default for Calls {
    fn default() -> Calls {
        Calls { questions: Semaphore::new(AT_ONCE), orders: Semaphore::new(AT_ONCE) }
    }
}

impl Calls {
    /// Waits for a place; none comes if the process ends.
    pub async fn place(&self, kind: CallKind) -> Option<SemaphorePermit<'_>> {
        let places = match kind {
            CallKind::Question => &self.questions,
            CallKind::Order => &self.orders,
        };
        places.acquire().await.ok()
    }
}
