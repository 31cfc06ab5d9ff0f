//! Quotas of accounts in a tier with discovered hosts.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;
use wagtailbeam_adapter::dialect::Dialect as _;
use wagtailbeam_fakes::caller;
use wagtailbeam_platform::Dialect;
use wagtailbeam_platform::encode;
use wagtailbeam_soak::checker;
use wagtailbeam_soak::deployment;
use wagtailbeam_soak::deployment::Deployment;
use wagtailbeam_soak::deployment::VOTERS;
use wagtailbeam_soak::list;
use wagtailbeam_soak::notice::Notice;
use wagtailbeam_soak::process::Process;
use wagtailbeam_soak::process::Signal;
use wagtailbeam_soak::replica;

const ENTRY_HOSTS: usize = 6;
const SHARDS: usize = 2;
const REPLICAS: usize = 2;

/// Value of the `Host` header that the fake caller sends.
const HOSTNAME: &str = "wagtailbeam";

/// Requests per second and burst of the limited account.
const RATE: f64 = 20.0;
const BURST: f64 = 10.0;

/// The quota that replaces it.
const LOWERED: f64 = 4.0;

/// Requests per second that the limited account sends.
const SENT_PER_S: u32 = 60;

/// Tolerance of the entry hosts.
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Length of the windows in which served requests are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Time within which a configuration reaches all hosts.
const SPREAD: Duration = Duration::from_secs(4);

/// Longest wait for all entry hosts to serve.
const START_MAX: Duration = Duration::from_secs(60);

/// An answer: when its request was sent, its status and its `Retry-After`.
#[derive(Clone, Debug)]
struct Sample {
    sent: Instant,
    status: u16,
    retry_after: Option<f64>,
}

type Samples = Arc<Mutex<Vec<Sample>>>;

/// The processes of a tier and the senders that keep its fakes running.
struct Tier {
    deployment: Deployment,
    entries: Vec<Process>,
    _voters: Vec<Process>,
    _list: watch::Sender<list::View>,
    _replicas: Vec<Fake>,
}

struct Fake {
    entry: encode::Replica,
    _mode: watch::Sender<replica::Mode>,
    _limit: watch::Sender<Option<f64>>,
    _notice: watch::Sender<Notice>,
}

impl Tier {
    async fn start(folder: &Path) -> Tier {
        let deployment = Deployment::new(SHARDS, ENTRY_HOSTS);
        let mut replicas = Vec::new();
        for index in 0..REPLICAS {
            replicas.push(start_replica(&deployment, index).await);
        }
        let listed = replicas.iter().map(|replica| replica.entry.clone());
        let view = list::View {
            replicas: listed.collect(),
            ..list::View::default()
        };
        let (list, receiver) = watch::channel(view);
        list::start(deployment.list_address, receiver)
            .await
            .unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_wagtailbeamd"));
        let start = |name: String, settings: String| {
            let mut process = Process::new(program, folder, &name, &settings).unwrap();
            process.start().unwrap();
            process
        };
        let voters = (0..VOTERS).map(|index| {
            let data = folder.join(format!("data-{index}"));
            start(
                format!("voter-{index}"),
                deployment.voter_settings(index, &data, true),
            )
        });
        let voters = voters.collect();
        let entries = (0..ENTRY_HOSTS).map(|index| {
            let settings = deployment.entry_settings(index);
            let quota = format!("[quota]\noverage = {OVERAGE}\nslack = {SLACK}\nwindow = 5s\n");
            start(format!("entry-{index}"), settings + &quota)
        });
        let entries = entries.collect();
        Tier {
            entries,
            _voters: voters,
            _list: list,
            _replicas: replicas,
            deployment,
        }
    }

