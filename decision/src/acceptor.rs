//! Acceptor of a voter: promises ballots, accepts values and answers reads.
//!
//! Part of [`Voter`], which passes in the messages of proposers.

use crate::clock::Time;
use crate::register::Key;
use crate::register::Value;
use crate::voter::Action;
use crate::voter::Ballot;
use crate::voter::Body;
use crate::voter::Cell;
use crate::voter::Hint;
use crate::voter::Id;
use crate::voter::Incarnation;
use crate::voter::Message;
use crate::voter::Mode;
use crate::voter::Record;
use crate::voter::Stored;
use crate::voter::Voter;

impl Voter {
    /// Whether a proposer's view of the incarnations holds an older one than this voter
    /// knows, or a different one of the same epoch.
    fn is_outdated_view(&self, theirs: &[Incarnation]) -> bool {
        let differs = |(ours, theirs): (&Incarnation, &Incarnation)| {
            theirs.epoch < ours.epoch || (theirs.epoch == ours.epoch && theirs != ours)
        };
        self.incarnations.iter().zip(theirs).any(differs)
    }

    /// Replaces a cell in memory and returns the action that persists it.
    pub(crate) fn store_cell(&mut self, now: Time, key: Key, cell: Cell) -> Action {
        let stored = Stored {
            cell: cell.clone(),
            changed_at: now,
        };
        let accepted = cell.accepted.as_ref();
        let bytes = accepted.map_or(0, |(_, value)| value.size());
        self.proposer.note_size(key, bytes);
        self.cells.insert(key, stored);
        self.persist(Record::Cell(key, cell))
    }

    /// Promises a ballot, once: a voter of an earlier build that lost its newest promise with the
    /// power may give out a ballot again, for another value.
    pub(crate) fn handle_prepare(
        &mut self,
        now: Time,
        from: Id,
        key: Key,
        ballot: Ballot,
        hint: Hint,
        view: &[Incarnation],
    ) -> Vec<Action> {
        if self.mode != Mode::Voting {
            return Vec::new();
        }
        let mut cell = self
            .cells
            .get(&key)
            .map(|stored| stored.cell.clone())
            .unwrap_or_default();
        self.proposer.defer(now, key, ballot);
        if cell.promised >= ballot || self.is_outdated_view(view) {
            return self.send_after_sync(from, Body::Reject(key, ballot, cell.promised));
        }
        let accepted = cell.accepted.clone();
        cell.promised = ballot;
        let mut actions = vec![self.store_cell(now, key, cell)];
        let promise = match accepted {
            Some((known, _)) if hint.accepted == Some(known) => {
                Body::PromiseKnown(key, ballot, known)
            }
            accepted => Body::Promise(key, ballot, accepted),
        };
        actions.extend(self.send_after_sync(from, promise));
        actions
    }

    /// Answers whether the proposer of a read holds the newest value as far as this voter knows. Writes
    /// nothing.
    pub(crate) fn handle_read(
        &mut self,
        from: Id,
        key: Key,
        ballot: Ballot,
        hint: Hint,
        view: &[Incarnation],
    ) -> Vec<Action> {
        if self.mode != Mode::Voting {
            return Vec::new();
        }
        let cell = self.cells.get(&key).map(|stored| &stored.cell);
        let accepted = cell.and_then(|cell| cell.accepted.as_ref());
        let accepted = accepted.map(|(ballot, _)| *ballot);
        let promised = cell.map(|cell| cell.promised).unwrap_or_default();
        let answer = match accepted.filter(|_| !self.is_outdated_view(view)) {
            Some(known) if hint.accepted == Some(known) => Body::Unchanged(key, ballot, known),
            _ => Body::Reject(key, ballot, promised),
        };
        self.send_after_sync(from, answer)
    }

    /// Records whether a message of another voter shows a build that knows hints.
    pub(crate) fn note_hints(&mut self, from: Id, knows: bool) {
        match knows {
            true => self.with_hints.insert(from),
            false => self.with_hints.remove(&from),
        };
    }

    /// Whether another voter is of a build that knows hints, as far as its messages tell.
    pub fn knows_hints(&self, id: Id) -> bool {
        self.with_hints.contains(&id)
    }

    /// The value that this voter last accepted for a key, with its ballot.
    pub fn accepted_ballot(&self, key: &Key) -> Option<&(Ballot, Value)> {
        self.cells.get(key)?.cell.accepted.as_ref()
    }

    /// Tells another voter that the value accepted with this ballot is chosen.
    pub fn announce_chosen(&self, key: Key, ballot: Ballot) -> Message {
        self.message(Body::Chosen(key, ballot))
    }

    pub(crate) fn handle_accept(
        &mut self,
        now: Time,
        from: Id,
        key: Key,
        value: (Ballot, Value),
        view: &[Incarnation],
    ) -> Vec<Action> {
        if self.mode != Mode::Voting {
            return Vec::new();
        }
        let ballot = value.0;
        let promised = self
            .cells
            .get(&key)
            .map(|stored| stored.cell.promised)
            .unwrap_or_default();
        if promised > ballot || self.is_outdated_view(view) {
            return self.send_after_sync(from, Body::Reject(key, ballot, promised));
        }
        let cell = Cell {
            promised: ballot,
            accepted: Some(value),
        };
        let mut actions = vec![self.store_cell(now, key, cell)];
        self.proposer.release(now, key, ballot);
        actions.extend(self.send_after_sync(from, Body::Accepted(key, ballot)));
        actions
    }
}
