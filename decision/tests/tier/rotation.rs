use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::rotation::Others;
use wagtailbeam_decision::rotation::Rotation;

const ALONE: Others = Others {
    fresh: true,
    hosts: 7,
    failing: 1,
};

fn failing() -> Rotation {
    let mut rotation = Rotation::default();
    let now = Time::from_us(1);
    (0..10).for_each(|at| rotation.note(now, at > 1));
    rotation
}

#[test]
fn a_host_that_alone_fails_leaves_and_is_tried_again() {
    let mut rotation = failing();
    let now = Time::from_us(2);
    assert!(!rotation.is_in(now, ALONE));
    assert!(!rotation.is_in(now.after(Span::from_secs(3)), ALONE));
    assert!(rotation.is_in(now.after(Span::from_secs(5)), ALONE));
}

#[test]
fn where_most_hosts_fail_all_stay() {
    let mut rotation = failing();
    let most = Others {
        failing: 5,
        ..ALONE
    };
    assert!(rotation.is_in(Time::from_us(2), most));
    assert!(!rotation.is_elsewhere_better(most));
}

#[test]
fn a_failing_host_without_the_voters_leaves() {
    let cut_off = Others {
        fresh: false,
        failing: 7,
        ..ALONE
    };
    assert!(!failing().is_in(Time::from_us(2), cut_off));
}

#[test]
fn a_few_failures_are_borne() {
    let mut rotation = Rotation::default();
    let now = Time::from_us(1);
    (0..20).for_each(|at| rotation.note(now, at % 2 == 0));
    assert!(rotation.is_in(now, ALONE));
}
