//! The main loop of a daemon in a group with a settings file.
//!
//! [`run`] is called by [`crate::cli`]. It owns all state of the daemon, receives events from
//! the ports, peers, backend calls and disk over channels, passes them to `decision::daemon`,
//! and performs the resulting actions until a planned stop has finished.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use wagtailbeam_decision::burn::Ledger;
use wagtailbeam_decision::burn::Subject;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::daemon::Daemon;
use wagtailbeam_decision::manifest::Manifest;
use wagtailbeam_decision::message::Action;
use wagtailbeam_decision::message::Addresses;
use wagtailbeam_decision::message::Event;
use wagtailbeam_decision::message::Identity;
use wagtailbeam_decision::message::Message;
use wagtailbeam_decision::query::Reply;
use wagtailbeam_decision::register::Decision;
use wagtailbeam_decision::request::Request;
use wagtailbeam_decision::voter::Voter;

use crate::admin;
use crate::admin::Admin;
use crate::backend;
use crate::backend::Backend;
use crate::clock::Clock;
use crate::disk;
use crate::disk::Command;
use crate::event;
use crate::frontend;
use crate::frontend::Frontend;
use crate::frontend::View;
use crate::metric;
use crate::metric::Metric;
use crate::peer;
use crate::peer::Links;
use crate::probe;
use crate::settings::Config;
use crate::status::Source;
use crate::status::Status;
use crate::stop::Stop;
use crate::store;
use crate::store::Store;
use crate::wire;

/// Capacity of the channel from each event source to the loop, in events.
const CHANNEL_CAPACITY: usize = 8_192;

/// Longest interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Size of the receive buffer for datagrams, in bytes.
const DATAGRAM_MAX_BYTES: usize = 64 * 1024;

/// Interval between two writes of the burn ledger to disk.
const LEDGER_SAVE_INTERVAL: Duration = Duration::from_secs(10);

/// File name of the burn ledger in the data folder.
const LEDGER_FILE: &str = "burn.json";

/// Why a process (daemon, entry host or voter) failed to start or run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An address can't be bound.
    #[snafu(display("cannot bind {address}: {source}"))]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The data folder can't be used.
    #[snafu(display("{source}"))]
    Disk {
        /// Error of the store.
        source: store::Error,
    },
    /// The signal handlers can't be installed.
    #[snafu(display("cannot receive signals: {source}"))]
    Signal {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Metrics can't be set up.
    #[snafu(display("{source}"))]
    Meter {
        /// Error of the metrics exporter.
        source: metric::Error,
    },
}

/// Result of starting or running a process.
pub type Result<T> = std::result::Result<T, Error>;

/// Bound sockets of one daemon.
pub struct Sockets {
    callers: TcpListener,
    admin: TcpListener,
    peer: TcpListener,
    datagrams: UdpSocket,
}

impl Sockets {
    /// Binds the addresses of callers, operators and peers (TCP and UDP) in `config`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Bind`] with the first address that can't be bound.
    pub async fn bind(config: &Config) -> Result<Sockets> {
        let tcp = async |address| {
            TcpListener::bind(address)
                .await
                .context(BindSnafu { address })
        };
        let address = config.peer;
        Ok(Sockets {
            callers: tcp(config.callers).await?,
            admin: tcp(config.admin).await?,
            peer: tcp(config.peer).await?,
            datagrams: UdpSocket::bind(address)
                .await
                .context(BindSnafu { address })?,
        })
    }
}

/// Writes the initial state of a new voter to the data folder. Does nothing on a host that is
/// not a voter.
///
/// # Errors
///
/// Returns [`Error::Disk`] if the folder already holds state or can't be written.
pub fn format(config: &Config) -> Result<()> {
    let position = config.voters.keys().position(|voter| *voter == config.host);
    let Some((position, folder)) = position.zip(config.data.as_ref()) else {
        return Ok(());
    };
    let records = Voter::format(position as u8, rand::random());
    Store::format(folder, &records).context(DiskSnafu)
}

