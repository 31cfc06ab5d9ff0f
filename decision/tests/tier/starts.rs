//! Faults in the first moments of a group, while some of its voters have no seat yet.

use std::collections::BTreeSet;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng as _;
use rand_chacha::rand_core::SeedableRng as _;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::command::Command;
use wagtailbeam_decision::command::Outcome;

use crate::group::Group;

/// Time between the start of the seeds and that of the other machines.
const SPREAD: Span = Span::from_ms(290);

/// Time between two attempts of the operator.
const ATTEMPT_EVERY: Span = Span::from_ms(20);

/// Time for which a machine is down.
const DOWN: Span = Span::from_secs(1);

/// Time within which a group serves again.
const RECOVERY: Span = Span::from_secs(6);

/// Number of runs with faults at random moments.
const RUNS: u64 = 300;

/// What happens to the machines that lose no disk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Others {
    GoOn,
    LosePower,
}

/// A fault at some time after the first acknowledgement.
#[derive(Clone, Debug)]
struct Fault {
    after: Span,
    wiped: Vec<usize>,
    others: Others,
}

/// A new group whose first configuration has just been acknowledged, and the time that it took. The
/// machines that are no seeds start late, some of them after the acknowledgement.
fn acknowledged(late: Span) -> (Group, Span) {
    let mut group = Group::of(3);
    let begun = group.now;
    let mut attempts = Vec::new();
    loop {
        start_late(&mut group, begun.after(late));
        let turn = attempts.len() % 3;
        attempts.push(group.configure(turn, 1));
        group.advance(ATTEMPT_EVERY);
        let done = |id| matches!(group.answers.get(id), Some(Outcome::Done(_)));
        if attempts.iter().any(done) {
            let took = group.now.since(begun);
            return (group, took);
        }
        assert!(attempts.len() < 500, "not acknowledged");
    }
}

/// Starts the machines that are no seeds once it is time.
fn start_late(group: &mut Group, at: Time) {
    if group.now >= at && group.machines() < 5 {
        [3, 4]
            .into_iter()
            .for_each(|machine| group.add(machine, true));
    }
}

/// The version that is read at some machine after the fault, once service must be back.
fn survivor(late: Span, fault: &Fault) -> Option<u64> {
    let (mut group, took) = acknowledged(late);
    let start = group.now.after(late.saturating_sub(took));
    let fault_at = group.now.after(fault.after);
    while group.now < fault_at {
        start_late(&mut group, start);
        group.advance(Span::from_ms(5));
    }
    fault.wiped.iter().for_each(|at| group.wipe(*at));
    if fault.others == Others::LosePower {
        (0..5).for_each(|at| group.crash(at));
    }
    group.advance(DOWN);
    start_late(&mut group, start);
    (0..5).for_each(|at| group.start(at));
    group.advance(RECOVERY);
    let read = (0..5).map(|at| group.command(at, Command::Read));
    let read = read.collect::<Vec<_>>();
    group.advance(Span::from_secs(1));
    let versions = read.iter().filter_map(|id| match group.answers.get(id) {
        Some(Outcome::State(state)) => Some(state.version),
        _ => None,
    });
    versions.min()
}

/// Each set of one or two machines.
fn losses() -> Vec<Vec<usize>> {
    let pairs = (0..5).flat_map(|first| (first + 1..5).map(move |second| vec![first, second]));
    (0..5).map(|at| vec![at]).chain(pairs).collect()
}

/// Guards against a group that ends for good: one of its seeds loses its disk after it acknowledged a
/// configuration, before the other voters have a seat, or while they repair themselves in it.
#[test]
fn an_acknowledged_configuration_survives_two_lost_disks_from_the_first_moment_on() {
    let mut lost = Vec::new();
    for late in [Span::ZERO, SPREAD] {
        for after in (0..800).step_by(25) {
            for wiped in losses() {
                for others in [Others::GoOn, Others::LosePower] {
                    let after = Span::from_ms(after);
                    let fault = Fault {
                        after,
                        wiped: wiped.clone(),
                        others,
                    };
                    if survivor(late, &fault) != Some(1) {
                        lost.push(format!("{late:?}: {fault:?}"));
                    }
                }
            }
        }
    }
    assert!(lost.is_empty(), "{} lost: {lost:#?}", lost.len());
}

