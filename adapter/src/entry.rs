//! The event loop of an entry host in a tier with discovered hosts.
//!
//! [`run`] is called by [`crate::cli`]. It opens the sockets and drives the
//! state machines (gateway, fanout, subscriber): each event from a socket task is passed
//! to one of them and the resulting actions are executed. The handlers are spread over
//! `serve`, `aggregate`, `inbound` and `response`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use wagtailbeam_decision::account::quota::Gate;
use wagtailbeam_decision::account::suspension::Suspension;
use wagtailbeam_decision::branch::Envelope;
use wagtailbeam_decision::branch::OrderId;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::endpoint::Ticket;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::fanout::Fanout;
use wagtailbeam_decision::feed::Links;
use wagtailbeam_decision::feed::Message;
use wagtailbeam_decision::feed::Subscriber;
use wagtailbeam_decision::gateway;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::gateway::Gateway;
use wagtailbeam_decision::load::watch::Watch;
use wagtailbeam_decision::plan;
use wagtailbeam_decision::relay::Relay;
use wagtailbeam_decision::relay::RelayId;
use wagtailbeam_decision::rotation::Peers;
use wagtailbeam_decision::rotation::Rotation;
use wagtailbeam_decision::uplink;

use crate::admission;
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::host::Settings;
use crate::ingress;
use crate::ingress::Ingress;
use crate::ingress::Reply;
use crate::ingress::Request;
use crate::ingress::State;
use crate::listener;
use crate::logging::LogId;
use crate::logging::Logger;
use crate::mesh;
use crate::mesh::Mesh;
use crate::meter;
use crate::node::Result;
use crate::pool;
use crate::pool::Pool;
use crate::pool::Response;
use crate::readiness;
use crate::signal::Signal;
use crate::stop::Stop;
use crate::tally::Tally;

/// Capacity of each channel to the event loop, in events.
const CHANNEL_CAPACITY: usize = 8_192;

/// Largest response body accepted from a replica, in bytes.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Time for a request to travel from the caller to this host, plus the time for the
/// answer to travel back.
pub(crate) const CALLER_MARGIN: Span = Span::from_ms(11);

/// [`CALLER_MARGIN`] for the first request on a connection, including connection setup.
pub(crate) const CALLER_MARGIN_FIRST: Span = Span::from_ms(17);

/// Interval at which the gauges are updated and the settings file is checked for changes.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// An unanswered request of a caller, or an unfinished branch of one.
pub(crate) struct Pending {
    pub(crate) request: Arc<Request>,
    /// The request as encoded for other hosts; absent until the first order to one.
    pub(crate) envelope: Option<Arc<Envelope>>,
    pub(crate) origin: Origin,
    pub(crate) received_at: Instant,
}

/// Where the answer to a pending request goes.
pub(crate) enum Origin {
    /// To the caller connected to this host.
    Caller(oneshot::Sender<Reply>),
    /// To the entry host that placed the order; `None` is this host.
    Host(Option<SocketAddr>, OrderId),
    /// To the entry host that relayed the request, whose links to the servers are lost.
    Relay(SocketAddr, RelayId),
}

/// Receivers of all events that the loop handles.
struct Sources {
    ingress: mpsc::Receiver<ingress::Event>,
    pool: mpsc::Receiver<pool::Event<Ticket>>,
    mesh: mpsc::Receiver<mesh::Report>,
    probes: mpsc::Receiver<bool>,
    signals: mpsc::Receiver<Signal>,
}

