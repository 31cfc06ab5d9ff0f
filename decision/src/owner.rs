//! The owner role: replicas that this daemon alone sends work to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::exchange::Call;
use crate::exchange::Exchange;
use crate::hedge::Policy;
use crate::limiter::Decision;
use crate::limiter::Health;
use crate::limiter::Limiter;
use crate::limiter::Observation;
use crate::limiter::Ticket;
use crate::limiter::Waiter;
use crate::manifest::Hedge;
use crate::manifest::Limits;
use crate::name::Name;
use crate::request::Batch;
use crate::request::Cause;
use crate::request::Index;
use crate::request::Outcome;
use crate::request::Request;

/// Priority of hedges and canaries, above all services: they take the next slot.
const PRIORITY_FIRST: u8 = u8::MAX;

/// Wait before a hedge beyond the budget is tried again.
const HEDGE_AGAIN: Span = Span::from_ms(1);

/// One in this many sub-requests prefers a replica that is not ready.
const COLD_SHARE: u64 = 4;

/// Units in which the load of a replica is compared, for one slot.
const LOAD_UNIT: u32 = 1_000;

/// Effects of the owner role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a request to a server.
    Call(Call),
    /// Give up a request at a server.
    Abort(Ticket),
    /// Answer an entry daemon.
    Reply {
        /// The entry daemon's host.
        to: Name,
        /// The entry daemon's number of the sub-request.
        ask: u64,
        /// The replica that it went to.
        replica: SocketAddr,
        /// What became of it.
        outcome: Outcome,
    },
    /// Tell all daemons about a replica.
    Hint(SocketAddr, Health, Option<Name>),
    /// Tell all daemons about a request that ran where a connection broke.
    Suspect(Digest),
    /// Close the connections to a replica no longer owned.
    Release(SocketAddr),
    /// Tell its next owner that nothing of this daemon's runs at a replica.
    Yield(SocketAddr),
}

#[derive(Clone, Debug)]
struct Job {
    from: Name,
    ask: u64,
    replica: SocketAddr,
    alternatives: Vec<SocketAddr>,
    pin: Option<Index>,
    deadline: Time,
    priority: u8,
    exclusive: bool,
    request: Arc<Request>,
    /// When it was sent to the server.
    sent: Option<Time>,
    /// The same sub-request at another replica.
    twin: Option<Ticket>,
}

impl Job {
    /// Goes to another replica; the earlier one will do as well.
    fn go_to(&mut self, replica: SocketAddr) {
        let earlier = std::mem::replace(&mut self.replica, replica);
        self.alternatives.push(earlier);
        self.alternatives.retain(|other| *other != replica);
    }

    fn waiter(&self, ticket: Ticket) -> Waiter {
        Waiter {
            ticket,
            deadline: self.deadline,
            caller: self.request.caller.clone(),
            priority: self.priority,
            exclusive: self.exclusive,
        }
    }

    fn reply(self, outcome: Outcome) -> Action {
        Action::Reply {
            to: self.from,
            ask: self.ask,
            replica: self.replica,
            outcome,
        }
    }
}

#[derive(Clone, Debug)]
struct Held {
    limiter: Limiter,
    told: Health,
    siblings: Vec<SocketAddr>,
}

/// One replica that this daemon should own.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// Address of the server.
    pub replica: SocketAddr,
    /// The service.
    pub service: Name,
    /// Hedging of the service.
    pub hedge: Hedge,
    /// Other replicas of its shard.
    pub siblings: Vec<SocketAddr>,
    /// Its limits.
    pub limits: Limits,
    /// Whether its failure domain is in.
    pub open: bool,
    /// Boot identifier under which an earlier owner knew it as ready.
    pub boot: Option<Name>,
    /// Time for which an earlier owner may still send to it.
    pub hold: Span,
}

/// State of the owner role.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    held: BTreeMap<SocketAddr, Held>,
    gaining: BTreeMap<SocketAddr, Time>,
    closed: BTreeMap<SocketAddr, Cause>,
    policies: BTreeMap<Name, Policy>,
    jobs: BTreeMap<Ticket, Job>,
    asks: BTreeMap<(Name, u64), Ticket>,
    timers: BTreeSet<(Time, Ticket)>,
    last: Ticket,
    /// Hedges sent since the start.
    pub hedges: u64,
}

