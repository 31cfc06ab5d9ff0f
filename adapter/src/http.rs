//! Header names and small HTTP helpers shared by the callers' and operators' ports.

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use serde::Serialize;
use wagtailbeam_decision::digest::Digest;

/// Identifier of a request; echoed by backend servers.
pub const REQUEST: &str = "wagtailbeam-request";

/// Name of the caller, set by the tier alone.
pub const CALLER: &str = "wagtailbeam-caller";

/// Time left to the deadline, in milliseconds.
pub const DEADLINE: &str = "wagtailbeam-deadline-ms";

/// Index version wanted, or served.
pub const INDEX: &str = "wagtailbeam-index";

/// Boot identifier of a backend server.
pub const BOOT: &str = "wagtailbeam-boot";

/// Present if a backend server is draining.
pub const DRAINING: &str = "wagtailbeam-draining";

/// Present if a backend server shed the request without running it.
pub const SHED: &str = "wagtailbeam-shed";

/// Shards asked for, split by commas.
pub const SHARDS: &str = "wagtailbeam-shards";

/// Coverage of an answer, as `answered/asked`.
pub const COVERAGE: &str = "wagtailbeam-coverage";

/// Present if an answer is the record of an earlier run.
pub const REPLAYED: &str = "wagtailbeam-replayed";

/// Key under which a request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Media type of refusals (RFC 9457).
pub const PROBLEM_JSON: &str = "application/problem+json";

/// A response with a whole body.
pub type Reply = Response<Full<Bytes>>;

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

/// A response of plain text.
pub fn text(status: StatusCode, body: &str) -> Reply {
    reply(status, "text/plain; charset=utf-8", body.to_owned())
}

/// The digest of the bearer key in the head, if there is one.
pub fn bearer_digest(headers: &HeaderMap) -> Option<Digest> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| Digest::of(key.trim().as_bytes()))
}

/// The text of a header, if it is there and is text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
