//! Fake backend servers: slow, cold, draining, frozen or failing as told.

use std::collections::BTreeMap;
use std::convert::Infallible;
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

use crate::port;

/// Part of a path that makes a server fail.
pub const POISON_MARKER: &str = "poison";

/// Time into a poisonous request at which the server fails.
const POISON_CRASH_DELAY: Duration = Duration::from_millis(3);

/// How one server behaves.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Mean time of work; the times vary around it.
    pub service_time: Duration,
    /// Share of requests that take `late` instead.
    pub slow_share: f64,
    /// Time of a late request.
    pub slow_time: Duration,
    /// Requests worked on at once; others wait inside the server.
    pub slots: u32,
    /// Connections accepted; others are closed at once.
    pub connection_limit: u32,
    /// Time that a new connection takes.
    pub connect_cost: Duration,
    /// Requests at once while cold, beyond which the server has too much.
    pub cold_limit: u32,
    /// Time for which it is cold after a start.
    pub warmup: Duration,
    /// Time on the network both ways.
    pub network_rtt: Duration,
    /// Index versions that it can serve, the newest last.
    pub indexes: Vec<u64>,
    /// Whether it says that it drains.
    pub draining: bool,
    /// Whether it answers at all.
    pub frozen: bool,
    /// Time that it is down after a failure.
    pub restart_delay: Duration,
    /// Echoes a wrong request identifier.
    pub wrong_request_id: bool,
    /// Cuts the body short.
    pub truncate_body: bool,
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
            wrong_request_id: false,
            truncate_body: false,
        }
    }
}

/// What one server saw.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Requests begun.
    pub requests: u64,
    /// Requests finished.
    pub finished: u64,
    /// Runs by idempotency key.
    pub runs: BTreeMap<String, u32>,
    /// Identifiers of requests begun, kept only for requests with a key.
    pub request_ids: Vec<String>,
    /// Requests in it now.
    pub running: u32,
    /// Most requests in it at once.
    pub running_max: u32,
    /// Most requests in it at once while cold.
    pub running_cold_max: u32,
    /// Connections now.
    pub connections: u32,
    /// Most connections at once.
    pub connections_max: u32,
    /// Times it failed.
    pub crashes: u32,
    /// When the last request began.
    pub last_started: Option<Instant>,
}

struct State {
    behavior: Behavior,
    stats: Stats,
    boot_id: u64,
    started_at: Instant,
    rng: ChaCha8Rng,
}

/// One fake server.
pub struct Server {
    /// Its address.
    pub address: SocketAddr,
    /// Its name, as it stands in its answers.
    pub name: String,
    state: Mutex<State>,
    crash_signal: watch::Sender<u64>,
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Changes its behavior.
    pub fn configure(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut self.lock().behavior);
    }

    /// What it saw.
    pub fn stats(&self) -> Stats {
        self.lock().stats.clone()
    }

    /// Resets the peaks, the request count and the time of the last request.
    pub fn reset_stats(&self) {
        let stats = &mut self.lock().stats;
        stats.running_max = 0;
        stats.running_cold_max = 0;
        stats.connections_max = 0;
        stats.requests = 0;
        stats.last_started = None;
    }

    /// Makes it fail: all connections break, and it comes back cold.
    pub fn crash(&self) {
        self.lock().stats.crashes += 1;
        self.crash_signal.send_modify(|count| *count += 1);
    }

    /// Makes it cold without a failure, under the same boot identifier.
    pub fn restart_warmup(&self) {
        self.lock().started_at = Instant::now();
    }

    fn is_cold(state: &State) -> bool {
        state.started_at.elapsed() < state.behavior.warmup
    }

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
        stats.last_started = Some(Instant::now());
        if let Some(key) = key {
            *stats.runs.entry(key.to_owned()).or_default() += 1;
            stats.request_ids.push(id.to_owned());
        }
        state.behavior.clone()
    }

    /// Draws the time of one request.
    fn draw_service_time(&self) -> Duration {
        let mut state = self.lock();
        let slow = state.rng.random::<f64>() < state.behavior.slow_share;
        if slow {
            return state.behavior.slow_time;
        }
        let spread = 0.5 + state.rng.random::<f64>();
        state.behavior.service_time.mul_f64(spread)
    }
}

/// Counts a request out, also if its connection breaks.
struct Run(Arc<Server>);

impl Drop for Run {
    fn drop(&mut self) {
        self.0.lock().stats.running -= 1;
    }
}

/// Counts a connection out.
struct Connection(Arc<Server>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.lock().stats.connections -= 1;
    }
}

/// Fake servers on a thread of their own, which ends with this value.
pub struct Cluster {
    /// The servers.
    pub servers: Vec<Arc<Server>>,
    _stop: watch::Sender<()>,
}

impl Cluster {
    /// Starts servers with the given names on free ports; `seed` fixes their times.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(names: &[String], behavior: &Behavior, seed: u64) -> Cluster {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let (address, listener, _) = port::reserve();
            listener.set_nonblocking(true).expect("a socket");
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
            runtime.expect("a runtime").block_on(async move {
                for (server, listener) in running.into_iter().zip(listeners) {
                    tokio::spawn(serve(server, listener));
                }
                drop(stopped.changed().await);
            });
        });
        Cluster {
            servers,
            _stop: stop,
        }
    }

    /// Runs of a key at all servers.
    pub fn runs(&self, key: &str) -> u32 {
        let runs = self
            .servers
            .iter()
            .map(|server| server.stats().runs.get(key).copied());
        runs.flatten().sum()
    }

    /// Failures of all servers.
    pub fn crashes(&self) -> u32 {
        self.servers
            .iter()
            .map(|server| server.stats().crashes)
            .sum()
    }
}

async fn serve(server: Arc<Server>, initial: std::net::TcpListener) {
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
            let (server, slots) = (server.clone(), slots.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = serve_connection(server, slots, stream) => {}
                    _ = crash.changed() => {}
                }
            });
        }
        drop(listener);
        let delay = server.lock().behavior.restart_delay;
        tokio::time::sleep(delay).await;
        let mut state = server.lock();
        state.boot_id += 1;
        state.started_at = Instant::now();
    }
}

async fn rebind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

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
        async move { Ok::<_, Infallible>(respond(server, slots, request).await) }
    });
    drop(
        http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await,
    );
}

async fn respond(
    server: Arc<Server>,
    slots: Arc<Semaphore>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let (key, id) = (text(http::KEY), text(http::REQUEST).unwrap_or_default());
    let behavior = server.record_start(key, id);
    let _guard = Run(server.clone());
    drop(body.collect().await);
    if behavior.frozen {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(behavior.network_rtt / 2).await;
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
        .header("content-type", "application/json");
    let entry = key.map_or(String::new(), |_| format!(",\"entry\":{finished}"));
    let mut body = format!("{{\"from\":\"{}\",\"index\":{wanted}{entry}}}", server.name);
    if behavior.truncate_body {
        response = response.header("content-length", body.len());
        body.truncate(body.len() / 2);
    }
    response.body(Full::from(body)).unwrap_or_default()
}
