//! Replicas that become slow by the measurements of all hosts, as they are logged.

use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::fleet::Instance;
use wagtailbeam_decision::load::capacity::Sample;
use wagtailbeam_decision::load::evidence::Evidence;
use wagtailbeam_decision::load::report::Record;
use wagtailbeam_decision::load::report::Report;
use wagtailbeam_decision::load::watch::Crossing;
use wagtailbeam_decision::load::watch::Watch;

fn ms(ms: u64) -> Time {
    Time::from_us(ms * 1_000)
}

/// Sums of a hundred answers of one replica.
fn sums(ratio: f64, failed: bool, confirmed: bool) -> Report {
    let instance = Instance {
        id: "r1".into(),
        born: 1,
    };
    let mut evidence = Evidence::default();
    for _ in 0..100 {
        let ratio = (!failed).then_some(ratio);
        evidence.record(Sample { ratio, failed });
    }
    let record = Record {
        confirmed,
        ..Record::new(instance, &evidence)
    };
    Report::new(vec![record])
}

fn slow(crossings: &[Crossing]) -> Vec<bool> {
    crossings.iter().map(|crossing| crossing.slow).collect()
}

/// Guards against a line with each feed, and against lines of sums that are not confirmed.
#[test]
fn a_replica_is_logged_when_it_becomes_slow_and_when_it_returns() {
    let mut watch = Watch::default();
    let mut at = |at: u64, report: Report| slow(&watch.update(ms(at), &report));
    assert_eq!(at(0, sums(2.0, false, false)), []);
    assert_eq!(at(400, sums(2.0, false, true)), [true]);
    assert_eq!(at(800, sums(2.0, false, true)), []);
    assert_eq!(at(1_200, sums(1.3, false, true)), []);
    assert_eq!(at(1_600, sums(1.5, false, true)), []);
    assert_eq!(at(2_000, Report::default()), []);
    assert_eq!(at(2_599, Report::default()), []);
    assert_eq!(at(2_600, Report::default()), [false]);
    assert_eq!(at(3_000, Report::default()), []);
}

/// Guards against failures or a fast replica that are logged as a slow one.
#[test]
fn failing_and_fast_replicas_differ_but_are_not_slow() {
    let mut watch = Watch::default();
    for report in [sums(1.0, true, true), sums(0.5, false, true)] {
        assert_eq!(watch.update(ms(400), &report), []);
        assert_eq!(watch.differing(ms(401)), 1);
    }
}

/// Guards against a gauge that keeps its value while the voters can't be reached.
#[test]
fn the_number_of_differing_replicas_ends_with_the_sums() {
    let mut watch = Watch::default();
    watch.update(ms(400), &sums(2.0, false, true));
    assert_eq!(watch.differing(ms(3_299)), 1);
    assert_eq!(watch.differing(ms(3_300)), 0);
    watch.update(ms(3_400), &sums(2.0, false, false));
    assert_eq!(watch.differing(ms(3_400)), 0);
}
