//! Admission to one replica at its owner: concurrency limit, slow start, short
//! queue and detection of a server that is cold, draining or stalled.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::manifest::Limits;
use crate::name::Name;
use crate::request::Cause;

/// Queued sub-requests per slot.
const QUEUE_PER_SLOT: usize = 8;

/// Multiple of the usual time after which a server with no success is stalled.
const STALL_FACTOR: u64 = 20;

/// Shortest time after which a server with no success is stalled.
const STALL_MIN: Span = Span::from_ms(400);

/// Sub-requests withdrawn late in a row that show a stalled server.
const LATE_CANCELLATIONS_MAX: u32 = 3;

/// First wait before a stalled or unreachable server is tried again.
const BACKOFF_MIN: Span = Span::from_ms(100);

/// Longest wait before a stalled or unreachable server is tried again.
const BACKOFF_MAX: Span = Span::from_secs(8);

/// Time for which a server that said it drains gets nothing.
const DRAIN_RETRY_AFTER: Span = Span::from_secs(5);

/// Time for which the limit stays lowered after a shed.
const SHED_GROWTH_PAUSE: Span = Span::from_ms(100);

/// Usual time of a sub-request until one was measured.
const LATENCY_INITIAL: Span = Span::from_ms(5);

/// Identifier of a sub-request at the owner.
pub type Ticket = u64;

/// A sub-request that asks for admission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Its identifier.
    pub ticket: Ticket,
    /// Point after which its answer is of no use.
    pub deadline: Time,
    /// The caller, for fair shares.
    pub caller: Name,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Whether it must be the only one at the server.
    pub exclusive: bool,
}

/// What an entry daemon should know of a replica.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Health {
    /// Takes its full load.
    #[default]
    #[display("ready")]
    Ready,
    /// Started lately: takes little.
    #[display("cold")]
    Cold,
    /// Takes no new work for now.
    #[display("draining")]
    Draining,
    /// Gives no answers, or accepts no connection.
    #[display("stalled")]
    Stalled,
}

/// What the gate decided about a sub-request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send it to the server now.
    Admit(Ticket),
    /// Give it up; it did not run.
    Reject(Ticket, Cause),
}

/// What an exchange with the server showed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Observation {
    /// A complete answer.
    Success {
        /// The server's boot identifier, if stated.
        boot: Option<Name>,
        /// Whether the server said that it drains.
        draining: bool,
    },
    /// The server refused for load.
    Shed,
    /// The connection was refused or broke.
    Reset,
    /// No answer by the deadline.
    Timeout,
    /// The entry daemon withdrew the sub-request.
    Cancelled,
}

#[derive(Clone, Debug)]
struct Running {
    since: Time,
    exclusive: bool,
}

/// Admission to one replica.
#[derive(Clone, Debug)]
pub struct Limiter {
    limits: Limits,
    health: Health,
    limit: u32,
    successes: u32,
    warm_from: Time,
    retry_at: Time,
    backoff: Span,
    growth_paused_until: Time,
    typical_latency: Span,
    last_success: Time,
    boot: Option<Name>,
    /// Whether the boot identifier comes from an earlier owner.
    boot_inherited: bool,
    /// Sub-requests withdrawn late since the last answer.
    late_cancellations: u32,
    /// Whether a connection broke or was refused since the last slow start.
    connection_failed: bool,
    in_flight: BTreeMap<Ticket, Running>,
    queue: Vec<Waiter>,
    admitted: BTreeMap<Name, u64>,
}

impl Limiter {
    /// A gate for a server about which nothing is known: it counts as cold.
    pub fn new(now: Time, limits: Limits) -> Limiter {
        Limiter {
            limits,
            health: Health::Cold,
            limit: limits.cold_limit,
            successes: 0,
            warm_from: now.after(limits.warmup),
            retry_at: now,
            backoff: BACKOFF_MIN,
            growth_paused_until: now,
            typical_latency: LATENCY_INITIAL,
            last_success: now,
            boot: None,
            boot_inherited: false,
            late_cancellations: 0,
            connection_failed: false,
            in_flight: BTreeMap::new(),
            queue: Vec::new(),
            admitted: BTreeMap::new(),
        }
    }

