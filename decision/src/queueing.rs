//! Part of the gateway: the queues of parts that wait until a replica has capacity.
//!
//! The end of a call marks its service. At the end of the same step, the waiting parts of marked
//! services are sent in the order of [`Queue`], as far as replicas have capacity.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Time;
use crate::flight::Cause;
use crate::flight::EndpointId;
use crate::flight::Flight;
use crate::flight::Stage;
use crate::gateway::Action;
use crate::gateway::Gateway;
use crate::gateway::RequestId;
use crate::load::waiting::Discipline;
use crate::load::waiting::Key;
use crate::load::waiting::Part;
use crate::load::waiting::Queue;
use crate::name::Name;

/// Parts of one host that wait for capacity, and what is to be done with them in this step.
#[derive(Default)]
pub(crate) struct Waiting {
    /// How waiting parts are served.
    discipline: Discipline,
    /// Queues by service; none is empty.
    queues: HashMap<Name, Queue>,
    /// Services whose queues are to be served in this step.
    freed: BTreeSet<Name>,
    /// Requests whose waiting parts changed in this step.
    changed: BTreeSet<RequestId>,
    /// The part whose turn it is.
    turn: Option<Key>,
}

impl Waiting {
    fn first(&mut self, now: Time, service: &Name, passed: &BTreeSet<Key>) -> Option<Key> {
        let queue = self.queues.get_mut(service)?;
        queue.first(now, passed).map(|part| part.key)
    }

    fn contains(&self, service: &Name, key: Key) -> bool {
        let queue = self.queues.get(service);
        queue.is_some_and(|queue| queue.contains(key))
    }

    /// Whether parts other than this one wait for a service.
    fn has_others(&self, service: &Name, key: Key) -> bool {
        let queue = self.queues.get(service);
        queue.is_some_and(|queue| queue.len() > usize::from(queue.contains(key)))
    }

    fn remove(&mut self, service: &Name, key: Key, sent: bool) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        match sent {
            true => queue.serve(key),
            false => queue.remove(key),
        }
        if queue.is_empty() {
            self.queues.remove(service);
        }
    }
}

fn key(request: RequestId, part: usize) -> Key {
    Key { request, part }
}

impl Gateway {
    /// Serves waiting parts this way from now on. Parts that are queued already stay so.
    pub fn set_discipline(&mut self, discipline: Discipline) {
        self.waiting.discipline = discipline;
    }

    /// Number of parts in the queues.
    pub fn waiting_parts(&self) -> usize {
        self.waiting.queues.values().map(Queue::len).sum()
    }

    /// Sends a part to a replica that has capacity for it. If others wait for the service and it
    /// isn't the part's turn, the part is queued instead and the queue is served in the same step.
    pub(crate) fn send_in_turn(
        &mut self,
        now: Time,
        id: RequestId,
        index: usize,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let key = key(id, index);
        let others = |service: &Name| self.waiting.has_others(service, key);
        match self.service_of(key).filter(others) {
            Some(service) if self.waiting.turn != Some(key) => {
                self.wait(now, id, index);
                self.mark_freed(&service);
            }
            _ => self.send(now, id, index, endpoint, actions),
        }
    }

    /// Lets a part wait until a replica has capacity.
    pub(crate) fn wait(&mut self, now: Time, id: RequestId, index: usize) {
        self.set_stage(id, index, Stage::Waiting);
        if self.waiting.discipline == Discipline::Timers {
            return;
        }
        let key = key(id, index);
        let (Some(part), Some(service)) = (self.waiting_part(key), self.service_of(key)) else {
            return;
        };
        if part.is_late(now) {
            return self.expire(key);
        }
        let queue = self.waiting.queues.entry(service).or_default();
        if let Some(dropped) = queue.push(part) {
            self.expire(dropped);
        }
    }

    /// Lets a part wait for the end of another call of its request, outside of the queue.
    pub(crate) fn wait_isolated(&mut self, id: RequestId, index: usize) {
        self.stop_waiting(id, index, false);
        self.set_stage(id, index, Stage::Waiting);
    }

