//! The loop of an entry host in a tier with discovered hosts.

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
use wagtailbeam_decision::branch::Envelope;
use wagtailbeam_decision::branch::OrderId;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::endpoint::Ticket;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::fanout::Fanout;
use wagtailbeam_decision::feed::Message;
use wagtailbeam_decision::feed::Subscriber;
use wagtailbeam_decision::gateway;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::gateway::Gateway;
use wagtailbeam_decision::plan;
use wagtailbeam_decision::rotation::Peers;
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
use crate::meter;
use crate::node::Result;
use crate::pool;
use crate::pool::Pool;
use crate::pool::Response;
use crate::port;
use crate::readiness;
use crate::signal::Signal;
use crate::trail::Trail;

/// Events waiting for the loop at most, for each of its sources.
const CHANNEL_MAX: usize = 8_192;

/// Largest answer of a replica, in bytes.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Time from the sending of a request by a caller to its arrival here, and from an
/// answer here to its arrival there.
pub(crate) const CALLER_MARGIN: Span = Span::from_ms(11);

/// The same for the first request on a connection, with the time to open it.
pub(crate) const CALLER_MARGIN_FIRST: Span = Span::from_ms(17);

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
    let callers = port::bind(settings.callers).await?;
    let ready = port::bind(settings.ready).await?;
    let peer = port::bind(settings.peer).await?;
    let registered = port::metrics(settings.metrics).await?;
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
        self.fanout.active_requests() > 0 || !self.branches.is_empty()
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

    pub(crate) fn others(&self) -> Peers {
        Peers {
            voters_reachable: self.fresh,
            hosts: self.hosts.len(),
            failing: self.subscriber.failing(),
        }
    }

    fn show(&mut self) {
        let now = self.now();
        let others = self.others();
        let in_rotation = self.rotation.is_in_service(now, others);
        let known = self.gateway.catalog().version > 0 && self.gateway.replica_count() > 0;
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
}

pub(crate) fn name_of(passed: &Passed) -> &str {
    passed.id.to_str().unwrap_or("unprintable")
}
