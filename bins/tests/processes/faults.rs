//! End-to-end tests under failures of daemons, voters and backend servers.

use wagtailbeam_fakes::backend::Behavior;
use wagtailbeam_fakes::backend::Cluster;
use wagtailbeam_fakes::caller;
use wagtailbeam_fakes::fleet;

use crate::harness::Harness;

const SHARDS: usize = 8;
const REPLICAS: usize = 2;
const CALLER: &str = "airline-one";

fn cluster() -> Cluster {
    let names = (0..SHARDS * REPLICAS).map(|index| format!("gate-{index:02}"));
    Cluster::start(&names.collect::<Vec<_>>(), &Behavior::default(), 7)
}

fn operators_file(cluster: &Cluster, version: u64, out: &[&str]) -> String {
    let service = fleet::Service::of(
        "desk-gate",
        "slots = 2\nconnections = 25\nwarmup = 0s\ndeadline = 2s\n",
        cluster,
        REPLICAS,
    );
    fleet::manifest(version, &[service], &[CALLER], out)
}

/// Guards against lost records: each voter in turn is killed and restarted, and the
/// others must still have the job and the accepted file. The job must not run a second
/// time.
#[test]
fn killing_voters_in_turn_loses_no_job_and_no_file() {
    let cluster = cluster();
    let mut harness = Harness::start(5, 3);
    let path = harness.write_file("first.ini", &operators_file(&cluster, 1, &[]));
    assert_eq!(harness.run_client(0, &["apply", &path]).code, 0);
    harness.wait_ready(CALLER, "/desk-gate/x", SHARDS as u64);
    let job = caller::post(
        &fleet::caller_key(CALLER),
        "/desk-gate/entries",
        "visit-1",
        "{}",
    );
    assert_eq!(harness.send(4, &job).status, 200);
    for voter in 0..3 {
        harness.kill(voter).unwrap();
        let again = harness.send(3, &job);
        assert_eq!(
            again.header("wagtailbeam-replayed"),
            Some("yes"),
            "voter {voter} down"
        );
        harness.restart(voter).unwrap();
        harness.wait_ready(CALLER, "/desk-gate/x", SHARDS as u64);
    }
    let again = harness.run_client(1, &["apply", &path]);
    assert!(
        again.stdout.contains("already accepted"),
        "{}",
        again.stdout
    );
    assert_eq!(cluster.runs("visit-1"), 1);
}

fn get(path: &str) -> caller::Request {
    caller::get(&fleet::caller_key(CALLER), path)
}

fn start_with_file(cluster: &Cluster) -> Harness {
    let harness = Harness::start(5, 3);
    let path = harness.write_file("first.ini", &operators_file(cluster, 1, &[]));
    assert_eq!(harness.run_client(0, &["apply", &path]).code, 0);
    harness.wait_ready(CALLER, "/desk-gate/x", SHARDS as u64);
    harness
}

/// A request that crashes servers is sent many times beside other traffic. It may crash
/// each shard's first server and one canary; it must then be refused and must not disturb
/// others.
#[test]
fn a_request_that_crashes_servers_fails_only_its_first_run_and_one_canary() {
    let cluster = cluster();
    let harness = start_with_file(&cluster);
    let traffic = harness.start_traffic(&get("/desk-gate/harmless"));
    for turn in 0..100 {
        let answer = harness.send(turn % harness.hosts.len(), &get("/desk-gate/poison"));
        assert_ne!(answer.status, 200, "{:?}", answer.json());
        assert!(
            answer.header("retry-after").is_some(),
            "{:?}",
            answer.json()
        );
    }
    let last = harness.send(0, &get("/desk-gate/poison"));
    assert_eq!(last.json()["title"], "stops-servers");
    let crashes = cluster.crashes();
    assert!(crashes <= SHARDS as u32 + 1, "{crashes} crashes");
    harness.wait_ready(CALLER, "/desk-gate/x", SHARDS as u64);
    let counts = traffic.stop();
    assert!(counts.answered > 0, "{counts:?}");
    assert_eq!(counts.cut_off, 0, "{counts:?}");
    assert_eq!(harness.send(1, &get("/desk-gate/harmless")).status, 200);
}