    /// Removes a part from its queue; `sent` is whether it is sent now.
    pub(crate) fn stop_waiting(&mut self, id: RequestId, index: usize, sent: bool) {
        if self.waiting.queues.is_empty() {
            return;
        }
        let key = key(id, index);
        if let Some(service) = self.service_of(key) {
            self.waiting.remove(&service, key, sent);
        }
    }

    /// Removes the parts of a closed request from the queues.
    pub(crate) fn forget_waiting(&mut self, id: RequestId, flight: &Flight) {
        if self.waiting.queues.is_empty() {
            return;
        }
        for (index, part) in flight.parts.iter().enumerate() {
            self.waiting.remove(&part.service, key(id, index), false);
        }
    }

    /// Has the queue of a service served in this step, as a replica may have capacity.
    pub(crate) fn mark_freed(&mut self, service: &Name) {
        if self.waiting.queues.contains_key(service) {
            self.waiting.freed.insert(service.clone());
        }
    }

    /// Tries a waiting part again when its timer is due.
    pub(crate) fn recheck_waiting(
        &mut self,
        now: Time,
        id: RequestId,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let key = key(id, index);
        let queued = |service: &Name| self.waiting.contains(service, key);
        let Some(service) = self.service_of(key).filter(queued) else {
            return self.dispatch(now, id, index, actions);
        };
        match self.waiting_part(key) {
            Some(part) if part.is_late(now) => self.expire(key),
            _ => self.mark_freed(&service),
        }
    }

    /// Serves the queues of services whose replicas may have capacity, and answers the requests
    /// whose parts changed.
    pub(crate) fn serve_waiting(&mut self, now: Time, actions: &mut Vec<Action>) {
        loop {
            while let Some(id) = self.waiting.changed.pop_first() {
                self.try_answer(now, id, None, actions);
            }
            let Some(service) = self.waiting.freed.pop_first() else {
                return;
            };
            self.serve_queue(now, &service, actions);
        }
    }

    /// Sends the waiting parts of a service in order, until no replica has capacity for the next
    /// one.
    fn serve_queue(&mut self, now: Time, service: &Name, actions: &mut Vec<Action>) {
        let mut passed = BTreeSet::new();
        while let Some(key) = self.waiting.first(now, service, &passed) {
            self.waiting.changed.insert(key.request);
            match self.waiting_part(key).map(|part| part.is_late(now)) {
                None => self.waiting.remove(service, key, false),
                Some(true) => self.expire(key),
                Some(false) => self.take_turn(now, key, actions),
            }
            if !self.waiting.contains(service, key) {
                continue;
            }
            if !self.is_restricted(key) {
                return;
            }
            passed.insert(key);
        }
    }

    fn take_turn(&mut self, now: Time, key: Key, actions: &mut Vec<Action>) {
        self.waiting.turn = Some(key);
        self.dispatch(now, key.request, key.part, actions);
        self.waiting.turn = None;
    }

    /// Leaves a part out for good, because it can't be answered in time or too many wait.
    fn expire(&mut self, key: Key) {
        self.leave_out(key.request, key.part, Cause::Expired, None);
        self.waiting.changed.insert(key.request);
    }

    /// Whether a part may use only some replicas, so that others may fit where it doesn't.
    fn is_restricted(&self, key: Key) -> bool {
        let Some(flight) = self.flights.get(&key.request) else {
            return true;
        };
        let part = &flight.parts[key.part];
        !part.tried.is_empty() || self.allowed_replicas(flight, part).is_some()
    }

    fn service_of(&self, key: Key) -> Option<Name> {
        let flight = self.flights.get(&key.request)?;
        Some(flight.parts[key.part].service.clone())
    }

    /// What a queue needs to know of a part; absent if the part doesn't wait.
    fn waiting_part(&mut self, key: Key) -> Option<Part> {
        let flight = self.flights.get(&key.request)?;
        if !matches!(flight.parts[key.part].stage, Stage::Waiting) {
            return None;
        }
        let route = flight.route.clone();
        let (account, deadline) = (flight.account.clone(), flight.deadline);
        let settle_at = flight.settle_at;
        let expected = self.expected_latency(&route);
        Some(Part {
            key,
            priority: route.priority,
            account,
            timely_until: settle_at.before(expected.high),
            deadline,
            length: expected.median,
        })
    }
}
