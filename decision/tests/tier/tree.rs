//! Entry hosts that gather branches for each other, in virtual time: slow hosts,
//! frozen hosts and killed hosts.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailbeam_decision::branch::OrderId;
use wagtailbeam_decision::branch::Piece;
use wagtailbeam_decision::catalog::Catalog;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::fanout::Fanout;
use wagtailbeam_decision::fleet::Fleet;
use wagtailbeam_decision::gateway;
use wagtailbeam_decision::gateway::Answer;
use wagtailbeam_decision::gateway::Branch;
use wagtailbeam_decision::gateway::Call;
use wagtailbeam_decision::gateway::Exchange;
use wagtailbeam_decision::gateway::Gateway;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::plan;
use wagtailbeam_decision::plan::Plan;

use crate::model;

/// Time that a host of usual speed needs for one event.
const EVENT_COST: Span = Span::from_us(100);

/// Shards of the route.
pub const SHARDS: usize = 60;

/// One way between two processes.
const TRANSIT_US: u64 = 1_000;

enum Message {
    Order(Box<fanout::Order>, u64),
    Taken(OrderId),
    Kept(OrderId),
    Piece(Piece),
    Cancel(OrderId),
    Lost,
}

enum Step {
    Request(u64),
    Message(usize, Message),
    Arrive(Call, u64),
    Done(u64, Ending),
}

struct Host {
    gateway: Gateway,
    fanout: Fanout,
    branches: BTreeMap<(Option<usize>, OrderId), u64>,
    origins: HashMap<u64, (Option<usize>, OrderId, u64)>,
    cost: Span,
    busy: Time,
    dead: bool,
    last: u64,
}

/// Entry hosts and replicas.
pub struct Tree {
    pub now: Time,
    /// Answers and how long they took.
    pub answers: BTreeMap<u64, (Answer, Span)>,
    /// Replicas on which a request's part ran.
    pub runs: BTreeMap<(u64, SocketAddr), BTreeSet<SocketAddr>>,
    hosts: Vec<Host>,
    started: HashMap<u64, Time>,
    withdrawn: HashSet<(usize, u64)>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    due: HashMap<u64, (usize, Step)>,
    links: HashMap<(usize, usize), Time>,
    last: u64,
    random: ChaCha8Rng,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, host as u8], 70))
}

/// The host at a place, in one of two failure domains.
pub fn host(at: usize) -> plan::Host {
    plan::Host {
        address: address(at),
        domain: Name::from(["east", "west"][at % 2]),
    }
}

/// A catalog with the route `all` over this many shards, and its replicas, three a
/// shard.
pub fn deployment(shards: usize) -> (Catalog, Fleet) {
    let names = (0..shards).map(|at| Name::from(format!("shard-{at}")));
    let names = names.collect::<Vec<_>>();
    let domains = ["east", "west", "south"];
    let replicas = names.iter().enumerate().flat_map(|(shard, name)| {
        (0..3).map(move |index| {
            let mut replica = model::replica(name, index, domains[usize::from(index)]);
            replica.address = SocketAddr::from(([10, index, 1, shard as u8], 80));
            replica
        })
    });
    (model::catalog(&names), Fleet::new(replicas))
}

