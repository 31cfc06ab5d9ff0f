//! The state machine of one daemon. It combines the entry, owner and voter roles with the
//! lease and the membership.
//!
//! The adapter passes each input to [`Daemon::step`] as an [`Event`] and carries out the
//! returned [`Action`]s. The ownership of replicas and proposals to the voters are handled
//! in the modules `ownership` and `proposal`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::entry;
use crate::entry::Entry;
use crate::handover::History;
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
use crate::message::Purpose;
use crate::name::Name;
use crate::owner;
use crate::owner::Owner;
use crate::parse;
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
use crate::spread;
use crate::spread::Spread;
use crate::suspect::Arbiter;
use crate::suspect::Standing;
use crate::suspect::Table;
use crate::uplink;
use crate::uplink::Uplink;
use crate::voter;
use crate::voter::Voter;

/// Shortest time between two reads of the operators' file from the voters.
const FETCH_INTERVAL_MIN: Span = Span::from_ms(300);

/// Retry-After of a request that is refused because the lease has lapsed.
const STALE_RETRY_AFTER: Span = Span::from_secs(1);

/// State of one daemon.
#[derive(Debug)]
pub struct Daemon {
    pub(crate) identity: Identity,
    pub(crate) manifest: Arc<Manifest>,
    pub(crate) manifest_text: Arc<str>,
    /// Entry role: answers callers' requests.
    pub entry: Entry,
    /// Owner role: sends sub-requests to the replicas that this daemon owns.
    pub owner: Owner,
    /// Voter role; absent if this daemon is not a voter.
    pub(crate) voter: Option<Voter>,
    /// Hosts of all voters; the position of a host is its voter identifier.
    pub(crate) voters: Vec<Name>,
    /// Daemons that poll this daemon's voter.
    pub(crate) roster: Roster,
    pub(crate) lease: Lease,
    /// Requests suspected of making servers fail, as far as reported to this daemon.
    pub(crate) standings: Table,
    pub(crate) arbiter: Arbiter,
    /// Failures of suspected requests that wait until other daemons know of them.
    pub(crate) spread: Spread,
    /// Live daemons.
    pub(crate) members: Vec<Member>,
    /// Live daemons that may own replicas.
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) handovers: History,
    /// Undecided changes that this daemon proposed, by identifier.
    pub(crate) proposals: BTreeMap<u64, Proposal>,
    /// Changes that this daemon's own voter is deciding, with the origin to reply to.
    pub(crate) voter_proposals: BTreeMap<u64, Origin>,
    /// Last identifier used for a proposal or for a change at this daemon's own voter.
    pub(crate) last_id: u64,
    pub(crate) last_poll: Option<Time>,
    pub(crate) last_fetch: Option<Time>,
    /// Whether the lease was held when `apply_membership` last ran.
    pub(crate) leased: bool,
    /// Whether a planned stop has begun.
    pub(crate) leaving: bool,
    /// Evidence on this daemon's links to the backend servers.
    pub(crate) uplink: Uplink,
    /// State of those links that was last logged.
    pub(crate) links: uplink::State,
    /// Last voter mode that was logged.
    pub(crate) voter_mode: Option<voter::Mode>,
}

impl Daemon {
    /// Creates a daemon. `records` holds the stored state of its voter and is absent if
    /// the daemon is not a voter.
    pub fn new(now: Time, identity: Identity, records: Option<Vec<voter::Record>>) -> Daemon {
        let voters = identity.voters.keys().cloned().collect::<Vec<_>>();
        let position = voters.iter().position(|voter| *voter == identity.host);
        let voter = position.zip(records).map(|(position, records)| {
            Voter::open(
                now,
                position as voter::Id,
                voters.len(),
                identity.boot,
                records,
            )
        });
        Daemon {
            manifest: Arc::default(),
            manifest_text: "".into(),
            entry: Entry::new(identity.boot),
            owner: Owner::default(),
            voter_mode: voter.as_ref().map(Voter::mode),
            voter,
            lease: Lease::new(voters.len()),
            voters,
            roster: Roster::new(now),
            standings: Table::default(),
            arbiter: Arbiter::default(),
            spread: Spread::default(),
            members: Vec::new(),
            candidates: Vec::new(),
            handovers: History::default(),
            proposals: BTreeMap::new(),
            voter_proposals: BTreeMap::new(),
            last_id: 0,
            last_poll: None,
            last_fetch: None,
            leased: false,
            leaving: false,
            uplink: Uplink::default(),
            links: uplink::State::default(),
            identity,
        }
    }

