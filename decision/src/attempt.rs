//! Calls to replicas for the parts of a request: sending, hedging, retrying and
//! withdrawing.

use std::collections::BTreeSet;

use crate::answer::Extra;
use crate::catalog::Repeat;
use crate::catalog::Target;
use crate::choice::Pick;
use crate::clock::Span;
use crate::clock::Time;
use crate::endpoint::Ending;
use crate::endpoint::Expected;
use crate::endpoint::Ticket;
use crate::flight::Attempt;
use crate::flight::Cause;
use crate::flight::EndpointId;
use crate::flight::Stage;
use crate::gateway::Action;
use crate::gateway::Call;
use crate::gateway::Completion;
use crate::gateway::Gateway;
use crate::gateway::Outstanding;
use crate::gateway::RECHECK_AFTER;
use crate::gateway::RequestId;
use crate::isolation::Clearance;
use crate::name::Name;
use crate::quota::Need;
use crate::suspect::Standing;

/// Delay before a part that was left out is resumed, if the request needs it.
const RESUME_AFTER: Span = Span::from_ms(60);

/// Delay of this host's own timers beyond which it does not hedge.
const LATE_MAX: Span = Span::from_ms(10);

/// Number of calls for one part, delivered or not, from which it is not retried.
const SENDS_MAX: u32 = 6;

impl Gateway {
    /// Sends an open part to a replica, lets it wait, or leaves it out.
    pub(crate) fn dispatch(
        &mut self,
        now: Time,
        id: RequestId,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let part = &flight.parts[index];
        match self.clearance(now, flight, part) {
            Clearance::Granted => {}
            Clearance::Pending => return self.wait_isolated(id, index),
            Clearance::Denied => return self.leave_out(id, index, Cause::Quarantined, None),
        }
        let (service, tried) = (part.service.clone(), part.tried.clone());
        let allowed = self.allowed_replicas(flight, part);
        let need = self.throttle.need(&service, flight.route.priority);
        let left = flight.deadline.since(now);
        let mut pick = self.pick_version(now, &service, &tried, allowed.as_ref(), need);
        if matches!(pick, Pick::Unavailable) && !tried.is_empty() {
            pick = self.pick_version(now, &service, &BTreeSet::new(), allowed.as_ref(), need);
        }
        match pick {
            Pick::Endpoint(endpoint) => self.send_in_turn(now, id, index, endpoint, actions),
            Pick::Wait => self.wait(now, id, index),
            Pick::Limited(wait) => {
                let in_time = wait < left.divided_by(2);
                let soonest = self.resume_time(now, id).filter(|_| in_time);
                let resume_at = soonest.map(|soonest| soonest.max(now.after(wait)));
                self.leave_out(id, index, Cause::Limited, resume_at);
            }
            Pick::Unavailable => {
                let resume_at = self.resume_time(now, id);
                let cause = match self.is_held_back(now, &service) {
                    true => Cause::HeldBack,
                    false => Cause::NoReplica,
                };
                self.leave_out(id, index, cause, resume_at);
            }
        }
    }

