//! One run of the soak: starts the cluster, sends load while faults are injected, waits for
//! recovery and checks the guarantees.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::io::Result;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::account::summary::Summary;
use crate::caller;
use crate::caller::Caller;
use crate::checker::Shared;
use crate::cluster::Backend;
use crate::cluster::Cluster;
use crate::cut::CutSeries;
use crate::deployment::Deployment;
use crate::deployment::ENTRY_HOSTS;
use crate::deployment::VOTERS;
use crate::fault;
use crate::limit;
use crate::moved;
use crate::moved::Herds;
use crate::notice;
use crate::notice::Notice;
use crate::operator::Operator;
use crate::process::Process;

/// Number of callers.
const CALLERS: u64 = 12;

/// Longest time until all processes serve, after the start and after the last fault.
pub(crate) const RECOVERY_MAX: Duration = Duration::from_secs(30);

/// Paths of the requests that end each replica which runs them.
const FATAL_PATHS: [&str; 2] = ["/all/fatal", "/once/fatal"];

/// Number of replicas that must have ended under a request before hosts refuse it.
const FATAL_ENDS: usize = 3;

/// Time after that until all hosts know the request.
const FATAL_CONTACT: Duration = Duration::from_secs(4);

/// Most repeats of a fatal request that may still reach replicas from then on.
const LATE_REPEATS_MAX: usize = 3;

/// Most entry hosts to which repeats are sent from then on.
const LATE_HOSTS_MAX: usize = 12;

/// Time between two of these; replicas that ended are back after a few.
const LATE_PAUSE: Duration = Duration::from_millis(400);

/// Range of the pauses between fatal requests while faults are injected, in milliseconds.
const FATAL_PAUSE_MS: std::ops::Range<u64> = 200..1_500;

/// Time between two checks for expired faults and exited processes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon's executable.
    pub program: PathBuf,
    /// The executable of an older build that runs beside it, if any.
    pub older: Option<PathBuf>,
    /// Number of entry hosts.
    pub entry_hosts: usize,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Whether entry hosts are cut off from all replicas, under a steady load beside the callers.
    pub cuts: bool,
    /// Whether replicas say that they leave or want no requests. Meant for one entry host: with
    /// more it isn't known which one a replica told.
    pub notices: bool,
    /// Whether a share of the replicas' answers is odd.
    pub answers: bool,
    /// Whether voters lose their disks right after the first configuration was acknowledged.
    pub starts: bool,
    /// Whether configurations declare accounts, with keys and quotas that change.
    pub accounts: bool,
    /// Whether configurations move a route between services, while many entry hosts are killed at once.
    pub moves: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            program: PathBuf::from("target/release/wagtailbeamd"),
            older: None,
            entry_hosts: ENTRY_HOSTS,
            duration: Duration::from_secs(20),
            cuts: false,
            notices: false,
            answers: false,
            starts: false,
            accounts: false,
            moves: false,
        }
    }
}

impl Options {
    /// Executable of the voter or entry host with this index.
    pub(crate) fn program_of(&self, index: usize) -> &Path {
        match &self.older {
            Some(older) if !index.is_multiple_of(2) => older,
            _ => &self.program,
        }
    }
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests sent, including the gathers that test whether an entry host serves.
    pub sent: usize,
    /// Number of callers' requests that were answered with success.
    pub served: usize,
    /// Descriptions of the injected faults, in order.
    pub injected: Vec<String>,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
    /// What was observed of the accounts, in runs with accounts.
    pub accounts: Option<Summary>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seed, injected) = (self.seed, self.injected.len());
        let (sent, served, violations) = (self.sent, self.served, self.violations.len());
        write!(
            f,
            "seed {seed}: {injected} faults, {sent} requests sent, {served} served, \
             {violations} violations"
        )?;
        if let Some(accounts) = &self.accounts {
            write!(f, "\n  accounts: {accounts}")?;
        }
        if self.violations.is_empty() {
            return Ok(());
        }
        self.violations
            .iter()
            .try_for_each(|violation| write!(f, "\n  violation: {violation}"))?;
        self.injected
            .iter()
            .try_for_each(|fault| write!(f, "\n  fault: {fault}"))
    }
}

