//! Voters that propose at the same time, while messages and disks are slow.

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::command::Command;
use wagtailbeam_decision::command::Outcome;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::tier::Change;
use wagtailbeam_decision::tier::Verdict;

use crate::group::Group;

/// Step of the simulation.
const STEP: Span = Span::from_ms(5);

/// Time within which a change is to be decided.
const LIMIT: Span = Span::from_ms(700);

/// Time between two reads of an operator.
const READ_INTERVAL: Span = Span::from_ms(250);

/// Longest time until a change at one voter is decided, of ten that begin at different times, while
/// an operator reads the state at another one. Messages and writes take `steps` steps. Absent if one
/// was not decided.
fn time_to_decide(changing: usize, reading: usize, steps: u64) -> Option<Span> {
    let mut group = Group::new();
    group.advance(Span::from_secs(3));
    group.configure(0, 1);
    group.advance(Span::from_ms(500));
    let run = |group: &mut Group, span: Span, change: Option<u64>| {
        let end = group.now.after(span);
        while group.now < end && change.is_none_or(|id| !group.answers.contains_key(&id)) {
            group.now = group.now.after(STEP);
            let step = group.now.as_us() / STEP.as_us();
            if step.is_multiple_of(READ_INTERVAL.as_us() / STEP.as_us()) {
                group.command(reading, Command::Read);
            }
            group.tick();
            if step.is_multiple_of(steps) {
                group.sync_all();
                group.deliver_all();
            }
        }
    };
    let mut longest = Span::ZERO;
    for index in 0..10 {
        run(&mut group, Span::from_ms(1_000 + index * 25), None);
        let domain = Name::from(format!("east-{index}"));
        let change = group.command(changing, Command::Change(Change::Close(domain)));
        let began = group.now;
        run(&mut group, Span::from_secs(5), Some(change));
        match group.answers.get(&change) {
            Some(Outcome::Done(Verdict::Done)) => {}
            _ => return None,
        }
        longest = longest.max(group.now.since(began));
    }
    Some(longest)
}

/// Guards against two voters that reject each other's ballots again and again: on a loaded machine
/// reads of a rollout's state kept its next step from being decided for 4 s, so that a good version
/// was rolled back.
#[test]
fn reads_at_another_voter_do_not_keep_a_change_from_being_decided() {
    for (changing, reading) in [(0, 4), (1, 3), (4, 0)] {
        for steps in [2, 4, 6, 8] {
            let took = time_to_decide(changing, reading, steps);
            let in_time = took.is_some_and(|took| took <= LIMIT);
            assert!(in_time, "{changing} {reading} {steps}: {took:?}");
        }
    }
}
