//! What is served: routes, the services behind them, and the limits of callers.
//!
//! A catalog is one version of the operators' configuration. It is immutable; a
//! request keeps the catalog under which it began until it is answered.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use derive_more::Display;

use crate::clock::Span;
use crate::name::Name;

/// Idle time after which a caller's connection may be closed, unless configured.
const IDLE_MAX: Span = Span::from_secs(15);

/// Largest head of a request in bytes, unless configured.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// Largest body of a request in bytes, unless configured.
const BODY_MAX_BYTES: usize = 256 * 1024;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Repeat {
    /// It may run on several replicas.
    #[display("idempotent")]
    Idempotent,
    /// It runs at most once.
    #[display("once")]
    Once,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// To one replica of one of several services, in proportion to their weights.
    Split(Vec<(Name, f64)>),
    /// To one replica of each shard, whose answers are merged.
    Gather {
        /// The services that hold the shards.
        shards: Vec<Name>,
        /// Most records in the merged answer.
        top: usize,
        /// Smallest share of shards with which an answer is a success.
        coverage_min: f64,
    },
}

impl Target {
    /// Most records in the merged answer.
    pub fn top(&self) -> usize {
        match self {
            Target::Gather { top, .. } => *top,
            Target::Split(_) => 0,
        }
    }

    /// How many of `parts` must be in for a success.
    pub fn needed(&self, parts: usize) -> usize {
        match self {
            Target::Gather { coverage_min, .. } => {
                let needed = parts as f64 * coverage_min;
                (needed - 1e-9).ceil().max(1.0) as usize
            }
            Target::Split(_) => 1,
        }
    }
}

/// A route: which requests it takes, and how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Name,
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Span,
    /// Latency within which an answer has its full worth.
    pub objective: Span,
    /// Rank under load; zero is the most important.
    pub priority: u32,
    /// Most replicas, for each shard, on which a request may run.
    pub attempts_max: u32,
    /// Where its requests go.
    pub target: Target,
}

/// A service behind the routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Connections that one replica accepts from all entry hosts together.
    pub connections_max: u32,
    /// Time for which a started replica is cold.
    pub warmup: Span,
    /// Requests a second that a cold replica bears.
    pub warmup_per_s: f64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_max: usize,
    /// Largest body, in bytes.
    pub body_max: usize,
    /// Longest time to send a head.
    pub head_time_max: Span,
    /// Longest time for which a connection may be idle.
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
    /// Version; zero where there is none yet.
    pub version: u64,
    /// Routes in the order of the file.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// What callers may send.
    pub limits: Limits,
    routes_by_host: HashMap<Arc<str>, Vec<usize>>,
}

/// Why a configuration can't be used.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Fault {
    /// It can't be read.
    #[display("not readable: {_0}")]
    Unreadable(String),
    /// A route names a service that isn't declared.
    #[display("route {route}: service {service} is not declared")]
    UnknownService {
        /// The route.
        route: Name,
        /// The service.
        service: Name,
    },
    /// Two routes take the same requests.
    #[display("routes {first} and {second} have the same host and prefix")]
    DuplicateRoute {
        /// The earlier route.
        first: Name,
        /// The later route.
        second: Name,
    },
    /// A route sends nothing anywhere.
    #[display("route {_0}: the weights add up to nothing")]
    NoWeight(Name),
    /// A route allows no time at all.
    #[display("route {_0}: the timeout is zero")]
    NoTimeout(Name),
    /// A prefix doesn't begin and end with a slash.
    #[display("route {_0}: the prefix must begin and end with a slash")]
    BadPrefix(Name),
}

/// A checked value, or the first fault found.
pub type Result<T> = std::result::Result<T, Fault>;

impl Route {
    /// The services that it names.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        let (split, shards) = match &self.target {
            Target::Split(parts) => (parts.as_slice(), &[][..]),
            Target::Gather { shards, .. } => (&[][..], shards.as_slice()),
        };
        split.iter().map(|(name, _)| name).chain(shards)
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
            Target::Split(parts) => parts.iter().map(|(_, weight)| weight.max(0.0)).sum(),
            Target::Gather { shards, .. } => shards.len() as f64,
        };
        if total > 0.0 {
            return Ok(());
        }
        Err(Fault::NoWeight(self.name.clone()))
    }
}

impl Catalog {
    /// A checked catalog.
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
        for route in routes {
            route.check(&catalog.services)?;
            catalog.insert(route)?;
        }
        let routes = &catalog.routes;
        for indices in catalog.routes_by_host.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        Ok(catalog)
    }

    fn insert(&mut self, route: Route) -> Result<()> {
        let indices = self.routes_by_host.entry(route.host.clone()).or_default();
        let same = indices
            .iter()
            .map(|index| &self.routes[*index])
            .find(|other| other.prefix == route.prefix);
        if let Some(first) = same {
            return Err(Fault::DuplicateRoute {
                first: first.name.clone(),
                second: route.name,
            });
        }
        indices.push(self.routes.len());
        self.routes.push(Arc::new(route));
        Ok(())
    }

    /// The route of a request: of those for its host, the one with the longest
    /// prefix that begins its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let indices = self.routes_by_host.get(host)?;
        let fits = |route: &&Arc<Route>| path.starts_with(&*route.prefix);
        indices.iter().map(|index| &self.routes[*index]).find(fits)
    }
}
