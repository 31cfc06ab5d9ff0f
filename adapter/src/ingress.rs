//! The HTTP/1.1 listener for callers of an entry host.
//!
//! `entry` starts [`listen`]. Each request is read in full, sent to the event loop as an
//! [`Event`], and answered with the [`Reply`] that comes back.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use wagtailbeam_decision::account::Account;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::catalog::Limits;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::digest::Digest;

use crate::accounts;
use crate::body;
use crate::carriers::Carriers;
use crate::dialect::Dialect;
use crate::http;
use crate::metered::Meter;
use crate::metered::Metered;
use crate::pool;

/// Time within which a caller must have sent the whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Most caller connections open at a time; further ones wait to be accepted.
const CONNECTIONS_MAX: usize = 2_000;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// State of the entry host that the event loop publishes to its listeners.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct State {
    /// Whether the readiness check succeeds.
    pub ready: bool,
    /// Whether answers carry `Connection: close`, so that callers reconnect elsewhere.
    pub draining: bool,
    /// Whether no new connection is accepted and each open one closes after its answer.
    pub closing: bool,
    /// Limits on the size and idle time of callers' requests and connections.
    pub limits: Limits,
}

/// A caller's request, read in full, as it is forwarded to replicas.
#[derive(Debug)]
pub struct Request {
    /// Identifier set by the caller.
    pub id: HeaderValue,
    /// HTTP method.
    pub method: Method,
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// Path and query.
    pub target: hyper::http::uri::PathAndQuery,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body, within [`State::limits`].
    pub body: Bytes,
    /// Time for which the caller still waits; absent if the request has no valid deadline.
    pub time_left: Option<Span>,
    /// Whether no earlier request came over the connection.
    pub first_on_connection: bool,
    /// Digest by which repeats of the request are recognized, see [`fingerprint`].
    pub fingerprint: Digest,
    /// Client account that sent the request; absent until it is identified, and for anonymous
    /// requests.
    pub account: Option<Arc<Account>>,
    /// Connections over which the request was sent to replicas.
    pub carriers: Carriers,
}

/// Digest of caller, method, host, target and body. It is the same for each repeat of a
/// request, whatever its identifier, on all hosts. `caller` is the account's name, or the value of
/// `Authorization` where no accounts are declared.
pub fn fingerprint(
    caller: &[u8],
    method: &Method,
    host: &str,
    target: &hyper::http::uri::PathAndQuery,
    body: &[u8],
) -> Digest {
    let method = method.as_str().as_bytes();
    let (host, target) = (host.as_bytes(), target.as_str().as_bytes());
    Digest::of_parts(&[caller, method, host, target, body])
}

/// The answer to a caller's request.
#[derive(Debug)]
pub enum Reply {
    /// A replica's response, forwarded unchanged except for hop-by-hop headers; see [`Reply::relay`].
    Relay(pool::Response),
    /// The merged answer of several shards.
    Merged {
        /// Stamps of the merged parts, separated by commas.
        stamps: String,
        /// Number of shards missing from the body.
        missing: usize,
        /// The merged records.
        body: Vec<u8>,
    },
    /// A refusal, with the time after which the caller may retry, if one is known.
    Refused(Refusal, Option<Span>),
}

impl Reply {
    /// The reply with a response of a replica that may have run the request. A status that would promise
    /// the opposite is not passed on.
    pub fn relay(response: pool::Response) -> Reply {
        match http::promises_not_run(response.status) {
            true => Reply::Refused(Refusal::Failed, None),
            false => Reply::Relay(response),
        }
    }
}

/// An event for the entry host's loop.
#[derive(Debug)]
pub enum Event {
    /// A new request: its number, its content and where the answer goes.
    Request(u64, Box<Request>, oneshot::Sender<Reply>),
    /// The caller of the request with this number disconnected.
    Abandoned(u64),
    /// An operator asks for the client accounts.
    Accounts(oneshot::Sender<accounts::Report>),
}

/// Shared context of all caller connections.
pub struct Ingress {
    /// State published by the event loop.
    pub state: watch::Receiver<State>,
    /// Channel to the event loop.
    pub events: mpsc::Sender<Event>,
    /// Names of the platform's headers.
    pub dialect: Arc<dyn Dialect>,
    /// Number of the last request; shared with the event loop, which numbers branches.
    pub last_id: Arc<AtomicU64>,
}

/// Body of a refusal, as problem details (RFC 9457).
#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    detail: &'a str,
}

