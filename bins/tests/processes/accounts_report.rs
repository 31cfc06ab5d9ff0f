//! What operators see of client accounts: the command, the metrics and the log.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use serde_json::Value;
use wagtailbeam_fakes::caller;
use wagtailbeam_platform::encode;
use wagtailbeam_soak::deployment::Deployment;

use crate::accounts;
use crate::accounts::Heads;
use crate::tier;
use crate::tier::Tier;

const ENTRY_HOSTS: usize = 2;

/// Accounts in addition to the named ones; with these, more than metrics list by name.
const CROWD: usize = 30;

/// An account that is listed only once it has more requests than others.
const LATE: &str = "crowd-29";

/// Requests of `acme` after the tier serves it.
const SENT: usize = 40;

/// Time after which a home has tokens for [`SENT`] requests; new buckets are empty.
const FILLED_AFTER: Duration = Duration::from_millis(500);

/// Runs the operators' client without a key file; panics if it fails.
pub fn run_client(address: SocketAddr, args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_wagtailbeam"))
        .args(["--daemon", &address.to_string()])
        .args(args)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Digest of a key, as the operators' client prints it.
fn digest(folder: &Path, key: &str) -> String {
    let file = folder.join("key");
    std::fs::write(&file, key).unwrap();
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    let digest = run_client(unused, &["digest", &file.display().to_string()]);
    digest.trim().to_owned()
}

/// Text of the metrics of an entry host.
pub async fn metrics(deployment: &Deployment, entry: usize) -> String {
    let address = deployment.metrics_address(entry);
    let answer = caller::send(address, &caller::get("", "/metrics")).await;
    String::from_utf8(answer.unwrap().body.to_vec()).unwrap()
}

/// Lines of a metric, with their values.
pub fn samples<'a>(text: &'a str, metric: &str) -> Vec<(&'a str, u64)> {
    let lines = text.lines().filter(|line| line.starts_with(metric));
    let pairs = lines.filter_map(|line| line.rsplit_once(' '));
    pairs
        .map(|(name, value)| (name, value.parse().unwrap()))
        .collect()
}

/// The value of a label in a line of a metric.
fn label<'a>(line: &'a str, name: &str) -> &'a str {
    let (_, rest) = line.split_once(&format!("{name}=\"")).unwrap();
    rest.split('"').next().unwrap()
}

fn crowd(index: usize) -> String {
    format!("crowd-{index:02}")
}

fn declared() -> Vec<encode::Account> {
    let key = |name: &str| format!("key-of-{name}");
    let acme = encode::Account {
        priority: Some(1),
        rate: 1_000.0,
        burst: 100.0,
        ..accounts::account("acme", &[&key("acme")])
    };
    let tiny = encode::Account {
        rate: 0.01,
        ..accounts::account("tiny", &[&key("tiny")])
    };
    let idle = accounts::account("idle", &[&key("idle")]);
    let crowd = (0..CROWD).map(|index| {
        let name = crowd(index);
        accounts::account(&name, &[&key(&name)])
    });
    [acme, tiny, idle].into_iter().chain(crowd).collect()
}

async fn send_all(tier: &Tier) {
    tokio::time::sleep(FILLED_AFTER).await;
    for _ in 0..SENT {
        assert_eq!(tier.send(0, "acme", "/once/x").await.status, 200);
    }
    assert_eq!(tier.send(0, "tiny", "/once/x").await.status, 429);
    for index in 0..CROWD {
        assert_eq!(tier.send(0, &crowd(index), "/once/x").await.status, 200);
    }
    // More requests than some listed account has.
    for _ in 0..5 {
        assert_eq!(tier.send(0, LATE, "/once/x").await.status, 200);
    }
    assert_eq!(tier.send(0, "nobody", "/once/x").await.status, 401);
}

fn row<'a>(report: &'a Value, account: &str) -> &'a Value {
    let rows = report["accounts"].as_array().unwrap();
    rows.iter().find(|row| row["account"] == account).unwrap()
}

