//! Messages of a voter to the entry hosts and the other voters.
//!
//! Part of the controller: answers heartbeats of entry hosts with feeds, pushes changes to
//! them, and exchanges status messages with the other voters. Records of requests under which
//! servers ended spread the same way; no majority is needed for them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::appended::Appended;
use crate::clock::Span;
use crate::clock::Time;
use crate::controller::Action;
use crate::controller::Controller;
use crate::controller::Note;
use crate::controller::PEER_TIMEOUT;
use crate::controller::Peer;
use crate::digest::Digest;
use crate::feed::Feed;
use crate::feed::Heartbeat;
use crate::feed::LinkReport;
use crate::feed::Links;
use crate::feed::Message;
use crate::feed::Status;
use crate::feed::digest_hosts;
use crate::fleet::Instance;
use crate::plan::Host;
use crate::quarantine::Record;
use crate::quota;
use crate::voter::Mode;

/// Time for which changes of the ledger are collected before others are told.
const LEDGER_SPREAD_DELAY: Span = Span::from_ms(20);

/// Time after contact with a majority is regained in which every live voter has told of its entry
/// hosts. Before that, the list of them may lack many.
const HOSTS_COLLECT_TIME: Span = Span::from_ms(300);

/// Silence after which an entry host counts as dead.
const ENTRY_TIMEOUT: Span = Span::from_ms(2_500);

impl Controller {
    /// Records an entry host's heartbeat and answers it with a feed.
    pub(crate) fn handle_heartbeat(
        &mut self,
        now: Time,
        from: SocketAddr,
        mut heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) {
        let load = std::mem::take(&mut heartbeat.load.0);
        self.load.merge(now, from, *load);
        let records = heartbeat.ledger.records.clone();
        let known = self
            .entries
            .insert(from, (heartbeat.clone(), now))
            .is_some();
        self.merge_records(now, records);
        let limits = heartbeat.limits.0.clone();
        self.limits.merge(now, from, limits);
        self.steering.board.merge(now, from, &heartbeat.rollouts);
        if !known {
            self.update_hosts(now, out);
        }
        out.push(Action::Send(from, self.build_feed(now, &heartbeat, now)));
    }

    /// Entry hosts that send their heartbeats to this voter.
    fn own_hosts(&self) -> impl Iterator<Item = Host> {
        self.entries.iter().map(|(address, (heartbeat, _))| Host {
            address: *address,
            domain: heartbeat.domain.clone(),
        })
    }

    /// Adopts records of requests under which servers ended. If that changes the ledger, all
    /// others are told soon; changes in between go along.
    fn merge_records(&mut self, now: Time, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        let before = self.ledger.digest();
        self.ledger.merge(now, records);
        if self.ledger.digest() != before {
            self.ledger_due
                .get_or_insert(now.after(LEDGER_SPREAD_DELAY));
        }
    }

    /// Tells the entry hosts and the other voters of a changed ledger, if that is due.
    pub(crate) fn spread_ledger(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.ledger_due.is_some_and(|due| due <= now) {
            self.ledger_due = None;
            self.push_feeds(now, out);
            self.send_status(now, out);
        }
    }

    /// Builds the feed of what an entry host lacks by its heartbeat. Without contact
    /// with a majority, or without a chosen state that the majority confirms, the feed is not fresh
    /// and holds the ledger only. `arrived` is when the heartbeat arrived.
    pub(crate) fn build_feed(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        arrived: Time,
    ) -> Message {
        let ledger = Appended(self.ledger.summary(now, heartbeat.ledger.digest));
        let limits = Appended(self.limits.report(now, heartbeat.limits.digest, None));
        let Some(state) = self.chosen.clone().filter(|_| self.is_confirmed(now)) else {
            return Message::Feed(Box::new(Feed {
                ledger,
                limits,
                ..Feed::default()
            }));
        };
        let load = self.all_load(now).into();
        let listing = self.listing.as_ref();
        let digest = listing.map(|listing| listing.digest).unwrap_or_default();
        let lacking = listing.filter(|listing| listing.digest != heartbeat.fleet_digest);
        Message::Feed(Box::new(Feed {
            fresh: true,
            revision: state.revision,
            version: state.version,
            document: (state.version > heartbeat.version).then(|| state.document.clone()),
            closed: state.closed.clone(),
            fleet_age: listing.map(|listing| now.since(listing.read_at)),
            fleet_digest: digest,
            fleet: lacking.map(|listing| listing.fleet.clone()),
            hosts_digest: self.hosts_digest,
            hosts: self.lacks_hosts(now, heartbeat).then(|| self.hosts.clone()),
            failing: self.failing_count(now),
            voters: self.voters(),
            ledger,
            limits,
            links: self.all_links(now).into(),
            rollouts: self.rollout_orders(heartbeat.rollouts.digest).into(),
            load,
            confirmed: self.confirmed_for(heartbeat, arrived).into(),
        }))
    }

