//! Messages between the processes of a tier with discovered hosts, and an entry host's
//! subscription to the voters.
//!
//! An entry host sends heartbeats that say what it has; a voter answers with a feed of what
//! it lacks, and pushes further feeds when something changes. The entry host's loop drives
//! the [`Subscriber`] and applies its [`Update`]s.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::appended::Appended;
use crate::branch;
use crate::clock::Reading;
use crate::clock::Span;
use crate::clock::Time;
use crate::confirmation;
use crate::digest::Digest;
use crate::fleet::Fleet;
use crate::fleet::Versions;
use crate::load::report;
use crate::name::Name;
use crate::plan::Host;
use crate::quarantine::Record;
use crate::quarantine::Summary;
use crate::quota;
use crate::rollout::evidence;
use crate::rollout::order::Orders;
use crate::tier::State;
use crate::voter;
use crate::voter::Seat;

/// Time between two heartbeats of a fresh entry host.
const HEARTBEAT_EVERY: Span = Span::from_ms(400);

/// Time between two heartbeats of an entry host that is not fresh.
const HEARTBEAT_EVERY_STALE: Span = Span::from_ms(80);

/// Time between two heartbeats of an entry host with something urgent to tell.
const HEARTBEAT_EVERY_URGENT: Span = Span::from_ms(20);

/// Silence of a voter after which an entry host that is not fresh switches to the next one.
const VOTER_TIMEOUT_STALE: Span = Span::from_ms(250);

/// Silence of a voter after which a fresh entry host switches to the next one.
const VOTER_TIMEOUT: Span = Span::from_ms(900);

/// Time for which an entry host counts as fresh after a fresh feed.
const FRESH_MAX: Span = Span::from_ms(1_500);

/// A message between processes of the tier.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Heartbeat of an entry host.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Feed to an entry host.
    Feed(Box<Feed>),
    /// Message between voters.
    Voter(voter::Message),
    /// Status of a voter, sent to the other voters.
    #[serde(rename = "Pulse")]
    Status(Status),
    /// Asks for the chosen state if it is newer than this revision.
    WantState(u64),
    /// A chosen state.
    Chosen(Arc<State>),
    /// Asks for the list of replicas.
    WantFleet,
    /// The list of replicas, the time since it was read, and the replicas' versions.
    Fleet(Arc<Fleet>, Span, Appended<Versions>),
    /// Asks for a voter's seat, with the random number of the process's run.
    #[serde(rename = "Join")]
    RequestSeat(u64),
    /// The seat assigned to the receiver.
    Seated(Seat),
    /// Asks for the voters' addresses.
    WantVoters,
    /// The voters' addresses.
    Voters(Vec<SocketAddr>),
    /// Message between entry hosts.
    Branch(branch::Message),
}

/// Heartbeat of an entry host: what it has, so that the voter sends only the rest.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Failure domain of the host.
    pub domain: Name,
    /// Version of its configuration; zero for none.
    pub version: u64,
    /// Digest of its list of replicas.
    #[serde(rename = "fleet")]
    pub fleet_digest: Digest,
    /// Digest of its list of entry hosts.
    #[serde(rename = "hosts")]
    pub hosts_digest: Digest,
    /// Whether the host fails most requests.
    pub failing: bool,
    /// The host's records of requests under which servers ended.
    pub ledger: Appended<Summary>,
    /// What the host tells of limits that replicas name.
    pub limits: Appended<quota::Report>,
    /// State of the host's links to the servers.
    pub links: Appended<Links>,
    /// What the host reports of rollouts.
    pub rollouts: Appended<Box<evidence::Report>>,
    /// The host's measurements of replicas that differ from the norm.
    pub load: Appended<Box<report::Report>>,
    /// Time of sending on the host's clock.
    pub sent: Appended<Option<Reading>>,
}

/// State of an entry host's links to the servers, as it reports it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Links {
    /// The host runs an older build that doesn't report it, and can't serve relayed requests.
    #[default]
    Unknown,
    /// They work.
    Sound,
    /// They are lost, or on trial.
    Lost,
}

/// Entry hosts by the state of their links.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkReport {
    /// Whether all entry hosts report the state.
    pub all_known: bool,
    /// Those whose links are lost or on trial.
    pub lost: Vec<SocketAddr>,
}

