//! The platform's list of replicas: whose turn it is to read it, and how it spreads.

use std::sync::Arc;

use crate::clock::Span;
use crate::clock::Time;
use crate::control::Action;
use crate::control::Control;
use crate::control::Listing;
use crate::control::Note;
use crate::feed::Message;
use crate::fleet::Fleet;

/// Longest time for one read of the list.
const READ_MAX: Span = Span::from_ms(1_500);

/// Wait, beyond the usual time between reads, of voters that didn't read last.
const READ_GRACE: Span = Span::from_ms(350);

/// Further wait for each voter before this one.
const READ_STEP: Span = Span::from_ms(150);

impl Control {
    pub(crate) fn learn_fleet(
        &mut self,
        now: Time,
        fleet: Arc<Fleet>,
        read: Time,
        out: &mut Vec<Action>,
    ) {
        if self
            .listing
            .as_ref()
            .is_some_and(|listing| listing.read >= read)
        {
            return;
        }
        self.read_last = false;
        let digest = fleet.digest();
        let same = self
            .listing
            .as_ref()
            .is_some_and(|listing| listing.digest == digest);
        let replicas = fleet.replicas.len();
        self.listing = Some(Listing {
            fleet,
            digest,
            read,
        });
        if same {
            return;
        }
        let age = now.since(read);
        out.push(Action::Note(Note::Fleet { replicas, age }));
        self.feed_all(now, out);
    }

    pub(crate) fn listed(&mut self, now: Time, fleet: Option<Fleet>, out: &mut Vec<Action>) {
        let Some(started) = self.reading.take() else {
            return;
        };
        let Some(fleet) = fleet else {
            return out.push(Action::Note(Note::ListFailed));
        };
        let before = self.listing.as_ref().map(|listing| listing.digest);
        self.learn_fleet(now, Arc::new(fleet), started, out);
        self.read_last = true;
        let changed = self.listing.as_ref().map(|listing| listing.digest) != before;
        if changed && let Some(listing) = &self.listing {
            let message = Message::Fleet(listing.fleet.clone(), now.since(started));
            self.broadcast(&message, out);
        }
    }

    /// Whether it is this voter's turn to read the list.
    pub(crate) fn should_read(&self, now: Time) -> bool {
        if self.reading.is_some_and(|at| now.since(at) < READ_MAX) {
            return false;
        }
        let Some(listing) = &self.listing else {
            let first = self.settings.seeds.first() == Some(&self.settings.address);
            return first || self.unsettled.is_none();
        };
        let grace = match &self.voter {
            _ if self.read_last => Span::ZERO,
            Some(voter) => READ_GRACE.plus_steps(READ_STEP, voter.id()),
            None => READ_GRACE.plus_steps(READ_STEP, self.settings.voters),
        };
        now.since(listing.read) >= self.settings.read_every + grace
    }
}
