//! Load patterns replayed against the gateway.

use std::collections::BTreeSet;
use std::sync::Arc;

use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::answer::Report;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::name::Name;

use crate::check;
use crate::model::Fault;
use crate::model::Simulation;

const OBJECTIVE: Span = Span::from_ms(110);

const INTERVAL: Span = Span::from_ms(20);

/// A simulation whose gateway has measured the latencies of the replicas.
fn warmed_up(shards: usize) -> Simulation {
    let mut simulation = Simulation::new(shards);
    simulation.load(1_000_000, 60, "all", INTERVAL);
    simulation.run(Span::from_secs(3));
    simulation.answers.clear();
    simulation.runs.clear();
    simulation
}

#[test]
fn requests_are_complete_without_faults() {
    let mut simulation = Simulation::new(20);
    simulation.load(1, 100, "all", INTERVAL);
    simulation.run(Span::from_secs(4));
    assert_eq!(simulation.complete(OBJECTIVE), 100);
}

/// Pattern: a replica stops answering for a while, as in a garbage collection pause.
#[test]
fn an_unresponsive_replica_is_hedged_within_the_objective() {
    let mut simulation = warmed_up(20);
    simulation.set_fault(3, 0, Fault::Unresponsive);
    simulation.load(1, 50, "all", INTERVAL);
    simulation.run(Span::from_secs(3));
    assert_eq!(simulation.complete(OBJECTIVE), 50);
}

/// Pattern: all replicas of one shard are down.
#[test]
fn a_down_shard_does_not_delay_answers() {
    let mut simulation = warmed_up(20);
    simulation.set_fault(3, 0, Fault::Refusing);
    simulation.set_fault(3, 1, Fault::Refusing);
    simulation.load(1, 100, "all", INTERVAL);
    simulation.run(Span::from_secs(4));
    assert_eq!(simulation.merged(OBJECTIVE), 100);
    let quick = simulation.merged(Span::from_ms(60));
    assert!(quick >= 95, "{quick} of 100 within 60 ms");
}

/// Pattern: both replicas of a few shards are many times slower.
#[test]
fn slow_shards_are_left_out_within_the_objective() {
    let mut simulation = warmed_up(20);
    for shard in 0..4 {
        simulation.set_fault(shard, 0, Fault::Slow(20));
        simulation.set_fault(shard, 1, Fault::Slow(20));
    }
    simulation.load(1, 100, "all", INTERVAL);
    simulation.run(Span::from_secs(6));
    assert_eq!(simulation.merged(OBJECTIVE), 100);
}

/// Pattern: more shards are down than a success may lack, and come back later.
#[test]
fn needed_parts_are_retried_until_the_deadline() {
    let mut simulation = warmed_up(8);
    for shard in 0..3 {
        simulation.set_fault(shard, 0, Fault::Refusing);
        simulation.set_fault(shard, 1, Fault::Refusing);
    }
    simulation.request(1, "all", Span::ZERO);
    simulation.run(Span::from_ms(200));
    assert!(simulation.answers.is_empty());
    for shard in 0..3 {
        simulation.set_fault(shard, 0, Fault::None);
        simulation.set_fault(shard, 1, Fault::None);
    }
    simulation.run(Span::from_secs(1));
    assert_eq!(simulation.merged(Span::from_ms(800)), 1);
}

/// Pattern: this host is cut off from replicas that other hosts reach.
#[test]
fn a_cut_off_host_refuses_at_once() {
    let mut simulation = warmed_up(8);
    for shard in 0..3 {
        simulation.set_fault(shard, 0, Fault::Refusing);
        simulation.set_fault(shard, 1, Fault::Refusing);
    }
    simulation.load(1, 3, "all", Span::from_ms(1));
    simulation.run(Span::from_ms(20));
    let sent = simulation.sent;
    let request = wagtailbeam_decision::gateway::Request {
        host: "desk.example".into(),
        path: "/all/x".into(),
        catalog_confirmed: true,
        others_healthier: true,
        ..wagtailbeam_decision::gateway::Request::default()
    };
    simulation.handle(Event::Request(99, request));
    let (answer, _) = &simulation.answers[&99];
    assert!(matches!(answer, Answer::Refused(Refusal::NotRun, Some(_))));
    assert_eq!(simulation.sent, sent);
}

