//! The proposer of a voter: one ballot at a time for each key.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::clock::Span;
use crate::clock::Time;
use crate::register::Change;
use crate::register::Decision;
use crate::register::Key;
use crate::register::Value;
use crate::voter::Ballot;
use crate::voter::Body;
use crate::voter::Id;
use crate::voter::Incarnation;

/// Time after which an unanswered ballot is tried again.
const BALLOT_MAX: Span = Span::from_ms(150);

/// Time after which a change is given up as unknown.
const CHANGE_MAX: Span = Span::from_ms(2_500);

/// Unit of the wait before a refused ballot is tried again.
const BACKOFF: Span = Span::from_ms(2);

/// Largest multiple of the unit.
const BACKOFF_STEPS_MAX: u64 = 16;

/// Bodies to send to all voters, and decisions by ticket.
pub type Step = (Vec<Body>, Vec<(u64, Decision)>);

#[derive(Clone, Debug)]
enum Stage {
    Prepare(BTreeMap<Id, Option<(Ballot, Value)>>),
    Accept(BTreeSet<Id>, Box<Decision>),
    Backoff(Time),
}

#[derive(Clone, Debug)]
struct Round {
    ticket: u64,
    change: Change,
    ballot: Ballot,
    stage: Stage,
    sent: Time,
    started: Time,
    tries: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: u64,
    change: Change,
    started: Time,
}

/// The proposals of one voter.
#[derive(Clone, Debug)]
pub struct Proposer {
    me: Id,
    count: usize,
    known: Vec<Incarnation>,
    rounds: BTreeMap<Key, Round>,
    queues: BTreeMap<Key, VecDeque<Waiting>>,
}

impl Proposer {
    /// A proposer for the voter `me` of `count`.
    pub fn new(me: Id, count: usize) -> Proposer {
        let known = vec![Incarnation::default(); count];
        Proposer {
            me,
            count,
            known,
            rounds: BTreeMap::new(),
            queues: BTreeMap::new(),
        }
    }

    fn majority(&self) -> usize {
        self.count / 2 + 1
    }

    /// Begins a change, or queues it behind another one of its key.
    pub fn begin(
        &mut self,
        now: Time,
        ticket: u64,
        key: Key,
        change: Change,
        floor: Ballot,
    ) -> Vec<Body> {
        let waiting = Waiting {
            ticket,
            change,
            started: now,
        };
        if self.rounds.contains_key(&key) {
            self.queues.entry(key).or_default().push_back(waiting);
            return Vec::new();
        }
        self.open(now, key, waiting, floor)
    }

    fn open(&mut self, now: Time, key: Key, waiting: Waiting, floor: Ballot) -> Vec<Body> {
        let ballot = Ballot {
            round: floor.round + 1,
            voter: self.me,
        };
        let round = Round {
            ticket: waiting.ticket,
            change: waiting.change,
            ballot,
            stage: Stage::Prepare(BTreeMap::new()),
            sent: now,
            started: waiting.started,
            tries: 0,
        };
        self.rounds.insert(key, round);
        vec![Body::Prepare(key, ballot)]
    }

    /// Begins all ballots anew if a voter's incarnation changed: promises and
    /// acceptances of its earlier life don't count.
    pub fn restart_if_changed(&mut self, now: Time, known: &[Incarnation]) -> Vec<Body> {
        if self.known == known {
            return Vec::new();
        }
        self.known = known.to_vec();
        let restart = |(key, round): (&Key, &mut Round)| round.restart(now, *key);
        self.rounds.iter_mut().map(restart).collect()
    }

    /// Takes a promise.
    pub fn promised(
        &mut self,
        now: Time,
        from: Id,
        key: Key,
        ballot: Ballot,
        accepted: Option<(Ballot, Value)>,
    ) -> Step {
        let majority = self.majority();
        let Some(round) = self
            .rounds
            .get_mut(&key)
            .filter(|round| round.ballot == ballot)
        else {
            return Step::default();
        };
        let Stage::Prepare(promises) = &mut round.stage else {
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
        let (value, decision) = round.change.decide(current.as_ref());
        let value = value.or(current.filter(|_| !chosen));
        let Some(value) = value else {
            return self.close(now, key, decision);
        };
        round.stage = Stage::Accept(BTreeSet::new(), Box::new(decision));
        round.sent = now;
        (vec![Body::Accept(key, ballot, value)], Vec::new())
    }

    /// Takes an acceptance.
    pub fn accepted(&mut self, now: Time, from: Id, key: Key, ballot: Ballot) -> Step {
        let majority = self.majority();
        let Some(round) = self
            .rounds
            .get_mut(&key)
            .filter(|round| round.ballot == ballot)
        else {
            return Step::default();
        };
        let Stage::Accept(accepts, decision) = &mut round.stage else {
            return Step::default();
        };
        accepts.insert(from);
        if accepts.len() < majority {
            return Step::default();
        }
        let decision = (**decision).clone();
        self.close(now, key, decision)
    }

    fn close(&mut self, now: Time, key: Key, decision: Decision) -> Step {
        let Some(round) = self.rounds.remove(&key) else {
            return Step::default();
        };
        let next = self.queues.get_mut(&key).and_then(VecDeque::pop_front);
        self.queues.retain(|_, queue| !queue.is_empty());
        let bodies = next.map(|next| self.open(now, key, next, round.ballot));
        (bodies.unwrap_or_default(), vec![(round.ticket, decision)])
    }

    /// Takes a refusal: the ballot is tried again, above the promised one, later.
    pub fn rejected(&mut self, now: Time, key: Key, ballot: Ballot, promised: Ballot) {
        let me = u64::from(self.me);
        let Some(round) = self
            .rounds
            .get_mut(&key)
            .filter(|round| round.ballot == ballot)
        else {
            return;
        };
        round.tries += 1;
        round.ballot.round = round.ballot.round.max(promised.round);
        let steps = (round.tries * (me + 1)).min(BACKOFF_STEPS_MAX);
        round.stage = Stage::Backoff(now.after(BACKOFF.saturating_mul(steps)));
    }

    /// Tries again what got no answer, and gives up what is too old.
    pub fn tick(&mut self, now: Time) -> Step {
        let mut step = Step::default();
        for key in self.rounds.keys().copied().collect::<Vec<_>>() {
            let Some(round) = self.rounds.get_mut(&key) else {
                continue;
            };
            if now.since(round.started) >= CHANGE_MAX {
                let (bodies, decided) = self.close(now, key, Decision::Unknown);
                step.0.extend(bodies);
                step.1.extend(decided);
            } else if round.is_due(now) {
                step.0.push(round.restart(now, key));
            }
        }
        step
    }
}

impl Round {
    fn is_due(&self, now: Time) -> bool {
        match self.stage {
            Stage::Backoff(until) => until <= now,
            Stage::Prepare(_) | Stage::Accept(..) => now.since(self.sent) >= BALLOT_MAX,
        }
    }

    fn restart(&mut self, now: Time, key: Key) -> Body {
        self.ballot.round += 1;
        self.stage = Stage::Prepare(BTreeMap::new());
        self.sent = now;
        Body::Prepare(key, self.ballot)
    }
}
