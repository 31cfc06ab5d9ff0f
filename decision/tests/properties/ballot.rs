//! Ballots that a voter loses in a crash after the others have decided them.

use std::collections::BTreeSet;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::register::Acceptance;
use wagtailbeam_decision::register::Change;
use wagtailbeam_decision::register::Decision;
use wagtailbeam_decision::register::Key;
use wagtailbeam_decision::register::Value;
use wagtailbeam_decision::voter::Ballot;
use wagtailbeam_decision::voter::Body;
use wagtailbeam_decision::voter::Message;

use crate::group::Group;

/// A change of the file to this version.
fn file(version: u64) -> Change {
    let text = format!("file {version}").into();
    Change::Apply { version, text }
}

/// Has voter 0 of five decide version 1 without its disk, which is full, and restarts it after a
/// crash.
fn decide_without_own_disk(group: &mut Group) {
    assert!(group.settle());
    group.messages.clear();
    group.full = Some(0);
    group.propose(0, 1, Key::File, file(1));
    group.deliver_among(|_, _| true);
    assert_eq!(group.decided, [(1, Decision::File(Acceptance::Accepted))]);
    group.crash(0);
    group.full = None;
    group.start(0);
    assert!(group.settle());
    group.messages.clear();
}

/// Ballots that voter 0 has proposed in the messages under way.
fn proposed(group: &Group) -> BTreeSet<Ballot> {
    let bodies = group.messages.iter().map(|(_, message)| &message.body);
    let ballots = bodies.filter_map(|body| match body {
        Body::Prepare(_, ballot, _) if ballot.voter == 0 => Some(*ballot),
        _ => None,
    });
    ballots.collect()
}

/// A voter loses its promise in a crash after the others decided its ballot. It must not decide
/// another value under the same number, or a voter that missed that value makes the first one come
/// back.
#[test]
fn a_value_decided_after_a_forgotten_ballot_is_read_by_all_majorities() {
    let mut group = Group::new(5);
    decide_without_own_disk(&mut group);
    group.crash(4);
    group.propose(0, 2, Key::File, file(2));
    (0..400).for_each(|_| group.step_without_faults());
    assert!(
        group
            .decided
            .contains(&(2, Decision::File(Acceptance::Accepted)))
    );
    group.start(4);
    assert!(group.settle());
    for (ticket, pair) in (100..).zip([[0, 1], [0, 2], [0, 3], [1, 2], [1, 3], [2, 3]]) {
        let mut trial = group.clone();
        trial.messages.clear();
        let is_in = |at: usize| at == 4 || pair.contains(&at);
        trial.propose(4, ticket, Key::File, Change::Read);
        for _ in 0..400 {
            trial.advance(Span::from_ms(1));
            trial.deliver_among(|from, to| is_in(from) && is_in(to));
        }
        let read = trial.decided.last().map(|(_, decision)| decision.clone());
        assert!(
            matches!(&read, Some(Decision::Value(Some(Value::File(file)))) if file.version == 2),
            "voter 4 reads {read:?} with {pair:?}"
        );
    }
}

/// A voter that forgot a ballot must not give out its number again: acceptors of earlier builds
/// promise it a second time.
#[test]
fn a_restarted_voter_gives_out_no_ballot_of_its_former_lifetime() {
    let mut group = Group::new(5);
    assert!(group.settle());
    group.messages.clear();
    group.full = Some(0);
    group.propose(0, 1, Key::File, file(1));
    let before = proposed(&group);
    group.crash(0);
    group.full = None;
    group.start(0);
    assert!(group.settle());
    group.messages.clear();
    group.propose(0, 2, Key::File, file(2));
    let after = proposed(&group);
    assert_eq!((before.len(), after.len()), (1, 1));
    assert!(before.is_disjoint(&after), "{before:?} given out again");
}

/// A voter of an earlier build that forgot a ballot gives out its number again. A voter that has
/// promised it must reject that, or it may hold another value under one number.
#[test]
fn a_ballot_is_promised_once() {
    let mut group = Group::new(3);
    assert!(group.settle());
    group.messages.clear();
    group.propose(0, 1, Key::File, file(1));
    let prepare =
        |(to, message): &&(u8, Message)| *to == 1 && matches!(message.body, Body::Prepare(..));
    let (_, prepare) = group.messages.iter().find(prepare).cloned().unwrap();
    let answers = (0..2).map(|_| {
        group.messages = vec![(1, prepare.clone())];
        group.deliver(0, false);
        group.sync(1);
        group
            .messages
            .iter()
            .map(|(_, message)| match message.body {
                Body::Promise(..) => "promise",
                Body::Reject(..) => "reject",
                _ => "other",
            })
            .collect::<Vec<_>>()
    });
    assert_eq!(answers.collect::<Vec<_>>(), [["promise"], ["reject"]]);
}
