//! Query: guards against an answer that mixes index versions, or that neither contains a
//! shard nor lists it as missing, whatever outcomes arrive.

use std::collections::BTreeSet;
use std::sync::Arc;

use quickcheck::TestResult;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::manifest::Service;
use wagtailbeam_decision::manifest::Shard;
use wagtailbeam_decision::query::Next;
use wagtailbeam_decision::query::Query;
use wagtailbeam_decision::query::Reply;
use wagtailbeam_decision::request::Answer;
use wagtailbeam_decision::request::Cause;
use wagtailbeam_decision::request::Outcome;
use wagtailbeam_decision::request::Request;

use crate::check;

/// Shards of the service.
const SHARDS: usize = 6;

/// One outcome: part, kind of outcome, index version.
type Step = (u8, u8, u8);

fn query() -> Query {
    let shard = |at: usize| Shard {
        name: format!("{at:02}").as_str().into(),
        replicas: Vec::new(),
    };
    let service = Service {
        name: "desk".into(),
        shards: (0..SHARDS).map(shard).collect(),
        deadline: Span::from_ms(100),
        deadline_max: Span::from_ms(100),
        ..Service::default()
    };
    let request = Request {
        method: "GET".to_owned(),
        ..Request::default()
    };
    let shards = (0..SHARDS).collect();
    Query::new(
        Time::default(),
        Arc::new(request),
        Arc::new(service),
        shards,
    )
}

fn outcome(kind: u8, index_byte: u8) -> Outcome {
    let index = Some(u64::from(index_byte % 3));
    match kind % 6 {
        0 => Outcome::IndexMismatch { index },
        1 => Outcome::not_run(Cause::Overloaded),
        2 => Outcome::maybe_ran(Cause::OwnerLost),
        3 => Outcome::Answered(Answer {
            status: 500,
            index,
            ..Answer::default()
        }),
        _ => {
            let body = (index_byte % 3).to_string().into();
            Outcome::Answered(Answer {
                status: 200,
                index,
                body,
                ..Answer::default()
            })
        }
    }
}

fn reply_is_consistent(steps: Vec<Step>) -> TestResult {
    let mut query = query();
    for (id, (part, kind, index)) in steps.iter().enumerate() {
        let part = usize::from(*part) % SHARDS;
        query.parts[part].attempts.insert(id as u64, 0);
        query.attempt_count += 1;
        query.record(Time::from_us(1), part, id as u64, outcome(*kind, *index));
        if let Next::Finish = query.next_step(Time::from_us(2)) {
            break;
        }
    }
    let Reply::Answers(answers) = query.reply(Span::ZERO) else {
        return TestResult::passed();
    };
    let snapshot = answers
        .snapshot
        .map(|index| index.to_string())
        .unwrap_or_default();
    let mixed = answers
        .results
        .iter()
        .any(|(_, body)| **body != *snapshot.as_bytes());
    let answered = answers.results.iter().map(|(shard, _)| shard.clone());
    let missing = answers.missing.iter().map(|(shard, _)| shard.clone());
    let named = answered.chain(missing).collect::<BTreeSet<_>>();
    let listed = answers.results.len() + answers.missing.len();
    TestResult::from_bool(!mixed && named.len() == SHARDS && listed == SHARDS)
}

#[test]
fn an_answer_has_one_index_version_and_lists_every_shard() {
    check(
        41,
        60,
        5_000,
        reply_is_consistent as fn(Vec<Step>) -> TestResult,
    );
}
