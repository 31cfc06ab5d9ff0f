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
pub const POISON: &str = "poison";

/// Time into a poisonous request at which the server fails.
const POISON_AFTER: Duration = Duration::from_millis(3);

/// How one server behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Mean time of work; the times vary around it.
    pub work: Duration,
    /// Share of requests that take `late` instead.
    pub late_share: f64,
    /// Time of a late request.
    pub late: Duration,
    /// Requests worked on at once; others wait inside the server.
    pub slots: u32,
    /// Connections accepted; others are closed at once.
    pub connections: u32,
    /// Time that a new connection takes.
    pub connect_cost: Duration,
    /// Requests at once while cold, beyond which the server has too much.
    pub cold_limit: u32,
    /// Time for which it is cold after a start.
    pub warmup: Duration,
    /// Time on the network both ways.
    pub network: Duration,
    /// Index versions that it can serve, the newest last.
    pub indexes: Vec<u64>,
    /// Whether it says that it drains.
    pub draining: bool,
    /// Whether it answers at all.
    pub frozen: bool,
    /// Time that it is down after a failure.
    pub restart: Duration,
    /// Echoes a wrong request identifier.
    pub wrong_echo: bool,
    /// Cuts the body short.
    pub truncate: bool,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            work: Duration::from_millis(2),
            late_share: 0.0,
            late: Duration::from_millis(200),
            slots: 2,
            connections: 25,
            connect_cost: Duration::from_millis(6),
            cold_limit: 1,
            warmup: Duration::ZERO,
            network: Duration::from_millis(1),
            indexes: vec![1],
            draining: false,
            frozen: false,
            restart: Duration::from_millis(500),
            wrong_echo: false,
            truncate: false,
        }
    }
}

/// What one server saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Requests begun.
    pub requests: u64,
    /// Requests finished.
    pub finished: u64,
    /// Runs by idempotency key.
    pub runs: BTreeMap<String, u32>,
    /// Identifiers of requests begun, kept only for requests with a key.
    pub ids: Vec<String>,
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
    pub failures: u32,
    /// When the last request began.
    pub last: Option<Instant>,
}

struct State {
    behaviour: Behaviour,
    seen: Seen,
    boot: u64,
    started: Instant,
    random: ChaCha8Rng,
}

/// One fake server.
pub struct Server {
    /// Its address.
    pub address: SocketAddr,
    /// Its name, as it stands in its answers.
    pub name: String,
    state: Mutex<State>,
    life: watch::Sender<u64>,
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Changes its behaviour.
    pub fn set(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.lock().behaviour);
    }

    /// What it saw.
    pub fn seen(&self) -> Seen {
        self.lock().seen.clone()
    }

    /// Forgets the greatest numbers seen.
    pub fn reset_seen(&self) {
        let seen = &mut self.lock().seen;
        seen.running_max = 0;
        seen.running_cold_max = 0;
        seen.connections_max = 0;
        seen.requests = 0;
        seen.last = None;
    }

    /// Makes it fail: all connections break, and it comes back cold.
    pub fn fail(&self) {
        self.lock().seen.failures += 1;
        self.life.send_modify(|life| *life += 1);
    }

    /// Makes it cold without a failure, under the same boot identifier.
    pub fn chill(&self) {
        self.lock().started = Instant::now();
    }

    fn is_cold(state: &State) -> bool {
        state.started.elapsed() < state.behaviour.warmup
    }

    fn begin(&self, key: Option<&str>, id: &str) -> Behaviour {
        let mut state = self.lock();
        let cold = Server::is_cold(&state);
        let seen = &mut state.seen;
        seen.requests += 1;
        seen.running += 1;
        seen.running_max = seen.running_max.max(seen.running);
        if cold {
            seen.running_cold_max = seen.running_cold_max.max(seen.running);
        }
        seen.last = Some(Instant::now());
        if let Some(key) = key {
            *seen.runs.entry(key.to_owned()).or_default() += 1;
            seen.ids.push(id.to_owned());
        }
        state.behaviour.clone()
    }

    /// Draws the time of one request.
    fn draw(&self) -> Duration {
        let mut state = self.lock();
        let late = state.random.random::<f64>() < state.behaviour.late_share;
        if late {
            return state.behaviour.late;
        }
        let spread = 0.5 + state.random.random::<f64>();
        state.behaviour.work.mul_f64(spread)
    }
}

/// Counts a request out, also if its connection breaks.
struct Run(Arc<Server>);

impl Drop for Run {
    fn drop(&mut self) {
        self.0.lock().seen.running -= 1;
    }
}

