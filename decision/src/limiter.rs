//! Admission of sub-requests to one replica, at the daemon that owns it: a concurrency
//! limit with slow start, a short queue, and detection of a server that is cold, draining
//! or stalled.
//!
//! The owner role offers each sub-request to the replica's [`Limiter`], reports how calls
//! end, and carries out the returned [`Decision`]s.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::manifest::Limits;
use crate::name::Name;
use crate::quota::Bucket;
use crate::quota::Need;
use crate::quota::Rate;
use crate::quota::Share;
use crate::quota::Statement;
use crate::request::Cause;
use crate::silence::DRAIN_MAX;
use crate::silence::Silence;
use crate::withdrawn::Withdrawn;

/// Sub-requests that may wait, per slot of the current limit.
const QUEUE_PER_SLOT: usize = 8;

/// A server without success for this multiple of its typical latency counts as stalled.
const STALL_FACTOR: u64 = 20;

/// Shortest time without success after which a server counts as stalled.
const STALL_MIN: Span = Span::from_ms(400);

/// A server counts as stalled after this many late cancellations without an answer in
/// between; see [`Limiter::on_cancelled`].
const LATE_CANCELLATIONS_MAX: u32 = 3;

/// First delay before a stalled or unreachable server is tried again; it doubles with
/// each failure.
const BACKOFF_MIN: Span = Span::from_ms(100);

/// Longest delay before a stalled or unreachable server is tried again.
const BACKOFF_MAX: Span = Span::from_secs(8);

/// Time between two trial connections to a server that gets no requests because of what it said.
const PROBE_EVERY: Span = Span::from_ms(400);

/// Time after a shed answer in which the limit of a ready server does not grow.
const SHED_GROWTH_PAUSE: Span = Span::from_ms(100);

/// Typical latency assumed for a server that has not answered yet.
const LATENCY_INITIAL: Span = Span::from_ms(5);

/// Identifier of a sub-request at its owner, and of the call that sends it.
pub type Ticket = u64;

/// A sub-request that asks for admission or waits for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Identifier of the sub-request.
    pub ticket: Ticket,
    /// Time after which the answer is of no use.
    pub deadline: Time,
    /// The caller, for fair shares among the waiting callers.
    pub caller: Name,
    /// Priority; a higher one is admitted first.
    pub priority: u8,
    /// Whether no other sub-request may run at the server meanwhile.
    pub exclusive: bool,
}

/// State of a replica as announced to entry daemons.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Health {
    /// Accepts its full number of slots.
    #[default]
    #[display("ready")]
    Ready,
    /// In slow start: accepts only a few sub-requests.
    #[display("cold")]
    Cold,
    /// Shutting down: accepts no new work for now.
    #[display("draining")]
    Draining,
    /// Does not answer, or accepts no connection.
    #[display("stalled")]
    Stalled,
}

/// Decision about a sub-request that was offered or waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send the sub-request to the server now.
    Admit(Ticket),
    /// Refuse the sub-request; it did not run.
    Reject(Ticket, Cause),
}

/// What the end of a call showed about the server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Observation {
    /// A complete answer.
    Success {
        /// Boot identifier of the server, if the answer contains one.
        boot: Option<Name>,
        /// Whether the server reported that it is draining.
        draining: bool,
    },
    /// The server shed the request because of load.
    Shed,
    /// The connection was refused or broke.
    Reset,
    /// No answer by the deadline.
    Timeout,
    /// The call was cancelled, or its end shows nothing about the server.
    Cancelled,
}

/// A sub-request that was sent to the server and has not ended.
#[derive(Clone, Debug)]
struct Running {
    since: Time,
    exclusive: bool,
}

