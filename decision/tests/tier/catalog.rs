use std::collections::BTreeMap;

use wagtailbeam_decision::catalog::Catalog;
use wagtailbeam_decision::catalog::Fault;
use wagtailbeam_decision::catalog::Limits;
use wagtailbeam_decision::catalog::Repeat;
use wagtailbeam_decision::catalog::Route;
use wagtailbeam_decision::catalog::Service;
use wagtailbeam_decision::catalog::Target;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::name::Name;

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
