use std::sync::Arc;

use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::tier::Change;
use wagtailbeam_decision::tier::Claim;
use wagtailbeam_decision::tier::State;
use wagtailbeam_decision::tier::Verdict;
use wagtailbeam_decision::voter::Incarnation;

fn configure(version: u64) -> Change {
    let document = Arc::from(version.to_string().as_bytes());
    Change::Configure { version, document }
}

#[test]
fn the_highest_version_wins_in_any_order() {
    let mut state = State::default();
    for version in [3, 1, 7, 7, 5] {
        let (next, verdict) = state.decide(&configure(version));
        assert_eq!(next.is_some(), verdict == Verdict::Done);
        state = next.unwrap_or(state);
    }
    assert_eq!((state.version, state.revision), (7, 2));
    assert_eq!(&*state.document, b"7");
}

#[test]
fn a_failure_domain_closes_once_and_opens_again() {
    let east = Name::from("east");
    let (closed, _) = State::default().decide(&Change::Close(east.clone()));
    let closed = closed.expect("a change");
    assert!(closed.decide(&Change::Close(east.clone())).0.is_none());
    let (open, _) = closed.decide(&Change::Open(east));
    assert!(open.expect("a change").closed.is_empty());
}

fn claim(address: &str, nonce: u64, free: Vec<u8>) -> Change {
    let incarnations = vec![Incarnation::default(); 5];
    Change::Seat(Claim {
        address: address.parse().expect("an address"),
        nonce,
        incarnations,
        free,
    })
}

#[test]
fn a_seat_is_assigned_once_and_renewed_for_the_same_address() {
    let (state, first) = State::default().decide(&claim("10.0.0.1:1", 1, vec![3, 4]));
    let state = state.expect("a change");
    let (_, second) = state.decide(&claim("10.0.0.2:1", 2, vec![3]));
    assert_eq!(second, Verdict::Full);
    let (unchanged, again) = state.decide(&claim("10.0.0.1:1", 1, vec![]));
    assert!(unchanged.is_none());
    let (_, renewed) = state.decide(&claim("10.0.0.1:1", 9, vec![]));
    let epoch = |verdict: &Verdict| match verdict {
        Verdict::Seated(seat) => (seat.id, seat.incarnation.epoch),
        _ => panic!("no seat"),
    };
    assert_eq!(
        [epoch(&first), epoch(&again), epoch(&renewed)],
        [(3, 1), (3, 1), (3, 2)]
    );
}
