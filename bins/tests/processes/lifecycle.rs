//! End-to-end test without failures: an operators' file, queries, a job, refusals and
//! planned stops.

use std::time::Duration;

use wagtailbeam_fakes::backend::Behavior;
use wagtailbeam_fakes::backend::Cluster;
use wagtailbeam_fakes::caller;
use wagtailbeam_fakes::fleet;

use crate::harness::Harness;

const SHARDS: usize = 20;
const REPLICAS: usize = 2;
const CALLER: &str = "airline-one";

fn cluster() -> Cluster {
    let names = (0..SHARDS).flat_map(|s| (0..REPLICAS).map(move |r| format!("gate-{s:02}-{r}")));
    Cluster::start(&names.collect::<Vec<_>>(), &Behavior::default(), 7)
}

fn service(cluster: &Cluster) -> fleet::Service {
    fleet::Service::of(
        "desk-gate",
        "slots = 2\nconnections = 25\nwarmup = 0s\ndeadline = 2s\n",
        cluster,
        REPLICAS,
    )
}

/// A file is applied once and repeated without effect, and a different file of the same
/// version is refused. Queries, a job, faulty requests and a rolling stop follow on the
/// same daemons.
#[test]
fn apply_query_job_and_rolling_stop_work_end_to_end() {
    let cluster = cluster();
    let mut harness = Harness::start(5, 3);
    let file = harness.write_file(
        "manifest.ini",
        &fleet::manifest(1, &[service(&cluster)], &[CALLER], &[]),
    );
    let applied = harness.run_client(0, &["apply", &file, "--json"]);
    assert_eq!(applied.code, 0, "{}{}", applied.stdout, applied.stderr);
    let json: serde_json::Value = serde_json::from_str(&applied.stdout).unwrap();
    assert_eq!(json["applied"]["decided"]["acceptance"], "accepted");
    assert_eq!(
        (&json["in_force"], &json["daemons"]),
        (&5.into(), &5.into())
    );
    let again = harness.run_client(1, &["apply", &file]);
    assert_eq!(again.code, 0);
    assert!(
        again.stdout.contains("already accepted"),
        "{}",
        again.stdout
    );
    let other = fleet::manifest(1, &[service(&cluster)], &[CALLER], &["zone-a"]);
    let other = harness.write_file("other.ini", &other);
    let refused = harness.run_client(2, &["apply", &other]);
    assert_eq!(refused.code, 3, "{}", refused.stdout);
    assert!(
        refused.stdout.contains("refused: version 1 was accepted"),
        "{}",
        refused.stdout
    );
    harness.wait_ready(CALLER, "/desk-gate/eligibility", SHARDS as u64);
    check_query(&harness);
    check_job(&harness, &cluster);
    check_refusals(&harness);
    check_rolling_stop(&mut harness);
}

/// Every daemon answers a query with all shards of one index version.
fn check_query(harness: &Harness) {
    for daemon in 0..harness.hosts.len() {
        let request = caller::get(&fleet::caller_key(CALLER), "/desk-gate/eligibility?card=7");
        let answer = harness.send(daemon, &request);
        assert_eq!(answer.status, 200);
        assert_eq!(answer.coverage(), (SHARDS as u64, SHARDS as u64));
        let json = answer.json();
        assert_eq!(json["snapshot"], 1);
        assert_eq!(json["results"]["07"]["index"], 1);
    }
}

/// A repeated job returns the recorded answer without a second run, also at another
/// daemon; the same key with another body is refused.
fn check_job(harness: &Harness, cluster: &Cluster) {
    let job = caller::post(
        &fleet::caller_key(CALLER),
        "/desk-gate/entries",
        "visit-1",
        "{}",
    );
    let first = harness.send(3, &job);
    assert_eq!(first.status, 200);
    let again = harness.send(4, &job);
    assert_eq!(again.header("wagtailbeam-replayed"), Some("yes"));
    assert_eq!(again.body, first.body);
    assert_eq!(cluster.runs("visit-1"), 1);
    let other = caller::post(
        &fleet::caller_key(CALLER),
        "/desk-gate/entries",
        "visit-1",
        "{1}",
    );
    assert_eq!(harness.send(0, &other).status, 422);
}

/// Each kind of faulty request is refused with its own status and title, and reported as
/// not run.
fn check_refusals(harness: &Harness) {
    let key = fleet::caller_key(CALLER);
    let with = |name: &str, value: &str| {
        let mut request = caller::get(&key, "/desk-gate/x");
        request.headers.push((name.to_owned(), value.to_owned()));
        request
    };
    let mut keyless = caller::post(&key, "/desk-gate/x", "k", "{}");
    keyless.headers.clear();
    let large = "x".repeat(1024 * 1024 + 1);
    let cases = [
        (caller::get("nobody", "/desk-gate/x"), 401, "unknown-caller"),
        (caller::get(&key, "/nothing/x"), 404, "unknown-service"),
        (keyless, 400, "missing-key"),
        (
            caller::post(&key, "/desk-gate/x", &"k".repeat(257), "{}"),
            400,
            "key-too-long",
        ),
        (
            caller::post(&key, "/desk-gate/x", "large", &large),
            413,
            "body-too-large",
        ),
        (with("wagtailbeam-shards", "00,99"), 400, "unknown-shard"),
        (with("wagtailbeam-deadline-ms", "soon"), 400, "bad-deadline"),
    ];
    for (request, status, title) in cases {
        let answer = harness.send(4, &request);
        let json = answer.json();
        assert_eq!(
            (answer.status, json["title"].as_str()),
            (status, Some(title)),
            "{json}"
        );
        assert_eq!(
            answer.header("content-type"),
            Some("application/problem+json")
        );
        assert_eq!(json["ran"], "no");
    }
}

/// The daemons are stopped and restarted one after the other under traffic. Callers that
/// use only ready daemons must see no refusal and no broken connection.
fn check_rolling_stop(harness: &mut Harness) {
    let key = fleet::caller_key(CALLER);
    let traffic = harness.start_traffic(&caller::get(&key, "/desk-gate/eligibility"));
    for daemon in 0..harness.hosts.len() {
        let code = harness.stop(daemon).unwrap();
        assert_eq!(code, Some(0), "daemon {daemon} ended with {code:?}");
        harness.restart(daemon).unwrap();
        harness.wait_ready(CALLER, "/desk-gate/eligibility", SHARDS as u64);
    }
    std::thread::sleep(Duration::from_millis(300));
    let counts = traffic.stop();
    assert!(counts.answered > 100, "{counts:?}");
    assert_eq!(counts.cut_off, 0, "{counts:?}");
    assert_eq!(counts.refused, 0, "{counts:?}");
}
