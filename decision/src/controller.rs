//! Controller: the voter role of a tier with discovered hosts.
//!
//! It keeps the replicated state, reads the platform's list of replicas and feeds both to
//! the entry hosts. The voter's loop passes in [`Event`]s and carries out the returned
//! [`Action`]s. The modules `command`, `seats`, `refresh` and `publisher` hold further parts of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::account::suspension::Suspension;
use crate::clock::Span;
use crate::clock::Time;
use crate::command::Command;
use crate::command::Outcome;
use crate::command::SUSPENDED_MIN;
use crate::confirmation::Confirmation;
use crate::confirmation::Lacking;
use crate::digest::Digest;
use crate::feed::Heartbeat;
use crate::feed::LinkReport;
use crate::feed::Message;
use crate::feed::digest_hosts;
use crate::fleet::Fleet;
use crate::load::report;
use crate::plan::Host;
use crate::quarantine::Ledger;
use crate::quota;
use crate::register;
use crate::register::Change;
use crate::register::Key;
use crate::register::Value;
use crate::repair::Timing;
use crate::rollout;
use crate::rollout::steering::Decision;
use crate::rollout::steering::Steering;
use crate::tier::State;
use crate::tier::Verdict;
use crate::voter;
use crate::voter::Ballot;
use crate::voter::Id;
use crate::voter::Mode;
use crate::voter::Record;
use crate::voter::Seat;
use crate::voter::Voter;

/// Timeouts of a starting voter. They are short because the processes of a tier are started
/// together and callers wait for them.
pub(crate) const STARTUP_TIMING: Timing = Timing {
    check_timeout: Span::from_ms(120),
    retry_every: Span::from_ms(50),
};

/// Time between two status messages to the other voters.
const STATUS_EVERY: Span = Span::from_ms(250);

/// Silence after which a voter counts as unreachable.
pub(crate) const PEER_TIMEOUT: Span = Span::from_ms(900);

/// Delay before a voter settles an accepted value that may not be chosen.
const SETTLE_DELAY: Span = Span::from_ms(40);

/// Further delay for each voter with a lower id, so that their ballots don't collide.
const SETTLE_STEP: Span = Span::from_ms(60);

/// Time between two ticks while proposals are pending or this process does not vote.
const TICK_EVERY: Span = Span::from_ms(25);

/// Time between two ticks otherwise.
const TICK_IDLE: Span = Span::from_ms(125);

/// Settings of a voter process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for its peers.
    pub address: SocketAddr,
    /// Addresses of the first voters.
    pub seeds: Vec<SocketAddr>,
    /// Whether the group starts for the first time. A seed without records then creates its
    /// first records instead of requesting a seat.
    pub bootstrap: bool,
    /// Number of voters in the group.
    pub voters: u8,
    /// Time between two reads of the list.
    pub read_every: Span,
    /// Random number that identifies this run of the process.
    pub nonce: u64,
    /// Limits on the exposure to new versions.
    pub rollout: rollout::Settings,
}

/// Input of the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message from the process at this address.
    Message(SocketAddr, Box<Message>),
    /// Records up to this number are synced.
    Synced(u64),
    /// An operator's command; its number returns with the answer.
    Command(u64, Command),
    /// The read of the list that began at this time ended; absent if it failed.
    ListRead(Time, Option<Fleet>),
    /// The seeds changed in the settings.
    SeedsChanged(Vec<SocketAddr>),
    /// A timer fired.
    Tick,
}

/// Event to be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The voter's mode changed to this one.
    Mode(String),
    /// Contact with a majority was gained (true) or lost (false).
    Quorum(bool),
    /// The majority began (true) or ceased (false) to confirm that the own state is the newest.
    Confirmed(bool),
    /// A newer state is known to be chosen.
    Chosen {
        /// Revision of the state.
        revision: u64,
        /// Version of the configuration in it.
        version: u64,
        /// Number of failure domains out of service.
        closed: usize,
    },
    /// The list of replicas changed.
    Fleet {
        /// Number of replicas listed.
        replicas: usize,
        /// Time since the list was read.
        age: Span,
    },
    /// The list could not be read.
    ListFailed,
    /// The group assigned this seat to this process.
    Seated(Id),
    /// Another voter knows a newer state, which this one has not received for some time.
    Lacking {
        /// Revision of the chosen state that this voter has.
        revision: u64,
        /// Newest revision that it heard of.
        newest: u64,
        /// The voter that has it.
        voter: SocketAddr,
        /// Time since this voter first heard of a newer one.
        age: Span,
    },
    /// The live entry hosts changed; their number now.
    Entries(usize),
    /// This voter proposes a step of a rollout.
    Rollout(Box<Decision>),
}

