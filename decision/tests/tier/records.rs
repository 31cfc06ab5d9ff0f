//! Records of requests under which servers ended: what a process makes of them, and how they
//! reach all hosts.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wagtailbeam_decision::appended::Appended;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::feed::Heartbeat;
use wagtailbeam_decision::feed::Message;
use wagtailbeam_decision::fleet::Instance;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::quarantine::Ledger;
use wagtailbeam_decision::quarantine::Run;
use wagtailbeam_decision::quarantine::Summary;
use wagtailbeam_decision::quota;
use wagtailbeam_decision::quota::Rate;
use wagtailbeam_decision::suspect::Standing;

use crate::check;
use crate::group::Group;

fn ms(ms: u64) -> Time {
    Time::from_us(ms * 1_000)
}

fn host(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, at], 70))
}

fn fatal() -> Digest {
    Digest::of(b"fatal")
}

fn service() -> Name {
    Name::from("shard-1")
}

/// Records that a server ended under the request, which was sent and broke at these times.
fn crash(ledger: &mut Ledger, sent: u64, broke: u64) {
    let run = Run {
        sent: ms(sent),
        broke: ms(broke),
    };
    ledger.record_crash(ms(broke), fatal(), &service(), run);
}

/// A ledger in which the request is quarantined.
fn quarantined(now: u64) -> Ledger {
    let mut ledger = Ledger::default();
    for turn in 0..3 {
        crash(&mut ledger, now + 10 * turn, now + 10 * turn + 5);
    }
    ledger
}

/// Heartbeat of a host that tells its whole ledger.
fn heartbeat(ledger: &mut Ledger, now: Time) -> Heartbeat {
    Heartbeat {
        domain: Name::from("east"),
        ledger: ledger.summary(now, 0).into(),
        ..Heartbeat::default()
    }
}

/// Servers that end at the same moment under one request tell nothing about it.
#[test]
fn servers_that_end_together_count_once() {
    let mut ledger = Ledger::default();
    for _ in 0..5 {
        crash(&mut ledger, 10, 20);
    }
    let standing = ledger.standing(ms(30), &fatal(), &service());
    assert_eq!(standing, Some(Standing::Suspect));
}

#[test]
fn three_servers_that_end_one_after_the_other_quarantine_a_request() {
    let ledger = quarantined(1);
    let standing = ledger.standing(ms(50), &fatal(), &service());
    assert_eq!(standing, Some(Standing::Quarantined));
}

#[test]
fn an_answer_in_between_makes_the_count_begin_anew() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, 1, 5);
    crash(&mut ledger, 6, 10);
    assert!(
        !ledger
            .record_answer(ms(11), &fatal(), &service())
            .is_empty()
    );
    crash(&mut ledger, 12, 15);
    crash(&mut ledger, 16, 20);
    let standing = ledger.standing(ms(30), &fatal(), &service());
    assert_eq!(standing, Some(Standing::Suspect));
}

/// Guards against the quarantine of a harmless request that runs beside the one that ends the
/// servers each time, where few servers are left (soak, seed 42 with notices).
#[test]
fn a_request_that_was_answered_before_survives_three_ends_but_not_six() {
    let mut ledger = Ledger::default();
    ledger.record_answer(ms(1), &fatal(), &service());
    let mut standings = Vec::new();
    for turn in 0..6 {
        crash(&mut ledger, 10 * turn + 10, 10 * turn + 15);
        standings.extend(ledger.standing(ms(100), &fatal(), &service()));
    }
    let mut expected = vec![Standing::Suspect; 5];
    expected.push(Standing::Quarantined);
    assert_eq!(standings, expected);
}

/// Guards against answers that are remembered for ever, or that count for other services.
#[test]
fn an_answer_counts_for_its_service_and_for_a_limited_time() {
    for (service_name, answered_at) in [("another", 1_300_000), ("shard-1", 1)] {
        let mut ledger = Ledger::default();
        ledger.record_answer(ms(answered_at), &fatal(), &Name::from(service_name));
        for turn in 0..3 {
            crash(&mut ledger, 1_300_010 + 10 * turn, 1_300_015 + 10 * turn);
        }
        let standing = ledger.standing(ms(1_300_100), &fatal(), &service());
        assert_eq!(standing, Some(Standing::Quarantined), "{service_name}");
    }
}