/// Guards against an operator who waits for voters that start late: the seeds acknowledge without them.
#[test]
fn the_first_configuration_is_acknowledged_before_the_last_voters_start() {
    let (_, took) = acknowledged(SPREAD);
    assert!(took < SPREAD, "{took:?}");
}

/// A random number below `end`.
fn below(random: &mut ChaCha8Rng, end: u64) -> u64 {
    random.next_u64() % end
}

/// Plays faults at random moments of the first seconds, with at most two lost disks at a time. Returns
/// the newest acknowledged version and the one that is read at the end.
fn play(seed: u64) -> (u64, Option<u64>) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let late = Span::from_ms(below(&mut random, 300));
    let mut group = Group::of(3);
    let start = group.now.after(late);
    let end = group.now.after(Span::from_secs(4));
    let mut attempts = Vec::new();
    let mut down = Vec::<(usize, Time)>::new();
    let mut lost = BTreeSet::new();
    while group.now < end {
        start_late(&mut group, start);
        if below(&mut random, 10) == 0 {
            let version = 1 + attempts.len() as u64;
            attempts.push((
                group.configure(below(&mut random, 5) as usize, version),
                version,
            ));
        }
        let at = below(&mut random, group.machines() as u64) as usize;
        if below(&mut random, 100) == 0 {
            let wipes = below(&mut random, 2) == 0 && lost.len() < 2;
            match wipes || lost.contains(&at) {
                true => {
                    lost.insert(at);
                    group.wipe(at);
                }
                false => group.crash(at),
            }
            let wait = Span::from_ms(below(&mut random, 1_500));
            down.push((at, group.now.after(wait)));
        }
        if below(&mut random, 100) == 0 {
            let isolated = below(&mut random, 2) == 0;
            group.set_isolated(&[at], isolated);
        }
        let now = group.now;
        for (at, _) in down.extract_if(.., |(_, until)| *until <= now) {
            group.start(at);
        }
        group.advance(Span::from_ms(5));
    }
    group.set_isolated(&[0, 1, 2, 3, 4], false);
    (0..5).for_each(|at| group.start(at));
    let acknowledged = |(id, version): &(u64, u64)| match group.answers.get(id) {
        Some(Outcome::Done(_)) => Some(*version),
        _ => None,
    };
    let newest = attempts.iter().filter_map(acknowledged).max();
    group.advance(RECOVERY);
    let read = (0..5).map(|at| group.command(at, Command::Read));
    let read = read.collect::<Vec<_>>();
    group.advance(Span::from_secs(1));
    let versions = read.iter().filter_map(|id| match group.answers.get(id) {
        Some(Outcome::State(state)) => Some(state.version),
        _ => None,
    });
    (newest.unwrap_or(0), versions.min())
}

/// Guards against an older state that is read after crashes, cuts and two lost disks, in any order.
#[test]
fn faults_in_the_first_seconds_bring_no_older_state_back() {
    let mut older = Vec::new();
    for seed in 0..RUNS {
        let (acknowledged, read) = play(seed);
        if read.is_some_and(|read| read < acknowledged) {
            older.push((seed, acknowledged, read));
        }
    }
    assert!(older.is_empty(), "{} of {RUNS}: {older:?}", older.len());
}

/// Guards against a group that ends for good after the same faults.
#[test]
fn a_group_serves_again_after_faults_in_its_first_seconds() {
    let ended = (0..RUNS).filter(|seed| play(*seed).1.is_none());
    let ended = ended.collect::<Vec<_>>();
    assert!(ended.is_empty(), "{} of {RUNS}: {ended:?}", ended.len());
}