    /// Whether an entry host is to be told of the entry hosts: it has another list, and this one is
    /// complete or better than none.
    fn lacks_hosts(&self, now: Time, heartbeat: &Heartbeat) -> bool {
        let has_none = heartbeat.hosts_digest == Digest::default();
        let complete = now.since(self.quorum_changed) >= HOSTS_COLLECT_TIME;
        self.hosts_digest != heartbeat.hosts_digest && (complete || has_none)
    }

    /// Links of the entry hosts that send their heartbeats to this voter.
    fn own_links(&self) -> LinkReport {
        let links = |links: Links| {
            let entries = self.entries.iter();
            let entries = entries.filter(move |(_, (heartbeat, _))| *heartbeat.links == links);
            entries.map(|(address, _)| *address)
        };
        LinkReport {
            all_known: links(Links::Unknown).next().is_none(),
            lost: links(Links::Lost).collect(),
        }
    }

    /// Links of all entry hosts, by the reports of all live voters.
    fn all_links(&self, now: Time) -> LinkReport {
        let mut all = self.own_links();
        let live = |peer: &&Peer| now.since(peer.last_heard) < PEER_TIMEOUT;
        for peer in self.peers.values().filter(live) {
            all.all_known &= peer.links.all_known || peer.entries.is_empty();
            let moved = |address: &&SocketAddr| !self.entries.contains_key(*address);
            all.lost.extend(peer.links.lost.iter().filter(moved));
        }
        all
    }

    /// Number of entry hosts that send their heartbeats to this voter and fail most requests.
    pub(crate) fn own_failing_count(&self) -> u32 {
        let failing = self
            .entries
            .values()
            .filter(|(heartbeat, _)| heartbeat.failing);
        failing.count() as u32
    }

    /// Number of entry hosts that fail most requests, by the reports of all live voters.
    pub(crate) fn failing_count(&self, now: Time) -> u32 {
        let live = |peer: &&Peer| now.since(peer.last_heard) < PEER_TIMEOUT;
        let peers = self.peers.values().filter(live).map(|peer| peer.failing);
        self.own_failing_count() + peers.sum::<u32>()
    }

    /// Sends each entry host of this voter what it lacks.
    pub(crate) fn push_feeds(&mut self, now: Time, out: &mut Vec<Action>) {
        let fed = self
            .entries
            .iter()
            .map(|(entry, (heartbeat, arrived))| (*entry, heartbeat.clone(), *arrived));
        for (entry, heartbeat, arrived) in fed.collect::<Vec<_>>() {
            let feed = self.build_feed(now, &heartbeat, arrived);
            out.push(Action::Send(entry, feed));
            self.mark_fed(entry);
        }
    }

    /// Records what an entry host will have once the feed arrives. If the feed is lost, the
    /// next heartbeat corrects the record.
    pub(crate) fn mark_fed(&mut self, entry: SocketAddr) {
        let version = self.chosen.as_ref().map_or(0, |state| state.version);
        let fleet = self.listing.as_ref().map(|listing| listing.digest);
        let ledger = self.ledger.digest();
        let orders = self.rollout_orders(0).digest;
        if let Some((heartbeat, _)) = self.entries.get_mut(&entry) {
            heartbeat.ledger.0.digest = ledger;
            heartbeat.limits.0.digest = self.limits.digest();
            heartbeat.rollouts.0.digest = orders;
            heartbeat.version = version;
            heartbeat.fleet_digest = fleet.unwrap_or_default();
            heartbeat.hosts_digest = self.hosts_digest;
        }
    }

