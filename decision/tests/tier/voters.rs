//! Voters of a tier with discovered hosts under crashes, lost disks, isolation and replaced
//! machines.

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::controller::Command;
use wagtailbeam_decision::controller::Outcome;
use wagtailbeam_decision::voter::Action;
use wagtailbeam_decision::voter::Body;
use wagtailbeam_decision::voter::Incarnation;
use wagtailbeam_decision::voter::Message;
use wagtailbeam_decision::voter::Record;
use wagtailbeam_decision::voter::Voter;

use crate::check;
use crate::cluster::Cluster;
use crate::cluster::machine;

/// Time for a group without faults to become stable.
const SETTLE_TIME: Span = Span::from_secs(3);

/// A new group whose five voters vote.
fn new_cluster() -> Cluster {
    let mut cluster = Cluster::new();
    cluster.advance(SETTLE_TIME);
    cluster
}

/// Cuts the power of all machines, wipes two disks and starts all machines again.
fn lose_power(cluster: &mut Cluster, wiped: [usize; 2]) {
    wiped.iter().for_each(|at| cluster.wipe(*at));
    (0..5).for_each(|at| cluster.crash(at));
    cluster.advance(Span::from_secs(1));
    (0..5).for_each(|at| cluster.start(at));
    cluster.advance(SETTLE_TIME);
}

/// The version of the configuration that a machine reads; absent if no majority answers.
fn read(cluster: &mut Cluster, at: usize) -> Option<u64> {
    let id = cluster.command(at, Command::Read);
    cluster.advance(Span::from_ms(1_000));
    match cluster.answers.get(&id) {
        Some(Outcome::State(state)) => Some(state.version),
        _ => None,
    }
}

fn is_done(cluster: &Cluster, id: u64) -> bool {
    matches!(cluster.answers.get(&id), Some(Outcome::Done(_)))
}

#[test]
fn three_seeds_grow_to_five_voters() {
    assert_eq!(new_cluster().voting(), 5);
}

#[test]
fn an_accepted_version_survives_two_lost_disks_and_a_power_loss() {
    let mut cluster = new_cluster();
    let id = cluster.configure(0, 7);
    while !is_done(&cluster, id) {
        cluster.deliver_all();
        cluster.sync_all();
    }
    lose_power(&mut cluster, [0, 1]);
    assert_eq!(cluster.voting(), 5);
    assert_eq!(read(&mut cluster, 1), Some(7));
}

/// Two processes request a seat at the same time. Each must get one of its own, so the state
/// changes exactly twice.
#[test]
fn each_seat_is_assigned_once_as_the_group_grows() {
    let cluster = new_cluster();
    assert_eq!(cluster.revision(0), Some(2));
}

/// Restarted voters have not heard from the others yet. They must not assign the seat of a
/// voter that starts later to a new process before its holder had time to report.
#[test]
fn a_voter_that_starts_last_keeps_its_seat() {
    let mut cluster = new_cluster();
    cluster.configure(0, 3);
    cluster.advance(Span::from_ms(500));
    let before = cluster.revision(0);
    (0..5).for_each(|at| cluster.crash(at));
    cluster.advance(Span::from_ms(500));
    (0..3).for_each(|at| cluster.start(at));
    cluster.add(9, false);
    cluster.advance(Span::from_ms(1_200));
    [3, 4].iter().for_each(|at| cluster.start(*at));
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.revision(0), before);
    assert_eq!(cluster.voting(), 5);
}

/// A voter with a new disk has written fewer records than its earlier incarnation. After a
/// power loss the others must not take the new disk for an outdated one.
#[test]
fn a_voter_with_a_new_disk_survives_a_power_loss() {
    let mut cluster = new_cluster();
    for version in 1..40 {
        cluster.configure(usize::from(version % 5 == 0), version);
        cluster.advance(Span::from_ms(100));
    }
    cluster.wipe(1);
    cluster.advance(Span::from_secs(1));
    cluster.start(1);
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.voting(), 5);
    lose_power(&mut cluster, [0, 2]);
    assert_eq!(cluster.voting(), 5);
    assert_eq!(read(&mut cluster, 0), Some(39));
}

#[test]
fn a_replacement_takes_the_seat_of_a_removed_machine() {
    let mut cluster = new_cluster();
    cluster.configure(0, 3);
    cluster.advance(Span::from_ms(500));
    cluster.remove(4);
    cluster.advance(Span::from_secs(1));
    cluster.add(9, false);
    cluster.advance(Span::from_secs(4));
    assert_eq!(cluster.voting(), 5);
    cluster.crash(0);
    cluster.crash(1);
    cluster.advance(SETTLE_TIME);
    assert_eq!(read(&mut cluster, 9), Some(3));
}

