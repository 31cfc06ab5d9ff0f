//! A group of voters with a network and disks that fail as a script says.

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

/// Messages kept in flight at most; the oldest are lost.
const MESSAGES_MAX: usize = 400;

/// Steps within which a healed group must come to rest.
const HEAL_STEPS: usize = 4_000;

/// A voter's disk: what is synced, and what only was written.
#[derive(Clone, Default)]
pub struct Disk {
    pub synced: Vec<Record>,
    pub written: Vec<(u64, Record)>,
}

pub struct Group {
    pub now: Time,
    pub voters: Vec<Option<Voter>>,
    pub disks: Vec<Disk>,
    pub messages: Vec<(Id, Message)>,
    pub decided: Vec<(u64, Decision)>,
    /// A voter whose time stands still.
    pub frozen: Option<usize>,
    boots: u64,
}

impl Group {
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
            frozen: None,
            boots: 0,
        };
        (0..count).for_each(|at| group.start(at));
        group
    }

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

    /// A crash: what was written and not synced is lost.
    pub fn crash(&mut self, at: usize) {
        self.voters[at] = None;
        self.disks[at].written.clear();
    }

    /// A crash that also loses the disk, only while all others vote.
    pub fn lose_disk(&mut self, at: usize) {
        let others = self
            .voters
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != at);
        let whole =
            |voter: &Option<Voter>| voter.as_ref().is_some_and(|v| v.mode() == Mode::Voting);
        if !others.map(|(_, voter)| voter).all(whole) {
            return;
        }
        self.crash(at);
        self.disks[at] = Disk::default();
    }

    pub fn sync(&mut self, at: usize) {
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
            self.take(at, actions);
        }
    }

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
            self.take(at, actions);
        }
    }

    pub fn drop_message(&mut self, index: usize) {
        if !self.messages.is_empty() {
            let index = index % self.messages.len();
            self.messages.swap_remove(index);
        }
    }

    pub fn propose(&mut self, at: usize, ticket: u64, key: Key, change: Change) {
        let now = self.now;
        if let Some(voter) = &mut self.voters[at] {
            let actions = voter.propose(now, ticket, key, change);
            self.take(at, actions);
        }
    }

    pub fn pass(&mut self, span: Span) {
        self.now = self.now.after(span);
        let frozen = self.frozen;
        for at in (0..self.voters.len()).filter(|at| Some(*at) != frozen) {
            let now = self.now;
            if let Some(voter) = &mut self.voters[at] {
                let actions = voter.tick(now);
                self.take(at, actions);
            }
        }
    }

    fn take(&mut self, at: usize, actions: Vec<Action>) {
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

    /// Starts everything and lets it run without faults until a read is decided.
    pub fn heal_and_read(&mut self, key: Key) -> Option<Decision> {
        const READ: u64 = u64::MAX;
        (0..self.voters.len()).for_each(|at| self.start(at));
        let mut asked = None;
        for step in 0..HEAL_STEPS {
            self.pass(Span::from_ms(1));
            (0..self.voters.len()).for_each(|at| self.sync(at));
            (0..8).for_each(|_| self.deliver(0, false));
            let voting = self
                .voters
                .iter()
                .flatten()
                .filter(|v| v.mode() == Mode::Voting)
                .count();
            if voting == self.voters.len() && asked.is_none_or(|asked| step > asked + 400) {
                asked = Some(step);
                self.propose(step % self.voters.len(), READ, key, Change::Read);
            }
            let read = self
                .decided
                .iter()
                .rev()
                .find(|(ticket, decision)| *ticket == READ && *decision != Decision::Unknown);
            if let Some((_, decision)) = read {
                return Some(decision.clone());
            }
        }
        None
    }

    /// Runs without faults until all voters vote or time is up.
    pub fn settle(&mut self) -> bool {
        for _ in 0..HEAL_STEPS {
            self.pass(Span::from_ms(1));
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
    /// A millisecond without faults.
    pub fn sync_all_and_deliver(&mut self) {
        self.pass(Span::from_ms(1));
        (0..self.voters.len()).for_each(|at| self.sync(at));
        (0..8).for_each(|_| self.deliver(0, false));
    }
}

impl Group {
    /// Delivers all messages that `pick` allows, and their answers, until none is left.
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
