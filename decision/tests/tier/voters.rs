//! The voters of a tier with discovered hosts under crashes, lost disks, cuts and
//! replaced machines.

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

const SETTLE: Span = Span::from_secs(3);

fn new_cluster() -> Cluster {
    let mut cluster = Cluster::new();
    cluster.pass(SETTLE);
    cluster
}

/// Takes the power of all machines and the disks of two, and has all start again.
fn lose_power(cluster: &mut Cluster, wiped: [usize; 2]) {
    wiped.iter().for_each(|at| cluster.wipe(*at));
    (0..5).for_each(|at| cluster.crash(at));
    cluster.pass(Span::from_secs(1));
    (0..5).for_each(|at| cluster.start(at));
    cluster.pass(SETTLE);
}

/// The version that a machine reads, if it answers.
fn read(cluster: &mut Cluster, at: usize) -> Option<u64> {
    let id = cluster.command(at, Command::Read);
    cluster.pass(Span::from_ms(1_000));
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
fn an_accepted_version_survives_two_lost_disks_and_a_loss_of_all_power() {
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

/// Two processes that ask for a place at the same time get one each.
#[test]
fn each_place_is_given_once_as_the_group_grows() {
    let cluster = new_cluster();
    assert_eq!(cluster.revision(0), Some(2));
}

/// Voters that start again have heard of nobody yet. They give no place away before
/// its holder had time to be heard.
#[test]
fn a_voter_that_starts_last_keeps_its_place() {
    let mut cluster = new_cluster();
    cluster.configure(0, 3);
    cluster.pass(Span::from_ms(500));
    let before = cluster.revision(0);
    (0..5).for_each(|at| cluster.crash(at));
    cluster.pass(Span::from_ms(500));
    (0..3).for_each(|at| cluster.start(at));
    cluster.add(9, false);
    cluster.pass(Span::from_ms(1_200));
    [3, 4].iter().for_each(|at| cluster.start(*at));
    cluster.pass(SETTLE);
    assert_eq!(cluster.revision(0), before);
    assert_eq!(cluster.voting(), 5);
}

/// A voter that has a new disk has written less than its old life had. Others must
/// not take it for an old disk after a loss of power.
#[test]
fn a_voter_with_a_new_disk_survives_a_loss_of_power() {
    let mut cluster = new_cluster();
    for version in 1..40 {
        cluster.configure(usize::from(version % 5 == 0), version);
        cluster.pass(Span::from_ms(100));
    }
    cluster.wipe(1);
    cluster.pass(Span::from_secs(1));
    cluster.start(1);
    cluster.pass(SETTLE);
    assert_eq!(cluster.voting(), 5);
    lose_power(&mut cluster, [0, 2]);
    assert_eq!(cluster.voting(), 5);
    assert_eq!(read(&mut cluster, 0), Some(39));
}

#[test]
fn a_replacement_takes_the_place_of_a_removed_machine() {
    let mut cluster = new_cluster();
    cluster.configure(0, 3);
    cluster.pass(Span::from_ms(500));
    cluster.remove(4);
    cluster.pass(Span::from_secs(1));
    cluster.add(9, false);
    cluster.pass(Span::from_secs(4));
    assert_eq!(cluster.voting(), 5);
    cluster.crash(0);
    cluster.crash(1);
    cluster.pass(SETTLE);
    assert_eq!(read(&mut cluster, 9), Some(3));
}

#[test]
fn all_first_voters_can_be_replaced_in_turn() {
    let mut cluster = new_cluster();
    cluster.configure(0, 3);
    cluster.seeds = [0, 1, 3].map(machine).to_vec();
    for at in 0..3 {
        cluster.pass(Span::from_secs(1));
        cluster.remove(at);
        cluster.add(20 + at, false);
        cluster.pass(Span::from_secs(5));
        assert_eq!(cluster.voting(), 5, "after the loss of machine {at}");
    }
    assert_eq!(read(&mut cluster, 21), Some(3));
}

#[test]
fn a_minority_answers_no_read_and_accepts_nothing() {
    let mut cluster = new_cluster();
    cluster.configure(0, 3);
    cluster.pass(Span::from_ms(500));
    cluster.cut(&[0, 1], true);
    cluster.pass(Span::from_secs(2));
    let change = cluster.configure(0, 4);
    assert_eq!(read(&mut cluster, 1), None);
    cluster.pass(Span::from_secs(2));
    assert!(!is_done(&cluster, change) && !cluster.has_quorum(0));
    assert_eq!(read(&mut cluster, 3), Some(3));
}

#[test]
fn racing_operators_both_get_an_answer_and_the_highest_stays() {
    let mut cluster = new_cluster();
    let ids = (0..5).map(|at| cluster.configure(at, 10 + at as u64));
    let ids = ids.collect::<Vec<_>>();
    cluster.pass(Span::from_secs(2));
    assert!(ids.iter().all(|id| is_done(&cluster, *id)));
    assert_eq!(read(&mut cluster, 2), Some(14));
}

/// Whatever fails within what is tolerated: a version that was accepted is never
/// read older later, and all is well again after a while.
#[test]
fn accepted_versions_are_never_lost_or_read_older() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut cluster = new_cluster();
        let mut commands = Vec::new();
        let mut version = 0;
        for (kind, pick) in steps {
            let at = usize::from(pick) % 5;
            match kind % 13 {
                0 => cluster.crash(at),
                1 if cluster.voting() == 5 => cluster.wipe(at),
                12 if cluster.voting() == 5 => cluster.age_disk(at, usize::from(pick) / 8),
                2 | 3 => (0..5).for_each(|at| cluster.start(at)),
                4 => cluster.cut(&[at], true),
                5 => (0..5).for_each(|at| cluster.cut(&[at], false)),
                6 => cluster.lose(usize::from(pick)),
                7 | 8 => cluster.pass(Span::from_ms(u64::from(pick) * 4)),
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
        (0..5).for_each(|at| cluster.cut(&[at], false));
        (0..5).for_each(|at| cluster.start(at));
        cluster.pass(Span::from_secs(6));
        let found = read(&mut cluster, 2);
        cluster.voting() == 5 && found.is_some_and(|found| found >= accepted)
    }
    check(property as fn(Vec<(u8, u8)>) -> bool, 200, 60);
}

/// A voter learns from a third one that another has a new disk. What it saw of the
/// old disk says nothing about the new one.
#[test]
fn a_new_life_heard_of_from_others_begins_at_no_records() {
    let now = Time::from_us(1);
    let life = |epoch| Incarnation {
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
    let old = vec![life(1), life(1), life(1)];
    let new = vec![life(2), life(1), life(1)];
    let records = (0..3).map(|id| Record::Incarnation(id, life(1)));
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

/// A voter that lost its place and gets one again counts on from the records that
/// it had written, also after a restart.
#[test]
fn a_place_taken_again_counts_on_after_a_restart() {
    let mut cluster = new_cluster();
    for version in 1..30 {
        cluster.configure(0, version);
        cluster.pass(Span::from_ms(50));
    }
    cluster.age_disk(4, 10);
    cluster.start(4);
    cluster.pass(SETTLE);
    assert_eq!(cluster.voting(), 5);
    cluster.configure(0, 30);
    cluster.pass(Span::from_ms(500));
    let before = cluster.revision(0);
    cluster.crash(4);
    cluster.start(4);
    cluster.pass(SETTLE);
    assert_eq!(cluster.revision(0), before, "it asked for its place again");
    lose_power(&mut cluster, [0, 2]);
    assert_eq!(cluster.voting(), 5);
    assert_eq!(read(&mut cluster, 0), Some(30));
}
