//! Proposer of a voter: runs one proposal at a time for each key.
//!
//! [`crate::voter::Voter`] feeds it the answers of all voters, sends the bodies that it
//! returns to all voters and reports its decisions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::clock::Span;
use crate::clock::Time;
use crate::register::Change;
use crate::register::Decision;
use crate::register::Key;
use crate::register::Value;
use crate::running::LIFETIME_BITS;
use crate::running::Running;
use crate::running::Stage;
use crate::running::round_above;
use crate::running::transfer_time;
use crate::voter::Ballot;
use crate::voter::Body;
use crate::voter::Hint;
use crate::voter::Id;
use crate::voter::Incarnation;

/// Transfer time from which a value counts as long.
const TRANSFER_LONG: Span = Span::from_ms(10);

/// Longest time for which a read waits for the ballot of another voter.
const DEFER_MAX: Span = Span::from_ms(200);

/// Further time for each voter with a lower id.
const DEFER_STEP: Span = Span::from_ms(40);

/// Unit of the backoff after a rejected ballot.
const BACKOFF_UNIT: Span = Span::from_ms(2);

/// Longest backoff, in units.
const BACKOFF_STEPS_MAX: u64 = 16;

/// Message bodies to send to all voters, and decisions with their tickets.
pub type Step = (Vec<Body>, Vec<(u64, Decision)>);

/// A change that waits for the running proposal of its key.
#[derive(Clone, Debug)]
struct Queued {
    ticket: u64,
    change: Change,
    started_at: Time,
}

/// Running and queued proposals of one voter.
#[derive(Clone, Debug)]
pub struct Proposer {
    id: Id,
    group_size: usize,
    /// Random number of this lifetime, of [`LIFETIME_BITS`]. A ballot can be decided before the
    /// promise of its own voter is synced, and a crash loses its number then.
    lifetime: u64,
    incarnations: Vec<Incarnation>,
    running: BTreeMap<Key, Running>,
    queues: BTreeMap<Key, VecDeque<Queued>>,
    /// When another voter last asked for a promise for a key, until a value is accepted.
    contended: BTreeMap<Key, Time>,
    /// Time that the value of a key needs to reach all voters, for those with long values.
    transfers: BTreeMap<Key, Span>,
}

impl Proposer {
    /// Creates the proposer of voter `id` in a group of `group_size`. `nonce` is a random number
    /// that differs between starts of the voter.
    pub fn new(id: Id, group_size: usize, nonce: u64) -> Proposer {
        let incarnations = vec![Incarnation::default(); group_size];
        Proposer {
            id,
            group_size,
            lifetime: nonce & ((1 << LIFETIME_BITS) - 1),
            incarnations,
            running: BTreeMap::new(),
            queues: BTreeMap::new(),
            contended: BTreeMap::new(),
            transfers: BTreeMap::new(),
        }
    }

    fn majority(&self) -> usize {
        self.group_size / 2 + 1
    }

    /// Starts a proposal with a ballot above `floor`, or queues it if one of the same key
    /// runs already. A read waits while another voter changes the key, as [`Proposer::defer`] says.
    pub fn propose(
        &mut self,
        now: Time,
        ticket: u64,
        key: Key,
        change: Change,
        floor: Ballot,
    ) -> Vec<Body> {
        let queued = Queued {
            ticket,
            change,
            started_at: now,
        };
        let running = self.running.get(&key);
        let is_deferred = running.is_some_and(Running::is_deferred_read);
        if is_deferred && queued.change != Change::Read {
            return self.overtake(now, key, queued, floor);
        }
        if running.is_some() {
            self.queues.entry(key).or_default().push_back(queued);
            return Vec::new();
        }
        self.start(now, key, queued, floor)
    }

    /// Starts a change in place of a read that waits for another voter; the read is next.
    fn overtake(&mut self, now: Time, key: Key, change: Queued, floor: Ballot) -> Vec<Body> {
        let read = self.running.remove(&key).map(|read| Queued {
            ticket: read.ticket,
            change: read.change,
            started_at: read.started_at,
        });
        let queue = self.queues.entry(key).or_default();
        read.into_iter().for_each(|read| queue.push_front(read));
        self.start(now, key, change, floor)
    }

