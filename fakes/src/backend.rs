//! Fake HTTP backend servers with configurable latency, capacity and faults.
//!
//! Tests and the load tool start a `Cluster`, name its addresses in the operators'
//! file, change the behavior of single servers, and read what they counted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use wagtailbeam_adapter::http;

use crate::locator::Locator;
use crate::port;

/// A server crashes while it handles a request whose target contains this text.
pub const POISON_MARKER: &str = "poison";

/// Time between two checks whether the process at the other end of a connection is cut off.
const CUT_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the start of work on a request with `POISON_MARKER` to the crash.
const POISON_CRASH_DELAY: Duration = Duration::from_millis(3);

/// Latency, capacity and faults of one server.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Mean service time; single times are uniform between 0.5 and 1.5 times the mean.
    pub service_time: Duration,
    /// Share of requests, from 0 to 1, that take `slow_time` instead.
    pub slow_share: f64,
    /// Service time of a slow request.
    pub slow_time: Duration,
    /// Requests processed concurrently; further ones queue inside the server.
    /// Read when the server starts and after each crash.
    pub slots: u32,
    /// Open connections allowed; further ones are closed right after they are accepted.
    pub connection_limit: u32,
    /// Delay before a new connection is served.
    pub connect_cost: Duration,
    /// Concurrent requests that a cold server tolerates; the server does not enforce it.
    pub cold_limit: u32,
    /// Time for which the server counts as cold after a start.
    pub warmup: Duration,
    /// Simulated network round trip: half is spent before the work, half after it.
    pub network_rtt: Duration,
    /// Index versions that the server holds, newest last. A request for any other
    /// version gets status 412 with the newest one.
    pub indexes: Vec<u64>,
    /// Whether answers carry the `wagtailbeam-draining` header.
    pub draining: bool,
    /// Whether new requests are accepted but never answered.
    pub frozen: bool,
    /// Downtime after a crash.
    pub restart_delay: Duration,
    /// Whether answers carry the identifier of another request.
    pub wrong_request_id: bool,
    /// Time for which the port still accepts connections after a crash broke the open ones.
    pub close_delay: Duration,
    /// Whether requests are run and their connections closed without an answer.
    pub lose_answers: bool,
    /// Whether only half of the body is sent, under the `content-length` of all of it.
    pub truncate_body: bool,
    /// Status of the answers to requests that ran; absent for success.
    pub status: Option<u16>,
    /// Time that the server names in 503 answers, without running requests; absent if it serves.
    pub retry_after: Option<Duration>,
    /// Processes whose connections are reset; new ones too.
    pub cut_off: Vec<u32>,
    /// Requests per second that answers name as the most that the server takes.
    pub limit: Option<f64>,
}

impl Default for Behavior {
    fn default() -> Behavior {
        Behavior {
            service_time: Duration::from_millis(2),
            slow_share: 0.0,
            slow_time: Duration::from_millis(200),
            slots: 2,
            connection_limit: 25,
            connect_cost: Duration::from_millis(6),
            cold_limit: 1,
            warmup: Duration::ZERO,
            network_rtt: Duration::from_millis(1),
            indexes: vec![1],
            draining: false,
            frozen: false,
            restart_delay: Duration::from_millis(500),
            close_delay: Duration::ZERO,
            wrong_request_id: false,
            lose_answers: false,
            truncate_body: false,
            status: None,
            retry_after: None,
            cut_off: Vec::new(),
            limit: None,
        }
    }
}

