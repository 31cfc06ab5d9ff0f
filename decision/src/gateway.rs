//! The entry role of a tier with discovered hosts: takes callers' requests, sends
//! their parts to replicas, hedges and retries them, and answers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::allowance::Allowance;
use crate::allowance::Limit;
use crate::catalog::Catalog;
use crate::catalog::Repeat;
use crate::catalog::Route;
use crate::catalog::Target;
use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::endpoint::Ending;
use crate::endpoint::Endpoint;
use crate::endpoint::Expected;
use crate::endpoint::Ticket;
use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::flight::Attempt;
use crate::flight::Cause;
use crate::flight::EndpointId;
use crate::flight::Flight;
use crate::flight::Stage;
use crate::latency::Latency;
use crate::merge;
use crate::name::Name;

/// Quantile of latency after which a second replica is asked.
const HEDGE_QUANTILE: f64 = 0.9;

/// Shortest wait before a second replica is asked.
const HEDGE_MIN: Span = Span::from_ms(4);

/// Time before a hedge that was not allowed, or a waiting part, is looked at again.
const LOOK_AGAIN: Span = Span::from_ms(10);

/// Time after which a part that was left out is tried again, if it is needed.
const TAKE_UP_AFTER: Span = Span::from_ms(60);

/// Time for which a request that lost against its hedge may go on.
const ORPHAN_MAX: Span = Span::from_ms(50);

/// Requests of one part at most, whether they arrived or not.
const SENDS_MAX: u32 = 6;

/// Cost of a replica in another failure domain, relative to one in the same.
const FAR_COST: f64 = 1.1;

/// Part of a replica's connections that the entry hosts use together.
const CONNECTIONS_USED: f64 = 0.85;

/// Part of the limit on a cold replica that the entry hosts use together.
const COLD_USED: f64 = 0.8;

/// Wait told to callers whose request no replica can take now.
const RETRY_ABSENT: Span = Span::from_ms(300);

/// Wait told to callers whose request all replicas rejected.
const RETRY_SHED: Span = Span::from_ms(150);

/// Wait told to callers whom other entry hosts probably serve.
const RETRY_ELSEWHERE: Span = Span::from_ms(5);

/// Wait told to callers of a host that knows no configuration or isn't in touch.
const RETRY_UNREADY: Span = Span::from_ms(1_000);

/// Number of a caller's request in this process.
pub type RequestId = u64;

/// Settings of the role.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This host's address among the entry hosts.
    pub address: SocketAddr,
    /// This host's failure domain.
    pub domain: Name,
    /// Limit on hedges and retries to one service.
    pub extra: Limit,
    /// Factor on the rate that a cold replica bears.
    pub cold_overage: f64,
    /// Requests a second that a cold replica bears beside that.
    pub cold_slack: f64,
    /// Time that a request takes to arrive and its answer takes to arrive back.
    pub margin: Span,
    /// The same for the first request on a connection, with the time to open it.
    pub margin_first: Span,
    /// Time by which the list of replicas may lag.
    pub list_lag: Span,
    /// Random seed.
    pub seed: u64,
}

/// What the decisions need to know of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// Path.
    pub path: Arc<str>,
    /// Time for which the caller waits, if it tells.
    pub left: Option<Span>,
    /// Whether the voters confirmed lately that the catalog is the newest.
    pub fresh: bool,
    /// Whether it is the first one on its connection.
    pub first: bool,
    /// Whether other entry hosts probably serve what this one can't.
    pub elsewhere: bool,
}

/// A request to be sent to a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Its number.
    pub ticket: Ticket,
    /// The caller's request.
    pub request: RequestId,
    /// The replica's address.
    pub address: SocketAddr,
    /// The replica's identifier.
    pub instance: Name,
    /// Time left to answer.
    pub left: Span,
    /// Connections to the replica that this host may have.
    pub connections: u32,
    /// Whether a connection that may just be ending must not be used.
    pub careful: bool,
}

/// The end of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Exchange {
    /// How it ended.
    pub ending: Ending,
    /// The replica's stamp, if it was answered.
    pub stamp: Option<Arc<str>>,
    /// The answer's body, if it was answered.
    pub body: Bytes,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No route takes it.
    NoRoute,
    /// It did not run, and may be sent again.
    NotRun,
    /// A replica failed it, or it may have run without an answer.
    Failed,
    /// Time ran out.
    Timeout,
}

