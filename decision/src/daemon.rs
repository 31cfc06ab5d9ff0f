//! The whole daemon as one state machine: entry, owner and voter roles with the
//! lease and the membership that bind them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::earlier::Earlier;
use crate::entry;
use crate::entry::Entry;
use crate::exchange::Call;
use crate::exchange::Exchange;
use crate::gate::Health;
use crate::gate::Ticket;
use crate::lease;
use crate::lease::Confirm;
use crate::lease::Lease;
use crate::lease::Poll;
use crate::manifest::Limits;
use crate::manifest::Manifest;
use crate::manifest::Service;
use crate::name::Name;
use crate::owner;
use crate::owner::Owner;
use crate::placement;
use crate::placement::Candidate;
use crate::placement::Spread;
use crate::query::Reply;
use crate::read;
use crate::register::Change;
use crate::register::Decision;
use crate::register::Key;
use crate::register::Value;
use crate::request::Batch;
use crate::request::Cause;
use crate::request::Outcome;
use crate::request::Ran;
use crate::request::Request;
use crate::roster::Member;
use crate::roster::Roster;
use crate::suspect::Judge;
use crate::suspect::Ruling;
use crate::suspect::Standing;
use crate::suspect::Table;
use crate::voter;
use crate::voter::Letter;
use crate::voter::Voter;

/// Time after which a proposal is tried at another voter.
const PROPOSAL_TRY: Span = Span::from_ms(700);

/// Wait after a voter that could not decide.
const PROPOSAL_AGAIN: Span = Span::from_ms(50);

/// Time after which a proposal is given up.
const PROPOSAL_MAX: Span = Span::from_secs(3);

/// Time between two fetches of the operators' file.
const FETCH_EVERY: Span = Span::from_ms(300);

/// When a caller refused for a lapsed lease is told to come back.
const RETRY_STALE: Span = Span::from_secs(1);

/// Who sends work to backend servers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Dispatch {
    /// The one daemon that owns all replicas of the shard, under their full limits.
    #[default]
    #[display("owner")]
    Owner,
    /// The one daemon that owns the replica; a shard's replicas have different
    /// owners. Kept as a baseline.
    #[display("apart")]
    Apart,
    /// Every daemon, each under its part of the limits; kept as a baseline.
    #[display("direct")]
    Direct,
}

/// Who a daemon is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Identity {
    /// Its host.
    pub host: Name,
    /// Its host's failure domain.
    pub domain: Name,
    /// Random number of this run.
    pub boot: u64,
    /// Where peers and operators reach it; none where it isn't polled for.
    pub addresses: Option<Addresses>,
    /// The voters by host, with their addresses.
    pub voters: BTreeMap<Name, SocketAddr>,
    /// Who sends work to backend servers.
    pub dispatch: Dispatch,
}

/// Addresses of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// For peers, TCP and UDP.
    pub peer: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// A message between daemons over a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Sub-requests for replicas of the receiver.
    Ask(Batch),
    /// Withdraws a sub-request.
    Cancel(u64),
    /// What became of a sub-request.
    Reply(u64, SocketAddr, Outcome),
    /// The state of a replica of the sender.
    Hint(SocketAddr, Health, Option<Name>),
    /// What is known of a request that may stop servers.
    Standing(Digest, Standing),
    /// Asks for leave to run a query of the sender as a canary.
    Judge(u64, Digest),
    /// The ruling on it.
    Ruling(u64, Ruling),
    /// A canary ended without showing anything.
    Untried(Digest),
    /// Asks nothing; a refused connection tells that a daemon has ended.
    Probe,
    /// Nothing of the sender's run, by its boot number, is left at a replica.
    Yield(SocketAddr, u64),
    /// Between voters.
    Voter(Letter),
    /// Has the receiving voter decide a change.
    Propose(u64, Key, Change),
    /// The decision.
    Decided(u64, Decision),
}

/// A datagram between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// To a voter.
    Poll(Poll),
    /// From a voter.
    Confirm(Confirm),
}

