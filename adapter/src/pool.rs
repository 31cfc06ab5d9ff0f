//! Pool of persistent HTTP/1.1 connections to backend servers, with one call at a time
//! on each.
//!
//! The loop that owns a [`Pool`] starts calls, receives [`Event`]s over its channel and
//! passes them back to [`Pool::handle`], which returns the result of each call.

use std::collections::BTreeMap;
use std::error::Error as _;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use wagtailbeam_decision::evidence::Identity;

use crate::body;
use crate::carriers::Carriers;
use crate::carriers::ConnectionId;
use crate::http;
use crate::metered::Buffer;
use crate::metered::Meter;
use crate::metered::Metered;
use crate::metered::READ_AHEAD_MAX_BYTES;
use crate::probe;
use crate::probe::Patience;
use crate::socket;

/// Time limit for opening a connection.
const DIAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Share of the server's announced keep-alive time during which an idle connection is used.
const KEEP_ALIVE_SHARE: f64 = 0.8;

/// The share for calls with [`Options::avoid_stale`].
const KEEP_ALIVE_SHARE_AVOID_STALE: f64 = 0.4;

/// Idle time up to which a call with [`Options::avoid_stale`] uses a connection whose
/// server announced no keep-alive time.
const IDLE_MAX_AVOID_STALE: Duration = Duration::from_secs(2);

/// Most connections to a server beyond its limit, to replace ones that are still closing.
const CLOSING_CONNECTIONS_MAX: u32 = 1;

/// Most bytes of unfinished answers that all calls together may buffer.
const BUFFERED_MAX_BYTES: usize = 48 * 1024 * 1024;

/// Servers to which connections are tried before another one is taken for ended.
const REFERENCES_MAX: usize = 3;

/// Largest request body, in bytes, after which a connection is reused. A server may
/// answer a larger body before it has read all of it.
const REUSE_BODY_MAX_BYTES: usize = 8 * 1024;

/// A response that was read in full.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers, hop-by-hop ones included.
    pub headers: HeaderMap,
    /// The body, within the pool's size limit.
    pub body: Bytes,
    /// Whose response it is.
    pub identity: Identity,
}

/// Why a call has no full response.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Failure {
    /// No connection was available or could be opened, or a new one was closed before the
    /// request was sent.
    #[display("unreachable: {_0}")]
    Unreachable(String),
    /// A reused connection was closed before the request was sent.
    #[display("stale connection")]
    Stale,
    /// The connection failed after sending began, or the response was malformed.
    #[display("broken: {_0}")]
    Broken(String),
    /// The connection failed after sending began, before the response was whole, and the server
    /// then refused a new connection: its process ended.
    #[display("server ended: {_0}")]
    Ended(String),
    /// The response body exceeds the pool's limit for one answer or for all together.
    #[display("answer too long")]
    TooLong,
}

/// Result of a call.
pub type Result = std::result::Result<Response, Failure>;

type Sender = http1::SendRequest<Full<Bytes>>;

/// An open connection, which closes when this is dropped, whatever the server still sends.
struct Connection {
    sender: Sender,
    meter: Meter,
    driver: AbortHandle,
    id: ConnectionId,
    /// Whether an answer over it named its request.
    has_named: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// An idle connection.
pub struct Idle {
    connection: Connection,
    since: Instant,
    /// Keep-alive time announced by the server, if any.
    keep_alive: Option<Duration>,
}

/// An event of a call or connection, to be passed to [`Pool::handle`].
pub enum Event<T> {
    /// A call ended.
    Done {
        /// Identifier of the call.
        ticket: T,
        /// Address of the server.
        address: SocketAddr,
        /// Response or failure.
        result: Result,
        /// The connection, if it can be reused.
        connection: Option<Box<Idle>>,
    },
    /// The connection of this call broke before the response was whole; its end follows when it is
    /// known whether the server ended.
    Broke(T),
    /// A connection to this server closed.
    Closed(SocketAddr),
}

/// Where a call goes and which connections it may use.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Address of the server.
    pub address: SocketAddr,
    /// Connection limit of the server, applied as [`Pool::call`] says.
    pub connections_max: u32,
    /// Whether to reuse only connections that the server is unlikely to be closing.
    pub avoid_stale: bool,
    /// Whether the connection is kept for further calls.
    pub keep: bool,
}

/// Bounds on what a call may buffer, and how its answer is told from others.
#[derive(Clone)]
struct Bounds {
    /// Most bytes of one body.
    body_max: usize,
    /// Bytes that all calls together may buffer.
    buffer: Buffer,
    /// How servers name requests; absent if it isn't compared.
    echo: Option<Echo>,
}

