//! Requests whose shards are gathered by several entry hosts.
//!
//! A split route is a gather whose shards the plan splits into branches. The adapter
//! passes requests on split routes to [`Fanout::step`]. The fanout gives an order for each
//! branch to another entry host or to this one, moves orders that are not confirmed, and
//! merges the replies into the caller's answer. `branch` describes the messages, and
//! `gathering` is the receiving side of an order.
//!
//! Load pattern: entry hosts are killed, freeze or are cut off while other hosts wait for
//! them. A host confirms an order before it sends any part. An order that isn't confirmed
//! in time is moved to another host. A confirmed order never moves, and a commit states
//! this to the host, unless another host may have received an earlier order for the
//! branch. A host that did not confirm may still have received its order, so two hosts may
//! gather the same branch. Rendezvous hashing then limits the replicas of a part, so that
//! it runs on no more replicas than allowed (see `gathering`).

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::answer::Answer;
use crate::answer::Refusal;
use crate::answer::Report;
use crate::branch;
use crate::branch::OrderId;
use crate::branch::Reply;
use crate::catalog::Catalog;
use crate::catalog::Route;
use crate::catalog::Target;
use crate::clock::Span;
use crate::clock::Time;
use crate::flight::Cause;
use crate::gateway::RequestId;
use crate::name::Name;
use crate::plan;
use crate::plan::Plan;
use crate::scatter::Branch;
use crate::scatter::Flight;

/// Time within which a host must confirm an order.
const CONFIRM_TIMEOUT: Span = Span::from_ms(25);

/// Delay of this host's own timers beyond which a missing confirmation may still be
/// waiting unread here, so the check is postponed.
const LATE_MAX: Span = Span::from_ms(5);

/// Time for which a host that did not confirm an order receives no more orders.
const AVOID_AFTER_UNCONFIRMED: Span = Span::from_ms(1_000);

/// Time reserved for a host's reply to get back; subtracted from its time to settle.
const REPLY_MAX: Span = Span::from_ms(5);

/// Most hosts that are asked in turn to gather one branch; then this host gathers it
/// itself.
const HOSTS_PER_BRANCH_MAX: usize = 2;

/// Shortest `Retry-After` for a request that did not run anywhere; up to half as much is
/// added at random.
const RETRY_AFTER_NOT_RUN: Span = Span::from_ms(300);

/// Settings of the fanout.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This host.
    pub host: plan::Host,
    /// Seed of the random generator.
    pub seed: u64,
}

/// A caller's request on a split route.
#[derive(Clone, Debug)]
pub struct Request {
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// Time for which the caller still waits; absent if the caller sent no deadline.
    pub left: Option<Span>,
    /// Time for the request to arrive from the caller, for merging the replies and for the
    /// answer to get back; subtracted from the latency objective.
    pub margin: Span,
    /// Whether this host must not gather a branch itself, because its links to the servers are
    /// lost.
    pub others_only: bool,
    /// Time for which the request has waited at this host.
    pub waited: Span,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request on a route that [`Fanout::split_route`] splits, or that
    /// [`Fanout::detour_route`] names.
    Request(RequestId, Request),
    /// The caller disconnected.
    Abandoned(RequestId),
    /// A host confirmed an order.
    Confirmed(OrderId),
    /// A host reported what it has gathered.
    Reply(Reply),
    /// An order could not be sent to its host.
    Undelivered(OrderId),
    /// The connection to a host broke.
    HostLost(SocketAddr),
    /// The host stops: its requests are answered by this time.
    EndBy(Time),
    /// A timer is due.
    Tick,
}

/// Asks a host to gather a branch.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Identifies the order.
    pub id: OrderId,
    /// The request that the branch belongs to.
    pub request: RequestId,
    /// Host that receives the order; absent if this host gathers the branch itself.
    pub host: Option<SocketAddr>,
    /// Route narrowed to the shards of the branch.
    pub route: Arc<Route>,
    /// Whether another host may have received an earlier order for the branch, and so may
    /// send the same parts.
    pub moved: bool,
    /// Time until partial results should be reported.
    pub settle: Span,
    /// Time until the request's deadline.
    pub left: Span,
}

