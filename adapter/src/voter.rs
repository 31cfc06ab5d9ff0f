//! The event loop of a voter in a tier with discovered hosts.
//!
//! [`run`] is called by [`crate::cli`]. It passes messages, operators'
//! commands, lists of replicas and completed writes to [`Controller`], and executes the
//! resulting actions.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use snafu::ResultExt;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::command::Outcome;
use wagtailbeam_decision::controller;
use wagtailbeam_decision::controller::Action;
use wagtailbeam_decision::controller::Controller;
use wagtailbeam_decision::controller::Event;
use wagtailbeam_decision::fleet::Fleet;
use wagtailbeam_decision::voter::Record;

use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::discovery;
use crate::disk;
use crate::disk::Command;
use crate::host::Settings;
use crate::listener;
use crate::mesh;
use crate::mesh::Mesh;
use crate::meter;
use crate::node::DiskSnafu;
use crate::node::Result;
use crate::note;
use crate::operator;
use crate::operator::Api;
use crate::signal::Signal;
use crate::store;
use crate::store::Store;

/// Capacity of each channel to the event loop, in events.
const CHANNEL_CAPACITY: usize = 4_096;

/// Interval at which the gauges are updated and the settings file is checked for changes.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// Wait before another attempt to open a store after a disk error.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Receivers of all events that the loop handles.
struct Sources {
    operators: mpsc::Receiver<operator::Submission>,
    mesh: mpsc::Receiver<mesh::Report>,
    disk: mpsc::Receiver<disk::Report>,
    lists: mpsc::Receiver<(Time, Option<Fleet>)>,
    signals: mpsc::Receiver<Signal>,
}

/// The state machine of a voter and the connections and files that it acts on.
struct Driver {
    settings: Settings,
    settings_path: PathBuf,
    dialect: Arc<dyn Dialect>,
    /// Zero point of [`Time`] in this process.
    clock: Clock,
    controller: Controller,
    mesh: Mesh,
    disk_commands: mpsc::UnboundedSender<Command>,
    list_results: mpsc::Sender<(Time, Option<Fleet>)>,
    /// Unanswered operators' commands, by number.
    waiting_operators: HashMap<u64, oneshot::Sender<Outcome>>,
    meter: meter::Voter,
    /// Number of the last operator's command.
    last_id: u64,
    stopping: bool,
}

/// Runs a voter until a stop signal arrives or its disk fails.
///
/// # Errors
///
/// An address can't be bound, metrics can't be set up, or the store can't be opened for
/// a reason other than an I/O error.
pub async fn run(
    settings_path: PathBuf,
    settings: Settings,
    dialect: Arc<dyn Dialect>,
    signals: mpsc::Receiver<Signal>,
) -> Result<()> {
    let operators = listener::bind(settings.operators).await?;
    let peer = listener::bind(settings.peer).await?;
    let exporter = listener::serve_metrics(settings.metrics).await?;
    let (store, records) = open_store(&settings).await?;
    let (disk_reports, disk_events) = mpsc::channel(CHANNEL_CAPACITY);
    let disk_commands = disk::write_in_background(store, disk_reports);
    let (operator_submissions, submissions) = mpsc::channel(CHANNEL_CAPACITY);
    let api = Api {
        submissions: operator_submissions,
        dialect: dialect.clone(),
        domains: settings.domains.clone(),
    };
    tokio::spawn(operator::listen(operators, Arc::new(api)));
    let (mesh, mesh_reports) = Mesh::open(settings.peer, peer);
    let (list_results, list_events) = mpsc::channel(CHANNEL_CAPACITY);
    tracing::info!(event = 100, host = %settings.name, domain = %settings.domain, role = "voter", records = records.len(), "daemon started");
    let (controller, actions) =
        Controller::new(Time::default(), controller_settings(&settings), records);
    let mut driver = Driver {
        controller,
        mesh,
        disk_commands,
        list_results,
        waiting_operators: HashMap::new(),
        meter: meter::Voter::new(&exporter),
        last_id: 0,
        stopping: false,
        clock: Clock::start(),
        settings,
        settings_path,
        dialect,
    };
    driver.execute(actions);
    let sources = Sources {
        operators: submissions,
        mesh: mesh_reports,
        disk: disk_events,
        lists: list_events,
        signals,
    };
    driver.event_loop(sources).await;
    tracing::info!(event = 102, host = %driver.settings.name, "daemon stopped");
    Ok(())
}

fn controller_settings(settings: &Settings) -> controller::Settings {
    controller::Settings {
        address: settings.peer,
        seeds: settings.seed_addresses(),
        bootstrap: settings.bootstrap,
        voters: settings.voter_count(),
        read_every: settings.list_interval,
        nonce: rand::random(),
        rollout: settings.rollout,
    }
}

/// Opens the store and returns its records; retries until the disk stops failing.
async fn open_store(settings: &Settings) -> Result<(Store, Vec<Record>)> {
    let folder = settings.data.clone().unwrap_or_default();
    let mut logged = false;
    loop {
        match Store::open(&folder) {
            Err(error @ store::Error::Io { .. }) => {
                if !logged {
                    crate::event::Event::DiskFailed.log(&error.to_string());
                }
                logged = true;
                tokio::time::sleep(OPEN_RETRY_INTERVAL).await;
            }
            result => return result.context(DiskSnafu),
        }
    }
}

impl Driver {
    fn now(&self) -> Time {
        self.clock.now()
    }

