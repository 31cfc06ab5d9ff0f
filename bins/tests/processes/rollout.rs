//! Rollouts in a tier with discovered hosts. The replicas of both versions come from the platform's
//! list.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;
use wagtailbeam_platform::encode;
use wagtailbeam_soak::deployment::Deployment;

use crate::tier;
use crate::tier::Sample;
use crate::tier::Tier;
use crate::versioned;
use crate::versioned::Arrival;
use crate::versioned::Arrivals;
use crate::versioned::Behavior;

const ENTRY_HOSTS: usize = 3;

/// Time after the 50th bad answer from which a bad version may get nothing.
const ROLLBACK: Duration = Duration::from_secs(5);

/// Time within which all entry hosts follow a decision.
const SPREAD: Duration = Duration::from_millis(1_500);

/// Time within which all voters of a started tier answer operators.
const RESTART_MAX: Duration = Duration::from_secs(10);

/// Longest time for which the voters of a tier in contact may leave a request undecided.
const UNDECIDED_MAX: Duration = Duration::from_secs(3);

/// Time between two reads of a rollout's state. Reads at short intervals can keep voters from deciding
/// a step while the machine is loaded (see `contention` in the tests of the decisions).
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Part of the log lines that report a step's proposal.
const STEP_EVENT: &str = "\"event\":745";

/// What differs between the tests.
#[derive(Clone, Copy, Debug)]
struct Settings {
    /// Behavior of the new version.
    behavior: Behavior,
    /// Duration of the rollout.
    duration: Duration,
    /// Requests per second that callers send.
    rate: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            behavior: Behavior::Good,
            duration: Duration::from_secs(12),
            rate: 50,
        }
    }
}

/// A tier with replicas of `v1` and `v2` under the load of callers.
struct Stage {
    settings: Settings,
    tier: Tier,
    arrivals: Arrivals,
    samples: Arc<Mutex<Vec<Sample>>>,
    load: Option<JoinHandle<()>>,
}

impl Stage {
    async fn start(folder: &Path, settings: Settings) -> Stage {
        let deployment = Deployment::new(2, ENTRY_HOSTS);
        let arrivals = Arrivals::default();
        let replicas = versioned::start(&deployment, &arrivals, settings.behavior).await;
        let tier = Tier::start(deployment, folder, replicas, "").await;
        let account = encode::Account {
            name: "acme".into(),
            keys: vec!["key-of-acme".to_owned()],
            ..encode::Account::default()
        };
        tier.configure(1, vec![account]).await;
        tier.wait_serving("acme").await;
        let stage = Stage {
            settings,
            tier,
            arrivals,
            samples: Arc::default(),
            load: None,
        };
        stage.wait_voting().await;
        stage
    }

    /// Begins a rollout to `v2` at a voter, and then the load.
    async fn begin(&mut self, voter: usize) {
        assert_eq!(self.request(voter, "v2").await, 200);
        let deployment = self.tier.deployment.clone();
        let load = send_load(deployment, self.settings.rate, self.samples.clone());
        self.load = Some(tokio::spawn(load));
    }

