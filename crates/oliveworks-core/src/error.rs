//! Error kinds, a closed list, and the table that maps each kind to its answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Reason why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ErrorKind {
    /// The request cannot be parsed: broken JSON, a missing or invalid field.
    BadRequest,
    /// The body or the headers exceed the limit.
    TooLarge,
    /// The caller sent too slowly.
    TooSlow,
    /// The token is missing or unknown.
    Unauthorized,
    /// The token's workspace may not use the requested resource.
    Forbidden,
    /// No template serves this model or service.
    NotFound,
    /// The workspace or the pool is overloaded.
    Overloaded,
    /// No replica group can serve at the moment.
    Unavailable,
    /// The deadline passed or cannot be met.
    DeadlineExceeded,
    /// Contact was lost after the request was handed over.
    ContactLost,
    /// The key was used before, and its outcome is not known here.
    OutcomeForgotten,
    /// The key was used before. The request ran, and its answer is not kept.
    AnswerGone,
    /// The key was used before for a different request.
    KeyReused,
    /// The same request is running now.
    InProgress,
    /// The backend server returned an invalid answer.
    BackendFailed,
    /// The caller disconnected.
    Cancelled,
    /// Fault of this program.
    Internal,
}

/// Whether a rejected request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Proved not to have run.
    No,
    /// The request ran.
    Yes,
    /// Not known whether the request ran.
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        })
    }
}

/// Answer to the caller for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Error kind.
    pub kind: ErrorKind,
    /// Name of the kind in answers, logs and metrics.
    pub code: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Error class that client libraries of the chat protocol expect in `error.type`.
    pub class: &'static str,
    /// Whether the same request may succeed later.
    pub retry: bool,
    /// Default time after which to retry, in seconds, where nothing better is known. Zero is not
    /// sent.
    pub retry_after: u32,
}

const fn answer(
    kind: ErrorKind,
    code: &'static str,
    status: u16,
    class: &'static str,
    retry: bool,
    retry_after: u32,
) -> Answer {
    Answer { kind, code, status, class, retry, retry_after }
}

/// Answers of all kinds.
pub const ANSWERS: [Answer; 17] = [
    answer(ErrorKind::BadRequest, "bad_request", 400, "invalid_request_error", false, 0),
    answer(ErrorKind::TooLarge, "too_large", 413, "invalid_request_error", false, 0),
    answer(ErrorKind::TooSlow, "too_slow", 408, "invalid_request_error", true, 0),
    answer(ErrorKind::Unauthorized, "unauthorized", 401, "authentication_error", false, 0),
    answer(ErrorKind::Forbidden, "forbidden", 403, "permission_error", false, 0),
    answer(ErrorKind::NotFound, "not_found", 404, "not_found_error", false, 0),
    answer(ErrorKind::Overloaded, "overloaded", 429, "rate_limit_error", true, 1),
    answer(ErrorKind::Unavailable, "unavailable", 503, "server_error", true, 2),
    answer(ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, "server_error", true, 0),
    answer(ErrorKind::ContactLost, "contact_lost", 502, "server_error", true, 1),
    answer(ErrorKind::OutcomeForgotten, "outcome_forgotten", 409, "conflict_error", false, 0),
    answer(ErrorKind::AnswerGone, "answer_gone", 409, "conflict_error", false, 0),
    answer(ErrorKind::KeyReused, "key_reused", 422, "invalid_request_error", false, 0),
    answer(ErrorKind::InProgress, "in_progress", 409, "conflict_error", true, 1),
    answer(ErrorKind::BackendFailed, "backend_failed", 502, "server_error", true, 1),
    answer(ErrorKind::Cancelled, "cancelled", 499, "invalid_request_error", false, 0),
    answer(ErrorKind::Internal, "internal", 500, "server_error", false, 0),
];

impl ErrorKind {
    /// Returns the row of the kind in [`ANSWERS`].
    pub fn answer(self) -> &'static Answer {
        ANSWERS.iter().find(|a| a.kind == self).expect("every kind has a row")
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().code)
    }
}

/// Refusal of a request, or of one attempt at it. The entry may make another attempt after the
/// refusal of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Error kind.
    pub kind: ErrorKind,
    /// Whether the request ran. [`Ran::No`] is used only if this is proved.
    pub ran: Ran,
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: Option<u32>,
    /// Human-readable message.
    pub message: String,
}

impl Refusal {
    /// Returns a refusal with the kind's default retry time.
    pub fn new(kind: ErrorKind, ran: Ran, message: impl Into<String>) -> Refusal {
        let seconds = kind.answer().retry_after;
        let retry_after_ms = (seconds > 0).then_some(seconds * 1000);
        Refusal { kind, ran, retry_after_ms, message: message.into() }
    }

    /// Returns the refusal with a more accurate retry time.
    pub fn with_retry_after(mut self, ms: u32) -> Refusal {
        self.retry_after_ms = Some(ms);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (ran: {}): {}", self.kind, self.ran, self.message)
    }
}

impl std::error::Error for Refusal {}
