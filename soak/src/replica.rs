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

use crate::checker;
use crate::checker::Shared;

/// Work for one request.
const PROCESSING_TIME: Duration = Duration::from_millis(4);

/// Work for one request at a slow replica.
const PROCESSING_TIME_SLOW: Duration = Duration::from_millis(120);

/// How a replica behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// As it should.
    #[default]
    Healthy,
    /// It takes long.
    Slow,
    /// It answers nothing and runs nothing.
    Unresponsive,
    /// It rejects all and runs nothing.
    Shedding,
    /// It runs requests and loses the answers.
    LosingAnswers,
    /// It answers with the identifier of another request.
    WrongRequest,
}

/// A replica.
pub struct Replica {
    /// Its name.
    pub id: Name,
    /// Its service.
    pub service: Name,
    mode: watch::Receiver<Mode>,
    headers: Headers,
    checker: Shared,
}

/// Starts a replica at a free port of this address; returns where it listens, and
/// what sets its mode.
pub async fn start(
    id: Name,
    service: Name,
    bind_address: SocketAddr,
    checker: Shared,
) -> Result<(SocketAddr, watch::Sender<Mode>)> {
    let listener = TcpListener::bind(bind_address).await?;
    let address = listener.local_addr()?;
    let (sender, mode) = watch::channel(Mode::Healthy);
    let replica = Arc::new(Replica {
        id,
        service,
        mode,
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
    // A connection that breaks is what a fault looks like here.
    drop(connection.await);
}

/// The answer is lost: its connection closes.
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
            return Ok(http::text(
                StatusCode::MISDIRECTED_REQUEST,
                "another replica",
            ));
        }
        let mode = *self.mode.borrow();
        let runs = !matches!(mode, Mode::Unresponsive | Mode::Shedding);
        self.checker
            .lock()
            .record_arrival(&self.service, &self.id, &id, runs);
        match mode {
            Mode::Unresponsive => std::future::pending().await,
            Mode::Shedding => {
                let mut reply = http::text(StatusCode::SERVICE_UNAVAILABLE, "busy");
                set_header(&mut reply, &self.headers.not_run, "true");
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

    fn answer(&self, id: &str, answered_id: &str) -> http::Reply {
        let body = checker::records(&self.service, answered_id).concat();
        let mut reply = http::reply(StatusCode::OK, "application/octet-stream", body);
        set_header(&mut reply, &self.headers.request, answered_id);
        set_header(
            &mut reply,
            &self.headers.stamp,
            &format!("{}/{id}", self.service),
        );
        reply
    }
}

fn set_header<B>(reply: &mut Response<B>, name: &HeaderName, value: &str) {
    if let Ok(value) = value.parse() {
        reply.headers_mut().insert(name, value);
    }
}
