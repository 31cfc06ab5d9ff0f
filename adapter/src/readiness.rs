//! The HTTP listener for the balancer's readiness checks of an entry host, and for the operators'
//! reports.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::accounts;
use crate::dialect::Dialect;
use crate::http;
use crate::ingress;
use crate::ingress::State;

/// Context of each connection.
#[derive(Clone)]
pub(crate) struct Checks {
    /// State published by the event loop.
    pub(crate) state: watch::Receiver<State>,
    /// Channel to the event loop.
    pub(crate) events: mpsc::Sender<ingress::Event>,
    /// Paths of the platform.
    pub(crate) dialect: Arc<dyn Dialect>,
}

/// Answers readiness checks with 200 if the published state is ready, else 503.
pub(crate) async fn listen(listener: TcpListener, checks: Checks) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "failed to accept a readiness check");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let checks = Arc::new(checks.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let checks = checks.clone();
            async move { Ok::<_, Infallible>(checks.handle(request).await) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "readiness check failed");
            }
        });
    }
}

impl Checks {
    async fn handle(&self, request: Request<Incoming>) -> http::Reply {
        let path = request.uri().path();
        if self.dialect.is_readiness(path) {
            return match self.state.borrow().ready {
                true => http::text(StatusCode::OK, "ready\n"),
                false => http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            };
        }
        match path == accounts::PATH && request.method() == Method::GET {
            true => accounts::reply(&self.events).await,
            false => http::text(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }
}
