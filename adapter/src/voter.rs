//! The loop of a voter in a tier with discovered hosts.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use snafu::ResultExt;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::control;
use wagtailbeam_decision::control::Action;
use wagtailbeam_decision::control::Control;
use wagtailbeam_decision::control::Event;
use wagtailbeam_decision::control::Outcome;
use wagtailbeam_decision::fleet::Fleet;
use wagtailbeam_decision::voter::Record;

use crate::dialect::Dialect;
use crate::disk;
use crate::disk::Command;
use crate::disk::Policy;
use crate::host::Settings;
use crate::lister;
use crate::mesh;
use crate::mesh::Mesh;
use crate::mesh::News;
use crate::meter;
use crate::node::DiskSnafu;
use crate::node::Result;
use crate::operate;
use crate::operate::Operate;
use crate::port;
use crate::signal::Signal;
use crate::store;
use crate::store::Store;
use crate::trail;

/// Events waiting for the loop at most, for each of its sources.
const CHANNEL_MAX: usize = 4_096;

/// Time between two looks at the gauges and the settings file.
const HOUSEKEEP_EVERY: Duration = Duration::from_secs(1);

/// Time between two tries to open a store on a disk that refuses it.
const OPEN_EVERY: Duration = Duration::from_millis(200);

struct Sources {
    operators: mpsc::Receiver<operate::Report>,
    peers: mpsc::Receiver<mesh::Report>,
    disk: mpsc::Receiver<disk::Report>,
    lists: mpsc::Receiver<Option<Fleet>>,
    signals: mpsc::Receiver<Signal>,
}

struct Host {
    settings: Settings,
    path: PathBuf,
    dialect: Arc<dyn Dialect>,
    origin: Instant,
    control: Control,
    mesh: Mesh,
    orders: mpsc::UnboundedSender<Command>,
    lists: mpsc::Sender<Option<Fleet>>,
    operators: HashMap<u64, oneshot::Sender<Outcome>>,
    meter: meter::Voter,
    last: u64,
    stopping: bool,
}

/// Runs a voter until it is told to stop.
pub async fn run(
    path: PathBuf,
    settings: Settings,
    dialect: Arc<dyn Dialect>,
    signals: mpsc::Receiver<Signal>,
) -> Result<()> {
    let operators = port::bind(settings.operators).await?;
    let peer = port::bind(settings.peer).await?;
    let registered = port::metrics(settings.metrics).await?;
    let (store, records) = open_store(&settings).await?;
    let (disk_reports, disk_events) = mpsc::channel(CHANNEL_MAX);
    let orders = disk::write_in_background(store, disk_reports, Policy::Retry);
    let (operator_reports, operator_events) = mpsc::channel(CHANNEL_MAX);
    let operate = Operate {
        reports: operator_reports,
        dialect: dialect.clone(),
        domains: settings.domains.clone(),
    };
    tokio::spawn(operate::listen(operators, Arc::new(operate)));
    let (mesh, peers) = Mesh::open(settings.peer, peer);
    let (lists, list_events) = mpsc::channel(CHANNEL_MAX);
    tracing::info!(event = 100, host = %settings.name, domain = %settings.domain, role = "voter", records = records.len(), "daemon started");
    let (control, actions) = Control::new(Time::default(), control_settings(&settings), records);
    let mut host = Host {
        control,
        mesh,
        orders,
        lists,
        operators: HashMap::new(),
        meter: meter::Voter::new(&registered),
        last: 0,
        stopping: false,
        origin: Instant::now(),
        settings,
        path,
        dialect,
    };
    host.act(actions);
    let sources = Sources {
        operators: operator_events,
        peers,
        disk: disk_events,
        lists: list_events,
        signals,
    };
    host.turn(sources).await;
    tracing::info!(event = 102, host = %host.settings.name, "daemon stopped");
    Ok(())
}

fn control_settings(settings: &Settings) -> control::Settings {
    control::Settings {
        address: settings.peer,
        seeds: settings.seed_peers(),
        found: settings.found,
        voters: settings.voters(),
        read_every: settings.list_every,
        nonce: rand::random(),
    }
}

/// Opens the store; a disk that refuses writes for a while is waited for.
async fn open_store(settings: &Settings) -> Result<(Store, Vec<Record>)> {
    let folder = settings.data.clone().unwrap_or_default();
    let mut refused = false;
    loop {
        match Store::open(&folder) {
            Err(error @ store::Error::Io { .. }) => {
                if !refused {
                    crate::event::Event::DiskFailed.log(&error.to_string());
                }
                refused = true;
                tokio::time::sleep(OPEN_EVERY).await;
            }
            result => return result.context(DiskSnafu),
        }
    }
}

impl Host {
    fn now(&self) -> Time {
        Time::from_us(self.origin.elapsed().as_micros() as u64)
    }

