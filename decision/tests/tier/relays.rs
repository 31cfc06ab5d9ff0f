use std::net::SocketAddr;

use wagtailbeam_decision::catalog::Route;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::relay::Action;
use wagtailbeam_decision::relay::Ending;
use wagtailbeam_decision::relay::Relay;
use wagtailbeam_decision::relay::RelayId;

use crate::model;

const REQUEST: u64 = 7;

fn host(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, at], 71))
}

/// A relay that has sent a request on the route `once` or `all` to the first of two hosts, where it
/// may run on this many replicas.
fn relaying_on(route: &str, attempts_max: u32) -> (Relay, RelayId, SocketAddr) {
    let mut relay = Relay::new(1);
    relay.set_hosts(vec![host(1), host(2)]);
    let catalog = model::catalog(&["shard".into()]);
    let path = format!("/{route}/x");
    let known = catalog.route("desk.example", &path).expect("a route");
    let route = Route {
        attempts_max,
        ..Route::clone(known)
    };
    let left = Span::from_secs(1);
    let actions = relay.start(Time::from_us(1), REQUEST, &route, left);
    let (id, to) = sent(&actions);
    (relay, id, to)
}

/// A relay that has sent an idempotent request to the first of two hosts.
fn relaying() -> (Relay, RelayId, SocketAddr) {
    relaying_on("all", 2)
}

fn sent(actions: &[Action]) -> (RelayId, SocketAddr) {
    let sent = actions.iter().find_map(|action| match action {
        Action::Send(order) => Some((order.id, order.host)),
        Action::Cancel(..) | Action::Refuse(..) => None,
    });
    sent.expect("a request")
}

/// Guards against a caller who is told that a request did not run, although a host ran it that did not
/// confirm it in time, after the next host declined it.
#[test]
fn a_request_that_a_silent_host_may_have_run_is_not_refused_as_not_run() {
    let (mut relay, _, _) = relaying();
    let late = Time::from_us(100_000);
    let (second, _) = sent(&relay.tick(late));
    assert!(relay.may_have_run_before(REQUEST));
    let refused = relay.decline(late, second);
    assert_eq!(refused, [Action::Refuse(REQUEST, Ending::Failed)]);
}

/// The same for a host whose connection broke.
#[test]
fn a_request_that_a_lost_host_may_have_run_is_not_refused_as_not_run() {
    let (mut relay, _, first_host) = relaying();
    let now = Time::from_us(1_000);
    let (second, _) = sent(&relay.lose_host(now, first_host));
    let refused = relay.decline(now, second);
    assert_eq!(refused, [Action::Refuse(REQUEST, Ending::Failed)]);
}

#[test]
fn a_request_that_all_hosts_declined_is_refused_as_not_run() {
    let (mut relay, first, _) = relaying();
    let now = Time::from_us(1_000);
    let (second, _) = sent(&relay.decline(now, first));
    assert!(!relay.may_have_run_before(REQUEST));
    let refused = relay.decline(now, second);
    assert_eq!(refused, [Action::Refuse(REQUEST, Ending::NotRun)]);
}

/// Whether each request that the actions send was marked as one that another host may have received.
fn marks(actions: &[Action]) -> Vec<bool> {
    let marks = actions.iter().filter_map(|action| match action {
        Action::Send(order) => Some(order.moved),
        Action::Cancel(..) | Action::Refuse(..) => None,
    });
    marks.collect()
}

/// Guards against a second host that gives a request all its attempts anew, although the first one
/// may have used them.
#[test]
fn a_host_is_told_that_another_one_may_have_run_a_request() {
    let late = Time::from_us(100_000);
    let (mut relay, _, _) = relaying();
    assert_eq!(marks(&relay.tick(late)), [true], "not confirmed");
    let (mut relay, _, first) = relaying();
    assert_eq!(marks(&relay.lose_host(late, first)), [true], "lost");
    let (mut relay, id, _) = relaying();
    assert_eq!(marks(&relay.decline(late, id)), [false], "declined");
}

/// Guards against a request that may run on one replica and runs on a second one through the next
/// host.
#[test]
fn a_request_for_one_replica_goes_to_no_second_host_that_may_repeat_it() {
    let late = Time::from_us(100_000);
    let (mut relay, _, first) = relaying_on("all", 1);
    assert_eq!(relay.tick(late), [], "not confirmed");
    let refused = relay.lose_host(late, first);
    assert_eq!(refused, [Action::Refuse(REQUEST, Ending::Failed)]);
    let (mut relay, id, _) = relaying_on("all", 1);
    assert_eq!(marks(&relay.decline(late, id)), [false], "declined");
}
