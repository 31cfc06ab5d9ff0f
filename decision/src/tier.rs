//! Replicated state of a tier with discovered hosts: the operators' configuration, the
//! failure domains out of service, and the voters' seats.
//!
//! The register keeps the state under one key and applies changes with [`State::decide`].

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::voter::Id;
use crate::voter::Incarnation;
use crate::voter::Seat;

/// The replicated state; each change creates its next revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
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
}

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
}

impl State {
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
                (Some(next), Verdict::Done)
            }
            Change::Open(domain) if !self.closed.contains(domain) => (None, Verdict::Done),
            Change::Open(domain) => {
                let mut next = self.next();
                next.closed.remove(domain);
                (Some(next), Verdict::Done)
            }
            Change::Seat(claim) => self.seat(claim),
        }
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
            seats[id] = Incarnation {
                epoch: seats[id].epoch + 1,
                nonce: claim.nonce,
                address: Some(claim.address),
            };
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
