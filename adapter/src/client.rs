//! HTTP client of the operators' port, which is served by [`crate::admin`]. The operators'
//! command line in [`crate::cli`] uses it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use wagtailbeam_decision::trace::Trace;

use crate::accounts;
use crate::admin::Applied;
use crate::admin::Burn;
use crate::body;
use crate::metered::Meter;
use crate::metered::Metered;
use crate::metered::READ_AHEAD_MAX_BYTES;
use crate::status::Status;

/// Longest time for one call, including the connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest answer, in bytes; the accounts of a large tier take a few megabytes.
const ANSWER_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Interval at which `wait_in_force` asks for the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The daemon can't be reached.
    #[snafu(display("{address}: {cause}"))]
    Unreachable {
        /// Address of the daemon's operators' port.
        address: SocketAddr,
        /// Error of the connection, or a timeout.
        cause: String,
    },
    /// The daemon refused the call.
    #[snafu(display("{address}: status {status}: {detail}"))]
    Refused {
        /// Address of the daemon's operators' port.
        address: SocketAddr,
        /// HTTP status of the response.
        status: u16,
        /// Body of the response as text.
        detail: String,
    },
    /// The response body can't be decoded.
    #[snafu(display("cannot decode the daemon's answer: {source}"))]
    Answer {
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// A client of one daemon's operators' port.
#[derive(Clone, Debug)]
pub struct Client {
    /// Address of the operators' port.
    pub address: SocketAddr,
    /// The operators' bearer key; empty for calls that need none.
    pub key: String,
}

impl Client {
    /// A client of the daemon at `address` with the same key.
    pub fn with_address(&self, address: SocketAddr) -> Client {
        Client {
            address,
            key: self.key.clone(),
        }
    }

    /// Makes a call and decodes the JSON answer. Status 422 carries a JSON answer too.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T> {
        let answer = tokio::time::timeout(CALL_TIMEOUT, self.exchange(method, path, body)).await;
        let (status, body) = match answer {
            Ok(answer) => answer?,
            Err(_) => {
                let cause = "no answer in time".to_owned();
                return Err(Error::Unreachable {
                    address: self.address,
                    cause,
                });
            }
        };
        if status >= 400 && status != 422 {
            let detail = String::from_utf8_lossy(&body).trim().to_owned();
            return Err(Error::Refused {
                address: self.address,
                status,
                detail,
            });
        }
        serde_json::from_slice(&body).context(AnswerSnafu)
    }

    /// Sends one request over a new connection, which closes with this call, and returns the status
    /// and body.
    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<(u16, Bytes)> {
        let unreachable = |cause: String| Error::Unreachable {
            address: self.address,
            cause,
        };
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|error| unreachable(error.to_string()))?;
        let meter = Meter::default();
        let stream = Metered::new(stream, meter.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(READ_AHEAD_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (mut sender, driver) = handshake.map_err(|error| unreachable(error.to_string()))?;
        let mut connection = JoinSet::new();
        connection.spawn(driver);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string());
        if !self.key.is_empty() {
            request = request.header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| unreachable(error.to_string()))?;
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| unreachable(error.to_string()))?;
        let status = response.status().as_u16();
        let body = body::read(response.into_body(), ANSWER_MAX_BYTES, &meter).await;
        let body = body.map_err(|error| unreachable(error.to_string()))?;
        Ok((status, body))
    }

    /// Proposes the operators' file `text` to the voters.
    pub async fn apply(&self, text: &str) -> Result<Applied> {
        self.call(Method::POST, "/apply", text.to_owned().into())
            .await
    }

    /// The daemon's status.
    pub async fn status(&self) -> Result<Status> {
        self.call(Method::GET, "/status", Bytes::new()).await
    }

    /// The trace of a recent request; absent if the daemon did not keep it.
    pub async fn explain(&self, request: &str) -> Result<Option<Trace>> {
        self.call(Method::GET, &format!("/explain/{request}"), Bytes::new())
            .await
    }

    /// The daemon's answers by service and caller, with the file in force.
    pub async fn burn(&self) -> Result<Burn> {
        self.call(Method::GET, "/burn", Bytes::new()).await
    }

    /// The client accounts as an entry host of a discovered tier sees them.
    pub async fn accounts(&self) -> Result<accounts::Report> {
        self.call(Method::GET, accounts::PATH, Bytes::new()).await
    }

    /// Waits until all daemons have at least `version` in force, but no longer than `limit`.
    /// Returns how many daemons have the version, and the number of daemons.
    pub async fn wait_in_force(&self, version: u64, limit: Duration) -> (usize, usize) {
        let started = Instant::now();
        let mut counts = (0, 0);
        loop {
            if let Ok(status) = self.status().await {
                counts = (status.count_in_force(version), status.members.len());
            }
            let is_complete = counts.0 == counts.1 && counts.1 > 0;
            if is_complete || started.elapsed() >= limit {
                return counts;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
