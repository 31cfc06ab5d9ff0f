//! The owner role: sends sub-requests to the replicas that only this daemon may send to.
//!
//! [`Daemon`](crate::daemon::Daemon) passes in assignments, batches of entry daemons and
//! the ends of calls, and carries out the returned [`Action`]s. The owner admits
//! sub-requests through the replica's [`Limiter`], moves them between replicas of a
//! shard, and sends hedges.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::exchange::Call;
use crate::exchange::Exchange;
use crate::hedge;
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
use crate::quota::Need;
use crate::quota::Rate;
use crate::request::Batch;
use crate::request::Cause;
use crate::request::Index;
use crate::request::Outcome;
use crate::request::Request;
use crate::silence::Silence;
use crate::uplink::Unanswered;

/// Quantile of a service's latencies up to which a call takes its usual time.
const USUAL_QUANTILE: f64 = 0.99;

/// Priority of hedges and canaries, above that of all services: they take the next free
/// slot.
const PRIORITY_MAX: u8 = u8::MAX;

/// Delay before a hedge that exceeded the budget is tried again.
const HEDGE_RETRY_DELAY: Span = Span::from_ms(1);

/// One in this many sub-requests prefers a replica that is not ready.
const COLD_TURN_INTERVAL: u64 = 4;

/// Load of one sub-request on a replica with one slot, for integer comparison of loads.
const LOAD_SCALE: u32 = 1_000;

/// Actions that the owner role requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a request to a backend server.
    Call(Call),
    /// Abort the call with this ticket.
    Abort(Ticket),
    /// Report the outcome of a sub-request to its entry daemon.
    Reply {
        /// Host of the entry daemon.
        to: Name,
        /// Identifier of the sub-request at the entry daemon.
        id: u64,
        /// The replica to which the sub-request was assigned.
        replica: SocketAddr,
        /// Outcome of the sub-request.
        outcome: Outcome,
    },
    /// Announce the health, the boot identifier and the named limit of a replica to all daemons.
    Health(SocketAddr, Health, Option<Name>, Option<Rate>),
    /// Announce to all daemons that a request was running where a connection broke.
    Suspect(Digest),
    /// Close the connections to a replica that is no longer owned.
    CloseConnections(SocketAddr),
    /// Tell the replica's next owner that no sub-request of this daemon is left at it.
    ReplicaReleased(SocketAddr),
    /// Try to open a connection to a replica, to see whether its process ended.
    Probe(SocketAddr),
}

/// A sub-request that waits at a replica or was sent to it.
#[derive(Clone, Debug)]
struct Subrequest {
    from: Name,
    /// Identifier at the entry daemon.
    id: u64,
    replica: SocketAddr,
    /// Other replicas of the shard that may serve the sub-request.
    alternatives: Vec<SocketAddr>,
    /// Index version that the answer must have, if any.
    pin: Option<Index>,
    deadline: Time,
    priority: u8,
    exclusive: bool,
    request: Arc<Request>,
    /// When the sub-request was sent to the server; absent while it waits.
    sent_at: Option<Time>,
    /// Whether its connection broke; it is not hedged while its server may have ended under it.
    broke: bool,
    /// Whether its hedge was put off once because its timer was late.
    put_off: bool,
    /// The hedge of this sub-request, or the sub-request that this one hedges.
    duplicate: Option<Ticket>,
}

impl Subrequest {
    /// Moves the sub-request to another replica; the earlier one becomes an alternative.
    fn move_to(&mut self, replica: SocketAddr) {
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
            id: self.id,
            replica: self.replica,
            outcome,
        }
    }
}

/// A replica that this daemon owns.
#[derive(Clone, Debug)]
struct Replica {
    limiter: Limiter,
    /// Health last announced to all daemons; ready, which a router assumes without a
    /// report, before the first announcement.
    announced: Health,
    /// Limit last announced; absent if the replica names none.
    announced_limit: Option<Rate>,
    /// Other replicas of the shard.
    siblings: Vec<SocketAddr>,
}

