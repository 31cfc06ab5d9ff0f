//! Replicated state of a tier with discovered hosts: the operators' configuration, the
//! failure domains out of service, and the voters' seats.
//!
//! The register keeps the state under one key and applies changes with [`State::decide`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::name::Name;
use crate::rollout;
use crate::rollout::Begin;
use crate::rollout::Phase;
use crate::rollout::Record;
use crate::rollout::stored::Stored;
use crate::voter::Id;
use crate::voter::Incarnation;
use crate::voter::Seat;

/// The replicated state; each change creates its next revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct State {
    /// Number of changes so far.
    pub revision: u64,
    /// Version of the configuration; zero for none.
    pub version: u64,
    /// The configuration, byte for byte as the operator sent it.
    pub document: Arc<[u8]>,
    /// Failure domains to which no new work may go.
    pub closed: BTreeSet<Name>,
    /// Incarnations assigned by this state, indexed by voter id; empty before the first seat
    /// is assigned.
    pub seats: Vec<Incarnation>,
    /// The last rollout of each service that had one.
    pub rollouts: BTreeMap<Name, Record>,
    /// Revision at which each failure domain was last taken out of service or put back.
    pub switched: BTreeMap<Name, u64>,
}

/// Longest configuration in bytes. With the rest of the state it must fit into a record and a message
/// of 16 MiB.
pub const DOCUMENT_MAX_BYTES: usize = 15 * 1024 * 1024;

/// A change of the state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// Puts a configuration in force unless one of the same or a higher version is.
    Configure {
        /// Version of the configuration.
        version: u64,
        /// The configuration, byte for byte as the operator sent it.
        document: Arc<[u8]>,
    },
    /// Takes a failure domain out of service.
    Close(Name),
    /// Puts a failure domain back into service.
    Open(Name),
    /// Assigns a voter's seat to a process without state.
    Seat(Claim),
    /// Begins a rollout.
    Rollout {
        /// The service.
        service: Name,
        /// Version that its traffic moves to.
        target: Name,
        /// Time within which that is to be completed.
        duration: Span,
        /// Random number that identifies the request.
        request: u64,
    },
    /// Takes a step of a rollout in progress, unless another one was taken since.
    Step {
        /// The service.
        service: Name,
        /// Identifies the rollout.
        id: u64,
        /// Number of steps taken before.
        serial: u64,
        /// The step.
        step: rollout::Step,
    },
}

/// A change as a voter proposes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proposal {
    /// The change.
    pub change: Change,
    /// Newest revision that an operator may have known who gave the change as an order. A newer
    /// order on the same matter overtakes it.
    pub known: u64,
}

impl From<Change> for Proposal {
    /// Proposes a change that no order overtakes.
    fn from(change: Change) -> Proposal {
        Proposal {
            change,
            known: u64::MAX,
        }
    }
}

/// Request of a process without state for a voter's seat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Peer address of the process.
    pub address: SocketAddr,
    /// Random number that identifies this run of the process.
    pub nonce: u64,
    /// Incarnations known to the proposing voter, indexed by voter id.
    #[serde(rename = "known")]
    pub incarnations: Vec<Incarnation>,
    /// Seats that may be assigned: vacant ones, and those whose holder is silent for too
    /// long.
    pub free: Vec<Id>,
}

/// Result of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The change is in force, by this call or an earlier one.
    Done,
    /// A configuration of the same or a higher version is in force; nothing changed.
    Superseded,
    /// A seat was assigned.
    Seated(Seat),
    /// No seat is free.
    Full,
    /// A rollout of the service is in progress; nothing changed.
    Conflict,
    /// A newer order on the same matter was carried out first; nothing changed.
    Overtaken,
}

impl State {
    /// Applies a proposal as [`State::decide`] does, unless it was overtaken.
    pub fn decide_proposal(&self, proposal: &Proposal) -> (Option<State>, Verdict) {
        match self.decide(&proposal.change) {
            (Some(_), _) if self.overtakes(proposal) => (None, Verdict::Overtaken),
            decided => decided,
        }
    }

    /// Whether this state holds an order on the same matter that is newer than what the operator
    /// may have known. Configurations are ordered by their versions, seats by their epochs and
    /// steps of rollouts by their numbers.
    fn overtakes(&self, proposal: &Proposal) -> bool {
        let ordered_at = match &proposal.change {
            Change::Close(domain) | Change::Open(domain) => self.switched.get(domain).copied(),
            Change::Rollout { service, .. } => self.rollouts.get(service).map(|last| last.id),
            Change::Configure { .. } | Change::Seat(_) | Change::Step { .. } => None,
        };
        ordered_at.is_some_and(|revision| revision > proposal.known)
    }

