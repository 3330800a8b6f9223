//! Whether an answer came in time, and if not, why.
//!
//! An answer is in time if it begins within its goal and no pause in it is longer than its route allows.
//! Callers who have come back are late whatever their answer takes, since the goal counts from the first
//! try.

/// How an answer came about; times are in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Whether the caller had been refused or failed before.
    pub came_back: bool,
    /// From the request to when it was first sent to a backend server.
    pub sent_after_ms: u64,
    /// From the request to the first event of a stream, or to a whole answer.
    pub first_after_ms: u64,
    /// The longest pause between two parts of a stream.
    pub longest_gap_ms: u64,
    /// How often it was sent.
    pub sends: u32,
}

/// What an answer should keep to, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Goal {
    /// The time to its beginning.
    pub first_ms: u64,
    /// The longest pause, if the route bounds it.
    pub gap_ms: Option<u64>,
}

/// Whether an answer came in time, or the first reason why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Timeliness {
    /// It came in time.
    InTime,
    /// Its caller had come back.
    CameBack,
    /// It was sent to more than one backend server.
    SentAgain,
    /// It would have begun in time, had it not waited for a place.
    Waited,
    /// It was sent at once, and began late.
    BeganLate,
    /// It paused for too long.
    Paused,
}

impl Timeliness {
    /// Judges an answer.
    pub fn of(served: &Served, goal: Goal) -> Timeliness {
        let begins_late = served.first_after_ms > goal.first_ms;
        let pauses = goal.gap_ms.is_some_and(|gap_ms| served.longest_gap_ms > gap_ms);
        let at_the_server_ms = served.first_after_ms.saturating_sub(served.sent_after_ms);
        match (begins_late, pauses) {
            _ if served.came_back => Timeliness::CameBack,
            (false, false) => Timeliness::InTime,
            _ if served.sends > 1 => Timeliness::SentAgain,
            (true, _) if at_the_server_ms <= goal.first_ms => Timeliness::Waited,
            (true, _) => Timeliness::BeganLate,
            (false, true) => Timeliness::Paused,
        }
    }

    /// What the log says of it.
    pub fn outcome(self) -> &'static str {
        match self {
            Timeliness::InTime => "served",
            Timeliness::CameBack => "served late: came back",
            Timeliness::SentAgain => "served late: sent again",
            Timeliness::Waited => "served late: waited",
            Timeliness::BeganLate => "served late: began late",
            Timeliness::Paused => "served late: paused",
        }
    }

    /// The name of its counter.
    pub fn counter(self) -> &'static str {
        match self {
            Timeliness::InTime => "served_in_time",
            Timeliness::CameBack => "served_late_came_back",
            Timeliness::SentAgain => "served_late_sent_again",
            Timeliness::Waited => "served_late_waited",
            Timeliness::BeganLate => "served_late_began_late",
            Timeliness::Paused => "served_late_paused",
        }
    }
}
