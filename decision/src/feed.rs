//! What processes of a tier with discovered hosts tell each other, and how an
//! entry host keeps in touch with the voters.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::branch;
use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::fleet::Fleet;
use crate::name::Name;
use crate::plan::Host;
use crate::tier::State;
use crate::voter;
use crate::voter::Place;

/// Time between two beats of an entry host.
const BEAT_EVERY: Span = Span::from_ms(400);

/// The same while the host isn't in touch.
const BEAT_UNFRESH: Span = Span::from_ms(80);

/// Silence after which a host that isn't in touch turns to another voter.
const VOTER_SILENT_UNFRESH: Span = Span::from_ms(250);

/// Silence of a voter after which an entry host turns to another one.
const VOTER_SILENT: Span = Span::from_ms(900);

/// Time for which an entry host counts as in touch after a fresh feed.
const FRESH_MAX: Span = Span::from_ms(1_500);

/// A message between processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// An entry host is alive and tells what it has.
    Beat(Beat),
    /// What an entry host needs to know.
    Feed(Box<Feed>),
    /// Between voters.
    Voter(voter::Message),
    /// A voter is alive and tells what it has.
    Pulse(Pulse),
    /// Asks for the state, if it is newer than this revision.
    WantState(u64),
    /// A state that is chosen.
    Chosen(Arc<State>),
    /// Asks for the fleet.
    WantFleet,
    /// The fleet, and the time since it was read.
    Fleet(Arc<Fleet>, Span),
    /// A process without state wants to be a voter; its random number.
    Join(u64),
    /// A place was given to it.
    Seated(Place),
    /// Asks where the voters are.
    WantVoters,
    /// Where the voters are.
    Voters(Vec<SocketAddr>),
    /// Between entry hosts.
    Branch(branch::Message),
}

/// What an entry host has.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Beat {
    /// The host's failure domain.
    pub domain: Name,
    /// Version of the configuration.
    pub version: u64,
    /// Digest of the fleet.
    pub fleet: Digest,
    /// Digest of the entry hosts.
    pub hosts: Digest,
    /// Whether it fails most requests.
    pub failing: bool,
}

/// What a voter tells an entry host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Feed {
    /// Whether the voter is in touch with a majority.
    pub fresh: bool,
    /// Revision of the state.
    pub revision: u64,
    /// Version of the configuration.
    pub version: u64,
    /// The configuration, if the host lacks it.
    pub document: Option<Arc<[u8]>>,
    /// Failure domains to which no new work may go.
    pub closed: BTreeSet<Name>,
    /// Time since the fleet was read; none if it never was.
    pub fleet_age: Option<Span>,
    /// Digest of the fleet.
    pub fleet_digest: Digest,
    /// The fleet, if the host lacks it.
    pub fleet: Option<Arc<Fleet>>,
    /// Digest of the entry hosts.
    pub hosts_digest: Digest,
    /// The entry hosts, if the host lacks them.
    pub hosts: Option<Vec<Host>>,
    /// Entry hosts that fail most requests.
    pub failing: u32,
    /// Where the voters are.
    pub voters: Vec<SocketAddr>,
}

/// What a voter has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pulse {
    /// Whether it votes.
    pub voting: bool,
    /// Revision of the state that it knows to be chosen.
    pub revision: u64,
    /// Time since the fleet was read; none if it never was.
    pub fleet_age: Option<Span>,
    /// Digest of the fleet.
    pub fleet_digest: Digest,
    /// Entry hosts that it has heard lately.
    pub entries: Vec<Host>,
    /// How many of them fail most requests.
    pub failing: u32,
}

/// Digest of a list of entry hosts.
pub fn digest_of(hosts: &[Host]) -> Digest {
    let text = hosts
        .iter()
        .map(|host| format!("{} {} ", host.address, host.domain));
    Digest::of(text.collect::<String>().as_bytes())
}

/// An entry host's tie to the voters.
#[derive(Clone, Debug)]
pub struct Subscriber {
    seeds: Vec<SocketAddr>,
    voters: Vec<SocketAddr>,
    at: usize,
    beaten: Option<Time>,
    heard: Time,
    fresh: Option<Time>,
    have: Beat,
    revision: u64,
    fleet_read: Option<Time>,
    failing: u32,
}

/// What a feed changed for an entry host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// A newer configuration.
    pub document: Option<(u64, Arc<[u8]>)>,
    /// The failure domains to which no new work may go, if that changed.
    pub closed: Option<BTreeSet<Name>>,
    /// A fleet that was read later, and when.
    pub fleet: Option<(Arc<Fleet>, Time)>,
    /// When the list was read of which the fleet is, if that is later now.
    pub read: Option<Time>,
    /// The entry hosts, if they changed.
    pub hosts: Option<Vec<Host>>,
}

