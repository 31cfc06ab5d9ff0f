//! A voter of the replicated register: acceptor, proposer and repair.
//!
//! Each key is decided on its own by a ballot of a majority, without a leader
//! or a log. Source of the algorithm: Rystsov, "CASPaxos: Replicated State
//! Machines without logs", 2018. The incarnations, by which a voter that lost
//! its disk is kept from voting until it has caught up, are this project's.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::proposer::Proposer;
use crate::register::Change;
use crate::register::Decision;
use crate::register::Key;
use crate::register::Value;
use crate::repair::Repair;
use crate::repair::Timing;

/// Time for which a job is kept after its last change.
const JOB_RETENTION: Span = Span::from_secs(72 * 3_600);

/// Most keys stored; further jobs are refused until old ones expire.
const CELLS_MAX: usize = 200_000;

/// Time between two searches for expired jobs.
const EXPIRE_EVERY: Span = Span::from_secs(60);

/// Position of a voter among all voters in the order of their names.
pub type Id = u8;

/// Number of a proposal; unique, since each voter uses its own position.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{round}.{voter}")]
pub struct Ballot {
    /// Round, rising with each try.
    pub round: u64,
    /// The proposing voter.
    pub voter: Id,
}

/// One life of a voter's disk.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation {
    /// Rises with each repair; zero where none is known.
    pub epoch: u64,
    /// Random number that tells disks of one epoch apart.
    pub nonce: u64,
    /// Where this life is reached, if the settings don't tell.
    pub address: Option<SocketAddr>,
}

/// A voter's promise and accepted value for one key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cell {
    /// No lower ballot will be taken.
    pub promised: Ballot,
    /// The value last accepted, with its ballot.
    pub accepted: Option<(Ballot, Value)>,
}

/// A change of a voter's stored state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// All state is void, and the voter may not vote.
    Reset,
    /// The incarnation of a voter; its own one means that it may vote.
    #[serde(rename = "Known")]
    Incarnation(Id, Incarnation),
    /// A cell.
    Cell(Key, Cell),
    /// An expired key.
    Forget(Key),
    /// The number of records written before, at the start of a snapshot.
    #[serde(rename = "Written")]
    RecordCount(u64),
    /// Which voter this is, of how many, where the settings don't tell.
    Seat(Id, u8),
}

/// What a message says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks for a promise.
    Prepare(Key, Ballot),
    /// A promise, with the value accepted before.
    Promise(Key, Ballot, Option<(Ballot, Value)>),
    /// Asks to accept a value.
    Accept(Key, Ballot, Value),
    /// The value was accepted and synced.
    Accepted(Key, Ballot),
    /// A higher ballot was promised, or the sender's incarnations are old.
    Reject(Key, Ballot, Ballot),
    /// A restarted voter asks how much others have seen of it.
    #[serde(rename = "Check")]
    QueryProgress,
    /// Records of the asking voter that are known to have been written.
    #[serde(rename = "Seen")]
    Progress(u64),
    /// Asks to note the sender's new incarnation.
    Admit,
    /// The incarnation is noted and synced.
    Admitted,
    /// Asks for cells after a key.
    Page(Option<Key>),
    /// Cells, and whether they are the last.
    Cells(Vec<(Key, Cell)>, bool),
}

/// A message between voters.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender.
    pub from: Id,
    /// Records that the sender has written and synced.
    pub synced: u64,
    /// Incarnations known to the sender, by voter.
    #[serde(rename = "known")]
    pub incarnations: Vec<Incarnation>,
    /// What it says.
    pub body: Body,
}

/// A place among the voters, as it is given to a voter without state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Place {
    /// The voter that it is.
    pub id: Id,
    /// The life that it begins.
    pub incarnation: Incarnation,
    /// The lives of all voters.
    pub known: Vec<Incarnation>,
}

/// Effects of a voter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Append and sync a record, then report its number with [`Voter::synced`].
    Persist(u64, Record),
    /// Send a message.
    Send(Id, Message),
    /// Answer a proposal.
    Decided(u64, Decision),
}

