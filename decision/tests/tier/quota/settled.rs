//! Homes by the age of their buckets and of the last confirmation by the voters.

use wagtailbeam_decision::account::home::Map;
use wagtailbeam_decision::account::quota::Action;
use wagtailbeam_decision::account::quota::Gate;
use wagtailbeam_decision::account::token::Outcome;
use wagtailbeam_decision::account::token::Reply;
use wagtailbeam_decision::account::token::Request;
use wagtailbeam_decision::account::token::TokenId;
use wagtailbeam_decision::clock::Time;

use super::directory;
use super::gate;
use super::gate::HOSTS;
use super::gate::asked;
use super::gate::at;
use super::gate::configured;
use super::gate::grants;
use super::gate::limited;
use super::gate::near_home;
use super::host;
use super::hosts;
use super::shared;
use super::terms;

/// A home that the voters confirmed every 100 ms until this time.
fn confirmed_until(ms: u64) -> Gate {
    let mut gate = configured(near_home(), &limited());
    confirm(&mut gate, 0, ms);
    gate
}

/// Confirms a home every 100 ms between these times.
fn confirm(gate: &mut Gate, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..=to_ms).step_by(100) {
        gate.confirm(at(ms));
    }
}

/// Lets the home run between these times without a confirmation.
fn tick(gate: &mut Gate, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..=to_ms).step_by(1_000) {
        gate.tick(at(ms));
    }
}

/// What the home answers to another host.
fn outcome(gate: &mut Gate, now: Time) -> Outcome {
    let request = Request {
        id: TokenId(1),
        account: "limited".into(),
        wanted: 1,
    };
    match gate.answer(now, host(50).address, &request) {
        Action::Reply(_, reply) => reply.outcome,
        other => panic!("no reply: {other:?}"),
    }
}

/// Guards against a tier that refuses all requests with a quota while the voters have no majority.
#[test]
fn an_unconfirmed_home_answers_others_but_not_its_own_callers() {
    let mut gate = confirmed_until(1_500);
    tick(&mut gate, 2_000, 60_000);
    let own = near_home().address;
    let actions = gate.start(at(60_000), 1, &shared(&limited()), false);
    assert_ne!(asked(&actions).0, own);
    assert!(grants(&mut gate, at(60_000)) > 0);
}

/// Guards against several homes of an account in a domain whose hosts keep lists of different age.
#[test]
fn a_new_home_stops_granting_within_half_a_second_without_a_confirmation() {
    let mut gate = confirmed_until(1_400);
    assert!(grants(&mut gate, at(1_899)) > 0);
    assert_eq!(outcome(&mut gate, at(1_900)), Outcome::Unknown);
    let actions = gate.start(at(1_900), 1, &shared(&limited()), true);
    assert_ne!(asked(&actions).0, near_home().address);
    tick(&mut gate, 2_000, 60_000);
    assert_eq!(outcome(&mut gate, at(60_000)), Outcome::Unknown);
    gate.confirm(at(60_100));
    assert!(grants(&mut gate, at(60_100)) > 0);
}

/// Guards against a host that grants before the voters confirmed anything.
#[test]
fn a_home_without_any_confirmation_knows_no_quota() {
    let mut gate = configured(near_home(), &limited());
    assert_eq!(outcome(&mut gate, at(100)), Outcome::Unknown);
}

/// Guards against homes that need a confirmation again whenever a list or a quota changes.
#[test]
fn a_home_that_stays_one_stays_settled() {
    let mut gate = confirmed_until(1_500);
    gate.configure(at(1_500), &directory(&[limited()]), &hosts(HOSTS + 1));
    tick(&mut gate, 2_000, 5_000);
    assert!(grants(&mut gate, at(5_000)) > 0);
}

/// Guards against a home that lost its place and grants at once from a settled bucket when it is
/// the home again.
#[test]
fn a_home_that_was_replaced_is_new() {
    let mut gate = confirmed_until(1_500);
    let known = directory(&[limited()]);
    let others = hosts(HOSTS).into_iter();
    let others = others.filter(|host| *host != near_home());
    gate.configure(at(1_500), &known, &others.collect::<Vec<_>>());
    confirm(&mut gate, 1_600, 2_000);
    gate.configure(at(2_000), &known, &hosts(HOSTS));
    assert_eq!(outcome(&mut gate, at(2_500)), Outcome::Unknown);
}

