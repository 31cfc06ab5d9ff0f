//! Gathers shared by several entry hosts. Each test names the load pattern that it
//! replays.

use std::collections::BTreeSet;
use std::sync::Arc;

use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::branch::OrderId;
use wagtailbeam_decision::branch::Reply;
use wagtailbeam_decision::catalog::Catalog;
use wagtailbeam_decision::catalog::Limits;
use wagtailbeam_decision::catalog::Route;
use wagtailbeam_decision::catalog::Target;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::fanout::Fanout;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::plan::Host;
use wagtailbeam_decision::plan::Plan;

use crate::check;
use crate::cluster;
use crate::cluster::Cluster;
use crate::cluster::SHARDS;

const HOSTS: usize = 8;

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

fn hosts(count: usize) -> Vec<Host> {
    (0..count).map(cluster::host).collect()
}

/// Guards against hosts that together exceed a service's limit.
#[test]
fn limit_shares_sum_to_at_most_one() {
    for count in [1, 2, 7, 64] {
        let hosts = hosts(count);
        for shards in [8, 60] {
            let (catalog, _) = cluster::deployment(shards);
            let plan = Plan::new(&catalog, &hosts);
            let service = Name::from("shard-3");
            let shares = hosts
                .iter()
                .map(|host| plan.limit_share(&service, host.address));
            let sum = shares.sum::<f64>();
            assert!(sum <= 1.0 + 1e-9, "{count} hosts, {shards} shards: {sum}");
        }
    }
}

#[test]
fn only_wide_gathers_are_split_and_branches_cover_all_shards() {
    let (narrow, _) = cluster::deployment(30);
    let route = narrow.route("desk.example", "/all/x").expect("a route");
    assert!(Plan::new(&narrow, &hosts(7)).branches(route).is_none());
    let (wide, _) = cluster::deployment(90);
    let plan = Plan::new(&wide, &hosts(64));
    let route = wide.route("desk.example", "/all/x").expect("a route");
    let branches = plan.branches(route).expect("a split route");
    let covered = branches.iter().flat_map(|branch| branch.shards.clone());
    assert_eq!(covered.collect::<Vec<_>>(), (0..90).collect::<Vec<_>>());
    for branch in branches {
        let domains = branch.members.iter().map(|host| &host.domain);
        assert_eq!(domains.collect::<BTreeSet<_>>().len(), 2);
    }
}

/// Only the branches of a removed host get new members, and only in its place.
#[test]
fn a_removed_host_changes_only_its_own_branches() {
    let (catalog, _) = cluster::deployment(90);
    let all = hosts(64);
    let before = Plan::new(&catalog, &all);
    let after = Plan::new(&catalog, &all[1..]);
    let route = catalog.route("desk.example", "/all/x").expect("a route");
    assert!(before.branches(route).is_some());
    let pairs = before.branches(route).into_iter().flatten();
    let pairs = pairs.zip(after.branches(route).into_iter().flatten());
    for (before, after) in pairs {
        let kept = before.members.iter().filter(|host| **host != all[0]);
        assert!(kept.into_iter().all(|host| after.members.contains(host)));
    }
}

/// Shards of the orders that a request on this route leads to.
fn ordered_shards(fanout: &mut Fanout, id: u64, route: Arc<Route>) -> Vec<Name> {
    let request = fanout::Request {
        route,
        left: None,
        others_only: false,
        margin: Span::from_ms(11),
        waited: Span::ZERO,
    };
    let actions = fanout.step(Time::from_us(1), fanout::Event::Request(id, request));
    let orders = actions.into_iter().filter_map(|action| match action {
        fanout::Action::Order(order) => Some(order.route),
        _ => None,
    });
    let shards = orders.flat_map(|route| route.services().cloned().collect::<Vec<_>>());
    let mut shards = shards.collect::<Vec<_>>();
    shards.sort();
    shards
}

/// A configuration with a gather for each of these numbers of shards, all of one name, on hosts
/// named after the number.
fn gathers_of_one_name(counts: &[usize]) -> Arc<Catalog> {
    let (all, _) = cluster::deployment(counts.iter().copied().max().unwrap_or_default());
    let gather = |count: &usize| Route {
        host: format!("desk-{count}.example").into(),
        target: Target::Gather {
            shards: all.services.keys().take(*count).cloned().collect(),
            top: 5,
            coverage_min: 0.75,
        },
        ..Route::clone(&all.routes[0])
    };
    let routes = counts.iter().map(gather).collect();
    let catalog = Catalog::new(2, routes, all.services.clone(), Limits::default());
    Arc::new(catalog.expect("a valid catalog"))
}

/// Guards against hosts that end, or ask for the wrong shards, because two gathers have one name.
#[test]
fn gathers_of_one_name_are_each_split_by_their_own_shards() {
    for counts in [[40, 50], [50, 40], [30, 50], [50, 30]] {
        let catalog = gathers_of_one_name(&counts);
        let plan = Arc::new(Plan::new(&catalog, &hosts(HOSTS)));
        let mut fanout = Fanout::new(fanout::Settings {
            host: cluster::host(0),
            seed: 1,
        });
        fanout.configure(catalog.clone(), plan);
        for (id, count) in (1..).zip(counts) {
            let host = format!("desk-{count}.example");
            let route = catalog.route(&host, "/all/x").expect("a route").clone();
            let shards = ordered_shards(&mut fanout, id, route.clone());
            assert_eq!(shards, route.services().cloned().collect::<Vec<_>>());
        }
    }
}

/// Guards against hosts that end because a request matched a route of another configuration than
/// the one that is in effect, in which the route has other shards.
#[test]
fn a_request_under_another_configuration_is_split_by_its_own_shards() {
    for (earlier, later) in [(40, 50), (50, 40)] {
        let (before, _) = cluster::deployment(earlier);
        let (after, _) = cluster::deployment(later);
        let route = before
            .route("desk.example", "/all/x")
            .expect("a route")
            .clone();
        let plan = Arc::new(Plan::new(&after, &hosts(HOSTS)));
        let mut fanout = Fanout::new(fanout::Settings {
            host: cluster::host(0),
            seed: 1,
        });
        fanout.configure(Arc::new(after), plan);
        let shards = ordered_shards(&mut fanout, 1, route);
        assert_eq!(shards.len(), earlier);
    }
}