/// Counters of one server since its start. Crashes reset none of them,
/// [`Server::reset_stats`] some.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Requests received.
    pub requests: u64,
    /// Requests completed, including those refused with status 412.
    pub finished: u64,
    /// Requests received by idempotency key.
    pub runs: BTreeMap<String, u32>,
    /// Identifiers of the received requests that have an idempotency key, in order.
    pub request_ids: Vec<String>,
    /// Requests in progress, queued ones included.
    pub running: u32,
    /// Peak of `running`.
    pub running_max: u32,
    /// Peak of `running` while the server was cold.
    pub running_cold_max: u32,
    /// Open connections.
    pub connections: u32,
    /// Peak of `connections`; one above the limit if a connection was refused.
    pub connections_max: u32,
    /// Crashes, whether triggered by a request or by [`Server::crash`].
    pub crashes: u32,
    /// Arrival of the latest request; `None` before the first one.
    pub last_arrival: Option<Instant>,
    /// Arrivals of all requests.
    pub arrivals: Vec<Instant>,
}

struct State {
    behavior: Behavior,
    stats: Stats,
    /// Sent with each answer; incremented after each crash.
    boot_id: u64,
    /// Start of the warmup.
    started_at: Instant,
    /// Source of service times.
    rng: ChaCha8Rng,
}

/// One fake backend server.
pub struct Server {
    /// Listening address; it stays the same after a crash.
    pub address: SocketAddr,
    /// Name, sent as `from` in the body of answers.
    pub name: String,
    state: Mutex<State>,
    /// Number of crashes; a change ends the listener and all connections.
    crash_signal: watch::Sender<u64>,
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Changes the behavior for later requests and connections; `slots` changes with the
    /// next restart. Requests that still queue for a slot get the new service time, too.
    pub fn configure(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut self.lock().behavior);
    }

    /// A copy of the counters.
    pub fn stats(&self) -> Stats {
        self.lock().stats.clone()
    }

    /// Resets the peaks, the request count and the arrival of the latest request. The
    /// other counters are kept.
    pub fn reset_stats(&self) {
        let stats = &mut self.lock().stats;
        stats.running_max = 0;
        stats.running_cold_max = 0;
        stats.connections_max = 0;
        stats.requests = 0;
        stats.last_arrival = None;
        stats.arrivals.clear();
    }

    /// Breaks all connections and restarts the server after `restart_delay`, cold and
    /// with a new boot identifier.
    pub fn crash(&self) {
        self.lock().stats.crashes += 1;
        self.crash_signal.send_modify(|count| *count += 1);
    }

    /// Makes the server cold without a crash; the boot identifier stays the same.
    pub fn restart_warmup(&self) {
        self.lock().started_at = Instant::now();
    }

    fn is_cold(state: &State) -> bool {
        state.started_at.elapsed() < state.behavior.warmup
    }

    /// Counts a request that arrives and returns the behavior to apply to it.
    fn record_start(&self, key: Option<&str>, id: &str) -> Behavior {
        let mut state = self.lock();
        let cold = Server::is_cold(&state);
        let stats = &mut state.stats;
        stats.requests += 1;
        stats.running += 1;
        stats.running_max = stats.running_max.max(stats.running);
        if cold {
            stats.running_cold_max = stats.running_cold_max.max(stats.running);
        }
        stats.last_arrival = Some(Instant::now());
        stats.arrivals.push(Instant::now());
        if let Some(key) = key {
            *stats.runs.entry(key.to_owned()).or_default() += 1;
            stats.request_ids.push(id.to_owned());
        }
        state.behavior.clone()
    }

    /// Draws the service time of one request.
    fn draw_service_time(&self) -> Duration {
        let mut state = self.lock();
        let slow = state.rng.random::<f64>() < state.behavior.slow_share;
        if slow {
            return state.behavior.slow_time;
        }
        let factor = 0.5 + state.rng.random::<f64>();
        state.behavior.service_time.mul_f64(factor)
    }
}

/// A request in progress. Dropping it lowers `running`, also when the connection breaks.
struct Run(Arc<Server>);

impl Drop for Run {
    fn drop(&mut self) {
        self.0.lock().stats.running -= 1;
    }
}

/// An open connection. Dropping it lowers `connections`.
struct Connection(Arc<Server>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.lock().stats.connections -= 1;
    }
}

