//! Chooses a replica for each sub-request at an entry daemon, and finds its owner.
//!
//! The entry role asks the [`Router`] for a replica, sends the sub-request to the
//! replica's owner and reports back which replica the owner used. Owners broadcast the
//! health of their replicas to all routers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::limiter::Health;
use crate::manifest::Manifest;
use crate::manifest::Replica;
use crate::manifest::Shard;
use crate::name::Name;
use crate::placement::Candidate;
use crate::placement::Spread;
use crate::placement::owners;
use crate::query::Query;
use crate::quota::Rate;
use crate::request::Cause;

/// One in this many sub-requests prefers a cold replica to a ready one.
const COLD_TURN_INTERVAL: u64 = 4;

/// Owners, health and outstanding sub-requests of all replicas, as one entry daemon sees
/// them.
#[derive(Clone, Debug, Default)]
pub struct Router {
    owners: BTreeMap<SocketAddr, Name>,
    health: BTreeMap<SocketAddr, (Health, Option<Name>)>,
    /// Limits that replicas name, as their owners last reported them.
    limits: BTreeMap<SocketAddr, Rate>,
    outstanding: BTreeMap<SocketAddr, u32>,
    manifest: Arc<Manifest>,
}

impl Router {
    /// Recomputes the owners for a manifest and the daemons that may own replicas. Drops
    /// the health of replicas that no longer have an owner, and counts of zero.
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
        self.limits
            .retain(|replica, _| self.owners.contains_key(replica));
        self.outstanding.retain(|_, count| *count > 0);
    }

    /// Stores the health and the boot identifier that an owner reported for a replica.
    pub fn set_health(&mut self, replica: SocketAddr, health: Health, boot: Option<Name>) {
        self.health.insert(replica, (health, boot));
    }

    /// Records the limit that a replica names, as its owner reports it.
    pub fn set_limit(&mut self, replica: SocketAddr, limit: Option<Rate>) {
        match limit {
            Some(limit) => drop(self.limits.insert(replica, limit)),
            None => drop(self.limits.remove(&replica)),
        }
    }

    /// The limit that a replica names, if its owner last reported one.
    pub fn limit(&self, replica: &SocketAddr) -> Option<Rate> {
        self.limits.get(replica).copied()
    }

    /// The health last reported for a replica; the default, ready, without a report.
    pub fn health(&self, replica: &SocketAddr) -> Health {
        self.health
            .get(replica)
            .map(|(health, _)| *health)
            .unwrap_or_default()
    }

    /// The boot identifier of a replica, if its owner last reported it as ready and with
    /// a boot identifier.
    pub fn ready_boot(&self, replica: &SocketAddr) -> Option<Name> {
        let (health, boot) = self.health.get(replica)?;
        boot.clone().filter(|_| *health == Health::Ready)
    }

    /// The addresses of all replicas with the hosts of their owners.
    pub fn owners(&self) -> impl Iterator<Item = (&SocketAddr, &Name)> {
        self.owners.iter()
    }

    /// The host that owns a replica, if any does.
    pub fn owner(&self, replica: &SocketAddr) -> Option<&Name> {
        self.owners.get(replica)
    }

    /// The addresses of the replicas that `host` owns.
    pub fn owned_by<'a>(&'a self, host: &'a Name) -> impl Iterator<Item = &'a SocketAddr> {
        self.owners
            .iter()
            .filter(move |(_, owner)| *owner == host)
            .map(|(replica, _)| replica)
    }

    /// Counts a sub-request as outstanding at a replica.
    pub fn record_sent(&mut self, replica: SocketAddr) {
        *self.outstanding.entry(replica).or_default() += 1;
    }

    /// Counts a sub-request at a replica as ended.
    pub fn record_ended(&mut self, replica: &SocketAddr) {
        if let Some(count) = self.outstanding.get_mut(replica) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the position of the best replica of `shard` that isn't in `tried`. `seed`
    /// breaks ties and decides when a cold replica is preferred.
    ///
    /// # Errors
    ///
    /// `Overloaded` if every replica was tried, `DomainOut` if the failure domains of all
    /// others are out of service, `NoOwner` if none of those in service has an owner.
    pub fn choose(
        &self,
        shard: &Shard,
        tried: &BTreeSet<usize>,
        seed: u64,
    ) -> Result<usize, Cause> {
        let all = shard.replicas.iter().enumerate();
        let untried = all
            .filter(|(index, _)| !tried.contains(index))
            .collect::<Vec<_>>();
        if untried.is_empty() {
            return Err(Cause::Overloaded);
        }
        let in_service = untried
            .into_iter()
            .filter(|(_, r)| self.manifest.is_domain_in_service(&r.domain));
        let in_service = in_service.collect::<Vec<_>>();
        if in_service.is_empty() {
            return Err(Cause::DomainOut);
        }
        let owned = in_service
            .into_iter()
            .filter(|(_, r)| self.owners.contains_key(&r.address));
        let best = owned.min_by_key(|(index, replica)| self.cost(*index, replica, seed));
        best.map(|(index, _)| index).ok_or(Cause::NoOwner)
    }

    /// Sort key of a replica, the smallest first: rank of its health, sub-requests
    /// outstanding from this daemon, and a tie-break by seed.
    fn cost(&self, index: usize, replica: &Replica, seed: u64) -> (u8, u32, u64) {
        let health = self.health(&replica.address);
        let prefer_cold = seed.is_multiple_of(COLD_TURN_INTERVAL);
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
        (rank, load, (seed / COLD_TURN_INTERVAL + index as u64) % 2)
    }

    /// Addresses of the replicas that the owner of the replica at `index` may use
    /// instead: its other replicas of the same shard that are untried and in service.
    pub fn alternatives(
        &self,
        shard: &Shard,
        index: usize,
        tried: &BTreeSet<usize>,
    ) -> Vec<SocketAddr> {
        let owner = self.owners.get(&shard.replicas[index].address);
        let others = shard
            .replicas
            .iter()
            .enumerate()
            .filter(|(other, replica)| {
                let usable = *other != index
                    && !tried.contains(other)
                    && self.manifest.is_domain_in_service(&replica.domain);
                usable && self.owners.get(&replica.address) == owner
            });
        others.map(|(_, replica)| replica.address).collect()
    }

    /// Marks the replica that the owner chose as tried instead of the preferred one. With
    /// `overloaded`, marks all replicas of that owner as tried: an owner that refuses a
    /// part as overloaded had no room on any of them.
    pub fn record_choice(&self, query: &mut Query, part: usize, choice: &Choice, overloaded: bool) {
        let shard = query.shard(part).clone();
        let tried = &mut query.parts[part].tried;
        let position = |address| shard.replicas.iter().position(|r| r.address == address);
        if choice.chosen != choice.preferred {
            tried.retain(|index| Some(*index) != position(choice.preferred));
            tried.extend(position(choice.chosen));
        }
        if overloaded {
            let same_owner =
                |replica: &Replica| self.owners.get(&replica.address) == Some(&choice.host);
            let all = shard
                .replicas
                .iter()
                .enumerate()
                .filter(|(_, replica)| same_owner(replica));
            tried.extend(all.map(|(index, _)| index));
        }
    }
}

/// The replica that the entry daemon preferred for a sub-request and the one that the
/// owner chose.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Host of the owner.
    pub host: Name,
    /// Address of the replica that the entry daemon preferred.
    pub preferred: SocketAddr,
    /// Address of the replica that the owner chose.
    pub chosen: SocketAddr,
}
