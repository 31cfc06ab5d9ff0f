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
const SILENT_MAX: u32 = 3;

/// First wait before a stalled or unreachable server is tried again.
const BACKOFF_MIN: Span = Span::from_ms(100);

/// Longest wait before a stalled or unreachable server is tried again.
const BACKOFF_MAX: Span = Span::from_secs(8);

/// Time for which a server that said it drains gets nothing.
const DRAIN_HOLD: Span = Span::from_secs(5);

/// Time for which the limit stays lowered after a shed.
const SHED_HOLD: Span = Span::from_ms(100);

/// Usual time of a sub-request until one was measured.
const USUAL_START: Span = Span::from_ms(5);

/// Identifier of a sub-request at the owner.
pub type Ticket = u64;

/// A sub-request that asks for admission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Work {
    /// Its identifier.
    pub ticket: Ticket,
    /// Point after which its answer is of no use.
    pub deadline: Time,
    /// The caller, for fair shares.
    pub caller: Name,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Whether it must be the only one at the server.
    pub alone: bool,
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
pub enum Step {
    /// Send it to the server now.
    Run(Ticket),
    /// Give it up; it did not run.
    Refuse(Ticket, Cause),
}

/// What an exchange with the server showed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Sign {
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
struct Flight {
    since: Time,
    alone: bool,
}

/// Admission to one replica.
#[derive(Clone, Debug)]
pub struct Gate {
    limits: Limits,
    health: Health,
    limit: u32,
    successes: u32,
    warm_at: Time,
    retry_at: Time,
    backoff: Span,
    shed_until: Time,
    usual: Span,
    last_success: Time,
    boot: Option<Name>,
    /// Whether the boot identifier comes from an earlier owner.
    resumed: bool,
    /// Sub-requests withdrawn late since the last answer.
    silent: u32,
    /// Whether a connection broke or was refused since the last slow start.
    failed: bool,
    flights: BTreeMap<Ticket, Flight>,
    queue: Vec<Work>,
    served: BTreeMap<Name, u64>,
}

impl Gate {
    /// A gate for a server about which nothing is known: it counts as cold.
    pub fn new(now: Time, limits: Limits) -> Gate {
        Gate {
            limits,
            health: Health::Cold,
            limit: limits.cold_limit,
            successes: 0,
            warm_at: now.after(limits.warmup),
            retry_at: now,
            backoff: BACKOFF_MIN,
            shed_until: now,
            usual: USUAL_START,
            last_success: now,
            boot: None,
            resumed: false,
            silent: 0,
            failed: false,
            flights: BTreeMap::new(),
            queue: Vec::new(),
            served: BTreeMap::new(),
        }
    }

    /// The gate with sub-requests that already run at the server.
    pub fn with_running(mut self, now: Time, running: impl Iterator<Item = Ticket>) -> Gate {
        self.flights.extend(running.map(|ticket| {
            (
                ticket,
                Flight {
                    since: now,
                    alone: false,
                },
            )
        }));
        self
    }

