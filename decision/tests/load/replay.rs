//! A replay of entry hosts and replicas in virtual time. Each host is a [`Gateway`] with its own
//! state; replicas have slots, a queue, pauses and a condition that changes over time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::fleet::Fleet;
use wagtailbeam_decision::gateway::Action;
use wagtailbeam_decision::gateway::Call;
use wagtailbeam_decision::gateway::Completion;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::gateway::Gateway;
use wagtailbeam_decision::load::capacity::Estimator;
use wagtailbeam_decision::load::report::Board;
use wagtailbeam_decision::load::waiting::Discipline;
use wagtailbeam_decision::notice::Notice;

use crate::arrivals::Arrival;
use crate::arrivals::Open;
use crate::arrivals::Outcome;
use crate::setup;
use crate::setup::Case;
use crate::setup::Health;

/// Time for a message between two failure domains, one way.
const TRANSIT: Span = Span::from_us(700);

/// Time for a message within a failure domain, one way.
const TRANSIT_LOCAL: Span = Span::from_us(200);

/// Time in which a failing replica fails.
const FAIL_TIME: Span = Span::from_ms(1);

/// Standard deviation of the logarithm of the work for a call.
const WORK_SIGMA: f64 = 0.25;

/// Time between two reports of a host.
const REPORT_EVERY: Span = Span::from_ms(400);

/// Time between two statuses of a voter.
const STATUS_EVERY: Span = Span::from_ms(250);

/// Requests that arrive before this time are not counted.
pub const WARM_UP: Span = Span::from_secs(10);

type CallId = (usize, u64);

#[derive(Default)]
struct Server {
    running: Vec<CallId>,
    waiting: VecDeque<(CallId, Span)>,
    /// Arrivals of counted calls.
    arrivals: Vec<Time>,
}

pub enum Step {
    Request(usize, u64, Arrival),
    Arrive(usize, usize, CallId, Span),
    End(usize, CallId, Ending),
    Done(CallId, Ending),
    Tick(usize),
    Probed(usize),
    Report(usize),
    Status(usize),
}

/// Entry hosts and replicas of one case.
pub struct Replay {
    pub now: Time,
    hosts: Vec<Gateway>,
    servers: Vec<Server>,
    index_of: HashMap<SocketAddr, usize>,
    pub case: Case,
    pub random: ChaCha8Rng,
    steps: BinaryHeap<Reverse<(Time, u64)>>,
    due: HashMap<u64, Step>,
    last_step: u64,
    next_ticks: Vec<Time>,
    /// Calls that their hosts withdrew.
    withdrawn: HashSet<CallId>,
    pub open: HashMap<(usize, u64), Open>,
    /// Number of the last request.
    pub last_request: u64,
    pub outcomes: Vec<Outcome>,
    /// Calls sent, and hedges and retries among them, after the warm-up.
    pub sent: u64,
    pub extra: u64,
    boards: Vec<Board>,
    /// Records that hosts reported.
    pub records: u64,
}

/// How hosts estimate the capacity of replicas.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    pub estimator: Estimator,
    /// Number of voters through which they exchange their measurements; zero if they don't.
    pub voters: usize,
    /// How parts are served that wait for capacity.
    pub discipline: Discipline,
}