/// What is owned.
impl Owner {
    /// Sets what this daemon should own. A replica gained is used only after its
    /// hold, when the lease of any earlier owner has lapsed.
    pub fn assign(&mut self, now: Time, claims: &[Claim]) -> Vec<Action> {
        let wanted = claims
            .iter()
            .map(|claim| claim.replica)
            .collect::<BTreeSet<_>>();
        let lost = self.held.keys().filter(|replica| !wanted.contains(replica));
        let lost = lost.copied().collect::<Vec<_>>();
        let mut actions = Vec::new();
        lost.into_iter()
            .for_each(|replica| actions.extend(self.lose(replica)));
        self.gaining.retain(|replica, _| wanted.contains(replica));
        self.closed.retain(|replica, _| wanted.contains(replica));
        for claim in claims {
            actions.extend(self.want(now, claim));
        }
        actions
    }

    fn want(&mut self, now: Time, claim: &Claim) -> Vec<Action> {
        let policy = self.policies.entry(claim.service.clone());
        policy
            .or_insert_with(|| Policy::new(claim.hedge))
            .update(claim.hedge);
        let returned = claim.open && self.closed.remove(&claim.replica).is_some();
        if !claim.open {
            self.closed.insert(claim.replica, Cause::DomainOut);
        }
        let Some(held) = self.held.get_mut(&claim.replica) else {
            self.gain(now, claim);
            return Vec::new();
        };
        held.limiter.update(claim.limits);
        held.siblings.clone_from(&claim.siblings);
        if returned {
            held.limiter.start_slow(now);
        }
        if claim.open {
            return self.fill(now, claim.replica);
        }
        let decisions = held.limiter.reject_all(Cause::DomainOut);
        self.apply(now, decisions)
    }

    fn gain(&mut self, now: Time, claim: &Claim) {
        let until = now.after(claim.hold);
        let ready = self.gaining.entry(claim.replica).or_insert(until);
        *ready = (*ready).min(until);
        if *ready > now {
            return;
        }
        self.gaining.remove(&claim.replica);
        let running = self
            .jobs
            .iter()
            .filter(|(_, job)| job.replica == claim.replica);
        let running = running.map(|(ticket, _)| *ticket);
        let limiter = Limiter::new(now, claim.limits).with_in_flight(now, running);
        let limiter = limiter.with_boot(claim.boot.clone());
        let held = Held {
            limiter,
            told: Health::Ready,
            siblings: claim.siblings.clone(),
        };
        self.held.insert(claim.replica, held);
    }

    /// Stops new work to a replica; what runs there ends normally.
    fn lose(&mut self, replica: SocketAddr) -> Vec<Action> {
        let Some(mut held) = self.held.remove(&replica) else {
            return Vec::new();
        };
        let decisions = held.limiter.reject_all(Cause::NotOwner);
        let mut actions = self.apply(Time::default(), decisions);
        actions.push(Action::Release(replica));
        actions.extend(self.yielded(replica));
        actions
    }

    /// Yields a replica that is not owned once nothing runs there.
    fn yielded(&self, replica: SocketAddr) -> Option<Action> {
        let runs = self.jobs.values().any(|job| job.replica == replica);
        (!runs && !self.held.contains_key(&replica)).then_some(Action::Yield(replica))
    }

    /// Stops all new work, as for a lapsed lease.
    pub fn suspend(&mut self) -> Vec<Action> {
        let all = self.held.keys().copied().collect::<Vec<_>>();
        self.gaining.clear();
        all.into_iter()
            .flat_map(|replica| self.lose(replica))
            .collect()
    }

    /// Whether any replica is owned.
    pub fn is_owning(&self) -> bool {
        !self.held.is_empty()
    }

    /// Replicas owned, with their state.
    pub fn report(&self) -> impl Iterator<Item = (&SocketAddr, &Limiter)> {
        self.held
            .iter()
            .map(|(replica, held)| (replica, &held.limiter))
    }

    /// Sub-requests waiting or running.
    pub fn load(&self) -> usize {
        self.jobs.len()
    }

    /// Earliest time at which a hedge may be due.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(time, _)| *time)
    }
}

/// Work of entry daemons.
impl Owner {
    /// Takes a batch of an entry daemon.
    pub fn ask(&mut self, now: Time, from: &Name, batch: &Batch) -> Vec<Action> {
        let deadline = now.after(batch.time_left);
        let mut actions = Vec::new();
        for subrequest in &batch.subrequests {
            let job = Job {
                from: from.clone(),
                ask: subrequest.id,
                replica: subrequest.replica,
                alternatives: subrequest.alternatives.clone(),
                pin: subrequest.pin,
                deadline,
                priority: if batch.exclusive {
                    PRIORITY_FIRST
                } else {
                    batch.priority
                },
                exclusive: batch.exclusive,
                request: batch.request.clone(),
                sent: None,
                twin: None,
            };
            actions.extend(self.offer(now, job));
        }
        actions
    }

