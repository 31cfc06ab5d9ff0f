//! Quotas of accounts in a tier with discovered hosts.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;
use wagtailbeam_decision::account::home::Map;
use wagtailbeam_decision::account::home::Terms;
use wagtailbeam_decision::plan::Host;
use wagtailbeam_platform::encode;
use wagtailbeam_soak::checker;
use wagtailbeam_soak::deployment;
use wagtailbeam_soak::deployment::Deployment;
use wagtailbeam_soak::deployment::VOTERS;
use wagtailbeam_soak::notice::Notice;
use wagtailbeam_soak::process::Signal;
use wagtailbeam_soak::replica;

use crate::tier;
use crate::tier::Sample;
use crate::tier::Tier;

const ENTRY_HOSTS: usize = 6;
const SHARDS: usize = 2;
const REPLICAS: usize = 2;

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

/// Voters without which there is no majority.
const MAJORITY: usize = VOTERS / 2 + 1;

/// Time after which entry hosts without a confirmation don't use buckets of their own.
const UNCONFIRMED: Duration = Duration::from_secs(3);

type Samples = Arc<Mutex<Vec<Sample>>>;

pub struct Fake {
    pub entry: encode::Replica,
    pub mode: watch::Sender<replica::Mode>,
    _limit: watch::Sender<Option<f64>>,
    _notice: watch::Sender<Notice>,
}

/// The accounts of the test, with this rate of the limited one.
fn accounts(rate: f64) -> Vec<encode::Account> {
    let account = |name: &str, rate| encode::Account {
        name: name.into(),
        keys: vec![format!("key-of-{name}")],
        priority: None,
        rate,
        burst: if rate > 0.0 { BURST } else { 0.0 },
    };
    vec![account("limited", rate), account("free", 0.0)]
}