/// How servers name the request that they answer.
#[derive(Clone)]
struct Echo {
    /// Header with the identifier.
    header: HeaderName,
    /// Whether all servers do.
    is_required: bool,
}

impl Echo {
    /// Whose response these headers belong to, on a connection over which a server named a request
    /// before or did not.
    fn identity(
        &self,
        identifier: Option<&HeaderValue>,
        headers: &HeaderMap,
        has_named: bool,
    ) -> Identity {
        match headers.get(&self.header) {
            Some(echo) if identifier == Some(echo) => Identity::Own,
            Some(_) => Identity::Foreign,
            None if self.is_required || has_named => Identity::Missing,
            None => Identity::Unnamed,
        }
    }
}

/// Finds out whether a server ended after it broke the connection of a call.
struct Verdict<T> {
    ticket: T,
    events: mpsc::Sender<Event<T>>,
    /// Other servers, one of which must accept a connection; empty for no comparison.
    others: Vec<SocketAddr>,
    patience: Patience,
}

impl<T: Copy + Send + 'static> Verdict<T> {
    /// Why a call that was sent has no whole response: its server ended, or it goes on running.
    async fn failure(self, address: SocketAddr, error: &hyper::Error) -> Failure {
        let cause = error.to_string();
        if is_malformed(error) {
            return Failure::Broken(cause);
        }
        let Verdict {
            ticket,
            events,
            others,
            patience,
        } = self;
        drop(events.send(Event::Broke(ticket)).await);
        match probe::has_ended(address, &others, patience).await {
            true => Failure::Ended(cause),
            false => Failure::Broken(cause),
        }
    }
}

#[derive(Default)]
struct Server {
    idle: Vec<Idle>,
    /// Connections not yet closed, idle ones and those being dialed included.
    open: u32,
}

/// Connections to backend servers; `T` identifies a call.
pub struct Pool<T> {
    servers: BTreeMap<SocketAddr, Server>,
    /// Running calls; dropping the sender cancels the call.
    calls: BTreeMap<T, oneshot::Sender<()>>,
    events: mpsc::Sender<Event<T>>,
    bounds: Bounds,
    /// Whether a server counts as ended only while another one accepts connections.
    compares: bool,
    /// How long a call whose connection broke waits to learn whether the server ended.
    patience: Patience,
    opened: u64,
}

