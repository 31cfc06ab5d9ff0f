//! Voters that stop for seconds and go on with what they knew and had begun before.

use std::net::SocketAddr;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::feed::Feed;
use wagtailbeam_decision::feed::Heartbeat;
use wagtailbeam_decision::fleet::Fleet;

use crate::group::Group;
use crate::group::address;

/// Time for a group without faults to become stable.
const SETTLE_TIME: Span = Span::from_secs(3);

/// Time for which a voter stands still: longer than the silence after which others count as gone.
const FREEZE_TIME: Span = Span::from_ms(7_600);

/// Entry hosts of the tests; each sends its heartbeats to the voter with its number modulo four,
/// plus one, so that the voter 0 has none.
const HOSTS: usize = 24;

fn host(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, index as u8], 71))
}

/// Lets time pass with heartbeats of all hosts.
fn run(group: &mut Group, span: Span) {
    let end = group.now.after(span);
    while group.now < end {
        for index in 0..HOSTS {
            group.heartbeat(1 + index % 4, host(index), Heartbeat::default());
        }
        group.advance(Span::from_ms(400));
    }
}

/// The feed that a voter answers a heartbeat of the host 0 with.
fn feed(group: &mut Group, at: usize, heartbeat: &Heartbeat) -> Feed {
    group.heartbeat(at, host(0), heartbeat.clone());
    group.deliver_feeds();
    group.feeds[&host(0)].clone()
}

/// Guards against a list from before the freeze that is handed out as new: the result of the old
/// read arrives after a new read has begun.
#[test]
fn a_list_read_before_a_freeze_is_as_old_as_it_is() {
    let mut group = Group::new();
    group.advance(SETTLE_TIME);
    group.configure(1, 1);
    group.advance(Span::from_secs(1));
    let of_voter = |(at, _): &&(SocketAddr, _)| *at == address(0);
    let started = group.reads.iter().rev().find(of_voter).expect("a read").1;
    group.set_frozen(0, true);
    group.advance(FREEZE_TIME);
    group.set_frozen(0, false);
    group.advance(Span::from_ms(10));
    let again = group.reads.iter().rev().find(of_voter).expect("a read").1;
    assert!(again > started);
    group.end_read(0, started, Fleet::default());
    group.advance(Span::from_ms(500));
    let age = feed(&mut group, 0, &Heartbeat::default()).fleet_age;
    assert!(age.is_some_and(|age| age >= FREEZE_TIME), "{age:?}");
}

/// Guards against entry hosts that take most others for gone: a voter that goes on has forgotten
/// the silent ones, and hears of them again one voter at a time.
#[test]
fn a_voter_that_goes_on_tells_of_no_partial_list_of_hosts() {
    let mut group = Group::new();
    group.advance(SETTLE_TIME);
    group.configure(1, 1);
    run(&mut group, Span::from_secs(2));
    let known = feed(&mut group, 0, &Heartbeat::default());
    assert_eq!(known.hosts.map(|hosts| hosts.len()), Some(HOSTS));
    let held = Heartbeat {
        hosts_digest: known.hosts_digest,
        ..Heartbeat::default()
    };
    group.set_frozen(0, true);
    run(&mut group, FREEZE_TIME);
    group.set_frozen(0, false);
    group.tick();
    while group.deliver_next(0) {
        let told = feed(&mut group, 0, &held).hosts.map(|hosts| hosts.len());
        assert!(told.is_none() || told == Some(HOSTS), "{told:?} of {HOSTS}");
    }
    run(&mut group, Span::from_secs(1));
    let told = feed(&mut group, 0, &held);
    assert_eq!(told.hosts_digest, held.hosts_digest);
}
