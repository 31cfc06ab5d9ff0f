//! Orders of operators that reach the group late: their voter was suspended or cut off, and newer
//! orders were acknowledged meanwhile.

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::command::Command;
use wagtailbeam_decision::command::Outcome;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::rollout::Phase;
use wagtailbeam_decision::rollout::Stage;
use wagtailbeam_decision::rollout::Step;
use wagtailbeam_decision::tier::Change;

use crate::group::Group;

/// Time for a group without faults to become stable.
const SETTLE_TIME: Span = Span::from_secs(3);

/// Time for an order to be decided without faults.
const DECIDE_TIME: Span = Span::from_ms(300);

fn new_group() -> Group {
    let mut group = Group::new();
    group.advance(SETTLE_TIME);
    group.configure(1, 1);
    group.advance(DECIDE_TIME);
    group
}

fn close() -> Change {
    Change::Close(Name::from("east"))
}

fn open() -> Change {
    Change::Open(Name::from("east"))
}

fn rollout(target: &str, request: u64) -> Change {
    Change::Rollout {
        service: Name::from("wallet"),
        target: Name::from(target),
        duration: Span::from_secs(60),
        request,
    }
}

/// Gives an order and requires that it is acknowledged.
fn order(group: &mut Group, at: usize, change: Change) {
    let id = group.command(at, Command::Change(change));
    group.advance(DECIDE_TIME);
    let outcome = group.answers.get(&id);
    assert!(matches!(outcome, Some(Outcome::Done(_))), "{outcome:?}");
}

/// Ends the rollout of the service that is in progress.
fn complete(group: &mut Group, at: usize) {
    let record = group.state(at).rollouts[&Name::from("wallet")].clone();
    let step = Change::Step {
        service: Name::from("wallet"),
        id: record.id,
        serial: record.serial,
        step: Step {
            phase: Phase::Completed,
            stage: Stage::Closing,
            share: 1_000,
            elapsed: Span::from_secs(9),
        },
    };
    order(group, at, step);
}

fn is_closed(group: &Group, at: usize) -> bool {
    group.state(at).closed.contains(&Name::from("east"))
}

/// Cuts a voter off, gives it an order, and gives the others the same one and a newer one.
fn overtake_cut_off(group: &mut Group) {
    order(group, 1, close());
    group.set_isolated(&[0], true);
    group.command(0, Command::Change(open()));
    order(group, 1, open());
    order(group, 2, close());
}

/// Guards against an acknowledged order that a suspended voter undoes: it finds an older order in
/// its socket when it resumes, before or after it learned the newer state.
#[test]
fn a_voter_that_resumes_carries_out_no_order_from_before_newer_ones() {
    for span in [Span::from_ms(1_200), Span::from_ms(3_500)] {
        for learns_first in [false, true] {
            let mut group = new_group();
            order(&mut group, 1, close());
            group.set_frozen(0, true);
            order(&mut group, 1, open());
            order(&mut group, 2, close());
            group.advance(span);
            group.set_frozen(0, false);
            if learns_first {
                group.advance(Span::from_ms(50));
            }
            let late = group.command(0, Command::Change(open()));
            group.advance(SETTLE_TIME);
            assert!(is_closed(&group, 1), "{span:?}, {learns_first}");
            let answer = group.answers.get(&late);
            assert!(!matches!(answer, Some(Outcome::Done(_))), "{answer:?}");
        }
    }
}

/// Guards against the same while no newer order was given: a voter that resumed takes orders, and
/// soon takes new ones that undo older ones, too.
#[test]
fn a_voter_that_resumes_takes_new_orders() {
    let mut group = new_group();
    order(&mut group, 1, close());
    group.set_frozen(0, true);
    group.advance(Span::from_ms(3_500));
    group.set_frozen(0, false);
    group.advance(DECIDE_TIME);
    order(&mut group, 0, open());
    assert!(!is_closed(&group, 1));
    group.advance(Span::from_secs(1));
    order(&mut group, 1, close());
    order(&mut group, 0, open());
    assert!(!is_closed(&group, 1));
}

/// Guards against an acknowledged order that a voter undoes which was cut off from the others: it
/// goes on proposing an older order once it reaches them again.
#[test]
fn a_voter_that_was_cut_off_carries_out_no_order_from_before_newer_ones() {
    for cut in [1_000, 1_700, 2_400] {
        let mut group = new_group();
        overtake_cut_off(&mut group);
        group.advance(Span::from_ms(cut - 2 * 300));
        group.set_isolated(&[0], false);
        group.advance(SETTLE_TIME);
        assert!(is_closed(&group, 1), "cut off for {cut} ms");
    }
}

/// Guards against refusals without need: a voter gets an order that undoes the last one before it
/// has heard of that one.
#[test]
fn an_order_right_after_another_one_is_carried_out_at_any_voter() {
    let mut group = new_group();
    order(&mut group, 1, close());
    group.set_isolated(&[0], true);
    order(&mut group, 1, open());
    order(&mut group, 2, close());
    let id = group.command(0, Command::Change(open()));
    group.advance(Span::from_ms(200));
    group.set_isolated(&[0], false);
    group.advance(DECIDE_TIME);
    let outcome = group.answers.get(&id);
    assert!(matches!(outcome, Some(Outcome::Done(_))), "{outcome:?}");
    assert!(!is_closed(&group, 1));
}

/// Guards against a service that goes back to an older version: a voter that resumes finds the
/// request for a rollout that was completed meanwhile, and another one after it.
#[test]
fn a_voter_that_resumes_begins_no_rollout_from_before_newer_ones() {
    let mut group = new_group();
    group.set_frozen(0, true);
    order(&mut group, 1, rollout("v2", 1));
    complete(&mut group, 1);
    order(&mut group, 2, rollout("v3", 2));
    complete(&mut group, 2);
    group.advance(SETTLE_TIME);
    group.set_frozen(0, false);
    group.command(0, Command::Change(rollout("v2", 3)));
    group.advance(SETTLE_TIME);
    let record = &group.state(1).rollouts[&Name::from("wallet")];
    assert_eq!(&*record.target, "v3");
    assert_eq!(record.phase, Phase::Completed);
}

/// Guards against a change of the state's stored form: it survives a restart of all voters.
#[test]
fn restarted_voters_know_which_orders_are_newer() {
    let mut group = new_group();
    overtake_cut_off(&mut group);
    (1..5).for_each(|at| group.crash(at));
    (1..5).for_each(|at| group.start(at));
    group.advance(Span::from_secs(1));
    group.set_isolated(&[0], false);
    group.advance(SETTLE_TIME);
    assert!(is_closed(&group, 1));
}
