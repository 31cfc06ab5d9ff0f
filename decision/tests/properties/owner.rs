//! Owner role: guards against a replica over its limit, work sent to a replica that is
//! out or given up, and sub-requests with no reply or several. Scripts mix batches, ended
//! calls, time, restarts of servers, failure domains that go out, and lost leases.

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
use wagtailbeam_decision::quota::Statement;
use wagtailbeam_decision::request::Answer;
use wagtailbeam_decision::request::Batch;
use wagtailbeam_decision::request::Request;
use wagtailbeam_decision::request::Subrequest;

use crate::check;

/// Replicas of the one shard.
const REPLICAS: u16 = 3;

/// Time for which a replica that sheds may want no requests.
const PAUSE: Span = Span::from_ms(40);

/// One step of a script: kind of event, and a number that picks the replica, call or
/// time.
type Step = (u8, u8);

#[derive(Default)]
struct Harness {
    now: Time,
    owner: Owner,
    sent: BTreeSet<u64>,
    replied: BTreeMap<u64, u32>,
    calls: BTreeMap<Ticket, SocketAddr>,
    replicas_out: BTreeSet<SocketAddr>,
    disowned: bool,
    warm: bool,
    boots: BTreeMap<SocketAddr, u32>,
    /// Replicas that want no requests: their run, and until when; for good without a time.
    silent: BTreeMap<SocketAddr, (u32, Option<Time>)>,
    violations: Vec<String>,
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

impl Harness {
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
            domain_in: !self.replicas_out.contains(&replica),
            boot: None,
            limit: None,
            senders: 1,
            takeover_delay: Span::ZERO,
        });
        self.disowned = false;
        let actions = self
            .owner
            .assign(self.now, &assignments.collect::<Vec<_>>());
        self.apply(actions);
    }

    fn send_batch(&mut self, pick: u8) {
        let id = self.sent.len() as u64;
        self.sent.insert(id);
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
            id,
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
        self.apply(actions);
    }

    fn end_call(&mut self, kind: u8, pick: u8) {
        let at = usize::from(pick) % self.calls.len().max(1);
        let Some((ticket, replica)) = self.calls.iter().nth(at).map(|(t, r)| (*t, *r)) else {
            return;
        };
        self.calls.remove(&ticket);
        let boot = *self.boots.entry(replica).or_default();
        let exchange = match kind % 8 {
            0 if pick.is_multiple_of(2) => Exchange::Ended,
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
                limit: Statement::Unlimited,
                pause: (kind == 5 && pick.is_multiple_of(6)).then_some(PAUSE),
            },
        };
        if let Exchange::Answered {
            draining, pause, ..
        } = &exchange
        {
            self.record_silence(replica, boot, *draining, *pause);
        }
        let actions = self.owner.on_exchange(self.now, ticket, exchange);
        self.apply(actions);
    }

    /// Records what an answer says. A replica that is leaving stays so.
    fn record_silence(&mut self, at: SocketAddr, boot: u32, draining: bool, pause: Option<Span>) {
        let leaving = self.silent.get(&at) == Some(&(boot, None));
        if draining || leaving {
            self.silent.insert(at, (boot, None));
        } else if let Some(pause) = pause {
            self.silent.insert(at, (boot, Some(self.now.after(pause))));
        }
    }

    /// Whether a replica gets a request although its present run wants none.
    fn breaks_silence(&self, replica: &SocketAddr) -> bool {
        let boot = self.boots.get(replica).copied().unwrap_or_default();
        match self.silent.get(replica) {
            Some((run, until)) => *run == boot && until.is_none_or(|until| self.now < until),
            None => false,
        }
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call(call) => {
                    if self.disowned || self.replicas_out.contains(&call.replica) {
                        self.violations
                            .push(format!("sent to {} which is out or given up", call.replica));
                    }
                    if self.breaks_silence(&call.replica) {
                        self.violations
                            .push(format!("sent to {} which wants nothing", call.replica));
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
            self.violations
                .push(format!("{running} at {replica} with limit {limit}"));
        }
    }

    fn step(&mut self, (kind, pick): Step) {
        match kind % 16 {
            0 => drop(self.replicas_out.insert(replica(pick))),
            1 => drop(self.replicas_out.remove(&replica(pick))),
            2 => {
                let actions = self.owner.disown_all();
                self.disowned = true;
                self.apply(actions);
                return;
            }
            3 => *self.boots.entry(replica(pick)).or_default() += 1,
            4..=7 => self.send_batch(pick),
            8..=12 => self.end_call(kind / 16, pick),
            _ => {
                self.now = self.now.after(Span::from_ms(u64::from(pick % 16)));
                let actions = self.owner.tick(self.now);
                self.apply(actions);
            }
        }
        if kind % 16 <= 1 {
            self.assign();
        }
    }
}

fn run(script: &[Step], warm: bool) -> Harness {
    let mut harness = Harness {
        warm,
        ..Harness::default()
    };
    harness.assign();
    script.iter().for_each(|step| harness.step(*step));
    for _ in 0..2_000 {
        harness.now = harness.now.after(Span::from_ms(1));
        let actions = harness.owner.tick(harness.now);
        harness.apply(actions);
    }
    harness
}

fn limits_are_kept(script: Vec<Step>) -> TestResult {
    let harness = run(&script, false);
    match harness.violations.first() {
        Some(violation) => TestResult::error(violation.clone()),
        None => TestResult::passed(),
    }
}

fn replies_are_unique(script: Vec<Step>, warm: bool) -> TestResult {
    let harness = run(&script, warm);
    let wrong = harness
        .sent
        .iter()
        .find(|id| harness.replied.get(id) != Some(&1));
    match wrong {
        Some(id) => TestResult::error(format!("{id}: {:?} replies", harness.replied.get(id))),
        None => TestResult::passed(),
    }
}

#[test]
fn no_replica_exceeds_its_limit_or_gets_work_while_out() {
    check(
        31,
        400,
        3_000,
        limits_are_kept as fn(Vec<Step>) -> TestResult,
    );
}

#[test]
fn each_sub_request_gets_exactly_one_reply() {
    check(
        32,
        400,
        3_000,
        replies_are_unique as fn(Vec<Step>, bool) -> TestResult,
    );
}
