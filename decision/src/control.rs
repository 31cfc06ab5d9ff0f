//! The voter role of a tier with discovered hosts: keeps the replicated state,
//! reads the platform's list of replicas, and feeds the entry hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::feed::Beat;
use crate::feed::Message;
use crate::feed::digest_of;
use crate::fleet::Fleet;
use crate::plan::Host;
use crate::register::Change;
use crate::register::Decision;
use crate::register::Key;
use crate::register::Value;
use crate::repair::Timing;
use crate::tier;
use crate::tier::State;
use crate::tier::Verdict;
use crate::voter;
use crate::voter::Id;
use crate::voter::Mode;
use crate::voter::Place;
use crate::voter::Record;
use crate::voter::Voter;

/// Waits of a voter that starts: the processes of a tier are started together,
/// and callers wait for them.
pub(crate) const START: Timing = Timing {
    check_max: Span::from_ms(120),
    retry_every: Span::from_ms(50),
};

/// Time between two pulses to the other voters.
const PULSE_EVERY: Span = Span::from_ms(250);

/// Silence after which a voter counts as out of touch.
pub(crate) const PEER_SILENT: Span = Span::from_ms(900);

/// Wait before an accepted value that may not be chosen is settled.
const SETTLE_AFTER: Span = Span::from_ms(40);

/// Further wait for each voter before this one, so that they don't collide.
const SETTLE_STEP: Span = Span::from_ms(60);

/// Longest time for an operator's read of the configuration.
const ORDER_READ_MAX: Span = Span::from_ms(900);

/// Longest time for an operator's change.
const ORDER_CHANGE_MAX: Span = Span::from_ms(2_500);

/// Time between two ticks.
const TICK_EVERY: Span = Span::from_ms(25);

/// Time between two ticks while nothing is under way.
const TICK_IDLE: Span = Span::from_ms(125);

/// What a voter process is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Where the first voters are.
    pub seeds: Vec<SocketAddr>,
    /// Whether the group starts for the first time.
    pub found: bool,
    /// Voters of the group.
    pub voters: u8,
    /// Time between two reads of the list.
    pub read_every: Span,
    /// Random number of this run.
    pub nonce: u64,
}

/// An operator's order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Read the newest configuration.
    Read,
    /// Make a change.
    Change(tier::Change),
}

/// What an operator is answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The newest state.
    State(Arc<State>),
    /// A change is in the state, or a newer one is.
    Done(Verdict),
    /// No majority decided in time.
    Unknown,
}

/// An input.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message of a process at this address.
    Message(SocketAddr, Message),
    /// Records up to this number are synced.
    Synced(u64),
    /// An operator's order, by number.
    Order(u64, Order),
    /// The list was read, or could not be.
    Listed(Option<Fleet>),
    /// Other addresses to begin with.
    Reseed(Vec<SocketAddr>),
    /// Time passes.
    Tick,
}

/// Something to be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The voter's mode changed.
    Mode(String),
    /// A majority was reached, or lost.
    Quorum(bool),
    /// A state was learned to be chosen.
    Chosen {
        /// Its revision.
        revision: u64,
        /// Version of its configuration.
        version: u64,
        /// Failure domains out of service.
        closed: usize,
    },
    /// The fleet changed.
    Fleet {
        /// Replicas listed.
        replicas: usize,
        /// Time since it was read.
        age: Span,
    },
    /// The list could not be read.
    ListFailed,
    /// This process was given a voter's place.
    Seated(Id),
    /// The entry hosts in touch changed.
    Entries(usize),
}

/// An effect.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send(SocketAddr, Message),
    /// Append and sync a record, then report its number.
    Persist(u64, Record),
    /// Replace all stored records.
    Replace(Vec<Record>),
    /// Answer an operator.
    Answer(u64, Outcome),
    /// Read the list.
    Read,
    /// Log.
    Note(Note),
}

#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) heard: Time,
    pub(crate) voting: bool,
    pub(crate) entries: Vec<Host>,
    pub(crate) failing: u32,
}

