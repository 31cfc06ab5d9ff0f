//! When and with what a caller's request is answered.

use std::cmp::Reverse;
use std::sync::Arc;

use rand_chacha::rand_core::Rng;

use crate::catalog::Repeat;
use crate::catalog::Target;
use crate::clock::Span;
use crate::clock::Time;
use crate::endpoint::Ending;
use crate::endpoint::Ticket;
use crate::flight::Cause;
use crate::flight::Flight;
use crate::flight::Kind;
use crate::flight::Stage;
use crate::gateway::Action;
use crate::gateway::Answer;
use crate::gateway::Gateway;
use crate::gateway::LOOK_AGAIN;
use crate::gateway::Refusal;
use crate::gateway::Report;
use crate::gateway::RequestId;
use crate::merge;

/// Time for which a request that lost against its hedge may go on.
const ORPHAN_MAX: Span = Span::from_ms(50);

/// Wait told to callers whose request no replica can take now.
const RETRY_ABSENT: Span = Span::from_ms(300);

/// Wait told to callers whose request all replicas rejected.
const RETRY_SHED: Span = Span::from_ms(150);

impl Gateway {
    /// Answers a request if it can or must be answered now, else sets its timer.
    pub(crate) fn review(
        &mut self,
        now: Time,
        id: RequestId,
        last: Option<(Ticket, Ending)>,
        out: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if matches!(flight.kind, Kind::Branch { .. }) {
            return self.review_branch(now, id, out);
        }
        if let (Target::Split(_), Some((ticket, ending))) = (&flight.route.target, last) {
            let relayed = match flight.parts[0].stage {
                Stage::Done(..) => true,
                Stage::Missing(..) => ending == Ending::Failed,
                Stage::Out | Stage::Waiting => false,
            };
            if relayed {
                return self.finish(now, id, Answer::Relay(ticket), out);
            }
        }
        let settled = flight.done + flight.missing == flight.parts.len();
        let enough = flight.done >= flight.needed();
        if enough && (settled || now >= flight.settle_at) {
            let answer = merged(flight);
            return self.finish(now, id, answer, out);
        }
        if flight.is_lost() {
            let answer = self.refusal(id);
            return self.finish(now, id, answer, out);
        }
        if now >= flight.deadline {
            let refusal = Answer::Refused(Refusal::Timeout, None);
            return self.finish(now, id, refusal, out);
        }
        self.plan_look(now, id);
    }

    pub(crate) fn plan_look(&mut self, now: Time, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let at = next_look(flight, now);
        if flight.look_at <= now || at < flight.look_at {
            flight.look_at = at;
            self.timers.push(Reverse((at, id)));
        }
    }

    /// The refusal of a request that can't succeed any more.
    pub(crate) fn refusal(&mut self, id: RequestId) -> Answer {
        let Some(flight) = self.flights.get(&id) else {
            return Answer::Refused(Refusal::Failed, None);
        };
        if flight.may_have_run() {
            return Answer::Refused(Refusal::Failed, None);
        }
        let wait = match flight.cause() {
            Some(Cause::Shed) => RETRY_SHED,
            _ => RETRY_ABSENT,
        };
        let spread = wait.divided_by(2).as_us().max(1);
        let wait = wait.as_us() + self.random.next_u64() % spread;
        Answer::Refused(Refusal::NotRun, Some(Span::from_us(wait)))
    }

    pub(crate) fn finish(
        &mut self,
        now: Time,
        id: RequestId,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let report = Report {
            route: Some(flight.route.name.clone()),
            version: self.catalog.version,
            fleet_age: now.since(self.fleet_read),
            took: now.since(flight.started),
            parts: flight.parts.len(),
            done: flight.done,
            extra: flight.extra,
            cause: flight.cause_now(),
            missing: flight.first_missing().cloned(),
        };
        out.push(Action::Answer(id, answer, report));
        self.close_flight(now, id, out);
    }

    /// Forgets an answered request. Calls that lost against a hedge may go on for a
    /// while; those for parts that are missing are withdrawn.
    pub(crate) fn close_flight(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let due = now.after(ORPHAN_MAX);
        for part in &flight.parts {
            let answered = matches!(part.stage, Stage::Done(..));
            for attempt in &part.attempts {
                match answered {
                    true => self.orphans.push_back((due, attempt.ticket)),
                    false => self.withdraw(now, attempt.ticket, out),
                }
            }
        }
    }

    pub(crate) fn report_unrouted(&self, now: Time) -> Report {
        Report {
            route: None,
            version: self.catalog.version,
            fleet_age: now.since(self.fleet_read),
            took: Span::ZERO,
            parts: 0,
            done: 0,
            extra: 0,
            cause: None,
            missing: None,
        }
    }
}

/// When a request must be looked at again.
fn next_look(flight: &Flight, now: Time) -> Time {
    let repeatable = flight.route.repeat == Repeat::Idempotent;
    let needs = flight.needs_missing();
    let parts = flight.parts.iter().filter_map(|part| match part.stage {
        Stage::Waiting => Some(now.after(LOOK_AGAIN)),
        Stage::Out if repeatable => Some(part.hedge_at),
        Stage::Missing(_, Some(again)) if needs => Some(again),
        _ => None,
    });
    let settle = (now < flight.settle_at).then_some(flight.settle_at);
    let next = parts.chain(settle).chain([flight.deadline]).min();
    next.unwrap_or(flight.deadline)
        .max(now.after(Span::from_us(500)))
}

fn merged(flight: &Flight) -> Answer {
    let (stamps, body) = gathered(flight);
    Answer::Merged {
        missing: flight.parts.len() - stamps.len(),
        stamps,
        body,
    }
}

/// Stamps of the parts that are in, and their greatest records.
pub(crate) fn gathered(flight: &Flight) -> (Vec<Arc<str>>, Vec<u8>) {
    let mut stamps = Vec::with_capacity(flight.parts.len());
    let mut bodies = Vec::with_capacity(flight.parts.len());
    for part in &flight.parts {
        if let Stage::Done(stamp, body) = &part.stage {
            stamps.push(stamp.clone());
            bodies.push(body.clone());
        }
    }
    let top = flight.route.target.top();
    (stamps, merge::greatest(&bodies, top))
}
