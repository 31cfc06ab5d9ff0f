//! Replicas that name a limit on the requests that they take from all hosts together.

use std::net::SocketAddr;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::fleet::Instance;
use wagtailbeam_decision::quota::Ledger;
use wagtailbeam_decision::quota::Rate;
use wagtailbeam_decision::quota::Sharer;
use wagtailbeam_decision::quota::Statement;
use wagtailbeam_decision::quota::divide;

use crate::check;
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

/// Guards against hosts that start without the limits that others know, or with a share saved up.
#[test]
fn hosts_that_are_killed_and_started_keep_limits() {
    let mut hosts = Hosts::new(8, 6, 3);
    hosts.load("browse", 60, Span::from_secs(26));
    hosts.load("fetch", 20, Span::from_secs(26));
    hosts.run(Span::from_secs(2));
    for shard in 0..6 {
        hosts.limit(replica(&format!("shard-{shard}"), 1), Some(9.0));
    }
    hosts.limit(replica("wallet", 2), Some(1.0));
    for turn in 0..12 {
        hosts.run(Span::from_secs(1));
        hosts.kill(turn % 8);
        hosts.run(Span::from_secs(1));
        hosts.start(turn % 8);
    }
    assert_eq!(hosts.excess(), 0, "requests beyond the limits");
}

/// Guards against limits that outlast what replicas say, with hosts that send nothing themselves.
#[test]
fn a_limit_that_is_taken_back_is_forgotten_by_all_hosts() {
    let mut hosts = Hosts::new(8, 6, 4);
    hosts.load("browse", 40, Span::from_secs(12));
    let limited = replica("shard-2", 0);
    hosts.limit(limited, Some(2.0));
    hosts.run(Span::from_secs(6));
    assert_eq!(hosts.limited(), [1; 8]);
    hosts.limit(limited, None);
    hosts.run(Span::from_secs(6));
    assert_eq!(hosts.limited(), [0; 8]);
    let since = Time::from_us(hosts.now.as_us() - 3_000_000);
    let late = hosts.arrivals[&limited].iter();
    let late = late.filter(|at| **at > since);
    assert!(late.count() > 30);
}

/// Guards against a replica that gets no request any more and so can't take its limit back.
#[test]
fn a_limit_of_zero_is_forgotten_when_it_is_taken_back() {
    let mut hosts = Hosts::new(12, 2, 5);
    hosts.load("fetch", 20, Span::from_secs(40));
    for index in 0..3 {
        hosts.limit(replica("wallet", index), Some(0.0));
    }
    hosts.run(Span::from_secs(20));
    assert_eq!(hosts.excess(), 0, "requests beyond the limits");
    for index in 0..3 {
        hosts.limit(replica("wallet", index), None);
    }
    hosts.run(Span::from_secs(20));
    assert_eq!(hosts.limited(), [0; 12]);
}

/// All replicas name limits below what callers ask for. Guards against requests that wait for
/// room in vain, against urgent ones that are refused beside others, and against limits of which
/// only a part is used.
#[test]
fn what_does_not_fit_is_refused_at_once_the_least_urgent_first() {
    let mut hosts = Hosts::new(8, 6, 6);
    hosts.load("browse", 60, Span::from_secs(24));
    hosts.load("quick", 20, Span::from_secs(24));
    for shard in 0..6 {
        for index in 0..2 {
            hosts.limit(replica(&format!("shard-{shard}"), index), Some(25.0));
        }
    }
    hosts.run(Span::from_secs(25));
    assert_eq!(hosts.excess(), 0, "requests beyond the limits");
    let (quick, browse) = (hosts.served("quick"), hosts.served("browse"));
    assert!(quick > 0.95, "{quick} of the urgent requests served");
    assert!(browse > 0.35, "{browse} of the others served");
    let refusals = hosts.refusals().collect::<Vec<_>>();
    let at_once = refusals.iter().filter(|(took, _)| *took == Span::ZERO);
    assert!(at_once.count() * 10 > refusals.len() * 9);
    assert!(
        refusals
            .iter()
            .all(|(_, wait)| wait.is_some_and(|wait| wait > Span::ZERO))
    );
}

/// Guards against a difference to callers where no replica names a limit.
#[test]
fn without_limits_all_hosts_serve_all_requests() {
    let mut hosts = Hosts::new(8, 6, 7);
    for route in ["browse", "quick", "fetch", "job"] {
        hosts.load(route, 20, Span::from_secs(10));
    }
    hosts.run(Span::from_secs(12));
    assert_eq!(hosts.answers.len(), 800);
    assert_eq!(hosts.refusals().count(), 0);
}

fn host(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, at], 70))
}

/// Guards against shares whose rates, or saved-up requests, add up to more than a limit tolerates
/// in a window of four seconds.
#[test]
fn shares_of_all_hosts_add_up_to_the_limit() {
    let property = |limit: u16, weights: Vec<u8>| {
        let limit = f64::from(limit % 2_000) / 20.0;
        let weights = weights.into_iter().zip(0..);
        let sharers = weights.map(|(weight, at)| Sharer {
            host: host(at),
            weight: f64::from(weight) + 0.5,
        });
        let sharers = sharers.collect::<Vec<_>>();
        let rate = Rate::from_per_second(limit).expect("a rate");
        let shares = sharers
            .iter()
            .map(|sharer| divide(rate, "r-1", &sharers, sharer.host));
        let shares = shares.collect::<Vec<_>>();
        let rates = shares.iter().map(|share| share.rate).sum::<f64>();
        let bursts = shares.iter().map(|share| share.burst).sum::<f64>();
        let whole = limit.max(0.25);
        let divided = sharers.is_empty() || (rates - whole).abs() < 0.002;
        divided && 4.0 * rates + bursts <= 6.0 * limit + 5.0
    };
    check(property as fn(u16, Vec<u8>) -> bool, 500, 100);
}

/// Guards against a limit that an older report brings back.
#[test]
fn the_newest_statement_of_a_replica_counts() {
    let instance = Instance {
        id: "r-1".into(),
        born: 0,
    };
    let at = |ms: u64| Time::from_us(ms * 1_000);
    let limited = Statement::Limited(Rate::from_per_second(2.5).expect("a rate"));
    let mut first = Ledger::default();
    assert!(first.hear(at(1_000), &instance, limited));
    let mut second = Ledger::default();
    second.merge(at(1_500), first.report(at(1_500), 0).records);
    assert_eq!(second.digest(), first.digest());
    assert!(second.hear(at(2_000), &instance, Statement::Unlimited));
    let older = first.report(at(2_100), second.digest());
    assert!(second.merge(at(2_100), older.records).is_empty());
    assert_eq!(second.limit(&instance), None);
    first.merge(at(2_200), second.report(at(2_200), first.digest()).records);
    assert_eq!(first.limit(&instance), None);
    assert_eq!((first.digest(), second.digest()), (0, 0));
}
