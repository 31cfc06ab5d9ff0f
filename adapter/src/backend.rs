//! Calls to backend servers over HTTP/1.1, one at a time per connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;
use serde_json::value::RawValue;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wagtailbeam_decision::exchange::Call;
use wagtailbeam_decision::exchange::Exchange;
use wagtailbeam_decision::gate::Ticket;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::request::Answer;

use crate::http;

type Connection = http1::SendRequest<Full<Bytes>>;

/// What the calls tell the loop.
pub enum Report {
    /// A call ended; its connection may be used again.
    Done {
        /// The call.
        ticket: Ticket,
        /// The server.
        replica: SocketAddr,
        /// What it came to.
        exchange: Exchange,
        /// The connection, if it is whole.
        connection: Option<Connection>,
    },
    /// A connection ended.
    Closed(SocketAddr),
}

#[derive(Default)]
struct Server {
    idle: Vec<Connection>,
    open: u32,
}

/// Connections to backend servers.
pub struct Pool {
    servers: BTreeMap<SocketAddr, Server>,
    calls: BTreeMap<Ticket, oneshot::Sender<()>>,
    reports: mpsc::Sender<Report>,
    answer_max: usize,
}

impl Pool {
    /// A pool that reports to `reports` and takes answers up to `answer_max` bytes.
    pub fn new(reports: mpsc::Sender<Report>, answer_max: usize) -> Pool {
        Pool {
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            reports,
            answer_max,
        }
    }

    /// Starts a call; a new connection is opened only below `connections`.
    pub fn call(&mut self, call: Call, connections: u32) {
        let server = self.servers.entry(call.replica).or_default();
        let connection = std::iter::from_fn(|| server.idle.pop()).find(|c| !c.is_closed());
        let may_dial = server.open < connections;
        let guard = (connection.is_none() && may_dial).then(|| {
            server.open += 1;
            Guard {
                replica: call.replica,
                reports: self.reports.clone(),
            }
        });
        let (cancel, cancelled) = oneshot::channel();
        self.calls.insert(call.ticket, cancel);
        let (reports, answer_max) = (self.reports.clone(), self.answer_max);
        tokio::spawn(async move {
            let (ticket, replica) = (call.ticket, call.replica);
            let task = run(call, connection, guard, answer_max);
            tokio::select! {
                biased;
                _ = cancelled => {}
                (exchange, connection) = task => {
                    let report = Report::Done { ticket, replica, exchange, connection };
                    drop(reports.send(report).await);
                }
            }
        });
    }

    /// Gives up a call; its connection is closed.
    pub fn abort(&mut self, ticket: Ticket) {
        self.calls.remove(&ticket);
    }

    /// Closes the idle connections to a server.
    pub fn release(&mut self, replica: &SocketAddr) {
        if let Some(server) = self.servers.get_mut(replica) {
            server.idle.clear();
        }
    }

    /// Takes a report, and returns the end of a call.
    pub fn take(&mut self, report: Report) -> Option<(Ticket, Exchange)> {
        match report {
            Report::Done {
                ticket,
                replica,
                exchange,
                connection,
            } => {
                let server = self.servers.entry(replica).or_default();
                server.idle.extend(connection);
                self.calls.remove(&ticket)?;
                Some((ticket, exchange))
            }
            Report::Closed(replica) => {
                let server = self.servers.entry(replica).or_default();
                server.open = server.open.saturating_sub(1);
                server.idle.retain(|connection| !connection.is_closed());
                None
            }
        }
    }

    /// Connections open to all servers.
    pub fn open(&self) -> u32 {
        self.servers.values().map(|server| server.open).sum()
    }
}

/// Tells the loop that a connection ended, also if dialing was given up.
struct Guard {
    replica: SocketAddr,
    reports: mpsc::Sender<Report>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let (replica, reports) = (self.replica, self.reports.clone());
        if reports.try_send(Report::Closed(replica)).is_ok() {
            return;
        }
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { drop(reports.send(Report::Closed(replica)).await) });
        }
    }
}

async fn run(
    call: Call,
    connection: Option<Connection>,
    guard: Option<Guard>,
    answer_max: usize,
) -> (Exchange, Option<Connection>) {
    let reused = connection.is_some();
    let mut connection = match (connection, guard) {
        (Some(connection), _) => connection,
        (None, Some(guard)) => match dial(call.replica, guard).await {
            Some(connection) => connection,
            None => return (Exchange::NotSent, None),
        },
        (None, None) => return (Exchange::NotSent, None),
    };
    let id = format!("{}.{}", call.request.id, call.ticket);
    let sent = match connection.ready().await {
        Ok(()) => connection.send_request(request(&call, &id)).await,
        Err(error) => Err(error),
    };
    match sent {
        Ok(response) => {
            let exchange = read(&call, &id, response, answer_max).await;
            let whole = matches!(exchange, Exchange::Done { .. });
            (exchange, Some(connection).filter(|_| whole))
        }
        Err(error) if error.is_canceled() || error.is_closed() => match reused {
            true => (Exchange::Stale, None),
            false => (Exchange::NotSent, None),
        },
        Err(_) => (Exchange::Broken, None),
    }
}

async fn dial(replica: SocketAddr, guard: Guard) -> Option<Connection> {
    let stream = TcpStream::connect(replica).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        drop(driver.await);
        drop(guard);
    });
    Some(sender)
}

fn request(call: &Call, id: &str) -> Request<Full<Bytes>> {
    let request = &call.request;
    let mut builder = Request::builder()
        .method(request.method.as_str())
        .uri(&request.path)
        .header(header::HOST, call.replica.to_string())
        .header(http::REQUEST, id)
        .header(http::CALLER, &*request.caller)
        .header(http::DEADLINE, call.left.as_ms());
    if let Some(index) = call.pin {
        builder = builder.header(http::INDEX, index);
    }
    if let Some(key) = &request.key {
        builder = builder.header(http::KEY, key);
    }
    if let Some(kind) = &request.content_type {
        builder = builder.header(header::CONTENT_TYPE, kind);
    }
    let body = Full::new(request.body.clone());
    builder.body(body).unwrap_or_default()
}

async fn read(call: &Call, id: &str, response: Response<Incoming>, answer_max: usize) -> Exchange {
    let (head, body) = response.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let body = match Limited::new(body, answer_max).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => return Exchange::Garbled,
        Err(_) => return Exchange::Broken,
    };
    if text(http::REQUEST).is_some_and(|echo| echo != id) {
        return Exchange::Garbled;
    }
    let wants_json = call.request.method == "GET" && head.status.is_success();
    if wants_json && serde_json::from_slice::<&RawValue>(&body).is_err() {
        return Exchange::Garbled;
    }
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let answer = Answer {
        status: head.status.as_u16(),
        index: text(http::INDEX).and_then(|index| index.parse().ok()),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body,
    };
    Exchange::Done {
        answer,
        boot: text(http::BOOT).map(Name::from),
        draining: text(http::DRAINING).is_some(),
        shed: text(http::SHED).is_some(),
    }
}
