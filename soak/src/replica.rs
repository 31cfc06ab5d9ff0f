//! Stand-ins for replicas: slow, silent, shedding, failing or spoiling as told.

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

use crate::ledger;
use crate::ledger::Shared;

/// Work for one request.
const WORK: Duration = Duration::from_millis(4);

/// Work for one request at a slow replica.
const WORK_SLOW: Duration = Duration::from_millis(120);

/// How a replica behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// As it should.
    #[default]
    Sound,
    /// It takes long.
    Slow,
    /// It answers nothing and runs nothing.
    Silent,
    /// It rejects all and runs nothing.
    Sheds,
    /// It runs requests and loses the answers.
    Loses,
    /// It answers with the identifier of another request.
    Spoils,
}

/// A replica.
pub struct Replica {
    /// Its name.
    pub id: Name,
    /// Its service.
    pub service: Name,
    mode: watch::Receiver<Mode>,
    headers: Headers,
    ledger: Shared,
}

/// Starts a replica at a free port of this address; returns where it listens, and
/// what sets its mode.
pub async fn start(
    id: Name,
    service: Name,
    at: SocketAddr,
    ledger: Shared,
) -> Result<(SocketAddr, watch::Sender<Mode>)> {
    let listener = TcpListener::bind(at).await?;
    let address = listener.local_addr()?;
    let (sender, mode) = watch::channel(Mode::Sound);
    let replica = Arc::new(Replica {
        id,
        service,
        mode,
        headers: Dialect::default().headers().clone(),
        ledger,
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
    // A connection that breaks is what a fault looks like here.
    drop(connection.await);
}

/// The answer is lost: its connection closes.
#[derive(Debug, derive_more::Display)]
struct Lost;

impl std::error::Error for Lost {}

impl From<Infallible> for Lost {
    fn from(never: Infallible) -> Lost {
        match never {}
    }
}

impl Replica {
    async fn handle(&self, request: Request<Incoming>) -> std::result::Result<http::Reply, Lost> {
        let headers = request.headers();
        let id = http::header_text(headers, self.headers.request.as_str()).unwrap_or_default();
        let id = id.to_owned();
        let meant = http::header_text(headers, self.headers.instance.as_str());
        if meant.is_some_and(|meant| *meant != *self.id) {
            return Ok(http::text(
                StatusCode::MISDIRECTED_REQUEST,
                "another replica",
            ));
        }
        let mode = *self.mode.borrow();
        let runs = !matches!(mode, Mode::Silent | Mode::Sheds);
        self.ledger
            .lock()
            .arrived(&self.service, &self.id, &id, runs);
        match mode {
            Mode::Silent => std::future::pending().await,
            Mode::Sheds => {
                let mut reply = http::text(StatusCode::SERVICE_UNAVAILABLE, "busy");
                set(&mut reply, &self.headers.not_run, "true");
                Ok(reply)
            }
            Mode::Loses => {
                tokio::time::sleep(WORK).await;
                Err(Lost)
            }
            Mode::Slow => {
                tokio::time::sleep(WORK_SLOW).await;
                Ok(self.answer(&id, &id))
            }
            Mode::Spoils => Ok(self.answer(&id, "another")),
            Mode::Sound => {
                tokio::time::sleep(WORK).await;
                Ok(self.answer(&id, &id))
            }
        }
    }

    fn answer(&self, id: &str, echo: &str) -> http::Reply {
        let body = ledger::records(&self.service, echo).concat();
        let mut reply = http::reply(StatusCode::OK, "application/octet-stream", body);
        set(&mut reply, &self.headers.request, echo);
        set(
            &mut reply,
            &self.headers.stamp,
            &format!("{}/{id}", self.service),
        );
        reply
    }
}

fn set<B>(reply: &mut Response<B>, name: &HeaderName, value: &str) {
    if let Ok(value) = value.parse() {
        reply.headers_mut().insert(name, value);
    }
}
