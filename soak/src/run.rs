//! One run: processes and stand-ins start, faults come and go, all heals, and the
//! promises are checked.

use std::collections::BTreeSet;
use std::fmt;
use std::io::Result;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;
use tokio::sync::watch;
use wagtailbeam_decision::name::Name;
use wagtailbeam_platform::stand;

use crate::caller;
use crate::caller::Caller;
use crate::deployment;
use crate::deployment::Deployment;
use crate::deployment::ENTRIES;
use crate::deployment::REPLICAS;
use crate::deployment::VOTERS;
use crate::fault;
use crate::fault::Fault;
use crate::ledger::Shared;
use crate::list;
use crate::operator::Operator;
use crate::process;
use crate::process::Process;
use crate::process::Signal;
use crate::proxy;
use crate::replica;

/// Callers.
const CALLERS: u64 = 12;

/// Longest time until all is well after the start and after the last fault.
const HEAL_MAX: Duration = Duration::from_secs(30);

/// Time between two looks at what is due.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Time after a fault of a voter, a host or the list for which news may still be
/// late.
const NEWS_AFTER: Duration = Duration::from_secs(2);

/// Voters that may be missing while the others decide.
const LOSSES: usize = VOTERS / 2;

/// Time between the losses of two disks.
const WIPE_EVERY: Duration = Duration::from_secs(8);

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Requests asked.
    pub asked: usize,
    /// Requests served.
    pub served: usize,
    /// What went wrong on purpose.
    pub injected: Vec<String>,
    /// Broken promises.
    pub faults: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seed, injected) = (self.seed, self.injected.len());
        let (asked, served, broken) = (self.asked, self.served, self.faults.len());
        write!(
            f,
            "seed {seed}: {injected} faults, {asked} asked, {served} served, {broken} broken"
        )?;
        if self.faults.is_empty() {
            return Ok(());
        }
        self.faults
            .iter()
            .try_for_each(|what| write!(f, "\n  broken: {what}"))?;
        self.injected
            .iter()
            .try_for_each(|what| write!(f, "\n  fault: {what}"))
    }
}

struct Backend {
    listed: stand::Replica,
    mode: watch::Sender<replica::Mode>,
    link: watch::Sender<proxy::Mode>,
}

struct World {
    folder: TempDir,
    deployment: Deployment,
    voters: Vec<Process>,
    entries: Vec<Process>,
    backends: Vec<Backend>,
    list: watch::Sender<list::View>,
    ledger: Shared,
    started: Instant,
    due: Vec<(Instant, Fault)>,
    injected: Vec<String>,
    lost: BTreeSet<String>,
    disturbed: Vec<(Instant, Instant)>,
    wiped: Option<Instant>,
}

/// Runs a seed with the daemon `program`, with faults for `span`.
pub fn run(program: &Path, seed: u64, span: Duration) -> Result<Report> {
    let program = std::fs::canonicalize(program)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(play(program, seed, span))
}

async fn play(program: PathBuf, seed: u64, span: Duration) -> Result<Report> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::start(&program, &mut random).await?;
    let mut operator = Operator::new(seed, &world.deployment, world.ledger.clone());
    world.found(&mut operator).await;
    let (stop, stopped) = watch::channel(false);
    let callers = (0..CALLERS).map(|number| {
        let caller = Caller::new(number, seed, &world.deployment, world.ledger.clone());
        tokio::spawn(caller.run(stopped.clone()))
    });
    let callers = callers.collect::<Vec<_>>();
    let operator = tokio::spawn(operator.run(stopped.clone()));
    world.disturb(&mut random, span).await?;
    stop.send_replace(true);
    for caller in callers {
        caller.await.map_err(std::io::Error::other)?;
    }
    let mut operator = operator.await.map_err(std::io::Error::other)?;
    world.heal(&mut operator).await?;
    Ok(world.report(seed))
}