/// What an entry host lacks, sent by a voter in answer to a heartbeat and whenever the state
/// or the list of replicas changes. The default is the feed of a voter whose state is not confirmed
/// by a majority.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Feed {
    /// Whether the voter is in contact with a majority and knows a chosen state, to which the
    /// majority knew no newer one lately; if not, nothing else is set.
    pub fresh: bool,
    /// Revision of the chosen state.
    pub revision: u64,
    /// Version of the configuration in force.
    pub version: u64,
    /// The configuration; absent if the host has it.
    pub document: Option<Arc<[u8]>>,
    /// Failure domains to which no new work may go.
    pub closed: BTreeSet<Name>,
    /// Time since the list of replicas was read; absent if it never was.
    pub fleet_age: Option<Span>,
    /// Digest of the list of replicas.
    pub fleet_digest: Digest,
    /// The list of replicas; absent if the host has it.
    pub fleet: Option<Arc<Fleet>>,
    /// Digest of the list of entry hosts.
    pub hosts_digest: Digest,
    /// The live entry hosts; absent if the host has the list.
    pub hosts: Option<Vec<Host>>,
    /// Number of entry hosts that fail most requests.
    pub failing: u32,
    /// The voters' addresses.
    pub voters: Vec<SocketAddr>,
    /// The voter's records of requests under which servers ended, set also without contact
    /// with a majority.
    pub ledger: Appended<Summary>,
    /// What the voter tells of limits that replicas name, set also without contact with a majority.
    pub limits: Appended<quota::Report>,
    /// Links of all entry hosts.
    pub links: Appended<LinkReport>,
    /// Orders of rollouts.
    pub rollouts: Appended<Orders>,
    /// Sums of the measurements of all entry hosts.
    pub load: Appended<report::Report>,
    /// Latest time as of which the state is known to have been the newest, on the host's clock.
    pub confirmed: Appended<Option<Reading>>,
}

/// Status of a voter, sent to the other voters at intervals.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Whether the sender votes.
    pub voting: bool,
    /// Revision of the newest state that the sender knows to be chosen; zero for none.
    pub revision: u64,
    /// Time since the list of replicas was read; absent if it never was.
    pub fleet_age: Option<Span>,
    /// Digest of the list of replicas.
    pub fleet_digest: Digest,
    /// Entry hosts that send their heartbeats to the sender.
    pub entries: Vec<Host>,
    /// How many of these fail most requests.
    pub failing: u32,
    /// The sender's records of requests under which servers ended.
    pub ledger: Appended<Summary>,
    /// What the sender tells of limits that replicas name.
    pub limits: Appended<quota::Report>,
    /// Links of the entry hosts that send their heartbeats to the sender.
    pub links: Appended<LinkReport>,
    /// What these hosts report of rollouts.
    pub rollouts: Appended<Box<evidence::Reports>>,
    /// Sums of the measurements of the entry hosts that send their heartbeats to the sender.
    pub load: Appended<Box<report::Report>>,
    /// What the sender tells the receiver of the states that it knows.
    pub confirmation: Appended<confirmation::Report>,
}

/// Computes the digest of a list of entry hosts.
pub fn digest_hosts(hosts: &[Host]) -> Digest {
    let text = hosts
        .iter()
        .map(|host| format!("{} {} ", host.address, host.domain));
    Digest::of(text.collect::<String>().as_bytes())
}

/// Subscription of an entry host to the voters: picks a voter, sends it heartbeats and
/// switches to the next one when it is silent or not fresh.
#[derive(Clone, Debug)]
pub struct Subscriber {
    seeds: Vec<SocketAddr>,
    voters: Vec<SocketAddr>,
    voter_index: usize,
    /// When the last heartbeat was sent; absent if one is due at once.
    last_heartbeat: Option<Time>,
    /// When the current voter last sent a fresh feed, or became the current one.
    last_contact: Time,
    /// Latest time as of which the voters knew of no newer state; absent if none is known.
    confirmed_at: Option<Time>,
    /// Random number that identifies this run of the process.
    run: u64,
    /// What the host has, as it goes into the next heartbeat.
    held: Heartbeat,
    revision: u64,
    /// When the list of replicas was read, on this host's clock.
    fleet_read_at: Option<Time>,
    failing: u32,
    /// Digest of the current voter's records of requests under which servers ended.
    voter_ledger: u64,
    /// Digest of the current voter's ledger of limits.
    voter_limits: u64,
    /// Whether the next heartbeat is due soon.
    urgent: bool,
}