/// The answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The replica's answer to this call as it is.
    Relay(Ticket),
    /// The merged answer of several shards.
    Merged {
        /// Stamps of the parts.
        stamps: Vec<Arc<str>>,
        /// Shards left out.
        missing: usize,
        /// Records.
        body: Vec<u8>,
    },
    /// No answer can be had.
    Refused(Refusal, Option<Span>),
}

/// How a request was decided, for the log and the metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Its route, if there is one.
    pub route: Option<Name>,
    /// Version of the catalog.
    pub version: u64,
    /// Time since the list was read.
    pub fleet_age: Span,
    /// Time that it took here.
    pub took: Span,
    /// Parts.
    pub parts: usize,
    /// Parts answered.
    pub done: usize,
    /// Hedges and retries.
    pub extra: u32,
    /// Why parts are missing, or it is refused.
    pub cause: Option<Cause>,
    /// The first missing part's service.
    pub missing: Option<Name>,
}

/// An input.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request.
    Request(RequestId, Request),
    /// The caller of a request went away.
    Abandoned(RequestId),
    /// A call ended.
    Done(Ticket, Exchange),
    /// A catalog came into force.
    Catalog(Arc<Catalog>),
    /// The list was read at this time.
    Fleet(Arc<Fleet>, Time),
    /// Failure domains out of service.
    Closed(BTreeSet<Name>),
    /// The entry hosts.
    Hosts(Vec<SocketAddr>),
    /// Time passes.
    Tick,
}

/// An effect.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a replica.
    Send(Call),
    /// Give a call up and close its connection.
    Withdraw(Ticket),
    /// Answer a caller.
    Answer(RequestId, Answer, Report),
    /// Close idle connections to an address.
    Release(SocketAddr),
    /// A second or later request was sent for a part: of which request, to which
    /// service and replica, and why.
    Extra(RequestId, Name, Name, Extra),
}

/// Why a second or later request is sent for a part.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Extra {
    /// The first one is late.
    #[display("hedge")]
    Hedge,
    /// The one before ended without an answer.
    #[display("retry after {_0}")]
    Retry(Ending),
}

struct Out {
    request: RequestId,
    part: usize,
    endpoint: EndpointId,
    route: Arc<Route>,
}

#[derive(Default)]
struct Pool {
    endpoints: Vec<EndpointId>,
    allowance: Allowance,
}

/// Which replica takes a part.
enum Pick {
    Endpoint(EndpointId),
    Wait,
    Nobody,
}

/// The entry role.
pub struct Gateway {
    settings: Settings,
    catalog: Arc<Catalog>,
    closed: BTreeSet<Name>,
    hosts: Vec<SocketAddr>,
    fleet_read: Time,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    ids: HashMap<Instance, EndpointId>,
    pools: HashMap<Name, Pool>,
    cold_shares: HashMap<EndpointId, u32>,
    latencies: HashMap<Name, Latency>,
    credits: HashMap<Name, Vec<f64>>,
    flights: HashMap<RequestId, Flight>,
    out: HashMap<Ticket, Out>,
    orphans: VecDeque<(Time, Ticket)>,
    timers: BinaryHeap<Reverse<(Time, RequestId)>>,
    last_endpoint: EndpointId,
    last_ticket: Ticket,
    random: ChaCha8Rng,
}

impl Gateway {
    /// An entry role that knows nothing yet.
    pub fn new(settings: Settings) -> Gateway {
        Gateway {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            catalog: Arc::default(),
            closed: BTreeSet::new(),
            hosts: Vec::new(),
            fleet_read: Time::default(),
            endpoints: BTreeMap::new(),
            ids: HashMap::new(),
            pools: HashMap::new(),
            cold_shares: HashMap::new(),
            latencies: HashMap::new(),
            credits: HashMap::new(),
            flights: HashMap::new(),
            out: HashMap::new(),
            orphans: VecDeque::new(),
            timers: BinaryHeap::new(),
            last_endpoint: 0,
            last_ticket: 0,
        }
    }

    /// The catalog in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Requests being served.
    pub fn load(&self) -> usize {
        self.flights.len()
    }

    /// Calls that are out.
    pub fn calls(&self) -> usize {
        self.out.len()
    }

