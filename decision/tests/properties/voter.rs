//! Properties of the register under lost, reordered and duplicated messages, crashes and
//! lost disks.

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

/// One step of a script: the kind of event, and a number that picks the voter or message.
type Step = (u8, u8);

/// Whether a script may lose disks.
#[derive(Clone, Copy, PartialEq)]
enum Disks {
    Reliable,
    Lossy,
}

/// Key of the job that several attempts claim.
fn job() -> Key {
    Key::Job(Digest::of(b"visit"))
}

/// Runs a script of concurrent file changes and claims; returns the changes by ticket.
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
            5 if disks == Disks::Lossy => group.lose_disk(who),
            6 => group.advance(Span::from_ms(u64::from(*pick))),
            7 => group.advance(Span::from_ms(160)),
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
        group.advance(Span::from_us(500));
    }
    (group, changes)
}

/// Versions that were reported to operators as accepted, with their digests.
fn accepted_versions(group: &Group, changes: &BTreeMap<u64, Change>) -> BTreeSet<(u64, Digest)> {
    let accepted = group.decided.iter().filter(|(_, decision)| {
        matches!(
            decision,
            Decision::File(Acceptance::Accepted | Acceptance::Already)
        )
    });
    let pairs = accepted.filter_map(|(ticket, _)| match changes.get(ticket)? {
        Change::Apply { version, text } => Some((*version, Digest::of(text.as_bytes()))),
        _ => None,
    });
    pairs.collect()
}

/// Checks that no accepted file is lost and that no two files share a version.
fn check_files(count: usize, script: &[Step], disks: Disks) -> TestResult {
    let (mut group, changes) = run(count, script, disks);
    let read = group.heal_and_read(Key::File);
    let accepted = accepted_versions(&group, &changes);
    let history = match read {
        Some(Decision::Value(Some(Value::File(file)))) => file.history.clone(),
        Some(Decision::Value(None)) => Vec::new(),
        _ => return TestResult::error("the group without faults decides nothing"),
    };
    let versions = history
        .iter()
        .map(|(version, _)| version)
        .collect::<BTreeSet<_>>();
    if versions.len() != history.len() {
        return TestResult::error(format!("two files of one version: {history:?}"));
    }
    match accepted.iter().find(|pair| !history.contains(pair)) {
        Some(lost) => TestResult::error(format!(
            "accepted file lost: {lost:?} is not in {history:?}"
        )),
        None => TestResult::passed(),
    }
}

/// Checks that at most one attempt wins the claim of a job.
fn check_claims(count: usize, script: &[Step], disks: Disks) -> TestResult {
    let (mut group, _) = run(count, script, disks);
    let read = group.heal_and_read(job());
    if !matches!(read, Some(Decision::Value(_))) {
        return TestResult::error("the group without faults decides nothing");
    }
    let won = group
        .decided
        .iter()
        .filter(|(_, d)| *d == Decision::Job(Verdict::Won));
    let won = won.map(|(ticket, _)| *ticket).collect::<BTreeSet<_>>();
    if won.len() > 1 {
        return TestResult::error(format!("several attempts hold one claim: {won:?}"));
    }
    TestResult::passed()
}

#[test]
fn accepted_files_survive_crashes_and_races() {
    let property = |script: Vec<Step>| check_files(3, &script, Disks::Reliable);
    check(11, 1_000, 2_000, property as fn(Vec<Step>) -> TestResult);
}

#[test]
fn accepted_files_survive_one_lost_disk_at_a_time() {
    let property = |script: Vec<Step>| check_files(3, &script, Disks::Lossy);
    check(12, 1_000, 3_000, property as fn(Vec<Step>) -> TestResult);
}

#[test]
fn accepted_files_survive_lost_disks_in_a_group_of_five() {
    let property = |script: Vec<Step>| check_files(5, &script, Disks::Lossy);
    check(13, 1_200, 1_000, property as fn(Vec<Step>) -> TestResult);
}