    /// Handles events and ticks until the voter stops.
    async fn event_loop(&mut self, mut sources: Sources) {
        let mut next_tick = Instant::now();
        let mut housekeeping_at = Instant::now();
        while !self.stopping {
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(next_tick.into()) => {
                    self.step_controller(Event::Tick);
                    let next = self.controller.next_timer(self.now());
                    next_tick = self.clock.instant(next);
                }
                Some(report) = sources.disk.recv() => self.handle_disk(report),
                Some(report) = sources.mesh.recv() => {
                    if let mesh::Event::Message(from, message) = self.mesh.handle(report) {
                        self.step_controller(Event::Message(from, message));
                    }
                }
                Some((started, fleet)) = sources.lists.recv() => {
                    self.step_controller(Event::ListRead(started, fleet));
                }
                Some(submission) = sources.operators.recv() => self.handle_operator(submission),
                Some(signal) = sources.signals.recv() => self.handle_signal(signal),
            }
            if housekeeping_at <= Instant::now() {
                self.do_housekeeping();
                housekeeping_at = Instant::now() + HOUSEKEEPING_INTERVAL;
            }
            let next = self.controller.next_timer(self.now());
            let next = self.clock.instant(next);
            next_tick = next_tick.min(next);
        }
    }

    fn handle_signal(&mut self, signal: Signal) {
        match signal {
            Signal::Stop => {
                tracing::info!(event = 101, host = %self.settings.name, "stop requested");
                self.stopping = true;
            }
            Signal::Reload => self.reload(),
        }
    }

    /// Updates the gauges and reloads changed settings.
    fn do_housekeeping(&mut self) {
        let revision = self.controller.state().map_or(0, |state| state.revision);
        let age = self.controller.fleet_age(self.now()).unwrap_or_default();
        let age_s = age.as_us() as f64 / 1e6;
        let quorum = self.controller.has_quorum();
        self.meter
            .set_gauges(revision, quorum, age_s, self.controller.host_count());
        if let Some(age) = self.controller.confirmation_age(self.now()) {
            self.meter.set_confirmation_age(age);
        }
        if let Some(state) = self.controller.state() {
            self.meter.set_rollouts(&state.rollouts);
        }
        self.reload();
    }

    /// Reloads the settings if the file changed. Only the seed voters and the address of
    /// the list take effect without a restart.
    fn reload(&mut self) {
        match Settings::load(&self.settings_path) {
            Ok(settings) if settings != self.settings => {
                self.step_controller(Event::SeedsChanged(settings.seed_addresses()));
                self.settings = settings;
                tracing::info!(event = 720, "settings reloaded");
            }
            Ok(_) => {}
            Err(error) => tracing::error!(event = 721, %error, "settings not reloaded"),
        }
    }

    fn handle_disk(&mut self, report: disk::Report) {
        match report {
            disk::Report::Synced(number) => {
                self.meter.records_synced();
                self.step_controller(Event::Synced(number));
            }
            disk::Report::CompactionDue => {
                let snapshot = self.controller.snapshot();
                self.queue_write(Command::Compact(snapshot));
            }
            disk::Report::Failing | disk::Report::Regained => {}
            disk::Report::Failed(error) => {
                crate::event::Event::DiskFailed.log(&error.to_string());
                self.stopping = true;
            }
        }
    }

    fn handle_operator(&mut self, submission: operator::Submission) {
        self.last_id += 1;
        self.waiting_operators
            .insert(self.last_id, submission.answer);
        self.step_controller(Event::Command(self.last_id, submission.command));
    }

    /// Passes an event to the state machine and executes the resulting actions.
    fn step_controller(&mut self, event: Event) {
        let now = self.now();
        let actions = self.controller.step(now, event);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    self.meter.message_sent();
                    self.mesh.send(to, message);
                }
                Action::Persist(number, record) => {
                    self.queue_write(Command::Append(number, record))
                }
                Action::Replace(records) => self.queue_write(Command::Replace(records)),
                Action::Answer(id, outcome) => self.answer_operator(id, outcome),
                Action::ReadList(started) => self.fetch_list(started),
                Action::Note(note) => note::of_voter(&note),
            }
        }
    }

    fn queue_write(&mut self, command: Command) {
        if self.disk_commands.send(command).is_err() {
            tracing::error!(event = 420, "disk failed");
            self.stopping = true;
        }
    }

    /// Records the outcome of an operator's command and sends it to the waiting connection.
    fn answer_operator(&mut self, id: u64, outcome: Outcome) {
        let (word, revision) = match &outcome {
            Outcome::State(state) => ("read", state.revision),
            Outcome::Done(_) => ("done", self.revision()),
            Outcome::Overtaken => ("overtaken", self.revision()),
            Outcome::Unknown => ("unknown", self.revision()),
        };
        self.meter.operator_answered(word);
        tracing::info!(
            event = 738,
            order = id,
            outcome = word,
            revision,
            "operator answered"
        );
        let answer = self.waiting_operators.remove(&id);
        if answer.is_none_or(|answer| answer.send(outcome).is_err()) {
            tracing::debug!(
                order = id,
                "operator disconnected before the answer was sent"
            );
        }
    }

    fn revision(&self) -> u64 {
        self.controller.state().map_or(0, |state| state.revision)
    }

    /// Reads the list of replicas in the background; `None` is sent if that fails. `started` is
    /// the time of the start.
    fn fetch_list(&mut self, started: Time) {
        let (address, dialect) = (self.settings.list, self.dialect.clone());
        let list_results = self.list_results.clone();
        self.meter.list_read("started");
        tokio::spawn(async move {
            let fleet = match discovery::fetch(address, dialect).await {
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
            if list_results.send((started, fleet)).await.is_err() {
                tracing::debug!("event loop ended before the list was read");
            }
        });
    }
}
