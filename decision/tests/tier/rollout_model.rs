//! A simulation of entry hosts that follow rollouts and of the voters that decide them, in virtual
//! time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::command::Command;
use wagtailbeam_decision::command::Outcome;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::feed::Subscriber;
use wagtailbeam_decision::fleet::Fleet;
use wagtailbeam_decision::fleet::Versions;
use wagtailbeam_decision::gateway::Action;
use wagtailbeam_decision::gateway::Completion;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::gateway::Gateway;
use wagtailbeam_decision::gateway::Request;
use wagtailbeam_decision::gateway::Settings;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::notice::Notice;
use wagtailbeam_decision::rollout::Record;
use wagtailbeam_decision::tier::Change;
use wagtailbeam_decision::tier::Verdict;

use crate::group;
use crate::group::Group;
use crate::model;

/// Number of entry hosts.
const HOSTS: usize = 6;

/// Replicas of each version.
const REPLICAS: u8 = 3;

/// Step of the simulation.
const STEP: Span = Span::from_ms(5);

/// Time between two requests at one host.
const REQUEST_EVERY: Span = Span::from_ms(100);

/// Duration of the rollouts.
pub const DURATION: Span = Span::from_secs(30);

fn service() -> Name {
    Name::from("wallet")
}

/// An entry host with its subscription.
pub struct Host {
    gateway: Gateway,
    subscriber: Subscriber,
    last_request: u64,
    /// Ends of calls that are due.
    ends: VecDeque<(Time, u64, Ending)>,
    pub cut_off: bool,
}

/// A call that reached a replica: when, from which host, and whether the replica is a new one.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub at: Time,
    pub host: usize,
    pub is_new: bool,
}

pub struct Tier {
    pub group: Group,
    pub hosts: Vec<Host>,
    pub calls: Vec<Call>,
    /// Share of the requests that the new version fails, from 0 to 1.
    pub failing: f64,
    requests: u64,
    random: ChaCha8Rng,
    boots: u64,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, host as u8 + 1], 70))
}

/// Replicas 0 to 2 have the version `v1`, 3 to 5 `v2`.
pub fn fleet() -> Fleet {
    let replicas = (0..2 * REPLICAS).map(|index| model::replica("wallet", index, "east"));
    let replicas = replicas.collect::<Vec<_>>();
    let versions = replicas.iter().enumerate().map(|(index, replica)| {
        let version = if index < 3 { "v1" } else { "v2" };
        (replica.instance.clone(), Name::from(version))
    });
    let versions = versions.collect::<Versions>();
    Fleet::new(replicas).with_versions(versions)
}

fn is_new(address: SocketAddr) -> bool {
    match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[1] >= REPLICAS,
        std::net::IpAddr::V6(_) => false,
    }
}

impl Tier {
    pub fn new(failing: f64, seed: u64) -> Tier {
        let mut group = Group::new();
        group.fleet = Some(fleet());
        group.advance(Span::from_secs(3));
        let id = group.configure(0, 1);
        group.advance(Span::from_ms(500));
        assert!(matches!(group.answers.get(&id), Some(Outcome::Done(_))));
        let mut tier = Tier {
            group,
            hosts: Vec::new(),
            calls: Vec::new(),
            failing,
            requests: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            boots: 0,
        };
        tier.restart_hosts();
        tier.run(Span::from_secs(2));
        tier
    }

    /// Starts all hosts anew; what they knew is lost.
    pub fn restart_hosts(&mut self) {
        self.hosts = (0..HOSTS).map(|at| self.start(at)).collect();
    }

    fn start(&mut self, at: usize) -> Host {
        self.boots += 1;
        let mut gateway = Gateway::new(Settings {
            address: address(at),
            seed: self.boots,
            ..model::settings()
        });
        let catalog = Arc::new(model::catalog(&[service()]));
        gateway.step(self.group.now, Event::Catalog(catalog));
        let seeds = (0..3).map(group::address).collect();
        let domain = Name::from("east");
        Host {
            gateway,
            subscriber: Subscriber::new(self.group.now, domain, seeds, at as u64),
            last_request: 0,
            ends: VecDeque::new(),
            cut_off: false,
        }
    }

    pub fn order(&mut self, target: &str) -> u64 {
        let change = Change::Rollout {
            service: service(),
            target: Name::from(target),
            duration: DURATION,
            request: self.requests + 1,
        };
        self.group.command(1, Command::Change(change))
    }