fn check_report(asked: &Value, other: &Value) {
    assert_eq!(asked["host"], "entry-0");
    assert_eq!(asked["version"], 1);
    assert_eq!(asked["confirmed"], true);
    assert_eq!(asked["accounts"].as_array().unwrap().len(), CROWD + 3);
    let acme = row(asked, "acme");
    assert!(acme["admitted"].as_u64().unwrap() >= SENT as u64, "{acme}");
    assert_eq!(acme["priority"], 1);
    assert_eq!((&acme["rate"], &acme["burst"]), (&1e3.into(), &1e2.into()));
    // Each host is the only one of its failure domain, and so a home.
    assert_eq!(acme["home"], true);
    let tokens = acme["tokens"].as_f64().unwrap();
    assert!((0.0..=50.0).contains(&tokens), "{acme}");
    assert_eq!(row(asked, "tiny")["refused"], 1);
    assert_eq!(row(other, "tiny")["refused"], 0);
    let idle = row(asked, "idle");
    assert_eq!(
        (&idle["admitted"], &idle["home"]),
        (&0.into(), &false.into())
    );
    assert_eq!(
        (&idle["rate"], &idle["tokens"]),
        (&Value::Null, &Value::Null)
    );
}

/// Guards against series for each account, against lost counts, and against large accounts that
/// are not listed.
fn check_metrics(text: &str, report: &Value) {
    let series = samples(text, "wagtailbeam_account_requests_total");
    let names = series.iter().map(|(line, _)| label(line, "account"));
    let names = names.collect::<BTreeSet<_>>();
    assert_eq!(names.len(), 21, "{names:?}");
    for listed in ["other", "acme", LATE] {
        assert!(names.contains(listed), "{names:?}");
    }
    let counted = series.iter().map(|(_, count)| count).sum::<u64>();
    let rows = report["accounts"].as_array().unwrap().iter();
    let of = |row: &Value, column: &str| row[column].as_u64().unwrap();
    let reported =
        rows.map(|row| of(row, "admitted") + of(row, "refused") + of(row, "unavailable"));
    assert_eq!(counted, reported.sum::<u64>());
    let unknown = samples(text, "wagtailbeam_unknown_keys_total");
    assert_eq!(unknown.iter().map(|(_, count)| count).sum::<u64>(), 1);
}

/// Guards against a command that needs the operators' key, shows another host's counts, or shows
/// keys or their digests; the same for metrics and logs.
#[test]
fn operators_see_accounts_and_no_keys() {
    let folder = tier::folder("accounts-report");
    tier::run(async {
        let deployment = Deployment::new(2, ENTRY_HOSTS);
        let recorder = accounts::start_recorder(&deployment, Heads::default()).await;
        let tier = Tier::start(deployment, &folder, vec![recorder], "").await;
        tier.configure(1, declared()).await;
        tier.wait_serving("acme").await;
        send_all(&tier).await;

        let ready = |entry| tier.deployment.ready_address(entry);
        let json = run_client(ready(0), &["accounts", "--json"]);
        let asked = serde_json::from_str::<Value>(&json).unwrap();
        let other = run_client(ready(1), &["accounts", "--json"]);
        check_report(&asked, &serde_json::from_str(&other).unwrap());
        let metrics = metrics(&tier.deployment, 0).await;
        check_metrics(&metrics, &asked);

        let table = run_client(ready(0), &["accounts"]);
        println!("{table}");
        let line = table
            .lines()
            .find(|line| line.starts_with("acme "))
            .unwrap();
        assert!(line.contains(" 1000 "), "{line}");
        tokio::time::sleep(Duration::from_millis(200)).await;
        let log = std::fs::read_to_string(folder.join("entry-0.log")).unwrap();
        assert!(log.contains("\"event\":752"), "{log}");
        for name in ["acme", "tiny", "nobody"] {
            let key = format!("key-of-{name}");
            let digest = digest(&folder, &key);
            for text in [&json, &table, &metrics, &log] {
                assert!(!text.contains(&key), "{text}");
                assert!(!text.contains(&digest[..8]), "{text}");
            }
        }
    });
}
