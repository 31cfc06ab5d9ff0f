//! Lease of a daemon on the newest version of the operators' file.
//!
//! The daemon polls all voters and records their confirmations here. It holds the lease
//! while a majority has lately confirmed that no newer file was accepted.
//!
//! Ages are measured on the daemon's own clock from the moment it sent the poll, so no two
//! hosts' clocks are compared. Source of the idea: Gray and Cheriton,
//! "Leases: an efficient fault-tolerant mechanism for distributed file cache
//! consistency", 1989.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::name::Name;
use crate::roster::Member;
use crate::roster::Report;

/// Time for which a confirmation counts, from the sending of its poll.
pub const LEASE_DURATION: Span = Span::from_ms(1_000);

/// Time between two polls of all voters.
pub const POLL_EVERY: Span = Span::from_ms(200);

/// Time for which a daemon that gains a replica waits before it sends to it. A lease of the
/// earlier owner has lapsed by then.
pub const TAKEOVER_DELAY: Span = Span::from_ms(1_000);

/// Poll of a voter by a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Poll {
    /// The polling daemon.
    pub member: Member,
    /// Time of sending on the daemon's clock.
    pub sent: Time,
}

/// A voter's answer to a poll.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirm {
    /// Host of the voter.
    pub voter: Name,
    /// Time of sending, copied from the poll.
    pub sent: Time,
    /// Boot number of the polling daemon, copied from the poll.
    pub boot: u64,
    /// Whether the voter votes; if not, its confirmation does not count towards a lease.
    pub voting: bool,
    /// Version and digest of the file that the voter last accepted; absent if none.
    pub file: Option<(u64, Digest)>,
    /// Live daemons as the voter sees them.
    pub report: Report,
}

/// The voters' newest answers to one daemon.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    voters: usize,
    confirms: BTreeMap<Name, Confirm>,
}

impl Lease {
    /// Creates a lease that needs confirmations of a majority of `voters`.
    pub fn new(voters: usize) -> Lease {
        Lease {
            voters,
            confirms: BTreeMap::new(),
        }
    }

    /// Records a voter's answer; an answer to an older poll than the last one is dropped.
    pub fn record(&mut self, confirm: Confirm) {
        let last = self.confirms.get(&confirm.voter);
        if last.is_none_or(|last| last.sent <= confirm.sent) {
            self.confirms.insert(confirm.voter.clone(), confirm);
        }
    }

    fn majority(&self) -> usize {
        self.voters / 2 + 1
    }

    /// Latest time T such that a majority of voters, in answers to polls sent at T or later,
    /// reported no accepted version above `version`; absent if no majority did.
    pub fn confirmed_at(&self, version: u64) -> Option<Time> {
        let confirms_version = |confirm: &&Confirm| {
            let newest = confirm.file.map_or(0, |(newest, _)| newest);
            confirm.voting && newest <= version
        };
        let mut sent = self
            .confirms
            .values()
            .filter(confirms_version)
            .map(|c| c.sent)
            .collect::<Vec<_>>();
        sent.sort_by(|a, b| b.cmp(a));
        sent.get(self.majority() - 1).copied()
    }

    /// Whether the lease on `version` is held at `now`.
    pub fn is_held(&self, now: Time, version: u64) -> bool {
        self.confirmed_at(version)
            .is_some_and(|at| now.since(at) < LEASE_DURATION)
    }

    /// Newest version that any voter has accepted; zero for none.
    pub fn newest_version(&self) -> u64 {
        let versions = self.confirms.values().filter_map(|confirm| confirm.file);
        versions
            .map(|(version, _)| version)
            .max()
            .unwrap_or_default()
    }

    /// Voters that answered within [`LEASE_DURATION`], and whether each may vote.
    pub fn voters(&self, now: Time) -> Vec<(Name, bool)> {
        let fresh = self
            .confirms
            .values()
            .filter(|confirm| now.since(confirm.sent) < LEASE_DURATION);
        fresh
            .map(|confirm| (confirm.voter.clone(), confirm.voting))
            .collect()
    }

    /// Runs of daemons known to have ended, by host and boot number, from the answers within
    /// [`LEASE_DURATION`].
    pub fn ended(&self, now: Time) -> BTreeSet<(Name, u64)> {
        let fresh = self
            .confirms
            .values()
            .filter(|confirm| now.since(confirm.sent) < LEASE_DURATION);
        fresh
            .flat_map(|confirm| confirm.report.ended.iter().cloned())
            .collect()
    }

    /// Live daemons. A daemon is live if at least one voter reports it, fewer than a majority
    /// send complete reports without it, and its run is not known to have ended.
    pub fn members(&self, now: Time) -> Vec<Member> {
        let fresh = self
            .confirms
            .values()
            .filter(|confirm| now.since(confirm.sent) < LEASE_DURATION);
        let reports = fresh.map(|confirm| &confirm.report).collect::<Vec<_>>();
        let mut members: BTreeMap<Name, Member> = BTreeMap::new();
        for member in reports.iter().flat_map(|report| &report.members) {
            let known = members
                .entry(member.host.clone())
                .or_insert_with(|| member.clone());
            known.leaving |= member.leaving && member.boot == known.boot;
            known.owning &= member.owning || member.boot != known.boot;
            known.version = known.version.max(member.version);
        }
        let complete = reports.iter().filter(|report| report.complete);
        let seen = complete.map(|report| report.members.iter().map(|m| &m.host).collect());
        let seen = seen.collect::<Vec<BTreeSet<&Name>>>();
        let misses = |host: &Name| seen.iter().filter(|hosts| !hosts.contains(host)).count();
        let ended = self.ended(now);
        let alive = |member: &Member| {
            let has_ended = ended.contains(&(member.host.clone(), member.boot));
            misses(&member.host) < self.majority() && !has_ended
        };
        members.into_values().filter(alive).collect()
    }
}