/// A replica that this daemon should own.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Address of the replica's backend server.
    pub replica: SocketAddr,
    /// Service of the replica.
    pub service: Name,
    /// Hedging settings of the service.
    pub hedge: Hedge,
    /// Other replicas of the shard.
    pub siblings: Vec<SocketAddr>,
    /// Limits under which this daemon sends to the replica.
    pub limits: Limits,
    /// Whether the replica's failure domain is in service.
    pub domain_in: bool,
    /// Boot identifier under which an earlier owner announced the replica as ready.
    pub boot: Option<Name>,
    /// Limit that an earlier owner heard the replica name.
    pub limit: Option<Rate>,
    /// Number of daemons that send to the replica.
    pub senders: u32,
    /// Time for which an earlier owner may still send to the replica.
    pub takeover_delay: Span,
}

/// State of the owner role.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    /// Owned replicas by address.
    owned: BTreeMap<SocketAddr, Replica>,
    /// What replicas said that keeps requests away from them, when this daemon gave them up.
    silences: BTreeMap<SocketAddr, Silence>,
    /// Assigned replicas that earlier owners may still use, and until when.
    acquirable_from: BTreeMap<SocketAddr, Time>,
    /// Assigned replicas that get no work because their failure domain is out.
    out_of_service: BTreeMap<SocketAddr, Cause>,
    /// Hedging policy of each service.
    policies: BTreeMap<Name, Policy>,
    /// Sub-requests that wait or run, by ticket.
    subrequests: BTreeMap<Ticket, Subrequest>,
    /// Ticket of each sub-request, by entry daemon and its identifier there.
    tickets: BTreeMap<(Name, u64), Ticket>,
    /// When each sub-request that was sent becomes due for a hedge.
    timers: BTreeSet<(Time, Ticket)>,
    last_ticket: Ticket,
    /// Hedges sent since the daemon started.
    pub hedges: u64,
}

/// Ownership of replicas.
impl Owner {
    /// Sets the replicas that this daemon should own. A newly assigned replica is used
    /// only after its takeover delay, when the lease of any earlier owner has lapsed.
    pub fn assign(&mut self, now: Time, assignments: &[Assignment]) -> Vec<Action> {
        let wanted = assignments
            .iter()
            .map(|assignment| assignment.replica)
            .collect::<BTreeSet<_>>();
        let lost = self
            .owned
            .keys()
            .filter(|replica| !wanted.contains(replica));
        let lost = lost.copied().collect::<Vec<_>>();
        let mut actions = Vec::new();
        lost.into_iter()
            .for_each(|replica| actions.extend(self.disown(replica)));
        self.acquirable_from
            .retain(|replica, _| wanted.contains(replica));
        self.out_of_service
            .retain(|replica, _| wanted.contains(replica));
        for assignment in assignments {
            actions.extend(self.update_assignment(now, assignment));
        }
        actions
    }

    /// Applies one assignment. Waiters are refused if the failure domain is out; a
    /// replica whose domain returned starts slowly.
    fn update_assignment(&mut self, now: Time, assignment: &Assignment) -> Vec<Action> {
        let policy = self.policies.entry(assignment.service.clone());
        policy
            .or_insert_with(|| Policy::new(assignment.hedge))
            .update(assignment.hedge);
        let returned =
            assignment.domain_in && self.out_of_service.remove(&assignment.replica).is_some();
        if !assignment.domain_in {
            self.out_of_service
                .insert(assignment.replica, Cause::DomainOut);
        }
        let Some(owned) = self.owned.get_mut(&assignment.replica) else {
            self.acquire(now, assignment);
            return Vec::new();
        };
        owned.limiter.update(assignment.limits);
        owned.limiter.set_senders(now, assignment.senders);
        owned.siblings.clone_from(&assignment.siblings);
        if returned {
            owned.limiter.start_slow(now);
        }
        if assignment.domain_in {
            return self.pull_from_siblings(now, assignment.replica);
        }
        let decisions = owned.limiter.reject_all(Cause::DomainOut);
        self.apply_decisions(now, decisions)
    }