impl Peer {
    /// A peer of which nothing is known but since when it is waited for.
    pub(crate) fn unheard(now: Time) -> Peer {
        Peer {
            heard: now,
            voting: false,
            entries: Vec::new(),
            failing: 0,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Ticket {
    Order {
        id: u64,
        order: Order,
        started: Time,
    },
    Settle,
    Join(SocketAddr),
}

#[derive(Clone, Debug)]
pub(crate) struct Listing {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) digest: Digest,
    pub(crate) read: Time,
}

/// A voter process.
#[derive(Debug)]
pub struct Control {
    pub(crate) settings: Settings,
    pub(crate) voter: Option<Voter>,
    pub(crate) written: u64,
    pub(crate) place: Option<(Place, Time)>,
    pub(crate) chosen: Option<Arc<State>>,
    pub(crate) peers: BTreeMap<SocketAddr, Peer>,
    pub(crate) entries: BTreeMap<SocketAddr, (Beat, Time)>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) hosts_digest: Digest,
    pub(crate) listing: Option<Listing>,
    pub(crate) reading: Option<Time>,
    pub(crate) read_last: bool,
    pub(crate) tickets: BTreeMap<u64, Ticket>,
    pub(crate) last: u64,
    pub(crate) pulsed: Option<Time>,
    pub(crate) joined: Option<Time>,
    pub(crate) join_at: usize,
    pub(crate) unsettled: Option<Time>,
    pub(crate) mode: Option<Mode>,
    pub(crate) quorum: bool,
    pub(crate) heard_voters: Vec<SocketAddr>,
}

impl Control {
    /// A voter process with its stored records, and the first effects.
    pub fn new(now: Time, settings: Settings, records: Vec<Record>) -> (Control, Vec<Action>) {
        let mut out = Vec::new();
        let mut voter = open(now, &settings, &records);
        let own = settings
            .seeds
            .iter()
            .position(|seed| *seed == settings.address);
        if let Some(id) = own.filter(|_| settings.found && records.is_empty()) {
            let (id, count) = (id as Id, settings.voters);
            let records = Voter::found(id, count, settings.nonce, &settings.seeds);
            voter = Some(Voter::open(
                now,
                id,
                count.into(),
                settings.nonce,
                records.clone(),
            ));
            out.push(Action::Replace(records));
        }
        let voter = voter.map(|voter| voter.with_timing(START));
        let control = Control {
            written: voter.as_ref().map_or(0, Voter::written),
            settings,
            voter,
            place: None,
            chosen: None,
            peers: BTreeMap::new(),
            entries: BTreeMap::new(),
            hosts: Vec::new(),
            hosts_digest: digest_of(&[]),
            listing: None,
            reading: None,
            read_last: false,
            tickets: BTreeMap::new(),
            last: 0,
            pulsed: None,
            joined: None,
            join_at: 0,
            unsettled: Some(now),
            mode: None,
            quorum: false,
            heard_voters: Vec::new(),
        };
        (control, out)
    }

    /// The newest state known to be chosen.
    pub fn state(&self) -> Option<&Arc<State>> {
        self.chosen.as_ref()
    }

    /// The voter's mode; none while this process is no voter.
    pub fn mode(&self) -> Option<Mode> {
        self.voter.as_ref().map(Voter::mode)
    }

    /// Whether this voter is in touch with a majority.
    pub fn has_quorum(&self) -> bool {
        self.quorum
    }

    /// Entry hosts heard lately by any voter.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Time since the list was read.
    pub fn fleet_age(&self, now: Time) -> Option<Span> {
        self.listing.as_ref().map(|listing| now.since(listing.read))
    }

    /// Records that give the voter's whole state, for a snapshot.
    pub fn snapshot(&self) -> Vec<Record> {
        self.voter.as_ref().map(Voter::snapshot).unwrap_or_default()
    }

    /// When the next tick is due at the latest.
    pub fn next_timer(&self, now: Time) -> Time {
        let busy = !self.tickets.is_empty() || self.mode() != Some(Mode::Voting);
        now.after(if busy { TICK_EVERY } else { TICK_IDLE })
    }

