//! The gate of one host, one case for each rule of the design.

use std::net::SocketAddr;

use wagtailbeam_decision::account::Account;
use wagtailbeam_decision::account::home::Map;
use wagtailbeam_decision::account::quota::Action;
use wagtailbeam_decision::account::quota::Cause;
use wagtailbeam_decision::account::quota::Ending;
use wagtailbeam_decision::account::quota::Gate;
use wagtailbeam_decision::account::token::Outcome;
use wagtailbeam_decision::account::token::Reply;
use wagtailbeam_decision::account::token::Request;
use wagtailbeam_decision::account::token::TokenId;
use wagtailbeam_decision::account::token::Wait;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::plan::Host;

use super::DOMAINS;
use super::account;
use super::directory;
use super::gate;
use super::host;
use super::hosts;
use super::shared;
use super::terms;

pub const HOSTS: usize = 12;

pub fn at(ms: u64) -> Time {
    Time::default().after(Span::from_ms(ms))
}

pub fn limited() -> Account {
    account("limited", 30.0, 30.0)
}

/// Home of the limited account in each domain.
pub fn homes(count: usize) -> Vec<SocketAddr> {
    let map = Map::new(&terms(), &hosts(count));
    let home = |domain: &&str| map.home(&"limited".into(), &(*domain).into());
    DOMAINS.iter().filter_map(home).collect()
}

/// A host of the first domain that is not a home of the limited account.
fn stranger() -> Host {
    let homes = homes(HOSTS);
    let mut all = hosts(HOSTS).into_iter();
    all.find(|host| *host.domain == *DOMAINS[0] && !homes.contains(&host.address))
        .expect("a host that is no home")
}

/// The home in the first domain.
pub fn near_home() -> Host {
    let homes = homes(HOSTS);
    let mut all = hosts(HOSTS).into_iter();
    all.find(|host| host.address == homes[0]).expect("a home")
}

pub fn configured(own: Host, limited: &Account) -> Gate {
    let mut gate = gate(own, 1);
    gate.configure(
        at(0),
        &directory(std::slice::from_ref(limited)),
        &hosts(HOSTS),
    );
    gate
}

/// Asks a home that the voters just confirmed for tokens until it grants none; returns how many it
/// granted.
fn drain(gate: &mut Gate, now: Time) -> usize {
    gate.confirm(now);
    grants(gate, now)
}

/// Asks a home for tokens until it grants none; returns how many it granted.
pub fn grants(gate: &mut Gate, now: Time) -> usize {
    let request = Request {
        id: TokenId(1),
        account: "limited".into(),
        wanted: 1,
    };
    let mut granted = 0;
    while let Action::Reply(_, reply) = gate.answer(now, host(50).address, &request)
        && reply.outcome == Outcome::Granted(1)
    {
        granted += 1;
    }
    granted
}

/// Starts a request at a host that the voters just confirmed.
fn start(gate: &mut Gate, now: Time, id: u64) -> Vec<Action> {
    gate.confirm(now);
    gate.start(now, id, &shared(&limited()), true)
}

/// The home that was asked last, and the request.
pub fn asked(actions: &[Action]) -> (SocketAddr, Request) {
    match actions.last() {
        Some(Action::Ask(home, request)) => (*home, request.clone()),
        other => panic!("no home asked: {other:?}"),
    }
}

fn reply(request: &Request, outcome: Outcome) -> Reply {
    Reply {
        id: request.id,
        outcome,
    }
}

fn empty(ms: u64) -> Outcome {
    Outcome::Empty(Wait {
        turn: Span::from_ms(ms),
        next: Span::from_ms(ms),
    })
}