/// An input of the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A caller's request.
    Request(u64, Arc<Request>),
    /// A message of another daemon.
    Message(Name, Message),
    /// The connection to or from another daemon broke.
    Lost(Name),
    /// A connection from another daemon opened.
    Joined(Name),
    /// Another daemon's host refused a connection: its process has ended.
    Refused(Name),
    /// A message could not be sent, and no byte of it was.
    Unsent(Name, Message),
    /// A datagram.
    Datagram(SocketAddr, Datagram),
    /// The end of a call to a backend server.
    Exchange(Ticket, Exchange),
    /// Records up to this number are synced.
    Synced(u64),
    /// The disk failed.
    DiskFailed,
    /// An operator's file.
    Apply(u64, Arc<str>),
    /// A caller went away.
    Abandoned(u64),
    /// A planned stop.
    Stop,
    /// Time passes.
    Tick,
}

/// Something to be logged.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Note {
    /// The lease was gained.
    #[display("lease gained")]
    LeaseGained,
    /// The lease lapsed.
    #[display("lease lapsed")]
    LeaseLapsed,
    /// A file is in force.
    #[display("file {_0} in force")]
    InForce(u64),
    /// An accepted file can't be read by this daemon.
    #[display("file {_0} not understood")]
    NotUnderstood(u64),
    /// A replica's state changed.
    #[display("replica {_0} {_1}")]
    Replica(SocketAddr, Health),
    /// A request's standing changed.
    #[display("request {_0} {_1}")]
    Standing(Digest, Standing),
    /// The voter's mode changed.
    #[display("voter {_0}")]
    Voter(String),
    /// The daemons alive changed.
    #[display("members {_0}")]
    Members(String),
}

/// An effect of the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answer a caller.
    Reply(u64, Reply),
    /// Send a message to a daemon at an address.
    Message(Name, SocketAddr, Message),
    /// Send a datagram.
    Datagram(SocketAddr, Datagram),
    /// Call a backend server.
    Call(Call),
    /// Give up a call.
    Abort(Ticket),
    /// Close the connections to a backend server.
    Release(SocketAddr),
    /// Append and sync a record.
    Persist(u64, voter::Record),
    /// Answer an operator.
    Applied(u64, Decision),
    /// Log.
    Note(Note),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Origin {
    Query(u64),
    Operator(u64),
    Fetch,
    Remote(Name, u64),
}

#[derive(Clone, Debug)]
struct Proposal {
    origin: Origin,
    key: Key,
    change: Change,
    tries: usize,
    retry_at: Time,
    started: Time,
}

/// The daemon's state.
#[derive(Debug)]
pub struct Daemon {
    me: Identity,
    manifest: Arc<Manifest>,
    text: Arc<str>,
    /// The entry role.
    pub entry: Entry,
    /// The owner role.
    pub owner: Owner,
    voter: Option<Voter>,
    voters: Vec<Name>,
    roster: Roster,
    lease: Lease,
    table: Table,
    judge: Judge,
    members: Vec<Member>,
    candidates: Vec<Candidate>,
    earlier: Earlier,
    proposals: BTreeMap<u64, Proposal>,
    last: u64,
    polled: Option<Time>,
    fetched: Option<Time>,
    leased: bool,
    leaving: bool,
    mode: Option<voter::Mode>,
}

impl Daemon {
    /// A daemon; `records` holds a voter's stored state, or none for no voter.
    pub fn new(now: Time, me: Identity, records: Option<Vec<voter::Record>>) -> Daemon {
        let voters = me.voters.keys().cloned().collect::<Vec<_>>();
        let position = voters.iter().position(|voter| *voter == me.host);
        let voter = position.zip(records).map(|(position, records)| {
            Voter::open(now, position as voter::Id, voters.len(), me.boot, records)
        });
        Daemon {
            manifest: Arc::default(),
            text: "".into(),
            entry: Entry::new(me.boot),
            owner: Owner::default(),
            mode: voter.as_ref().map(Voter::mode),
            voter,
            lease: Lease::new(voters.len()),
            voters,
            roster: Roster::new(now),
            table: Table::default(),
            judge: Judge::default(),
            members: Vec::new(),
            candidates: Vec::new(),
            earlier: Earlier::default(),
            proposals: BTreeMap::new(),
            last: 0,
            polled: None,
            fetched: None,
            leased: false,
            leaving: false,
            me,
        }
    }

    /// The file in force.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// The daemons alive.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The voter role, if this daemon has it.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// The voters heard lately, and whether each may vote.
    pub fn voters(&self, now: Time) -> Vec<(Name, bool)> {
        self.lease.voters(now)
    }

    /// Whether the newest file is confirmed.
    pub fn is_leased(&self) -> bool {
        self.leased
    }

