//! The loop of an entry host in a tier with discovered hosts.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderValue;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use wagtailbeam_decision::branch;
use wagtailbeam_decision::branch::Envelope;
use wagtailbeam_decision::branch::OrderId;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::endpoint::Ticket;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::fanout::Fanout;
use wagtailbeam_decision::feed::Message;
use wagtailbeam_decision::feed::Subscriber;
use wagtailbeam_decision::feed::Update;
use wagtailbeam_decision::gateway;
use wagtailbeam_decision::gateway::Action;
use wagtailbeam_decision::gateway::Answer;
use wagtailbeam_decision::gateway::Call;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::gateway::Gateway;
use wagtailbeam_decision::plan;
use wagtailbeam_decision::plan::Plan;
use wagtailbeam_decision::rotation::Others;
use wagtailbeam_decision::rotation::Rotation;

use crate::dialect::Dialect;
use crate::host::Settings;
use crate::ingress;
use crate::ingress::Ingress;
use crate::ingress::Passed;
use crate::ingress::Reply;
use crate::ingress::View;
use crate::mesh;
use crate::mesh::Mesh;
use crate::mesh::News;
use crate::meter;
use crate::meter::Registered;
use crate::node::BindSnafu;
use crate::node::MeterSnafu;
use crate::node::Result;
use crate::pool;
use crate::pool::Pool;
use crate::pool::Response;
use crate::pool::Terms;
use crate::readiness;
use crate::signal::Signal;
use crate::trail::Trail;

/// Events waiting for the loop at most, for each of its sources.
const CHANNEL_MAX: usize = 8_192;

/// Largest answer of a replica, in bytes.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Time from the sending of a request by a caller to its arrival here, and from an
/// answer here to its arrival there.
const CALLER_MARGIN: Span = Span::from_ms(11);

/// The same for the first request on a connection, with the time to open it.
const CALLER_MARGIN_FIRST: Span = Span::from_ms(17);

/// Time that this host needs beyond that to merge what several hosts gathered.
const MERGE_MARGIN: Span = Span::from_ms(5);

/// Time between two looks at the gauges and the settings file.
const HOUSEKEEP_EVERY: Duration = Duration::from_secs(1);

/// A request that waits for its answer.
pub(crate) struct Pending {
    pub(crate) passed: Arc<Passed>,
    pub(crate) envelope: Option<Arc<Envelope>>,
    pub(crate) origin: Origin,
    pub(crate) since: Instant,
}

/// Who waits for a request's answer.
pub(crate) enum Origin {
    /// A caller.
    Caller(oneshot::Sender<Reply>),
    /// An entry host that gave an order; none is this one.
    Host(Option<SocketAddr>, OrderId),
}

struct Sources {
    callers: mpsc::Receiver<ingress::Report>,
    backends: mpsc::Receiver<pool::Report<Ticket>>,
    peers: mpsc::Receiver<mesh::Report>,
    signals: mpsc::Receiver<Signal>,
}

pub(crate) struct Host {
    pub(crate) settings: Settings,
    pub(crate) path: PathBuf,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) origin: Instant,
    pub(crate) gateway: Gateway,
    pub(crate) fanout: Fanout,
    pub(crate) branches: HashMap<(Option<SocketAddr>, OrderId), u64>,
    pub(crate) greeted: BTreeSet<SocketAddr>,
    pub(crate) ids: Arc<AtomicU64>,
    pub(crate) subscriber: Subscriber,
    pub(crate) mesh: Mesh,
    pub(crate) pool: Pool<Ticket>,
    pub(crate) pending: HashMap<u64, Pending>,
    pub(crate) calls: HashMap<Ticket, (Arc<Passed>, SocketAddr)>,
    pub(crate) relayed: Option<(Ticket, Response)>,
    pub(crate) view: watch::Sender<View>,
    pub(crate) trail: Trail,
    pub(crate) meter: meter::Entry,
    pub(crate) fresh: bool,
    pub(crate) leaving: Option<Instant>,
    pub(crate) rotation: Rotation,
    pub(crate) fleet_read: Option<Time>,
    pub(crate) hosts: Vec<plan::Host>,
}