#[test]
fn at_most_one_attempt_holds_a_claim() {
    let property = |script: Vec<Step>| check_claims(3, &script, Disks::Lossy);
    check(14, 1_000, 2_000, property as fn(Vec<Step>) -> TestResult);
}

/// A voter restarts with an old copy of its disk, whose promises and values are outdated.
/// The others report more synced records, so it must repair itself before it votes.
#[test]
fn an_outdated_disk_is_repaired_before_its_voter_votes() {
    let mut group = Group::new(3);
    assert!(group.settle());
    let old = group.disks[1].clone();
    for version in 1..=20 {
        let text = format!("file {version}").into();
        group.propose(0, version, Key::File, Change::Apply { version, text });
        assert!(group.settle());
        (0..50).for_each(|_| group.step_without_faults());
    }
    group.crash(1);
    group.disks[1] = old;
    group.start(1);
    let mut repaired = false;
    for _ in 0..200 {
        group.step_without_faults();
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

/// A voter without a majority must end its proposals as unknown instead of deciding alone.
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
        group.advance(Span::from_ms(1));
        group.sync(0);
    }
    assert_eq!(group.decided, [(1, Decision::Unknown)]);
}

/// A voter whose sync failed can no longer keep its promises: it must not accept values.
/// The other two continue to decide proposals.
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
    (0..400).for_each(|_| group.step_without_faults());
    assert_eq!(group.decided, [(1, Decision::File(Acceptance::Accepted))]);
    assert!(
        group.voters[0]
            .as_ref()
            .unwrap()
            .accepted(&Key::File)
            .is_none()
    );
}

/// A voter must report its repair as done only after the restored state is on its own disk,
/// or the loss of a second disk right after it would lose the accepted file.
#[test]
fn a_second_lost_disk_right_after_a_repair_loses_nothing() {
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
    (0..400).for_each(|_| group.step_without_faults());
    group.lose_disk(0);
    group.start(0);
    assert!(group.settle());
    group.lose_disk(1);
    group.crash(2);
    group.crash(1);
    let held = group.voters[0].as_ref().unwrap().accepted(&Key::File);
    assert!(matches!(held, Some(Value::File(file)) if file.version == 1));
}

/// A proposer holds a promise of a voter that then loses its disk and repairs itself. The
/// promise must not count, or the proposer overwrites what was decided after the repair.
#[test]
fn a_promise_from_a_lost_disk_does_not_count() {
    let mut group = Group::new(5);
    assert!(group.settle());
    group.messages.clear();
    let apply = |text: &str| Change::Apply {
        version: 1,
        text: text.into(),
    };
    group.propose(0, 1, Key::File, apply("first"));
    group.advance(Span::from_ms(200));
    group.deliver_among(|from, to| (from, to) == (0, 1) || (from, to) == (1, 0));
    let held = std::mem::take(&mut group.messages);
    group.paused = Some(0);
    group.lose_disk(1);
    group.start(1);
    for _ in 0..1_500 {
        group.advance(Span::from_ms(1));
        group.deliver_among(|from, to| from != 0 && to != 0);
    }
    group.messages.clear();
    assert_eq!(group.voters[1].as_ref().unwrap().mode(), Mode::Voting);
    group.propose(3, 2, Key::File, apply("second"));
    group.deliver_among(|from, to| ![0, 2].contains(&from) && ![0, 2].contains(&to));
    assert_eq!(group.decided, [(2, Decision::File(Acceptance::Accepted))]);
    group.messages = held;
    group.deliver_among(|from, to| from <= 2 && to <= 2);
    let accepted = group
        .decided
        .iter()
        .filter(|(_, decision)| matches!(decision, Decision::File(Acceptance::Accepted)));
    assert_eq!(
        accepted.count(),
        1,
        "two files of version 1 accepted: {:?}",
        group.decided
    );
}
