//! Client accounts at their limits: a caller that tries keys, and a configuration with 10,000
//! accounts.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use wagtailbeam_fakes::caller;
use wagtailbeam_platform::encode;
use wagtailbeam_soak::deployment::Deployment;

use crate::accounts;
use crate::accounts::Heads;
use crate::accounts_report;
use crate::tier;
use crate::tier::Tier;

/// Keys that the caller tries, over all its connections.
const KEYS: usize = 100_000;
const CONNECTIONS: usize = 8;

/// Bounds for the host that the caller tries: memory and log that it may grow by, and processor
/// time for each key.
const MEMORY_GROWTH_MAX_KB: u64 = 16 * 1_024;
const LOG_GROWTH_MAX_BYTES: u64 = 64 * 1_024;
const PROCESSOR_MAX_US: u64 = 1_000;

/// Ticks per second in which the kernel counts processor time.
const TICKS_PER_S: u64 = 100;

/// Largest configuration that operators send, in bytes.
const BODY_MAX: usize = 1_000_000;
const ACCOUNTS: usize = 10_000;
const ROUTES: usize = 1_400;

/// Memory of a process in KB and its processor time in microseconds.
fn usage(pid: u32) -> (u64, u64) {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let memory = status.lines().find(|line| line.starts_with("VmRSS:"));
    let memory = memory.unwrap().split_whitespace().nth(1).unwrap();
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let (_, fields) = stat.rsplit_once(") ").unwrap();
    let ticks = fields.split(' ').skip(11).take(2);
    let ticks = ticks
        .map(|field| field.parse::<u64>().unwrap())
        .sum::<u64>();
    (memory.parse().unwrap(), ticks * 1_000_000 / TICKS_PER_S)
}

fn log_path(folder: &Path) -> std::path::PathBuf {
    folder.join("entry-0.log")
}

/// Tries keys one after the other over one connection; all must be refused.
async fn try_keys(deployment: Deployment, first: usize) {
    let mut connection = caller::Connection::open(deployment.caller_address(0))
        .await
        .unwrap();
    for number in first..first + KEYS / CONNECTIONS {
        let request = tier::request(&format!("guess-{number}"), "/once/x");
        let answer = connection.send(&request).await.unwrap();
        assert_eq!(answer.status, 401);
    }
}

