//! Choice of a replica for a part of a request, within this host's share of the limits.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand_chacha::rand_core::Rng;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::endpoint::Endpoint;
use crate::flight::EndpointId;
use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::name::Name;
use crate::quota::Need;

/// Cost factor for a replica in another failure domain.
const REMOTE_COST: f64 = 2.2;

/// Share of a replica's connection limit that the entry hosts use together.
const CONNECTIONS_USED_SHARE: f64 = 0.85;

/// Share of these connections that hosts keep open between calls, if there are fewer connections
/// than hosts. The others are for the calls of all hosts.
const CONNECTIONS_KEPT_SHARE: f64 = 0.5;

/// Share of a cold replica's request limit that the entry hosts use together.
const COLD_USED_SHARE: f64 = 0.8;

/// Result of choosing a replica for a part.
pub(crate) enum Pick {
    /// Send the part to this replica.
    Endpoint(EndpointId),
    /// All usable replicas are at their limits; try again later.
    Wait,
    /// All usable replicas have no room under the limits that they name, or want no requests now. The
    /// first one has room after this time; [`Span::MAX`] if this host has no share of any.
    Limited(Span),
    /// No usable replica.
    Unavailable,
}

impl Gateway {
    /// Whether a replica of the service is listed as ready but is held back or silent.
    pub(crate) fn is_held_back(&self, now: Time, service: &Name) -> bool {
        let Some(pool) = self.pools.get(service) else {
            return false;
        };
        let mut known = pool
            .endpoints
            .iter()
            .filter_map(|id| self.endpoints.get(id));
        known.any(|endpoint| endpoint.is_held_back(now))
    }

    /// Number of parts of a request that have a usable replica.
    pub(crate) fn reachable(&self, now: Time, flight: &Flight) -> usize {
        let usable = |id: &EndpointId| {
            let endpoint = self.endpoints.get(id);
            endpoint.is_some_and(|endpoint| endpoint.is_usable(now))
        };
        let reachable = flight.parts.iter().filter(|part| {
            let pool = self.pools.get(&part.service);
            pool.is_some_and(|pool| pool.endpoints.iter().any(usable))
        });
        reachable.count()
    }

