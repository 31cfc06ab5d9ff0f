use std::collections::BTreeMap;
use std::sync::Arc;

use wagtailbeam_decision::catalog::Catalog;
use wagtailbeam_decision::catalog::Fault;
use wagtailbeam_decision::catalog::Limits;
use wagtailbeam_decision::catalog::Repeat;
use wagtailbeam_decision::catalog::Route;
use wagtailbeam_decision::catalog::Service;
use wagtailbeam_decision::catalog::Target;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::fleet::Fleet;
use wagtailbeam_decision::fleet::Replica;
use wagtailbeam_decision::fleet::State;
use wagtailbeam_decision::flight::Shared;
use wagtailbeam_decision::gateway::Action;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::gateway::Gateway;
use wagtailbeam_decision::gateway::Request;
use wagtailbeam_decision::gateway::Settings;
use wagtailbeam_decision::name::Name;

use crate::model;

fn route(name: &str, prefix: &str, target: Target) -> Route {
    Route {
        name: Name::from(name),
        host: "desk.example".into(),
        prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        timeout: Span::from_ms(800),
        objective: Span::from_ms(120),
        priority: 0,
        open: false,
        attempts_max: 2,
        target,
    }
}

fn single_service(service: &str) -> Target {
    Target::Weighted(vec![(Name::from(service), 1.0)])
}

fn build(routes: Vec<Route>) -> Result<Catalog, Fault> {
    let service = Service {
        health_path: "/healthz".into(),
        connections_max: 26,
        warmup: Span::from_secs(3),
        warmup_per_s: 0.0,
    };
    let services = BTreeMap::from([(Name::from("gate"), service)]);
    Catalog::new(1, routes, services, Limits::default())
}

#[test]
fn the_longest_matching_prefix_wins() {
    let short = route("short", "/a/", single_service("gate"));
    let long = route("long", "/a/b/", single_service("gate"));
    let catalog = build(vec![short, long]).expect("valid routes");
    let name = |path| {
        catalog
            .route("desk.example", path)
            .map(|route| route.name.to_string())
    };
    assert_eq!(name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("/a/x").as_deref(), Some("short"));
    assert_eq!(name("/b/x"), None);
    assert!(catalog.route("other.example", "/a/x").is_none());
}

#[test]
fn invalid_routes_are_rejected_with_their_cause() {
    let mut no_timeout = route("timeless", "/a/", single_service("gate"));
    no_timeout.timeout = Span::ZERO;
    let no_weight = Target::Weighted(vec![(Name::from("gate"), 0.0)]);
    let faults = [
        vec![no_timeout],
        vec![route("weightless", "/a/", no_weight)],
        vec![route("lost", "/a/", single_service("absent"))],
        vec![route("open", "/a", single_service("gate"))],
        vec![
            route("first", "/a/", single_service("gate")),
            route("second", "/a/", single_service("gate")),
        ],
    ];
    let causes = faults.map(|routes| build(routes).expect_err("an invalid route").to_string());
    assert_eq!(
        causes,
        [
            "route timeless: the timeout is zero",
            "route weightless: the weights add up to nothing",
            "route lost: service absent is not declared",
            "route open: the prefix must begin and end with a slash",
            "routes first and second have the same host and prefix",
        ]
    );
}

/// What hosts learn of routes is kept by name. Guards against two routes of one name that share it:
/// the turns of their traffic splits, their latencies and their demand.
#[test]
fn routes_that_share_a_name_are_told_apart() {
    let routes = vec![
        route("gate", "/a/", single_service("gate")),
        route("gate", "/b/", single_service("gate")),
        route("other", "/c/", single_service("gate")),
        route(
            "gate \"desk.example\" \"/a/\"",
            "/d/",
            single_service("gate"),
        ),
    ];
    let catalog = build(routes).expect("valid routes");
    let names = catalog.routes.iter().map(|route| route.name.to_string());
    assert_eq!(
        names.collect::<Vec<_>>(),
        [
            "gate \"desk.example\" \"/a/\" \"desk.example\" \"/a/\"",
            "gate \"desk.example\" \"/b/\"",
            "other",
            "gate \"desk.example\" \"/a/\" \"desk.example\" \"/d/\"",
        ]
    );
}

