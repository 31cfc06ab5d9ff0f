//! A model of many hosts that keep quotas, with faulty links, hosts and voters.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailbeam_decision::account::Account;
use wagtailbeam_decision::account::Directory;
use wagtailbeam_decision::account::quota::Action;
use wagtailbeam_decision::account::quota::Cause;
use wagtailbeam_decision::account::quota::Ending;
use wagtailbeam_decision::account::quota::Gate;
use wagtailbeam_decision::account::token;
use wagtailbeam_decision::account::token::Outcome;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::plan::Host;

use super::directory;
use super::gate;
use super::host;
use super::shared;

/// Interval at which each host hears from the voters.
const FEED: Span = Span::from_ms(400);

/// Time without a feed after which a host is not confirmed.
const FRESH: Span = Span::from_ms(1_500);

/// Time after which the voters drop a silent host.
const DROP: Span = Span::from_ms(2_500);

/// What the demand of an account looks like.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Spread {
    /// Each request goes to any host.
    Even,
    /// All requests of a second go to one host.
    Moving,
    /// Requests go to any host, in 5 of each 25 seconds.
    Bursts,
}

/// An account in the model.
#[derive(Clone, Debug)]
pub struct Demand {
    pub account: Account,
    /// Requests per second.
    pub sent: f64,
    pub spread: Spread,
    /// Times at which requests ran.
    pub ran: Vec<Time>,
    /// Homes that granted these requests.
    pub homes: Vec<SocketAddr>,
    /// Times at which requests came.
    pub came: Vec<Time>,
    pub refused: u64,
    pub unavailable: u64,
    /// Host of all requests of a moving account.
    target: usize,
}

impl Demand {
    pub fn new(account: Account, sent: f64, spread: Spread) -> Demand {
        Demand {
            account,
            sent,
            spread,
            ran: Vec::new(),
            homes: Vec::new(),
            came: Vec::new(),
            refused: 0,
            unavailable: 0,
            target: 0,
        }
    }
}

#[derive(Clone, Debug)]
enum Message {
    Ask(token::Request),
    Reply(token::Reply),
}

#[derive(Clone, Debug)]
enum Step {
    /// A request of an account comes.
    Arrive(usize),
    Deliver(usize, usize, Message),
    Tick(usize),
    /// A host hears from the voters, if it can.
    Feed(usize),
    /// A host applies what it heard.
    Apply(usize, u64, Vec<usize>, Vec<Account>),
}

struct Node {
    gate: Gate,
    /// Counts the restarts; what belongs to an earlier run is dropped.
    run: u64,
    running: bool,
    /// Cut off from the voters.
    voters_cut: bool,
    frozen_until: Time,
    confirmed_at: Time,
    /// When the voters heard from it last.
    heard_at: Time,
}

/// The hosts, the voters' view of them, and the steps to come.
pub struct Model {
    pub now: Time,
    pub demands: Vec<Demand>,
    pub steps: u64,
    /// Probabilities of loss, repetition and long delay of a message, in thousandths.
    pub faults: [u64; 3],
    /// Cut links: hosts of different groups don't hear from each other.
    groups: Vec<usize>,
    /// Whether the voters have a majority.
    pub majority: bool,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    planned: std::collections::HashMap<u64, Step>,
    last_step: u64,
    requests: std::collections::HashMap<u64, usize>,
    last_request: u64,
    random: ChaCha8Rng,
}