    /// Takes ownership of a replica if its takeover delay has passed.
    fn acquire(&mut self, now: Time, assignment: &Assignment) {
        let until = now.after(assignment.takeover_delay);
        let acquirable = self
            .acquirable_from
            .entry(assignment.replica)
            .or_insert(until);
        *acquirable = (*acquirable).min(until);
        if *acquirable > now {
            return;
        }
        self.acquirable_from.remove(&assignment.replica);
        let running = self
            .subrequests
            .iter()
            .filter(|(_, subrequest)| subrequest.replica == assignment.replica);
        let running = running.map(|(ticket, _)| *ticket);
        let limiter = Limiter::new(now, assignment.limits).with_running(now, running);
        let limiter = limiter.with_boot(assignment.boot.clone());
        let limiter = limiter.with_silence(self.silences.remove(&assignment.replica));
        let mut limiter = limiter.with_limit(now, assignment.limit);
        limiter.set_senders(now, assignment.senders);
        let owned = Replica {
            limiter,
            announced: Health::Ready,
            announced_limit: None,
            siblings: assignment.siblings.clone(),
        };
        self.owned.insert(assignment.replica, owned);
    }

    /// Gives up a replica. Its waiters are refused; its running sub-requests end
    /// normally.
    fn disown(&mut self, replica: SocketAddr) -> Vec<Action> {
        let Some(mut owned) = self.owned.remove(&replica) else {
            return Vec::new();
        };
        if let Some(silence) = owned.limiter.silence() {
            self.silences.insert(replica, silence);
        }
        let decisions = owned.limiter.reject_all(Cause::NotOwner);
        let mut actions = self.apply_decisions(Time::default(), decisions);
        actions.push(Action::CloseConnections(replica));
        actions.extend(self.report_if_idle(replica));
        actions
    }

    /// Reports a replica as released if it is not owned and no sub-request is left at it.
    fn report_if_idle(&self, replica: SocketAddr) -> Option<Action> {
        let has_subrequests = self
            .subrequests
            .values()
            .any(|subrequest| subrequest.replica == replica);
        (!has_subrequests && !self.owned.contains_key(&replica))
            .then_some(Action::ReplicaReleased(replica))
    }

    /// Gives up all replicas, as when the lease has lapsed.
    pub fn disown_all(&mut self) -> Vec<Action> {
        let all = self.owned.keys().copied().collect::<Vec<_>>();
        self.acquirable_from.clear();
        all.into_iter()
            .flat_map(|replica| self.disown(replica))
            .collect()
    }

    /// Whether this daemon owns any replica.
    pub fn is_owning(&self) -> bool {
        !self.owned.is_empty()
    }

    /// Owned replicas with their admission state.
    pub fn replicas(&self) -> impl Iterator<Item = (&SocketAddr, &Limiter)> {
        self.owned
            .iter()
            .map(|(replica, owned)| (replica, &owned.limiter))
    }

    /// The replica to which the call with this ticket goes, if it has not ended.
    pub fn replica_of(&self, ticket: Ticket) -> Option<SocketAddr> {
        let subrequest = self.subrequests.get(&ticket)?;
        Some(subrequest.replica)
    }

    /// The calls to each replica that are not answered yet.
    pub fn unanswered(&self, now: Time) -> Vec<Unanswered> {
        let mut replicas = BTreeMap::<SocketAddr, Unanswered>::new();
        for subrequest in self.subrequests.values() {
            let Some(sent_at) = subrequest.sent_at else {
                continue;
            };
            let policy = self.policies.get(&subrequest.request.service);
            let usual = policy.and_then(|policy| policy.latency.quantile(USUAL_QUANTILE));
            let usual = usual.unwrap_or(Span::ZERO);
            let calls = replicas.entry(subrequest.replica).or_default();
            *calls = calls.add(now.since(sent_at), usual);
        }
        replicas.into_values().collect()
    }

