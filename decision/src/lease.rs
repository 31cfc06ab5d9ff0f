//! A daemon's lease: a majority of voters confirmed lately which file is newest.
//!
//! Ages are measured from the moment a poll left this daemon, on its own clock,
//! so no two hosts' clocks are compared. Source of the idea: Gray and Cheriton,
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

/// Time for which a majority's confirmation counts.
pub const LEASE_DURATION: Span = Span::from_ms(1_000);

/// Time between two polls of the voters.
pub const POLL_EVERY: Span = Span::from_ms(200);

/// Time for which a daemon that gains a replica waits; a lease of its earlier
/// owner has lapsed by then.
pub const TAKEOVER_DELAY: Span = Span::from_ms(1_000);

/// A daemon's poll of a voter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Poll {
    /// The daemon.
    pub member: Member,
    /// When it was sent, on the daemon's clock.
    pub sent: Time,
}

/// A voter's answer to a poll.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirm {
    /// The voter's host.
    pub voter: Name,
    /// The poll's time of sending.
    pub sent: Time,
    /// The boot number of the poll's daemon.
    pub boot: u64,
    /// Whether the voter may vote.
    pub voting: bool,
    /// Version and digest of the file that it last accepted.
    pub file: Option<(u64, Digest)>,
    /// The daemons that it has heard.
    pub report: Report,
}

/// The answers of the voters to one daemon.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    voters: usize,
    confirms: BTreeMap<Name, Confirm>,
}

impl Lease {
    /// A lease that needs a majority of `voters`.
    pub fn new(voters: usize) -> Lease {
        Lease {
            voters,
            confirms: BTreeMap::new(),
        }
    }

    /// Takes a voter's answer; an answer older than the last one is dropped.
    pub fn record(&mut self, confirm: Confirm) {
        let last = self.confirms.get(&confirm.voter);
        if last.is_none_or(|last| last.sent <= confirm.sent) {
            self.confirms.insert(confirm.voter.clone(), confirm);
        }
    }

    fn majority(&self) -> usize {
        self.voters / 2 + 1
    }

    /// When a majority last confirmed that no version above `version` was accepted.
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

    /// Whether the lease on `version` holds.
    pub fn is_held(&self, now: Time, version: u64) -> bool {
        self.confirmed_at(version)
            .is_some_and(|at| now.since(at) < LEASE_DURATION)
    }

    /// The newest version that any voter has accepted.
    pub fn newest_version(&self) -> u64 {
        let versions = self.confirms.values().filter_map(|confirm| confirm.file);
        versions
            .map(|(version, _)| version)
            .max()
            .unwrap_or_default()
    }

    /// Voters heard within the lease, and whether each may vote.
    pub fn voters(&self, now: Time) -> Vec<(Name, bool)> {
        let fresh = self
            .confirms
            .values()
            .filter(|confirm| now.since(confirm.sent) < LEASE_DURATION);
        fresh
            .map(|confirm| (confirm.voter.clone(), confirm.voting))
            .collect()
    }

    /// Runs of daemons known to have ended, by host and boot number.
    pub fn ended(&self, now: Time) -> BTreeSet<(Name, u64)> {
        let fresh = self
            .confirms
            .values()
            .filter(|confirm| now.since(confirm.sent) < LEASE_DURATION);
        fresh
            .flat_map(|confirm| confirm.report.ended.iter().cloned())
            .collect()
    }

    /// Daemons alive: heard by a voter, and not missed by a majority.
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
