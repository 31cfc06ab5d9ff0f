//! Which hosts gather which shards, and how hosts share the limits of services.

use std::collections::BTreeSet;
use std::sync::Arc;

use wagtailbeam_decision::catalog::Catalog;
use wagtailbeam_decision::catalog::Limits;
use wagtailbeam_decision::catalog::Route;
use wagtailbeam_decision::catalog::Target;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::fanout::Fanout;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::plan::Plan;

use crate::cluster;
use crate::fanout::HOSTS;
use crate::fanout::hosts;

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