    /// The gate with sub-requests that already run at the server.
    pub fn with_in_flight(mut self, now: Time, running: impl Iterator<Item = Ticket>) -> Limiter {
        self.in_flight.extend(running.map(|ticket| {
            (
                ticket,
                Running {
                    since: now,
                    exclusive: false,
                },
            )
        }));
        self
    }

    /// The gate of a server that an earlier owner knew as ready under `boot`: the
    /// first answer under that identifier ends its slow start.
    pub fn with_boot(mut self, boot: Option<Name>) -> Limiter {
        self.boot_inherited = boot.is_some();
        self.boot = boot;
        self
    }

    /// The boot identifier last seen.
    pub fn boot(&self) -> Option<&Name> {
        self.boot.as_ref()
    }

    /// Takes changed limits.
    pub fn update(&mut self, limits: Limits) {
        self.limits = limits;
        self.limit = self.limit.min(limits.slots);
    }

    /// The state to be told to entry daemons.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Sub-requests at the server now.
    pub fn running(&self) -> usize {
        self.in_flight.len()
    }

    /// Sub-requests waiting now.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Sub-requests that may be at the server at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// The usual time of one sub-request.
    pub fn typical_latency(&self) -> Span {
        self.typical_latency
    }

    /// Offers a sub-request; it runs, waits, or is refused.
    pub fn offer(&mut self, now: Time, waiter: Waiter) -> Vec<Decision> {
        if let Some(cause) = self.refusal_cause(now) {
            return vec![Decision::Reject(waiter.ticket, cause)];
        }
        let mut decisions = Vec::new();
        let wait = self.expected_wait();
        let in_time = now.after(wait).after(self.typical_latency) <= waiter.deadline;
        let ticket = waiter.ticket;
        self.queue.push(waiter);
        if !in_time && !self.has_capacity() {
            decisions.extend(self.evict(|worst| worst.ticket == ticket));
        }
        if self.queue.len() > self.queue_max() {
            decisions.extend(self.evict(|_| true));
        }
        decisions.extend(self.admit_waiting(now));
        decisions
    }

    fn queue_max(&self) -> usize {
        self.limit as usize * QUEUE_PER_SLOT
    }

    /// Whether a sub-request could run at once.
    pub fn has_capacity(&self) -> bool {
        if self.in_flight.values().any(|running| running.exclusive) {
            return false;
        }
        match self.health {
            Health::Ready | Health::Cold => self.in_flight.len() < self.limit as usize,
            Health::Draining | Health::Stalled => self.in_flight.is_empty(),
        }
    }

    fn expected_wait(&self) -> Span {
        let ahead = self.queue.len() as u64 + u64::from(!self.has_capacity());
        self.typical_latency
            .times(ahead)
            .part(u64::from(self.limit.max(1)))
    }

    /// Drops the last in order among the waiting that `eligible` allows.
    fn evict(&mut self, eligible: impl Fn(&Waiter) -> bool) -> Option<Decision> {
        let candidates = self
            .queue
            .iter()
            .enumerate()
            .filter(|(_, waiter)| eligible(waiter));
        let (at, _) = candidates.max_by_key(|(_, waiter)| self.queue_order(waiter))?;
        let waiter = self.queue.remove(at);
        Some(Decision::Reject(waiter.ticket, Cause::Overloaded))
    }

    /// Order in the queue: priority, then the caller admitted least, then deadline.
    fn queue_order(&self, waiter: &Waiter) -> (std::cmp::Reverse<u8>, u64, Time, Ticket) {
        let admitted = self
            .admitted
            .get(&waiter.caller)
            .copied()
            .unwrap_or_default();
        (
            std::cmp::Reverse(waiter.priority),
            admitted,
            waiter.deadline,
            waiter.ticket,
        )
    }

    /// Why the server gets no new work now, if it gets none.
    fn refusal_cause(&self, now: Time) -> Option<Cause> {
        match self.health {
            Health::Ready | Health::Cold => None,
            _ if now >= self.retry_at && self.in_flight.is_empty() => None,
            Health::Draining => Some(Cause::Draining),
            Health::Stalled => Some(Cause::Stalled),
        }
    }

