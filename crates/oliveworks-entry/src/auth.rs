//! Authentication of callers.

use ntex::http::header::HeaderMap;
use oliveworks_core::error::{ErrorKind, Ran, Refusal};
use oliveworks_platform::sign::token_digest;

use crate::process::Entry;
use crate::state::Caller;

/// Returns the bearer token of a request.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Returns the owner of a request's token. Tokens are looked up by digest so that the duration of
/// the lookup reveals nothing about the tokens.
pub fn caller(entry: &Entry, headers: &HeaderMap) -> Result<Caller, Refusal> {
    let refuse = |why: &str| Refusal::new(ErrorKind::Unauthorized, Ran::No, why);
    let token = bearer(headers).ok_or_else(|| refuse("a bearer token is needed"))?;
    let digest = token_digest(token);
    let core = entry.core();
    core.tokens.get(&digest).cloned().ok_or_else(|| refuse("the token is not known"))
}
