//! A fake of the platform's endpoint that lists all replicas, which the daemons poll.
//! It can be slow, fail or return garbage.

use std::convert::Infallible;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;
use wagtailbeam_adapter::http;
use wagtailbeam_platform::encode;
use wagtailbeam_platform::encode::Replica;

/// Response time in [`Mode::Slow`].
const SLOW_DELAY: Duration = Duration::from_millis(900);

/// How the endpoint answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Returns the list at once.
    #[default]
    Healthy,
    /// Returns the list after a delay.
    Slow,
    /// Returns status 503.
    Failing,
    /// Returns a body that isn't a list.
    Malformed,
}

/// What the endpoint serves at the moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The listed replicas.
    pub replicas: Vec<Replica>,
    /// How the list is served.
    pub mode: Mode,
}

/// Serves the list at `address`; each request gets the view current on its arrival.
pub async fn start(address: SocketAddr, view: watch::Receiver<View>) -> Result<()> {
    let listener = TcpListener::bind(address).await?;
    let view = Arc::new(view);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let view = view.clone();
            let service = service_fn(move |_| {
                let view = view.borrow().clone();
                async move { Ok::<_, Infallible>(answer(view).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    Ok(())
}

async fn answer(view: View) -> http::Reply {
    match view.mode {
        Mode::Failing => return http::text(StatusCode::SERVICE_UNAVAILABLE, "down"),
        Mode::Malformed => return http::text(StatusCode::OK, "<html>"),
        Mode::Slow => tokio::time::sleep(SLOW_DELAY).await,
        Mode::Healthy => {}
    }
    http::reply(
        StatusCode::OK,
        "application/json",
        encode::list(&view.replicas),
    )
}
