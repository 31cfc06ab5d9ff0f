//! The entry role of a tier whose hosts are discovered, as a state machine.
//!
//! The adapter feeds [`Gateway::step`] with callers' requests, ends of calls and
//! configuration changes, and carries out the actions that it returns. A request has one
//! part for each shard. Each part is sent to a replica, and is hedged or retried within
//! limits, until the request is answered. The steps are spread over several modules:
//! `choice` picks replicas, `attempt` sends and retries, `answering` answers callers,
//! `gathering` serves branches for other entry hosts, `isolation` keeps requests away from
//! servers that end under them, `queueing` serves parts that wait for capacity, and `listing`
//! applies changes of the replica list.

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
use rand_chacha::rand_core::SeedableRng;

use crate::allowance::Allowance;
use crate::allowance::Limit;
use crate::answer::Answer;
use crate::answer::Extra;
use crate::answer::Refusal;
use crate::answer::Report;
use crate::branch::OrderId;
use crate::branch::Reply;
use crate::catalog::Catalog;
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
use crate::flight::EndpointId;
use crate::flight::Flight;
use crate::flight::Kind;
use crate::flight::Shared;
use crate::flight::Stage;
use crate::latency::Latency;
use crate::load::capacity::Estimator;
use crate::name::Name;
use crate::notice::Notice;
use crate::plan::Plan;
use crate::quarantine::Ledger;
use crate::quarantine::Record;
use crate::queueing::Waiting;
use crate::quota;
use crate::quota::Rate;
use crate::rollout::order::Orders;
use crate::rollout::traffic::Traffic;
use crate::split;
use crate::split::Splits;
use crate::suspect::Standing;
use crate::throttle::Throttle;
use crate::uplink;
use crate::uplink::Uplink;

/// Latency quantile after which a part is hedged.
pub(crate) const HEDGE_QUANTILE: f64 = 0.9;

/// Shortest hedge delay.
const HEDGE_MIN: Span = Span::from_ms(4);

/// Delay before a waiting part, or a hedge that was not allowed, is tried again.
pub(crate) const RECHECK_AFTER: Span = Span::from_ms(10);

/// `Retry-After` for a request that this host can't serve but other entry hosts probably
/// can.
const RETRY_AFTER_CUT_OFF: Span = Span::from_ms(5);

/// `Retry-After` while this host has no configuration, or has no recent confirmation by
/// the voters that its configuration is the newest.
const RETRY_AFTER_UNREADY: Span = Span::from_ms(1_000);

/// Identifies a request or a branch within this process.
pub type RequestId = u64;

/// Settings of the entry role.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address at which this host takes messages from other hosts.
    pub address: SocketAddr,
    /// Failure domain of this host.
    pub domain: Name,
    /// Limit on hedges and retries to one service, for all entry hosts together.
    pub extra: Limit,
    /// Factor on the configured request rate of a cold replica.
    pub cold_overage: f64,
    /// Requests per second allowed to a cold replica in addition.
    pub cold_slack: f64,
    /// How the capacity of replicas is estimated.
    pub estimator: Estimator,
    /// Time for a request to arrive from the caller and for the answer to get back;
    /// subtracted from the latency objective.
    pub margin: Span,
    /// The same for the first request on a connection, including the time to open it.
    pub margin_first: Span,
    /// Longest lag of the replica list behind reality.
    pub list_lag: Span,
    /// Seed of the random generator.
    pub seed: u64,
}

/// A branch of a request: some of its shards, gathered for the host that gave the order.
#[derive(Clone, Debug, PartialEq)]
pub struct Branch {
    /// The order that asks for this branch.
    pub order: OrderId,
    /// Route narrowed to the shards of this branch.
    pub route: Arc<Route>,
    /// Name of the request's account, if it has one.
    pub account: Option<Name>,
    /// Digest of the request's content, the same for each repeat.
    pub fingerprint: Digest,
    /// Rendezvous hashing key of the request, the same on all hosts, so that they pick
    /// the same replicas.
    pub key: u64,
    /// Whether another host may have received an earlier order for the branch, and so may
    /// send the same parts.
    pub moved: bool,
    /// Whether the order is committed to this host, so that no other host will send its
    /// parts.
    pub committed: bool,
    /// Time until partial results are reported.
    pub settle: Span,
    /// Time until the request's deadline.
    pub left: Span,
}