impl Idle {
    fn is_usable(&self, avoid_stale: bool) -> bool {
        if self.connection.sender.is_closed() {
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
    /// Creates a pool that sends its events to `events` and accepts response bodies of up
    /// to `answer_max` bytes.
    pub fn new(events: mpsc::Sender<Event<T>>, answer_max: usize) -> Pool<T> {
        Pool {
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            events,
            bounds: Bounds {
                body_max: answer_max,
                buffer: Buffer::new(BUFFERED_MAX_BYTES),
                echo: None,
            },
            compares: false,
            patience: Patience::default(),
            opened: 0,
        }
    }

    /// Starts a call on the usable connection that became idle last, or on a new one. A request with
    /// [`Carriers`] goes over each connection once at most. At the connection limit the oldest idle
    /// connection, if any, is closed to make room. New connections may exceed the limit by
    /// `CLOSING_CONNECTIONS_MAX`, also if none is closing; beyond that the call fails as
    /// unreachable.
    pub fn call(&mut self, ticket: T, options: Options, request: Request<Full<Bytes>>) {
        let Options {
            address,
            connections_max,
            avoid_stale,
            keep,
        } = options;
        let server = self.servers.entry(address).or_default();
        server
            .idle
            .retain(|idle| !idle.connection.sender.is_closed());
        let carriers = request.extensions().get::<Carriers>().cloned();
        let carried = |idle: &Idle| {
            let carriers = carriers.as_ref();
            carriers.is_some_and(|carriers| carriers.contains(idle.connection.id))
        };
        let usable = server
            .idle
            .iter()
            .rposition(|idle| idle.is_usable(avoid_stale) && !carried(idle));
        let connection = usable.map(|at| server.idle.remove(at));
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
                connection: ConnectionId(self.opened),
            }
        });
        let reused = connection.as_ref().map(|idle| idle.connection.id);
        let carrier = reused.or(guard.as_ref().map(|guard| guard.connection));
        if let (Some(carriers), Some(carrier)) = (carriers, carrier) {
            carriers.add(carrier);
        }
        let (cancel, cancelled) = oneshot::channel();
        self.calls.insert(ticket, cancel);
        let (events, bounds) = (self.events.clone(), self.bounds.clone());
        let verdict = Verdict {
            ticket,
            events: self.events.clone(),
            others: self.references(address),
            patience: self.patience,
        };
        tokio::spawn(async move {
            let task = exchange(address, request, connection, guard, bounds, verdict);
            tokio::select! {
                biased;
                _ = cancelled => {}
                (result, connection) = task => {
                    let connection = connection.filter(|_| keep).map(Box::new);
                    let event = Event::Done { ticket, address, result, connection };
                    drop(events.send(event).await);
                }
            }
        });
    }

    /// Other servers with open connections, which show whether this host's links work; none
    /// without [`Pool::with_comparison`].
    fn references(&self, address: SocketAddr) -> Vec<SocketAddr> {
        if !self.compares {
            return Vec::new();
        }
        let after = (Bound::Excluded(address), Bound::Unbounded);
        let after = self.servers.range(after);
        let others = after.chain(self.servers.range(..address));
        let open = others.filter(|(_, server)| server.open > 0);
        let addresses = open.map(|(address, _)| *address);
        addresses.take(REFERENCES_MAX).collect()
    }

    /// Cancels a call and closes its connection.
    pub fn abort(&mut self, ticket: &T) {
        self.calls.remove(ticket);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, address: &SocketAddr) {
        if let Some(server) = self.servers.get_mut(address) {
            server.idle.clear();
        }
    }

    /// Updates the pool after an event. Returns the result of a call that ended, unless the
    /// call was cancelled.
    pub fn handle(&mut self, event: Event<T>) -> Option<(T, Result)> {
        match event {
            Event::Done {
                ticket,
                address,
                result,
                connection,
            } => {
                let server = self.servers.entry(address).or_default();
                server.idle.extend(connection.map(|idle| *idle));
                self.calls.remove(&ticket)?;
                Some((ticket, result))
            }
            Event::Broke(_) => None,
            Event::Closed(address) => {
                let server = self.servers.entry(address).or_default();
                server.open = server.open.saturating_sub(1);
                server
                    .idle
                    .retain(|idle| !idle.connection.sender.is_closed());
                if server.open == 0 && server.idle.is_empty() {
                    self.servers.remove(&address);
                }
                None
            }
        }
    }

    /// Takes a server for ended only while another one accepts connections. Meant for pools with
    /// connections to many servers: of a few, all may have ended at once.
    pub fn with_comparison(mut self) -> Pool<T> {
        self.compares = true;
        self
    }

    /// Tells by this header, which servers may echo, whose answer a response is. A connection that
    /// delivers the answer to another request is closed: what else comes over it belongs to earlier
    /// requests too.
    pub fn with_echo(mut self, header: HeaderName) -> Pool<T> {
        self.bounds.echo = Some(Echo {
            header,
            is_required: false,
        });
        self
    }

    /// The same for servers that all echo the header: a response without it answers no request.
    pub fn with_required_echo(mut self, header: HeaderName) -> Pool<T> {
        self.bounds.echo = Some(Echo {
            header,
            is_required: true,
        });
        self
    }

    /// Sets how long a call whose connection broke waits to learn whether the server ended.
    pub fn with_patience(mut self, patience: Patience) -> Pool<T> {
        self.patience = patience;
        self
    }

    /// Sets the most bytes of answers that all calls together may buffer.
    pub fn with_buffered_max(mut self, bytes: usize) -> Pool<T> {
        self.bounds.buffer = Buffer::new(bytes);
        self
    }

    /// Bytes of unfinished answers that are buffered.
    pub fn buffered(&self) -> usize {
        self.bounds.buffer.used()
    }

    /// Number of open connections to all servers.
    pub fn open_connections(&self) -> u32 {
        self.servers.values().map(|server| server.open).sum()
    }

    /// Number of connections opened since the pool was created.
    pub fn opened_total(&self) -> u64 {
        self.opened
    }
}

/// Reports a connection as closed when dropped, also when dialing fails or is cancelled.
struct Guard<T: Send + 'static> {
    address: SocketAddr,
    events: mpsc::Sender<Event<T>>,
    connection: ConnectionId,
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

