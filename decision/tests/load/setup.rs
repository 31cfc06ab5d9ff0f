//! Catalog, replicas and conditions of the replay's cases.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;

use wagtailbeam_decision::allowance::Limit;
use wagtailbeam_decision::catalog::Catalog;
use wagtailbeam_decision::catalog::Limits;
use wagtailbeam_decision::catalog::Repeat;
use wagtailbeam_decision::catalog::Route;
use wagtailbeam_decision::catalog::Service;
use wagtailbeam_decision::catalog::Target;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::fleet::Instance;
use wagtailbeam_decision::fleet::Replica;
use wagtailbeam_decision::fleet::State;
use wagtailbeam_decision::gateway::Settings;
use wagtailbeam_decision::load::capacity::Estimator;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::plan::Host;
use wagtailbeam_decision::plan::Plan;

use crate::arrivals::Client;

/// Condition of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// Factor on the time for a call.
    pub factor: f64,
    /// Increase of that time for each call that runs beside it.
    pub contention: f64,
    /// Share of the calls that fail at once.
    pub failures: f64,
    /// Failure domain from which the replica can't be reached.
    pub refused_domain: Option<usize>,
}

/// A replica without fault.
pub const HEALTHY: Health = Health {
    factor: 1.0,
    contention: 0.0,
    failures: 0.0,
    refused_domain: None,
};

/// A route of a case.
#[derive(Clone)]
pub struct Load {
    /// Time for a call at an idle healthy replica.
    pub work: Span,
    pub objective: Span,
    pub per_s: f64,
    /// Services by index; a gather if `gathers`, else weighted equally.
    pub services: Vec<usize>,
    pub gathers: bool,
}

/// A case of the replay.
#[derive(Clone)]
pub struct Case {
    pub name: &'static str,
    pub hosts: usize,
    /// Number of replicas of each service.
    pub services: Vec<usize>,
    pub slots: u32,
    pub routes: Vec<Load>,
    pub seconds: u64,
    /// Length and period of pauses of each replica.
    pub pause: (Span, Span),
    /// Condition of a replica at a time in seconds.
    pub health: fn(usize, f64) -> Health,
    /// The replica whose condition differs, and the span in seconds in which it does.
    pub affected: Option<(usize, f64, f64)>,
    /// Most connections that a replica accepts from all hosts together.
    pub connections_max: u32,
    /// Clients in place of the routes' own load; none for that load.
    pub clients: Vec<Client>,
}

/// Failure domain of a host.
pub fn domain(host: usize) -> usize {
    host % 3
}

/// Indices of a service's replicas.
pub fn range(case: &Case, service: usize) -> Range<usize> {
    let first = case.services[..service].iter().sum::<usize>();
    first..first + case.services[service]
}

fn service_of(case: &Case, server: usize) -> usize {
    let all = 0..case.services.len();
    let mut holding = all.filter(|service| range(case, *service).contains(&server));
    holding.next().unwrap_or_default()
}

/// Failure domain of a replica.
pub fn server_domain(case: &Case, server: usize) -> usize {
    let service = service_of(case, server);
    (server - range(case, service).start) % 3
}

fn address(kind: u8, index: usize) -> SocketAddr {
    SocketAddr::from(([10, kind, (index / 250) as u8, (index % 250) as u8], 80))
}

/// Address of an entry host.
pub fn host_address(host: usize) -> SocketAddr {
    address(2, host)
}

/// Address of a voter.
pub fn voter_address(voter: usize) -> SocketAddr {
    address(3, voter)
}

fn service_name(service: usize) -> Name {
    Name::from(format!("s{service}"))
}

fn domain_name(domain: usize) -> Name {
    Name::from(format!("d{domain}"))
}

/// All replicas, ordered by service.
pub fn replicas(case: &Case) -> Vec<Replica> {
    let replica = |server: usize| Replica {
        instance: Instance {
            id: Name::from(format!("r{server}")),
            born: 1,
        },
        service: service_name(service_of(case, server)),
        address: address(1, server),
        domain: domain_name(server_domain(case, server)),
        slots: case.slots,
        state: State::Ready,
        cold_left: Span::ZERO,
    };
    (0..case.services.iter().sum()).map(replica).collect()
}

/// Configuration of a case.
pub fn catalog(case: &Case) -> Catalog {
    let service = Service {
        health_path: "/healthz".into(),
        connections_max: case.connections_max,
        warmup: Span::from_secs(3),
        warmup_per_s: 0.0,
    };
    let services = 0..case.services.len();
    let services = services.map(|index| (service_name(index), service.clone()));
    let routes = case.routes.iter().enumerate().map(|(index, load)| {
        let names = load.services.iter().map(|service| service_name(*service));
        let target = match load.gathers {
            true => Target::Gather {
                shards: names.collect(),
                top: 5,
                coverage_min: 0.9,
            },
            false => Target::Weighted(names.map(|name| (name, 1.0)).collect()),
        };
        Route {
            name: Name::from(format!("r{index}")),
            host: "desk.example".into(),
            prefix: format!("/r{index}/").into(),
            repeat: Repeat::Idempotent,
            timeout: Span::from_secs(2),
            objective: load.objective,
            priority: 0,
            open: true,
            attempts_max: 2,
            target,
        }
    });
    let catalog = Catalog::new(1, routes.collect(), services.collect(), Limits::default());
    catalog.expect("a valid catalog")
}

/// Entry hosts of a case.
pub fn plan(case: &Case) -> Arc<Plan> {
    let hosts = (0..case.hosts).map(|host| Host {
        address: address(2, host),
        domain: domain_name(domain(host)),
    });
    Arc::new(Plan::new(&catalog(case), &hosts.collect::<Vec<_>>()))
}

/// Settings of an entry host.
pub fn settings(host: usize, seed: u64) -> Settings {
    Settings {
        address: address(2, host),
        domain: domain_name(domain(host)),
        extra: Limit::default(),
        cold_overage: 1.5,
        cold_slack: 5.0,
        estimator: Estimator::default(),
        margin: Span::from_ms(7),
        margin_first: Span::from_ms(13),
        list_lag: Span::from_ms(800),
        seed: seed * 1_000 + host as u64,
    }
}

/// Time until `work` that starts now at a replica is done, with the pauses in between.
pub fn with_pauses(case: &Case, server: usize, now: Time, work: Span) -> Span {
    let (length, period) = (case.pause.0.as_us(), case.pause.1.as_us());
    if length == 0 {
        return work;
    }
    let offset = (server as u64 * 7_919_377) % period;
    let mut at = now.as_us() + offset;
    let mut left = work.as_us();
    loop {
        let phase = at % period;
        if phase < length {
            at += length - phase;
            continue;
        }
        let free = period - phase;
        if left <= free {
            return Span::from_us(at + left - now.as_us() - offset);
        }
        left -= free;
        at += free;
    }
}