/// Fake servers that share one thread; dropping the cluster ends the thread.
pub struct Cluster {
    /// Servers in the order of their names at the start.
    pub servers: Vec<Arc<Server>>,
    /// Ends the thread when dropped.
    _stop: watch::Sender<()>,
}

impl Cluster {
    /// Starts one server for each name on a free port. Service times are drawn from
    /// `seed` plus the server's position.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(names: &[String], behavior: &Behavior, seed: u64) -> Cluster {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let (address, listener, _) = port::reserve();
            listener
                .set_nonblocking(true)
                .expect("the listener can be made non-blocking");
            let state = State {
                behavior: behavior.clone(),
                stats: Stats::default(),
                boot_id: 1,
                started_at: Instant::now(),
                rng: ChaCha8Rng::seed_from_u64(seed.wrapping_add(index as u64)),
            };
            let (crash_signal, _) = watch::channel(0);
            let name = name.clone();
            servers.push(Arc::new(Server {
                address,
                name,
                state: Mutex::new(state),
                crash_signal,
            }));
            listeners.push(listener);
        }
        let (stop, mut stopped) = watch::channel(());
        let running = servers.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            runtime.expect("the runtime starts").block_on(async move {
                let locator = Locator::start();
                for (server, listener) in running.into_iter().zip(listeners) {
                    tokio::spawn(serve(server, listener, locator.clone()));
                }
                drop(stopped.changed().await);
            });
        });
        Cluster {
            servers,
            _stop: stop,
        }
    }

    /// Requests with this idempotency key, summed over all servers.
    pub fn runs(&self, key: &str) -> u32 {
        let runs = self
            .servers
            .iter()
            .map(|server| server.stats().runs.get(key).copied());
        runs.flatten().sum()
    }

    /// Crashes, summed over all servers.
    pub fn crashes(&self) -> u32 {
        self.servers
            .iter()
            .map(|server| server.stats().crashes)
            .sum()
    }
}

/// Accepts connections until a crash and listens again after the delay, in a loop. Returns
/// if the address cannot be bound.
async fn serve(server: Arc<Server>, initial: std::net::TcpListener, locator: Locator) {
    let mut initial = Some(initial);
    loop {
        let listener = match initial.take() {
            Some(listener) => TcpListener::from_std(listener),
            None => rebind(server.address).await,
        };
        let Ok(listener) = listener else { return };
        let mut crash = server.crash_signal.subscribe();
        crash.borrow_and_update();
        let slots = Arc::new(Semaphore::new(server.lock().behavior.slots as usize));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = crash.changed() => break,
            };
            let Ok((stream, _)) = accepted else { continue };
            let mut crash = crash.clone();
            let (server, slots, locator) = (server.clone(), slots.clone(), locator.clone());
            tokio::spawn(async move {
                let Ok(peer) = stream.peer_addr() else { return };
                let pids = server.lock().behavior.cut_off.clone();
                if locator.opener(pids, peer).await.is_some() {
                    return;
                }
                let cut = wait_until_cut(server.clone(), peer, locator);
                tokio::select! {
                    biased;
                    () = cut => {}
                    () = serve_connection(server, slots, stream) => {}
                    _ = crash.changed() => {}
                }
            });
        }
        let close_delay = server.lock().behavior.close_delay;
        tokio::time::sleep(close_delay).await;
        drop(listener);
        let delay = server.lock().behavior.restart_delay;
        tokio::time::sleep(delay).await;
        let mut state = server.lock();
        state.boot_id += 1;
        state.started_at = Instant::now();
    }
}

/// Waits until the process at the other end of a connection is cut off.
async fn wait_until_cut(server: Arc<Server>, peer: SocketAddr, locator: Locator) {
    let mut checked = Vec::new();
    loop {
        let pids = server.lock().behavior.cut_off.clone();
        if pids != checked && locator.opener(pids.clone(), peer).await.is_some() {
            return;
        }
        checked = pids;
        tokio::time::sleep(CUT_INTERVAL).await;
    }
}