/// Sends a job that crashes servers again and again, with a key of its own each time, at each daemon
/// in turn.
fn send_fatal_jobs(harness: &Harness) {
    let key = fleet::caller_key(CALLER);
    for turn in 0..40 {
        let job = caller::post(&key, "/desk-gate/poison", &format!("visit-{turn}"), "{}");
        let answer = harness.send(turn % harness.hosts.len(), &job);
        assert_ne!(answer.status, 200, "{:?}", answer.json());
    }
}

/// The same for a job, of which each repeat has a key of its own.
#[test]
fn a_job_that_crashes_servers_fails_only_its_first_run_and_one_canary() {
    let cluster = cluster();
    let harness = start_with_file(&cluster);
    send_fatal_jobs(&harness);
    let key = fleet::caller_key(CALLER);
    assert!(cluster.crashes() <= 2, "{} crashes", cluster.crashes());
    harness.wait_ready(CALLER, "/desk-gate/x", SHARDS as u64);
    let job = caller::post(&key, "/desk-gate/entries", "visit-harmless", "{}");
    let answer = harness.send(1, &job);
    assert_eq!(answer.status, 200, "{:?}", answer.json());
}

/// Guards against servers that are taken for running because their port outlives their
/// connections for a moment, as on a host whose processor is busy.
#[test]
fn a_job_that_crashes_servers_whose_ports_close_late_fails_only_its_first_run_and_one_canary() {
    let cluster = cluster();
    let late = std::time::Duration::from_millis(30);
    let servers = cluster.servers.iter();
    servers.for_each(|server| server.configure(|behavior| behavior.close_delay = late));
    let harness = start_with_file(&cluster);
    send_fatal_jobs(&harness);
    let key = fleet::caller_key(CALLER);
    assert!(cluster.crashes() <= 2, "{} crashes", cluster.crashes());
    let job = caller::post(&key, "/desk-gate/entries", "visit-harmless", "{}");
    let answer = harness.send(1, &job);
    assert_eq!(answer.status, 200, "{:?}", answer.json());
}

/// Guards against daemons that forget a quarantine when they are restarted in turn.
#[test]
fn a_quarantine_outlasts_a_restart_of_each_daemon_in_turn() {
    let cluster = cluster();
    let mut harness = start_with_file(&cluster);
    for turn in 0..10 {
        harness.send(turn % harness.hosts.len(), &get("/desk-gate/poison"));
    }
    let crashes = cluster.crashes();
    for daemon in 0..harness.hosts.len() {
        harness.kill(daemon).unwrap();
        harness.restart(daemon).unwrap();
        harness.wait_ready(CALLER, "/desk-gate/x", SHARDS as u64);
    }
    for daemon in 0..harness.hosts.len() {
        let answer = harness.send(daemon, &get("/desk-gate/poison"));
        assert_eq!(answer.json()["title"], "stops-servers");
    }
    assert_eq!(cluster.crashes(), crashes);
}

/// Guards against taking a lost answer for a server that ended: the servers go on running,
/// and the query must be served once answers arrive again.
#[test]
fn a_query_whose_answers_were_lost_is_served_afterwards() {
    let cluster = cluster();
    let harness = start_with_file(&cluster);
    let lose = |lost: bool| {
        let servers = cluster.servers.iter();
        servers.for_each(|server| server.configure(|behavior| behavior.lose_answers = lost));
    };
    lose(true);
    for turn in 0..10 {
        let answer = harness.send(turn % harness.hosts.len(), &get("/desk-gate/harmless"));
        assert_ne!(answer.status, 200, "{:?}", answer.json());
    }
    lose(false);
    harness.wait_ready(CALLER, "/desk-gate/x", SHARDS as u64);
    let answer = harness.send(0, &get("/desk-gate/harmless"));
    assert_eq!(answer.status, 200, "{:?}", answer.json());
}