/// Runs an entry host until it is told to stop and its work is finished.
pub async fn run(
    path: PathBuf,
    settings: Settings,
    dialect: Arc<dyn Dialect>,
    signals: mpsc::Receiver<Signal>,
) -> Result<()> {
    let bind = async |address| {
        TcpListener::bind(address)
            .await
            .context(BindSnafu { address })
    };
    let callers = bind(settings.callers).await?;
    let ready = bind(settings.ready).await?;
    let peer = bind(settings.peer).await?;
    let registered = Arc::new(Registered::new().context(MeterSnafu)?);
    if let Some(address) = settings.metrics {
        let listener = bind(address).await?;
        tokio::spawn(meter::listen(listener, registered.clone()));
    }
    let (view, seen) = watch::channel(View::default());
    let (caller_reports, caller_events) = mpsc::channel(CHANNEL_MAX);
    let (backend_reports, backend_events) = mpsc::channel(CHANNEL_MAX);
    let ids = Arc::new(AtomicU64::new(0));
    let ingress = Ingress {
        view: seen.clone(),
        reports: caller_reports,
        dialect: dialect.clone(),
        last: ids.clone(),
    };
    tokio::spawn(ingress::listen(callers, Arc::new(ingress)));
    tokio::spawn(readiness::listen(ready, seen, dialect.clone()));
    let (mesh, peers) = Mesh::open(settings.peer, peer);
    let origin = Instant::now();
    let seed = rand::random();
    let gateway = Gateway::new(gateway::Settings {
        address: settings.peer,
        extra: settings.extra,
        cold_overage: settings.cold_overage,
        cold_slack: settings.cold_slack,
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
    let mut host = Host {
        gateway,
        fanout: Fanout::new(fanout::Settings { host: own, seed }),
        branches: HashMap::new(),
        greeted: BTreeSet::new(),
        ids,
        subscriber: Subscriber::new(
            Time::default(),
            settings.domain.clone(),
            settings.seed_peers(),
            seed,
        ),
        mesh,
        pool: Pool::new(backend_reports, ANSWER_MAX_BYTES),
        pending: HashMap::new(),
        calls: HashMap::new(),
        relayed: None,
        view,
        trail: Trail::default(),
        meter: meter::Entry::new(&registered),
        fresh: false,
        leaving: None,
        rotation: Rotation::default(),
        fleet_read: None,
        hosts: Vec::new(),
        settings,
        path,
        dialect,
        origin,
    };
    let sources = Sources {
        callers: caller_events,
        backends: backend_events,
        peers,
        signals,
    };
    host.turn(sources).await;
    tracing::info!(event = 102, host = %host.settings.name, "daemon stopped");
    Ok(())
}

impl Host {
    pub(crate) fn now(&self) -> Time {
        Time::from_us(self.origin.elapsed().as_micros() as u64)
    }

    async fn turn(&mut self, mut sources: Sources) {
        let mut housekeep_at = Instant::now();
        loop {
            let timer = self.wake_at().min(housekeep_at);
            tokio::select! {
                biased;
                Some(report) = sources.backends.recv() => self.backend(report),
                Some(report) = sources.peers.recv() => self.peer(report),
                Some(report) = sources.callers.recv() => self.caller(report),
                Some(signal) = sources.signals.recv() => self.signal(signal),
                () = tokio::time::sleep_until(timer.into()) => {}
            }
            if self.is_due() && self.has_branches() {
                self.catch_up(&mut sources.peers).await;
            }
            self.tick();
            if housekeep_at <= Instant::now() {
                self.housekeep();
                housekeep_at = Instant::now() + HOUSEKEEP_EVERY;
            }
            self.show();
            if self.is_finished() {
                return;
            }
        }
    }

    /// Whether it gives or takes orders now.
    fn has_branches(&self) -> bool {
        self.fanout.load() > 0 || !self.branches.is_empty()
    }

    /// Whether a timer of requests is due.
    fn is_due(&self) -> bool {
        let now = self.now();
        let timers = [self.gateway.next_timer(), self.fanout.next_timer()];
        timers.into_iter().flatten().any(|at| at <= now)
    }

    /// Takes all messages that have come, so that nothing more is sent for an order
    /// that was taken back. Yielding lets the connections read first.
    async fn catch_up(&mut self, peers: &mut mpsc::Receiver<mesh::Report>) {
        tokio::task::yield_now().await;
        while let Ok(report) = peers.try_recv() {
            self.peer(report);
        }
    }

    fn wake_at(&self) -> Instant {
        let next = self.gateway.next_timer().into_iter();
        let next = next.chain(self.fanout.next_timer());
        let next = next.chain([self.subscriber.next_timer(self.now())]).min();
        let next = next.unwrap_or_default();
        let wake = self.origin + Duration::from_micros(next.as_us());
        match self.leaving {
            Some(_) => wake.min(Instant::now() + Duration::from_millis(20)),
            None => wake,
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let failing = self.rotation.is_failing();
        if let Some((voter, beat)) = self.subscriber.tick(now, failing) {
            self.mesh.send(voter, Message::Beat(beat));
        }
        if self.gateway.next_timer().is_some_and(|at| at <= now) {
            self.step(Event::Tick);
        }
        if self.fanout.next_timer().is_some_and(|at| at <= now) {
            self.fan(fanout::Event::Tick);
        }
        let fresh = self.subscriber.is_fresh(now);
        if fresh != self.fresh {
            self.fresh = fresh;
            let voter = self.subscriber.voter().map(|voter| voter.to_string());
            match fresh {
                true => tracing::info!(event = 714, voter, "voters regained"),
                false => tracing::warn!(event = 715, voter, "voters lost"),
            }
        }
    }

    fn housekeep(&mut self) {
        let version = self.gateway.catalog().version;
        let age = self.fleet_read.map(|read| self.now().since(read));
        let age_s = age.unwrap_or_default().as_us() as f64 / 1e6;
        self.meter
            .observe(version, age_s, self.hosts.len(), self.pool.open());
        self.reload();
    }

    /// Reads the settings again if they changed.
    fn reload(&mut self) {
        match Settings::load(&self.path) {
            Ok(settings) if settings != self.settings => {
                self.subscriber.reseed(settings.seed_peers());
                self.settings = settings;
                tracing::info!(event = 720, "settings reloaded");
            }
            Ok(_) => {}
            Err(error) => tracing::error!(event = 721, %error, "settings not reloaded"),
        }
    }

    fn others(&self) -> Others {
        Others {
            fresh: self.fresh,
            hosts: self.hosts.len(),
            failing: self.subscriber.failing(),
        }
    }

    fn show(&mut self) {
        let now = self.now();
        let others = self.others();
        let in_rotation = self.rotation.is_in(now, others);
        let known = self.gateway.catalog().version > 0 && self.gateway.replicas() > 0;
        let leaving = self.leaving.is_some();
        let drain = Duration::from_micros(self.settings.drain.as_us());
        let view = View {
            ready: known && !leaving && in_rotation,
            leaving: leaving || known && !in_rotation,
            closing: self.leaving.is_some_and(|since| since.elapsed() >= drain),
            limits: self.gateway.catalog().limits,
        };
        self.view.send_if_modified(|shown| {
            if shown.ready != view.ready {
                tracing::info!(event = 716, ready = view.ready, "readiness changed");
            }
            std::mem::replace(shown, view) != view
        });
    }

    fn is_finished(&self) -> bool {
        let Some(since) = self.leaving else {
            return false;
        };
        let drain = Duration::from_micros(self.settings.drain.as_us());
        let longest = Duration::from_micros(self.settings.stop_max.as_us());
        let idle = self.pending.is_empty() && self.view.receiver_count() <= 2;
        since.elapsed() >= longest || idle && since.elapsed() >= drain + Duration::from_millis(50)
    }

    fn signal(&mut self, signal: Signal) {
        match signal {
            Signal::Stop if self.leaving.is_none() => {
                tracing::info!(event = 101, host = %self.settings.name, "stop requested");
                self.leaving = Some(Instant::now());
            }
            Signal::Stop => {}
            Signal::Reload => self.reload(),
        }
    }

    fn peer(&mut self, report: mesh::Report) {
        let now = self.now();
        match self.mesh.take(report) {
            News::Message(from, message) => match *message {
                Message::Feed(feed) => {
                    let update = self.subscriber.take(now, from, *feed);
                    self.update(update);
                }
                Message::Branch(message) => self.hear(from, message),
                other => tracing::debug!(%from, ?other, "a message that no entry host takes"),
            },
            News::Lost(address) if Some(address) == self.subscriber.voter() => {
                self.subscriber.turn(now);
            }
            News::Lost(address) => self.lose_host(address),
            News::Unsent(message) => {
                if let Message::Branch(branch::Message::Order(order)) = *message {
                    self.fan(fanout::Event::Unsent(order.id));
                }
            }
            News::Nothing => {}
        }
    }

    fn update(&mut self, update: Update) {
        if let Some((version, document)) = update.document {
            match self.dialect.catalog(&document) {
                Ok(catalog) => {
                    tracing::info!(event = 710, version, "configuration in force");
                    self.step(Event::Catalog(Arc::new(catalog)));
                    self.replan();
                }
                Err(fault) => {
                    tracing::error!(event = 711, version, %fault, "configuration not understood");
                }
            }
        }
        if let Some(closed) = update.closed {
            tracing::info!(event = 713, ?closed, "failure domains out of service");
            self.step(Event::Closed(closed));
        }
        if let Some((fleet, read)) = update.fleet {
            let age_ms = self.now().since(read).as_ms();
            let replicas = fleet.replicas.len();
            tracing::info!(event = 712, replicas, age_ms, "list changed");
            self.step(Event::Fleet(fleet, read));
        }
        if let Some(read) = update.read {
            self.fleet_read = Some(read);
            self.fanout.note_read(read);
            self.step(Event::Read(read));
        }
        if let Some(hosts) = update.hosts {
            tracing::info!(event = 717, hosts = hosts.len(), "entry hosts changed");
            self.hosts = hosts;
            self.replan();
        }
    }

    /// Decides anew which hosts send to which services.
    fn replan(&mut self) {
        let catalog = self.gateway.catalog().clone();
        let plan = Arc::new(Plan::new(&catalog, &self.hosts));
        self.fanout.replan(catalog, plan.clone());
        self.step(Event::Plan(plan));
        self.greet_partners();
    }

    fn caller(&mut self, report: ingress::Report) {
        match report {
            ingress::Report::Request(id, passed, answer) => {
                let pending = Pending {
                    passed: passed.clone(),
                    envelope: None,
                    origin: Origin::Caller(answer),
                    since: Instant::now(),
                };
                self.pending.insert(id, pending);
                self.serve(id, &passed);
            }
            ingress::Report::Abandoned(id) => {
                if let Some(pending) = self.pending.remove(&id) {
                    let id = name_of(&pending.passed);
                    self.trail.abandoned(id, pending.since.elapsed());
                }
                self.step(Event::Abandoned(id));
                self.fan(fanout::Event::Abandoned(id));
            }
        }
    }

    fn serve(&mut self, id: u64, passed: &Passed) {
        let path = passed.target.path();
        if let Some(route) = self.fanout.takes(&passed.host, path) {
            let margin = match passed.first {
                true => CALLER_MARGIN_FIRST,
                false => CALLER_MARGIN,
            };
            let request = fanout::Request {
                route,
                left: passed.left,
                margin: margin + MERGE_MARGIN,
            };
            return self.fan(fanout::Event::Request(id, request));
        }
        let request = gateway::Request {
            host: passed.host.clone(),
            path: path.into(),
            left: passed.left,
            fresh: self.fresh,
            first: passed.first,
            elsewhere: self.rotation.is_elsewhere_better(self.others()),
        };
        self.step(Event::Request(id, request));
    }

    fn backend(&mut self, report: pool::Report<Ticket>) {
        let Some((ticket, result)) = self.pool.take(report) else {
            return;
        };
        let Some((passed, address)) = self.calls.remove(&ticket) else {
            return;
        };
        let exchange = self.judge(&passed, address, ticket, result);
        self.meter.ended(exchange.ending);
        self.step(Event::Done(ticket, exchange));
        self.relayed = None;
    }

    pub(crate) fn step(&mut self, event: Event) {
        let now = self.now();
        for action in self.gateway.step(now, event) {
            match action {
                Action::Send(call) => self.send(&call),
                Action::Withdraw(ticket) => {
                    self.calls.remove(&ticket);
                    self.pool.abort(&ticket);
                    self.meter.ended(Ending::Withdrawn);
                }
                Action::Answer(id, answer, report) => self.answer(id, answer, &report),
                Action::Piece(id, piece) => self.piece(id, piece),
                Action::Release(address) => self.pool.release(&address),
                Action::Extra(id, service, replica, why) => {
                    self.meter.extra(why);
                    if let Some(pending) = self.pending.get(&id) {
                        let id = name_of(&pending.passed);
                        self.trail.extra(id, &service, &replica, why);
                    }
                }
            }
        }
    }

    fn send(&mut self, call: &Call) {
        let Some(pending) = self.pending.get(&call.request) else {
            return tracing::error!(event = 791, request = call.request, "a call has no request");
        };
        let passed = pending.passed.clone();
        let names = self.dialect.headers();
        let mut request = Request::new(Full::new(passed.body.clone()));
        *request.method_mut() = passed.method.clone();
        *request.uri_mut() = passed.target.clone().into();
        *request.headers_mut() = passed.headers.clone();
        let headers = request.headers_mut();
        headers.insert(names.deadline.clone(), call.left.as_ms().into());
        match HeaderValue::from_str(&call.instance) {
            Ok(instance) => drop(headers.insert(names.instance.clone(), instance)),
            Err(error) => tracing::error!(event = 791, %error, "an instance is no header value"),
        }
        let terms = Terms {
            address: call.address,
            connections: call.connections,
            careful: call.careful,
        };
        self.calls.insert(call.ticket, (passed, call.address));
        self.pool.call(call.ticket, terms, request);
    }

    pub(crate) fn answer(&mut self, id: u64, answer: Answer, report: &gateway::Report) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let (reply, outcome) = self.reply(answer);
        self.trail
            .answered(name_of(&pending.passed), outcome, report);
        self.meter.answered(outcome, report);
        let now = self.now();
        let failed = outcome.is_failure() && report.is_cut_off();
        self.rotation.note(now, failed);
        let Origin::Caller(answer) = pending.origin else {
            return tracing::error!(event = 791, request = id, "a branch has an answer");
        };
        if answer.send(reply).is_err() {
            tracing::debug!(request = id, "the caller left as it was answered");
        }
    }
}

pub(crate) fn name_of(passed: &Passed) -> &str {
    passed.id.to_str().unwrap_or("unprintable")
}
