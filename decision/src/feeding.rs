//! What a voter tells the entry hosts and the other voters.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::clock::Span;
use crate::clock::Time;
use crate::control::Action;
use crate::control::Control;
use crate::control::Note;
use crate::control::PEER_SILENT;
use crate::control::Peer;
use crate::feed::Beat;
use crate::feed::Feed;
use crate::feed::Message;
use crate::feed::Pulse;
use crate::feed::digest_of;
use crate::plan::Host;
use crate::voter::Mode;

/// Silence after which an entry host counts as gone.
const ENTRY_SILENT: Span = Span::from_ms(2_500);

impl Control {
    pub(crate) fn beat(&mut self, now: Time, from: SocketAddr, beat: Beat, out: &mut Vec<Action>) {
        let known = self.entries.insert(from, (beat.clone(), now)).is_some();
        if !known {
            self.count_hosts(now, out);
        }
        out.push(Action::Send(from, self.feed(now, &beat)));
    }

    /// Entry hosts that this voter has heard lately.
    fn own_hosts(&self) -> impl Iterator<Item = Host> {
        self.entries.iter().map(|(address, (beat, _))| Host {
            address: *address,
            domain: beat.domain.clone(),
        })
    }

    pub(crate) fn feed(&self, now: Time, beat: &Beat) -> Message {
        let Some(state) = self.chosen.as_ref().filter(|_| self.quorum) else {
            return Message::Feed(Box::default());
        };
        let listing = self.listing.as_ref();
        let digest = listing.map(|listing| listing.digest).unwrap_or_default();
        let lacking = listing.filter(|listing| listing.digest != beat.fleet);
        Message::Feed(Box::new(Feed {
            fresh: true,
            revision: state.revision,
            version: state.version,
            document: (state.version > beat.version).then(|| state.document.clone()),
            closed: state.closed.clone(),
            fleet_age: listing.map(|listing| now.since(listing.read)),
            fleet_digest: digest,
            fleet: lacking.map(|listing| listing.fleet.clone()),
            hosts_digest: self.hosts_digest,
            hosts: (self.hosts_digest != beat.hosts).then(|| self.hosts.clone()),
            failing: self.failing(now),
            voters: self.voters(),
        }))
    }

    /// Entry hosts heard by this voter that fail most requests.
    pub(crate) fn own_failing(&self) -> u32 {
        let failing = self.entries.values().filter(|(beat, _)| beat.failing);
        failing.count() as u32
    }

    /// Entry hosts that fail most requests, as far as known.
    pub(crate) fn failing(&self, now: Time) -> u32 {
        let live = |peer: &&Peer| now.since(peer.heard) < PEER_SILENT;
        let peers = self.peers.values().filter(live).map(|peer| peer.failing);
        self.own_failing() + peers.sum::<u32>()
    }

    /// Tells all entry hosts in touch what they lack.
    pub(crate) fn feed_all(&mut self, now: Time, out: &mut Vec<Action>) {
        let fed = self
            .entries
            .iter()
            .map(|(entry, (beat, _))| (*entry, beat.clone()));
        for (entry, beat) in fed.collect::<Vec<_>>() {
            out.push(Action::Send(entry, self.feed(now, &beat)));
            self.assume_fed(entry);
        }
    }

    /// Notes what an entry host has once a feed arrives; a lost one is made up
    /// for after its next beat.
    pub(crate) fn assume_fed(&mut self, entry: SocketAddr) {
        let version = self.chosen.as_ref().map_or(0, |state| state.version);
        let fleet = self.listing.as_ref().map(|listing| listing.digest);
        if let Some((beat, _)) = self.entries.get_mut(&entry) {
            beat.version = version;
            beat.fleet = fleet.unwrap_or_default();
            beat.hosts = self.hosts_digest;
        }
    }

    pub(crate) fn count_hosts(&mut self, now: Time, out: &mut Vec<Action>) {
        let silent = |at: &Time| now.since(*at) >= ENTRY_SILENT;
        self.entries.retain(|_, (_, heard)| !silent(heard));
        let live = self.peers.values().filter(|peer| !silent(&peer.heard));
        let mut hosts = live
            .flat_map(|peer| &peer.entries)
            .cloned()
            .collect::<BTreeSet<_>>();
        hosts.extend(self.own_hosts());
        let hosts = hosts.into_iter().collect::<Vec<_>>();
        if hosts == self.hosts {
            return;
        }
        self.hosts_digest = digest_of(&hosts);
        self.hosts = hosts;
        out.push(Action::Note(Note::Entries(self.hosts.len())));
    }

    pub(crate) fn pulse(
        &mut self,
        now: Time,
        from: SocketAddr,
        pulse: Pulse,
        out: &mut Vec<Action>,
    ) {
        self.hear(now, from);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.entries = pulse.entries;
            peer.voting = pulse.voting;
            peer.failing = pulse.failing;
        }
        let revision = self.chosen.as_ref().map_or(0, |state| state.revision);
        if pulse.revision > revision {
            out.push(Action::Send(from, Message::WantState(revision)));
        }
        let Some(age) = pulse.fleet_age else {
            return;
        };
        let read = Time::from_us(now.as_us().saturating_sub(age.as_us()));
        match &mut self.listing {
            Some(listing) if listing.read >= read => {}
            Some(listing) if listing.digest == pulse.fleet_digest => {
                listing.read = read;
                self.read_last = false;
            }
            _ => out.push(Action::Send(from, Message::WantFleet)),
        }
    }

    pub(crate) fn send_pulse(&mut self, now: Time, out: &mut Vec<Action>) {
        let listing = self.listing.as_ref();
        let pulse = Pulse {
            voting: self.mode() == Some(Mode::Voting),
            revision: self.chosen.as_ref().map_or(0, |state| state.revision),
            fleet_age: listing.map(|listing| now.since(listing.read)),
            fleet_digest: listing.map(|listing| listing.digest).unwrap_or_default(),
            entries: self.own_hosts().collect(),
            failing: self.own_failing(),
        };
        self.broadcast(&Message::Pulse(pulse), out);
    }
}