/// Guards against daemons that act on an old file: a failure domain is taken out of
/// service while one daemon is frozen and another is down. Neither may send work to the
/// domain afterwards.
#[test]
fn a_domain_taken_out_of_service_gets_no_new_work() {
    let cluster = cluster();
    let mut harness = start_with_file(&cluster);
    let traffic = harness.start_traffic(&get("/desk-gate/x"));
    harness.signal(4, "-STOP").unwrap();
    harness.kill(3).unwrap();
    let path = harness.write_file("second.ini", &operators_file(&cluster, 2, &["zone-b"]));
    assert_eq!(harness.run_client(0, &["apply", &path]).code, 0);
    std::thread::sleep(std::time::Duration::from_secs(2));
    let zone_b_servers = || {
        let all = cluster.servers.iter().enumerate();
        let in_zone_b =
            |index: usize| fleet::domain_of(index / REPLICAS, index % REPLICAS) == "zone-b";
        all.filter(move |(index, _)| in_zone_b(*index))
            .map(|(_, server)| server)
    };
    zone_b_servers().for_each(|server| server.reset_stats());
    harness.restart(3).unwrap();
    harness.signal(4, "-CONT").unwrap();
    for index in 0..200 {
        drop(harness.try_send(index % 5, &get("/desk-gate/x")));
    }
    // Daemons 1 and 4 are in zone-b themselves and so not ready.
    harness.wait_ready_at(&[0, 2, 3], CALLER, "/desk-gate/x", SHARDS as u64);
    traffic.stop();
    let requests = zone_b_servers()
        .map(|server| server.stats().requests)
        .sum::<u64>();
    assert_eq!(requests, 0);
}

/// Shards change their index version at different times, and some serve two versions. All
/// results of one answer must come from the same version.
#[test]
fn no_answer_mixes_index_versions() {
    let cluster = cluster();
    let harness = start_with_file(&cluster);
    let versions = [vec![1], vec![1, 2], vec![2], vec![2, 3], vec![1, 2]];
    for turn in 0..60 {
        for (index, server) in cluster.servers.iter().enumerate() {
            let indexes = versions[(index * 7 + turn) % versions.len()].clone();
            server.configure(|behavior| behavior.indexes = indexes);
        }
        let answer = harness.send(turn % 5, &get("/desk-gate/x"));
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

/// The daemon that took a job is killed while the job runs. The job may have run, so the
/// other daemons must not run it again; they must answer 409 and say that it may have run.
#[test]
fn a_job_whose_daemon_dies_runs_once() {
    let cluster = cluster();
    let mut harness = start_with_file(&cluster);
    let slow = std::time::Duration::from_millis(1_500);
    cluster
        .servers
        .iter()
        .for_each(|server| server.configure(|behavior| behavior.service_time = slow));
    let job = caller::post(
        &fleet::caller_key(CALLER),
        "/desk-gate/entries",
        "visit-9",
        "{}",
    );
    let (address, sent) = (harness.hosts[4].callers, job.clone());
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
    harness.kill(4).unwrap();
    assert!(caller.join().unwrap());
    for daemon in 0..4 {
        let answer = harness.send(daemon, &job);
        let json = answer.json();
        assert_eq!(
            (answer.status, &json["ran"]),
            (409, &"maybe".into()),
            "{json}"
        );
    }
    assert_eq!(cluster.runs("visit-9"), 1);
}

/// One replica of each shard answers with the identifier of another request. Such answers
/// must not reach the caller.
#[test]
fn an_answer_to_another_request_is_never_returned() {
    let cluster = cluster();
    let harness = start_with_file(&cluster);
    let first = cluster.servers.iter().step_by(REPLICAS);
    first.for_each(|server| server.configure(|behavior| behavior.wrong_request_id = true));
    let wrong = cluster
        .servers
        .iter()
        .step_by(REPLICAS)
        .map(|server| server.name.clone());
    let wrong = wrong.collect::<Vec<_>>();
    for turn in 0..20 {
        let json = harness.send(turn % 5, &get("/desk-gate/x")).json();
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
