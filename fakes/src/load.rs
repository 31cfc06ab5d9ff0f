//! Open-loop load generator for daemon processes, and summaries of its samples.
//!
//! The times of all queries are drawn from a seed before the run. Latency is counted from
//! these times, so a slow answer does not hide the delay of the queries behind it
//! (coordinated omission).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::caller;
use crate::caller::Connection;
use crate::fleet;

/// Idle connections kept open to each daemon.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// Pause between two rounds of readiness checks, and the timeout of one check.
const READINESS_INTERVAL: Duration = Duration::from_millis(250);

/// A Poisson stream of queries from one caller to one service.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Name of the caller.
    pub caller: String,
    /// Name of the service.
    pub service: String,
    /// Mean rate in queries per second.
    pub rate: f64,
    /// Start of the stream, from the start of the run.
    pub from: Duration,
    /// End of the stream, from the start of the run.
    pub to: Duration,
}

/// The result of one query at its caller.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the stream in the streams of the run.
    pub stream: usize,
    /// Scheduled time of the query, from the start of the run.
    pub due: Duration,
    /// Time from `due` to the answer or to the failure of the connection.
    pub latency: Duration,
    /// Numbers of shards answered and asked; both zero for a refusal.
    pub coverage: (u64, u64),
    /// HTTP status; zero if no daemon was ready or the connection failed.
    pub status: u16,
    /// Causes of the missing shards, one for each.
    pub missing: Vec<String>,
    /// Whether the answer has a `retry-after` header.
    pub retry_after: bool,
}

/// Counts and latencies of a selection of samples.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Queries in the selection.
    pub asked: u64,
    /// Answers with status 200 from all shards asked.
    pub complete: u64,
    /// Answers with status 200 from only some of the shards asked.
    pub partial: u64,
    /// Answers with any other status.
    pub refused: u64,
    /// Refusals with a `retry-after` header.
    pub refused_with_retry: u64,
    /// Queries without an answer: no daemon was ready or the connection failed.
    pub cut_off: u64,
    /// Mean share of shards answered, from 0 to 1, over answers with status 200.
    pub coverage: f64,
    /// Median latency of answers with status 200, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the same latency, in milliseconds.
    pub p999_ms: f64,
    /// 99th percentile of the latency of refusals and of queries without an answer, in
    /// milliseconds.
    pub refusal_p99_ms: f64,
    /// Number of missing shards by cause.
    pub missing: BTreeMap<String, u64>,
    /// Refusals by status; zero stands for queries without an answer.
    pub statuses: BTreeMap<u16, u64>,
}

impl Summary {
    /// Summarizes the samples for which `filter` returns true.
    pub fn of(samples: &[Sample], filter: impl Fn(&Sample) -> bool) -> Summary {
        let mut summary = Summary::default();
        let mut answers = histogram();
        let mut refusals = histogram();
        let mut coverage = 0.0;
        for sample in samples.iter().filter(|sample| filter(sample)) {
            let us = sample.latency.as_micros() as u64;
            summary.asked += 1;
            let (answered, asked) = sample.coverage;
            for cause in &sample.missing {
                *summary.missing.entry(cause.clone()).or_default() += 1;
            }
            if sample.status == 200 {
                answers.saturating_record(us);
                coverage += answered as f64 / asked.max(1) as f64;
                summary.complete += u64::from(answered == asked);
                summary.partial += u64::from(answered < asked);
                continue;
            }
            *summary.statuses.entry(sample.status).or_default() += 1;
            refusals.saturating_record(us);
            summary.cut_off += u64::from(sample.status == 0);
            summary.refused += u64::from(sample.status != 0);
            summary.refused_with_retry += u64::from(sample.retry_after);
        }
        let ms = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1_000.0;
        summary.p50_ms = ms(&answers, 0.5);
        summary.p99_ms = ms(&answers, 0.99);
        summary.p999_ms = ms(&answers, 0.999);
        summary.refusal_p99_ms = ms(&refusals, 0.99);
        summary.coverage = coverage / answers.len().max(1) as f64;
        summary
    }
}

/// A histogram of microseconds up to one minute, with three significant digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the histogram bounds are valid")
}

/// The times of all queries with the indexes of their streams, in order. The gaps within
/// a stream are exponentially distributed.
fn draw_schedule(streams: &[Stream], seed: u64) -> Vec<(Duration, usize)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut schedule = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let mut time = stream.from.as_secs_f64();
        loop {
            time -= (1.0 - rng.random::<f64>()).ln() / stream.rate;
            if time >= stream.to.as_secs_f64() {
                break;
            }
            schedule.push((Duration::from_secs_f64(time), index));
        }
    }
    schedule.sort_unstable();
    schedule
}

