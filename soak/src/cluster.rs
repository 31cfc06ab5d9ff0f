//! The daemon processes and fakes of a run. Starts them, and injects and reverts faults when
//! [`crate::run`] asks for it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Result;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;
use tokio::sync::watch;
use wagtailbeam_decision::name::Name;
use wagtailbeam_fakes::locator::Locator;
use wagtailbeam_platform::encode;

use crate::checker::Shared;
use crate::deployment;
use crate::deployment::Deployment;
use crate::deployment::REPLICAS_PER_SERVICE;
use crate::deployment::VOTERS;
use crate::fault::Fault;
use crate::fault::Target;
use crate::limit;
use crate::list;
use crate::notice;
use crate::notice::Notice;
use crate::process;
use crate::process::Process;
use crate::process::Signal;
use crate::proxy;
use crate::replica;
use crate::run::Options;

/// Longest time for which updates of the list may still be late after the end of a fault
/// that delays them, alone or together with other faults of voters.
pub(crate) const UPDATE_LAG_MAX: Duration = Duration::from_secs(2);

/// Longest time after a fault of an entry host until it serves callers as before.
const ENTRY_RECOVERY_MAX: Duration = Duration::from_millis(1_500);

/// Maximum number of unavailable voters with which the others still form a majority.
const VOTER_LOSSES_MAX: usize = VOTERS / 2;

/// Time between the restarts of two entry hosts.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// Shortest time between the deletions of two voters' data folders.
const WIPE_INTERVAL_MIN: Duration = Duration::from_secs(8);

/// A fake replica: its entry in the list, and the senders that set its mode and the mode
/// of the proxy in front of it.
pub(crate) struct Backend {
    list_entry: encode::Replica,
    replica_mode: watch::Sender<replica::Mode>,
    link_mode: watch::Sender<proxy::Mode>,
    limit: watch::Sender<Option<f64>>,
    notice: watch::Sender<Notice>,
}

/// The daemon processes and fakes of a run, the faults in effect, and the record of faults
/// that the checks need.
pub(crate) struct Cluster {
    /// Holds settings, logs and the voters' data folders.
    pub(crate) folder: TempDir,
    pub(crate) deployment: Deployment,
    pub(crate) voters: Vec<Process>,
    pub(crate) entry_hosts: Vec<Process>,
    pub(crate) backends: Vec<Backend>,
    /// Tells all proxies which processes are cut off.
    cuts: watch::Sender<proxy::Cuts>,
    /// Entry hosts that are cut off from all replicas, by index.
    cut_entries: BTreeMap<usize, proxy::Cut>,
    /// Sets what the list endpoint serves.
    pub(crate) list_view: watch::Sender<list::View>,
    pub(crate) checker: Shared,
    pub(crate) started: Instant,
    /// Faults in effect, with the time at which each ends.
    pub(crate) active_faults: Vec<(Instant, Fault)>,
    /// Descriptions of all injected faults, for the report.
    pub(crate) injected: Vec<String>,
    /// Ids of the replicas that failed, or whose link failed, at any time.
    pub(crate) faulty_replicas: BTreeSet<String>,
    /// Start and end of the times in which updates of the list may be late.
    pub(crate) delay_windows: Vec<(Instant, Instant)>,
    /// Time at which a voter's data folder was last deleted.
    pub(crate) last_wipe: Option<Instant>,
}

