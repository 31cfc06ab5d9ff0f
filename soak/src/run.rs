//! One run: processes and stand-ins start, faults come and go, all heals, and the
//! promises are checked.

use std::fmt;
use std::io::Result;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::caller;
use crate::caller::Caller;
use crate::deployment::ENTRY_HOSTS;
use crate::deployment::VOTERS;
use crate::fault;
use crate::operator::Operator;
use crate::process::Process;
use crate::world::World;

/// Callers.
const CALLERS: u64 = 12;

/// Longest time until all is well after the start and after the last fault.
const HEAL_MAX: Duration = Duration::from_secs(30);

/// Time between two looks at what is due.
const LOOK_EVERY: Duration = Duration::from_millis(20);

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

/// Runs a seed with the daemon `program`, with faults for `span`.
pub fn run(program: &Path, seed: u64, span: Duration) -> Result<Report> {
    let program = std::fs::canonicalize(program)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(play(program, seed, span))
}

async fn play(program: PathBuf, seed: u64, span: Duration) -> Result<Report> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::start(&program, &mut rng).await?;
    let mut operator = Operator::new(seed, &world.deployment, world.ledger.clone());
    world.found(&mut operator).await;
    let (stop, stopped) = watch::channel(false);
    let callers = (0..CALLERS).map(|number| {
        let caller = Caller::new(number, seed, &world.deployment, world.ledger.clone());
        tokio::spawn(caller.run(stopped.clone()))
    });
    let callers = callers.collect::<Vec<_>>();
    let operator = tokio::spawn(operator.run(stopped.clone()));
    world.disturb(&mut rng, span).await?;
    stop.send_replace(true);
    for caller in callers {
        caller.await.map_err(std::io::Error::other)?;
    }
    let mut operator = operator.await.map_err(std::io::Error::other)?;
    world.heal(&mut operator).await?;
    Ok(world.report(seed))
}

impl World {
    /// Puts the first configuration in force and waits until all hosts serve it.
    async fn found(&mut self, operator: &mut Operator) {
        let until = Instant::now() + HEAL_MAX;
        while Instant::now() < until && !operator.configure(0).await {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        self.await_service("start", until).await;
        for at in 0..VOTERS {
            let settings = self.deployment.voter_settings(at, &self.data(at), false);
            if let Err(error) = self.voters[at].configure(&settings) {
                self.ledger
                    .lock()
                    .fault(format!("settings of voter-{at}: {error}"));
            }
        }
    }

    /// Waits until each entry host answers a gather whole.
    async fn await_service(&mut self, when: &str, until: Instant) {
        for at in 0..ENTRY_HOSTS {
            let address = self.deployment.caller_address(at);
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
    async fn disturb(&mut self, rng: &mut ChaCha8Rng, span: Duration) -> Result<()> {
        let end = Instant::now() + span;
        let mut next = Instant::now();
        while Instant::now() < end {
            if Instant::now() >= next {
                let fault = fault::random(rng, self.backends.len());
                let length = fault::random_duration(rng, &fault);
                next = Instant::now() + fault::random_pause(rng);
                self.begin(fault, length)?;
            }
            self.look()?;
            tokio::time::sleep(LOOK_EVERY).await;
        }
        Ok(())
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
                .all(Process::is_active);
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
        let faults = ledger.settle(&self.deployment.at_most_once, &self.lost, &self.disturbed);
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
