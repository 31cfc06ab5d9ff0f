//! The operators' port of a voter: configurations and failure domains.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Limited;
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
use wagtailbeam_decision::controller::Command;
use wagtailbeam_decision::controller::Outcome;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::tier::Change;

use crate::dialect::Call;
use crate::dialect::Dialect;
use crate::http;

/// Largest configuration, in bytes.
const DOCUMENT_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Longest time to send a head or a body.
const READ_MAX: Duration = Duration::from_secs(10);

/// What the port asks of the loop.
#[derive(Debug)]
pub struct Report {
    /// The order.
    pub order: Command,
    /// Where its outcome goes.
    pub answer: oneshot::Sender<Outcome>,
}

/// The operators' port.
pub struct Operate {
    /// Where orders go.
    pub reports: mpsc::Sender<Report>,
    /// The platform's names.
    pub dialect: Arc<dyn Dialect>,
    /// All failure domains; any is taken if none is known.
    pub domains: Vec<Name>,
}

/// A call that was refused before it reached the loop.
type Refused = Box<http::Reply>;

fn refuse(status: StatusCode, detail: &str) -> Refused {
    Box::new(http::text(status, detail))
}

/// Serves operators until the loop ends.
pub async fn listen(listener: TcpListener, operate: Arc<Operate>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = operate.reports.closed() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "an operator's connection could not be accepted");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let operate = operate.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let operate = operate.clone();
                async move { Ok::<_, Infallible>(operate.handle(request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(READ_MAX)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "an operator's connection broke");
            }
        });
    }
}

impl Operate {
    async fn handle(&self, request: Request<Incoming>) -> http::Reply {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        let order = match self.dialect.call(&method, &path) {
            Some(Call::Configure) => self.configure(request).await,
            Some(Call::Read) => Ok(Command::Read),
            Some(Call::Close(domain)) => {
                self.domain(&domain).map(Change::Close).map(Command::Change)
            }
            Some(Call::Open(domain)) => self.domain(&domain).map(Change::Open).map(Command::Change),
            None => Err(refuse(StatusCode::NOT_FOUND, "no such call\n")),
        };
        match order {
            Ok(order) => self.decide(order).await,
            Err(refused) => *refused,
        }
    }

    fn domain(&self, name: &str) -> Result<Name, Refused> {
        let known = self.domains.is_empty() || self.domains.iter().any(|known| **known == *name);
        let name = Name::parse(name).filter(|_| known);
        name.ok_or_else(|| refuse(StatusCode::NOT_FOUND, "no such failure domain\n"))
    }

    async fn configure(&self, request: Request<Incoming>) -> Result<Command, Refused> {
        let body = Limited::new(request.into_body(), DOCUMENT_MAX_BYTES).collect();
        let document = match tokio::time::timeout(READ_MAX, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                let detail = format!("the body can't be read: {error}\n");
                return Err(refuse(StatusCode::BAD_REQUEST, &detail));
            }
            Err(_) => {
                let detail = "the body took too long\n";
                return Err(refuse(StatusCode::REQUEST_TIMEOUT, detail));
            }
        };
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

    async fn decide(&self, order: Command) -> http::Reply {
        let (answer, answered) = oneshot::channel();
        let outcome = match self.reports.send(Report { order, answer }).await {
            Ok(()) => answered.await.unwrap_or(Outcome::Unknown),
            Err(_) => Outcome::Unknown,
        };
        match outcome {
            Outcome::State(state) if state.version > 0 => {
                http::reply(StatusCode::OK, "application/json", state.document.to_vec())
            }
            Outcome::State(_) => {
                let detail = "no configuration was accepted yet\n";
                http::text(StatusCode::SERVICE_UNAVAILABLE, detail)
            }
            Outcome::Done(_) => http::reply(StatusCode::OK, "application/json", "{}"),
            Outcome::Unknown => {
                let detail = "no majority of the voters answered in time\n";
                http::text(StatusCode::SERVICE_UNAVAILABLE, detail)
            }
        }
    }
}
