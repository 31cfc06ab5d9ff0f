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

/// Time between two heartbeats of an entry host.
const HEARTBEAT_EVERY: Span = Span::from_ms(400);

/// The same while the host isn't in touch.
const HEARTBEAT_EVERY_STALE: Span = Span::from_ms(80);

/// Silence after which a host that isn't in touch turns to another voter.
const VOTER_TIMEOUT_STALE: Span = Span::from_ms(250);

/// Silence of a voter after which an entry host turns to another one.
const VOTER_TIMEOUT: Span = Span::from_ms(900);

/// Time for which an entry host counts as in touch after a fresh feed.
const FRESH_MAX: Span = Span::from_ms(1_500);

/// A message between processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// An entry host is alive and tells what it has.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// What an entry host needs to know.
    Feed(Box<Feed>),
    /// Between voters.
    Voter(voter::Message),
    /// A voter is alive and tells what it has.
    #[serde(rename = "Pulse")]
    Status(Status),
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
pub struct Heartbeat {
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
pub struct Status {
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
pub fn digest_hosts(hosts: &[Host]) -> Digest {
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
    voter_index: usize,
    last_heartbeat: Option<Time>,
    last_contact: Time,
    confirmed_at: Option<Time>,
    held: Heartbeat,
    revision: u64,
    fleet_read_at: Option<Time>,
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
        let voter_index = (pick % seeds.len().max(1) as u64) as usize;
        Subscriber {
            seeds,
            voters: Vec::new(),
            voter_index,
            last_heartbeat: None,
            last_contact: now,
            confirmed_at: None,
            held: Heartbeat {
                domain,
                ..Heartbeat::default()
            },
            revision: 0,
            fleet_read_at: None,
            failing: 0,
        }
    }

    /// Entry hosts that fail most requests, as far as the voters know.
    pub fn failing(&self) -> u32 {
        self.failing
    }

    fn candidates(&self) -> &[SocketAddr] {
        if self.voters.is_empty() {
            &self.seeds
        } else {
            &self.voters
        }
    }

    /// The voter that is asked.
    pub fn voter(&self) -> Option<SocketAddr> {
        let candidates = self.candidates();
        candidates
            .get(self.voter_index % candidates.len().max(1))
            .copied()
    }

    /// Replaces the addresses with which to begin when all known voters are silent.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Whether the voters confirmed lately that nothing newer is in force.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.since(at) < FRESH_MAX)
    }

    /// Time since the voters last confirmed, if they ever did.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Turns to the next voter. After a round of all known ones without a fresh
    /// feed the seeds are tried too.
    pub fn switch_voter(&mut self, now: Time) {
        self.last_contact = now;
        if self.is_fresh(now) {
            self.last_heartbeat = None;
        }
        self.voter_index += 1;
        if self
            .voter_index
            .is_multiple_of(self.candidates().len().max(1))
            && !self.is_fresh(now)
        {
            let missing = self.seeds.iter().filter(|seed| !self.voters.contains(seed));
            let missing = missing.copied().collect::<Vec<_>>();
            self.voters.extend(missing);
        }
    }

    /// The heartbeat that is due, and to whom.
    pub fn tick(&mut self, now: Time, failing: bool) -> Option<(SocketAddr, Heartbeat)> {
        let silence = if self.is_fresh(now) {
            VOTER_TIMEOUT
        } else {
            VOTER_TIMEOUT_STALE
        };
        if now.since(self.last_contact) >= silence {
            self.switch_voter(now);
        }
        let every = self.heartbeat_interval(now);
        let due = self
            .last_heartbeat
            .is_none_or(|last_heartbeat| now.since(last_heartbeat) >= every);
        if !due {
            return None;
        }
        self.last_heartbeat = Some(now);
        let heartbeat = Heartbeat {
            failing,
            ..self.held.clone()
        };
        self.voter().map(|voter| (voter, heartbeat))
    }

    fn heartbeat_interval(&self, now: Time) -> Span {
        if self.is_fresh(now) {
            HEARTBEAT_EVERY
        } else {
            HEARTBEAT_EVERY_STALE
        }
    }

    /// When the next heartbeat is due.
    pub fn next_timer(&self, now: Time) -> Time {
        self.last_heartbeat
            .unwrap_or_default()
            .after(self.heartbeat_interval(now))
    }

    /// Takes a feed.
    pub fn handle_feed(&mut self, now: Time, from: SocketAddr, feed: Feed) -> Update {
        if !feed.voters.is_empty() && feed.voters != self.voters && feed.fresh {
            let current = self.voter();
            self.voters = feed.voters;
            let position = self.voters.iter().position(|v| Some(*v) == current);
            self.voter_index = position.unwrap_or(self.voter_index);
        }
        if !feed.fresh {
            if Some(from) == self.voter() {
                self.switch_voter(now);
            }
            return Update::default();
        }
        if Some(from) == self.voter() {
            self.last_contact = now;
        }
        self.failing = feed.failing;
        let mut update = Update::default();
        if feed.revision >= self.revision {
            self.confirmed_at = Some(now);
            if feed.revision > self.revision {
                update.closed = Some(feed.closed);
            }
            self.revision = feed.revision;
            if let Some(document) = feed.document.filter(|_| feed.version > self.held.version) {
                self.held.version = feed.version;
                update.document = Some((feed.version, document));
            }
        }
        if let Some(age) = feed.fleet_age {
            update.fleet = self.update_fleet(now, age, feed.fleet_digest, feed.fleet);
            update.read = self.fleet_read_at;
        }
        if let Some(hosts) = feed.hosts {
            self.held.hosts = feed.hosts_digest;
            update.hosts = Some(hosts);
        }
        update
    }

    fn update_fleet(
        &mut self,
        now: Time,
        age: Span,
        digest: Digest,
        fleet: Option<Arc<Fleet>>,
    ) -> Option<(Arc<Fleet>, Time)> {
        let read = Time::from_us(now.as_us().saturating_sub(age.as_us()));
        if self.fleet_read_at.is_some_and(|last| last >= read) {
            return None;
        }
        if digest == self.held.fleet {
            self.fleet_read_at = Some(read);
            return None;
        }
        let fleet = fleet?;
        self.fleet_read_at = Some(read);
        self.held.fleet = digest;
        Some((fleet, read))
    }
}