#[test]
fn all_seeds_can_be_replaced_in_turn() {
    let mut cluster = new_cluster();
    cluster.configure(0, 3);
    cluster.seeds = [0, 1, 3].map(machine).to_vec();
    for at in 0..3 {
        cluster.advance(Span::from_secs(1));
        cluster.remove(at);
        cluster.add(20 + at, false);
        cluster.advance(Span::from_secs(5));
        assert_eq!(cluster.voting(), 5, "after the loss of machine {at}");
    }
    assert_eq!(read(&mut cluster, 21), Some(3));
}

#[test]
fn a_minority_answers_no_read_and_accepts_nothing() {
    let mut cluster = new_cluster();
    cluster.configure(0, 3);
    cluster.advance(Span::from_ms(500));
    cluster.set_isolated(&[0, 1], true);
    cluster.advance(Span::from_secs(2));
    let change = cluster.configure(0, 4);
    assert_eq!(read(&mut cluster, 1), None);
    cluster.advance(Span::from_secs(2));
    assert!(!is_done(&cluster, change) && !cluster.has_quorum(0));
    assert_eq!(read(&mut cluster, 3), Some(3));
}

#[test]
fn concurrent_changes_are_all_answered_and_the_highest_version_wins() {
    let mut cluster = new_cluster();
    let ids = (0..5).map(|at| cluster.configure(at, 10 + at as u64));
    let ids = ids.collect::<Vec<_>>();
    cluster.advance(Span::from_secs(2));
    assert!(ids.iter().all(|id| is_done(&cluster, *id)));
    assert_eq!(read(&mut cluster, 2), Some(14));
}

/// Under any tolerated sequence of faults an accepted version must not be lost: a later read
/// returns that version or a higher one, and all voters vote again once the faults end.
#[test]
fn accepted_versions_are_never_lost() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut cluster = new_cluster();
        let mut commands = Vec::new();
        let mut version = 0;
        for (kind, pick) in steps {
            let at = usize::from(pick) % 5;
            match kind % 13 {
                0 => cluster.crash(at),
                1 if cluster.voting() == 5 => cluster.wipe(at),
                12 if cluster.voting() == 5 => cluster.truncate_disk(at, usize::from(pick) / 8),
                2 | 3 => (0..5).for_each(|at| cluster.start(at)),
                4 => cluster.set_isolated(&[at], true),
                5 => (0..5).for_each(|at| cluster.set_isolated(&[at], false)),
                6 => cluster.drop_message(usize::from(pick)),
                7 | 8 => cluster.advance(Span::from_ms(u64::from(pick) * 4)),
                9 => cluster.deliver_all(),
                10 => cluster.sync_all(),
                _ => {
                    version += 1;
                    commands.push((version, cluster.configure(at, version)));
                }
            }
        }
        let done = commands.iter().filter(|(_, id)| is_done(&cluster, *id));
        let accepted = done.map(|(version, _)| *version).max().unwrap_or_default();
        (0..5).for_each(|at| cluster.set_isolated(&[at], false));
        (0..5).for_each(|at| cluster.start(at));
        cluster.advance(Span::from_secs(6));
        let found = read(&mut cluster, 2);
        cluster.voting() == 5 && found.is_some_and(|found| found >= accepted)
    }
    check(property as fn(Vec<(u8, u8)>) -> bool, 200, 60);
}

/// A voter learns from a third one that another began a new incarnation. The count of synced
/// records that it saw of the old disk must not be reported for the new one.
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
    let seen = actions.iter().filter_map(|action| match action {
        Action::Send(0, Message { body, .. }) => Some(body.clone()),
        _ => None,
    });
    assert_eq!(seen.collect::<Vec<_>>(), [Body::Progress(0)]);
}

/// A voter whose disk lost records is assigned its seat again. Its record numbers must go on
/// from those written before, or after a restart its disk looks outdated and it requests a
/// seat once more.
#[test]
fn a_reassigned_seat_continues_its_record_numbers_after_a_restart() {
    let mut cluster = new_cluster();
    for version in 1..30 {
        cluster.configure(0, version);
        cluster.advance(Span::from_ms(50));
    }
    cluster.truncate_disk(4, 10);
    cluster.start(4);
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.voting(), 5);
    cluster.configure(0, 30);
    cluster.advance(Span::from_ms(500));
    let before = cluster.revision(0);
    cluster.crash(4);
    cluster.start(4);
    cluster.advance(SETTLE_TIME);
    assert_eq!(
        cluster.revision(0),
        before,
        "the voter requested its seat again"
    );
    lose_power(&mut cluster, [0, 2]);
    assert_eq!(cluster.voting(), 5);
    assert_eq!(read(&mut cluster, 0), Some(30));
}
