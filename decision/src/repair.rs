//! Startup check and repair of a voter.
//!
//! A restarted voter first asks the others how many of its records they have seen synced.
//! If its disk holds fewer, or nothing, the voter discards its state, announces a new
//! incarnation and reads all cells back from a majority of the others before it votes.
//! Seats that hold nothing (see `vacancy`) count as read.

use crate::clock::Span;
use crate::clock::Time;
use crate::register::Key;
use crate::voter::Action;
use crate::voter::Body;
use crate::voter::Cell;
use crate::voter::Id;
use crate::voter::Incarnation;
use crate::voter::Message;
use crate::voter::Mode;
use crate::voter::Record;
use crate::voter::Voter;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Timeouts of the startup check and the repair.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time for which a restarted voter waits for answers of all others; after it a
    /// majority suffices.
    pub check_timeout: Span,
    /// Time after which an unanswered check or repair request is sent again.
    pub retry_every: Span,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            check_timeout: Span::from_ms(600),
            retry_every: Span::from_ms(200),
        }
    }
}

/// Check timeouts for which a voter waits before vacant seats count as answers: other voters that
/// start with it may still answer.
const CHECK_TIMEOUTS_VACANT: u64 = 8;

/// Longest time between two requests of a page.
const RETRY_MAX: Span = Span::from_ms(800);

/// Maximum number of cells in one page.
const PAGE_CELLS: usize = 256;

/// Progress of a check or repair.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repair {
    /// Voters that answered [`Body::QueryProgress`].
    pub(crate) answered: BTreeSet<Id>,
    /// Voters that stored the new incarnation.
    pub(crate) admitted: BTreeSet<Id>,
    /// Last key read from each voter; the next page begins after it.
    pub(crate) last_keys: BTreeMap<Id, Option<Key>>,
    /// Voters from which all pages were read.
    pub(crate) finished: BTreeSet<Id>,
    /// Cells read so far, merged over all voters.
    pub(crate) cells: BTreeMap<Key, Cell>,
    /// Incarnation under which this voter will vote; epoch zero until it begins one.
    pub(crate) incarnation: Incarnation,
    /// Highest epoch of this voter that any message mentioned.
    pub(crate) highest_epoch: u64,
    /// Whether all cells were handed to the disk; the voter votes once they are synced.
    pub(crate) restored: bool,
    pub(crate) started: Time,
    pub(crate) last_try: Option<Time>,
    /// Requests since the last answer that brought the repair forward.
    pub(crate) retries: u32,
    /// When the last such answer came.
    pub(crate) progressed: Option<Time>,
    pub(crate) timing: Timing,
}

impl Voter {
    /// Whether requests are due; if so, restarts the retry interval.
    fn is_retry_due(&mut self, now: Time) -> bool {
        let wait = self.repair.retry_wait();
        let last = self.repair.last_try;
        let due = last.is_none_or(|at| now.since(at) >= wait);
        if due {
            self.repair.last_try = Some(now);
            self.repair.retries += 1;
        }
        due
    }

    /// Begins to vote once enough others answered the check. Until then sends the query
    /// whenever a retry is due.
    pub(crate) fn continue_check(&mut self, now: Time) -> Vec<Action> {
        let waited = now.since(self.repair.started);
        let timeout = self.repair.timing.check_timeout;
        let answered = self.repair.answered.len() + 1;
        let all_answered = answered == self.group_size;
        let is_majority = waited >= timeout && answered >= self.majority();
        let with_vacant = answered + self.vacant_seats().len();
        let alone = timeout.saturating_mul(CHECK_TIMEOUTS_VACANT);
        let is_rest = waited >= alone && with_vacant >= self.majority();
        if all_answered || is_majority || is_rest {
            self.mode = Mode::Voting;
            return Vec::new();
        }
        if !self.is_retry_due(now) {
            return Vec::new();
        }
        self.others()
            .map(|to| Action::Send(to, self.message(Body::QueryProgress)))
            .collect()
    }

