//! Real processes under failure.

use wagtailbeam_fakes::backend::Behavior;
use wagtailbeam_fakes::backend::Cluster;
use wagtailbeam_fakes::caller;
use wagtailbeam_fakes::fleet;

use crate::daemons::Fleet;

const SHARDS: usize = 8;
const REPLICAS: usize = 2;
const CALLER: &str = "airline-one";

fn cluster() -> Cluster {
    let names = (0..SHARDS * REPLICAS).map(|at| format!("gate-{at:02}"));
    Cluster::start(&names.collect::<Vec<_>>(), &Behavior::default(), 7)
}

fn file(cluster: &Cluster, version: u64, out: &[&str]) -> String {
    let service = fleet::Service::of(
        "desk-gate",
        "slots = 2\nconnections = 25\nwarmup = 0s\ndeadline = 2s\n",
        cluster,
        REPLICAS,
    );
    fleet::manifest(version, &[service], &[CALLER], out)
}

/// A job stays recorded, and a file accepted, when a voter is killed, then another
/// one after the first came back.
#[test]
fn voters_killed_in_turn_forget_nothing() {
    let cluster = cluster();
    let mut fleet = Fleet::start(5, 3);
    let path = fleet.write("first.ini", &file(&cluster, 1, &[]));
    assert_eq!(fleet.client(0, &["apply", &path]).code, 0);
    fleet.wait_ready(CALLER, "/desk-gate/x", SHARDS as u64);
    let job = caller::post(
        &fleet::caller_key(CALLER),
        "/desk-gate/entries",
        "visit-1",
        "{}",
    );
    assert_eq!(fleet.ask(4, &job).status, 200);
    for at in 0..3 {
        fleet.kill(at).unwrap();
        let again = fleet.ask(3, &job);
        assert_eq!(
            again.header("wagtailbeam-replayed"),
            Some("yes"),
            "voter {at} down"
        );
        fleet.restart(at).unwrap();
        fleet.wait_ready(CALLER, "/desk-gate/x", SHARDS as u64);
    }
    let again = fleet.client(1, &["apply", &path]);
    assert!(again.out.contains("already accepted"), "{}", again.out);
    assert_eq!(cluster.runs("visit-1"), 1);
}

fn get(path: &str) -> caller::Request {
    caller::get(&fleet::caller_key(CALLER), path)
}

fn start(cluster: &Cluster) -> Fleet {
    let fleet = Fleet::start(5, 3);
    let path = fleet.write("first.ini", &file(cluster, 1, &[]));
    assert_eq!(fleet.client(0, &["apply", &path]).code, 0);
    fleet.wait_ready(CALLER, "/desk-gate/x", SHARDS as u64);
    fleet
}

/// A request that stops servers is sent again and again, among others' traffic.
#[test]
fn a_request_that_stops_servers_costs_its_first_run_and_a_canary() {
    let cluster = cluster();
    let fleet = start(&cluster);
    let traffic = fleet.traffic(&get("/desk-gate/harmless"));
    for turn in 0..100 {
        let answer = fleet.ask(turn % fleet.hosts.len(), &get("/desk-gate/poison"));
        assert_ne!(answer.status, 200, "{:?}", answer.json());
        assert!(
            answer.header("retry-after").is_some(),
            "{:?}",
            answer.json()
        );
    }
    let last = fleet.ask(0, &get("/desk-gate/poison"));
    assert_eq!(last.json()["title"], "stops-servers");
    let failures = cluster.crashes();
    assert!(failures <= SHARDS as u32 + 1, "{failures} servers failed");
    fleet.wait_ready(CALLER, "/desk-gate/x", SHARDS as u64);
    let counts = traffic.end();
    assert!(counts.answered > 0, "{counts:?}");
    assert_eq!(counts.cut_off, 0, "{counts:?}");
    assert_eq!(fleet.ask(1, &get("/desk-gate/harmless")).status, 200);
}

