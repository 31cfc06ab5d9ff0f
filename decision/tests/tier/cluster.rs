//! A simulation of entry hosts that gather branches for each other, in virtual time.
//! Hosts can be slow, frozen or killed, and requests can end the servers that run them.

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
use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::branch::OrderId;
use wagtailbeam_decision::branch::Reply;
use wagtailbeam_decision::catalog::Catalog;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::fanout::Fanout;
use wagtailbeam_decision::fleet::Fleet;
use wagtailbeam_decision::gateway;
use wagtailbeam_decision::gateway::Branch;
use wagtailbeam_decision::gateway::Call;
use wagtailbeam_decision::gateway::Completion;
use wagtailbeam_decision::gateway::Gateway;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::notice::Notice;
use wagtailbeam_decision::plan;
use wagtailbeam_decision::plan::Plan;
use wagtailbeam_decision::quarantine::Record;

use crate::model;

/// Time that a host of normal speed needs for one event.
const EVENT_TIME: Span = Span::from_us(100);

/// Number of shards of the route `all`.
pub const SHARDS: usize = 60;

/// Shortest time for a message between two processes, one way, in microseconds.
const TRANSIT_US: u64 = 1_000;

/// Time until all hosts have another host's records of servers that ended.
const SPREAD_TIME: Span = Span::from_ms(50);

enum Message {
    /// An order for a branch of this request of a caller.
    Order(Box<fanout::Order>, u64),
    Confirmed(OrderId),
    Committed(OrderId),
    Reply(Reply),
    Cancel(OrderId),
    /// The connection to the sender broke.
    Lost,
}

enum Step {
    /// A caller's request arrives at the host.
    Request(u64),
    /// A message from the host with this index arrives.
    Message(usize, Message),
    /// A call of the host arrives at its replica, for this request of a caller.
    Arrive(Call, u64),
    /// The host learns how a call ended.
    Done(u64, Ending),
    /// Records of another host arrive.
    Records(Vec<Record>),
}

struct Host {
    gateway: Gateway,
    fanout: Fanout,
    /// Local identifier of each branch, by the ordering host and the order; `None` is
    /// this host.
    branches: BTreeMap<(Option<usize>, OrderId), u64>,
    /// For each local identifier: the ordering host, the order and the caller's request.
    origins: HashMap<u64, (Option<usize>, OrderId, u64)>,
    /// Time that the host needs for one event.
    event_time: Span,
    busy_until: Time,
    killed: bool,
    last_id: u64,
}

/// Entry hosts and replicas.
pub struct Cluster {
    pub now: Time,
    /// Answers by request, with the time they took.
    pub answers: BTreeMap<u64, (Answer, Span)>,
    /// Replicas on which each part ran, by request and shard.
    pub runs: BTreeMap<(u64, SocketAddr), BTreeSet<SocketAddr>>,
    /// Requests that end each server that begins to run them.
    pub fatal: HashSet<u64>,
    /// Servers that ended under a request: when, and under which one.
    pub ended: Vec<(Time, u64)>,
    /// Servers that are down, with the time at which they are back.
    down: HashMap<SocketAddr, Time>,
    hosts: Vec<Host>,
    started: HashMap<u64, Time>,
    withdrawn: HashSet<(usize, u64)>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    due: HashMap<u64, (usize, Step)>,
    /// Arrival time of the last message on each link between two hosts.
    links: HashMap<(usize, usize), Time>,
    last_id: u64,
    random: ChaCha8Rng,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, host as u8], 70))
}

/// The host with this index, in one of two failure domains.
pub fn host(index: usize) -> plan::Host {
    plan::Host {
        address: address(index),
        domain: Name::from(["east", "west"][index % 2]),
    }
}