/// Reports a request as abandoned when dropped before an answer was received, which
/// happens when the caller disconnects.
struct AbandonGuard {
    id: u64,
    answered: bool,
    events: mpsc::Sender<Event>,
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if !self.answered && self.events.try_send(Event::Abandoned(self.id)).is_err() {
            tracing::warn!(
                request = self.id,
                "failed to report an abandoned request to the event loop"
            );
        }
    }
}

/// Serves callers until [`State::closing`] is set; open connections then close after
/// the answer in progress.
pub async fn listen(listener: TcpListener, ingress: Arc<Ingress>) {
    let slots = Arc::new(tokio::sync::Semaphore::new(CONNECTIONS_MAX));
    let mut state = ingress.state.clone();
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = state.wait_for(|state| state.closing) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "failed to accept a caller's connection");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let ingress = ingress.clone();
        tokio::spawn(async move {
            serve_connection(stream, ingress).await;
            drop(slot);
        });
    }
}

/// Serves the requests of one connection until either side closes it.
async fn serve_connection(stream: TcpStream, ingress: Arc<Ingress>) {
    if let Err(error) = stream.set_nodelay(true) {
        return tracing::debug!(%error, "failed to set TCP_NODELAY on a caller's connection");
    }
    let mut state = ingress.state.clone();
    let limits = state.borrow().limits;
    let used = AtomicBool::new(false);
    let read_ahead = limits.head_max.max(8 * 1024).saturating_mul(2);
    let meter = Meter::new(read_ahead);
    let stream = Metered::new(stream, meter.clone());
    let service = service_fn(move |mut request: hyper::Request<Incoming>| {
        request.extensions_mut().insert(meter.clone());
        let ingress = ingress.clone();
        let first = !used.swap(true, Ordering::Relaxed);
        async move { Ok::<_, Infallible>(ingress.handle(request, first).await) }
    });
    let idle_max = Duration::from_micros(limits.idle_max.as_us());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_max)
        .max_buf_size(read_ahead)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = state.wait_for(|state| state.closing) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "caller's connection failed");
    }
}

impl Ingress {
    /// Answers one request; adds `Connection: close` while draining.
    async fn handle(&self, request: hyper::Request<Incoming>, first: bool) -> http::Reply {
        let state = *self.state.borrow();
        let mut reply = match self.read_request(state.limits, request, first).await {
            Ok(request) => self.forward(request).await,
            Err(refused) => refused,
        };
        if self.state.borrow().draining {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(header::CONNECTION, close);
        }
        reply
    }

    /// Reads and checks a whole request before any of it is forwarded.
    async fn read_request(
        &self,
        limits: Limits,
        request: hyper::Request<Incoming>,
        first: bool,
    ) -> Result<Request, http::Reply> {
        let (head, body) = request.into_parts();
        let names = self.dialect.headers();
        let Some(id) = head.headers.get(&names.request).cloned() else {
            let detail = "the header that identifies the request is missing";
            return Err(problem_reply(
                StatusCode::BAD_REQUEST,
                "no-identifier",
                detail,
            ));
        };
        let host = head.headers.get(header::HOST);
        let Some(host) = host.and_then(|host| host.to_str().ok()) else {
            let detail = "the Host header is missing";
            return Err(problem_reply(StatusCode::BAD_REQUEST, "no-host", detail));
        };
        let target = head.uri.path_and_query().cloned();
        let target = target.unwrap_or(hyper::http::uri::PathAndQuery::from_static("/"));
        let left = http::header_text(&head.headers, names.deadline.as_str());
        let left = left.and_then(|text| text.trim().parse::<f64>().ok());
        let left = left.filter(|ms| ms.is_finite() && *ms > 0.0);
        let meter = Meter::of(&head.extensions);
        let body = read_body(body, limits.body_max, &meter).await?;
        let caller = head.headers.get(header::AUTHORIZATION);
        let caller = caller.map(HeaderValue::as_bytes).unwrap_or_default();
        Ok(Request {
            fingerprint: fingerprint(caller, &head.method, host, &target, &body),
            account: None,
            carriers: Carriers::default(),
            id,
            host: host.into(),
            method: head.method,
            target,
            first_on_connection: first,
            time_left: left.map(|ms| Span::from_us((ms * 1e3) as u64)),
            body,
            headers: strip_hop_by_hop(head.headers),
        })
    }