/// Effect that the loop must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send(SocketAddr, Message),
    /// Append a record and sync it, then report its number with [`Event::Synced`].
    Persist(u64, Record),
    /// Replace all stored records.
    Replace(Vec<Record>),
    /// Answer the operator's command with this number.
    Answer(u64, Outcome),
    /// Read the list of replicas, then report it with [`Event::ListRead`] and this time.
    ReadList(Time),
    /// Write a log event.
    Note(Note),
}

/// What another voter last reported.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) last_heard: Time,
    pub(crate) voting: bool,
    /// Entry hosts that send their heartbeats to that voter.
    pub(crate) entries: Vec<Host>,
    /// How many of these fail most requests.
    pub(crate) failing: u32,
    /// Digest of its records of requests under which servers ended.
    pub(crate) ledger: u64,
    /// Digest of its ledger of limits.
    pub(crate) limits: u64,
    /// Links of these entry hosts.
    pub(crate) links: LinkReport,
}

impl Peer {
    /// Creates a peer that has sent nothing yet; its silence counts from `now`.
    pub(crate) fn silent_since(now: Time) -> Peer {
        Peer {
            last_heard: now,
            voting: false,
            entries: Vec::new(),
            failing: 0,
            ledger: 0,
            limits: 0,
            links: LinkReport::default(),
        }
    }
}

/// Origin of a pending proposal.
#[derive(Clone, Debug)]
pub(crate) enum Pending {
    /// An operator's command.
    Command {
        id: u64,
        command: Command,
        started: Time,
    },
    /// Settling of an accepted value that may not be chosen.
    Settle,
    /// Seat request of the process at this address.
    SeatRequest(SocketAddr),
    /// Step of a rollout.
    Rollout(Box<Decision>),
}

/// The newest list of replicas with its digest, and when its read began, on this process's
/// clock.
#[derive(Clone, Debug)]
pub(crate) struct Listing {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) digest: Digest,
    pub(crate) read_at: Time,
}

/// State machine of a voter process.
#[derive(Debug)]
pub struct Controller {
    pub(crate) settings: Settings,
    /// Absent until this process has a seat.
    pub(crate) voter: Option<Voter>,
    /// Highest number of a record written by this process.
    pub(crate) written: u64,
    /// Seat assigned to this process that it does not vote in yet, and when it was assigned.
    pub(crate) assigned_seat: Option<(Seat, Time)>,
    /// Newest state known to be chosen.
    pub(crate) chosen: Option<Arc<State>>,
    /// Other voters by address.
    pub(crate) peers: BTreeMap<SocketAddr, Peer>,
    /// Entry hosts that send heartbeats here: the last heartbeat, updated by the feeds sent
    /// since, and when it arrived.
    pub(crate) entries: BTreeMap<SocketAddr, (Heartbeat, Time)>,
    /// Live entry hosts of the whole tier.
    pub(crate) hosts: Vec<Host>,
    pub(crate) hosts_digest: Digest,
    /// Absent until a list was read here or received from another voter.
    pub(crate) listing: Option<Listing>,
    /// When the running read of the list began.
    pub(crate) read_started: Option<Time>,
    /// Whether the newest list was read by this process.
    pub(crate) was_last_reader: bool,
    /// Pending proposals by number.
    pub(crate) pending: BTreeMap<u64, Pending>,
    /// Number of the last proposal.
    pub(crate) last_proposal: u64,
    /// When the last status was sent.
    pub(crate) last_status: Option<Time>,
    /// When a seat was last requested.
    pub(crate) last_seat_request: Option<Time>,
    /// Index of the process asked last for a seat, modulo the number of known ones.
    pub(crate) seat_request_index: usize,
    /// Start of the wait before the next [`Pending::Settle`]; absent if the accepted value is
    /// known to be chosen.
    pub(crate) unsettled_since: Option<Time>,
    /// Mode in the last log event.
    pub(crate) logged_mode: Option<Mode>,
    /// Whether this voter is in contact with a majority.
    pub(crate) quorum: bool,
    /// When that last changed.
    pub(crate) quorum_changed: Time,
    /// Voters' addresses as another process last reported them.
    pub(crate) reported_voters: Vec<SocketAddr>,
    /// Parts of requests under which servers ended, as the entry hosts reported them.
    pub(crate) ledger: Ledger,
    /// When others are to be told of changes of the ledger; absent without any.
    pub(crate) ledger_due: Option<Time>,
    /// Limits that replicas name and the demand for them, as the entry hosts reported them.
    pub(crate) limits: quota::Board,
    /// Evidence on rollouts in progress.
    pub(crate) steering: Steering,
    /// Measurements of replicas that differ from the norm.
    pub(crate) load: report::Board,
    /// When this process was last suspended.
    pub(crate) suspension: Suspension,
    /// Revision of the chosen state when that suspension ended.
    pub(crate) revision_before_suspension: u64,
    /// Confirmations of the chosen state by the other voters.
    pub(crate) confirmation: Confirmation,
    /// Whether the state is confirmed, by the last log event.
    pub(crate) logged_confirmed: bool,
    /// A newer revision that another voter knows to be chosen, and since when this voter lacks it.
    pub(crate) lacking: Option<Lacking>,
}