/// Guards against a harmless request that a host quarantines although it was answered there, because
/// a restarted host, which doesn't know of the answer, reported the first end.
#[test]
fn an_answer_before_counts_for_ends_that_another_host_reported() {
    for (answered, expected) in [(true, Standing::Suspect), (false, Standing::Quarantined)] {
        let (mut knowing, mut restarted) = (Ledger::default(), Ledger::default());
        if answered {
            knowing.record_answer(ms(1), &fatal(), &service());
        }
        crash(&mut restarted, 10, 15);
        knowing.merge(ms(16), restarted.summary(ms(16), 0).records);
        crash(&mut knowing, 20, 25);
        crash(&mut knowing, 30, 35);
        let standing = |ledger: &Ledger| ledger.standing(ms(40), &fatal(), &service());
        assert_eq!(standing(&knowing), Some(expected));
        restarted.merge(ms(40), knowing.summary(ms(40), 0).records);
        assert_eq!(standing(&restarted), Some(expected));
    }
}

/// Guards against a host without the answer that quarantines the request for all others.
#[test]
fn a_host_adopts_the_record_of_one_where_the_request_was_answered() {
    let (mut knowing, mut other) = (Ledger::default(), Ledger::default());
    knowing.record_answer(ms(1), &fatal(), &service());
    crash(&mut knowing, 10, 15);
    crash(&mut other, 10, 15);
    let summary = knowing.summary(ms(20), other.digest());
    other.merge(ms(20), summary.records);
    for turn in 0..3 {
        crash(&mut other, 10 * turn + 30, 10 * turn + 35);
    }
    let standing = other.standing(ms(100), &fatal(), &service());
    assert_eq!(standing, Some(Standing::Suspect));
}

/// After a change of the routes a request goes to services whose servers it hasn't ended yet.
#[test]
fn a_quarantined_request_is_quarantined_for_services_that_it_never_asked() {
    let ledger = quarantined(1);
    let standing = ledger.standing(ms(50), &fatal(), &Name::from("another"));
    assert_eq!(standing, Some(Standing::Quarantined));
}

/// Guards against counting the ends of servers of several services for one of them: other
/// services answer the request in between (soak, seed 501).
#[test]
fn servers_of_several_services_that_end_between_answers_do_not_add_up() {
    let mut ledger = Ledger::default();
    for turn in 0..6 {
        let (sent, broke) = (10 * turn + 1, 10 * turn + 5);
        let run = Run {
            sent: ms(sent),
            broke: ms(broke),
        };
        let ended = Name::from(format!("shard-{turn}"));
        ledger.record_crash(ms(broke), fatal(), &ended, run);
        let answering = Name::from("shard-9");
        ledger.record_answer(ms(broke + 1), &fatal(), &answering);
    }
    for turn in 0..6 {
        let name = Name::from(format!("shard-{turn}"));
        let standing = ledger.standing(ms(100), &fatal(), &name);
        assert_eq!(standing, Some(Standing::Suspect), "{name}");
    }
}

/// A request may end the servers of one service only; the others still serve it.
#[test]
fn a_request_that_ends_the_servers_of_one_service_is_quarantined_for_that_one() {
    let mut ledger = Ledger::default();
    for turn in 0..3 {
        crash(&mut ledger, 10 * turn + 1, 10 * turn + 5);
        ledger.record_answer(ms(10 * turn + 6), &fatal(), &Name::from("another"));
    }
    let standing = |name: &str| ledger.standing(ms(50), &fatal(), &Name::from(name));
    assert_eq!(standing("shard-1"), Some(Standing::Quarantined));
    assert_ne!(standing("another"), Some(Standing::Quarantined));
    assert_ne!(standing("third"), Some(Standing::Quarantined));
}

/// Guards against records that reach only the hosts of one voter, and against a spread that
/// needs a majority: three of five voters are isolated.
#[test]
fn records_reach_the_hosts_of_all_connected_voters_without_a_majority() {
    let mut group = Group::new();
    group.advance(Span::from_secs(2));
    group.set_isolated(&[2, 3, 4], true);
    group.heartbeat(1, host(2), heartbeat(&mut Ledger::default(), group.now));
    group.advance(Span::from_secs(2));
    let mut ledger = quarantined(group.now.as_us() / 1_000);
    group.heartbeat(0, host(1), heartbeat(&mut ledger, group.now));
    group.advance(Span::from_ms(400));
    let feed = &group.feeds[&host(2)];
    assert_eq!(feed.ledger.digest, ledger.digest());
    assert!(!feed.fresh);
    let mut other = Ledger::default();
    other.merge(group.now, feed.ledger.records.clone());
    let standing = other.standing(group.now, &fatal(), &service());
    assert_eq!(standing, Some(Standing::Quarantined));
}