    /// Replicas known.
    pub fn replicas(&self) -> usize {
        self.endpoints.len()
    }

    /// When the next tick is due, if any is.
    pub fn next_timer(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let orphan = self.orphans.front().map(|(at, _)| *at);
        timer.into_iter().chain(orphan).min()
    }

    /// Takes an event and returns its effects in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Request(id, request) => self.request(now, id, &request, &mut out),
            Event::Abandoned(id) => self.abandon(now, id, &mut out),
            Event::Done(ticket, exchange) => self.done(now, ticket, exchange, &mut out),
            Event::Catalog(catalog) => self.catalog = catalog,
            Event::Fleet(fleet, read) => self.fleet(now, &fleet, read, &mut out),
            Event::Closed(closed) => self.close(now, closed),
            Event::Hosts(hosts) => {
                self.hosts = hosts;
                self.cold_shares.clear();
            }
            Event::Tick => self.tick(now, &mut out),
        }
        out
    }

    fn request(&mut self, now: Time, id: RequestId, request: &Request, out: &mut Vec<Action>) {
        let Some(route) = self.catalog.route(&request.host, &request.path).cloned() else {
            let unsure = self.catalog.version == 0 || !request.fresh;
            let refusal = if unsure {
                Answer::Refused(Refusal::NotRun, Some(RETRY_UNREADY))
            } else {
                Answer::Refused(Refusal::NoRoute, None)
            };
            let report = self.report_unrouted(now);
            return out.push(Action::Answer(id, refusal, report));
        };
        let services = self.services(&route);
        let limit = self.settings.extra;
        let hosts = self.hosts.len();
        for service in &services {
            let pool = self.pools.entry(service.clone()).or_default();
            pool.allowance.earn(now, &limit, hosts);
        }
        let left = request.left.unwrap_or(route.timeout).min(route.timeout);
        let margin = match request.first {
            true => self.settings.margin_first,
            false => self.settings.margin,
        };
        let flight = Flight {
            elsewhere: request.elsewhere,
            ..Flight::new(now, route, services, left, margin)
        };
        let parts = flight.parts.len();
        let hopeless = flight.elsewhere && self.reachable(now, &flight) < flight.needed();
        self.flights.insert(id, flight);
        if hopeless {
            let refusal = Answer::Refused(Refusal::NotRun, Some(RETRY_ELSEWHERE));
            return self.finish(now, id, refusal, out);
        }
        for part in 0..parts {
            self.dispatch(now, id, part, out);
        }
        self.review(now, id, None, out);
    }

    /// Parts of a request that some replica may take now.
    fn reachable(&self, now: Time, flight: &Flight) -> usize {
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

    /// The services that a request of the route goes to.
    fn services(&mut self, route: &Route) -> Vec<Name> {
        match &route.target {
            Target::Gather { shards, .. } => shards.clone(),
            Target::Split(parts) if parts.len() == 1 => vec![parts[0].0.clone()],
            Target::Split(parts) => {
                let weights = parts.iter().map(|(_, weight)| weight.max(0.0));
                let weights = weights.collect::<Vec<_>>();
                let credits = self.credits.entry(route.name.clone()).or_default();
                vec![parts[next_in_turn(credits, &weights)].0.clone()]
            }
        }
    }

    fn expected(&mut self, route: &Route) -> Expected {
        let first = route.objective.part(4);
        let latency = self
            .latencies
            .entry(route.name.clone())
            .or_insert_with(|| Latency::new(first, HEDGE_QUANTILE));
        Expected {
            median: latency.median(),
            high: latency.high().max(HEDGE_MIN),
        }
    }

    /// Sends an open part to a replica, has it wait, or gives it up.
    fn dispatch(&mut self, now: Time, id: RequestId, at: usize, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let part = &flight.parts[at];
        let (service, tried) = (part.service.clone(), part.tried.clone());
        let only = part.allowed(flight.route.attempts_max);
        let mut pick = self.pick(now, &service, &tried, only.as_ref());
        if matches!(pick, Pick::Nobody) && !tried.is_empty() {
            pick = self.pick(now, &service, &BTreeSet::new(), only.as_ref());
        }
        match pick {
            Pick::Endpoint(endpoint) => self.send(now, id, at, endpoint, out),
            Pick::Wait => self.set_stage(id, at, Stage::Waiting),
            Pick::Nobody => {
                let again = self.again(now, id);
                self.leave_out(id, at, Cause::NoReplica, again);
            }
        }
    }

    fn set_stage(&mut self, id: RequestId, at: usize, stage: Stage) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.parts[at].stage = stage;
        }
    }

    /// Leaves a part out, for good or until `again`.
    fn leave_out(&mut self, id: RequestId, at: usize, cause: Cause, again: Option<Time>) {
        if let Some(flight) = self.flights.get_mut(&id)
            && flight.parts[at].is_open()
        {
            flight.parts[at].stage = Stage::Missing(cause, again);
            flight.missing += 1;
        }
    }

    /// Takes a part up again that was left out for a while.
    fn take_up(&mut self, now: Time, id: RequestId, at: usize, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let arrived = flight.parts[at].arrivals > 0;
        let service = flight.parts[at].service.clone();
        let (limit, hosts) = (self.settings.extra, self.hosts.len());
        let pool = self.pools.entry(service).or_default();
        if arrived && !pool.allowance.take(now, &limit, hosts) {
            flight.parts[at].postpone(now.after(TAKE_UP_AFTER));
            return;
        }
        flight.parts[at].stage = Stage::Waiting;
        flight.missing -= 1;
        flight.extra += u32::from(arrived);
        self.dispatch(now, id, at, out);
    }

    /// When a part that can't be sent now may be tried again: never if only one
    /// replica is asked, since the caller can be told to come back.
    fn again(&self, now: Time, id: RequestId) -> Option<Time> {
        let flight = self.flights.get(&id)?;
        let gathers = matches!(flight.route.target, Target::Gather { .. });
        let waits = gathers && !flight.elsewhere;
        waits.then(|| now.after(TAKE_UP_AFTER))
    }

    /// The cheapest replica of a service that may take one more request, was not
    /// tried, and is one of `only` if that is given.
    fn pick(
        &mut self,
        now: Time,
        service: &Name,
        tried: &BTreeSet<EndpointId>,
        only: Option<&BTreeSet<EndpointId>>,
    ) -> Pick {
        let Some(pool) = self.pools.get(service) else {
            return Pick::Nobody;
        };
        let connections = self.connections(service) as usize;
        let mut best: Option<(f64, EndpointId)> = None;
        let mut busy = false;
        for id in pool.endpoints.clone() {
            let Some(endpoint) = self.endpoints.get(&id) else {
                continue;
            };
            let open = !self.closed.contains(&endpoint.replica.domain);
            let barred = tried.contains(&id) || only.is_some_and(|only| !only.contains(&id));
            if barred || !open || !endpoint.is_usable(now) {
                continue;
            }
            if endpoint.in_flight() >= connections || !self.bears(now, id, service) {
                busy = true;
                continue;
            }
            let jitter = 1.0 + f64::from(self.random.next_u32() % 256) / 2_560.0;
            let endpoint = &self.endpoints[&id];
            let near = endpoint.replica.domain == self.settings.domain;
            let distance = if near { 1.0 } else { FAR_COST };
            let cost = endpoint.cost(now) * jitter * distance;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, id));
            }
        }
        match best {
            Some((_, id)) => Pick::Endpoint(id),
            None if busy => Pick::Wait,
            None => Pick::Nobody,
        }
    }

    /// Connections to each replica of a service that this host may have.
    fn connections(&self, service: &Name) -> u32 {
        let known = self.catalog.services.get(service);
        let all = known.map_or(1, |service| service.connections_max);
        let part = f64::from(all) * CONNECTIONS_USED / self.hosts.len().max(1) as f64;
        (part as u32).max(1)
    }

    /// Whether the limit on a cold replica leaves room for a request of this host.
    fn bears(&mut self, now: Time, id: EndpointId, service: &Name) -> bool {
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
        endpoint.is_some_and(|endpoint| endpoint.bears(now, share))
    }

    /// This host's part of the requests a second that a cold replica bears. If
    /// there are more hosts than requests, rendezvous hashing picks the hosts.
    fn cold_share(&self, id: EndpointId, service: &Name) -> u32 {
        let known = self.catalog.services.get(service);
        let rate = known.map_or(0.0, |service| service.warmup_per_s);
        let total = rate * self.settings.cold_overage + self.settings.cold_slack;
        let total = (total * COLD_USED) as u32;
        let hosts = self.hosts.len().max(1) as u32;
        if total >= hosts {
            return total / hosts;
        }
        let Some(endpoint) = self.endpoints.get(&id) else {
            return 0;
        };
        let instance = &endpoint.replica.instance.id;
        let rank = |host: &SocketAddr| {
            Digest::of_parts(&[instance.as_bytes(), host.to_string().as_bytes()]).rank()
        };
        let own = rank(&self.settings.address);
        let before = self.hosts.iter().filter(|host| rank(host) > own).count();
        u32::from((before as u32) < total)
    }

    fn warmup(&self, service: &Name) -> Span {
        let known = self.catalog.services.get(service);
        known.map_or(Span::ZERO, |service| service.warmup)
    }

    fn send(
        &mut self,
        now: Time,
        id: RequestId,
        at: usize,
        endpoint: EndpointId,
        out: &mut Vec<Action>,
    ) {
        let Some(route) = self.flights.get(&id).map(|flight| flight.route.clone()) else {
            return;
        };
        let expected = self.expected(&route);
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let (Some(flight), Some(target)) =
            (self.flights.get_mut(&id), self.endpoints.get_mut(&endpoint))
        else {
            return;
        };
        target.send(now, ticket, expected);
        let part = &mut flight.parts[at];
        part.stage = Stage::Out;
        part.tried.insert(endpoint);
        part.ran.insert(endpoint);
        part.arrivals += 1;
        part.hedge_at = now.after(expected.high);
        part.attempts.push(Attempt {
            ticket,
            endpoint,
            sent: now,
        });
        let service = part.service.clone();
        let call = Call {
            ticket,
            request: id,
            address: target.replica.address,
            instance: target.replica.instance.id.clone(),
            left: Span::from_us(flight.deadline.as_us().saturating_sub(now.as_us())),
            connections: 0,
            careful: route.repeat == Repeat::Once,
        };
        let connections = self.connections(&service);
        out.push(Action::Send(Call {
            connections,
            ..call
        }));
        self.out.insert(
            ticket,
            Out {
                request: id,
                part: at,
                endpoint,
                route,
            },
        );
    }

    fn done(&mut self, now: Time, ticket: Ticket, exchange: Exchange, out: &mut Vec<Action>) {
        let Some(call) = self.out.remove(&ticket) else {
            return;
        };
        let ending = exchange.ending;
        self.observe(now, ticket, &call, ending);
        let Some(flight) = self.flights.get_mut(&call.request) else {
            return;
        };
        let part = &mut flight.parts[call.part];
        part.attempts.retain(|attempt| attempt.ticket != ticket);
        match ending {
            Ending::Shed | Ending::Denied => part.unrun(call.endpoint),
            Ending::Unreachable | Ending::Stale => {
                part.unrun(call.endpoint);
                part.arrivals -= 1;
                part.unsent += 1;
            }
            Ending::Answered | Ending::Failed | Ending::Broken | Ending::Withdrawn => {}
        }
        if ending == Ending::Stale {
            part.tried.remove(&call.endpoint);
        }
        if part.is_open() {
            match (ending, exchange.stamp) {
                (Ending::Answered, Some(stamp)) => {
                    part.stage = Stage::Done(stamp, exchange.body);
                    flight.done += 1;
                }
                _ if part.attempts.is_empty() => {
                    self.retry(now, call.request, call.part, ending, out);
                }
                _ => {}
            }
        }
        self.review(now, call.request, Some((ticket, ending)), out);
    }

    /// Updates what is known of the replica and the route.
    fn observe(&mut self, now: Time, ticket: Ticket, call: &Out, ending: Ending) {
        let expected = self.expected(&call.route);
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else {
            return;
        };
        let service = endpoint.replica.service.clone();
        let known = self.catalog.services.get(&service);
        let warmup = known.map_or(Span::ZERO, |service| service.warmup);
        let took = endpoint.end(now, ticket, ending, expected, warmup);
        if let Some(took) = took.filter(|_| ending == Ending::Answered)
            && let Some(latency) = self.latencies.get_mut(&call.route.name)
        {
            latency.add(took);
        }
    }

    /// Sends a part again after an attempt ended without an answer, if it may run
    /// again and the limits allow it.
    fn retry(
        &mut self,
        now: Time,
        id: RequestId,
        at: usize,
        ending: Ending,
        out: &mut Vec<Action>,
    ) {
        let limit = self.settings.extra;
        let hosts = self.hosts.len();
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let part = &flight.parts[at];
        let repeatable = flight.route.repeat == Repeat::Idempotent;
        let may_run = repeatable || part.ran.is_empty();
        let few = part.arrivals + part.unsent < SENDS_MAX;
        let pool = self.pools.entry(part.service.clone()).or_default();
        let allowed = part.arrivals == 0 || pool.allowance.take(now, &limit, hosts);
        if !may_run || !few || !allowed || now >= flight.deadline {
            let again = self.again(now, id).filter(|_| may_run && few);
            let cause = match ending {
                Ending::Shed | Ending::Denied => Cause::Shed,
                Ending::Failed => Cause::Failed,
                Ending::Unreachable | Ending::Stale => Cause::NoReplica,
                Ending::Answered | Ending::Broken | Ending::Withdrawn => Cause::Broken,
            };
            return self.leave_out(id, at, cause, again);
        }
        flight.extra += 1;
        self.dispatch(now, id, at, out);
        self.note_extra(id, at, Extra::Retry(ending), out);
    }

    fn note_extra(&self, id: RequestId, at: usize, why: Extra, out: &mut Vec<Action>) {
        let Some(part) = self.flights.get(&id).map(|flight| &flight.parts[at]) else {
            return;
        };
        let target = part.attempts.last();
        let target = target.and_then(|attempt| self.endpoints.get(&attempt.endpoint));
        if let Some(endpoint) = target {
            let instance = endpoint.replica.instance.id.clone();
            out.push(Action::Extra(id, part.service.clone(), instance, why));
        }
    }

    /// Answers a request if it can or must be answered now, else sets its timer.
    fn review(
        &mut self,
        now: Time,
        id: RequestId,
        last: Option<(Ticket, Ending)>,
        out: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if let (Target::Split(_), Some((ticket, ending))) = (&flight.route.target, last) {
            let relayed = match flight.parts[0].stage {
                Stage::Done(..) => true,
                Stage::Missing(..) => ending == Ending::Failed,
                Stage::Out | Stage::Waiting => false,
            };
            if relayed {
                return self.finish(now, id, Answer::Relay(ticket), out);
            }
        }
        let settled = flight.done + flight.missing == flight.parts.len();
        let enough = flight.done >= flight.needed();
        if enough && (settled || now >= flight.settle_at) {
            let answer = merged(flight);
            return self.finish(now, id, answer, out);
        }
        if flight.is_lost() {
            let answer = self.refusal(id);
            return self.finish(now, id, answer, out);
        }
        if now >= flight.deadline {
            let refusal = Answer::Refused(Refusal::Timeout, None);
            return self.finish(now, id, refusal, out);
        }
        let at = next_look(flight, now);
        if flight.look_at <= now || at < flight.look_at {
            flight.look_at = at;
            self.timers.push(Reverse((at, id)));
        }
    }

    /// The refusal of a request that can't succeed any more.
    fn refusal(&mut self, id: RequestId) -> Answer {
        let Some(flight) = self.flights.get(&id) else {
            return Answer::Refused(Refusal::Failed, None);
        };
        if flight.may_have_run() {
            return Answer::Refused(Refusal::Failed, None);
        }
        let wait = match flight.cause() {
            Some(Cause::Shed) => RETRY_SHED,
            _ => RETRY_ABSENT,
        };
        let spread = wait.part(2).as_us().max(1);
        let wait = wait.as_us() + self.random.next_u64() % spread;
        Answer::Refused(Refusal::NotRun, Some(Span::from_us(wait)))
    }

    fn finish(&mut self, now: Time, id: RequestId, answer: Answer, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let missing = flight
            .parts
            .iter()
            .find(|part| !matches!(part.stage, Stage::Done(..)));
        let open = flight.parts.iter().any(|part| part.is_open());
        let report = Report {
            route: Some(flight.route.name.clone()),
            version: self.catalog.version,
            fleet_age: now.since(self.fleet_read),
            took: now.since(flight.started),
            parts: flight.parts.len(),
            done: flight.done,
            extra: flight.extra,
            cause: flight.cause().or(open.then_some(Cause::LeftOut)),
            missing: missing.map(|part| part.service.clone()),
        };
        out.push(Action::Answer(id, answer, report));
        let due = now.after(ORPHAN_MAX);
        for part in &flight.parts {
            let answered = matches!(part.stage, Stage::Done(..));
            for attempt in &part.attempts {
                match answered {
                    true => self.orphans.push_back((due, attempt.ticket)),
                    false => self.withdraw(now, attempt.ticket, out),
                }
            }
        }
    }

    fn report_unrouted(&self, now: Time) -> Report {
        Report {
            route: None,
            version: self.catalog.version,
            fleet_age: now.since(self.fleet_read),
            took: Span::ZERO,
            parts: 0,
            done: 0,
            extra: 0,
            cause: None,
            missing: None,
        }
    }

    fn abandon(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let attempts = flight.parts.iter().flat_map(|part| &part.attempts);
        for ticket in attempts.map(|attempt| attempt.ticket).collect::<Vec<_>>() {
            self.withdraw(now, ticket, out);
        }
    }

    fn withdraw(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Action>) {
        let Some(call) = self.out.remove(&ticket) else {
            return;
        };
        let silent = self
            .endpoints
            .get(&call.endpoint)
            .is_some_and(|endpoint| endpoint.is_silent(now));
        self.observe(now, ticket, &call, Ending::Withdrawn);
        if silent && let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) {
            endpoint.hold_silent(now);
        }
        out.push(Action::Withdraw(ticket));
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some((due, ticket)) = self.orphans.front().copied() {
            if due > now {
                break;
            }
            self.orphans.pop_front();
            self.withdraw(now, ticket, out);
        }
        let mut due = BTreeSet::new();
        while let Some(Reverse((at, id))) = self.timers.peek() {
            if *at > now {
                break;
            }
            if self
                .flights
                .get(id)
                .is_some_and(|flight| flight.look_at <= now)
            {
                due.insert(*id);
            }
            self.timers.pop();
        }
        for id in due {
            self.look(now, id, out);
        }
    }

    /// Hedges what is late, sends what waits, and answers what is due.
    fn look(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        for at in 0..flight.parts.len() {
            let Some(flight) = self.flights.get(&id) else {
                return;
            };
            let (part, needs) = (&flight.parts[at], flight.needs_missing());
            match part.stage {
                Stage::Waiting => self.dispatch(now, id, at, out),
                Stage::Out if part.hedge_at <= now => self.hedge(now, id, at, out),
                Stage::Missing(_, Some(again)) if again <= now && needs => {
                    self.take_up(now, id, at, out);
                }
                Stage::Out | Stage::Done(..) | Stage::Missing(..) => {}
            }
        }
        self.review(now, id, None, out);
    }

    /// Asks another replica for a late part, if one can answer sooner and the
    /// limits allow it.
    fn hedge(&mut self, now: Time, id: RequestId, at: usize, out: &mut Vec<Action>) {
        let limit = self.settings.extra;
        let hosts = self.hosts.len();
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let route = flight.route.clone();
        let part = &mut flight.parts[at];
        part.hedge_at = now.after(LOOK_AGAIN);
        let single = part.attempts.len() == 1;
        let only = part.allowed(route.attempts_max);
        if !single || route.repeat == Repeat::Once {
            part.hedge_at = flight.deadline;
            return;
        }
        let (service, tried) = (part.service.clone(), part.tried.clone());
        let Pick::Endpoint(endpoint) = self.pick(now, &service, &tried, only.as_ref()) else {
            return;
        };
        let pool = self.pools.entry(service).or_default();
        if !pool.allowance.take(now, &limit, hosts) {
            return;
        }
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.extra += 1;
        }
        self.send(now, id, at, endpoint, out);
        self.note_extra(id, at, Extra::Hedge, out);
    }

    fn fleet(&mut self, now: Time, fleet: &Fleet, read: Time, out: &mut Vec<Action>) {
        let listed_at = read;
        self.fleet_read = read;
        for endpoint in self.endpoints.values_mut() {
            endpoint.listed = false;
        }
        for (instance, replica) in &fleet.replicas {
            let known = self.ids.get(instance);
            if let Some(endpoint) = known.and_then(|id| self.endpoints.get_mut(id)) {
                endpoint.relist(replica.clone(), listed_at);
                continue;
            }
            self.last_endpoint += 1;
            let id = self.last_endpoint;
            let endpoint = Endpoint::new(now, replica.clone(), listed_at);
            self.endpoints.insert(id, endpoint);
            self.ids.insert(instance.clone(), id);
            let pool = self.pools.entry(replica.service.clone()).or_default();
            pool.endpoints.push(id);
        }
        self.forget_unlisted(out);
    }

    /// Forgets replicas that are no longer listed, and closes their connections.
    fn forget_unlisted(&mut self, out: &mut Vec<Action>) {
        let gone = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| !endpoint.listed);
        let gone = gone.map(|(id, endpoint)| (*id, endpoint.replica.clone()));
        for (id, replica) in gone.collect::<Vec<_>>() {
            let idle = self.endpoints.get(&id).is_some_and(|e| e.in_flight() == 0);
            out.push(Action::Release(replica.address));
            if !idle {
                continue;
            }
            self.endpoints.remove(&id);
            self.ids.remove(&replica.instance);
            self.cold_shares.remove(&id);
            if let Some(pool) = self.pools.get_mut(&replica.service) {
                pool.endpoints.retain(|other| *other != id);
            }
        }
    }

    /// Takes failure domains out of service or back. Replicas of one that comes
    /// back may have become cold meanwhile.
    fn close(&mut self, now: Time, closed: BTreeSet<Name>) {
        let opened = self.closed.difference(&closed).cloned().collect::<Vec<_>>();
        for id in self.endpoints.keys().copied().collect::<Vec<_>>() {
            let Some(replica) = self.endpoints.get(&id).map(|e| e.replica.clone()) else {
                continue;
            };
            if opened.contains(&replica.domain) {
                let until = now.after(self.warmup(&replica.service));
                let until = until.after(self.settings.list_lag);
                self.endpoints.entry(id).and_modify(|e| e.chill(until));
            }
        }
        self.closed = closed;
    }
}