    /// Whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        let in_service = self.manifest.may_own(&self.me.host, &self.me.domain);
        self.leased && !self.leaving && in_service
    }

    /// Whether nothing is left to finish before a planned stop.
    pub fn is_idle(&self) -> bool {
        self.entry.load() == 0 && self.owner.load() == 0
    }

    /// What is known of requests that stop servers.
    pub fn suspects(&self, now: Time) -> Vec<(Digest, Standing)> {
        self.table.all(now)
    }

    /// Takes an event and returns its effects in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Request(id, request) => self.request(now, id, request, &mut out),
            Event::Message(from, message) => self.message(now, from, message, &mut out),
            Event::Lost(host) => self.lost(now, &host, &mut out),
            Event::Joined(host) => self.joined(now, &host, &mut out),
            Event::Refused(host) => self.roster.end(&host),
            Event::Unsent(host, message) => self.unsent(now, host, message, &mut out),
            Event::Datagram(from, datagram) => self.datagram(now, from, datagram, &mut out),
            Event::Exchange(ticket, exchange) => {
                let actions = self.owner.done(now, ticket, exchange);
                self.owner_actions(now, actions, &mut out);
            }
            Event::Synced(number) => {
                let actions = self.voter.as_mut().map(|voter| voter.synced(now, number));
                self.voter_actions(now, actions.unwrap_or_default(), &mut out);
            }
            Event::DiskFailed => self.voter.iter_mut().for_each(Voter::fail),
            Event::Apply(id, text) => self.apply(now, id, text, &mut out),
            Event::Abandoned(id) => {
                let actions = self.entry.abandon(now, id);
                self.entry_actions(now, actions, &mut out);
            }
            Event::Stop => self.leaving = true,
            Event::Tick => self.tick(now, &mut out),
        }
        self.note_mode(&mut out);
        out
    }

    fn note_mode(&mut self, out: &mut Vec<Action>) {
        let mode = self.voter.as_ref().map(Voter::mode);
        if mode == self.mode {
            return;
        }
        self.mode = mode;
        out.extend(mode.map(|mode| Action::Note(Note::Voter(mode.to_string()))));
    }

    fn request(&mut self, now: Time, id: u64, request: Arc<Request>, out: &mut Vec<Action>) {
        if !self.lease.holds(now, self.manifest.version) || !self.leased {
            let retry_after = Some(RETRY_STALE);
            let reply = Reply::Refusal {
                cause: Cause::Stale,
                ran: Ran::No,
                retry_after,
            };
            return out.push(Action::Reply(id, reply));
        }
        let actions = self.entry.ask(now, id, request, &self.table);
        self.entry_actions(now, actions, out);
    }

    fn message(&mut self, now: Time, from: Name, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Ask(batch) => self.ask(now, &from, &batch, out),
            Message::Cancel(ask) => {
                let actions = self.owner.cancel(now, &from, ask);
                self.owner_actions(now, actions, out);
            }
            Message::Reply(ask, replica, outcome) => {
                let actions = self.entry.outcome(now, ask, Some(replica), outcome);
                self.entry_actions(now, actions, out);
            }
            Message::Hint(replica, health, boot) => {
                self.entry.router.hint(replica, health, boot);
            }
            Message::Probe => {}
            Message::Yield(replica, boot) => {
                self.earlier.take_yield(now, replica, (from, boot));
                self.assign(now, out);
            }
            Message::Standing(fingerprint, standing) => {
                self.learn(now, fingerprint, standing, false, out);
            }
            Message::Judge(query, fingerprint) => {
                self.judge_query(now, fingerprint, (from, query), out);
            }
            Message::Ruling(query, ruling) => {
                let actions = self.entry.rule(now, query, ruling);
                self.entry_actions(now, actions, out);
            }
            Message::Untried(fingerprint) => {
                let next = self.judge.pass_on(now, &fingerprint);
                self.ruled(now, next.into_iter().collect(), out);
            }
            Message::Voter(letter) => {
                let sender = self.voters.get(usize::from(letter.from));
                if sender != Some(&from) {
                    return;
                }
                let actions = self.voter.as_mut().map(|voter| voter.receive(now, letter));
                self.voter_actions(now, actions.unwrap_or_default(), out);
            }
            Message::Propose(id, key, change) => {
                self.propose_here(now, Origin::Remote(from, id), key, change, out);
            }
            Message::Decided(id, decision) => self.decided(now, id, decision, out),
        }
    }

    fn ask(&mut self, now: Time, from: &Name, batch: &Batch, out: &mut Vec<Action>) {
        let actions = self.owner.ask(now, from, batch);
        self.owner_actions(now, actions, out);
    }

    fn lost(&mut self, now: Time, host: &Name, out: &mut Vec<Action>) {
        if self.voter.is_some() {
            self.send(host, Message::Probe, out);
        }
        let actions = self.owner.lose_entry(now, host);
        self.owner_actions(now, actions, out);
        let actions = self.entry.lose(now, host);
        self.entry_actions(now, actions, out);
        let rulings = self.judge.lose(now, host);
        self.ruled(now, rulings, out);
        let due = self.proposals.values_mut().filter(|proposal| {
            let voter = self.voters.get(proposal.tries % self.voters.len().max(1));
            voter == Some(host)
        });
        due.for_each(|proposal| proposal.retry_at = now);
        self.retry_proposals(now, out);
    }

    /// Tells a daemon that joined what only messages carry.
    fn joined(&mut self, now: Time, host: &Name, out: &mut Vec<Action>) {
        for (fingerprint, standing) in self.table.all(now) {
            self.send(host, Message::Standing(fingerprint, standing), out);
        }
        let known = self.owner.report();
        let known = known.map(|(replica, gate)| (*replica, gate.health(), gate.boot().cloned()));
        for (replica, health, boot) in known.collect::<Vec<_>>() {
            self.send(host, Message::Hint(replica, health, boot), out);
        }
    }

    fn unsent(&mut self, now: Time, host: Name, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Ask(batch) => {
                for piece in batch.pieces {
                    let actions = self.entry.unsent(now, piece.ask);
                    self.entry_actions(now, actions, out);
                }
            }
            Message::Propose(..) => self.lost(now, &host, out),
            _ => {}
        }
    }

    fn address(&self, host: &Name) -> Option<SocketAddr> {
        let member = self.members.iter().find(|member| member.host == *host);
        member
            .map(|member| member.peer)
            .or_else(|| self.me.voters.get(host).copied())
    }

    fn send(&self, host: &Name, message: Message, out: &mut Vec<Action>) {
        if let Some(address) = self.address(host) {
            out.push(Action::Message(host.clone(), address, message));
        }
    }

    fn broadcast(&self, message: &Message, out: &mut Vec<Action>) {
        let others = self
            .members
            .iter()
            .filter(|member| member.host != self.me.host);
        for member in others {
            out.push(Action::Message(
                member.host.clone(),
                member.peer,
                message.clone(),
            ));
        }
    }

    fn entry_actions(&mut self, now: Time, actions: Vec<entry::Action>, out: &mut Vec<Action>) {
        for action in actions {
            match action {
                entry::Action::Send(host, batch) if host == self.me.host => {
                    self.ask(now, &host, &batch, out);
                }
                entry::Action::Send(host, batch) => self.send_batch(now, &host, batch, out),
                entry::Action::Cancel(host, ask) if host == self.me.host => {
                    let actions = self.owner.cancel(now, &host, ask);
                    self.owner_actions(now, actions, out);
                }
                entry::Action::Cancel(host, ask) => self.send(&host, Message::Cancel(ask), out),
                entry::Action::Answer(id, reply) => out.push(Action::Reply(id, reply)),
                entry::Action::Propose(id, key, change) => {
                    self.propose(now, Origin::Query(id), key, change, out);
                }
                entry::Action::Judge(id, fingerprint) => self.ask_judge(now, id, fingerprint, out),
                entry::Action::Tried(fingerprint, Standing::Suspect) => {
                    self.untried(now, fingerprint, out);
                }
                entry::Action::Tried(fingerprint, standing) => {
                    self.learn(now, fingerprint, standing, true, out);
                }
            }
        }
    }

    fn send_batch(&mut self, now: Time, host: &Name, batch: Batch, out: &mut Vec<Action>) {
        if self.address(host).is_some() {
            return self.send(host, Message::Ask(batch), out);
        }
        self.unsent(now, host.clone(), Message::Ask(batch), out);
    }

    fn owner_actions(&mut self, now: Time, actions: Vec<owner::Action>, out: &mut Vec<Action>) {
        for action in actions {
            match action {
                owner::Action::Call(call) => out.push(Action::Call(call)),
                owner::Action::Abort(ticket) => out.push(Action::Abort(ticket)),
                owner::Action::Yield(replica) => {
                    self.earlier.forget_yields(&replica);
                    let next = self.entry.router.owner(&replica).cloned();
                    if let Some(next) = next.filter(|next| *next != self.me.host) {
                        self.send(&next, Message::Yield(replica, self.me.boot), out);
                    }
                }
                owner::Action::Release(replica) => out.push(Action::Release(replica)),
                owner::Action::Reply {
                    to,
                    ask,
                    replica,
                    outcome,
                } if to == self.me.host => {
                    let actions = self.entry.outcome(now, ask, Some(replica), outcome);
                    self.entry_actions(now, actions, out);
                }
                owner::Action::Reply {
                    to,
                    ask,
                    replica,
                    outcome,
                } => {
                    self.send(&to, Message::Reply(ask, replica, outcome), out);
                }
                owner::Action::Hint(replica, health, boot) => {
                    self.entry.router.hint(replica, health, boot.clone());
                    self.broadcast(&Message::Hint(replica, health, boot), out);
                    out.push(Action::Note(Note::Replica(replica, health)));
                }
                owner::Action::Suspect(fingerprint) => {
                    self.learn(now, fingerprint, Standing::Suspect, true, out);
                }
            }
        }
    }

    /// Learns a standing; `first` when this daemon saw it itself and must tell.
    fn learn(
        &mut self,
        now: Time,
        fingerprint: Digest,
        standing: Standing,
        first: bool,
        out: &mut Vec<Action>,
    ) {
        let news = self.table.learn(now, fingerprint, standing);
        if news && first {
            self.broadcast(&Message::Standing(fingerprint, standing), out);
            out.push(Action::Note(Note::Standing(fingerprint, standing)));
        }
        match standing {
            Standing::Suspect if news => {
                let actions = self.entry.suspects(now, &fingerprint);
                self.entry_actions(now, actions, out);
            }
            Standing::Suspect => {}
            Standing::Cleared => self.close_trial(now, &fingerprint, Ruling::Cleared, out),
            Standing::Convicted => self.close_trial(now, &fingerprint, Ruling::Convicted, out),
        }
    }

    fn close_trial(&mut self, now: Time, key: &Digest, ruling: Ruling, out: &mut Vec<Action>) {
        let waiting = self.judge.close(key);
        let rulings = waiting.into_iter().map(|from| (from, ruling)).collect();
        self.ruled(now, rulings, out);
    }

    fn judge_host(&self, fingerprint: &Digest) -> Name {
        placement::first(fingerprint, &self.candidates).unwrap_or_else(|| self.me.host.clone())
    }

    fn ask_judge(&mut self, now: Time, id: u64, fingerprint: Digest, out: &mut Vec<Action>) {
        let host = self.judge_host(&fingerprint);
        if host == self.me.host {
            return self.judge_query(now, fingerprint, (host, id), out);
        }
        self.send(&host, Message::Judge(id, fingerprint), out);
    }

    fn untried(&mut self, now: Time, fingerprint: Digest, out: &mut Vec<Action>) {
        let host = self.judge_host(&fingerprint);
        if host == self.me.host {
            let next = self.judge.pass_on(now, &fingerprint);
            return self.ruled(now, next.into_iter().collect(), out);
        }
        self.send(&host, Message::Untried(fingerprint), out);
    }

    fn judge_query(&mut self, now: Time, key: Digest, from: (Name, u64), out: &mut Vec<Action>) {
        let ruling = self.judge.ask(now, &self.table, key, from.clone());
        self.ruled(
            now,
            ruling.map(|ruling| (from, ruling)).into_iter().collect(),
            out,
        );
    }

    fn ruled(&mut self, now: Time, rulings: Vec<((Name, u64), Ruling)>, out: &mut Vec<Action>) {
        for ((host, query), ruling) in rulings {
            if host == self.me.host {
                let actions = self.entry.rule(now, query, ruling);
                self.entry_actions(now, actions, out);
            } else {
                self.send(&host, Message::Ruling(query, ruling), out);
            }
        }
    }

    fn datagram(&mut self, now: Time, from: SocketAddr, datagram: Datagram, out: &mut Vec<Action>) {
        match datagram {
            Datagram::Poll(poll) => {
                let Some(voter) = &self.voter else { return };
                let file = match voter.accepted(&Key::File) {
                    Some(Value::File(file)) => Some((file.version, file.digest)),
                    _ => None,
                };
                let voting = voter.mode() == voter::Mode::Voting;
                let (sent, boot) = (poll.sent, poll.member.boot);
                self.roster.hear(now, poll.member);
                let report = self.roster.report(now);
                let voter = self.me.host.clone();
                let confirm = Confirm {
                    voter,
                    sent,
                    boot,
                    voting,
                    file,
                    report,
                };
                out.push(Action::Datagram(from, Datagram::Confirm(confirm)));
            }
            Datagram::Confirm(confirm) if confirm.boot == self.me.boot => {
                self.lease.hear(confirm);
                self.review(now, out);
            }
            Datagram::Confirm(_) => {}
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if self
            .polled
            .is_none_or(|last| now.since(last) >= lease::POLL_EVERY)
        {
            self.polled = Some(now);
            self.poll(now, out);
            self.review(now, out);
        }
        let actions = self.owner.tick(now);
        self.owner_actions(now, actions, out);
        let actions = self.entry.tick(now);
        self.entry_actions(now, actions, out);
        let actions = self.voter.as_mut().map(|voter| voter.tick(now));
        self.voter_actions(now, actions.unwrap_or_default(), out);
        self.retry_proposals(now, out);
    }

    fn poll(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(Addresses { peer, admin }) = self.me.addresses else {
            return;
        };
        let member = Member {
            host: self.me.host.clone(),
            domain: self.me.domain.clone(),
            peer,
            admin,
            boot: self.me.boot,
            leaving: self.leaving,
            owning: self.is_owning(),
            version: self.manifest.version,
        };
        let poll = Poll { member, sent: now };
        let polls = self.me.voters.values();
        out.extend(polls.map(|to| Action::Datagram(*to, Datagram::Poll(poll.clone()))));
    }

    /// Whether this daemon sends to backend servers, or still may.
    fn is_owning(&self) -> bool {
        let able = self
            .candidates
            .iter()
            .any(|candidate| candidate.host == self.me.host);
        able || self.owner.is_owning() || self.owner.load() > 0
    }

    /// Draws the consequences of the lease and the membership.
    fn review(&mut self, now: Time, out: &mut Vec<Action>) {
        let version = self.manifest.version;
        let holds = version > 0 && self.lease.holds(now, version);
        if holds != self.leased {
            self.leased = holds;
            out.push(Action::Note(if holds {
                Note::LeaseGained
            } else {
                Note::LeaseLapsed
            }));
        }
        if self.lease.newest() > version {
            self.fetch(now, out);
        }
        let members = self.lease.members(now);
        let gone = self
            .members
            .iter()
            .filter(|old| members.iter().all(|new| new.boot != old.boot));
        let gone = gone.map(|member| member.host.clone()).collect::<Vec<_>>();
        self.members = members;
        gone.iter().for_each(|host| self.lost(now, host, out));
        let candidates = self.find_candidates();
        let changed = candidates != self.candidates;
        if changed {
            let hosts = candidates
                .iter()
                .map(|c| c.host.to_string())
                .collect::<Vec<_>>();
            out.push(Action::Note(Note::Members(hosts.join(","))));
            self.candidates = candidates;
            self.route(now);
        }
        self.assign(now, out);
        if changed {
            let again = self.entry.suspected();
            self.entry_actions(now, again, out);
        }
    }

    /// Time for which an earlier owner may still send to a replica: none if all of
    /// them are known to have ended or to own nothing.
    fn hold(&self, now: Time, replica: &SocketAddr) -> Span {
        let ended = self.lease.ended(now);
        let idle = self.members.iter().filter(|member| {
            let barred = !self.manifest.may_own(&member.host, &member.domain);
            let knows = barred && member.version >= self.manifest.version;
            !member.owning && (member.leaving || knows)
        });
        let idle = idle.map(|member| (member.host.clone(), member.boot));
        let own = (self.me.host.clone(), self.me.boot);
        let harmless = ended.into_iter().chain(idle).chain([own]).collect();
        if self.earlier.are_all(now, replica, &harmless) {
            Span::ZERO
        } else {
            lease::HOLD
        }
    }

    /// Tells the entry role who owns what.
    fn route(&mut self, now: Time) {
        let all = std::mem::take(&mut self.candidates);
        let own = |c: &&Candidate| self.me.dispatch != Dispatch::Direct || c.host == self.me.host;
        let owners = all.iter().filter(own).cloned().collect::<Vec<_>>();
        let spread = match self.me.dispatch {
            Dispatch::Owner | Dispatch::Direct => Spread::Together,
            Dispatch::Apart => Spread::Apart,
        };
        self.entry.update(&self.manifest, &owners, spread);
        self.candidates = all;
        self.note_owners(now);
    }

    /// Remembers the owners, which may go on until they learn better.
    fn note_owners(&mut self, now: Time) {
        let boots = self
            .members
            .iter()
            .map(|member| (&member.host, member.boot));
        let boots = boots.collect::<BTreeMap<_, _>>();
        let owners = self.entry.router.all();
        let runs = owners.map(|(replica, host)| {
            (
                *replica,
                (host.clone(), boots.get(host).copied().unwrap_or_default()),
            )
        });
        self.earlier.note(now, runs.collect());
    }

    /// The limits under which this daemon sends to a server.
    fn limits(&self, limits: Limits) -> Limits {
        let part = |limit: u32| (limit / self.candidates.len().max(1) as u32).max(1);
        match self.me.dispatch {
            Dispatch::Owner | Dispatch::Apart => limits,
            Dispatch::Direct => Limits {
                slots: part(limits.slots),
                connections: part(limits.connections),
                cold_limit: part(limits.cold_limit),
                ..limits
            },
        }
    }

    fn find_candidates(&self) -> Vec<Candidate> {
        let able = self.members.iter().filter(|member| {
            !member.leaving && self.manifest.may_own(&member.host, &member.domain)
        });
        let able = able.map(|m| Candidate {
            host: m.host.clone(),
            domain: m.domain.clone(),
        });
        able.collect()
    }

    fn assign(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.leased {
            let actions = self.owner.suspend();
            return self.owner_actions(now, actions, out);
        }
        let services = self.manifest.services.values();
        let claims = services
            .flat_map(|service| self.claims(now, service))
            .collect::<Vec<_>>();
        let actions = self.owner.assign(now, &claims);
        self.owner_actions(now, actions, out);
    }

    /// The replicas of a service that this daemon should own.
    fn claims(&self, now: Time, service: &Service) -> Vec<owner::Claim> {
        let mut claims = Vec::new();
        for shard in &service.shards {
            let all = shard
                .replicas
                .iter()
                .map(|replica| replica.address)
                .collect::<Vec<_>>();
            for replica in &shard.replicas {
                if self.entry.router.owner(&replica.address) != Some(&self.me.host) {
                    continue;
                }
                let siblings = all.iter().filter(|address| **address != replica.address);
                claims.push(owner::Claim {
                    replica: replica.address,
                    service: service.name.clone(),
                    hedge: service.hedge,
                    siblings: siblings.copied().collect(),
                    limits: self.limits(service.limits),
                    open: self.manifest.is_in(&replica.domain),
                    boot: self.entry.router.ready_boot(&replica.address),
                    hold: self.hold(now, &replica.address),
                });
            }
        }
        claims
    }

    fn fetch(&mut self, now: Time, out: &mut Vec<Action>) {
        if self
            .fetched
            .is_some_and(|last| now.since(last) < FETCH_EVERY)
        {
            return;
        }
        self.fetched = Some(now);
        self.propose(now, Origin::Fetch, Key::File, Change::Read, out);
    }

    fn install(&mut self, now: Time, version: u64, text: &Arc<str>, out: &mut Vec<Action>) {
        if version <= self.manifest.version {
            return;
        }
        let Ok(manifest) = read::manifest(text) else {
            return out.push(Action::Note(Note::NotUnderstood(version)));
        };
        self.manifest = Arc::new(manifest);
        self.text = text.clone();
        out.push(Action::Note(Note::InForce(version)));
        self.candidates = self.find_candidates();
        self.route(now);
        self.review(now, out);
    }

    fn apply(&mut self, now: Time, id: u64, text: Arc<str>, out: &mut Vec<Action>) {
        let Ok(manifest) = read::manifest(&text) else {
            return out.push(Action::Applied(id, Decision::Unknown));
        };
        let change = Change::Apply {
            version: manifest.version,
            text,
        };
        self.propose(now, Origin::Operator(id), Key::File, change, out);
    }
}

