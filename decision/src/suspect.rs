//! Requests that stop the servers that run them: suspicion, a single canary
//! run, and quarantine.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::name::Name;

/// Time for which a suspicion or clearing is kept.
const STANDING_TTL: Span = Span::from_secs(600);

/// Time for which a quarantine is kept.
pub const QUARANTINE_TTL: Span = Span::from_secs(3_600);

/// Most fingerprints kept; the ones that expire first go first.
const RECORDS_MAX: usize = 4_096;

/// Longest time a canary may take before another is allowed.
const CANARY_TIMEOUT: Span = Span::from_secs(5);

/// What is known of a fingerprint.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Standing {
    /// It was running where a server failed.
    #[display("suspect")]
    Suspect,
    /// Its canary was answered.
    #[display("cleared")]
    Cleared,
    /// Its canary stopped a server.
    #[display("quarantined")]
    Quarantined,
}

/// Answer to a daemon that wants to run a canary.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ruling {
    /// Run it, as the only one.
    #[serde(rename = "Go")]
    RunCanary,
    /// Its canary was answered: run it as usual.
    Cleared,
    /// Refuse it.
    Quarantined,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    standing: Standing,
    expires_at: Time,
}

/// What one daemon knows of suspects.
#[derive(Clone, Debug, Default)]
pub struct Table {
    records: BTreeMap<Digest, Record>,
}

impl Table {
    /// What is known of `fingerprint`.
    pub fn standing(&self, now: Time, fingerprint: &Digest) -> Option<Standing> {
        let record = self.records.get(fingerprint)?;
        (record.expires_at > now).then_some(record.standing)
    }

    /// Learns a standing; a quarantine is never weakened. True if it is news.
    pub fn update(&mut self, now: Time, fingerprint: Digest, standing: Standing) -> bool {
        let known = self.standing(now, &fingerprint);
        if known == Some(Standing::Quarantined) || known == Some(standing) {
            return false;
        }
        let ttl = if standing == Standing::Quarantined {
            QUARANTINE_TTL
        } else {
            STANDING_TTL
        };
        self.records.insert(
            fingerprint,
            Record {
                standing,
                expires_at: now.after(ttl),
            },
        );
        if self.records.len() > RECORDS_MAX {
            self.evict_one();
        }
        true
    }

    fn evict_one(&mut self) {
        let evicted = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.standing, record.expires_at));
        if let Some(fingerprint) = evicted.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }

    /// All that is known, for a daemon that joins.
    pub fn entries(&self, now: Time) -> Vec<(Digest, Standing)> {
        let live = self
            .records
            .iter()
            .filter(|(_, record)| record.expires_at > now);
        live.map(|(fingerprint, record)| (*fingerprint, record.standing))
            .collect()
    }
}

#[derive(Clone, Debug)]
struct Canary {
    holder: Name,
    expires_at: Time,
    waiting: Vec<(Name, u64)>,
}

/// Grants canaries, one at a time for each fingerprint, at one daemon.
#[derive(Clone, Debug, Default)]
pub struct Arbiter {
    canaries: BTreeMap<Digest, Canary>,
}

impl Arbiter {
    /// Answers a daemon's query that wants a canary, or keeps it waiting.
    pub fn on_request(
        &mut self,
        now: Time,
        table: &Table,
        fingerprint: Digest,
        from: (Name, u64),
    ) -> Option<Ruling> {
        match table.standing(now, &fingerprint) {
            Some(Standing::Quarantined) => return Some(Ruling::Quarantined),
            Some(Standing::Cleared) => return Some(Ruling::Cleared),
            Some(Standing::Suspect) | None => {}
        }
        let running = self
            .canaries
            .get_mut(&fingerprint)
            .filter(|canary| canary.expires_at > now);
        if let Some(canary) = running {
            canary.waiting.push(from);
            return None;
        }
        let canary = Canary {
            holder: from.0,
            expires_at: now.after(CANARY_TIMEOUT),
            waiting: Vec::new(),
        };
        self.canaries.insert(fingerprint, canary);
        Some(Ruling::RunCanary)
    }

    /// Ends a canary and returns the queries that waited for it.
    pub fn end(&mut self, fingerprint: &Digest) -> Vec<(Name, u64)> {
        self.canaries
            .remove(fingerprint)
            .map(|canary| canary.waiting)
            .unwrap_or_default()
    }

    /// Ends the canaries held by a lost daemon; a query that waited gets its turn.
    pub fn on_host_lost(&mut self, now: Time, host: &Name) -> Vec<((Name, u64), Ruling)> {
        let lost = self
            .canaries
            .iter()
            .filter(|(_, canary)| canary.holder == *host);
        let lost = lost
            .map(|(fingerprint, _)| *fingerprint)
            .collect::<Vec<_>>();
        lost.iter()
            .filter_map(|fingerprint| self.grant_next(now, fingerprint))
            .collect()
    }

    /// Ends an undecided canary; the first query that waited gets its turn.
    pub fn grant_next(&mut self, now: Time, fingerprint: &Digest) -> Option<((Name, u64), Ruling)> {
        let mut waiting = self.end(fingerprint);
        if waiting.is_empty() {
            return None;
        }
        let next = waiting.remove(0);
        let canary = Canary {
            holder: next.0.clone(),
            expires_at: now.after(CANARY_TIMEOUT),
            waiting,
        };
        self.canaries.insert(*fingerprint, canary);
        Some((next, Ruling::RunCanary))
    }
}
