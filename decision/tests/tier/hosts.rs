//! A simulation of several entry hosts that share replicas, in virtual time. Replicas can name
//! limits; hosts can be killed and started anew.

use std::cmp::Reverse;
use std::collections::BTreeMap;
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
use wagtailbeam_decision::gateway::Action;
use wagtailbeam_decision::gateway::Completion;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::gateway::Gateway;
use wagtailbeam_decision::gateway::Request;
use wagtailbeam_decision::gateway::Settings;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::plan;
use wagtailbeam_decision::plan::Plan;
use wagtailbeam_decision::quota::Board;
use wagtailbeam_decision::quota::Rate;
use wagtailbeam_decision::quota::Statement;

use crate::model;

/// Time for a message between a host and a replica, one way.
const TRANSIT: Span = Span::from_ms(1);

/// Time after which a probe without an answer ends.
const PROBE_TIMEOUT: Span = Span::from_ms(100);

/// Time between two heartbeats of a host.
const HEARTBEAT_EVERY: Span = Span::from_ms(400);

/// Time after a replica first named a limit from which it is checked.
pub const CONTACT: Span = Span::from_secs(4);

/// Length of the windows in which requests are counted against a limit.
const WINDOW: Span = Span::from_secs(4);

/// How a host is cut off from all replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Calls and new connections get no answer.
    Hang,
    /// Calls break, and new connections are refused.
    Reset,
    /// New connections are refused; one in three calls finds an open one.
    Refuse,
}

enum Step {
    /// A caller's request for a route arrives at the host.
    Request(usize, u64, &'static str),
    /// A host learns how a call ended.
    Done(usize, u64, Ending, Statement),
    /// A host learns whether a server accepted a connection.
    Probed(usize, bool),
    /// A host sends a heartbeat to the voter and gets a feed.
    Heartbeat(usize, u64),
}

/// Entry hosts and the replicas that they share.
pub struct Hosts {
    pub now: Time,
    /// Answers by request, with the time they took.
    pub answers: BTreeMap<u64, (Answer, Span)>,
    /// Route of each request.
    pub routes: HashMap<u64, &'static str>,
    /// Requests at each replica.
    pub arrivals: BTreeMap<SocketAddr, Vec<Time>>,
    /// Host that got each request.
    pub callers: HashMap<u64, usize>,
    /// Hosts that are cut off from all replicas.
    cuts: HashMap<usize, Cut>,
    /// Calls under way, by host.
    calls: HashSet<(usize, u64)>,
    /// Limits named by replicas, with the time since when.
    limits: HashMap<SocketAddr, (f64, Time)>,
    catalog: Arc<Catalog>,
    fleet: Arc<Fleet>,
    gateways: Vec<Option<Gateway>>,
    /// What the voter knows of limits.
    board: Board,
    /// Run of each host, which ends when it is killed.
    runs: Vec<u64>,
    started: HashMap<u64, Time>,
    withdrawn: HashSet<(usize, u64)>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    due: HashMap<u64, Step>,
    last_id: u64,
    last_request: u64,
    random: ChaCha8Rng,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, host as u8 + 1], 70))
}

fn host(index: usize) -> plan::Host {
    plan::Host {
        address: address(index),
        domain: Name::from(["east", "west"][index % 2]),
    }
}

/// Address of a replica.
pub fn replica(service: &str, index: u8) -> SocketAddr {
    model::replica(service, index, "").address
}

fn route(name: &str, repeat: Repeat, priority: u32, target: Target) -> Route {
    Route {
        name: Name::from(name),
        host: "desk.example".into(),
        prefix: format!("/{name}/").into(),
        repeat,
        timeout: Span::from_ms(1_200),
        objective: Span::from_ms(200),
        priority,
        attempts_max: 2,
        target,
    }
}

