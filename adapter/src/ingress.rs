//! The callers' port of an entry host: reads requests whole, and writes answers.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
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
use wagtailbeam_decision::catalog::Limits;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::gateway::Refusal;

use crate::dialect::Dialect;
use crate::http;
use crate::pool;

/// Longest time for a caller to send a body.
const BODY_TIME_MAX: Duration = Duration::from_secs(10);

/// Connections of callers at most.
const CONNECTIONS_MAX: usize = 2_000;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// What the loop shows to the port.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Whether the balancer should send callers here.
    pub ready: bool,
    /// Whether callers should go elsewhere after their answer.
    pub leaving: bool,
    /// Whether listeners are closing.
    pub closing: bool,
    /// What callers may send.
    pub limits: Limits,
}

/// A request as it is passed on.
#[derive(Debug)]
pub struct Passed {
    /// Its identifier, as the caller set it.
    pub id: HeaderValue,
    /// Method.
    pub method: Method,
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// Path and query.
    pub target: hyper::http::uri::PathAndQuery,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time for which the caller waits, if it tells.
    pub left: Option<Span>,
    /// Whether it is the first one on its connection.
    pub first: bool,
}

/// The answer to a request.
#[derive(Debug)]
pub enum Reply {
    /// A replica's answer as it is.
    Relay(pool::Response),
    /// The merged answer of several shards.
    Merged {
        /// Stamps of the parts, split by commas.
        stamps: String,
        /// Shards left out.
        missing: usize,
        /// Records.
        body: Vec<u8>,
    },
    /// No answer can be had.
    Refused(Refusal, Option<Span>),
}

/// What the port tells the loop.
#[derive(Debug)]
pub enum Report {
    /// A request to be answered.
    Request(u64, Arc<Passed>, oneshot::Sender<Reply>),
    /// The caller of a request went away.
    Abandoned(u64),
}

/// The callers' port.
pub struct Ingress {
    /// What the loop shows.
    pub view: watch::Receiver<View>,
    /// Where requests go.
    pub reports: mpsc::Sender<Report>,
    /// The platform's names.
    pub dialect: Arc<dyn Dialect>,
    /// Number of the last request.
    pub last: Arc<AtomicU64>,
}

/// A refusal as problem details (RFC 9457).
#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    detail: &'a str,
}

/// Tells the loop that a caller went away, unless it was answered.
struct Guard {
    id: u64,
    answered: bool,
    reports: mpsc::Sender<Report>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.answered && self.reports.try_send(Report::Abandoned(self.id)).is_err() {
            tracing::warn!(
                request = self.id,
                "the loop could not be told of a lost caller"
            );
        }
    }
}

/// Serves callers until `closing`, then ends each connection after its answer.
pub async fn listen(listener: TcpListener, ingress: Arc<Ingress>) {
    let slots = Arc::new(tokio::sync::Semaphore::new(CONNECTIONS_MAX));
    let mut view = ingress.view.clone();
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = view.wait_for(|view| view.closing) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "a caller's connection could not be accepted");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let ingress = ingress.clone();
        tokio::spawn(async move {
            serve(stream, ingress).await;
            drop(slot);
        });
    }
}

async fn serve(stream: TcpStream, ingress: Arc<Ingress>) {
    if let Err(error) = stream.set_nodelay(true) {
        return tracing::debug!(%error, "a caller's connection ended at once");
    }
    let mut view = ingress.view.clone();
    let limits = view.borrow().limits;
    let used = AtomicBool::new(false);
    let service = service_fn(move |request| {
        let ingress = ingress.clone();
        let first = !used.swap(true, Ordering::Relaxed);
        async move { Ok::<_, Infallible>(ingress.handle(request, first).await) }
    });
    let idle_max = Duration::from_micros(limits.idle_max.as_us());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_max)
        .max_buf_size(limits.head_max.max(8 * 1024) * 2)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = view.wait_for(|view| view.closing) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "a caller's connection broke");
    }
}

impl Ingress {
    async fn handle(&self, request: Request<Incoming>, first: bool) -> http::Reply {
        let view = *self.view.borrow();
        let mut reply = match self.read(view.limits, request, first).await {
            Ok(passed) => self.pass(passed).await,
            Err(refused) => refused,
        };
        if self.view.borrow().leaving {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(header::CONNECTION, close);
        }
        reply
    }

