//! Measurements of replicas that travel through the voters.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use wagtailbeam_platform::encode;
use wagtailbeam_soak::deployment::Deployment;
use wagtailbeam_soak::replica::Mode;

use crate::quota;
use crate::tier;
use crate::tier::Tier;

const ENTRY_HOSTS: usize = 4;
const SHARDS: usize = 2;
const REPLICAS: usize = 4;

/// Number of hosts that get requests; the others know of replicas by the voters only.
const ASKED: usize = 3;

/// Requests per second in total.
const SENT_PER_S: u32 = 90;

/// Longest time until all hosts know of a change.
const FOLLOW_MAX: Duration = Duration::from_secs(15);

fn account() -> encode::Account {
    encode::Account {
        name: "free".into(),
        keys: vec!["key-of-free".to_owned()],
        priority: None,
        rate: 0.0,
        burst: 0.0,
    }
}

/// Whether a host logged that the first replica became slow, or normal again.
fn logged(folder: &Path, host: usize, slow: bool) -> bool {
    let log = std::fs::read_to_string(folder.join(format!("entry-{host}.log"))).unwrap();
    let slow = format!("\"slow\":{slow}");
    let parts = ["\"event\":726", "\"replica\":\"once-0\"", &slow];
    log.lines()
        .any(|line| parts.iter().all(|part| line.contains(part)))
}

/// Sends requests through some hosts until all hosts have logged the change. Returns the time that
/// it took.
async fn send_until_logged(tier: &Tier, folder: &Path, slow: bool) -> Duration {
    let started = Instant::now();
    let mut count = 0;
    while !(0..ENTRY_HOSTS).all(|host| logged(folder, host, slow)) {
        assert!(started.elapsed() < FOLLOW_MAX, "not logged: slow {slow}");
        for _ in 0..SENT_PER_S / 10 {
            let deployment = tier.deployment.clone();
            let entry = count as usize % ASKED;
            tokio::spawn(async move {
                tier::send(&deployment, entry, "free", "/once/x").await;
            });
            count += 1;
            let due = started + Duration::from_secs(count) / SENT_PER_S;
            tokio::time::sleep_until(due.into()).await;
        }
    }
    started.elapsed()
}

/// Guards against measurements that don't reach hosts without requests of their own, and against a
/// replica that stays slow for them after it has recovered.
#[test]
fn all_hosts_learn_of_a_slow_replica_and_of_its_recovery() {
    let folder = tier::folder("capacity");
    tier::run(async {
        let deployment = Deployment::new(SHARDS, ENTRY_HOSTS);
        let mut replicas = Vec::new();
        for index in 0..REPLICAS {
            replicas.push(quota::start_replica(&deployment, index).await);
        }
        let listed = replicas.iter().map(|replica| replica.entry.clone());
        let settings = "[capacity]\nestimator = gradient\n";
        let tier = Tier::start(deployment, &folder, listed.collect(), settings).await;
        tier.configure(1, vec![account()]).await;
        tier.wait_serving("free").await;
        replicas[0].mode.send(Mode::Slow).unwrap();
        let slow = send_until_logged(&tier, &folder, true).await;
        replicas[0].mode.send(Mode::Healthy).unwrap();
        let normal = send_until_logged(&tier, &folder, false).await;
        println!("slow after {slow:?}, normal after {normal:?}");
    });
}
