//! Restart of a voter, and its repair after it lost its disk.

use crate::clock::Span;
use crate::clock::Time;
use crate::register::Key;
use crate::voter::Action;
use crate::voter::Body;
use crate::voter::Cell;
use crate::voter::Id;
use crate::voter::Incarnation;
use crate::voter::Letter;
use crate::voter::Mode;
use crate::voter::Record;
use crate::voter::Voter;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Waits of a voter that starts or repairs itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time for which a restarted voter waits for all others before a majority is
    /// enough.
    pub check_max: Span,
    /// Time between two tries of an unanswered check or repair step.
    pub retry_every: Span,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            check_max: Span::from_ms(600),
            retry_every: Span::from_ms(200),
        }
    }
}

/// Cells sent in one page of a repair.
const PAGE_CELLS: usize = 256;

#[derive(Clone, Debug, Default)]
pub(crate) struct Repair {
    pub(crate) heard: BTreeSet<Id>,
    pub(crate) admitted: BTreeSet<Id>,
    pub(crate) next: BTreeMap<Id, Option<Key>>,
    pub(crate) done: BTreeSet<Id>,
    pub(crate) cells: BTreeMap<Key, Cell>,
    pub(crate) incarnation: Incarnation,
    pub(crate) epoch_floor: u64,
    pub(crate) restored: bool,
    pub(crate) started: Time,
    pub(crate) tried: Option<Time>,
    pub(crate) timing: Timing,
}

impl Voter {
    fn is_due(&mut self, now: Time) -> bool {
        let due = self
            .repair
            .tried
            .is_none_or(|tried| now.since(tried) >= self.repair.timing.retry_every);
        if due {
            self.repair.tried = Some(now);
        }
        due
    }

    pub(crate) fn check(&mut self, now: Time) -> Vec<Action> {
        let waited = now.since(self.repair.started) >= self.repair.timing.check_max;
        let enough = self.repair.heard.len() + 1 >= self.majority();
        let all = self.repair.heard.len() + 1 == self.count;
        if all || (waited && enough) {
            self.mode = Mode::Voting;
            return Vec::new();
        }
        if !self.is_due(now) {
            return Vec::new();
        }
        self.others()
            .map(|to| Action::Send(to, self.letter(Body::Check)))
            .collect()
    }

    pub(crate) fn checked(&mut self, now: Time, from: Id, written: u64) -> Vec<Action> {
        self.repair.heard.insert(from);
        match self.mode {
            Mode::Checking if written > self.written => self.reset(now),
            Mode::Checking => self.check(now),
            Mode::Repairing | Mode::Voting | Mode::Failed => Vec::new(),
        }
    }

    /// Gives up an older disk: nothing on it is trusted.
    pub(crate) fn reset(&mut self, now: Time) -> Vec<Action> {
        self.mode = Mode::Repairing;
        self.cells.clear();
        self.waiting.clear();
        let epoch_floor = self
            .repair
            .epoch_floor
            .max(self.known[usize::from(self.me)].epoch);
        self.known[usize::from(self.me)] = Incarnation::default();
        self.repair = Repair {
            started: now,
            epoch_floor,
            timing: self.repair.timing,
            ..Repair::default()
        };
        let record = self.persist(Record::Reset);
        vec![record]
    }

    /// Reads the state back from the others. A voter whose place is given by the group
    /// waits until it gets one again.
    pub(crate) fn repair(&mut self, now: Time) -> Vec<Action> {
        if self.seated && self.is_displaced() {
            return Vec::new();
        }
        if !self.is_due(now) {
            return Vec::new();
        }
        if self.repair.incarnation.epoch == 0 {
            if self.repair.heard.len() < self.majority_of_others() {
                return self
                    .others()
                    .map(|to| Action::Send(to, self.letter(Body::Check)))
                    .collect();
            }
            let epoch = self.repair.epoch_floor + 1;
            self.repair.incarnation = Incarnation {
                epoch,
                nonce: self.nonce,
                address: None,
            };
        }
        let asks = self.others().map(|to| (to, self.repair_step(to)));
        let asks = asks
            .filter_map(|(to, body)| Some((to, body?)))
            .collect::<Vec<_>>();
        asks.into_iter()
            .map(|(to, body)| Action::Send(to, self.repair_letter(body)))
            .collect()
    }