    /// Reads a request whole before any of it goes further.
    async fn read(
        &self,
        limits: Limits,
        request: Request<Incoming>,
        first: bool,
    ) -> Result<Passed, http::Reply> {
        let (head, body) = request.into_parts();
        let names = self.dialect.headers();
        let Some(id) = head.headers.get(&names.request).cloned() else {
            let detail = "the header that identifies the request is missing";
            return Err(problem(StatusCode::BAD_REQUEST, "no-identifier", detail));
        };
        let host = head.headers.get(header::HOST);
        let Some(host) = host.and_then(|host| host.to_str().ok()) else {
            let detail = "the Host header is missing";
            return Err(problem(StatusCode::BAD_REQUEST, "no-host", detail));
        };
        let target = head.uri.path_and_query().cloned();
        let target = target.unwrap_or(hyper::http::uri::PathAndQuery::from_static("/"));
        let left = http::header_text(&head.headers, names.deadline.as_str());
        let left = left.and_then(|text| text.trim().parse::<f64>().ok());
        let left = left.filter(|ms| ms.is_finite() && *ms > 0.0);
        Ok(Passed {
            id,
            host: host.into(),
            method: head.method,
            target,
            first,
            left: left.map(|ms| Span::from_us((ms * 1e3) as u64)),
            body: read_body(body, limits.body_max).await?,
            headers: end_to_end(head.headers),
        })
    }

    async fn pass(&self, passed: Passed) -> http::Reply {
        let id = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let (answer, answered) = oneshot::channel();
        let report = Report::Request(id, Arc::new(passed), answer);
        if self.reports.send(report).await.is_err() {
            return refuse(Refusal::NotRun, None);
        }
        let mut guard = Guard {
            id,
            answered: false,
            reports: self.reports.clone(),
        };
        let reply = answered.await;
        guard.answered = true;
        match reply {
            Ok(Reply::Relay(response)) => relay(response),
            Ok(Reply::Merged {
                stamps,
                missing,
                body,
            }) => self.merged(&stamps, missing, body),
            Ok(Reply::Refused(refusal, retry_after)) => refuse(refusal, retry_after),
            Err(_) => refuse(Refusal::Failed, None),
        }
    }

    fn merged(&self, stamps: &str, missing: usize, body: Vec<u8>) -> http::Reply {
        let names = self.dialect.headers();
        let mut reply = http::reply(StatusCode::OK, "application/octet-stream", body);
        match HeaderValue::from_str(stamps) {
            Ok(stamps) => drop(reply.headers_mut().insert(names.stamps.clone(), stamps)),
            Err(error) => {
                tracing::error!(%error, "stamps are no header value");
                return refuse(Refusal::Failed, None);
            }
        }
        reply
            .headers_mut()
            .insert(names.missing.clone(), missing.into());
        reply
    }
}

async fn read_body(body: Incoming, body_max: usize) -> Result<Bytes, http::Reply> {
    let body = Limited::new(body, body_max).collect();
    match tokio::time::timeout(BODY_TIME_MAX, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let detail = "the body is longer than allowed";
            Err(problem(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body-too-large",
                detail,
            ))
        }
        Ok(Err(_)) => {
            let detail = "the body was cut short";
            Err(problem(StatusCode::BAD_REQUEST, "bad-body", detail))
        }
        Err(_) => {
            let detail = "the body took too long";
            Err(problem(StatusCode::REQUEST_TIMEOUT, "slow-body", detail))
        }
    }
}

/// The headers that are passed on: all but those of one connection.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
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

fn relay(response: pool::Response) -> http::Reply {
    let mut reply = hyper::Response::new(response.body.into());
    *reply.status_mut() = response.status;
    *reply.headers_mut() = end_to_end(response.headers);
    reply
}

fn problem(status: StatusCode, title: &str, detail: &str) -> http::Reply {
    let body = Problem {
        title,
        status: status.as_u16(),
        detail,
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    http::reply(status, http::PROBLEM_JSON, body)
}

fn refuse(refusal: Refusal, retry_after: Option<Span>) -> http::Reply {
    let (status, title, detail) = match refusal {
        Refusal::NoRoute => (
            StatusCode::NOT_FOUND,
            "no-route",
            "no route takes this host and path",
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
        Refusal::Timeout => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "no answer came in time; the request may have run",
        ),
    };
    let mut reply = problem(status, title, detail);
    let seconds = retry_after.map(|wait| format!("{:.3}", wait.as_us() as f64 / 1e6));
    let seconds = seconds.and_then(|text| HeaderValue::try_from(text).ok());
    if let Some(seconds) = seconds {
        reply.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    reply
}
