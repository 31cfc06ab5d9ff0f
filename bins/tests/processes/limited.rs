//! Backend servers that name a limit on the requests that they take from all hosts together.

use std::time::Duration;
use std::time::Instant;

use wagtailbeam_fakes::backend::Behavior;
use wagtailbeam_fakes::backend::Cluster;
use wagtailbeam_fakes::backend::Server;
use wagtailbeam_fakes::caller;
use wagtailbeam_fakes::fleet;

use crate::harness::Harness;

const SHARDS: usize = 4;
const REPLICAS: usize = 2;
const CALLER: &str = "airline-one";

/// Time after a server first named its limit from which it is checked.
const CONTACT: Duration = Duration::from_secs(4);

/// Length of the windows in which requests are counted against a limit.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests in the window with most of them, among those that arrived from `from` on.
fn most_in_window(server: &Server, from: Instant) -> usize {
    let arrivals = server.stats().arrivals;
    let checked = arrivals.iter().filter(|at| **at >= from);
    let in_window = |first: &Instant| {
        let within = |at: &&Instant| *at >= first && at.duration_since(*first) < WINDOW;
        arrivals.iter().filter(within).count()
    };
    checked.map(in_window).max().unwrap_or_default()
}

/// Guards against a limit that only tiers with discovered hosts keep. Owners change meanwhile.
#[test]
fn a_server_that_names_a_limit_gets_no_more_from_a_group_with_a_settings_file() {
    let names = (0..SHARDS * REPLICAS).map(|index| format!("gate-{index:02}"));
    let cluster = Cluster::start(&names.collect::<Vec<_>>(), &Behavior::default(), 7);
    let mut harness = Harness::start_serving(&cluster, REPLICAS, CALLER);
    let limits = [(0, 5.0), (1, 5.0), (3, 0.5)];
    for (server, limit) in limits {
        cluster.servers[server].configure(|behavior| behavior.limit = Some(limit));
    }
    let named_at = Instant::now();
    let query = caller::get(&fleet::caller_key(CALLER), "/desk-gate/x");
    let traffic = harness.start_traffic(&query);
    std::thread::sleep(Duration::from_secs(5));
    harness.kill(4).unwrap();
    harness.restart(4).unwrap();
    std::thread::sleep(Duration::from_secs(7));
    let counts = traffic.stop();
    for (server, limit) in limits {
        let most = most_in_window(&cluster.servers[server], named_at + CONTACT);
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        assert!(most as f64 <= allowed, "{most} requests, {allowed} allowed");
    }
    assert!(counts.answered > 0, "{counts:?}");
}
