//! Assignment of seats: each voter of the group holds one, whose number is the voter's id.
//!
//! Part of the controller. A process without state requests a seat from a voter; the voter
//! proposes to assign one that is vacant or whose holder has been silent for too long.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::clock::Span;
use crate::clock::Time;
use crate::controller::Action;
use crate::controller::Controller;
use crate::controller::Note;
use crate::controller::Peer;
use crate::controller::Pending;
use crate::controller::STARTUP_TIMING;
use crate::controller::accepted_state;
use crate::feed::Message;
use crate::register::Change;
use crate::running::TRANSFERS_MAX;
use crate::running::transfer_time;
use crate::tier;
use crate::tier::Claim;
use crate::voter::Id;
use crate::voter::Incarnation;
use crate::voter::Mode;
use crate::voter::Seat;
use crate::voter::Voter;

/// Silence after which a voter's seat may be assigned to another process.
const SEAT_SILENCE_MAX: Span = Span::from_ms(2_000);

/// Time between two requests for a seat.
const SEAT_REQUEST_EVERY: Span = Span::from_ms(250);

/// Time without progress of its repair, beyond that for a long state, after which a process that does not
/// vote in its new seat requests a seat again.
const SEAT_TIMEOUT: Span = Span::from_ms(1_500);

impl Controller {
    /// Known addresses of the voters, sorted.
    pub(crate) fn voters(&self) -> Vec<SocketAddr> {
        let known = self.incarnations();
        let known = known
            .iter()
            .filter_map(|incarnation| incarnation.address)
            .collect::<BTreeSet<_>>();
        known.into_iter().collect()
    }

    /// Newest known incarnations, indexed by voter id, from the voter and the chosen state.
    pub(crate) fn incarnations(&self) -> Vec<Incarnation> {
        let known = self
            .voter
            .as_ref()
            .map(Voter::incarnations)
            .unwrap_or_default();
        let assigned = self.chosen.as_ref().map(|state| state.seats.as_slice());
        newest_of(known.to_vec(), assigned.unwrap_or_default())
    }

    /// Proposes a seat for the process without state at `from`. Does nothing unless this voter
    /// votes, or while a request of that process is pending. Without contact to a majority it can only
    /// return the seat that the process held.
    pub(crate) fn propose_seat(
        &mut self,
        now: Time,
        from: SocketAddr,
        nonce: u64,
        out: &mut Vec<Action>,
    ) {
        let is_pending =
            |p: &Pending| matches!(p, Pending::SeatRequest(address) if *address == from);
        let can_propose = self.mode() == Some(Mode::Voting);
        if !can_propose || self.pending.values().any(is_pending) {
            return;
        }
        if !self.quorum {
            return self.return_seat(from, nonce, out);
        }
        let known = self.incarnations();
        self.track_peers(now, &known);
        let silent = |incarnation: &Incarnation| {
            let address = incarnation.address.filter(|_| incarnation.epoch > 0);
            address.is_some_and(|address| !self.is_responsive(now, address, SEAT_SILENCE_MAX))
        };
        let free = known.iter().zip(0..);
        let free = free.filter(|(incarnation, _)| incarnation.is_vacant() || silent(incarnation));
        let free = free.map(|(_, id)| id).collect::<Vec<_>>();
        let has_seat = known
            .iter()
            .any(|incarnation| incarnation.address == Some(from));
        if free.is_empty() && !has_seat {
            return;
        }
        let claim = Claim {
            address: from,
            nonce,
            free,
            incarnations: known,
        };
        let change = Change::Tier(tier::Change::Seat(claim).into());
        self.propose(now, Pending::SeatRequest(from), change, out);
    }

    /// Returns to the process at `from`, which lost its state, the seat that it held, also one whose
    /// assignment may not have been decided. No majority decides that, so the process votes only after a
    /// majority of the others admitted its new incarnation, each of them one incarnation an epoch.
    fn return_seat(&self, from: SocketAddr, nonce: u64, out: &mut Vec<Action>) {
        let accepted = self.voter.as_ref().and_then(accepted_state);
        let accepted = accepted.map_or(&[][..], |state| &state.seats);
        let mut seats = newest_of(self.incarnations(), accepted);
        let held = seats
            .iter()
            .position(|incarnation| incarnation.address == Some(from));
        let Some(id) = held else {
            return;
        };
        seats[id] = match seats[id].nonce == nonce {
            true => seats[id],
            false => seats[id].successor(from, nonce),
        };
        let seat = Seat {
            id: id as Id,
            incarnation: seats[id],
            incarnations: seats,
        };
        out.push(Action::Send(from, Message::Seated(seat)));
    }

