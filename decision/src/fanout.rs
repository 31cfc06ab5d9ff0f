//! Requests whose shards are gathered by several entry hosts: which host gathers a
//! branch, what happens when it does not answer, and when the caller is answered.
//!
//! Load pattern: entry hosts that are killed, freeze or are cut off while others
//! wait for them. A host confirms an order before it sends anything. An order that
//! isn't confirmed soon goes to another host; one that is confirmed never does, and
//! the host is told so. So that two hosts that gather for a branch run no part on
//! more replicas than allowed, all but the first replica of a part are the same at
//! hosts that were not told (see `choice`).

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::branch::OrderId;
use crate::branch::Piece;
use crate::catalog::Catalog;
use crate::catalog::Route;
use crate::catalog::Target;
use crate::clock::Span;
use crate::clock::Time;
use crate::gateway::Answer;
use crate::gateway::Refusal;
use crate::gateway::Report;
use crate::gateway::RequestId;
use crate::name::Name;
use crate::plan;
use crate::plan::Plan;
use crate::scatter::Branch;
use crate::scatter::Flight;

/// Longest time to wait until a host confirms an order.
const CONFIRM_MAX: Span = Span::from_ms(25);

/// Lateness of this host itself beyond which it first looks whether a confirmation
/// waits here.
const LATE_MAX: Span = Span::from_ms(5);

/// Time for which a host that did not confirm gets no orders.
const AVOID_FOR: Span = Span::from_ms(1_000);

/// Time that a host needs to tell what it gathered.
const TELL_MAX: Span = Span::from_ms(5);

/// Hosts that are asked for one branch, before this host gathers for it itself.
const HOSTS_MAX: usize = 2;

/// Wait told to callers whose request did not run anywhere.
const RETRY_ABSENT: Span = Span::from_ms(300);

/// Settings of an entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This host.
    pub host: plan::Host,
    /// Seed of random choices.
    pub seed: u64,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its route.
    pub route: Arc<Route>,
    /// Time for which the caller still waits, if it tells.
    pub left: Option<Span>,
    /// Time that an answer needs to reach the caller.
    pub margin: Span,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request on a route that [`Fanout::takes`].
    Request(RequestId, Request),
    /// Its caller went away.
    Abandoned(RequestId),
    /// A host confirmed an order.
    Taken(OrderId),
    /// A host told what it has.
    Piece(Piece),
    /// An order could not be sent.
    Unsent(OrderId),
    /// The connection to a host broke.
    Lost(SocketAddr),
    /// Time passes.
    Tick,
}

/// Asks a host to gather for a branch.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Its number.
    pub id: OrderId,
    /// The request.
    pub request: RequestId,
    /// The host; none is this one.
    pub host: Option<SocketAddr>,
    /// The shards and how they are gathered.
    pub route: Arc<Route>,
    /// Whether another host may send the same parts.
    pub moved: bool,
    /// Time until what is there should be told.
    pub settle: Span,
    /// Time until the deadline.
    pub left: Span,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Give an order.
    Order(Order),
    /// Take an order back; no host is this one.
    Cancel(Option<SocketAddr>, OrderId),
    /// Tell a host that its order goes to no other one.
    Keep(SocketAddr, OrderId),
    /// Answer a caller.
    Answer(RequestId, Answer, Report),
    /// An order went to another host: of which request, away from which host.
    Moved(RequestId, SocketAddr),
}

#[derive(Clone, Debug, Default)]
struct Peer {
    orders: usize,
    avoid_until: Time,
}

/// The requests of one entry host that several hosts gather for.
pub struct Fanout {
    settings: Settings,
    catalog: Arc<Catalog>,
    plan: Arc<Plan>,
    fleet_read: Time,
    flights: HashMap<RequestId, Flight>,
    orders: HashMap<OrderId, (RequestId, usize)>,
    peers: HashMap<SocketAddr, Peer>,
    timers: BinaryHeap<Reverse<(Time, RequestId)>>,
    last: OrderId,
    random: ChaCha8Rng,
}

