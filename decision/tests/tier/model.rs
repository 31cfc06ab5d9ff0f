//! A simulation of a gateway and its replicas in virtual time. Replicas have slots and
//! queues, and can be slow, unresponsive, refuse connections, shed requests, lose
//! answers, or end under requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use wagtailbeam_decision::allowance::Limit;
use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Report;
use wagtailbeam_decision::catalog::Catalog;
use wagtailbeam_decision::catalog::Limits;
use wagtailbeam_decision::catalog::Repeat;
use wagtailbeam_decision::catalog::Route;
use wagtailbeam_decision::catalog::Service;
use wagtailbeam_decision::catalog::Target;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::fleet::Fleet;
use wagtailbeam_decision::fleet::Instance;
use wagtailbeam_decision::fleet::Replica;
use wagtailbeam_decision::fleet::State;
use wagtailbeam_decision::gateway::Action;
use wagtailbeam_decision::gateway::Call;
use wagtailbeam_decision::gateway::Completion;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::gateway::Gateway;
use wagtailbeam_decision::gateway::Request;
use wagtailbeam_decision::gateway::Settings;
use wagtailbeam_decision::load::capacity::Estimator;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::notice::Notice;

/// Time for a message between the gateway and a replica, one way.
const TRANSIT: Span = Span::from_ms(1);

/// Time after which an unanswered connection attempt is given up.
const DIAL_TIMEOUT: Span = Span::from_ms(400);

/// Time until the gateway learns that a call broke and its replica refuses connections.
pub const PROBED_AFTER: Span = Span::from_ms(3);

/// Time for which a replica that ended refuses connections.
pub const DOWN_TIME: Span = Span::from_secs(3);

/// Time for which a healthy replica works on a part.
pub const WORK_TIME: Span = Span::from_ms(15);

/// Fault of a replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Healthy.
    #[default]
    None,
    /// Work takes this many times as long.
    Slow(u64),
    /// Does not answer connection attempts.
    Unresponsive,
    /// Refuses connections.
    Refusing,
    /// Rejects requests without running them.
    Sheds,
    /// Runs requests and breaks the connection instead of answering.
    LosesAnswers,
    /// Runs requests and answers with a failure.
    Fails,
}

#[derive(Default)]
struct Server {
    fault: Fault,
    /// What its answers say of it; a pause only those of requests that it sheds.
    notice: Notice,
    running: Vec<u64>,
    waiting: VecDeque<Call>,
    /// Until then the server refuses connections, because its process ended.
    down_until: Time,
}

enum Step {
    /// A caller's request arrives at the gateway.
    Request(u64, Request),
    /// A call arrives at its replica.
    Arrive(Call),
    /// A replica ends its work for a call.
    End(Call),
    /// The gateway learns how a call ended.
    Done(u64, Ending),
}

/// A gateway with its replicas and callers.
pub struct Simulation {
    pub now: Time,
    pub gateway: Gateway,
    pub answers: BTreeMap<u64, (Answer, Span)>,
    /// Reports of answered requests.
    pub reports: BTreeMap<u64, Report>,
    /// Number of runs by request.
    pub runs: HashMap<u64, u32>,
    /// Number of calls sent.
    pub sent: u64,
    /// Number of calls withdrawn.
    pub withdrawn: u64,
    /// Requests that end each server that begins to run them.
    pub fatal: HashSet<u64>,
    /// Servers that ended under a request: when, and under which one.
    pub ended: Vec<(Time, u64)>,
    /// When calls arrived at each server.
    pub arrivals: HashMap<SocketAddr, Vec<Time>>,
    servers: HashMap<SocketAddr, Server>,
    /// What the answers that are on their way say of their servers.
    notices: HashMap<u64, Notice>,
    started: HashMap<u64, Time>,
    /// Calls that replicas must not start any more.
    withdrawn_calls: Vec<u64>,
    steps: BinaryHeap<Reverse<(Time, u64)>>,
    /// Scheduled steps by the number in `steps`.
    due: HashMap<u64, Step>,
    last_step: u64,
}