    /// Records that another voter asked for a promise. Reads of its key wait until a value was
    /// accepted, for some time at most: their ballots would make the other one start again.
    pub fn defer(&mut self, now: Time, key: Key, ballot: Ballot) {
        if ballot.voter != self.id {
            self.contended.insert(key, now);
        }
    }

    /// Records that a value was accepted with this ballot: a proposal that waited for it begins above,
    /// once a long value can have reached the other voters too.
    pub fn release(&mut self, now: Time, key: Key, ballot: Ballot) {
        self.contended.remove(&key);
        let transfer = self.transfers.get(&key).copied().unwrap_or_default();
        if let Some(proposal) = self.running.get_mut(&key)
            && let Stage::Deferred(_) = proposal.stage
        {
            proposal.ballot.round = proposal.ballot.round.max(ballot.round);
            proposal.stage = Stage::Backoff(now.after(transfer));
        }
    }

    /// Records how long the value of a key is.
    pub fn note_size(&mut self, key: Key, bytes: usize) {
        match transfer_time(bytes) {
            transfer if transfer >= TRANSFER_LONG => drop(self.transfers.insert(key, transfer)),
            _ => drop(self.transfers.remove(&key)),
        }
    }

    /// Longest time for which a proposal of this voter waits for another voter; others wait for other
    /// times, so that they don't meet again.
    fn defer_time(&self, key: &Key) -> Span {
        let transfer = self.transfers.get(key).copied().unwrap_or_default();
        let step = DEFER_STEP + transfer.divided_by(2);
        (DEFER_MAX + transfer.saturating_mul(2)).plus_steps(step, self.id)
    }

    /// Whether a change of this key waits like a read: a ballot that gets between takes away the time
    /// in which a long value was sent.
    fn defers(&self, key: &Key, change: &Change) -> bool {
        *change == Change::Read || self.transfers.contains_key(key)
    }

    /// Time until which a proposal for a key waits; absent if it needn't.
    fn deferred_until(&self, now: Time, key: &Key, change: &Change) -> Option<Time> {
        let asked = self.contended.get(key);
        let asked = asked.filter(|_| self.defers(key, change));
        let until = asked.map(|at| at.after(self.defer_time(key)));
        until.filter(|until| *until > now)
    }

    fn start(&mut self, now: Time, key: Key, queued: Queued, floor: Ballot) -> Vec<Body> {
        let ballot = Ballot {
            round: round_above(floor.round, self.lifetime),
            voter: self.id,
        };
        let deferred = self.deferred_until(now, &key, &queued.change);
        let proposal = Running {
            ticket: queued.ticket,
            change: queued.change,
            ballot,
            stage: deferred.map_or(Stage::Prepare(BTreeMap::new()), Stage::Deferred),
            sent_at: now,
            started_at: queued.started_at,
            rejections: 0,
            rejected_by: BTreeSet::new(),
            promised: 0,
            held: None,
            reads: false,
            agreeing: BTreeSet::new(),
            reads_failed: false,
        };
        self.running.insert(key, proposal);
        match deferred {
            Some(_) => Vec::new(),
            None => vec![Body::Prepare(key, ballot, Hint::default().into())],
        }
    }

    /// Restarts all ballots if an incarnation changed, because promises and acceptances of
    /// an earlier incarnation don't count.
    pub fn restart_if_changed(&mut self, now: Time, incarnations: &[Incarnation]) -> Vec<Body> {
        if self.incarnations == incarnations {
            return Vec::new();
        }
        self.incarnations = incarnations.to_vec();
        let lifetime = self.lifetime;
        let restart = |(key, proposal): (&Key, &mut Running)| proposal.restart(now, *key, lifetime);
        self.contended.clear();
        self.running.iter_mut().map(restart).collect()
    }

