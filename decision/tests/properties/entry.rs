//! The entry: each request has one answer, also if every owner refuses at once.

use std::sync::Arc;

use quickcheck::TestResult;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::entry::Action;
use wagtailbeam_decision::entry::Entry;
use wagtailbeam_decision::manifest::Caller;
use wagtailbeam_decision::manifest::Manifest;
use wagtailbeam_decision::manifest::Replica;
use wagtailbeam_decision::manifest::Service;
use wagtailbeam_decision::manifest::Shard;
use wagtailbeam_decision::placement::Candidate;
use wagtailbeam_decision::placement::Spread;
use wagtailbeam_decision::request::Answer;
use wagtailbeam_decision::request::Cause;
use wagtailbeam_decision::request::Outcome;
use wagtailbeam_decision::request::Request;
use wagtailbeam_decision::suspect::Ruling;
use wagtailbeam_decision::suspect::Table;

use crate::check;

/// Sub-requests that one request may cost without time passing.
const SENT_MAX: usize = 200;

fn manifest() -> Arc<Manifest> {
    let replica = |at: u16| Replica {
        address: ([10, 0, 0, 1], at).into(),
        domain: format!("zone-{}", at % 2).as_str().into(),
    };
    let shard = |at: u16| Shard {
        name: format!("{at:02}").as_str().into(),
        replicas: vec![replica(at * 2), replica(at * 2 + 1)],
    };
    let service = Service {
        name: "desk".into(),
        shards: (0..3).map(shard).collect(),
        deadline: Span::from_ms(100),
        deadline_max: Span::from_ms(100),
        ..Service::default()
    };
    let caller = Caller {
        name: "a".into(),
        key: Digest::default(),
        services: vec!["desk".into()],
        weight: 1,
    };
    let services = [(service.name.clone(), service)].into();
    let callers = [(caller.name.clone(), caller)].into();
    Arc::new(Manifest {
        version: 1,
        services,
        callers,
        ..Manifest::default()
    })
}

fn outcome(kind: u8) -> Outcome {
    match kind % 8 {
        0 => Outcome::refused(Cause::Stalled),
        1 => Outcome::refused(Cause::NotOwner),
        2 => Outcome::refused(Cause::Full),
        3 => Outcome::unsure(Cause::Died),
        4 => Outcome::unsure(Cause::Lost),
        5 => Outcome::Moved {
            index: Some(u64::from(kind % 3)),
        },
        _ => Outcome::Answered(Answer {
            status: 200,
            index: Some(u64::from(kind % 3)),
            ..Answer::default()
        }),
    }
}

fn one_answer_each(kinds: Vec<u8>) -> TestResult {
    let kinds = if kinds.is_empty() { vec![0] } else { kinds };
    let mut entry = Entry::new(1);
    let hosts = ["entry-1", "entry-2"].map(|host| Candidate {
        host: host.into(),
        domain: "z".into(),
    });
    entry.update(&manifest(), &hosts, Spread::SameHost);
    let request = Request {
        caller: "a".into(),
        service: "desk".into(),
        method: "GET".to_owned(),
        ..Request::default()
    };
    let mut now = Time::from_us(1);
    let mut actions = entry.ask(now, 7, Arc::new(request), &Table::default());
    let (mut sent, mut answers) = (0, 0);
    for step in 0..200 {
        while let Some(action) = actions.pop() {
            match action {
                Action::Send(_, batch) => {
                    for piece in batch.pieces {
                        sent += 1;
                        if sent > SENT_MAX {
                            return TestResult::error("sub-requests without end");
                        }
                        let kind = kinds[sent % kinds.len()];
                        let replica = Some(piece.others.first().copied().unwrap_or(piece.replica));
                        actions.extend(entry.outcome(now, piece.ask, replica, outcome(kind)));
                    }
                }
                Action::Arbiter(id, _) => actions.extend(entry.rule(now, id, Ruling::Go)),
                Action::Answer(..) => answers += 1,
                Action::Cancel(..) | Action::Propose(..) | Action::Tried(..) => {}
            }
        }
        sent = 0;
        now = Time::from_us(1_000 * (step + 1));
        actions = entry.tick(now);
    }
    TestResult::from_bool(answers == 1 && entry.load() == 0)
}

#[test]
fn each_request_has_one_answer() {
    check(71, 30, 3_000, one_answer_each as fn(Vec<u8>) -> TestResult);
}