    /// The gate of a server that an earlier owner knew as ready under `boot`: the
    /// first answer under that identifier ends its slow start.
    pub fn with_boot(mut self, boot: Option<Name>) -> Gate {
        self.resumed = boot.is_some();
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
        self.flights.len()
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
    pub fn usual(&self) -> Span {
        self.usual
    }

    /// Offers a sub-request; it runs, waits, or is refused.
    pub fn offer(&mut self, now: Time, work: Work) -> Vec<Step> {
        if let Some(cause) = self.closed(now) {
            return vec![Step::Refuse(work.ticket, cause)];
        }
        let mut steps = Vec::new();
        let wait = self.expected_wait();
        let in_time = now.after(wait).after(self.usual) <= work.deadline;
        let ticket = work.ticket;
        self.queue.push(work);
        if !in_time && !self.has_room() {
            steps.extend(self.evict(|worst| worst.ticket == ticket));
        }
        if self.queue.len() > self.queue_max() {
            steps.extend(self.evict(|_| true));
        }
        steps.extend(self.drain(now));
        steps
    }

    fn queue_max(&self) -> usize {
        self.limit as usize * QUEUE_PER_SLOT
    }

    /// Whether a sub-request could run at once.
    pub fn has_room(&self) -> bool {
        if self.flights.values().any(|flight| flight.alone) {
            return false;
        }
        match self.health {
            Health::Ready | Health::Cold => self.flights.len() < self.limit as usize,
            Health::Draining | Health::Stalled => self.flights.is_empty(),
        }
    }

    fn expected_wait(&self) -> Span {
        let ahead = self.queue.len() as u64 + u64::from(!self.has_room());
        self.usual
            .saturating_mul(ahead)
            .divided_by(u64::from(self.limit.max(1)))
    }

    /// Drops the last in order among the waiting that `pick` allows.
    fn evict(&mut self, pick: impl Fn(&Work) -> bool) -> Option<Step> {
        let candidates = self.queue.iter().enumerate().filter(|(_, work)| pick(work));
        let (at, _) = candidates.max_by_key(|(_, work)| self.order(work))?;
        let work = self.queue.remove(at);
        Some(Step::Refuse(work.ticket, Cause::Full))
    }

    /// Order in the queue: priority, then the caller served least, then deadline.
    fn order(&self, work: &Work) -> (std::cmp::Reverse<u8>, u64, Time, Ticket) {
        let served = self.served.get(&work.caller).copied().unwrap_or_default();
        (
            std::cmp::Reverse(work.priority),
            served,
            work.deadline,
            work.ticket,
        )
    }

    /// Why the server gets no new work now, if it gets none.
    fn closed(&self, now: Time) -> Option<Cause> {
        match self.health {
            Health::Ready | Health::Cold => None,
            _ if now >= self.retry_at && self.flights.is_empty() => None,
            Health::Draining => Some(Cause::Draining),
            Health::Stalled => Some(Cause::Stalled),
        }
    }

    fn drain(&mut self, now: Time) -> Vec<Step> {
        let mut steps = self.expire(now);
        while self.has_room() && self.closed(now).is_none() {
            let next = (0..self.queue.len()).min_by_key(|at| self.order(&self.queue[*at]));
            let Some(at) = next else { break };
            if self.queue[at].alone && !self.flights.is_empty() {
                break;
            }
            let work = self.queue.remove(at);
            self.count(&work.caller);
            let flight = Flight {
                since: now,
                alone: work.alone,
            };
            self.flights.insert(work.ticket, flight);
            steps.push(Step::Run(work.ticket));
        }
        steps
    }

    /// Counts a run for its caller; one that was idle starts level with the least.
    fn count(&mut self, caller: &Name) {
        let waiting = |name: &Name| self.queue.iter().any(|work| work.caller == *name);
        let active = self.served.iter().filter(|(name, _)| waiting(name));
        let floor = active.map(|(_, served)| *served).min().unwrap_or_default();
        let served = self.served.entry(caller.clone()).or_default();
        *served = (*served).max(floor) + 1;
        if self.queue.is_empty() {
            self.served.clear();
        }
    }

    fn expire(&mut self, now: Time) -> Vec<Step> {
        let usual = self.usual;
        let late = |work: &Work| now.after(usual.divided_by(2)) > work.deadline;
        let (dropped, kept) = self.queue.drain(..).partition(late);
        self.queue = kept;
        let dropped: Vec<Work> = dropped;
        dropped
            .into_iter()
            .map(|work| Step::Refuse(work.ticket, Cause::Full))
            .collect()
    }

    /// Whether the server takes new work now.
    pub fn is_open(&self, now: Time) -> bool {
        self.closed(now).is_none()
    }

    /// Takes back the sub-request that would run next among those that `pick` allows.
    pub fn take_back(&mut self, pick: impl Fn(Ticket) -> bool) -> Option<Work> {
        let allowed = (0..self.queue.len()).filter(|at| pick(self.queue[*at].ticket));
        let next = allowed.min_by_key(|at| self.order(&self.queue[*at]))?;
        Some(self.queue.remove(next))
    }

    /// Ends a sub-request that ran or waited.
    pub fn finish(&mut self, now: Time, ticket: Ticket, sign: Sign) -> Vec<Step> {
        let Some(flight) = self.flights.remove(&ticket) else {
            self.queue.retain(|work| work.ticket != ticket);
            return Vec::new();
        };
        let took = now.since(flight.since);
        match sign {
            Sign::Success { boot, draining } => self.succeed(now, took, boot, draining),
            Sign::Shed => self.shed(now),
            Sign::Reset => self.reset(now),
            Sign::Timeout => self.stall_if_silent(now, took),
            Sign::Cancelled => self.count_silent(now, took),
        }
        let mut steps = self.drain(now);
        steps.extend(self.refuse_all_if_closed(now));
        steps
    }

    fn succeed(&mut self, now: Time, took: Span, boot: Option<Name>, draining: bool) {
        self.last_success = now;
        self.silent = 0;
        self.backoff = BACKOFF_MIN;
        let smoothed = (self.usual.as_us() * 7 + took.as_us()) / 8;
        self.usual = Span::from_us(smoothed);
        let same = boot.is_some() && boot == self.boot;
        let restarted = boot.is_some() && self.boot.is_some() && !same;
        self.boot = boot.or(self.boot.take());
        if draining {
            self.health = Health::Draining;
            self.retry_at = now.after(DRAIN_HOLD);
            return;
        }
        match self.health {
            _ if restarted => self.chill(now),
            Health::Cold if same && self.resumed => self.resume(),
            Health::Ready | Health::Cold => self.grow(now),
            Health::Draining | Health::Stalled if same && !self.failed => self.recover(),
            Health::Draining | Health::Stalled => self.chill(now),
        }
    }

    /// Takes a server for as warm as its earlier owner knew it.
    fn resume(&mut self) {
        self.resumed = false;
        self.limit = self.limits.slots;
        self.health = Health::Ready;
    }

    /// Goes on as before with a server that was only slow or draining.
    fn recover(&mut self) {
        self.health = match self.limit >= self.limits.slots {
            true => Health::Ready,
            false => Health::Cold,
        };
    }

    /// Starts the slow start of a server that is or may be cold.
    pub fn chill(&mut self, now: Time) {
        self.health = Health::Cold;
        self.limit = self.limits.cold_limit;
        self.failed = false;
        self.resumed = false;
        self.successes = 0;
        self.warm_at = now.after(self.limits.warmup);
    }

    fn grow(&mut self, now: Time) {
        if self.limit >= self.limits.slots {
            self.health = Health::Ready;
            return;
        }
        let held = match self.health {
            Health::Cold => now < self.warm_at,
            _ => now < self.shed_until,
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

    fn shed(&mut self, now: Time) {
        self.limit = (self.limit / 2).max(1);
        self.successes = 0;
        self.shed_until = now.after(SHED_HOLD);
    }

    fn reset(&mut self, now: Time) {
        self.chill(now);
        self.failed = true;
        self.close(now);
    }

    fn close(&mut self, now: Time) {
        self.health = Health::Stalled;
        self.retry_at = now.after(self.backoff);
        self.backoff = self.backoff.saturating_mul(2).min(BACKOFF_MAX);
    }

    /// Counts a sub-request withdrawn after more than its usual time; several with
    /// no answer between them show a stalled server.
    fn count_silent(&mut self, now: Time, took: Span) {
        let probe = self.health == Health::Stalled;
        if took < self.usual.saturating_mul(2) && !probe {
            return;
        }
        self.silent += 1;
        if probe || self.silent >= SILENT_MAX {
            self.silent = 0;
            self.close(now);
        }
    }

    fn stall_if_silent(&mut self, now: Time, took: Span) {
        let silent = now.since(self.last_success) >= took;
        if silent && self.health != Health::Stalled {
            self.close(now);
        }
    }

    /// Finds a stalled server and drops late work; to be called at short intervals.
    pub fn tick(&mut self, now: Time) -> Vec<Step> {
        let patience = self.usual.saturating_mul(STALL_FACTOR).max(STALL_MIN);
        let old = |flight: &Flight| now.since(flight.since) >= patience;
        let stuck = !self.has_room() && self.flights.values().all(old);
        let silent = now.since(self.last_success) >= patience;
        let open = matches!(self.health, Health::Ready | Health::Cold);
        if stuck && silent && open {
            self.close(now);
        }
        let mut steps = self.refuse_all_if_closed(now);
        steps.extend(self.drain(now));
        steps
    }

    /// Whether a closed server may be tried again.
    pub fn is_due(&self, now: Time) -> bool {
        matches!(self.health, Health::Stalled | Health::Draining)
            && now >= self.retry_at
            && self.flights.is_empty()
    }

    fn refuse_all_if_closed(&mut self, now: Time) -> Vec<Step> {
        match self.closed(now) {
            Some(cause) => self.refuse_all(cause),
            None => Vec::new(),
        }
    }

    /// Refuses all that waits, for a cause of the owner's.
    pub fn refuse_all(&mut self, cause: Cause) -> Vec<Step> {
        let waiting = self.queue.drain(..);
        waiting
            .map(|work| Step::Refuse(work.ticket, cause))
            .collect()
    }
}
