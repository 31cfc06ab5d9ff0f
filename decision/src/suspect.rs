//! Requests suspected of making the servers that run them fail.
//!
//! A request that was running where a connection broke becomes a suspect on all daemons.
//! One query with its fingerprint then runs as a canary, granted by the [`Arbiter`] of
//! one daemon. Its result clears or quarantines the fingerprint. Each daemon keeps the
//! standings in a [`Table`].

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::name::Name;

/// Time for which a suspicion or clearing is kept.
pub const STANDING_TTL: Span = Span::from_secs(600);

/// Time for which a quarantine is kept.
pub const QUARANTINE_TTL: Span = Span::from_secs(3_600);

/// Fingerprints kept at most. Suspects are evicted first and quarantines last; among
/// equals the first to expire.
const RECORDS_MAX: usize = 4_096;

/// Time after which a canary without a result no longer blocks another.
const CANARY_TIMEOUT: Span = Span::from_secs(5);

/// Standing of a fingerprint; a later variant is evicted later.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Standing {
    /// A request with the fingerprint was running where a server failed.
    #[display("suspect")]
    Suspect,
    /// A canary was answered.
    #[display("cleared")]
    Cleared,
    /// A server failed while running a canary.
    #[display("quarantined")]
    Quarantined,
}

/// The arbiter's answer to a canary request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ruling {
    /// The query may run as a canary; no other canary of its fingerprint runs.
    Go,
    /// Run the query as usual, since a canary was answered.
    Cleared,
    /// Refuse the query.
    Quarantined,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    standing: Standing,
    expires_at: Time,
}

/// Standings of fingerprints, as recorded by one daemon.
#[derive(Clone, Debug, Default)]
pub struct Table {
    records: BTreeMap<Digest, Record>,
}

impl Table {
    /// Current standing of `fingerprint`; absent if it is not recorded or has expired.
    pub fn standing(&self, now: Time, fingerprint: &Digest) -> Option<Standing> {
        let record = self.records.get(fingerprint)?;
        (record.expires_at > now).then_some(record.standing)
    }

    /// Records a standing and returns whether the standing changed. A quarantine is kept
    /// until it expires.
    pub fn update(&mut self, now: Time, fingerprint: Digest, standing: Standing) -> bool {
        let current = self.standing(now, &fingerprint);
        if current == Some(Standing::Quarantined) || current == Some(standing) {
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

    /// Evicts the record with the lowest standing that expires first.
    fn evict_one(&mut self) {
        let evicted = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.standing, record.expires_at));
        if let Some(fingerprint) = evicted.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }

    /// All unexpired standings.
    pub fn entries(&self, now: Time) -> Vec<(Digest, Standing)> {
        let live = self
            .records
            .iter()
            .filter(|(_, record)| record.expires_at > now);
        live.map(|(fingerprint, record)| (*fingerprint, record.standing))
            .collect()
    }
}

/// A canary that was granted and has not ended.
#[derive(Clone, Debug)]
struct Canary {
    /// Host of the entry daemon that runs the canary.
    holder: Name,
    expires_at: Time,
    /// Queries that wait for the result, by host and identifier.
    waiting: Vec<(Name, u64)>,
}

/// Grants canaries, one at a time for each fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Arbiter {
    canaries: BTreeMap<Digest, Canary>,
}

impl Arbiter {
    /// Rules on a query that asks for a canary. Returns no ruling if the query has to
    /// wait for a running canary.
    pub fn on_request(
        &mut self,
        now: Time,
        standings: &Table,
        fingerprint: Digest,
        from: (Name, u64),
    ) -> Option<Ruling> {
        match standings.standing(now, &fingerprint) {
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
        Some(Ruling::Go)
    }

    /// Ends a canary with a result and returns the queries that waited for it.
    pub fn end(&mut self, fingerprint: &Digest) -> Vec<(Name, u64)> {
        self.canaries
            .remove(fingerprint)
            .map(|canary| canary.waiting)
            .unwrap_or_default()
    }

    /// Ends the canaries of a lost daemon and grants each to the next waiting query.
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

    /// Ends an inconclusive canary and grants the next one to the first waiting query, if
    /// any.
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
        Some((next, Ruling::Go))
    }
}
