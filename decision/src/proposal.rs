//! Proposals of a daemon.
//!
//! Part of the daemon: sends each change of the register to one voter after another until
//! one of them decides it, and returns the decision to its origin.

use crate::clock::Span;
use crate::clock::Time;
use crate::daemon::Daemon;
use crate::message::Action;
use crate::message::Message;
use crate::name::Name;
use crate::register::Change;
use crate::register::Decision;
use crate::register::Key;
use crate::register::Value;
use crate::voter;

/// Time after which an unanswered proposal is sent to the next voter.
const VOTER_TIMEOUT: Span = Span::from_ms(700);

/// Delay before the next voter is tried after one that could not decide.
const RETRY_DELAY: Span = Span::from_ms(50);

/// Time after which a daemon ends a proposal with [`Decision::Unknown`], whichever voters it
/// was sent to.
const PROPOSAL_TIMEOUT: Span = Span::from_secs(3);

/// Where a change was proposed, and so where its decision is returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// The entry role, for the query with this id.
    Query(u64),
    /// The operator's call with this id.
    Operator(u64),
    /// This daemon, which reads the operators' file.
    Fetch,
    /// A daemon that submitted the change to this daemon's voter: its host, which may be this
    /// one, and the id of its proposal.
    Daemon(Name, u64),
}

/// A change that no voter has decided yet.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub(crate) origin: Origin,
    pub(crate) key: Key,
    pub(crate) change: Change,
    /// Index of the voter tried last, modulo their number.
    pub(crate) voter_index: usize,
    pub(crate) retry_at: Time,
    pub(crate) started_at: Time,
}

impl Daemon {
    /// Proposes a change, first to the voter on this host. Without one the first voter
    /// depends on the boot number.
    pub(crate) fn propose(
        &mut self,
        now: Time,
        origin: Origin,
        key: Key,
        change: Change,
        out: &mut Vec<Action>,
    ) {
        self.last_id += 1;
        let id = self.last_id;
        let own = self
            .voters
            .iter()
            .position(|voter| *voter == self.identity.host);
        let voter_index = own.unwrap_or(self.identity.boot as usize % self.voters.len().max(1));
        let proposal = Proposal {
            origin,
            key,
            change,
            voter_index,
            retry_at: now,
            started_at: now,
        };
        self.proposals.insert(id, proposal);
        self.submit(now, id, out);
    }

    /// Sends a proposal to its current voter.
    pub(crate) fn submit(&mut self, now: Time, id: u64, out: &mut Vec<Action>) {
        let Some(proposal) = self.proposals.get_mut(&id) else {
            return;
        };
        proposal.retry_at = now.after(VOTER_TIMEOUT);
        let (key, change) = (proposal.key, proposal.change.clone());
        let Some(voter) = self
            .voters
            .get(proposal.voter_index % self.voters.len().max(1))
        else {
            return;
        };
        if *voter == self.identity.host {
            let origin = Origin::Daemon(voter.clone(), id);
            return self.propose_locally(now, origin, key, change, out);
        }
        let voter = voter.clone();
        self.send(&voter, Message::Propose(id, key, change), out);
    }

    /// Proposes a change to this daemon's own voter; without one it ends as unknown at once.
    pub(crate) fn propose_locally(
        &mut self,
        now: Time,
        origin: Origin,
        key: Key,
        change: Change,
        out: &mut Vec<Action>,
    ) {
        self.last_id += 1;
        let ticket = self.last_id;
        let Some(voter) = &mut self.voter else {
            return self.return_decision(now, origin, Decision::Unknown, out);
        };
        self.voter_proposals.insert(ticket, origin);
        let actions = voter.propose(now, ticket, key, change);
        self.voter_actions(now, actions, out);
    }

    /// Passes a decision to its origin.
    pub(crate) fn return_decision(
        &mut self,
        now: Time,
        origin: Origin,
        decision: Decision,
        out: &mut Vec<Action>,
    ) {
        match origin {
            Origin::Daemon(host, id) if host == self.identity.host => {
                self.handle_decision(now, id, decision, out)
            }
            Origin::Daemon(host, id) => self.send(&host, Message::Decided(id, decision), out),
            Origin::Query(id) => {
                let actions = self.entry.on_decision(now, id, &decision, &self.standings);
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

    /// Handles a voter's decision on a proposal of this daemon. After an unknown decision the
    /// next voter is tried until [`PROPOSAL_TIMEOUT`].
    pub(crate) fn handle_decision(
        &mut self,
        now: Time,
        id: u64,
        decision: Decision,
        out: &mut Vec<Action>,
    ) {
        let Some(proposal) = self.proposals.get_mut(&id) else {
            return;
        };
        let in_time = now.since(proposal.started_at) < PROPOSAL_TIMEOUT;
        if decision == Decision::Unknown && in_time {
            proposal.retry_at = now.after(RETRY_DELAY);
            return;
        }
        let Some(proposal) = self.proposals.remove(&id) else {
            return;
        };
        self.return_decision(now, proposal.origin, decision, out);
    }

    /// Carries out the actions of this daemon's voter.
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
                    let host = self.voters.get(usize::from(to)).cloned();
                    if let Some(host) = host {
                        self.send(&host, Message::Voter(message), out);
                    }
                }
                voter::Action::Decided(ticket, decision) => {
                    if let Some(origin) = self.voter_proposals.remove(&ticket) {
                        self.return_decision(now, origin, decision, out);
                    }
                }
            }
        }
    }

    /// Sends unanswered proposals to the next voter and ends those that timed out.
    pub(crate) fn retry_proposals(&mut self, now: Time, out: &mut Vec<Action>) {
        let due = self
            .proposals
            .iter()
            .filter(|(_, proposal)| proposal.retry_at <= now);
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(proposal) = self.proposals.get_mut(&id) else {
                continue;
            };
            if now.since(proposal.started_at) >= PROPOSAL_TIMEOUT {
                self.handle_decision(now, id, Decision::Unknown, out);
                continue;
            }
            proposal.voter_index += 1;
            self.submit(now, id, out);
        }
    }
}