    /// Puts the configuration with this rate of the limited account into force.
    async fn configure(&self, version: u64, rate: f64) {
        let account = |name: &str, rate| encode::Account {
            name: name.into(),
            keys: vec![format!("key-of-{name}")],
            priority: None,
            rate,
            burst: if rate > 0.0 { BURST } else { 0.0 },
        };
        let configuration = encode::Configuration {
            hostname: HOSTNAME.to_owned(),
            accounts: Some(vec![account("limited", rate), account("free", 0.0)]),
            ..self.deployment.configuration(version)
        };
        let request = caller::Request {
            method: "PUT".to_owned(),
            path: encode::CONFIGURATION_PATH.to_owned(),
            body: encode::configuration(&configuration).into(),
            ..caller::Request::default()
        };
        let started = Instant::now();
        loop {
            let voter = self.deployment.operator_address(0);
            let answer = caller::send(voter, &request).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            assert!(started.elapsed() < START_MAX, "configuration not accepted");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits until each entry host serves the account without a quota.
    async fn wait_serving(&self) {
        let started = Instant::now();
        for entry in 0..ENTRY_HOSTS {
            while self.send(entry, "free", "/once/x").await.status != 200 {
                assert!(
                    started.elapsed() < START_MAX,
                    "entry-{entry} does not serve"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Sends a request of an account; status 0 stands for no answer.
    async fn send(&self, entry: usize, account: &str, path: &str) -> Sample {
        send(&self.deployment, entry, account, path).await
    }

    /// Sends requests of the limited account evenly through these hosts.
    async fn send_for(&self, time: Duration, entries: &[usize]) -> Vec<Sample> {
        let samples = Samples::default();
        let started = Instant::now();
        let mut count = 0;
        while started.elapsed() < time {
            let entry = entries[count % entries.len()];
            let (deployment, samples) = (self.deployment.clone(), samples.clone());
            tokio::spawn(async move {
                let sample = send(&deployment, entry, "limited", "/once/x").await;
                samples.lock().unwrap().push(sample);
            });
            count += 1;
            let due = started + Duration::from_secs(count as u64) / SENT_PER_S;
            tokio::time::sleep_until(due.into()).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let samples = samples.lock().unwrap();
        samples.clone()
    }
}

async fn start_replica(deployment: &Deployment, index: usize) -> Fake {
    let id = format!("once-{index}");
    let (down, _) = watch::channel(false);
    let (limit, limits) = watch::channel(None);
    let (notice, notices) = watch::channel(Notice::None);
    let (address, mode) = replica::start(
        id.as_str().into(),
        deployment.at_most_once.clone(),
        deployment.backend_address(),
        checker::Shared::default(),
        down,
        limits,
        notices,
    )
    .await
    .unwrap();
    Fake {
        entry: encode::Replica {
            id: id.into(),
            service: deployment.at_most_once.clone(),
            address,
            domain: deployment::domain(index),
            draining: false,
        },
        _mode: mode,
        _limit: limit,
        _notice: notice,
    }
}

async fn send(deployment: &Deployment, entry: usize, account: &str, path: &str) -> Sample {
    let headers = Dialect::default().headers().clone();
    let id = format!("{:?}", Instant::now());
    let deadline = "2000".to_owned();
    let request = caller::Request {
        headers: vec![
            (headers.request.to_string(), id.replace(' ', "")),
            (headers.deadline.to_string(), deadline),
        ],
        ..caller::get(&format!("key-of-{account}"), path)
    };
    let sent = Instant::now();
    let exchange = caller::send(deployment.caller_address(entry), &request);
    let answer = tokio::time::timeout(Duration::from_secs(2), exchange).await;
    match answer {
        Ok(Ok(answer)) => Sample {
            sent,
            status: answer.status,
            retry_after: answer
                .header("retry-after")
                .and_then(|text| text.parse().ok()),
        },
        _ => Sample {
            sent,
            status: 0,
            retry_after: None,
        },
    }
}

/// Served requests in the window with most of them.
fn most_in_window(samples: &[Sample]) -> usize {
    let served = samples.iter().filter(|sample| sample.status == 200);
    let served = served.map(|sample| sample.sent).collect::<Vec<_>>();
    let in_window = |first: &Instant| {
        let within = |at: &&Instant| *at >= first && at.duration_since(*first) < WINDOW;
        served.iter().filter(within).count()
    };
    served.iter().map(in_window).max().unwrap_or_default()
}

fn bound(rate: f64) -> usize {
    let due = rate * WINDOW.as_secs_f64() + BURST;
    (due * (1.0 + OVERAGE) + SLACK) as usize
}

fn with_status(samples: &[Sample], status: u16) -> usize {
    let matching = samples.iter().filter(|sample| sample.status == status);
    matching.count()
}

/// Guards against a quota that each host keeps by itself, or that a lost home of an account or a
/// lowered rate breaks, and against refusals of accounts without a quota.
#[test]
fn a_quota_holds_over_all_hosts_while_one_is_frozen_and_when_it_is_lowered() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("quota");
    drop(std::fs::remove_dir_all(&folder));
    std::fs::create_dir_all(&folder).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut tier = Tier::start(&folder).await;
        tier.configure(1, RATE).await;
        tier.wait_serving().await;
        let all = (0..ENTRY_HOSTS).collect::<Vec<_>>();

        let steady = tier.send_for(Duration::from_secs(7), &all).await;
        check(&steady, RATE, 0.8);
        let none = tier.send(0, "limited", "/nowhere").await;
        assert_eq!(none.status, 404, "{none:?}");
        let free = tier.send(0, "free", "/once/x").await;
        assert_eq!(free.status, 200, "{free:?}");

        tier.entries[0].signal(Signal::Stop).unwrap();
        let others = &all[1..];
        let frozen = tier.send_for(Duration::from_secs(7), others).await;
        tier.entries[0].signal(Signal::Cont).unwrap();
        check(&frozen, RATE, 0.45);
        let thawed = tier.send_for(Duration::from_secs(6), &all).await;
        check(&thawed, RATE, 0.8);

        tier.configure(2, LOWERED).await;
        tokio::time::sleep(SPREAD).await;
        let lowered = tier.send_for(Duration::from_secs(7), &all).await;
        check(&lowered, LOWERED, 0.8);
    });
}

/// Checks the bound, the smallest share of the requests due under the rate that were served, and
/// the refusals.
fn check(samples: &[Sample], rate: f64, share_min: f64) {
    let served = with_status(samples, 200);
    let refused = with_status(samples, 429);
    let most = most_in_window(samples);
    let first = samples.iter().map(|sample| sample.sent).min();
    let last = samples.iter().map(|sample| sample.sent).max();
    let time = last.zip(first).map(|(last, first)| last - first).unwrap();
    let due = rate * time.as_secs_f64();
    println!(
        "rate {rate}: {served} served of {due:.0} due, {refused} refused, {} others; most in a window {most}, bound {}",
        samples.len() - served - refused,
        bound(rate)
    );
    assert!(most <= bound(rate), "{most} in a window");
    assert!(served as f64 >= share_min * due, "{served} of {due} due");
    assert!(refused > 0, "nothing refused");
    let refusals = samples.iter().filter(|sample| sample.status == 429);
    for refusal in refusals {
        let wait = refusal.retry_after.unwrap();
        assert!(wait > 0.0, "{refusal:?}");
    }
}