    pub fn begin(&mut self) {
        let id = self.order("v2");
        self.run(Span::from_ms(200));
        let answer = self.group.answers.get(&id);
        assert_eq!(answer, Some(&Outcome::Done(Verdict::Done)));
    }

    /// The rollout as a voter reads it.
    pub fn record(&mut self, voter: usize) -> Record {
        let id = self.group.command(voter, Command::Read);
        self.run(Span::from_ms(300));
        match self.group.answers.get(&id) {
            Some(Outcome::State(state)) => state.rollouts["wallet"].clone(),
            other => panic!("{other:?}"),
        }
    }

    pub fn run(&mut self, span: Span) {
        let end = self.group.now.after(span);
        while self.group.now < end {
            self.group.advance(STEP);
            for at in 0..self.hosts.len() {
                self.exchange(at);
                self.serve(at);
            }
        }
    }

    /// Exchanges heartbeats and feeds of a host.
    fn exchange(&mut self, at: usize) {
        let now = self.group.now;
        let feed = self.group.feeds.remove(&address(at));
        let host = &mut self.hosts[at];
        if let Some(feed) = feed.filter(|_| !host.cut_off) {
            let from = host.subscriber.voter().expect("a voter");
            let update = host.subscriber.handle_feed(now, from, feed);
            if let Some(orders) = update.rollouts {
                host.gateway.step(now, Event::Rollouts(orders));
            }
            if let Some((fleet, read)) = update.fleet {
                host.gateway.step(now, Event::Fleet(fleet, read));
            }
        }
        if let Some((voter, mut heartbeat)) = host.subscriber.tick(now, false) {
            heartbeat.rollouts = Box::new(host.gateway.rollout_report()).into();
            let voter = match voter.ip() {
                std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]),
                std::net::IpAddr::V6(_) => 0,
            };
            if !host.cut_off {
                self.group.heartbeat(voter, address(at), heartbeat);
            }
        }
    }

    /// Sends requests of callers to a host and carries out what it does.
    fn serve(&mut self, at: usize) {
        let now = self.group.now;
        if (now.as_us() / STEP.as_us() + at as u64)
            .is_multiple_of(REQUEST_EVERY.as_us() / STEP.as_us())
        {
            self.requests += 1;
            let id = self.requests;
            let request = Request {
                host: "desk.example".into(),
                path: ["/all/x", "/once/x"][id as usize % 2].into(),
                fingerprint: Digest::of(&id.to_le_bytes()),
                catalog_confirmed: true,
                ..Request::default()
            };
            self.hosts[at].last_request = id;
            self.step(at, Event::Request(id, request));
        }
        while let Some((due, ticket, ending)) = self.hosts[at].ends.front().copied() {
            if due > now {
                break;
            }
            self.hosts[at].ends.pop_front();
            let answered = ending == Ending::Answered;
            let completion = Completion {
                ending,
                stamp: answered.then(|| ticket.to_string().into()),
                body: Bytes::from(vec![1; 16]),
                notice: Notice::default(),
            };
            self.step(at, Event::Completed(ticket, completion));
        }
        let timer = self.hosts[at].gateway.next_timer();
        if timer.is_some_and(|timer| timer <= now) {
            self.step(at, Event::Tick);
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let now = self.group.now;
        for action in self.hosts[at].gateway.step(now, event) {
            let Action::Send(call) = action else {
                continue;
            };
            let is_new = is_new(call.address);
            self.calls.push(Call {
                at: now,
                host: at,
                is_new,
            });
            let drawn = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
            let ending = match is_new && drawn < self.failing {
                true => Ending::Failed,
                false => Ending::Answered,
            };
            let done = now.after(Span::from_ms(15));
            self.hosts[at].ends.push_back((done, call.ticket, ending));
        }
    }

    /// Number of calls to old and new replicas from `since` on, at hosts that `filter` selects.
    pub fn count(&self, since: Time, filter: impl Fn(usize) -> bool) -> (usize, usize) {
        let calls = self.calls.iter().filter(|call| call.at >= since);
        let calls = calls.filter(|call| filter(call.host));
        let new = calls.clone().filter(|call| call.is_new).count();
        (calls.count() - new, new)
    }
}