/// A failure domain is taken out while one daemon is frozen and one restarts.
#[test]
fn a_domain_taken_out_gets_no_new_work() {
    let cluster = cluster();
    let mut fleet = start(&cluster);
    let traffic = fleet.traffic(&get("/desk-gate/x"));
    fleet.signal(4, "-STOP").unwrap();
    fleet.kill(3).unwrap();
    let path = fleet.write("second.ini", &file(&cluster, 2, &["zone-b"]));
    assert_eq!(fleet.client(0, &["apply", &path]).code, 0);
    std::thread::sleep(std::time::Duration::from_secs(2));
    let moved = || {
        let all = cluster.servers.iter().enumerate();
        let inside = |at: usize| fleet::domain_of(at / REPLICAS, at % REPLICAS) == "zone-b";
        all.filter(move |(at, _)| inside(*at))
            .map(|(_, server)| server)
    };
    moved().for_each(|server| server.reset_stats());
    fleet.restart(3).unwrap();
    fleet.signal(4, "-CONT").unwrap();
    for at in 0..200 {
        drop(fleet.try_ask(at % 5, &get("/desk-gate/x")));
    }
    fleet.wait_ready_at(&[0, 2, 3], CALLER, "/desk-gate/x", SHARDS as u64);
    traffic.end();
    let requests = moved().map(|server| server.stats().requests).sum::<u64>();
    assert_eq!(requests, 0);
}

/// Shards change their index version at different times; no answer mixes them.
#[test]
fn no_answer_mixes_index_versions() {
    let cluster = cluster();
    let fleet = start(&cluster);
    let versions = [vec![1], vec![1, 2], vec![2], vec![2, 3], vec![1, 2]];
    for turn in 0..60 {
        for (at, server) in cluster.servers.iter().enumerate() {
            let indexes = versions[(at * 7 + turn) % versions.len()].clone();
            server.configure(|behaviour| behaviour.indexes = indexes);
        }
        let answer = fleet.ask(turn % 5, &get("/desk-gate/x"));
        let json = answer.json();
        let results = json["results"].as_object().unwrap();
        let (answered, asked) = answer.coverage();
        assert_eq!((asked, answered), (SHARDS as u64, results.len() as u64));
        assert!(
            results
                .values()
                .all(|result| result["index"] == json["snapshot"]),
            "{json}"
        );
    }
}

/// The daemon that sent a job is killed while it runs: nobody runs it again.
#[test]
fn a_job_whose_daemon_dies_runs_once() {
    let cluster = cluster();
    let mut fleet = start(&cluster);
    let slow = std::time::Duration::from_millis(1_500);
    cluster
        .servers
        .iter()
        .for_each(|server| server.configure(|behaviour| behaviour.service_time = slow));
    let job = caller::post(
        &fleet::caller_key(CALLER),
        "/desk-gate/entries",
        "visit-9",
        "{}",
    );
    let (address, sent) = (fleet.hosts[4].callers, job.clone());
    let caller = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(caller::send(address, &sent)).is_err()
    });
    while cluster.runs("visit-9") == 0 {
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    fleet.kill(4).unwrap();
    assert!(caller.join().unwrap());
    for at in 0..4 {
        let answer = fleet.ask(at, &job);
        let json = answer.json();
        assert_eq!(
            (answer.status, &json["ran"]),
            (409, &"maybe".into()),
            "{json}"
        );
    }
    assert_eq!(cluster.runs("visit-9"), 1);
}

/// One replica of each shard answers for another request; no such answer is passed on.
#[test]
fn an_answer_to_another_request_is_never_passed_on() {
    let cluster = cluster();
    let fleet = start(&cluster);
    let first = cluster.servers.iter().step_by(REPLICAS);
    first.for_each(|server| server.configure(|behaviour| behaviour.wrong_request_id = true));
    let wrong = cluster
        .servers
        .iter()
        .step_by(REPLICAS)
        .map(|server| server.name.clone());
    let wrong = wrong.collect::<Vec<_>>();
    for turn in 0..20 {
        let json = fleet.ask(turn % 5, &get("/desk-gate/x")).json();
        let results = json["results"].as_object().cloned().unwrap_or_default();
        let from = results
            .values()
            .filter_map(|result| result["from"].as_str());
        assert!(
            from.into_iter().all(|name| wrong.iter().all(|w| w != name)),
            "{json}"
        );
    }
}
