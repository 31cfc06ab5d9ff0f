//! The register under loss, reordering, duplication, crashes and lost disks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use quickcheck::TestResult;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::job::Token;
use wagtailbeam_decision::job::Verdict;
use wagtailbeam_decision::register::Acceptance;
use wagtailbeam_decision::register::Change;
use wagtailbeam_decision::register::Decision;
use wagtailbeam_decision::register::Key;
use wagtailbeam_decision::register::Value;
use wagtailbeam_decision::voter::Mode;

use crate::check;
use crate::group::Group;

/// One step of a script: what happens, and to whom.
type Step = (u8, u8);

/// Disk faults in a script.
#[derive(Clone, Copy, PartialEq)]
enum Disks {
    Whole,
    Lost,
}

/// A job that several attempts claim.
fn job() -> Key {
    Key::Job(Digest::of(b"visit"))
}

/// Runs a script with racing files and claims; returns the tickets' changes.
fn run(count: usize, script: &[Step], disks: Disks) -> (Group, BTreeMap<u64, Change>) {
    let mut group = Group::new(count);
    assert!(group.settle());
    let mut changes = BTreeMap::new();
    for (at, (kind, pick)) in script.iter().enumerate() {
        let (who, ticket) = (usize::from(*pick) % count, at as u64);
        match kind % 32 {
            0 => group.crash(who),
            1 | 2 => group.start(who),
            3 => group.drop_message(usize::from(*pick)),
            4 => group.deliver(usize::from(*pick), true),
            5 if disks == Disks::Lost => group.lose_disk(who),
            6 => group.pass(Span::from_ms(u64::from(*pick))),
            7 => group.pass(Span::from_ms(160)),
            8 => {
                let text = format!("file {ticket}").into();
                let change = Change::Apply {
                    version: 1 + ticket / 40,
                    text,
                };
                changes.insert(ticket, change.clone());
                group.propose(who, ticket, Key::File, change);
            }
            9 => {
                let token = Token(u128::from(ticket));
                let change = Change::Claim {
                    token,
                    body: Digest::of(b"body"),
                };
                changes.insert(ticket, change.clone());
                group.propose(who, ticket, job(), change);
            }
            10..=15 => group.sync(who),
            _ => group.deliver(usize::from(*pick), false),
        }
        group.pass(Span::from_us(500));
    }
    (group, changes)
}

/// Versions that operators were told are accepted, with the digests.
fn accepted(group: &Group, changes: &BTreeMap<u64, Change>) -> BTreeSet<(u64, Digest)> {
    let told = group.decided.iter().filter(|(_, decision)| {
        matches!(
            decision,
            Decision::File(Acceptance::Accepted | Acceptance::Already)
        )
    });
    let pairs = told.filter_map(|(ticket, _)| match changes.get(ticket)? {
        Change::Apply { version, text } => Some((*version, Digest::of(text.as_bytes()))),
        _ => None,
    });
    pairs.collect()
}

fn files_hold(count: usize, script: &[Step], disks: Disks) -> TestResult {
    let (mut group, changes) = run(count, script, disks);
    let read = group.heal_and_read(Key::File);
    let told = accepted(&group, &changes);
    let history = match read {
        Some(Decision::Value(Some(Value::File(file)))) => file.history.clone(),
        Some(Decision::Value(None)) => Vec::new(),
        _ => return TestResult::error("the healed group decides nothing"),
    };
    let versions = history
        .iter()
        .map(|(version, _)| version)
        .collect::<BTreeSet<_>>();
    if versions.len() != history.len() {
        return TestResult::error(format!("two files of one version: {history:?}"));
    }
    match told.iter().find(|accepted| !history.contains(accepted)) {
        Some(lost) => TestResult::error(format!("accepted and lost: {lost:?} of {history:?}")),
        None => TestResult::passed(),
    }
}

fn claims_hold(count: usize, script: &[Step], disks: Disks) -> TestResult {
    let (mut group, _) = run(count, script, disks);
    let read = group.heal_and_read(job());
    if !matches!(read, Some(Decision::Value(_))) {
        return TestResult::error("the healed group decides nothing");
    }
    let won = group
        .decided
        .iter()
        .filter(|(_, d)| *d == Decision::Job(Verdict::Won));
    let won = won.map(|(ticket, _)| *ticket).collect::<BTreeSet<_>>();
    if won.len() > 1 {
        return TestResult::error(format!("attempts {won:?} all hold one claim"));
    }
    TestResult::passed()
}

#[test]
fn accepted_files_survive_crashes_and_races() {
    let property = |script: Vec<Step>| files_hold(3, &script, Disks::Whole);
    check(11, 1_000, 2_000, property as fn(Vec<Step>) -> TestResult);
}

#[test]
fn accepted_files_survive_a_lost_disk_at_a_time() {
    let property = |script: Vec<Step>| files_hold(3, &script, Disks::Lost);
    check(12, 1_000, 3_000, property as fn(Vec<Step>) -> TestResult);
}

