//! Parts that wait until a replica has capacity, at one gateway without timers unless a test says
//! so.

use bytes::Bytes;
use wagtailbeam_decision::account::Directory;
use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::endpoint::Ticket;
use wagtailbeam_decision::gateway::Action;
use wagtailbeam_decision::gateway::Call;
use wagtailbeam_decision::gateway::Completion;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::gateway::Gateway;
use wagtailbeam_decision::gateway::Request;
use wagtailbeam_decision::load::waiting::Discipline;
use wagtailbeam_decision::load::waiting::PARTS_MAX;
use wagtailbeam_decision::notice::Notice;

use crate::check;
use crate::model::Simulation;

/// Guards against a new order for callers of deployments that name no accounts.
#[test]
fn parts_wait_in_order_only_where_accounts_are_named() {
    let none = Directory::default();
    let named = Directory::new([]).expect("no accounts left");
    assert_eq!(Discipline::of(&none), Discipline::Timers);
    assert_eq!(Discipline::of(&named), Discipline::Fair);
}

/// Number of calls that the gateway may have open to the two replicas of a shard.
const CALLS_MAX: u64 = 44;

fn request(route: &str) -> Request {
    Request {
        host: "desk.example".into(),
        path: format!("/{route}/x").into(),
        catalog_confirmed: true,
        ..Request::default()
    }
}

fn of_account(account: &str, priority: u32) -> Request {
    Request {
        account: Some(account.into()),
        priority: Some(priority),
        ..request("once")
    }
}

fn completion(ending: Ending) -> Completion {
    Completion {
        ending,
        stamp: (ending == Ending::Answered).then(|| "stamp".into()),
        body: Bytes::from(vec![1; 16]),
        notice: Notice::default(),
    }
}

fn ms(ms: u64) -> Time {
    Time::from_us(1 + ms * 1_000)
}

fn sent(actions: &[Action]) -> Vec<&Call> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Send(call) => Some(call),
        _ => None,
    });
    calls.collect()
}

/// Requests of the calls that these actions send.
fn sent_requests(actions: &[Action]) -> Vec<u64> {
    sent(actions).iter().map(|call| call.request).collect()
}

fn answer(actions: &[Action], request: u64) -> Option<&Answer> {
    actions.iter().find_map(|action| match action {
        Action::Answer(id, answer, _) if *id == request => Some(answer),
        _ => None,
    })
}

/// A gateway whose one service has no capacity left, and the tickets of the open calls.
fn saturated() -> (Gateway, Vec<Ticket>) {
    let mut gateway = Simulation::new(1).gateway;
    let mut tickets = Vec::new();
    for id in 0..CALLS_MAX {
        let actions = gateway.step(ms(0), Event::Request(id, request("once")));
        tickets.extend(sent(&actions).iter().map(|call| call.ticket));
    }
    assert_eq!(tickets.len() as u64, CALLS_MAX);
    (gateway, tickets)
}

fn end(gateway: &mut Gateway, at: Time, ticket: Ticket) -> Vec<Action> {
    gateway.step(at, Event::Completed(ticket, completion(Ending::Answered)))
}

/// Guards against capacity that stays unused until a timer fires, and against the order in which
/// the timers fire.
#[test]
fn the_end_of_a_call_serves_the_most_urgent_part_at_once() {
    let (mut gateway, tickets) = saturated();
    let hot = (100..105).map(|id| (id, of_account("hot", 1)));
    let others = [(105, of_account("calm", 1)), (106, of_account("late", 0))];
    for (id, request) in hot.chain(others) {
        let actions = gateway.step(ms(1), Event::Request(id, request));
        assert_eq!(sent_requests(&actions), []);
    }
    assert_eq!(gateway.waiting_parts(), 7);
    let mut served = Vec::new();
    for ticket in tickets.into_iter().take(7) {
        served.extend(sent_requests(&end(&mut gateway, ms(2), ticket)));
    }
    assert_eq!(served, [106, 105, 100, 101, 102, 103, 104]);
    assert_eq!(gateway.waiting_parts(), 0);
}

/// Guards against capacity of a withdrawn call that stays unused until a timer fires.
#[test]
fn the_end_of_a_caller_serves_a_waiting_part_at_once() {
    let (mut gateway, _) = saturated();
    gateway.step(ms(1), Event::Request(100, request("once")));
    gateway.step(ms(1), Event::Request(101, request("once")));
    let actions = gateway.step(ms(2), Event::Abandoned(7));
    assert_eq!(sent_requests(&actions), [100]);
    gateway.step(ms(3), Event::Abandoned(101));
    assert_eq!(gateway.waiting_parts(), 0);
}