/// State that the tasks of one run share.
struct Generator {
    streams: Vec<Stream>,
    ready_hosts: Mutex<Vec<SocketAddr>>,
    idle_connections: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
    samples: Mutex<Vec<Sample>>,
}

impl Generator {
    /// Sends one query over an idle or new connection. Returns `None` if the connection
    /// fails.
    async fn send(
        &self,
        address: SocketAddr,
        stream: &Stream,
        number: usize,
    ) -> Option<caller::Answer> {
        let idle = lock(&self.idle_connections)
            .get_mut(&address)
            .and_then(Vec::pop);
        let idle = idle.filter(|connection| !connection.is_closed());
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address).await.ok()?,
        };
        let path = format!("/{}/query?number={number}", stream.service);
        let answer = connection
            .send(&caller::get(&fleet::caller_key(&stream.caller), &path))
            .await
            .ok()?;
        let mut idle = lock(&self.idle_connections);
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push(connection);
        }
        Some(answer)
    }

    /// Sends one query to the ready daemon that `number` selects, and records the sample.
    async fn query(&self, start: Instant, due: Duration, stream: usize, number: usize) {
        let hosts = lock(&self.ready_hosts).clone();
        let answer = match hosts.get(number % hosts.len().max(1)) {
            Some(address) => self.send(*address, &self.streams[stream], number).await,
            None => None,
        };
        let latency = start.elapsed().saturating_sub(due);
        let sample = Sample {
            stream,
            due,
            latency,
            coverage: answer.as_ref().map_or((0, 0), caller::Answer::coverage),
            missing: answer
                .as_ref()
                .map(caller::Answer::missing)
                .unwrap_or_default(),
            status: answer.as_ref().map_or(0, |answer| answer.status),
            retry_after: answer.is_some_and(|answer| answer.header("retry-after").is_some()),
        };
        lock(&self.samples).push(sample);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A function to call, and its time from the start of the run.
pub type Action = (Duration, Box<dyn FnOnce() + Send>);

/// Sends the queries of `streams` round-robin to those addresses in `hosts` that pass the
/// readiness check, as a load balancer would. `actions` run in their order on another
/// thread. Returns after the last query and action, with one sample for each query.
pub fn run(
    hosts: &[SocketAddr],
    streams: &[Stream],
    actions: Vec<Action>,
    seed: u64,
) -> Vec<Sample> {
    let generator = Rc::new(Generator {
        streams: streams.to_vec(),
        ready_hosts: Mutex::new(hosts.to_vec()),
        idle_connections: Mutex::default(),
        samples: Mutex::default(),
    });
    let start = Instant::now();
    let actor = std::thread::spawn(move || perform(start, actions));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    let queries = generate(
        generator.clone(),
        hosts.to_vec(),
        draw_schedule(streams, seed),
        start,
    );
    runtime
        .expect("the runtime starts")
        .block_on(local.run_until(queries));
    drop(actor.join());
    let mut samples = lock(&generator.samples);
    std::mem::take(&mut samples)
}

/// Runs each action at its time, or late if an earlier one takes longer.
fn perform(start: Instant, actions: Vec<Action>) {
    for (at, action) in actions {
        std::thread::sleep(at.saturating_sub(start.elapsed()));
        action();
    }
}

/// Starts each query at its scheduled time without waiting for earlier answers. Returns
/// when all queries have ended.
async fn generate(
    generator: Rc<Generator>,
    hosts: Vec<SocketAddr>,
    schedule: Vec<(Duration, usize)>,
    start: Instant,
) {
    let poller = tokio::task::spawn_local(poll_readiness(generator.clone(), hosts));
    let mut queries = tokio::task::JoinSet::new();
    for (number, (due, stream)) in schedule.into_iter().enumerate() {
        tokio::time::sleep_until((start + due).into()).await;
        let generator = generator.clone();
        queries.spawn_local(async move { generator.query(start, due, stream, number).await });
    }
    queries.join_all().await;
    poller.abort();
}

/// Keeps the list of ready hosts up to date by polling `/ready` of each host.
async fn poll_readiness(generator: Rc<Generator>, hosts: Vec<SocketAddr>) {
    loop {
        let mut ready = Vec::new();
        for host in &hosts {
            let request = caller::get("", "/ready");
            let answer =
                tokio::time::timeout(READINESS_INTERVAL, caller::send(*host, &request)).await;
            if matches!(answer, Ok(Ok(answer)) if answer.status == 200) {
                ready.push(*host);
            }
        }
        *lock(&generator.ready_hosts) = ready;
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
}
