//! Header names and small HTTP helpers, shared by the HTTP ports, the calls to backend servers
//! and the test servers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use serde::Serialize;
use wagtailbeam_decision::account::Credential;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::notice;
use wagtailbeam_decision::quota::Rate;
use wagtailbeam_decision::quota::Statement;

/// Identifier of a request; backend servers may echo it.
pub const REQUEST: &str = "wagtailbeam-request";

/// Name of the caller, in requests to backend servers; only the tier sets it.
pub const CALLER: &str = "wagtailbeam-caller";

/// Time left to the deadline, in milliseconds.
pub const DEADLINE: &str = "wagtailbeam-deadline-ms";

/// Index version that a request wants or a response was served from.
pub const INDEX: &str = "wagtailbeam-index";

/// Identifier of a backend server's current run, in its responses.
pub const BOOT: &str = "wagtailbeam-boot";

/// Present if a backend server is draining.
pub const DRAINING: &str = "wagtailbeam-draining";

/// Present if a backend server shed the request without running it.
pub const SHED: &str = "wagtailbeam-shed";

/// Requests per second that a backend server takes from all hosts together; absent without a
/// limit.
pub const LIMIT: &str = "wagtailbeam-limit";

/// Names of the shards that a caller asks for, separated by commas.
pub const SHARDS: &str = "wagtailbeam-shards";

/// Coverage of an answer, as `answered/asked` numbers of shards.
pub const COVERAGE: &str = "wagtailbeam-coverage";

/// Present if an answer was recorded in an earlier run of the same request.
pub const REPLAYED: &str = "wagtailbeam-replayed";

/// Idempotency key: requests with the same key run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Media type of problem details (RFC 9457).
pub const PROBLEM_JSON: &str = "application/problem+json";

/// Longest key of a client account, in bytes.
const KEY_MAX_BYTES: usize = 4_096;

/// A response with its complete body.
pub type Reply = Response<Full<Bytes>>;

/// Whether a status ends an exchange and has one of the protocol's classes: a server in trouble may
/// send any three digits, and 101 changes a protocol that was not asked for.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether a status promises a caller that the request has not run and never will. A server's answer
/// with such a status proves that only together with the header that says so.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// A response of the given status, media type and body.
pub fn reply(status: StatusCode, kind: &str, body: impl Into<Bytes>) -> Reply {
    let response = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, kind);
    response.body(Full::new(body.into())).unwrap_or_default()
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    reply(status, "application/json", body)
}

/// A plain-text response.
pub fn text(status: StatusCode, body: &str) -> Reply {
    reply(status, "text/plain; charset=utf-8", body.to_owned())
}

/// The digest of the bearer key in the `Authorization` header; absent without such a header.
pub fn bearer_digest(headers: &HeaderMap) -> Option<Digest> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    bearer_token(value.as_bytes()).map(Digest::of)
}

/// The key of a client account in the headers: the token of the only `Authorization` header. It
/// must have 1 to 4,096 visible ASCII characters.
pub fn credential(headers: &HeaderMap) -> Credential {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Credential::Unusable;
    };
    let token = bearer_token(value.as_bytes());
    let usable = |token: &&[u8]| {
        let visible = token.iter().all(u8::is_ascii_graphic);
        visible && (1..=KEY_MAX_BYTES).contains(&token.len())
    };
    let token = token.filter(usable);
    token.map_or(Credential::Unusable, |token| {
        Credential::Key(Digest::of(token))
    })
}

/// The token in the value of an `Authorization` header of the bearer scheme.
fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    let split = value.iter().position(|byte| *byte == b' ')?;
    let (scheme, token) = value.split_at(split);
    scheme
        .eq_ignore_ascii_case(b"bearer")
        .then(|| token.trim_ascii())
}

/// The value of a header; absent if the header is missing or not visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// What the headers of an answer say about its server's limit, in the one with this name. A value
/// that is no rate says nothing.
pub fn limit_statement(headers: &HeaderMap, name: &str) -> Statement {
    if !headers.contains_key(name) {
        return Statement::Unlimited;
    }
    let rate = header_text(headers, name).and_then(|text| text.trim().parse().ok());
    match rate.and_then(Rate::from_per_second) {
        Some(rate) => Statement::Limited(rate),
        None => Statement::Nothing,
    }
}

/// The time in the `Retry-After` header of an answer, if the answer has it and it is understood.
pub fn retry_after(headers: &HeaderMap) -> Option<Span> {
    let value = headers.get(header::RETRY_AFTER)?;
    let text = value.to_str().unwrap_or_default();
    match notice::parse_pause(text) {
        Ok(pause) => Some(pause),
        Err(fault) => {
            tracing::warn!(event = 724, value = ?value, %fault, "time to wait not understood");
            None
        }
    }
}
