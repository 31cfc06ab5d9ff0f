//! Client for the platform's paged list of replicas. Called by `voter`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::timeout;
use wagtailbeam_decision::fleet::Fleet;
use wagtailbeam_decision::fleet::Versions;

use crate::body;
use crate::dialect::Dialect;
use crate::metered::Meter;
use crate::metered::Metered;
use crate::metered::READ_AHEAD_MAX_BYTES;
use crate::socket;

/// Time limit for reading all pages.
const READ_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Most pages of one list.
const PAGES_MAX: usize = 200;

/// Largest body of one page, in bytes.
const PAGE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Why the list can't be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection to the platform can't be opened.
    #[snafu(display("connection: {source}"))]
    Connect {
        /// Error of the socket.
        source: std::io::Error,
    },
    /// The HTTP exchange failed.
    #[snafu(display("exchange: {source}"))]
    Exchange {
        /// Error of the HTTP client.
        source: hyper::Error,
    },
    /// A page was answered with a status other than 200.
    #[snafu(display("status {status}"))]
    Status {
        /// Status of the response.
        status: StatusCode,
    },
    /// A page can't be requested or decoded, or there are too many.
    #[snafu(display("page: {cause}"))]
    Page {
        /// Description of the error.
        cause: String,
    },
    /// The time limit passed before all pages were read.
    #[snafu(display("timed out before all pages were read"))]
    Timeout,
}

/// Result of reading the list.
pub type Result<T> = std::result::Result<T, Error>;

/// Reads all pages and returns the replicas with the number of entries skipped as
/// unreadable.
///
/// # Errors
///
/// Any page that can't be read fails the whole list.
pub async fn fetch(address: SocketAddr, dialect: Arc<dyn Dialect>) -> Result<(Fleet, usize)> {
    match timeout(READ_TIMEOUT, fetch_pages(address, dialect)).await {
        Ok(result) => result,
        Err(_) => TimeoutSnafu.fail(),
    }
}

async fn fetch_pages(address: SocketAddr, dialect: Arc<dyn Dialect>) -> Result<(Fleet, usize)> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
    socket::tune(&stream).context(ConnectSnafu)?;
    let meter = Meter::default();
    let stream = Metered::new(stream, meter.clone());
    let (mut sender, driver) = http1::Builder::new()
        .max_buf_size(READ_AHEAD_MAX_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .context(ExchangeSnafu)?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            tracing::debug!(%error, "connection to the list failed");
        }
    });
    let mut replicas = Vec::new();
    let mut versions = Versions::new();
    let mut skipped = 0;
    let mut token = None;
    for _ in 0..PAGES_MAX {
        let path = dialect.list_path(token.as_deref());
        let request = Request::get(&path)
            .header(header::HOST, address.to_string())
            .body(Full::<Bytes>::default());
        let request = request.map_err(|error| Error::Page {
            cause: error.to_string(),
        })?;
        sender.ready().await.context(ExchangeSnafu)?;
        let response = sender.send_request(request).await.context(ExchangeSnafu)?;
        let status = response.status();
        if status != StatusCode::OK {
            return StatusSnafu { status }.fail();
        }
        let body = body::read(response.into_body(), PAGE_MAX_BYTES, &meter).await;
        let body = body.map_err(|error| Error::Page {
            cause: error.to_string(),
        })?;
        let page = dialect.page(&body).map_err(|cause| Error::Page { cause })?;
        replicas.extend(page.replicas);
        versions.extend(page.versions);
        skipped += page.skipped;
        token = page.next;
        if token.is_none() {
            return Ok((Fleet::new(replicas).with_versions(versions), skipped));
        }
    }
    let cause = format!("more than {PAGES_MAX} pages");
    PageSnafu { cause }.fail()
}