    async fn turn(&mut self, mut sources: Sources) {
        let mut next_tick = Instant::now();
        let mut housekeep_at = Instant::now();
        while !self.stopping {
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(next_tick.into()) => {
                    self.step(Event::Tick);
                    let next = self.control.next_timer(self.now());
                    next_tick = self.origin + Duration::from_micros(next.as_us());
                }
                Some(report) = sources.disk.recv() => self.disk(report),
                Some(report) = sources.peers.recv() => {
                    if let News::Message(from, message) = self.mesh.take(report) {
                        self.step(Event::Message(from, *message));
                    }
                }
                Some(fleet) = sources.lists.recv() => self.step(Event::Listed(fleet)),
                Some(report) = sources.operators.recv() => self.operator(report),
                Some(signal) = sources.signals.recv() => self.signal(signal),
            }
            if housekeep_at <= Instant::now() {
                self.housekeep();
                housekeep_at = Instant::now() + HOUSEKEEP_EVERY;
            }
            let soon = self.control.next_timer(self.now());
            let soon = self.origin + Duration::from_micros(soon.as_us());
            next_tick = next_tick.min(soon);
        }
    }

    fn signal(&mut self, signal: Signal) {
        match signal {
            Signal::Stop => {
                tracing::info!(event = 101, host = %self.settings.name, "stop requested");
                self.stopping = true;
            }
            Signal::Reload => self.reload(),
        }
    }

    fn housekeep(&mut self) {
        let revision = self.control.state().map_or(0, |state| state.revision);
        let age = self.control.fleet_age(self.now()).unwrap_or_default();
        let age_s = age.as_us() as f64 / 1e6;
        let quorum = self.control.has_quorum();
        self.meter
            .observe(revision, quorum, age_s, self.control.hosts());
        self.reload();
    }

    /// Reads the settings again if they changed.
    fn reload(&mut self) {
        match Settings::load(&self.path) {
            Ok(settings) if settings != self.settings => {
                self.step(Event::Reseed(settings.seed_peers()));
                self.settings = settings;
                tracing::info!(event = 720, "settings reloaded");
            }
            Ok(_) => {}
            Err(error) => tracing::error!(event = 721, %error, "settings not reloaded"),
        }
    }

    fn disk(&mut self, report: disk::Report) {
        match report {
            disk::Report::Synced(number) => {
                self.meter.synced();
                self.step(Event::Synced(number));
            }
            disk::Report::CompactionDue => {
                let snapshot = self.control.snapshot();
                self.write(Command::Compact(snapshot));
            }
            disk::Report::Failed(error) => {
                crate::event::Event::DiskFailed.log(&error.to_string());
                self.stopping = true;
            }
        }
    }

    fn operator(&mut self, report: operate::Report) {
        self.last += 1;
        self.operators.insert(self.last, report.answer);
        self.step(Event::Order(self.last, report.order));
    }

    fn step(&mut self, event: Event) {
        let now = self.now();
        let actions = self.control.step(now, event);
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    self.meter.sent();
                    self.mesh.send(to, message);
                }
                Action::Persist(number, record) => self.write(Command::Append(number, record)),
                Action::Replace(records) => self.write(Command::Replace(records)),
                Action::Answer(id, outcome) => self.answer(id, outcome),
                Action::Read => self.read_list(),
                Action::Note(note) => trail::note(&note),
            }
        }
    }

    fn write(&mut self, order: Command) {
        if self.orders.send(order).is_err() {
            tracing::error!(event = 420, "disk failed");
            self.stopping = true;
        }
    }

    fn answer(&mut self, id: u64, outcome: Outcome) {
        let (word, revision) = match &outcome {
            Outcome::State(state) => ("read", state.revision),
            Outcome::Done(_) => ("done", self.revision()),
            Outcome::Unknown => ("unknown", self.revision()),
        };
        self.meter.ordered(word);
        tracing::info!(
            event = 738,
            order = id,
            outcome = word,
            revision,
            "operator answered"
        );
        let answer = self.operators.remove(&id);
        if answer.is_none_or(|answer| answer.send(outcome).is_err()) {
            tracing::debug!(order = id, "the operator left before it was answered");
        }
    }

    fn revision(&self) -> u64 {
        self.control.state().map_or(0, |state| state.revision)
    }

    fn read_list(&mut self) {
        let (address, dialect) = (self.settings.list, self.dialect.clone());
        let lists = self.lists.clone();
        self.meter.listed("started");
        tokio::spawn(async move {
            let fleet = match lister::read(address, dialect).await {
                Ok((fleet, skipped)) => {
                    if skipped > 0 {
                        tracing::warn!(event = 739, skipped, "entries of the list not understood");
                    }
                    Some(fleet)
                }
                Err(error) => {
                    tracing::warn!(event = 735, %error, "list not read");
                    None
                }
            };
            if lists.send(fleet).await.is_err() {
                tracing::debug!("the loop ended before the list was read");
            }
        });
    }
}
