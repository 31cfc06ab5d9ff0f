//! Fake replicas of two versions of a service, which record the requests that reach them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wagtailbeam_adapter::dialect::Dialect as _;
use wagtailbeam_platform::Dialect;
use wagtailbeam_platform::encode;
use wagtailbeam_soak::deployment;
use wagtailbeam_soak::deployment::Deployment;

/// Replicas of each version.
const REPLICAS: usize = 2;

/// Processing time of a request.
const PROCESSING_TIME: Duration = Duration::from_millis(8);

/// Processing time of a request at a slow version.
const PROCESSING_TIME_SLOW: Duration = Duration::from_millis(60);

/// Requests in a second, over all replicas of the version, beyond which an overloaded one fails.
const LOAD_MAX: usize = 30;

/// How a version behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behavior {
    #[default]
    Good,
    /// Fails four of five requests.
    Failing,
    Slow,
    /// Fails all requests beyond [`LOAD_MAX`].
    Overloaded,
}

/// A request that reached a replica.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub is_new: bool,
    /// Whether it failed or took too long.
    pub is_bad: bool,
}

/// The requests that reached replicas, in order.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

impl Arrivals {
    /// Those of one version.
    pub fn of(&self, is_new: bool) -> Vec<Arrival> {
        let all = self.0.lock().unwrap();
        let matching = all.iter().filter(|arrival| arrival.is_new == is_new);
        matching.copied().collect()
    }

    /// Notes a request and returns whether it is a bad one.
    fn note(&self, is_new: bool, behavior: Behavior) -> bool {
        let at = Instant::now();
        let mut all = self.0.lock().unwrap();
        let mut same = all.iter().rev().filter(|arrival| arrival.is_new == is_new);
        let is_bad = match behavior {
            Behavior::Good => false,
            Behavior::Failing => same.count() % 5 != 0,
            Behavior::Slow => true,
            Behavior::Overloaded => same
                .nth(LOAD_MAX - 1)
                .is_some_and(|arrival| at - arrival.at < Duration::from_secs(1)),
        };
        all.push(Arrival { at, is_new, is_bad });
        is_bad
    }
}

/// Starts the replicas of `v1`, which are good, and of `v2` with this behavior.
pub async fn start(
    deployment: &Deployment,
    arrivals: &Arrivals,
    behavior: Behavior,
) -> Vec<encode::Replica> {
    let mut replicas = Vec::new();
    for (version, behavior) in [("v1", Behavior::Good), ("v2", behavior)] {
        for index in 0..REPLICAS {
            let listener = TcpListener::bind(deployment.backend_address())
                .await
                .unwrap();
            replicas.push(encode::Replica {
                id: format!("{version}-{index}").into(),
                service: deployment.at_most_once.clone(),
                address: listener.local_addr().unwrap(),
                domain: deployment::domain(index),
                draining: false,
                version: Some(version.into()),
            });
            let arrivals = arrivals.clone();
            let is_new = version == "v2";
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(answer(stream, arrivals.clone(), is_new, behavior));
                }
            });
        }
    }
    replicas
}

/// Answers the requests of a connection.
async fn answer(mut stream: TcpStream, arrivals: Arrivals, is_new: bool, behavior: Behavior) {
    let names = Dialect::default().headers().clone();
    let prefix = format!("{}: ", names.request);
    let mut received = VecDeque::new();
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        received.extend(&buffer[..length]);
        let head = received.make_contiguous();
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8_lossy(head).into_owned();
        received.clear();
        let id = text.lines().find_map(|line| line.strip_prefix(&prefix));
        let id = id.unwrap_or_default();
        let is_bad = arrivals.note(is_new, behavior);
        let is_slow = is_bad && behavior == Behavior::Slow;
        let status = if is_bad && !is_slow {
            "500 Error"
        } else {
            "200 OK"
        };
        tokio::time::sleep(match is_slow {
            true => PROCESSING_TIME_SLOW,
            false => PROCESSING_TIME,
        })
        .await;
        let reply = format!(
            "HTTP/1.1 {status}\r\n{}: {id}\r\n{}: s\r\ncontent-length: 0\r\n\r\n",
            names.request, names.stamp
        );
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}