/// Proposals.
impl Daemon {
    fn propose(
        &mut self,
        now: Time,
        origin: Origin,
        key: Key,
        change: Change,
        out: &mut Vec<Action>,
    ) {
        self.last += 1;
        let id = self.last;
        let own = self.voters.iter().position(|voter| *voter == self.me.host);
        let tries = own.unwrap_or(self.me.boot as usize % self.voters.len().max(1));
        let proposal = Proposal {
            origin,
            key,
            change,
            tries,
            retry_at: now,
            started: now,
        };
        self.proposals.insert(id, proposal);
        self.submit(now, id, out);
    }

    fn submit(&mut self, now: Time, id: u64, out: &mut Vec<Action>) {
        let Some(proposal) = self.proposals.get_mut(&id) else {
            return;
        };
        proposal.retry_at = now.after(PROPOSAL_TRY);
        let (key, change) = (proposal.key, proposal.change.clone());
        let Some(voter) = self.voters.get(proposal.tries % self.voters.len().max(1)) else {
            return;
        };
        if *voter == self.me.host {
            let origin = Origin::Remote(voter.clone(), id);
            return self.propose_here(now, origin, key, change, out);
        }
        let voter = voter.clone();
        self.send(&voter, Message::Propose(id, key, change), out);
    }

    /// Has this daemon's own voter decide.
    fn propose_here(
        &mut self,
        now: Time,
        origin: Origin,
        key: Key,
        change: Change,
        out: &mut Vec<Action>,
    ) {
        self.last += 1;
        let ticket = self.last;
        let Some(voter) = &mut self.voter else {
            return self.hand_back(now, origin, Decision::Unknown, out);
        };
        let change_sent = Change::Read;
        let proposal = Proposal {
            origin,
            key,
            change: change_sent,
            tries: 0,
            retry_at: now,
            started: now,
        };
        self.proposals.insert(ticket, proposal);
        let actions = voter.propose(now, ticket, key, change);
        self.voter_actions(now, actions, out);
    }

