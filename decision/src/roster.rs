//! Which daemons are alive, as one voter has heard of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::name::Name;

/// Silence after which a daemon counts as dead; longer than [`crate::lease::LEASE_DURATION`].
pub const DAEMON_TIMEOUT: Span = Span::from_ms(1_600);

/// A daemon as it describes itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its host.
    pub host: Name,
    /// Its host's failure domain.
    pub domain: Name,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Random number of this run of the process.
    pub boot: u64,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Whether it may still send to backend servers as an owner.
    pub owning: bool,
    /// Version of the operators' file that it has in force; zero for none.
    pub version: u64,
}

/// What a voter tells of the daemons.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Whether the voter has listened long enough for an absence to mean death.
    pub complete: bool,
    /// The daemons alive.
    pub members: Vec<Member>,
    /// Runs of daemons that are known to have ended, by host and boot number.
    pub ended: Vec<(Name, u64)>,
}

/// The daemons heard by one voter.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    last_polls: BTreeMap<Name, (Member, Time)>,
    ended: BTreeMap<Name, u64>,
    started: Time,
}

impl Roster {
    /// An empty roster that has listened since `now`.
    pub fn new(now: Time) -> Roster {
        Roster {
            started: now,
            ..Roster::default()
        }
    }

    /// Hears a daemon.
    pub fn record(&mut self, now: Time, member: Member) {
        if self.ended.get(&member.host) == Some(&member.boot) {
            return;
        }
        self.ended.remove(&member.host);
        self.last_polls.insert(member.host.clone(), (member, now));
    }

    /// Learns that a host refuses connections: its daemon has ended.
    pub fn mark_ended(&mut self, host: &Name) {
        if let Some((member, _)) = self.last_polls.remove(host) {
            self.ended.insert(member.host, member.boot);
        }
    }

    /// The daemons alive now.
    pub fn report(&mut self, now: Time) -> Report {
        self.last_polls
            .retain(|_, (_, last)| now.since(*last) < DAEMON_TIMEOUT);
        let members = self
            .last_polls
            .values()
            .map(|(member, _)| member.clone())
            .collect();
        let ended = self
            .ended
            .iter()
            .map(|(host, boot)| (host.clone(), *boot))
            .collect();
        Report {
            complete: now.since(self.started) >= DAEMON_TIMEOUT,
            members,
            ended,
        }
    }
}