/// The properties of a caller's request that decide how the request is served.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// Path without the query.
    pub path: Arc<str>,
    /// Digest of the content, the same for each repeat of the request.
    pub fingerprint: Digest,
    /// Time for which the caller still waits; absent if the caller sent no deadline.
    pub left: Option<Span>,
    /// Whether the voters confirmed recently that the catalog is the newest.
    pub catalog_confirmed: bool,
    /// Whether this is the first request on its connection.
    pub first_on_connection: bool,
    /// Whether this host fails most requests while the other entry hosts probably don't.
    pub others_healthier: bool,
    /// Priority of the request's account in place of the route's one, if it has one.
    pub priority: Option<u32>,
    /// Name of the request's account, if it has one.
    pub account: Option<Name>,
    /// Time for which the request has waited at this host.
    pub waited: Span,
    /// Set if other hosts may send the same request.
    pub shared: Option<Shared>,
}

/// One request to one replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Identifies the call within this process.
    pub ticket: Ticket,
    /// The request or branch that the call belongs to.
    pub request: RequestId,
    /// Address of the replica.
    pub address: SocketAddr,
    /// Identifier that the replica must have to run the request.
    pub instance: Name,
    /// Time until the request's deadline.
    pub left: Span,
    /// Most connections that this host may open to the replica.
    pub connections: u32,
    /// Whether a kept connection that may be about to close must not be used. Set for
    /// requests that may run only once.
    pub avoid_stale: bool,
    /// Whether the connection may be kept for further calls.
    pub keep: bool,
}

/// Result of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Completion {
    /// How the call ended.
    pub ending: Ending,
    /// Stamp that the replica put on its answer; present if the call was answered.
    pub stamp: Option<Arc<str>>,
    /// Body of the answer; empty if the call was not answered.
    pub body: Bytes,
    /// What the answer says of the replica itself.
    pub notice: Notice,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived.
    Request(RequestId, Request),
    /// A branch is to be gathered, for another host or for this one.
    Branch(RequestId, Branch),
    /// The order of a branch is committed to this host.
    Committed(RequestId),
    /// The caller disconnected, or the order of a branch was cancelled.
    Abandoned(RequestId),
    /// A call ended.
    Completed(Ticket, Completion),
    /// A new catalog came into force.
    Catalog(Arc<Catalog>),
    /// Other hosts recorded servers that ended under requests.
    Records(Vec<Record>),
    /// A probe ended: whether the server accepted a connection.
    Probed(bool),
    /// Limits and demands that a voter tells of.
    Limits(quota::Report),
    /// The replica list changed; read at this time.
    Fleet(Arc<Fleet>, Time),
    /// A voter's orders of rollouts, or its confirmation of those that the host has.
    Rollouts(Orders),
    /// The replica list was read again at this time and is unchanged.
    FleetUnchanged(Time),
    /// The failure domains out of service changed to these.
    DomainsClosed(BTreeSet<Name>),
    /// The entry hosts or their assignment to services changed.
    Plan(Arc<Plan>),
    /// The host stops: its requests, but not the branches of other hosts, are answered by this time.
    EndBy(Time),
    /// A timer is due.
    Tick,
}

/// What a change of the state of a host's links was derived from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Evidence {
    /// Servers at which calls failed lately.
    pub failed: usize,
    /// Servers with a call that has been open for long, while none answers.
    pub quiet: usize,
    /// Time for which the oldest call has been open; absent without any.
    pub open_for: Option<Span>,
}