    fn admit_waiting(&mut self, now: Time) -> Vec<Decision> {
        let mut decisions = self.reject_late(now);
        while self.has_capacity() && self.refusal_cause(now).is_none() {
            let next = (0..self.queue.len()).min_by_key(|at| self.queue_order(&self.queue[*at]));
            let Some(at) = next else { break };
            if self.queue[at].exclusive && !self.in_flight.is_empty() {
                break;
            }
            let waiter = self.queue.remove(at);
            self.count_admission(&waiter.caller);
            let running = Running {
                since: now,
                exclusive: waiter.exclusive,
            };
            self.in_flight.insert(waiter.ticket, running);
            decisions.push(Decision::Admit(waiter.ticket));
        }
        decisions
    }

    /// Counts a run for its caller; one that was idle starts level with the least.
    fn count_admission(&mut self, caller: &Name) {
        let waiting = |name: &Name| self.queue.iter().any(|waiter| waiter.caller == *name);
        let active = self.admitted.iter().filter(|(name, _)| waiting(name));
        let floor = active
            .map(|(_, admitted)| *admitted)
            .min()
            .unwrap_or_default();
        let admitted = self.admitted.entry(caller.clone()).or_default();
        *admitted = (*admitted).max(floor) + 1;
        if self.queue.is_empty() {
            self.admitted.clear();
        }
    }

    fn reject_late(&mut self, now: Time) -> Vec<Decision> {
        let typical = self.typical_latency;
        let late = |waiter: &Waiter| now.after(typical.part(2)) > waiter.deadline;
        let (dropped, kept) = self.queue.drain(..).partition(late);
        self.queue = kept;
        let dropped: Vec<Waiter> = dropped;
        dropped
            .into_iter()
            .map(|waiter| Decision::Reject(waiter.ticket, Cause::Overloaded))
            .collect()
    }

    /// Whether the server takes new work now.
    pub fn is_accepting(&self, now: Time) -> bool {
        self.refusal_cause(now).is_none()
    }

    /// Takes back the sub-request that would run next among those that `eligible` allows.
    pub fn take_waiting(&mut self, eligible: impl Fn(Ticket) -> bool) -> Option<Waiter> {
        let allowed = (0..self.queue.len()).filter(|at| eligible(self.queue[*at].ticket));
        let next = allowed.min_by_key(|at| self.queue_order(&self.queue[*at]))?;
        Some(self.queue.remove(next))
    }

    /// Ends a sub-request that ran or waited.
    pub fn finish(&mut self, now: Time, ticket: Ticket, observation: Observation) -> Vec<Decision> {
        let Some(running) = self.in_flight.remove(&ticket) else {
            self.queue.retain(|waiter| waiter.ticket != ticket);
            return Vec::new();
        };
        let took = now.since(running.since);
        match observation {
            Observation::Success { boot, draining } => self.on_success(now, took, boot, draining),
            Observation::Shed => self.on_shed(now),
            Observation::Reset => self.on_reset(now),
            Observation::Timeout => self.on_timeout(now, took),
            Observation::Cancelled => self.on_cancelled(now, took),
        }
        let mut decisions = self.admit_waiting(now);
        decisions.extend(self.reject_all_if_closed(now));
        decisions
    }

    fn on_success(&mut self, now: Time, took: Span, boot: Option<Name>, draining: bool) {
        self.last_success = now;
        self.late_cancellations = 0;
        self.backoff = BACKOFF_MIN;
        let smoothed = (self.typical_latency.as_us() * 7 + took.as_us()) / 8;
        self.typical_latency = Span::from_us(smoothed);
        let same = boot.is_some() && boot == self.boot;
        let restarted = boot.is_some() && self.boot.is_some() && !same;
        self.boot = boot.or(self.boot.take());
        if draining {
            self.health = Health::Draining;
            self.retry_at = now.after(DRAIN_RETRY_AFTER);
            return;
        }
        match self.health {
            _ if restarted => self.start_slow(now),
            Health::Cold if same && self.boot_inherited => self.restore_warm(),
            Health::Ready | Health::Cold => self.raise_limit(now),
            Health::Draining | Health::Stalled if same && !self.connection_failed => self.reopen(),
            Health::Draining | Health::Stalled => self.start_slow(now),
        }
    }