    pub(crate) fn set_stage(&mut self, id: RequestId, index: usize, stage: Stage) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.parts[index].stage = stage;
        }
    }

    /// Leaves a part out, for good or until `resume_at`.
    pub(crate) fn leave_out(
        &mut self,
        id: RequestId,
        index: usize,
        cause: Cause,
        resume_at: Option<Time>,
    ) {
        self.stop_waiting(id, index, false);
        if let Some(flight) = self.flights.get_mut(&id)
            && flight.parts[index].is_open()
        {
            flight.parts[index].stage = Stage::Missing(cause, resume_at);
            flight.missing += 1;
        }
    }

    /// Resumes a part that was left out until now.
    pub(crate) fn resume(
        &mut self,
        now: Time,
        id: RequestId,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let delivered = flight.parts[index].maybe_delivered > 0;
        let service = flight.parts[index].service.clone();
        if delivered && !self.take_extra(now, &service) {
            self.postpone(now, id, index);
            return;
        }
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.parts[index].stage = Stage::Waiting;
        flight.missing -= 1;
        flight.extra += u32::from(delivered);
        self.dispatch(now, id, index, actions);
    }

    /// Takes one extra request to a service from this host's allowance, if there is one.
    fn take_extra(&mut self, now: Time, service: &Name) -> bool {
        let (limit, share) = (self.settings.extra, self.limit_share(service));
        let pool = self.pools.entry(service.clone()).or_default();
        pool.allowance.take(now, &limit, share)
    }

    fn postpone(&mut self, now: Time, id: RequestId, index: usize) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.parts[index].postpone(now.after(RESUME_AFTER));
        }
    }

    /// When a part that can't be sent now is resumed. `None` if the request goes to a
    /// single replica or other hosts are healthier, since the caller can then be told to
    /// retry.
    pub(crate) fn resume_time(&self, now: Time, id: RequestId) -> Option<Time> {
        let flight = self.flights.get(&id)?;
        let gathers = matches!(flight.route.target, Target::Gather { .. });
        let waits = gathers && !flight.others_healthier;
        waits.then(|| now.after(RESUME_AFTER))
    }

    /// Sends a part to a replica.
    pub(crate) fn send(
        &mut self,
        now: Time,
        id: RequestId,
        index: usize,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let Some(route) = self.flights.get(&id).map(|flight| flight.route.clone()) else {
            return;
        };
        self.stop_waiting(id, index, true);
        let expected = self.expected_latency(&route);
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let (Some(flight), Some(target)) =
            (self.flights.get_mut(&id), self.endpoints.get_mut(&endpoint))
        else {
            return;
        };
        target.record_send(now, ticket, expected);
        let part = &mut flight.parts[index];
        part.stage = Stage::Sent;
        part.tried.insert(endpoint);
        *part.maybe_ran.entry(endpoint).or_default() += 1;
        part.maybe_delivered += 1;
        part.hedge_at = now.after(expected.high);
        part.attempts.push(Attempt {
            ticket,
            endpoint,
            sent: now,
        });
        let service = part.service.clone();
        let call = Call {
            ticket,
            request: id,
            address: target.replica.address,
            instance: target.replica.instance.id.clone(),
            left: Span::from_us(flight.deadline.as_us().saturating_sub(now.as_us())),
            connections: 0,
            avoid_stale: route.repeat == Repeat::Once,
            keep: false,
        };
        self.count_call(now, endpoint);
        self.count_version_send(now, &service, endpoint, &route.name);
        let connections = self.connections(&service);
        let keep = self.keeps_connection_to(endpoint, &service);
        actions.push(Action::Send(Call {
            connections,
            keep,
            ..call
        }));
        self.calls.insert(
            ticket,
            Outstanding {
                request: id,
                part: index,
                endpoint,
                route,
            },
        );
    }

    /// Handles the end of a call: stores the answer or retries the part.
    pub(crate) fn complete(
        &mut self,
        now: Time,
        ticket: Ticket,
        completion: Completion,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.remove(&ticket) else {
            return;
        };
        let ending = completion.ending;
        self.record_ending(now, ticket, &call, ending);
        self.record_notice(now, call.endpoint, completion.notice, actions);
        let Some(flight) = self.flights.get_mut(&call.request) else {
            return;
        };
        let part = &mut flight.parts[call.part];
        let sent = part.end_attempt(ticket).unwrap_or(now);
        part.record_ending(call.endpoint, ending);
        let unfinished = part.is_open() && part.attempts.is_empty();
        let answer = completion.stamp.filter(|_| ending == Ending::Answered);
        let answered = answer.is_some();
        if let Some(stamp) = answer.filter(|_| part.is_open()) {
            part.stage = Stage::Done(stamp, completion.body);
            flight.done += 1;
        }
        match ending {
            Ending::Answered | Ending::Failed => self.record_survival(now, &call, actions),
            Ending::Ended => self.record_crash(now, &call, sent, actions),
            _ => {}
        }
        if unfinished && !answered {
            self.retry(now, call.request, call.part, ending, actions);
        }
        self.try_answer(now, call.request, Some((ticket, ending)), actions);
    }

    /// Updates the statistics of the replica and of the route.
    pub(crate) fn record_ending(
        &mut self,
        now: Time,
        ticket: Ticket,
        call: &Outstanding,
        ending: Ending,
    ) {
        let expected = self.expected_latency(&call.route);
        let norm = self.service_norm(call);
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else {
            return;
        };
        let (service, address) = (endpoint.replica.service.clone(), endpoint.replica.address);
        match ending {
            Ending::Answered | Ending::Failed | Ending::Shed | Ending::Denied => {
                self.uplink.record_answer(now, address)
            }
            Ending::Unreachable | Ending::Broken | Ending::Ended => {
                self.uplink.record_failure(now, address);
            }
            Ending::Withdrawn if endpoint.is_silent(now) => {
                self.uplink.record_failure(now, address);
            }
            Ending::Withdrawn | Ending::Stale => {}
        }
        let known = self.catalog.services.get(&service);
        let warmup = known.map_or(Span::ZERO, |service| service.warmup);
        let expected = norm.map_or(expected, |median| Expected { median, ..expected });
        let took = endpoint.record_end(now, ticket, ending, expected, warmup);
        let route = &call.route.name;
        self.mark_freed(&service);
        self.count_version_end(now, call.endpoint, route, ending, took, expected);
        if let Some(took) = took.filter(|_| ending == Ending::Answered)
            && let Some(latency) = self.latencies.get_mut(&call.route.name)
        {
            latency.record(took);
            self.record_service_latency(call, service, took);
        }
    }

    /// Sends a part again after a call ended without an answer, if it may run again and
    /// the limits allow it. Otherwise leaves the part out.
    pub(crate) fn retry(
        &mut self,
        now: Time,
        id: RequestId,
        index: usize,
        ending: Ending,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let part = &flight.parts[index];
        if self.clearance(now, flight, part) == Clearance::Denied {
            return self.leave_out(id, index, Cause::Quarantined, None);
        }
        let (service, maybe_delivered) = (part.service.clone(), part.maybe_delivered);
        let idempotent = flight.route.repeat == Repeat::Idempotent;
        let may_run_again = idempotent || part.maybe_ran.is_empty();
        let sends_left = part.maybe_delivered + part.undelivered < SENDS_MAX;
        let in_time = now < flight.deadline;
        let within_limit = maybe_delivered == 0 || self.take_extra(now, &service);
        if !may_run_again || !sends_left || !within_limit || !in_time {
            let resume_at = self
                .resume_time(now, id)
                .filter(|_| may_run_again && sends_left);
            let cause = match ending {
                Ending::Shed | Ending::Denied => Cause::Shed,
                Ending::Failed => Cause::Failed,
                Ending::Unreachable | Ending::Stale => Cause::HeldBack,
                Ending::Answered | Ending::Broken | Ending::Ended | Ending::Withdrawn => {
                    Cause::Broken
                }
            };
            return self.leave_out(id, index, cause, resume_at);
        }
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.extra += 1;
        }
        self.dispatch(now, id, index, actions);
        self.report_extra(id, index, Extra::Retry(ending), actions);
    }

    /// Reports the latest call of a part as a hedge or retry.
    pub(crate) fn report_extra(
        &self,
        id: RequestId,
        index: usize,
        why: Extra,
        actions: &mut Vec<Action>,
    ) {
        let Some(part) = self.flights.get(&id).map(|flight| &flight.parts[index]) else {
            return;
        };
        let target = part.attempts.last();
        let target = target.and_then(|attempt| self.endpoints.get(&attempt.endpoint));
        if let Some(endpoint) = target {
            let instance = endpoint.replica.instance.id.clone();
            actions.push(Action::Extra(id, part.service.clone(), instance, why));
        }
    }

    /// Drops a request without an answer and withdraws its calls.
    pub(crate) fn abandon(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        self.forget_waiting(id, &flight);
        let attempts = flight.parts.iter().flat_map(|part| &part.attempts);
        for ticket in attempts.map(|attempt| attempt.ticket).collect::<Vec<_>>() {
            self.withdraw(now, ticket, actions);
        }
    }

    /// Aborts a call; a replica that is silent by then is held back.
    pub(crate) fn withdraw(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&ticket) else {
            return;
        };
        let silent = self
            .endpoints
            .get(&call.endpoint)
            .is_some_and(|endpoint| endpoint.is_silent(now));
        self.record_ending(now, ticket, &call, Ending::Withdrawn);
        if silent && let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) {
            endpoint.hold_back_silent(now);
        }
        actions.push(Action::Withdraw(ticket));
    }

    /// Sends a late part to a second replica as well, if one is available and the limits
    /// allow it.
    ///
    /// If the timer itself is handled late, the answer may be waiting unread on this
    /// host; the hedge is then postponed.
    pub(crate) fn hedge(
        &mut self,
        now: Time,
        id: RequestId,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let route = flight.route.clone();
        let part = &mut flight.parts[index];
        let timer_late = now.since(part.hedge_at) > LATE_MAX;
        part.hedge_at = now.after(RECHECK_AFTER);
        if timer_late {
            return;
        }
        let only_attempt = part.attempts.len() == 1;
        if !only_attempt || route.repeat == Repeat::Once {
            part.hedge_at = flight.deadline;
            return;
        }
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let part = &flight.parts[index];
        if self.standing(now, flight, part) == Some(Standing::Suspect) {
            return;
        }
        let allowed = self.allowed_replicas(flight, part);
        let (service, tried) = (part.service.clone(), part.tried.clone());
        let Pick::Endpoint(endpoint) =
            self.pick_version(now, &service, &tried, allowed.as_ref(), Need::Spare)
        else {
            return;
        };
        if !self.take_extra(now, &service) {
            return;
        }
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.extra += 1;
        }
        self.send(now, id, index, endpoint, actions);
        self.report_extra(id, index, Extra::Hedge, actions);
    }
}
