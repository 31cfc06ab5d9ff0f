//! The whole daemon as one state machine: entry, owner and voter roles with the
//! lease and the membership that bind them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::earlier::Earlier;
use crate::entry;
use crate::entry::Entry;
use crate::lease;
use crate::lease::Confirm;
use crate::lease::Lease;
use crate::lease::Poll;
use crate::manifest::Manifest;
use crate::message::Action;
use crate::message::Addresses;
use crate::message::Datagram;
use crate::message::Event;
use crate::message::Identity;
use crate::message::Message;
use crate::message::Note;
use crate::name::Name;
use crate::owner;
use crate::owner::Owner;
use crate::parse;
use crate::placement;
use crate::placement::Candidate;
use crate::proposal::Origin;
use crate::proposal::Proposal;
use crate::query::Reply;
use crate::register::Change;
use crate::register::Decision;
use crate::register::Key;
use crate::register::Value;
use crate::request::Batch;
use crate::request::Cause;
use crate::request::Ran;
use crate::request::Request;
use crate::roster::Member;
use crate::roster::Roster;
use crate::suspect::Arbiter;
use crate::suspect::Ruling;
use crate::suspect::Standing;
use crate::suspect::Table;
use crate::voter;
use crate::voter::Voter;

/// Time between two fetches of the operators' file.
const FETCH_EVERY: Span = Span::from_ms(300);

/// When a caller refused for a lapsed lease is told to come back.
const RETRY_STALE: Span = Span::from_secs(1);

/// The daemon's state.
#[derive(Debug)]
pub struct Daemon {
    pub(crate) me: Identity,
    pub(crate) manifest: Arc<Manifest>,
    pub(crate) text: Arc<str>,
    /// The entry role.
    pub entry: Entry,
    /// The owner role.
    pub owner: Owner,
    pub(crate) voter: Option<Voter>,
    pub(crate) voters: Vec<Name>,
    pub(crate) roster: Roster,
    pub(crate) lease: Lease,
    pub(crate) table: Table,
    pub(crate) arbiter: Arbiter,
    pub(crate) members: Vec<Member>,
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) earlier: Earlier,
    pub(crate) proposals: BTreeMap<u64, Proposal>,
    pub(crate) tickets: BTreeMap<u64, Origin>,
    pub(crate) last: u64,
    pub(crate) polled: Option<Time>,
    pub(crate) fetched: Option<Time>,
    pub(crate) leased: bool,
    pub(crate) leaving: bool,
    pub(crate) mode: Option<voter::Mode>,
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
            arbiter: Arbiter::default(),
            members: Vec::new(),
            candidates: Vec::new(),
            earlier: Earlier::default(),
            proposals: BTreeMap::new(),
            tickets: BTreeMap::new(),
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
                self.entry.router.set_health(replica, health, boot);
            }
            Message::Probe => {}
            Message::Yield(replica, boot) => {
                self.earlier.take_yield(now, replica, (from, boot));
                self.assign(now, out);
            }
            Message::Standing(fingerprint, standing) => {
                self.learn(now, fingerprint, standing, false, out);
            }
            Message::Arbiter(query, fingerprint) => {
                self.arbitrate(now, fingerprint, (from, query), out);
            }
            Message::Ruling(query, ruling) => {
                let actions = self.entry.rule(now, query, ruling);
                self.entry_actions(now, actions, out);
            }
            Message::Untried(fingerprint) => {
                let next = self.arbiter.pass_on(now, &fingerprint);
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

    pub(crate) fn lost(&mut self, now: Time, host: &Name, out: &mut Vec<Action>) {
        if self.voter.is_some() {
            self.send(host, Message::Probe, out);
        }
        let actions = self.owner.lose_entry(now, host);
        self.owner_actions(now, actions, out);
        let actions = self.entry.lose(now, host);
        self.entry_actions(now, actions, out);
        let rulings = self.arbiter.lose(now, host);
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

    pub(crate) fn address(&self, host: &Name) -> Option<SocketAddr> {
        let member = self.members.iter().find(|member| member.host == *host);
        member
            .map(|member| member.peer)
            .or_else(|| self.me.voters.get(host).copied())
    }

    pub(crate) fn send(&self, host: &Name, message: Message, out: &mut Vec<Action>) {
        if let Some(address) = self.address(host) {
            out.push(Action::Message(host.clone(), address, message));
        }
    }

    pub(crate) fn broadcast(&self, message: &Message, out: &mut Vec<Action>) {
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

    pub(crate) fn entry_actions(
        &mut self,
        now: Time,
        actions: Vec<entry::Action>,
        out: &mut Vec<Action>,
    ) {
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
                entry::Action::Arbiter(id, fingerprint) => {
                    self.ask_arbiter(now, id, fingerprint, out)
                }
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

    pub(crate) fn owner_actions(
        &mut self,
        now: Time,
        actions: Vec<owner::Action>,
        out: &mut Vec<Action>,
    ) {
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
                    self.entry.router.set_health(replica, health, boot.clone());
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
            Standing::Cleared => self.close_canary(now, &fingerprint, Ruling::Cleared, out),
            Standing::Quarantined => self.close_canary(now, &fingerprint, Ruling::Quarantined, out),
        }
    }

    fn close_canary(&mut self, now: Time, key: &Digest, ruling: Ruling, out: &mut Vec<Action>) {
        let waiting = self.arbiter.close(key);
        let rulings = waiting.into_iter().map(|from| (from, ruling)).collect();
        self.ruled(now, rulings, out);
    }

    fn arbiter_host(&self, fingerprint: &Digest) -> Name {
        placement::first_ranked(fingerprint, &self.candidates)
            .unwrap_or_else(|| self.me.host.clone())
    }

    fn ask_arbiter(&mut self, now: Time, id: u64, fingerprint: Digest, out: &mut Vec<Action>) {
        let host = self.arbiter_host(&fingerprint);
        if host == self.me.host {
            return self.arbitrate(now, fingerprint, (host, id), out);
        }
        self.send(&host, Message::Arbiter(id, fingerprint), out);
    }

    fn untried(&mut self, now: Time, fingerprint: Digest, out: &mut Vec<Action>) {
        let host = self.arbiter_host(&fingerprint);
        if host == self.me.host {
            let next = self.arbiter.pass_on(now, &fingerprint);
            return self.ruled(now, next.into_iter().collect(), out);
        }
        self.send(&host, Message::Untried(fingerprint), out);
    }

    fn arbitrate(&mut self, now: Time, key: Digest, from: (Name, u64), out: &mut Vec<Action>) {
        let ruling = self.arbiter.ask(now, &self.table, key, from.clone());
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

    pub(crate) fn fetch(&mut self, now: Time, out: &mut Vec<Action>) {
        if self
            .fetched
            .is_some_and(|last| now.since(last) < FETCH_EVERY)
        {
            return;
        }
        self.fetched = Some(now);
        self.propose(now, Origin::Fetch, Key::File, Change::Read, out);
    }

    pub(crate) fn install(
        &mut self,
        now: Time,
        version: u64,
        text: &Arc<str>,
        out: &mut Vec<Action>,
    ) {
        if version <= self.manifest.version {
            return;
        }
        let Ok(manifest) = parse::manifest(text) else {
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
        let Ok(manifest) = parse::manifest(&text) else {
            return out.push(Action::Applied(id, Decision::Unknown));
        };
        let change = Change::Apply {
            version: manifest.version,
            text,
        };
        self.propose(now, Origin::Operator(id), Key::File, change, out);
    }
}
