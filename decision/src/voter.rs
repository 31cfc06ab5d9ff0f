//! A voter of the replicated register: acceptor, proposer and repair.
//!
//! The daemon and the controller own one voter each, feed it messages, sync reports and
//! ticks, and carry out the [`Action`]s that it returns.
//!
//! Each key is decided separately by a majority, without a leader or a log. Source of
//! the algorithm: Rystsov, "CASPaxos: Replicated State Machines without logs", 2018.
//! Incarnations are an addition of this project: they keep a voter that lost its disk
//! from voting until it has read the state back from the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::appended::Appended;
use crate::clock::Span;
use crate::clock::Time;
use crate::proposer::Proposer;
use crate::register::Change;
use crate::register::Decision;
use crate::register::Key;
use crate::register::Value;
use crate::repair::Repair;

/// Time for which a voter keeps a job after its last change.
const JOB_RETENTION: Span = Span::from_secs(72 * 3_600);

/// Maximum number of keys; changes of further keys are refused until jobs expire.
const CELLS_MAX: usize = 200_000;

/// Time between two scans for expired jobs.
const EXPIRE_EVERY: Span = Span::from_secs(60);

/// Index of a voter in its group: in order of host names where the settings list the
/// voters, else the number of its seat.
pub type Id = u8;

/// Number of a proposal, ordered by round, then voter. Unique, because each voter uses its own
/// id, and each of its lifetimes its own rounds.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{round}.{voter}")]
pub struct Ballot {
    /// Rises with each attempt; its low half names the lifetime of the voter.
    pub round: u64,
    /// Id of the proposing voter.
    pub voter: Id,
}

/// One lifetime of a voter's disk: a voter that lost its disk continues under a new
/// incarnation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation {
    /// Rises with each repair; zero if the incarnation is not known.
    pub epoch: u64,
    /// Random number that distinguishes two disks of the same epoch.
    pub nonce: u64,
    /// Peer address of the voter; absent where the settings list the voters.
    pub address: Option<SocketAddr>,
}

impl Incarnation {
    /// Epoch of the first holder of a seat that was vacant before. Seats that were given to the first
    /// voters of a group are assigned again under higher ones.
    pub const FIRST_EPOCH: u64 = 1;

    /// Whether the seat was never assigned.
    pub fn is_vacant(&self) -> bool {
        self.epoch == 0 && self.address.is_none()
    }

    /// The incarnation of a process that takes the seat after this one.
    pub fn successor(&self, address: SocketAddr, nonce: u64) -> Incarnation {
        let last = match self.is_vacant() {
            true => 0,
            false => self.epoch.max(Self::FIRST_EPOCH),
        };
        Incarnation {
            epoch: last + 1,
            nonce,
            address: Some(address),
        }
    }
}

/// Acceptor state for one key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cell {
    /// Highest ballot promised; lower ballots, and a second `Prepare` of this one, are rejected.
    pub promised: Ballot,
    /// The value last accepted, with its ballot; absent if none was.
    pub accepted: Option<(Ballot, Value)>,
}

/// A change to the state that a voter stores on disk.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// Discards all cells and the own incarnation; the voter may not vote.
    Reset,
    /// The newest incarnation of a voter; with its own one on disk a voter may vote.
    #[serde(rename = "Known")]
    Incarnation(Id, Incarnation),
    /// The new state of a key.
    Cell(Key, Cell),
    /// Removes an expired key.
    Forget(Key),
    /// Number of records written so far; ends a snapshot.
    #[serde(rename = "Written")]
    RecordCount(u64),
    /// Own id and size of the group, for a voter whose seat the group assigned.
    Seat(Id, u8),
}