/// What a feed changes for an entry host; the default changes nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// A newer configuration with its version.
    pub document: Option<(u64, Arc<[u8]>)>,
    /// Failure domains to which no new work may go, if the state is newer.
    pub closed: Option<BTreeSet<Name>>,
    /// A changed list of replicas, with the time when it was read.
    pub fleet: Option<(Arc<Fleet>, Time)>,
    /// When the host's list of replicas was last read, if the feed reports the age of a list.
    pub fleet_read_at: Option<Time>,
    /// The live entry hosts, if they changed.
    pub hosts: Option<Vec<Host>>,
    /// Whether the feed confirms that the host's state is the newest.
    pub confirmed: bool,
    /// The voter's records of requests under which servers ended, if they differ.
    pub records: Vec<Record>,
    /// What the voter tells of limits that replicas name.
    pub limits: quota::Report,
    /// Links of all entry hosts, in a fresh feed.
    pub links: Option<LinkReport>,
    /// Orders of rollouts, in a fresh feed of a state that is not older.
    pub rollouts: Option<Orders>,
    /// Sums of the measurements of all entry hosts, in a fresh feed.
    pub load: Option<report::Report>,
}

impl Subscriber {
    /// Creates the subscription of a host in `domain`. `run` is a random number that identifies
    /// this run of the process. The subscription begins with the seed at index `run` modulo their
    /// number.
    pub fn new(now: Time, domain: Name, seeds: Vec<SocketAddr>, run: u64) -> Subscriber {
        let voter_index = (run % seeds.len().max(1) as u64) as usize;
        Subscriber {
            seeds,
            voters: Vec::new(),
            voter_index,
            last_heartbeat: None,
            last_contact: now,
            confirmed_at: None,
            run,
            held: Heartbeat {
                domain,
                ..Heartbeat::default()
            },
            revision: 0,
            fleet_read_at: None,
            failing: 0,
            voter_ledger: 0,
            voter_limits: 0,
            urgent: false,
        }
    }

    /// Digest of the current voter's records of requests under which servers ended.
    pub fn voter_ledger(&self) -> u64 {
        self.voter_ledger
    }

    /// Digest of the current voter's ledger of limits.
    pub fn voter_limits(&self) -> u64 {
        self.voter_limits
    }

    /// Makes the next heartbeat due soon.
    pub fn hurry(&mut self) {
        self.urgent = true;
    }

    /// Number of entry hosts that fail most requests, by the last fresh feed.
    pub fn failing_count(&self) -> u32 {
        self.failing
    }

    /// Addresses to subscribe to: the known voters, or the seeds before any are known.
    fn candidates(&self) -> &[SocketAddr] {
        if self.voters.is_empty() {
            &self.seeds
        } else {
            &self.voters
        }
    }

    /// The voter that receives the heartbeats; absent if no address is known.
    pub fn voter(&self) -> Option<SocketAddr> {
        let candidates = self.candidates();
        candidates
            .get(self.voter_index % candidates.len().max(1))
            .copied()
    }

