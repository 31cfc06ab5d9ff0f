//! Daemons that are cut off from all backend servers, while callers and the other daemons reach
//! them.

use std::time::Duration;
use std::time::Instant;

use wagtailbeam_fakes::backend::Behavior;
use wagtailbeam_fakes::backend::Cluster;
use wagtailbeam_fakes::caller;
use wagtailbeam_fakes::fleet;

use crate::harness::Harness;

const SHARDS: usize = 8;
const REPLICAS: usize = 2;
const CALLER: &str = "airline-one";

/// Time after a cut from which callers must be served.
const CONTACT: Duration = Duration::from_secs(4);

/// Makes all servers reset the connections of these daemons.
fn cut_off(cluster: &Cluster, harness: &Harness, daemons: &[usize]) {
    let pids = daemons.iter().filter_map(|daemon| harness.pid(*daemon));
    let pids = pids.collect::<Vec<_>>();
    for server in &cluster.servers {
        server.configure(|behavior| behavior.cut_off.clone_from(&pids));
    }
}

fn cluster() -> Cluster {
    let names = (0..SHARDS * REPLICAS).map(|index| format!("gate-{index:02}"));
    Cluster::start(&names.collect::<Vec<_>>(), &Behavior::default(), 7)
}

/// Guards against owners that keep their replicas although they can't reach them: queries and jobs
/// at all daemons fail for them.
#[test]
fn callers_are_served_while_most_daemons_of_a_group_with_a_settings_file_are_cut_off() {
    let cluster = cluster();
    let harness = Harness::start_serving(&cluster, REPLICAS, CALLER);
    let query = caller::get(&fleet::caller_key(CALLER), "/desk-gate/x");
    let traffic = harness.start_traffic(&query);
    std::thread::sleep(Duration::from_secs(1));
    cut_off(&cluster, &harness, &[0, 2, 4]);
    std::thread::sleep(CONTACT);
    let mut complete = 0;
    let mut failed = Vec::new();
    let until = Instant::now() + Duration::from_secs(3);
    for turn in 0..60 {
        let answer = harness.send(turn % 5, &query);
        match answer.coverage() == (SHARDS as u64, SHARDS as u64) {
            true => complete += 1,
            false => failed.push((turn, answer.status, answer.json()["missing"].to_string())),
        }
        let job = caller::post(
            &fleet::caller_key(CALLER),
            "/desk-gate/entries",
            &format!("visit-{turn}"),
            "{}",
        );
        let answer = harness.send(turn % 5, &job);
        match answer.status {
            200 => complete += 1,
            status => failed.push((turn, status, answer.json()["title"].to_string())),
        }
        assert!(cluster.runs(&format!("visit-{turn}")) <= 1);
        std::thread::sleep(until.saturating_duration_since(Instant::now()) / (60 - turn as u32));
    }
    assert!(
        complete >= 110,
        "{complete} of 120 served: {failed:?}: {}",
        harness.logs()
    );
    cut_off(&cluster, &harness, &[]);
    harness.wait_ready(CALLER, "/desk-gate/x", SHARDS as u64);
    assert!(traffic.stop().answered > 0);
}

/// Guards against a group in which all daemons give their replicas up, to nobody, because none
/// reaches the servers.
#[test]
fn a_group_cut_off_as_a_whole_serves_again_when_its_links_are_back() {
    let cluster = cluster();
    let harness = Harness::start_serving(&cluster, REPLICAS, CALLER);
    let query = caller::get(&fleet::caller_key(CALLER), "/desk-gate/x");
    let traffic = harness.start_traffic(&query);
    cut_off(&cluster, &harness, &[0, 1, 2, 3, 4]);
    std::thread::sleep(CONTACT);
    cut_off(&cluster, &harness, &[]);
    std::thread::sleep(CONTACT);
    for daemon in 0..5 {
        let answer = harness.send(daemon, &query);
        assert_eq!(answer.coverage(), (SHARDS as u64, SHARDS as u64));
    }
    assert!(traffic.stop().answered > 0);
}
