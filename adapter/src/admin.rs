//! The HTTP port for operators in a group with a settings file: applying files, status, reports,
//! health checks and metrics.
//!
//! The port sends each call as a [`Command`] to the loop in [`crate::node`]. Its client is
//! [`crate::client`].

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use wagtailbeam_decision::burn::Ledger;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::ini::Fault;
use wagtailbeam_decision::manifest::Manifest;
use wagtailbeam_decision::parse;
use wagtailbeam_decision::register::Acceptance;
use wagtailbeam_decision::register::Decision;
use wagtailbeam_decision::trace::Trace;

use crate::body;
use crate::frontend;
use crate::frontend::View;
use crate::http;
use crate::metered::Meter;
use crate::metered::Metered;
use crate::metered::READ_AHEAD_MAX_BYTES;
use crate::status::Status;

/// Largest operators' file, in bytes.
const FILE_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Longest time for a client to send the request headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls that the port sends to the loop, each with the channel for the reply.
#[derive(Debug)]
pub enum Command {
    /// Propose an operators' file to the voters.
    Apply(Arc<str>, oneshot::Sender<Decision>),
    /// Report the daemon's status.
    Status(oneshot::Sender<Status>),
    /// Find the trace of a recent request by its identifier; absent if it was not kept.
    Explain(String, oneshot::Sender<Option<Trace>>),
    /// Report the daemon's answers by service and caller.
    Burn(oneshot::Sender<Ledger>),
    /// Report all metrics as text.
    Metrics(oneshot::Sender<String>),
}

/// Outcome of an `apply` call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Applied {
    /// The voters decided on the file.
    Decided {
        /// Version of the file.
        version: u64,
        /// Whether the file was accepted, and why not.
        acceptance: Acceptance,
    },
    /// The file has faults and was not proposed to the voters.
    Faulty(Vec<Fault>),
    /// No majority answered in time; the file may or may not be accepted.
    Unknown,
}

/// Answer to a `burn` call: the input of the service-level burn report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Burn {
    /// Counts of the daemon's answers by service and caller.
    pub ledger: Ledger,
    /// The file in force, which holds the service-level objectives.
    pub manifest: Manifest,
    /// The daemon's wall clock, in minutes since the Unix epoch.
    pub minute: u64,
}

/// Shared state of all connections of operators.
pub struct Admin {
    /// Latest published state of the daemon.
    pub view: watch::Receiver<View>,
    /// Channel to the loop.
    pub commands: mpsc::Sender<Command>,
    /// Digest of the operators' bearer key.
    pub key: Digest,
}

/// Serves operators until the loop ends.
pub async fn listen(listener: TcpListener, admin: Arc<Admin>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = admin.commands.closed() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let admin = admin.clone();
        tokio::spawn(async move {
            let meter = Meter::default();
            let stream = Metered::new(stream, meter.clone());
            let service = service_fn(move |mut request: Request<Incoming>| {
                request.extensions_mut().insert(meter.clone());
                let admin = admin.clone();
                async move { Ok::<_, std::convert::Infallible>(admin.handle(request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(READ_AHEAD_MAX_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            drop(connection.await);
        });
    }
}

impl Admin {
    async fn handle(&self, request: Request<Incoming>) -> http::Reply {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/live" => return http::text(StatusCode::OK, "live\n"),
            "/ready" => return frontend::readiness_reply(&self.view.borrow()),
            "/metrics" => return self.metrics().await,
            _ => {}
        }
        if http::bearer_digest(request.headers()) != Some(self.key) {
            return http::text(
                StatusCode::UNAUTHORIZED,
                "the operators' bearer key is needed\n",
            );
        }
        let get = request.method() == Method::GET;
        match path.as_str() {
            "/apply" if request.method() == Method::POST => self.apply(request).await,
            "/status" if get => self.json_reply(Command::Status).await,
            "/burn" if get => self.burn().await,
            _ if get && path.starts_with("/explain/") => {
                let id = path["/explain/".len()..].to_owned();
                self.json_reply(|answer| Command::Explain(id, answer)).await
            }
            _ => http::text(StatusCode::NOT_FOUND, "no such resource\n"),
        }
    }

    /// Sends a command to the loop and waits for the reply; `None` if the loop has ended.
    async fn send<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        self.commands.send(command(answer)).await.ok()?;
        answered.await.ok()
    }

    /// Sends a command to the loop and returns the reply as JSON.
    async fn json_reply<T: Serialize>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> http::Reply {
        match self.send(command).await {
            Some(value) => http::json(StatusCode::OK, &value),
            None => http::text(StatusCode::SERVICE_UNAVAILABLE, "the daemon is stopping\n"),
        }
    }

    async fn metrics(&self) -> http::Reply {
        let text = self.send(Command::Metrics).await.unwrap_or_default();
        http::text(StatusCode::OK, &text)
    }

    async fn burn(&self) -> http::Reply {
        let ledger = self.send(Command::Burn).await.unwrap_or_default();
        let manifest = self.view.borrow().manifest.as_ref().clone();
        let burn = Burn {
            ledger,
            manifest,
            minute: minute_now(),
        };
        http::json(StatusCode::OK, &burn)
    }

    /// Checks the file in the request body and proposes it to the voters.
    async fn apply(&self, request: Request<Incoming>) -> http::Reply {
        let meter = Meter::of(request.extensions());
        let Ok(body) = body::read(request.into_body(), FILE_MAX_BYTES, &meter).await else {
            return http::text(StatusCode::PAYLOAD_TOO_LARGE, "the file is too large\n");
        };
        let Ok(text) = String::from_utf8(body.to_vec()) else {
            return http::text(StatusCode::BAD_REQUEST, "the file is not UTF-8\n");
        };
        let version = match parse::manifest(&text) {
            Ok(manifest) => manifest.version,
            Err(faults) => {
                return http::json(StatusCode::UNPROCESSABLE_ENTITY, &Applied::Faulty(faults));
            }
        };
        let decision = self
            .send(|answer| Command::Apply(text.into(), answer))
            .await;
        let applied = match decision {
            Some(Decision::File(acceptance)) => Applied::Decided {
                version,
                acceptance,
            },
            _ => Applied::Unknown,
        };
        http::json(StatusCode::OK, &applied)
    }
}

/// Minutes since the Unix epoch by the wall clock.
pub fn minute_now() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_secs() / 60)
}
