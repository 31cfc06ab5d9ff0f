use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::rollout::Phase;
use wagtailbeam_decision::rollout::Stage;
use wagtailbeam_decision::rollout::Step;
use wagtailbeam_decision::rollout::order::Group;
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

/// The state as builds before rollouts store it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct OlderState {
    revision: u64,
    version: u64,
    document: Arc<[u8]>,
    closed: BTreeSet<Name>,
    seats: Vec<Incarnation>,
}

fn rollout(target: &str) -> Change {
    requested(target, 0)
}

/// A rollout whose request has this number.
fn requested(target: &str, request: u64) -> Change {
    Change::Rollout {
        service: Name::from("wallet"),
        target: Name::from(target),
        duration: Span::from_secs(60),
        request,
    }
}

/// A state with a configuration, a closed domain and a rollout, and an ended one.
fn rolled() -> State {
    let changes = [
        configure(3),
        Change::Close(Name::from("east")),
        rollout("v2"),
        end(3, 0, Phase::Completed),
        rollout("v3"),
        end(5, 0, Phase::RolledBack),
        rollout("v4"),
    ];
    let apply = |state: State, change: &Change| state.decide(change).0.expect("a change");
    changes.iter().fold(State::default(), apply)
}

fn end(id: u64, serial: u64, phase: Phase) -> Change {
    Change::Step {
        service: Name::from("wallet"),
        id,
        serial,
        step: Step {
            phase,
            stage: Stage::Closing,
            share: 1_000,
            elapsed: Span::from_secs(50),
        },
    }
}

/// Disks hold states of older builds, several of them in one batch.
#[test]
fn a_stored_state_of_an_older_build_is_decoded() {
    let older = OlderState {
        revision: 7,
        version: 3,
        document: Arc::from(&b"{}"[..]),
        closed: BTreeSet::from([Name::from("east")]),
        seats: vec![Incarnation::default()],
    };
    let bytes = postcard::to_stdvec(&(&older, &older)).expect("bytes");
    let (first, second): (State, State) = postcard::from_bytes(&bytes).expect("two states");
    assert_eq!(first, second);
    assert_eq!((first.revision, first.version), (7, 3));
    assert_eq!(first.closed, older.closed);
    assert!(first.rollouts.is_empty());
    let again = postcard::to_stdvec(&(&first, &second)).expect("bytes");
    assert_eq!(again, bytes, "a state without rollouts is stored as before");
}

/// An older voter may decide the next change during an upgrade; the rollouts must survive it.
#[test]
fn an_older_build_reads_the_state_and_keeps_its_rollouts() {
    let state = rolled();
    let bytes = postcard::to_stdvec(&(&state, 9_u64)).expect("bytes");
    let (older, next): (OlderState, u64) = postcard::from_bytes(&bytes).expect("an older state");
    assert_eq!(next, 9);
    assert_eq!((older.revision, older.version), (state.revision, 3));
    assert!(older.closed.contains("east"));
    let bytes = postcard::to_stdvec(&older).expect("bytes");
    let read: State = postcard::from_bytes(&bytes).expect("a state");
    assert_eq!(read, state);
}

/// A repeated request must not begin a rollout again, and two must not run at once.
#[test]
fn one_rollout_of_a_service_runs_at_a_time() {
    let (state, verdict) = State::default().decide(&rollout("v2"));
    let state = state.expect("a change");
    assert_eq!(verdict, Verdict::Done);
    // Operators take the conflict as the confirmation that a rollout is in progress.
    assert_eq!(state.decide(&rollout("v2")), (None, Verdict::Conflict));
    assert_eq!(state.decide(&rollout("v3")), (None, Verdict::Conflict));
    let (ended, _) = state.decide(&end(1, 0, Phase::RolledBack));
    let ended = ended.expect("a change");
    assert_eq!(ended.decide(&rollout("v2")), (None, Verdict::Done));
    assert!(ended.decide(&rollout("v3")).0.is_some());
}

/// A voter evaluates a request again if the answers to its proposal were lost. The request that
/// began the rollout must not be refused because of its own rollout, nor may another one with the
/// same target pass for it.
#[test]
fn a_request_evaluated_again_does_not_conflict_with_its_own_rollout() {
    let (state, _) = State::default().decide(&requested("v2", 5));
    let state = state.expect("a change");
    assert_eq!(state.decide(&requested("v2", 5)), (None, Verdict::Done));
    let other = state.decide(&requested("v2", 6));
    assert_eq!(other, (None, Verdict::Conflict));
    let bytes = postcard::to_stdvec(&state).expect("bytes");
    let read: State = postcard::from_bytes(&bytes).expect("a state");
    assert_eq!(read.decide(&requested("v2", 5)), (None, Verdict::Done));
    let (stepped, _) = read.decide(&end(1, 0, Phase::InProgress));
    let stepped = stepped.expect("a change");
    assert_eq!(stepped.decide(&requested("v2", 5)), (None, Verdict::Done));
}

/// Disks and older voters hold rollouts without the number of their request.
#[test]
fn a_rollout_of_an_older_build_is_decoded() {
    let entry = "rollout wallet v2 1 3 60000000 5000000 0 0 90 v1 v0";
    let older = OlderState {
        revision: 7,
        version: 3,
        document: Arc::from(&b"{}"[..]),
        closed: BTreeSet::from([Name::from(entry)]),
        seats: Vec::new(),
    };
    let bytes = postcard::to_stdvec(&older).expect("bytes");
    let state: State = postcard::from_bytes(&bytes).expect("a state");
    let record = &state.rollouts["wallet"];
    assert_eq!((record.share, record.request), (90, 0));
    let repeated = state.decide(&requested("v2", 5));
    assert_eq!(repeated, (None, Verdict::Conflict));
}

/// Two voters may decide a step from the same state.
#[test]
fn a_step_takes_effect_once() {
    let (state, _) = State::default().decide(&rollout("v2"));
    let state = state.expect("a change");
    let (next, verdict) = state.decide(&end(1, 0, Phase::InProgress));
    assert_eq!(verdict, Verdict::Done);
    let next = next.expect("a change");
    let again = next.decide(&end(1, 0, Phase::Completed));
    assert_eq!(again, (None, Verdict::Superseded));
    let other = next.decide(&end(2, 1, Phase::Completed));
    assert_eq!(other, (None, Verdict::Superseded));
}

/// Only replicas of the last good version are old ones; a version that was rolled back stays out.
#[test]
fn later_rollouts_remember_earlier_ones() {
    let state = rolled();
    let record = &state.rollouts["wallet"];
    let group = |version: &str| record.group(Some(&Name::from(version)));
    let groups = ["v1", "v2", "v3", "v4"].map(group);
    let expected = [Group::Barred, Group::Old, Group::Barred, Group::New];
    assert_eq!(groups, expected);
}