    /// Takes a server for as warm as its earlier owner knew it.
    fn restore_warm(&mut self) {
        self.boot_inherited = false;
        self.limit = self.limits.slots;
        self.health = Health::Ready;
    }

    /// Goes on as before with a server that was only slow or draining.
    fn reopen(&mut self) {
        self.health = match self.limit >= self.limits.slots {
            true => Health::Ready,
            false => Health::Cold,
        };
    }

    /// Starts the slow start of a server that is or may be cold.
    pub fn start_slow(&mut self, now: Time) {
        self.health = Health::Cold;
        self.limit = self.limits.cold_limit;
        self.connection_failed = false;
        self.boot_inherited = false;
        self.successes = 0;
        self.warm_from = now.after(self.limits.warmup);
    }

    fn raise_limit(&mut self, now: Time) {
        if self.limit >= self.limits.slots {
            self.health = Health::Ready;
            return;
        }
        let held = match self.health {
            Health::Cold => now < self.warm_from,
            _ => now < self.growth_paused_until,
        };
        self.successes += 1;
        if !held && self.successes >= self.limit {
            self.successes = 0;
            self.limit += 1;
        }
        if self.limit >= self.limits.slots {
            self.health = Health::Ready;
        }
    }

    fn on_shed(&mut self, now: Time) {
        self.limit = (self.limit / 2).max(1);
        self.successes = 0;
        self.growth_paused_until = now.after(SHED_GROWTH_PAUSE);
    }

    fn on_reset(&mut self, now: Time) {
        self.start_slow(now);
        self.connection_failed = true;
        self.mark_stalled(now);
    }

    fn mark_stalled(&mut self, now: Time) {
        self.health = Health::Stalled;
        self.retry_at = now.after(self.backoff);
        self.backoff = self.backoff.times(2).min(BACKOFF_MAX);
    }

    /// Counts a sub-request withdrawn after more than its usual time; several with
    /// no answer between them show a stalled server.
    fn on_cancelled(&mut self, now: Time, took: Span) {
        let probe = self.health == Health::Stalled;
        if took < self.typical_latency.times(2) && !probe {
            return;
        }
        self.late_cancellations += 1;
        if probe || self.late_cancellations >= LATE_CANCELLATIONS_MAX {
            self.late_cancellations = 0;
            self.mark_stalled(now);
        }
    }

    fn on_timeout(&mut self, now: Time, took: Span) {
        let silent = now.since(self.last_success) >= took;
        if silent && self.health != Health::Stalled {
            self.mark_stalled(now);
        }
    }

    /// Finds a stalled server and drops late work; to be called at short intervals.
    pub fn tick(&mut self, now: Time) -> Vec<Decision> {
        let stall_timeout = self.typical_latency.times(STALL_FACTOR).max(STALL_MIN);
        let old = |running: &Running| now.since(running.since) >= stall_timeout;
        let stuck = !self.has_capacity() && self.in_flight.values().all(old);
        let silent = now.since(self.last_success) >= stall_timeout;
        let open = matches!(self.health, Health::Ready | Health::Cold);
        if stuck && silent && open {
            self.mark_stalled(now);
        }
        let mut decisions = self.reject_all_if_closed(now);
        decisions.extend(self.admit_waiting(now));
        decisions
    }

    /// Whether a closed server may be tried again.
    pub fn is_retry_due(&self, now: Time) -> bool {
        matches!(self.health, Health::Stalled | Health::Draining)
            && now >= self.retry_at
            && self.in_flight.is_empty()
    }

    fn reject_all_if_closed(&mut self, now: Time) -> Vec<Decision> {
        match self.refusal_cause(now) {
            Some(cause) => self.reject_all(cause),
            None => Vec::new(),
        }
    }

    /// Refuses all that waits, for a cause of the owner's.
    pub fn reject_all(&mut self, cause: Cause) -> Vec<Decision> {
        let waiting = self.queue.drain(..);
        waiting
            .map(|waiter| Decision::Reject(waiter.ticket, cause))
            .collect()
    }
}