impl Replay {
    /// Runs a case to its end.
    pub fn run(case: Case, policy: Policy, seed: u64) -> Replay {
        let replicas = setup::replicas(&case);
        let index_of = replicas.iter().enumerate();
        let index_of = index_of.map(|(index, replica)| (replica.address, index));
        let plan = setup::plan(&case);
        let catalog = Arc::new(setup::catalog(&case));
        let fleet = Arc::new(Fleet::new(replicas.clone()));
        let mut replay = Replay {
            now: Time::from_us(1),
            hosts: Vec::new(),
            servers: replicas.iter().map(|_| Server::default()).collect(),
            index_of: index_of.collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            steps: BinaryHeap::new(),
            due: HashMap::new(),
            last_step: 0,
            next_ticks: vec![Time::from_us(u64::MAX); case.hosts],
            withdrawn: HashSet::new(),
            open: HashMap::new(),
            last_request: 0,
            outcomes: Vec::new(),
            sent: 0,
            extra: 0,
            boards: vec![Board::default(); policy.voters],
            records: 0,
            case,
        };
        for host in 0..replay.case.hosts {
            let settings = setup::settings(host, seed);
            let mut gateway = Gateway::new(settings);
            gateway.set_estimator(replay.now, policy.estimator);
            gateway.set_discipline(policy.discipline);
            replay.hosts.push(gateway);
            replay.handle(host, Event::Catalog(catalog.clone()));
            replay.handle(host, Event::Plan(plan.clone()));
            replay.handle(host, Event::Fleet(fleet.clone(), replay.now));
            if policy.voters > 0 {
                let offset = REPORT_EVERY.as_us() * host as u64 / replay.case.hosts as u64;
                replay.schedule(Span::from_us(offset), Step::Report(host));
            }
        }
        for voter in 0..policy.voters {
            let offset = STATUS_EVERY.as_us() * voter as u64 / policy.voters as u64;
            replay.schedule(Span::from_us(offset), Step::Status(voter));
        }
        replay.schedule_arrivals();
        replay.run_steps();
        replay
    }

    /// Number of calls that each replica of a service got from `from` to `until`.
    pub fn calls(&self, service: usize, from: Time, until: Time) -> Vec<usize> {
        let count = |server: &Server| {
            let arrivals = server.arrivals.iter();
            arrivals.filter(|at| (from..until).contains(*at)).count()
        };
        let range = setup::range(&self.case, service);
        self.servers[range].iter().map(count).collect()
    }

    pub fn uniform(&mut self) -> f64 {
        (f64::from(self.random.next_u32()) + 0.5) / 4_294_967_296.0
    }

    /// A random factor with a median of 1.
    fn spread(&mut self) -> f64 {
        let sum = (0..12).map(|_| self.uniform()).sum::<f64>();
        ((sum - 6.0) * WORK_SIGMA).exp()
    }

    pub fn schedule(&mut self, wait: Span, step: Step) {
        self.last_step += 1;
        self.due.insert(self.last_step, step);
        let entry = (self.now.after(wait), self.last_step);
        self.steps.push(Reverse(entry));
    }

