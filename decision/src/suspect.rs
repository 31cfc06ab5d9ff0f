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
const KEEP: Span = Span::from_secs(600);

/// Time for which a quarantine is kept.
pub const KEEP_QUARANTINED: Span = Span::from_secs(3_600);

/// Most fingerprints kept; the ones that expire first go first.
const TABLE_MAX: usize = 4_096;

/// Longest time a canary may take before another is allowed.
const CANARY_MAX: Span = Span::from_secs(5);

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
    Go,
    /// Its canary was answered: run it as usual.
    Cleared,
    /// Refuse it.
    Quarantined,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    standing: Standing,
    until: Time,
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
        (record.until > now).then_some(record.standing)
    }

    /// Learns a standing; a quarantine is never weakened. True if it is news.
    pub fn learn(&mut self, now: Time, fingerprint: Digest, standing: Standing) -> bool {
        let known = self.standing(now, &fingerprint);
        if known == Some(Standing::Quarantined) || known == Some(standing) {
            return false;
        }
        let keep = if standing == Standing::Quarantined {
            KEEP_QUARANTINED
        } else {
            KEEP
        };
        self.records.insert(
            fingerprint,
            Record {
                standing,
                until: now.after(keep),
            },
        );
        if self.records.len() > TABLE_MAX {
            self.forget_oldest();
        }
        true
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.standing, record.until));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }

    /// All that is known, for a daemon that joins.
    pub fn all(&self, now: Time) -> Vec<(Digest, Standing)> {
        let live = self.records.iter().filter(|(_, record)| record.until > now);
        live.map(|(fingerprint, record)| (*fingerprint, record.standing))
            .collect()
    }
}

#[derive(Clone, Debug)]
struct Canary {
    holder: Name,
    until: Time,
    waiting: Vec<(Name, u64)>,
}

/// Grants canaries, one at a time for each fingerprint, at one daemon.
#[derive(Clone, Debug, Default)]
pub struct Arbiter {
    canaries: BTreeMap<Digest, Canary>,
}

impl Arbiter {
    /// Answers a daemon's query that wants a canary, or keeps it waiting.
    pub fn ask(
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
            .filter(|canary| canary.until > now);
        if let Some(canary) = running {
            canary.waiting.push(from);
            return None;
        }
        let canary = Canary {
            holder: from.0,
            until: now.after(CANARY_MAX),
            waiting: Vec::new(),
        };
        self.canaries.insert(fingerprint, canary);
        Some(Ruling::Go)
    }

    /// Ends a canary and returns the queries that waited for it.
    pub fn close(&mut self, fingerprint: &Digest) -> Vec<(Name, u64)> {
        self.canaries
            .remove(fingerprint)
            .map(|canary| canary.waiting)
            .unwrap_or_default()
    }

    /// Ends the canaries held by a lost daemon; a query that waited gets its turn.
    pub fn lose(&mut self, now: Time, host: &Name) -> Vec<((Name, u64), Ruling)> {
        let lost = self
            .canaries
            .iter()
            .filter(|(_, canary)| canary.holder == *host);
        let lost = lost
            .map(|(fingerprint, _)| *fingerprint)
            .collect::<Vec<_>>();
        lost.iter()
            .filter_map(|fingerprint| self.pass_on(now, fingerprint))
            .collect()
    }

    /// Ends an undecided canary; the first query that waited gets its turn.
    pub fn pass_on(&mut self, now: Time, fingerprint: &Digest) -> Option<((Name, u64), Ruling)> {
        let mut waiting = self.close(fingerprint);
        if waiting.is_empty() {
            return None;
        }
        let next = waiting.remove(0);
        let canary = Canary {
            holder: next.0.clone(),
            until: now.after(CANARY_MAX),
            waiting,
        };
        self.canaries.insert(*fingerprint, canary);
        Some((next, Ruling::Go))
    }
}
