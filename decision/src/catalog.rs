//! The catalog: routes, the services behind them, and limits on callers.
//!
//! A catalog is one version of the operators' configuration. It is immutable, and a
//! request keeps the catalog under which it started until it is answered.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use derive_more::Display;

use crate::account;
use crate::account::Directory;
use crate::clock::Span;
use crate::name::Name;

/// Default time after which an idle connection of a caller may be closed.
const IDLE_MAX: Span = Span::from_secs(15);

/// Default limit on the size of a request's head, in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// Default limit on the size of a request's body, in bytes.
const BODY_MAX_BYTES: usize = 256 * 1024;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Repeat {
    /// The request may run on several replicas.
    #[display("idempotent")]
    Idempotent,
    /// The request runs at most once.
    #[display("once")]
    Once,
}

/// Destination of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One replica of one of several services, chosen in proportion to their weights.
    Weighted(Vec<(Name, f64)>),
    /// One replica of each shard; the answers are merged.
    Gather {
        /// Services that hold the shards.
        shards: Vec<Name>,
        /// Most records in the merged answer.
        top: usize,
        /// Smallest share of the shards that must answer for a success, from 0 to 1.
        coverage_min: f64,
    },
}

impl Target {
    /// Most records in the merged answer; zero if answers are not merged.
    pub fn top(&self) -> usize {
        match self {
            Target::Gather { top, .. } => *top,
            Target::Weighted(_) => 0,
        }
    }

    /// Number of answered parts needed for a success, out of `parts`.
    pub fn needed(&self, parts: usize) -> usize {
        match self {
            Target::Gather { coverage_min, .. } => {
                let needed = parts as f64 * coverage_min;
                (needed - 1e-9).ceil().max(1.0) as usize
            }
            Target::Weighted(_) => 1,
        }
    }
}

/// Which requests a route matches, and how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in logs and metrics, and of what hosts learn of its requests. Unique in a catalog:
    /// [`Catalog::new`] adds host and prefix to a name that the configuration gives to several.
    pub name: Name,
    /// Value of the `Host` header that the route matches.
    pub host: Arc<str>,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Longest time for which a caller waits.
    pub timeout: Span,
    /// Latency objective: an answer is of full value within this time.
    pub objective: Span,
    /// Priority under load; zero is the most important.
    pub priority: u32,
    /// Whether its requests need no key of an account.
    pub open: bool,
    /// Most replicas of each shard on which a request may run.
    pub attempts_max: u32,
    /// Destination of the requests.
    pub target: Target,
}

/// A service that routes may name.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Most connections that one replica accepts from all entry hosts together.
    pub connections_max: u32,
    /// Time for which a replica is cold after its start.
    pub warmup: Span,
    /// Requests per second allowed to a cold replica.
    pub warmup_per_s: f64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest size of a request's head, in bytes.
    pub head_max: usize,
    /// Largest size of a request's body, in bytes.
    pub body_max: usize,
    /// Longest time to send a head.
    pub head_time_max: Span,
    /// Longest idle time of a connection.
    pub idle_max: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_max: HEAD_MAX_BYTES,
            body_max: BODY_MAX_BYTES,
            head_time_max: Span::from_secs(3),
            idle_max: IDLE_MAX,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version; zero for the empty default.
    pub version: u64,
    /// Routes in the order of the configuration.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// Client accounts.
    pub accounts: Directory,
    /// Indices into `routes` for each host, longest prefix first.
    routes_by_host: HashMap<Arc<str>, Vec<usize>>,
}

/// Why a configuration is rejected.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Fault {
    /// The document can't be parsed.
    #[display("not readable: {_0}")]
    Unreadable(String),
    /// A route names an undeclared service.
    #[display("route {route}: service {service} is not declared")]
    UnknownService {
        /// The route.
        route: Name,
        /// The service.
        service: Name,
    },
    /// Two routes have the same host and prefix.
    #[display("routes {first} and {second} have the same host and prefix")]
    DuplicateRoute {
        /// The earlier route.
        first: Name,
        /// The later route.
        second: Name,
    },
    /// The weights of a route sum to zero, or it gathers from no shards.
    #[display("route {_0}: the weights add up to nothing")]
    NoWeight(Name),
    /// The timeout of a route is zero.
    #[display("route {_0}: the timeout is zero")]
    NoTimeout(Name),
    /// A prefix doesn't begin and end with a slash.
    #[display("route {_0}: the prefix must begin and end with a slash")]
    BadPrefix(Name),
    /// The accounts are inconsistent.
    Accounts(account::Fault),
}