/// The state machines of an entry host and the connections that they act on.
pub(crate) struct Driver {
    pub(crate) settings: Settings,
    pub(crate) settings_path: PathBuf,
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Source of [`Time`] in this process.
    pub(crate) clock: Clock,
    pub(crate) gateway: Gateway,
    pub(crate) fanout: Fanout,
    pub(crate) relay: Relay,
    /// Admits callers' requests within the quotas of their accounts.
    pub(crate) gate: Gate,
    /// Requests by account.
    pub(crate) tally: Tally,
    /// Request number of each relayed request accepted, by the host that sent it.
    pub(crate) relayed: BTreeMap<(SocketAddr, RelayId), u64>,
    /// Request number of each order accepted, by the host that placed it.
    pub(crate) branches: HashMap<(Option<SocketAddr>, OrderId), u64>,
    /// Entry hosts that orders may be sent to and that were greeted.
    pub(crate) greeted: BTreeSet<SocketAddr>,
    /// Number of the last request or branch; shared with [`Ingress`].
    pub(crate) last_id: Arc<AtomicU64>,
    pub(crate) subscriber: Subscriber,
    pub(crate) mesh: Mesh,
    /// Takes the results of probes of the links to the servers.
    pub(crate) probes: mpsc::Sender<bool>,
    pub(crate) pool: Pool<Ticket>,
    pub(crate) pending: HashMap<u64, Pending>,
    /// Running calls to replicas, with the request and the replica's address.
    pub(crate) calls: HashMap<Ticket, (Arc<Request>, SocketAddr)>,
    /// Response of the call that just ended, kept in case the gateway relays it.
    pub(crate) held_response: Option<(Ticket, Response)>,
    /// State published to the callers' and readiness listeners.
    pub(crate) state: watch::Sender<State>,
    pub(crate) logger: Logger,
    pub(crate) meter: meter::Entry,
    /// When the process was last suspended.
    pub(crate) suspension: Suspension,
    /// Replicas whose learned slowdown was reported to the log.
    pub(crate) load_watch: Watch,
    /// Whether a voter in contact with a majority recently confirmed the state it feeds.
    pub(crate) feed_fresh: bool,
    /// The planned stop; absent while running.
    pub(crate) stop: Option<Stop>,
    pub(crate) rotation: Rotation,
    /// When the voters last read the list of replicas in use; absent before the first.
    pub(crate) list_read_at: Option<Time>,
    pub(crate) entry_hosts: Vec<plan::Host>,
}

/// Runs an entry host until a stop signal arrives and the pending requests are answered,
/// or the longest stop time has passed.
///
/// # Errors
///
/// An address can't be bound, or metrics can't be set up.
pub async fn run(
    settings_path: PathBuf,
    settings: Settings,
    dialect: Arc<dyn Dialect>,
    signals: mpsc::Receiver<Signal>,
) -> Result<()> {
    let callers = listener::bind(settings.callers).await?;
    let readiness = listener::bind(settings.readiness).await?;
    let peer = listener::bind(settings.peer).await?;
    let exporter = listener::serve_metrics(settings.metrics).await?;
    let (state, published) = watch::channel(State::default());
    let (ingress_sender, ingress_events) = mpsc::channel(CHANNEL_CAPACITY);
    let (pool_sender, pool_events) = mpsc::channel(CHANNEL_CAPACITY);
    let (probe_sender, probes) = mpsc::channel(CHANNEL_CAPACITY);
    let last_id = Arc::new(AtomicU64::new(0));
    let ingress = Ingress {
        state: published.clone(),
        events: ingress_sender.clone(),
        dialect: dialect.clone(),
        last_id: last_id.clone(),
    };
    tokio::spawn(ingress::listen(callers, Arc::new(ingress)));
    let checks = readiness::Checks {
        state: published,
        events: ingress_sender,
        dialect: dialect.clone(),
    };
    tokio::spawn(readiness::listen(readiness, checks));
    let (mesh, mesh_reports) = Mesh::open(settings.peer, peer);
    let clock = Clock::start();
    let seed = rand::random();
    let gateway = Gateway::new(gateway::Settings {
        address: settings.peer,
        extra: settings.extra,
        cold_overage: settings.cold_overage,
        cold_slack: settings.cold_slack,
        estimator: settings.estimator,
        domain: settings.domain.clone(),
        margin: CALLER_MARGIN,
        margin_first: CALLER_MARGIN_FIRST,
        list_lag: settings.list_lag,
        seed,
    });
    let own = plan::Host {
        address: settings.peer,
        domain: settings.domain.clone(),
    };
    tracing::info!(event = 100, host = %settings.name, domain = %settings.domain, role = "entry", "daemon started");
    let mut driver = Driver {
        gateway,
        tally: Tally::new(&exporter)?,
        gate: admission::gate(&settings, own.clone(), seed),
        fanout: Fanout::new(fanout::Settings { host: own, seed }),
        relay: Relay::new(seed),
        relayed: BTreeMap::new(),
        branches: HashMap::new(),
        greeted: BTreeSet::new(),
        last_id,
        subscriber: Subscriber::new(
            Time::default(),
            settings.domain.clone(),
            settings.seed_addresses(),
            seed,
        ),
        mesh,
        probes: probe_sender,
        pool: Pool::new(pool_sender, ANSWER_MAX_BYTES)
            .with_comparison()
            .with_required_echo(dialect.headers().request.clone()),
        pending: HashMap::new(),
        calls: HashMap::new(),
        held_response: None,
        state,
        logger: Logger::default(),
        meter: meter::Entry::new(&exporter),
        suspension: Suspension::new(clock.now()),
        load_watch: Watch::default(),
        feed_fresh: false,
        stop: None,
        rotation: Rotation::default(),
        list_read_at: None,
        entry_hosts: Vec::new(),
        settings,
        settings_path,
        dialect,
        clock,
    };
    let sources = Sources {
        ingress: ingress_events,
        pool: pool_events,
        mesh: mesh_reports,
        probes,
        signals,
    };
    driver.event_loop(sources).await;
    tracing::info!(event = 102, host = %driver.settings.name, "daemon stopped");
    Ok(())
}