impl Fanout {
    /// No requests yet.
    pub fn new(settings: Settings) -> Fanout {
        Fanout {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            catalog: Arc::default(),
            plan: Arc::default(),
            fleet_read: Time::default(),
            flights: HashMap::new(),
            orders: HashMap::new(),
            peers: HashMap::new(),
            timers: BinaryHeap::new(),
            last: OrderId::default(),
        }
    }

    /// Takes the configuration in force and the plan that follows from it.
    pub fn replan(&mut self, catalog: Arc<Catalog>, plan: Arc<Plan>) {
        let known = |address: &SocketAddr| plan.hosts().iter().any(|h| h.address == *address);
        self.peers.retain(|address, _| known(address));
        self.catalog = catalog;
        self.plan = plan;
    }

    /// Notes when the list of replicas was read, for reports.
    pub fn note_read(&mut self, read: Time) {
        self.fleet_read = read;
    }

    /// The hosts of the same failure domain that this host gives orders to.
    pub fn partners(&self) -> BTreeSet<SocketAddr> {
        let own = &self.settings.host;
        let members = self.plan.members();
        let near = members.filter(|host| host.domain == own.domain && host.address != own.address);
        near.map(|host| host.address).collect()
    }

    /// The route of a request that several hosts gather for, if this is one.
    pub fn takes(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let route = self.catalog.route(host, path)?;
        self.plan.branches(&route.name)?;
        Some(route.clone())
    }

    /// Requests that are being served.
    pub fn load(&self) -> usize {
        self.flights.len()
    }