/// Guards against a suspended home beside the successor that the voters named meanwhile.
#[test]
fn a_home_suspended_after_a_confirmation_is_new() {
    let mut gate = confirmed_until(3_000);
    assert_eq!(outcome(&mut gate, at(5_000)), Outcome::Unknown);
    gate.confirm(at(5_100));
    assert!(grants(&mut gate, at(5_100)) > 0);
    assert_eq!(outcome(&mut gate, at(5_600)), Outcome::Unknown);
}

/// Guards against homes that are suspended one after another while the voters have no majority, and
/// all fall silent.
#[test]
fn a_home_suspended_without_a_confirmation_stays_settled() {
    let mut gate = confirmed_until(3_000);
    tick(&mut gate, 4_000, 10_000);
    assert_eq!(grants(&mut gate, at(20_000)), 2);
}

/// Has some of the polled hosts answer that the voters don't confirm them either, and the others
/// that they know nothing, as hosts that are confirmed and older builds do.
fn answer_polls(gate: &mut Gate, now: Time, unconfirmed: usize) {
    let polls = gate
        .tick(now)
        .into_iter()
        .filter_map(|action| match action {
            Action::Ask(host, request) if request.wanted == 0 => Some((host, request.id)),
            _ => None,
        });
    for (index, (host, id)) in polls.collect::<Vec<_>>().into_iter().enumerate() {
        let outcome = match index < unconfirmed {
            true => Outcome::Unconfirmed,
            false => Outcome::Unknown,
        };
        assert_eq!(gate.handle_reply(now, host, Reply { id, outcome }), []);
    }
}

/// Tokens that a home grants in the ten seconds from 10 s on, in which this many of the three other
/// hosts of its domain answer that they are unconfirmed too.
fn granted_while_cut_off(unconfirmed: usize) -> usize {
    let mut gate = confirmed_until(3_000);
    let mut granted = 0;
    for ms in (3_400..20_000).step_by(400) {
        answer_polls(&mut gate, at(ms), unconfirmed);
        let now = grants(&mut gate, at(ms));
        granted += if ms >= 10_000 { now } else { 0 };
    }
    granted
}

/// Guards against a home on one side of a cut that grants what its successor grants on the other,
/// and against one that grants nothing when no successor can be there.
#[test]
fn an_unconfirmed_home_grants_the_part_of_the_hosts_on_its_side() {
    let granted = (0..=3).map(granted_while_cut_off).collect::<Vec<_>>();
    assert_eq!(granted, [27, 52, 79, 105]);
}

/// Guards against a successor that grants the part of a host, one of four, that may be cut off with
/// others and grant them the part of its own.
#[test]
fn a_successor_leaves_out_the_part_of_vanished_hosts_for_two_minutes() {
    let (all, home) = (hosts(HOSTS), near_home());
    let left = all.iter().filter(|host| **host != home);
    let left = left.cloned().collect::<Vec<_>>();
    let successor = Map::new(&terms(), &left).home(&"limited".into(), &home.domain);
    let own = all.iter().find(|host| Some(host.address) == successor);
    let mut gate = gate(own.cloned().expect("a successor"), 1);
    gate.configure(at(0), &directory(&[limited()]), &all);
    confirm(&mut gate, 0, 2_000);
    gate.configure(at(2_000), &directory(&[limited()]), &left);
    let mut count = |from: u64, to: u64| {
        let moments = (from..to).step_by(100);
        let granted = moments.map(|ms| {
            gate.confirm(at(ms));
            gate.tick(at(ms));
            grants(&mut gate, at(ms))
        });
        granted.sum::<usize>() as f64
    };
    count(2_100, 10_000);
    let (early, _) = (count(10_000, 20_000), count(20_000, 123_000));
    let late = count(123_000, 133_000);
    assert!((early / late - 0.75).abs() < 0.02, "{early} of {late}");
}
