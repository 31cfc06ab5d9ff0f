//! When and how a caller's request is answered by the gateway.

use std::cmp::Reverse;
use std::sync::Arc;

use rand_chacha::rand_core::Rng;

use crate::answer::Answer;
use crate::answer::Refusal;
use crate::answer::Report;
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
use crate::gateway::Gateway;
use crate::gateway::RECHECK_AFTER;
use crate::gateway::RequestId;
use crate::merge;
use crate::name::Name;

/// Time for which an open call for an answered part may still run after the request is
/// closed.
const ORPHAN_MAX: Span = Span::from_ms(50);

/// Shortest `Retry-After` if no replica can take the request now; up to half as much is
/// added at random.
const RETRY_AFTER_NO_REPLICA: Span = Span::from_ms(300);

/// Shortest `Retry-After` if all replicas shed the request; up to half as much is added
/// at random.
const RETRY_AFTER_SHED: Span = Span::from_ms(150);

impl Gateway {
    /// Answers a request if it is complete, can no longer succeed or is due; otherwise
    /// sets its timer. `last` is the call that has just ended.
    pub(crate) fn try_answer(
        &mut self,
        now: Time,
        id: RequestId,
        last: Option<(Ticket, Ending)>,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if matches!(flight.kind, Kind::Branch { .. }) {
            return self.try_reply(now, id, actions);
        }
        if let (Target::Weighted(_), Some((ticket, ending))) = (&flight.route.target, last) {
            let relayed = match flight.parts[0].stage {
                Stage::Done(..) => true,
                Stage::Missing(..) => ending == Ending::Failed,
                Stage::Sent | Stage::Waiting => false,
            };
            if relayed {
                return self.finish(now, id, Answer::Relay(ticket), actions);
            }
        }
        let none_open = flight.done + flight.missing == flight.parts.len();
        let enough = flight.done >= flight.needed();
        if enough && (none_open || now >= flight.settle_at) {
            let answer = merged(flight);
            return self.finish(now, id, answer, actions);
        }
        if flight.cannot_succeed() {
            let answer = self.refusal(now, id);
            return self.finish(now, id, answer, actions);
        }
        if now >= flight.deadline {
            let refusal = Answer::Refused(Refusal::Timeout, None);
            return self.finish(now, id, refusal, actions);
        }
        self.schedule_recheck(now, id);
    }

    /// Sets the timer of a request unless an earlier one is pending.
    pub(crate) fn schedule_recheck(&mut self, now: Time, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let at = next_recheck(flight, now);
        if flight.recheck_at <= now || at < flight.recheck_at {
            flight.recheck_at = at;
            self.timers.push(Reverse((at, id)));
        }
    }

    /// Refusal of a request that can no longer succeed.
    pub(crate) fn refusal(&mut self, now: Time, id: RequestId) -> Answer {
        let Some(flight) = self.flights.get(&id) else {
            return Answer::Refused(Refusal::Failed, None);
        };
        if flight.may_have_run() {
            return Answer::Refused(Refusal::Failed, None);
        }
        if let Some(refusal) = self.quarantine_refusal(now, flight) {
            return refusal;
        }
        let wait = match flight.cause() {
            Some(Cause::Limited) => {
                let flight = flight.clone();
                self.room_retry_after(now, &flight)
            }
            Some(Cause::Shed) => self.with_jitter(RETRY_AFTER_SHED),
            _ => self.with_jitter(RETRY_AFTER_NO_REPLICA),
        };
        Answer::Refused(Refusal::NotRun, Some(wait))
    }

    /// A wait with up to half as much added at random, so that callers don't come back together.
    pub(crate) fn with_jitter(&mut self, wait: Span) -> Span {
        let jitter_max = wait.divided_by(2).as_us().max(1);
        wait + Span::from_us(self.random.next_u64() % jitter_max)
    }

    /// Answers the caller and closes the request.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        id: RequestId,
        answer: Answer,
        actions: &mut Vec<Action>,
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
            cause: flight.current_cause(),
            missing: flight.first_missing().cloned(),
        };
        actions.push(Action::Answer(id, answer, report));
        self.close_flight(now, id, actions);
    }

    /// Removes an answered request. Open calls for answered parts may run on for
    /// [`ORPHAN_MAX`]; calls for missing parts are withdrawn.
    pub(crate) fn close_flight(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        self.forget_waiting(id, &flight);
        let due = now.after(ORPHAN_MAX);
        for part in &flight.parts {
            let answered = matches!(part.stage, Stage::Done(..));
            for attempt in &part.attempts {
                match answered {
                    true => self.orphans.push_back((due, attempt.ticket)),
                    false => self.withdraw(now, attempt.ticket, actions),
                }
            }
        }
    }

    /// Report on a request that is refused before any part of it is sent.
    pub fn report_unsent(&self, now: Time, route: Option<Name>) -> Report {
        Report {
            route,
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

/// When to recheck a request: at the earliest hedge, resumption, time to settle or
/// deadline, but not sooner than 0.5 ms from now.
fn next_recheck(flight: &Flight, now: Time) -> Time {
    let idempotent = flight.route.repeat == Repeat::Idempotent;
    let needs = flight.needs_missing();
    let parts = flight.parts.iter().filter_map(|part| match part.stage {
        Stage::Waiting => Some(now.after(RECHECK_AFTER)),
        Stage::Sent if idempotent => Some(part.hedge_at),
        Stage::Missing(_, Some(resume_at)) if needs => Some(resume_at),
        _ => None,
    });
    let settle = (now < flight.settle_at).then_some(flight.settle_at);
    let next = parts.chain(settle).chain([flight.deadline]).min();
    next.unwrap_or(flight.deadline)
        .max(now.after(Span::from_us(500)))
}

/// The merged answer of all answered parts.
fn merged(flight: &Flight) -> Answer {
    let (stamps, body) = gathered(flight);
    Answer::Merged {
        missing: flight.parts.len() - stamps.len(),
        stamps,
        body,
    }
}

/// Stamps of the answered parts, and the greatest of their records.
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