    fn offer(&mut self, now: Time, mut job: Job) -> Vec<Action> {
        match self.choose(now, &job) {
            Ok(replica) => job.go_to(replica),
            Err(cause) => return vec![job.reply(Outcome::not_run(cause))],
        }
        self.last += 1;
        self.asks.insert((job.from.clone(), job.ask), self.last);
        self.enter(now, self.last, job)
    }

    /// Puts a job at its replica's limiter.
    fn enter(&mut self, now: Time, ticket: Ticket, job: Job) -> Vec<Action> {
        let (replica, waiter) = (job.replica, job.waiter(ticket));
        self.jobs.insert(ticket, job);
        let held = self.held.get_mut(&replica);
        let decisions = held
            .map(|held| held.limiter.offer(now, waiter))
            .unwrap_or_default();
        self.apply(now, decisions)
    }

    /// The replica held here at which the job would run first, or why none is.
    fn choose(&self, now: Time, job: &Job) -> Result<SocketAddr, Cause> {
        let all = std::iter::once(&job.replica).chain(&job.alternatives);
        let usable = all.filter(|replica| self.cause(replica).is_none());
        let held = usable.filter_map(|replica| Some((*replica, &self.held.get(replica)?.limiter)));
        let turn = self.last.is_multiple_of(COLD_SHARE);
        let best = held.min_by_key(|(_, limiter)| {
            let load =
                (limiter.running() + limiter.waiting()) as u32 * LOAD_UNIT / limiter.limit().max(1);
            (
                !limiter.is_accepting(now),
                !limiter.has_capacity(),
                (limiter.health() == Health::Ready) == turn,
                load,
            )
        });
        match best {
            Some((replica, _)) => Ok(replica),
            None => Err(self.cause(&job.replica).unwrap_or(Cause::Overloaded)),
        }
    }

    /// Why a replica gets no work from here, if it gets none.
    fn cause(&self, replica: &SocketAddr) -> Option<Cause> {
        match (self.held.get(replica), self.closed.get(replica)) {
            (None, _) => Some(Cause::NotOwner),
            (_, cause) => cause.copied(),
        }
    }