    /// Number of sub-requests that wait or run.
    pub fn pending(&self) -> usize {
        self.subrequests.len()
    }

    /// Earliest time at which a hedge may be due.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(time, _)| *time)
    }
}

/// Sub-requests of entry daemons.
impl Owner {
    /// Accepts a batch of sub-requests from the entry daemon on the host `from`.
    pub fn on_batch(&mut self, now: Time, from: &Name, batch: &Batch) -> Vec<Action> {
        let deadline = now.after(batch.time_left);
        let mut actions = Vec::new();
        for subrequest in &batch.subrequests {
            let subrequest = Subrequest {
                from: from.clone(),
                id: subrequest.id,
                replica: subrequest.replica,
                alternatives: subrequest.alternatives.clone(),
                pin: subrequest.pin,
                deadline,
                priority: if batch.exclusive {
                    PRIORITY_MAX
                } else {
                    batch.priority
                },
                exclusive: batch.exclusive,
                request: batch.request.clone(),
                sent_at: None,
                broke: false,
                put_off: false,
                duplicate: None,
            };
            actions.extend(self.route(now, subrequest));
        }
        actions
    }

    /// Assigns a new sub-request to a replica, or refuses it.
    fn route(&mut self, now: Time, mut subrequest: Subrequest) -> Vec<Action> {
        match self.choose_replica(now, &subrequest) {
            Ok(replica) => subrequest.move_to(replica),
            Err(cause) => return vec![subrequest.reply(Outcome::not_run(cause))],
        }
        self.last_ticket += 1;
        self.tickets
            .insert((subrequest.from.clone(), subrequest.id), self.last_ticket);
        self.enqueue(now, self.last_ticket, subrequest)
    }

    /// Offers a sub-request to the limiter of its replica.
    fn enqueue(&mut self, now: Time, ticket: Ticket, subrequest: Subrequest) -> Vec<Action> {
        let (replica, waiter) = (subrequest.replica, subrequest.waiter(ticket));
        self.subrequests.insert(ticket, subrequest);
        let owned = self.owned.get_mut(&replica);
        let decisions = owned
            .map(|owned| owned.limiter.offer(now, waiter))
            .unwrap_or_default();
        self.apply_decisions(now, decisions)
    }

    /// The owned replica at which the sub-request should run, or the cause if there is
    /// none. Prefers, in this order, a replica that accepts work, for a canary one at which
    /// nothing runs, one with capacity, a ready one (or one that is not ready, see [`COLD_TURN_INTERVAL`]), and the lowest
    /// load.
    fn choose_replica(&self, now: Time, subrequest: &Subrequest) -> Result<SocketAddr, Cause> {
        let all = std::iter::once(&subrequest.replica).chain(&subrequest.alternatives);
        let usable = all.filter(|replica| self.refusal_cause(replica).is_none());
        let owned =
            usable.filter_map(|replica| Some((*replica, &self.owned.get(replica)?.limiter)));
        let prefer_cold = self.last_ticket.is_multiple_of(COLD_TURN_INTERVAL);
        let best = owned.min_by_key(|(_, limiter)| {
            let load = (limiter.running() + limiter.waiting()) as u32 * LOAD_SCALE
                / limiter.limit().max(1);
            (
                !limiter.is_accepting(now),
                subrequest.exclusive && !limiter.is_alone(now),
                !limiter.has_capacity(now),
                (limiter.health() == Health::Ready) == prefer_cold,
                load,
            )
        });
        match best {
            Some((replica, _)) => Ok(replica),
            None => Err(self
                .refusal_cause(&subrequest.replica)
                .unwrap_or(Cause::Overloaded)),
        }
    }

