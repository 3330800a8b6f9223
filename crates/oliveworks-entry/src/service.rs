//! Calls of plain services. Method, path, query, headers and body are passed on unchanged, except
//! for headers that concern only one connection.

use std::sync::Arc;

use ntex::http::HttpMessage;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};
use oliveworks_core::error::{ErrorKind, Refusal};
use oliveworks_core::ledger::Kept;
use oliveworks_core::template::Kind;
use oliveworks_net::wire::{Call, is_forwarded};
use xxhash_rust::xxh3::xxh3_64;

use crate::callers::{self, RequestOptions, Shared, refuse};
use crate::driver::{AnswerPart, Body, Driver, Job};
use crate::process::Entry;
use crate::state::Prompt;

/// Maximum size of a body that is buffered so that a retry can send it again, in bytes.
const BUFFERED_BODY_MAX: usize = 64 << 10;

/// Handles `/services/NAME/...`.
pub async fn call(entry: Shared, request: HttpRequest, body: Payload) -> HttpResponse {
    let entry: Arc<Entry> = (*entry).clone();
    let mut driver = match prepare(&entry, &request, body).await {
        Ok(driver) => driver,
        Err(refusal) => return callers::answer_refused(&entry, &refusal),
    };
    match driver.next().await {
        Ok(AnswerPart::Head(status, headers)) => stream(driver, status, &headers),
        Ok(AnswerPart::Kept(kept)) => kept_response(&kept),
        Ok(AnswerPart::Piece(_) | AnswerPart::End(..)) => {
            let refusal = Refusal::new(
                ErrorKind::BackendFailed,
                oliveworks_core::error::Ran::Unknown,
                "the answer has no head",
            );
            callers::answer_refused(&entry, &refusal)
        }
        Err(refusal) => crate::answer::refusal(&refusal, Some(driver.id())),
    }
}

/// Returns the part of the request's target after the service's name.
fn rest(request: &HttpRequest, name: &str) -> String {
    let prefix = format!("/services/{name}");
    let target = request.uri().path_and_query().map_or("/", |t| t.as_str());
    let rest = target.strip_prefix(&prefix).unwrap_or("/");
    match rest.starts_with('/') {
        true => rest.to_owned(),
        false => format!("/{rest}"),
    }
}

async fn prepare(
    entry: &Arc<Entry>,
    request: &HttpRequest,
    mut payload: Payload,
) -> Result<Driver, Refusal> {
    let caller = crate::auth::caller(entry, request.headers())?;
    let name = request.match_info().get("name").unwrap_or_default().to_owned();
    let published = callers::find_template(entry, &caller, Kind::Service, &name)?;
    let headers: Vec<(String, Vec<u8>)> = request
        .headers()
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect();
    let length: Option<usize> =
        request.headers().get("content-length").and_then(|v| v.to_str().ok()?.parse().ok());
    let chunked = request.chunked().map_err(|e| refuse(ErrorKind::BadRequest, e.to_string()))?;
    let path = rest(request, &name);
    let method = request.method().as_str().to_owned();
    let body = match length {
        None if !chunked => Body::None,
        Some(0) => Body::None,
        Some(n) if n <= BUFFERED_BODY_MAX => {
            Body::Whole(callers::read_body(entry, &mut payload).await?)
        }
        _ => Body::Stream(payload.into_inner()),
    };
    let held: &[u8] = match &body {
        Body::Whole(bytes) => bytes,
        _ => &[],
    };
    let digest = xxh3_64(&[method.as_bytes(), path.as_bytes(), held].concat());
    let options = RequestOptions::new(entry, request.headers(), &published, digest)?;
    let prompt = Prompt::default();
    let admitted = callers::admit(entry, &caller, &options, &prompt).await?;
    let has_body = !matches!(body, Body::None);
    let job = Job {
        id: options.id,
        template: options.template,
        terms: options.terms,
        key: options.key,
        priority: options.priority,
        call: Call::Service { method, path, headers, has_body },
        body,
        prompt,
    };
    Ok(Driver::new(entry.clone(), job, admitted))
}

fn kept_response(kept: &Kept) -> HttpResponse {
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    let mut response = HttpResponse::build(status);
    response.header("x-repeated", "true");
    if !kept.content_type.is_empty() {
        response.header("content-type", kept.content_type.as_str());
    }
    response.body(kept.body.clone())
}

/// Streams the service's answer. The connection is aborted if the answer ends early.
fn stream(mut driver: Driver, status: u16, headers: &[(String, Vec<u8>)]) -> HttpResponse {
    let mut response =
        HttpResponse::build(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
    for (name, value) in headers {
        response.header(name.as_str(), value.as_slice());
    }
    response.header(crate::answer::REQUEST_HEADER, driver.id().to_string());
    let (sender, receiver) = ntex::channel::mpsc::channel::<Result<Bytes, std::io::Error>>();
    ntex::rt::spawn(async move {
        loop {
            let part = match driver.next().await {
                Ok(AnswerPart::Piece(data)) => Ok(Bytes::from(data)),
                Ok(AnswerPart::End(..)) => return,
                Ok(_) => Err(std::io::Error::other("an answer with two heads")),
                Err(refusal) => Err(std::io::Error::other(refusal.to_string())),
            };
            let broken = part.is_err();
            if sender.send(part).is_err() || broken {
                return;
            }
        }
    });
    response.streaming(receiver)
}