    /// Adds the voters that have sent nothing yet to the peers. Their silence counts from now.
    fn track_peers(&mut self, now: Time, incarnations: &[Incarnation]) {
        let own = self.settings.address;
        let others = incarnations
            .iter()
            .filter_map(|incarnation| incarnation.address);
        for address in others.filter(|address| *address != own) {
            self.peers
                .entry(address)
                .or_insert_with(|| Peer::silent_since(now));
        }
    }

    /// Takes the seat that was assigned to this run of the process: replaces its records and
    /// begins the repair.
    pub(crate) fn take_seat(&mut self, now: Time, seat: Seat, out: &mut Vec<Action>) {
        let is_for_this_process = seat.incarnation.address == Some(self.settings.address);
        let has_seat = self
            .voter
            .as_ref()
            .is_some_and(|voter| !voter.lacks_incarnation() && self.assigned_seat.is_none());
        let is_repeated = self
            .assigned_seat
            .as_ref()
            .is_some_and(|(held, _)| held.incarnation == seat.incarnation);
        if !is_for_this_process
            || has_seat
            || is_repeated
            || seat.incarnation.nonce != self.settings.nonce
        {
            return;
        }
        out.push(Action::Replace(Voter::records_of_seat(&seat, self.written)));
        out.push(Action::Note(Note::Seated(seat.id)));
        let voter = Voter::for_seat(now, &seat, self.written);
        self.voter = Some(voter.with_timing(STARTUP_TIMING));
        self.assigned_seat = Some((seat, now));
        // The proposals of the replaced voter are not decided any more.
        for pending in std::mem::take(&mut self.pending).into_values() {
            self.answer_unknown(pending, out);
        }
    }

    /// Gives up the seat if the chosen state assigns it to another process. Messages to a voter
    /// go to the holder of its seat, so that the former holder hears of this only from the state.
    pub(crate) fn observe_seats(
        &mut self,
        now: Time,
        seats: &[Incarnation],
        out: &mut Vec<Action>,
    ) {
        let actions = self.voter.as_mut().map(|voter| {
            let assigned = seats.get(usize::from(voter.id()));
            voter.observe_own_epoch(now, assigned.map_or(0, |seat| seat.epoch))
        });
        self.voter_actions(now, actions.unwrap_or_default(), out);
    }

    /// Asks the others for the chosen state while this process is not in contact with a
    /// majority. That may be because its seat was assigned to another process.
    pub(crate) fn request_state(&self, out: &mut Vec<Action>) {
        if self.quorum {
            return;
        }
        let revision = self.chosen.as_ref().map_or(0, |state| state.revision);
        let contacts = self.contacts().into_iter();
        out.extend(contacts.map(|address| Action::Send(address, Message::WantState(revision))));
    }

    /// Addresses at which other voters are or were: the known ones, those that another process
    /// reported, and the seeds.
    fn contacts(&self) -> BTreeSet<SocketAddr> {
        let known = self.voters().into_iter();
        let known = known.chain(self.reported_voters.iter().copied());
        let known = known.chain(self.settings.seeds.iter().copied());
        known
            .filter(|address| *address != self.settings.address)
            .collect()
    }

    /// Requests a seat from the next known voter if this process has none, or if it has not
    /// begun to vote in its assigned seat within [`SEAT_TIMEOUT`].
    pub(crate) fn request_seat(&mut self, now: Time, out: &mut Vec<Action>) {
        let voting = self.mode() == Some(Mode::Voting);
        if voting {
            self.assigned_seat = None;
            return;
        }
        let lacks_seat = self.voter.as_ref().is_none_or(Voter::lacks_incarnation);
        let bytes = self.chosen.as_ref().map_or(0, |state| state.document.len());
        let timeout = SEAT_TIMEOUT + transfer_time(bytes).saturating_mul(TRANSFERS_MAX);
        let progress = self.voter.as_ref().and_then(Voter::repair_progress);
        let stuck = self.assigned_seat.as_ref().is_some_and(|(_, since)| {
            let since = progress.map_or(*since, |progress| progress.max(*since));
            now.since(since) >= timeout
        });
        let due = self
            .last_seat_request
            .is_none_or(|at| now.since(at) >= SEAT_REQUEST_EVERY);
        if !(lacks_seat || stuck) || !due {
            return;
        }
        self.last_seat_request = Some(now);
        let known = self.contacts().into_iter().collect::<Vec<_>>();
        self.seat_request_index += 1;
        if let Some(address) = known.get(self.seat_request_index % known.len().max(1)) {
            out.push(Action::Send(*address, Message::WantVoters));
            out.push(Action::Send(
                *address,
                Message::RequestSeat(self.settings.nonce),
            ));
        }
    }
}

/// The known incarnations, with those of newer epochs that a state assigns.
fn newest_of(mut known: Vec<Incarnation>, assigned: &[Incarnation]) -> Vec<Incarnation> {
    for (known, assigned) in known.iter_mut().zip(assigned) {
        if assigned.epoch > known.epoch {
            *known = *assigned;
        }
    }
    known
}
