//! Backend servers that say that they are leaving, or that want no requests for a time.

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
const PATH: &str = "/desk-gate/x";

/// Time after an answer in which requests sent before may still arrive.
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// A group with a settings file in front of servers with this behavior.
fn start(behavior: &Behavior) -> (Cluster, Harness) {
    let names = (0..SHARDS * REPLICAS).map(|index| format!("gate-{index:02}"));
    let cluster = Cluster::start(&names.collect::<Vec<_>>(), behavior, 7);
    let harness = Harness::start_serving(&cluster, REPLICAS, CALLER);
    (cluster, harness)
}

/// Requests that arrived at a server from this time on.
fn arrivals_since(server: &Server, since: Instant) -> Vec<Instant> {
    let arrivals = server.stats().arrivals.into_iter();
    arrivals.filter(|at| *at >= since).collect()
}

/// Guards against an owner that tries a leaving server again, and against a server that is left out
/// after its process has started anew.
#[test]
fn a_server_that_is_leaving_gets_nothing_until_it_starts_again() {
    let behavior = Behavior {
        restart_delay: Duration::from_millis(1_500),
        ..Behavior::default()
    };
    let (cluster, harness) = start(&behavior);
    let traffic = harness.start_traffic(&caller::get(&fleet::caller_key(CALLER), PATH));
    let leaving = &cluster.servers[0];
    leaving.configure(|behavior| behavior.draining = true);
    std::thread::sleep(ON_THE_WAY);
    let since = Instant::now();
    std::thread::sleep(Duration::from_secs(7));
    assert_eq!(arrivals_since(leaving, since).len(), 0);
    leaving.crash();
    leaving.configure(|behavior| behavior.draining = false);
    std::thread::sleep(Duration::from_secs(5));
    let counts = traffic.stop();
    assert!(!arrivals_since(leaving, since).is_empty());
    assert_eq!((counts.partial, counts.refused, counts.cut_off), (0, 0, 0));
}

/// Guards against an owner that halves its rate at a server that wants nothing at all, and against
/// one that leaves it alone for longer than it asked.
#[test]
fn a_server_gets_no_requests_for_the_time_that_it_names() {
    let (cluster, harness) = start(&Behavior::default());
    let traffic = harness.start_traffic(&caller::get(&fleet::caller_key(CALLER), PATH));
    let wait = Duration::from_millis(2_500);
    let overloaded = &cluster.servers[0];
    let begun = Instant::now();
    overloaded.configure(|behavior| behavior.retry_after = Some(wait));
    std::thread::sleep(Duration::from_millis(1_500));
    overloaded.configure(|behavior| behavior.retry_after = None);
    std::thread::sleep(Duration::from_millis(3_000));
    let counts = traffic.stop();
    let arrivals = arrivals_since(overloaded, begun);
    // Requests that arrived before the change are still served, so the gap tells when it began.
    let gaps = arrivals.windows(2).map(|pair| pair[1] - pair[0]);
    let longest = gaps.max().unwrap_or_default();
    assert!(longest >= wait - Duration::from_millis(20), "{longest:?}");
    assert!(longest <= wait + ON_THE_WAY, "{longest:?}");
    assert_eq!((counts.partial, counts.cut_off), (0, 0), "{counts:?}");
}