#[test]
fn accepted_files_survive_lost_disks_among_five() {
    let property = |script: Vec<Step>| files_hold(5, &script, Disks::Lost);
    check(13, 1_200, 1_000, property as fn(Vec<Step>) -> TestResult);
}

#[test]
fn one_attempt_at_most_holds_a_claim() {
    let property = |script: Vec<Step>| claims_hold(3, &script, Disks::Lost);
    check(14, 1_000, 2_000, property as fn(Vec<Step>) -> TestResult);
}

/// A voter that comes back with an older disk is found out by the others.
#[test]
fn an_older_disk_does_not_vote_before_repair() {
    let mut group = Group::new(3);
    assert!(group.settle());
    let old = group.disks[1].clone();
    for version in 1..=20 {
        let text = format!("file {version}").into();
        group.propose(0, version, Key::File, Change::Apply { version, text });
        assert!(group.settle());
        (0..50).for_each(|_| group.sync_all_and_deliver());
    }
    group.crash(1);
    group.disks[1] = old;
    group.start(1);
    let mut repaired = false;
    for _ in 0..200 {
        group.sync_all_and_deliver();
        repaired |= group.voters[1].as_ref().unwrap().mode() == Mode::Repairing;
    }
    assert!(repaired);
    assert!(group.settle());
    group.crash(0);
    let held = group.voters[1]
        .as_ref()
        .unwrap()
        .accepted(&Key::File)
        .cloned();
    assert!(matches!(held, Some(Value::File(file)) if file.version == 20));
}

/// An isolated voter accepts nothing.
#[test]
fn an_isolated_voter_decides_nothing() {
    let mut group = Group::new(3);
    assert!(group.settle());
    group.crash(1);
    group.crash(2);
    group.messages.clear();
    group.propose(
        0,
        1,
        Key::File,
        Change::Apply {
            version: 1,
            text: "file".into(),
        },
    );
    for _ in 0..4_000 {
        group.pass(Span::from_ms(1));
        group.sync(0);
    }
    assert_eq!(group.decided, [(1, Decision::Unknown)]);
}

/// A voter whose sync failed votes no more, and the others go on.
#[test]
fn a_failed_sync_ends_voting() {
    let mut group = Group::new(3);
    assert!(group.settle());
    group.voters[0].as_mut().unwrap().fail();
    group.propose(
        1,
        1,
        Key::File,
        Change::Apply {
            version: 1,
            text: "file".into(),
        },
    );
    (0..400).for_each(|_| group.sync_all_and_deliver());
    assert_eq!(group.decided, [(1, Decision::File(Acceptance::Accepted))]);
    assert!(
        group.voters[0]
            .as_ref()
            .unwrap()
            .accepted(&Key::File)
            .is_none()
    );
}

/// Losing a second disk right after a reported repair loses nothing.
#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut group = Group::new(3);
    assert!(group.settle());
    group.propose(
        0,
        1,
        Key::File,
        Change::Apply {
            version: 1,
            text: "file".into(),
        },
    );
    (0..400).for_each(|_| group.sync_all_and_deliver());
    group.lose_disk(0);
    group.start(0);
    assert!(group.settle());
    group.lose_disk(1);
    group.crash(2);
    group.crash(1);
    let held = group.voters[0].as_ref().unwrap().accepted(&Key::File);
    assert!(matches!(held, Some(Value::File(file)) if file.version == 1));
}

/// A promise of a voter's earlier disk doesn't count: a proposer that holds one
/// must not overwrite what was decided after the voter's repair.
#[test]
fn a_promise_of_a_lost_disk_is_void() {
    let mut group = Group::new(5);
    assert!(group.settle());
    group.messages.clear();
    let apply = |text: &str| Change::Apply {
        version: 1,
        text: text.into(),
    };
    group.propose(0, 1, Key::File, apply("first"));
    group.pass(Span::from_ms(200));
    group.deliver_among(|from, to| (from, to) == (0, 1) || (from, to) == (1, 0));
    let held = std::mem::take(&mut group.messages);
    group.frozen = Some(0);
    group.lose_disk(1);
    group.start(1);
    for _ in 0..1_500 {
        group.pass(Span::from_ms(1));
        group.deliver_among(|from, to| from != 0 && to != 0);
    }
    group.messages.clear();
    assert_eq!(group.voters[1].as_ref().unwrap().mode(), Mode::Voting);
    group.propose(3, 2, Key::File, apply("second"));
    group.deliver_among(|from, to| ![0, 2].contains(&from) && ![0, 2].contains(&to));
    assert_eq!(group.decided, [(2, Decision::File(Acceptance::Accepted))]);
    group.messages = held;
    group.deliver_among(|from, to| from <= 2 && to <= 2);
    let told = group
        .decided
        .iter()
        .filter(|(_, decision)| matches!(decision, Decision::File(Acceptance::Accepted)));
    assert_eq!(
        told.count(),
        1,
        "two files of version 1 accepted: {:?}",
        group.decided
    );
}
