//! Kept connections to backend servers, and calls over them: HTTP/1.1, one call
//! at a time on a connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::http;
use crate::socket;

/// Longest time to open a connection.
const DIAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Part of the time announced by a server for which a connection is kept.
const KEEP_ALIVE_SHARE: f64 = 0.8;

/// The same for a call that must not meet an ending connection.
const KEEP_ALIVE_SHARE_AVOID_STALE: f64 = 0.4;

/// Idle time after which such a call doesn't use a connection whose server
/// announced none.
const IDLE_MAX_AVOID_STALE: Duration = Duration::from_secs(2);

/// Connections that may still be closing while others take their place.
const CLOSING_CONNECTIONS_MAX: u32 = 1;

/// Body size from which a connection is used once, since the server may answer
/// before it has read all of the body.
const REUSE_BODY_MAX_BYTES: usize = 8 * 1024;

/// A whole response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Why there is no whole response.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be had; nothing was sent.
    #[display("unreachable: {_0}")]
    Unreachable(String),
    /// A kept connection had ended before anything was sent.
    #[display("stale connection")]
    Stale,
    /// The connection broke, or what came was no response.
    #[display("broken: {_0}")]
    Broken(String),
    /// The body is longer than allowed.
    #[display("answer too long")]
    TooLong,
}

/// The end of a call.
pub type Result = std::result::Result<Response, Failure>;

type Sender = http1::SendRequest<Full<Bytes>>;

/// A connection without a call.
pub struct Idle {
    sender: Sender,
    since: Instant,
    keep_alive: Option<Duration>,
}

/// What the calls tell the loop.
pub enum Event<T> {
    /// A call ended; its connection may be used again.
    Done {
        /// The call.
        ticket: T,
        /// The server.
        address: SocketAddr,
        /// What it came to.
        result: Result,
        /// The connection, if it is whole.
        connection: Option<Idle>,
    },
    /// A connection ended.
    Closed(SocketAddr),
}

/// Under which conditions a call may be made.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The server.
    pub address: SocketAddr,
    /// Connections to it at most.
    pub connections_max: u32,
    /// Whether a connection that may just be ending must not be used.
    pub avoid_stale: bool,
}

#[derive(Default)]
struct Server {
    idle: Vec<Idle>,
    open: u32,
}

/// Connections to backend servers; `T` numbers the calls.
pub struct Pool<T> {
    servers: BTreeMap<SocketAddr, Server>,
    calls: BTreeMap<T, oneshot::Sender<()>>,
    events: mpsc::Sender<Event<T>>,
    answer_max: usize,
    opened: u64,
}

impl Idle {
    fn is_usable(&self, avoid_stale: bool) -> bool {
        if self.sender.is_closed() {
            return false;
        }
        let idle = self.since.elapsed();
        match (self.keep_alive, avoid_stale) {
            (Some(keep_alive), false) => idle < keep_alive.mul_f64(KEEP_ALIVE_SHARE),
            (Some(keep_alive), true) => idle < keep_alive.mul_f64(KEEP_ALIVE_SHARE_AVOID_STALE),
            (None, false) => true,
            (None, true) => idle < IDLE_MAX_AVOID_STALE,
        }
    }
}

