//! Applies changes of the replica list and of the failure domains in service to the
//! gateway.

use std::collections::BTreeSet;

use crate::clock::Time;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::gateway::Action;
use crate::gateway::Gateway;
use crate::name::Name;

impl Gateway {
    /// Applies a replica list that was read at time `read`.
    pub(crate) fn update_fleet(
        &mut self,
        now: Time,
        fleet: &Fleet,
        read: Time,
        actions: &mut Vec<Action>,
    ) {
        let listed_at = read;
        self.fleet_read = read;
        for endpoint in self.endpoints.values_mut() {
            endpoint.listed = false;
        }
        for (instance, replica) in &fleet.replicas {
            let known = self.endpoint_ids.get(instance);
            if let Some(endpoint) = known.and_then(|id| self.endpoints.get_mut(id)) {
                endpoint.relist(replica.clone(), listed_at);
                continue;
            }
            self.last_endpoint += 1;
            let id = self.last_endpoint;
            let mut endpoint = Endpoint::new(now, replica.clone(), listed_at);
            let seed = self.capacity_seed(instance);
            endpoint.set_estimator(now, self.estimator, seed);
            self.endpoints.insert(id, endpoint);
            self.endpoint_ids.insert(instance.clone(), id);
            let pool = self.pools.entry(replica.service.clone()).or_default();
            pool.endpoints.push(id);
        }
        self.forget_unlisted(actions);
        let known = &self.endpoint_ids;
        let listed = |instance: &Instance| known.contains_key(instance);
        self.throttle.ledger.retain(now, listed);
        self.update_shares(now);
    }

    /// Closes idle connections to replicas that are no longer listed, and removes those
    /// replicas without open calls.
    pub(crate) fn forget_unlisted(&mut self, actions: &mut Vec<Action>) {
        let unlisted = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| !endpoint.listed);
        let unlisted = unlisted.map(|(id, endpoint)| (*id, endpoint.replica.clone()));
        for (id, replica) in unlisted.collect::<Vec<_>>() {
            let idle = self.endpoints.get(&id).is_some_and(|e| e.in_flight() == 0);
            actions.push(Action::CloseIdle(replica.address));
            if !idle {
                continue;
            }
            self.endpoints.remove(&id);
            self.endpoint_ids.remove(&replica.instance);
            self.cold_shares.remove(&id);
            self.keeps_connection.remove(&id);
            if let Some(pool) = self.pools.get_mut(&replica.service) {
                pool.endpoints.retain(|other| *other != id);
            }
        }
    }

    /// Applies the set of failure domains out of service. Replicas of a domain that
    /// returns are treated as cold, since they may have restarted meanwhile.
    pub(crate) fn update_closed(&mut self, now: Time, closed: BTreeSet<Name>) {
        let reopened = self.closed.difference(&closed).cloned().collect::<Vec<_>>();
        for id in self.endpoints.keys().copied().collect::<Vec<_>>() {
            let Some(replica) = self.endpoints.get(&id).map(|e| e.replica.clone()) else {
                continue;
            };
            if reopened.contains(&replica.domain) {
                let until = now.after(self.warmup(&replica.service));
                let until = until.after(self.settings.list_lag);
                self.endpoints.entry(id).and_modify(|e| e.mark_cold(until));
            }
        }
        self.closed = closed;
    }
}
