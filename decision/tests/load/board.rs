//! Reports of hosts on replicas, as a voter adds them up.

use std::net::SocketAddr;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::fleet::Instance;
use wagtailbeam_decision::load::capacity::Sample;
use wagtailbeam_decision::load::evidence::Evidence;
use wagtailbeam_decision::load::report::Board;
use wagtailbeam_decision::load::report::RECORDS_MAX;
use wagtailbeam_decision::load::report::Record;
use wagtailbeam_decision::load::report::Report;

use crate::setup;

fn ms(ms: u64) -> Time {
    Time::from_us(ms * 1_000)
}

fn host(index: usize) -> SocketAddr {
    setup::host_address(index)
}

fn instance(index: usize) -> Instance {
    Instance {
        id: format!("r{index}").as_str().into(),
        born: 1,
    }
}

/// A report of one answer of a replica with this relative latency.
fn report(replica: usize, ratio: f64) -> Report {
    let mut evidence = Evidence::default();
    evidence.record(Sample {
        ratio: Some(ratio),
        failed: false,
    });
    Report::new(vec![Record::new(instance(replica), &evidence)])
}

fn calls(board: &mut Board, now: Time) -> u32 {
    let summary = board.summary(now);
    summary.records.first().map_or(0, |record| record.calls)
}

/// Guards against counting a report twice that the network repeats.
#[test]
fn a_repeated_report_counts_once() {
    let mut board = Board::default();
    for index in 0..8 {
        board.merge(ms(0), host(index), report(0, 4.0));
    }
    let once = calls(&mut board, ms(1));
    for index in 0..8 {
        board.merge(ms(1), host(index), report(0, 4.0));
    }
    assert!(once > 7_900 && calls(&mut board, ms(1)) <= 8_000);
}

/// Guards against evidence that outlives its hosts when reports are lost.
#[test]
fn a_report_loses_weight_and_ends_after_five_seconds() {
    let mut board = Board::default();
    for index in 0..30 {
        board.merge(ms(0), host(index), report(0, 5.0));
    }
    let at_first = calls(&mut board, ms(0));
    let later = calls(&mut board, ms(1_500));
    assert!(later < at_first * 51 / 100 && later > at_first * 49 / 100);
    assert_eq!(calls(&mut board, ms(5_000)), 0);
}

/// Guards against a delayed report that counts as a new one.
#[test]
fn a_delayed_report_counts_by_its_age() {
    let mut board = Board::default();
    for index in 0..30 {
        let mut late = report(0, 5.0);
        late.records[0].age = Span::from_ms(4_000);
        board.merge(ms(0), host(index), late);
    }
    assert!(calls(&mut board, ms(0)) < 30_000 / 6);
    assert_eq!(calls(&mut board, ms(1_001)), 0);
}

/// Guards against sums of those hosts alone that saw slow answers by chance.
#[test]
fn a_replica_is_confirmed_once_all_hosts_had_time_to_report_it() {
    let mut board = Board::default();
    let mut confirmed = Vec::new();
    for at in [0, 400, 800, 1_200] {
        for index in 0..8 {
            board.merge(ms(at), host(index), report(0, 4.0));
        }
        confirmed.push(board.summary(ms(at)).records[0].confirmed);
    }
    assert_eq!(confirmed, [false, false, false, true]);
    for index in 8..40 {
        board.merge(ms(1_300), host(index), report(0, 1.0));
    }
    assert!(board.summary(ms(1_300)).records.is_empty());
}

/// Guards against messages that grow with the number of replicas.
#[test]
fn a_report_is_bounded() {
    let records = (0..300).flat_map(|index| report(index, 4.0).records);
    let bounded = Report::new(records.collect());
    assert_eq!(bounded.records.len(), RECORDS_MAX);
    let bytes = postcard::to_allocvec(&bounded).map_or(usize::MAX, |bytes| bytes.len());
    assert!(bytes <= 4_096, "{bytes} bytes");
}
