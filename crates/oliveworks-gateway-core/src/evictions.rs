//! Choice of the connection of a caller that is closed when there are too many of them, or when they
//! use up the memory for requests.
//!
//! Callers that behave send a request at once and read its answer at once. A connection that does
//! neither is closed first, and one whose request is being handled is never closed: it has its own
//! deadline. Rejected: refusing new connections at the limit, because a crowd of connections that
//! stay open would shut out everyone else.

use crate::Millis;

/// Time after which a connection counts as stalled, in ms: longer than several round trips with a
/// lost packet. A connection can stall while a head arrives, while a body arrives slowly, and while
/// the caller takes nothing of an answer.
const STALLED_MS: u64 = 1_000;
/// Rate below which a body arrives slowly, in bytes per ms. A body of 4 MB takes a minute at it.
const SLOW_BODY_BYTES_PER_MS: u64 = 64;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No byte of a request has arrived.
    Idle {
        /// Whether a request has been answered on the connection.
        is_used: bool,
    },
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving.
    Body {
        /// Number of bytes that have arrived.
        bytes: u64,
    },
    /// What was written of an answer has not been taken by the caller yet.
    Blocked,
    /// The last answer has been written, and the caller has not closed the connection yet.
    Closing,
    /// A request is being handled.
    Busy,
}

/// A connection that may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenConnection {
    /// Number of the connection.
    pub id: u64,
    /// What the connection is doing.
    pub activity: Activity,
    /// Time at which it began to do so.
    pub since: Millis,
}

/// Order in which connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Stalled,
    Closing,
    Unused,
    Idle,
    Arriving,
    Delivering,
}

impl OpenConnection {
    fn is_stalled(&self, now: Millis) -> bool {
        let elapsed_ms = now.saturating_sub(self.since);
        let is_slow = match self.activity {
            Activity::Idle { .. } | Activity::Closing | Activity::Busy => false,
            Activity::Head | Activity::Blocked => true,
            Activity::Body { bytes } => bytes < elapsed_ms.saturating_mul(SLOW_BODY_BYTES_PER_MS),
        };
        is_slow && elapsed_ms >= STALLED_MS
    }

    fn rank(&self, now: Millis) -> Option<Rank> {
        match self.activity {
            _ if self.is_stalled(now) => Some(Rank::Stalled),
            Activity::Closing => Some(Rank::Closing),
            Activity::Idle { is_used: false } => Some(Rank::Unused),
            Activity::Idle { is_used: true } => Some(Rank::Idle),
            Activity::Head | Activity::Body { .. } => Some(Rank::Arriving),
            Activity::Blocked => Some(Rank::Delivering),
            Activity::Busy => None,
        }
    }
}

/// Returns the connection to close so that another one can be accepted; `None` if all of them are
/// being served.
pub fn choose(now: Millis, connections: impl IntoIterator<Item = OpenConnection>) -> Option<u64> {
    let ranked = connections.into_iter().filter_map(|connection| {
        let rank = connection.rank(now)?;
        Some((rank, connection.since, connection.id))
    });
    ranked.min().map(|(_, _, id)| id)
}

/// Returns the connection that has been stalled for longest, which keeps memory or a backend server
/// from other callers.
pub fn choose_stalled(
    now: Millis,
    connections: impl IntoIterator<Item = OpenConnection>,
) -> Option<u64> {
    let stalled = connections.into_iter().filter(|connection| connection.is_stalled(now));
    stalled.min_by_key(|connection| connection.since).map(|connection| connection.id)
}