/// Answers to an account of the host while keys are tried.
async fn send_meanwhile(tier: &Tier, tasks: &[tokio::task::JoinHandle<()>]) -> usize {
    let mut served = 0;
    while tasks.iter().any(|task| !task.is_finished()) {
        assert_eq!(tier.send(0, "acme", "/once/x").await.status, 200);
        served += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    served
}

/// Checks that lines about refused keys are a second apart at least and count all of them, and
/// that requests of others have theirs.
fn check_log(log: &str, took: Duration, served: usize) {
    assert!(!log.contains("guess-"), "a part of a key");
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let lines = lines.collect::<Vec<_>>();
    let events = |event: u64| lines.iter().filter(move |line| line["event"] == event);
    let refused = events(752).collect::<Vec<_>>();
    assert!(refused.len() as u64 <= took.as_secs() + 2, "{refused:?}");
    let counted = refused.iter().filter_map(|line| line["refusals"].as_u64());
    assert_eq!(counted.sum::<u64>(), KEYS as u64);
    assert!(events(700).all(|line| line["outcome"] != "unknown-key"));
    assert!(events(700).count() >= served.min(20), "{served}");
}

/// Guards against a caller that fills memory or log, or keeps the host from serving others, by
/// trying keys.
#[test]
fn a_caller_that_tries_100_000_keys_costs_bounded_memory_time_and_log() {
    let folder = tier::folder("accounts-guesses");
    tier::run(async {
        let deployment = Deployment::new(2, 1);
        let recorder = accounts::start_recorder(&deployment, Heads::default()).await;
        let tier = Tier::start(deployment, &folder, vec![recorder], "").await;
        let declared = vec![accounts::account("acme", &["key-of-acme"])];
        tier.configure(1, declared).await;
        tier.wait_serving("acme").await;
        let pid = tier.entries[0].pid().unwrap();
        let before = usage(pid);
        let log_before = std::fs::metadata(log_path(&folder)).unwrap().len();
        let started = Instant::now();
        let tasks = (0..CONNECTIONS).map(|connection| {
            let first = connection * (KEYS / CONNECTIONS);
            tokio::spawn(try_keys(tier.deployment.clone(), first))
        });
        let tasks = tasks.collect::<Vec<_>>();
        let served = send_meanwhile(&tier, &tasks).await;
        for task in tasks {
            task.await.unwrap();
        }
        let took = started.elapsed();
        let after = usage(pid);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        let log = std::fs::read_to_string(log_path(&folder)).unwrap();
        let memory = after.0.saturating_sub(before.0);
        let processor = (after.1 - before.1) / KEYS as u64;
        let log_growth = log.len() as u64 - log_before;
        println!(
            "{KEYS} keys in {took:?}: {processor} us each, memory +{memory} KB, \
             log +{log_growth} bytes, {served} requests of others"
        );
        assert!(memory <= MEMORY_GROWTH_MAX_KB, "{memory} KB");
        assert!(processor <= PROCESSOR_MAX_US, "{processor} us");
        let lines_of_others = 400 * served as u64;
        assert!(
            log_growth <= LOG_GROWTH_MAX_BYTES + lines_of_others,
            "{log_growth}"
        );
        check_log(&log, took, served);
        let metrics = accounts_report::metrics(&tier.deployment, 0).await;
        let unknown = accounts_report::samples(&metrics, "wagtailbeam_unknown_keys_total");
        assert_eq!(unknown.first().unwrap().1, KEYS as u64);
    });
}

fn account(index: usize) -> encode::Account {
    let name = format!("a{index:05}");
    encode::Account {
        rate: 50.0,
        burst: 50.0,
        ..accounts::account(&name, &[&format!("key-of-{name}")])
    }
}

/// The configuration with these accounts and further routes, up to [`ROUTES`].
fn document(tier: &Tier, version: u64, accounts: usize) -> String {
    let accounts = (0..accounts).map(account).collect();
    let text = tier.document(version, accounts);
    let mut document = serde_json::from_str::<Value>(&text).unwrap();
    let routes = document["Routes"].as_array_mut().unwrap();
    let hostname = routes[0]["Hostname"].clone();
    for index in routes.len()..ROUTES {
        routes.push(json!({
            "Name": format!("r{index:04}"), "Hostname": hostname, "PathPrefix": format!("/r{index:04}/"),
            "Type": "idempotent", "TimeoutMs": 800, "Service": "once",
        }));
    }
    document.to_string()
}

/// Puts a configuration into force. Returns its size, the time until the entry hosts serve an
/// account that only it has, and the memory of an entry host then.
async fn measure(tier: &Tier, version: u64, accounts: usize) -> (usize, Duration, u64) {
    let document = document(tier, version, accounts);
    let size = document.len();
    assert!(size <= BODY_MAX, "{size} bytes");
    let started = Instant::now();
    tier.put(document).await;
    let last = format!("a{:05}", accounts - 1);
    tier.wait_serving(&last).await;
    let took = started.elapsed();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (memory, _) = usage(tier.entries[0].pid().unwrap());
    (size, took, memory)
}

/// Guards against a configuration of that size that is not accepted, doesn't reach the hosts, or
/// leaves accounts or routes out.
#[test]
fn ten_thousand_accounts_and_1_400_routes_fit_one_configuration() {
    let folder = tier::folder("accounts-scale");
    tier::run(async {
        let deployment = Deployment::new(2, 2);
        let recorder = accounts::start_recorder(&deployment, Heads::default()).await;
        let tier = Tier::start(deployment, &folder, vec![recorder], "").await;
        for (version, accounts) in [(1, 100), (2, ACCOUNTS)] {
            let (size, took, memory) = measure(&tier, version, accounts).await;
            println!(
                "{accounts} accounts, {ROUTES} routes: {size} bytes, served after {took:?}, \
                 entry host {memory} KB"
            );
        }
        for account in ["a00000", "a05000", "a09999"] {
            for path in ["/once/x", "/r0002/x", "/r1399/x"] {
                let answer = tier.send(1, account, path).await;
                assert_eq!(answer.status, 200, "{account} {path}");
            }
        }
        assert_eq!(tier.send(1, "a10000", "/once/x").await.status, 401);
        let ready = tier.deployment.ready_address(1);
        let asked = Instant::now();
        let report = accounts_report::run_client(ready, &["accounts", "--json"]);
        println!("report: {} bytes after {:?}", report.len(), asked.elapsed());
        let report = serde_json::from_str::<Value>(&report).unwrap();
        let rows = report["accounts"].as_array().unwrap();
        assert_eq!(rows.len(), ACCOUNTS);
        let homes = rows.iter().filter(|row| row["home"] == true).count();
        assert_eq!(homes, ACCOUNTS);
    });
}