    /// Replaces the seeds, which are tried when no known voter answers with a fresh feed.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Whether the state was the newest within the last `FRESH_MAX`.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.since(at) < FRESH_MAX)
    }

    /// Time for which a newer state may have been in force; absent if that isn't known.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Revision of the state that the host has.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Switches to the next voter. After a round of all known voters without a fresh feed
    /// the seeds are added to them.
    pub fn switch_voter(&mut self, now: Time) {
        self.last_contact = now;
        self.voter_ledger = 0;
        self.voter_limits = 0;
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

    /// Returns the heartbeat that is due and its receiver; the caller adds what it tells of the
    /// two ledgers and of its links. Switches to the next voter first if the current one has been silent for too
    /// long.
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
        self.urgent = false;
        let sent = Reading {
            run: self.run,
            at: now,
        };
        let heartbeat = Heartbeat {
            failing,
            sent: Some(sent).into(),
            ..self.held.clone()
        };
        self.voter().map(|voter| (voter, heartbeat))
    }

    /// Time between two heartbeats.
    fn heartbeat_interval(&self, now: Time) -> Span {
        if self.urgent {
            HEARTBEAT_EVERY_URGENT
        } else if self.is_fresh(now) {
            HEARTBEAT_EVERY
        } else {
            HEARTBEAT_EVERY_STALE
        }
    }

    /// Time when the next heartbeat is due.
    pub fn next_timer(&self, now: Time) -> Time {
        self.last_heartbeat
            .unwrap_or_default()
            .after(self.heartbeat_interval(now))
    }

    /// Handles a feed and returns what it changes. Older states and lists are ignored; a
    /// feed that is not fresh, or that waited for too long, makes the host switch to the next voter.
    pub fn handle_feed(&mut self, now: Time, from: SocketAddr, mut feed: Feed) -> Update {
        if !feed.voters.is_empty() && feed.voters != self.voters && feed.fresh {
            let current = self.voter();
            self.voters = std::mem::take(&mut feed.voters);
            let position = self.voters.iter().position(|v| Some(*v) == current);
            self.voter_index = position.unwrap_or(self.voter_index);
        }
        let records = std::mem::take(&mut feed.ledger.0.records);
        let limits = std::mem::take(&mut feed.limits.0);
        if Some(from) == self.voter() {
            self.voter_ledger = feed.ledger.0.digest;
            self.voter_limits = limits.digest;
        }
        let mut update = Update {
            records,
            limits,
            ..Update::default()
        };
        if !feed.fresh {
            if Some(from) == self.voter() {
                self.switch_voter(now);
            }
            return update;
        }
        if Some(from) == self.voter() {
            self.last_contact = now;
        }
        self.failing = feed.failing;
        update.links = Some(std::mem::take(&mut feed.links.0));
        update.load = Some(std::mem::take(&mut feed.load.0).bounded());
        if feed.revision >= self.revision {
            self.adopt_state(now, &mut feed, &mut update);
        }
        if let Some(age) = feed.fleet_age {
            update.fleet = self.update_fleet(now, age, feed.fleet_digest, feed.fleet);
            update.fleet_read_at = self.fleet_read_at;
        }
        if let Some(hosts) = feed.hosts {
            self.held.hosts_digest = feed.hosts_digest;
            update.hosts = Some(hosts);
        }
        if Some(from) == self.voter() && !self.is_fresh(now) {
            self.switch_voter(now);
        }
        update
    }

    /// Adopts the state of a feed that is not older than the host's one.
    fn adopt_state(&mut self, now: Time, feed: &mut Feed, update: &mut Update) {
        update.rollouts = Some(std::mem::take(&mut feed.rollouts.0));
        if feed.revision > self.revision {
            update.closed = Some(std::mem::take(&mut feed.closed));
        }
        self.revision = feed.revision;
        let newer = feed.version > self.held.version;
        if let Some(document) = feed.document.take().filter(|_| newer) {
            self.held.version = feed.version;
            update.document = Some((feed.version, document));
        }
        // A push is without the configuration if an earlier one with it was lost.
        let lacks_document = feed.version > self.held.version;
        self.urgent |= lacks_document;
        let confirmed_at = self.confirmation_time(now, feed.confirmed.0);
        let confirmed_at = confirmed_at.filter(|_| !lacks_document);
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        update.confirmed = self.is_fresh(now);
    }

    /// Time as of which a feed read now confirms its state, on this host's clock. Feeds of older
    /// builds don't tell it and count as new; a feed to an earlier run of the process confirms
    /// nothing.
    fn confirmation_time(&self, now: Time, told: Option<Reading>) -> Option<Time> {
        match told {
            Some(told) if told.run == self.run => Some(told.at.min(now)),
            Some(_) => None,
            None => Some(now),
        }
    }

    /// Adopts a list that was read later than the host's one. Returns it with its read time if
    /// its content differs and the feed contains it.
    fn update_fleet(
        &mut self,
        now: Time,
        age: Span,
        digest: Digest,
        fleet: Option<Arc<Fleet>>,
    ) -> Option<(Arc<Fleet>, Time)> {
        let read_at = Time::from_us(now.as_us().saturating_sub(age.as_us()));
        if self.fleet_read_at.is_some_and(|last| last >= read_at) {
            return None;
        }
        if digest == self.held.fleet_digest {
            self.fleet_read_at = Some(read_at);
            return None;
        }
        let fleet = fleet?;
        self.fleet_read_at = Some(read_at);
        self.held.fleet_digest = digest;
        Some((fleet, read_at))
    }
}
