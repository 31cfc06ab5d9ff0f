//! Callers: HTTP clients that send gathers and at-most-once requests to the entry hosts and
//! pass each successful answer to the checker. A caller reuses its connection until the
//! connection closes, an answer fails to arrive or an answer has `Connection: close`. It
//! stays with its entry host until it can't connect to it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use wagtailbeam_adapter::dialect::Dialect as _;
use wagtailbeam_adapter::dialect::Headers;
use wagtailbeam_adapter::http;
use wagtailbeam_platform::Dialect;

use crate::checker::Outcome;
use crate::checker::Shared;
use crate::deployment::Deployment;
use crate::deployment::HOSTNAME;
use crate::moved;

/// Longest wait for an answer; also sent as the request's deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Range of the random pause before each request of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..160;

/// Pause between two requests that are sent steadily.
const STEADY_PAUSE: Duration = Duration::from_millis(25);

/// Most entry hosts that get requests steadily.
const STEADY_HOSTS_MAX: usize = 12;

/// Title, in the body of a refusal, which says that the request did not run.
const NOT_RUN_TITLE: &str = "\"not-run\"";

/// Title of a refusal which says the same of a request that ended replicas before.
const QUARANTINED_TITLE: &str = "\"quarantined\"";

/// Titles of refusals which say the same of a request without a valid key or beyond its quota.
const ACCOUNT_TITLES: [&str; 2] = ["\"unknown-key\"", "\"over-quota\""];

type Connection = SendRequest<Empty<Bytes>>;

/// A caller that sends one request at a time.
pub struct Caller {
    number: u64,
    deployment: Deployment,
    headers: Headers,
    gather_services: Vec<String>,
    checker: Shared,
    rng: ChaCha8Rng,
    entry: usize,
    connection: Option<Connection>,
}

/// An answer of an entry host with its whole body.
struct Answer {
    status: u16,
    headers: hyper::HeaderMap,
    body: Bytes,
}

impl Answer {
    /// Whether the answer says that the request did not run, in its status or its body.
    fn is_refusal(&self) -> bool {
        let status = StatusCode::from_u16(self.status);
        status.is_ok_and(http::promises_not_run)
            || self.has_title(NOT_RUN_TITLE)
            || self.has_title(QUARANTINED_TITLE)
            || ACCOUNT_TITLES.iter().any(|title| self.has_title(title))
    }

    /// Whether the body of the answer contains this title.
    fn has_title(&self, title: &str) -> bool {
        String::from_utf8_lossy(&self.body).contains(title)
    }
}

impl Caller {
    /// Creates a caller. Callers with consecutive numbers start at different entry hosts.
    pub fn new(number: u64, seed: u64, deployment: &Deployment, checker: Shared) -> Caller {
        let gather_services = deployment.shards.iter().map(|name| name.to_string());
        Caller {
            number,
            deployment: deployment.clone(),
            headers: Dialect::default().headers().clone(),
            gather_services: gather_services.collect(),
            checker,
            rng: ChaCha8Rng::seed_from_u64(seed ^ number << 32),
            entry: number as usize % deployment.entry_hosts,
            connection: None,
        }
    }