/// Receiving ends of everything that the loop waits for.
struct Sources {
    backends: mpsc::Receiver<backend::Report>,
    /// Results of trial connections to backend servers.
    probes: mpsc::Receiver<Event>,
    peers: mpsc::Receiver<peer::Report<Message>>,
    callers: mpsc::Receiver<frontend::Report>,
    operators: mpsc::Receiver<admin::Command>,
    disk: mpsc::Receiver<disk::Report>,
    datagrams: Arc<UdpSocket>,
    stop: oneshot::Receiver<()>,
}

/// A caller's request that has not been answered yet.
struct Pending {
    request: Arc<Request>,
    answer: oneshot::Sender<Reply>,
    started: Instant,
}

/// State of the daemon and handles to its tasks.
struct Node {
    config: Config,
    clock: Clock,
    daemon: Daemon,
    backend: Backend,
    probes: mpsc::Sender<Event>,
    links: Links<Message>,
    datagrams: Arc<UdpSocket>,
    key: wire::Key,
    /// Commands to the disk writer; absent without a voter and after a disk failure.
    disk_commands: Option<mpsc::UnboundedSender<Command>>,
    /// Unanswered requests of callers, by request number.
    pending: BTreeMap<u64, Pending>,
    /// Unanswered `apply` calls of operators, by call number.
    pending_applies: BTreeMap<u64, oneshot::Sender<Decision>>,
    view: watch::Sender<View>,
    metric: Metric,
    ledger: Ledger,
    /// When the ledger was last written to disk.
    ledger_saved: Instant,
    /// Number of the latest `apply` call.
    last_apply: u64,
    /// The planned stop; absent while running normally.
    stop: Option<Stop>,
    /// Most connections to each backend server, from the file in force.
    connection_limits: BTreeMap<SocketAddr, u32>,
}

/// Runs a daemon until a message arrives on `stop` and the planned stop has finished.
///
/// # Errors
///
/// Returns an error if the data folder can't be opened or metrics can't be set up.
pub async fn run(config: Config, sockets: Sockets, stop: oneshot::Receiver<()>) -> Result<()> {
    let (records, store) = match config.data.clone().filter(|_| config.is_voter()) {
        Some(folder) => {
            let (store, records) = Store::open(&folder).context(DiskSnafu)?;
            (Some(records), Some(store))
        }
        None => (None, None),
    };
    let clock = Clock::start();
    let identity = Identity {
        host: config.host.clone(),
        domain: config.domain.clone(),
        boot: rand::random(),
        addresses: Some(Addresses {
            peer: config.peer,
            admin: config.admin,
        }),
        voters: config.voters.clone(),
        dispatch: config.dispatch,
    };
    let boot = identity.boot;
    let daemon = Daemon::new(Time::default(), identity, records);
    let key = wire::Key::new(&config.peer_key);
    let (backend_reports, backends) = mpsc::channel(CHANNEL_CAPACITY);
    let (probe_results, probes) = mpsc::channel(CHANNEL_CAPACITY);
    let (peer_reports, peers) = mpsc::channel(CHANNEL_CAPACITY);
    let (caller_reports, callers) = mpsc::channel(CHANNEL_CAPACITY);
    let (operator_commands, operators) = mpsc::channel(CHANNEL_CAPACITY);
    let (disk_reports, disk) = mpsc::channel(CHANNEL_CAPACITY);
    let (view, view_receiver) = watch::channel(View::default());
    tokio::spawn(peer::listen(
        sockets.peer,
        key.clone(),
        peer_reports.clone(),
    ));
    let frontend = Frontend {
        view: view_receiver.clone(),
        reports: caller_reports,
        prefix: format!("{}-{:08x}", config.host, boot as u32),
        body_max: config.body_max,
        connections_max: config.connections_max,
        last_id: AtomicU64::new(0),
    };
    let serving = tokio::spawn(frontend::listen(sockets.callers, Arc::new(frontend)));
    let admin = Admin {
        view: view_receiver,
        commands: operator_commands,
        key: config.operator_key,
    };
    tokio::spawn(admin::listen(sockets.admin, Arc::new(admin)));
    let disk_commands = store.map(|store| disk::write_in_background(store, disk_reports));
    let datagrams = Arc::new(sockets.datagrams);
    let sources = Sources {
        backends,
        probes,
        peers,
        callers,
        operators,
        disk,
        datagrams: datagrams.clone(),
        stop,
    };
    event::Event::Started.log(&format!("host {} domain {}", config.host, config.domain));
    let mut node = Node {
        backend: Backend::new(backend_reports, config.answer_max),
        probes: probe_results,
        links: Links::new(config.host.clone(), key.clone(), peer_reports),
        ledger: load_ledger(&config),
        metric: Metric::new().context(MeterSnafu)?,
        config,
        clock,
        daemon,
        datagrams,
        key,
        disk_commands,
        pending: BTreeMap::new(),
        pending_applies: BTreeMap::new(),
        view,
        ledger_saved: Instant::now(),
        last_apply: 0,
        stop: None,
        connection_limits: BTreeMap::new(),
    };
    node.run_loop(sources).await;
    drop(serving);
    event::Event::Stopped.log(&node.config.host);
    Ok(())
}

