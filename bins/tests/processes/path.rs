//! The whole path through real processes: a file, queries, a job, planned stops.

use std::time::Duration;

use wagtailbeam_fakes::backend::Behavior;
use wagtailbeam_fakes::backend::Cluster;
use wagtailbeam_fakes::caller;
use wagtailbeam_fakes::fleet;

use crate::daemons::Fleet;

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

#[test]
fn whole_path_through_processes() {
    let cluster = cluster();
    let mut fleet = Fleet::start(5, 3);
    let file = fleet.write(
        "loungepass.ini",
        &fleet::manifest(1, &[service(&cluster)], &[CALLER], &[]),
    );
    let applied = fleet.client(0, &["apply", &file, "--json"]);
    assert_eq!(applied.code, 0, "{}{}", applied.out, applied.err);
    let json: serde_json::Value = serde_json::from_str(&applied.out).unwrap();
    assert_eq!(json["applied"]["decided"]["acceptance"], "accepted");
    assert_eq!(
        (&json["in_force"], &json["daemons"]),
        (&5.into(), &5.into())
    );
    let again = fleet.client(1, &["apply", &file]);
    assert_eq!(again.code, 0);
    assert!(again.out.contains("already accepted"), "{}", again.out);
    let other = fleet::manifest(1, &[service(&cluster)], &[CALLER], &["zone-a"]);
    let other = fleet.write("other.ini", &other);
    let refused = fleet.client(2, &["apply", &other]);
    assert_eq!(refused.code, 3, "{}", refused.out);
    assert!(
        refused.out.contains("refused: version 1 was accepted"),
        "{}",
        refused.out
    );
    fleet.wait_ready(CALLER, "/desk-gate/eligibility", SHARDS as u64);
    check_query(&fleet);
    check_job(&fleet, &cluster);
    check_refusals(&fleet);
    check_rolling_stop(&mut fleet);
}

fn check_query(fleet: &Fleet) {
    for at in 0..fleet.hosts.len() {
        let ask = caller::get(&fleet::caller_key(CALLER), "/desk-gate/eligibility?card=7");
        let answer = fleet.ask(at, &ask);
        assert_eq!(answer.status, 200);
        assert_eq!(answer.coverage(), (SHARDS as u64, SHARDS as u64));
        let json = answer.json();
        assert_eq!(json["snapshot"], 1);
        assert_eq!(json["results"]["07"]["index"], 1);
    }
}

fn check_job(fleet: &Fleet, cluster: &Cluster) {
    let job = caller::post(
        &fleet::caller_key(CALLER),
        "/desk-gate/entries",
        "visit-1",
        "{}",
    );
    let first = fleet.ask(3, &job);
    assert_eq!(first.status, 200);
    let again = fleet.ask(4, &job);
    assert_eq!(again.header("wagtailbeam-replayed"), Some("yes"));
    assert_eq!(again.body, first.body);
    assert_eq!(cluster.runs("visit-1"), 1);
    let other = caller::post(
        &fleet::caller_key(CALLER),
        "/desk-gate/entries",
        "visit-1",
        "{1}",
    );
    assert_eq!(fleet.ask(0, &other).status, 422);
}

/// Each fault of a request has its own answer, and none of them ran.
fn check_refusals(fleet: &Fleet) {
    let key = fleet::caller_key(CALLER);
    let with = |name: &str, value: &str| {
        let mut ask = caller::get(&key, "/desk-gate/x");
        ask.headers.push((name.to_owned(), value.to_owned()));
        ask
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
    for (ask, status, title) in cases {
        let answer = fleet.ask(4, &ask);
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

/// Callers go on asking daemons that are ready while each one is stopped in turn.
fn check_rolling_stop(fleet: &mut Fleet) {
    let key = fleet::caller_key(CALLER);
    let traffic = fleet.traffic(&caller::get(&key, "/desk-gate/eligibility"));
    for at in 0..fleet.hosts.len() {
        let code = fleet.stop(at).unwrap();
        assert_eq!(code, Some(0), "daemon {at} ended with {code:?}");
        fleet.restart(at).unwrap();
        fleet.wait_ready(CALLER, "/desk-gate/eligibility", SHARDS as u64);
    }
    std::thread::sleep(Duration::from_millis(300));
    let counts = traffic.end();
    assert!(counts.answered > 100, "{counts:?}");
    assert_eq!(counts.cut_off, 0, "{counts:?}");
    assert_eq!(counts.refused, 0, "{counts:?}");
}
