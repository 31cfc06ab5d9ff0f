//! Voters of a tier with discovered hosts under crashes, lost disks, isolation and replaced
//! machines.

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::command::Command;
use wagtailbeam_decision::command::Outcome;
use wagtailbeam_decision::voter::Action;
use wagtailbeam_decision::voter::Body;
use wagtailbeam_decision::voter::Incarnation;
use wagtailbeam_decision::voter::Message;
use wagtailbeam_decision::voter::Record;
use wagtailbeam_decision::voter::Voter;

use crate::check;
use crate::group::Group;
use crate::group::address;

/// Time for a group without faults to become stable.
const SETTLE_TIME: Span = Span::from_secs(3);

/// A new group whose five voters vote.
fn new_group() -> Group {
    let mut group = Group::new();
    group.advance(SETTLE_TIME);
    group
}

/// Cuts the power of all machines, wipes two disks and starts all machines again.
fn lose_power(group: &mut Group, wiped: [usize; 2]) {
    wiped.iter().for_each(|at| group.wipe(*at));
    (0..5).for_each(|at| group.crash(at));
    group.advance(Span::from_secs(1));
    (0..5).for_each(|at| group.start(at));
    group.advance(SETTLE_TIME);
}

/// The version of the configuration that a machine reads; absent if no majority answers.
fn read(group: &mut Group, at: usize) -> Option<u64> {
    let id = group.command(at, Command::Read);
    group.advance(Span::from_ms(1_000));
    match group.answers.get(&id) {
        Some(Outcome::State(state)) => Some(state.version),
        _ => None,
    }
}

fn is_done(group: &Group, id: u64) -> bool {
    matches!(group.answers.get(&id), Some(Outcome::Done(_)))
}

#[test]
fn three_seeds_grow_to_five_voters() {
    assert_eq!(new_group().voting(), 5);
}

#[test]
fn an_accepted_version_survives_two_lost_disks_and_a_power_loss() {
    let mut group = new_group();
    let id = group.configure(0, 7);
    while !is_done(&group, id) {
        group.deliver_all();
        group.sync_all();
    }
    lose_power(&mut group, [0, 1]);
    assert_eq!(group.voting(), 5);
    assert_eq!(read(&mut group, 1), Some(7));
}

/// Two processes request a seat at the same time. Each must get one of its own, so the state
/// changes exactly twice.
#[test]
fn each_seat_is_assigned_once_as_the_group_grows() {
    let group = new_group();
    assert_eq!(group.revision(0), Some(2));
}

/// Restarted voters have not received messages of the others yet. They must not assign the seat of a
/// voter that starts later to a new process before its holder had time to report.
#[test]
fn a_voter_that_starts_last_keeps_its_seat() {
    let mut group = new_group();
    group.configure(0, 3);
    group.advance(Span::from_ms(500));
    let before = group.revision(0);
    (0..5).for_each(|at| group.crash(at));
    group.advance(Span::from_ms(500));
    (0..3).for_each(|at| group.start(at));
    group.add(9, false);
    group.advance(Span::from_ms(1_200));
    [3, 4].iter().for_each(|at| group.start(*at));
    group.advance(SETTLE_TIME);
    assert_eq!(group.revision(0), before);
    assert_eq!(group.voting(), 5);
}

/// A voter with a new disk has written fewer records than its earlier incarnation. After a
/// power loss the others must not take the new disk for an outdated one.
#[test]
fn a_voter_with_a_new_disk_survives_a_power_loss() {
    let mut group = new_group();
    for version in 1..40 {
        group.configure(usize::from(version % 5 == 0), version);
        group.advance(Span::from_ms(100));
    }
    group.wipe(1);
    group.advance(Span::from_secs(1));
    group.start(1);
    group.advance(SETTLE_TIME);
    assert_eq!(group.voting(), 5);
    lose_power(&mut group, [0, 2]);
    assert_eq!(group.voting(), 5);
    assert_eq!(read(&mut group, 0), Some(39));
}

#[test]
fn a_replacement_takes_the_seat_of_a_removed_machine() {
    let mut group = new_group();
    group.configure(0, 3);
    group.advance(Span::from_ms(500));
    group.remove(4);
    group.advance(Span::from_secs(1));
    group.add(9, false);
    group.advance(Span::from_secs(4));
    assert_eq!(group.voting(), 5);
    group.crash(0);
    group.crash(1);
    group.advance(SETTLE_TIME);
    assert_eq!(read(&mut group, 9), Some(3));
}

/// How a voter is out of reach while another one is replaced.
#[derive(Clone, Copy, Debug)]
enum Outage {
    Down,
    Frozen,
    Isolated,
}

impl Outage {
    fn begin(self, group: &mut Group, at: usize) {
        match self {
            Outage::Down => group.crash(at),
            Outage::Frozen => group.set_frozen(at, true),
            Outage::Isolated => group.set_isolated(&[at], true),
        }
    }

