use std::sync::Arc;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::endpoint::Endpoint;
use wagtailbeam_decision::endpoint::Expected;

use crate::model;

const EXPECTED: Expected = Expected {
    median: Span::from_ms(20),
    high: Span::from_ms(40),
};

const WARMUP: Span = Span::from_secs(3);

fn ms(ms: u64) -> Time {
    Time::from_us(ms * 1_000)
}

fn endpoint() -> Endpoint {
    let replica = model::replica("gate", 0, "east");
    Endpoint::new(ms(0), Arc::new(replica), ms(0))
}

#[test]
fn an_overdue_replica_costs_more_until_it_answers() {
    let mut overdue_replica = endpoint();
    let idle = overdue_replica.cost(ms(0));
    overdue_replica.record_send(ms(0), 1, EXPECTED);
    let busy = overdue_replica.cost(ms(10));
    let overdue = overdue_replica.cost(ms(60));
    assert!(idle < busy && busy * 3.0 < overdue);
    overdue_replica.record_end(ms(61), 1, Ending::Answered, EXPECTED, WARMUP);
    assert!(overdue_replica.cost(ms(62)) < overdue / 3.0);
}

#[test]
fn a_silent_replica_is_unusable_until_it_answers() {
    let mut silent = endpoint();
    silent.record_send(ms(0), 1, EXPECTED);
    silent.record_send(ms(300), 2, EXPECTED);
    assert!(!silent.is_usable(ms(450)));
    silent.record_end(ms(451), 1, Ending::Answered, EXPECTED, WARMUP);
    assert!(silent.is_usable(ms(800)));
}

#[test]
fn a_refusing_replica_is_probed_by_one_request_after_the_backoff() {
    let mut refusing = endpoint();
    refusing.record_send(ms(0), 1, EXPECTED);
    refusing.record_end(ms(1), 1, Ending::Unreachable, EXPECTED, WARMUP);
    assert!(!refusing.is_usable(ms(100)));
    assert!(refusing.is_usable(ms(200)));
    refusing.record_send(ms(200), 2, EXPECTED);
    assert!(!refusing.is_usable(ms(201)));
}

#[test]
fn a_cold_replica_gets_at_most_its_share_per_second() {
    let mut cold = endpoint();
    cold.mark_cold(ms(5_000));
    let mut sent = Vec::new();
    for at in 0..4_000 {
        if cold.has_cold_capacity(ms(at), 2) {
            cold.record_send(ms(at), at, EXPECTED);
            cold.record_end(ms(at), at, Ending::Answered, EXPECTED, WARMUP);
            sent.push(at);
        }
    }
    let over_limit = sent.windows(3).any(|three| three[2] - three[0] < 1_000);
    assert!(!over_limit && sent.len() >= 6);
}
