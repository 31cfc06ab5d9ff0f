//! The operator: applies new configurations through random voters, reads the configuration
//! in force back and checks its version.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use wagtailbeam_adapter::dialect::Dialect as _;
use wagtailbeam_platform::Dialect;
use wagtailbeam_platform::encode;

use crate::checker::Shared;
use crate::deployment::Deployment;
use crate::deployment::HOSTNAME;
use crate::deployment::VOTERS;

/// Longest wait for an answer to one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Range of the random pause after each call, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 60..500;

/// The only operator of a run, so that configuration versions increase.
pub struct Operator {
    deployment: Deployment,
    checker: Shared,
    rng: ChaCha8Rng,
    last_sent: u64,
    newest_seen: u64,
}

impl Operator {
    /// Creates an operator whose first configuration has version 1.
    pub fn new(seed: u64, deployment: &Deployment, checker: Shared) -> Operator {
        Operator {
            deployment: deployment.clone(),
            checker,
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_sent: 0,
            newest_seen: 0,
        }
    }

    /// Applies and reads configurations until `stopped` becomes true.
    pub async fn run(mut self, stopped: watch::Receiver<bool>) -> Operator {
        while !*stopped.borrow() {
            let voter = self.rng.random_range(0..VOTERS);
            match self.rng.random_bool(0.5) {
                true => drop(self.configure(voter).await),
                false => drop(self.read(voter).await),
            }
            let pause = self.rng.random_range(PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        self
    }

    /// Applies the next version through a voter. Returns whether the voter accepted it.
    pub async fn configure(&mut self, voter: usize) -> bool {
        self.last_sent += 1;
        let configuration = encode::Configuration {
            accounts: self.checker.lock().accounts.declare(self.last_sent),
            ..self.deployment.configuration(self.last_sent)
        };
        let document = encode::configuration(&configuration);
        self.checker.lock().versions.record_sent(self.last_sent);
        let address = self.deployment.operator_address(voter);
        let answer = call(address, Method::PUT, document.into()).await;
        let accepted = answer.is_some_and(|(status, _)| status == 200);
        if accepted {
            self.newest_seen = self.newest_seen.max(self.last_sent);
            self.checker.lock().accounts.confirm(self.last_sent);
            self.checker.lock().versions.record_confirmed();
        }
        accepted
    }

    /// Reads the version in force from a voter; `None` if it gives no valid answer. Reports a
    /// violation if the version is older than one accepted or read before, or was never sent.
    pub async fn read(&mut self, voter: usize) -> Option<u64> {
        let newest_seen = self.newest_seen;
        let address = self.deployment.operator_address(voter);
        let (status, body) = call(address, Method::GET, Bytes::new()).await?;
        if status != 200 {
            return None;
        }
        let version = match Dialect::default().catalog(&body) {
            Ok(catalog) => catalog.version,
            Err(error) => {
                let violation = format!("voter-{voter}: cannot parse the configuration: {error}");
                self.checker.lock().report_violation(violation);
                return None;
            }
        };
        if version < newest_seen || version > self.last_sent {
            let violation = format!(
                "voter-{voter}: version {version} is not between {newest_seen} (the newest seen) \
                 and {} (the newest sent)",
                self.last_sent
            );
            self.checker.lock().report_violation(violation);
        }
        self.newest_seen = self.newest_seen.max(version);
        Some(version)
    }
}

/// Sends one call to a voter; `None` on an error or a timeout.
async fn call(address: SocketAddr, method: Method, body: Bytes) -> Option<(u16, Bytes)> {
    let answer = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(driver);
        let request = Request::builder()
            .method(method)
            .uri(encode::CONFIGURATION_PATH)
            .header(header::HOST, HOSTNAME)
            .body(Full::new(body))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((head.status.as_u16(), body))
    };
    timeout(CALL_TIMEOUT, answer).await.ok()?
}