/// Runs one seed. An error means that the run itself failed; violations are in the report.
pub fn run(options: &Options, seed: u64) -> Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run_seed(options, seed))
}

/// Runs one seed from start to report.
async fn run_seed(options: &Options, seed: u64) -> Result<Report> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::start(options, &mut rng).await?;
    cluster.declare_accounts(seed);
    let mut operator = Operator::new(seed, &cluster.deployment, cluster.checker.clone());
    cluster.bootstrap(options, seed, &mut operator).await?;
    let (stop, stopped) = watch::channel(false);
    let callers = (0..CALLERS).map(|number| {
        let caller = Caller::new(number, seed, &cluster.deployment, cluster.checker.clone());
        tokio::spawn(caller.run(stopped.clone()))
    });
    let callers = callers.collect::<Vec<_>>();
    let operator = tokio::spawn(operator.run(stopped.clone()));
    let steady = options.cuts.then(|| {
        let (deployment, checker) = (cluster.deployment.clone(), cluster.checker.clone());
        tokio::spawn(caller::send_steadily(deployment, checker, stopped.clone()))
    });
    let fatal = tokio::spawn(send_fatal_requests(
        cluster.deployment.clone(),
        ChaCha8Rng::seed_from_u64(!seed),
        cluster.checker.clone(),
        stopped.clone(),
    ));
    let limits = tokio::spawn(limit::name_limits(
        cluster.backends.iter().map(Backend::limited).collect(),
        ChaCha8Rng::seed_from_u64(seed.rotate_left(32) ^ !seed),
        cluster.checker.clone(),
        stopped.clone(),
    ));
    let notices = options.notices.then(|| {
        let replicas = cluster.backends.iter().map(Backend::announcing);
        tokio::spawn(notice::announce(
            replicas.collect(),
            ChaCha8Rng::seed_from_u64(seed.rotate_left(16) ^ !seed),
            stopped.clone(),
        ))
    });
    if options.answers {
        cluster.set_notices(Notice::Odd(seed));
    }
    let moved = options.moves.then(|| {
        let (deployment, checker) = (cluster.deployment.clone(), cluster.checker.clone());
        tokio::spawn(moved::send(deployment, checker, stopped.clone()))
    });
    let accounts = cluster.start_account_callers(seed, stopped.clone());
    cluster.inject_faults(&mut rng, options).await?;
    stop.send_replace(true);
    if options.answers {
        cluster.set_notices(Notice::None);
    }
    if let Some(notices) = notices {
        notices.await.map_err(std::io::Error::other)?;
    }
    accounts.await.map_err(std::io::Error::other)?;
    if let Some(moved) = moved {
        moved.await.map_err(std::io::Error::other)?;
    }
    limits.await.map_err(std::io::Error::other)?;
    for caller in callers {
        caller.await.map_err(std::io::Error::other)?;
    }
    fatal.await.map_err(std::io::Error::other)?;
    if let Some(steady) = steady {
        steady.await.map_err(std::io::Error::other)?;
    }
    let mut operator = operator.await.map_err(std::io::Error::other)?;
    cluster.recover(&mut operator).await?;
    match options.older {
        Some(_) => cluster.check_upgrade(options, &mut operator).await?,
        None => cluster.check_fatal_requests().await?,
    }
    cluster.check_accounts().await?;
    Ok(cluster.report(seed))
}