    fn repair_step(&self, to: Id) -> Option<Body> {
        if self.repair.done.contains(&to) {
            return None;
        }
        if !self.repair.admitted.contains(&to) {
            return Some(Body::Admit);
        }
        Some(Body::Page(self.repair.next.get(&to).copied().flatten()))
    }

    /// A letter under the incarnation that is not yet in force.
    fn repair_letter(&self, body: Body) -> Letter {
        let mut letter = self.letter(body);
        letter.known[usize::from(self.me)] = self.repair.incarnation;
        letter
    }

    pub(crate) fn admit(&mut self, from: Id, known: &[Incarnation]) -> Vec<Action> {
        let (theirs, ours) = (known[usize::from(from)], self.known[usize::from(from)]);
        if self.mode != Mode::Voting || theirs.epoch < ours.epoch {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if theirs != ours {
            self.known[usize::from(from)] = theirs;
            self.seen[usize::from(from)] = 0;
            actions.push(self.persist(Record::Known(from, theirs)));
        }
        actions.extend(self.post(from, Body::Admitted));
        actions
    }

    pub(crate) fn admitted(&mut self, from: Id) -> Vec<Action> {
        if self.mode != Mode::Repairing || !self.repair.admitted.insert(from) {
            return Vec::new();
        }
        vec![Action::Send(from, self.repair_letter(Body::Page(None)))]
    }

    pub(crate) fn page(&mut self, from: Id, after: Option<Key>) -> Vec<Action> {
        if self.mode != Mode::Voting {
            return Vec::new();
        }
        let lower = match after {
            Some(key) => std::ops::Bound::Excluded(key),
            None => std::ops::Bound::Unbounded,
        };
        let range = self.cells.range((lower, std::ops::Bound::Unbounded));
        let cells = range
            .take(PAGE_CELLS)
            .map(|(key, held)| (*key, held.cell.clone()));
        let cells = cells.collect::<Vec<_>>();
        let last = cells.len() < PAGE_CELLS;
        self.post(from, Body::Cells(cells, last))
    }

    pub(crate) fn cells(
        &mut self,
        now: Time,
        from: Id,
        cells: Vec<(Key, Cell)>,
        last: bool,
    ) -> Vec<Action> {
        if self.mode != Mode::Repairing || !self.repair.admitted.contains(&from) {
            return Vec::new();
        }
        let end = cells.last().map(|(key, _)| *key);
        cells
            .into_iter()
            .for_each(|(key, cell)| self.repair.merge(key, cell));
        if !last {
            self.repair.next.insert(from, end);
            return vec![Action::Send(from, self.repair_letter(Body::Page(end)))];
        }
        self.repair.done.insert(from);
        if self.repair.done.len() < self.majority_of_others() || self.repair.restored {
            return Vec::new();
        }
        self.restore(now)
    }

    /// Writes the state read back; the voter votes once it is synced.
    fn restore(&mut self, now: Time) -> Vec<Action> {
        let cells = std::mem::take(&mut self.repair.cells);
        let mut actions = vec![self.persist(Record::Reset)];
        for (key, cell) in cells {
            actions.push(self.put(now, key, cell));
        }
        for id in self.others() {
            let known = self.known[usize::from(id)];
            actions.push(self.persist(Record::Known(id, known)));
        }
        let incarnation = self.repair.incarnation;
        actions.push(self.persist(Record::Known(self.me, incarnation)));
        self.repair.restored = true;
        actions
    }

    pub(crate) fn finish_repair(&mut self) {
        let synced = self.repair.restored && self.synced >= self.written;
        if self.mode == Mode::Repairing && synced {
            self.known[usize::from(self.me)] = self.repair.incarnation;
            self.mode = Mode::Voting;
        }
    }
}

impl Repair {
    fn merge(&mut self, key: Key, cell: Cell) {
        let merged = self.cells.entry(key).or_default();
        merged.promised = merged.promised.max(cell.promised);
        let newer = match (&merged.accepted, &cell.accepted) {
            (Some((ours, _)), Some((theirs, _))) => theirs > ours,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if newer {
            merged.accepted = cell.accepted;
        }
    }
}
