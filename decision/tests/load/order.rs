//! The order of waiting parts, without a gateway.

use std::collections::BTreeSet;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::load::waiting::Key;
use wagtailbeam_decision::load::waiting::PARTS_MAX;
use wagtailbeam_decision::load::waiting::Part;
use wagtailbeam_decision::load::waiting::Queue;

/// A time at which all parts can meet their objective.
const START: Time = Time::from_us(0);

fn key(request: u64) -> Key {
    Key { request, part: 0 }
}

/// A part of 10 ms with priority 0 and the request's number as its deadline in milliseconds.
fn part(request: u64, account: &str) -> Part {
    Part {
        key: key(request),
        priority: 0,
        account: (!account.is_empty()).then(|| account.into()),
        timely_until: Time::from_us(request * 1_000),
        deadline: Time::from_us(request * 1_000),
        length: Span::from_ms(10),
    }
}

fn queue(parts: impl IntoIterator<Item = Part>) -> Queue {
    let mut queue = Queue::default();
    for part in parts {
        assert_eq!(queue.push(part), None);
    }
    queue
}

/// Serves up to `count` parts and returns the numbers of their requests.
fn serve(queue: &mut Queue, count: usize) -> Vec<u64> {
    let mut served = Vec::new();
    while served.len() < count
        && let Some(part) = queue.first(START, &BTreeSet::new())
    {
        let key = part.key;
        queue.serve(key);
        served.push(key.request);
    }
    served
}

/// Guards against urgent requests that wait for others.
#[test]
fn a_smaller_priority_number_is_served_first() {
    let of_priority = |request, priority| Part {
        priority,
        ..part(request, "a")
    };
    let mut queue = queue([of_priority(1, 5), of_priority(2, 0), of_priority(3, 2)]);
    assert_eq!(serve(&mut queue, 3), [2, 3, 1]);
}

/// Guards against an account that makes others wait until all its parts are served.
#[test]
fn accounts_take_turns() {
    let hot = (1..=100).map(|request| part(request, "hot"));
    let calm = [part(200, "calm"), part(201, "calm"), part(202, "other")];
    let mut queue = queue(hot.chain(calm));
    let first = serve(&mut queue, 6);
    assert_eq!(first, [200, 1, 202, 201, 2, 3]);
}

/// Guards against counting parts rather than the time that they take at replicas.
#[test]
fn accounts_share_the_time_of_replicas() {
    let long = (1..=100).map(|request| Part {
        length: Span::from_ms(100),
        ..part(request, "long")
    });
    let short = (201..=300).map(|request| part(request, "short"));
    let mut queue = queue(long.chain(short));
    let served = serve(&mut queue, 55);
    let long = served.iter().filter(|request| **request <= 100).count();
    assert_eq!((long, served.len() - long), (5, 50));
}

/// Guards against a turn for each request without an account.
#[test]
fn requests_without_an_account_share_a_turn() {
    let anonymous = (1..=10).map(|request| part(request, ""));
    let mut queue = queue(anonymous.chain([part(20, "a"), part(21, "a")]));
    assert_eq!(serve(&mut queue, 4), [1, 20, 2, 21]);
}

/// Guards against parts that miss their deadline behind later ones of the same account.
#[test]
fn an_account_is_served_by_deadline() {
    let mut queue = queue([3, 1, 2].map(|request| part(request, "a")));
    assert_eq!(serve(&mut queue, 3), [1, 2, 3]);
}

/// Guards against an overloaded account whose every answer misses its objective.
#[test]
fn parts_that_miss_their_objective_come_after_those_that_can_meet_it() {
    let parts = (1..=4).map(|request| Part {
        deadline: Time::from_us(100_000),
        ..part(request, "a")
    });
    let mut queue = queue(parts);
    let now = Time::from_us(2_500);
    let mut served = Vec::new();
    while let Some(part) = queue.first(now, &BTreeSet::new()) {
        let key = part.key;
        queue.serve(key);
        served.push(key.request);
    }
    assert_eq!(served, [3, 4, 1, 2]);
}

