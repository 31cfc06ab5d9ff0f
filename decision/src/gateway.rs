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
use rand_chacha::rand_core::SeedableRng;

use crate::allowance::Allowance;
use crate::allowance::Limit;
use crate::branch::OrderId;
use crate::branch::Piece;
use crate::catalog::Catalog;
use crate::catalog::Route;
use crate::catalog::Target;
use crate::clock::Span;
use crate::clock::Time;
use crate::endpoint::Ending;
use crate::endpoint::Endpoint;
use crate::endpoint::Expected;
use crate::endpoint::Ticket;
use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::flight::Cause;
use crate::flight::EndpointId;
use crate::flight::Flight;
use crate::flight::Stage;
use crate::latency::Latency;
use crate::name::Name;
use crate::plan::Plan;

/// Quantile of latency after which a second replica is asked.
const HEDGE_QUANTILE: f64 = 0.9;

/// Shortest wait before a second replica is asked.
const HEDGE_MIN: Span = Span::from_ms(4);

/// Time before a hedge that was not allowed, or a waiting part, is looked at again.
pub(crate) const LOOK_AGAIN: Span = Span::from_ms(10);

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

/// A branch to gather for.
#[derive(Clone, Debug, PartialEq)]
pub struct Branch {
    /// The order for it.
    pub order: OrderId,
    /// Which shards, and how.
    pub route: Arc<Route>,
    /// Rank by which all hosts pick the same replicas for the request.
    pub key: u64,
    /// Whether another host may have sent the same parts.
    pub moved: bool,
    /// Whether no other host will send them.
    pub kept: bool,
    /// Time until what is there is told.
    pub settle: Span,
    /// Time until the deadline.
    pub left: Span,
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

impl Report {
    /// Whether replicas that are listed could not be reached in time.
    pub fn is_cut_off(&self) -> bool {
        match self.cause {
            Some(Cause::HeldBack) => true,
            Some(Cause::LeftOut | Cause::Deadline) => self.parts > 1,
            _ => false,
        }
    }
}

/// An input.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request.
    Request(RequestId, Request),
    /// A branch of a request, for another host or this one.
    Branch(RequestId, Branch),
    /// No other host will gather for a branch.
    Kept(RequestId),
    /// The caller of a request went away.
    Abandoned(RequestId),
    /// A call ended.
    Done(Ticket, Exchange),
    /// A catalog came into force.
    Catalog(Arc<Catalog>),
    /// The list was read at this time.
    Fleet(Arc<Fleet>, Time),
    /// The list was read again at this time, and is the same.
    Read(Time),
    /// Failure domains out of service.
    Closed(BTreeSet<Name>),
    /// The entry hosts.
    Plan(Arc<Plan>),
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
    /// Tell what was gathered for a branch.
    Piece(RequestId, Piece),
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

pub(crate) struct Out {
    pub(crate) request: RequestId,
    pub(crate) part: usize,
    pub(crate) endpoint: EndpointId,
    pub(crate) route: Arc<Route>,
}

#[derive(Default)]
pub(crate) struct Pool {
    pub(crate) endpoints: Vec<EndpointId>,
    pub(crate) allowance: Allowance,
}

/// The entry role.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) closed: BTreeSet<Name>,
    pub(crate) plan: Arc<Plan>,
    pub(crate) fleet_read: Time,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) ids: HashMap<Instance, EndpointId>,
    pub(crate) pools: HashMap<Name, Pool>,
    pub(crate) cold_shares: HashMap<EndpointId, u32>,
    pub(crate) latencies: HashMap<Name, Latency>,
    pub(crate) credits: HashMap<Name, Vec<f64>>,
    pub(crate) flights: HashMap<RequestId, Flight>,
    pub(crate) out: HashMap<Ticket, Out>,
    pub(crate) orphans: VecDeque<(Time, Ticket)>,
    pub(crate) timers: BinaryHeap<Reverse<(Time, RequestId)>>,
    pub(crate) last_endpoint: EndpointId,
    pub(crate) last_ticket: Ticket,
    pub(crate) random: ChaCha8Rng,
}

impl Gateway {
    /// An entry role that knows nothing yet.
    pub fn new(settings: Settings) -> Gateway {
        Gateway {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            catalog: Arc::default(),
            closed: BTreeSet::new(),
            plan: Arc::default(),
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
            Event::Branch(id, branch) => self.branch(now, id, &branch, &mut out),
            Event::Kept(id) => self.keep(id),
            Event::Abandoned(id) => self.abandon(now, id, &mut out),
            Event::Done(ticket, exchange) => self.done(now, ticket, exchange, &mut out),
            Event::Catalog(catalog) => self.catalog = catalog,
            Event::Fleet(fleet, read) => self.fleet(now, &fleet, read, &mut out),
            Event::Read(read) => self.fleet_read = self.fleet_read.max(read),
            Event::Closed(closed) => self.close(now, closed),
            Event::Plan(plan) => {
                self.plan = plan;
                self.cold_shares.clear();
            }
            Event::Tick => self.tick(now, &mut out),
        }
        out
    }

    pub(crate) fn request(
        &mut self,
        now: Time,
        id: RequestId,
        request: &Request,
        out: &mut Vec<Action>,
    ) {
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
        let left = request.left.unwrap_or(route.timeout).min(route.timeout);
        let margin = match request.first {
            true => self.settings.margin_first,
            false => self.settings.margin,
        };
        let flight = Flight {
            elsewhere: request.elsewhere,
            ..Flight::new(now, route, services, left, margin)
        };
        if flight.elsewhere && self.reachable(now, &flight) < flight.needed() {
            self.flights.insert(id, flight);
            let refusal = Answer::Refused(Refusal::NotRun, Some(RETRY_ELSEWHERE));
            return self.finish(now, id, refusal, out);
        }
        self.start(now, id, flight, out);
    }

    /// Sends the parts of a request.
    pub(crate) fn start(
        &mut self,
        now: Time,
        id: RequestId,
        flight: Flight,
        out: &mut Vec<Action>,
    ) {
        let limit = self.settings.extra;
        for part in &flight.parts {
            let share = self.share(&part.service);
            let pool = self.pools.entry(part.service.clone()).or_default();
            pool.allowance.earn(now, &limit, share);
        }
        let parts = flight.parts.len();
        self.flights.insert(id, flight);
        for part in 0..parts {
            self.dispatch(now, id, part, out);
        }
        self.review(now, id, None, out);
    }

    /// The services that a request of the route goes to.
    pub(crate) fn services(&mut self, route: &Route) -> Vec<Name> {
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

    pub(crate) fn expected(&mut self, route: &Route) -> Expected {
        let first = route.objective.divided_by(4);
        let latency = self
            .latencies
            .entry(route.name.clone())
            .or_insert_with(|| Latency::new(first, HEDGE_QUANTILE));
        Expected {
            median: latency.median(),
            high: latency.high().max(HEDGE_MIN),
        }
    }

    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
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
    pub(crate) fn look(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
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
