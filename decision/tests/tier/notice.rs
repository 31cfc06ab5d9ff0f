//! What replicas say of themselves in answers: that they leave, or want no requests for a time.

use std::sync::Arc;

use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::branch::OrderId;
use wagtailbeam_decision::catalog::Route;
use wagtailbeam_decision::catalog::Target;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::fleet::Fleet;
use wagtailbeam_decision::gateway::Branch;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::notice::Fault as Misread;
use wagtailbeam_decision::notice::Notice;
use wagtailbeam_decision::notice::PAUSE_MAX;
use wagtailbeam_decision::notice::parse_pause;

use crate::model::Fault;
use crate::model::Simulation;
use crate::model::replica;

const SHARDS: usize = 4;

const INTERVAL: Span = Span::from_ms(10);

/// Time within which calls that were sent before an answer may still arrive.
const ON_THE_WAY: Span = Span::from_ms(100);

const LEAVING: Notice = Notice {
    limit: wagtailbeam_decision::quota::Statement::Nothing,
    leaving: true,
    pause: None,
};

fn pausing(pause: Span) -> Notice {
    Notice {
        pause: Some(pause),
        ..Notice::default()
    }
}

/// Gathers and requests for one replica, for this many seconds.
fn loaded(seconds: u64) -> Simulation {
    let mut simulation = Simulation::new(SHARDS);
    simulation.load(1, seconds * 100, "all", INTERVAL);
    simulation.load(1_000_000, seconds * 100, "once", INTERVAL);
    simulation.run(Span::from_secs(2));
    simulation
}

/// The list of all replicas, read now, with those at this index born at this time.
fn list(simulation: &mut Simulation, born: u64) {
    let replicas = (0..SHARDS).flat_map(|shard| {
        let name = format!("shard-{shard}");
        let mut reborn = replica(&name, 0, "east");
        reborn.instance.born = born;
        [reborn, replica(&name, 1, "west")]
    });
    let fleet = Arc::new(Fleet::new(replicas));
    let now = simulation.now;
    simulation.handle(Event::Fleet(fleet, now));
}

/// Guards against a replica that is used until the list shows it as draining, or again when the
/// list shows it as ready, also by hedges and retries while the other replica is in trouble.
#[test]
fn a_replica_that_says_it_leaves_gets_nothing_more_in_that_run() {
    let mut simulation = loaded(14);
    simulation.set_notice(0, 0, LEAVING);
    simulation.run(Span::from_secs(1));
    let since = simulation.now;
    list(&mut simulation, 1);
    simulation.run(Span::from_secs(2));
    simulation.set_fault(0, 1, Fault::Slow(10));
    simulation.run(Span::from_secs(2));
    simulation.set_fault(0, 1, Fault::Sheds);
    simulation.run(Span::from_secs(2));
    simulation.set_fault(0, 1, Fault::LosesAnswers);
    simulation.run(Span::from_secs(2));
    simulation.set_fault(0, 1, Fault::None);
    simulation.run(Span::from_secs(2));
    assert_eq!(simulation.arrivals_since(0, 0, since), []);
    assert!(!simulation.arrivals_since(0, 1, since).is_empty());
}

/// Guards against a server that is left out for good because its predecessor left.
#[test]
fn a_replica_that_started_again_is_used_again() {
    let mut simulation = loaded(8);
    simulation.set_notice(0, 0, LEAVING);
    simulation.run(Span::from_secs(1));
    simulation.set_notice(0, 0, Notice::default());
    list(&mut simulation, 2);
    let since = simulation.now;
    simulation.run(Span::from_secs(4));
    assert!(simulation.arrivals_since(0, 0, since).len() > 20);
}

/// Branches for other hosts keep to it as well.
#[test]
fn branches_keep_away_from_a_replica_that_leaves() {
    let mut simulation = loaded(3);
    simulation.set_notice(1, 0, LEAVING);
    simulation.run(Span::from_secs(2));
    let since = simulation.now;
    let route = simulation.gateway.catalog().routes[0].clone();
    assert!(matches!(route.target, Target::Gather { .. }));
    for number in 0..50 {
        let branch = branch(number, &route);
        simulation.handle(Event::Branch(5_000_000 + number, branch));
        simulation.run(INTERVAL);
    }
    assert_eq!(simulation.arrivals_since(1, 0, since), []);
    assert_eq!(simulation.arrivals_since(1, 1, since).len(), 50);
}

fn branch(number: u64, route: &Arc<Route>) -> Branch {
    Branch {
        order: OrderId(number),
        route: route.clone(),
        account: None,
        fingerprint: Digest::default(),
        key: number,
        moved: false,
        committed: true,
        settle: Span::from_ms(100),
        left: Span::from_ms(800),
    }
}