/// A gateway with two splits of one name: `/a/` sends nine in ten requests to the first service,
/// `/b/` to the second one.
fn split_gateway(seed: u64) -> Gateway {
    let names = ["first", "second"].map(Name::from);
    let split = |prefix: &str, weights: [f64; 2]| {
        let parts = names.iter().cloned().zip(weights);
        route("split", prefix, Target::Weighted(parts.collect()))
    };
    let service = Service {
        health_path: "/healthz".into(),
        connections_max: 26,
        warmup: Span::ZERO,
        warmup_per_s: 0.0,
    };
    let services = names.iter().map(|name| (name.clone(), service.clone()));
    let routes = vec![split("/a/", [9.0, 1.0]), split("/b/", [1.0, 9.0])];
    let catalog = Catalog::new(1, routes, services.collect(), Limits::default());
    let replicas = names.iter().map(|name| model::replica(name, 0, "east"));
    let mut gateway = Gateway::new(Settings {
        seed,
        ..model::settings()
    });
    let now = Time::from_us(1);
    gateway.step(
        now,
        Event::Catalog(Arc::new(catalog.expect("valid routes"))),
    );
    gateway.step(now, Event::Fleet(Arc::new(Fleet::new(replicas)), now));
    gateway
}

/// Replica to which a gateway sends a request, which ends then.
fn sent_to(gateway: &mut Gateway, id: u64, path: &str, shared: Option<Shared>) -> String {
    let now = Time::from_us(1).after(Span::from_ms(100 * id));
    let request = Request {
        host: "desk.example".into(),
        path: path.into(),
        catalog_confirmed: true,
        shared,
        ..Request::default()
    };
    let sent = gateway.step(now, Event::Request(id, request));
    let sent = sent.into_iter().find_map(|action| match action {
        Action::Send(call) => Some(call.instance.to_string()),
        _ => None,
    });
    gateway.step(now, Event::Abandoned(id));
    sent.expect("a call")
}

/// Guards against traffic splits of one name that use the same turns, so that the requests of each
/// don't follow its weights.
#[test]
fn traffic_splits_of_one_name_follow_their_own_weights() {
    let mut gateway = split_gateway(1);
    let mut sent = BTreeMap::new();
    for id in 0..200 {
        let path = if id % 2 == 0 { "/a/x" } else { "/b/x" };
        let replica = sent_to(&mut gateway, id, path, None);
        *sent.entry((path, replica)).or_insert(0) += 1;
    }
    let sent = sent.into_iter();
    let sent = sent.map(|((path, replica), count)| format!("{path} {replica} {count}"));
    assert_eq!(
        sent.collect::<Vec<_>>(),
        [
            "/a/x first-0 90",
            "/a/x second-0 10",
            "/b/x first-0 10",
            "/b/x second-0 90",
        ]
    );
}

/// Guards against a relayed request that a second host sends to another service of its route's
/// split, and so to further replicas.
#[test]
fn all_hosts_send_a_shared_request_to_the_same_service() {
    let mut gateways = [split_gateway(1), split_gateway(2)];
    let mut first = 0;
    for id in 0..1_000_u64 {
        let shared = Shared {
            key: Digest::of(&id.to_le_bytes()).rank(),
            moved: false,
            committed: false,
        };
        let sent = gateways
            .each_mut()
            .map(|gateway| sent_to(gateway, id, "/a/x", Some(shared)));
        assert_eq!(sent[0], sent[1]);
        first += usize::from(sent[0] == "first-0");
    }
    assert!((870..=930).contains(&first), "{first} of 1000, 900 due");
}

/// Guards against requests that run at another service: a readable entry of another writer names a
/// server under a service that isn't its own, and the server can't tell.
#[test]
fn a_run_that_is_listed_under_two_services_is_used_under_neither() {
    let good = model::replica("first", 0, "east");
    let foreign = Replica {
        service: Name::from("second"),
        ..good.clone()
    };
    let other = model::replica("second", 1, "east");
    let draining = Replica {
        state: State::Draining,
        ..other.clone()
    };
    for listed in [
        vec![good.clone(), foreign.clone(), other.clone()],
        vec![foreign.clone(), other.clone(), good.clone()],
        vec![foreign, good.clone(), good, other.clone()],
    ] {
        let fleet = Fleet::new(listed);
        let known = fleet.replicas.keys().collect::<Vec<_>>();
        assert_eq!(known, [&other.instance]);
    }
    let last = Fleet::new([other.clone(), draining]);
    assert_eq!(last.replicas[&other.instance].state, State::Draining);
}