/// Sends requests of the limited account evenly through these hosts.
async fn send_for(tier: &Tier, time: Duration, entries: &[usize]) -> Vec<Sample> {
    let samples = Samples::default();
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < time {
        let entry = entries[count % entries.len()];
        let (deployment, samples) = (tier.deployment.clone(), samples.clone());
        tokio::spawn(async move {
            let sample = tier::send(&deployment, entry, "limited", "/once/x").await;
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

pub async fn start_replica(deployment: &Deployment, index: usize) -> Fake {
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
            version: None,
        },
        mode,
        _limit: limit,
        _notice: notice,
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

/// Starts a tier whose entry hosts all serve, with the accounts of the test.
async fn start(name: &str) -> (Tier, Vec<Fake>) {
    let deployment = Deployment::new(SHARDS, ENTRY_HOSTS);
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        replicas.push(start_replica(&deployment, index).await);
    }
    let listed = replicas.iter().map(|replica| replica.entry.clone());
    let settings = format!("[quota]\noverage = {OVERAGE}\nslack = {SLACK}\nwindow = 5s\n");
    let folder = tier::folder(name);
    let tier = Tier::start(deployment, &folder, listed.collect(), &settings).await;
    tier.configure(1, accounts(RATE)).await;
    tier.wait_serving("free").await;
    (tier, replicas)
}

/// Indexes of the limited account's homes, one for each failure domain.
fn homes(tier: &Tier) -> Vec<usize> {
    let host = |index| Host {
        address: tier.deployment.peer_address(index),
        domain: deployment::domain(index),
    };
    let hosts = (0..ENTRY_HOSTS).map(host).collect::<Vec<_>>();
    let map = Map::new(&Terms::default(), &hosts);
    let is_home = |host: &Host| map.home(&"limited".into(), &host.domain) == Some(host.address);
    let all = hosts.iter().enumerate();
    all.filter(|(_, host)| is_home(host))
        .map(|(index, _)| index)
        .collect()
}

/// All entry hosts but this one.
fn all_but(missing: usize) -> Vec<usize> {
    (0..ENTRY_HOSTS).filter(|entry| *entry != missing).collect()
}

/// Guards against a quota that each host keeps by itself, or that a lost home of an account or a
/// lowered rate breaks, and against refusals of accounts without a quota.
#[test]
fn a_quota_holds_over_all_hosts_while_one_is_frozen_and_when_it_is_lowered() {
    tier::run(async {
        let (mut tier, _replicas) = start("quota").await;
        let all = (0..ENTRY_HOSTS).collect::<Vec<_>>();

        let steady = send_for(&tier, Duration::from_secs(7), &all).await;
        check(&steady, RATE, 0.8);
        let none = tier.send(0, "limited", "/nowhere").await;
        assert_eq!(none.status, 404, "{none:?}");
        let free = tier.send(0, "free", "/once/x").await;
        assert_eq!(free.status, 200, "{free:?}");

        tier.entries[0].signal(Signal::Stop).unwrap();
        let others = &all[1..];
        let frozen = send_for(&tier, Duration::from_secs(7), others).await;
        tier.entries[0].signal(Signal::Cont).unwrap();
        check(&frozen, RATE, 0.45);
        let thawed = send_for(&tier, Duration::from_secs(6), &all).await;
        check(&thawed, RATE, 0.8);

        tier.configure(2, accounts(LOWERED)).await;
        tokio::time::sleep(SPREAD).await;
        let lowered = send_for(&tier, Duration::from_secs(7), &all).await;
        check(&lowered, LOWERED, 0.8);
    });
}

/// Guards against a quota of which a part is lost for good, or granted twice, after a home of the
/// account is killed and when it is back.
#[test]
fn a_quota_holds_when_a_home_is_killed_and_started_again() {
    tier::run(async {
        let (mut tier, _replicas) = start("quota-home-killed").await;
        let all = (0..ENTRY_HOSTS).collect::<Vec<_>>();
        let home = homes(&tier)[0];
        let steady = send_for(&tier, Duration::from_secs(6), &all).await;
        check(&steady, RATE, 0.8);

        tier.entries[home].kill().unwrap();
        let others = all_but(home);
        let killed = send_for(&tier, Duration::from_secs(7), &others).await;
        check(&killed, RATE, 0.6);
        let replaced = send_for(&tier, Duration::from_secs(6), &others).await;
        check(&replaced, RATE, 0.8);

        tier.entries[home].start().unwrap();
        let started = send_for(&tier, Duration::from_secs(7), &others).await;
        check(&started, RATE, 0.8);
        check_bound(&[steady, killed, replaced, started].concat());
    });
}

/// Guards against homes that fall silent one after another while the voters have no majority, and
/// against a quota that is granted twice meanwhile.
#[test]
fn a_quota_can_be_used_while_the_voters_have_no_majority() {
    tier::run(async {
        let (mut tier, _replicas) = start("quota-majority-lost").await;
        let all = (0..ENTRY_HOSTS).collect::<Vec<_>>();
        let steady = send_for(&tier, Duration::from_secs(6), &all).await;
        check(&steady, RATE, 0.8);

        for voter in &mut tier.voters[..MAJORITY] {
            voter.signal(Signal::Stop).unwrap();
        }
        tokio::time::sleep(UNCONFIRMED).await;
        let lost = send_for(&tier, Duration::from_secs(6), &all).await;
        check(&lost, RATE, 0.8);
        let mut sent = [steady, lost].concat();

        for home in homes(&tier) {
            tier.entries[home].signal(Signal::Stop).unwrap();
            let frozen = send_for(&tier, Duration::from_secs(4), &all_but(home)).await;
            check(&frozen, RATE, 0.4);
            tier.entries[home].signal(Signal::Cont).unwrap();
            let resumed = send_for(&tier, Duration::from_secs(6), &all_but(home)).await;
            check(&resumed, RATE, 0.8);
            sent.extend([frozen, resumed].concat());
        }

        for voter in &mut tier.voters[..MAJORITY] {
            voter.signal(Signal::Cont).unwrap();
        }
        tier.wait_serving("free").await;
        let regained = send_for(&tier, Duration::from_secs(6), &all).await;
        check(&regained, RATE, 0.8);
        check_bound(&[sent, regained].concat());
    });
}

/// Checks the bound in all windows of several phases.
fn check_bound(samples: &[Sample]) {
    let most = most_in_window(samples);
    println!("most in a window {most}, bound {}", bound(RATE));
    assert!(most <= bound(RATE), "{most} in a window");
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