    /// The operators' file in force.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// The live daemons.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The voter role; absent if this daemon is not a voter.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// The voters that answered a poll within the lease time, and whether each may vote.
    pub fn voters(&self, now: Time) -> Vec<(Name, bool)> {
        self.lease.voters(now)
    }

    /// Whether the lease was held when the membership was last applied: a majority of
    /// voters confirmed that the file in force is the newest.
    pub fn is_leased(&self) -> bool {
        self.leased
    }

    /// Whether the load balancer should send callers to this daemon.
    pub fn is_ready(&self) -> bool {
        let in_service = self
            .manifest
            .may_own(&self.identity.host, &self.identity.domain);
        self.leased && !self.leaving && in_service
    }

    /// Whether no request and no sub-request is pending, so that a planned stop can
    /// complete.
    pub fn is_idle(&self) -> bool {
        self.entry.pending() == 0 && self.owner.pending() == 0
    }

    /// Fingerprints of requests suspected of making servers fail, with their standings.
    pub fn standings(&self, now: Time) -> Vec<(Digest, Standing)> {
        self.standings.entries(now)
    }

    /// Handles an event and returns the resulting actions in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Request(id, request) => self.on_request(now, id, request, &mut out),
            Event::Message(from, message) => self.on_message(now, from, message, &mut out),
            Event::PeerLost(host) => self.on_peer_lost(now, &host, &mut out),
            Event::PeerJoined(host) => self.on_peer_joined(now, &host, &mut out),
            Event::PeerEnded(host, dialed) => self.roster.mark_ended(&host, dialed),
            Event::Unsent(host, message) => self.on_unsent(now, host, message, &mut out),
            Event::Datagram(from, datagram) => self.on_datagram(now, from, datagram, &mut out),
            Event::CallBroke(ticket) => self.owner.on_call_broke(ticket),
            Event::Exchange(ticket, exchange) => {
                self.record_evidence(now, ticket, &exchange);
                let actions = self.owner.on_exchange(now, ticket, exchange);
                self.owner_actions(now, actions, &mut out);
            }
            Event::Synced(number) => {
                let actions = self.voter.as_mut().map(|voter| voter.synced(now, number));
                self.voter_actions(now, actions.unwrap_or_default(), &mut out);
            }
            Event::DiskFailed => self.voter.iter_mut().for_each(Voter::fail),
            Event::DiskRegained => self.voter.iter_mut().for_each(Voter::regain_disk),
            Event::Apply(id, text) => self.on_apply(now, id, text, &mut out),
            Event::Abandoned(id) => {
                let actions = self.entry.on_abandoned(now, id);
                self.entry_actions(now, actions, &mut out);
            }
            Event::Stop(end) => {
                self.leaving = true;
                self.entry.end_by(end);
            }
            Event::Probed(Purpose::Links, _, reachable) => {
                self.uplink.record_probe(now, reachable);
            }
            Event::Probed(Purpose::Restart, replica, reachable) => {
                self.owner.on_probe(now, replica, reachable);
            }
            Event::Tick => self.on_tick(now, &mut out),
        }
        self.note_voter_mode(&mut out);
        out
    }

    /// Logs the voter's mode if it changed.
    fn note_voter_mode(&mut self, out: &mut Vec<Action>) {
        let mode = self.voter.as_ref().map(Voter::mode);
        if mode == self.voter_mode {
            return;
        }
        self.voter_mode = mode;
        out.extend(mode.map(|mode| Action::Note(Note::Voter(mode.to_string()))));
    }

    fn on_request(&mut self, now: Time, id: u64, request: Arc<Request>, out: &mut Vec<Action>) {
        if !self.lease.is_held(now, self.manifest.version) || !self.leased {
            let retry_after = Some(STALE_RETRY_AFTER);
            let reply = Reply::Refusal {
                cause: Cause::StaleConfiguration,
                ran: Ran::No,
                retry_after,
            };
            return out.push(Action::Reply(id, reply));
        }
        let actions = self.entry.on_request(now, id, request, &self.standings);
        self.entry_actions(now, actions, out);
    }

    fn on_message(&mut self, now: Time, from: Name, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Batch(batch) => self.on_batch(now, &from, &batch, out),
            Message::Cancel(id) => {
                let actions = self.owner.cancel(now, &from, id);
                self.owner_actions(now, actions, out);
            }
            Message::Outcome(id, replica, outcome) => {
                let actions = self.entry.on_outcome(now, id, Some(replica), outcome);
                self.entry_actions(now, actions, out);
            }
            Message::Health(replica, health, boot, limit) => {
                self.entry.router.set_limit(replica, limit.0);
                self.entry.router.set_health(replica, health, boot);
            }
            Message::Probe => {}
            Message::ReplicaReleased(replica, boot) => {
                self.handovers.record_release(now, replica, (from, boot));
                self.assign_replicas(now, out);
            }
            Message::Standing(fingerprint, standing) => {
                self.on_standing(now, from, fingerprint, standing, out);
            }
            Message::CanaryRequest(query, fingerprint) => {
                self.on_canary_request(now, fingerprint, (from, query), out);
            }
            Message::Ruling(query, ruling) => {
                let actions = self.entry.on_ruling(now, query, ruling);
                self.entry_actions(now, actions, out);
            }
            Message::CanaryInconclusive(fingerprint) => {
                let next = self.arbiter.grant_next(now, &fingerprint);
                self.deliver_rulings(now, next.into_iter().collect(), out);
            }
            Message::Voter(message) => {
                let sender = self.voters.get(usize::from(message.from));
                if sender != Some(&from) {
                    return;
                }
                let actions = self.voter.as_mut().map(|voter| voter.receive(now, message));
                self.voter_actions(now, actions.unwrap_or_default(), out);
            }
            Message::Propose(id, key, change) => {
                self.propose_locally(now, Origin::Daemon(from, id), key, change, out);
            }
            Message::Decided(id, decision) => self.handle_decision(now, id, decision, out),
        }
    }

    fn on_batch(&mut self, now: Time, from: &Name, batch: &Batch, out: &mut Vec<Action>) {
        let actions = self.owner.on_batch(now, from, batch);
        self.owner_actions(now, actions, out);
    }

    /// Handles the loss of a daemon or of a connection to it: cancels or fails the
    /// sub-requests between the two, ends the other's canaries, and retries the proposals
    /// that it was deciding.
    pub(crate) fn on_peer_lost(&mut self, now: Time, host: &Name, out: &mut Vec<Action>) {
        if self.voter.is_some() {
            self.send(host, Message::Probe, out);
        }
        let actions = self.owner.on_entry_lost(now, host);
        self.owner_actions(now, actions, out);
        let actions = self.entry.on_host_lost(now, host);
        self.entry_actions(now, actions, out);
        let rulings = self.arbiter.on_host_lost(now, host);
        self.deliver_rulings(now, rulings, out);
        let affected = self.proposals.values_mut().filter(|proposal| {
            let voter = self
                .voters
                .get(proposal.voter_index % self.voters.len().max(1));
            voter == Some(host)
        });
        affected.for_each(|proposal| proposal.retry_at = now);
        self.retry_proposals(now, out);
    }

    /// Sends a daemon that connected the standings and the health of owned replicas,
    /// which are otherwise sent only when they change.
    fn on_peer_joined(&mut self, now: Time, host: &Name, out: &mut Vec<Action>) {
        for (fingerprint, standing) in self.standings.entries(now) {
            self.send(host, Message::Standing(fingerprint, standing), out);
        }
        let owned = self.owner.replicas();
        let reports = owned.map(|(replica, limiter)| {
            let (boot, limit) = (limiter.boot().cloned(), limiter.named_limit());
            Message::Health(*replica, limiter.health(), boot, limit.into())
        });
        for report in reports.collect::<Vec<_>>() {
            self.send(host, report, out);
        }
    }

    /// Handles a message that could not be sent. No byte of it was sent, so its
    /// sub-requests did not run. For a proposal, the other daemon counts as lost.
    fn on_unsent(&mut self, now: Time, host: Name, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Batch(batch) => {
                for subrequest in batch.subrequests {
                    let actions = self.entry.on_unsent(now, subrequest.id);
                    self.entry_actions(now, actions, out);
                }
            }
            Message::Propose(..) => self.on_peer_lost(now, &host, out),
            _ => {}
        }
    }

    /// Peer address of a live daemon or a voter.
    pub(crate) fn address(&self, host: &Name) -> Option<SocketAddr> {
        let member = self.members.iter().find(|member| member.host == *host);
        member
            .map(|member| member.peer)
            .or_else(|| self.identity.voters.get(host).copied())
    }

    pub(crate) fn send(&self, host: &Name, message: Message, out: &mut Vec<Action>) {
        if let Some(address) = self.address(host) {
            out.push(Action::Message(host.clone(), address, message));
        }
    }

    /// Sends a message to all other live daemons.
    pub(crate) fn broadcast(&self, message: &Message, out: &mut Vec<Action>) {
        let others = self
            .members
            .iter()
            .filter(|member| member.host != self.identity.host);
        for member in others {
            out.push(Action::Message(
                member.host.clone(),
                member.peer,
                message.clone(),
            ));
        }
    }

    /// Carries out the actions of the entry role.
    pub(crate) fn entry_actions(
        &mut self,
        now: Time,
        actions: Vec<entry::Action>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                entry::Action::Send(host, batch) if host == self.identity.host => {
                    self.on_batch(now, &host, &batch, out);
                }
                entry::Action::Send(host, batch) => self.send_batch(now, &host, batch, out),
                entry::Action::Cancel(host, id) if host == self.identity.host => {
                    let actions = self.owner.cancel(now, &host, id);
                    self.owner_actions(now, actions, out);
                }
                entry::Action::Cancel(host, id) => self.send(&host, Message::Cancel(id), out),
                entry::Action::Answer(id, reply) => out.push(Action::Reply(id, reply)),
                entry::Action::Propose(id, key, change) => {
                    self.propose(now, Origin::Query(id), key, change, out);
                }
                entry::Action::RequestCanary(id, fingerprint) => {
                    self.request_canary(now, id, fingerprint, out)
                }
                entry::Action::CanaryEnded(fingerprint, Standing::Suspect) => {
                    self.report_inconclusive(now, fingerprint, out);
                }
                entry::Action::CanaryEnded(fingerprint, standing) => {
                    self.update_standing(now, fingerprint, standing, true, out);
                }
            }
        }
    }

    /// Sends a batch to its owner, or fails its sub-requests if the owner has no known
    /// address.
    fn send_batch(&mut self, now: Time, host: &Name, batch: Batch, out: &mut Vec<Action>) {
        if self.address(host).is_some() {
            return self.send(host, Message::Batch(batch), out);
        }
        self.on_unsent(now, host.clone(), Message::Batch(batch), out);
    }

    /// Carries out the actions of the owner role.
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
                owner::Action::ReplicaReleased(replica) => {
                    self.handovers.forget_releases(&replica);
                    let next = self.entry.router.owner(&replica).cloned();
                    if let Some(next) = next.filter(|next| *next != self.identity.host) {
                        self.send(
                            &next,
                            Message::ReplicaReleased(replica, self.identity.boot),
                            out,
                        );
                    }
                }
                owner::Action::Probe(server) => {
                    let open_for = uplink::REACHABLE_TIME;
                    let probe = uplink::Probe { server, open_for };
                    out.push(Action::Probe(Purpose::Restart, probe));
                }
                owner::Action::CloseConnections(replica) => {
                    out.push(Action::CloseConnections(replica))
                }
                owner::Action::Reply {
                    to,
                    id,
                    replica,
                    outcome,
                } => {
                    let reply = spread::Reply {
                        to,
                        id,
                        replica,
                        outcome,
                    };
                    self.reply_or_hold(now, reply, out);
                }
                owner::Action::Health(replica, health, boot, limit) => {
                    self.entry.router.set_limit(replica, limit);
                    self.entry.router.set_health(replica, health, boot.clone());
                    let report = Message::Health(replica, health, boot, limit.into());
                    self.broadcast(&report, out);
                    out.push(Action::Note(Note::Replica(replica, health)));
                }
                owner::Action::Suspect(fingerprint) => {
                    self.update_standing(now, fingerprint, Standing::Suspect, true, out);
                }
            }
        }
    }

    fn on_datagram(
        &mut self,
        now: Time,
        from: SocketAddr,
        datagram: Datagram,
        out: &mut Vec<Action>,
    ) {
        match datagram {
            Datagram::Poll(poll) => {
                let Some(voter) = &self.voter else { return };
                let file = match voter.accepted(&Key::File) {
                    Some(Value::File(file)) => Some((file.version, file.digest)),
                    _ => None,
                };
                let voting = voter.mode() == voter::Mode::Voting;
                let (sent, boot) = (poll.sent, poll.member.boot);
                self.roster.record(now, poll.member);
                let report = self.roster.report(now);
                let voter = self.identity.host.clone();
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
            Datagram::Confirm(confirm) if confirm.boot == self.identity.boot => {
                self.lease.record(confirm);
                self.apply_membership(now, out);
            }
            Datagram::Confirm(_) => {}
        }
    }

    fn on_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if self
            .last_poll
            .is_none_or(|last| now.since(last) >= lease::POLL_EVERY)
        {
            self.last_poll = Some(now);
            self.poll_voters(now, out);
            self.apply_membership(now, out);
        }
        self.check_links(now, out);
        self.release_replies(now, out);
        let actions = self.owner.tick(now);
        self.owner_actions(now, actions, out);
        let actions = self.entry.tick(now);
        self.entry_actions(now, actions, out);
        let actions = self.voter.as_mut().map(|voter| voter.tick(now));
        self.voter_actions(now, actions.unwrap_or_default(), out);
        self.retry_proposals(now, out);
    }

    /// Polls all voters; their answers renew the lease and the list of members.
    fn poll_voters(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(Addresses { peer, admin }) = self.identity.addresses else {
            return;
        };
        let member = Member {
            host: self.identity.host.clone(),
            domain: self.identity.domain.clone(),
            peer,
            admin,
            boot: self.identity.boot,
            leaving: self.leaving || !self.can_reach_servers(),
            owning: self.is_owning(),
            version: self.manifest.version,
        };
        let poll = Poll { member, sent: now };
        let polls = self.identity.voters.values();
        out.extend(polls.map(|to| Action::Datagram(*to, Datagram::Poll(poll.clone()))));
    }

    /// Reads the newest file from the voters, at most once per [`FETCH_INTERVAL_MIN`].
    pub(crate) fn fetch_file(&mut self, now: Time, out: &mut Vec<Action>) {
        if self
            .last_fetch
            .is_some_and(|last| now.since(last) < FETCH_INTERVAL_MIN)
        {
            return;
        }
        self.last_fetch = Some(now);
        self.propose(now, Origin::Fetch, Key::File, Change::Read, out);
    }

    /// Puts a newer file in force.
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
        self.manifest_text = text.clone();
        out.push(Action::Note(Note::InForce(version)));
        self.candidates = self.find_candidates();
        self.update_routing(now);
        self.apply_membership(now, out);
    }

    fn on_apply(&mut self, now: Time, id: u64, text: Arc<str>, out: &mut Vec<Action>) {
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
