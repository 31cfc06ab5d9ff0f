//! Runs the scenario scripts in `tests/scenarios` against one owner role and compares the
//! actions printed after each directive with the expected ones.
//!
//! Directives: `assign` sets the owned replicas, `batch` sends a batch of sub-requests,
//! `done` ends calls, `cancel` withdraws a sub-request, `disown-all` gives up all replicas, `wait` lets time pass, `state`
//! prints the limiters.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use datadriven::TestCase;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::exchange::Exchange;
use wagtailbeam_decision::manifest::Hedge;
use wagtailbeam_decision::manifest::Limits;
use wagtailbeam_decision::owner::Action;
use wagtailbeam_decision::owner::Assignment;
use wagtailbeam_decision::owner::Owner;
use wagtailbeam_decision::quota::Statement;
use wagtailbeam_decision::request::Answer;
use wagtailbeam_decision::request::Batch;
use wagtailbeam_decision::request::Outcome;
use wagtailbeam_decision::request::Request;
use wagtailbeam_decision::request::Subrequest;

/// Time between two ticks while a script waits.
const TICK: Span = Span::from_ms(1);

#[derive(Default)]
struct Harness {
    now: Time,
    owner: Owner,
    last_id: u64,
}

fn server(name: &str) -> SocketAddr {
    let number = name
        .trim_start_matches('s')
        .parse::<u16>()
        .unwrap_or_default();
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn name(server: &SocketAddr) -> String {
    format!("s{}", server.port())
}

fn arg(case: &TestCase, key: &str) -> Option<String> {
    case.args
        .get(key)
        .and_then(|values| values.first())
        .cloned()
}

fn number(case: &TestCase, key: &str, or: u64) -> u64 {
    arg(case, key)
        .and_then(|value| value.parse().ok())
        .unwrap_or(or)
}

fn list(case: &TestCase, key: &str) -> Vec<String> {
    case.args.get(key).cloned().unwrap_or_default()
}

impl Harness {
    fn run(&mut self, case: &TestCase) -> String {
        let actions = match case.directive.as_str() {
            "assign" => self.assign(case),
            "batch" => self.send_batch(case),
            "done" => self.end_calls(case),
            "cancel" => self
                .owner
                .cancel(self.now, &"entry".into(), number(case, "id", 0)),
            "disown-all" => self.owner.disown_all(),
            "wait" => self.wait(number(case, "ms", 0)),
            "stall" => self.stall(number(case, "ms", 0)),
            "state" => return self.state(),
            other => return format!("unknown directive {other}\n"),
        };
        print(&actions)
    }

    fn assign(&mut self, case: &TestCase) -> Vec<Action> {
        let all = list(case, "servers")
            .iter()
            .map(|name| server(name))
            .collect::<Vec<_>>();
        let out = list(case, "out")
            .iter()
            .map(|name| server(name))
            .collect::<Vec<_>>();
        let assignments = all.iter().map(|replica| Assignment {
            replica: *replica,
            service: "desk".into(),
            hedge: Hedge {
                quantile: 0.97,
                budget: 0.05,
            },
            siblings: all
                .iter()
                .filter(|other| *other != replica)
                .copied()
                .collect(),
            limits: Limits {
                warmup: Span::from_ms(number(case, "warmup", 0)),
                ..Limits::default()
            },
            domain_in: !out.contains(replica),
            limit: None,
            senders: 1,
            boot: arg(case, "boot").map(|boot| boot.as_str().into()),
            takeover_delay: Span::from_ms(number(case, "takeover-delay", 0)),
        });
        let assignments = assignments.collect::<Vec<_>>();
        self.owner.assign(self.now, &assignments)
    }

    fn send_batch(&mut self, case: &TestCase) -> Vec<Action> {
        let servers = list(case, "servers")
            .iter()
            .map(|name| server(name))
            .collect::<Vec<_>>();
        let request = Request {
            caller: arg(case, "caller")
                .unwrap_or_else(|| "a".to_owned())
                .as_str()
                .into(),
            service: "desk".into(),
            method: arg(case, "method").unwrap_or_else(|| "GET".to_owned()),
            ..Request::default()
        };
        let subrequests = (0..number(case, "count", 1)).map(|_| {
            self.last_id += 1;
            let (replica, alternatives) = (servers[0], servers[1..].to_vec());
            Subrequest {
                id: self.last_id,
                replica,
                alternatives,
                pin: None,
            }
        });
        let batch = Batch {
            subrequests: subrequests.collect(),
            request: Arc::new(request),
            time_left: Span::from_ms(number(case, "time-left", 500)),
            priority: number(case, "priority", 5) as u8,
            exclusive: arg(case, "exclusive").is_some(),
        };
        self.owner.on_batch(self.now, &"entry".into(), &batch)
    }

    fn end_calls(&mut self, case: &TestCase) -> Vec<Action> {
        let boot = arg(case, "boot").unwrap_or_else(|| "b1".to_owned());
        let exchange = match arg(case, "as").as_deref() {
            Some("broken") => Exchange::Broken,
            Some("ended") => Exchange::Ended,
            Some("not-sent") => Exchange::NotSent,
            Some("bad-answer") => Exchange::BadAnswer,
            how => Exchange::Answered {
                answer: Answer {
                    status: 200,
                    ..Answer::default()
                },
                boot: Some(boot.as_str().into()),
                draining: how == Some("draining"),
                shed: how == Some("shed"),
                limit: Statement::Unlimited,
                pause: None,
            },
        };
        let tickets = list(case, "ticket");
        let mut actions = Vec::new();
        for ticket in tickets.iter().filter_map(|ticket| ticket.parse().ok()) {
            actions.extend(self.owner.on_exchange(self.now, ticket, exchange.clone()));
        }
        actions
    }

    fn wait(&mut self, ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..ms {
            self.now = self.now.after(TICK);
            actions.extend(self.owner.tick(self.now));
        }
        actions
    }

    /// Lets time pass in which the process doesn't run, so that timers are handled late.
    fn stall(&mut self, ms: u64) -> Vec<Action> {
        self.now = self.now.after(Span::from_ms(ms));
        self.owner.tick(self.now)
    }

    fn state(&self) -> String {
        let lines = self.owner.replicas().map(|(replica, limiter)| {
            let (name, health) = (name(replica), limiter.health());
            format!(
                "{name} {health} {}/{} waiting {}\n",
                limiter.running(),
                limiter.limit(),
                limiter.waiting()
            )
        });
        lines.collect()
    }
}

fn print(actions: &[Action]) -> String {
    let mut text = String::new();
    for action in actions {
        let line = match action {
            Action::Call(call) => format!("call {} at {}", call.ticket, name(&call.replica)),
            Action::Abort(ticket) => format!("abort {ticket}"),
            Action::Reply {
                id,
                replica,
                outcome: Outcome::Answered(_),
                ..
            } => {
                format!("reply {id} from {}: answered", name(replica))
            }
            Action::Reply {
                id,
                outcome: Outcome::Failed { ran, cause },
                ..
            } => {
                format!("reply {id}: {cause}, ran {ran}")
            }
            Action::Reply {
                id,
                outcome: Outcome::IndexMismatch { .. },
                ..
            } => format!("reply {id}: index mismatch"),
            Action::Health(replica, health, ..) => format!("health {} {health}", name(replica)),
            Action::Probe(replica) => format!("probe {}", name(replica)),
            Action::Suspect(_) => "suspect".to_owned(),
            Action::ReplicaReleased(replica) => format!("released {}", name(replica)),
            Action::CloseConnections(replica) => format!("close connections to {}", name(replica)),
        };
        let _ = writeln!(text, "{line}");
    }
    if text.is_empty() {
        "nothing\n".to_owned()
    } else {
        text
    }
}

#[test]
fn scenarios_print_the_expected_actions() {
    datadriven::walk("tests/scenarios", |file| {
        let mut harnesses: BTreeMap<String, Harness> = BTreeMap::new();
        let name = file.filename.clone();
        file.run(|case| harnesses.entry(name.clone()).or_default().run(case));
    });
}