    /// Takes an event and returns its effects in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Message(from, message) => self.message(now, from, message, &mut out),
            Event::Synced(number) => {
                let actions = self.voter.as_mut().map(|voter| voter.synced(now, number));
                self.voter_actions(now, actions.unwrap_or_default(), &mut out);
            }
            Event::Order(id, order) => self.order(now, id, order, &mut out),
            Event::Listed(fleet) => self.listed(now, fleet, &mut out),
            Event::Reseed(seeds) => self.settings.seeds = seeds,
            Event::Tick => self.tick(now, &mut out),
        }
        self.review(now, &mut out);
        out
    }

    pub(crate) fn message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Beat(beat) => self.beat(now, from, beat, out),
            Message::Voter(letter) => {
                self.hear(now, from);
                let actions = self.voter.as_mut().map(|voter| voter.receive(now, letter));
                self.voter_actions(now, actions.unwrap_or_default(), out);
            }
            Message::Pulse(pulse) => self.pulse(now, from, pulse, out),
            Message::WantState(revision) => {
                let newer = self.chosen.iter().filter(|s| s.revision > revision);
                out.extend(newer.map(|state| Action::Send(from, Message::Chosen(state.clone()))));
            }
            Message::Chosen(state) => self.choose(now, state, out),
            Message::WantFleet => {
                let fleet = self.listing.iter().map(|listing| {
                    let age = now.since(listing.read);
                    Action::Send(from, Message::Fleet(listing.fleet.clone(), age))
                });
                out.extend(fleet);
            }
            Message::Fleet(fleet, age) => {
                let read = Time::from_us(now.as_us().saturating_sub(age.as_us()));
                self.learn_fleet(now, fleet, read, out);
            }
            Message::Join(nonce) => self.claim(now, from, nonce, out),
            Message::Seated(place) => self.seated(now, place, out),
            Message::WantVoters => {
                out.push(Action::Send(from, Message::Voters(self.voters())));
            }
            Message::Voters(voters) => self.heard_voters = voters,
            Message::Feed(_) | Message::Branch(_) => {}
        }
    }

    pub(crate) fn hear(&mut self, now: Time, from: SocketAddr) {
        match self.peers.get_mut(&from) {
            Some(peer) => peer.heard = now,
            None => drop(self.peers.insert(from, Peer::unheard(now))),
        }
    }

    pub(crate) fn is_heard(&self, now: Time, address: SocketAddr, silence: Span) -> bool {
        let heard = self.peers.get(&address).map(|peer| peer.heard);
        address == self.settings.address || heard.is_some_and(|at| now.since(at) < silence)
    }

    pub(crate) fn choose(&mut self, now: Time, state: Arc<State>, out: &mut Vec<Action>) {
        let known = self.chosen.as_ref();
        if known.is_some_and(|known| known.revision >= state.revision) {
            return;
        }
        out.push(Action::Note(Note::Chosen {
            revision: state.revision,
            version: state.version,
            closed: state.closed.len(),
        }));
        self.chosen = Some(state);
        self.feed_all(now, out);
    }

    pub(crate) fn broadcast(&self, message: &Message, out: &mut Vec<Action>) {
        let others = self.voters().into_iter();
        let others = others.filter(|address| *address != self.settings.address);
        out.extend(others.map(|address| Action::Send(address, message.clone())));
    }

    pub(crate) fn order(&mut self, now: Time, id: u64, order: Order, out: &mut Vec<Action>) {
        let change = match &order {
            Order::Read => Change::Read,
            Order::Change(change) => Change::Tier(change.clone()),
        };
        let ticket = Ticket::Order {
            id,
            order,
            started: now,
        };
        self.propose(now, ticket, change, out);
    }

    pub(crate) fn propose(
        &mut self,
        now: Time,
        ticket: Ticket,
        change: Change,
        out: &mut Vec<Action>,
    ) {
        self.last += 1;
        let id = self.last;
        self.tickets.insert(id, ticket);
        let actions = match &mut self.voter {
            Some(voter) => voter.propose(now, id, Key::Tier, change),
            None => vec![voter::Action::Decided(id, Decision::Unknown)],
        };
        self.voter_actions(now, actions, out);
    }

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
                voter::Action::Send(to, letter) => {
                    let life = self.lives().get(usize::from(to)).copied();
                    if let Some(address) = life.and_then(|life| life.address) {
                        out.push(Action::Send(address, Message::Voter(letter)));
                    }
                }
                voter::Action::Decided(id, decision) => self.decided(now, id, decision, out),
            }
        }
    }

    pub(crate) fn decided(
        &mut self,
        now: Time,
        id: u64,
        decision: Decision,
        out: &mut Vec<Action>,
    ) {
        let Some(ticket) = self.tickets.remove(&id) else {
            return;
        };
        let state = match &decision {
            Decision::Tier(state, _) | Decision::Value(Some(Value::Tier(state))) => state.clone(),
            Decision::Value(None) => Arc::default(),
            _ => return self.undecided(ticket, out),
        };
        let news = self.chosen.as_ref().map(|known| known.revision) < Some(state.revision);
        self.choose(now, state.clone(), out);
        if news {
            self.broadcast(&Message::Chosen(state.clone()), out);
        }
        let verdict = match decision {
            Decision::Tier(_, verdict) => Some(verdict),
            _ => None,
        };
        match (ticket, verdict) {
            (Ticket::Order { id, .. }, Some(verdict)) => {
                out.push(Action::Answer(id, Outcome::Done(verdict)));
            }
            (Ticket::Order { id, .. }, None) => {
                out.push(Action::Answer(id, Outcome::State(state)));
            }
            (Ticket::Join(address), Some(Verdict::Seated(place))) => {
                out.push(Action::Send(address, Message::Seated(place)));
            }
            (Ticket::Join(_) | Ticket::Settle, _) => {}
        }
    }

    pub(crate) fn undecided(&mut self, ticket: Ticket, out: &mut Vec<Action>) {
        if let Ticket::Order { id, .. } = ticket {
            out.push(Action::Answer(id, Outcome::Unknown));
        }
    }

    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let actions = self.voter.as_mut().map(|voter| voter.tick(now));
        self.voter_actions(now, actions.unwrap_or_default(), out);
        self.expire_orders(now, out);
        self.settle(now, out);
        if self.should_read(now) {
            self.reading = Some(now);
            out.push(Action::Read);
        }
        if self.pulsed.is_none_or(|at| now.since(at) >= PULSE_EVERY) {
            self.pulsed = Some(now);
            self.count_hosts(now, out);
            self.send_pulse(now, out);
        }
        self.ask_for_place(now, out);
    }

    pub(crate) fn expire_orders(&mut self, now: Time, out: &mut Vec<Action>) {
        let late = |ticket: &Ticket| match ticket {
            Ticket::Order { order, started, .. } => {
                let limit = match order {
                    Order::Read => ORDER_READ_MAX,
                    Order::Change(_) => ORDER_CHANGE_MAX,
                };
                now.since(*started) >= limit
            }
            Ticket::Settle | Ticket::Join(_) => false,
        };
        let due = self.tickets.iter().filter(|(_, ticket)| late(ticket));
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(ticket) = self.tickets.remove(&id) {
                self.undecided(ticket, out);
            }
        }
    }

    /// Settles a value that was accepted here and isn't known to be chosen.
    pub(crate) fn settle(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(voter) = self.voter.as_ref().filter(|v| v.mode() == Mode::Voting) else {
            self.unsettled = Some(now);
            return;
        };
        let accepted = match voter.accepted(&Key::Tier) {
            Some(Value::Tier(state)) => Some(state.revision),
            _ => None,
        };
        let chosen = self.chosen.as_ref().map(|state| state.revision);
        if chosen.is_some() && chosen >= accepted {
            self.unsettled = None;
            return;
        }
        let since = *self.unsettled.get_or_insert(now);
        let first = if chosen.is_none() {
            Span::ZERO
        } else {
            SETTLE_AFTER
        };
        let wait = first.plus_steps(SETTLE_STEP, voter.id());
        let under_way = |ticket: &Ticket| matches!(ticket, Ticket::Settle);
        if now.since(since) < wait || self.tickets.values().any(under_way) {
            return;
        }
        self.unsettled = Some(now);
        self.propose(now, Ticket::Settle, Change::Read, out);
    }

    /// Draws the consequences of what was heard.
    pub(crate) fn review(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Some(voter) = &self.voter {
            self.written = self.written.max(voter.written());
        }
        let mode = self.mode();
        if mode != self.mode {
            self.mode = mode;
            let name = mode.map_or("no voter".to_owned(), |mode| mode.to_string());
            out.push(Action::Note(Note::Mode(name)));
            self.pulsed = None;
        }
        let heard = self.lives();
        let heard = heard.iter().filter_map(|life| life.address);
        let own = self.settings.address;
        let votes = |address: &SocketAddr| self.peers.get(address).is_some_and(|peer| peer.voting);
        let heard = heard.filter(|address| *address == own || votes(address));
        let heard = heard.filter(|address| self.is_heard(now, *address, PEER_SILENT));
        let majority = usize::from(self.settings.voters) / 2 + 1;
        let quorum = heard.count() >= majority && mode == Some(Mode::Voting);
        if quorum != self.quorum {
            self.quorum = quorum;
            out.push(Action::Note(Note::Quorum(quorum)));
        }
    }
}

/// The voter whose records these are, if they hold its place.
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
