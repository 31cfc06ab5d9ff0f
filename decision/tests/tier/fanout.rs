//! Gathers shared by several entry hosts. Each test names the load pattern that it
//! replays.

use std::collections::BTreeSet;
use std::sync::Arc;

use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::branch::OrderId;
use wagtailbeam_decision::branch::Reply;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::fanout::Fanout;
use wagtailbeam_decision::plan::Host;
use wagtailbeam_decision::plan::Plan;

use crate::check;
use crate::cluster;
use crate::cluster::Cluster;
use crate::cluster::SHARDS;

pub const HOSTS: usize = 8;

fn merged(answer: &Answer) -> Option<usize> {
    match answer {
        Answer::Merged {
            stamps, missing, ..
        } => {
            assert_eq!(stamps.len() + missing, SHARDS);
            Some(stamps.len())
        }
        Answer::Relay(_) | Answer::Refused(..) => None,
    }
}

/// Number of parts in all answers given within this time.
fn served(cluster: &Cluster, within: Span) -> usize {
    let in_time = cluster.answers.values().filter(|(_, took)| *took <= within);
    in_time.filter_map(|(answer, _)| merged(answer)).sum()
}

/// Pattern: no faults.
#[test]
fn nearly_all_parts_arrive_without_faults() {
    let mut cluster = Cluster::new(HOSTS, 1);
    for id in 0..40 {
        cluster.request(id as usize % HOSTS, id, Span::from_ms(20 * id));
    }
    cluster.run(Span::from_secs(3));
    assert_eq!(cluster.answers.len(), 40);
    let parts = served(&cluster, Span::from_ms(120));
    assert!(parts >= 40 * SHARDS * 97 / 100, "{parts}");
}

/// Pattern: a host is killed while other hosts wait for its replies. The parts of orders
/// that it had confirmed are missing; later requests go to other hosts.
#[test]
fn a_killed_host_loses_only_the_orders_it_confirmed() {
    let mut cluster = Cluster::new(HOSTS, 2);
    cluster.run(Span::from_ms(5));
    for id in 0..20 {
        cluster.request(0, id, Span::from_ms(10 * id));
    }
    cluster.run(Span::from_ms(60));
    cluster.kill(2);
    cluster.run(Span::from_secs(3));
    assert_eq!(cluster.answers.len(), 20);
    let parts = cluster
        .answers
        .values()
        .filter_map(|(answer, _)| merged(answer));
    let nearly_complete = parts.filter(|parts| *parts * 100 >= SHARDS * 95).count();
    assert!(nearly_complete >= 13, "{nearly_complete}");
}

/// Pattern: a host freezes with its connections open. Its unconfirmed orders must move to
/// other hosts.
#[test]
fn orders_of_a_frozen_host_move_to_another_host() {
    let mut cluster = Cluster::new(HOSTS, 3);
    cluster.run(Span::from_ms(5));
    cluster.freeze(2, Span::from_secs(5));
    for id in 0..20 {
        cluster.request(0, id, Span::from_ms(30 * id));
    }
    cluster.run(Span::from_secs(3));
    assert_eq!(cluster.answers.len(), 20);
    let parts = served(&cluster, Span::from_ms(120));
    assert!(parts >= 20 * SHARDS * 95 / 100, "{parts}");
}

/// Pattern: a host handles events a hundred times slower, so that it confirms an order
/// only after the order moved to another host, and both send the parts.
#[test]
fn a_slow_host_and_its_replacement_stay_within_attempts_max() {
    let mut cluster = Cluster::new(HOSTS, 4);
    for at in [1, 2, 5] {
        cluster.slow(at, 100);
    }
    for id in 0..60 {
        cluster.request(id as usize % HOSTS, id, Span::from_ms(15 * id));
    }
    cluster.run(Span::from_secs(8));
    assert!(cluster.replicas_max() <= 2, "{}", cluster.replicas_max());
}

/// For any slow, frozen and killed hosts: each request at a live host is answered once,
/// no part runs on more replicas than allowed, and no state is left behind.
#[test]
fn no_part_runs_on_more_than_attempts_max_replicas() {
    fn property(seed: u32, slow: Vec<(u8, u8)>, steps: Vec<(u8, u8)>) -> bool {
        let mut cluster = Cluster::new(HOSTS, u64::from(seed));
        for (at, times) in slow {
            cluster.slow(usize::from(at) % HOSTS, u64::from(times % 100) + 1);
        }
        let mut killed = BTreeSet::new();
        let mut asked = BTreeSet::new();
        for (id, (kind, pick)) in steps.into_iter().enumerate() {
            let at = usize::from(pick) % HOSTS;
            match kind % 8 {
                0 => cluster.freeze(at, Span::from_ms(u64::from(pick) * 4)),
                1 if killed.len() < 3 => {
                    killed.insert(at);
                    cluster.kill(at);
                }
                _ => {
                    asked.insert((at, id as u64));
                    cluster.request(at, id as u64, Span::ZERO);
                }
            }
            cluster.run(Span::from_ms(u64::from(kind % 40)));
        }
        cluster.run(Span::from_secs(30));
        let live = asked.iter().filter(|(at, _)| !killed.contains(at));
        let answered = live
            .into_iter()
            .all(|(_, id)| cluster.answers.contains_key(id));
        answered && cluster.replicas_max() <= 2 && (0..HOSTS).all(|at| cluster.is_idle(at))
    }
    check(
        property as fn(u32, Vec<(u8, u8)>, Vec<(u8, u8)>) -> bool,
        60,
        40,
    );
}

