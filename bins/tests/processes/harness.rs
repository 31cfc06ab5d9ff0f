//! Starts daemon processes for a test, runs the operators' client against them, and sends
//! traffic from callers behind a fake load balancer.

use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use wagtailbeam_fakes::backend::Cluster;
use wagtailbeam_fakes::caller;
use wagtailbeam_fakes::caller::Answer;
use wagtailbeam_fakes::caller::Request;
use wagtailbeam_fakes::fleet;
use wagtailbeam_fakes::fleet::Host;
use wagtailbeam_fakes::process::Processes;

/// Longest wait for an expected state before the test fails.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Time between two readiness checks of the load balancer.
const BALANCER_INTERVAL: Duration = Duration::from_millis(250);

/// Section of the settings files that makes daemons log the ends of calls whose connections broke.
const LOG_SECTION: &str = "\n[log]\nfilter = info,wagtailbeam_adapter=debug\n";

/// Exit code and output of the operators' client. The code is -1 if a signal ended it.
pub struct Output {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// The daemon processes under test, with their settings, keys and logs in a temporary
/// folder.
pub struct Harness {
    processes: Processes,
}

impl std::ops::Deref for Harness {
    type Target = Processes;

    fn deref(&self) -> &Processes {
        &self.processes
    }
}

impl std::ops::DerefMut for Harness {
    fn deref_mut(&mut self) -> &mut Processes {
        &mut self.processes
    }
}

/// Keeps the folder of a failed test with the daemons' logs, and prints its path.
impl Drop for Harness {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.processes.folder.disable_cleanup(true);
            eprintln!("logs: {}", self.processes.folder.path().display());
        }
    }
}

impl Harness {
    /// Starts `count` daemons, the first `voters` of them as voters.
    pub fn start(count: usize, voters: usize) -> Harness {
        let program = env!("CARGO_BIN_EXE_wagtailbeamd").into();
        Harness {
            processes: Processes::start(program, count, voters, LOG_SECTION).unwrap(),
        }
    }

    /// Starts five daemons, three of them voters, that serve the servers of `cluster` as shards of the
    /// service `desk-gate` with this many replicas each, and waits until they do.
    pub fn start_serving(cluster: &Cluster, replicas: usize, caller: &str) -> Harness {
        let service = fleet::Service::of(
            "desk-gate",
            "slots = 2\nconnections = 25\nwarmup = 0s\ndeadline = 2s\n",
            cluster,
            replicas,
        );
        let file = fleet::manifest(1, &[service], &[caller], &[]);
        let harness = Harness::start(5, 3);
        let path = harness.write_file("first.ini", &file);
        assert_eq!(harness.run_client(0, &["apply", &path]).code, 0);
        let shards = cluster.servers.len() / replicas;
        harness.wait_ready(caller, "/desk-gate/x", shards as u64);
        harness
    }

    /// Writes a file to the temporary folder and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs the operators' client against a daemon. It is run again, until `WAIT_MAX` is
    /// over, after a failure (exit code 1), an unknown outcome (4) and for a file that isn't
    /// yet in force on all daemons (5).
    pub fn run_client(&self, daemon: usize, args: &[&str]) -> Output {
        let key = self.folder.path().join("operator.key");
        let started = Instant::now();
        loop {
            let output = Command::new(env!("CARGO_BIN_EXE_wagtailbeam"))
                .args(["--daemon", &self.hosts[daemon].admin.to_string()])
                .arg("--key-file")
                .arg(&key)
                .args(args)
                .output()
                .unwrap();
            let code = output.status.code().unwrap_or(-1);
            let retry = matches!(code, 1 | 4 | 5) && started.elapsed() < WAIT_MAX;
            if retry {
                std::thread::sleep(Duration::from_millis(100));
                continue;
            }
            let utf8 = |bytes| String::from_utf8(bytes).unwrap();
            return Output {
                code,
                stdout: utf8(output.stdout),
                stderr: utf8(output.stderr),
            };
        }
    }

    /// Sends one request to a daemon; panics with the logs if there is no answer.
    pub fn send(&self, daemon: usize, request: &Request) -> Answer {
        let answer = self.try_send(daemon, request);
        answer.unwrap_or_else(|error| panic!("{daemon}: {error}: {}", self.logs()))
    }

    /// Sends one request to a daemon that may be down.
    pub fn try_send(&self, daemon: usize, request: &Request) -> Result<Answer, caller::Error> {
        runtime().block_on(caller::send(self.hosts[daemon].callers, request))
    }

    /// Waits until every daemon is ready and answers a query completely, from `shards` shards.
    pub fn wait_ready(&self, caller: &str, path: &str, shards: u64) {
        let all = (0..self.hosts.len()).collect::<Vec<_>>();
        self.wait_ready_at(&all, caller, path, shards);
    }