    /// When the next tick is due.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes an event and returns its effects in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Request(id, request) => self.request(now, id, request, &mut out),
            Event::Abandoned(id) => self.close(id, &mut out),
            Event::Taken(order) => self.taken(order, &mut out),
            Event::Piece(piece) => self.piece(now, piece, &mut out),
            Event::Unsent(order) => self.unconfirmed(now, order, false, &mut out),
            Event::Lost(host) => self.lost(now, host, &mut out),
            Event::Tick => self.tick(now, &mut out),
        }
        out
    }

    fn request(&mut self, now: Time, id: RequestId, request: Request, out: &mut Vec<Action>) {
        let route = request.route;
        let Target::Gather { shards, .. } = &route.target else {
            return;
        };
        let planned = self.plan.branches(&route.name).unwrap_or_default();
        let branches = planned.iter().map(|branch| Branch {
            shards: shards[branch.shards.clone()].to_vec(),
            members: branch.members.clone(),
            order: OrderId::default(),
            host: None,
            asked: BTreeSet::new(),
            doubtful: false,
            confirm_by: None,
            piece: None,
            lost: false,
        });
        let branches = branches.collect::<Vec<_>>();
        let left = request.left.unwrap_or(route.timeout).min(route.timeout);
        let objective = route.objective.saturating_sub(request.margin);
        let count = branches.len();
        let flight = Flight {
            started: now,
            settle_at: now.after(objective.min(left)),
            deadline: now.after(left),
            branches,
            look_at: Time::default(),
            route,
        };
        self.flights.insert(id, flight);
        for at in 0..count {
            self.order(now, id, at, out);
        }
        self.review(now, id, out);
    }

    /// Asks a host for a branch.
    fn order(&mut self, now: Time, id: RequestId, at: usize, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let branch = &flight.branches[at];
        let (members, asked) = (branch.members.clone(), branch.asked.clone());
        let host = self.choose(now, &members, &asked);
        self.last.0 += 1;
        let order = self.last;
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let branch = &mut flight.branches[at];
        let (settle, left) = (
            remaining(flight.settle_at, now),
            remaining(flight.deadline, now),
        );
        branch.order = order;
        branch.host = host;
        branch.asked.extend(host);
        branch.confirm_by = host.map(|_| now.after(CONFIRM_MAX));
        let moved = branch.doubtful;
        let route = Route {
            target: narrowed(&flight.route.target, &branch.shards),
            ..Route::clone(&flight.route)
        };
        self.orders.insert(order, (id, at));
        if let Some(host) = host {
            self.peers.entry(host).or_default().orders += 1;
        }
        out.push(Action::Order(Order {
            id: order,
            request: id,
            host,
            route: Arc::new(route),
            moved,
            settle: host.map_or(settle, |_| settle.saturating_sub(TELL_MAX)),
            left,
        }));
    }

    /// The host to ask: one of the same failure domain if possible, with the fewest
    /// orders out. None is this host itself.
    fn choose(
        &mut self,
        now: Time,
        members: &[plan::Host],
        asked: &BTreeSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        if asked.len() >= HOSTS_MAX {
            return None;
        }
        let mut best = None;
        for host in members {
            let peer = self.peers.get(&host.address);
            let avoided = peer.is_some_and(|peer| now < peer.avoid_until);
            if asked.contains(&host.address) || avoided {
                continue;
            }
            let orders = peer.map_or(0, |peer| peer.orders);
            let far = host.domain != self.settings.host.domain;
            let rank = (far, orders, self.random.next_u32(), host.address);
            if best.is_none_or(|least| rank < least) {
                best = Some(rank);
            }
        }
        let own = self.settings.host.address;
        best.map(|(.., address)| address)
            .filter(|host| *host != own)
    }

    fn taken(&mut self, order: OrderId, out: &mut Vec<Action>) {
        let Some((id, at)) = self.orders.get(&order) else {
            return;
        };
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        let branch = &mut flight.branches[*at];
        let confirmed = branch.confirm_by.take().is_some();
        if let Some(host) = branch.host.filter(|_| confirmed && !branch.doubtful) {
            out.push(Action::Keep(host, order));
        }
    }

    fn piece(&mut self, now: Time, piece: Piece, out: &mut Vec<Action>) {
        let Some((id, at)) = self.orders.get(&piece.order).copied() else {
            return;
        };
        if piece.last {
            self.forget(piece.order, id, at);
        }
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.branches[at].confirm_by = None;
            flight.branches[at].piece = Some(piece);
        }
        self.review(now, id, out);
    }

    /// Forgets an order that is answered or taken back.
    fn forget(&mut self, order: OrderId, id: RequestId, at: usize) {
        self.orders.remove(&order);
        let host = self
            .flights
            .get(&id)
            .and_then(|flight| flight.branches[at].host);
        if let Some(peer) = host.and_then(|host| self.peers.get_mut(&host)) {
            peer.orders = peer.orders.saturating_sub(1);
        }
    }

    /// Asks another host, since one did not confirm, unless the parts might then run
    /// on more replicas than allowed. `doubtful` tells whether it may have the order.
    fn unconfirmed(&mut self, now: Time, order: OrderId, doubtful: bool, out: &mut Vec<Action>) {
        let Some((id, at)) = self.orders.get(&order).copied() else {
            return;
        };
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let attempts_max = flight.route.attempts_max;
        let branch = &mut flight.branches[at];
        let Some(host) = branch.confirm_by.and(branch.host) else {
            return;
        };
        self.peers.entry(host).or_default().avoid_until = now.after(AVOID_FOR);
        if doubtful && attempts_max < 2 {
            branch.confirm_by = None;
            return;
        }
        branch.doubtful |= doubtful;
        self.forget(order, id, at);
        out.push(Action::Cancel(Some(host), order));
        out.push(Action::Moved(id, host));
        self.order(now, id, at, out);
    }

    /// Moves the orders that a lost host had not confirmed; what it had confirmed is
    /// missing, since it may have run.
    fn lost(&mut self, now: Time, host: SocketAddr, out: &mut Vec<Action>) {
        let mut affected = Vec::new();
        for (order, (id, at)) in &self.orders {
            let branch = self.flights.get(id).map(|flight| &flight.branches[*at]);
            if branch.is_some_and(|branch| branch.host == Some(host)) {
                affected.push((*order, *id, *at));
            }
        }
        affected.sort_unstable();
        for (order, id, at) in affected {
            self.unconfirmed(now, order, true, out);
            if !self.orders.contains_key(&order) {
                continue;
            }
            self.forget(order, id, at);
            if let Some(flight) = self.flights.get_mut(&id) {
                flight.branches[at].lost = true;
            }
            self.review(now, id, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut due = BTreeSet::new();
        while let Some(Reverse((at, id))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            due.insert(id);
        }
        for id in due {
            self.look(now, id, out);
        }
    }

    fn look(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id).filter(|f| f.look_at <= now) else {
            return;
        };
        let due = |branch: &&mut Branch| branch.confirm_by.is_some_and(|by| by <= now);
        let mut orders = Vec::new();
        for branch in flight.branches.iter_mut().filter(due) {
            let late = branch.confirm_by.is_some_and(|by| now.since(by) > LATE_MAX);
            match late {
                true => branch.confirm_by = Some(now.after(LATE_MAX)),
                false => orders.push(branch.order),
            }
        }
        for order in orders {
            self.unconfirmed(now, order, true, out);
        }
        self.review(now, id, out);
    }

    /// Answers a request if it can or must be answered now, else sets its timer.
    fn review(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let enough = flight.done() >= flight.needed();
        let settled = flight.branches.iter().all(Branch::is_final);
        if enough && (settled || now >= flight.settle_at) {
            let answer = flight.merged();
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
        let at = flight.next_look(now);
        if flight.look_at <= now || at < flight.look_at {
            flight.look_at = at;
            self.timers.push(Reverse((at, id)));
        }
    }

    /// The refusal of a request that can't succeed any more.
    fn refusal(&mut self, id: RequestId) -> Answer {
        let ran = |flight: &Flight| flight.branches.iter().any(Branch::may_have_run);
        if self.flights.get(&id).is_some_and(ran) {
            return Answer::Refused(Refusal::Failed, None);
        }
        let spread = RETRY_ABSENT.divided_by(2).as_us().max(1);
        let wait = RETRY_ABSENT.as_us() + self.random.next_u64() % spread;
        Answer::Refused(Refusal::NotRun, Some(Span::from_us(wait)))
    }

    fn finish(&mut self, now: Time, id: RequestId, answer: Answer, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let pieces = flight.branches.iter().filter_map(|b| b.piece.as_ref());
        let report = Report {
            route: Some(flight.route.name.clone()),
            version: self.catalog.version,
            fleet_age: now.since(self.fleet_read),
            took: now.since(flight.started),
            parts: flight.parts(),
            done: flight.done(),
            extra: pieces.map(|piece| piece.extra).sum(),
            cause: flight.cause(),
            missing: flight.first_missing(),
        };
        out.push(Action::Answer(id, answer, report));
        self.close(id, out);
    }

    /// Forgets a request and takes back the orders that are still out.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let orders = flight.branches.iter().enumerate();
        let orders = orders.map(|(at, branch)| (at, branch.order, branch.host));
        for (at, order, host) in orders.collect::<Vec<_>>() {
            if self.orders.contains_key(&order) {
                self.forget(order, id, at);
                out.push(Action::Cancel(host, order));
            }
        }
        self.flights.remove(&id);
    }
}

fn remaining(until: Time, now: Time) -> Span {
    Span::from_us(until.as_us().saturating_sub(now.as_us()))
}

/// The same target with some of its shards.
fn narrowed(target: &Target, shards: &[Name]) -> Target {
    match target {
        Target::Gather {
            top, coverage_min, ..
        } => Target::Gather {
            shards: shards.to_vec(),
            top: *top,
            coverage_min: *coverage_min,
        },
        Target::Split(parts) => Target::Split(parts.clone()),
    }
}
