//! Replicas that name a limit on the requests that they take from all hosts together.

use wagtailbeam_decision::clock::Span;

use crate::hosts::Hosts;
use crate::hosts::replica;

/// Guards against a limit that nobody keeps, or that each host keeps for itself alone.
#[test]
fn a_replica_that_names_a_limit_gets_no_more_from_all_hosts_together() {
    let mut hosts = Hosts::new(8, 6, 1);
    hosts.load("browse", 60, Span::from_secs(20));
    hosts.load("quick", 20, Span::from_secs(20));
    hosts.run(Span::from_secs(2));
    for shard in 0..3 {
        hosts.limit(replica(&format!("shard-{shard}"), 0), Some(12.0));
    }
    hosts.run(Span::from_secs(20));
    assert_eq!(hosts.excess(), 0, "requests beyond the limits");
}

/// Guards against a limit that is cut into parts of which each still allows one request.
#[test]
fn a_limit_smaller_than_the_number_of_hosts_is_kept() {
    let mut hosts = Hosts::new(12, 6, 2);
    hosts.load("fetch", 20, Span::from_secs(30));
    hosts.load("job", 4, Span::from_secs(30));
    hosts.run(Span::from_secs(2));
    hosts.limit(replica("wallet", 0), Some(1.1));
    hosts.limit(replica("wallet", 1), Some(0.0));
    hosts.run(Span::from_secs(30));
    assert_eq!(hosts.excess(), 0, "requests beyond the limits");
}