impl<T: Copy + Ord + Send + 'static> Pool<T> {
    /// A pool that reports to `events` and takes bodies up to `answer_max` bytes.
    pub fn new(events: mpsc::Sender<Event<T>>, answer_max: usize) -> Pool<T> {
        Pool {
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            events,
            answer_max,
            opened: 0,
        }
    }

    /// Starts a call.
    pub fn call(&mut self, ticket: T, options: Options, request: Request<Full<Bytes>>) {
        let Options {
            address,
            connections_max,
            avoid_stale,
        } = options;
        let server = self.servers.entry(address).or_default();
        server.idle.retain(|idle| !idle.sender.is_closed());
        let fit = server
            .idle
            .iter()
            .rposition(|idle| idle.is_usable(avoid_stale));
        let connection = fit.map(|at| server.idle.remove(at));
        if connection.is_none() && server.open >= connections_max && !server.idle.is_empty() {
            server.idle.remove(0);
        }
        let closing = CLOSING_CONNECTIONS_MAX;
        let guard = (connection.is_none() && server.open < connections_max + closing).then(|| {
            server.open += 1;
            self.opened += 1;
            Guard {
                address,
                events: self.events.clone(),
            }
        });
        let (cancel, cancelled) = oneshot::channel();
        self.calls.insert(ticket, cancel);
        let (events, answer_max) = (self.events.clone(), self.answer_max);
        tokio::spawn(async move {
            let task = exchange(address, request, connection, guard, answer_max);
            tokio::select! {
                biased;
                _ = cancelled => {}
                (result, connection) = task => {
                    let event = Event::Done { ticket, address, result, connection };
                    drop(events.send(event).await);
                }
            }
        });
    }

    /// Gives up a call; its connection is closed.
    pub fn abort(&mut self, ticket: &T) {
        self.calls.remove(ticket);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, address: &SocketAddr) {
        if let Some(server) = self.servers.get_mut(address) {
            server.idle.clear();
        }
    }

    /// Takes an event, and returns the end of a call that was not given up.
    pub fn handle(&mut self, event: Event<T>) -> Option<(T, Result)> {
        match event {
            Event::Done {
                ticket,
                address,
                result,
                connection,
            } => {
                let server = self.servers.entry(address).or_default();
                server.idle.extend(connection);
                self.calls.remove(&ticket)?;
                Some((ticket, result))
            }
            Event::Closed(address) => {
                let server = self.servers.entry(address).or_default();
                server.open = server.open.saturating_sub(1);
                server.idle.retain(|idle| !idle.sender.is_closed());
                if server.open == 0 && server.idle.is_empty() {
                    self.servers.remove(&address);
                }
                None
            }
        }
    }

    /// Connections open to all servers.
    pub fn open_connections(&self) -> u32 {
        self.servers.values().map(|server| server.open).sum()
    }

    /// Connections opened so far.
    pub fn opened_total(&self) -> u64 {
        self.opened
    }
}

/// Tells the loop that a connection ended, also if dialing was given up.
struct Guard<T: Send + 'static> {
    address: SocketAddr,
    events: mpsc::Sender<Event<T>>,
}

impl<T: Send + 'static> Drop for Guard<T> {
    fn drop(&mut self) {
        let (address, events) = (self.address, self.events.clone());
        if events.try_send(Event::Closed(address)).is_ok() {
            return;
        }
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { drop(events.send(Event::Closed(address)).await) });
        }
    }
}

async fn exchange<T: Send + 'static>(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    connection: Option<Idle>,
    guard: Option<Guard<T>>,
    answer_max: usize,
) -> (Result, Option<Idle>) {
    let reused = connection.is_some();
    let body = hyper::body::Body::size_hint(request.body()).lower() as usize;
    let sender = match (connection, guard) {
        (Some(idle), _) => Ok(idle.sender),
        (None, Some(guard)) => dial(address, guard).await,
        (None, None) => Err(Failure::Unreachable("no connection is free".to_owned())),
    };
    let mut sender = match sender {
        Ok(sender) => sender,
        Err(failure) => return (Err(failure), None),
    };
    let sent = match sender.ready().await {
        Ok(()) => sender.send_request(request).await,
        Err(error) => Err(error),
    };
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.is_canceled() || error.is_closed() => {
            let unsent = Failure::Unreachable(error.to_string());
            let failure = if reused { Failure::Stale } else { unsent };
            return (Err(failure), None);
        }
        Err(error) => return (Err(Failure::Broken(error.to_string())), None),
    };
    let (head, incoming) = response.into_parts();
    let whole = match Limited::new(incoming, answer_max).collect().await {
        Ok(whole) => whole.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return (Err(Failure::TooLong), None);
        }
        Err(error) => return (Err(Failure::Broken(error.to_string())), None),
    };
    let ends = announces_close(&head.headers);
    let idle = Idle {
        sender,
        since: Instant::now(),
        keep_alive: announced_keep_alive(&head.headers),
    };
    let response = Response {
        status: head.status,
        headers: head.headers,
        body: whole,
    };
    (
        Ok(response),
        Some(idle).filter(|_| !ends && body <= REUSE_BODY_MAX_BYTES),
    )
}

/// The time for which a server announces to keep the connection.
fn announced_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = http::header_text(headers, "keep-alive")?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

async fn dial<T: Send + 'static>(
    address: SocketAddr,
    guard: Guard<T>,
) -> std::result::Result<Sender, Failure> {
    let unreachable = |cause: String| Failure::Unreachable(cause);
    let stream = match timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(unreachable(error.to_string())),
        Err(_) => return Err(unreachable("no answer to the connection".to_owned())),
    };
    socket::tune(&stream).map_err(|error| unreachable(error.to_string()))?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            tracing::debug!(%address, %error, "backend connection ended");
        }
        drop(guard);
    });
    Ok(sender)
}

/// Whether a response says that its connection ends.
fn announces_close(headers: &HeaderMap) -> bool {
    let text = headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok());
    text.is_some_and(|text| text.eq_ignore_ascii_case("close"))
}