/// A catalog of this many shards and the service `wallet`. The routes `browse` and the more
/// urgent `quick` gather from all shards, `fetch` and the unrepeatable `job` go to `wallet`.
fn catalog(shards: usize) -> Catalog {
    let service = Service {
        health_path: "/healthz".into(),
        connections_max: 60,
        warmup: Span::from_secs(3),
        warmup_per_s: 0.0,
    };
    let shards = (0..shards).map(|index| Name::from(format!("shard-{index}")));
    let shards = shards.collect::<Vec<_>>();
    let wallet = Name::from("wallet");
    let gather = Target::Gather {
        shards: shards.clone(),
        top: 5,
        coverage_min: 0.85,
    };
    let single = Target::Weighted(vec![(wallet.clone(), 1.0)]);
    let routes = vec![
        route("browse", Repeat::Idempotent, 2, gather.clone()),
        route("quick", Repeat::Idempotent, 1, gather),
        route("fetch", Repeat::Idempotent, 2, single.clone()),
        route("job", Repeat::Once, 1, single),
    ];
    let names = shards.into_iter().chain([wallet]);
    let services = names.map(|name| (name, service.clone())).collect();
    Catalog::new(1, routes, services, Limits::default()).expect("a valid catalog")
}

impl Hosts {
    /// Hosts that serve `shards` shards of two replicas each, and `wallet` of three.
    pub fn new(hosts: usize, shards: usize, seed: u64) -> Hosts {
        let names = (0..shards).map(|index| (format!("shard-{index}"), 2));
        let names = names.chain([("wallet".to_owned(), 3)]);
        let replicas = names.flat_map(|(name, count)| {
            (0..count).map(move |index| {
                model::replica(&name, index, ["east", "west"][usize::from(index % 2)])
            })
        });
        let mut simulation = Hosts {
            now: Time::from_us(1),
            answers: BTreeMap::new(),
            routes: HashMap::new(),
            arrivals: BTreeMap::new(),
            callers: HashMap::new(),
            cuts: HashMap::new(),
            calls: HashSet::new(),
            limits: HashMap::new(),
            catalog: Arc::new(catalog(shards)),
            fleet: Arc::new(Fleet::new(replicas)),
            gateways: (0..hosts).map(|_| None).collect(),
            board: Board::default(),
            runs: vec![0; hosts],
            started: HashMap::new(),
            withdrawn: HashSet::new(),
            queue: BinaryHeap::new(),
            due: HashMap::new(),
            last_id: 0,
            last_request: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        (0..hosts).for_each(|at| simulation.start(at));
        simulation
    }

    /// Starts a host anew.
    pub fn start(&mut self, at: usize) {
        let gateway = Gateway::new(Settings {
            address: address(at),
            domain: host(at).domain,
            seed: self.random.next_u64(),
            ..model::settings()
        });
        self.gateways[at] = Some(gateway);
        let now = self.now;
        self.step(at, Event::Catalog(self.catalog.clone()));
        self.step(at, Event::Fleet(self.fleet.clone(), now));
        self.replan();
        self.runs[at] += 1;
        self.schedule(HEARTBEAT_EVERY, Step::Heartbeat(at, self.runs[at]));
    }

    /// Exchanges what a host and the voter know of limits.
    fn heartbeat(&mut self, at: usize) {
        let Some(gateway) = &self.gateways[at] else {
            return;
        };
        let report = gateway.limit_report(self.now, self.board.digest());
        let known = report.digest;
        self.board.merge(self.now, address(at), report);
        let feed = self.board.report(self.now, known, None);
        self.step(at, Event::Limits(feed));
        self.schedule(HEARTBEAT_EVERY, Step::Heartbeat(at, self.runs[at]));
    }

    /// Kills a host; its callers' requests are lost.
    pub fn kill(&mut self, at: usize) {
        self.gateways[at] = None;
        self.replan();
    }

    /// Cuts hosts off from all replicas.
    pub fn cut(&mut self, hosts: &[usize], cut: Cut) {
        for at in hosts {
            self.cuts.insert(*at, cut);
            if cut == Cut::Refuse {
                continue;
            }
            let open = self.calls.iter().filter(|(host, _)| host == at);
            let mut open = open.map(|(_, ticket)| *ticket).collect::<Vec<_>>();
            open.sort_unstable();
            for ticket in open {
                self.calls.remove(&(*at, ticket));
                if cut == Cut::Reset {
                    let done = Step::Done(*at, ticket, Ending::Broken, Statement::Nothing);
                    self.schedule(TRANSIT, done);
                }
            }
        }
    }

    /// Restores the links of all hosts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Tells all hosts which hosts are live.
    fn replan(&mut self) {
        let live = (0..self.gateways.len()).filter(|at| self.gateways[*at].is_some());
        let live = live.collect::<Vec<_>>();
        let hosts = live.iter().map(|at| host(*at)).collect::<Vec<_>>();
        let plan = Arc::new(Plan::new(&self.catalog, &hosts));
        for at in live {
            self.step(at, Event::Plan(plan.clone()));
        }
    }

    /// Makes a replica name a limit in requests per second, or none.
    pub fn limit(&mut self, address: SocketAddr, limit: Option<f64>) {
        match limit {
            Some(limit) => drop(self.limits.insert(address, (limit, self.now))),
            None => drop(self.limits.remove(&address)),
        }
    }

    /// Schedules requests for a route over `span`, `rate` a second in all, at random moments. The
    /// first host gets the most of them, each next one half as many less.
    pub fn load(&mut self, route: &'static str, rate: u64, span: Span) {
        let count = rate * span.as_ms() / 1_000;
        for _ in 0..count {
            let wait = Span::from_us(self.random.next_u64() % span.as_us());
            let hosts = self.gateways.len() as u32;
            let pick = (self.random.next_u32() % hosts).min(self.random.next_u32() % hosts);
            self.last_request += 1;
            let id = self.last_request;
            self.routes.insert(id, route);
            self.schedule(wait, Step::Request(pick as usize, id, route));
        }
    }

    fn schedule(&mut self, wait: Span, step: Step) {
        self.last_id += 1;
        self.due.insert(self.last_id, step);
        let at = self.now.after(wait);
        self.queue.push(Reverse((at, self.last_id)));
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
                (_, Some((_, host))) => self.step(host, Event::Tick),
                (..) => return,
            }
        }
    }

    fn next_timer(&self) -> Option<(Time, usize)> {
        let gateways = self.gateways.iter().enumerate();
        let timers =
            gateways.filter_map(|(at, gateway)| Some((gateway.as_ref()?.next_timer()?, at)));
        timers.min()
    }

    fn pop(&mut self) {
        let Some(Reverse((_, number))) = self.queue.pop() else {
            return;
        };
        match self.due.remove(&number) {
            Some(Step::Request(at, id, route)) => self.request(at, id, route),
            Some(Step::Probed(at, accepted)) => self.step(at, Event::Probed(accepted)),
            Some(Step::Done(at, ticket, Ending::Answered, _))
                if !self.calls.remove(&(at, ticket)) => {}
            Some(Step::Done(at, ticket, ending, statement)) => {
                let answered = ending == Ending::Answered;
                let completion = Completion {
                    ending,
                    stamp: answered.then(|| ticket.to_string().into()),
                    body: Bytes::from(vec![1; 16]),
                    statement,
                };
                self.step(at, Event::Completed(ticket, completion));
            }
            Some(Step::Heartbeat(at, run)) if run == self.runs[at] => self.heartbeat(at),
            Some(Step::Heartbeat(..)) | None => {}
        }
    }

    fn request(&mut self, at: usize, id: u64, route: &str) {
        let request = Request {
            host: "desk.example".into(),
            path: format!("/{route}/x").into(),
            fingerprint: Digest::of(&id.to_le_bytes()),
            left: None,
            catalog_confirmed: true,
            first_on_connection: false,
            others_healthier: false,
        };
        self.started.insert(id, self.now);
        self.callers.insert(id, at);
        self.step(at, Event::Request(id, request));
    }

    fn step(&mut self, at: usize, event: Event) {
        let Some(gateway) = &mut self.gateways[at] else {
            return;
        };
        for action in gateway.step(self.now, event) {
            match action {
                Action::Send(call) => self.arrive(at, call.ticket, call.address),
                Action::Withdraw(ticket) => {
                    self.withdrawn.insert((at, ticket));
                }
                Action::Answer(id, answer, _) => {
                    let took = self.now.since(self.started[&id]);
                    let earlier = self.answers.insert(id, (answer, took));
                    assert!(earlier.is_none(), "request {id} was answered twice");
                }
                Action::Probe(_) => {
                    let accepted = !self.cuts.contains_key(&at);
                    let hangs = self.cuts.get(&at) == Some(&Cut::Hang);
                    let wait = if hangs { PROBE_TIMEOUT } else { TRANSIT };
                    self.schedule(wait, Step::Probed(at, accepted));
                }
                Action::CloseIdle(_)
                | Action::Extra(..)
                | Action::Limit(..)
                | Action::Links(..)
                | Action::Reply(..)
                | Action::Standing(..) => {}
            }
        }
    }

    fn arrive(&mut self, at: usize, ticket: u64, address: SocketAddr) {
        match self.cuts.get(&at) {
            Some(Cut::Hang) => return,
            Some(Cut::Refuse) if self.random.next_u32().is_multiple_of(3) => {}
            Some(Cut::Reset | Cut::Refuse) => {
                let refused = Step::Done(at, ticket, Ending::Unreachable, Statement::Nothing);
                return self.schedule(TRANSIT, refused);
            }
            None => {}
        }
        let arrived = self.now.after(TRANSIT);
        self.arrivals.entry(address).or_default().push(arrived);
        let limit = self.limits.get(&address).copied();
        let statement = limit.and_then(|(limit, _)| Rate::from_per_second(limit));
        let statement = statement.map_or(Statement::Unlimited, Statement::Limited);
        let pause = u64::from(self.random.next_u32().is_multiple_of(20)) * 150;
        let work = Span::from_ms(5 + u64::from(self.random.next_u32() % 15) + pause);
        self.calls.insert((at, ticket));
        let done = Step::Done(at, ticket, Ending::Answered, statement);
        self.schedule(TRANSIT + work + TRANSIT, done);
    }

    /// Number of replicas with a limit as each host knows it.
    pub fn limited(&self) -> Vec<usize> {
        let gateways = self.gateways.iter().flatten();
        gateways.map(Gateway::limited_replicas).collect()
    }

    /// By how many requests each replica exceeded its limit in some window, summed over the
    /// replicas: one and a half times the limit and five more are allowed.
    pub fn excess(&self) -> usize {
        let limited = self.limits.iter();
        let excess = limited.map(|(address, (limit, since))| {
            let arrivals = self.arrivals.get(address).map_or(&[][..], Vec::as_slice);
            let allowed = 1.5 * limit * WINDOW.as_ms() as f64 / 1_000.0 + 5.0;
            let first = arrivals.partition_point(|at| *at < since.after(CONTACT));
            let checked = &arrivals[first..];
            let in_window = checked.iter().enumerate().map(|(index, from)| {
                checked.partition_point(|at| at.since(*from) < WINDOW) - index
            });
            let most = in_window.max().unwrap_or_default();
            most.saturating_sub(allowed as usize)
        });
        excess.sum()
    }

    /// Share of the answered requests of a route that got a success, from 0 to 1.
    pub fn served(&self, route: &str) -> f64 {
        let of_route = self
            .answers
            .iter()
            .filter(|(id, _)| self.routes[id] == route);
        let answers = of_route.map(|(_, (answer, _))| answer).collect::<Vec<_>>();
        let served = |answer: &&&Answer| !matches!(answer, Answer::Refused(..));
        let served = answers.iter().filter(served).count();
        served as f64 / answers.len().max(1) as f64
    }

    /// Share of the requests of a route at these hosts that got a success, among those sent from
    /// `since` on; requests without any answer count as failed.
    pub fn served_at(&self, hosts: &[usize], route: &str, since: Time) -> f64 {
        let requests = self.callers.iter().filter(|(id, at)| {
            hosts.contains(at) && self.routes[id] == route && self.started[id] >= since
        });
        let requests = requests.map(|(id, _)| id).collect::<Vec<_>>();
        let served = requests.iter().filter(|id| {
            let answer = self.answers.get(id);
            answer.is_some_and(|(answer, _)| !matches!(answer, Answer::Refused(..)))
        });
        served.count() as f64 / requests.len().max(1) as f64
    }

    /// Refusals that say "not run", with the time they took and the time to come back.
    pub fn refusals(&self) -> impl Iterator<Item = (Span, Option<Span>)> {
        self.answers
            .values()
            .filter_map(|(answer, took)| match answer {
                Answer::Refused(Refusal::NotRun, wait) => Some((*took, *wait)),
                _ => None,
            })
    }
}