    fn hand_back(&mut self, now: Time, origin: Origin, decision: Decision, out: &mut Vec<Action>) {
        match origin {
            Origin::Remote(host, id) if host == self.me.host => {
                self.decided(now, id, decision, out)
            }
            Origin::Remote(host, id) => self.send(&host, Message::Decided(id, decision), out),
            Origin::Query(id) => {
                let actions = self.entry.decided(now, id, &decision, &self.table);
                self.entry_actions(now, actions, out);
            }
            Origin::Operator(id) => out.push(Action::Applied(id, decision)),
            Origin::Fetch => {
                if let Decision::Value(Some(Value::File(file))) = decision {
                    self.install(now, file.version, &file.text.clone(), out);
                }
            }
        }
    }

    /// Takes a decision on a proposal of this daemon's.
    fn decided(&mut self, now: Time, id: u64, decision: Decision, out: &mut Vec<Action>) {
        let Some(proposal) = self.proposals.get_mut(&id) else {
            return;
        };
        let young = now.since(proposal.started) < PROPOSAL_MAX;
        if decision == Decision::Unknown && young {
            proposal.retry_at = now.after(PROPOSAL_AGAIN);
            return;
        }
        let Some(proposal) = self.proposals.remove(&id) else {
            return;
        };
        self.hand_back(now, proposal.origin, decision, out);
    }

