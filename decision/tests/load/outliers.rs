//! What a host learns of one replica.

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::load::capacity::Capacity;
use wagtailbeam_decision::load::capacity::Estimator;
use wagtailbeam_decision::load::capacity::Sample;

const NORM: Span = Span::from_ms(20);

fn ms(ms: u64) -> Time {
    Time::from_us(ms * 1_000)
}

fn learned(seed: u64, sample: Sample) -> Capacity {
    let mut capacity = Capacity::new(ms(0), Estimator::Gradient, seed);
    for at in 0..8 {
        capacity.record(ms(at * 100), sample);
    }
    capacity
}

fn slow(seed: u64) -> Capacity {
    learned(seed, Sample::answered(Span::from_ms(80), NORM))
}

/// Guards against a replica that looks fast because it fails fast.
#[test]
fn failing_fast_costs_more_than_slow_answers() {
    let failing = learned(0, Sample::failed());
    let slow = slow(0);
    assert!(failing.cost(ms(800), 0.0, 1.0) > slow.cost(ms(800), 0.0, 1.0));
}

/// Guards against a change that is not followed within two seconds.
#[test]
fn a_change_is_followed_within_two_seconds() {
    let mut capacity = learned(0, Sample::answered(NORM, NORM));
    for at in 8..28 {
        capacity.record(ms(at * 100), Sample::answered(Span::from_ms(80), NORM));
    }
    assert!(capacity.cost(ms(2_800), 0.0, 1.0) > 2.0);
}

/// Guards against a replica that is never measured again.
#[test]
fn a_slow_replica_is_treated_as_normal_for_some_calls() {
    let slow = slow(0);
    let costs = (0..1_000).map(|draw| slow.cost(ms(800), 0.0, f64::from(draw) / 1_000.0));
    let probed = costs.filter(|cost| *cost <= 1.0).count();
    assert!((20..200).contains(&probed), "{probed} of 1000");
}

/// Guards against hosts that return to a recovered replica at the same time.
#[test]
fn hosts_return_to_a_replica_at_different_times() {
    let returned = |seed: u64| {
        let slow = slow(seed);
        let mut times = (0..300).map(|step| ms(800 + step * 100));
        let normal = times.find(|at| slow.cost(*at, 0.0, 1.0) <= 1.0);
        normal.map_or(u64::MAX, Time::as_us)
    };
    let mut times = (0..84).map(|host| returned(host * 12)).collect::<Vec<_>>();
    times.sort_unstable();
    assert!(times[83] < u64::MAX && times[83] - times[0] > 5_000_000);
    let busiest = times.windows(20).map(|some| some[19] - some[0]).min();
    assert!(
        busiest > Some(500_000),
        "20 hosts return within {busiest:?} us"
    );
}

/// Guards against evidence that weighs as much as the norm after one answer in a pause.
#[test]
fn one_answer_in_a_pause_is_forgotten_within_seconds() {
    let mut capacity = learned(0, Sample::answered(NORM, NORM));
    capacity.record(ms(800), Sample::answered(Span::from_ms(170), NORM));
    assert!(capacity.cost(ms(810), 0.0, 1.0) < 1.4);
}