    /// Moves waiting sub-requests of the same shard to a replica that has room.
    fn fill(&mut self, now: Time, replica: SocketAddr) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.has_capacity(now, &replica) {
            let Some((ticket, mut job)) = self.take_waiting(&replica) else {
                break;
            };
            job.go_to(replica);
            actions.extend(self.enter(now, ticket, job));
        }
        actions
    }

    fn has_capacity(&self, now: Time, replica: &SocketAddr) -> bool {
        let limiter = self.held.get(replica).map(|held| &held.limiter);
        let idle = |limiter: &Limiter| {
            limiter.is_accepting(now) && limiter.has_capacity() && limiter.waiting() == 0
        };
        limiter.is_some_and(idle) && self.cause(replica).is_none()
    }

    /// Takes a sub-request that waits at a sibling and may go to `replica`.
    fn take_waiting(&mut self, replica: &SocketAddr) -> Option<(Ticket, Job)> {
        let siblings = self.held.get(replica)?.siblings.clone();
        let waiting = |other: &SocketAddr| self.held.get(other).map_or(0, |h| h.limiter.waiting());
        let from = siblings.into_iter().max_by_key(waiting)?;
        let jobs = &self.jobs;
        let will_do = |t| {
            jobs.get(&t)
                .is_some_and(|job: &Job| job.alternatives.contains(replica))
        };
        let waiter = self.held.get_mut(&from)?.limiter.take_waiting(will_do)?;
        let job = self.jobs.remove(&waiter.ticket)?;
        Some((waiter.ticket, job))
    }

    fn apply(&mut self, now: Time, decisions: Vec<Decision>) -> Vec<Action> {
        decisions
            .into_iter()
            .filter_map(|decision| self.act(now, decision))
            .collect()
    }

    fn act(&mut self, now: Time, decision: Decision) -> Option<Action> {
        match decision {
            Decision::Admit(ticket) => self.run(now, ticket),
            Decision::Reject(ticket, cause) => {
                let job = self.remove(ticket)?;
                if let Some(twin) = job.twin.and_then(|twin| self.jobs.get_mut(&twin)) {
                    twin.twin = None;
                    return None;
                }
                Some(job.reply(Outcome::not_run(cause)))
            }
        }
    }

    fn run(&mut self, now: Time, ticket: Ticket) -> Option<Action> {
        let job = self.jobs.get_mut(&ticket)?;
        let health = self
            .held
            .get(&job.replica)
            .map(|held| held.limiter.health());
        let probe = health == Some(Health::Stalled);
        job.sent = Some(now);
        let hedge = job.twin.is_some();
        self.hedges += u64::from(hedge);
        if !hedge && !job.exclusive && job.request.is_repeatable() && !job.alternatives.is_empty() {
            let policy = self.policies.get_mut(&job.request.service);
            let delay = policy.and_then(|policy| {
                policy.budget.earn(1);
                policy
                    .delay()
                    .map(|delay| if probe { Span::ZERO } else { delay })
            });
            self.timers
                .extend(delay.map(|delay| (now.after(delay), ticket)));
        }
        Some(Action::Call(Call {
            ticket,
            replica: job.replica,
            request: job.request.clone(),
            pin: job.pin,
            time_left: job.deadline.since(now),
        }))
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Job> {
        let job = self.jobs.remove(&ticket)?;
        let key = (job.from.clone(), job.ask);
        match job.twin {
            Some(twin) => drop(self.asks.insert(key, twin)),
            None => drop(self.asks.remove(&key)),
        }
        Some(job)
    }

    /// Takes the end of a call.
    pub fn done(&mut self, now: Time, ticket: Ticket, exchange: Exchange) -> Vec<Action> {
        if exchange == Exchange::StaleConnection {
            return self.repeat(now, ticket);
        }
        let Some(job) = self.remove(ticket) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if let Some(policy) = self.policies.get_mut(&job.request.service) {
            let took = job.sent.map(|sent| now.since(sent));
            took.into_iter()
                .for_each(|took| policy.latency.record(took));
        }
        if exchange == Exchange::Broken {
            actions.push(Action::Suspect(job.request.fingerprint()));
        }
        let (replica, observation) = (job.replica, exchange.observation());
        actions.extend(self.conclude(now, job, exchange));
        actions.extend(self.settle(now, replica, ticket, observation));
        actions
    }

    /// Sends a job again of which no byte was sent.
    fn repeat(&mut self, now: Time, ticket: Ticket) -> Vec<Action> {
        let Some(mut job) = self.jobs.remove(&ticket) else {
            return Vec::new();
        };
        let mut actions = self.settle(now, job.replica, ticket, Observation::Cancelled);
        job.sent = None;
        if self.cause(&job.replica).is_some() {
            self.jobs.insert(ticket, job);
            actions.extend(self.act(now, Decision::Reject(ticket, Cause::NotOwner)));
            return actions;
        }
        actions.extend(self.enter(now, ticket, job));
        actions
    }

    /// Answers for a job, unless its twin may still do better.
    fn conclude(&mut self, now: Time, job: Job, exchange: Exchange) -> Vec<Action> {
        let final_one = matches!(
            exchange,
            Exchange::Answered { shed: false, .. } | Exchange::Broken
        );
        let twin = job.twin.filter(|twin| self.jobs.contains_key(twin));
        let Some(twin) = twin else {
            return vec![job.reply(exchange.outcome())];
        };
        if !final_one {
            self.jobs.entry(twin).and_modify(|twin| twin.twin = None);
            return Vec::new();
        }
        let mut actions = vec![job.reply(exchange.outcome())];
        self.jobs.entry(twin).and_modify(|twin| twin.twin = None);
        actions.extend(self.withdraw(now, twin, Observation::Cancelled));
        actions
    }

    fn settle(
        &mut self,
        now: Time,
        replica: SocketAddr,
        ticket: Ticket,
        observation: Observation,
    ) -> Vec<Action> {
        let Some(held) = self.held.get_mut(&replica) else {
            return self.yielded(replica).into_iter().collect();
        };
        let decisions = held.limiter.finish(now, ticket, observation);
        let mut actions = self.apply(now, decisions);
        actions.extend(self.fill(now, replica));
        actions.extend(self.hint(now, replica));
        actions
    }

    fn hint(&mut self, now: Time, replica: SocketAddr) -> Option<Action> {
        let held = self.held.get_mut(&replica)?;
        let health = match held.limiter.health() {
            _ if held.limiter.is_retry_due(now) => Health::Cold,
            health => health,
        };
        if held.told == health {
            return None;
        }
        held.told = health;
        Some(Action::Hint(replica, health, held.limiter.boot().cloned()))
    }

    /// Withdraws a sub-request of an entry daemon.
    pub fn cancel(&mut self, now: Time, from: &Name, ask: u64) -> Vec<Action> {
        let ticket = self.asks.get(&(from.clone(), ask)).copied();
        ticket
            .map(|ticket| self.withdraw_all(now, ticket, &Observation::Cancelled))
            .unwrap_or_default()
    }

    /// Withdraws all sub-requests of a lost entry daemon.
    pub fn lose_entry(&mut self, now: Time, host: &Name) -> Vec<Action> {
        let tickets = self.jobs.iter().filter(|(_, job)| job.from == *host);
        let tickets = tickets.map(|(ticket, _)| *ticket).collect::<Vec<_>>();
        tickets
            .into_iter()
            .flat_map(|t| self.withdraw(now, t, Observation::Cancelled))
            .collect()
    }

    fn withdraw_all(
        &mut self,
        now: Time,
        ticket: Ticket,
        observation: &Observation,
    ) -> Vec<Action> {
        let twin = self.jobs.get(&ticket).and_then(|job| job.twin);
        let mut actions = self.withdraw(now, ticket, observation.clone());
        actions.extend(
            twin.map(|t| self.withdraw(now, t, observation.clone()))
                .unwrap_or_default(),
        );
        actions
    }

    fn withdraw(&mut self, now: Time, ticket: Ticket, observation: Observation) -> Vec<Action> {
        let Some(job) = self.remove(ticket) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        let policy = self.policies.get_mut(&job.request.service);
        match (policy, job.sent) {
            (Some(policy), Some(sent)) => policy.latency.record(now.since(sent)),
            (Some(policy), None) if job.priority == PRIORITY_FIRST && !job.exclusive => {
                policy.budget.refund();
            }
            _ => {}
        }
        actions.extend(job.sent.map(|_| Action::Abort(ticket)));
        actions.extend(self.settle(now, job.replica, ticket, observation));
        actions
    }

    /// Ends late sub-requests, sends hedges and finds stalled servers.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.hedge(now);
        let late = self
            .jobs
            .iter()
            .filter(|(_, job)| job.sent.is_some() && job.deadline <= now);
        for ticket in late.map(|(ticket, _)| *ticket).collect::<Vec<_>>() {
            let late = Outcome::maybe_ran(Cause::Deadline);
            actions.extend(self.jobs.get(&ticket).map(|job| job.clone().reply(late)));
            actions.extend(self.withdraw_all(now, ticket, &Observation::Timeout));
        }
        for replica in self.held.keys().copied().collect::<Vec<_>>() {
            let held = self.held.get_mut(&replica);
            let decisions = held.map(|held| held.limiter.tick(now)).unwrap_or_default();
            actions.extend(self.apply(now, decisions));
            actions.extend(self.hint(now, replica));
        }
        actions
    }

    /// Sends a second sub-request for those that run for too long, within the
    /// service's budget, to replicas that take their full load.
    fn hedge(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((time, ticket)) = self.timers.first().copied().filter(|(t, _)| *t <= now) {
            self.timers.remove(&(time, ticket));
            actions.extend(self.hedge_one(now, ticket).unwrap_or_default());
        }
        actions
    }

    fn hedge_one(&mut self, now: Time, ticket: Ticket) -> Option<Vec<Action>> {
        let job = self.jobs.get(&ticket).filter(|job| job.twin.is_none())?;
        let replica = *job
            .alternatives
            .iter()
            .find(|replica| self.may_hedge(now, replica))?;
        let policy = self.policies.get_mut(&job.request.service)?;
        if !policy.budget.spend() {
            self.timers.insert((now.after(HEDGE_AGAIN), ticket));
            return None;
        }
        self.last += 1;
        let (twin, mut copy) = (self.last, job.clone());
        copy.replica = replica;
        copy.alternatives.clear();
        copy.priority = PRIORITY_FIRST;
        copy.twin = Some(ticket);
        copy.sent = None;
        self.jobs
            .entry(ticket)
            .and_modify(|job| job.twin = Some(twin));
        Some(self.enter(now, twin, copy))
    }

    fn may_hedge(&self, now: Time, replica: &SocketAddr) -> bool {
        let limiter = self.held.get(replica).map(|held| &held.limiter);
        let ready =
            |limiter: &Limiter| limiter.is_accepting(now) && limiter.health() == Health::Ready;
        limiter.is_some_and(ready) && self.cause(replica).is_none()
    }
}
