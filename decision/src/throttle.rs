//! Keeps an entry host's calls within its share of the limits that replicas name.
//!
//! Load pattern: some replicas name limits below what callers ask for, or want no requests for a
//! time. What doesn't fit goes to other replicas; if none has room, the request is refused at once,
//! the least urgent ones first, with the time after which there is room. See `quota` for how a limit
//! is divided.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::answer::Answer;
use crate::answer::Refusal;
use crate::catalog::Route;
use crate::catalog::Target;
use crate::clock::Span;
use crate::clock::Time;
use crate::endpoint::Endpoint;
use crate::flight::Cause;
use crate::flight::EndpointId;
use crate::flight::Flight;
use crate::flight::Stage;
use crate::gateway::Action;
use crate::gateway::Gateway;
use crate::name::Name;
use crate::notice::Notice;
use crate::quota;
use crate::quota::Demand;
use crate::quota::Meter;
use crate::quota::Need;
use crate::quota::Rate;
use crate::quota::Share;
use crate::quota::Sharer;

/// Weight of a host without demand, relative to the mean of all hosts: its callers may come at
/// any time.
const IDLE_WEIGHT: f64 = 0.25;

/// Shortest `Retry-After` for a request that this host has no share for, but others have.
const RETRY_AFTER_NO_SHARE: Span = Span::from_ms(150);

/// A route that sends to a service.
#[derive(Clone, Debug)]
struct Use {
    route: Name,
    /// Share of the route's requests that go to the service, from 0 to 1.
    share: f64,
    priority: u32,
}

/// What a host knows of the limits that replicas name, and of the demand for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Throttle {
    /// Limits as this host and others heard them.
    pub(crate) ledger: quota::Ledger,
    /// Requests on each route at this host.
    meters: HashMap<Name, Meter>,
    /// Requests per second at all hosts, by host and route, as the voters told it last.
    demands: BTreeMap<(SocketAddr, Name), f64>,
    /// Routes that send to each service.
    uses: HashMap<Name, Vec<Use>>,
    /// When the last pause that a replica asked for ends.
    paused_until: Time,
    /// Calls sent to replicas that name a limit, since [`Gateway::take_usage`].
    usage: BTreeMap<EndpointId, u32>,
}

/// Room for a part of a request at the replicas of its service.
enum Room {
    /// A replica can take it.
    Free,
    /// All usable replicas are at their limits; the first one can take it after this time, or
    /// [`Span::MAX`] if this host has no share of any.
    Limited(Span),
    /// No replica is usable.
    Unusable,
}

impl Throttle {
    /// Derives from the routes of a catalog which of them send to which service.
    pub(crate) fn set_routes<'a>(&mut self, routes: impl Iterator<Item = &'a Route>) {
        self.uses.clear();
        for route in routes {
            for (service, share) in services_of(&route.target) {
                self.uses.entry(service).or_default().push(Use {
                    route: route.name.clone(),
                    share,
                    priority: route.priority,
                });
            }
        }
    }

    /// Counts a request of a caller on a route.
    pub(crate) fn count_request(&mut self, now: Time, route: &Name) {
        match self.meters.get_mut(route) {
            Some(meter) => meter.count(now),
            None => self.meters.entry(route.clone()).or_default().count(now),
        }
    }

    /// How much of a bucket the first calls of a request of this priority may use at a service.
    pub(crate) fn need(&self, service: &Name, priority: u32) -> Need {
        let uses = self.uses.get(service).map_or(&[][..], Vec::as_slice);
        match uses.iter().any(|user| user.priority < priority) {
            true => Need::Spare,
            false => Need::Urgent,
        }
    }

    /// Requests per second for a service at a host.
    fn demand(&self, host: SocketAddr, service: &Name) -> f64 {
        let uses = self.uses.get(service).map_or(&[][..], Vec::as_slice);
        let demands = uses.iter().filter_map(|user| {
            let rate = self.demands.get(&(host, user.route.clone()))?;
            Some(rate * user.share)
        });
        demands.sum()
    }
}