/// Content of a message between voters.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks for a promise to reject lower ballots. Ends with what the proposer holds, which older builds
    /// don't send.
    Prepare(Key, Ballot, Appended<Hint>),
    /// A promise, with the value accepted before, if any.
    Promise(Key, Ballot, Option<(Ballot, Value)>),
    /// Asks to accept a value.
    Accept(Key, Ballot, Value),
    /// The value was accepted and is synced to disk.
    Accepted(Key, Ballot),
    /// Refuses the first ballot: the second one was promised, or the proposer's view of the
    /// incarnations is outdated.
    Reject(Key, Ballot, Ballot),
    /// A restarted voter asks how many of its records the receiver has seen synced.
    #[serde(rename = "Check")]
    QueryProgress,
    /// Number of records that the asking voter is known to have synced.
    #[serde(rename = "Seen")]
    Progress(u64),
    /// Asks the receiver to store the sender's new incarnation.
    Admit,
    /// The incarnation is stored and synced.
    Admitted,
    /// Asks for a page of cells after a key, or for the first page.
    #[serde(rename = "Page")]
    QueryPage(Option<Key>),
    /// A page of cells, and whether it is the last one.
    Cells(Vec<(Key, Cell)>, bool),
    /// A promise of a voter whose last accepted ballot is that of the hint; stands for its value.
    PromiseKnown(Key, Ballot, Ballot),
    /// Answers a read without a promise: the last accepted ballot is that of the hint.
    Unchanged(Key, Ballot, Ballot),
    /// The value that was accepted with this ballot is chosen.
    Chosen(Key, Ballot),
}

/// What a proposer holds, so that voters with the same value needn't send it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hint {
    /// Ballot of the value that it accepted last; absent for none, and from older builds.
    pub accepted: Option<Ballot>,
    /// Whether it only asks if that is the newest value. No promise is needed then.
    pub reads: bool,
}

/// A message between voters.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Id of the sender.
    pub from: Id,
    /// Number of records that the sender has written and synced.
    pub synced: u64,
    /// Incarnations known to the sender, indexed by voter id.
    #[serde(rename = "known")]
    pub incarnations: Vec<Incarnation>,
    /// Request or answer.
    pub body: Body,
}

/// A seat among the voters, as the group assigns it to a process without state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Seat {
    /// Id of the seat.
    pub id: Id,
    /// Incarnation under which the process repairs itself and votes.
    pub incarnation: Incarnation,
    /// Incarnations of all voters, indexed by id.
    #[serde(rename = "known")]
    pub incarnations: Vec<Incarnation>,
}

/// Effect that the owner of a voter must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Append a record and sync it, then report its number with [`Voter::synced`].
    Persist(u64, Record),
    /// Send a message to a voter.
    Send(Id, Message),
    /// Answer the proposal with this ticket.
    Decided(u64, Decision),
}

/// Whether a voter may vote.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Mode {
    /// Answers ballots and proposes.
    #[display("voting")]
    Voting,
    /// Was restarted and asks the others whether its disk is outdated.
    #[display("checking")]
    Checking,
    /// Has no state, or discarded an outdated one, and reads it back from the others.
    #[display("repairing")]
    Repairing,
    /// Its disk refuses a write; it does not vote until the disk takes it.
    #[display("failed")]
    Failed,
}

/// A cell with the time of its last change.
#[derive(Clone, Debug)]
pub(crate) struct Stored {
    pub(crate) cell: Cell,
    pub(crate) changed_at: Time,
}

/// State machine of a voter.
#[derive(Clone, Debug)]
pub struct Voter {
    pub(crate) id: Id,
    pub(crate) group_size: usize,
    pub(crate) nonce: u64,
    pub(crate) mode: Mode,
    /// Mode to which a voter returns whose disk failed.
    pub(crate) mode_before_failure: Mode,
    /// Newest known incarnations, indexed by voter id.
    pub(crate) incarnations: Vec<Incarnation>,
    /// Records that each voter is known to have synced in its incarnation, by id.
    pub(crate) peer_synced: Vec<u64>,
    pub(crate) cells: BTreeMap<Key, Stored>,
    /// Number of records written so far, synced or not.
    pub(crate) written: u64,
    /// Number of records synced so far.
    pub(crate) synced: u64,
    /// Messages held back until the record with this number is synced.
    pub(crate) awaiting_sync: BTreeMap<u64, Vec<(Id, Body)>>,
    pub(crate) repair: Repair,
    pub(crate) proposer: Proposer,
    pub(crate) last_expiry: Time,
    /// Whether the group assigned the seat; false where the settings list the voters.
    pub(crate) seated: bool,
    /// Voters whose messages show a build that knows hints.
    pub(crate) with_hints: BTreeSet<Id>,
}

impl Voter {
    /// Whether the voter votes, and if not, why.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Index of this voter in its group.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Newest known incarnations, indexed by voter id; epoch zero if unknown.
    pub fn incarnations(&self) -> &[Incarnation] {
        &self.incarnations
    }

