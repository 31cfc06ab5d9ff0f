//! Simulated group of voters whose network and disks fail as a script directs.

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::register::Change;
use wagtailbeam_decision::register::Decision;
use wagtailbeam_decision::register::Key;
use wagtailbeam_decision::voter::Action;
use wagtailbeam_decision::voter::Id;
use wagtailbeam_decision::voter::Message;
use wagtailbeam_decision::voter::Mode;
use wagtailbeam_decision::voter::Record;
use wagtailbeam_decision::voter::Voter;

/// Maximum number of messages in flight; beyond it the oldest are lost.
const MESSAGES_MAX: usize = 400;

/// Maximum number of steps for a group without faults to become stable.
const HEAL_STEPS: usize = 4_000;

/// Disk of a voter: synced records survive a crash, written ones do not.
#[derive(Clone, Default)]
pub struct Disk {
    pub synced: Vec<Record>,
    pub written: Vec<(u64, Record)>,
}

/// Voters, their disks, the messages in flight and the decisions so far.
#[derive(Clone)]
pub struct Group {
    pub now: Time,
    pub voters: Vec<Option<Voter>>,
    pub disks: Vec<Disk>,
    pub messages: Vec<(Id, Message)>,
    pub decided: Vec<(u64, Decision)>,
    /// A voter that gets no ticks.
    pub paused: Option<usize>,
    /// A voter whose disk takes no writes.
    pub full: Option<usize>,
    boots: u64,
}

impl Group {
    /// A new group of `count` voters, all started.
    pub fn new(count: usize) -> Group {
        let disks = (0..count).map(|at| Disk {
            synced: Voter::format(at as Id, 1_000 + at as u64),
            written: Vec::new(),
        });
        let mut group = Group {
            now: Time::from_us(1),
            voters: vec![None; count],
            disks: disks.collect(),
            messages: Vec::new(),
            decided: Vec::new(),
            paused: None,
            full: None,
            boots: 0,
        };
        (0..count).for_each(|at| group.start(at));
        group
    }

    /// Starts a stopped voter from its synced records.
    pub fn start(&mut self, at: usize) {
        if self.voters[at].is_some() {
            return;
        }
        self.boots += 1;
        let records = self.disks[at].synced.clone();
        let (now, count) = (self.now, self.voters.len());
        self.voters[at] = Some(Voter::open(
            now,
            at as Id,
            count,
            77_000 + self.boots,
            records,
        ));
    }

    /// Stops a voter; records not yet synced are lost.
    pub fn crash(&mut self, at: usize) {
        self.voters[at] = None;
        self.disks[at].written.clear();
    }