/// Path of the burn ledger; absent without a data folder.
fn ledger_path(config: &Config) -> Option<PathBuf> {
    config.data.as_ref().map(|folder| folder.join(LEDGER_FILE))
}

/// Reads the burn ledger; a missing or unreadable file gives an empty ledger.
fn load_ledger(config: &Config) -> Ledger {
    let bytes = ledger_path(config).and_then(|path| std::fs::read(path).ok());
    bytes
        .and_then(|bytes| serde_json::from_slice(&bytes).ok())
        .unwrap_or_default()
}

impl Node {
    /// Time since the start of the process.
    fn now(&self) -> Time {
        self.clock.now()
    }

    /// Handles events until the planned stop has finished.
    async fn run_loop(&mut self, mut sources: Sources) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        let mut next_tick = Instant::now();
        loop {
            let wakeup = self.next_wakeup(next_tick);
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(wakeup.into()) => {
                    self.step(Event::Tick);
                    next_tick = Instant::now() + TICK_INTERVAL;
                    self.save_ledger_if_due();
                    if self.is_finished() {
                        break;
                    }
                }
                Some(report) = sources.disk.recv() => self.handle_disk_report(report),
                Ok((size, from)) = sources.datagrams.recv_from(&mut buffer) => {
                    if let Ok(datagram) = wire::decode_datagram(&self.key, &buffer[..size]) {
                        self.step(Event::Datagram(from, datagram));
                    }
                }
                Some(report) = sources.backends.recv() => {
                    if let Some(event) = self.backend.handle(report) {
                        self.step(event);
                    }
                }
                Some(event) = sources.probes.recv() => self.step(event),
                Some(report) = sources.peers.recv() => self.handle_peer_report(report),
                Some(report) = sources.callers.recv() => self.handle_caller_report(report),
                Some(command) = sources.operators.recv() => self.handle_operator_command(command),
                Ok(()) = &mut sources.stop, if self.stop.is_none() => {
                    let stop = Stop::begin(self.config.drain, self.config.stop_max);
                    self.stop = Some(stop);
                    event::Event::StopRequested.log(&self.config.host);
                    self.step(Event::Stop(self.clock.now().after(stop.answers_left())));
                }
            }
            self.publish_view();
        }
        self.save_ledger();
    }

    /// The earlier of `next_tick` and the next timer of the state machine.
    fn next_wakeup(&self, next_tick: Instant) -> Instant {
        let timers = [
            self.daemon.entry.next_timer(),
            self.daemon.owner.next_timer(),
        ];
        let next_timer = timers.into_iter().flatten().min();
        let next_timer = next_timer.map(|time| self.clock.instant(time));
        next_timer.map_or(next_tick, |timer| timer.min(next_tick))
    }

    /// Publishes the daemon's state to the HTTP ports if it has changed.
    fn publish_view(&self) {
        let manifest = self.daemon.manifest();
        let ready = self.daemon.is_ready();
        let stopping = self.stop.is_some();
        let closing = self.stop.is_some_and(|stop| stop.is_closing());
        self.view.send_if_modified(|view| {
            let same_manifest = Arc::ptr_eq(&view.manifest, manifest);
            let same_flags =
                (view.ready, view.stopping, view.closing) == (ready, stopping, closing);
            if same_manifest && same_flags {
                return false;
            }
            *view = View {
                manifest: manifest.clone(),
                ready,
                stopping,
                closing,
            };
            true
        });
    }

    /// Whether a planned stop has drained all work or has reached its time limit.
    fn is_finished(&self) -> bool {
        let Some(stop) = self.stop else {
            return false;
        };
        // Each open connection of a caller holds a receiver of the view: more than two
        // receivers mean that at least one connection is still open.
        let is_idle = self.daemon.is_idle() && self.pending.is_empty();
        let is_idle = is_idle && self.view.receiver_count() <= 2;
        stop.is_over(is_idle, TICK_INTERVAL)
    }

    fn save_ledger_if_due(&mut self) {
        if self.ledger_saved.elapsed() >= LEDGER_SAVE_INTERVAL {
            self.ledger_saved = Instant::now();
            self.save_ledger();
        }
    }

    /// Replaces the ledger file through a temporary file. A failed write is ignored and tried
    /// again at the next interval.
    fn save_ledger(&self) {
        let Some(path) = ledger_path(&self.config) else {
            return;
        };
        let bytes = serde_json::to_vec(&self.ledger).unwrap_or_default();
        let new_path = path.with_extension("new");
        if std::fs::write(&new_path, bytes).is_ok() {
            drop(std::fs::rename(new_path, path));
        }
    }

    /// Passes an event to the state machine and performs the resulting actions.
    fn step(&mut self, event: Event) {
        let now = self.now();
        let actions = self.daemon.step(now, event);
        actions.into_iter().for_each(|action| self.perform(action));
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Reply(id, reply) => self.answer_caller(id, reply),
            Action::Message(host, address, message) => {
                if let Some(message) = self.links.send(&host, address, message) {
                    self.step(Event::Unsent(host, message));
                }
            }
            Action::Datagram(to, datagram) => {
                if let Ok(bytes) = wire::encode_datagram(&self.key, to, datagram) {
                    drop(self.datagrams.try_send_to(&bytes, to));
                }
            }
            Action::Call(call) => {
                let connections = self
                    .connection_limits
                    .get(&call.replica)
                    .copied()
                    .unwrap_or(1);
                self.backend.call(&call, connections);
            }
            Action::Abort(ticket) => self.backend.abort(ticket),
            Action::Probe(purpose, probe) => {
                let result = move |reachable| Event::Probed(purpose, probe.server, reachable);
                probe::start(probe, self.probes.clone(), result);
            }
            Action::CloseConnections(replica) => self.backend.close_idle(&replica),
            Action::Persist(number, record) => {
                if let Some(disk_commands) = &self.disk_commands {
                    drop(disk_commands.send(Command::Append(number, record)));
                }
            }
            Action::Applied(id, decision) => {
                event::Event::FileApplied.log(&format!("{decision:?}"));
                if let Some(answer) = self.pending_applies.remove(&id) {
                    drop(answer.send(decision));
                }
            }
            Action::Note(note) => {
                event::log_note(&note);
                self.connection_limits = connection_limits_of(self.daemon.manifest());
            }
        }
    }

    /// Answers a caller and records the answer in the metrics and the burn ledger.
    fn answer_caller(&mut self, id: u64, reply: Reply) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let latency = Span::from_us(pending.started.elapsed().as_micros() as u64);
        let service = &pending.request.service;
        self.metric.record_answer(service, latency, &reply);
        if let Some(service) = self.daemon.manifest().services.get(service) {
            let caller = pending.request.caller.clone();
            let subject = Subject {
                service: service.name.clone(),
                caller,
            };
            self.ledger.record(
                admin::minute_now(),
                subject,
                &service.objective,
                latency,
                &reply,
            );
        }
        drop(pending.answer.send(reply));
    }

    fn handle_disk_report(&mut self, report: disk::Report) {
        match report {
            disk::Report::Synced(number) => self.step(Event::Synced(number)),
            disk::Report::CompactionDue => {
                if let (Some(voter), Some(disk_commands)) =
                    (self.daemon.voter(), &self.disk_commands)
                {
                    drop(disk_commands.send(Command::Compact(voter.snapshot())));
                }
            }
            disk::Report::Failing => self.step(Event::DiskFailed),
            disk::Report::Regained => self.step(Event::DiskRegained),
            disk::Report::Failed(error) => {
                event::Event::DiskFailed.log(&error.to_string());
                self.disk_commands = None;
                self.step(Event::DiskFailed);
            }
        }
    }

    fn handle_peer_report(&mut self, report: peer::Report<Message>) {
        match report {
            peer::Report::Message(host, message) => self.step(Event::Message(host, message)),
            peer::Report::Connected(host) => self.step(Event::PeerJoined(host)),
            peer::Report::Refused(host, dialed) => {
                self.step(Event::PeerEnded(host, self.clock.time_of(dialed)));
            }
            peer::Report::Lost(host) => self.step(Event::PeerLost(host)),
            peer::Report::Unsent(host, message) => self.step(Event::Unsent(host, message)),
            peer::Report::Closed(host, address) => self.links.remove_closed(&host, address),
        }
    }

    fn handle_caller_report(&mut self, report: frontend::Report) {
        match report {
            frontend::Report::Request(id, request, answer) => {
                let pending = Pending {
                    request: request.clone(),
                    answer,
                    started: Instant::now(),
                };
                self.pending.insert(id, pending);
                self.step(Event::Request(id, request));
            }
            frontend::Report::Abandoned(id) => self.step(Event::Abandoned(id)),
        }
    }

    fn handle_operator_command(&mut self, command: admin::Command) {
        match command {
            admin::Command::Apply(text, answer) => {
                self.last_apply += 1;
                self.pending_applies.insert(self.last_apply, answer);
                self.step(Event::Apply(self.last_apply, text));
            }
            admin::Command::Status(answer) => drop(answer.send(self.status())),
            admin::Command::Explain(id, answer) => {
                drop(answer.send(self.daemon.entry.recent.find(&id).cloned()));
            }
            admin::Command::Burn(answer) => drop(answer.send(self.ledger.clone())),
            admin::Command::Metrics(answer) => {
                let version = self.daemon.manifest().version;
                let leased = self.daemon.is_leased();
                let counts = self.daemon.entry.counts;
                let hedges = self.daemon.owner.hedges;
                self.metric.update(
                    counts,
                    hedges,
                    self.backend.open_connections(),
                    version,
                    leased,
                );
                drop(answer.send(self.metric.text()));
            }
        }
    }

    fn status(&self) -> Status {
        let source = Source {
            now: self.now(),
            config: &self.config,
            daemon: &self.daemon,
            connections: self.backend.open_connections(),
            stopping: self.stop.is_some(),
        };
        source.status()
    }
}

/// Most connections to each backend server under `manifest`.
fn connection_limits_of(manifest: &Manifest) -> BTreeMap<SocketAddr, u32> {
    let services = manifest.services.values();
    let limits = services.flat_map(|service| {
        let replicas = service.shards.iter().flat_map(|shard| &shard.replicas);
        replicas.map(|replica| (replica.address, service.limits.connections))
    });
    limits.collect()
}