/// Sends fatal requests to random entry hosts until `stopped` becomes true.
async fn send_fatal_requests(
    deployment: Deployment,
    mut rng: ChaCha8Rng,
    checker: Shared,
    stopped: watch::Receiver<bool>,
) {
    let mut count = 0;
    while !*stopped.borrow() {
        let pause = rng.random_range(FATAL_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        count += 1;
        let address = deployment.caller_address(rng.random_range(0..deployment.entry_hosts));
        let path = FATAL_PATHS[rng.random_range(0..FATAL_PATHS.len())];
        caller::send_fatal(address, path, &format!("fatal-{count}"), &checker).await;
    }
}

impl Cluster {
    /// Applies the first configuration, waits until all entry hosts answer gathers, and
    /// rewrites the voters' settings with `found = false` for later restarts.
    async fn bootstrap(
        &mut self,
        options: &Options,
        seed: u64,
        operator: &mut Operator,
    ) -> Result<()> {
        let deadline = Instant::now() + RECOVERY_MAX;
        if options.starts {
            let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(8) ^ !seed);
            self.start_under_losses(&mut rng, operator, deadline)
                .await?;
        }
        while Instant::now() < deadline && !operator.configure(0).await {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        self.wait_for_service("start", deadline).await;
        for index in 0..VOTERS {
            let settings = self
                .deployment
                .voter_settings(index, &self.data_folder(index), false);
            if let Err(error) = self.voters[index].configure(&settings) {
                self.checker
                    .lock()
                    .report_violation(format!("settings of voter-{index}: {error}"));
            }
        }
        Ok(())
    }

    /// Waits until each entry host answers a gather with no missing shards. Reports a violation
    /// if one doesn't by `deadline`.
    pub(crate) async fn wait_for_service(&mut self, when: &str, deadline: Instant) {
        for index in 0..self.deployment.entry_hosts {
            let address = self.deployment.caller_address(index);
            let mut tries = 0;
            loop {
                tries += 1;
                let id = format!("{when}-{index}-{tries}");
                if caller::is_gather_complete(address, &id, &self.checker).await {
                    break;
                }
                if Instant::now() >= deadline {
                    let violation = format!(
                        "entry-{index} answers no gather completely after the {when} of the run"
                    );
                    return self.checker.lock().report_violation(violation);
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Injects random faults, and cuts if the options say so.
    async fn inject_faults(&mut self, rng: &mut ChaCha8Rng, options: &Options) -> Result<()> {
        let end = Instant::now() + options.duration;
        let mut next = Instant::now();
        let mut cuts = CutSeries::new(rng.clone());
        let mut herd_rng = rng.clone();
        let mut herds = Herds::new(&mut herd_rng);
        while Instant::now() < end {
            if options.moves
                && let Some((hosts, down)) = herds.next(&mut herd_rng, self.entry_hosts.len())
            {
                for host in hosts {
                    self.inject(fault::Fault::KillEntry(host), down)?;
                }
            }
            if options.cuts {
                if let Some(entries) = cuts.next(self.entry_hosts.len()) {
                    self.cut_off(entries);
                }
                self.publish_cuts();
            }
            if Instant::now() >= next {
                let fault = fault::random(rng, self.entry_hosts.len(), self.backends.len());
                let duration = fault::random_duration(rng, &fault);
                next = Instant::now() + fault::random_pause(rng);
                self.inject(fault, duration)?;
            }
            self.poll()?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.cut_off(BTreeMap::new());
        Ok(())
    }

    /// Reverts all faults, then waits until all processes run, a new configuration is accepted,
    /// every voter can be read and every entry host serves.
    async fn recover(&mut self, operator: &mut Operator) -> Result<()> {
        for (_, fault) in std::mem::take(&mut self.active_faults) {
            self.revert(fault)?;
        }
        let deadline = Instant::now() + RECOVERY_MAX;
        while Instant::now() < deadline {
            self.poll()?;
            let all = self.voters.iter_mut().chain(&mut self.entry_hosts);
            for process in all {
                process.start()?;
            }
            let all_running = self
                .voters
                .iter()
                .chain(&self.entry_hosts)
                .all(Process::is_active);
            if all_running && operator.configure(1).await {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for voter in 0..VOTERS {
            self.wait_for_read(operator, voter, deadline).await;
        }
        self.wait_for_service("end", deadline).await;
        self.poll()
    }

    /// Checks that all processes serve and no version is lost once all run the newer build on the data
    /// that the older one wrote.
    async fn check_upgrade(&mut self, options: &Options, operator: &mut Operator) -> Result<()> {
        self.upgrade(&options.program).await?;
        let deadline = Instant::now() + RECOVERY_MAX;
        for voter in 0..VOTERS {
            self.wait_for_read(operator, voter, deadline).await;
        }
        while !operator.configure(2).await && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        self.wait_for_service("upgrade", deadline).await;
        for voter in 0..VOTERS {
            self.wait_for_read(operator, voter, deadline).await;
        }
        self.poll()
    }

    /// Checks, with no faults in effect, that requests which ended three replicas hardly reach
    /// further ones, before and after a restart of all processes in series, and that requests
    /// which only ran on those replicas are served.
    async fn check_fatal_requests(&mut self) -> Result<()> {
        for path in FATAL_PATHS {
            self.end_replicas(path).await;
        }
        tokio::time::sleep(FATAL_CONTACT).await;
        let before = FATAL_PATHS.map(|path| self.checker.lock().ended_under(path).len());
        self.repeat_fatal_requests("late").await;
        self.restart_all().await?;
        let deadline = Instant::now() + RECOVERY_MAX;
        self.wait_for_service("restart", deadline).await;
        self.repeat_fatal_requests("restarted").await;
        for (path, before) in FATAL_PATHS.into_iter().zip(before) {
            self.check_late_repeats(path, before);
        }
        self.wait_for_service("fatal requests", Instant::now() + RECOVERY_MAX)
            .await;
        self.poll()
    }

    /// Sends a fatal request until it has ended [`FATAL_ENDS`] replicas.
    async fn end_replicas(&self, path: &str) {
        for turn in 0..20 * FATAL_ENDS {
            if self.checker.lock().ended_under(path).len() >= FATAL_ENDS {
                return;
            }
            let id = format!("first{path}-{turn}");
            self.send_fatal(path, &id, turn).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Sends each fatal request to each entry host, or to [`LATE_HOSTS_MAX`] of them.
    async fn repeat_fatal_requests(&self, when: &str) {
        for host in 0..self.deployment.entry_hosts.min(LATE_HOSTS_MAX) {
            for path in FATAL_PATHS {
                self.send_fatal(path, &format!("{when}{path}-{host}"), host)
                    .await;
            }
            tokio::time::sleep(LATE_PAUSE).await;
        }
    }

    /// Checks how many repeats of a fatal request ended replicas after the first `before`.
    fn check_late_repeats(&self, path: &str, before: usize) {
        let mut checker = self.checker.lock();
        let late = checker.ended_under(path)[before..].iter();
        let late = late.cloned().collect::<BTreeSet<_>>().len();
        if late > LATE_REPEATS_MAX {
            checker.report_violation(format!(
                "{path}: {late} repeats reached replicas after it had ended {before}, \
                 at most {LATE_REPEATS_MAX} are allowed"
            ));
        }
    }

    /// Sends a fatal request to one of the entry hosts in turn.
    async fn send_fatal(&self, path: &str, id: &str, turn: usize) {
        let host = turn % self.deployment.entry_hosts;
        let address = self.deployment.caller_address(host);
        caller::send_fatal(address, path, id, &self.checker).await;
    }

    /// Waits until a voter returns its configuration. Reports a violation if it doesn't by
    /// `deadline`.
    async fn wait_for_read(&self, operator: &mut Operator, voter: usize, deadline: Instant) {
        while operator.read(voter).await.is_none() {
            if Instant::now() >= deadline {
                let violation =
                    format!("voter-{voter} returns no configuration after the end of the run");
                return self.checker.lock().report_violation(violation);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Checks the whole run and builds its report; keeps the logs if there are violations.
    fn report(self, seed: u64) -> Report {
        let mut checker = self.checker.lock();
        let (sent, served) = checker.counts();
        let violations = checker.finish(
            &self.deployment.at_most_once,
            &self.faulty_replicas,
            &self.delay_windows,
        );
        if !violations.is_empty() {
            self.copy_logs(seed);
        }
        Report {
            seed,
            sent,
            served,
            injected: self.injected.clone(),
            violations,
            accounts: checker.accounts.summary(),
        }
    }

    /// Copies the logs of all processes to a folder outside the run's own one and prints
    /// its path.
    fn copy_logs(&self, seed: u64) {
        let target = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        let copied = std::fs::create_dir_all(&target).and_then(|()| {
            let all = self.voters.iter().chain(&self.entry_hosts);
            all.map(|process| process.name.clone() + ".log")
                .try_for_each(|name| {
                    std::fs::copy(self.folder.path().join(&name), target.join(&name)).map(drop)
                })
        });
        match copied {
            Ok(()) => eprintln!("seed {seed}: logs copied to {}", target.display()),
            Err(error) => eprintln!("seed {seed}: cannot copy the logs: {error}"),
        }
    }
}
