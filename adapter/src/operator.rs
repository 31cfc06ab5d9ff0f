//! The operators' HTTP API of a voter: reads and changes the configuration, takes failure domains
//! out of service and back, and begins rollouts.
//!
//! Commands are checked here and submitted to the loop in `voter`, which decides them.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wagtailbeam_decision::command::Command;
use wagtailbeam_decision::command::Outcome;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::tier::Change;
use wagtailbeam_decision::tier::DOCUMENT_MAX_BYTES;

use crate::body;
use crate::dialect;
use crate::dialect::Dialect;
use crate::http;
use crate::metered::Meter;
use crate::metered::Metered;
use crate::metered::READ_AHEAD_MAX_BYTES;

/// Time limit for reading a request's head, and for reading its body.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// An operator's command, submitted to the voter's loop.
#[derive(Debug)]
pub struct Submission {
    /// Command to decide.
    pub command: Command,
    /// Where the outcome goes.
    pub answer: oneshot::Sender<Outcome>,
}

/// Shared context of all operators' connections.
pub struct Api {
    /// Channel to the voter's loop.
    pub submissions: mpsc::Sender<Submission>,
    /// Paths and formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// All failure domains; if empty, any name is accepted.
    pub domains: Vec<Name>,
}

/// The answer to a command that was refused before it was submitted.
pub(crate) type Refused = Box<http::Reply>;

pub(crate) fn refuse(status: StatusCode, detail: &str) -> Refused {
    Box::new(http::text(status, detail))
}

/// Serves operators until the voter's loop ends.
pub async fn listen(listener: TcpListener, api: Arc<Api>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = api.submissions.closed() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "failed to accept an operator's connection");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let api = api.clone();
        tokio::spawn(async move {
            let meter = Meter::default();
            let stream = Metered::new(stream, meter.clone());
            let service = service_fn(move |mut request: Request<Incoming>| {
                request.extensions_mut().insert(meter.clone());
                let api = api.clone();
                async move { Ok::<_, Infallible>(api.handle(request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(READ_TIMEOUT)
                .max_buf_size(READ_AHEAD_MAX_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "operator's connection failed");
            }
        });
    }
}

impl Api {
    async fn handle(&self, request: Request<Incoming>) -> http::Reply {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        let command = match self.dialect.command(&method, &path) {
            Some(dialect::Command::Configure) => self.read_configuration(request).await,
            Some(dialect::Command::Read) => Ok(Command::Read),
            Some(dialect::Command::Close(domain)) => self
                .parse_domain(&domain)
                .map(Change::Close)
                .map(Command::Change),
            Some(dialect::Command::Open(domain)) => self
                .parse_domain(&domain)
                .map(Change::Open)
                .map(Command::Change),
            Some(dialect::Command::Rollout) => return self.begin_rollout(request).await,
            Some(dialect::Command::ReadRollout(service)) => {
                return self.read_rollout(&service).await;
            }
            None => Err(refuse(StatusCode::NOT_FOUND, "no such call\n")),
        };
        match command {
            Ok(command) => self.submit(command).await,
            Err(refused) => *refused,
        }
    }

    /// Parses the name of a failure domain; an unknown one is refused.
    fn parse_domain(&self, name: &str) -> Result<Name, Refused> {
        let known = self.domains.is_empty() || self.domains.iter().any(|known| **known == *name);
        let name = Name::parse(name).filter(|_| known);
        name.ok_or_else(|| refuse(StatusCode::NOT_FOUND, "no such failure domain\n"))
    }

    /// Reads and checks a configuration before it is submitted.
    async fn read_configuration(&self, request: Request<Incoming>) -> Result<Command, Refused> {
        let document =
            read_body(request, DOCUMENT_MAX_BYTES, StatusCode::PAYLOAD_TOO_LARGE).await?;
        match self.dialect.catalog(&document) {
            Ok(catalog) => Ok(Command::Change(Change::Configure {
                version: catalog.version,
                document: document.as_ref().into(),
            })),
            Err(fault) => {
                let detail = format!("{fault}\n");
                Err(refuse(StatusCode::BAD_REQUEST, &detail))
            }
        }
    }

    /// Submits a command and returns its outcome.
    pub(crate) async fn decide(&self, command: Command) -> Outcome {
        // Lets the connection notice that the operator closed it, which drops the command.
        tokio::task::yield_now().await;
        let (answer, outcome) = oneshot::channel();
        match self.submissions.send(Submission { command, answer }).await {
            Ok(()) => outcome.await.unwrap_or(Outcome::Unknown),
            Err(_) => Outcome::Unknown,
        }
    }

    /// Submits a command and answers with its outcome.
    async fn submit(&self, command: Command) -> http::Reply {
        match self.decide(command).await {
            Outcome::State(state) if state.version > 0 => {
                http::reply(StatusCode::OK, "application/json", state.document.to_vec())
            }
            Outcome::State(_) => {
                let detail = "no configuration was accepted yet\n";
                http::text(StatusCode::SERVICE_UNAVAILABLE, detail)
            }
            Outcome::Done(_) => http::reply(StatusCode::OK, "application/json", "{}"),
            Outcome::Overtaken => overtaken(),
            Outcome::Unknown => unknown(),
        }
    }
}

/// Reads the body of an operator's request, of at most `max` bytes; a longer one is refused with the
/// status `too_long`.
pub(crate) async fn read_body(
    request: Request<Incoming>,
    max: usize,
    too_long: StatusCode,
) -> Result<Bytes, Refused> {
    let meter = Meter::of(request.extensions());
    let body = body::read(request.into_body(), max, &meter);
    match tokio::time::timeout(READ_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(body::Error::TooLong)) => {
            let detail = format!("the body is longer than {max} bytes\n");
            Err(refuse(too_long, &detail))
        }
        Ok(Err(error)) => {
            let detail = format!("the body can't be read: {error}\n");
            Err(refuse(StatusCode::BAD_REQUEST, &detail))
        }
        Err(_) => {
            let detail = "the body took too long\n";
            Err(refuse(StatusCode::REQUEST_TIMEOUT, detail))
        }
    }
}

/// The answer if a newer order on the same matter was carried out first.
pub(crate) fn overtaken() -> http::Reply {
    let detail = "a newer order was carried out since this one may have been given\n";
    http::text(StatusCode::SERVICE_UNAVAILABLE, detail)
}

/// The answer if no majority of the voters decided in time.
pub(crate) fn unknown() -> http::Reply {
    let detail = "no majority of the voters answered in time\n";
    http::text(StatusCode::SERVICE_UNAVAILABLE, detail)
}