    /// Why this daemon sends no work to a replica; absent if it may send.
    fn refusal_cause(&self, replica: &SocketAddr) -> Option<Cause> {
        match (self.owned.get(replica), self.out_of_service.get(replica)) {
            (None, _) => Some(Cause::NotOwner),
            (_, cause) => cause.copied(),
        }
    }

    /// Moves waiting sub-requests of the same shard to a replica with spare capacity.
    fn pull_from_siblings(&mut self, now: Time, replica: SocketAddr) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.has_spare_capacity(now, &replica) {
            let Some((ticket, mut subrequest)) = self.take_from_sibling(&replica) else {
                break;
            };
            subrequest.move_to(replica);
            actions.extend(self.enqueue(now, ticket, subrequest));
        }
        actions
    }

    /// Whether a replica accepts work, has capacity and has no waiters of its own.
    fn has_spare_capacity(&self, now: Time, replica: &SocketAddr) -> bool {
        let limiter = self.owned.get(replica).map(|owned| &owned.limiter);
        let idle = |limiter: &Limiter| {
            limiter.is_accepting(now) && limiter.has_capacity(now) && limiter.waiting() == 0
        };
        limiter.is_some_and(idle) && self.refusal_cause(replica).is_none()
    }

    /// Takes a sub-request that waits at a sibling and may run at `replica`.
    fn take_from_sibling(&mut self, replica: &SocketAddr) -> Option<(Ticket, Subrequest)> {
        let siblings = self.owned.get(replica)?.siblings.clone();
        let waiting = |other: &SocketAddr| {
            self.owned
                .get(other)
                .map_or(0, |owned| owned.limiter.waiting())
        };
        let from = siblings.into_iter().max_by_key(waiting)?;
        let subrequests = &self.subrequests;
        let may_move = |t| {
            subrequests
                .get(&t)
                .is_some_and(|subrequest: &Subrequest| subrequest.alternatives.contains(replica))
        };
        let waiter = self.owned.get_mut(&from)?.limiter.take_waiting(may_move)?;
        let subrequest = self.subrequests.remove(&waiter.ticket)?;
        Some((waiter.ticket, subrequest))
    }

    fn apply_decisions(&mut self, now: Time, decisions: Vec<Decision>) -> Vec<Action> {
        decisions
            .into_iter()
            .filter_map(|decision| self.apply_decision(now, decision))
            .collect()
    }

    /// Carries out a decision of a limiter. A refused sub-request with a duplicate gets
    /// no reply, since the duplicate goes on.
    fn apply_decision(&mut self, now: Time, decision: Decision) -> Option<Action> {
        match decision {
            Decision::Admit(ticket) => self.send(now, ticket),
            Decision::Reject(ticket, cause) => {
                let subrequest = self.remove(ticket)?;
                if let Some(other) = subrequest
                    .duplicate
                    .and_then(|other| self.subrequests.get_mut(&other))
                {
                    other.duplicate = None;
                    return None;
                }
                Some(subrequest.reply(Outcome::not_run(cause)))
            }
        }
    }

    /// Sends an admitted sub-request and sets the timer for its hedge. One sent to a
    /// stalled server as a probe is hedged at once.
    fn send(&mut self, now: Time, ticket: Ticket) -> Option<Action> {
        let subrequest = self.subrequests.get_mut(&ticket)?;
        let health = self
            .owned
            .get(&subrequest.replica)
            .map(|owned| owned.limiter.health());
        let probe = health == Some(Health::Stalled);
        subrequest.sent_at = Some(now);
        let hedge = subrequest.duplicate.is_some();
        self.hedges += u64::from(hedge);
        if !hedge
            && !subrequest.exclusive
            && subrequest.request.is_repeatable()
            && !subrequest.alternatives.is_empty()
        {
            let policy = self.policies.get_mut(&subrequest.request.service);
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
            replica: subrequest.replica,
            request: subrequest.request.clone(),
            pin: subrequest.pin,
            time_left: subrequest.deadline.since(now),
        }))
    }

    /// Removes a sub-request; its duplicate takes its place in `tickets`.
    fn remove(&mut self, ticket: Ticket) -> Option<Subrequest> {
        let subrequest = self.subrequests.remove(&ticket)?;
        let key = (subrequest.from.clone(), subrequest.id);
        match subrequest.duplicate {
            Some(duplicate) => drop(self.tickets.insert(key, duplicate)),
            None => drop(self.tickets.remove(&key)),
        }
        Some(subrequest)
    }

    /// Notes that the connection of a call broke, before its end is known.
    pub fn on_call_broke(&mut self, ticket: Ticket) {
        if let Some(subrequest) = self.subrequests.get_mut(&ticket) {
            subrequest.broke = true;
        }
    }

    /// Handles the end of a call.
    pub fn on_exchange(&mut self, now: Time, ticket: Ticket, exchange: Exchange) -> Vec<Action> {
        if exchange == Exchange::StaleConnection {
            return self.resend(now, ticket);
        }
        let Some(subrequest) = self.remove(ticket) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if let Some(policy) = self.policies.get_mut(&subrequest.request.service) {
            let took = subrequest.sent_at.map(|sent| now.since(sent));
            took.into_iter()
                .for_each(|took| policy.latency.record(took));
        }
        if exchange == Exchange::Ended {
            actions.push(Action::Suspect(subrequest.request.fingerprint()));
        }
        let (replica, observation) = (subrequest.replica, exchange.observation());
        if let Some(owned) = self.owned.get_mut(&replica) {
            owned.limiter.set_limit(now, exchange.limit());
            if let Some(pause) = exchange.pause() {
                owned.limiter.pause(now, pause);
            }
        } else {
            let silence = self.silences.entry(replica).or_default();
            silence.record(now, &exchange);
        }
        actions.extend(self.reply_or_await_duplicate(now, subrequest, exchange));
        actions.extend(self.finish_call(now, replica, ticket, observation));
        actions
    }

    /// Offers a sub-request again whose call failed on a stale connection; no byte of it
    /// was sent.
    fn resend(&mut self, now: Time, ticket: Ticket) -> Vec<Action> {
        let Some(mut subrequest) = self.subrequests.remove(&ticket) else {
            return Vec::new();
        };
        let mut actions = self.finish_call(now, subrequest.replica, ticket, Observation::Cancelled);
        subrequest.sent_at = None;
        if self.refusal_cause(&subrequest.replica).is_some() {
            self.subrequests.insert(ticket, subrequest);
            actions.extend(self.apply_decision(now, Decision::Reject(ticket, Cause::NotOwner)));
            return actions;
        }
        actions.extend(self.enqueue(now, ticket, subrequest));
        actions
    }

    /// Replies for a sub-request, unless it was shed, not sent or badly answered and its
    /// duplicate may still do better. An answer or a broken connection cancels the
    /// duplicate.
    fn reply_or_await_duplicate(
        &mut self,
        now: Time,
        subrequest: Subrequest,
        exchange: Exchange,
    ) -> Vec<Action> {
        let conclusive = matches!(
            exchange,
            Exchange::Answered { shed: false, .. } | Exchange::Broken | Exchange::Ended
        );
        let other = subrequest
            .duplicate
            .filter(|other| self.subrequests.contains_key(other));
        let Some(other) = other else {
            return vec![subrequest.reply(exchange.outcome())];
        };
        if !conclusive {
            self.subrequests
                .entry(other)
                .and_modify(|other| other.duplicate = None);
            return Vec::new();
        }
        let mut actions = vec![subrequest.reply(exchange.outcome())];
        self.subrequests
            .entry(other)
            .and_modify(|other| other.duplicate = None);
        actions.extend(self.cancel_one(now, other, Observation::Cancelled));
        actions
    }

    /// Reports the end of a sub-request to its limiter and gives the free slot to the
    /// next one.
    fn finish_call(
        &mut self,
        now: Time,
        replica: SocketAddr,
        ticket: Ticket,
        observation: Observation,
    ) -> Vec<Action> {
        let Some(owned) = self.owned.get_mut(&replica) else {
            return self.report_if_idle(replica).into_iter().collect();
        };
        let decisions = owned.limiter.finish(now, ticket, observation);
        let mut actions = self.apply_decisions(now, decisions);
        actions.extend(self.pull_from_siblings(now, replica));
        actions.extend(self.announce_health(now, replica));
        actions
    }

    /// Announces the health and the named limit of a replica if they changed. A draining or stalled replica
    /// that may be tried again is announced as cold.
    fn announce_health(&mut self, now: Time, replica: SocketAddr) -> Option<Action> {
        let owned = self.owned.get_mut(&replica)?;
        let health = match owned.limiter.health() {
            _ if owned.limiter.is_retry_due(now) => Health::Cold,
            health => health,
        };
        let limit = owned.limiter.named_limit();
        if owned.announced == health && owned.announced_limit == limit {
            return None;
        }
        owned.announced = health;
        owned.announced_limit = limit;
        let boot = owned.limiter.boot().cloned();
        Some(Action::Health(replica, health, boot, limit))
    }

    /// Cancels a sub-request of the entry daemon on the host `from`.
    pub fn cancel(&mut self, now: Time, from: &Name, id: u64) -> Vec<Action> {
        let ticket = self.tickets.get(&(from.clone(), id)).copied();
        ticket
            .map(|ticket| self.cancel_with_duplicate(now, ticket, &Observation::Cancelled))
            .unwrap_or_default()
    }

    /// Cancels all sub-requests of a lost entry daemon.
    pub fn on_entry_lost(&mut self, now: Time, host: &Name) -> Vec<Action> {
        let tickets = self
            .subrequests
            .iter()
            .filter(|(_, subrequest)| subrequest.from == *host);
        let tickets = tickets.map(|(ticket, _)| *ticket).collect::<Vec<_>>();
        tickets
            .into_iter()
            .flat_map(|t| self.cancel_one(now, t, Observation::Cancelled))
            .collect()
    }

    /// Cancels a sub-request and its duplicate.
    fn cancel_with_duplicate(
        &mut self,
        now: Time,
        ticket: Ticket,
        observation: &Observation,
    ) -> Vec<Action> {
        let duplicate = self
            .subrequests
            .get(&ticket)
            .and_then(|subrequest| subrequest.duplicate);
        let mut actions = self.cancel_one(now, ticket, observation.clone());
        actions.extend(
            duplicate
                .map(|t| self.cancel_one(now, t, observation.clone()))
                .unwrap_or_default(),
        );
        actions
    }

    /// Cancels a sub-request. The time that it ran counts as a latency, and the budget is
    /// refunded for a hedge that was not sent.
    fn cancel_one(&mut self, now: Time, ticket: Ticket, observation: Observation) -> Vec<Action> {
        let Some(subrequest) = self.remove(ticket) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        let policy = self.policies.get_mut(&subrequest.request.service);
        match (policy, subrequest.sent_at) {
            (Some(policy), Some(sent)) => policy.latency.record(now.since(sent)),
            (Some(policy), None)
                if subrequest.priority == PRIORITY_MAX && !subrequest.exclusive =>
            {
                policy.budget.refund();
            }
            _ => {}
        }
        actions.extend(subrequest.sent_at.map(|_| Action::Abort(ticket)));
        actions.extend(self.finish_call(now, subrequest.replica, ticket, observation));
        actions
    }

    /// Records whether a replica could be reached by a trial connection.
    pub fn on_probe(&mut self, now: Time, replica: SocketAddr, reachable: bool) {
        if let Some(owned) = self.owned.get_mut(&replica) {
            owned.limiter.record_probe(now, reachable);
        }
    }

    /// Sends due hedges, ends late sub-requests and detects stalled servers.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.send_due_hedges(now);
        let late = self
            .subrequests
            .iter()
            .filter(|(_, subrequest)| subrequest.sent_at.is_some() && subrequest.deadline <= now);
        for ticket in late.map(|(ticket, _)| *ticket).collect::<Vec<_>>() {
            let late = Outcome::maybe_ran(Cause::Deadline);
            actions.extend(
                self.subrequests
                    .get(&ticket)
                    .map(|subrequest| subrequest.clone().reply(late)),
            );
            actions.extend(self.cancel_with_duplicate(now, ticket, &Observation::Timeout));
        }
        for replica in self.owned.keys().copied().collect::<Vec<_>>() {
            let Some(owned) = self.owned.get_mut(&replica) else {
                continue;
            };
            if owned.limiter.take_probe(now) {
                actions.push(Action::Probe(replica));
            }
            let decisions = owned.limiter.tick(now);
            actions.extend(self.apply_decisions(now, decisions));
            actions.extend(self.announce_health(now, replica));
        }
        actions
    }

    /// Sends hedges for the sub-requests that run longer than the hedge delay, within the
    /// service's budget, to replicas that are ready.
    fn send_due_hedges(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((time, ticket)) = self.timers.first().copied().filter(|(t, _)| *t <= now) {
            self.timers.remove(&(time, ticket));
            if let Some(later) = hedge::put_off(now, time)
                && self.put_off_once(ticket)
            {
                self.timers.insert((later, ticket));
                continue;
            }
            actions.extend(self.send_hedge(now, ticket).unwrap_or_default());
        }
        actions
    }

    /// Marks the hedge of a sub-request as put off; false if it was before.
    fn put_off_once(&mut self, ticket: Ticket) -> bool {
        let subrequest = self.subrequests.get_mut(&ticket);
        subrequest.is_some_and(|subrequest| !std::mem::replace(&mut subrequest.put_off, true))
    }

    /// Sends a hedge for one sub-request, unless it has ended, has a duplicate, or no
    /// alternative is ready.
    fn send_hedge(&mut self, now: Time, ticket: Ticket) -> Option<Vec<Action>> {
        let subrequest = self
            .subrequests
            .get(&ticket)
            .filter(|subrequest| subrequest.duplicate.is_none() && !subrequest.broke)?;
        let replica = *subrequest
            .alternatives
            .iter()
            .find(|replica| self.may_hedge(now, replica))?;
        let policy = self.policies.get_mut(&subrequest.request.service)?;
        if !policy.budget.spend() {
            self.timers.insert((now.after(HEDGE_RETRY_DELAY), ticket));
            return None;
        }
        self.last_ticket += 1;
        let (duplicate, mut copy) = (self.last_ticket, subrequest.clone());
        copy.replica = replica;
        copy.alternatives.clear();
        copy.priority = PRIORITY_MAX;
        copy.duplicate = Some(ticket);
        copy.sent_at = None;
        self.subrequests
            .entry(ticket)
            .and_modify(|subrequest| subrequest.duplicate = Some(duplicate));
        Some(self.enqueue(now, duplicate, copy))
    }

    /// Whether hedges may go to a replica: it must be ready and in service, and under a limit that
    /// it names there must be room beyond that for other calls.
    fn may_hedge(&self, now: Time, replica: &SocketAddr) -> bool {
        let limiter = self.owned.get(replica).map(|owned| &owned.limiter);
        let ready =
            |limiter: &Limiter| limiter.is_accepting(now) && limiter.health() == Health::Ready;
        let ready = |limiter: &Limiter| ready(limiter) && limiter.has_room(now, Need::Spare);
        limiter.is_some_and(ready) && self.refusal_cause(replica).is_none()
    }
}
