//! Liveness of daemons as one voter sees it.
//!
//! Daemons poll all voters; a voter records the polls in its [`Roster`] and returns a
//! [`Report`] with each confirmation of a lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::name::Name;

/// Silence after which a daemon counts as dead. Longer than
/// [`LEASE_DURATION`](crate::lease::LEASE_DURATION).
pub const DAEMON_TIMEOUT: Span = Span::from_ms(1_600);

/// A daemon as its polls describe it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of its host.
    pub host: Name,
    /// Failure domain of its host.
    pub domain: Name,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Boot number: random number that identifies this run of the process.
    pub boot: u64,
    /// Whether the daemon takes no replicas: it is stopping, or can't reach the backend servers.
    pub leaving: bool,
    /// Whether the daemon may still send to backend servers as an owner.
    pub owning: bool,
    /// Version of the operators' file that the daemon has in force; zero for none.
    pub version: u64,
}

/// Live daemons as one voter reports them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Whether the voter has recorded polls for [`DAEMON_TIMEOUT`] or longer, so that a daemon
    /// missing from `members` is dead.
    pub complete: bool,
    /// Daemons that polled within [`DAEMON_TIMEOUT`].
    pub members: Vec<Member>,
    /// Runs of daemons known to have ended, by host and boot number.
    pub ended: Vec<(Name, u64)>,
}

/// The daemons that polled one voter.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    last_polls: BTreeMap<Name, (Member, Time)>,
    ended: BTreeMap<Name, u64>,
    started: Time,
}

impl Roster {
    /// Creates an empty roster that records polls from `now` on.
    pub fn new(now: Time) -> Roster {
        Roster {
            started: now,
            ..Roster::default()
        }
    }

    /// Records a poll; late polls of a run that has ended are ignored.
    pub fn record(&mut self, now: Time, member: Member) {
        if self.ended.get(&member.host) == Some(&member.boot) {
            return;
        }
        self.ended.remove(&member.host);
        self.last_polls.insert(member.host.clone(), (member, now));
    }

    /// Records that the daemon on a host has ended, because the host refused a connection that was
    /// opened at `dialed`. A run that polled since may have started after that.
    pub fn mark_ended(&mut self, host: &Name, dialed: Time) {
        let polled_before = |(_, last): &(Member, Time)| *last < dialed;
        if !self.last_polls.get(host).is_some_and(polled_before) {
            return;
        }
        if let Some((member, _)) = self.last_polls.remove(host) {
            self.ended.insert(member.host, member.boot);
        }
    }

    /// Removes dead daemons and reports the live ones.
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