impl Model {
    /// A model with `count` hosts, of which the first `running` run.
    pub fn new(count: usize, running: usize, demands: Vec<Demand>, seed: u64) -> Model {
        let nodes = (0..count).map(|index| Node {
            gate: gate(host(index), seed + index as u64),
            run: 0,
            running: index < running,
            voters_cut: false,
            frozen_until: Time::default(),
            confirmed_at: Time::default(),
            heard_at: Time::default(),
        });
        let mut model = Model {
            now: Time::default(),
            steps: 0,
            faults: [0; 3],
            groups: vec![0; count],
            majority: true,
            nodes: nodes.collect(),
            queue: BinaryHeap::new(),
            planned: std::collections::HashMap::new(),
            last_step: 0,
            requests: std::collections::HashMap::new(),
            last_request: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            demands,
        };
        for index in 0..count {
            let phase = model.below(FEED.as_us());
            model.plan(Span::from_us(phase), Step::Feed(index));
        }
        for index in 0..model.demands.len() {
            model.plan(Span::from_secs(2), Step::Arrive(index));
        }
        model
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    pub fn hosts(&self) -> usize {
        self.nodes.len()
    }

    fn plan(&mut self, wait: Span, step: Step) {
        self.last_step += 1;
        self.planned.insert(self.last_step, step);
        self.queue
            .push(Reverse((self.now.after(wait), self.last_step)));
    }

    /// Runs for this time.
    pub fn run(&mut self, time: Span) {
        let end = self.now.after(time);
        while let Some(Reverse((at, id))) = self.queue.peek().copied()
            && at <= end
        {
            self.queue.pop();
            self.now = at;
            self.steps += 1;
            if let Some(step) = self.planned.remove(&id) {
                self.step(step);
            }
        }
        self.now = end;
    }

    fn step(&mut self, step: Step) {
        let at = match &step {
            Step::Deliver(_, to, _) => Some(*to),
            Step::Tick(host) | Step::Feed(host) | Step::Apply(host, ..) => Some(*host),
            Step::Arrive(_) => None,
        };
        if let Some(at) = at
            && self.nodes[at].frozen_until > self.now
        {
            let wait = self.nodes[at].frozen_until.since(self.now);
            return self.plan(wait, step);
        }
        match step {
            Step::Arrive(demand) => self.arrive(demand),
            Step::Deliver(from, to, message) => self.deliver(from, to, message),
            Step::Tick(host) => self.with(host, |gate, now| gate.tick(now)),
            Step::Feed(host) => self.feed(host),
            Step::Apply(host, run, live, accounts) => {
                if self.nodes[host].run == run && self.nodes[host].running {
                    self.apply(host, &live, &accounts);
                }
            }
        }
    }

    fn apply(&mut self, at: usize, live: &[usize], accounts: &[Account]) {
        let live = live.iter().map(|index| host(*index)).collect::<Vec<Host>>();
        let now = self.now;
        let known: Directory = directory(accounts);
        let node = &mut self.nodes[at];
        node.confirmed_at = now;
        node.gate.confirm(now);
        node.gate.configure(now, &known, &live);
    }

    /// A request comes, at a host that runs.
    fn arrive(&mut self, index: usize) {
        let gap = -(((self.below(1 << 30) + 1) as f64) / (1u64 << 30) as f64).ln();
        let gap = gap / self.demands[index].sent;
        self.plan(Span::from_us((gap * 1e6) as u64), Step::Arrive(index));
        let second = self.now.as_us() / 1_000_000;
        if self.demands[index].spread == Spread::Bursts && second % 25 >= 5 {
            return;
        }
        let running = (0..self.nodes.len()).filter(|host| self.nodes[*host].running);
        let running = running.collect::<Vec<_>>();
        let any = running[self.below(running.len() as u64) as usize];
        let count = self.demands[index].came.last();
        let moves = count.is_none_or(|last| last.as_us() / 1_000_000 != second);
        if moves || !self.nodes[self.demands[index].target].running {
            self.demands[index].target = any;
        }
        let at = match self.demands[index].spread {
            Spread::Even | Spread::Bursts => any,
            Spread::Moving => self.demands[index].target,
        };
        self.demands[index].came.push(self.now);
        if self.nodes[at].frozen_until > self.now {
            return;
        }
        self.last_request += 1;
        let id = self.last_request;
        self.requests.insert(id, index);
        let account = shared(&self.demands[index].account);
        let confirmed = self.now.since(self.nodes[at].confirmed_at) < FRESH;
        self.with(at, |gate, now| gate.start(now, id, &account, confirmed));
    }

    /// Lets a host act and carries out its actions.
    fn with(&mut self, at: usize, act: impl FnOnce(&mut Gate, Time) -> Vec<Action>) {
        if !self.nodes[at].running {
            return;
        }
        let now = self.now;
        let mut home = host(at).address;
        for action in act(&mut self.nodes[at].gate, now) {
            if let Action::Ended(from, Ending::Answered(Outcome::Granted(_))) = action {
                home = from;
            }
            self.carry_out(at, home, action);
        }
        if let Some(due) = self.nodes[at].gate.next_timer() {
            self.plan(due.since(now), Step::Tick(at));
        }
    }

    /// Carries out an action; `home` granted the request that it admits.
    fn carry_out(&mut self, at: usize, home: SocketAddr, action: Action) {
        match action {
            Action::Admit(id, _) => {
                if let Some(demand) = self.requests.remove(&id) {
                    self.demands[demand].ran.push(self.now);
                    self.demands[demand].homes.push(home);
                }
            }
            Action::Refuse(id, cause, _) => {
                if let Some(demand) = self.requests.remove(&id) {
                    match cause {
                        Cause::Empty(_) => self.demands[demand].refused += 1,
                        Cause::Silent | Cause::Crowded => self.demands[demand].unavailable += 1,
                    }
                }
            }
            Action::Ask(home, request) => self.send(at, home, &Message::Ask(request)),
            Action::Reply(from, reply) => self.send(at, from, &Message::Reply(reply)),
            Action::Ended(..) | Action::Avoid(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Message) {
        let to = (0..self.nodes.len()).find(|index| host(*index).address == to);
        let Some(to) = to else { return };
        let [lost, repeated, late] = self.faults;
        let copies = match self.below(1_000) {
            roll if roll < lost => 0,
            roll if roll < lost + repeated => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let near = 200 + 500 * u64::from(host(from).domain != host(to).domain);
            let late = self.below(1_000) < late;
            let delay = near + self.below(if late { 200_000 } else { 300 });
            let step = Step::Deliver(from, to, message.clone());
            self.plan(Span::from_us(delay), step);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if self.groups[from] != self.groups[to] {
            return;
        }
        let sender = host(from).address;
        self.with(to, |gate, now| match message {
            Message::Ask(request) => vec![gate.answer(now, sender, &request)],
            Message::Reply(reply) => gate.handle_reply(now, sender, reply),
        });
    }

    /// The voters hear from a host and tell it what they know.
    fn feed(&mut self, at: usize) {
        self.plan(FEED, Step::Feed(at));
        let reachable = self.groups[at] == 0 && !self.nodes[at].voters_cut;
        if self.nodes[at].running {
            self.with(at, |gate, now| gate.tick(now));
        }
        if !self.nodes[at].running || !reachable {
            return;
        }
        self.nodes[at].heard_at = self.now.after(Span::from_us(1));
        if !self.majority {
            return;
        }
        let now = self.now;
        let live = (0..self.nodes.len()).filter(|index| {
            let heard_at = self.nodes[*index].heard_at;
            heard_at > Time::default() && now.since(heard_at) < DROP
        });
        let accounts = self.demands.iter().map(|demand| demand.account.clone());
        let (live, accounts) = (live.collect(), accounts.collect());
        let delay = Span::from_us(1_000 + self.below(3_000));
        let run = self.nodes[at].run;
        self.plan(delay, Step::Apply(at, run, live, accounts));
    }

    /// Kills a host; it forgets everything.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].running = false;
    }

    /// Starts a host that doesn't run.
    pub fn start(&mut self, at: usize) {
        let seed = self.below(u64::MAX);
        let node = &mut self.nodes[at];
        if !node.running {
            node.gate = gate(host(at), seed);
            node.run += 1;
            node.running = true;
            node.confirmed_at = Time::default();
        }
    }

    pub fn freeze(&mut self, at: usize, time: Span) {
        self.nodes[at].frozen_until = self.now.after(time);
    }

    pub fn cut_voters(&mut self, at: usize, cut: bool) {
        self.nodes[at].voters_cut = cut;
    }

    /// Cuts the link between these hosts and all other processes.
    pub fn cut(&mut self, cut: &BTreeSet<usize>) {
        for index in 0..self.groups.len() {
            self.groups[index] = usize::from(cut.contains(&index));
        }
    }
}