/// The next service in turn, so that over time each one gets its weight's share.
/// Smooth weighted round robin.
fn next_in_turn(credits: &mut Vec<f64>, weights: &[f64]) -> usize {
    credits.resize(weights.len(), 0.0);
    let total = weights.iter().sum::<f64>();
    for (credit, weight) in credits.iter_mut().zip(weights) {
        *credit = (*credit + weight).clamp(-2.0 * total, 2.0 * total);
    }
    let first = |best: usize, at: usize| {
        if credits[at] > credits[best] {
            at
        } else {
            best
        }
    };
    let open = (0..weights.len()).filter(|at| weights[*at] > 0.0);
    let chosen = open.reduce(first).unwrap_or_default();
    credits[chosen] -= total;
    chosen
}

/// When a request must be looked at again.
fn next_look(flight: &Flight, now: Time) -> Time {
    let repeatable = flight.route.repeat == Repeat::Idempotent;
    let needs = flight.needs_missing();
    let parts = flight.parts.iter().filter_map(|part| match part.stage {
        Stage::Waiting => Some(now.after(LOOK_AGAIN)),
        Stage::Out if repeatable => Some(part.hedge_at),
        Stage::Missing(_, Some(again)) if needs => Some(again),
        _ => None,
    });
    let settle = (now < flight.settle_at).then_some(flight.settle_at);
    let next = parts.chain(settle).chain([flight.deadline]).min();
    next.unwrap_or(flight.deadline)
        .max(now.after(Span::from_us(500)))
}

fn merged(flight: &Flight) -> Answer {
    let mut stamps = Vec::with_capacity(flight.parts.len());
    let mut bodies = Vec::with_capacity(flight.parts.len());
    for part in &flight.parts {
        if let Stage::Done(stamp, body) = &part.stage {
            stamps.push(stamp.clone());
            bodies.push(body.clone());
        }
    }
    let top = match flight.route.target {
        Target::Gather { top, .. } => top,
        Target::Split(_) => 0,
    };
    Answer::Merged {
        missing: flight.parts.len() - stamps.len(),
        body: merge::greatest(&bodies, top),
        stamps,
    }
}
