//! Fake replicas (backend servers). They report each request to the checker and
//! answer as their mode says: correctly, slowly, wrongly or not at all.

use std::convert::Infallible;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::header::RETRY_AFTER;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use wagtailbeam_adapter::dialect::Dialect as _;
use wagtailbeam_adapter::dialect::Headers;
use wagtailbeam_adapter::http;
use wagtailbeam_decision::name::Name;
use wagtailbeam_platform::Dialect;

use crate::account::ledger::Arrival;
use crate::checker;
use crate::checker::Shared;
use crate::notice::Notice;
use crate::odd::Odd;

/// Processing time of a request, except in [`Mode::Slow`] and [`Mode::WrongRequest`].
const PROCESSING_TIME: Duration = Duration::from_millis(4);

/// Processing time of a request in [`Mode::Slow`].
const PROCESSING_TIME_SLOW: Duration = Duration::from_millis(120);

/// Time for which a replica is down after a fatal request ended its process.
const DOWN_TIME: Duration = Duration::from_millis(1_500);

/// End of the path of requests that end the process of each replica that begins to run them.
pub const FATAL_SUFFIX: &str = "/fatal";

/// How a replica behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Runs requests and answers them correctly.
    #[default]
    Healthy,
    /// Runs requests slowly and answers them correctly.
    Slow,
    /// Accepts requests, but neither runs nor answers them.
    Unresponsive,
    /// Rejects each request with status 503 and runs none.
    Shedding,
    /// Runs requests and closes the connection instead of answering.
    LosingAnswers,
    /// Runs requests, but answers with the id and the records of another request.
    WrongRequest,
}

/// A replica of one service.
pub struct Replica {
    /// Instance id, as it appears in the list.
    pub id: Name,
    /// Name of the service.
    pub service: Name,
    mode: watch::Receiver<Mode>,
    /// Requests per second that it takes from all hosts together; absent without a limit.
    limit: watch::Receiver<Option<f64>>,
    /// What it says of itself.
    notice: watch::Receiver<Notice>,
    /// Whether the process has ended and is not back yet.
    down: watch::Sender<bool>,
    headers: Headers,
    checker: Shared,
}

/// Starts a replica on a free port of `bind_address`. Returns the address that the replica
/// listens on, and the sender that sets its mode. Its answers name the limit that `limit`
/// holds. The replica sets `down` to true when a
/// fatal request ends its process, and to false when it is back.
pub async fn start(
    id: Name,
    service: Name,
    bind_address: SocketAddr,
    checker: Shared,
    down: watch::Sender<bool>,
    limit: watch::Receiver<Option<f64>>,
    notice: watch::Receiver<Notice>,
) -> Result<(SocketAddr, watch::Sender<Mode>)> {
    let listener = TcpListener::bind(bind_address).await?;
    let address = listener.local_addr()?;
    let (sender, mode) = watch::channel(Mode::Healthy);
    let replica = Arc::new(Replica {
        id,
        service,
        mode,
        limit,
        notice,
        down,
        headers: Dialect::default().headers().clone(),
        checker,
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, replica.clone()));
        }
    });
    Ok((address, sender))
}