    /// Number of records written so far, synced or not.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// The incarnation as the first holder of the seat, under which this voter has not voted yet.
    pub(crate) fn unused_incarnation(&self) -> Option<Incarnation> {
        Some(self.repair.incarnation).filter(|_| self.is_first_holder())
    }

    /// The seat of which this voter is the first holder and in which it has not voted yet.
    pub fn unused_seat(&self) -> Option<Seat> {
        let incarnation = self.unused_incarnation()?;
        Some(Seat {
            id: self.id,
            incarnation,
            incarnations: self.incarnations.clone(),
        })
    }

    /// Whether the voter must repair itself but has no incarnation for that yet.
    pub fn lacks_incarnation(&self) -> bool {
        self.mode == Mode::Repairing && self.repair.incarnation.epoch == 0
    }

    /// When the repair last came forward; absent before.
    pub fn repair_progress(&self) -> Option<Time> {
        self.repair.progressed
    }

    /// Number of keys stored.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Whether the voter stores no key.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// The value that this voter last accepted for a key, whether chosen or not.
    pub fn accepted(&self, key: &Key) -> Option<&Value> {
        self.cells
            .get(key)?
            .cell
            .accepted
            .as_ref()
            .map(|(_, value)| value)
    }

    /// Number of voters that decide a ballot.
    pub(crate) fn majority(&self) -> usize {
        self.group_size / 2 + 1
    }

    /// Number of other voters that a repair must read from.
    pub(crate) fn majority_of_others(&self) -> usize {
        (self.group_size - 1) / 2 + 1
    }

    /// Ids of all voters but this one.
    pub(crate) fn others(&self) -> impl Iterator<Item = Id> + use<> {
        let own = self.id;
        (0..self.group_size as Id).filter(move |id| *id != own)
    }

    /// A message under the own incarnation; the first holder of a seat names it before it votes.
    pub(crate) fn message(&self, body: Body) -> Message {
        let mut incarnations = self.incarnations.clone();
        if self.is_first_holder() {
            incarnations[usize::from(self.id)] = self.repair.incarnation;
        }
        Message {
            from: self.id,
            synced: self.synced,
            incarnations,
            body,
        }
    }

    /// Sends `body` once all records written so far are synced.
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

    /// Counts a record and returns the action that writes it.
    pub(crate) fn persist(&mut self, record: Record) -> Action {
        self.written += 1;
        Action::Persist(self.written, record)
    }

    /// Handles the report that all records up to `number` are synced: sends the messages
    /// held back until then.
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

    /// Handles a disk failure: the voter does not vote until the disk takes the write.
    pub fn fail(&mut self) {
        if self.mode != Mode::Failed {
            self.mode_before_failure = self.mode;
        }
        self.mode = Mode::Failed;
        self.awaiting_sync.clear();
    }

    /// Handles the end of a disk failure: what the disk had refused is written, so that it holds the
    /// voter's state again.
    pub fn regain_disk(&mut self) {
        if self.mode == Mode::Failed {
            self.mode = self.mode_before_failure;
        }
    }

    /// Proposes a change of a key. The decision follows as [`Action::Decided`] with `ticket`;
    /// it is [`Decision::Unknown`] at once if this voter does not vote or is full.
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

    /// Adds the value that this voter accepted last to a ballot that begins.
    fn with_hint(&mut self, body: Body) -> Body {
        let Body::Prepare(key, ballot, _) = body else {
            return body;
        };
        let stored = self.cells.get(&key);
        let accepted = stored.and_then(|stored| stored.cell.accepted.clone());
        let hint = self.proposer.begin(&key, accepted);
        Body::Prepare(key, ballot, hint.into())
    }

    /// Sends each body to all voters, this one included.
    fn broadcast(&mut self, bodies: Vec<Body>) -> Vec<Action> {
        let all = 0..self.group_size as Id;
        let bodies = bodies.into_iter().map(|body| self.with_hint(body));
        let bodies = bodies.collect::<Vec<_>>();
        let messages = bodies.into_iter().flat_map(|body| {
            all.clone()
                .map(move |to| (to, body.clone()))
                .collect::<Vec<_>>()
        });
        messages
            .map(|(to, body)| Action::Send(to, self.message(body)))
            .collect()
    }