/// A checked value, or the first fault.
pub type Result<T> = std::result::Result<T, Fault>;

impl Route {
    /// All services that the route names.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        let (weighted, shards) = match &self.target {
            Target::Weighted(services) => (services.as_slice(), &[][..]),
            Target::Gather { shards, .. } => (&[][..], shards.as_slice()),
        };
        weighted.iter().map(|(name, _)| name).chain(shards)
    }

    /// The route with this priority in place of its own, if there is one.
    pub fn with_priority(self: Arc<Route>, priority: Option<u32>) -> Arc<Route> {
        match priority {
            Some(priority) if priority != self.priority => Arc::new(Route {
                priority,
                ..Route::clone(&self)
            }),
            _ => self,
        }
    }

    fn check(&self, services: &BTreeMap<Name, Service>) -> Result<()> {
        let unknown = self.services().find(|name| !services.contains_key(*name));
        if let Some(service) = unknown {
            return Err(Fault::UnknownService {
                route: self.name.clone(),
                service: service.clone(),
            });
        }
        if self.timeout == Span::ZERO {
            return Err(Fault::NoTimeout(self.name.clone()));
        }
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return Err(Fault::BadPrefix(self.name.clone()));
        }
        let total = match &self.target {
            Target::Weighted(services) => services.iter().map(|(_, weight)| weight.max(0.0)).sum(),
            Target::Gather { shards, .. } => shards.len() as f64,
        };
        if total > 0.0 {
            return Ok(());
        }
        Err(Fault::NoWeight(self.name.clone()))
    }
}

impl Catalog {
    /// A catalog of these routes and services, or the first fault found.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<Name, Service>,
        limits: Limits,
    ) -> Result<Catalog> {
        let mut catalog = Catalog {
            version,
            services,
            limits,
            ..Catalog::default()
        };
        for route in &routes {
            route.check(&catalog.services)?;
        }
        check_distinct(&routes)?;
        with_unique_names(routes)
            .into_iter()
            .for_each(|route| catalog.insert(route));
        let routes = &catalog.routes;
        for indices in catalog.routes_by_host.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        Ok(catalog)
    }

    /// The catalog with these client accounts.
    pub fn with_accounts(self, accounts: Directory) -> Catalog {
        Catalog { accounts, ..self }
    }

    fn insert(&mut self, route: Route) {
        let indices = self.routes_by_host.entry(route.host.clone()).or_default();
        indices.push(self.routes.len());
        self.routes.push(Arc::new(route));
    }

    /// The route that matches a request: the one with the longest matching prefix among
    /// the routes of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let indices = self.routes_by_host.get(host)?;
        let matches = |route: &&Arc<Route>| path.starts_with(&*route.prefix);
        indices
            .iter()
            .map(|index| &self.routes[*index])
            .find(matches)
    }
}

/// Rejects two routes of the same host and prefix.
fn check_distinct(routes: &[Route]) -> Result<()> {
    let mut names = HashMap::new();
    for route in routes {
        if let Some(first) = names.insert((&route.host, &route.prefix), &route.name) {
            return Err(Fault::DuplicateRoute {
                first: first.clone(),
                second: route.name.clone(),
            });
        }
    }
    Ok(())
}

/// Adds host and prefix to each name that several routes have, until all names differ. All routes
/// of a name change theirs, so that none takes over what was learned of another one.
fn with_unique_names(mut routes: Vec<Route>) -> Vec<Route> {
    loop {
        let mut uses = HashMap::<Name, usize>::new();
        for route in &routes {
            *uses.entry(route.name.clone()).or_default() += 1;
        }
        if uses.len() == routes.len() {
            return routes;
        }
        for route in routes.iter_mut().filter(|route| uses[&route.name] > 1) {
            let Route {
                name, host, prefix, ..
            } = route;
            *name = Name::from(format!("{name} {host:?} {prefix:?}"));
        }
    }
}