/// Guards against requests that take the whole of their time again after they have waited for their
/// admission.
#[test]
fn the_time_waited_counts_against_the_deadline() {
    let mut simulation = warmed_up(8);
    for shard in 0..8 {
        simulation.set_fault(shard, 0, Fault::Unresponsive);
        simulation.set_fault(shard, 1, Fault::Unresponsive);
    }
    let request = wagtailbeam_decision::gateway::Request {
        host: "desk.example".into(),
        path: "/all/x".into(),
        left: Some(Span::from_ms(300)),
        catalog_confirmed: true,
        waited: Span::from_ms(100),
        ..wagtailbeam_decision::gateway::Request::default()
    };
    simulation.handle(Event::Request(99, request));
    simulation.run(Span::from_ms(199));
    assert!(!simulation.answers.contains_key(&99));
    simulation.run(Span::from_ms(2));
    assert!(simulation.answers.contains_key(&99));
    assert!(simulation.reports[&99].took >= Span::from_ms(300));
}

/// Pattern: a route still names a service whose replicas have all left the list. This
/// must not count as a sign that this host is cut off.
#[test]
fn a_service_without_listed_replicas_does_not_count_as_cut_off() {
    let mut simulation = warmed_up(8);
    for shard in 0..3 {
        simulation.set_fault(shard, 0, Fault::Refusing);
        simulation.set_fault(shard, 1, Fault::Refusing);
    }
    simulation.load(1, 3, "once", Span::from_ms(1));
    simulation.run(Span::from_ms(20));
    assert!(simulation.reports.values().any(Report::is_cut_off));
    simulation.reports.clear();
    let now = simulation.now;
    simulation.handle(Event::Fleet(Arc::default(), now));
    simulation.load(10, 3, "once", Span::from_ms(1));
    simulation.run(Span::from_ms(20));
    assert_eq!(simulation.reports.len(), 3);
    assert!(!simulation.reports.values().any(Report::is_cut_off));
}

#[test]
fn a_shed_request_is_sent_to_the_other_replica() {
    let mut simulation = warmed_up(4);
    simulation.set_fault(0, 0, Fault::Sheds);
    simulation.load(1, 40, "once", INTERVAL);
    simulation.run(Span::from_secs(2));
    let relayed = simulation.answers.values();
    let relayed = relayed.filter(|(answer, _)| matches!(answer, Answer::Relay(_)));
    assert_eq!(relayed.count(), 40);
}

#[test]
fn a_non_idempotent_request_is_not_resent_after_a_lost_answer() {
    let mut simulation = warmed_up(4);
    simulation.set_fault(0, 0, Fault::LosesAnswers);
    simulation.set_fault(0, 1, Fault::LosesAnswers);
    simulation.request(1, "once", Span::ZERO);
    simulation.run(Span::from_secs(1));
    assert_eq!(simulation.runs[&1], 1);
    let (answer, _) = &simulation.answers[&1];
    assert_eq!(*answer, Answer::Refused(Refusal::Failed, None));
}

/// Guards against a refused connection that makes the gateway forget an earlier run on the
/// same replica.
#[test]
fn a_request_that_ran_is_not_reported_as_not_run_after_refused_connections() {
    let mut simulation = Simulation::new(1);
    for index in 0..2 {
        simulation.set_fault(0, index, Fault::LosesAnswers);
    }
    simulation.request(1, "all", Span::ZERO);
    simulation.run(Span::from_us(34_500));
    for index in 0..2 {
        simulation.set_fault(0, index, Fault::Refusing);
    }
    simulation.run(Span::from_secs(1));
    assert_eq!(simulation.runs[&1], 2);
    let (answer, _) = &simulation.answers[&1];
    let not_run = matches!(answer, Answer::Refused(Refusal::NotRun, _));
    assert!(!not_run, "{answer:?}");
}