/// Voters keep the records in memory only, so a restart of all of them must not lose them.
#[test]
fn restarted_voters_get_the_records_back_from_the_hosts() {
    let mut group = Group::new();
    group.advance(Span::from_secs(2));
    let mut ledger = quarantined(group.now.as_us() / 1_000);
    group.heartbeat(0, host(1), heartbeat(&mut ledger, group.now));
    group.advance(Span::from_ms(100));
    (0..5).for_each(|at| group.crash(at));
    (0..5).for_each(|at| group.start(at));
    group.advance(Span::from_secs(1));
    group.heartbeat(3, host(2), heartbeat(&mut Ledger::default(), group.now));
    group.advance(Span::from_ms(100));
    assert_eq!(group.feeds[&host(2)].ledger.digest, 0);
    group.heartbeat(0, host(1), heartbeat(&mut ledger, group.now));
    group.advance(Span::from_ms(500));
    assert_eq!(group.feeds[&host(2)].ledger.digest, ledger.digest());
}

/// For any order in which two processes see servers end and answers come, and exchange their
/// records: they end up with equal ledgers, and an answered request is never quarantined by
/// fewer than three later ends.
#[test]
fn ledgers_that_exchange_their_records_become_equal() {
    fn property(steps: Vec<u8>) -> bool {
        let mut ledgers = [Ledger::default(), Ledger::default()];
        let (mut now, mut ends) = (100, 0);
        for step in steps {
            now += 10;
            let at = usize::from(step % 2);
            match step / 2 % 4 {
                0 | 1 => {
                    crash(&mut ledgers[at], now - 5, now);
                    ends += 1;
                }
                2 => {
                    ledgers[at].record_answer(ms(now), &fatal(), &service());
                }
                _ => exchange(&mut ledgers, at, now),
            }
        }
        exchange(&mut ledgers, 0, now);
        exchange(&mut ledgers, 1, now);
        exchange(&mut ledgers, 0, now);
        let standing = ledgers[0].standing(ms(now), &fatal(), &service());
        ledgers[0].digest() == ledgers[1].digest()
            && (ends >= 3 || standing != Some(Standing::Quarantined))
    }
    fn exchange(ledgers: &mut [Ledger; 2], from: usize, now: u64) {
        let known = ledgers[1 - from].digest();
        let summary = ledgers[from].summary(ms(now), known);
        ledgers[1 - from].merge(ms(now), summary.records);
    }
    check(property as fn(Vec<u8>) -> bool, 500, 40);
}

/// The heartbeat as builds before the records sent it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct OlderHeartbeat {
    domain: Name,
    version: u64,
    fleet: Digest,
    hosts: Digest,
    failing: bool,
}

/// The first variant of messages as older builds know it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum OlderMessage {
    Beat(OlderHeartbeat),
}

/// Processes of both builds run side by side during an upgrade.
#[test]
fn older_and_newer_builds_read_each_others_heartbeats() {
    let newer = Heartbeat {
        version: 7,
        failing: true,
        ledger: quarantined(1).summary(ms(50), 0).into(),
        limits: limits().into(),
        ..heartbeat(&mut Ledger::default(), ms(1))
    };
    let bytes = postcard::to_stdvec(&Message::Heartbeat(newer.clone())).expect("bytes");
    let read: OlderMessage = postcard::from_bytes(&bytes).expect("a heartbeat");
    let OlderMessage::Beat(older) = &read;
    assert_eq!((older.version, older.failing), (7, true));
    let bytes = postcard::to_stdvec(&read).expect("bytes");
    let read: Message = postcard::from_bytes(&bytes).expect("a heartbeat");
    let expected = Heartbeat {
        ledger: Appended(Summary::default()),
        limits: Appended(quota::Report::default()),
        ..newer.clone()
    };
    assert_eq!(read, Message::Heartbeat(expected));
    let without_limits = Heartbeat {
        limits: Appended(quota::Report::default()),
        ..newer
    };
    let message = Message::Heartbeat(without_limits);
    let mut bytes = postcard::to_stdvec(&message).expect("bytes");
    bytes.truncate(bytes.len() - EMPTY_REPORT_BYTES);
    let read: Message = postcard::from_bytes(&bytes).expect("a heartbeat");
    assert_eq!(read, message);
}

/// Length of an empty report of limits, with which a newer build's heartbeat ends.
const EMPTY_REPORT_BYTES: usize = 3;

/// A report of a limit and of the demand for it.
fn limits() -> quota::Report {
    let rate = Rate::from_per_second(2.5).expect("a rate");
    quota::Report {
        digest: 5,
        records: vec![quota::Record {
            instance: Instance {
                id: Name::from("r-1"),
                born: 3,
            },
            limit: Some(rate),
            age: Span::from_ms(20),
        }],
        demands: vec![quota::Demand {
            host: host(1),
            route: Name::from("all"),
            rate,
        }],
    }
}
