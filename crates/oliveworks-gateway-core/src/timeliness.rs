//! Timeliness: classifies answers as in time or late, with the reason.
//!
//! An answer is in time if it begins within its goal and no gap in it is longer than its route
//! allows. Answers to returning callers are always late, because the goal counts from the first
//! attempt.

/// The course of an answer. Times are in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Whether an earlier attempt of the caller was refused or failed.
    pub came_back: bool,
    /// Time from the arrival of the request to its first send to a backend server.
    pub sent_after_ms: u64,
    /// Time from the arrival of the request to the first event of a stream, or to a complete
    /// answer.
    pub first_after_ms: u64,
    /// Longest gap between two parts of a stream.
    pub longest_gap_ms: u64,
    /// Number of times that the request was sent.
    pub sends: u32,
}

/// The time limits of an answer, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Goal {
    /// Time limit for the beginning of the answer.
    pub first_ms: u64,
    /// Maximum gap, if the route limits it.
    pub gap_ms: Option<u64>,
}

/// Whether an answer was in time, or the first reason why it was late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Timeliness {
    /// The answer was in time.
    InTime,
    /// The caller was returning after a refusal or failure.
    CameBack,
    /// The request was sent to more than one backend server.
    SentAgain,
    /// The answer would have begun in time without the wait for a place.
    Waited,
    /// The answer began late even without the time before the first send.
    BeganLate,
    /// A gap in the answer was too long.
    Paused,
}

impl Timeliness {
    /// Classifies an answer.
    pub fn of(served: &Served, goal: Goal) -> Timeliness {
        let is_late = served.first_after_ms > goal.first_ms;
        let has_long_gap = goal.gap_ms.is_some_and(|gap_ms| served.longest_gap_ms > gap_ms);
        let server_ms = served.first_after_ms.saturating_sub(served.sent_after_ms);
        match (is_late, has_long_gap) {
            _ if served.came_back => Timeliness::CameBack,
            (false, false) => Timeliness::InTime,
            _ if served.sends > 1 => Timeliness::SentAgain,
            (true, _) if server_ms <= goal.first_ms => Timeliness::Waited,
            (true, _) => Timeliness::BeganLate,
            (false, true) => Timeliness::Paused,
        }
    }

    /// Returns the outcome for the log.
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

    /// Returns the name of the counter for this outcome.
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