impl Tree {
    /// Hosts that know the configuration, the replicas and each other.
    pub fn new(hosts: usize, seed: u64) -> Tree {
        let (catalog, fleet) = deployment(SHARDS);
        let (catalog, fleet) = (Arc::new(catalog), Arc::new(fleet));
        let known = (0..hosts).map(host).collect::<Vec<_>>();
        let plan = Arc::new(Plan::new(&catalog, &known));
        let now = Time::from_us(1);
        let open = |at: usize| {
            let mut gateway = Gateway::new(gateway::Settings {
                address: address(at),
                domain: known[at].domain.clone(),
                seed: seed + at as u64,
                ..model::settings()
            });
            gateway.step(now, gateway::Event::Catalog(catalog.clone()));
            gateway.step(now, gateway::Event::Plan(plan.clone()));
            gateway.step(now, gateway::Event::Fleet(fleet.clone(), now));
            let mut fanout = Fanout::new(fanout::Settings {
                host: known[at].clone(),
                seed: seed + at as u64,
            });
            fanout.replan(catalog.clone(), plan.clone());
            Host {
                gateway,
                fanout,
                branches: BTreeMap::new(),
                origins: HashMap::new(),
                cost: EVENT_COST,
                busy: now,
                dead: false,
                last: 1 << 32,
            }
        };
        Tree {
            now,
            answers: BTreeMap::new(),
            runs: BTreeMap::new(),
            hosts: (0..hosts).map(open).collect(),
            started: HashMap::new(),
            withdrawn: HashSet::new(),
            queue: BinaryHeap::new(),
            due: HashMap::new(),
            links: HashMap::new(),
            last: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Makes a host need this many times as long for each event.
    pub fn slow(&mut self, at: usize, times: u64) {
        self.hosts[at].cost = EVENT_COST.saturating_mul(times);
    }

    /// Stops a host for a while.
    pub fn freeze(&mut self, at: usize, span: Span) {
        self.hosts[at].busy = self.now.after(span);
    }

    /// Ends a host; the others see their connections to it break.
    pub fn kill(&mut self, at: usize) {
        self.hosts[at].dead = true;
        for other in (0..self.hosts.len()).filter(|other| *other != at) {
            self.message(at, other, Message::Lost);
        }
    }

    /// Has a request come to a host after `wait`.
    pub fn request(&mut self, at: usize, id: u64, wait: Span) {
        self.plan(self.now.after(wait), at, Step::Request(id));
    }

    /// Whether a host serves nothing any more.
    pub fn is_idle(&self, at: usize) -> bool {
        let host = &self.hosts[at];
        host.dead || host.gateway.load() + host.fanout.load() == 0
    }

    /// Most replicas on which one part of a request ran.
    pub fn replicas_max(&self) -> usize {
        let counts = self.runs.values().map(BTreeSet::len);
        counts.max().unwrap_or_default()
    }

    fn plan(&mut self, at: Time, host: usize, step: Step) {
        self.last += 1;
        self.due.insert(self.last, (host, step));
        self.queue.push(Reverse((at, self.last)));
    }

    /// Messages between two hosts arrive in order.
    fn message(&mut self, from: usize, to: usize, message: Message) {
        let wait = TRANSIT_US + u64::from(self.random.next_u32() % 1_000);
        let last = self.links.entry((from, to)).or_default();
        *last = (*last).max(self.now.after(Span::from_us(wait)));
        let at = *last;
        self.plan(at, to, Step::Message(from, message));
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Span) {
        let end = self.now.after(span);
        loop {
            let step = self.queue.peek().map(|Reverse((at, _))| *at);
            let timer = self.next_timer();
            let next = step.into_iter().chain(timer.map(|(at, _)| at)).min();
            let Some(next) = next.filter(|next| *next <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(next);
            match (step, timer) {
                (Some(step), _) if step == next => self.pop(),
                (_, Some((_, host))) => self.tick(host),
                (..) => return,
            }
        }
    }

    fn next_timer(&self) -> Option<(Time, usize)> {
        let live = self.hosts.iter().enumerate().filter(|(_, host)| !host.dead);
        let timers = live.filter_map(|(at, host)| {
            let timers = [host.gateway.next_timer(), host.fanout.next_timer()];
            let first = timers.into_iter().flatten().min()?;
            Some((first.max(host.busy), at))
        });
        timers.min()
    }

    fn pop(&mut self) {
        let Some(Reverse((_, number))) = self.queue.pop() else {
            return;
        };
        let Some((host, step)) = self.due.remove(&number) else {
            return;
        };
        let is_replica = matches!(step, Step::Arrive(..));
        let busy = self.hosts[host].busy;
        if !is_replica && self.hosts[host].dead {
            return;
        }
        if !is_replica && busy > self.now {
            self.due.insert(number, (host, step));
            return self.queue.push(Reverse((busy, number)));
        }
        if !is_replica {
            self.spend(host);
        }
        self.take(host, step);
    }

    fn spend(&mut self, host: usize) {
        let cost = self.hosts[host].cost;
        self.hosts[host].busy = self.now.after(cost);
    }

    fn tick(&mut self, host: usize) {
        self.spend(host);
        self.step(host, gateway::Event::Tick);
        self.fan(host, fanout::Event::Tick);
    }

    fn take(&mut self, host: usize, step: Step) {
        match step {
            Step::Request(id) => {
                self.started.insert(id, self.now);
                let route = self.hosts[host].fanout.takes("desk.example", "/all/x");
                let request = fanout::Request {
                    route: route.expect("a route with branches"),
                    left: None,
                    margin: Span::from_ms(11),
                };
                self.fan(host, fanout::Event::Request(id, request));
            }
            Step::Message(from, message) => self.hear(host, from, message),
            Step::Arrive(call, id) => self.arrive(host, &call, id),
            Step::Done(ticket, ending) => {
                let exchange = Exchange {
                    ending,
                    stamp: (ending == Ending::Answered).then(|| ticket.to_string().into()),
                    body: Bytes::from(vec![1; 16]),
                };
                self.step(host, gateway::Event::Done(ticket, exchange));
            }
        }
    }

    fn hear(&mut self, host: usize, from: usize, message: Message) {
        match message {
            Message::Order(order, id) => {
                self.message(host, from, Message::Taken(order.id));
                self.gather(host, Some(from), *order, id, false);
            }
            Message::Taken(order) => self.fan(host, fanout::Event::Taken(order)),
            Message::Kept(order) => {
                let id = self.hosts[host].branches.get(&(Some(from), order)).copied();
                if let Some(id) = id {
                    self.step(host, gateway::Event::Kept(id));
                }
            }
            Message::Piece(piece) => self.fan(host, fanout::Event::Piece(piece)),
            Message::Cancel(order) => self.cancel(host, Some(from), order),
            Message::Lost => {
                let branches = self.hosts[host].branches.keys().copied();
                let lost = branches.filter(|(of, _)| *of == Some(from));
                for (from, order) in lost.collect::<Vec<_>>() {
                    self.cancel(host, from, order);
                }
                self.fan(host, fanout::Event::Lost(address(from)));
            }
        }
    }

    fn gather(
        &mut self,
        host: usize,
        from: Option<usize>,
        order: fanout::Order,
        id: u64,
        kept: bool,
    ) {
        let state = &mut self.hosts[host];
        state.last += 1;
        let local = state.last;
        state.branches.insert((from, order.id), local);
        state.origins.insert(local, (from, order.id, id));
        let branch = Branch {
            order: order.id,
            route: order.route,
            key: id,
            moved: order.moved,
            kept,
            settle: order.settle,
            left: order.left,
        };
        self.step(host, gateway::Event::Branch(local, branch));
    }

    fn cancel(&mut self, host: usize, from: Option<usize>, order: OrderId) {
        if let Some(id) = self.hosts[host].branches.remove(&(from, order)) {
            self.step(host, gateway::Event::Abandoned(id));
        }
    }

    fn arrive(&mut self, host: usize, call: &Call, id: u64) {
        if self.withdrawn.contains(&(host, call.ticket)) {
            return;
        }
        let [_, index, _, shard] = match call.address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets(),
            std::net::IpAddr::V6(_) => return,
        };
        let service = SocketAddr::from(([0, 0, 0, shard], 80));
        let ran = self.runs.entry((id, service)).or_default();
        ran.insert(call.address);
        let slow = self.random.next_u32().is_multiple_of(10) || index == 2;
        let work = 3_000 + u64::from(self.random.next_u32() % 20_000) * (1 + 4 * u64::from(slow));
        let done = Step::Done(call.ticket, Ending::Answered);
        self.plan(self.now.after(Span::from_us(work)), host, done);
    }

    fn step(&mut self, host: usize, event: gateway::Event) {
        for action in self.hosts[host].gateway.step(self.now, event) {
            match action {
                gateway::Action::Send(call) => {
                    let (.., id) = self.hosts[host].origins[&call.request];
                    let sent = self.hosts[host].busy.max(self.now);
                    let at = sent.after(Span::from_us(TRANSIT_US));
                    self.plan(at, host, Step::Arrive(call, id));
                }
                gateway::Action::Withdraw(ticket) => {
                    self.withdrawn.insert((host, ticket));
                }
                gateway::Action::Piece(id, piece) => {
                    let (from, order, _) = self.hosts[host].origins[&id];
                    if piece.last {
                        self.hosts[host].branches.remove(&(from, order));
                    }
                    match from {
                        Some(from) => self.message(host, from, Message::Piece(piece)),
                        None => self.fan(host, fanout::Event::Piece(piece)),
                    }
                }
                gateway::Action::Answer(..) => panic!("a branch was answered as a request"),
                gateway::Action::Release(_) | gateway::Action::Extra(..) => {}
            }
        }
    }

    fn fan(&mut self, host: usize, event: fanout::Event) {
        let at = |address: SocketAddr| match address.ip() {
            std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]),
            std::net::IpAddr::V6(_) => 0,
        };
        for action in self.hosts[host].fanout.step(self.now, event) {
            match action {
                fanout::Action::Order(order) => match order.host.map(at) {
                    Some(to) => {
                        let id = order.request;
                        self.message(host, to, Message::Order(Box::new(order), id));
                    }
                    None => {
                        let id = order.request;
                        self.gather(host, None, order, id, true);
                    }
                },
                fanout::Action::Cancel(Some(to), order) => {
                    self.message(host, at(to), Message::Cancel(order));
                }
                fanout::Action::Cancel(None, order) => self.cancel(host, None, order),
                fanout::Action::Keep(to, order) => {
                    self.message(host, at(to), Message::Kept(order));
                }
                fanout::Action::Answer(id, answer, _) => {
                    let took = self.now.since(self.started[&id]);
                    let earlier = self.answers.insert(id, (answer, took));
                    assert!(earlier.is_none(), "request {id} was answered twice");
                }
                fanout::Action::Moved(..) => {}
            }
        }
    }
}
