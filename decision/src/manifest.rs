//! The operators' file: services, shards, failure domains, callers and limits.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::digest::Digest;
use crate::name::Name;

/// Whether new work may go to a failure domain or host.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// In service.
    #[default]
    In,
    /// Taken out by operators: no new work.
    Out,
}

/// One copy of a shard on a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Failure domain of the backend server.
    pub domain: Name,
}

/// One shard of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shard {
    /// Name, unique in the service.
    pub name: Name,
    /// The copies, 1 to 8.
    pub replicas: Vec<Replica>,
}

/// Limits of one backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Requests it works on at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Time that one new connection costs it.
    pub connect_cost: Span,
    /// Requests at once while it is cold.
    pub cold_limit: u32,
    /// Time for which it is cold after a start.
    pub warmup: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            slots: 2,
            connections: 25,
            connect_cost: Span::from_ms(6),
            cold_limit: 1,
            warmup: Span::from_secs(5),
        }
    }
}

/// When a second replica is asked for a late sub-request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hedge {
    /// Quantile of latency after which a hedge is sent.
    pub quantile: f64,
    /// Largest share of extra sub-requests; zero turns hedging off.
    pub budget: f64,
}

impl Default for Hedge {
    fn default() -> Hedge {
        Hedge {
            quantile: 0.97,
            budget: 0.05,
        }
    }
}

/// Service-level objective of a service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Objective {
    /// Latency within which an answer counts as good.
    pub latency: Span,
    /// Coverage from which an answer counts as good.
    pub coverage: f64,
    /// Share of answers that must be good.
    pub target: f64,
}

impl Default for Objective {
    fn default() -> Objective {
        Objective {
            latency: Span::from_ms(73),
            coverage: 1.0,
            target: 0.99,
        }
    }
}

/// A service: its shards and how it is answered.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Shards in the order of their names.
    pub shards: Vec<Shard>,
    /// Limits of each backend server.
    pub limits: Limits,
    /// Deadline when the caller names none.
    pub deadline: Span,
    /// Longest deadline a caller may ask for.
    pub deadline_max: Span,
    /// Priority from 0 (first to be refused) to 9.
    pub priority: u8,
    /// Smallest coverage answered as a partial answer.
    pub min_coverage: f64,
    /// Hedging.
    pub hedge: Hedge,
    /// Service-level objective.
    pub objective: Objective,
}

/// A caller and what it may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Caller {
    /// Name.
    pub name: Name,
    /// Digest of its bearer key.
    pub key: Digest,
    /// Services granted.
    pub services: Vec<Name>,
    /// Weight in fair sharing.
    pub weight: u32,
}

/// A host on which a daemon may run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Failure domain.
    pub domain: Name,
    /// Out for a planned stop.
    pub state: State,
}

/// One version of the operators' file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Manifest {
    /// Version, rising with each accepted file.
    pub version: u64,
    /// Failure domains.
    pub domains: BTreeMap<Name, State>,
    /// Hosts of daemons; empty where none is declared.
    pub hosts: BTreeMap<Name, Host>,
    /// Callers.
    pub callers: BTreeMap<Name, Caller>,
    /// Services.
    pub services: BTreeMap<Name, Service>,
}

impl Manifest {
    /// Whether new work may go to `domain`; one not declared is in.
    pub fn is_domain_in_service(&self, domain: &str) -> bool {
        self.domains.get(domain) != Some(&State::Out)
    }

    /// The caller whose key has this digest.
    pub fn caller_by_key(&self, key: &Digest) -> Option<&Caller> {
        self.callers.values().find(|caller| caller.key == *key)
    }

    /// Whether a daemon on `host` in `domain` may own replicas.
    pub fn may_own(&self, host: &str, domain: &str) -> bool {
        let host_in_service = self
            .hosts
            .get(host)
            .is_none_or(|host| host.state == State::In);
        host_in_service && self.is_domain_in_service(domain)
    }
}

impl Caller {
    /// Whether the caller may use `service`.
    pub fn may_use(&self, service: &str) -> bool {
        self.services.iter().any(|granted| **granted == *service)
    }
}