    /// Waits until each voter knows that the service had no rollout. Until a voter has its seat, it
    /// answers 503.
    async fn wait_voting(&self) {
        let path = format!("{}/once", encode::ROLLOUTS_PATH);
        let started = Instant::now();
        for voter in 0..self.tier.voters.len() {
            let status = || async {
                let answer = self.tier.operate(voter, "GET", &path, "").await;
                answer.map_or(0, |answer| answer.status)
            };
            while status().await != 404 {
                assert!(started.elapsed() < RESTART_MAX, "voter-{voter} is silent");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Requests a rollout at a voter and returns the status of the answer. While the voters don't
    /// decide in time, as when a busy disk delays their writes, it is requested again.
    async fn request(&self, voter: usize, target: &str) -> u16 {
        let body = json!({
            "Service": "once",
            "TargetVersion": target,
            "DurationS": self.settings.duration.as_secs_f64(),
        });
        let body = body.to_string();
        let path = encode::ROLLOUTS_PATH;
        let started = Instant::now();
        loop {
            let answer = self.tier.operate(voter, "POST", path, &body).await;
            let status = answer.map_or(0, |answer| answer.status);
            if status != 503 || started.elapsed() > UNDECIDED_MAX {
                return status;
            }
        }
    }

    /// State of the rollout at a voter; null if it doesn't tell it.
    async fn state(&self, voter: usize) -> Value {
        let path = format!("{}/once", encode::ROLLOUTS_PATH);
        let answer = self.tier.operate(voter, "GET", &path, "").await;
        let answer = answer.filter(|answer| answer.status == 200);
        answer.map_or(Value::Null, |answer| answer.json())
    }

    /// Waits until a voter tells this state, for `longest` at most. Returns whether it does.
    async fn wait_state(&self, voter: usize, state: &str, longest: Duration) -> bool {
        let expected = json!({"State": state, "TargetVersion": "v2"});
        let started = Instant::now();
        while started.elapsed() < longest {
            if self.state(voter).await == expected {
                return true;
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
        false
    }

    /// Arrivals at a version after a time.
    fn after(&self, is_new: bool, at: Instant) -> Vec<Arrival> {
        let arrivals = self.arrivals.of(is_new).into_iter();
        arrivals.filter(|arrival| arrival.at > at).collect()
    }

    /// Voters that proposed steps.
    fn deciding_voters(&self, folder: &Path) -> Vec<usize> {
        let voters = 0..self.tier.voters.len();
        let has_decided = |voter: &usize| {
            let log = std::fs::read_to_string(folder.join(format!("voter-{voter}.log")));
            log.is_ok_and(|log| log.lines().any(|line| line.contains(STEP_EVENT)))
        };
        voters.filter(has_decided).collect()
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        if let Some(load) = &self.load {
            load.abort();
        }
    }
}

/// Sends requests evenly through all entry hosts until it is stopped.
async fn send_load(deployment: Deployment, rate: u32, samples: Arc<Mutex<Vec<Sample>>>) {
    let mut interval = tokio::time::interval(Duration::from_secs(1) / rate);
    for count in 0.. {
        interval.tick().await;
        let (deployment, samples) = (deployment.clone(), samples.clone());
        tokio::spawn(async move {
            let entry = count % ENTRY_HOSTS;
            let sample = tier::send(&deployment, entry, "acme", "/once/x").await;
            samples.lock().unwrap().push(sample);
        });
    }
}

/// Guards against a rollout that isn't completed in time, a repeated request that isn't confirmed
/// with 409, and requests to old replicas, which stop on completion.
#[test]
fn a_good_version_gets_all_requests_in_time() {
    let folder = tier::folder("rollout-good");
    tier::run(async {
        let mut stage = Stage::start(&folder, Settings::default()).await;
        let limit = stage.settings.duration;
        let began = Instant::now();
        stage.begin(0).await;
        assert_eq!(stage.request(1, "v2").await, 409);
        assert_eq!(stage.request(2, "v3").await, 409);
        let in_progress = json!({"State": "in_progress", "TargetVersion": "v2"});
        assert_eq!(stage.state(3).await, in_progress);
        assert!(stage.wait_state(4, "completed", limit).await);
        let completed = Instant::now();
        println!("completed after {:?}", completed - began);
        assert!(completed - began < limit);
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(stage.request(1, "v2").await, 200);
        assert!(stage.wait_state(0, "completed", SPREAD).await);
        assert!(stage.after(false, completed).is_empty());
        assert!(stage.after(true, completed).len() > 50);
        let samples = stage.samples.lock().unwrap();
        let failed = samples.iter().filter(|sample| sample.status != 200).count();
        assert_eq!(failed, 0, "of {} requests", samples.len());
    });
}

/// Guards against a bad version that is completed or goes on getting requests.
async fn check_rolled_back(name: &str, settings: Settings) {
    let folder = tier::folder(name);
    let mut stage = Stage::start(&folder, settings).await;
    stage.begin(0).await;
    let began = Instant::now();
    let limit = settings.duration;
    assert!(stage.wait_state(1, "rolled_back", limit).await);
    let rolled_back = Instant::now();
    tokio::time::sleep(ROLLBACK + Duration::from_millis(500)).await;
    let new = stage.after(true, began);
    let bad = new.iter().filter(|arrival| arrival.is_bad);
    let first = bad.clone().next().map(|arrival| arrival.at - began);
    let fiftieth = bad.clone().nth(49).map(|arrival| arrival.at - began);
    let last = new.last().map(|arrival| arrival.at - began);
    println!(
        "{settings:?}: rolled back after {:?}; {} requests, {} of them bad, the first after \
         {first:?}, the 50th after {fiftieth:?}, the last after {last:?}",
        rolled_back - began,
        new.len(),
        bad.count()
    );
    // Versions are mostly rolled back before the 50th bad answer; the next check covers these.
    if let Some((fiftieth, last)) = fiftieth.zip(last) {
        assert!(last <= fiftieth + ROLLBACK);
    }
    assert!(stage.after(true, rolled_back + SPREAD).is_empty());
    assert!(stage.after(false, rolled_back + SPREAD).len() > 50);
    let requests = f64::from(settings.rate) * limit.as_secs_f64();
    assert!(new.len() as f64 <= 0.1 * requests + 50.0);
    assert_eq!(stage.request(2, "v2").await, 200);
    assert!(stage.wait_state(3, "rolled_back", SPREAD).await);
}

/// Guards against failures that don't end a rollout.
#[test]
fn a_failing_version_is_rolled_back() {
    let settings = Settings {
        behavior: Behavior::Failing,
        ..Settings::default()
    };
    tier::run(check_rolled_back("rollout-failing", settings));
}

/// Guards against higher latencies that don't end a rollout.
#[test]
fn a_slow_version_is_rolled_back() {
    let settings = Settings {
        behavior: Behavior::Slow,
        ..Settings::default()
    };
    tier::run(check_rolled_back("rollout-slow", settings));
}

/// Guards against a version that is good for a small share of the requests and completed for that.
#[test]
fn a_version_that_fails_under_load_is_rolled_back() {
    let settings = Settings {
        behavior: Behavior::Overloaded,
        rate: 150,
        ..Settings::default()
    };
    tier::run(check_rolled_back("rollout-load", settings));
}

/// Guards against a rollout that stands still without the voter that decided its steps.
#[test]
fn a_rollout_is_completed_after_its_deciding_voter_is_killed() {
    let folder = tier::folder("rollout-voter");
    tier::run(async {
        let mut stage = Stage::start(&folder, Settings::default()).await;
        let limit = stage.settings.duration;
        let began = Instant::now();
        stage.begin(2).await;
        while stage.deciding_voters(&folder).is_empty() {
            assert!(began.elapsed() < limit, "no step");
            tokio::time::sleep(READ_INTERVAL).await;
        }
        let first = stage.deciding_voters(&folder);
        let killed = first[0];
        stage.tier.voters[killed].kill().unwrap();
        let other = (killed + 1) % stage.tier.voters.len();
        let left = limit.saturating_sub(began.elapsed());
        assert!(stage.wait_state(other, "completed", left).await);
        println!("completed after {:?}", began.elapsed());
        let deciding = stage.deciding_voters(&folder);
        assert!(deciding.len() > first.len(), "{first:?} {deciding:?}");
    });
}

/// Guards against a rollout that was acknowledged and is lost with a power loss of all hosts.
#[test]
fn a_rollout_survives_a_restart_of_all_processes() {
    let folder = tier::folder("rollout-restart");
    tier::run(async {
        let mut stage = Stage::start(&folder, Settings::default()).await;
        stage.begin(0).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let Tier {
            entries, voters, ..
        } = &mut stage.tier;
        let mut processes = voters.iter_mut().chain(entries).collect::<Vec<_>>();
        for process in &mut processes {
            process.kill().unwrap();
        }
        for process in &mut processes {
            process.start().unwrap();
        }
        let restarted = Instant::now();
        assert!(stage.wait_state(0, "in_progress", RESTART_MAX).await);
        println!("state read {:?} after the restart", restarted.elapsed());
        assert!(stage.wait_state(1, "in_progress", RESTART_MAX).await);
        assert_eq!(stage.request(1, "v2").await, 409);
        let longest = RESTART_MAX + stage.settings.duration;
        assert!(stage.wait_state(2, "completed", longest).await);
        println!("completed {:?} after the restart", restarted.elapsed());
    });
}