#[test]
fn calls_of_a_disconnected_caller_are_withdrawn() {
    let mut simulation = warmed_up(20);
    simulation.request(1, "all", Span::ZERO);
    simulation.run(Span::from_ms(2));
    let before = simulation.withdrawn;
    simulation.handle(Event::Abandoned(1));
    assert_eq!(simulation.withdrawn - before, 20);
    assert_eq!(simulation.gateway.active_calls(), 0);
}

#[test]
fn a_closed_failure_domain_receives_no_calls() {
    let mut simulation = warmed_up(4);
    simulation.handle(Event::DomainsClosed(BTreeSet::from([Name::from("west")])));
    (0..4).for_each(|shard| simulation.set_fault(shard, 1, Fault::LosesAnswers));
    simulation.load(1, 20, "all", INTERVAL);
    simulation.run(Span::from_secs(2));
    assert_eq!(simulation.complete(OBJECTIVE), 20);
}

#[test]
fn an_unknown_path_is_refused_only_with_a_confirmed_catalog() {
    let mut simulation = warmed_up(2);
    let request = |catalog_confirmed| wagtailbeam_decision::gateway::Request {
        host: "desk.example".into(),
        path: "/none/".into(),
        catalog_confirmed,
        ..wagtailbeam_decision::gateway::Request::default()
    };
    simulation.handle(Event::Request(1, request(true)));
    simulation.handle(Event::Request(2, request(false)));
    let refusal = |id| match simulation.answers[&id].0 {
        Answer::Refused(refusal, _) => refusal,
        _ => panic!("request {id} was not refused"),
    };
    assert_eq!(refusal(1), Refusal::NoRoute);
    assert_eq!(refusal(2), Refusal::NotRun);
}

/// For any replica faults: each request is answered once and by its deadline, a
/// non-idempotent request runs at most once, and "not run" is reported only if nothing
/// ran.
#[test]
fn answers_are_timely_and_correct_under_any_replica_faults() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut simulation = Simulation::new(6);
        let mut id = 0;
        for (shard, kind, wait) in steps {
            let fault = match kind % 9 {
                0 => Fault::Slow(u64::from(wait) % 30 + 1),
                1 => Fault::Unresponsive,
                2 => Fault::Refusing,
                3 => Fault::Sheds,
                4 => Fault::LosesAnswers,
                5 => Fault::Fails,
                _ => Fault::None,
            };
            simulation.set_fault(usize::from(shard) % 6, shard / 128, fault);
            for route in ["all", "once"] {
                id += 1;
                simulation.request(id, route, Span::ZERO);
            }
            simulation.run(Span::from_ms(u64::from(wait) % 60));
        }
        simulation.run(Span::from_secs(2));
        let timely = |(_, took): &(Answer, Span)| *took <= Span::from_ms(801);
        let true_refusal = |id: &u64, answer: &Answer| {
            let refused = matches!(answer, Answer::Refused(Refusal::NotRun, _));
            !refused || !simulation.runs.contains_key(id)
        };
        let once = (1..=id).filter(|id| id % 2 == 0);
        simulation.answers.len() as u64 == id
            && simulation.answers.values().all(timely)
            && simulation
                .answers
                .iter()
                .all(|(id, (answer, _))| true_refusal(id, answer))
            && once
                .into_iter()
                .all(|id| simulation.runs.get(&id).is_none_or(|runs| *runs <= 1))
    }
    check(property as fn(Vec<(u8, u8, u8)>) -> bool, 200, 60);
}