/// Sends a request and reads the response; also returns the connection if it can be reused.
async fn exchange<T: Copy + Send + 'static>(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    connection: Option<Idle>,
    guard: Option<Guard<T>>,
    bounds: Bounds,
    verdict: Verdict<T>,
) -> (Result, Option<Idle>) {
    let reused = connection.is_some();
    let request_bytes = hyper::body::Body::size_hint(request.body()).lower() as usize;
    let echo = bounds.echo.as_ref();
    let identifier = echo.and_then(|echo| request.headers().get(&echo.header));
    let identifier = identifier.cloned();
    let connection = match (connection, guard) {
        (Some(idle), _) => Ok(idle.connection),
        (None, Some(guard)) => dial(address, guard).await,
        (None, None) => Err(Failure::Unreachable("no connection is free".to_owned())),
    };
    let mut connection = match connection {
        Ok(connection) => connection,
        Err(failure) => return (Err(failure), None),
    };
    connection.meter.expect_head();
    let sent = match connection.sender.ready().await {
        Ok(()) => connection.sender.send_request(request).await,
        Err(error) => Err(error),
    };
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.is_canceled() || error.is_closed() => {
            let unsent = Failure::Unreachable(error.to_string());
            let failure = if reused { Failure::Stale } else { unsent };
            return (Err(failure), None);
        }
        Err(error) => return (Err(verdict.failure(address, &error).await), None),
    };
    let (head, incoming) = response.into_parts();
    if !http::is_final(head.status) {
        let cause = format!("status {} is no final answer", head.status.as_u16());
        return (Err(Failure::Broken(cause)), None);
    }
    let body = match read_body(incoming, &bounds, &connection.meter).await {
        Ok(body) => body,
        Err(body::Error::TooLong) => return (Err(Failure::TooLong), None),
        Err(body::Error::Broken { source }) => {
            drop(connection);
            return (Err(verdict.failure(address, &source).await), None);
        }
    };
    let has_named = connection.has_named;
    let identity = echo.map(|echo| echo.identity(identifier.as_ref(), &head.headers, has_named));
    let identity = identity.unwrap_or(Identity::Unnamed);
    let names_other = matches!(identity, Identity::Foreign | Identity::Missing);
    let closing = announces_close(&head.headers) || names_other;
    connection.has_named |= identity == Identity::Own;
    let idle = Idle {
        connection,
        since: Instant::now(),
        keep_alive: announced_keep_alive(&head.headers),
    };
    let response = Response {
        status: head.status,
        headers: head.headers,
        body,
        identity,
    };
    (
        Ok(response),
        Some(idle).filter(|_| !closing && request_bytes <= REUSE_BODY_MAX_BYTES),
    )
}

/// Whether a call ended because of what its server sent, and not because the connection broke: a
/// server that sends bytes has not ended.
fn is_malformed(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref());
    let kind = source.map(std::io::Error::kind);
    error.is_parse() || matches!(kind, Some(ErrorKind::InvalidData | ErrorKind::InvalidInput))
}

/// Reads a body within the bounds.
async fn read_body(incoming: Incoming, bounds: &Bounds, meter: &Meter) -> body::Result<Bytes> {
    let mut reserved = bounds.buffer.reserve();
    let reserve = |bytes| reserved.grow(bytes);
    body::read_with(incoming, bounds.body_max, meter, reserve).await
}

/// The `timeout` that a server announces in its `Keep-Alive` header.
fn announced_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = http::header_text(headers, "keep-alive")?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Opens a connection; `guard` lives as long as the connection.
async fn dial<T: Send + 'static>(
    address: SocketAddr,
    guard: Guard<T>,
) -> std::result::Result<Connection, Failure> {
    let unreachable = |cause: String| Failure::Unreachable(cause);
    let stream = match timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(unreachable(error.to_string())),
        Err(_) => return Err(unreachable("no answer to the connection".to_owned())),
    };
    socket::tune(&stream).map_err(|error| unreachable(error.to_string()))?;
    let id = guard.connection;
    let meter = Meter::default();
    let stream = Metered::new(stream, meter.clone());
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(READ_AHEAD_MAX_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    let task = tokio::spawn(async move {
        let guard = guard;
        if let Err(error) = driver.await {
            tracing::debug!(%address, %error, "backend connection ended");
        }
        drop(guard);
    });
    Ok(Connection {
        id,
        sender,
        meter,
        driver: task.abort_handle(),
        has_named: false,
    })
}

/// Whether a response has the header `Connection: close`.
fn announces_close(headers: &HeaderMap) -> bool {
    let text = headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok());
    text.is_some_and(|text| text.eq_ignore_ascii_case("close"))
}
