//! Which entry hosts send to which services.
//!
//! Load pattern: a gather of many shards on hosts with little processor time each.
//! One host would need longer to send the parts and read their answers than callers
//! wait, and each host would need a connection to each replica. So the shards of
//! such a gather are split into branches, and a few hosts of each failure domain
//! gather for a branch. Rendezvous hashing picks them, so that a host that comes or
//! goes changes little.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::Catalog;
use crate::catalog::Route;
use crate::catalog::Target;
use crate::digest::Digest;
use crate::name::Name;

/// Shards from which a gather is split into branches.
const SPLIT_SHARDS_MIN: usize = 40;

/// Shards of a branch at most.
const BRANCH_SHARDS_MAX: usize = 10;

/// Hosts of each failure domain that gather for a branch.
const MEMBERS_PER_DOMAIN: usize = 2;

/// Part of a limit that hosts which gather for a service use together; the other
/// hosts use the rest.
const MEMBERS_SHARE: f64 = 0.5;

/// An entry host.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Host {
    /// Where it takes messages.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
}

/// Some shards of a route, and the hosts that gather from them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Branch {
    /// Positions of the shards in the route's list.
    pub shards: Range<usize>,
    /// The hosts.
    pub members: Vec<Host>,
}

/// Who sends to which services, for one configuration and one set of hosts.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    hosts: Vec<Host>,
    branches: HashMap<Name, Vec<Branch>>,
    members: HashMap<Name, BTreeSet<SocketAddr>>,
}

impl Plan {
    /// The plan for these hosts.
    pub fn new(catalog: &Catalog, hosts: &[Host]) -> Plan {
        let mut plan = Plan {
            hosts: hosts.to_vec(),
            ..Plan::default()
        };
        let split = catalog
            .routes
            .iter()
            .filter_map(|route| Some((route, split_shards(route)?)));
        for (route, shards) in split {
            plan.split(route, shards);
        }
        plan
    }

    fn split(&mut self, route: &Route, shards: &[Name]) {
        let count = shards.len().div_ceil(BRANCH_SHARDS_MAX);
        let bound = |at: usize| at * shards.len() / count;
        let ranges = (0..count).map(|at| bound(at)..bound(at + 1));
        let branches = ranges.map(|range| Branch {
            members: members(&self.hosts, &shards[range.start]),
            shards: range,
        });
        let branches = branches.collect::<Vec<_>>();
        for branch in &branches {
            let addresses = branch.members.iter().map(|host| host.address);
            for shard in &shards[branch.shards.clone()] {
                let known = self.members.entry(shard.clone()).or_default();
                known.extend(addresses.clone());
            }
        }
        self.branches.insert(route.name.clone(), branches);
    }

    /// The entry hosts.
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    /// The hosts that gather for some branch; one can come up more than once.
    pub fn members(&self) -> impl Iterator<Item = &Host> {
        let branches = self.branches.values().flatten();
        branches.flat_map(|branch| &branch.members)
    }

    /// The branches of a route; none if each host gathers all its shards itself.
    pub fn branches(&self, route: &Name) -> Option<&[Branch]> {
        let branches = self.branches.get(route)?;
        Some(branches)
    }

    /// The part of a service's limits that this host may use.
    pub fn limit_share(&self, service: &Name, host: SocketAddr) -> f64 {
        let all = self.hosts.len().max(1) as f64;
        match self.members.get(service) {
            None => 1.0 / all,
            Some(members) if members.contains(&host) => MEMBERS_SHARE / members.len() as f64,
            Some(_) => (1.0 - MEMBERS_SHARE) / all,
        }
    }

    /// The hosts that may send to a cold replica of a service.
    pub fn senders(&self, service: &Name) -> Vec<SocketAddr> {
        match self.members.get(service) {
            Some(members) => members.iter().copied().collect(),
            None => self.hosts.iter().map(|host| host.address).collect(),
        }
    }
}

/// The shards of a route that is split into branches.
fn split_shards(route: &Arc<Route>) -> Option<&[Name]> {
    match &route.target {
        Target::Gather { shards, .. } if shards.len() >= SPLIT_SHARDS_MIN => Some(shards),
        Target::Gather { .. } | Target::Split(_) => None,
    }
}

/// The hosts that gather for the branch that begins with this shard.
fn members(hosts: &[Host], shard: &Name) -> Vec<Host> {
    let mut ranked = BTreeMap::<&Name, Vec<(u64, &Host)>>::new();
    for host in hosts {
        let address = host.address.to_string();
        let rank = Digest::of_parts(&[shard.as_bytes(), address.as_bytes()]).rank();
        ranked.entry(&host.domain).or_default().push((rank, host));
    }
    for hosts in ranked.values_mut() {
        hosts.sort_unstable_by(|a, b| b.cmp(a));
        hosts.truncate(MEMBERS_PER_DOMAIN);
    }
    let chosen = ranked.into_values().flatten();
    chosen.map(|(_, host)| host.clone()).collect()
}