    /// Sends a request to the event loop and waits for its reply.
    async fn forward(&self, request: Request) -> http::Reply {
        let id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (answer, answered) = oneshot::channel();
        let event = Event::Request(id, Box::new(request), answer);
        if self.events.send(event).await.is_err() {
            return refusal_reply(Refusal::NotRun, None);
        }
        let mut guard = AbandonGuard {
            id,
            answered: false,
            events: self.events.clone(),
        };
        let reply = answered.await;
        guard.answered = true;
        match reply {
            Ok(Reply::Relay(response)) => relayed_reply(response),
            Ok(Reply::Merged {
                stamps,
                missing,
                body,
            }) => self.merged_reply(&stamps, missing, body),
            Ok(Reply::Refused(refusal, retry_after)) => refusal_reply(refusal, retry_after),
            Err(_) => refusal_reply(Refusal::Failed, None),
        }
    }

    fn merged_reply(&self, stamps: &str, missing: usize, body: Vec<u8>) -> http::Reply {
        let names = self.dialect.headers();
        let mut reply = http::reply(StatusCode::OK, "application/octet-stream", body);
        match HeaderValue::from_str(stamps) {
            Ok(stamps) => drop(reply.headers_mut().insert(names.stamps.clone(), stamps)),
            Err(error) => {
                tracing::error!(%error, "stamps are not a valid header value");
                return refusal_reply(Refusal::Failed, None);
            }
        }
        reply
            .headers_mut()
            .insert(names.missing.clone(), missing.into());
        reply
    }
}

/// Reads a body within the size and time limits.
async fn read_body(body: Incoming, body_max: usize, meter: &Meter) -> Result<Bytes, http::Reply> {
    let body = body::read(body, body_max, meter);
    match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(body::Error::TooLong)) => {
            let detail = "the body is longer than allowed";
            Err(problem_reply(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body-too-large",
                detail,
            ))
        }
        Ok(Err(body::Error::Broken { .. })) => {
            let detail = "the body was cut short";
            Err(problem_reply(StatusCode::BAD_REQUEST, "bad-body", detail))
        }
        Err(_) => {
            let detail = "the body took too long";
            Err(problem_reply(
                StatusCode::REQUEST_TIMEOUT,
                "slow-body",
                detail,
            ))
        }
    }
}

/// Removes the hop-by-hop headers, including those named by `Connection`, as well as
/// `Content-Length` and `Expect`.
fn strip_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named = named.flat_map(|text| text.split(','));
    let named = named.filter_map(|name| HeaderName::try_from(name.trim()).ok());
    let dropped = named.chain(HOP_BY_HOP).collect::<Vec<_>>();
    for name in dropped {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers
}

fn relayed_reply(response: pool::Response) -> http::Reply {
    let mut reply = hyper::Response::new(response.body.into());
    *reply.status_mut() = response.status;
    *reply.headers_mut() = strip_hop_by_hop(response.headers);
    reply
}

fn problem_reply(status: StatusCode, title: &str, detail: &str) -> http::Reply {
    let body = Problem {
        title,
        status: status.as_u16(),
        detail,
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    http::reply(status, http::PROBLEM_JSON, body)
}

fn refusal_reply(refusal: Refusal, retry_after: Option<Span>) -> http::Reply {
    let (status, title, detail) = match refusal {
        Refusal::NoRoute => (
            StatusCode::NOT_FOUND,
            "no-route",
            "no route takes this host and path",
        ),
        Refusal::UnknownKey => (
            StatusCode::UNAUTHORIZED,
            "unknown-key",
            "the route needs a bearer key of an account",
        ),
        Refusal::OverQuota => (
            StatusCode::TOO_MANY_REQUESTS,
            "over-quota",
            "the request did not run: the account's quota is used up",
        ),
        Refusal::NotRun => (
            StatusCode::SERVICE_UNAVAILABLE,
            "not-run",
            "the request did not run and may be sent again",
        ),
        Refusal::Failed => (
            StatusCode::BAD_GATEWAY,
            "failed",
            "the request may have run, and no answer can be had",
        ),
        Refusal::Quarantined => (
            StatusCode::SERVICE_UNAVAILABLE,
            "quarantined",
            "the request did not run: servers ended under earlier ones like it",
        ),
        Refusal::Timeout => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "no answer came in time; the request may have run",
        ),
    };
    let mut reply = problem_reply(status, title, detail);
    if refusal == Refusal::UnknownKey {
        let challenge = HeaderValue::from_static("Bearer");
        reply
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, challenge);
    }
    let seconds = retry_after.map(|wait| format!("{:.3}", wait.as_us() as f64 / 1e6));
    let seconds = seconds.and_then(|text| HeaderValue::try_from(text).ok());
    if let Some(seconds) = seconds {
        reply.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    reply
}
