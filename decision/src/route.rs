//! Choice of a replica and of the daemon that owns it, at an entry daemon.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::gate::Health;
use crate::manifest::Manifest;
use crate::manifest::Replica;
use crate::manifest::Shard;
use crate::name::Name;
use crate::placement::Candidate;
use crate::placement::Spread;
use crate::placement::owners;
use crate::query::Query;
use crate::request::Cause;

/// One in this many first choices goes to a cold replica beside a ready one.
const COLD_SHARE: u64 = 4;

/// What an entry daemon knows of replicas.
#[derive(Clone, Debug, Default)]
pub struct Router {
    owners: BTreeMap<SocketAddr, Name>,
    health: BTreeMap<SocketAddr, (Health, Option<Name>)>,
    outstanding: BTreeMap<SocketAddr, u32>,
    manifest: Arc<Manifest>,
}

impl Router {
    /// Takes a configuration and the daemons that may own replicas.
    pub fn update(&mut self, manifest: &Arc<Manifest>, candidates: &[Candidate], spread: Spread) {
        self.manifest = manifest.clone();
        self.owners.clear();
        for service in manifest.services.values() {
            for shard in &service.shards {
                let hosts = owners(&service.name, shard, candidates, spread);
                let replicas = shard.replicas.iter().map(|replica| replica.address);
                self.owners.extend(replicas.zip(hosts));
            }
        }
        self.health
            .retain(|replica, _| self.owners.contains_key(replica));
        self.outstanding.retain(|_, count| *count > 0);
    }

    /// Takes an owner's word on a replica.
    pub fn set_health(&mut self, replica: SocketAddr, health: Health, boot: Option<Name>) {
        self.health.insert(replica, (health, boot));
    }

    /// The state last told of a replica.
    pub fn health(&self, replica: &SocketAddr) -> Health {
        self.health
            .get(replica)
            .map(|(health, _)| *health)
            .unwrap_or_default()
    }

    /// The boot identifier under which its owner last told that a replica is ready.
    pub fn ready_boot(&self, replica: &SocketAddr) -> Option<Name> {
        let (health, boot) = self.health.get(replica)?;
        boot.clone().filter(|_| *health == Health::Ready)
    }

    /// All replicas with their owners.
    pub fn owners(&self) -> impl Iterator<Item = (&SocketAddr, &Name)> {
        self.owners.iter()
    }

    /// The owner of a replica.
    pub fn owner(&self, replica: &SocketAddr) -> Option<&Name> {
        self.owners.get(replica)
    }

    /// Replicas owned by `host`.
    pub fn owned_by<'a>(&'a self, host: &'a Name) -> impl Iterator<Item = &'a SocketAddr> {
        self.owners
            .iter()
            .filter(move |(_, owner)| *owner == host)
            .map(|(replica, _)| replica)
    }

    /// Counts a sub-request sent to a replica.
    pub fn record_sent(&mut self, replica: SocketAddr) {
        *self.outstanding.entry(replica).or_default() += 1;
    }

    /// Counts a sub-request ended at a replica.
    pub fn record_ended(&mut self, replica: &SocketAddr) {
        if let Some(count) = self.outstanding.get_mut(replica) {
            *count = count.saturating_sub(1);
        }
    }

    /// The position of the best replica of `shard` not yet tried, or why none is.
    pub fn choose(
        &self,
        shard: &Shard,
        tried: &BTreeSet<usize>,
        seed: u64,
    ) -> Result<usize, Cause> {
        let all = shard.replicas.iter().enumerate();
        let untried = all
            .filter(|(at, _)| !tried.contains(at))
            .collect::<Vec<_>>();
        if untried.is_empty() {
            return Err(Cause::Full);
        }
        let in_service = untried
            .into_iter()
            .filter(|(_, r)| self.manifest.is_domain_in_service(&r.domain));
        let in_service = in_service.collect::<Vec<_>>();
        if in_service.is_empty() {
            return Err(Cause::Out);
        }
        let owned = in_service
            .into_iter()
            .filter(|(_, r)| self.owners.contains_key(&r.address));
        let best = owned.min_by_key(|(at, replica)| self.cost(*at, replica, seed));
        best.map(|(at, _)| at).ok_or(Cause::NoOwner)
    }

    /// Rank of a replica: state, load from here, then a spread by seed.
    fn cost(&self, at: usize, replica: &Replica, seed: u64) -> (u8, u32, u64) {
        let health = self.health(&replica.address);
        let prefer_cold = seed.is_multiple_of(COLD_SHARE);
        let rank = match health {
            Health::Cold if prefer_cold => 0,
            Health::Ready => 1,
            Health::Cold => 2,
            Health::Draining => 3,
            Health::Stalled => 4,
        };
        let load = self
            .outstanding
            .get(&replica.address)
            .copied()
            .unwrap_or_default();
        (rank, load, (seed / COLD_SHARE + at as u64) % 2)
    }

    /// Addresses of the other untried replicas of `shard` with the owner of `at`.
    pub fn alternatives(
        &self,
        shard: &Shard,
        at: usize,
        tried: &BTreeSet<usize>,
    ) -> Vec<SocketAddr> {
        let owner = self.owners.get(&shard.replicas[at].address);
        let others = shard
            .replicas
            .iter()
            .enumerate()
            .filter(|(other, replica)| {
                let usable = *other != at
                    && !tried.contains(other)
                    && self.manifest.is_domain_in_service(&replica.domain);
                usable && self.owners.get(&replica.address) == owner
            });
        others.map(|(_, replica)| replica.address).collect()
    }

    /// Notes the replica that an owner chose instead of the preferred one; a part
    /// that was refused for load had no room on any replica of that owner's.
    pub fn record_choice(&self, query: &mut Query, part: usize, choice: &Choice, no_room: bool) {
        let shard = query.shard(part).clone();
        let tried = &mut query.parts[part].tried;
        let position = |address| shard.replicas.iter().position(|r| r.address == address);
        if choice.chosen != choice.preferred {
            tried.retain(|at| Some(*at) != position(choice.preferred));
            tried.extend(position(choice.chosen));
        }
        if no_room {
            let same = |replica: &Replica| self.owners.get(&replica.address) == Some(&choice.host);
            let all = shard
                .replicas
                .iter()
                .enumerate()
                .filter(|(_, replica)| same(replica));
            tried.extend(all.map(|(at, _)| at));
        }
    }
}

/// The replica that an owner chose for a sub-request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The owner's host.
    pub host: Name,
    /// The replica that the entry daemon preferred.
    pub preferred: SocketAddr,
    /// The replica that the owner chose.
    pub chosen: SocketAddr,
}