/// Output of the state machine, to be carried out by the adapter.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an order.
    Order(Order),
    /// Cancel an order; without a host, the order is one that this host gave itself.
    Cancel(Option<SocketAddr>, OrderId),
    /// Tell a host that its order goes to no other host.
    Commit(SocketAddr, OrderId),
    /// Answer a caller.
    Answer(RequestId, Answer, Report),
    /// An order of this request moved away from the host with this address.
    Moved(RequestId, SocketAddr),
}

/// State of another entry host as seen by this host.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// Orders given to the host that have no final reply.
    orders: usize,
    /// Until then the host receives no orders.
    avoid_until: Time,
}

/// Requests of this host that several entry hosts gather for.
pub struct Fanout {
    settings: Settings,
    catalog: Arc<Catalog>,
    plan: Arc<Plan>,
    fleet_read: Time,
    flights: HashMap<RequestId, Flight>,
    /// Request and branch index of each order without a final reply.
    orders: HashMap<OrderId, (RequestId, usize)>,
    peers: HashMap<SocketAddr, Peer>,
    /// Hosts whose links to the servers are lost.
    lost: BTreeSet<SocketAddr>,
    /// When to recheck each request; entries that no longer apply are skipped.
    timers: BinaryHeap<Reverse<(Time, RequestId)>>,
    last_order: OrderId,
    random: ChaCha8Rng,
}

impl Fanout {
    /// A fanout without catalog, plan or requests.
    pub fn new(settings: Settings) -> Fanout {
        Fanout {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            catalog: Arc::default(),
            plan: Arc::default(),
            fleet_read: Time::default(),
            flights: HashMap::new(),
            orders: HashMap::new(),
            peers: HashMap::new(),
            lost: BTreeSet::new(),
            timers: BinaryHeap::new(),
            last_order: OrderId(branch::first_number(settings.seed)),
            settings,
        }
    }

    /// Applies the configuration in force and the plan derived from it.
    pub fn configure(&mut self, catalog: Arc<Catalog>, plan: Arc<Plan>) {
        let known = |address: &SocketAddr| plan.hosts().iter().any(|h| h.address == *address);
        self.peers.retain(|address, _| known(address));
        self.catalog = catalog;
        self.plan = plan;
    }

    /// Sets the hosts whose links to the servers are lost; they get no orders.
    pub fn set_lost(&mut self, lost: BTreeSet<SocketAddr>) {
        self.lost = lost;
    }

    /// The other hosts whose links to the servers work.
    pub fn sound_hosts(&self) -> Vec<SocketAddr> {
        let own = self.settings.host.address;
        let hosts = self.plan.hosts().iter().map(|host| host.address);
        let sound = hosts.filter(|host| *host != own && !self.lost.contains(host));
        sound.collect()
    }

