//! Real processes under failure.

use wagtailbeam_fakes::backend::Behaviour;
use wagtailbeam_fakes::backend::Cluster;
use wagtailbeam_fakes::caller;
use wagtailbeam_fakes::fleet;

use crate::daemons::Fleet;

const SHARDS: usize = 8;
const REPLICAS: usize = 2;
const CALLER: &str = "airline-one";

fn cluster() -> Cluster {
    let names = (0..SHARDS * REPLICAS).map(|at| format!("gate-{at:02}"));
    Cluster::start(&names.collect::<Vec<_>>(), &Behaviour::default(), 7)
}

fn file(cluster: &Cluster, version: u64, out: &[&str]) -> String {
    let addresses = cluster
        .servers
        .iter()
        .map(|server| server.address)
        .collect::<Vec<_>>();
    let service = fleet::Service {
        name: "desk-gate".to_owned(),
        lines: "slots = 2\nconnections = 25\nwarmup = 0s\ndeadline = 2s\n".to_owned(),
        shards: addresses.chunks(REPLICAS).map(<[_]>::to_vec).collect(),
    };
    fleet::file(version, &[service], &[CALLER], out)
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