    /// Sends requests until `stopped` becomes true.
    pub async fn run(mut self, stopped: watch::Receiver<bool>) {
        let mut count = 0;
        while !*stopped.borrow() {
            let pause = self.rng.random_range(PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            count += 1;
            let is_gather = self.rng.random_bool(0.6);
            self.send(&format!("c{}-{count}", self.number), is_gather)
                .await;
        }
    }

    /// Creates a caller that begins at this entry host.
    pub(crate) fn at(entry: usize, deployment: &Deployment, checker: Shared) -> Caller {
        Caller {
            entry,
            ..Caller::new(0, entry as u64, deployment, checker)
        }
    }

    /// Sends one request on the route that moves between services, to the caller's entry host.
    pub(crate) async fn send_moved(mut self, id: String) {
        let Some(mut connection) = self.take_connection().await else {
            return;
        };
        self.checker.lock().record_sent(&id);
        self.checker.lock().record_entry(&id, self.entry);
        let checker = self.checker.clone();
        let answer = exchange(&mut connection, Method::GET, moved::PATH, &id, &checker).await;
        let outcome = match answer {
            Some(answer) => self.check_moved(&id, &answer),
            None => Outcome::Failed,
        };
        self.checker.lock().record_outcome(&id, outcome);
    }

    /// Checks an answer on the route that moves, which every version has, and classifies it.
    fn check_moved(&self, id: &str, answer: &Answer) -> Outcome {
        let mut checker = self.checker.lock();
        let stamp = http::header_text(&answer.headers, self.headers.stamp.as_str());
        let service = stamp.and_then(|stamp| stamp.strip_suffix(&format!("/{id}")));
        match (answer.status, service) {
            (200, Some(service)) => checker.check_relayed(id, service, &answer.body),
            (200, None) => {
                checker.report_violation(format!("{id}: the stamp {stamp:?} is not its own"))
            }
            (404, _) => checker.report_violation(format!("{id}: refused as without a route")),
            _ if answer.has_title(QUARANTINED_TITLE) => {
                checker.report_violation(format!("{id}: refused as if it ended replicas"));
            }
            _ => {}
        }
        match answer.status {
            200 => Outcome::Served,
            _ if answer.is_refusal() => Outcome::NotRun,
            _ => Outcome::Failed,
        }
    }

    /// Sends one request to the caller's entry host.
    pub(crate) async fn send_one(mut self, id: String, is_gather: bool) {
        self.send(&id, is_gather).await;
    }

    /// Sends a request and records its outcome. If no connection can be opened, nothing is
    /// sent and the caller moves on to the next entry host.
    async fn send(&mut self, id: &str, is_gather: bool) {
        let Some(mut connection) = self.take_connection().await else {
            self.entry = (self.entry + 1) % self.deployment.entry_hosts;
            return;
        };
        self.checker.lock().record_sent(id);
        self.checker.lock().record_entry(id, self.entry);
        let (method, path) = match is_gather {
            true => (Method::GET, "/all/x"),
            false => (Method::POST, "/once/x"),
        };
        let answer = exchange(&mut connection, method, path, id, &self.checker).await;
        let Some(answer) = answer else {
            return self.checker.lock().record_outcome(id, Outcome::Failed);
        };
        let connection_header = answer.headers.get(header::CONNECTION);
        if connection_header.is_none_or(|value| value != "close") {
            self.connection = Some(connection);
        }
        let outcome = self.check_answer(id, is_gather, &answer);
        self.checker.lock().record_outcome(id, outcome);
    }

    /// The kept connection if it is still open, otherwise a new one.
    async fn take_connection(&mut self) -> Option<Connection> {
        let kept = self.connection.take().filter(|kept| !kept.is_closed());
        match kept {
            Some(kept) => Some(kept),
            None => connect(self.deployment.caller_address(self.entry)).await,
        }
    }

    /// Checks a successful answer and classifies any answer.
    fn check_answer(&self, id: &str, is_gather: bool, answer: &Answer) -> Outcome {
        let header_value = |name: &hyper::header::HeaderName| {
            http::header_text(&answer.headers, name.as_str()).unwrap_or_default()
        };
        match answer.status {
            200 if is_gather => {
                let missing = header_value(&self.headers.missing)
                    .parse()
                    .unwrap_or_default();
                let stamps = header_value(&self.headers.stamps);
                let mut checker = self.checker.lock();
                checker.check_merged(id, &self.gather_services, stamps, missing, &answer.body);
                Outcome::Served
            }
            200 => {
                let expected_stamp = format!("{}/{id}", self.deployment.at_most_once);
                let services = [self.deployment.at_most_once.to_string()];
                if header_value(&self.headers.stamp) != expected_stamp {
                    self.checker.lock().report_violation(format!(
                        "{id}: the answer's stamp is not {expected_stamp}"
                    ));
                }
                let mut checker = self.checker.lock();
                checker.check_relayed(id, &services[0], &answer.body);
                Outcome::Served
            }
            _ if answer.has_title(QUARANTINED_TITLE) => {
                let mut checker = self.checker.lock();
                checker.report_violation(format!("{id}: refused as if it ended replicas"));
                Outcome::NotRun
            }
            _ if answer.is_refusal() => Outcome::NotRun,
            _ => Outcome::Failed,
        }
    }
}

/// Sends requests to each entry host, or to some of them, at a steady pace on new connections, whether
/// earlier ones were answered or not, until `stopped` becomes true.
pub async fn send_steadily(
    deployment: Deployment,
    checker: Shared,
    stopped: watch::Receiver<bool>,
) {
    let mut count = 0;
    while !*stopped.borrow() {
        tokio::time::sleep(STEADY_PAUSE).await;
        count += 1;
        let host = count % deployment.entry_hosts.min(STEADY_HOSTS_MAX);
        let caller = Caller::at(host, &deployment, checker.clone());
        let is_gather = (count / deployment.entry_hosts).is_multiple_of(2);
        tokio::spawn(caller.send_one(format!("steady-{count}"), is_gather));
    }
}

/// Opens an HTTP connection to an entry host; `None` if that fails.
pub async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let handshake = http1::handshake(TokioIo::new(stream));
    let (sender, driver) = handshake.await.ok()?;
    tokio::spawn(driver);
    Some(sender)
}

/// Sends a request and reads the whole answer; `None` on an error or a timeout.
async fn exchange(
    connection: &mut Connection,
    method: Method,
    path: &str,
    id: &str,
    checker: &Shared,
) -> Option<Answer> {
    let headers = Dialect::default().headers().clone();
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, HOSTNAME)
        .header(&headers.request, id)
        .header(&headers.deadline, REQUEST_TIMEOUT.as_millis().to_string())
        .body(Empty::new())
        .ok()?;
    checker.lock().accounts.sign(id, request.headers_mut());
    let response = async {
        connection.ready().await.ok()?;
        let response = connection.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    };
    let answer = timeout(REQUEST_TIMEOUT, response).await.ok()??;
    checker.lock().accounts.record_status(id, answer.status);
    Some(answer)
}

/// Sends a request that ends each replica which runs it.
pub async fn send_fatal(address: SocketAddr, path: &str, id: &str, checker: &Shared) {
    let Some(mut connection) = connect(address).await else {
        return;
    };
    let method = match path.starts_with("/all/") {
        true => Method::GET,
        false => Method::POST,
    };
    checker.lock().record_sent(id);
    let answer = exchange(&mut connection, method, path, id, checker).await;
    let outcome = match answer {
        Some(answer) if answer.is_refusal() => Outcome::NotRun,
        _ => Outcome::Failed,
    };
    checker.lock().record_outcome(id, outcome);
}

/// Sends a gather to an entry host. Returns whether the answer is a success with no
/// missing shards.
pub async fn is_gather_complete(address: SocketAddr, id: &str, checker: &Shared) -> bool {
    let headers = Dialect::default().headers().clone();
    let Some(mut connection) = connect(address).await else {
        return false;
    };
    checker.lock().record_sent(id);
    let answer = exchange(&mut connection, Method::GET, "/all/x", id, checker).await;
    let none_missing =
        |answer: &Answer| http::header_text(&answer.headers, headers.missing.as_str()) == Some("0");
    answer.is_some_and(|answer| answer.status == 200 && none_missing(&answer))
}