    /// Begins the ballot of a key with the value that this voter accepted last; returns what the other
    /// voters are told of it. A read only asks them whether they accepted the same value last. If a
    /// majority did, it is chosen, and none was chosen after it before the read began.
    pub fn begin(&mut self, key: &Key, held: Option<(Ballot, Value)>) -> Hint {
        let Some(proposal) = self.running.get_mut(key) else {
            return Hint::default();
        };
        let may_read = proposal.change == Change::Read && !proposal.reads_failed;
        proposal.reads = may_read && held.is_some();
        proposal.agreeing.clear();
        proposal.held = held;
        Hint {
            accepted: proposal.held.as_ref().map(|(ballot, _)| *ballot),
            reads: proposal.reads,
        }
    }

    /// Handles a promise of a voter that accepted the value of this ballot last, which this voter held
    /// when its own ballot began.
    pub fn handle_known(
        &mut self,
        now: Time,
        from: Id,
        key: Key,
        ballot: Ballot,
        accepted: Ballot,
    ) -> Step {
        let running = self.running.get(&key);
        let held = running.and_then(|running| running.held.clone());
        match held.filter(|(held, _)| *held == accepted) {
            Some(held) => self.handle_promise(now, from, key, ballot, Some(held)),
            None => Step::default(),
        }
    }

    /// Handles the answer of a voter to a read, which accepted the value of this ballot last.
    pub fn handle_unchanged(
        &mut self,
        now: Time,
        from: Id,
        key: Key,
        ballot: Ballot,
        accepted: Ballot,
    ) -> Step {
        let majority = self.majority();
        let Some(proposal) = self
            .running
            .get_mut(&key)
            .filter(|proposal| proposal.ballot == ballot && proposal.reads)
        else {
            return Step::default();
        };
        let Some((_, value)) = proposal.held.clone().filter(|(held, _)| *held == accepted) else {
            return Step::default();
        };
        proposal.agreeing.insert(from);
        if proposal.agreeing.len() < majority {
            return Step::default();
        }
        self.finish(now, key, Decision::Value(Some(value)))
    }

    /// Handles a promise. With a majority of promises the change is applied to the value of
    /// the highest ballot. An unchanged value is proposed again only if the promises do not
    /// show that a majority accepted it.
    pub fn handle_promise(
        &mut self,
        now: Time,
        from: Id,
        key: Key,
        ballot: Ballot,
        accepted: Option<(Ballot, Value)>,
    ) -> Step {
        let majority = self.majority();
        let Some(proposal) = self
            .running
            .get_mut(&key)
            .filter(|proposal| proposal.ballot == ballot)
        else {
            return Step::default();
        };
        if proposal.reads {
            // A voter of an older build promises where a newer one only tells what it has.
            let accepted = accepted.map(|(accepted, _)| accepted);
            return match accepted {
                Some(accepted) => self.handle_unchanged(now, from, key, ballot, accepted),
                None => Step::default(),
            };
        }
        let Stage::Prepare(promises) = &mut proposal.stage else {
            return Step::default();
        };
        promises.insert(from, accepted);
        if promises.len() < majority {
            return Step::default();
        }
        let newest = promises
            .values()
            .flatten()
            .max_by_key(|(ballot, _)| *ballot)
            .cloned();
        let newest_ballot = newest.as_ref().map(|(ballot, _)| *ballot);
        let agreeing = promises
            .values()
            .filter(|accepted| accepted.as_ref().map(|(ballot, _)| *ballot) == newest_ballot);
        let chosen = agreeing.count() >= majority;
        let current = newest.map(|(_, value)| value);
        let (value, decision) = proposal.change.decide(current.as_ref());
        let value = value.or(current.filter(|_| !chosen));
        let Some(value) = value else {
            return self.finish(now, key, decision);
        };
        proposal.stage = Stage::Accept(BTreeSet::new(), Box::new(decision));
        proposal.sent_at = now;
        (vec![Body::Accept(key, ballot, value)], Vec::new())
    }