/// Whether a voter may vote.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Mode {
    /// It votes.
    #[display("voting")]
    Voting,
    /// It was restarted and asks whether its disk is as new as it was.
    #[display("checking")]
    Checking,
    /// It lost state and reads it back from the others.
    #[display("repairing")]
    Repairing,
    /// Its disk failed.
    #[display("failed")]
    Failed,
}

#[derive(Clone, Debug)]
pub(crate) struct Stored {
    pub(crate) cell: Cell,
    pub(crate) changed_at: Time,
}

/// A voter.
#[derive(Clone, Debug)]
pub struct Voter {
    pub(crate) id: Id,
    pub(crate) group_size: usize,
    pub(crate) nonce: u64,
    pub(crate) mode: Mode,
    pub(crate) incarnations: Vec<Incarnation>,
    pub(crate) peer_synced: Vec<u64>,
    pub(crate) cells: BTreeMap<Key, Stored>,
    pub(crate) written: u64,
    pub(crate) synced: u64,
    pub(crate) awaiting_sync: BTreeMap<u64, Vec<(Id, Body)>>,
    pub(crate) repair: Repair,
    pub(crate) proposer: Proposer,
    pub(crate) last_expiry: Time,
    pub(crate) seated: bool,
}

impl Voter {
    /// The records of a new voter in a new group; never for a replaced disk.
    pub fn format(id: Id, nonce: u64) -> Vec<Record> {
        let incarnation = Incarnation {
            epoch: 1,
            nonce,
            address: None,
        };
        vec![Record::Incarnation(id, incarnation)]
    }

    /// The records of the voter `own` of `group_size` in a new group, whose first
    /// voters are reached at `addresses`.
    pub fn bootstrap(own: Id, group_size: u8, nonce: u64, addresses: &[SocketAddr]) -> Vec<Record> {
        let first = addresses.iter().zip(0..).map(|(address, id)| {
            let (epoch, nonce) = if id == own { (1, nonce) } else { (0, 0) };
            let address = Some(*address);
            let incarnation = Incarnation {
                epoch,
                nonce,
                address,
            };
            Record::Incarnation(id, incarnation)
        });
        std::iter::once(Record::Seat(own, group_size))
            .chain(first)
            .collect()
    }

    /// A voter without state that was given a place: it repairs itself from the
    /// others under `incarnation`. `written` goes on counting records.
    pub fn join(now: Time, place: &Place, written: u64) -> Voter {
        let mut voter = Voter::open(now, place.id, place.known.len(), 0, Vec::new());
        voter.incarnations.clone_from(&place.known);
        voter.incarnations[usize::from(place.id)] = Incarnation::default();
        voter.repair.incarnation = place.incarnation;
        voter.seated = true;
        voter.written = written;
        voter.synced = written;
        voter
    }

    /// A voter from its stored records. Without any it repairs itself from the
    /// others. `nonce` is a random number.
    pub fn open(now: Time, id: Id, group_size: usize, nonce: u64, records: Vec<Record>) -> Voter {
        let mut voter = Voter {
            id,
            group_size,
            nonce,
            mode: Mode::Checking,
            incarnations: vec![Incarnation::default(); group_size],
            peer_synced: vec![0; group_size],
            cells: BTreeMap::new(),
            written: 0,
            synced: 0,
            awaiting_sync: BTreeMap::new(),
            repair: Repair {
                started: now,
                ..Repair::default()
            },
            proposer: Proposer::new(id, group_size),
            last_expiry: now,
            seated: false,
        };
        records
            .into_iter()
            .for_each(|record| voter.load(now, record));
        voter.synced = voter.written;
        if voter.incarnations[usize::from(id)].epoch == 0 {
            voter.mode = Mode::Repairing;
        }
        voter
    }

    /// The same voter with other waits while it starts or repairs itself.
    pub fn with_timing(mut self, timing: Timing) -> Voter {
        self.repair.timing = timing;
        self
    }