impl Subscriber {
    /// A tie of a host in `domain` that begins at one of `seeds`, picked by `pick`.
    pub fn new(now: Time, domain: Name, seeds: Vec<SocketAddr>, pick: u64) -> Subscriber {
        let at = (pick % seeds.len().max(1) as u64) as usize;
        Subscriber {
            seeds,
            voters: Vec::new(),
            at,
            beaten: None,
            heard: now,
            fresh: None,
            have: Beat {
                domain,
                ..Beat::default()
            },
            revision: 0,
            fleet_read: None,
            failing: 0,
        }
    }

    /// Entry hosts that fail most requests, as far as the voters know.
    pub fn failing(&self) -> u32 {
        self.failing
    }

    fn known(&self) -> &[SocketAddr] {
        if self.voters.is_empty() {
            &self.seeds
        } else {
            &self.voters
        }
    }

    /// The voter that is asked.
    pub fn voter(&self) -> Option<SocketAddr> {
        let known = self.known();
        known.get(self.at % known.len().max(1)).copied()
    }

    /// Replaces the addresses with which to begin when all known voters are silent.
    pub fn reseed(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Whether the voters confirmed lately that nothing newer is in force.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.fresh.is_some_and(|at| now.since(at) < FRESH_MAX)
    }

    /// Time since the voters last confirmed, if they ever did.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.fresh.map(|at| now.since(at))
    }

    /// Turns to the next voter. After a round of all known ones without a fresh
    /// feed the seeds are tried too.
    pub fn turn(&mut self, now: Time) {
        self.heard = now;
        if self.is_fresh(now) {
            self.beaten = None;
        }
        self.at += 1;
        if self.at.is_multiple_of(self.known().len().max(1)) && !self.is_fresh(now) {
            let missing = self.seeds.iter().filter(|seed| !self.voters.contains(seed));
            let missing = missing.copied().collect::<Vec<_>>();
            self.voters.extend(missing);
        }
    }

    /// The beat that is due, and to whom.
    pub fn tick(&mut self, now: Time, failing: bool) -> Option<(SocketAddr, Beat)> {
        let silence = if self.is_fresh(now) {
            VOTER_SILENT
        } else {
            VOTER_SILENT_UNFRESH
        };
        if now.since(self.heard) >= silence {
            self.turn(now);
        }
        let every = self.beat_every(now);
        let due = self.beaten.is_none_or(|beaten| now.since(beaten) >= every);
        if !due {
            return None;
        }
        self.beaten = Some(now);
        let beat = Beat {
            failing,
            ..self.have.clone()
        };
        self.voter().map(|voter| (voter, beat))
    }

    fn beat_every(&self, now: Time) -> Span {
        if self.is_fresh(now) {
            BEAT_EVERY
        } else {
            BEAT_UNFRESH
        }
    }

    /// When the next beat is due.
    pub fn next_timer(&self, now: Time) -> Time {
        self.beaten.unwrap_or_default().after(self.beat_every(now))
    }

    /// Takes a feed.
    pub fn take(&mut self, now: Time, from: SocketAddr, feed: Feed) -> Update {
        if !feed.voters.is_empty() && feed.voters != self.voters && feed.fresh {
            let current = self.voter();
            self.voters = feed.voters;
            let position = self.voters.iter().position(|v| Some(*v) == current);
            self.at = position.unwrap_or(self.at);
        }
        if !feed.fresh {
            if Some(from) == self.voter() {
                self.turn(now);
            }
            return Update::default();
        }
        if Some(from) == self.voter() {
            self.heard = now;
        }
        self.failing = feed.failing;
        let mut update = Update::default();
        if feed.revision >= self.revision {
            self.fresh = Some(now);
            if feed.revision > self.revision {
                update.closed = Some(feed.closed);
            }
            self.revision = feed.revision;
            if let Some(document) = feed.document.filter(|_| feed.version > self.have.version) {
                self.have.version = feed.version;
                update.document = Some((feed.version, document));
            }
        }
        if let Some(age) = feed.fleet_age {
            update.fleet = self.take_fleet(now, age, feed.fleet_digest, feed.fleet);
            update.read = self.fleet_read;
        }
        if let Some(hosts) = feed.hosts {
            self.have.hosts = feed.hosts_digest;
            update.hosts = Some(hosts);
        }
        update
    }

    fn take_fleet(
        &mut self,
        now: Time,
        age: Span,
        digest: Digest,
        fleet: Option<Arc<Fleet>>,
    ) -> Option<(Arc<Fleet>, Time)> {
        let read = Time::from_us(now.as_us().saturating_sub(age.as_us()));
        if self.fleet_read.is_some_and(|last| last >= read) {
            return None;
        }
        if digest == self.have.fleet {
            self.fleet_read = Some(read);
            return None;
        }
        let fleet = fleet?;
        self.fleet_read = Some(read);
        self.have.fleet = digest;
        Some((fleet, read))
    }
}