/// A listed replica of a service.
pub fn replica(service: &str, index: u8, domain: &str) -> Replica {
    let number = service.bytes().fold(7_u8, u8::wrapping_add);
    Replica {
        instance: Instance {
            id: Name::from(format!("{service}-{index}")),
            born: 1,
        },
        service: Name::from(service),
        address: SocketAddr::from(([10, index, 0, number], 80)),
        domain: Name::from(domain),
        slots: 2,
        state: State::Ready,
        cold_left: Span::ZERO,
    }
}

fn route(name: &str, repeat: Repeat, target: Target) -> Route {
    Route {
        name: Name::from(name),
        host: "desk.example".into(),
        prefix: format!("/{name}/").into(),
        repeat,
        timeout: Span::from_ms(800),
        objective: Span::from_ms(120),
        priority: 0,
        open: false,
        attempts_max: 2,
        target,
    }
}

/// A catalog with the route `all`, which gathers from all of these services, and the
/// route `once`, which sends to the first of them.
pub fn catalog(names: &[Name]) -> Catalog {
    let service = Service {
        health_path: "/healthz".into(),
        connections_max: 26,
        warmup: Span::from_secs(3),
        warmup_per_s: 0.0,
    };
    let services = names.iter().map(|name| (name.clone(), service.clone()));
    let once = Target::Weighted(vec![(names[0].clone(), 1.0)]);
    let all = Target::Gather {
        shards: names.to_vec(),
        top: 5,
        coverage_min: 0.75,
    };
    let routes = vec![
        route("all", Repeat::Idempotent, all),
        route("once", Repeat::Once, once),
    ];
    let catalog = Catalog::new(1, routes, services.collect(), Limits::default());
    catalog.expect("a valid catalog")
}

impl Simulation {
    /// A simulation with this many shards of two replicas each, named `shard-0` and so
    /// on. The route `all` gathers from all shards and needs three quarters of them; the
    /// route `once` sends non-idempotent requests to `shard-0`.
    pub fn new(shards: usize) -> Simulation {
        let names = (0..shards).map(|index| Name::from(format!("shard-{index}")));
        let names = names.collect::<Vec<_>>();
        let catalog = catalog(&names);
        let replicas = names
            .iter()
            .flat_map(|name| [replica(name, 0, "east"), replica(name, 1, "west")]);
        let replicas = replicas.collect::<Vec<_>>();
        let servers = replicas
            .iter()
            .map(|replica| (replica.address, Server::default()));
        let mut simulation = Simulation {
            now: Time::from_us(1),
            gateway: Gateway::new(settings()),
            answers: BTreeMap::new(),
            reports: BTreeMap::new(),
            runs: HashMap::new(),
            sent: 0,
            withdrawn: 0,
            fatal: HashSet::new(),
            ended: Vec::new(),
            arrivals: HashMap::new(),
            servers: servers.collect(),
            notices: HashMap::new(),
            started: HashMap::new(),
            withdrawn_calls: Vec::new(),
            steps: BinaryHeap::new(),
            due: HashMap::new(),
            last_step: 0,
        };
        let now = simulation.now;
        simulation.handle(Event::Catalog(Arc::new(catalog)));
        simulation.handle(Event::Fleet(Arc::new(Fleet::new(replicas)), now));
        simulation
    }

    /// Sets the fault of a replica.
    pub fn set_fault(&mut self, shard: usize, index: u8, fault: Fault) {
        let address = replica(&format!("shard-{shard}"), index, "").address;
        if let Some(server) = self.servers.get_mut(&address) {
            server.fault = fault;
        }
    }

    /// Sets what the answers of a replica say of it; a pause only those of requests that it sheds.
    pub fn set_notice(&mut self, shard: usize, index: u8, notice: Notice) {
        let address = replica(&format!("shard-{shard}"), index, "").address;
        if let Some(server) = self.servers.get_mut(&address) {
            server.notice = notice;
        }
    }