/// Admission state of one replica.
#[derive(Clone, Debug)]
pub struct Limiter {
    limits: Limits,
    health: Health,
    /// Sub-requests that may run at once now; at most `limits.slots`.
    limit: u32,
    /// Successes counted towards the next growth of the limit.
    successes: u32,
    /// End of the warm-up time; the limit of a cold server does not grow before it.
    warm_from: Time,
    /// When a draining or stalled server may be tried again.
    retry_at: Time,
    /// Delay of the next retry after a failure.
    backoff: Span,
    /// Until when the limit of a ready server does not grow, after it shed a request.
    growth_paused_until: Time,
    /// Moving average of the latency of answered sub-requests.
    typical_latency: Span,
    last_success: Time,
    boot: Option<Name>,
    /// Whether `boot` was taken over from an earlier owner and no answer has confirmed it
    /// yet.
    boot_inherited: bool,
    /// Sub-requests cancelled late since the last answer.
    late_cancellations: u32,
    /// Whether a connection broke or was refused since the last slow start.
    connection_failed: bool,
    /// Until then the server wants no requests.
    paused_until: Time,
    /// When the next trial connection is due that would show the end of a draining or paused server.
    probe_at: Time,
    /// Whether a trial connection to a draining or paused server failed, so that the next one to
    /// succeed reaches a process that started since.
    ended: bool,
    /// The limit that the server names, with what this daemon may send of it now; absent without
    /// a limit.
    named: Option<(Rate, Bucket)>,
    /// Number of daemons that send to the server.
    senders: u32,
    withdrawn: Withdrawn,
    /// Sub-requests running at the server.
    running: BTreeMap<Ticket, Running>,
    /// Waiting sub-requests, in order of arrival.
    queue: Vec<Waiter>,
    /// Sub-requests admitted for each caller since the queue was last empty.
    admitted: BTreeMap<Name, u64>,
}