    /// Handles an answer to [`Body::QueryProgress`]. In the startup check this voter must
    /// repair itself if it had synced more records than its disk holds now.
    pub(crate) fn handle_progress(&mut self, now: Time, from: Id, synced: u64) -> Vec<Action> {
        self.repair.answered.insert(from);
        match self.mode {
            Mode::Checking if synced > self.written => self.discard_state(now),
            Mode::Checking => self.continue_check(now),
            Mode::Repairing | Mode::Voting | Mode::Failed => Vec::new(),
        }
    }

    /// Discards the state if an incarnation of this voter with this epoch exists that is newer
    /// than its own: its seat was assigned to another process, or its disk is outdated.
    pub(crate) fn observe_own_epoch(&mut self, now: Time, epoch: u64) -> Vec<Action> {
        self.repair.highest_epoch = self.repair.highest_epoch.max(epoch);
        let is_outdated = epoch > self.incarnations[usize::from(self.id)].epoch;
        match self.mode {
            Mode::Voting | Mode::Checking if is_outdated => self.discard_state(now),
            Mode::Voting | Mode::Checking | Mode::Repairing | Mode::Failed => Vec::new(),
        }
    }

    /// Forgets what a repair has from a voter whose incarnation changed.
    pub(crate) fn forget_answers(&mut self, id: Id) {
        self.repair.admitted.remove(&id);
        self.repair.finished.remove(&id);
        self.repair.last_keys.remove(&id);
    }

    /// Discards the whole state, because the disk is outdated, and begins a repair.
    pub(crate) fn discard_state(&mut self, now: Time) -> Vec<Action> {
        self.mode = Mode::Repairing;
        self.cells.clear();
        self.awaiting_sync.clear();
        let highest_epoch = self
            .repair
            .highest_epoch
            .max(self.incarnations[usize::from(self.id)].epoch);
        self.incarnations[usize::from(self.id)] = Incarnation::default();
        self.repair = Repair {
            started: now,
            highest_epoch,
            timing: self.repair.timing,
            ..Repair::default()
        };
        let record = self.persist(Record::Reset);
        vec![record]
    }

    /// Sends the next requests of a repair when due. A voter whose seat was assigned by the
    /// group waits until it is assigned one again.
    pub(crate) fn continue_repair(&mut self, now: Time) -> Vec<Action> {
        if self.seated && self.lacks_incarnation() {
            return Vec::new();
        }
        if !self.is_retry_due(now) {
            return Vec::new();
        }
        if self.repair.incarnation.epoch == 0 {
            if self.repair.answered.len() < self.majority_of_others() {
                return self
                    .others()
                    .map(|to| Action::Send(to, self.message(Body::QueryProgress)))
                    .collect();
            }
            let epoch = self.repair.highest_epoch + 1;
            self.repair.incarnation = Incarnation {
                epoch,
                nonce: self.nonce,
                address: None,
            };
        }
        let requests = self.others().map(|to| (to, self.next_request(to)));
        let requests = requests
            .filter_map(|(to, body)| Some((to, body?)))
            .collect::<Vec<_>>();
        requests
            .into_iter()
            .map(|(to, body)| Action::Send(to, self.repair_message(body)))
            .collect()
    }

    /// The next request of the repair to a voter; none if all its pages were read.
    fn next_request(&self, to: Id) -> Option<Body> {
        if self.repair.finished.contains(&to) {
            return None;
        }
        if !self.repair.admitted.contains(&to) {
            return Some(Body::Admit);
        }
        Some(Body::QueryPage(
            self.repair.last_keys.get(&to).copied().flatten(),
        ))
    }

    /// A message that names the new incarnation, under which this voter does not vote yet.
    fn repair_message(&self, body: Body) -> Message {
        let mut message = self.message(body);
        message.incarnations[usize::from(self.id)] = self.repair.incarnation;
        message
    }

