//! HTTP answers for refusals.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use oliveworks_core::error::Refusal;
use oliveworks_core::id::RequestId;
use serde_json::{Value, json};

/// Returns the JSON body of a refusal, in the format that client libraries of the chat protocol
/// parse.
pub fn error_body(refusal: &Refusal) -> Value {
    let answer = refusal.kind.answer();
    json!({"error": {
        "message": refusal.message,
        "type": answer.class,
        "code": answer.code,
        "param": null,
        "ran": refusal.ran,
        "retry": answer.retry,
        "retry_after_ms": refusal.retry_after_ms,
    }})
}

/// Header with the id of a request, for use with `oliveworksctl explain`.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Returns the HTTP answer of a refusal. `request` is the id of the request, if one was assigned.
pub fn refusal(refusal: &Refusal, request: Option<RequestId>) -> HttpResponse {
    let status = StatusCode::from_u16(refusal.kind.answer().status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    if let Some(ms) = refusal.retry_after_ms {
        response.header("retry-after", ms.div_ceil(1000).max(1).to_string());
    }
    response.header("x-ran", refusal.ran.to_string());
    // Client libraries of the protocol that retry automatically obey this header.
    response.header("x-should-retry", refusal.kind.answer().retry.to_string());
    if let Some(request) = request {
        response.header(REQUEST_HEADER, request.to_string());
    }
    response.json(&error_body(refusal))
}