impl Controller {
    /// Restores a voter process from its stored records and returns its first actions.
    pub fn new(
        now: Time,
        mut settings: Settings,
        records: Vec<Record>,
    ) -> (Controller, Vec<Action>) {
        let mut out = Vec::new();
        let mut voter = open(now, &settings, &records);
        let own = settings
            .seeds
            .iter()
            .position(|seed| *seed == settings.address);
        if let Some(id) = own.filter(|_| settings.bootstrap && records.is_empty()) {
            let (id, count) = (id as Id, settings.voters);
            let records = Voter::bootstrap(id, count, settings.nonce, &settings.seeds);
            voter = Some(Voter::open(
                now,
                id,
                count.into(),
                settings.nonce,
                records.clone(),
            ));
            out.push(Action::Replace(records));
        }
        let voter = voter.map(|voter| voter.with_timing(STARTUP_TIMING));
        let assigned_seat = voter.as_ref().and_then(Voter::unused_seat);
        if let Some(seat) = &assigned_seat {
            // Goes on as the run that the seat was assigned to, which voted nowhere.
            settings.nonce = seat.incarnation.nonce;
        }
        let controller = Controller {
            written: voter.as_ref().map_or(0, Voter::written),
            confirmation: Confirmation::new(settings.address, settings.nonce),
            logged_confirmed: false,
            lacking: None,
            settings,
            voter,
            assigned_seat: assigned_seat.map(|seat| (seat, now)),
            chosen: None,
            peers: BTreeMap::new(),
            entries: BTreeMap::new(),
            hosts: Vec::new(),
            hosts_digest: digest_hosts(&[]),
            listing: None,
            read_started: None,
            was_last_reader: false,
            pending: BTreeMap::new(),
            last_proposal: 0,
            last_status: None,
            last_seat_request: None,
            seat_request_index: 0,
            unsettled_since: Some(now),
            logged_mode: None,
            quorum: false,
            quorum_changed: now,
            reported_voters: Vec::new(),
            ledger: Ledger::default(),
            ledger_due: None,
            limits: quota::Board::default(),
            steering: Steering::default(),
            load: report::Board::default(),
            suspension: Suspension::with_silence(SUSPENDED_MIN, now),
            revision_before_suspension: 0,
        };
        (controller, out)
    }

    /// The newest state known to be chosen.
    pub fn state(&self) -> Option<&Arc<State>> {
        self.chosen.as_ref()
    }

    /// Mode of the voter; absent while this process has no seat.
    pub fn mode(&self) -> Option<Mode> {
        self.voter.as_ref().map(Voter::mode)
    }

    /// Whether this voter is in contact with a majority.
    pub fn has_quorum(&self) -> bool {
        self.quorum
    }

    /// Number of live entry hosts in the tier.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Time since the list was read; absent if it never was.
    pub fn fleet_age(&self, now: Time) -> Option<Span> {
        self.listing
            .as_ref()
            .map(|listing| now.since(listing.read_at))
    }

    /// Returns records that restore the voter's whole state, for a snapshot.
    pub fn snapshot(&self) -> Vec<Record> {
        self.voter.as_ref().map(Voter::snapshot).unwrap_or_default()
    }

