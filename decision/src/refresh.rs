//! Reads of the platform's list of replicas.
//!
//! Part of the controller: decides which voter reads the list next, and shares what it read
//! with the other voters and the entry hosts. A [`Fleet`] is the content of the list; a
//! [`Listing`] is a fleet with its digest and the time when it was read.

use std::sync::Arc;

use crate::clock::Span;
use crate::clock::Time;
use crate::controller::Action;
use crate::controller::Controller;
use crate::controller::Listing;
use crate::controller::Note;
use crate::feed::Message;
use crate::fleet::Fleet;

/// Time after which a read of the list counts as lost and another may begin.
const LIST_READ_TIMEOUT: Span = Span::from_ms(1_500);

/// Delay beyond the usual interval for voters other than the last reader.
const READ_GRACE: Span = Span::from_ms(350);

/// Further delay for each voter with a lower id.
const READ_STEP: Span = Span::from_ms(150);

impl Controller {
    /// Adopts a list that was read later than the current one and feeds the entry hosts
    /// if it differs.
    pub(crate) fn learn_fleet(
        &mut self,
        now: Time,
        fleet: Arc<Fleet>,
        read_at: Time,
        out: &mut Vec<Action>,
    ) {
        if self
            .listing
            .as_ref()
            .is_some_and(|listing| listing.read_at >= read_at)
        {
            return;
        }
        self.was_last_reader = false;
        let digest = fleet.digest();
        let same = self
            .listing
            .as_ref()
            .is_some_and(|listing| listing.digest == digest);
        let replicas = fleet.replicas.len();
        self.listing = Some(Listing {
            fleet,
            digest,
            read_at,
        });
        if same {
            return;
        }
        let age = now.since(read_at);
        out.push(Action::Note(Note::Fleet { replicas, age }));
        self.push_feeds(now, out);
    }

    /// Handles the end of the read that began at `started`, and shares the list with the other
    /// voters if it changed. A process that was frozen may get the result of an earlier read while a
    /// later one runs.
    pub(crate) fn finish_read(
        &mut self,
        now: Time,
        started: Time,
        fleet: Option<Fleet>,
        out: &mut Vec<Action>,
    ) {
        if self.read_started == Some(started) {
            self.read_started = None;
        }
        let Some(fleet) = fleet else {
            return out.push(Action::Note(Note::ListFailed));
        };
        let before = self.listing.as_ref().map(|listing| listing.digest);
        self.learn_fleet(now, Arc::new(fleet), started, out);
        self.was_last_reader = true;
        let changed = self.listing.as_ref().map(|listing| listing.digest) != before;
        if changed && let Some(listing) = &self.listing {
            let message = self.fleet_message(listing, started, now);
            self.broadcast(&message, out);
        }
    }

    /// Message with the list, which was read at `read_at`.
    pub(crate) fn fleet_message(&self, listing: &Listing, read_at: Time, now: Time) -> Message {
        let versions = listing.fleet.versions.clone();
        Message::Fleet(listing.fleet.clone(), now.since(read_at), versions.into())
    }

    /// Whether this process should read the list now. The last reader reads it at each
    /// interval. The others wait longer, by [`READ_GRACE`] and a step for each lower id, so that
    /// one of them takes over if the last reader falls behind. While no list is known, the
    /// first seed reads it, and so does each voter whose accepted state is known to be chosen.
    pub(crate) fn should_read(&self, now: Time) -> bool {
        if self
            .read_started
            .is_some_and(|at| now.since(at) < LIST_READ_TIMEOUT)
        {
            return false;
        }
        let Some(listing) = &self.listing else {
            let first = self.settings.seeds.first() == Some(&self.settings.address);
            return first || self.unsettled_since.is_none();
        };
        let grace = match &self.voter {
            _ if self.was_last_reader => Span::ZERO,
            Some(voter) => READ_GRACE.plus_steps(READ_STEP, voter.id()),
            None => READ_GRACE.plus_steps(READ_STEP, self.settings.voters),
        };
        now.since(listing.read_at) >= self.settings.read_every + grace
    }
}