    /// Route of a gather that other hosts can serve while this host's links are lost.
    pub fn detour_route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let route = self.catalog.route(host, path)?;
        let gathers = matches!(route.target, Target::Gather { .. });
        (gathers && !self.sound_hosts().is_empty()).then(|| route.clone())
    }

    /// Stores when the replica list was last read, for reports.
    pub fn set_fleet_read(&mut self, read: Time) {
        self.fleet_read = read;
    }

    /// Other hosts of the same failure domain that gather branches; this host prefers them
    /// for its orders.
    pub fn order_targets(&self) -> BTreeSet<SocketAddr> {
        let own = &self.settings.host;
        let members = self.plan.members();
        let near = members.filter(|host| host.domain == own.domain && host.address != own.address);
        near.map(|host| host.address).collect()
    }

    /// Route of this request if it is split into branches, else `None`.
    pub fn split_route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let route = self.catalog.route(host, path)?;
        self.plan.branches(route)?;
        Some(route.clone())
    }

    /// Number of requests in progress.
    pub fn active_requests(&self) -> usize {
        self.flights.len()
    }

    /// When the next tick is due; absent without timers.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Handles an event and returns the resulting actions in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Request(id, request) => self.start_request(now, id, request, &mut actions),
            Event::Abandoned(id) => self.close(id, &mut actions),
            Event::Confirmed(order) => self.confirm(order, &mut actions),
            Event::Reply(reply) => self.store_reply(now, reply, &mut actions),
            Event::Undelivered(order) => self.move_order(now, order, false, &mut actions),
            Event::HostLost(host) => self.lose_host(now, host, &mut actions),
            Event::EndBy(end) => self.end_by(end),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    fn start_request(
        &mut self,
        now: Time,
        id: RequestId,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        let route = request.route;
        let Target::Gather { shards, .. } = &route.target else {
            return;
        };
        let whole = [plan::Branch {
            shards: 0..shards.len(),
            members: self.plan.hosts().to_vec(),
        }];
        let planned = self.plan.branches(&route).unwrap_or(&whole);
        let branches = planned.iter().map(|branch| Branch {
            shards: shards[branch.shards.clone()].to_vec(),
            members: branch.members.clone(),
            order: OrderId::default(),
            host: None,
            asked: BTreeSet::new(),
            maybe_duplicated: false,
            confirm_by: None,
            reply: None,
            host_lost: false,
        });
        let branches = branches.collect::<Vec<_>>();
        let left = request.left.unwrap_or(route.timeout).min(route.timeout);
        let objective = route.objective.saturating_sub(request.margin);
        let count = branches.len();
        let arrived = now.before(request.waited);
        let flight = Flight {
            started: arrived,
            settle_at: arrived.after(objective.min(left)),
            deadline: arrived.after(left),
            branches,
            others_only: request.others_only,
            recheck_at: Time::default(),
            route,
        };
        self.flights.insert(id, flight);
        for index in 0..count {
            self.send_order(now, id, index, actions);
        }
        self.try_answer(now, id, actions);
    }

    /// Sends an order for a branch to a host, or to this host itself.
    fn send_order(&mut self, now: Time, id: RequestId, index: usize, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let branch = &flight.branches[index];
        let (members, asked) = (branch.members.clone(), branch.asked.clone());
        let host = match flight.others_only {
            true => self.choose_other(now, &members, &asked),
            false => self.choose_host(now, &members, &asked),
        };
        self.last_order.0 += 1;
        let order = self.last_order;
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let branch = &mut flight.branches[index];
        let (settle, left) = (
            remaining(flight.settle_at, now),
            remaining(flight.deadline, now),
        );
        branch.order = order;
        branch.host = host;
        branch.asked.extend(host);
        branch.confirm_by = host.map(|_| now.after(CONFIRM_TIMEOUT));
        let moved = branch.maybe_duplicated;
        let route = Route {
            target: with_shards(&flight.route.target, &branch.shards),
            ..Route::clone(&flight.route)
        };
        self.orders.insert(order, (id, index));
        if let Some(host) = host {
            self.peers.entry(host).or_default().orders += 1;
        }
        actions.push(Action::Order(Order {
            id: order,
            request: id,
            host,
            route: Arc::new(route),
            moved,
            settle: host.map_or(settle, |_| settle.saturating_sub(REPLY_MAX)),
            left,
        }));
    }

    /// Picks the host for a branch: preferably of the same failure domain, then with the
    /// fewest open orders. Returns `None` if this host gathers the branch itself.
    fn choose_host(
        &mut self,
        now: Time,
        members: &[plan::Host],
        asked: &BTreeSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        if asked.len() >= HOSTS_PER_BRANCH_MAX {
            return None;
        }
        let mut best = None;
        for host in members {
            let peer = self.peers.get(&host.address);
            let avoided = peer.is_some_and(|peer| now < peer.avoid_until);
            let own = host.address == self.settings.host.address;
            let lost = self.lost.contains(&host.address) && !own;
            if asked.contains(&host.address) || avoided || lost {
                continue;
            }
            let orders = peer.map_or(0, |peer| peer.orders);
            let remote = host.domain != self.settings.host.domain;
            let rank = (remote, orders, self.random.next_u32(), host.address);
            if best.is_none_or(|least| rank < least) {
                best = Some(rank);
            }
        }
        let own = self.settings.host.address;
        best.map(|(.., address)| address)
            .filter(|host| *host != own)
    }

    /// Picks another host for a branch: one of its members, else any one whose links work.
    fn choose_other(
        &mut self,
        now: Time,
        members: &[plan::Host],
        asked: &BTreeSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        let own = self.settings.host.address;
        let others = |hosts: &[plan::Host]| {
            let others = hosts.iter().filter(|host| host.address != own);
            others.cloned().collect::<Vec<_>>()
        };
        let (members, all) = (others(members), others(self.plan.hosts()));
        let member = self.choose_host(now, &members, asked);
        member.or_else(|| self.choose_host(now, &all, asked))
    }

    /// Marks an order as confirmed, and commits it unless another host may have received
    /// an order for the same branch.
    fn confirm(&mut self, order: OrderId, actions: &mut Vec<Action>) {
        let Some((id, index)) = self.orders.get(&order) else {
            return;
        };
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        let branch = &mut flight.branches[*index];
        let confirmed = branch.confirm_by.take().is_some();
        if let Some(host) = branch
            .host
            .filter(|_| confirmed && !branch.maybe_duplicated)
        {
            actions.push(Action::Commit(host, order));
        }
    }

    /// Stores a reply and answers the request if it is complete.
    fn store_reply(&mut self, now: Time, reply: Reply, actions: &mut Vec<Action>) {
        let Some((id, index)) = self.orders.get(&reply.order).copied() else {
            return;
        };
        if self.may_move(&reply, id, index) {
            return self.move_declined(now, reply.order, id, index, actions);
        }
        if reply.last {
            self.remove_order(reply.order, id, index);
        }
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.branches[index].confirm_by = None;
            flight.branches[index].reply = Some(reply);
        }
        self.try_answer(now, id, actions);
    }

    /// Whether a host reports that it reached no replica of a branch and that nothing ran, so that
    /// another host may gather it.
    fn may_move(&self, reply: &Reply, id: RequestId, index: usize) -> bool {
        let reached_none = reply.last && reply.stamps.is_empty() && !reply.ran;
        let Some(flight) = self.flights.get(&id) else {
            return false;
        };
        let branch = &flight.branches[index];
        let declined = reached_none && reply.cause == Some(Cause::HeldBack);
        declined && branch.host.is_some() && branch.asked.len() < HOSTS_PER_BRANCH_MAX
    }

    /// Gives a branch to another host after one declined it.
    fn move_declined(
        &mut self,
        now: Time,
        order: OrderId,
        id: RequestId,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        self.remove_order(order, id, index);
        let flight = self.flights.get(&id);
        if let Some(host) = flight.and_then(|flight| flight.branches[index].host) {
            self.peers.entry(host).or_default().avoid_until = now.after(AVOID_AFTER_UNCONFIRMED);
            actions.push(Action::Moved(id, host));
        }
        self.send_order(now, id, index, actions);
    }

    /// Removes an order that has its final reply or is cancelled.
    fn remove_order(&mut self, order: OrderId, id: RequestId, index: usize) {
        self.orders.remove(&order);
        let host = self
            .flights
            .get(&id)
            .and_then(|flight| flight.branches[index].host);
        if let Some(peer) = host.and_then(|host| self.peers.get_mut(&host)) {
            peer.orders = peer.orders.saturating_sub(1);
        }
    }

    /// Moves an unconfirmed order to another host, or to this one. The order stays if it may
    /// have reached its host and a request of this route may run on one replica only.
    /// `maybe_delivered` tells whether it may have reached its host.
    fn move_order(
        &mut self,
        now: Time,
        order: OrderId,
        maybe_delivered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some((id, index)) = self.orders.get(&order).copied() else {
            return;
        };
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let attempts_max = flight.route.attempts_max;
        let branch = &mut flight.branches[index];
        let Some(host) = branch.confirm_by.and(branch.host) else {
            return;
        };
        self.peers.entry(host).or_default().avoid_until = now.after(AVOID_AFTER_UNCONFIRMED);
        if maybe_delivered && attempts_max < 2 {
            branch.confirm_by = None;
            return;
        }
        branch.maybe_duplicated |= maybe_delivered;
        self.remove_order(order, id, index);
        actions.push(Action::Cancel(Some(host), order));
        actions.push(Action::Moved(id, host));
        self.send_order(now, id, index, actions);
    }

    /// Moves the unconfirmed orders of a lost host. Parts of orders that don't move count
    /// as missing, since they may have run.
    fn lose_host(&mut self, now: Time, host: SocketAddr, actions: &mut Vec<Action>) {
        let mut affected = Vec::new();
        for (order, (id, index)) in &self.orders {
            let branch = self.flights.get(id).map(|flight| &flight.branches[*index]);
            if branch.is_some_and(|branch| branch.host == Some(host)) {
                affected.push((*order, *id, *index));
            }
        }
        affected.sort_unstable();
        for (order, id, index) in affected {
            self.move_order(now, order, true, actions);
            if !self.orders.contains_key(&order) {
                continue;
            }
            self.remove_order(order, id, index);
            if let Some(flight) = self.flights.get_mut(&id) {
                flight.branches[index].host_lost = true;
            }
            self.try_answer(now, id, actions);
        }
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut due = BTreeSet::new();
        while let Some(Reverse((at, id))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            due.insert(id);
        }
        for id in due {
            self.recheck(now, id, actions);
        }
    }

    /// Moves the deadlines of all requests to `end` at the latest.
    fn end_by(&mut self, end: Time) {
        for (id, flight) in &mut self.flights {
            flight.deadline = flight.deadline.min(end);
            flight.recheck_at = flight.recheck_at.min(end);
            self.timers.push(Reverse((end, *id)));
        }
    }

    /// Moves orders whose confirmation is overdue and answers the request if it is due.
    fn recheck(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id).filter(|f| f.recheck_at <= now) else {
            return;
        };
        let due = |branch: &&mut Branch| branch.confirm_by.is_some_and(|by| by <= now);
        let mut orders = Vec::new();
        for branch in flight.branches.iter_mut().filter(due) {
            let timer_late = branch.confirm_by.is_some_and(|by| now.since(by) > LATE_MAX);
            match timer_late {
                true => branch.confirm_by = Some(now.after(LATE_MAX)),
                false => orders.push(branch.order),
            }
        }
        for order in orders {
            self.move_order(now, order, true, actions);
        }
        self.try_answer(now, id, actions);
    }

    /// Answers a request if it is complete, can no longer succeed or is due; otherwise
    /// sets its timer.
    fn try_answer(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let enough = flight.done() >= flight.needed();
        let all_final = flight.branches.iter().all(Branch::is_final);
        if enough && (all_final || now >= flight.settle_at) {
            let answer = flight.merged();
            return self.finish(now, id, answer, actions);
        }
        if flight.cannot_succeed() {
            let answer = self.refusal(id);
            return self.finish(now, id, answer, actions);
        }
        if now >= flight.deadline {
            let refusal = Answer::Refused(Refusal::Timeout, None);
            return self.finish(now, id, refusal, actions);
        }
        let at = flight.next_recheck(now);
        if flight.recheck_at <= now || at < flight.recheck_at {
            flight.recheck_at = at;
            self.timers.push(Reverse((at, id)));
        }
    }

    /// Refusal of a request that can no longer succeed.
    fn refusal(&mut self, id: RequestId) -> Answer {
        let may_have_run = |flight: &Flight| flight.branches.iter().any(Branch::may_have_run);
        if self.flights.get(&id).is_some_and(may_have_run) {
            return Answer::Refused(Refusal::Failed, None);
        }
        let jitter_max = RETRY_AFTER_NOT_RUN.divided_by(2).as_us().max(1);
        let wait = RETRY_AFTER_NOT_RUN.as_us() + self.random.next_u64() % jitter_max;
        Answer::Refused(Refusal::NotRun, Some(Span::from_us(wait)))
    }

    /// Answers the caller and closes the request.
    fn finish(&mut self, now: Time, id: RequestId, answer: Answer, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let replies = flight.branches.iter().filter_map(|b| b.reply.as_ref());
        let report = Report {
            route: Some(flight.route.name.clone()),
            version: self.catalog.version,
            fleet_age: now.since(self.fleet_read),
            took: now.since(flight.started),
            parts: flight.parts(),
            done: flight.done(),
            extra: replies.map(|reply| reply.extra).sum(),
            cause: flight.cause(),
            missing: flight.first_missing(),
        };
        actions.push(Action::Answer(id, answer, report));
        self.close(id, actions);
    }

    /// Removes a request and cancels its open orders.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let orders = flight.branches.iter().enumerate();
        let orders = orders.map(|(index, branch)| (index, branch.order, branch.host));
        for (index, order, host) in orders.collect::<Vec<_>>() {
            if self.orders.contains_key(&order) {
                self.remove_order(order, id, index);
                actions.push(Action::Cancel(host, order));
            }
        }
        self.flights.remove(&id);
    }
}

/// Time from `now` to `until`; zero if `until` has passed.
fn remaining(until: Time, now: Time) -> Span {
    Span::from_us(until.as_us().saturating_sub(now.as_us()))
}

/// Copy of a target narrowed to `shards`.
fn with_shards(target: &Target, shards: &[Name]) -> Target {
    match target {
        Target::Gather {
            top, coverage_min, ..
        } => Target::Gather {
            shards: shards.to_vec(),
            top: *top,
            coverage_min: *coverage_min,
        },
        Target::Weighted(services) => Target::Weighted(services.clone()),
    }
}