/// Guards against reporting that a request did not run while hosts with unconfirmed
/// orders may already have sent parts.
#[test]
fn a_request_with_unconfirmed_orders_may_have_run() {
    let now = Time::from_us(1);
    let (catalog, _) = cluster::deployment(SHARDS);
    let others = Plan::new(&catalog, &hosts(HOSTS)[1..]);
    let mut fanout = Fanout::new(fanout::Settings {
        host: cluster::host(0),
        seed: 1,
    });
    fanout.configure(Arc::new(catalog), Arc::new(others));
    let request = fanout::Request {
        route: fanout
            .split_route("desk.example", "/all/x")
            .expect("a route"),
        left: None,
        others_only: false,
        margin: Span::from_ms(11),
        waited: Span::ZERO,
    };
    let actions = fanout.step(now, fanout::Event::Request(7, request));
    let orders = actions.iter().filter_map(|action| match action {
        fanout::Action::Order(order) => Some(order.id),
        _ => None,
    });
    let replies = orders.take(2).map(|order| Reply {
        order,
        last: true,
        ..Reply::default()
    });
    let answers = replies.flat_map(|reply| fanout.step(now, fanout::Event::Reply(reply)));
    let refusal = answers.into_iter().find_map(|action| match action {
        fanout::Action::Answer(7, Answer::Refused(refusal, _), _) => Some(refusal),
        _ => None,
    });
    assert_eq!(refusal, Some(Refusal::Failed));
}

/// Guards against requests that take the whole of their time again after they have waited for their
/// admission.
#[test]
fn the_time_waited_counts_against_deadline_and_objective() {
    let now = Time::default().after(Span::from_secs(1));
    let (catalog, _) = cluster::deployment(SHARDS);
    let catalog = Arc::new(catalog);
    let plan = Arc::new(Plan::new(&catalog, &hosts(HOSTS)[1..]));
    let order = |waited| {
        let mut fanout = Fanout::new(fanout::Settings {
            host: cluster::host(0),
            seed: 1,
        });
        fanout.configure(catalog.clone(), plan.clone());
        let route = fanout.split_route("desk.example", "/all/x");
        let request = fanout::Request {
            route: route.expect("a route"),
            left: Some(Span::from_ms(400)),
            others_only: false,
            margin: Span::from_ms(11),
            waited,
        };
        let actions = fanout.step(now, fanout::Event::Request(7, request));
        let order = actions.into_iter().find_map(|action| match action {
            fanout::Action::Order(order) => Some(order),
            _ => None,
        });
        order.expect("an order")
    };
    let (prompt, late) = (order(Span::ZERO), order(Span::from_ms(30)));
    assert_eq!(prompt.left, Span::from_ms(400));
    assert_eq!(late.left, Span::from_ms(370));
    assert_eq!(prompt.settle.saturating_sub(late.settle), Span::from_ms(30));
}

/// Starts a request for all shards on a host of this seed, and returns the orders placed.
fn start_request(seed: u64) -> (Fanout, Vec<OrderId>) {
    let (catalog, _) = cluster::deployment(SHARDS);
    let others = Plan::new(&catalog, &hosts(HOSTS)[1..]);
    let mut fanout = Fanout::new(fanout::Settings {
        host: cluster::host(0),
        seed,
    });
    fanout.configure(Arc::new(catalog), Arc::new(others));
    let route = fanout.split_route("desk.example", "/all/x");
    let request = fanout::Request {
        route: route.expect("a route"),
        left: None,
        others_only: false,
        margin: Span::from_ms(11),
        waited: Span::ZERO,
    };
    let actions = fanout.step(Time::from_us(1), fanout::Event::Request(7, request));
    let orders = actions.iter().filter_map(|action| match action {
        fanout::Action::Order(order) => Some(order.id),
        _ => None,
    });
    let orders = orders.collect();
    (fanout, orders)
}

/// Guards against replies to orders of an earlier run of the process, which come late and count for
/// other requests of this run.
#[test]
fn a_reply_to_an_earlier_run_counts_for_no_request() {
    let (_, earlier) = start_request(0x5eed_0001);
    let (mut fanout, orders) = start_request(0x5eed_0002);
    assert_eq!(earlier.len(), orders.len());
    for order in earlier {
        let reply = Reply {
            order,
            last: true,
            ..Reply::default()
        };
        let answers = fanout.step(Time::from_us(2), fanout::Event::Reply(reply));
        assert_eq!(answers, []);
    }
    assert_eq!(fanout.active_requests(), 1);
}

/// The first hosts of the model.
pub fn hosts(count: usize) -> Vec<Host> {
    (0..count).map(cluster::host).collect()
}