    /// Waits until the given daemons are ready and answer a query completely, from `shards`
    /// shards.
    pub fn wait_ready_at(&self, daemons: &[usize], caller: &str, path: &str, shards: u64) {
        let started = Instant::now();
        let query = caller::get(&fleet::caller_key(caller), path);
        let is_serving = |host: &Host| {
            let send = |request: &Request| runtime().block_on(caller::send(host.callers, request));
            let ready = send(&caller::get("", "/ready")).is_ok_and(|answer| answer.status == 200);
            ready && send(&query).is_ok_and(|answer| answer.coverage() == (shards, shards))
        };
        while !daemons
            .iter()
            .all(|daemon| is_serving(&self.hosts[*daemon]))
        {
            assert!(started.elapsed() < WAIT_MAX, "not ready: {}", self.logs());
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// The last eight lines of each daemon's log, the newest first.
    pub fn logs(&self) -> String {
        let log = |host: &Host| {
            let path = self.folder.path().join(format!("{}.log", host.name));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let lines = text.lines().rev().take(8).collect::<Vec<_>>();
            format!("\n{}:\n{}", host.name, lines.join("\n"))
        };
        self.hosts.iter().map(log).collect()
    }

    /// Starts four callers that repeat a request, in turn at each daemon that the load
    /// balancer last found ready.
    pub fn start_traffic(&self, request: &Request) -> Traffic {
        let stopped = Arc::new(AtomicBool::new(false));
        let ready = Arc::new(Mutex::new(self.hosts.clone()));
        let balancer = spawn_balancer(self.hosts.clone(), ready.clone(), stopped.clone());
        let callers = (0..4)
            .map(|offset| spawn_caller(offset, request.clone(), ready.clone(), stopped.clone()));
        let callers = callers.collect();
        Traffic {
            stopped,
            balancer,
            callers,
        }
    }
}

/// Number of requests by their outcome at the callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Answers with status 200, complete or partial.
    pub answered: u64,
    /// Answers with status 200 that lack shards.
    pub partial: u64,
    /// Answers with another status.
    pub refused: u64,
    /// Requests without an answer, since the connection failed or broke.
    pub cut_off: u64,
}

/// Running callers and their load balancer, each on its own thread.
pub struct Traffic {
    stopped: Arc<AtomicBool>,
    balancer: JoinHandle<()>,
    callers: Vec<JoinHandle<Counts>>,
}

impl Traffic {
    /// Stops the threads and returns the sum of the callers' counts.
    pub fn stop(self) -> Counts {
        self.stopped.store(true, Ordering::Relaxed);
        self.balancer.join().unwrap();
        let mut sum = Counts::default();
        for caller in self.callers {
            let counts = caller.join().unwrap();
            sum.answered += counts.answered;
            sum.partial += counts.partial;
            sum.refused += counts.refused;
            sum.cut_off += counts.cut_off;
        }
        sum
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

/// Checks the readiness of all hosts again and again and keeps the ready ones in `ready`.
fn spawn_balancer(
    hosts: Vec<Host>,
    ready: Arc<Mutex<Vec<Host>>>,
    stopped: Arc<AtomicBool>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let runtime = runtime();
        while !stopped.load(Ordering::Relaxed) {
            let check = caller::get("", "/ready");
            let is_ready = |host: &&Host| {
                let answer = runtime.block_on(caller::send(host.callers, &check));
                answer.is_ok_and(|answer| answer.status == 200)
            };
            let now = hosts.iter().filter(is_ready).cloned().collect();
            *ready.lock().unwrap() = now;
            std::thread::sleep(BALANCER_INTERVAL);
        }
    })
}

/// Repeats a request in turn at the hosts in `ready`, beginning at position `offset` + 1.
fn spawn_caller(
    offset: usize,
    request: Request,
    ready: Arc<Mutex<Vec<Host>>>,
    stopped: Arc<AtomicBool>,
) -> JoinHandle<Counts> {
    std::thread::spawn(move || {
        let runtime = runtime();
        let mut counts = Counts::default();
        let mut turn = offset;
        while !stopped.load(Ordering::Relaxed) {
            turn += 1;
            let hosts = ready.lock().unwrap().clone();
            let Some(host) = hosts.get(turn % hosts.len().max(1)) else {
                continue;
            };
            match runtime.block_on(caller::send(host.callers, &request)) {
                Ok(answer) if answer.status != 200 => counts.refused += 1,
                Ok(answer) => {
                    let (answered, asked) = answer.coverage();
                    counts.answered += 1;
                    counts.partial += u64::from(answered < asked);
                }
                Err(_) => counts.cut_off += 1,
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        counts
    })
}
