//! Load patterns replayed against the entry role.

use std::collections::BTreeSet;
use std::sync::Arc;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::gateway::Answer;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::gateway::Refusal;
use wagtailbeam_decision::gateway::Report;
use wagtailbeam_decision::name::Name;

use crate::check;
use crate::model::Ailment;
use crate::model::World;

const OBJECTIVE: Span = Span::from_ms(110);

const GAP: Span = Span::from_ms(20);

/// A world whose latencies are known to the gateway.
fn warm(shards: usize) -> World {
    let mut world = World::new(shards);
    world.load(1_000_000, 60, "all", GAP);
    world.run(Span::from_secs(3));
    world.answers.clear();
    world.runs.clear();
    world
}

#[test]
fn calm_requests_are_complete() {
    let mut world = World::new(20);
    world.load(1, 100, "all", GAP);
    world.run(Span::from_secs(4));
    assert_eq!(world.complete(OBJECTIVE), 100);
}

/// Pattern: a replica stops answering for a while, as in a collection pause.
#[test]
fn a_silent_replica_is_hedged_within_the_objective() {
    let mut world = warm(20);
    world.ail(3, 0, Ailment::Dark);
    world.load(1, 50, "all", GAP);
    world.run(Span::from_secs(3));
    assert_eq!(world.complete(OBJECTIVE), 50);
}

/// Pattern: one shard is gone altogether.
#[test]
fn a_lost_shard_costs_no_time_once_it_is_known() {
    let mut world = warm(20);
    world.ail(3, 0, Ailment::Down);
    world.ail(3, 1, Ailment::Down);
    world.load(1, 100, "all", GAP);
    world.run(Span::from_secs(4));
    assert_eq!(world.merged(OBJECTIVE), 100);
    let quick = world.merged(Span::from_ms(60));
    assert!(quick >= 95, "{quick} of 100 within 60 ms");
}

/// Pattern: both replicas of a few shards are many times slower.
#[test]
fn slow_shards_are_left_out_in_time() {
    let mut world = warm(20);
    for shard in 0..4 {
        world.ail(shard, 0, Ailment::Slow(20));
        world.ail(shard, 1, Ailment::Slow(20));
    }
    world.load(1, 100, "all", GAP);
    world.run(Span::from_secs(6));
    assert_eq!(world.merged(OBJECTIVE), 100);
}

/// Pattern: more shards are gone than a success may lack, and come back.
#[test]
fn needed_parts_are_tried_until_the_deadline() {
    let mut world = warm(8);
    for shard in 0..3 {
        world.ail(shard, 0, Ailment::Down);
        world.ail(shard, 1, Ailment::Down);
    }
    world.request(1, "all", Span::ZERO);
    world.run(Span::from_ms(200));
    assert!(world.answers.is_empty());
    for shard in 0..3 {
        world.ail(shard, 0, Ailment::None);
        world.ail(shard, 1, Ailment::None);
    }
    world.run(Span::from_secs(1));
    assert_eq!(world.merged(Span::from_ms(800)), 1);
}

/// Pattern: a host is cut off from replicas that other hosts reach.
#[test]
fn a_host_that_is_cut_off_refuses_at_once_what_it_can_not_send() {
    let mut world = warm(8);
    for shard in 0..3 {
        world.ail(shard, 0, Ailment::Down);
        world.ail(shard, 1, Ailment::Down);
    }
    world.load(1, 3, "all", Span::from_ms(1));
    world.run(Span::from_ms(20));
    let sent = world.sent;
    let request = wagtailbeam_decision::gateway::Request {
        host: "desk.example".into(),
        path: "/all/x".into(),
        left: None,
        catalog_confirmed: true,
        first_on_connection: false,
        others_healthier: true,
    };
    world.step(Event::Request(99, request));
    let (answer, _) = &world.answers[&99];
    assert!(matches!(answer, Answer::Refused(Refusal::NotRun, Some(_))));
    assert_eq!(world.sent, sent);
}

/// Pattern: a route still names a service whose replicas have all left the list.
/// That is no sign that this host is cut off.
#[test]
fn a_service_without_listed_replicas_is_told_from_one_that_is_cut_off() {
    let mut world = warm(8);
    for shard in 0..3 {
        world.ail(shard, 0, Ailment::Down);
        world.ail(shard, 1, Ailment::Down);
    }
    world.load(1, 3, "once", Span::from_ms(1));
    world.run(Span::from_ms(20));
    assert!(world.reports.values().any(Report::is_cut_off));
    world.reports.clear();
    let now = world.now;
    world.step(Event::Fleet(Arc::default(), now));
    world.load(10, 3, "once", Span::from_ms(1));
    world.run(Span::from_ms(20));
    assert_eq!(world.reports.len(), 3);
    assert!(!world.reports.values().any(Report::is_cut_off));
}