    /// Latest time of the next tick.
    pub fn next_timer(&self, now: Time) -> Time {
        let busy = !self.pending.is_empty() || self.mode() != Some(Mode::Voting);
        let tick = now.after(if busy { TICK_EVERY } else { TICK_IDLE });
        let status = self.last_status.unwrap_or(now).after(STATUS_EVERY);
        let tick = tick.min(status);
        self.ledger_due.map_or(tick, |due| due.min(tick))
    }

    /// Handles an event and returns its actions, to be carried out in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.notice_suspension(now);
        match event {
            Event::Message(from, message) => self.handle_message(now, from, *message, &mut out),
            Event::Synced(number) => {
                let actions = self.voter.as_mut().map(|voter| voter.synced(now, number));
                self.voter_actions(now, actions.unwrap_or_default(), &mut out);
            }
            Event::Command(id, command) => self.handle_command(now, id, command, &mut out),
            Event::ListRead(started, fleet) => self.finish_read(now, started, fleet, &mut out),
            Event::SeedsChanged(seeds) => self.settings.seeds = seeds,
            Event::Tick => self.tick(now, &mut out),
        }
        self.spread_ledger(now, &mut out);
        self.update_quorum(now, &mut out);
        out
    }

    /// Handles a message of another voter or an entry host.
    pub(crate) fn handle_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, heartbeat, out),
            Message::Voter(message) => {
                self.record_contact(now, from);
                if let voter::Body::Chosen(Key::Tier, ballot) = message.body {
                    return self.learn_ballot(now, from, ballot, out);
                }
                let actions = self.voter.as_mut().map(|voter| voter.receive(now, message));
                self.voter_actions(now, actions.unwrap_or_default(), out);
            }
            Message::Status(status) => self.handle_status(now, from, status, out),
            Message::WantState(revision) => {
                let newer = self.chosen.iter().filter(|s| s.revision > revision);
                out.extend(newer.map(|state| Action::Send(from, Message::Chosen(state.clone()))));
            }
            Message::Chosen(state) => self.learn_chosen(now, state, out),
            Message::WantFleet => {
                let fleet = self.listing.iter().map(|listing| {
                    Action::Send(from, self.fleet_message(listing, listing.read_at, now))
                });
                out.extend(fleet);
            }
            Message::Fleet(fleet, age, versions) => {
                let fleet = Arc::unwrap_or_clone(fleet).with_versions(versions.0);
                let fleet = Arc::new(fleet);
                let read = Time::from_us(now.as_us().saturating_sub(age.as_us()));
                self.learn_fleet(now, fleet, read, out);
            }
            Message::RequestSeat(nonce) => self.propose_seat(now, from, nonce, out),
            Message::Seated(seat) => self.take_seat(now, seat, out),
            Message::WantVoters => {
                out.push(Action::Send(from, Message::Voters(self.voters())));
            }
            Message::Voters(voters) => self.reported_voters = voters,
            Message::Feed(_) | Message::Branch(_) => {}
        }
    }

    /// Records that the voter at an address is reachable.
    pub(crate) fn record_contact(&mut self, now: Time, from: SocketAddr) {
        match self.peers.get_mut(&from) {
            Some(peer) => peer.last_heard = now,
            None => drop(self.peers.insert(from, Peer::silent_since(now))),
        }
    }

    /// Whether an address is this process's own, or its process sent a message within the last
    /// `silence`.
    pub(crate) fn is_responsive(&self, now: Time, address: SocketAddr, silence: Span) -> bool {
        let last_heard = self.peers.get(&address).map(|peer| peer.last_heard);
        address == self.settings.address || last_heard.is_some_and(|at| now.since(at) < silence)
    }

    /// Adopts a chosen state if it is newer and pushes it to the entry hosts.
    pub(crate) fn learn_chosen(&mut self, now: Time, state: Arc<State>, out: &mut Vec<Action>) {
        let known = self.chosen.as_ref();
        if known.is_some_and(|known| known.revision >= state.revision) {
            return;
        }
        out.push(Action::Note(Note::Chosen {
            revision: state.revision,
            version: state.version,
            closed: state.closed.len(),
        }));
        self.chosen = Some(state.clone());
        self.lacking = self
            .lacking
            .filter(|lacking| lacking.revision > state.revision);
        self.observe_seats(now, &state.seats, out);
        self.push_feeds(now, out);
    }

    /// Tells all other voters of a chosen state. Those that may have accepted it are told its ballot only;
    /// one that has not asks for the state.
    fn share_chosen(&self, state: &Arc<State>, out: &mut Vec<Action>) {
        let accepted = self
            .voter
            .as_ref()
            .and_then(|voter| Some((voter, voter.accepted_ballot(&Key::Tier)?)));
        let announced = accepted.and_then(|(voter, (ballot, value))| match value {
            Value::Tier(own) if own == state => Some((voter, *ballot)),
            _ => None,
        });
        for (incarnation, id) in self.incarnations().iter().zip(0..) {
            let own = self.settings.address;
            let Some(address) = incarnation.address.filter(|address| *address != own) else {
                continue;
            };
            let message = match announced {
                Some((voter, ballot)) if voter.knows_hints(id) => {
                    Message::Voter(voter.announce_chosen(Key::Tier, ballot))
                }
                _ => Message::Chosen(state.clone()),
            };
            out.push(Action::Send(address, message));
        }
    }

    /// Adopts the state that this voter accepted with a ballot, which is chosen, or asks for it.
    fn learn_ballot(&mut self, now: Time, from: SocketAddr, ballot: Ballot, out: &mut Vec<Action>) {
        let accepted = self
            .voter
            .as_ref()
            .and_then(|voter| voter.accepted_ballot(&Key::Tier));
        match accepted {
            Some((accepted, Value::Tier(state))) if *accepted == ballot => {
                let state = state.clone();
                self.learn_chosen(now, state, out);
            }
            Some((accepted, _)) if *accepted > ballot => {}
            _ => {
                let revision = self.chosen.as_ref().map_or(0, |state| state.revision);
                out.push(Action::Send(from, Message::WantState(revision)));
            }
        }
    }

    /// Sends a message to all other voters.
    pub(crate) fn broadcast(&self, message: &Message, out: &mut Vec<Action>) {
        let others = self.voters().into_iter();
        let others = others.filter(|address| *address != self.settings.address);
        out.extend(others.map(|address| Action::Send(address, message.clone())));
    }

    /// Proposes a read or a change of the state; without a voter it ends as unknown at once.
    pub(crate) fn propose(
        &mut self,
        now: Time,
        pending: Pending,
        change: Change,
        out: &mut Vec<Action>,
    ) {
        self.last_proposal += 1;
        let id = self.last_proposal;
        self.pending.insert(id, pending);
        let actions = match &mut self.voter {
            Some(voter) => voter.propose(now, id, Key::Tier, change),
            None => vec![voter::Action::Decided(id, register::Decision::Unknown)],
        };
        self.voter_actions(now, actions, out);
    }

    /// Carries out the voter's actions. Messages to voters without a known address are
    /// dropped.
    pub(crate) fn voter_actions(
        &mut self,
        now: Time,
        actions: Vec<voter::Action>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                voter::Action::Persist(number, record) => {
                    out.push(Action::Persist(number, record));
                }
                voter::Action::Send(to, message) => {
                    let incarnation = self.incarnations().get(usize::from(to)).copied();
                    if let Some(address) = incarnation.and_then(|incarnation| incarnation.address) {
                        out.push(Action::Send(address, Message::Voter(message)));
                    }
                }
                voter::Action::Decided(id, decision) => {
                    self.handle_decision(now, id, decision, out)
                }
            }
        }
    }

    /// Adopts a decided state, shares it if it is newer, and answers the proposal.
    pub(crate) fn handle_decision(
        &mut self,
        now: Time,
        id: u64,
        decision: register::Decision,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let state = match &decision {
            register::Decision::Tier(state, _)
            | register::Decision::Value(Some(Value::Tier(state))) => state.clone(),
            register::Decision::Value(None) => Arc::default(),
            _ => return self.answer_unknown(pending, out),
        };
        let is_newer = self.chosen.as_ref().map(|known| known.revision) < Some(state.revision);
        self.learn_chosen(now, state.clone(), out);
        if is_newer {
            self.share_chosen(&state, out);
        }
        let verdict = match decision {
            register::Decision::Tier(_, verdict) => Some(verdict),
            _ => None,
        };
        match (pending, verdict) {
            (pending @ Pending::Command { .. }, Some(Verdict::Overtaken)) => {
                self.handle_overtaken(now, pending, state.revision, out);
            }
            (Pending::Command { id, .. }, Some(verdict)) => {
                out.push(Action::Answer(id, Outcome::Done(verdict)));
            }
            (Pending::Command { id, .. }, None) => {
                out.push(Action::Answer(id, Outcome::State(state)));
            }
            (Pending::SeatRequest(address), Some(Verdict::Seated(seat))) => {
                out.push(Action::Send(address, Message::Seated(seat)));
            }
            (Pending::SeatRequest(_) | Pending::Settle | Pending::Rollout(_), _) => {}
        }
    }

    /// Runs everything that is due.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let actions = self.voter.as_mut().map(|voter| voter.tick(now));
        self.voter_actions(now, actions.unwrap_or_default(), out);
        self.expire_commands(now, out);
        self.settle(now, out);
        if self.should_read(now) {
            self.read_started = Some(now);
            out.push(Action::ReadList(now));
        }
        if self
            .last_status
            .is_none_or(|at| now.since(at) >= STATUS_EVERY)
        {
            self.last_status = Some(now);
            self.update_hosts(now, out);
            self.update_confirmation(now);
            self.send_status(now, out);
            self.request_state(out);
        }
        self.request_seat(now, out);
        self.steer_rollouts(now, out);
    }

    /// Proposes a read if this voter accepted a state that is not known to be chosen, or knows
    /// no chosen state, so that the group decides. Waits first, without [`SETTLE_DELAY`] if no
    /// chosen state is known.
    pub(crate) fn settle(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(voter) = self.voter.as_ref().filter(|v| v.mode() == Mode::Voting) else {
            self.unsettled_since = Some(now);
            return;
        };
        let accepted = accepted_revision(voter);
        let chosen = self.chosen.as_ref().map(|state| state.revision);
        if chosen.is_some() && chosen >= accepted {
            self.unsettled_since = None;
            return;
        }
        let since = *self.unsettled_since.get_or_insert(now);
        let first = if chosen.is_none() {
            Span::ZERO
        } else {
            SETTLE_DELAY
        };
        let wait = first.plus_steps(SETTLE_STEP, voter.id());
        let is_pending = |pending: &Pending| matches!(pending, Pending::Settle);
        if now.since(since) < wait || self.pending.values().any(is_pending) {
            return;
        }
        self.unsettled_since = Some(now);
        self.propose(now, Pending::Settle, Change::Read, out);
    }

    /// Updates whether this voter is in contact with a majority, and the highest number of a
    /// written record. Logs a change of that contact, of the confirmation or of the voter's mode. After a change of
    /// the mode the next tick sends a status.
    pub(crate) fn update_quorum(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Some(voter) = &self.voter {
            self.written = self.written.max(voter.written());
        }
        let mode = self.mode();
        if mode != self.logged_mode {
            self.logged_mode = mode;
            let name = mode.map_or("no voter".to_owned(), |mode| mode.to_string());
            out.push(Action::Note(Note::Mode(name)));
            self.last_status = None;
        }
        let incarnations = self.incarnations();
        let addresses = incarnations
            .iter()
            .filter_map(|incarnation| incarnation.address);
        let own = self.settings.address;
        let votes = |address: &SocketAddr| self.peers.get(address).is_some_and(|peer| peer.voting);
        let voting = addresses.filter(|address| *address == own || votes(address));
        let voting = voting.filter(|address| self.is_responsive(now, *address, PEER_TIMEOUT));
        let majority = usize::from(self.settings.voters) / 2 + 1;
        let quorum = voting.count() >= majority && mode == Some(Mode::Voting);
        if quorum != self.quorum {
            self.quorum = quorum;
            self.quorum_changed = now;
            out.push(Action::Note(Note::Quorum(quorum)));
        }
        let confirmed = self.is_confirmed(now);
        if confirmed != self.logged_confirmed {
            self.logged_confirmed = confirmed;
            out.push(Action::Note(Note::Confirmed(confirmed)));
        }
    }
}

/// The state that a voter last accepted, whether chosen or not.
pub(crate) fn accepted_state(voter: &Voter) -> Option<&State> {
    match voter.accepted(&Key::Tier) {
        Some(Value::Tier(state)) => Some(state),
        _ => None,
    }
}

/// Its revision.
pub(crate) fn accepted_revision(voter: &Voter) -> Option<u64> {
    accepted_state(voter).map(|state| state.revision)
}

/// Restores the voter from its records; returns none if they assign no seat.
fn open(now: Time, settings: &Settings, records: &[Record]) -> Option<Voter> {
    let seat = records.iter().find_map(|record| match record {
        Record::Seat(id, count) => Some((*id, *count)),
        _ => None,
    });
    let (id, count) = seat?;
    Some(Voter::open(
        now,
        id,
        count.into(),
        settings.nonce,
        records.to_vec(),
    ))
}