    /// Stores the new incarnation of a repairing voter and confirms it once it is synced.
    pub(crate) fn handle_admit(&mut self, from: Id, incarnations: &[Incarnation]) -> Vec<Action> {
        let (theirs, ours) = (
            incarnations[usize::from(from)],
            self.incarnations[usize::from(from)],
        );
        let is_rival = theirs.epoch == ours.epoch && theirs.nonce != ours.nonce;
        let is_admissible = theirs.epoch >= ours.epoch && !(self.seated && is_rival);
        let answers = self.mode == Mode::Voting || self.is_first_holder();
        if !answers || !is_admissible {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if theirs != ours {
            self.incarnations[usize::from(from)] = theirs;
            self.peer_synced[usize::from(from)] = 0;
            actions.push(self.persist(Record::Incarnation(from, theirs)));
        }
        actions.extend(self.send_after_sync(from, Body::Admitted));
        actions
    }

    /// Requests the first page of cells from a voter that stored the new incarnation.
    pub(crate) fn handle_admitted(&mut self, from: Id) -> Vec<Action> {
        if self.mode != Mode::Repairing || !self.repair.admitted.insert(from) {
            return Vec::new();
        }
        vec![Action::Send(
            from,
            self.repair_message(Body::QueryPage(None)),
        )]
    }

    /// Sends the cells after a key; only a voting voter answers, and one that never voted, with none.
    pub(crate) fn handle_query_page(&mut self, from: Id, after: Option<Key>) -> Vec<Action> {
        if self.is_first_holder() {
            return self.send_after_sync(from, Body::Cells(Vec::new(), true));
        }
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
            .map(|(key, stored)| (*key, stored.cell.clone()));
        let cells = cells.collect::<Vec<_>>();
        let last = cells.len() < PAGE_CELLS;
        self.send_after_sync(from, Body::Cells(cells, last))
    }

    /// Merges a page and asks for the next one. Restores the state once a majority of the
    /// others has been read.
    pub(crate) fn handle_cells(
        &mut self,
        now: Time,
        from: Id,
        cells: Vec<(Key, Cell)>,
        last: bool,
    ) -> Vec<Action> {
        if self.mode != Mode::Repairing || !self.repair.admitted.contains(&from) {
            return Vec::new();
        }
        self.repair.retries = 0;
        self.repair.progressed = Some(now);
        let last_key = cells.last().map(|(key, _)| *key);
        cells
            .into_iter()
            .for_each(|(key, cell)| self.repair.merge_cell(key, cell));
        if !last {
            self.repair.last_keys.insert(from, last_key);
            return vec![Action::Send(
                from,
                self.repair_message(Body::QueryPage(last_key)),
            )];
        }
        self.repair.finished.insert(from);
        let finished = self.repair.finished.iter();
        let finished = finished.filter(|id| !self.is_superseded(**id));
        let read = finished.count() + self.vacant_seats().len();
        if read < self.majority_of_others() || self.repair.restored {
            return Vec::new();
        }
        self.restore(now)
    }

    /// Persists the state read from the others; the voter votes once it is synced.
    fn restore(&mut self, now: Time) -> Vec<Action> {
        let cells = std::mem::take(&mut self.repair.cells);
        let mut actions = vec![self.persist(Record::Reset)];
        for (key, cell) in cells {
            actions.push(self.store_cell(now, key, cell));
        }
        for id in self.others() {
            let known = self.incarnations[usize::from(id)];
            actions.push(self.persist(Record::Incarnation(id, known)));
        }
        let incarnation = self.repair.incarnation;
        actions.push(self.persist(Record::Incarnation(self.id, incarnation)));
        self.repair.restored = true;
        actions
    }

    /// Begins to vote under the new incarnation once the restored state is synced.
    pub(crate) fn finish_repair(&mut self) {
        let synced = self.repair.restored && self.synced >= self.written;
        if self.mode == Mode::Repairing && synced {
            self.incarnations[usize::from(self.id)] = self.repair.incarnation;
            self.mode = Mode::Voting;
        }
    }
}

impl Repair {
    /// Time between two requests. Pages can be long, so that one that is asked for is given more and
    /// more time: each request would send it once more.
    fn retry_wait(&self) -> Span {
        let first = self.timing.retry_every;
        let doublings = self.retries.min(u64::BITS / 2);
        let doubled = first.saturating_mul(1 << doublings);
        match self.admitted.is_empty() {
            true => first,
            false => doubled.min(RETRY_MAX.max(first)),
        }
    }

    /// Keeps the highest promise and the value accepted with the highest ballot.
    fn merge_cell(&mut self, key: Key, cell: Cell) {
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