/// A replica sheds and asks for two seconds. Guards against requests, hedges and retries that reach
/// it before they are over, and against a replica that is left alone for longer.
#[test]
fn a_replica_gets_no_requests_for_the_time_that_it_asks_for() {
    let mut simulation = loaded(12);
    let pause = Span::from_secs(2);
    simulation.set_notice(0, 0, pausing(pause));
    simulation.set_fault(0, 0, Fault::Sheds);
    let begun = simulation.now;
    simulation.run(Span::from_secs(1));
    simulation.set_fault(0, 1, Fault::Slow(10));
    simulation.run(Span::from_ms(500));
    let first = simulation.arrivals_since(0, 0, begun)[0];
    let from = first.after(ON_THE_WAY);
    assert_eq!(simulation.arrivals_since(0, 0, from), []);
    simulation.set_fault(0, 0, Fault::None);
    simulation.set_fault(0, 1, Fault::None);
    simulation.run(Span::from_secs(4));
    let again: Vec<Time> = simulation.arrivals_since(0, 0, from);
    let wait = again[0].since(first);
    assert!(wait >= pause, "used again after {wait:?}");
    assert!(wait <= Span::from_ms(2_300), "used again after {wait:?}");
}

/// All replicas of a shard ask for three seconds. Guards against requests that wait for what can't
/// be, callers that are told to come back too soon, and gathers that fail for one shard.
#[test]
fn callers_are_rejected_at_once_until_a_replica_takes_requests_again() {
    let mut simulation = loaded(2);
    let pause = Span::from_secs(3);
    for index in 0..2 {
        simulation.set_notice(0, index, pausing(pause));
        simulation.set_fault(0, index, Fault::Sheds);
    }
    simulation.load(2_000_000, 10, "once", Span::from_ms(1));
    simulation.run(Span::from_ms(500));
    simulation.answers.clear();
    let sent = simulation.sent;
    simulation.request(3_000_000, "once", Span::ZERO);
    simulation.run(Span::from_ms(1));
    let (answer, took) = &simulation.answers[&3_000_000];
    let Answer::Refused(Refusal::NotRun, Some(wait)) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(*took, Span::ZERO);
    assert!(*wait >= Span::from_ms(2_300), "{wait:?}");
    assert_eq!(simulation.sent, sent);
    simulation.request(3_000_001, "all", Span::ZERO);
    simulation.run(Span::from_ms(200));
    let (answer, _) = &simulation.answers[&3_000_001];
    assert!(
        matches!(answer, Answer::Merged { missing: 1, .. }),
        "{answer:?}"
    );
}

/// The last replica that takes requests sheds one and asks for three seconds, after the other one
/// did. Guards against a caller that is told to come back at once, or as if no replica were there.
#[test]
fn a_request_that_the_last_replica_sheds_is_rejected_for_the_shortest_wait() {
    let mut simulation = loaded(2);
    simulation.run(Span::from_secs(2));
    simulation.set_notice(0, 0, pausing(Span::from_secs(5)));
    simulation.set_fault(0, 0, Fault::Sheds);
    simulation.load(2_000_000, 5, "once", Span::from_ms(1));
    simulation.run(Span::from_ms(500));
    simulation.answers.clear();
    simulation.set_notice(0, 1, pausing(Span::from_secs(3)));
    simulation.set_fault(0, 1, Fault::Sheds);
    simulation.request(3_000_000, "once", Span::ZERO);
    simulation.run(Span::from_ms(500));
    let (answer, _) = &simulation.answers[&3_000_000];
    let Answer::Refused(Refusal::NotRun, Some(wait)) = answer else {
        panic!("{answer:?}");
    };
    // The pause that is over first, with up to half as much added at random.
    assert!(*wait >= Span::from_ms(2_900), "{wait:?}");
    assert!(*wait <= Span::from_ms(4_500), "{wait:?}");
}

/// Guards against values that keep a server away for days, or that are taken for zero.
#[test]
fn times_to_wait_are_parsed_within_bounds() {
    assert_eq!(parse_pause("2"), Ok(Span::from_secs(2)));
    assert_eq!(parse_pause(" 0.25 "), Ok(Span::from_ms(250)));
    assert_eq!(parse_pause("0"), Ok(Span::ZERO));
    assert_eq!(parse_pause("864000"), Ok(PAUSE_MAX));
    assert_eq!(parse_pause("inf"), Ok(PAUSE_MAX));
    assert_eq!(parse_pause("1e300"), Ok(PAUSE_MAX));
    assert_eq!(parse_pause("-1"), Err(Misread::Negative));
    assert_eq!(parse_pause("-inf"), Err(Misread::Negative));
    assert_eq!(parse_pause("NaN"), Err(Misread::NotSeconds));
    assert_eq!(parse_pause(""), Err(Misread::NotSeconds));
    let date = "Fri, 04 Dec 2026 15:00:00 GMT";
    assert_eq!(parse_pause(date), Err(Misread::NotSeconds));
}
