//! The HTTP listener for the balancer's readiness checks of an entry host.

use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::dialect::Dialect;
use crate::http;
use crate::ingress::State;

/// Answers readiness checks with 200 if the published state is ready, else 503.
pub async fn listen(
    listener: TcpListener,
    state: watch::Receiver<State>,
    dialect: Arc<dyn Dialect>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "failed to accept a readiness check");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let (state, dialect) = (state.clone(), dialect.clone());
        let service = service_fn(move |request: Request<hyper::body::Incoming>| {
            let is_readiness = dialect.is_readiness(request.uri().path());
            let reply = match (is_readiness, state.borrow().ready) {
                (false, _) => http::text(StatusCode::NOT_FOUND, "no such page\n"),
                (true, true) => http::text(StatusCode::OK, "ready\n"),
                (true, false) => http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            };
            async move { Ok::<_, std::convert::Infallible>(reply) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "readiness check failed");
            }
        });
    }
}
