//! Voters' places: who holds them, and how a process without state gets one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::clock::Span;
use crate::clock::Time;
use crate::control::Action;
use crate::control::Control;
use crate::control::Note;
use crate::control::Peer;
use crate::control::START;
use crate::control::Ticket;
use crate::feed::Message;
use crate::register::Change;
use crate::tier;
use crate::tier::Claim;
use crate::voter::Incarnation;
use crate::voter::Mode;
use crate::voter::Place;
use crate::voter::Record;
use crate::voter::Voter;

/// Silence after which a voter's place may be given to another process.
const PLACE_SILENT: Span = Span::from_ms(2_000);

/// Time between two tries to become a voter.
const JOIN_EVERY: Span = Span::from_ms(250);

/// Time after which a place that came to nothing is asked for again.
const PLACE_MAX: Span = Span::from_ms(1_500);

impl Control {
    /// Addresses of the voters, as far as known.
    pub(crate) fn voters(&self) -> Vec<SocketAddr> {
        let known = self.lives();
        let known = known
            .iter()
            .filter_map(|life| life.address)
            .collect::<BTreeSet<_>>();
        known.into_iter().collect()
    }

    /// The voters' newest lives that this process knows.
    pub(crate) fn lives(&self) -> Vec<Incarnation> {
        let known = self
            .voter
            .as_ref()
            .map(Voter::incarnations)
            .unwrap_or_default();
        let given = self.chosen.as_ref().map(|state| state.seats.as_slice());
        let given = given.unwrap_or_default();
        let newest = |(id, known): (usize, &Incarnation)| match given.get(id) {
            Some(given) if given.epoch > known.epoch => *given,
            _ => *known,
        };
        known.iter().enumerate().map(newest).collect()
    }

    /// Has a place given to a process without state.
    pub(crate) fn claim(&mut self, now: Time, from: SocketAddr, nonce: u64, out: &mut Vec<Action>) {
        let under_way =
            |ticket: &Ticket| matches!(ticket, Ticket::Join(address) if *address == from);
        let able = self.mode() == Some(Mode::Voting) && self.quorum;
        if !able || self.tickets.values().any(under_way) {
            return;
        }
        let known = self.lives();
        self.expect(now, &known);
        let vacant = |life: &Incarnation| life.epoch == 0 && life.address.is_none();
        let silent = |life: &Incarnation| {
            let address = life.address.filter(|_| life.epoch > 0);
            address.is_some_and(|address| !self.is_heard(now, address, PLACE_SILENT))
        };
        let free = known.iter().zip(0..);
        let free = free.filter(|(life, _)| vacant(life) || silent(life));
        let claim = Claim {
            address: from,
            nonce,
            free: free.map(|(_, id)| id).collect(),
            known,
        };
        let change = Change::Tier(tier::Change::Seat(claim));
        self.propose(now, Ticket::Join(from), change, out);
    }

    /// Begins to wait for voters that were never heard, so that their silence counts
    /// from now.
    fn expect(&mut self, now: Time, lives: &[Incarnation]) {
        let own = self.settings.address;
        let others = lives.iter().filter_map(|life| life.address);
        for address in others.filter(|address| *address != own) {
            self.peers
                .entry(address)
                .or_insert_with(|| Peer::unheard(now));
        }
    }

    /// Takes a place that was given to this process.
    pub(crate) fn seated(&mut self, now: Time, place: Place, out: &mut Vec<Action>) {
        let own = place.incarnation.address == Some(self.settings.address);
        let settled = self
            .voter
            .as_ref()
            .is_some_and(|voter| !voter.is_displaced() && self.place.is_none());
        let same = self
            .place
            .as_ref()
            .is_some_and(|(held, _)| held.incarnation == place.incarnation);
        if !own || settled || same || place.incarnation.nonce != self.settings.nonce {
            return;
        }
        let records = place
            .known
            .iter()
            .zip(0..)
            .filter(|(_, id)| *id != place.id)
            .map(|(life, id)| Record::Known(id, *life));
        let seat = Record::Seat(place.id, place.known.len() as u8);
        let written = Record::Written(self.written);
        let records = std::iter::once(seat).chain(records).chain([written]);
        out.push(Action::Replace(records.collect()));
        out.push(Action::Note(Note::Seated(place.id)));
        let voter = Voter::join(now, &place, self.written);
        self.voter = Some(voter.with_timing(START));
        self.place = Some((place, now));
    }

    /// Asks for a voter's place while this process has none.
    pub(crate) fn ask_for_place(&mut self, now: Time, out: &mut Vec<Action>) {
        let voting = self.mode() == Some(Mode::Voting);
        if voting {
            self.place = None;
            return;
        }
        let displaced = self.voter.as_ref().is_none_or(Voter::is_displaced);
        let stuck = self
            .place
            .as_ref()
            .is_some_and(|(_, since)| now.since(*since) >= PLACE_MAX);
        let due = self.joined.is_none_or(|at| now.since(at) >= JOIN_EVERY);
        if !(displaced || stuck) || !due {
            return;
        }
        self.joined = Some(now);
        let known = self.voters().into_iter().chain(self.heard_voters.clone());
        let known = known.chain(self.settings.seeds.clone());
        let known = known.filter(|address| *address != self.settings.address);
        let known = known
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect::<Vec<_>>();
        self.join_at += 1;
        if let Some(address) = known.get(self.join_at % known.len().max(1)) {
            out.push(Action::Send(*address, Message::WantVoters));
            out.push(Action::Send(*address, Message::Join(self.settings.nonce)));
        }
    }
}
