//! Real daemon processes for tests, and callers that follow their readiness.

use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use wagtailbeam_fakes::caller;
use wagtailbeam_fakes::caller::Answer;
use wagtailbeam_fakes::caller::Request;
use wagtailbeam_fakes::fleet;
use wagtailbeam_fakes::fleet::Host;
use wagtailbeam_fakes::process::Processes;

/// Longest wait for a state that must come.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Time between two looks of the balancer.
const BALANCER_EVERY: Duration = Duration::from_millis(250);

/// What a program printed and its exit code.
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// Daemon processes, the programs under test.
pub struct Fleet {
    processes: Processes,
}

impl std::ops::Deref for Fleet {
    type Target = Processes;

    fn deref(&self) -> &Processes {
        &self.processes
    }
}

impl std::ops::DerefMut for Fleet {
    fn deref_mut(&mut self) -> &mut Processes {
        &mut self.processes
    }
}

impl Fleet {
    pub fn start(count: usize, voters: usize) -> Fleet {
        let program = env!("CARGO_BIN_EXE_wagtailbeamd").into();
        Fleet {
            processes: Processes::start(program, count, voters, "").unwrap(),
        }
    }

    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs the operators' client against a daemon.
    pub fn client(&self, at: usize, args: &[&str]) -> Run {
        let key = self.folder.path().join("operator.key");
        let started = Instant::now();
        loop {
            let output = Command::new(env!("CARGO_BIN_EXE_wagtailbeam"))
                .args(["--daemon", &self.hosts[at].admin.to_string()])
                .arg("--key-file")
                .arg(&key)
                .args(args)
                .output()
                .unwrap();
            let code = output.status.code().unwrap_or(-1);
            let again = matches!(code, 1 | 4 | 5) && started.elapsed() < WAIT_MAX;
            if again {
                std::thread::sleep(Duration::from_millis(100));
                continue;
            }
            let text = |bytes| String::from_utf8(bytes).unwrap();
            return Run {
                code,
                out: text(output.stdout),
                err: text(output.stderr),
            };
        }
    }

    /// Sends one request to a daemon.
    pub fn ask(&self, at: usize, ask: &Request) -> Answer {
        let answer = self.try_ask(at, ask);
        answer.unwrap_or_else(|error| panic!("{at}: {error}: {}", self.logs()))
    }

    /// Sends one request to a daemon that may not be there.
    pub fn try_ask(&self, at: usize, ask: &Request) -> Result<Answer, caller::Error> {
        runtime().block_on(caller::send(self.hosts[at].callers, ask))
    }

    /// Waits until every daemon is ready and answers a query with full coverage.
    pub fn wait_ready(&self, caller: &str, path: &str, shards: u64) {
        let all = (0..self.hosts.len()).collect::<Vec<_>>();
        self.wait_ready_at(&all, caller, path, shards);
    }

    /// Waits until the given daemons are ready and answer with full coverage.
    pub fn wait_ready_at(&self, which: &[usize], caller: &str, path: &str, shards: u64) {
        let started = Instant::now();
        let query = caller::get(&fleet::caller_key(caller), path);
        let whole = |host: &Host| {
            let ask = |ask: &Request| runtime().block_on(caller::send(host.callers, ask));
            let ready = ask(&caller::get("", "/ready")).is_ok_and(|answer| answer.status == 200);
            ready && ask(&query).is_ok_and(|answer| answer.coverage() == (shards, shards))
        };
        while !which.iter().all(|at| whole(&self.hosts[*at])) {
            assert!(started.elapsed() < WAIT_MAX, "not ready: {}", self.logs());
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// The last lines of all logs.
    pub fn logs(&self) -> String {
        let log = |host: &Host| {
            let path = self.folder.path().join(format!("{}.log", host.name));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let lines = text.lines().rev().take(8).collect::<Vec<_>>();
            format!("\n{}:\n{}", host.name, lines.join("\n"))
        };
        self.hosts.iter().map(log).collect()
    }

    /// Sends a request again and again to daemons that a balancer holds for ready.
    pub fn traffic(&self, ask: &Request) -> Traffic {
        let end = Arc::new(AtomicBool::new(false));
        let ready = Arc::new(Mutex::new(self.hosts.clone()));
        let balancer = spawn_balancer(self.hosts.clone(), ready.clone(), end.clone());
        let callers = (0..4).map(|at| spawn_caller(at, ask.clone(), ready.clone(), end.clone()));
        let callers = callers.collect();
        Traffic {
            end,
            balancer,
            callers,
        }
    }
}

/// What callers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub answered: u64,
    pub partial: u64,
    pub refused: u64,
    pub cut_off: u64,
}

/// Callers and a balancer on threads of their own.
pub struct Traffic {
    end: Arc<AtomicBool>,
    balancer: JoinHandle<()>,
    callers: Vec<JoinHandle<Counts>>,
}

impl Traffic {
    pub fn end(self) -> Counts {
        self.end.store(true, Ordering::Relaxed);
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

fn spawn_balancer(
    hosts: Vec<Host>,
    ready: Arc<Mutex<Vec<Host>>>,
    end: Arc<AtomicBool>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let runtime = runtime();
        while !end.load(Ordering::Relaxed) {
            let check = caller::get("", "/ready");
            let is_ready = |host: &&Host| {
                let answer = runtime.block_on(caller::send(host.callers, &check));
                answer.is_ok_and(|answer| answer.status == 200)
            };
            let now = hosts.iter().filter(is_ready).cloned().collect();
            *ready.lock().unwrap() = now;
            std::thread::sleep(BALANCER_EVERY);
        }
    })
}

fn spawn_caller(
    seed: usize,
    ask: Request,
    ready: Arc<Mutex<Vec<Host>>>,
    end: Arc<AtomicBool>,
) -> JoinHandle<Counts> {
    std::thread::spawn(move || {
        let runtime = runtime();
        let mut counts = Counts::default();
        let mut turn = seed;
        while !end.load(Ordering::Relaxed) {
            turn += 1;
            let hosts = ready.lock().unwrap().clone();
            let Some(host) = hosts.get(turn % hosts.len().max(1)) else {
                continue;
            };
            match runtime.block_on(caller::send(host.callers, &ask)) {
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