impl World {
    async fn start(program: &Path, random: &mut ChaCha8Rng) -> Result<World> {
        let folder = tempfile::tempdir()?;
        let deployment = Deployment::draw(random);
        let ledger = Shared::default();
        let mut backends = Vec::new();
        for service in deployment.services() {
            for index in 0..REPLICAS {
                backends.push(Backend::start(&deployment, service, index, &ledger).await?);
            }
        }
        let (list, view) = watch::channel(list::View::default());
        list::start(deployment.list, view).await?;
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
        world.show(list::Mode::Sound);
        for at in 0..VOTERS {
            let settings = world.deployment.voter(at, &world.data(at), true);
            let name = format!("voter-{at}");
            let voter = Process::new(program, world.folder.path(), &name, &settings)?;
            world.voters.push(voter);
        }
        for at in 0..ENTRIES {
            let settings = world.deployment.entry(at);
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

    fn data(&self, voter: usize) -> PathBuf {
        self.folder.path().join(format!("data-{voter}"))
    }

    /// Puts the first configuration in force and waits until all hosts serve it.
    async fn found(&mut self, operator: &mut Operator) {
        let until = Instant::now() + HEAL_MAX;
        while Instant::now() < until && !operator.configure(0).await {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        self.await_service("start", until).await;
        for at in 0..VOTERS {
            let settings = self.deployment.voter(at, &self.data(at), false);
            if let Err(error) = self.voters[at].configure(&settings) {
                self.ledger
                    .lock()
                    .fault(format!("settings of voter-{at}: {error}"));
            }
        }
    }

    /// Waits until each entry host answers a gather whole.
    async fn await_service(&mut self, when: &str, until: Instant) {
        for at in 0..ENTRIES {
            let address = self.deployment.callers(at);
            let mut tries = 0;
            loop {
                tries += 1;
                let id = format!("{when}-{at}-{tries}");
                if caller::is_served_whole(address, &id, &self.ledger).await {
                    break;
                }
                if Instant::now() >= until {
                    let what = format!("entry-{at} serves nothing whole after the {when}");
                    return self.ledger.lock().fault(what);
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Brings faults for `span`.
    async fn disturb(&mut self, random: &mut ChaCha8Rng, span: Duration) -> Result<()> {
        let end = Instant::now() + span;
        let mut next = Instant::now();
        while Instant::now() < end {
            if Instant::now() >= next {
                let fault = fault::draw(random, self.backends.len());
                let length = fault::draw_length(random, &fault);
                next = Instant::now() + fault::draw_pause(random);
                self.begin(fault, length)?;
            }
            self.look()?;
            tokio::time::sleep(LOOK_EVERY).await;
        }
        Ok(())
    }

    /// Ends faults whose time is over, and looks for processes that ended.
    fn look(&mut self) -> Result<()> {
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

    fn begin(&mut self, fault: Fault, length: Duration) -> Result<()> {
        if !self.is_borne(&fault) {
            return Ok(());
        }
        let now = Instant::now();
        let at = now.duration_since(self.started).as_millis();
        let lasts = length.as_millis();
        self.injected
            .push(format!("{at} ms, for {lasts} ms: {fault}"));
        let missing = self.due.iter().filter(|(_, fault)| fault.takes_voter());
        let few = fault.takes_voter() && missing.count() >= LOSSES;
        if fault.delays_news() || few {
            self.disturbed.push((now, now + length + NEWS_AFTER));
        }
        self.due.push((now + length, fault));
        match fault {
            Fault::KillVoter(at) => self.voters[at].kill(),
            Fault::TearVoter(at) => {
                self.voters[at].kill()?;
                process::tear(&self.data(at))
            }
            Fault::WipeVoter(at) => {
                self.wiped = Some(now);
                self.voters[at].kill()?;
                std::fs::remove_dir_all(self.data(at))
            }
            Fault::KillVoters => self.voters.iter_mut().try_for_each(Process::kill),
            Fault::FreezeVoter(at) => self.voters[at].signal(Signal::Freeze),
            Fault::KillEntry(at) => self.entries[at].kill(),
            Fault::FreezeEntry(at) => self.entries[at].signal(Signal::Freeze),
            Fault::StopEntry(at) => self.entries[at].signal(Signal::Term),
            Fault::ReloadEntry(at) => self.entries[at].signal(Signal::Reload),
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
            Fault::Drain(at) => {
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

    fn end(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::KillVoter(at) | Fault::TearVoter(at) | Fault::WipeVoter(at) => {
                self.voters[at].start()
            }
            Fault::KillVoters => self.voters.iter_mut().try_for_each(Process::start),
            Fault::FreezeVoter(at) => self.voters[at].signal(Signal::Thaw),
            Fault::KillEntry(at) | Fault::StopEntry(at) => self.entries[at].start(),
            Fault::FreezeEntry(at) => self.entries[at].signal(Signal::Thaw),
            Fault::ReloadEntry(_) => Ok(()),
            Fault::Replica(at, _) => {
                self.backends[at].mode.send_replace(replica::Mode::Sound);
                Ok(())
            }
            Fault::Link(at, _) => {
                self.backends[at].link.send_replace(proxy::Mode::Open);
                Ok(())
            }
            Fault::Drain(at) => {
                let id = self.backends[at].listed.id.clone();
                self.backends[at].listed.draining = false;
                self.ledger.lock().listed(&id, true);
                let mode = self.list.borrow().mode;
                self.show(mode);
                Ok(())
            }
            Fault::List(_) => {
                self.show(list::Mode::Sound);
                Ok(())
            }
        }
    }

    /// Whether the tier promises to bear a fault beside those that last.
    fn is_borne(&self, fault: &Fault) -> bool {
        let whole = self.voters.iter().all(Process::is_running);
        let busy = |mine: &Fault| match (mine, fault) {
            (Fault::KillVoters, Fault::WipeVoter(_)) => true,
            (a, b) => a.target() == b.target(),
        };
        let lasting = self.due.iter().any(|(_, fault)| busy(fault));
        let wiped = self.wiped.is_some_and(|at| at.elapsed() < WIPE_EVERY);
        let disk = matches!(fault, Fault::WipeVoter(_));
        !lasting && !(disk && (wiped || !whole))
    }

    fn lose(&mut self, replica: usize) {
        let id = self.backends[replica].listed.id.to_string();
        self.lost.insert(id);
    }

    /// Serves the list as it is now.
    fn show(&self, mode: list::Mode) {
        let replicas = self.backends.iter().map(|backend| backend.listed.clone());
        let replicas = replicas.collect();
        self.list.send_replace(list::View { replicas, mode });
    }

    /// Ends all faults and waits until all is well.
    async fn heal(&mut self, operator: &mut Operator) -> Result<()> {
        for (_, fault) in std::mem::take(&mut self.due) {
            self.end(fault)?;
        }
        let until = Instant::now() + HEAL_MAX;
        while Instant::now() < until {
            self.look()?;
            let all = self.voters.iter_mut().chain(&mut self.entries);
            for process in all {
                process.start()?;
            }
            let whole = self
                .voters
                .iter()
                .chain(&self.entries)
                .all(Process::is_staying);
            if whole && operator.configure(1).await {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for voter in 0..VOTERS {
            self.await_read(operator, voter, until).await;
        }
        self.await_service("end", until).await;
        self.look()
    }

    async fn await_read(&self, operator: &mut Operator, voter: usize, until: Instant) {
        while operator.read(voter).await.is_none() {
            if Instant::now() >= until {
                let what = format!("voter-{voter} reads nothing after the end");
                return self.ledger.lock().fault(what);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    fn report(self, seed: u64) -> Report {
        let mut ledger = self.ledger.lock();
        let (asked, served) = ledger.counts();
        let faults = ledger.settle(&self.deployment.once, &self.lost, &self.disturbed);
        if !faults.is_empty() {
            self.keep_logs(seed);
        }
        Report {
            seed,
            asked,
            served,
            injected: self.injected.clone(),
            faults,
        }
    }

    /// Keeps the logs of a run with broken promises in a folder that is named.
    fn keep_logs(&self, seed: u64) {
        let kept = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        let copied = std::fs::create_dir_all(&kept).and_then(|()| {
            let all = self.voters.iter().chain(&self.entries);
            all.map(|process| process.name.clone() + ".log")
                .try_for_each(|name| {
                    std::fs::copy(self.folder.path().join(&name), kept.join(&name)).map(drop)
                })
        });
        match copied {
            Ok(()) => eprintln!("seed {seed}: logs are kept in {}", kept.display()),
            Err(error) => eprintln!("seed {seed}: logs are not kept: {error}"),
        }
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
        let at = deployment.stand();
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
