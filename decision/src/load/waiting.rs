//! The order in which parts of requests are served that wait for a replica with capacity.
//!
//! A [`Queue`] holds the waiting parts of one service on one host. Smaller priority numbers are
//! served first. Among equal priorities, start-time fair queueing divides the capacity over
//! accounts: in virtual time, an account's part starts where its previous one ended, and the
//! account with the earliest start is served. Within an account, the earliest deadline is first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

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
    /// Deadline of its request.
    pub deadline: Time,
    /// Expected time at a replica.
    pub length: Span,
}

/// Parts of one account, and where its next one starts in virtual time.
#[derive(Clone, Debug, Default)]
struct Lane {
    start: Span,
    parts: BTreeSet<(Time, Key)>,
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
        let mut keys = self.parts.iter().map(|(_, key)| *key);
        keys.find(|key| !passed.contains(key))
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
        let fullest = lanes.max_by_key(|lane| (lane.parts.len(), lane.start))?;
        fullest.parts.last().map(|(_, key)| *key)
    }

    fn is_empty(&self) -> bool {
        self.lanes.values().all(|lane| lane.parts.is_empty())
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
            .retain(|_, lane| !lane.parts.is_empty() || lane.start > virtual_time);
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
        lane.parts.insert((part.deadline, part.key));
        self.parts.insert(part.key, part);
        if self.parts.len() <= PARTS_MAX {
            return None;
        }
        let last = self.classes.values().next_back()?.last()?;
        self.remove(last);
        Some(last)
    }

    /// The first part in order that is not in `passed`.
    pub fn first(&self, passed: &BTreeSet<Key>) -> Option<&Part> {
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
            lane.parts.remove(&(part.deadline, key));
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
