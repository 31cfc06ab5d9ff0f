//! Divides the calls of an entry host between the versions of services in a rollout, and counts
//! how they end.
//!
//! The share holds in the long run: each call to a service adds the share to a balance, and each
//! one to the new version takes one off. Calls are chosen at random around the balance, so that
//! routes whose requests alternate get both versions. Hedges and retries are chosen and counted
//! alike.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::choice::Pick;
use crate::clock::Span;
use crate::clock::Time;
use crate::endpoint::Ending;
use crate::endpoint::Expected;
use crate::flight::EndpointId;
use crate::gateway::Gateway;
use crate::name::Name;
use crate::quota::Need;
use crate::rollout::evidence::Count;
use crate::rollout::evidence::Report;
use crate::rollout::evidence::Tally;
use crate::rollout::order::Group;
use crate::rollout::order::Order;
use crate::rollout::order::Orders;

/// Largest balance of a service, in calls of the new version.
const BALANCE_MAX: f64 = 20.0;

/// The order of a service, and what this host sent under it.
#[derive(Clone, Debug)]
struct Lane {
    order: Order,
    /// Calls that the new version is owed.
    balance: f64,
    /// Counts by route and whether the new version was called.
    counts: BTreeMap<(Name, bool), Count>,
}

/// Rollouts as one entry host follows them.
#[derive(Clone, Debug)]
pub(crate) struct Traffic {
    lanes: BTreeMap<Name, Lane>,
    /// Digest of the orders; zero without any.
    digest: u64,
    /// When a voter last confirmed the orders.
    confirmed_at: Time,
    /// Random number that identifies the run of this process.
    run: u64,
    random: ChaCha8Rng,
}