impl Driver {
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Handles events and timers until the stop is finished.
    async fn event_loop(&mut self, mut sources: Sources) {
        let mut housekeeping_at = Instant::now();
        loop {
            let timer = self.next_wakeup().min(housekeeping_at);
            tokio::select! {
                biased;
                Some(event) = sources.pool.recv() => self.handle_pool(event),
                Some(accepted) = sources.probes.recv() => self.step_gateway(Event::Probed(accepted)),
                Some(report) = sources.mesh.recv() => self.handle_mesh(report),
                Some(event) = sources.ingress.recv() => self.handle_ingress(event),
                Some(signal) = sources.signals.recv() => self.handle_signal(signal),
                () = tokio::time::sleep_until(timer.into()) => {}
            }
            if self.is_request_timer_due() && self.has_orders() {
                self.drain_mesh_reports(&mut sources.mesh).await;
            }
            self.tick();
            if housekeeping_at <= Instant::now() {
                self.do_housekeeping();
                housekeeping_at = Instant::now() + HOUSEKEEPING_INTERVAL;
            }
            self.publish_state();
            if self.is_finished() {
                return;
            }
        }
    }

    /// Whether any order placed or accepted by this host is unfinished.
    fn has_orders(&self) -> bool {
        let placed = self.fanout.active_requests() + self.relay.active_requests();
        let placed = placed + self.gate.waiting_requests();
        placed > 0 || !self.branches.is_empty() || !self.relayed.is_empty()
    }

    /// Whether a timer of the gateway or the fanout is due.
    fn is_request_timer_due(&self) -> bool {
        let now = self.now();
        let timers = [self.gateway.next_timer(), self.fanout.next_timer()];
        let others = [self.relay.next_timer(), self.gate.next_timer()];
        let timers = timers.into_iter().chain(others);
        timers.flatten().any(|at| at <= now)
    }

    /// Handles all messages received so far before timers fire, so that nothing more is
    /// sent for a cancelled order. Yielding first lets the connection tasks read.
    async fn drain_mesh_reports(&mut self, reports: &mut mpsc::Receiver<mesh::Report>) {
        tokio::task::yield_now().await;
        while let Ok(report) = reports.try_recv() {
            self.handle_mesh(report);
        }
    }

    /// When the next timer fires. While stopping, at most 20 ms from now, so that the end
    /// of the stop is noticed.
    fn next_wakeup(&self) -> Instant {
        let next = self.gateway.next_timer().into_iter();
        let next = next.chain(self.fanout.next_timer());
        let next = next.chain(self.relay.next_timer());
        let next = next.chain(self.gate.next_timer());
        let next = next.chain([self.subscriber.next_timer(self.now())]).min();
        let next = next.unwrap_or_default();
        let wake = self.clock.instant(next);
        match self.stop {
            Some(_) => wake.min(Instant::now() + Duration::from_millis(20)),
            None => wake,
        }
    }

    /// Fires the timers that are due and logs when contact with the voters changes.
    fn tick(&mut self) {
        let now = self.now();
        self.suspension.step(now);
        let failing = self.rotation.is_failing();
        if let Some((voter, mut heartbeat)) = self.subscriber.tick(now, failing) {
            let known = self.subscriber.voter_ledger();
            heartbeat.ledger = self.gateway.ledger().summary(now, known).into();
            let known = self.subscriber.voter_limits();
            heartbeat.limits = self.gateway.limit_report(now, known).into();
            heartbeat.rollouts = Box::new(self.gateway.rollout_report()).into();
            heartbeat.load = Box::new(self.gateway.load_report(now)).into();
            heartbeat.links = match self.gateway.links() {
                uplink::State::Sound => Links::Sound,
                uplink::State::Lost | uplink::State::Trial => Links::Lost,
            }
            .into();
            self.mesh.send(voter, Message::Heartbeat(heartbeat));
        }
        if self.gateway.next_timer().is_some_and(|at| at <= now) {
            self.step_gateway(Event::Tick);
        }
        if self.fanout.next_timer().is_some_and(|at| at <= now) {
            self.step_fanout(fanout::Event::Tick);
        }
        if self.relay.next_timer().is_some_and(|at| at <= now) {
            let actions = self.relay.tick(now);
            self.relay_actions(actions);
        }
        self.tick_gate();
        let feed_fresh = self.subscriber.is_fresh(now);
        if feed_fresh != self.feed_fresh {
            self.feed_fresh = feed_fresh;
            let voter = self.subscriber.voter().map(|voter| voter.to_string());
            match feed_fresh {
                true => tracing::info!(event = 714, voter, "voters regained"),
                false => {
                    let age = self.subscriber.age(now);
                    let (revision, age_ms) = (self.subscriber.revision(), age.map(Span::as_ms));
                    tracing::warn!(event = 715, voter, revision, age_ms, "voters lost");
                }
            }
        }
    }