#[test]
fn a_shed_request_goes_to_the_other_replica() {
    let mut world = warm(4);
    world.ail(0, 0, Ailment::Sheds);
    world.load(1, 40, "once", GAP);
    world.run(Span::from_secs(2));
    let relayed = world.answers.values();
    let relayed = relayed.filter(|(answer, _)| matches!(answer, Answer::Relay(_)));
    assert_eq!(relayed.count(), 40);
}

#[test]
fn what_may_run_once_is_not_sent_again_after_a_lost_answer() {
    let mut world = warm(4);
    world.ail(0, 0, Ailment::Loses);
    world.ail(0, 1, Ailment::Loses);
    world.request(1, "once", Span::ZERO);
    world.run(Span::from_secs(1));
    assert_eq!(world.runs[&1], 1);
    let (answer, _) = &world.answers[&1];
    assert_eq!(*answer, Answer::Refused(Refusal::Failed, None));
}

#[test]
fn a_caller_that_leaves_has_its_calls_withdrawn() {
    let mut world = warm(20);
    world.request(1, "all", Span::ZERO);
    world.run(Span::from_ms(2));
    let before = world.withdrawn;
    world.step(Event::Abandoned(1));
    assert_eq!(world.withdrawn - before, 20);
    assert_eq!(world.gateway.active_calls(), 0);
}

#[test]
fn a_closed_failure_domain_gets_no_work() {
    let mut world = warm(4);
    world.step(Event::DomainsClosed(BTreeSet::from([Name::from("west")])));
    (0..4).for_each(|shard| world.ail(shard, 1, Ailment::Loses));
    world.load(1, 20, "all", GAP);
    world.run(Span::from_secs(2));
    assert_eq!(world.complete(OBJECTIVE), 20);
}

#[test]
fn an_unknown_path_is_refused_only_by_a_host_in_touch() {
    let mut world = warm(2);
    let request = |catalog_confirmed| wagtailbeam_decision::gateway::Request {
        host: "desk.example".into(),
        path: "/none/".into(),
        left: None,
        catalog_confirmed,
        first_on_connection: false,
        others_healthier: false,
    };
    world.step(Event::Request(1, request(true)));
    world.step(Event::Request(2, request(false)));
    let refusal = |id| match world.answers[&id].0 {
        Answer::Refused(refusal, _) => refusal,
        _ => panic!("served"),
    };
    assert_eq!(refusal(1), Refusal::NoRoute);
    assert_eq!(refusal(2), Refusal::NotRun);
}

/// Whatever ails the replicas: each request is answered once and by its deadline,
/// what may run once runs once at most, and "not run" is true.
#[test]
fn answers_are_timely_and_true_whatever_ails_the_replicas() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut world = World::new(6);
        let mut id = 0;
        for (shard, kind, wait) in steps {
            let ailment = match kind % 9 {
                0 => Ailment::Slow(u64::from(wait) % 30 + 1),
                1 => Ailment::Dark,
                2 => Ailment::Down,
                3 => Ailment::Sheds,
                4 => Ailment::Loses,
                5 => Ailment::Fails,
                _ => Ailment::None,
            };
            world.ail(usize::from(shard) % 6, shard / 128, ailment);
            for route in ["all", "once"] {
                id += 1;
                world.request(id, route, Span::ZERO);
            }
            world.run(Span::from_ms(u64::from(wait) % 60));
        }
        world.run(Span::from_secs(2));
        let timely = |(_, took): &(Answer, Span)| *took <= Span::from_ms(801);
        let true_refusal = |id: &u64, answer: &Answer| {
            let refused = matches!(answer, Answer::Refused(Refusal::NotRun, _));
            !refused || !world.runs.contains_key(id)
        };
        let once = (1..=id).filter(|id| id % 2 == 0);
        world.answers.len() as u64 == id
            && world.answers.values().all(timely)
            && world
                .answers
                .iter()
                .all(|(id, (answer, _))| true_refusal(id, answer))
            && once
                .into_iter()
                .all(|id| world.runs.get(&id).is_none_or(|runs| *runs <= 1))
    }
    check(property as fn(Vec<(u8, u8, u8)>) -> bool, 200, 60);
}