    /// When calls arrived at a replica from this time on.
    pub fn arrivals_since(&self, shard: usize, index: u8, since: Time) -> Vec<Time> {
        let address = replica(&format!("shard-{shard}"), index, "").address;
        let all = self.arrivals.get(&address).into_iter().flatten();
        all.filter(|at| **at >= since).copied().collect()
    }

    /// Schedules a request after `wait`.
    pub fn request(&mut self, id: u64, route: &str, wait: Span) {
        let request = Request {
            host: "desk.example".into(),
            path: format!("/{route}/x").into(),
            fingerprint: self.fingerprint(id, route),
            catalog_confirmed: true,
            ..Request::default()
        };
        self.schedule(wait, Step::Request(id, request));
    }

    /// Digest of a request's content: that of all fatal requests on a route is the same, and
    /// so is that of all others.
    fn fingerprint(&self, id: u64, route: &str) -> Digest {
        let content = match self.fatal.contains(&id) {
            true => "fatal",
            false => "harmless",
        };
        Digest::of_parts(&[content.as_bytes(), route.as_bytes()])
    }

    /// Schedules `count` requests at intervals of `gap`.
    pub fn load(&mut self, first: u64, count: u64, route: &str, gap: Span) {
        for index in 0..count {
            self.request(first + index, route, gap.saturating_mul(index));
        }
    }

    fn schedule(&mut self, wait: Span, step: Step) {
        self.last_step += 1;
        self.due.insert(self.last_step, step);
        self.steps
            .push(Reverse((self.now.after(wait), self.last_step)));
    }

    /// Advances the time.
    pub fn run(&mut self, span: Span) {
        let end = self.now.after(span);
        loop {
            let step = self.steps.peek().map(|Reverse((at, _))| *at);
            let timer = self.gateway.next_timer();
            let next = step.into_iter().chain(timer).min();
            let Some(next) = next.filter(|next| *next <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(next);
            if timer.is_some_and(|at| at <= self.now) {
                self.handle(Event::Tick);
            }
            if step == Some(next) {
                let Some(Reverse((_, number))) = self.steps.pop() else {
                    return;
                };
                if let Some(step) = self.due.remove(&number) {
                    self.execute(step);
                }
            }
        }
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Request(id, request) => {
                self.started.insert(id, self.now);
                self.handle(Event::Request(id, request));
            }
            Step::Arrive(call) => self.arrive(call),
            Step::End(call) => self.end(call),
            Step::Done(ticket, ending) => {
                let completion = Completion {
                    ending,
                    stamp: (ending == Ending::Answered).then(|| ticket.to_string().into()),
                    body: Bytes::from(vec![1; 16]),
                    notice: self.notices.remove(&ticket).unwrap_or_default(),
                };
                self.handle(Event::Completed(ticket, completion));
            }
        }
    }

    fn arrive(&mut self, call: Call) {
        let Some(server) = self.servers.get_mut(&call.address) else {
            return;
        };
        let arrivals = self.arrivals.entry(call.address).or_default();
        arrivals.push(self.now);
        if server.down_until > self.now {
            return self.schedule(TRANSIT, Step::Done(call.ticket, Ending::Unreachable));
        }
        match server.fault {
            Fault::Unresponsive => {
                self.schedule(DIAL_TIMEOUT, Step::Done(call.ticket, Ending::Unreachable))
            }
            Fault::Refusing => self.schedule(TRANSIT, Step::Done(call.ticket, Ending::Unreachable)),
            Fault::Sheds => {
                self.notices.insert(call.ticket, server.notice);
                self.schedule(TRANSIT, Step::Done(call.ticket, Ending::Shed));
            }
            _ => {
                server.waiting.push_back(call.clone());
                self.start(call.address);
            }
        }
    }

    fn start(&mut self, address: SocketAddr) {
        while let Some(server) = self.servers.get_mut(&address) {
            if server.running.len() >= 2 {
                return;
            }
            let Some(call) = server.waiting.pop_front() else {
                return;
            };
            if self.withdrawn_calls.contains(&call.ticket) {
                continue;
            }
            server.running.push(call.ticket);
            *self.runs.entry(call.request).or_default() += 1;
            if self.fatal.contains(&call.request) {
                self.ended.push((self.now, call.request));
                return self.end_server(address);
            }
            let times = match server.fault {
                Fault::Slow(times) => times,
                _ => 1,
            };
            self.schedule(WORK_TIME.saturating_mul(times), Step::End(call));
        }
    }