/// Services that a route sends to, each with its share of the route's requests.
fn services_of(target: &Target) -> Vec<(Name, f64)> {
    match target {
        Target::Gather { shards, .. } => shards.iter().map(|shard| (shard.clone(), 1.0)).collect(),
        Target::Weighted(services) => {
            let total = services.iter().map(|(_, weight)| weight.max(0.0));
            let total = total.sum::<f64>().max(f64::MIN_POSITIVE);
            let share = |weight: f64| weight.max(0.0) / total;
            let services = services.iter();
            services
                .map(|(name, weight)| (name.clone(), share(*weight)))
                .collect()
        }
    }
}

impl Gateway {
    /// Counts a request of a caller on a route, whether this host serves it alone or with others.
    pub fn count_request(&mut self, now: Time, route: &Name) {
        self.throttle.count_request(now, route);
    }

    /// What this host tells the voters of limits; `known` is the digest of the voter's ledger.
    pub fn limit_report(&self, now: Time, known: u64) -> quota::Report {
        let host = self.settings.address;
        let meters = self.throttle.meters.iter();
        let demands = meters.map(|(route, meter)| Demand {
            host,
            route: route.clone(),
            rate: meter.rate(now),
        });
        let limited = self.throttle.ledger.digest() != 0;
        quota::Report {
            demands: demands
                .filter(|demand| limited && demand.rate > Rate::default())
                .collect(),
            ..self.throttle.ledger.report(now, known)
        }
    }

    /// Number of replicas that name a limit.
    pub fn limited_replicas(&self) -> usize {
        self.throttle.ledger.limits().count()
    }

    /// Calls sent to each replica that names a limit, since the last time that this was asked.
    pub fn take_usage(&mut self) -> Vec<quota::Usage> {
        let usage = std::mem::take(&mut self.throttle.usage).into_iter();
        let known = usage.filter_map(|(id, calls)| {
            let replica = &self.endpoints.get(&id)?.replica;
            Some(quota::Usage {
                service: replica.service.clone(),
                replica: replica.instance.id.clone(),
                limit: self.throttle.ledger.limit(&replica.instance)?,
                calls,
            })
        });
        known.collect()
    }

    /// Records what an answer says of its replica.
    pub(crate) fn record_notice(
        &mut self,
        now: Time,
        id: EndpointId,
        notice: Notice,
        actions: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let replica = endpoint.replica.clone();
        let (service, name) = (replica.service.clone(), replica.instance.id.clone());
        if notice.leaving && endpoint.record_leaving() {
            actions.push(Action::CloseIdle(replica.address));
            actions.push(Action::Leaving(service.clone(), name.clone()));
        }
        if let Some(pause) = notice.pause {
            self.throttle.paused_until = self.throttle.paused_until.max(now.after(pause));
            if endpoint.record_pause(now, pause) {
                actions.push(Action::Pause(service, name, pause));
            }
        }
        if self
            .throttle
            .ledger
            .hear(now, &replica.instance, notice.limit)
        {
            self.apply_limit(now, id, actions);
        }
    }

    /// Adopts the limits and demands that a voter tells of.
    pub(crate) fn merge_limits(
        &mut self,
        now: Time,
        report: quota::Report,
        actions: &mut Vec<Action>,
    ) {
        for instance in self.throttle.ledger.merge(now, report.records) {
            if let Some(id) = self.endpoint_ids.get(&instance).copied() {
                self.apply_limit(now, id, actions);
            }
        }
        let demands = report.demands.into_iter();
        let demands = demands.map(|demand| ((demand.host, demand.route), demand.rate.per_second()));
        self.throttle.demands = demands.collect();
        self.update_shares(now);
    }

