//! The processes and stand-ins of a run, and how faults befall them.

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
use wagtailbeam_platform::stand;

use crate::deployment;
use crate::deployment::Deployment;
use crate::deployment::ENTRY_HOSTS;
use crate::deployment::REPLICAS_PER_SERVICE;
use crate::deployment::VOTERS;
use crate::fault::Fault;
use crate::ledger::Shared;
use crate::list;
use crate::process;
use crate::process::Process;
use crate::process::Signal;
use crate::proxy;
use crate::replica;

/// Time after a fault of a voter, a host or the list for which news may still be
/// late.
const NEWS_AFTER: Duration = Duration::from_secs(2);

/// Voters that may be missing while the others decide.
const LOSSES: usize = VOTERS / 2;

/// Time between the losses of two disks.
const WIPE_EVERY: Duration = Duration::from_secs(8);

/// A replica's stand-in, and what sets its and its proxy's modes.
pub(crate) struct Backend {
    listed: stand::Replica,
    mode: watch::Sender<replica::Mode>,
    link: watch::Sender<proxy::Mode>,
}

/// The processes and stand-ins of a run, and the faults that last.
pub(crate) struct World {
    pub(crate) folder: TempDir,
    pub(crate) deployment: Deployment,
    pub(crate) voters: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) backends: Vec<Backend>,
    pub(crate) list: watch::Sender<list::View>,
    pub(crate) ledger: Shared,
    pub(crate) started: Instant,
    pub(crate) due: Vec<(Instant, Fault)>,
    pub(crate) injected: Vec<String>,
    pub(crate) lost: BTreeSet<String>,
    pub(crate) disturbed: Vec<(Instant, Instant)>,
    pub(crate) wiped: Option<Instant>,
}

impl World {
    /// Starts the stand-ins and all processes.
    pub(crate) async fn start(program: &Path, rng: &mut ChaCha8Rng) -> Result<World> {
        let folder = tempfile::tempdir()?;
        let deployment = Deployment::random(rng);
        let ledger = Shared::default();
        let mut backends = Vec::new();
        for service in deployment.services() {
            for index in 0..REPLICAS_PER_SERVICE {
                backends.push(Backend::start(&deployment, service, index, &ledger).await?);
            }
        }
        let (list, view) = watch::channel(list::View::default());
        list::start(deployment.list_address, view).await?;
        let mut world = World {
            voters: Vec::new(),
            entries: Vec::new(),
            backends,
            list,
            ledger,
            started: Instant::now(),
            due: Vec::new(),
            injected: Vec::new(),
            lost: BTreeSet::new(),
            disturbed: Vec::new(),
            wiped: None,
            folder,
            deployment,
        };
        world.show(list::Mode::Healthy);
        for at in 0..VOTERS {
            let settings = world.deployment.voter_settings(at, &world.data(at), true);
            let name = format!("voter-{at}");
            let voter = Process::new(program, world.folder.path(), &name, &settings)?;
            world.voters.push(voter);
        }
        for at in 0..ENTRY_HOSTS {
            let settings = world.deployment.entry_settings(at);
            let name = format!("entry-{at}");
            let entry = Process::new(program, world.folder.path(), &name, &settings)?;
            world.entries.push(entry);
        }
        let all = world.voters.iter_mut().chain(&mut world.entries);
        for process in all {
            process.start()?;
        }
        Ok(world)
    }

    /// The folder of a voter's disk.
    pub(crate) fn data(&self, voter: usize) -> PathBuf {
        self.folder.path().join(format!("data-{voter}"))
    }

    /// Ends faults whose time is over, and looks for processes that ended.
    pub(crate) fn look(&mut self) -> Result<()> {
        let now = Instant::now();
        let (over, due) = self.due.iter().partition(|(at, _)| *at <= now);
        self.due = due;
        let over: Vec<(Instant, Fault)> = over;
        for (_, fault) in over {
            self.end(fault)?;
        }
        for process in self.voters.iter_mut().chain(&mut self.entries) {
            let Some(ended) = process.reap()? else {
                continue;
            };
            self.ledger.lock().fault(ended);
        }
        Ok(())
    }