/// Output of the state machine, to be carried out by the adapter.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a replica.
    Send(Call),
    /// Abort a call and close its connection.
    Withdraw(Ticket),
    /// Answer a caller.
    Answer(RequestId, Answer, Report),
    /// Report what a branch has gathered to the host that ordered it.
    Reply(RequestId, Reply),
    /// Close idle connections to this address.
    CloseIdle(SocketAddr),
    /// The standing of a request's part for this service changed, or that of the whole
    /// request (`*`); other hosts should know.
    Standing(Digest, Name, Standing),
    /// A hedge or retry was sent for a part of this request, to this service and replica,
    /// for this reason.
    Extra(RequestId, Name, Name, Extra),
    /// Try to open a connection to a server, and report with [`Event::Probed`] whether it was
    /// accepted.
    Probe(uplink::Probe),
    /// The state of this host's links to the servers changed.
    Links(uplink::State, Evidence),
    /// A replica of this service said that it is leaving.
    Leaving(Name, Name),
    /// A replica of this service wants no requests from this host for this time.
    Pause(Name, Name, Span),
    /// The limit that a replica of this service names changed; absent if it names none.
    Limit(Name, Name, Option<Rate>),
}

/// The part, replica and route that an open call belongs to.
pub(crate) struct Outstanding {
    pub(crate) request: RequestId,
    pub(crate) part: usize,
    pub(crate) endpoint: EndpointId,
    pub(crate) route: Arc<Route>,
}

/// The replicas of one service and the allowance of extra requests to them.
#[derive(Default)]
pub(crate) struct Pool {
    pub(crate) endpoints: Vec<EndpointId>,
    pub(crate) allowance: Allowance,
}

/// State of the entry role on one host.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) catalog: Arc<Catalog>,
    /// Failure domains out of service.
    pub(crate) closed: BTreeSet<Name>,
    pub(crate) plan: Arc<Plan>,
    /// When the replica list was last read.
    pub(crate) fleet_read: Time,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoint of each known run of a replica.
    pub(crate) endpoint_ids: HashMap<Instance, EndpointId>,
    /// Replicas by service.
    pub(crate) pools: HashMap<Name, Pool>,
    /// This host's share of the request rate of a cold replica, cached until the plan
    /// changes.
    pub(crate) cold_shares: HashMap<EndpointId, u32>,
    /// Whether this host keeps connections to a replica, cached until the plan or the limits
    /// change.
    pub(crate) keeps_connection: HashMap<EndpointId, bool>,
    /// Latencies by route.
    pub(crate) latencies: HashMap<Name, Latency>,
    /// Latencies by route and service of routes with several weighted services.
    pub(crate) service_latencies: HashMap<(Name, Name), Latency>,
    /// How the capacity of replicas is estimated.
    pub(crate) estimator: Estimator,
    /// Turns of the services that share a route.
    pub(crate) splits: Splits,
    /// Requests and branches in progress.
    pub(crate) flights: HashMap<RequestId, Flight>,
    pub(crate) calls: HashMap<Ticket, Outstanding>,
    /// Parts that wait for capacity.
    pub(crate) waiting: Waiting,
    /// Parts of requests under which servers ended.
    pub(crate) ledger: Ledger,
    /// Limits that replicas named, and the demand for them.
    pub(crate) throttle: Throttle,
    /// Evidence on this host's links to the servers.
    pub(crate) uplink: Uplink,
    /// State of the links in the last [`Action::Links`].
    pub(crate) links: uplink::State,
    /// Open calls for answered parts of closed requests, with the time at which each is
    /// withdrawn.
    pub(crate) orphans: VecDeque<(Time, Ticket)>,
    /// When to recheck each request; entries that no longer apply are skipped.
    pub(crate) timers: BinaryHeap<Reverse<(Time, RequestId)>>,
    pub(crate) last_endpoint: EndpointId,
    pub(crate) last_ticket: Ticket,
    pub(crate) random: ChaCha8Rng,
    /// Rollouts that this host follows.
    pub(crate) rollouts: Traffic,
}