    fn end(self, group: &mut Group, at: usize) {
        match self {
            Outage::Down => group.start(at),
            Outage::Frozen => group.set_frozen(at, false),
            Outage::Isolated => group.set_isolated(&[at], false),
        }
    }
}

/// Guards against a voter that never votes again: its seat was assigned to a new machine while it
/// was out of reach, and the answers to its questions go to the seat's new holder.
#[test]
fn a_voter_whose_seat_was_assigned_during_an_outage_gets_another_one() {
    for outage in [Outage::Down, Outage::Frozen, Outage::Isolated] {
        for wait in [0, 500, 2_500] {
            let mut group = new_group();
            group.configure(1, 3);
            group.advance(Span::from_ms(500));
            outage.begin(&mut group, 0);
            group.advance(Span::from_ms(wait));
            group.remove(4);
            group.advance(Span::from_secs(2));
            group.add(9, false);
            group.advance(Span::from_ms(1_500));
            outage.end(&mut group, 0);
            group.advance(Span::from_secs(4));
            assert_eq!(group.voting(), 5, "{outage:?}, {wait} ms");
            assert!(group.has_quorum(0), "{outage:?}, {wait} ms");
            let change = group.configure(0, 4);
            group.advance(Span::from_secs(1));
            assert!(is_done(&group, change), "{outage:?}, {wait} ms");
            [1, 2].iter().for_each(|at| group.wipe(*at));
            group.advance(Span::from_secs(1));
            [1, 2].iter().for_each(|at| group.start(*at));
            group.advance(SETTLE_TIME);
            assert_eq!(group.voting(), 5, "{outage:?}, {wait} ms, two lost disks");
            assert_eq!(read(&mut group, 0), Some(4), "{outage:?}, {wait} ms");
        }
    }
}

/// Guards against the loss of a second voter: the machine that took the seat ends before the
/// former holder is back.
#[test]
fn a_seat_whose_new_holder_ends_goes_back_to_its_former_holder() {
    for outage in [Outage::Down, Outage::Frozen, Outage::Isolated] {
        let mut group = new_group();
        group.configure(1, 3);
        group.advance(Span::from_ms(500));
        outage.begin(&mut group, 0);
        group.advance(Span::from_ms(2_500));
        group.add(9, false);
        group.advance(Span::from_secs(1));
        group.remove(9);
        outage.end(&mut group, 0);
        group.advance(Span::from_secs(5));
        assert_eq!(group.voting(), 5, "{outage:?}");
        assert_eq!(read(&mut group, 0), Some(3), "{outage:?}");
    }
}

/// Guards against a voter that resumes, takes the others for silent and assigns the seat of a live one
/// to a process whose request waited meanwhile.
#[test]
fn a_voter_that_resumes_assigns_no_seat_of_a_live_voter() {
    let mut group = new_group();
    group.configure(1, 3);
    group.advance(Span::from_ms(500));
    let before = group.revision(1);
    group.add(9, false);
    group.set_frozen(1, true);
    group.advance(Span::from_ms(400));
    group.crash(9);
    group.advance(Span::from_ms(3_000));
    group.set_frozen(1, false);
    group.advance(SETTLE_TIME);
    assert_eq!(group.revision(2), before);
    assert_eq!(group.voting(), 5);
}

/// Guards against an older configuration that a suspended voter holds.
#[test]
fn a_voter_that_resumes_puts_no_older_configuration_in_force() {
    let mut group = new_group();
    group.set_frozen(0, true);
    group.configure(1, 5);
    group.advance(Span::from_ms(3_500));
    group.set_frozen(0, false);
    group.configure(0, 4);
    group.advance(SETTLE_TIME);
    assert_eq!(read(&mut group, 0), Some(5));
}

/// Guards against ballots without end: a process that requests a seat while all seats are held
/// must not make the voters propose.
#[test]
fn a_process_without_a_free_seat_causes_no_ballots() {
    let mut group = new_group();
    group.configure(1, 3);
    group.add(9, false);
    group.advance(SETTLE_TIME);
    assert_eq!(group.voting(), 5);
    let before = group.ballots;
    group.advance(SETTLE_TIME);
    assert_eq!(group.ballots, before);
}

#[test]
fn all_seeds_can_be_replaced_in_turn() {
    let mut group = new_group();
    group.configure(0, 3);
    group.seeds = [0, 1, 3].map(address).to_vec();
    for at in 0..3 {
        group.advance(Span::from_secs(1));
        group.remove(at);
        group.add(20 + at, false);
        group.advance(Span::from_secs(5));
        assert_eq!(group.voting(), 5, "after the loss of machine {at}");
    }
    assert_eq!(read(&mut group, 21), Some(3));
}

