//! The replicated state of a tier whose hosts are discovered: the operators'
//! configuration, the failure domains taken out of service, and the voters.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::voter::Id;
use crate::voter::Incarnation;
use crate::voter::Place;

/// The state. Each change makes the next revision of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// Number of changes made so far.
    pub revision: u64,
    /// Version of the configuration; zero for none.
    pub version: u64,
    /// The configuration as it was sent.
    pub document: Arc<[u8]>,
    /// Failure domains to which no new work may go.
    pub closed: BTreeSet<Name>,
    /// The voters' lives that were given by this state.
    pub seats: Vec<Incarnation>,
}

/// A change of the state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// Put a configuration in force unless one as new is.
    Configure {
        /// Its version.
        version: u64,
        /// The configuration as it was sent.
        document: Arc<[u8]>,
    },
    /// Take a failure domain out of service.
    Close(Name),
    /// Put a failure domain back into service.
    Open(Name),
    /// Give a voter's place to a process without state.
    Seat(Claim),
}

/// A claim of a process without state to be a voter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Where the process is reached.
    pub address: SocketAddr,
    /// Random number of this run of it.
    pub nonce: u64,
    /// The voters' lives that the proposing voter knows.
    pub known: Vec<Incarnation>,
    /// Places that may be given away: vacant, or silent for too long.
    pub free: Vec<Id>,
}

/// What a change came to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// It is made, or was made before.
    Done,
    /// A configuration as new is in force already; nothing was changed.
    Superseded,
    /// A place was given.
    Seated(Place),
    /// No place is free.
    Full,
}

impl State {
    /// The state after `change`, if it changes anything, and the verdict.
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

    fn next(&self) -> State {
        State {
            revision: self.revision + 1,
            ..self.clone()
        }
    }

    /// Gives the claimant the place that it had, or the first that is free. Its
    /// life there is above all that the claim and this state know of.
    fn seat(&self, claim: &Claim) -> (Option<State>, Verdict) {
        let newest = claim.known.iter().enumerate().map(|(id, known)| {
            let given = self.seats.get(id).copied().unwrap_or_default();
            if given.epoch > known.epoch {
                given
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
            let given = self.seats.get(*id).map_or(0, |seat| seat.epoch);
            claim
                .known
                .get(*id)
                .is_some_and(|known| known.epoch >= given)
        });
        let Some(id) = own.or(free.min()) else {
            return (None, Verdict::Full);
        };
        let renewed = seats[id].address == Some(claim.address) && seats[id].nonce == claim.nonce;
        if !renewed {
            seats[id] = Incarnation {
                epoch: seats[id].epoch + 1,
                nonce: claim.nonce,
                address: Some(claim.address),
            };
        }
        let place = Place {
            id: id as Id,
            incarnation: seats[id],
            known: seats.clone(),
        };
        if renewed {
            return (None, Verdict::Seated(place));
        }
        let next = State {
            seats,
            ..self.next()
        };
        (Some(next), Verdict::Seated(place))
    }
}