    fn load(&mut self, now: Time, record: Record) {
        self.written += 1;
        match record {
            Record::Reset => {
                self.cells.clear();
                self.incarnations[usize::from(self.id)] = Incarnation::default();
            }
            Record::Incarnation(id, incarnation) => {
                if let Some(known) = self.incarnations.get_mut(usize::from(id)) {
                    *known = incarnation;
                }
            }
            Record::Cell(key, cell) => {
                self.cells.insert(
                    key,
                    Stored {
                        cell,
                        changed_at: now,
                    },
                );
            }
            Record::Forget(key) => {
                self.cells.remove(&key);
            }
            Record::RecordCount(count) => self.written = count,
            Record::Seat(..) => self.seated = true,
        }
    }

    /// Records that give the whole state, for a snapshot.
    pub fn snapshot(&self) -> Vec<Record> {
        let mut records = Vec::with_capacity(self.cells.len() + self.group_size + 2);
        if self.seated {
            records.push(Record::Seat(self.id, self.group_size as u8));
        }
        let known = self
            .incarnations
            .iter()
            .enumerate()
            .filter(|(_, known)| known.epoch > 0 || known.address.is_some());
        records.extend(known.map(|(id, known)| Record::Incarnation(id as Id, *known)));
        let cells = self
            .cells
            .iter()
            .map(|(key, stored)| Record::Cell(*key, stored.cell.clone()));
        records.extend(cells);
        records.push(Record::RecordCount(self.written));
        records
    }

    /// Whether it may vote.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Which voter it is.
    pub fn id(&self) -> Id {
        self.id
    }

    /// The lives of all voters, as far as known.
    pub fn incarnations(&self) -> &[Incarnation] {
        &self.incarnations
    }

    /// Records written so far.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Whether it lost its place: it has no state and no new life was given to it.
    pub fn is_displaced(&self) -> bool {
        self.mode == Mode::Repairing && self.repair.incarnation.epoch == 0
    }

    /// Keys stored.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// The value last accepted here, chosen or not.
    pub fn accepted(&self, key: &Key) -> Option<&Value> {
        self.cells
            .get(key)?
            .cell
            .accepted
            .as_ref()
            .map(|(_, value)| value)
    }

    pub(crate) fn majority(&self) -> usize {
        self.group_size / 2 + 1
    }

    pub(crate) fn majority_of_others(&self) -> usize {
        (self.group_size - 1) / 2 + 1
    }

    pub(crate) fn others(&self) -> impl Iterator<Item = Id> + use<> {
        let own = self.id;
        (0..self.group_size as Id).filter(move |id| *id != own)
    }

    pub(crate) fn message(&self, body: Body) -> Message {
        Message {
            from: self.id,
            synced: self.synced,
            incarnations: self.incarnations.clone(),
            body,
        }
    }

    /// Sends `body` once all that was written before is synced.
    pub(crate) fn send_after_sync(&mut self, to: Id, body: Body) -> Vec<Action> {
        if self.synced < self.written {
            self.awaiting_sync
                .entry(self.written)
                .or_default()
                .push((to, body));
            return Vec::new();
        }
        self.send(to, body)
    }

    fn send(&self, to: Id, body: Body) -> Vec<Action> {
        vec![Action::Send(to, self.message(body))]
    }

    pub(crate) fn persist(&mut self, record: Record) -> Action {
        self.written += 1;
        Action::Persist(self.written, record)
    }

    /// Takes word that all records up to `number` are synced.
    pub fn synced(&mut self, now: Time, number: u64) -> Vec<Action> {
        self.synced = self.synced.max(number);
        let still_waiting = self.awaiting_sync.split_off(&(number + 1));
        let ready = std::mem::replace(&mut self.awaiting_sync, still_waiting);
        let ready = ready.into_values().flatten().collect::<Vec<_>>();
        let mut actions = Vec::new();
        for (to, body) in ready {
            actions.extend(self.send(to, body));
        }
        self.finish_repair();
        self.deliver_to_self(now, actions)
    }

    /// Takes word that the disk failed: it never votes again in this run.
    pub fn fail(&mut self) {
        self.mode = Mode::Failed;
        self.awaiting_sync.clear();
    }

