//! Daemons that end and start again, as a voter sees them.

use std::net::SocketAddr;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::roster::Member;
use wagtailbeam_decision::roster::Roster;

const HOST: &str = "entry-4";

fn member(boot: u64) -> Member {
    let address = SocketAddr::from(([10, 0, 0, 4], 1));
    Member {
        host: Name::from(HOST),
        domain: Name::from("zone-a"),
        peer: address,
        admin: address,
        boot,
        leaving: false,
        owning: true,
        version: 1,
    }
}

fn boots(roster: &mut Roster, now: Time) -> Vec<u64> {
    let members = roster.report(now).members;
    members.iter().map(|member| member.boot).collect()
}

/// Guards against a daemon that stays out of the group until its next start, because a voter took
/// the refusal that its ended run caused for one of the run that had started since.
#[test]
fn a_refusal_does_not_end_a_run_that_polled_after_the_connection_was_opened() {
    let start = Time::from_us(1);
    let ms = |ms| start.after(Span::from_ms(ms));
    let mut roster = Roster::new(start);
    roster.record(ms(10), member(1));
    roster.record(ms(13), member(2));
    roster.mark_ended(&Name::from(HOST), ms(12));
    assert_eq!(boots(&mut roster, ms(14)), [2]);
    assert_eq!(roster.report(ms(14)).ended, []);
}

/// The same without a new run: the daemon has ended, and late polls of it are ignored.
#[test]
fn a_refusal_ends_the_run_that_polled_before() {
    let start = Time::from_us(1);
    let ms = |ms| start.after(Span::from_ms(ms));
    let mut roster = Roster::new(start);
    roster.record(ms(10), member(1));
    roster.mark_ended(&Name::from(HOST), ms(12));
    roster.record(ms(13), member(1));
    assert_eq!(boots(&mut roster, ms(14)), []);
    assert_eq!(roster.report(ms(14)).ended, [(Name::from(HOST), 1)]);
}
