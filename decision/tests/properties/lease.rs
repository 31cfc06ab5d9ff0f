//! Properties of the lease: it is held only if a majority has lately confirmed that no newer
//! file was accepted.

use quickcheck::TestResult;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::lease::Confirm;
use wagtailbeam_decision::lease::LEASE_DURATION;
use wagtailbeam_decision::lease::Lease;
use wagtailbeam_decision::roster::Report;

use crate::check;

/// Number of voters.
const VOTERS: u8 = 5;

/// A confirmation: voter, time of the poll in ms, version, and whether the voter votes.
type Step = (u8, u16, u8, bool);

fn confirm(step: &Step) -> Confirm {
    let (voter, sent, version, voting) = *step;
    Confirm {
        voter: format!("v{}", voter % VOTERS).as_str().into(),
        sent: Time::from_us(u64::from(sent) * 1_000),
        boot: 1,
        voting,
        file: Some((u64::from(version % 4), Digest::default())),
        report: Report::default(),
    }
}

fn is_held_only_if_confirmed(steps: Vec<Step>, now: u16, version: u8) -> TestResult {
    let (now, version) = (
        Time::from_us(u64::from(now) * 1_000),
        u64::from(version % 4),
    );
    let mut lease = Lease::new(usize::from(VOTERS));
    steps.iter().for_each(|step| lease.record(confirm(step)));
    if !lease.is_held(now, version) {
        return TestResult::passed();
    }
    let confirms = |voter: u8| {
        steps.iter().map(confirm).any(|confirm| {
            let same = confirm.voter == format!("v{voter}").as_str().into();
            let fresh = now.since(confirm.sent) < LEASE_DURATION;
            let newest = confirm.file.is_some_and(|(newest, _)| newest <= version);
            same && fresh && newest && confirm.voting
        })
    };
    let count = (0..VOTERS).filter(|voter| confirms(*voter)).count();
    TestResult::from_bool(count > usize::from(VOTERS) / 2)
}

#[test]
fn a_lease_needs_a_fresh_majority() {
    let property = is_held_only_if_confirmed as fn(Vec<Step>, u16, u8) -> TestResult;
    check(21, 60, 5_000, property);
}

/// A daemon that was paused for 30 s, or that only a minority still answers, must not
/// keep its old lease.
#[test]
fn a_paused_or_isolated_daemon_has_no_lease() {
    let mut lease = Lease::new(3);
    for voter in 0..3 {
        lease.record(confirm(&(voter, 0, 1, true)));
    }
    assert!(lease.is_held(Time::from_us(LEASE_DURATION.as_us() - 1), 1));
    assert!(!lease.is_held(Time::from_us(LEASE_DURATION.as_us()), 1));
    assert!(!lease.is_held(Time::from_us(30_000_000), 1));
    lease.record(confirm(&(0, 30_000, 1, true)));
    assert!(!lease.is_held(Time::from_us(30_000_000), 1));
}

/// Once a majority accepted a newer file, a daemon with the old one must lose its lease.
#[test]
fn an_outdated_file_has_no_lease() {
    let mut lease = Lease::new(3);
    lease.record(confirm(&(0, 0, 2, true)));
    lease.record(confirm(&(1, 0, 2, true)));
    lease.record(confirm(&(2, 0, 1, true)));
    assert!(!lease.is_held(Time::from_us(1), 1));
    assert!(lease.is_held(Time::from_us(1), 2));
}