impl Limiter {
    /// Creates the limiter of a server about which nothing is known; the server counts as
    /// cold.
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
            paused_until: Time::default(),
            probe_at: now,
            ended: false,
            named: None,
            senders: 1,
            withdrawn: Withdrawn::default(),
            running: BTreeMap::new(),
            queue: Vec::new(),
            admitted: BTreeMap::new(),
        }
    }

    /// Adds sub-requests that are already running at the server.
    pub fn with_running(mut self, now: Time, tickets: impl Iterator<Item = Ticket>) -> Limiter {
        self.running.extend(tickets.map(|ticket| {
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

    /// Sets the boot identifier under which an earlier owner announced the server as
    /// ready. The first answer with that identifier ends the slow start.
    pub fn with_boot(mut self, boot: Option<Name>) -> Limiter {
        self.boot_inherited = boot.is_some();
        self.boot = boot;
        self
    }

    /// Restores what the server said when this daemon owned it before. It no longer holds if an owner
    /// announced another run of the server since.
    pub fn with_silence(mut self, silence: Option<Silence>) -> Limiter {
        let Some(silence) = silence else {
            return self;
        };
        if self.boot.is_some() && self.boot != silence.boot {
            return self;
        }
        if let Some(until) = silence.draining_until {
            self.health = Health::Draining;
            self.retry_at = until;
        }
        self.paused_until = silence.paused_until;
        self.boot = silence.boot.or(self.boot);
        self
    }

    /// What the server said that keeps requests away from it; absent if nothing does.
    pub fn silence(&self) -> Option<Silence> {
        let draining = self.health == Health::Draining;
        let silence = Silence {
            draining_until: draining.then_some(self.retry_at),
            paused_until: self.paused_until,
            boot: self.boot.clone(),
        };
        (draining || self.paused_until > Time::default()).then_some(silence)
    }

    /// Sets the limit that an earlier owner heard the server name.
    pub fn with_limit(mut self, now: Time, limit: Option<Rate>) -> Limiter {
        if let Some(rate) = limit {
            self.set_limit(now, Statement::Limited(rate));
        }
        self
    }

    /// Sets the number of daemons that send to the server.
    pub fn set_senders(&mut self, now: Time, senders: u32) {
        self.senders = senders;
        if let Some((rate, bucket)) = &mut self.named {
            bucket.set_share(now, Share::equal(*rate, senders));
        }
    }

    /// Applies what an answer says about the server's limit.
    pub fn set_limit(&mut self, now: Time, statement: Statement) {
        match (statement, &mut self.named) {
            (Statement::Nothing, _) => {}
            (Statement::Unlimited, _) => self.named = None,
            (Statement::Limited(rate), Some((known, bucket))) => {
                *known = rate;
                bucket.set_share(now, Share::equal(rate, self.senders));
            }
            (Statement::Limited(rate), None) => {
                let share = Share::equal(rate, self.senders);
                self.named = Some((rate, Bucket::new(now, share)));
            }
        }
    }

    /// The limit that the server names; absent without one.
    pub fn named_limit(&self) -> Option<Rate> {
        self.named.as_ref().map(|(rate, _)| *rate)
    }

    /// Refuses all work for a time, since the server wants no requests.
    pub fn pause(&mut self, now: Time, pause: Span) {
        self.paused_until = self.paused_until.max(now.after(pause));
        self.ended = false;
    }

    /// Whether the server wants no requests now.
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Whether to open a trial connection now: to a server that gets no requests because it is
    /// draining or paused, and whose restart would otherwise not be seen.
    pub fn take_probe(&mut self, now: Time) -> bool {
        let silenced = self.health == Health::Draining || self.is_paused(now);
        let due = silenced && now >= self.probe_at;
        if due {
            self.probe_at = now.after(PROBE_EVERY);
        }
        due
    }

    /// Records the end of a trial connection. A server that can be reached again after it could not
    /// be has started anew, and what it said before no longer holds.
    pub fn record_probe(&mut self, now: Time, reachable: bool) {
        let silenced = self.health == Health::Draining || self.is_paused(now);
        if !silenced {
            return;
        }
        if !reachable {
            self.ended = true;
        } else if self.ended {
            self.restart(now);
        }
    }

    /// Forgets what the server said before it started anew.
    fn restart(&mut self, now: Time) {
        self.ended = false;
        self.paused_until = Time::default();
        self.health = Health::Cold;
        self.start_slow(now);
    }

    /// Last known boot identifier of the server.
    pub fn boot(&self) -> Option<&Name> {
        self.boot.as_ref()
    }

    /// Replaces the configured limits.
    pub fn update(&mut self, limits: Limits) {
        self.limits = limits;
        self.limit = self.limit.min(limits.slots);
    }

    /// Current state of the server.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Number of sub-requests running at the server.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of sub-requests waiting for admission.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of sub-requests that may run at the server at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Moving average of the latency of answered sub-requests.
    pub fn typical_latency(&self) -> Span {
        self.typical_latency
    }

    /// Offers a sub-request, which is admitted, queued or refused. It is refused if it
    /// must wait and its expected end is after its deadline; a full queue drops its last
    /// entry. Under a limit that the server names, waiters for which there will be no room in
    /// time are refused.
    pub fn offer(&mut self, now: Time, waiter: Waiter) -> Vec<Decision> {
        if let Some(cause) = self.refusal_cause(now) {
            return vec![Decision::Reject(waiter.ticket, cause)];
        }
        let mut decisions = Vec::new();
        let wait = self.expected_wait();
        let in_time = now.after(wait).after(self.typical_latency) <= waiter.deadline;
        let ticket = waiter.ticket;
        self.queue.push(waiter);
        if !in_time && !self.has_slot() {
            decisions.extend(self.evict(|waiter| waiter.ticket == ticket));
        }
        decisions.extend(self.reject_without_room(now));
        if self.queue.len() > self.queue_max() {
            decisions.extend(self.evict(|_| true));
        }
        decisions.extend(self.admit_waiting(now));
        decisions
    }

    fn queue_max(&self) -> usize {
        self.limit as usize * QUEUE_PER_SLOT
    }

    /// Whether another sub-request may be sent now, by the concurrency limit and by the limit
    /// that the server names.
    pub fn has_capacity(&self, now: Time) -> bool {
        self.has_slot() && self.has_room(now, Need::Urgent)
    }

    /// Whether the limit that the server names leaves room for a call; true without one.
    pub fn has_room(&self, now: Time, need: Need) -> bool {
        let named = self.named.as_ref();
        named.is_none_or(|(_, bucket)| bucket.allows(now, need))
    }

    /// Refuses the waiters for which the limit that the server names leaves no room in time,
    /// the last in queue order first.
    fn reject_without_room(&mut self, now: Time) -> Vec<Decision> {
        let Some((_, bucket)) = self.named else {
            return Vec::new();
        };
        let mut order = (0..self.queue.len()).collect::<Vec<_>>();
        order.sort_by_key(|at| self.queue_order(&self.queue[*at]));
        let mut ahead = 0;
        let mut rejected = Vec::new();
        for at in order {
            let wait = bucket.wait_behind(now, ahead);
            let left = self.queue[at].deadline.since(now);
            match wait < left && wait + self.typical_latency <= left {
                true => ahead += 1,
                false => rejected.push(self.queue[at].ticket),
            }
        }
        self.queue
            .retain(|waiter| !rejected.contains(&waiter.ticket));
        let rejected = rejected.into_iter();
        rejected
            .map(|ticket| Decision::Reject(ticket, Cause::Overloaded))
            .collect()
    }

    /// Whether the concurrency limit allows another sub-request now. A draining or
    /// stalled server gets one at a time.
    fn has_slot(&self) -> bool {
        if self.running.values().any(|running| running.exclusive) {
            return false;
        }
        match self.health {
            Health::Ready | Health::Cold => self.running.len() < self.limit as usize,
            Health::Draining | Health::Stalled => self.running.is_empty(),
        }
    }

    /// Expected time until a new sub-request is admitted.
    fn expected_wait(&self) -> Span {
        let ahead = self.queue.len() as u64 + u64::from(!self.has_slot());
        self.typical_latency
            .saturating_mul(ahead)
            .divided_by(u64::from(self.limit.max(1)))
    }

    /// Refuses the last in queue order among the `eligible` waiters.
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

    /// Sort key of the queue: highest priority, then least admitted caller, then
    /// deadline.
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

    /// Why the server gets no new work now; absent if it accepts work.
    fn refusal_cause(&self, now: Time) -> Option<Cause> {
        match self.health {
            _ if self.is_paused(now) => Some(Cause::Overloaded),
            Health::Ready | Health::Cold => None,
            _ if now >= self.retry_at && self.running.is_empty() => None,
            Health::Draining => Some(Cause::Draining),
            Health::Stalled => Some(Cause::Stalled),
        }
    }

    /// Refuses late waiters, then admits waiters in queue order as far as the limit
    /// allows.
    fn admit_waiting(&mut self, now: Time) -> Vec<Decision> {
        let mut decisions = self.reject_late(now);
        while self.has_capacity(now) && self.refusal_cause(now).is_none() {
            let next = (0..self.queue.len()).min_by_key(|at| self.queue_order(&self.queue[*at]));
            let Some(at) = next else { break };
            if self.queue[at].exclusive && !self.is_alone(now) {
                break;
            }
            let waiter = self.queue.remove(at);
            self.count_admission(&waiter.caller);
            if let Some((_, bucket)) = &mut self.named {
                bucket.take(now);
            }
            let running = Running {
                since: now,
                exclusive: waiter.exclusive,
            };
            self.running.insert(waiter.ticket, running);
            decisions.push(Decision::Admit(waiter.ticket));
        }
        decisions
    }

    /// Whether nothing runs at the server, withdrawn sub-requests included.
    pub fn is_alone(&self, now: Time) -> bool {
        self.running.is_empty() && self.withdrawn.are_over(now)
    }

    /// Counts an admission for its caller. A caller that was idle starts at the lowest
    /// count of the waiting callers.
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

    /// Refuses waiters whose deadline is less than half the typical latency away.
    fn reject_late(&mut self, now: Time) -> Vec<Decision> {
        let typical = self.typical_latency;
        let late = |waiter: &Waiter| now.after(typical.divided_by(2)) > waiter.deadline;
        let (dropped, kept) = self.queue.drain(..).partition(late);
        self.queue = kept;
        let dropped: Vec<Waiter> = dropped;
        dropped
            .into_iter()
            .map(|waiter| Decision::Reject(waiter.ticket, Cause::Overloaded))
            .collect()
    }

    /// Whether the server accepts new work now.
    pub fn is_accepting(&self, now: Time) -> bool {
        self.refusal_cause(now).is_none()
    }

    /// Removes and returns the first in queue order among the `eligible` waiters.
    pub fn take_waiting(&mut self, eligible: impl Fn(Ticket) -> bool) -> Option<Waiter> {
        let allowed = (0..self.queue.len()).filter(|at| eligible(self.queue[*at].ticket));
        let next = allowed.min_by_key(|at| self.queue_order(&self.queue[*at]))?;
        Some(self.queue.remove(next))
    }

    /// Ends a sub-request that was running or waiting. `observation` counts only if it
    /// ran.
    pub fn finish(&mut self, now: Time, ticket: Ticket, observation: Observation) -> Vec<Decision> {
        let Some(running) = self.running.remove(&ticket) else {
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
        decisions.extend(self.reject_all_unless_accepting(now));
        decisions
    }

    /// Updates the latency and the health after an answer.
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
            if self.health != Health::Draining {
                self.retry_at = now.after(DRAIN_MAX);
                self.probe_at = now;
                self.ended = false;
            }
            self.health = Health::Draining;
            return;
        }
        match self.health {
            _ if restarted => self.restart(now),
            Health::Draining if now < self.retry_at => {}
            Health::Cold if same && self.boot_inherited => self.restore_warm(),
            Health::Ready | Health::Cold => self.raise_limit(now),
            Health::Draining | Health::Stalled if same && !self.connection_failed => self.reopen(),
            Health::Draining | Health::Stalled => self.start_slow(now),
        }
    }

    /// Restores the full limit of a server that an earlier owner announced as ready.
    fn restore_warm(&mut self) {
        self.boot_inherited = false;
        self.limit = self.limits.slots;
        self.health = Health::Ready;
    }

    /// Reopens a server that was stalled or draining but did not restart, at its former
    /// limit.
    fn reopen(&mut self) {
        self.health = match self.limit >= self.limits.slots {
            true => Health::Ready,
            false => Health::Cold,
        };
    }

    /// Begins the slow start of a server that is or may be cold.
    pub fn start_slow(&mut self, now: Time) {
        if self.health == Health::Draining && now < self.retry_at {
            return;
        }
        self.health = Health::Cold;
        self.limit = self.limits.cold_limit;
        self.connection_failed = false;
        self.boot_inherited = false;
        self.successes = 0;
        self.warm_from = now.after(self.limits.warmup);
    }

    /// Raises the limit by one after as many successes as the limit, unless growth is
    /// paused.
    fn raise_limit(&mut self, now: Time) {
        if self.limit >= self.limits.slots {
            self.health = Health::Ready;
            return;
        }
        let paused = match self.health {
            Health::Cold => now < self.warm_from,
            _ => now < self.growth_paused_until,
        };
        self.successes += 1;
        if !paused && self.successes >= self.limit {
            self.successes = 0;
            self.limit += 1;
        }
        if self.limit >= self.limits.slots {
            self.health = Health::Ready;
        }
    }

    /// Halves the limit and pauses its growth.
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

    /// Marks the server as stalled until the end of the backoff, and doubles the backoff.
    fn mark_stalled(&mut self, now: Time) {
        if self.health == Health::Draining && now < self.retry_at {
            return;
        }
        self.health = Health::Stalled;
        self.retry_at = now.after(self.backoff);
        self.backoff = self.backoff.saturating_mul(2).min(BACKOFF_MAX);
    }

    /// Counts a sub-request that was cancelled after at least twice the typical latency.
    /// [`LATE_CANCELLATIONS_MAX`] of them without an answer in between show a stalled
    /// server, as does one cancelled probe of a stalled server.
    fn on_cancelled(&mut self, now: Time, took: Span) {
        self.withdrawn.record(now);
        let probe = self.health == Health::Stalled;
        if took < self.typical_latency.saturating_mul(2) && !probe {
            return;
        }
        self.late_cancellations += 1;
        if probe || self.late_cancellations >= LATE_CANCELLATIONS_MAX {
            self.late_cancellations = 0;
            self.mark_stalled(now);
        }
    }

    /// Marks the server as stalled if it answered nothing while the late sub-request ran.
    fn on_timeout(&mut self, now: Time, took: Span) {
        self.withdrawn.record(now);
        let silent = now.since(self.last_success) >= took;
        if silent && self.health != Health::Stalled {
            self.mark_stalled(now);
        }
    }

    /// Detects a stalled server, refuses late waiters and admits others. To be called at
    /// short intervals.
    pub fn tick(&mut self, now: Time) -> Vec<Decision> {
        let stall_timeout = self
            .typical_latency
            .saturating_mul(STALL_FACTOR)
            .max(STALL_MIN);
        let old = |running: &Running| now.since(running.since) >= stall_timeout;
        let stuck = !self.has_slot() && self.running.values().all(old);
        let silent = now.since(self.last_success) >= stall_timeout;
        let open = matches!(self.health, Health::Ready | Health::Cold);
        if stuck && silent && open {
            self.mark_stalled(now);
        }
        let mut decisions = self.reject_all_unless_accepting(now);
        decisions.extend(self.admit_waiting(now));
        decisions
    }

    /// Whether a draining or stalled server may be tried again now.
    pub fn is_retry_due(&self, now: Time) -> bool {
        matches!(self.health, Health::Stalled | Health::Draining)
            && now >= self.retry_at
            && self.running.is_empty()
    }

    /// Refuses all waiters if the server accepts no new work now.
    fn reject_all_unless_accepting(&mut self, now: Time) -> Vec<Decision> {
        match self.refusal_cause(now) {
            Some(cause) => self.reject_all(cause),
            None => Vec::new(),
        }
    }

    /// Refuses all waiters with `cause`.
    pub fn reject_all(&mut self, cause: Cause) -> Vec<Decision> {
        let waiting = self.queue.drain(..);
        waiting
            .map(|waiter| Decision::Reject(waiter.ticket, cause))
            .collect()
    }
}