impl Cluster {
    /// Starts the fakes, then all daemon processes, but for the voters if their first start is part of the
    /// run. The voters form a new group.
    /// If the options name an older program, every second process runs it.
    pub(crate) async fn start(options: &Options, rng: &mut ChaCha8Rng) -> Result<Cluster> {
        let folder = tempfile::tempdir()?;
        let mut deployment = Deployment::random(rng, options.entry_hosts);
        deployment.accounts = options.accounts;
        deployment.moves = options.moves;
        let checker = Shared::default();
        let mut backends = Vec::new();
        let (cuts, receiver) = watch::channel(proxy::Cuts::default());
        let links = proxy::Links {
            cuts: receiver,
            locator: Locator::start(),
        };
        for service in deployment.services() {
            for index in 0..REPLICAS_PER_SERVICE {
                let links = links.clone();
                let backend = Backend::start(&deployment, service, index, &checker, links);
                backends.push(backend.await?);
            }
        }
        for service in deployment.moved_services() {
            let links = links.clone();
            let backend = Backend::start(&deployment, &service, 0, &checker, links);
            backends.push(backend.await?);
        }
        let (list_view, receiver) = watch::channel(list::View::default());
        list::start(deployment.list_address, receiver).await?;
        let mut cluster = Cluster {
            voters: Vec::new(),
            entry_hosts: Vec::new(),
            cuts,
            cut_entries: BTreeMap::new(),
            backends,
            list_view,
            checker,
            started: Instant::now(),
            active_faults: Vec::new(),
            injected: Vec::new(),
            faulty_replicas: BTreeSet::new(),
            delay_windows: Vec::new(),
            last_wipe: None,
            folder,
            deployment,
        };
        cluster.publish_list(list::Mode::Healthy);
        for index in 0..VOTERS {
            let settings =
                cluster
                    .deployment
                    .voter_settings(index, &cluster.data_folder(index), true);
            let name = format!("voter-{index}");
            let program = options.program_of(index);
            let voter = Process::new(program, cluster.folder.path(), &name, &settings)?;
            cluster.voters.push(voter);
        }
        for index in 0..cluster.deployment.entry_hosts {
            let settings = cluster.deployment.entry_settings(index);
            let name = format!("entry-{index}");
            let program = options.program_of(index);
            let entry = Process::new(program, cluster.folder.path(), &name, &settings)?;
            cluster.entry_hosts.push(entry);
        }
        let voters = cluster.voters.iter_mut().filter(|_| !options.starts);
        for process in voters.chain(&mut cluster.entry_hosts) {
            process.start()?;
        }
        Ok(cluster)
    }

    /// Cuts these entry hosts off from all replicas, and no others.
    pub(crate) fn cut_off(&mut self, entries: BTreeMap<usize, proxy::Cut>) {
        if entries.is_empty() {
            self.checker.lock().record_links_back();
        } else {
            let indices = entries.keys().copied().collect();
            let text = entries
                .iter()
                .map(|(entry, cut)| format!("entry-{entry} {cut:?}"));
            let text = text.collect::<Vec<_>>().join(", ");
            let start_ms = self.started.elapsed().as_millis();
            self.injected
                .push(format!("{start_ms} ms: cut off: {text}"));
            self.checker.lock().record_links_cut(indices);
        }
        self.cut_entries = entries;
        self.publish_cuts();
    }

    /// Tells the proxies the processes of the entry hosts that are cut off, if they changed.
    pub(crate) fn publish_cuts(&self) {
        let cuts = self.cut_entries.iter().filter_map(|(entry, cut)| {
            let pid = self.entry_hosts[*entry].pid()?;
            Some((pid, *cut))
        });
        let cuts = cuts.collect::<Vec<_>>();
        self.cuts.send_if_modified(|published| {
            let changed = **published != cuts;
            *published = cuts.into();
            changed
        });
    }

    /// Makes all replicas say this of themselves.
    pub(crate) fn set_notices(&self, notice: Notice) {
        for backend in &self.backends {
            backend.notice.send_replace(notice);
        }
    }

    /// Kills and restarts all entry hosts, one after the other, then all voters at once.
    pub(crate) async fn restart_all(&mut self) -> Result<()> {
        for entry in &mut self.entry_hosts {
            self.checker.lock().record_interrupted();
            entry.kill()?;
            entry.start()?;
            tokio::time::sleep(RESTART_PAUSE).await;
        }
        self.voters.iter_mut().try_for_each(Process::kill)?;
        self.voters.iter_mut().try_for_each(Process::start)
    }

    /// Kills all processes, voters first, and starts each with this program on the data that it has,
    /// one after the other.
    pub(crate) async fn upgrade(&mut self, program: &Path) -> Result<()> {
        for process in self.voters.iter_mut().chain(&mut self.entry_hosts) {
            process.kill()?;
            process.set_program(program);
            process.start()?;
            tokio::time::sleep(RESTART_PAUSE).await;
        }
        Ok(())
    }

    /// The data folder of a voter.
    pub(crate) fn data_folder(&self, voter: usize) -> PathBuf {
        self.folder.path().join(format!("data-{voter}"))
    }