    /// The cheapest usable replica of a service that is within its limits, not in
    /// `tried`, and in `allowed` if that is given. `need` tells how much it may use of
    /// the limits that replicas name.
    pub(crate) fn pick(
        &mut self,
        now: Time,
        service: &Name,
        tried: &BTreeSet<EndpointId>,
        allowed: Option<&BTreeSet<EndpointId>>,
        need: Need,
    ) -> Pick {
        let Some(pool) = self.pools.get(service) else {
            return Pick::Unavailable;
        };
        let connections = self.connections(service) as usize;
        let mut best: Option<(f64, EndpointId)> = None;
        let mut at_limit = false;
        let mut limited = None;
        for id in pool.endpoints.clone() {
            let Some(endpoint) = self.endpoints.get(&id) else {
                continue;
            };
            let in_service = !self.closed.contains(&endpoint.replica.domain);
            let excluded =
                tried.contains(&id) || allowed.is_some_and(|allowed| !allowed.contains(&id));
            if excluded || !in_service {
                continue;
            }
            if let Some(wait) = endpoint.pause_left(now) {
                limited = Some(limited.map_or(wait, |least: Span| least.min(wait)));
                continue;
            }
            if !endpoint.is_usable(now) {
                continue;
            }
            if endpoint.in_flight() >= connections || !self.has_cold_capacity(now, id, service) {
                at_limit = true;
                continue;
            }
            let endpoint = self.endpoints.get(&id);
            let bucket = endpoint.and_then(|endpoint| endpoint.bucket.as_ref());
            if let Some(bucket) = bucket
                && !bucket.allows(now, need)
            {
                let wait = bucket.wait(now, need);
                limited = Some(limited.map_or(wait, |least: Span| least.min(wait)));
                continue;
            }
            let random = self.random.next_u32();
            let jitter = 1.0 + f64::from(random % 256) / 2_560.0;
            let draw = f64::from(random >> 16) / 65_536.0;
            let endpoint = &self.endpoints[&id];
            let local = endpoint.replica.domain == self.settings.domain;
            let distance_factor = if local { 1.0 } else { REMOTE_COST };
            let cost = endpoint.cost_by_draw(now, draw) * jitter * distance_factor;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, id));
            }
        }
        match best {
            Some((_, id)) => Pick::Endpoint(id),
            None if at_limit => Pick::Wait,
            None => limited.map_or(Pick::Unavailable, Pick::Limited),
        }
    }

    /// Share of a service's limits that this host may use, from 0 to 1.
    pub(crate) fn limit_share(&self, service: &Name) -> f64 {
        self.plan.limit_share(service, self.settings.address)
    }

    /// Most connections that this host may open to each replica of a service; at least
    /// one.
    pub(crate) fn connections(&self, service: &Name) -> u32 {
        let part = self.usable_connections(service) * self.limit_share(service);
        (part as u32).max(1)
    }

    /// Connections that all entry hosts together may open to each replica of a service.
    fn usable_connections(&self, service: &Name) -> f64 {
        let known = self.catalog.services.get(service);
        let all = known.map_or(1, |service| service.connections_max);
        f64::from(all) * CONNECTIONS_USED_SHARE
    }

    /// Whether this host keeps connections to a replica open between calls. With fewer connections
    /// than hosts only some do: the replica resets what exceeds its limit, and a request on such a
    /// connection may count as run.
    pub(crate) fn keeps_connection_to(&mut self, id: EndpointId, service: &Name) -> bool {
        if let Some(known) = self.keeps_connection.get(&id) {
            return *known;
        }
        let all = self.usable_connections(service);
        let keeps = all * self.limit_share(service) >= 1.0 || {
            let keepers = (all * CONNECTIONS_KEPT_SHARE) as usize;
            let senders = self.plan.senders(service);
            senders.contains(&self.settings.address) && self.hosts_preferred(id, &senders) < keepers
        };
        self.keeps_connection.insert(id, keeps);
        keeps
    }

    /// Number of hosts that rendezvous hashing prefers to this one for a replica.
    fn hosts_preferred(&self, id: EndpointId, hosts: &[SocketAddr]) -> usize {
        let Some(endpoint) = self.endpoints.get(&id) else {
            return hosts.len();
        };
        let instance = &endpoint.replica.instance.id;
        let rank = |host: &SocketAddr| {
            Digest::of_parts(&[instance.as_bytes(), host.to_string().as_bytes()]).rank()
        };
        let own = rank(&self.settings.address);
        hosts.iter().filter(|host| rank(host) > own).count()
    }

    /// Whether a replica is warm, or its cold limit leaves room for a request of this
    /// host.
    pub(crate) fn has_cold_capacity(&mut self, now: Time, id: EndpointId, service: &Name) -> bool {
        let cold = |endpoint: &Endpoint| endpoint.is_cold(now);
        if !self.endpoints.get(&id).is_some_and(cold) {
            return true;
        }
        let share = match self.cold_shares.get(&id) {
            Some(share) => *share,
            None => self.cold_share(id, service),
        };
        self.cold_shares.insert(id, share);
        let endpoint = self.endpoints.get_mut(&id);
        endpoint.is_some_and(|endpoint| endpoint.has_cold_capacity(now, share))
    }

    /// This host's share of a cold replica's request limit, in requests per second. If
    /// there are more hosts than requests, rendezvous hashing picks the hosts that may
    /// send one.
    pub(crate) fn cold_share(&self, id: EndpointId, service: &Name) -> u32 {
        let known = self.catalog.services.get(service);
        let rate = known.map_or(0.0, |service| service.warmup_per_s);
        let total = rate * self.settings.cold_overage + self.settings.cold_slack;
        let total = (total * COLD_USED_SHARE) as u32;
        let senders = self.plan.senders(service);
        if !senders.is_empty() && !senders.contains(&self.settings.address) {
            return 0;
        }
        let hosts = senders.len().max(1) as u32;
        if total >= hosts {
            return total / hosts;
        }
        u32::from(self.hosts_preferred(id, &senders) < total as usize)
    }

    /// Time for which a started replica of the service is cold.
    pub(crate) fn warmup(&self, service: &Name) -> Span {
        let known = self.catalog.services.get(service);
        known.map_or(Span::ZERO, |service| service.warmup)
    }
}