    /// Applies a change: returns the next state, or none if nothing changes, and the
    /// verdict.
    pub fn decide(&self, change: &Change) -> (Option<State>, Verdict) {
        match change {
            Change::Configure { version, .. } if *version <= self.version => {
                (None, Verdict::Superseded)
            }
            Change::Configure { version, document } => {
                let next = State {
                    version: *version,
                    document: document.clone(),
                    ..self.next()
                };
                (Some(next), Verdict::Done)
            }
            Change::Close(domain) if self.closed.contains(domain) => (None, Verdict::Done),
            Change::Close(domain) => {
                let mut next = self.next();
                next.closed.insert(domain.clone());
                next.switched.insert(domain.clone(), next.revision);
                (Some(next), Verdict::Done)
            }
            Change::Open(domain) if !self.closed.contains(domain) => (None, Verdict::Done),
            Change::Open(domain) => {
                let mut next = self.next();
                next.closed.remove(domain);
                next.switched.insert(domain.clone(), next.revision);
                (Some(next), Verdict::Done)
            }
            Change::Seat(claim) => self.seat(claim),
            Change::Rollout {
                service,
                target,
                duration,
                request,
            } => self.begin_rollout(service, target, *duration, *request),
            Change::Step {
                service,
                id,
                serial,
                step,
            } => self.step_rollout(service, *id, *serial, *step),
        }
    }

    /// Begins a rollout, unless one is in progress or the last one had the same target.
    fn begin_rollout(
        &self,
        service: &Name,
        target: &Name,
        duration: Span,
        request: u64,
    ) -> (Option<State>, Verdict) {
        let last = self.rollouts.get(service);
        match Record::assess(last, target, request) {
            Begin::Known => (None, Verdict::Done),
            Begin::Conflict => (None, Verdict::Conflict),
            Begin::New => {
                let mut next = self.next();
                let record = Record {
                    request,
                    ..Record::begin(last, next.revision, target.clone(), duration)
                };
                next.rollouts.insert(service.clone(), record);
                (Some(next), Verdict::Done)
            }
        }
    }

    /// Takes a step of a rollout, unless it ended or another step was taken meanwhile.
    fn step_rollout(
        &self,
        service: &Name,
        id: u64,
        serial: u64,
        step: rollout::Step,
    ) -> (Option<State>, Verdict) {
        let current = self.rollouts.get(service).filter(|record| {
            let in_progress = record.phase == Phase::InProgress;
            in_progress && record.id == id && record.serial == serial
        });
        let Some(record) = current.map(|record| record.after(step)) else {
            return (None, Verdict::Superseded);
        };
        let mut next = self.next();
        next.rollouts.insert(service.clone(), record);
        (Some(next), Verdict::Done)
    }

    /// Copy of the state under the next revision.
    fn next(&self) -> State {
        State {
            revision: self.revision + 1,
            ..self.clone()
        }
    }

    /// Assigns the claimant the seat that its address holds, else the first free one. The
    /// epoch of the new incarnation is above those that the claim and this state have for the
    /// seat. A run of a process that already holds the seat keeps its incarnation.
    fn seat(&self, claim: &Claim) -> (Option<State>, Verdict) {
        let newest = claim.incarnations.iter().enumerate().map(|(id, known)| {
            let assigned = self.seats.get(id).copied().unwrap_or_default();
            if assigned.epoch > known.epoch {
                assigned
            } else {
                *known
            }
        });
        let mut seats = newest.collect::<Vec<_>>();
        let own = seats
            .iter()
            .position(|seat| seat.address == Some(claim.address));
        let free = claim.free.iter().map(|id| usize::from(*id));
        let free = free.filter(|id| {
            let assigned_epoch = self.seats.get(*id).map_or(0, |seat| seat.epoch);
            claim
                .incarnations
                .get(*id)
                .is_some_and(|known| known.epoch >= assigned_epoch)
        });
        let Some(id) = own.or(free.min()) else {
            return (None, Verdict::Full);
        };
        let is_same_run =
            seats[id].address == Some(claim.address) && seats[id].nonce == claim.nonce;
        if !is_same_run {
            seats[id] = seats[id].successor(claim.address, claim.nonce);
        }
        let seat = Seat {
            id: id as Id,
            incarnation: seats[id],
            incarnations: seats.clone(),
        };
        if is_same_run {
            return (None, Verdict::Seated(seat));
        }
        let next = State {
            seats,
            ..self.next()
        };
        (Some(next), Verdict::Seated(seat))
    }
}
