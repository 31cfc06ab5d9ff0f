//! Callers: they keep connections until the process at the other end is gone, and
//! check what they are answered.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Method;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use wagtailbeam_adapter::dialect::Dialect as _;
use wagtailbeam_adapter::dialect::Headers;
use wagtailbeam_adapter::http;
use wagtailbeam_platform::Dialect;

use crate::deployment::Deployment;
use crate::deployment::ENTRY_HOSTS;
use crate::deployment::HOSTNAME;
use crate::ledger::Ending;
use crate::ledger::Shared;

/// Time for which a caller waits.
const PATIENCE: Duration = Duration::from_millis(2_000);

/// Longest time to open a connection.
const DIAL_MAX: Duration = Duration::from_millis(300);

/// Time between two requests of a caller, drawn between these.
const PAUSE_MS: std::ops::Range<u64> = 20..160;

/// Marks a request that did not run, in the body of a refusal.
const NOT_RUN: &str = "\"not-run\"";

type Connection = SendRequest<Empty<Bytes>>;

/// A caller.
pub struct Caller {
    number: u64,
    deployment: Deployment,
    headers: Headers,
    services: Vec<String>,
    ledger: Shared,
    random: ChaCha8Rng,
    at: usize,
    connection: Option<Connection>,
}

/// What a caller was answered.
struct Answer {
    status: u16,
    headers: hyper::HeaderMap,
    body: Bytes,
}

impl Caller {
    /// A caller that begins at one of the entry hosts.
    pub fn new(number: u64, seed: u64, deployment: &Deployment, ledger: Shared) -> Caller {
        let services = deployment.shards.iter().map(|name| name.to_string());
        Caller {
            number,
            deployment: deployment.clone(),
            headers: Dialect::default().headers().clone(),
            services: services.collect(),
            ledger,
            random: ChaCha8Rng::seed_from_u64(seed ^ number << 32),
            at: number as usize % ENTRY_HOSTS,
            connection: None,
        }
    }

    /// Sends requests until told to stop.
    pub async fn run(mut self, stopped: watch::Receiver<bool>) {
        let mut count = 0;
        while !*stopped.borrow() {
            let pause = self.random.random_range(PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            count += 1;
            let gathers = self.random.random_bool(0.6);
            self.ask(&format!("c{}-{count}", self.number), gathers)
                .await;
        }
    }

    async fn ask(&mut self, id: &str, gathers: bool) {
        let Some(mut connection) = self.connect().await else {
            self.at = (self.at + 1) % ENTRY_HOSTS;
            return;
        };
        self.ledger.lock().asked(id);
        let (method, path) = match gathers {
            true => (Method::GET, "/all/x"),
            false => (Method::POST, "/once/x"),
        };
        let answer = exchange(&mut connection, method, path, id, &self.headers).await;
        let Some(answer) = answer else {
            return self.ledger.lock().ended(id, Ending::Failed);
        };
        let closes = answer.headers.get(header::CONNECTION);
        if closes.is_none_or(|value| value != "close") {
            self.connection = Some(connection);
        }
        let ending = self.judge(id, gathers, &answer);
        self.ledger.lock().ended(id, ending);
    }

    /// The kept connection, or a new one.
    async fn connect(&mut self) -> Option<Connection> {
        let kept = self.connection.take().filter(|kept| !kept.is_closed());
        match kept {
            Some(kept) => Some(kept),
            None => dial(self.deployment.caller_address(self.at)).await,
        }
    }

    fn judge(&self, id: &str, gathers: bool, answer: &Answer) -> Ending {
        let text = |name: &hyper::header::HeaderName| {
            http::header_text(&answer.headers, name.as_str()).unwrap_or_default()
        };
        match answer.status {
            200 if gathers => {
                let missing = text(&self.headers.missing).parse().unwrap_or_default();
                let stamps = text(&self.headers.stamps);
                let mut ledger = self.ledger.lock();
                ledger.check_merged(id, &self.services, stamps, missing, &answer.body);
                Ending::Served
            }
            200 => {
                let stamp = format!("{}/{id}", self.deployment.at_most_once);
                let once = [self.deployment.at_most_once.to_string()];
                if text(&self.headers.stamp) != stamp {
                    self.ledger
                        .lock()
                        .fault(format!("{id}: the stamp is not {stamp}"));
                }
                let mut ledger = self.ledger.lock();
                ledger.check_relayed(id, &once[0], &answer.body);
                Ending::Served
            }
            _ if String::from_utf8_lossy(&answer.body).contains(NOT_RUN) => Ending::NotRun,
            _ => Ending::Failed,
        }
    }
}

/// Opens a connection to an entry host.
pub async fn dial(address: SocketAddr) -> Option<Connection> {
    let stream = timeout(DIAL_MAX, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let handshake = http1::handshake(TokioIo::new(stream));
    let (sender, driver) = handshake.await.ok()?;
    tokio::spawn(driver);
    Some(sender)
}

async fn exchange(
    connection: &mut Connection,
    method: Method,
    path: &str,
    id: &str,
    headers: &Headers,
) -> Option<Answer> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, HOSTNAME)
        .header(&headers.request, id)
        .header(&headers.deadline, PATIENCE.as_millis().to_string())
        .body(Empty::new())
        .ok()?;
    let answered = async {
        connection.ready().await.ok()?;
        let response = connection.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    };
    timeout(PATIENCE, answered).await.ok()?
}

/// Whether an entry host answers a gather with all its parts.
pub async fn is_served_whole(address: SocketAddr, id: &str, ledger: &Shared) -> bool {
    let headers = Dialect::default().headers().clone();
    let Some(mut connection) = dial(address).await else {
        return false;
    };
    ledger.lock().asked(id);
    let answer = exchange(&mut connection, Method::GET, "/all/x", id, &headers).await;
    let missing =
        |answer: &Answer| http::header_text(&answer.headers, headers.missing.as_str()) == Some("0");
    answer.is_some_and(|answer| answer.status == 200 && missing(&answer))
}
