//! The owner: limits, one reply for each sub-request, nothing sent where it must not.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use quickcheck::TestResult;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::exchange::Exchange;
use wagtailbeam_decision::limiter::Ticket;
use wagtailbeam_decision::manifest::Hedge;
use wagtailbeam_decision::manifest::Limits;
use wagtailbeam_decision::owner::Action;
use wagtailbeam_decision::owner::Assignment;
use wagtailbeam_decision::owner::Owner;
use wagtailbeam_decision::request::Answer;
use wagtailbeam_decision::request::Batch;
use wagtailbeam_decision::request::Request;
use wagtailbeam_decision::request::Subrequest;

use crate::check;

/// Replicas of the one shard.
const REPLICAS: u16 = 3;

/// One step of a script: what happens, and to whom.
type Step = (u8, u8);

#[derive(Default)]
struct World {
    now: Time,
    owner: Owner,
    asked: BTreeSet<u64>,
    replied: BTreeMap<u64, u32>,
    calls: BTreeMap<Ticket, SocketAddr>,
    out: BTreeSet<SocketAddr>,
    suspended: bool,
    warm: bool,
    boots: BTreeMap<SocketAddr, u32>,
    faults: Vec<String>,
}

fn replica(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::from(at) % REPLICAS + 1))
}

fn all() -> Vec<SocketAddr> {
    (0..REPLICAS as u8).map(replica).collect()
}

fn limits(warm: bool) -> Limits {
    let base = Limits {
        slots: 3,
        cold_limit: 1,
        warmup: Span::from_ms(50),
        ..Limits::default()
    };
    if warm {
        return Limits {
            cold_limit: base.slots,
            warmup: Span::ZERO,
            ..base
        };
    }
    base
}

impl World {
    fn assign(&mut self) {
        let limits = limits(self.warm);
        let assignments = all().into_iter().map(|replica| Assignment {
            replica,
            service: "desk".into(),
            hedge: Hedge::default(),
            siblings: all()
                .into_iter()
                .filter(|other| *other != replica)
                .collect(),
            limits,
            domain_in: !self.out.contains(&replica),
            boot: None,
            hold: Span::ZERO,
        });
        self.suspended = false;
        let actions = self
            .owner
            .assign(self.now, &assignments.collect::<Vec<_>>());
        self.take(actions);
    }

    fn ask(&mut self, pick: u8) {
        let ask = self.asked.len() as u64;
        self.asked.insert(ask);
        let method = if pick.is_multiple_of(5) {
            "POST"
        } else {
            "GET"
        };
        let caller = if pick.is_multiple_of(2) { "a" } else { "b" };
        let (service, method) = ("desk".into(), method.to_owned());
        let request = Request {
            caller: caller.into(),
            service,
            method,
            ..Request::default()
        };
        let alternatives = all()
            .into_iter()
            .filter(|other| *other != replica(pick))
            .collect();
        let subrequest = Subrequest {
            id: ask,
            replica: replica(pick),
            alternatives,
            pin: None,
        };
        let batch = Batch {
            request: Arc::new(request),
            time_left: Span::from_ms(20 + u64::from(pick)),
            priority: pick % 10,
            exclusive: pick.is_multiple_of(11),
            subrequests: vec![subrequest],
        };
        let actions = self.owner.on_batch(self.now, &"entry".into(), &batch);
        self.take(actions);
    }

    fn done(&mut self, kind: u8, pick: u8) {
        let at = usize::from(pick) % self.calls.len().max(1);
        let Some((ticket, replica)) = self.calls.iter().nth(at).map(|(t, r)| (*t, *r)) else {
            return;
        };
        self.calls.remove(&ticket);
        let boot = self.boots.entry(replica).or_default();
        let exchange = match kind % 8 {
            0 => Exchange::Broken,
            1 => Exchange::NotSent,
            2 => Exchange::BadAnswer,
            3 => Exchange::StaleConnection,
            kind => Exchange::Answered {
                answer: Answer {
                    status: 200,
                    ..Answer::default()
                },
                boot: Some(boot.to_string().as_str().into()),
                draining: kind == 4 && pick.is_multiple_of(3),
                shed: kind == 5 && pick.is_multiple_of(3),
            },
        };
        let actions = self.owner.on_exchange(self.now, ticket, exchange);
        self.take(actions);
    }

    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call(call) => {
                    if self.suspended || self.out.contains(&call.replica) {
                        self.faults
                            .push(format!("sent to {} which is closed", call.replica));
                    }
                    self.calls.insert(call.ticket, call.replica);
                    self.check_limit(call.replica);
                }
                Action::Abort(ticket) => drop(self.calls.remove(&ticket)),
                Action::Reply { id, .. } => *self.replied.entry(id).or_default() += 1,
                _ => {}
            }
        }
    }

    fn check_limit(&mut self, replica: SocketAddr) {
        let running = self
            .calls
            .values()
            .filter(|other| **other == replica)
            .count();
        let cold = self.now < Time::from_us(limits(self.warm).warmup.as_us());
        let limit = if cold {
            limits(self.warm).cold_limit
        } else {
            limits(self.warm).slots
        };
        if running > limit as usize {
            self.faults
                .push(format!("{running} at {replica} with limit {limit}"));
        }
    }

    fn step(&mut self, (kind, pick): Step) {
        match kind % 16 {
            0 => drop(self.out.insert(replica(pick))),
            1 => drop(self.out.remove(&replica(pick))),
            2 => {
                let actions = self.owner.disown_all();
                self.suspended = true;
                self.take(actions);
                return;
            }
            3 => *self.boots.entry(replica(pick)).or_default() += 1,
            4..=7 => self.ask(pick),
            8..=12 => self.done(kind / 16, pick),
            _ => {
                self.now = self.now.after(Span::from_ms(u64::from(pick % 16)));
                let actions = self.owner.tick(self.now);
                self.take(actions);
            }
        }
        if kind % 16 <= 1 {
            self.assign();
        }
    }
}

fn run(script: &[Step], warm: bool) -> World {
    let mut world = World {
        warm,
        ..World::default()
    };
    world.assign();
    script.iter().for_each(|step| world.step(*step));
    for _ in 0..2_000 {
        world.now = world.now.after(Span::from_ms(1));
        let actions = world.owner.tick(world.now);
        world.take(actions);
    }
    world
}

fn limits_hold(script: Vec<Step>) -> TestResult {
    let world = run(&script, false);
    match world.faults.first() {
        Some(fault) => TestResult::error(fault.clone()),
        None => TestResult::passed(),
    }
}

fn each_has_one_reply(script: Vec<Step>, warm: bool) -> TestResult {
    let world = run(&script, warm);
    let wrong = world
        .asked
        .iter()
        .find(|ask| world.replied.get(ask) != Some(&1));
    match wrong {
        Some(ask) => TestResult::error(format!("{ask}: {:?} replies", world.replied.get(ask))),
        None => TestResult::passed(),
    }
}

#[test]
fn servers_get_no_more_than_they_bear_and_nothing_while_closed() {
    check(31, 400, 3_000, limits_hold as fn(Vec<Step>) -> TestResult);
}

#[test]
fn each_sub_request_has_one_reply() {
    check(
        32,
        400,
        3_000,
        each_has_one_reply as fn(Vec<Step>, bool) -> TestResult,
    );
}