    /// Ends the processes of both servers of a shard.
    pub fn end_servers(&mut self, shard: usize) {
        for index in 0..2 {
            let address = replica(&format!("shard-{shard}"), index, "").address;
            self.end_server(address);
        }
    }

    /// Ends the process of a server: breaks the connections of all its calls, and refuses
    /// new ones for [`DOWN_TIME`].
    pub fn end_server(&mut self, address: SocketAddr) {
        let Some(server) = self.servers.get_mut(&address) else {
            return;
        };
        server.down_until = self.now.after(DOWN_TIME);
        let running = std::mem::take(&mut server.running);
        let waiting = std::mem::take(&mut server.waiting);
        let waiting = waiting.into_iter().map(|call| call.ticket);
        for ticket in running.into_iter().chain(waiting) {
            self.schedule(PROBED_AFTER, Step::Done(ticket, Ending::Ended));
        }
    }

    fn end(&mut self, call: Call) {
        let Some(server) = self.servers.get_mut(&call.address) else {
            return;
        };
        if !server.running.contains(&call.ticket) {
            return;
        }
        server.running.retain(|ticket| *ticket != call.ticket);
        let ending = match server.fault {
            Fault::LosesAnswers => Ending::Broken,
            Fault::Fails => Ending::Failed,
            _ => Ending::Answered,
        };
        let notice = Notice {
            pause: None,
            ..server.notice
        };
        self.notices.insert(call.ticket, notice);
        self.schedule(TRANSIT, Step::Done(call.ticket, ending));
        self.start(call.address);
    }

    /// Passes an event to the gateway and carries out its actions.
    pub fn handle(&mut self, event: Event) {
        for action in self.gateway.step(self.now, event) {
            match action {
                Action::Send(call) => {
                    self.sent += 1;
                    self.schedule(TRANSIT, Step::Arrive(call));
                }
                Action::Withdraw(ticket) => {
                    self.withdrawn += 1;
                    self.withdrawn_calls.push(ticket);
                }
                Action::Answer(id, answer, report) => {
                    self.reports.insert(id, report);
                    let started = self.started.get(&id).copied().unwrap_or_default();
                    let earlier = self.answers.insert(id, (answer, self.now.since(started)));
                    assert!(earlier.is_none(), "request {id} was answered twice");
                }
                Action::CloseIdle(_)
                | Action::Extra(..)
                | Action::Limit(..)
                | Action::Leaving(..)
                | Action::Pause(..)
                | Action::Links(..)
                | Action::Probe(_)
                | Action::Reply(..)
                | Action::Standing(..) => {}
            }
        }
    }

    /// Number of complete answers given within this time.
    pub fn complete(&self, within: Span) -> usize {
        let complete = |(answer, took): &&(Answer, Span)| {
            matches!(answer, Answer::Merged { missing: 0, .. }) && *took <= within
        };
        self.answers.values().filter(complete).count()
    }

    /// Number of merged answers, complete or not, given within this time.
    pub fn merged(&self, within: Span) -> usize {
        let merged = |(answer, took): &&(Answer, Span)| {
            matches!(answer, Answer::Merged { .. }) && *took <= within
        };
        self.answers.values().filter(merged).count()
    }
}

/// Settings of the gateway.
pub fn settings() -> Settings {
    Settings {
        address: SocketAddr::from(([10, 9, 0, 1], 70)),
        domain: Name::from("north"),
        extra: Limit {
            ratio: 0.2,
            slack: 54.0,
            window: Span::from_secs(10),
        },
        cold_overage: 1.5,
        cold_slack: 5.0,
        estimator: Estimator::default(),
        margin: Span::from_ms(11),
        margin_first: Span::from_ms(17),
        list_lag: Span::from_ms(800),
        seed: 7,
    }
}