    fn run_steps(&mut self) {
        let end = Time::default().after(Span::from_secs(self.case.seconds + 2));
        while let Some(Reverse((at, number))) = self.steps.pop() {
            if at > end {
                return;
            }
            self.now = at;
            if let Some(step) = self.due.remove(&number) {
                self.execute(step);
            }
        }
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Request(host, id, arrival) => self.request(host, id, arrival),
            Step::Arrive(host, server, call, work) => self.arrive(host, server, call, work),
            Step::End(server, call, ending) => {
                self.servers[server].running.retain(|other| *other != call);
                let transit = self.transit(call.0, server);
                self.schedule(transit, Step::Done(call, ending));
                self.start(server);
            }
            Step::Done((host, ticket), ending) => {
                if self.withdrawn.remove(&(host, ticket)) {
                    return;
                }
                let completion = Completion {
                    ending,
                    stamp: (ending == Ending::Answered).then(|| "x".into()),
                    body: Bytes::new(),
                    notice: Notice::default(),
                };
                self.handle(host, Event::Completed(ticket, completion));
            }
            Step::Probed(host) => self.handle(host, Event::Probed(true)),
            Step::Report(host) => self.exchange(host),
            Step::Status(voter) => self.tell_voters(voter),
            Step::Tick(host) => {
                if self.next_ticks[host] <= self.now {
                    self.next_ticks[host] = Time::from_us(u64::MAX);
                    self.handle(host, Event::Tick);
                }
            }
        }
    }

    /// Sends a host's report to its voter, and the voter's summary back.
    fn exchange(&mut self, host: usize) {
        let report = self.hosts[host].load_report(self.now);
        self.records += report.records.len() as u64;
        let voter = host % self.boards.len();
        let board = &mut self.boards[voter];
        board.merge(self.now, setup::host_address(host), report);
        board.retain(self.now);
        let summary = board.summary(self.now);
        self.hosts[host].merge_load(self.now, &summary);
        self.schedule(REPORT_EVERY, Step::Report(host));
    }

    /// Tells the other voters the sums of a voter's own hosts.
    fn tell_voters(&mut self, voter: usize) {
        let sums = self.boards[voter].own_sums(self.now);
        for (index, board) in self.boards.iter_mut().enumerate() {
            if index != voter {
                board.merge_sums(self.now, setup::voter_address(voter), sums.clone());
            }
        }
        self.schedule(STATUS_EVERY, Step::Status(voter));
    }

    fn transit(&self, host: usize, server: usize) -> Span {
        match setup::domain(host) == setup::server_domain(&self.case, server) {
            true => TRANSIT_LOCAL,
            false => TRANSIT,
        }
    }

    fn health(&self, server: usize) -> Health {
        (self.case.health)(server, self.now.as_us() as f64 / 1e6)
    }

    fn arrive(&mut self, host: usize, server: usize, call: CallId, work: Span) {
        self.servers[server].arrivals.push(self.now);
        let health = self.health(server);
        if health.refused_domain == Some(setup::domain(host)) {
            let transit = self.transit(host, server);
            return self.schedule(transit, Step::Done(call, Ending::Unreachable));
        }
        self.servers[server].waiting.push_back((call, work));
        self.start(server);
    }

    fn start(&mut self, index: usize) {
        while self.servers[index].running.len() < self.case.slots as usize {
            let Some((call, work)) = self.servers[index].waiting.pop_front() else {
                return;
            };
            if self.withdrawn.contains(&call) {
                continue;
            }
            self.servers[index].running.push(call);
            let health = self.health(index);
            if self.uniform() < health.failures {
                self.schedule(FAIL_TIME, Step::End(index, call, Ending::Failed));
                continue;
            }
            let beside = self.servers[index].running.len() - 1;
            let factor = health.factor * (1.0 + health.contention * beside as f64) * self.spread();
            let work = Span::from_us((work.as_us() as f64 * factor) as u64);
            let work = setup::with_pauses(&self.case, index, self.now, work);
            self.schedule(work, Step::End(index, call, Ending::Answered));
        }
    }

    fn send(&mut self, host: usize, call: Call) {
        let server = self.index_of[&call.address];
        let Some(open) = self.open.get_mut(&(host, call.request)) else {
            return;
        };
        open.sent.get_or_insert(self.now);
        let work = self.case.routes[open.arrival.route].work;
        self.sent += u64::from(self.now.as_us() >= WARM_UP.as_us());
        let transit = self.transit(host, server);
        self.schedule(
            transit,
            Step::Arrive(host, server, (host, call.ticket), work),
        );
    }

    pub fn handle(&mut self, host: usize, event: Event) {
        for action in self.hosts[host].step(self.now, event) {
            match action {
                Action::Send(call) => self.send(host, call),
                Action::Withdraw(ticket) => drop(self.withdrawn.insert((host, ticket))),
                Action::Answer(id, answer, _) => self.record_answer(host, id, &answer),
                Action::Probe(_) => self.schedule(TRANSIT, Step::Probed(host)),
                Action::Extra(..) => self.extra += u64::from(self.now.as_us() >= WARM_UP.as_us()),
                _ => {}
            }
        }
        let timer = self.hosts[host].next_timer();
        if let Some(at) = timer.filter(|at| *at < self.next_ticks[host]) {
            self.next_ticks[host] = at.max(self.now);
            self.schedule(at.since(self.now), Step::Tick(host));
        }
    }
}