impl Traffic {
    /// No rollouts; `seed` identifies the run of this process.
    pub(crate) fn new(seed: u64) -> Traffic {
        Traffic {
            lanes: BTreeMap::new(),
            digest: 0,
            confirmed_at: Time::default(),
            run: seed,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Follows a voter's orders, or takes note that they are unchanged.
    fn update(&mut self, now: Time, orders: Orders) {
        if let Some(new) = orders.orders {
            let mut earlier = std::mem::take(&mut self.lanes);
            for order in new {
                let known = earlier.remove(&order.service);
                let known = known.filter(|lane| lane.order.id == order.id);
                let (balance, counts) = match known {
                    Some(lane) => (lane.balance, lane.counts),
                    None => (0.0, BTreeMap::new()),
                };
                let lane = Lane {
                    order,
                    balance,
                    counts,
                };
                self.lanes.insert(lane.order.service.clone(), lane);
            }
            self.digest = orders.digest;
        }
        if self.digest == orders.digest {
            self.confirmed_at = now;
        }
    }

    /// Share of a service's calls that go to the new version, from 0 to 1.
    fn share(&self, now: Time, lane: &Lane) -> f64 {
        let stale = now.since(self.confirmed_at) >= lane.order.valid;
        match lane.order.in_progress && stale {
            true => 0.0,
            false => f64::from(lane.order.share) / 1_000.0,
        }
    }

    /// Groups to try for the next call to a service, in this order.
    fn preference(&mut self, now: Time, service: &Name) -> Vec<Group> {
        let Some(lane) = self.lanes.get(service) else {
            return Vec::new();
        };
        let share = self.share(now, lane);
        let chance = share + lane.balance;
        let falls_back = lane.order.falls_back;
        let random = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        match share {
            _ if !falls_back && share > 0.0 => vec![Group::New],
            _ if share <= 0.0 && !lane.order.in_progress => vec![Group::Old],
            _ if share >= 1.0 || random < chance => vec![Group::New, Group::Old],
            _ => vec![Group::Old, Group::New],
        }
    }
}

impl Gateway {
    /// Follows a voter's orders.
    pub(crate) fn update_rollouts(&mut self, now: Time, orders: Orders) {
        self.rollouts.update(now, orders);
    }

    /// What this host reports of rollouts.
    pub fn rollout_report(&self) -> Report {
        let lanes = self.rollouts.lanes.values();
        let lanes = lanes.filter(|lane| lane.order.in_progress);
        let tallies = lanes.flat_map(|lane| {
            let counts = lane.counts.iter();
            counts.map(|((route, is_new), count)| Tally {
                id: lane.order.id,
                route: route.clone(),
                is_new: *is_new,
                count: *count,
            })
        });
        let tallies = tallies.collect::<Vec<_>>();
        let known = !self.rollouts.lanes.is_empty();
        Report {
            digest: self.rollouts.digest,
            run: if known { self.rollouts.run } else { 0 },
            tallies,
        }
    }

    /// Shares of the calls to services in a rollout that go to the new version, from 0 to 1.
    pub fn rollout_shares(&self, now: Time) -> Vec<(Name, f64)> {
        let lanes = self.rollouts.lanes.iter();
        let shares = lanes.map(|(service, lane)| (service.clone(), self.rollouts.share(now, lane)));
        shares.collect()
    }

    /// Picks a replica as [`Gateway::pick`] does, among those of the version whose turn it is. If
    /// none of them takes the call, one of the other version may.
    pub(crate) fn pick_version(
        &mut self,
        now: Time,
        service: &Name,
        tried: &BTreeSet<EndpointId>,
        allowed: Option<&BTreeSet<EndpointId>>,
        need: Need,
    ) -> Pick {
        if !self.rollouts.lanes.contains_key(service) {
            return self.pick(now, service, tried, allowed, need);
        }
        let groups = self.rollouts.preference(now, service);
        let mut first = None;
        for (index, group) in groups.into_iter().enumerate() {
            let members = self.members(service, group, allowed);
            let pick = self.pick(now, service, tried, Some(&members), need);
            let unavailable = matches!(pick, Pick::Unavailable);
            match pick {
                Pick::Endpoint(_) => return pick,
                // Replicas at their limits are waited for rather than exceed the share.
                _ if index == 0 && group == Group::Old && !unavailable => return pick,
                _ if first.is_none() => first = Some(pick),
                _ if matches!(first, Some(Pick::Unavailable)) => first = Some(pick),
                _ => {}
            }
        }
        first.unwrap_or(Pick::Unavailable)
    }

    /// Replicas of a service in a group, as far as they are allowed.
    fn members(
        &self,
        service: &Name,
        group: Group,
        allowed: Option<&BTreeSet<EndpointId>>,
    ) -> BTreeSet<EndpointId> {
        let pool = self.pools.get(service);
        let ids = pool.into_iter().flat_map(|pool| pool.endpoints.iter());
        let ids = ids.filter(|id| allowed.is_none_or(|allowed| allowed.contains(*id)));
        let ids = ids.filter(|id| self.version_group(service, **id) == Some(group));
        ids.copied().collect()
    }

    /// Group of a replica, if its service has a rollout.
    fn version_group(&self, service: &Name, id: EndpointId) -> Option<Group> {
        let lane = self.rollouts.lanes.get(service)?;
        let endpoint = self.endpoints.get(&id)?;
        Some(lane.order.group(&endpoint.replica.instance))
    }

    /// Counts a call that is sent, against the new version's share.
    pub(crate) fn count_version_send(
        &mut self,
        now: Time,
        service: &Name,
        id: EndpointId,
        route: &Name,
    ) {
        let Some(group) = self.version_group(service, id) else {
            return;
        };
        let Some(lane) = self.rollouts.lanes.get(service) else {
            return;
        };
        let share = self.rollouts.share(now, lane);
        let is_new = group == Group::New;
        if let Some(lane) = self.rollouts.lanes.get_mut(service) {
            let balance = lane.balance + share - f64::from(u8::from(is_new));
            lane.balance = balance.clamp(-BALANCE_MAX, BALANCE_MAX);
            if lane.order.in_progress {
                let key = (route.clone(), is_new);
                lane.counts.entry(key).or_default().sent += 1;
            }
        }
    }

    /// Counts how a call of a service in a rollout ended.
    pub(crate) fn count_version_end(
        &mut self,
        now: Time,
        id: EndpointId,
        route: &Name,
        ending: Ending,
        took: Option<Span>,
        expected: Expected,
    ) {
        if self.rollouts.lanes.is_empty() {
            return;
        }
        let Some(endpoint) = self.endpoints.get(&id) else {
            return;
        };
        let (service, cold) = (endpoint.replica.service.clone(), endpoint.is_cold(now));
        let Some(group) = self.version_group(&service, id) else {
            return;
        };
        let failed = match ending {
            Ending::Answered => false,
            Ending::Withdrawn if took.is_some_and(|took| took >= expected.high) => false,
            Ending::Shed | Ending::Failed | Ending::Broken => true,
            Ending::Ended | Ending::Unreachable => true,
            Ending::Withdrawn | Ending::Denied | Ending::Stale => return,
        };
        if let Some(lane) = self.rollouts.lanes.get_mut(&service)
            && lane.order.in_progress
        {
            let key = (route.clone(), group == Group::New);
            let took = took.filter(|_| !cold);
            lane.counts.entry(key).or_default().record(failed, took);
        }
    }
}