    /// Handles an acceptance; a majority of them decides the proposal.
    pub fn handle_accepted(&mut self, now: Time, from: Id, key: Key, ballot: Ballot) -> Step {
        let majority = self.majority();
        let Some(proposal) = self
            .running
            .get_mut(&key)
            .filter(|proposal| proposal.ballot == ballot)
        else {
            return Step::default();
        };
        let Stage::Accept(acceptors, decision) = &mut proposal.stage else {
            return Step::default();
        };
        acceptors.insert(from);
        if acceptors.len() < majority {
            return Step::default();
        }
        let decision = (**decision).clone();
        self.finish(now, key, decision)
    }

    /// Ends the proposal of a key and starts the next one in its queue.
    fn finish(&mut self, now: Time, key: Key, decision: Decision) -> Step {
        let Some(proposal) = self.running.remove(&key) else {
            return Step::default();
        };
        let is_deferred = self.deferred_until(now, &key, &Change::Read).is_some();
        let next = self.queues.get_mut(&key).and_then(|queue| {
            let mut changes = queue.iter().map(|queued| queued.change != Change::Read);
            let change = changes.position(|is_change| is_change);
            queue.remove(change.filter(|_| is_deferred).unwrap_or(0))
        });
        self.queues.retain(|_, queue| !queue.is_empty());
        let bodies = next.map(|next| self.start(now, key, next, proposal.ballot));
        (
            bodies.unwrap_or_default(),
            vec![(proposal.ticket, decision)],
        )
    }

    /// Handles a rejection. Once no majority can be had any more, the ballot restarts above the
    /// promised ones after a backoff, which grows with the number of such ballots and with the
    /// voter's id. A read waits for the voter that has the promises instead, as
    /// [`Proposer::defer`] says.
    pub fn handle_reject(
        &mut self,
        now: Time,
        from: Id,
        key: Key,
        ballot: Ballot,
        promised: Ballot,
    ) {
        let (id, rejections_max) = (u64::from(self.id), self.group_size - self.majority());
        let defer_time = self.defer_time(&key);
        let is_long = self.transfers.contains_key(&key);
        let contended_until = self.deferred_until(now, &key, &Change::Read);
        let Some(proposal) = self
            .running
            .get_mut(&key)
            .filter(|proposal| proposal.ballot == ballot)
        else {
            return;
        };
        proposal.promised = proposal.promised.max(promised.round);
        proposal.rejected_by.insert(from);
        let may_be_accepted = proposal.rejected_by.len() <= rejections_max;
        if matches!(proposal.stage, Stage::Accept(..)) && may_be_accepted {
            return;
        }
        if proposal.reads {
            if proposal.rejected_by.len() >= rejections_max {
                proposal.reads_failed = contended_until.is_none();
                proposal.stage = contended_until.map_or(Stage::Backoff(now), Stage::Deferred);
            }
            return;
        }
        proposal.rejections += 1;
        let steps = (proposal.rejections * (id + 1)).min(BACKOFF_STEPS_MAX);
        let until = now.after(BACKOFF_UNIT.saturating_mul(steps));
        proposal.stage = match proposal.change {
            Change::Read => Stage::Deferred(now.after(defer_time)),
            _ if is_long => Stage::Deferred(now.after(defer_time)),
            _ => Stage::Backoff(until),
        };
    }

    /// Restarts ballots that are due and ends proposals that timed out.
    pub fn tick(&mut self, now: Time) -> Step {
        let mut step = Step::default();
        for key in self.running.keys().copied().collect::<Vec<_>>() {
            let Some(proposal) = self.running.get_mut(&key) else {
                continue;
            };
            if now.since(proposal.started_at) >= proposal.limit() {
                let (bodies, decided) = self.finish(now, key, Decision::Unknown);
                step.0.extend(bodies);
                step.1.extend(decided);
            } else if proposal.is_due(now) {
                step.0.push(proposal.restart(now, key, self.lifetime));
            }
        }
        step
    }
}
