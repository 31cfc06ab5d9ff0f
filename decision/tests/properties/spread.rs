//! Failures that are held back until other daemons know of a suspicion.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::request::Cause;
use wagtailbeam_decision::request::Outcome;
use wagtailbeam_decision::spread::Reply;
use wagtailbeam_decision::spread::Spread;

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