/// Listens again on the address that the server had before its crash.
async fn rebind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

/// Serves one connection, or drops it if the server is at its connection limit.
async fn serve_connection(
    server: Arc<Server>,
    slots: Arc<Semaphore>,
    stream: tokio::net::TcpStream,
) {
    let cost = {
        let mut state = server.lock();
        if state.stats.connections >= state.behavior.connection_limit {
            state.stats.connections_max = state
                .stats
                .connections_max
                .max(state.behavior.connection_limit + 1);
            return;
        }
        state.stats.connections += 1;
        state.stats.connections_max = state.stats.connections_max.max(state.stats.connections);
        state.behavior.connect_cost
    };
    let _guard = Connection(server.clone());
    drop(stream.set_nodelay(true));
    tokio::time::sleep(cost).await;
    let service = service_fn(move |request| {
        let (server, slots) = (server.clone(), slots.clone());
        async move {
            let lost = server.lock().behavior.lose_answers;
            let answer = respond(server, slots, request).await;
            (!lost)
                .then_some(answer)
                .ok_or_else(|| std::io::Error::other("answer lost"))
        }
    });
    drop(
        http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await,
    );
}

/// The answer of a server that doesn't run a request and wants no others for this time.
fn overloaded(wait: Duration) -> Response<Full<Bytes>> {
    let response = Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(http::SHED, "yes")
        .header("retry-after", wait.as_secs_f64().to_string());
    response.body(Full::default()).unwrap_or_default()
}

/// Counts a request, simulates its latency and faults, and builds the answer.
async fn respond(
    server: Arc<Server>,
    slots: Arc<Semaphore>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let (key, id) = (
        text(http::IDEMPOTENCY_KEY),
        text(http::REQUEST).unwrap_or_default(),
    );
    let behavior = server.record_start(key, id);
    let _guard = Run(server.clone());
    drop(body.collect().await);
    if behavior.frozen {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(behavior.network_rtt / 2).await;
    if let Some(wait) = behavior.retry_after {
        return overloaded(wait);
    }
    let slot = slots.acquire().await;
    if head.uri.to_string().contains(POISON_MARKER) {
        tokio::time::sleep(POISON_CRASH_DELAY).await;
        server.crash();
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(server.draw_service_time()).await;
    drop(slot);
    tokio::time::sleep(behavior.network_rtt / 2).await;
    let newest = behavior.indexes.last().copied().unwrap_or_default();
    let wanted = text(http::INDEX)
        .and_then(|index| index.parse().ok())
        .unwrap_or(newest);
    let (boot_id, finished) = {
        let mut state = server.lock();
        state.stats.finished += 1;
        (state.boot_id, state.stats.finished)
    };
    let mut response = Response::builder().header(http::BOOT, boot_id);
    let echoed_id = if behavior.wrong_request_id {
        "someone-else"
    } else {
        id
    };
    response = response.header(http::REQUEST, echoed_id);
    if let Some(limit) = behavior.limit {
        response = response.header(http::LIMIT, limit.to_string());
    }
    if behavior.draining {
        response = response.header(http::DRAINING, "yes");
    }
    if !behavior.indexes.contains(&wanted) {
        let response = response
            .header(http::INDEX, newest)
            .status(StatusCode::PRECONDITION_FAILED);
        return response.body(Full::default()).unwrap_or_default();
    }
    response = response
        .header(http::INDEX, wanted)
        .header("content-type", "application/json")
        .status(behavior.status.unwrap_or(200));
    let entry = key.map_or(String::new(), |_| format!(",\"entry\":{finished}"));
    let mut body = format!("{{\"from\":\"{}\",\"index\":{wanted}{entry}}}", server.name);
    if behavior.truncate_body {
        response = response.header("content-length", body.len());
        body.truncate(body.len() / 2);
    }
    response.body(Full::from(body)).unwrap_or_default()
}
