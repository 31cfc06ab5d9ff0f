//! Failures that are held back until other daemons know of a suspicion.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::daemon::Daemon;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::message::Action;
use wagtailbeam_decision::message::Dispatch;
use wagtailbeam_decision::message::Event;
use wagtailbeam_decision::message::Identity;
use wagtailbeam_decision::message::Message;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::request::Cause;
use wagtailbeam_decision::request::Outcome;
use wagtailbeam_decision::spread::Reply;
use wagtailbeam_decision::spread::Spread;
use wagtailbeam_decision::suspect::Standing;

fn reply(id: u64) -> Reply {
    Reply {
        to: Name::from("entry-1"),
        id,
        replica: SocketAddr::from(([10, 0, 0, 1], 1)),
        outcome: Outcome::maybe_ran(Cause::ServerFailed),
    }
}

fn hosts() -> BTreeSet<Name> {
    ["entry-2", "entry-3"].map(Name::from).into()
}

#[test]
fn a_failure_is_released_once_all_daemons_have_confirmed() {
    let (now, fingerprint) = (Time::from_us(1), Digest::of(b"fatal"));
    let mut spread = Spread::default();
    assert_eq!(spread.hold(now, reply(1)), Some(reply(1)));
    spread.begin(now, fingerprint, hosts());
    assert_eq!(spread.hold(now, reply(2)), None);
    spread.confirm(&fingerprint, &Name::from("entry-2"));
    assert_eq!(spread.release(now), []);
    spread.confirm(&Digest::of(b"another"), &Name::from("entry-3"));
    assert_eq!(spread.release(now), []);
    spread.confirm(&fingerprint, &Name::from("entry-3"));
    assert_eq!(spread.release(now), [reply(2)]);
    assert_eq!(spread.hold(now, reply(3)), Some(reply(3)));
}

/// Guards against callers that wait for daemons that are frozen or don't confirm.
#[test]
fn a_failure_is_released_after_a_while_without_confirmation() {
    let (now, fingerprint) = (Time::from_us(1), Digest::of(b"fatal"));
    let mut spread = Spread::default();
    spread.begin(now, fingerprint, hosts());
    assert_eq!(spread.hold(now, reply(1)), None);
    assert_eq!(spread.release(now.after(Span::from_ms(149))), []);
    assert_eq!(spread.release(now.after(Span::from_ms(151))), [reply(1)]);
}

/// Guards against failures that are held back for as long as new requests are suspected.
#[test]
fn a_failure_is_not_held_back_by_later_suspicions() {
    let now = Time::from_us(1);
    let mut spread = Spread::default();
    spread.begin(now, Digest::of(b"first"), hosts());
    assert_eq!(spread.hold(now, reply(1)), None);
    let later = now.after(Span::from_ms(100));
    spread.begin(later, Digest::of(b"second"), hosts());
    assert_eq!(spread.hold(later, reply(2)), None);
    let end = now.after(Span::from_ms(151));
    assert_eq!(spread.release(end), [reply(1)]);
}

/// Guards against a failure that reaches its caller before daemons know of the suspicion, because
/// its owner had heard of it from another owner, which waits for them by itself.
#[test]
fn a_failure_waits_for_daemons_that_another_owner_told() {
    let (now, fingerprint) = (Time::from_us(1), Digest::of(b"fatal"));
    let mut spread = Spread::default();
    spread.hear(now, fingerprint, &Name::from("entry-2"));
    assert_eq!(
        spread.begin(now, fingerprint, hosts()),
        [Name::from("entry-3")].into()
    );
    assert_eq!(spread.hold(now, reply(1)), None);
    spread.confirm(&fingerprint, &Name::from("entry-3"));
    assert_eq!(spread.release(now), [reply(1)]);
}

/// A daemon with these two other voters.
fn daemon() -> Daemon {
    let voters = hosts().into_iter().zip(1..);
    let voters = voters.map(|(host, port)| (host, SocketAddr::from(([10, 0, 0, 2], port))));
    let identity = Identity {
        host: Name::from("entry-1"),
        domain: Name::from("zone-a"),
        boot: 1,
        addresses: None,
        voters: voters.collect(),
        dispatch: Dispatch::default(),
    };
    Daemon::new(Time::from_us(1), identity, None)
}

/// Guards against failures that are held back for all of the longest time, because two owners see
/// servers end under a request and each other daemon confirms it to the first one only. Two daemons
/// must not go on confirming it to each other.
#[test]
fn a_suspicion_is_confirmed_once_to_each_daemon_that_tells_of_it() {
    let (now, fingerprint) = (Time::from_us(1), Digest::of(b"fatal"));
    let mut daemon = daemon();
    let mut hear = |host: &str, standing| {
        let message = Message::Standing(fingerprint, standing);
        let actions = daemon.step(now, Event::Message(Name::from(host), message));
        let told = actions.into_iter().filter_map(|action| match action {
            Action::Message(host, _, Message::Standing(_, told)) => Some((host.to_string(), told)),
            _ => None,
        });
        told.collect::<Vec<_>>()
    };
    let told = |host: &str, standing| vec![(host.to_owned(), standing)];
    let (suspect, quarantined) = (Standing::Suspect, Standing::Quarantined);
    assert_eq!(hear("entry-2", suspect), told("entry-2", suspect));
    assert_eq!(hear("entry-3", suspect), told("entry-3", suspect));
    assert_eq!(hear("entry-2", suspect), []);
    assert_eq!(hear("entry-3", quarantined), []);
    assert_eq!(hear("entry-2", suspect), told("entry-2", quarantined));
}
