//! HTTP calls from a replica's owner to its backend server, in a group with a settings file.
//!
//! The loop in [`crate::node`] starts calls and passes in the reports of the connection pool;
//! [`Backend::handle`] checks the response and returns it as an `Exchange`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderName;
use serde_json::value::RawValue;
use tokio::sync::mpsc;
use wagtailbeam_decision::evidence::Evidence;
use wagtailbeam_decision::evidence::Identity;
use wagtailbeam_decision::evidence::Proof;
use wagtailbeam_decision::exchange::Call;
use wagtailbeam_decision::exchange::Exchange;
use wagtailbeam_decision::limiter::Ticket;
use wagtailbeam_decision::message::Event;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::request::Answer;

use crate::http;
use crate::pool;
use crate::pool::Failure;
use crate::pool::Options;
use crate::pool::Pool;
use crate::pool::Response;
use crate::probe::Patience;

/// Event that the connection pool sends to the loop; to be passed to [`Backend::handle`].
pub type Report = pool::Event<Ticket>;

/// Properties that the response to a call must have.
struct Expected {
    /// Whether a successful response must be valid JSON.
    is_json: bool,
    /// Whether the request may run more than once.
    is_repeatable: bool,
}

/// Running calls to backend servers and their connection pool.
pub struct Backend {
    pool: Pool<Ticket>,
    expected: BTreeMap<Ticket, Expected>,
}

impl Backend {
    /// Creates a pool without connections. Reports go to `reports`; responses longer than
    /// `answer_max` bytes fail.
    pub fn new(reports: mpsc::Sender<Report>, answer_max: usize) -> Backend {
        Backend {
            pool: Pool::new(reports, answer_max)
                .with_patience(Patience::Long)
                .with_echo(HeaderName::from_static(http::REQUEST)),
            expected: BTreeMap::new(),
        }
    }

    /// Starts a call. `connections` is the connection limit of the server, which
    /// [`Pool::call`] applies.
    pub fn call(&mut self, call: &Call, connections: u32) {
        let id = format!("{}.{}", call.request.id, call.ticket);
        let request = http_request(call, &id);
        let options = Options {
            address: call.replica,
            connections_max: connections,
            avoid_stale: false,
            keep: true,
        };
        let is_json = call.request.method == "GET";
        let is_repeatable = call.request.is_repeatable();
        let expected = Expected {
            is_json,
            is_repeatable,
        };
        self.expected.insert(call.ticket, expected);
        self.pool.call(call.ticket, options, request);
    }

    /// Cancels a call and closes its connection.
    pub fn abort(&mut self, ticket: Ticket) {
        self.expected.remove(&ticket);
        self.pool.abort(&ticket);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, replica: &SocketAddr) {
        self.pool.close_idle(replica);
    }

    /// Handles a report of the pool. Returns what it says of a call that was not aborted: its
    /// connection broke, or it ended with this result.
    pub fn handle(&mut self, report: Report) -> Option<Event> {
        if let pool::Event::Broke(ticket) = report {
            let running = self.expected.contains_key(&ticket);
            return running.then_some(Event::CallBroke(ticket));
        }
        let (ticket, result) = self.pool.handle(report)?;
        let expected = self.expected.remove(&ticket)?;
        let exchange = match result {
            Ok(response) => exchange_of(&expected, response),
            Err(Failure::Unreachable(_)) => Exchange::NotSent,
            Err(Failure::Stale) => Exchange::StaleConnection,
            Err(Failure::Broken(_)) => Exchange::Broken,
            Err(Failure::Ended(_)) => Exchange::Ended,
            Err(Failure::TooLong) => Exchange::BadAnswer,
        };
        Some(Event::Exchange(ticket, exchange))
    }

    /// Number of open connections to all servers.
    pub fn open_connections(&self) -> u32 {
        self.pool.open_connections()
    }
}

/// The HTTP request of a call, with the identifier `id`.
fn http_request(call: &Call, id: &str) -> Request<Full<Bytes>> {
    let request = &call.request;
    let mut builder = Request::builder()
        .method(request.method.as_str())
        .uri(&request.path)
        .header(header::HOST, call.replica.to_string())
        .header(http::REQUEST, id)
        .header(http::CALLER, &*request.caller)
        .header(http::DEADLINE, call.time_left.as_ms());
    if let Some(index) = call.pin {
        builder = builder.header(http::INDEX, index);
    }
    if let Some(key) = &request.key {
        builder = builder.header(http::IDEMPOTENCY_KEY, key);
    }
    if let Some(kind) = &request.content_type {
        builder = builder.header(header::CONTENT_TYPE, kind);
    }
    let body = Full::new(request.body.clone());
    builder.body(body).unwrap_or_default()
}

/// Checks a complete response. One that proves nothing, or invalid JSON where JSON is expected, is an
/// [`Exchange::BadAnswer`]. Servers may shed requests without naming them; only a request that may run
/// more than once counts as shed then.
fn exchange_of(expected: &Expected, response: Response) -> Exchange {
    let text = |name: &str| http::header_text(&response.headers, name);
    let evidence = Evidence {
        identity: response.identity,
        not_run: text(http::SHED).is_some(),
        success: response.status.is_success(),
    };
    let proof = evidence.proof();
    let is_foreign = evidence.identity == Identity::Foreign;
    let may_be_shed = evidence.not_run && expected.is_repeatable && !is_foreign;
    let shed = may_be_shed || proof == Proof::NotRun;
    if proof == Proof::Nothing && !shed {
        return Exchange::BadAnswer;
    }
    let must_be_json = expected.is_json && response.status.is_success();
    if must_be_json && serde_json::from_slice::<&RawValue>(&response.body).is_err() {
        return Exchange::BadAnswer;
    }
    let answer = Answer {
        status: response.status.as_u16(),
        index: text(http::INDEX).and_then(|index| index.parse().ok()),
        content_type: text(header::CONTENT_TYPE.as_str()).map(str::to_owned),
        body: response.body.clone(),
    };
    let overloaded = response.status == StatusCode::SERVICE_UNAVAILABLE;
    Exchange::Answered {
        answer,
        boot: text(http::BOOT).map(Name::from),
        draining: text(http::DRAINING).is_some(),
        shed,
        limit: http::limit_statement(&response.headers, http::LIMIT),
        pause: overloaded
            .then(|| http::retry_after(&response.headers))
            .flatten(),
    }
}
