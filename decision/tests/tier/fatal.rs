//! Requests that end each server that begins to run them, and requests that only ran where
//! servers ended.

use std::collections::BTreeSet;

use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;

use crate::cluster::Cluster;
use crate::model::Fault;
use crate::model::Simulation;

/// Time after the third server ended within which all hosts must know the request.
const CONTACT: Span = Span::from_secs(4);

/// Most repeats that may still reach servers after that.
const LATE_REPEATS_MAX: usize = 3;

/// Number of repeats that ran on servers later than [`CONTACT`] after the third one ended.
fn late_repeats(ended: &[(Time, u64)]) -> usize {
    let mut times = ended.iter().map(|(at, _)| *at).collect::<Vec<_>>();
    times.sort_unstable();
    let Some(third) = times.get(2) else {
        return 0;
    };
    let known = third.after(CONTACT);
    let late = ended.iter().filter(|(at, _)| *at > known);
    late.map(|(_, request)| request)
        .collect::<BTreeSet<_>>()
        .len()
}

/// Sends a request that ends its servers once a second, for 40 seconds, and returns how many
/// repeats reached servers too late.
fn repeat_fatal_request(route: &str) -> usize {
    let mut simulation = Simulation::new(20);
    simulation.load(1_000_000, 60, "all", Span::from_ms(20));
    simulation.run(Span::from_secs(3));
    simulation.fatal.extend(1..=40);
    simulation.load(1, 40, route, Span::from_secs(1));
    simulation.run(Span::from_secs(45));
    late_repeats(&simulation.ended)
}

/// Guards against a gather that ends a server of each shard with each repeat.
#[test]
fn a_gather_that_ends_its_servers_is_refused_after_the_third() {
    let late = repeat_fatal_request("all");
    assert!(late <= LATE_REPEATS_MAX, "{late} repeats reached servers");
}

/// Guards against a request of which each repeat may run once, and ends one more server.
#[test]
fn a_request_that_runs_once_and_ends_its_server_is_refused_after_the_third() {
    let late = repeat_fatal_request("once");
    assert!(late <= LATE_REPEATS_MAX, "{late} repeats reached servers");
}

/// Guards against hosts of which each one recognizes the request only for itself, and
/// against branches that each end servers of their own.
#[test]
fn a_branched_gather_that_ends_its_servers_is_refused_by_all_hosts_after_the_third() {
    let mut cluster = Cluster::new(8, 1);
    cluster.fatal.extend(1..=40);
    for id in 1..=40 {
        cluster.request(id as usize % 8, id, Span::from_secs(id));
    }
    cluster.run(Span::from_secs(45));
    let late = late_repeats(&cluster.ended);
    assert!(late <= LATE_REPEATS_MAX, "{late} repeats reached servers");
    assert!(cluster.ended.len() >= 3);
    assert!(cluster.replicas_max() <= 2, "{}", cluster.replicas_max());
    let refused = cluster.answers.values();
    let refused = refused.filter(|(answer, _)| matches!(answer, Answer::Refused(..)));
    assert_eq!(refused.count(), 40);
}

/// Guards against a refusal that promises "not run" although servers ended under the request,
/// and against one without a time to come back.
#[test]
fn a_quarantined_request_is_refused_at_once_with_a_time_to_come_back() {
    let mut simulation = Simulation::new(20);
    simulation.fatal.extend(1..=40);
    simulation.load(1, 40, "all", Span::from_secs(1));
    simulation.run(Span::from_secs(45));
    let ran = simulation.ended.iter().map(|(_, request)| *request);
    let ran = ran.collect::<BTreeSet<_>>();
    for (id, (answer, took)) in &simulation.answers {
        match answer {
            Answer::Refused(Refusal::Quarantined, wait) => {
                assert!(!ran.contains(id), "request {id} ran");
                assert!(wait.is_some_and(|wait| wait > Span::ZERO));
                assert_eq!(*took, Span::ZERO);
            }
            Answer::Refused(Refusal::Failed | Refusal::Timeout, _) => {
                assert!(ran.contains(id), "request {id} did not run");
            }
            other => panic!("request {id}: {other:?}"),
        }
    }
}

/// Servers of a request that ran on them end for another reason, in series: those of three
/// shards at a time, while it runs. The request must be served each time it comes.
#[test]
fn a_request_that_ran_where_servers_ended_is_served() {
    let mut simulation = Simulation::new(20);
    simulation.load(1_000_000, 60, "all", Span::from_ms(20));
    simulation.run(Span::from_secs(3));
    simulation.answers.clear();
    for turn in 0..6 {
        simulation.request(turn, "all", Span::ZERO);
        simulation.run(Span::from_ms(8));
        for shard in [3 * turn, 3 * turn + 1, 3 * turn + 2] {
            simulation.end_servers(shard as usize % 20);
        }
        simulation.run(Span::from_secs(4));
        simulation.request(100 + turn, "all", Span::ZERO);
        simulation.run(Span::from_secs(1));
    }
    assert_eq!(simulation.merged(Span::from_ms(800)), 12);
    let complete = (0..6).filter(|turn| {
        let answer = &simulation.answers[&(100 + turn)].0;
        matches!(answer, Answer::Merged { missing: 0, .. })
    });
    assert_eq!(complete.count(), 6);
}

/// The same for a service whose requests may run once: each repeat is sent to a server.
#[test]
fn a_request_that_runs_once_where_servers_ended_is_served() {
    let mut simulation = Simulation::new(2);
    for turn in 0..6 {
        simulation.request(turn, "once", Span::ZERO);
        simulation.run(Span::from_ms(8));
        simulation.end_servers(0);
        simulation.run(Span::from_secs(4));
        simulation.request(100 + turn, "once", Span::ZERO);
        simulation.run(Span::from_secs(1));
        let answer = &simulation.answers[&(100 + turn)].0;
        assert!(matches!(answer, Answer::Relay(_)), "{turn}: {answer:?}");
    }
}

/// Guards against taking a lost answer for a server that ended: the servers go on.
#[test]
fn a_request_whose_answers_are_lost_is_not_quarantined() {
    let mut simulation = Simulation::new(4);
    for shard in 0..4 {
        simulation.set_fault(shard, 0, Fault::LosesAnswers);
        simulation.set_fault(shard, 1, Fault::LosesAnswers);
    }
    simulation.load(1, 20, "all", Span::from_ms(300));
    simulation.load(101, 20, "once", Span::from_ms(300));
    simulation.run(Span::from_secs(8));
    assert!(simulation.gateway.ledger().is_empty());
    for shard in 0..4 {
        simulation.set_fault(shard, 0, Fault::None);
        simulation.set_fault(shard, 1, Fault::None);
    }
    simulation.run(Span::from_secs(2));
    simulation.request(900, "all", Span::ZERO);
    simulation.run(Span::from_secs(1));
    let answer = &simulation.answers[&900].0;
    assert!(
        matches!(answer, Answer::Merged { missing: 0, .. }),
        "{answer:?}"
    );
}