    /// Updates the gauges and reloads changed settings.
    fn do_housekeeping(&mut self) {
        let version = self.gateway.catalog().version;
        let age = self.list_read_at.map(|read| self.now().since(read));
        let age_s = age.unwrap_or_default().as_us() as f64 / 1e6;
        self.meter.set_gauges(
            version,
            age_s,
            self.entry_hosts.len(),
            self.pool.open_connections(),
        );
        if let Some(age) = self.subscriber.age(self.now()) {
            self.meter.set_confirmation_age(age);
        }
        self.log_refused_keys();
        self.meter
            .set_limited_replicas(self.gateway.limited_replicas());
        let differing = self.load_watch.differing(self.now());
        self.meter.set_differing_replicas(differing);
        for usage in self.gateway.take_usage() {
            self.logger.limit_used(&usage);
        }
        self.reload();
    }

    /// Reloads the settings if the file changed. Only the seed voters and the stop times
    /// take effect without a restart.
    fn reload(&mut self) {
        match Settings::load(&self.settings_path) {
            Ok(settings) if settings != self.settings => {
                self.subscriber.set_seeds(settings.seed_addresses());
                self.settings = settings;
                tracing::info!(event = 720, "settings reloaded");
            }
            Ok(_) => {}
            Err(error) => tracing::error!(event = 721, %error, "settings not reloaded"),
        }
    }

    /// What this host knows about the other entry hosts, for its rotation.
    pub(crate) fn peers(&self) -> Peers {
        Peers {
            voters_reachable: self.feed_fresh,
            hosts: self.entry_hosts.len(),
            failing: self.subscriber.failing_count(),
        }
    }

    /// Publishes readiness, draining and limits to the listeners if they changed.
    fn publish_state(&mut self) {
        let now = self.now();
        let peers = self.peers();
        let in_rotation = self.rotation.update(now, peers);
        let configured = self.gateway.catalog().version > 0 && self.gateway.replica_count() > 0;
        let stopping = self.stop.is_some();
        let state = State {
            ready: configured && !stopping && in_rotation,
            draining: stopping || configured && !in_rotation,
            closing: self.stop.is_some_and(|stop| stop.is_closing()),
            limits: self.gateway.catalog().limits,
        };
        self.state.send_if_modified(|published| {
            if published.ready != state.ready {
                tracing::info!(event = 716, ready = state.ready, "readiness changed");
            }
            std::mem::replace(published, state) != state
        });
    }

    /// Whether the stop is finished: the longest stop time has passed, or draining is over
    /// with no request pending and no caller connected.
    fn is_finished(&self) -> bool {
        let Some(stop) = self.stop else {
            return false;
        };
        // The readiness listener and each of its connections hold a receiver of the state, and
        // so does each open caller connection; all caller connections share one more.
        let is_idle = self.pending.is_empty() && self.state.receiver_count() <= 2;
        stop.is_over(is_idle, Duration::from_millis(50))
    }

    /// Begins a planned stop: all requests of callers are answered before it ends.
    fn begin_stop(&mut self) {
        tracing::info!(event = 101, host = %self.settings.name, "stop requested");
        let stop = Stop::begin(self.settings.drain, self.settings.stop_max);
        let end = self.now().after(stop.answers_left());
        self.stop = Some(stop);
        self.step_gateway(Event::EndBy(end));
        self.step_fanout(fanout::Event::EndBy(end));
        self.relay.end_by(end);
    }

    fn handle_signal(&mut self, signal: Signal) {
        match signal {
            Signal::Stop if self.stop.is_none() => self.begin_stop(),
            Signal::Stop => {}
            Signal::Reload => self.reload(),
        }
    }
}

/// The identifiers of a request, for logs.
pub(crate) fn log_id(request: &Request) -> LogId<'_> {
    LogId {
        request: request.id.to_str().unwrap_or("unprintable"),
        fingerprint: request.fingerprint,
    }
}
