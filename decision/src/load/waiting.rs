//! The order in which parts of requests are served that wait for a replica with capacity.
//!
//! A [`Queue`] holds the waiting parts of one service on one host. Smaller priority numbers are
//! served first. Among equal priorities, start-time fair queueing divides the capacity over
//! accounts: in virtual time, an account's part starts where its previous one ended, and the
//! account with the earliest start is served. Within an account, the earliest deadline is first;
//! parts that will probably miss their latency objective come after those that can meet it. An
//! account that sends more than its share would otherwise be served late only.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::account::Directory;
use crate::clock::Span;
use crate::clock::Time;
use crate::name::Name;

/// Most parts that one queue holds.
pub const PARTS_MAX: usize = 512;

/// How waiting parts are served.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Discipline {
    /// Each part is tried again by its own timer, in no particular order, as in earlier builds.
    Timers,
    /// By priority, then fairly over accounts, then by deadline, as calls end.
    #[default]
    Fair,
}

impl Discipline {
    /// The fair order where a configuration names accounts; callers of others are served as before.
    pub fn of(accounts: &Directory) -> Discipline {
        match accounts.is_required() {
            true => Discipline::Fair,
            false => Discipline::Timers,
        }
    }
}

/// Identifies a part: its request and its index there.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// Request or branch that the part belongs to.
    pub request: u64,
    /// Index of the part in the request.
    pub part: usize,
}

/// A waiting part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifies the part.
    pub key: Key,
    /// Priority of its request; zero is the most urgent.
    pub priority: u32,
    /// Account of its request; parts without one share a turn.
    pub account: Option<Name>,
    /// Latest time to send it for an answer within the latency objective.
    pub timely_until: Time,
    /// Deadline of its request.
    pub deadline: Time,
    /// Expected time at a replica.
    pub length: Span,
}

/// Parts of one account, and where its next one starts in virtual time.
#[derive(Clone, Debug, Default)]
struct Lane {
    start: Span,
    /// Parts that can meet their objective, by the time until which they can.
    timely: BTreeSet<(Time, Key)>,
    /// Other parts, by deadline.
    overdue: BTreeSet<(Time, Key)>,
}

/// Parts of one priority.
#[derive(Clone, Debug, Default)]
struct Class {
    /// Virtual time: the start of the part that was served last.
    virtual_time: Span,
    lanes: BTreeMap<Option<Name>, Lane>,
}

/// The waiting parts of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: BTreeMap<u32, Class>,
    parts: HashMap<Key, Part>,
}

impl Lane {
    fn first(&self, passed: &BTreeSet<Key>) -> Option<Key> {
        let parts = self.timely.iter().chain(&self.overdue);
        let mut keys = parts.map(|(_, key)| *key);
        keys.find(|key| !passed.contains(key))
    }

    fn last(&self) -> Option<Key> {
        let last = self.overdue.last().or(self.timely.last());
        last.map(|(_, key)| *key)
    }

    fn len(&self) -> usize {
        self.timely.len() + self.overdue.len()
    }

    fn remove(&mut self, part: &Part) {
        self.timely.remove(&(part.timely_until, part.key));
        self.overdue.remove(&(part.deadline, part.key));
    }

    /// Moves the parts that can no longer meet their objective behind the others.
    fn update(&mut self, now: Time, parts: &HashMap<Key, Part>) {
        while let Some((until, key)) = self.timely.first().copied()
            && until < now
        {
            self.timely.pop_first();
            let deadline = parts.get(&key).map(|part| part.deadline);
            self.overdue.extend(deadline.map(|at| (at, key)));
        }
    }
}

impl Class {
    /// The first part in order that is not in `passed`.
    fn first(&self, passed: &BTreeSet<Key>) -> Option<Key> {
        let firsts = self.lanes.iter().filter_map(|(account, lane)| {
            let key = lane.first(passed)?;
            Some((lane.start.max(self.virtual_time), account, key))
        });
        firsts.min().map(|(_, _, key)| key)
    }

    /// The latest part of the account with most parts.
    fn last(&self) -> Option<Key> {
        let lanes = self.lanes.values();
        let fullest = lanes.max_by_key(|lane| (lane.len(), lane.start))?;
        fullest.last()
    }

    fn is_empty(&self) -> bool {
        self.lanes.values().all(|lane| lane.len() == 0)
    }

    /// Charges an account for a part that is served now.
    fn charge(&mut self, part: &Part) {
        let Some(lane) = self.lanes.get_mut(&part.account) else {
            return;
        };
        let start = lane.start.max(self.virtual_time);
        lane.start = start + part.length;
        self.virtual_time = start;
    }

    /// Forgets accounts without parts whose past no longer matters.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.lanes
            .retain(|_, lane| lane.len() > 0 || lane.start > virtual_time);
    }
}

impl Queue {
    /// Number of waiting parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part waits.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Whether this part waits here.
    pub fn contains(&self, key: Key) -> bool {
        self.parts.contains_key(&key)
    }

    /// Adds a part, unless it waits already. Returns the part that leaves because the queue holds
    /// more than [`PARTS_MAX`]; that may be the new one.
    pub fn push(&mut self, part: Part) -> Option<Key> {
        if self.contains(part.key) {
            return None;
        }
        let class = self.classes.entry(part.priority).or_default();
        let lane = class.lanes.entry(part.account.clone()).or_default();
        lane.timely.insert((part.timely_until, part.key));
        self.parts.insert(part.key, part);
        if self.parts.len() <= PARTS_MAX {
            return None;
        }
        let last = self.classes.values().next_back()?.last()?;
        self.remove(last);
        Some(last)
    }

    /// The first part in order that is not in `passed`.
    pub fn first(&mut self, now: Time, passed: &BTreeSet<Key>) -> Option<&Part> {
        let lanes = self.classes.values_mut();
        let lanes = lanes.flat_map(|class| class.lanes.values_mut());
        lanes.for_each(|lane| lane.update(now, &self.parts));
        let mut classes = self.classes.values();
        let key = classes.find_map(|class| class.first(passed))?;
        self.parts.get(&key)
    }

    /// Removes a part that is sent, and charges its account for it.
    pub fn serve(&mut self, key: Key) {
        let Some(part) = self.parts.get(&key) else {
            return;
        };
        if let Some(class) = self.classes.get_mut(&part.priority) {
            class.charge(part);
        }
        self.remove(key);
    }

    /// Removes a part that is not sent.
    pub fn remove(&mut self, key: Key) {
        let Some(part) = self.parts.remove(&key) else {
            return;
        };
        let Some(class) = self.classes.get_mut(&part.priority) else {
            return;
        };
        if let Some(lane) = class.lanes.get_mut(&part.account) {
            lane.remove(&part);
        }
        match class.is_empty() {
            true => drop(self.classes.remove(&part.priority)),
            false => class.forget_idle(),
        }
    }
}

impl Part {
    /// Whether the part can no longer be answered by its deadline, as far as its length tells.
    pub fn is_late(&self, now: Time) -> bool {
        now.after(self.length) > self.deadline
    }
}