    /// Brings a fault, if the tier promises to bear it beside those that last.
    pub(crate) fn begin(&mut self, fault: Fault, length: Duration) -> Result<()> {
        if !self.is_borne(&fault) {
            return Ok(());
        }
        let now = Instant::now();
        let at = now.duration_since(self.started).as_millis();
        let lasts = length.as_millis();
        self.injected
            .push(format!("{at} ms, for {lasts} ms: {fault}"));
        let missing = self.due.iter().filter(|(_, fault)| fault.disables_voter());
        let few = fault.disables_voter() && missing.count() >= LOSSES;
        if fault.delays_updates() || few {
            self.disturbed.push((now, now + length + NEWS_AFTER));
        }
        self.due.push((now + length, fault));
        match fault {
            Fault::KillVoter(at) => self.voters[at].kill(),
            Fault::TearVoterLog(at) => {
                self.voters[at].kill()?;
                process::append_torn_record(&self.data(at))
            }
            Fault::WipeVoterDisk(at) => {
                self.wiped = Some(now);
                self.voters[at].kill()?;
                std::fs::remove_dir_all(self.data(at))
            }
            Fault::KillAllVoters => self.voters.iter_mut().try_for_each(Process::kill),
            Fault::PauseVoter(at) => self.voters[at].signal(Signal::Stop),
            Fault::KillEntry(at) => self.entries[at].kill(),
            Fault::PauseEntry(at) => self.entries[at].signal(Signal::Stop),
            Fault::StopEntry(at) => self.entries[at].signal(Signal::Term),
            Fault::ReloadEntry(at) => self.entries[at].signal(Signal::Hup),
            Fault::Replica(at, mode) => {
                self.backends[at].mode.send_replace(mode);
                self.lose(at);
                Ok(())
            }
            Fault::Link(at, mode) => {
                self.backends[at].link.send_replace(mode);
                self.lose(at);
                Ok(())
            }
            Fault::DrainReplica(at) => {
                let id = self.backends[at].listed.id.clone();
                self.backends[at].listed.draining = true;
                self.ledger.lock().listed(&id, false);
                let mode = self.list.borrow().mode;
                self.show(mode);
                Ok(())
            }
            Fault::List(mode) => {
                self.show(mode);
                Ok(())
            }
        }
    }

    /// Ends a fault.
    pub(crate) fn end(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::KillVoter(at) | Fault::TearVoterLog(at) | Fault::WipeVoterDisk(at) => {
                self.voters[at].start()
            }
            Fault::KillAllVoters => self.voters.iter_mut().try_for_each(Process::start),
            Fault::PauseVoter(at) => self.voters[at].signal(Signal::Cont),
            Fault::KillEntry(at) | Fault::StopEntry(at) => self.entries[at].start(),
            Fault::PauseEntry(at) => self.entries[at].signal(Signal::Cont),
            Fault::ReloadEntry(_) => Ok(()),
            Fault::Replica(at, _) => {
                self.backends[at].mode.send_replace(replica::Mode::Healthy);
                Ok(())
            }
            Fault::Link(at, _) => {
                self.backends[at].link.send_replace(proxy::Mode::Forward);
                Ok(())
            }
            Fault::DrainReplica(at) => {
                let id = self.backends[at].listed.id.clone();
                self.backends[at].listed.draining = false;
                self.ledger.lock().listed(&id, true);
                let mode = self.list.borrow().mode;
                self.show(mode);
                Ok(())
            }
            Fault::List(_) => {
                self.show(list::Mode::Healthy);
                Ok(())
            }
        }
    }

    /// Whether the tier promises to bear a fault beside those that last.
    fn is_borne(&self, fault: &Fault) -> bool {
        let whole = self.voters.iter().all(Process::is_running);
        let busy = |mine: &Fault| match (mine, fault) {
            (Fault::KillAllVoters, Fault::WipeVoterDisk(_)) => true,
            (a, b) => a.target() == b.target(),
        };
        let lasting = self.due.iter().any(|(_, fault)| busy(fault));
        let wiped = self.wiped.is_some_and(|at| at.elapsed() < WIPE_EVERY);
        let disk = matches!(fault, Fault::WipeVoterDisk(_));
        !lasting && !(disk && (wiped || !whole))
    }

    /// Notes a replica whose runs may be lost.
    fn lose(&mut self, replica: usize) {
        let id = self.backends[replica].listed.id.to_string();
        self.lost.insert(id);
    }

    /// Serves the list as it is now.
    pub(crate) fn show(&self, mode: list::Mode) {
        let replicas = self.backends.iter().map(|backend| backend.listed.clone());
        let replicas = replicas.collect();
        self.list.send_replace(list::View { replicas, mode });
    }
}

impl Backend {
    async fn start(
        deployment: &Deployment,
        service: &Name,
        index: usize,
        ledger: &Shared,
    ) -> Result<Backend> {
        let id = Name::from(format!("{service}-{index}"));
        let at = deployment.backend_address();
        let (target, mode) =
            replica::start(id.clone(), service.clone(), at, ledger.clone()).await?;
        let (address, link) = proxy::start(at, target).await?;
        Ok(Backend {
            listed: stand::Replica {
                id,
                service: service.clone(),
                address,
                domain: deployment::domain(index),
                draining: false,
            },
            mode,
            link,
        })
    }
}
