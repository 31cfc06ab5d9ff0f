use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::rotation::Peers;
use wagtailbeam_decision::rotation::Rotation;

const ONE_FAILING: Peers = Peers {
    voters_reachable: true,
    hosts: 7,
    failing: 1,
};

fn failing() -> Rotation {
    let mut rotation = Rotation::default();
    let now = Time::from_us(1);
    (0..10).for_each(|index| rotation.record(now, index > 1));
    rotation
}

#[test]
fn a_single_failing_host_is_removed_and_later_retried() {
    let mut rotation = failing();
    let now = Time::from_us(2);
    assert!(!rotation.update(now, ONE_FAILING));
    assert!(!rotation.update(now.after(Span::from_secs(3)), ONE_FAILING));
    assert!(rotation.update(now.after(Span::from_secs(5)), ONE_FAILING));
}

#[test]
fn all_hosts_stay_when_most_of_them_fail() {
    let mut rotation = failing();
    let most_failing = Peers {
        failing: 5,
        ..ONE_FAILING
    };
    assert!(rotation.update(Time::from_us(2), most_failing));
    assert!(!rotation.others_healthier(most_failing));
}

#[test]
fn a_failing_host_cut_off_from_the_voters_is_removed() {
    let cut_off = Peers {
        voters_reachable: false,
        failing: 7,
        ..ONE_FAILING
    };
    assert!(!failing().update(Time::from_us(2), cut_off));
}

#[test]
fn half_of_the_answers_may_fail() {
    let mut rotation = Rotation::default();
    let now = Time::from_us(1);
    (0..20).for_each(|index| rotation.record(now, index % 2 == 0));
    assert!(rotation.update(now, ONE_FAILING));
}