    /// Reverts the faults that have expired and reports processes that exited unexpectedly.
    pub(crate) fn poll(&mut self) -> Result<()> {
        let now = Instant::now();
        let (expired, remaining) = self.active_faults.iter().partition(|(end, _)| *end <= now);
        self.active_faults = remaining;
        let expired: Vec<(Instant, Fault)> = expired;
        for (_, fault) in expired {
            self.revert(fault)?;
        }
        for process in self.voters.iter_mut().chain(&mut self.entry_hosts) {
            let Some(exit) = process.reap()? else {
                continue;
            };
            self.checker.lock().report_violation(exit);
        }
        Ok(())
    }

    /// Injects a fault for `duration`. Skips it if the daemons don't guarantee to tolerate it
    /// together with the faults in effect.
    pub(crate) fn inject(&mut self, fault: Fault, duration: Duration) -> Result<()> {
        if !self.is_tolerated(&fault) {
            return Ok(());
        }
        let now = Instant::now();
        let start_ms = now.duration_since(self.started).as_millis();
        let duration_ms = duration.as_millis();
        self.injected
            .push(format!("{start_ms} ms, for {duration_ms} ms: {fault}"));
        let disabled_voters = self
            .active_faults
            .iter()
            .filter(|(_, fault)| fault.disables_voter());
        let no_majority = fault.disables_voter() && disabled_voters.count() >= VOTER_LOSSES_MAX;
        if fault.delays_updates() || no_majority {
            self.delay_windows
                .push((now, now + duration + UPDATE_LAG_MAX));
        }
        if no_majority || matches!(fault, Fault::KillAllVoters) {
            self.checker
                .lock()
                .record_majority_lost(now, now + duration);
        }
        if let Fault::KillEntry(_) | Fault::PauseEntry(_) = fault {
            self.checker.lock().record_interrupted();
        }
        if let Target::Entry(index) = fault.target() {
            let until = now + duration + ENTRY_RECOVERY_MAX;
            self.checker.lock().record_disturbed(index, until);
        }
        self.record_account_fault(&fault, no_majority, now + duration);
        self.active_faults.push((now + duration, fault));
        match fault {
            Fault::KillVoter(index) => self.voters[index].kill(),
            Fault::TearVoterLog(index) => {
                self.voters[index].kill()?;
                process::append_torn_record(&self.data_folder(index))
            }
            Fault::WipeVoterDisk(index) => {
                self.last_wipe = Some(now);
                self.voters[index].kill()?;
                std::fs::remove_dir_all(self.data_folder(index))
            }
            Fault::KillAllVoters => self.voters.iter_mut().try_for_each(Process::kill),
            Fault::PauseVoter(index) => self.voters[index].signal(Signal::Stop),
            Fault::KillEntry(index) => self.entry_hosts[index].kill(),
            Fault::PauseEntry(index) => self.entry_hosts[index].signal(Signal::Stop),
            Fault::StopEntry(index) => self.entry_hosts[index].signal(Signal::Term),
            Fault::ReloadEntry(index) => self.entry_hosts[index].signal(Signal::Hup),
            Fault::Replica(index, mode) => {
                self.backends[index].replica_mode.send_replace(mode);
                self.mark_faulty(index);
                Ok(())
            }
            Fault::Link(index, mode) => {
                self.backends[index].link_mode.send_replace(mode);
                self.mark_faulty(index);
                Ok(())
            }
            Fault::DrainReplica(index) => {
                let id = self.backends[index].list_entry.id.clone();
                self.backends[index].list_entry.draining = true;
                self.checker.lock().record_draining(&id, true);
                let mode = self.list_view.borrow().mode;
                self.publish_list(mode);
                Ok(())
            }
            Fault::List(mode) => {
                self.publish_list(mode);
                Ok(())
            }
        }
    }

