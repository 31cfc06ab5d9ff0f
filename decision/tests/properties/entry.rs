//! Entry role: guards against requests that are answered twice or never, or that send
//! sub-requests without end, when owners refuse or fail them at once.

use std::sync::Arc;

use quickcheck::TestResult;
use wagtailbeam_decision::account::Account;
use wagtailbeam_decision::account::Directory;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::entry::Action;
use wagtailbeam_decision::entry::Entry;
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

/// Sub-requests that one request may send without time passing.
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
    let caller = Account {
        name: "a".into(),
        keys: vec![Digest::default()],
        services: vec!["desk".into()],
        ..Account::default()
    };
    let services = [(service.name.clone(), service)].into();
    let callers = Directory::new([caller]).expect("a sound account");
    Arc::new(Manifest {
        version: 1,
        services,
        callers,
        ..Manifest::default()
    })
}

fn outcome(kind: u8) -> Outcome {
    match kind % 8 {
        0 => Outcome::not_run(Cause::Stalled),
        1 => Outcome::not_run(Cause::NotOwner),
        2 => Outcome::not_run(Cause::Overloaded),
        3 => Outcome::maybe_ran(Cause::ServerFailed),
        4 => Outcome::maybe_ran(Cause::OwnerLost),
        5 => Outcome::IndexMismatch {
            index: Some(u64::from(kind % 3)),
        },
        _ => Outcome::Answered(Answer {
            status: 200,
            index: Some(u64::from(kind % 3)),
            ..Answer::default()
        }),
    }
}

fn request_gets_one_answer(kinds: Vec<u8>) -> TestResult {
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
    let mut actions = entry.on_request(now, 7, Arc::new(request), &Table::default());
    let (mut sent, mut answers) = (0, 0);
    for step in 0..200 {
        while let Some(action) = actions.pop() {
            match action {
                Action::Send(_, batch) => {
                    for subrequest in batch.subrequests {
                        sent += 1;
                        if sent > SENT_MAX {
                            return TestResult::error("sub-requests without end");
                        }
                        let kind = kinds[sent % kinds.len()];
                        let replica = Some(
                            subrequest
                                .alternatives
                                .first()
                                .copied()
                                .unwrap_or(subrequest.replica),
                        );
                        actions.extend(entry.on_outcome(
                            now,
                            subrequest.id,
                            replica,
                            outcome(kind),
                        ));
                    }
                }
                Action::RequestCanary(id, _) => {
                    actions.extend(entry.on_ruling(now, id, Ruling::Go))
                }
                Action::Answer(..) => answers += 1,
                Action::Cancel(..) | Action::Propose(..) | Action::CanaryEnded(..) => {}
            }
        }
        sent = 0;
        now = Time::from_us(1_000 * (step + 1));
        actions = entry.tick(now);
    }
    TestResult::from_bool(answers == 1 && entry.pending() == 0)
}

#[test]
fn each_request_gets_exactly_one_answer() {
    check(
        71,
        30,
        3_000,
        request_gets_one_answer as fn(Vec<u8>) -> TestResult,
    );
}

/// Guards against requests that a stopping daemon takes and then cuts without an answer: servers are
/// silent, and the deadlines lie after the end of the stop.
#[test]
fn a_stopping_daemon_answers_each_request_that_it_took() {
    let mut entry = Entry::new(1);
    let host = Candidate {
        host: "entry-1".into(),
        domain: "z".into(),
    };
    entry.update(&manifest(), &[host], Spread::SameHost);
    let request = Request {
        caller: "a".into(),
        service: "desk".into(),
        method: "GET".to_owned(),
        ..Request::default()
    };
    let request = Arc::new(request);
    let end = Time::from_us(300_000);
    entry.on_request(Time::from_us(1), 7, request.clone(), &Table::default());
    entry.end_by(end);
    entry.on_request(Time::from_us(200_000), 8, request, &Table::default());
    assert_eq!(entry.pending(), 2);
    let answers = entry.tick(end);
    let answers = answers.iter().filter_map(|action| match action {
        Action::Answer(id, _) => Some(*id),
        _ => None,
    });
    assert_eq!(answers.collect::<Vec<_>>(), [7, 8]);
    assert_eq!(entry.pending(), 0);
}