impl Gateway {
    /// An entry role without catalog, replicas or requests.
    pub fn new(settings: Settings) -> Gateway {
        Gateway {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            rollouts: Traffic::new(settings.seed),
            estimator: settings.estimator,
            settings,
            catalog: Arc::default(),
            closed: BTreeSet::new(),
            plan: Arc::default(),
            fleet_read: Time::default(),
            endpoints: BTreeMap::new(),
            endpoint_ids: HashMap::new(),
            pools: HashMap::new(),
            cold_shares: HashMap::new(),
            keeps_connection: HashMap::new(),
            latencies: HashMap::new(),
            service_latencies: HashMap::new(),
            splits: Splits::default(),
            flights: HashMap::new(),
            calls: HashMap::new(),
            waiting: Waiting::default(),
            ledger: Ledger::default(),
            throttle: Throttle::default(),
            uplink: Uplink::default(),
            links: uplink::State::default(),
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

    /// Parts of requests under which servers ended, as this host knows them.
    pub fn ledger(&mut self) -> &mut Ledger {
        &mut self.ledger
    }

    /// Whether a request on this route is refused at once because it is quarantined.
    pub fn is_quarantined(&self, now: Time, route: &Arc<Route>, fingerprint: Digest) -> bool {
        let Target::Gather { shards, .. } = &route.target else {
            return false;
        };
        if self.ledger.is_empty() {
            return false;
        }
        let flight = Flight {
            fingerprint,
            ..Flight::new(now, route.clone(), shards.clone(), Span::ZERO, Span::ZERO)
        };
        self.quarantine_left(now, &flight).is_some()
    }

    /// Number of requests and branches in progress.
    pub fn active_requests(&self) -> usize {
        self.flights.len()
    }

    /// Number of calls that have not ended.
    pub fn active_calls(&self) -> usize {
        self.calls.len()
    }

    /// Number of known replicas.
    pub fn replica_count(&self) -> usize {
        self.endpoints.len()
    }

    /// When the next tick is due; absent without timers.
    pub fn next_timer(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let orphan = self.orphans.front().map(|(at, _)| *at);
        let links = self.uplink.next_timer();
        timer.into_iter().chain(orphan).chain(links).min()
    }

    /// Handles an event and returns the resulting actions in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Request(id, request) => self.start_request(now, id, &request, &mut actions),
            Event::Branch(id, branch) => self.start_branch(now, id, &branch, &mut actions),
            Event::Committed(id) => self.commit(id),
            Event::Abandoned(id) => self.abandon(now, id, &mut actions),
            Event::Completed(ticket, completion) => {
                self.complete(now, ticket, completion, &mut actions)
            }
            Event::Records(records) => self.merge_records(now, records, &mut actions),
            Event::Probed(accepted) => self.uplink.record_probe(now, accepted),
            Event::Limits(report) => self.merge_limits(now, report, &mut actions),
            Event::Catalog(catalog) => {
                let routes = catalog.routes.iter().map(|route| &**route);
                self.throttle.set_routes(routes);
                self.catalog = catalog;
                self.keeps_connection.clear();
                self.update_shares(now);
            }
            Event::Fleet(fleet, read) => self.update_fleet(now, &fleet, read, &mut actions),
            Event::Rollouts(orders) => self.update_rollouts(now, orders),
            Event::FleetUnchanged(read) => self.fleet_read = self.fleet_read.max(read),
            Event::DomainsClosed(closed) => self.update_closed(now, closed),
            Event::Plan(plan) => {
                self.plan = plan;
                self.cold_shares.clear();
                self.keeps_connection.clear();
                self.update_shares(now);
            }
            Event::EndBy(end) => self.end_by(end),
            Event::Tick => self.tick(now, &mut actions),
        }
        self.serve_waiting(now, &mut actions);
        self.check_links(now, &mut actions);
        actions
    }