    /// Gives a replica whose limit changed a bucket, or takes the bucket away.
    fn apply_limit(&mut self, now: Time, id: EndpointId, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get(&id) else {
            return;
        };
        let replica = endpoint.replica.clone();
        let limit = self.throttle.ledger.limit(&replica.instance);
        let share = limit.map(|limit| self.share(&replica.service, &replica.instance.id, limit));
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.set_share(now, share);
        }
        let (service, instance) = (replica.service.clone(), replica.instance.id.clone());
        actions.push(Action::Limit(service, instance, limit));
    }

    /// Recomputes this host's shares, after a change of the hosts, the routes or the demand.
    pub(crate) fn update_shares(&mut self, now: Time) {
        let limits = self.throttle.ledger.limits();
        let known = limits.filter_map(|(instance, limit)| {
            let id = *self.endpoint_ids.get(instance)?;
            let service = &self.endpoints.get(&id)?.replica.service;
            Some((id, self.share(service, &instance.id, limit)))
        });
        for (id, share) in known.collect::<Vec<_>>() {
            if let Some(endpoint) = self.endpoints.get_mut(&id) {
                endpoint.set_share(now, Some(share));
            }
        }
    }

    /// This host's share of the limit of a replica.
    fn share(&self, service: &Name, replica: &str, limit: Rate) -> Share {
        let own = self.settings.address;
        let sharers = self.sharers(service);
        match sharers.is_empty() {
            true => Share::whole(limit),
            false => quota::divide(limit, replica, &sharers, own),
        }
    }

    /// The hosts that share the limits of a service's replicas. A host that gathers for others
    /// has the demand of its failure domain, divided by the number of such hosts there.
    fn sharers(&self, service: &Name) -> Vec<Sharer> {
        let senders = self.plan.senders(service);
        let gathers_alone = senders.len() == self.plan.hosts().len();
        let hosts = self.plan.hosts().iter();
        let domains = hosts.map(|host| (host.address, &host.domain));
        let domains = domains.collect::<HashMap<_, _>>();
        let mut demand_of = HashMap::<&Name, f64>::new();
        let mut senders_of = HashMap::<&Name, f64>::new();
        for (host, domain) in &domains {
            *demand_of.entry(domain).or_default() += self.throttle.demand(*host, service);
        }
        for sender in &senders {
            let domain = domains.get(sender).copied();
            *domain.map_or(&mut 0.0, |domain| senders_of.entry(domain).or_default()) += 1.0;
        }
        let weight = |host: &SocketAddr| match (gathers_alone, domains.get(host)) {
            (true, _) => self.throttle.demand(*host, service),
            (false, Some(domain)) => demand_of[domain] / senders_of[domain],
            (false, None) => 0.0,
        };
        let weights = senders.iter().map(weight).collect::<Vec<_>>();
        let mean = weights.iter().sum::<f64>() / weights.len().max(1) as f64;
        let idle = if mean > 0.0 { mean * IDLE_WEIGHT } else { 1.0 };
        let weighted = senders.into_iter().zip(weights);
        let sharers = weighted.map(|(host, weight)| Sharer {
            host,
            weight: weight + idle,
        });
        sharers.collect()
    }

    /// Counts a call that is sent to a replica.
    pub(crate) fn count_call(&mut self, now: Time, id: EndpointId) {
        let endpoint = self.endpoints.get_mut(&id);
        if let Some(bucket) = endpoint.and_then(|endpoint| endpoint.bucket.as_mut()) {
            bucket.take(now);
            *self.throttle.usage.entry(id).or_default() += 1;
        }
    }

    /// Refusal of a request that did not run because too many of its parts have no replica with
    /// room for a call; absent if enough have one.
    pub(crate) fn limit_refusal(&mut self, now: Time, flight: &mut Flight) -> Option<Answer> {
        if self.throttle.ledger.digest() == 0 && now >= self.throttle.paused_until {
            return None;
        }
        let priority = flight.route.priority;
        let mut waits = Vec::new();
        let mut free = 0;
        for part in &mut flight.parts {
            match self.room(now, &part.service, priority) {
                Room::Free => free += 1,
                Room::Unusable => {}
                Room::Limited(wait) => {
                    part.stage = Stage::Missing(Cause::Limited, None);
                    waits.push(wait);
                }
            }
        }
        let lacking = flight.needed().saturating_sub(free);
        if lacking == 0 || lacking > waits.len() {
            let limited = flight.parts.iter_mut();
            limited.for_each(|part| part.stage = Stage::Waiting);
            return None;
        }
        flight.missing = waits.len();
        waits.sort_unstable();
        let wait = waits[lacking - 1];
        let services = flight.parts.iter().map(|part| part.service.clone());
        for service in services.collect::<Vec<_>>() {
            self.promise_room(now, &service, priority);
        }
        Some(Answer::Refused(
            Refusal::NotRun,
            Some(self.retry_after(wait)),
        ))
    }

    /// `Retry-After` of a request for which there is room after this time. Without a share here,
    /// the caller is told to try other hosts.
    fn retry_after(&mut self, wait: Span) -> Span {
        let wait = match wait {
            Span::MAX => RETRY_AFTER_NO_SHARE,
            wait => wait,
        };
        self.with_jitter(wait)
    }

    /// `Retry-After` of a request that failed for lack of room at replicas.
    pub(crate) fn room_retry_after(&mut self, now: Time, flight: &Flight) -> Span {
        let priority = flight.route.priority;
        let services = flight.parts.iter().map(|part| &part.service);
        let waits = services.map(|service| match self.room(now, service, priority) {
            Room::Limited(wait) => wait,
            Room::Free | Room::Unusable => Span::ZERO,
        });
        let wait = waits.max().unwrap_or_default();
        self.retry_after(wait)
    }

    /// Whether a replica of a service has room for a first call of this priority.
    fn room(&self, now: Time, service: &Name, priority: u32) -> Room {
        let need = self.throttle.need(service, priority);
        let mut limited = self.pause_left(now, service);
        for id in self.usable_endpoints(now, service) {
            let Some(endpoint) = self.endpoints.get(&id) else {
                continue;
            };
            let Some(bucket) = &endpoint.bucket else {
                return Room::Free;
            };
            if bucket.allows(now, need) {
                return Room::Free;
            }
            let wait = bucket.wait(now, need);
            limited = Some(limited.map_or(wait, |least: Span| least.min(wait)));
        }
        limited.map_or(Room::Unusable, Room::Limited)
    }

    /// Notes at the replica of a service that has room first that a caller will come back for it.
    fn promise_room(&mut self, now: Time, service: &Name, priority: u32) {
        let need = self.throttle.need(service, priority);
        let usable = self.usable_endpoints(now, service);
        let waits = usable.into_iter().filter_map(|id| {
            let bucket = self.endpoints.get(&id)?.bucket.as_ref()?;
            Some((bucket.wait(now, need), id))
        });
        let first = waits.min().map(|(_, id)| id);
        let endpoint = first.and_then(|id| self.endpoints.get_mut(&id));
        if let Some(bucket) = endpoint.and_then(|endpoint| endpoint.bucket.as_mut()) {
            bucket.promise(now, 1.0);
        }
    }

    /// Time until the first replica of a service that wants no requests takes them again; absent
    /// without one.
    fn pause_left(&self, now: Time, service: &Name) -> Option<Span> {
        let endpoints = self.in_service(service);
        let pauses = endpoints.filter_map(|(_, endpoint)| endpoint.pause_left(now));
        pauses.min()
    }

    /// Replicas of a service whose failure domain is in service.
    fn in_service(&self, service: &Name) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let known = self.pools.get(service).into_iter();
        let known = known.flat_map(|pool| &pool.endpoints);
        let known = known.filter_map(|id| Some((*id, self.endpoints.get(id)?)));
        known.filter(|(_, endpoint)| !self.closed.contains(&endpoint.replica.domain))
    }

    /// Replicas of a service that may be used, apart from their limits.
    fn usable_endpoints(&self, now: Time, service: &Name) -> Vec<EndpointId> {
        let endpoints = self.in_service(service);
        let usable = endpoints.filter(|(_, endpoint)| endpoint.is_usable(now));
        usable.map(|(id, _)| id).collect()
    }
}