    /// Handles messages to this voter at once and keeps the other actions.
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

    /// Handles a message from a voter; messages of outdated incarnations are dropped.
    pub fn receive(&mut self, now: Time, message: Message) -> Vec<Action> {
        if !self.is_current(&message) {
            return Vec::new();
        }
        let mut actions = self.observe(now, &message);
        let restarted = self.proposer.restart_if_changed(now, &self.incarnations);
        actions.extend(self.broadcast(restarted));
        let from = message.from;
        actions.extend(match message.body {
            Body::Prepare(key, ballot, hint) => {
                self.note_hints(from, hint.accepted.is_some());
                match hint.reads {
                    true => self.handle_read(from, key, ballot, *hint, &message.incarnations),
                    false => {
                        let view = &message.incarnations;
                        self.handle_prepare(now, from, key, ballot, *hint, view)
                    }
                }
            }
            Body::PromiseKnown(key, ballot, accepted) => {
                self.note_hints(from, true);
                let step = self.proposer.handle_known(now, from, key, ballot, accepted);
                self.step_actions(step)
            }
            Body::Unchanged(key, ballot, accepted) => {
                self.note_hints(from, true);
                let step = self
                    .proposer
                    .handle_unchanged(now, from, key, ballot, accepted);
                self.step_actions(step)
            }
            Body::Chosen(..) => Vec::new(),
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
                self.proposer
                    .handle_reject(now, from, key, ballot, promised);
                Vec::new()
            }
            Body::QueryProgress => {
                self.send_after_sync(from, Body::Progress(self.peer_synced[usize::from(from)]))
            }
            Body::Progress(synced) => self.handle_progress(now, from, synced),
            Body::Admit => self.handle_admit(from, &message.incarnations),
            Body::Admitted => self.handle_admitted(from),
            Body::QueryPage(after) => self.handle_query_page(from, after),
            Body::Cells(cells, last) => self.handle_cells(now, from, cells, last),
        });
        self.deliver_to_self(now, actions)
    }

    /// Turns a step of the proposer into actions.
    fn step_actions(&mut self, step: (Vec<Body>, Vec<(u64, Decision)>)) -> Vec<Action> {
        let (bodies, decided) = step;
        let mut actions = self.broadcast(bodies);
        let decided = decided
            .into_iter()
            .map(|(ticket, decision)| Action::Decided(ticket, decision));
        actions.extend(decided);
        actions
    }

    /// Whether a message comes from its sender's newest known incarnation, or from a voter
    /// that is still recovering.
    fn is_current(&self, message: &Message) -> bool {
        let from = usize::from(message.from);
        if from >= self.group_size || message.incarnations.len() != self.group_size {
            return false;
        }
        let is_recovery_request = matches!(message.body, Body::QueryProgress | Body::Admit);
        let (theirs, ours) = (message.incarnations[from], self.incarnations[from]);
        is_recovery_request || ours.epoch == 0 || theirs.epoch > ours.epoch || theirs == ours
    }

    /// Stores newer incarnations and the sender's progress from a message. Discards the
    /// own state if a newer incarnation of this voter exists.
    fn observe(&mut self, now: Time, message: &Message) -> Vec<Action> {
        let (own, from) = (usize::from(self.id), usize::from(message.from));
        let mut actions = Vec::new();
        let is_recovery_request = matches!(message.body, Body::QueryProgress | Body::Admit);
        for (id, theirs) in message.incarnations.iter().enumerate() {
            if id == own
                || (id == from && is_recovery_request)
                || theirs.epoch <= self.incarnations[id].epoch
            {
                continue;
            }
            self.incarnations[id] = *theirs;
            self.peer_synced[id] = 0;
            self.with_hints.remove(&(id as Id));
            self.forget_answers(id as Id);
            actions.push(self.persist(Record::Incarnation(id as Id, *theirs)));
        }
        if !is_recovery_request {
            self.peer_synced[from] = self.peer_synced[from].max(message.synced);
        }
        actions.extend(self.observe_own_epoch(now, message.incarnations[own].epoch));
        actions
    }

    /// Retries unanswered ballots and repair requests and expires old jobs. To be called
    /// at short intervals.
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

    /// Removes jobs that were not changed for [`JOB_RETENTION`].
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