    /// Drops silent entry hosts and collects the live ones of all voters.
    pub(crate) fn update_hosts(&mut self, now: Time, out: &mut Vec<Action>) {
        let silent = |at: &Time| now.since(*at) >= ENTRY_TIMEOUT;
        self.entries.retain(|_, (_, heard)| !silent(heard));
        let live = self.peers.values().filter(|peer| !silent(&peer.last_heard));
        let mut hosts = live
            .flat_map(|peer| &peer.entries)
            .cloned()
            .collect::<BTreeSet<_>>();
        hosts.extend(self.own_hosts());
        let hosts = hosts.into_iter().collect::<Vec<_>>();
        if hosts == self.hosts {
            return;
        }
        self.hosts_digest = digest_hosts(&hosts);
        self.hosts = hosts;
        out.push(Action::Note(Note::Entries(self.hosts.len())));
    }

    /// Records a voter's status and asks for its state or list if that is newer.
    pub(crate) fn handle_status(
        &mut self,
        now: Time,
        from: SocketAddr,
        status: Status,
        out: &mut Vec<Action>,
    ) {
        self.record_contact(now, from);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.entries = status.entries;
            peer.voting = status.voting;
            peer.failing = status.failing;
            peer.ledger = status.ledger.digest;
            peer.limits = status.limits.digest;
            peer.links = status.links.0;
        }
        self.limits.merge(now, from, status.limits.0);
        self.load.merge_sums(now, from, *status.load.0);
        for (host, report) in &status.rollouts.0.0 {
            self.steering.board.merge(now, *host, report);
        }
        self.merge_records(now, status.ledger.0.records);
        let report = status.confirmation.0;
        let answers = report.unconfirmed && self.may_send_status(now);
        self.record_confirmation(now, from, status.revision, report);
        let revision = self.chosen.as_ref().map_or(0, |state| state.revision);
        if status.revision > revision {
            out.push(Action::Send(from, Message::WantState(revision)));
            self.note_lacking(now, from, status.revision, out);
        }
        if answers {
            self.last_status = Some(now);
            self.send_status(now, out);
        }
        let Some(age) = status.fleet_age else {
            return;
        };
        let read = Time::from_us(now.as_us().saturating_sub(age.as_us()));
        match &mut self.listing {
            Some(listing) if listing.read_at >= read => {}
            Some(listing) if listing.digest == status.fleet_digest => {
                listing.read_at = read;
                self.was_last_reader = false;
            }
            _ => out.push(Action::Send(from, Message::WantFleet)),
        }
    }

    /// What this voter tells the others of limits: the demand at its own entry hosts, and the
    /// ledger if that of any of them differs.
    fn limit_report(&mut self, now: Time) -> quota::Report {
        let listing = self.listing.as_ref();
        let listed = |instance: &Instance| {
            listing.is_none_or(|listing| listing.fleet.replicas.contains_key(instance))
        };
        self.limits.retain(now, ENTRY_TIMEOUT, listed);
        let own = self.limits.digest();
        let live = |peer: &&Peer| now.since(peer.last_heard) < PEER_TIMEOUT;
        let peers = self.peers.values().filter(live).map(|peer| peer.limits);
        let differing = peers.into_iter().find(|known| *known != own);
        let entries = self.entries.keys().copied().collect();
        let known = differing.unwrap_or(own);
        self.limits.report(now, known, Some(&entries))
    }

    /// Sends this voter's status to all other voters.
    pub(crate) fn send_status(&mut self, now: Time, out: &mut Vec<Action>) {
        let ledger = self.ledger.digest();
        let live = |peer: &&Peer| now.since(peer.last_heard) < PEER_TIMEOUT;
        let peers = self.peers.values().filter(live);
        let differing = peers.map(|peer| peer.ledger).find(|known| *known != ledger);
        let ledger = Appended(self.ledger.summary(now, differing.unwrap_or(ledger)));
        let limits = Appended(self.limit_report(now));
        let load = Box::new(self.own_load(now)).into();
        let listing = self.listing.as_ref();
        let status = Status {
            voting: self.mode() == Some(Mode::Voting),
            revision: self.chosen.as_ref().map_or(0, |state| state.revision),
            fleet_age: listing.map(|listing| now.since(listing.read_at)),
            fleet_digest: listing.map(|listing| listing.digest).unwrap_or_default(),
            entries: self.own_hosts().collect(),
            failing: self.own_failing_count(),
            ledger,
            limits,
            links: self.own_links().into(),
            rollouts: Box::new(self.rollout_reports(now)).into(),
            load,
            confirmation: self.confirmation_report(now).into(),
        };
        self.broadcast(&Message::Status(status), out);
    }
}