/// A catalog with the route `all` over this many shards, and three replicas for each
/// shard.
pub fn deployment(shards: usize) -> (Catalog, Fleet) {
    let names = (0..shards).map(|index| Name::from(format!("shard-{index}")));
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

impl Cluster {
    /// A cluster whose hosts have the catalog, the replicas and the plan.
    pub fn new(hosts: usize, seed: u64) -> Cluster {
        let (catalog, fleet) = deployment(SHARDS);
        let (catalog, fleet) = (Arc::new(catalog), Arc::new(fleet));
        let known = (0..hosts).map(host).collect::<Vec<_>>();
        let plan = Arc::new(Plan::new(&catalog, &known));
        let now = Time::from_us(1);
        let new_host = |at: usize| {
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
            fanout.configure(catalog.clone(), plan.clone());
            Host {
                gateway,
                fanout,
                branches: BTreeMap::new(),
                origins: HashMap::new(),
                event_time: EVENT_TIME,
                busy_until: now,
                killed: false,
                last_id: 1 << 32,
            }
        };
        Cluster {
            now,
            answers: BTreeMap::new(),
            runs: BTreeMap::new(),
            fatal: HashSet::new(),
            ended: Vec::new(),
            down: HashMap::new(),
            hosts: (0..hosts).map(new_host).collect(),
            started: HashMap::new(),
            withdrawn: HashSet::new(),
            queue: BinaryHeap::new(),
            due: HashMap::new(),
            links: HashMap::new(),
            last_id: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Makes a host need this many times as long for each event.
    pub fn slow(&mut self, at: usize, times: u64) {
        self.hosts[at].event_time = EVENT_TIME.saturating_mul(times);
    }

    /// Freezes a host for a while.
    pub fn freeze(&mut self, at: usize, span: Span) {
        self.hosts[at].busy_until = self.now.after(span);
    }

    /// Kills a host; the other hosts see their connections to it break.
    pub fn kill(&mut self, at: usize) {
        self.hosts[at].killed = true;
        for other in (0..self.hosts.len()).filter(|other| *other != at) {
            self.message(at, other, Message::Lost);
        }
    }

    /// Schedules a request at a host after `wait`.
    pub fn request(&mut self, at: usize, id: u64, wait: Span) {
        self.schedule(self.now.after(wait), at, Step::Request(id));
    }

    /// Whether a host is killed or has no request in progress.
    pub fn is_idle(&self, at: usize) -> bool {
        let host = &self.hosts[at];
        host.killed || host.gateway.active_requests() + host.fanout.active_requests() == 0
    }

    /// Largest number of replicas on which one part of a request ran.
    pub fn replicas_max(&self) -> usize {
        let counts = self.runs.values().map(BTreeSet::len);
        counts.max().unwrap_or_default()
    }

    fn schedule(&mut self, at: Time, host: usize, step: Step) {
        self.last_id += 1;
        self.due.insert(self.last_id, (host, step));
        self.queue.push(Reverse((at, self.last_id)));
    }

    /// Sends a message from one host to another; messages between two hosts arrive in
    /// order.
    fn message(&mut self, from: usize, to: usize, message: Message) {
        let wait = TRANSIT_US + u64::from(self.random.next_u32() % 1_000);
        let last_arrival = self.links.entry((from, to)).or_default();
        *last_arrival = (*last_arrival).max(self.now.after(Span::from_us(wait)));
        let at = *last_arrival;
        self.schedule(at, to, Step::Message(from, message));
    }

    /// Advances the time.
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
        let live = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| !host.killed);
        let timers = live.filter_map(|(at, host)| {
            let timers = [host.gateway.next_timer(), host.fanout.next_timer()];
            let first = timers.into_iter().flatten().min()?;
            Some((first.max(host.busy_until), at))
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
        let busy_until = self.hosts[host].busy_until;
        if !is_replica && self.hosts[host].killed {
            return;
        }
        if !is_replica && busy_until > self.now {
            self.due.insert(number, (host, step));
            return self.queue.push(Reverse((busy_until, number)));
        }
        if !is_replica {
            self.occupy(host);
        }
        self.execute(host, step);
    }

    fn occupy(&mut self, host: usize) {
        let event_time = self.hosts[host].event_time;
        self.hosts[host].busy_until = self.now.after(event_time);
    }

    fn tick(&mut self, host: usize) {
        self.occupy(host);
        self.step_gateway(host, gateway::Event::Tick);
        self.step_fanout(host, fanout::Event::Tick);
    }

    fn execute(&mut self, host: usize, step: Step) {
        match step {
            Step::Request(id) => {
                self.started.insert(id, self.now);
                let (now, fingerprint) = (self.now, self.fingerprint(id));
                let route = self.hosts[host]
                    .fanout
                    .split_route("desk.example", "/all/x");
                let route = route.expect("a route with branches");
                let gateway = &self.hosts[host].gateway;
                if gateway.is_quarantined(now, &route, fingerprint) {
                    let refused = Answer::Refused(Refusal::Quarantined, None);
                    return drop(self.answers.insert(id, (refused, Span::ZERO)));
                }
                let request = fanout::Request {
                    route,
                    left: None,
                    others_only: false,
                    margin: Span::from_ms(11),
                    waited: Span::ZERO,
                };
                self.step_fanout(host, fanout::Event::Request(id, request));
            }
            Step::Message(from, message) => self.receive(host, from, message),
            Step::Arrive(call, id) => self.arrive(host, &call, id),
            Step::Records(records) => {
                self.step_gateway(host, gateway::Event::Records(records));
            }
            Step::Done(ticket, ending) => {
                let completion = Completion {
                    ending,
                    stamp: (ending == Ending::Answered).then(|| ticket.to_string().into()),
                    body: Bytes::from(vec![1; 16]),
                    notice: Notice::default(),
                };
                self.step_gateway(host, gateway::Event::Completed(ticket, completion));
            }
        }
    }

    fn receive(&mut self, host: usize, from: usize, message: Message) {
        match message {
            Message::Order(order, id) => {
                self.message(host, from, Message::Confirmed(order.id));
                self.gather(host, Some(from), *order, id, false);
            }
            Message::Confirmed(order) => self.step_fanout(host, fanout::Event::Confirmed(order)),
            Message::Committed(order) => {
                let id = self.hosts[host].branches.get(&(Some(from), order)).copied();
                if let Some(id) = id {
                    self.step_gateway(host, gateway::Event::Committed(id));
                }
            }
            Message::Reply(reply) => self.step_fanout(host, fanout::Event::Reply(reply)),
            Message::Cancel(order) => self.cancel(host, Some(from), order),
            Message::Lost => {
                let branches = self.hosts[host].branches.keys().copied();
                let lost = branches.filter(|(of, _)| *of == Some(from));
                for (from, order) in lost.collect::<Vec<_>>() {
                    self.cancel(host, from, order);
                }
                self.step_fanout(host, fanout::Event::HostLost(address(from)));
            }
        }
    }

    fn gather(
        &mut self,
        host: usize,
        from: Option<usize>,
        order: fanout::Order,
        id: u64,
        committed: bool,
    ) {
        let state = &mut self.hosts[host];
        state.last_id += 1;
        let local = state.last_id;
        state.branches.insert((from, order.id), local);
        state.origins.insert(local, (from, order.id, id));
        let branch = Branch {
            order: order.id,
            route: order.route,
            account: None,
            key: id,
            fingerprint: self.fingerprint(id),
            moved: order.moved,
            committed,
            settle: order.settle,
            left: order.left,
        };
        self.step_gateway(host, gateway::Event::Branch(local, branch));
    }

    fn cancel(&mut self, host: usize, from: Option<usize>, order: OrderId) {
        if let Some(id) = self.hosts[host].branches.remove(&(from, order)) {
            self.step_gateway(host, gateway::Event::Abandoned(id));
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
        let answer_at = self.now.after(Span::from_us(TRANSIT_US));
        if self.is_down(call.address) {
            return self.schedule(
                answer_at,
                host,
                Step::Done(call.ticket, Ending::Unreachable),
            );
        }
        let service = SocketAddr::from(([0, 0, 0, shard], 80));
        let ran = self.runs.entry((id, service)).or_default();
        ran.insert(call.address);
        if self.fatal.contains(&id) {
            self.ended.push((self.now, id));
            self.down
                .insert(call.address, self.now.after(model::DOWN_TIME));
            let learned_at = self.now.after(model::PROBED_AFTER);
            return self.schedule(learned_at, host, Step::Done(call.ticket, Ending::Ended));
        }
        let slow = self.random.next_u32().is_multiple_of(10) || index == 2;
        let work = 3_000 + u64::from(self.random.next_u32() % 20_000) * (1 + 4 * u64::from(slow));
        let done = Step::Done(call.ticket, Ending::Answered);
        self.schedule(self.now.after(Span::from_us(work)), host, done);
    }

    fn step_gateway(&mut self, host: usize, event: gateway::Event) {
        for action in self.hosts[host].gateway.step(self.now, event) {
            match action {
                gateway::Action::Send(call) => {
                    let (.., id) = self.hosts[host].origins[&call.request];
                    let sent = self.hosts[host].busy_until.max(self.now);
                    let at = sent.after(Span::from_us(TRANSIT_US));
                    self.schedule(at, host, Step::Arrive(call, id));
                }
                gateway::Action::Withdraw(ticket) => {
                    self.withdrawn.insert((host, ticket));
                }
                gateway::Action::Reply(id, reply) => {
                    let (from, order, _) = self.hosts[host].origins[&id];
                    if reply.last {
                        self.hosts[host].branches.remove(&(from, order));
                    }
                    match from {
                        Some(from) => self.message(host, from, Message::Reply(reply)),
                        None => self.step_fanout(host, fanout::Event::Reply(reply)),
                    }
                }
                gateway::Action::Answer(..) => panic!("a branch was answered as a request"),
                gateway::Action::Standing(..) => self.spread_records(host),
                gateway::Action::CloseIdle(_)
                | gateway::Action::Extra(..)
                | gateway::Action::Limit(..)
                | gateway::Action::Leaving(..)
                | gateway::Action::Pause(..)
                | gateway::Action::Links(..)
                | gateway::Action::Probe(_) => {}
            }
        }
    }

    fn is_down(&self, address: SocketAddr) -> bool {
        self.down
            .get(&address)
            .is_some_and(|until| *until > self.now)
    }

    /// Digest of a request's content, the same for all fatal requests and for all others.
    fn fingerprint(&self, id: u64) -> Digest {
        match self.fatal.contains(&id) {
            true => Digest::of(b"fatal"),
            false => Digest::of(b"harmless"),
        }
    }

    /// Sends the records of a host to all others.
    fn spread_records(&mut self, from: usize) {
        let ledger = self.hosts[from].gateway.ledger();
        let records = ledger.summary(self.now, 0).records;
        let at = self.now.after(SPREAD_TIME);
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            self.schedule(at, to, Step::Records(records.clone()));
        }
    }

    fn step_fanout(&mut self, host: usize, event: fanout::Event) {
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
                fanout::Action::Commit(to, order) => {
                    self.message(host, at(to), Message::Committed(order));
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