/// Guards against calls whose answers come too late, and against callers that wait for them.
#[test]
fn a_part_that_can_not_be_answered_in_time_is_refused_unsent() {
    let (mut gateway, tickets) = saturated();
    let hurried = |left| Request {
        left: Some(Span::from_ms(left)),
        ..request("once")
    };
    let actions = gateway.step(ms(0), Event::Request(100, hurried(20)));
    let refused =
        |answer: Option<&Answer>| matches!(answer, Some(Answer::Refused(Refusal::NotRun, Some(_))));
    assert!(refused(answer(&actions, 100)), "{actions:?}");
    gateway.step(ms(0), Event::Request(101, hurried(100)));
    let mut at = 0;
    let actions = loop {
        at += 1;
        let actions = gateway.step(ms(at), Event::Tick);
        if answer(&actions, 101).is_some() || at == 200 {
            break actions;
        }
    };
    assert!(refused(answer(&actions, 101)), "{actions:?}");
    assert!((70..=81).contains(&at), "refused after {at} ms");
    assert_eq!(gateway.waiting_parts(), 0);
    let actions = end(&mut gateway, ms(at), tickets[0]);
    assert_eq!(sent_requests(&actions), []);
}

/// Guards against memory that grows with the number of waiting requests, and against refusing
/// accounts that send little in place of the one that sends most.
#[test]
fn a_full_queue_refuses_a_request_of_the_account_with_most() {
    let (mut gateway, _) = saturated();
    let count = PARTS_MAX as u64;
    for id in 100..100 + count {
        gateway.step(ms(1), Event::Request(id, of_account("hot", 1)));
    }
    let actions = gateway.step(ms(2), Event::Request(9_000, of_account("calm", 1)));
    let last = answer(&actions, 100 + count - 1);
    assert!(
        matches!(last, Some(Answer::Refused(Refusal::NotRun, Some(_)))),
        "{actions:?}"
    );
    assert_eq!(gateway.waiting_parts(), PARTS_MAX);
}

/// Guards against a suspected part that is sent beside another call of its request because
/// capacity is free.
#[test]
fn a_part_in_isolation_is_not_queued() {
    let mut gateway = Simulation::new(3).gateway;
    let actions = gateway.step(ms(0), Event::Request(1, request("all")));
    let crashed = sent(&actions)[1].ticket;
    let actions = gateway.step(ms(1), Event::Completed(crashed, completion(Ending::Ended)));
    let suspected = |action: &Action| matches!(action, Action::Standing(..));
    assert!(actions.iter().any(suspected), "{actions:?}");
    let actions = gateway.step(ms(2), Event::Request(2, request("all")));
    let first = sent(&actions)[0].ticket;
    assert_eq!(sent(&actions).len(), 1);
    assert_eq!(gateway.waiting_parts(), 0);
    let actions = gateway.step(ms(12), Event::Tick);
    assert_eq!(sent_requests(&actions), []);
    let actions = end(&mut gateway, ms(13), first);
    assert_eq!(sent_requests(&actions), [2, 2]);
}

/// Guards against a comparison with something other than the order of earlier builds.
#[test]
fn the_earlier_order_waits_for_timers() {
    let mut gateway = Simulation::new(1).gateway;
    gateway.set_discipline(Discipline::Timers);
    let mut tickets = Vec::new();
    for id in 0..=CALLS_MAX {
        let actions = gateway.step(ms(0), Event::Request(id, request("once")));
        tickets.extend(sent(&actions).iter().map(|call| call.ticket));
    }
    let actions = end(&mut gateway, ms(2), tickets[0]);
    assert_eq!(sent_requests(&actions), []);
    let actions = gateway.step(ms(10), Event::Tick);
    assert_eq!(sent_requests(&actions), [CALLS_MAX]);
}

/// Guards against parts of closed requests that stay in a queue, and against requests that are
/// never answered, for any order of arrivals, ends of calls and departures.
#[test]
fn queues_end_empty() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let (mut gateway, mut tickets) = saturated();
        let mut at = 0;
        for (index, (kind, choice)) in steps.into_iter().enumerate() {
            let id = 1_000 + index as u64;
            at += u64::from(choice % 4);
            let event = match kind % 8 {
                0..4 => {
                    let account = ["a", "b", "c"][usize::from(choice % 3)];
                    let route = ["once", "all"][usize::from(choice / 128)];
                    let request = Request {
                        path: format!("/{route}/x").into(),
                        ..of_account(account, u32::from(choice % 2))
                    };
                    Event::Request(id, request)
                }
                4 => Event::Abandoned(id - 1 - u64::from(choice) % 40),
                5 => Event::Tick,
                kind if !tickets.is_empty() => {
                    let ticket = tickets.remove(usize::from(choice) % tickets.len());
                    let ending = [Ending::Answered, Ending::Shed][usize::from(kind % 2)];
                    Event::Completed(ticket, completion(ending))
                }
                _ => continue,
            };
            let actions = gateway.step(ms(at), event);
            tickets.extend(sent(&actions).iter().map(|call| call.ticket));
            let open = gateway.active_calls() as u64;
            if open > CALLS_MAX || gateway.waiting_parts() > gateway.active_requests() {
                return false;
            }
        }
        for _ in 0..200 {
            at += 10;
            gateway.step(ms(at), Event::Tick);
        }
        gateway.waiting_parts() == 0 && gateway.active_requests() == 0
    }
    check(property as fn(Vec<(u8, u8)>) -> bool, 300, 200);
}