/// The refusal that ends the actions.
fn refusal(actions: &[Action]) -> (Cause, Span) {
    match actions.last() {
        Some(Action::Refuse(_, cause, wait)) => (*cause, *wait),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn a_request_without_a_quota_is_not_touched() {
    let mut gate = gate(stranger(), 1);
    let free = shared(&account("free", 0.0, 0.0));
    let actions = gate.start(at(5), 7, &free, false);
    assert_eq!(actions, [Action::Admit(7, Span::ZERO)]);
}

#[test]
fn a_home_admits_its_own_callers_without_a_message() {
    let mut gate = configured(near_home(), &limited());
    let actions = start(&mut gate, at(1_000), 1);
    assert_eq!(actions, [Action::Admit(1, Span::ZERO)]);
}

#[test]
fn the_home_in_the_own_domain_is_asked_first_and_the_wait_is_reported() {
    let mut gate = configured(stranger(), &limited());
    let (home, request) = asked(&start(&mut gate, at(0), 1));
    assert_eq!(home, near_home().address);
    let actions = gate.handle_reply(at(4), home, reply(&request, Outcome::Granted(1)));
    assert_eq!(actions.last(), Some(&Action::Admit(1, Span::from_ms(4))));
    let again = gate.handle_reply(at(5), home, reply(&request, Outcome::Granted(1)));
    assert_eq!(again, [], "a repeated answer");
}

#[test]
fn other_domains_are_asked_when_the_own_home_is_empty() {
    let mut gate = configured(near_home(), &limited());
    drain(&mut gate, at(0));
    let (second, request) = asked(&start(&mut gate, at(0), 1));
    assert!(homes(HOSTS)[1..].contains(&second));
    let actions = gate.handle_reply(at(2), second, reply(&request, empty(90)));
    let (third, request) = asked(&actions);
    assert!(homes(HOSTS)[1..].contains(&third) && third != second);
    let actions = gate.handle_reply(at(4), third, reply(&request, Outcome::Granted(1)));
    assert_eq!(actions.last(), Some(&Action::Admit(1, Span::from_ms(4))));
}

#[test]
fn without_a_token_anywhere_the_shortest_wait_is_named_and_no_home_is_asked_until_it_is_over() {
    let mut gate = configured(stranger(), &limited());
    let mut actions = start(&mut gate, at(0), 1);
    let mut order = Vec::new();
    for wait in [300, 200, 400] {
        let (home, request) = asked(&actions);
        order.push(home);
        actions = gate.handle_reply(at(1), home, reply(&request, empty(wait)));
    }
    let (cause, wait) = refusal(&actions);
    assert!(matches!(cause, Cause::Empty(_)));
    assert!(
        wait >= Span::from_ms(200) && wait < Span::from_ms(300),
        "{wait:?}"
    );
    let (_, second) = refusal(&start(&mut gate, at(10), 2));
    assert!(second >= Span::from_ms(190), "{second:?}");
    let (home, _) = asked(&start(&mut gate, at(202), 3));
    assert_eq!(home, order[1]);
}

#[test]
fn a_home_that_does_not_answer_within_15_ms_is_tried_last_for_a_second() {
    let mut gate = configured(stranger(), &limited());
    let (silent, _) = asked(&start(&mut gate, at(0), 1));
    assert_eq!(gate.next_timer(), Some(at(15)));
    assert_eq!(gate.tick(at(14)), []);
    let actions = gate.tick(at(15));
    let ended = [Action::Ended(silent, Ending::Silent), Action::Avoid(silent)];
    assert_eq!(actions[..2], ended);
    let (next, request) = asked(&actions);
    assert_ne!(next, silent);
    gate.handle_reply(at(16), next, reply(&request, Outcome::Granted(1)));
    let (first, _) = asked(&start(&mut gate, at(900), 2));
    assert_ne!(first, silent);
    gate.abandon(2);
    let (first, _) = asked(&start(&mut gate, at(1_016), 3));
    assert_eq!(first, silent);
}

#[test]
fn without_an_answer_the_request_is_refused_as_not_run() {
    let mut gate = configured(stranger(), &limited());
    start(&mut gate, at(0), 1);
    gate.tick(at(15));
    gate.tick(at(30));
    let (cause, wait) = refusal(&gate.tick(at(45)));
    assert_eq!(cause, Cause::Silent);
    assert!(wait > Span::ZERO);
    assert_eq!(gate.waiting_requests(), 0);
}

#[test]
fn one_empty_home_beside_silent_ones_means_that_the_quota_is_used_up() {
    let mut gate = configured(stranger(), &limited());
    let (home, request) = asked(&start(&mut gate, at(0), 1));
    gate.handle_reply(at(1), home, reply(&request, empty(100)));
    gate.tick(at(16));
    let (cause, _) = refusal(&gate.tick(at(31)));
    assert_eq!(cause, Cause::Empty(home));
}

#[test]
fn an_unknown_account_counts_as_no_answer() {
    let mut gate = configured(stranger(), &limited());
    let mut actions = start(&mut gate, at(0), 1);
    for _ in 0..3 {
        let (home, request) = asked(&actions);
        actions = gate.handle_reply(at(1), home, reply(&request, Outcome::Unknown));
    }
    assert_eq!(refusal(&actions).0, Cause::Silent);
}

#[test]
fn a_host_that_is_no_home_of_an_account_knows_no_quota_of_it() {
    let mut gate = configured(stranger(), &limited());
    let request = Request {
        id: TokenId(9),
        account: "limited".into(),
        wanted: 1,
    };
    let action = gate.answer(at(1), host(50).address, &request);
    assert_eq!(
        action,
        Action::Reply(host(50).address, reply(&request, Outcome::Unknown))
    );
}

#[test]
fn a_restarted_home_has_two_tokens() {
    let mut gate = configured(near_home(), &limited());
    assert_eq!(drain(&mut gate, at(0)), 2);
    let full = drain(&mut gate, at(1_500));
    assert!(
        (13..=14).contains(&full),
        "{full}, not the burst of (30 + 10) / 3"
    );
}

#[test]
fn a_suspended_home_has_two_tokens() {
    let mut gate = configured(near_home(), &limited());
    drain(&mut gate, at(0));
    assert_eq!(drain(&mut gate, at(60_000)), 2);
}

#[test]
fn a_lowered_quota_applies_to_the_bucket_at_once() {
    let mut gate = configured(near_home(), &limited());
    gate.tick(at(1_000));
    let lowered = account("limited", 3.0, 0.0);
    gate.configure(at(1_500), &directory(&[lowered]), &hosts(HOSTS));
    assert_eq!(drain(&mut gate, at(1_500)), 3, "(0 + 10) / 3");
    // A third of a token is left, and 1.05 accrue in a second.
    assert_eq!(drain(&mut gate, at(2_100)), 0);
    assert_eq!(drain(&mut gate, at(2_200)), 1);
}

#[test]
fn a_home_keeps_its_bucket_until_it_moves() {
    let limited = limited();
    let known = directory(std::slice::from_ref(&limited));
    let mut gate = configured(near_home(), &limited);
    drain(&mut gate, at(0));
    gate.configure(at(100), &known, &hosts(HOSTS + 1));
    assert_eq!(drain(&mut gate, at(100)), 1, "what accrued");
    let others = hosts(HOSTS).into_iter();
    let others = others.filter(|host| *host != near_home());
    gate.configure(at(200), &known, &others.collect::<Vec<_>>());
    assert_eq!(drain(&mut gate, at(1_000)), 0, "no home any more");
    gate.configure(at(1_200), &known, &hosts(HOSTS));
    assert_eq!(drain(&mut gate, at(1_200)), 2);
}

#[test]
fn a_lost_host_and_a_message_that_was_not_sent_are_no_answer_at_once() {
    let mut gate = configured(stranger(), &limited());
    let (first, _) = asked(&start(&mut gate, at(0), 1));
    let (second, request) = asked(&gate.lose_host(at(1), first));
    assert_ne!(first, second);
    let (third, _) = asked(&gate.undelivered(at(2), request.id));
    assert!(third != first && third != second);
    assert_eq!(refusal(&gate.lose_host(at(3), third)).0, Cause::Silent);
}

#[test]
fn an_abandoned_request_waits_no_longer() {
    let mut gate = configured(stranger(), &limited());
    let (home, request) = asked(&start(&mut gate, at(0), 1));
    gate.abandon(1);
    assert_eq!(gate.waiting_requests(), 0);
    assert_eq!(gate.next_timer(), None);
    let actions = gate.handle_reply(at(3), home, reply(&request, Outcome::Granted(1)));
    assert_eq!(actions, []);
}

#[test]
fn at_most_1024_requests_wait() {
    let mut gate = configured(stranger(), &limited());
    for id in 0..1_024 {
        asked(&start(&mut gate, at(0), id));
    }
    assert_eq!(refusal(&start(&mut gate, at(0), 1_024)).0, Cause::Crowded);
}

/// Guards against a `Retry-After` at which the caller finds no token, or comes back together with
/// all others.
#[test]
fn refused_callers_that_come_back_in_time_are_admitted() {
    let limited = limited();
    let own = near_home();
    let mut gate = gate(own.clone(), 1);
    gate.configure(at(0), &directory(std::slice::from_ref(&limited)), &[own]);
    drain(&mut gate, at(0));
    let mut returns = Vec::new();
    for id in 0..20 {
        let (_, wait) = refusal(&start(&mut gate, at(1), id));
        returns.push(at(1).after(wait));
    }
    returns.sort_unstable();
    returns.dedup();
    assert_eq!(returns.len(), 20);
    let mut admitted = 0;
    for (id, now) in (100..).zip(returns) {
        let actions = start(&mut gate, now, id);
        admitted += usize::from(matches!(actions[..], [Action::Admit(..)]));
    }
    assert!(admitted >= 18, "{admitted} of 20");
}