    /// Stops a voter and wipes its disk; does nothing unless all others vote.
    pub fn lose_disk(&mut self, at: usize) {
        let others = self
            .voters
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != at);
        let is_voting =
            |voter: &Option<Voter>| voter.as_ref().is_some_and(|v| v.mode() == Mode::Voting);
        if !others.map(|(_, voter)| voter).all(is_voting) {
            return;
        }
        self.crash(at);
        self.disks[at] = Disk::default();
    }

    /// Syncs all written records of a voter and reports it, unless its disk is full.
    pub fn sync(&mut self, at: usize) {
        if self.full == Some(at) {
            return;
        }
        let written = std::mem::take(&mut self.disks[at].written);
        let Some(last) = written.last().map(|(number, _)| *number) else {
            return;
        };
        self.disks[at]
            .synced
            .extend(written.into_iter().map(|(_, record)| record));
        let now = self.now;
        if let Some(voter) = &mut self.voters[at] {
            let actions = voter.synced(now, last);
            self.apply(at, actions);
        }
    }

    /// Delivers the message at an index, modulo their number. With `keep` it stays in flight,
    /// to be delivered again.
    pub fn deliver(&mut self, index: usize, keep: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        let (to, message) = if keep {
            self.messages[index].clone()
        } else {
            self.messages.swap_remove(index)
        };
        let (at, now) = (usize::from(to), self.now);
        if let Some(voter) = &mut self.voters[at] {
            let actions = voter.receive(now, message);
            self.apply(at, actions);
        }
    }

    /// Loses the message at an index, modulo their number.
    pub fn drop_message(&mut self, index: usize) {
        if !self.messages.is_empty() {
            let index = index % self.messages.len();
            self.messages.swap_remove(index);
        }
    }

    /// Proposes a change at a voter, unless it is stopped.
    pub fn propose(&mut self, at: usize, ticket: u64, key: Key, change: Change) {
        let now = self.now;
        if let Some(voter) = &mut self.voters[at] {
            let actions = voter.propose(now, ticket, key, change);
            self.apply(at, actions);
        }
    }

    /// Lets time pass and ticks all voters but a paused one.
    pub fn advance(&mut self, span: Span) {
        self.now = self.now.after(span);
        let paused = self.paused;
        for at in (0..self.voters.len()).filter(|at| Some(*at) != paused) {
            let now = self.now;
            if let Some(voter) = &mut self.voters[at] {
                let actions = voter.tick(now);
                self.apply(at, actions);
            }
        }
    }

    fn apply(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Persist(number, record) => self.disks[at].written.push((number, record)),
                Action::Send(to, message) => self.messages.push((to, message)),
                Action::Decided(ticket, decision) => self.decided.push((ticket, decision)),
            }
        }
        let surplus = self.messages.len().saturating_sub(MESSAGES_MAX);
        self.messages.drain(..surplus);
    }

    /// Starts all voters and runs without faults until a read is decided; returns its
    /// decision, or none if the steps run out.
    pub fn heal_and_read(&mut self, key: Key) -> Option<Decision> {
        const READ_TICKET: u64 = u64::MAX;
        (0..self.voters.len()).for_each(|at| self.start(at));
        let mut read_at = None;
        for step in 0..HEAL_STEPS {
            self.advance(Span::from_ms(1));
            (0..self.voters.len()).for_each(|at| self.sync(at));
            (0..8).for_each(|_| self.deliver(0, false));
            let voting = self
                .voters
                .iter()
                .flatten()
                .filter(|v| v.mode() == Mode::Voting)
                .count();
            if voting == self.voters.len() && read_at.is_none_or(|read_at| step > read_at + 400) {
                read_at = Some(step);
                self.propose(step % self.voters.len(), READ_TICKET, key, Change::Read);
            }
            let read = self.decided.iter().rev().find(|(ticket, decision)| {
                *ticket == READ_TICKET && *decision != Decision::Unknown
            });
            if let Some((_, decision)) = read {
                return Some(decision.clone());
            }
        }
        None
    }

    /// Runs without faults until all voters vote; returns false if the steps run out.
    pub fn settle(&mut self) -> bool {
        for _ in 0..HEAL_STEPS {
            self.advance(Span::from_ms(1));
            (0..self.voters.len()).for_each(|at| self.sync(at));
            (0..8).for_each(|_| self.deliver(0, false));
            if self
                .voters
                .iter()
                .flatten()
                .all(|voter| voter.mode() == Mode::Voting)
            {
                return true;
            }
        }
        false
    }
}

impl Group {
    /// Runs one millisecond without faults.
    pub fn step_without_faults(&mut self) {
        self.advance(Span::from_ms(1));
        (0..self.voters.len()).for_each(|at| self.sync(at));
        (0..8).for_each(|_| self.deliver(0, false));
    }
}

impl Group {
    /// Delivers the messages whose sender and receiver `pick` allows, and the answers to
    /// them, until none is left.
    pub fn deliver_among(&mut self, pick: impl Fn(usize, usize) -> bool) {
        for _ in 0..HEAL_STEPS {
            (0..self.voters.len()).for_each(|at| self.sync(at));
            let allowed =
                |(to, message): &(Id, Message)| pick(usize::from(message.from), usize::from(*to));
            let Some(index) = self.messages.iter().position(allowed) else {
                return;
            };
            self.deliver(index, false);
        }
    }
}
