//! Assignment of entry hosts to services: which hosts gather which branches, and what
//! share of a service's limits each host may use.
//!
//! Load pattern: a gather over many shards on hosts with little processor time. A single
//! host would need longer to send the parts and read the answers than callers wait, and
//! each host would need a connection to each replica. The shards of such a gather are
//! therefore split into branches, and a few hosts of each failure domain gather a
//! branch. Rendezvous hashing picks them, so that adding or removing a host changes few
//! assignments.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::Catalog;
use crate::catalog::Route;
use crate::catalog::Target;
use crate::digest::Digest;
use crate::name::Name;

/// Smallest number of shards for which a gather is split into branches.
const SPLIT_SHARDS_MIN: usize = 40;

/// Most shards of a branch.
const BRANCH_SHARDS_MAX: usize = 10;

/// Number of hosts in each failure domain that gather a branch.
const MEMBERS_PER_DOMAIN: usize = 2;

/// Share of a service's limits that the hosts that gather for it use together. Each other
/// host may use the rest divided by the number of all hosts.
const MEMBERS_SHARE: f64 = 0.5;

/// An entry host.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Host {
    /// Address at which the host takes messages from other hosts.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: Name,
}

/// Some shards of a route, with the hosts that gather from them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Branch {
    /// Indices of the shards in the route's list.
    pub shards: Range<usize>,
    /// Hosts that may gather the branch.
    pub members: Vec<Host>,
}

/// Assignment for one configuration and one set of entry hosts.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    hosts: Vec<Host>,
    /// Branches of each split gather, by its shards. Names of routes may repeat, and a request may
    /// match a route of another configuration; neither may select branches of other shards.
    branches: HashMap<Vec<Name>, Vec<Branch>>,
    /// Hosts that gather from each service; services outside of split routes are absent.
    members: HashMap<Name, BTreeSet<SocketAddr>>,
}

impl Plan {
    /// The plan for this configuration and these entry hosts.
    pub fn new(catalog: &Catalog, hosts: &[Host]) -> Plan {
        let mut plan = Plan {
            hosts: hosts.to_vec(),
            ..Plan::default()
        };
        for shards in catalog
            .routes
            .iter()
            .filter_map(|route| split_shards(route))
        {
            plan.split(shards);
        }
        plan
    }

    /// Splits these shards into branches of nearly equal size.
    fn split(&mut self, shards: &[Name]) {
        if self.branches.contains_key(shards) {
            return;
        }
        let count = shards.len().div_ceil(BRANCH_SHARDS_MAX);
        let boundary = |index: usize| index * shards.len() / count;
        let ranges = (0..count).map(|index| boundary(index)..boundary(index + 1));
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
        self.branches.insert(shards.to_vec(), branches);
    }

    /// All entry hosts.
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    /// Hosts that gather some branch, possibly repeated.
    pub fn members(&self) -> impl Iterator<Item = &Host> {
        let branches = self.branches.values().flatten();
        branches.flat_map(|branch| &branch.members)
    }

    /// Branches of a route; `None` if each host gathers all its shards itself.
    pub fn branches(&self, route: &Route) -> Option<&[Branch]> {
        let branches = self.branches.get(split_shards(route)?)?;
        Some(branches)
    }

    /// Share of a service's limits that this host may use, from 0 to 1.
    pub fn limit_share(&self, service: &Name, host: SocketAddr) -> f64 {
        let all = self.hosts.len().max(1) as f64;
        match self.members.get(service) {
            None => 1.0 / all,
            Some(members) if members.contains(&host) => MEMBERS_SHARE / members.len() as f64,
            Some(_) => (1.0 - MEMBERS_SHARE) / all,
        }
    }

    /// Hosts that may send to a cold replica of a service.
    pub fn senders(&self, service: &Name) -> Vec<SocketAddr> {
        match self.members.get(service) {
            Some(members) => members.iter().copied().collect(),
            None => self.hosts.iter().map(|host| host.address).collect(),
        }
    }
}

/// Shards of a route that is split into branches; `None` for other routes.
fn split_shards(route: &Route) -> Option<&[Name]> {
    match &route.target {
        Target::Gather { shards, .. } if shards.len() >= SPLIT_SHARDS_MIN => Some(shards),
        Target::Gather { .. } | Target::Weighted(_) => None,
    }
}

/// Hosts that gather the branch whose first shard is `shard`.
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
