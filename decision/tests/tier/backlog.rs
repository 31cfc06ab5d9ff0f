//! Requests that arrive at a host before it is able to serve.

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::load::backlog::Backlog;

/// Time from a host's start to its first configuration and list after a loss of power.
const ABLE_AFTER: Span = Span::from_ms(450);

/// How callers fare that come back within a second to a host that has just started.
#[derive(Debug, Default)]
struct Fate {
    served_in_time: usize,
    refused: usize,
    longest_wait_ms: u64,
}

/// Replays arrivals, each with the time that its caller has left, and counts their fates with and
/// without a backlog.
fn replay(arrivals: &[(u64, u64)], mut backlog: Option<Backlog>) -> Fate {
    let mut fate = Fate::default();
    let mut next = 0;
    for ms in 0..4_000 {
        let now = Time::from_us(ms * 1_000);
        let able = now >= Time::default().after(ABLE_AFTER);
        while arrivals.get(next).is_some_and(|(at, _)| *at <= ms) {
            let left = Span::from_ms(arrivals[next].1);
            let waits = backlog.as_mut().filter(|_| !able);
            let waits = waits.is_some_and(|backlog| backlog.push(now, next as u64, left));
            match (able, waits) {
                (true, _) => fate.served_in_time += 1,
                (false, true) => {}
                (false, false) => fate.refused += 1,
            }
            next += 1;
        }
        let Some(backlog) = &mut backlog else {
            continue;
        };
        let released = match able {
            true => backlog.release(now),
            false => backlog.expire(now),
        };
        for request in released {
            let left = Span::from_ms(arrivals[request.id as usize].1);
            fate.longest_wait_ms = fate.longest_wait_ms.max(request.waited.as_ms());
            match able && request.waited < left {
                true => fate.served_in_time += 1,
                false => fate.refused += 1,
            }
        }
    }
    fate
}

/// Guards against callers that are refused with their last attempt although the host is able to
/// serve them a moment later: all callers return within a second of a loss of power.
#[test]
fn callers_that_return_to_a_starting_host_are_served_once_it_is_able() {
    let arrivals = (0..200).map(|index| (index * 5, [300, 600, 1_200, 2_000][index as usize % 4]));
    let arrivals = arrivals.collect::<Vec<_>>();
    let refused_at_once = replay(&arrivals, None);
    let waiting = replay(&arrivals, Some(Backlog::default()));
    println!("refused at once: {refused_at_once:?}; waiting: {waiting:?}");
    let able_at = ABLE_AFTER.as_ms();
    let gives_up = |(at, left): &&(u64, u64)| at + left / 2 < able_at;
    let given_up = arrivals.iter().filter(gives_up).count();
    let early = arrivals.iter().filter(|(at, _)| *at < able_at).count();
    assert_eq!(refused_at_once.refused, early);
    assert_eq!(
        (waiting.refused, waiting.served_in_time),
        (given_up, 200 - given_up)
    );
    assert!(waiting.longest_wait_ms <= ABLE_AFTER.as_ms());
}

/// Guards against requests that are held until their callers have no time left for another host.
#[test]
fn a_request_waits_for_half_of_its_time_and_a_second_at_most() {
    let mut backlog = Backlog::default();
    let start = Time::from_us(1);
    assert!(backlog.push(start, 1, Span::from_ms(400)));
    assert!(backlog.push(start, 2, Span::from_secs(20)));
    assert_eq!(backlog.next_timer(), Some(start.after(Span::from_ms(200))));
    let at = |ms| start.after(Span::from_ms(ms));
    let ids = |released: Vec<_>| {
        let ids = released.iter();
        let ids = ids.map(|request: &wagtailbeam_decision::load::backlog::Released| request.id);
        ids.collect::<Vec<_>>()
    };
    assert_eq!(ids(backlog.expire(at(199))), []);
    assert_eq!(ids(backlog.expire(at(200))), [1]);
    assert_eq!(ids(backlog.expire(at(999))), []);
    assert_eq!(ids(backlog.expire(at(1_000))), [2]);
    assert_eq!(backlog.next_timer(), None);
}

/// Guards against memory that grows with callers of a host that never gets a configuration, and
/// against work for callers that left.
#[test]
fn the_backlog_is_bounded_and_forgets_callers_that_left() {
    let mut backlog = Backlog::default();
    let now = Time::from_us(1);
    let taken = (0..1_000).filter(|id| backlog.push(now, *id, Span::from_secs(1)));
    assert_eq!(taken.count(), 256);
    backlog.remove(0);
    assert_eq!(backlog.release(now).len(), 255);
}
