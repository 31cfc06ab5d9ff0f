//! Requests that end the servers that run them, in a tier with discovered hosts.
//!
//! Load pattern: a request makes each server that begins to run it end, and callers repeat
//! it at any host. The [`Ledger`] of a host records for which services servers ended under
//! the request. Hosts exchange their records through the voters, so that each host acts on
//! what the others saw.
//!
//! A request that merely ran where servers ended for another reason must be served. So a
//! suspected part runs on one server at a time; an answer clears it, and only servers that
//! end one after the other count. Three of them quarantine the part. See `isolation` for the
//! entry host's side.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::name::Name;
use crate::suspect::QUARANTINE_TTL;
use crate::suspect::STANDING_TTL;
use crate::suspect::Standing;

/// Servers that end one after the other under a part before it is quarantined.
const CRASHES_MAX: u32 = 3;

/// Records kept at most. Cleared ones are evicted first and quarantined ones last; among
/// equals the first to expire.
const RECORDS_MAX: usize = 1_024;

/// Records that expire sooner are not sent to others.
const SENT_TTL_MIN: Span = Span::from_secs(1);

/// What is known of a part; of two marks for the same part the greater one is newer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Mark {
    /// Number of times that the part became suspect.
    pub epoch: u32,
    /// Whether a server answered the part since it last became suspect.
    pub cleared: bool,
    /// Servers that ended one after the other since then; zero if cleared.
    pub crashes: u32,
}

impl Mark {
    /// The standing that the mark stands for.
    pub fn standing(self) -> Standing {
        match self.cleared {
            true => Standing::Cleared,
            false if self.crashes >= CRASHES_MAX => Standing::Quarantined,
            false => Standing::Suspect,
        }
    }

    /// The mark after one more server ended, as the `crashes`th in a row.
    fn crashed(self, crashes: u32) -> Mark {
        Mark {
            epoch: self.epoch + u32::from(self.cleared || self.epoch == 0),
            cleared: false,
            crashes,
        }
    }

    /// Time for which the mark is kept.
    fn ttl(self) -> Span {
        match self.standing() {
            Standing::Quarantined => QUARANTINE_TTL,
            Standing::Suspect | Standing::Cleared => STANDING_TTL,
        }
    }
}

/// A part and its mark, as processes exchange them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Fingerprint of the request.
    pub fingerprint: Digest,
    /// Service that the part goes to.
    pub service: Name,
    /// What is known of the part.
    pub mark: Mark,
    /// Time until the record expires.
    pub left: Span,
}

/// What a process tells another about its ledger.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Digest of the ledger; zero if it is empty.
    pub digest: u64,
    /// All records, if the receiver's ledger differs, else none.
    pub records: Vec<Record>,
}

/// A call whose server ended.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// When the call was sent.
    pub sent: Time,
    /// When its connection broke.
    pub broke: Time,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    mark: Mark,
    /// When the last server ended, or when this process was told. Only calls that are sent
    /// later count as the next one.
    crashed_at: Time,
    expires_at: Time,
}

/// Parts of requests under which servers ended, as recorded by one process.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<(Digest, Name), Entry>,
    digest: u64,
}

impl Ledger {
    /// Standing of a part; absent if nothing is known of it. A part that is not recorded is
    /// suspected if the request is quarantined for other services and none has answered it.
    pub fn standing(&self, now: Time, fingerprint: &Digest, service: &Name) -> Option<Standing> {
        if self.entries.is_empty() {
            return None;
        }
        let entry = self.entries.get(&(*fingerprint, service.clone()));
        if let Some(entry) = entry.filter(|entry| entry.expires_at > now) {
            return Some(entry.mark.standing());
        }
        let live = self
            .of_request(fingerprint)
            .filter(|(_, entry)| entry.expires_at > now);
        let standings = live.map(|(_, entry)| entry.mark.standing());
        let standings = standings.collect::<BTreeSet<_>>();
        let fatal = standings.contains(&Standing::Quarantined);
        (fatal && !standings.contains(&Standing::Cleared)).then_some(Standing::Suspect)
    }

    /// The recorded parts of a request.
    fn of_request(&self, fingerprint: &Digest) -> impl Iterator<Item = (&Name, &Entry)> {
        let first = (*fingerprint, Name::default());
        let entries = self.entries.range(first..);
        let entries = entries.take_while(move |((known, _), _)| known == fingerprint);
        entries.map(|((_, service), entry)| (service, entry))
    }