    /// Has a change decided; the answer carries `ticket`.
    pub fn propose(&mut self, now: Time, ticket: u64, key: Key, change: Change) -> Vec<Action> {
        let is_full = self.cells.len() >= CELLS_MAX && !self.cells.contains_key(&key);
        if self.mode != Mode::Voting || is_full {
            return vec![Action::Decided(ticket, Decision::Unknown)];
        }
        let floor = self
            .cells
            .get(&key)
            .map(|stored| stored.cell.promised)
            .unwrap_or_default();
        let bodies = self.proposer.propose(now, ticket, key, change, floor);
        let actions = self.broadcast(bodies);
        self.deliver_to_self(now, actions)
    }

    fn broadcast(&self, bodies: Vec<Body>) -> Vec<Action> {
        let all = 0..self.group_size as Id;
        let messages = bodies.into_iter().flat_map(|body| {
            all.clone()
                .map(move |to| (to, body.clone()))
                .collect::<Vec<_>>()
        });
        messages
            .map(|(to, body)| Action::Send(to, self.message(body)))
            .collect()
    }

    /// Handles messages to itself at once.
    fn deliver_to_self(&mut self, now: Time, actions: Vec<Action>) -> Vec<Action> {
        let mut out = Vec::new();
        for action in actions {
            match action {
                Action::Send(to, message) if to == self.id => {
                    out.extend(self.receive(now, message));
                }
                action => out.push(action),
            }
        }
        out
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Time, message: Message) -> Vec<Action> {
        if !self.is_current(&message) {
            return Vec::new();
        }
        let mut actions = self.observe(now, &message);
        let restarted = self.proposer.restart_if_changed(now, &self.incarnations);
        actions.extend(self.broadcast(restarted));
        let from = message.from;
        actions.extend(match message.body {
            Body::Prepare(key, ballot) => {
                self.handle_prepare(now, from, key, ballot, &message.incarnations)
            }
            Body::Accept(key, ballot, value) => {
                self.handle_accept(now, from, key, (ballot, value), &message.incarnations)
            }
            Body::Promise(key, ballot, accepted) => {
                let step = self
                    .proposer
                    .handle_promise(now, from, key, ballot, accepted);
                self.step_actions(step)
            }
            Body::Accepted(key, ballot) => {
                let step = self.proposer.handle_accepted(now, from, key, ballot);
                self.step_actions(step)
            }
            Body::Reject(key, ballot, promised) => {
                self.proposer.handle_reject(now, key, ballot, promised);
                Vec::new()
            }
            Body::QueryProgress => {
                self.send_after_sync(from, Body::Progress(self.peer_synced[usize::from(from)]))
            }
            Body::Progress(written) => self.handle_progress(now, from, written),
            Body::Admit => self.handle_admit(from, &message.incarnations),
            Body::Admitted => self.handle_admitted(from),
            Body::Page(after) => self.handle_page(from, after),
            Body::Cells(cells, last) => self.handle_cells(now, from, cells, last),
        });
        self.deliver_to_self(now, actions)
    }

    fn step_actions(&self, step: (Vec<Body>, Vec<(u64, Decision)>)) -> Vec<Action> {
        let (bodies, decided) = step;
        let mut actions = self.broadcast(bodies);
        let decided = decided
            .into_iter()
            .map(|(ticket, decision)| Action::Decided(ticket, decision));
        actions.extend(decided);
        actions
    }

    /// Whether a message comes from a voter's present life.
    fn is_current(&self, message: &Message) -> bool {
        let from = usize::from(message.from);
        if from >= self.group_size || message.incarnations.len() != self.group_size {
            return false;
        }
        let is_recovery_request = matches!(message.body, Body::QueryProgress | Body::Admit);
        let (theirs, ours) = (message.incarnations[from], self.incarnations[from]);
        is_recovery_request || ours.epoch == 0 || theirs.epoch > ours.epoch || theirs == ours
    }

