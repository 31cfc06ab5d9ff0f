use std::net::SocketAddr;
use std::sync::Arc;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::feed::Feed;
use wagtailbeam_decision::feed::Subscriber;
use wagtailbeam_decision::name::Name;

fn voter(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at], 70))
}

fn subscriber() -> Subscriber {
    Subscriber::new(
        Time::from_us(1),
        Name::from("east"),
        vec![voter(1), voter(2)],
        0,
    )
}

fn ms(ms: u64) -> Time {
    Time::from_us(ms * 1_000)
}

fn feed(revision: u64, version: u64) -> Feed {
    Feed {
        fresh: true,
        revision,
        version,
        document: Some(Arc::from(version.to_string().as_bytes())),
        voters: vec![voter(1), voter(2), voter(3)],
        ..Feed::default()
    }
}

#[test]
fn a_host_switches_from_a_silent_voter_to_the_next() {
    let mut subscriber = subscriber();
    assert_eq!(
        subscriber.tick(ms(1), false).map(|(to, _)| to),
        Some(voter(1))
    );
    let switched_at = (2..400).find_map(|at| {
        let heartbeat = subscriber.tick(ms(at), false)?;
        (heartbeat.0 == voter(2)).then_some(at)
    });
    assert!(switched_at.is_some_and(|at| at <= 350));
}

#[test]
fn an_older_state_is_ignored() {
    let mut subscriber = subscriber();
    let first = subscriber.handle_feed(ms(1), voter(1), feed(5, 9));
    assert_eq!(first.document.map(|(version, _)| version), Some(9));
    let older = subscriber.handle_feed(ms(2), voter(1), feed(4, 8));
    assert_eq!(older.document, None);
    assert_eq!(older.closed, None);
}

#[test]
fn a_host_is_fresh_for_a_limited_time_after_a_fresh_feed() {
    let mut subscriber = subscriber();
    subscriber.handle_feed(ms(10), voter(1), feed(1, 1));
    assert!(subscriber.is_fresh(ms(1_000)));
    let isolated = Feed::default();
    subscriber.handle_feed(ms(1_400), voter(1), isolated);
    assert!(!subscriber.is_fresh(ms(1_600)));
    assert_eq!(subscriber.age(ms(1_610)), Some(Span::from_ms(1_600)));
}