    fn voter_actions(&mut self, now: Time, actions: Vec<voter::Action>, out: &mut Vec<Action>) {
        for action in actions {
            match action {
                voter::Action::Persist(number, record) => {
                    out.push(Action::Persist(number, record));
                }
                voter::Action::Send(to, letter) => {
                    let host = self.voters.get(usize::from(to)).cloned();
                    if let Some(host) = host {
                        self.send(&host, Message::Voter(letter), out);
                    }
                }
                voter::Action::Decided(ticket, decision) => {
                    if let Some(proposal) = self.proposals.remove(&ticket) {
                        self.hand_back(now, proposal.origin, decision, out);
                    }
                }
            }
        }
    }

    /// Tries unanswered proposals at the next voter, and gives old ones up.
    fn retry_proposals(&mut self, now: Time, out: &mut Vec<Action>) {
        let own = |proposal: &&Proposal| !matches!(proposal.origin, Origin::Remote(..));
        let due = self
            .proposals
            .iter()
            .filter(|(_, proposal)| own(proposal) && proposal.retry_at <= now);
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(proposal) = self.proposals.get_mut(&id) else {
                continue;
            };
            if now.since(proposal.started) >= PROPOSAL_MAX {
                self.decided(now, id, Decision::Unknown, out);
                continue;
            }
            proposal.tries += 1;
            self.submit(now, id, out);
        }
    }
}