    /// Learns incarnations and progress from a message.
    fn observe(&mut self, now: Time, message: &Message) -> Vec<Action> {
        let (own, from) = (usize::from(self.id), usize::from(message.from));
        let mut actions = Vec::new();
        let votes = !matches!(message.body, Body::QueryProgress | Body::Admit);
        for (id, theirs) in message.incarnations.iter().enumerate() {
            if id == own || (id == from && !votes) || theirs.epoch <= self.incarnations[id].epoch {
                continue;
            }
            self.incarnations[id] = *theirs;
            self.peer_synced[id] = 0;
            actions.push(self.persist(Record::Incarnation(id as Id, *theirs)));
        }
        if votes {
            self.peer_synced[from] = self.peer_synced[from].max(message.synced);
        }
        let epoch = message.incarnations[own].epoch;
        self.repair.highest_epoch = self.repair.highest_epoch.max(epoch);
        if matches!(self.mode, Mode::Voting | Mode::Checking)
            && epoch > self.incarnations[own].epoch
        {
            actions.extend(self.discard_state(now));
        }
        actions
    }

    fn has_outdated_view(&self, theirs: &[Incarnation]) -> bool {
        let differs = |(ours, theirs): (&Incarnation, &Incarnation)| {
            theirs.epoch < ours.epoch || (theirs.epoch == ours.epoch && theirs != ours)
        };
        self.incarnations.iter().zip(theirs).any(differs)
    }

    /// Takes a cell and has it written.
    pub(crate) fn store_cell(&mut self, now: Time, key: Key, cell: Cell) -> Action {
        let stored = Stored {
            cell: cell.clone(),
            changed_at: now,
        };
        self.cells.insert(key, stored);
        self.persist(Record::Cell(key, cell))
    }

    fn handle_prepare(
        &mut self,
        now: Time,
        from: Id,
        key: Key,
        ballot: Ballot,
        known: &[Incarnation],
    ) -> Vec<Action> {
        if self.mode != Mode::Voting {
            return Vec::new();
        }
        let mut cell = self
            .cells
            .get(&key)
            .map(|stored| stored.cell.clone())
            .unwrap_or_default();
        if cell.promised > ballot || self.has_outdated_view(known) {
            return self.send_after_sync(from, Body::Reject(key, ballot, cell.promised));
        }
        let accepted = cell.accepted.clone();
        let mut actions = Vec::new();
        if cell.promised < ballot {
            cell.promised = ballot;
            actions.push(self.store_cell(now, key, cell));
        }
        actions.extend(self.send_after_sync(from, Body::Promise(key, ballot, accepted)));
        actions
    }

    fn handle_accept(
        &mut self,
        now: Time,
        from: Id,
        key: Key,
        value: (Ballot, Value),
        known: &[Incarnation],
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
        if promised > ballot || self.has_outdated_view(known) {
            return self.send_after_sync(from, Body::Reject(key, ballot, promised));
        }
        let cell = Cell {
            promised: ballot,
            accepted: Some(value),
        };
        let mut actions = vec![self.store_cell(now, key, cell)];
        actions.extend(self.send_after_sync(from, Body::Accepted(key, ballot)));
        actions
    }

    /// Retries what got no answer and expires jobs; to be called at short intervals.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let step = self.proposer.tick(now);
        let mut actions = self.step_actions(step);
        actions.extend(match self.mode {
            Mode::Voting | Mode::Failed => Vec::new(),
            Mode::Checking => self.continue_check(now),
            Mode::Repairing => self.continue_repair(now),
        });
        actions.extend(self.expire(now));
        self.deliver_to_self(now, actions)
    }

    fn expire(&mut self, now: Time) -> Vec<Action> {
        if now.since(self.last_expiry) < EXPIRE_EVERY || self.mode != Mode::Voting {
            return Vec::new();
        }
        self.last_expiry = now;
        let old = self.cells.iter().filter(|(key, stored)| {
            matches!(key, Key::Job(_)) && now.since(stored.changed_at) > JOB_RETENTION
        });
        let old = old.map(|(key, _)| *key).collect::<Vec<_>>();
        let forget = |key| {
            self.cells.remove(&key);
            self.persist(Record::Forget(key))
        };
        old.into_iter().map(forget).collect()
    }
}