/// Guards against an account that is served alone for a while because it had no parts before.
#[test]
fn an_idle_account_saves_nothing_up() {
    let mut queue = queue((1..=50).map(|request| part(request, "busy")));
    serve(&mut queue, 20);
    for request in 100..110 {
        queue.push(part(request, "new"));
    }
    let served = serve(&mut queue, 10);
    let new = served.iter().filter(|request| **request >= 100).count();
    assert_eq!(new, 5);
}

/// Guards against an account that gets a further turn by letting its parts run out.
#[test]
fn an_account_without_parts_keeps_its_past() {
    let mut queue = queue([part(1, "a"), part(2, "b"), part(3, "b"), part(4, "c")]);
    assert_eq!(serve(&mut queue, 1), [1]);
    queue.push(part(5, "a"));
    assert_eq!(serve(&mut queue, 4), [2, 4, 5, 3]);
}

/// Guards against one part without a usable replica that holds up all others.
#[test]
fn a_part_that_does_not_fit_is_passed_over() {
    let mut queue = queue([part(1, "a"), part(2, "b")]);
    let passed = BTreeSet::from([key(1)]);
    assert_eq!(
        queue.first(START, &passed).map(|part| part.key),
        Some(key(2))
    );
    let all = BTreeSet::from([key(1), key(2)]);
    assert_eq!(queue.first(START, &all), None);
}

/// Guards against an account with many parts that pushes out those of others.
#[test]
fn a_full_queue_drops_the_latest_part_of_the_fullest_account() {
    let calm = (1..=10).map(|request| part(request, "calm"));
    let hot = (11..=PARTS_MAX as u64).map(|request| part(request, "hot"));
    let mut queue = queue(calm.chain(hot));
    let last = PARTS_MAX as u64;
    assert_eq!(queue.push(part(5_000, "new")), Some(key(last)));
    assert_eq!(queue.push(part(6_000, "hot")), Some(key(6_000)));
    let late = Part {
        priority: 1,
        ..part(1, "late")
    };
    let late = Part {
        key: key(7_000),
        ..late
    };
    assert_eq!(queue.push(late), Some(key(7_000)));
    assert_eq!(queue.len(), PARTS_MAX);
}

/// Guards against a part that waits twice, and so could be sent twice.
#[test]
fn a_part_waits_once() {
    let mut queue = queue([part(1, "a")]);
    assert_eq!(queue.push(part(1, "a")), None);
    assert_eq!((queue.len(), serve(&mut queue, 5)), (1, vec![1]));
}

/// Guards against parts that are lost, or served though they left. For any order of arrivals,
/// services and departures, what is left is what was pushed and neither served nor removed.
#[test]
fn each_part_leaves_once() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut queue = Queue::default();
        let mut waiting = BTreeSet::new();
        for (index, (kind, account, priority)) in steps.into_iter().enumerate() {
            let request = index as u64;
            let account = format!("a{}", account % 5);
            match kind % 4 {
                0 => {
                    let Some(first) = queue.first(START, &BTreeSet::new()).map(|part| part.key)
                    else {
                        continue;
                    };
                    queue.serve(first);
                    if !waiting.remove(&first) {
                        return false;
                    }
                }
                1 => {
                    let leaving = key(u64::from(priority) % (request + 1));
                    queue.remove(leaving);
                    waiting.remove(&leaving);
                }
                _ => {
                    queue.push(Part {
                        priority: u32::from(priority % 3),
                        ..part(request, &account)
                    });
                    waiting.insert(key(request));
                }
            }
        }
        let left = serve(&mut queue, usize::MAX).into_iter().map(key);
        left.collect::<BTreeSet<_>>() == waiting && queue.is_empty()
    }
    quickcheck::QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}