    /// Reverts a fault.
    pub(crate) fn revert(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::KillVoter(index) | Fault::TearVoterLog(index) | Fault::WipeVoterDisk(index) => {
                self.voters[index].start()
            }
            Fault::KillAllVoters => self.voters.iter_mut().try_for_each(Process::start),
            Fault::PauseVoter(index) => self.voters[index].signal(Signal::Cont),
            Fault::KillEntry(index) | Fault::StopEntry(index) => {
                self.checker.lock().record_interrupted();
                self.entry_hosts[index].start()
            }
            Fault::PauseEntry(index) => self.entry_hosts[index].signal(Signal::Cont),
            Fault::ReloadEntry(_) => Ok(()),
            Fault::Replica(index, _) => {
                self.backends[index]
                    .replica_mode
                    .send_replace(replica::Mode::Healthy);
                Ok(())
            }
            Fault::Link(index, _) => {
                self.backends[index]
                    .link_mode
                    .send_replace(proxy::Mode::Forward);
                Ok(())
            }
            Fault::DrainReplica(index) => {
                let id = self.backends[index].list_entry.id.clone();
                self.backends[index].list_entry.draining = false;
                self.checker.lock().record_draining(&id, false);
                let mode = self.list_view.borrow().mode;
                self.publish_list(mode);
                Ok(())
            }
            Fault::List(_) => {
                self.publish_list(list::Mode::Healthy);
                Ok(())
            }
        }
    }

    /// Whether the daemons guarantee to tolerate a fault together with the faults in effect:
    /// each target has at most one fault, and a data folder is deleted only while no voter
    /// is down (paused ones don't count as down) and [`WIPE_INTERVAL_MIN`] after the last
    /// deletion.
    fn is_tolerated(&self, fault: &Fault) -> bool {
        let all_running = self.voters.iter().all(Process::is_running);
        let conflicts = |active: &Fault| match (active, fault) {
            (Fault::KillAllVoters, Fault::WipeVoterDisk(_)) => true,
            (a, b) => a.target() == b.target(),
        };
        let conflicting = self
            .active_faults
            .iter()
            .any(|(_, active)| conflicts(active));
        let recently_wiped = self
            .last_wipe
            .is_some_and(|at| at.elapsed() < WIPE_INTERVAL_MIN);
        let wipes = matches!(fault, Fault::WipeVoterDisk(_));
        !conflicting && !(wipes && (recently_wiped || !all_running))
    }

    /// Marks a replica as faulty: answers to requests that it ran may be lost.
    fn mark_faulty(&mut self, replica: usize) {
        let id = self.backends[replica].list_entry.id.to_string();
        self.faulty_replicas.insert(id);
    }

    /// Publishes the current entries of all replicas, served in this mode.
    pub(crate) fn publish_list(&self, mode: list::Mode) {
        let replicas = self
            .backends
            .iter()
            .map(|backend| backend.list_entry.clone());
        let replicas = replicas.collect();
        self.list_view.send_replace(list::View { replicas, mode });
    }
}

impl Backend {
    /// The replica as the task sees it that makes replicas name limits.
    pub(crate) fn limited(&self) -> limit::Replica {
        limit::Replica {
            id: self.list_entry.id.clone(),
            service: self.list_entry.service.clone(),
            limit: self.limit.clone(),
        }
    }

    /// The replica as the task sees it that makes replicas give notices.
    pub(crate) fn announcing(&self) -> notice::Replica {
        notice::Replica {
            id: self.list_entry.id.clone(),
            notice: self.notice.clone(),
        }
    }

    /// Starts a replica and the proxy in front of it; the list names the proxy's address.
    async fn start(
        deployment: &Deployment,
        service: &Name,
        index: usize,
        checker: &Shared,
        links: proxy::Links,
    ) -> Result<Backend> {
        let id = Name::from(format!("{service}-{index}"));
        let bind_address = deployment.backend_address();
        let (down, down_updates) = watch::channel(false);
        let (service_name, checker) = (service.clone(), checker.clone());
        let (limit, limits) = watch::channel(None);
        let (notice, notices) = watch::channel(Notice::None);
        let (target, replica_mode) = replica::start(
            id.clone(),
            service_name,
            bind_address,
            checker,
            down,
            limits,
            notices,
        )
        .await?;
        let (address, link_mode) = proxy::start(bind_address, target, down_updates, links).await?;
        Ok(Backend {
            list_entry: encode::Replica {
                id,
                service: service.clone(),
                address,
                domain: deployment::domain(index),
                draining: false,
                version: None,
            },
            replica_mode,
            link_mode,
            limit,
            notice,
        })
    }
}