/// Counts a connection out.
struct Open(Arc<Server>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.lock().seen.connections -= 1;
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
    pub fn start(names: &[String], behaviour: &Behaviour, seed: u64) -> Cluster {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for (at, name) in names.iter().enumerate() {
            let (address, listener, _) = port::hold();
            listener.set_nonblocking(true).expect("a socket");
            let state = State {
                behaviour: behaviour.clone(),
                seen: Seen::default(),
                boot: 1,
                started: Instant::now(),
                random: ChaCha8Rng::seed_from_u64(seed.wrapping_add(at as u64)),
            };
            let (life, _) = watch::channel(0);
            let name = name.clone();
            servers.push(Arc::new(Server {
                address,
                name,
                state: Mutex::new(state),
                life,
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
                    tokio::spawn(live(server, listener));
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
            .map(|server| server.seen().runs.get(key).copied());
        runs.flatten().sum()
    }

    /// Failures of all servers.
    pub fn failures(&self) -> u32 {
        self.servers
            .iter()
            .map(|server| server.seen().failures)
            .sum()
    }
}

async fn live(server: Arc<Server>, first: std::net::TcpListener) {
    let mut first = Some(first);
    loop {
        let listener = match first.take() {
            Some(listener) => TcpListener::from_std(listener),
            None => rebind(server.address).await,
        };
        let Ok(listener) = listener else { return };
        let mut life = server.life.subscribe();
        life.borrow_and_update();
        let slots = Arc::new(Semaphore::new(server.lock().behaviour.slots as usize));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = life.changed() => break,
            };
            let Ok((stream, _)) = accepted else { continue };
            let mut ends = life.clone();
            let (server, slots) = (server.clone(), slots.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = connection(server, slots, stream) => {}
                    _ = ends.changed() => {}
                }
            });
        }
        drop(listener);
        let pause = server.lock().behaviour.restart;
        tokio::time::sleep(pause).await;
        let mut state = server.lock();
        state.boot += 1;
        state.started = Instant::now();
    }
}

async fn rebind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

async fn connection(server: Arc<Server>, slots: Arc<Semaphore>, stream: tokio::net::TcpStream) {
    let cost = {
        let mut state = server.lock();
        if state.seen.connections >= state.behaviour.connections {
            state.seen.connections_max = state
                .seen
                .connections_max
                .max(state.behaviour.connections + 1);
            return;
        }
        state.seen.connections += 1;
        state.seen.connections_max = state.seen.connections_max.max(state.seen.connections);
        state.behaviour.connect_cost
    };
    let _open = Open(server.clone());
    drop(stream.set_nodelay(true));
    tokio::time::sleep(cost).await;
    let service = service_fn(move |request| {
        let (server, slots) = (server.clone(), slots.clone());
        async move { Ok::<_, Infallible>(answer(server, slots, request).await) }
    });
    drop(
        http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await,
    );
}

async fn answer(
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
    let behaviour = server.begin(key, id);
    let _run = Run(server.clone());
    drop(body.collect().await);
    if behaviour.frozen {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(behaviour.network / 2).await;
    let slot = slots.acquire().await;
    if head.uri.to_string().contains(POISON) {
        tokio::time::sleep(POISON_AFTER).await;
        server.fail();
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(server.draw()).await;
    drop(slot);
    tokio::time::sleep(behaviour.network / 2).await;
    let newest = behaviour.indexes.last().copied().unwrap_or_default();
    let wanted = text(http::INDEX)
        .and_then(|index| index.parse().ok())
        .unwrap_or(newest);
    let (boot, finished) = {
        let mut state = server.lock();
        state.seen.finished += 1;
        (state.boot, state.seen.finished)
    };
    let mut response = Response::builder().header(http::BOOT, boot);
    let echo = if behaviour.wrong_echo {
        "someone-else"
    } else {
        id
    };
    response = response.header(http::REQUEST, echo);
    if behaviour.draining {
        response = response.header(http::DRAINING, "yes");
    }
    if !behaviour.indexes.contains(&wanted) {
        let response = response
            .header(http::INDEX, newest)
            .status(StatusCode::PRECONDITION_FAILED);
        return response.body(Full::default()).unwrap_or_default();
    }
    response = response
        .header(http::INDEX, wanted)
        .header("content-type", "application/json");
    let run = key.map_or(String::new(), |_| format!(",\"entry\":{finished}"));
    let mut body = format!("{{\"from\":\"{}\",\"index\":{wanted}{run}}}", server.name);
    if behaviour.truncate {
        response = response.header("content-length", body.len());
        body.truncate(body.len() / 2);
    }
    response.body(Full::from(body)).unwrap_or_default()
}
