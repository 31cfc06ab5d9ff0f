//! The operators' file as data: services, shards, failure domains, hosts and callers.
//!
//! The module `parse` builds a [`Manifest`] from the text of the file; all daemons route
//! and admit requests by the version in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::account::Directory;
use crate::account::callers;
use crate::clock::Span;
use crate::name::Name;

/// Whether new work may go to a failure domain or host.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// In service.
    #[default]
    In,
    /// Taken out of service by operators: gets no new work.
    Out,
}

/// A copy of a shard on one backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Failure domain of the backend server.
    pub domain: Name,
}

/// A shard of a service with its replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shard {
    /// Name, unique within the service.
    pub name: Name,
    /// Replicas of the shard, 1 to 8.
    pub replicas: Vec<Replica>,
}

/// Load limits of one backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Requests that the server works on at once.
    pub slots: u32,
    /// Connections that the server accepts.
    pub connections: u32,
    /// Working time that each new connection costs the server.
    pub connect_cost: Span,
    /// Requests at once while the server is cold; at most `slots`.
    pub cold_limit: u32,
    /// Time for which the server is cold after a start.
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

/// When a late sub-request is sent to a second replica as well.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hedge {
    /// Latency quantile, from 0.5 to below 1, after which a second sub-request is sent.
    pub quantile: f64,
    /// Largest share of extra sub-requests, from 0 to 1; zero turns hedging off.
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

/// Service-level objective: when an answer is good, and how many must be.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Objective {
    /// Greatest latency of a good answer.
    pub latency: Span,
    /// Smallest coverage of a good answer, from 0 to 1.
    pub coverage: f64,
    /// Share of answers that must be good, above 0 and below 1.
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

/// A service: its shards, limits and deadlines.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name, unique in the file.
    pub name: Name,
    /// Shards in the order of their names.
    pub shards: Vec<Shard>,
    /// Limits of each backend server.
    pub limits: Limits,
    /// Deadline of requests whose caller sets none.
    pub deadline: Span,
    /// Longest deadline that a caller may set.
    pub deadline_max: Span,
    /// Priority from 0 (first to be refused) to 9.
    pub priority: u8,
    /// Smallest coverage, from 0 to 1, with which a partial answer is returned.
    pub min_coverage: f64,
    /// When and how often sub-requests are hedged.
    pub hedge: Hedge,
    /// Service-level objective of the answers.
    pub objective: Objective,
}

/// A host on which a daemon may run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Failure domain of the host.
    pub domain: Name,
    /// Whether the host gets new work; operators take it out for a planned stop.
    pub state: State,
}

/// One version of the operators' file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Manifest {
    /// Version number; greater in each file that is accepted.
    pub version: u64,
    /// Failure domains and whether they are in service.
    pub domains: BTreeMap<Name, State>,
    /// Hosts of daemons, as far as they are declared. A host that isn't declared is in
    /// service.
    pub hosts: BTreeMap<Name, Host>,
    /// Accounts of the callers, each with one key.
    #[serde(with = "callers")]
    pub callers: Directory,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
}

impl Manifest {
    /// Whether new work may go to `domain`. A domain that isn't declared is in service.
    pub fn is_domain_in_service(&self, domain: &str) -> bool {
        self.domains.get(domain) != Some(&State::Out)
    }

    /// Whether a daemon on `host` in `domain` may own replicas: both must be in service.
    pub fn may_own(&self, host: &str, domain: &str) -> bool {
        let host_in_service = self
            .hosts
            .get(host)
            .is_none_or(|host| host.state == State::In);
        host_in_service && self.is_domain_in_service(domain)
    }
}