    /// Time until a part's quarantine ends; absent if it is not quarantined.
    pub fn quarantine_left(&self, now: Time, fingerprint: &Digest, service: &Name) -> Option<Span> {
        let quarantined = self.standing(now, fingerprint, service) == Some(Standing::Quarantined);
        let entry = self.entries.get(&(*fingerprint, service.clone()))?;
        quarantined.then(|| entry.expires_at.since(now))
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a server ended while it ran a part. It counts if the call was sent after
    /// the last counted server had ended. If no server answered any part of the request, it
    /// counts for all its suspected parts. Returns the parts whose standing changed.
    pub fn record_crash(
        &mut self,
        now: Time,
        fingerprint: Digest,
        service: &Name,
        run: Run,
        unanswered: bool,
    ) -> Vec<(Name, Standing)> {
        self.purge(now);
        let suspects = self.suspects(&fingerprint, service, unanswered);
        let last = suspects.iter().map(|(_, entry)| entry.crashed_at).max();
        let crashes = suspects.iter().map(|(_, entry)| entry.mark.crashes).max();
        let counts = last.is_none_or(|last| run.sent >= last);
        let crashes = crashes.unwrap_or_default() + u32::from(counts);
        let crashed_at = last.unwrap_or_default().max(run.broke);
        let mut services = suspects
            .into_iter()
            .map(|(name, _)| name)
            .collect::<Vec<_>>();
        if !services.contains(service) {
            services.push(service.clone());
        }
        let mut changed = Vec::new();
        for name in services {
            let key = (fingerprint, name.clone());
            let known = self.entries.get(&key).map(|entry| entry.mark);
            let mark = known.unwrap_or_default().crashed(crashes);
            if known == Some(mark) {
                continue;
            }
            let expires_at = now.after(mark.ttl());
            let entry = Entry {
                mark,
                crashed_at,
                expires_at,
            };
            self.entries.insert(key, entry);
            if known.map(Mark::standing) != Some(mark.standing()) {
                changed.push((name, mark.standing()));
            }
        }
        self.update_digest();
        changed
    }

    /// The suspected part of a request for `service`, or, with `all`, its suspected parts for
    /// all services.
    fn suspects(&self, fingerprint: &Digest, service: &Name, all: bool) -> Vec<(Name, Entry)> {
        let suspects = self
            .of_request(fingerprint)
            .filter(|(name, entry)| !entry.mark.cleared && (all || *name == service));
        suspects
            .map(|(name, entry)| (name.clone(), *entry))
            .collect()
    }

    /// Records that a server answered a part. Returns whether that cleared it.
    pub fn record_answer(&mut self, now: Time, fingerprint: &Digest, service: &Name) -> bool {
        if self.entries.is_empty() {
            return false;
        }
        let entry = self.entries.get_mut(&(*fingerprint, service.clone()));
        let Some(entry) = entry.filter(|entry| !entry.mark.cleared) else {
            return false;
        };
        entry.mark = Mark {
            cleared: true,
            crashes: 0,
            ..entry.mark
        };
        entry.expires_at = now.after(entry.mark.ttl());
        self.update_digest();
        true
    }

    /// Adopts the newer ones of another process's records. Returns the parts whose standing
    /// changed.
    pub fn merge(&mut self, now: Time, records: Vec<Record>) -> Vec<(Digest, Name, Standing)> {
        let mut changed = Vec::new();
        self.purge(now);
        for record in records {
            let expires_at = now.after(record.left.min(record.mark.ttl()));
            let key = (record.fingerprint, record.service.clone());
            let known = self.entries.get(&key).map(|entry| entry.mark);
            if known.is_some_and(|known| known >= record.mark) {
                continue;
            }
            let entry = Entry {
                mark: record.mark,
                crashed_at: now,
                expires_at,
            };
            self.entries.insert(key, entry);
            let standing = record.mark.standing();
            if known.map(Mark::standing) != Some(standing) {
                changed.push((record.fingerprint, record.service, standing));
            }
        }
        self.update_digest();
        changed
    }

    /// What to tell a process whose ledger has the digest `known`.
    pub fn summary(&mut self, now: Time, known: u64) -> Summary {
        if self.purge(now) {
            self.update_digest();
        }
        let records = match known == self.digest {
            true => Vec::new(),
            false => self.records(now),
        };
        Summary {
            digest: self.digest,
            records,
        }
    }

    /// Digest of the ledger; zero if it is empty.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn records(&self, now: Time) -> Vec<Record> {
        let records = self
            .entries
            .iter()
            .map(|((fingerprint, service), entry)| Record {
                fingerprint: *fingerprint,
                service: service.clone(),
                mark: entry.mark,
                left: entry.expires_at.since(now),
            });
        records
            .filter(|record| record.left >= SENT_TTL_MIN)
            .collect()
    }

    /// Drops expired records, and returns whether there were any.
    fn purge(&mut self, now: Time) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.expires_at > now);
        self.entries.len() < before
    }

    /// Evicts records beyond [`RECORDS_MAX`] and computes the digest.
    fn update_digest(&mut self) {
        while self.entries.len() > RECORDS_MAX {
            let rank = |entry: &Entry| match entry.mark.standing() {
                Standing::Cleared => 0,
                Standing::Suspect => 1,
                Standing::Quarantined => 2,
            };
            let first = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| (rank(entry), entry.expires_at));
            let Some(key) = first.map(|(key, _)| key.clone()) else {
                return;
            };
            self.entries.remove(&key);
        }
        if self.entries.is_empty() {
            self.digest = 0;
            return;
        }
        let text = self.entries.iter().map(|((fingerprint, service), entry)| {
            let Mark {
                epoch,
                cleared,
                crashes,
            } = entry.mark;
            format!("{fingerprint} {service} {epoch} {cleared} {crashes}\n")
        });
        self.digest = Digest::of(text.collect::<String>().as_bytes()).rank();
    }
}
