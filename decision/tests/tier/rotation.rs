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
    (0..10).for_each(|at| rotation.record(now, at > 1));
    rotation
}

#[test]
fn a_host_that_alone_fails_leaves_and_is_tried_again() {
    let mut rotation = failing();
    let now = Time::from_us(2);
    assert!(!rotation.is_in_service(now, ONE_FAILING));
    assert!(!rotation.is_in_service(now.after(Span::from_secs(3)), ONE_FAILING));
    assert!(rotation.is_in_service(now.after(Span::from_secs(5)), ONE_FAILING));
}

#[test]
fn where_most_hosts_fail_all_stay() {
    let mut rotation = failing();
    let most_failing = Peers {
        failing: 5,
        ..ONE_FAILING
    };
    assert!(rotation.is_in_service(Time::from_us(2), most_failing));
    assert!(!rotation.others_healthier(most_failing));
}

#[test]
fn a_failing_host_without_the_voters_leaves() {
    let cut_off = Peers {
        voters_reachable: false,
        failing: 7,
        ..ONE_FAILING
    };
    assert!(!failing().is_in_service(Time::from_us(2), cut_off));
}

#[test]
fn a_few_failures_are_borne() {
    let mut rotation = Rotation::default();
    let now = Time::from_us(1);
    (0..20).for_each(|at| rotation.record(now, at % 2 == 0));
    assert!(rotation.is_in_service(now, ONE_FAILING));
}