    /// Accepts a caller's request, or refuses it at once if no route matches or if other
    /// hosts can serve it better.
    pub(crate) fn start_request(
        &mut self,
        now: Time,
        id: RequestId,
        request: &Request,
        actions: &mut Vec<Action>,
    ) {
        let Some(route) = self.catalog.route(&request.host, &request.path).cloned() else {
            let unconfirmed = self.catalog.version == 0 || !request.catalog_confirmed;
            let refusal = if unconfirmed {
                Answer::Refused(Refusal::NotRun, Some(RETRY_AFTER_UNREADY))
            } else {
                Answer::Refused(Refusal::NoRoute, None)
            };
            let report = self.report_unsent(now, None);
            return actions.push(Action::Answer(id, refusal, report));
        };
        let route = route.with_priority(request.priority);
        self.count_request(now, &route.name);
        let services = match &request.shared {
            Some(shared) => split::services_by_key(&route, shared.key),
            None => self.splits.services(&route),
        };
        let left = request.left.unwrap_or(route.timeout).min(route.timeout);
        let margin = match request.first_on_connection {
            true => self.settings.margin_first,
            false => self.settings.margin,
        };
        let mut flight = Flight {
            others_healthier: request.others_healthier,
            account: request.account.clone(),
            fingerprint: request.fingerprint,
            shared: request.shared,
            ..Flight::new(now.before(request.waited), route, services, left, margin)
        };
        if flight.others_healthier && self.reachable(now, &flight) < flight.needed() {
            self.flights.insert(id, flight);
            let refusal = Answer::Refused(Refusal::NotRun, Some(RETRY_AFTER_CUT_OFF));
            return self.finish(now, id, refusal, actions);
        }
        if let Some(refusal) = self.quarantine_refusal(now, &flight) {
            self.flights.insert(id, flight);
            return self.finish(now, id, refusal, actions);
        }
        if let Some(refusal) = self.limit_refusal(now, &mut flight) {
            self.flights.insert(id, flight);
            return self.finish(now, id, refusal, actions);
        }
        self.start_parts(now, id, flight, actions);
    }

    /// Stores a request and sends its parts.
    pub(crate) fn start_parts(
        &mut self,
        now: Time,
        id: RequestId,
        flight: Flight,
        actions: &mut Vec<Action>,
    ) {
        let limit = self.settings.extra;
        for part in &flight.parts {
            let share = self.limit_share(&part.service);
            let pool = self.pools.entry(part.service.clone()).or_default();
            pool.allowance.earn(now, &limit, share);
        }
        let parts = flight.parts.len();
        self.flights.insert(id, flight);
        for part in 0..parts {
            self.dispatch(now, id, part, actions);
        }
        self.try_answer(now, id, None, actions);
    }

    /// Median and high quantile of recent latencies on this route.
    pub(crate) fn expected_latency(&mut self, route: &Route) -> Expected {
        let initial = route.objective.divided_by(4);
        let latency = self
            .latencies
            .entry(route.name.clone())
            .or_insert_with(|| Latency::new(initial, HEDGE_QUANTILE));
        Expected {
            median: latency.median(),
            high: latency.high().max(HEDGE_MIN),
        }
    }

    /// Moves the deadlines of all requests to `end` at the latest.
    fn end_by(&mut self, end: Time) {
        let requests = self.flights.iter_mut();
        let requests = requests.filter(|(_, flight)| matches!(flight.kind, Kind::Request));
        for (id, flight) in requests {
            flight.deadline = flight.deadline.min(end);
            flight.recheck_at = flight.recheck_at.min(end);
            self.timers.push(Reverse((end, *id)));
        }
    }

    /// Withdraws expired orphans and rechecks requests whose timers are due.
    pub(crate) fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((due, ticket)) = self.orphans.front().copied() {
            if due > now {
                break;
            }
            self.orphans.pop_front();
            self.withdraw(now, ticket, actions);
        }
        let mut due = BTreeSet::new();
        while let Some(Reverse((at, id))) = self.timers.peek() {
            if *at > now {
                break;
            }
            if self
                .flights
                .get(id)
                .is_some_and(|flight| flight.recheck_at <= now)
            {
                due.insert(*id);
            }
            self.timers.pop();
        }
        for id in due {
            self.recheck(now, id, actions);
        }
    }

    /// Hedges late parts, dispatches waiting parts, resumes missing parts that are
    /// needed, and answers the request if it is due.
    pub(crate) fn recheck(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        for index in 0..flight.parts.len() {
            let Some(flight) = self.flights.get(&id) else {
                return;
            };
            let (part, needs) = (&flight.parts[index], flight.needs_missing());
            match part.stage {
                Stage::Waiting => self.recheck_waiting(now, id, index, actions),
                Stage::Sent if part.hedge_at <= now => self.hedge(now, id, index, actions),
                Stage::Missing(_, Some(resume_at)) if resume_at <= now && needs => {
                    self.resume(now, id, index, actions);
                }
                Stage::Sent | Stage::Done(..) | Stage::Missing(..) => {}
            }
        }
        self.try_answer(now, id, None, actions);
    }
}