#[test]
fn a_minority_answers_no_read_and_accepts_nothing() {
    let mut group = new_group();
    group.configure(0, 3);
    group.advance(Span::from_ms(500));
    group.set_isolated(&[0, 1], true);
    group.advance(Span::from_secs(2));
    let change = group.configure(0, 4);
    assert_eq!(read(&mut group, 1), None);
    group.advance(Span::from_secs(2));
    assert!(!is_done(&group, change) && !group.has_quorum(0));
    assert_eq!(read(&mut group, 3), Some(3));
}

#[test]
fn concurrent_changes_are_all_answered_and_the_highest_version_wins() {
    let mut group = new_group();
    let ids = (0..5).map(|at| group.configure(at, 10 + at as u64));
    let ids = ids.collect::<Vec<_>>();
    group.advance(Span::from_secs(2));
    assert!(ids.iter().all(|id| is_done(&group, *id)));
    assert_eq!(read(&mut group, 2), Some(14));
}

/// Under any tolerated sequence of faults an accepted version must not be lost: a later read
/// returns that version or a higher one, and all voters vote again once the faults end.
#[test]
fn accepted_versions_are_never_lost() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut group = new_group();
        let mut commands = Vec::new();
        let mut version = 0;
        for (kind, pick) in steps {
            let at = usize::from(pick) % 5;
            match kind % 13 {
                0 => group.crash(at),
                1 if group.voting() == 5 => group.wipe(at),
                12 if group.voting() == 5 => group.truncate_disk(at, usize::from(pick) / 8),
                2 | 3 => (0..5).for_each(|at| group.start(at)),
                4 => group.set_isolated(&[at], true),
                5 => (0..5).for_each(|at| group.set_isolated(&[at], false)),
                6 => group.drop_message(usize::from(pick)),
                7 | 8 => group.advance(Span::from_ms(u64::from(pick) * 4)),
                9 => group.deliver_all(),
                10 => group.sync_all(),
                _ => {
                    version += 1;
                    commands.push((version, group.configure(at, version)));
                }
            }
        }
        let done = commands.iter().filter(|(_, id)| is_done(&group, *id));
        let accepted = done.map(|(version, _)| *version).max().unwrap_or_default();
        (0..5).for_each(|at| group.set_isolated(&[at], false));
        (0..5).for_each(|at| group.start(at));
        group.advance(Span::from_secs(6));
        let found = read(&mut group, 2);
        group.voting() == 5 && found.is_some_and(|found| found >= accepted)
    }
    check(property as fn(Vec<(u8, u8)>) -> bool, 200, 60);
}

/// A voter receives another voter's new incarnation in a message of a third one. It must not
/// report the count of records that were synced on the old disk for the new one.
#[test]
fn a_new_incarnation_learned_from_others_has_no_synced_records() {
    let now = Time::from_us(1);
    let incarnation = |epoch| Incarnation {
        epoch,
        nonce: epoch,
        address: None,
    };
    let message = |from, synced, incarnations, body| Message {
        from,
        synced,
        incarnations,
        body,
    };
    let old = vec![incarnation(1), incarnation(1), incarnation(1)];
    let new = vec![incarnation(2), incarnation(1), incarnation(1)];
    let records = (0..3).map(|id| Record::Incarnation(id, incarnation(1)));
    let mut voter = Voter::open(now, 1, 3, 9, records.collect());
    voter.receive(now, message(0, 40, old, Body::Progress(0)));
    voter.receive(now, message(2, 7, new.clone(), Body::Progress(0)));
    voter.synced(now, voter.written());
    let actions = voter.receive(now, message(0, 5, new, Body::QueryProgress));
    let answers = actions.iter().filter_map(|action| match action {
        Action::Send(0, Message { body, .. }) => Some(body.clone()),
        _ => None,
    });
    assert_eq!(answers.collect::<Vec<_>>(), [Body::Progress(0)]);
}

/// A voter whose disk lost records is assigned its seat again. Its record numbers must
/// continue those written before, or after a restart its disk looks outdated and it requests a
/// seat once more.
#[test]
fn a_reassigned_seat_continues_its_record_numbers_after_a_restart() {
    let mut group = new_group();
    for version in 1..30 {
        group.configure(0, version);
        group.advance(Span::from_ms(50));
    }
    group.truncate_disk(4, 10);
    group.start(4);
    group.advance(SETTLE_TIME);
    assert_eq!(group.voting(), 5);
    group.configure(0, 30);
    group.advance(Span::from_ms(500));
    let before = group.revision(0);
    group.crash(4);
    group.start(4);
    group.advance(SETTLE_TIME);
    assert_eq!(
        group.revision(0),
        before,
        "the voter requested its seat again"
    );
    lose_power(&mut group, [0, 2]);
    assert_eq!(group.voting(), 5);
    assert_eq!(read(&mut group, 0), Some(30));
}