async fn serve(stream: TcpStream, replica: Arc<Replica>) {
    let service = service_fn(move |request| {
        let replica = replica.clone();
        async move { replica.handle(request).await }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // Injected faults break connections, so an error here is expected.
    drop(connection.await);
}

/// An error that makes the HTTP server close the connection without an answer.
#[derive(Debug, derive_more::Display)]
struct Disconnect;

impl std::error::Error for Disconnect {}

impl From<Infallible> for Disconnect {
    fn from(never: Infallible) -> Disconnect {
        match never {}
    }
}

impl Replica {
    async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> std::result::Result<http::Reply, Disconnect> {
        let headers = request.headers();
        let id = http::header_text(headers, self.headers.request.as_str()).unwrap_or_default();
        let id = id.to_owned();
        let instance = http::header_text(headers, self.headers.instance.as_str());
        if instance.is_some_and(|instance| *instance != *self.id) {
            let mut reply = http::text(StatusCode::MISDIRECTED_REQUEST, "another replica");
            self.say_not_run(&mut reply, &id);
            return Ok(reply);
        }
        let mode = *self.mode.borrow();
        let works = matches!(mode, Mode::Healthy | Mode::Slow);
        let overloaded = match *self.notice.borrow() {
            Notice::Overloaded(wait) if works => Some(wait),
            _ => None,
        };
        let odd = match *self.notice.borrow() {
            Notice::Odd(seed) if works => Odd::draw(seed, &self.id, &id),
            _ => None,
        };
        let fatal = request.uri().path().ends_with(FATAL_SUFFIX);
        let odd = odd.filter(|_| !fatal);
        let runs = !matches!(mode, Mode::Unresponsive | Mode::Shedding) && overloaded.is_none();
        let runs = odd.map_or(runs, |odd| odd.runs);
        self.checker
            .lock()
            .record_arrival(&self.service, &self.id, &id, runs);
        self.checker.lock().accounts.record_arrival(Arrival {
            replica: &self.id,
            request: &id,
            uri: request.uri(),
            headers: request.headers(),
            runs,
        });
        if runs && fatal {
            self.end_process(request.uri().path(), &id);
            return Err(Disconnect);
        }
        if let Some(odd) = odd {
            tokio::time::sleep(PROCESSING_TIME).await;
            let stamp = format!("{}/{id}", self.service);
            let body = checker::records(&self.service, &id).concat();
            return Ok(odd.reply(&self.headers, &id, &stamp, body));
        }
        if let Some(wait) = overloaded {
            self.checker.lock().record_overloaded(&self.id, wait);
            let mut reply = http::text(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
            self.say_not_run(&mut reply, &id);
            set_header(&mut reply, &RETRY_AFTER, &wait.as_secs_f64().to_string());
            return Ok(reply);
        }
        match mode {
            Mode::Unresponsive => std::future::pending().await,
            Mode::Shedding => {
                let mut reply = http::text(StatusCode::SERVICE_UNAVAILABLE, "busy");
                self.say_not_run(&mut reply, &id);
                self.name_limit(&mut reply);
                Ok(reply)
            }
            Mode::LosingAnswers => {
                tokio::time::sleep(PROCESSING_TIME).await;
                Err(Disconnect)
            }
            Mode::Slow => {
                tokio::time::sleep(PROCESSING_TIME_SLOW).await;
                Ok(self.answer(&id, &id))
            }
            Mode::WrongRequest => Ok(self.answer(&id, "another")),
            Mode::Healthy => {
                tokio::time::sleep(PROCESSING_TIME).await;
                Ok(self.answer(&id, &id))
            }
        }
    }

    /// Ends the process under the request `id`; it is back after [`DOWN_TIME`].
    fn end_process(&self, path: &str, id: &str) {
        self.checker.lock().record_ended(path, id);
        self.down.send_replace(true);
        let down = self.down.clone();
        tokio::spawn(async move {
            tokio::time::sleep(DOWN_TIME).await;
            down.send_replace(false);
        });
    }

    /// A successful answer that claims to be for the request `answered_id`; only the stamp
    /// names `id`.
    fn answer(&self, id: &str, answered_id: &str) -> http::Reply {
        let body = checker::records(&self.service, answered_id).concat();
        let mut reply = http::reply(StatusCode::OK, "application/octet-stream", body);
        set_header(&mut reply, &self.headers.request, answered_id);
        set_header(
            &mut reply,
            &self.headers.stamp,
            &format!("{}/{id}", self.service),
        );
        self.name_limit(&mut reply);
        if *self.notice.borrow() == Notice::Leaving {
            set_header(&mut reply, &self.headers.leaving, "1");
            self.checker.lock().record_leaving(&self.id);
        }
        reply
    }

    /// Says in an answer that this request did not run.
    fn say_not_run(&self, reply: &mut http::Reply, id: &str) {
        set_header(reply, &self.headers.request, id);
        set_header(reply, &self.headers.not_run, "true");
    }

    /// Names the limit, if there is one, in an answer.
    fn name_limit(&self, reply: &mut http::Reply) {
        if let Some(limit) = *self.limit.borrow() {
            set_header(reply, &self.headers.limit, &limit.to_string());
            self.checker.lock().record_limit_named(&self.id);
        }
    }
}

fn set_header<B>(reply: &mut Response<B>, name: &HeaderName, value: &str) {
    if let Ok(value) = value.parse() {
        reply.headers_mut().insert(name, value);
    }
}
