//! Requests that end the servers that run them, in a tier with discovered hosts.
//!
//! Load pattern: a request makes each server that begins to run it end, and callers repeat
//! it at any host. The [`Ledger`] of a host records for which services servers ended under
//! the request. Hosts exchange their records through the voters, so that each host acts on
//! what the others saw.
//!
//! A request that merely ran where servers ended for another reason must be served. So its
//! suspected parts run one at a time, an answer clears them, and only servers that end one
//! after the other count. Three of them for one service quarantine the part for that service.
//! Three for any services, with no answer from any in between, quarantine the whole request.
//! Six are needed if a server answered the request before: a frequent harmless request often
//! runs on the same servers as a fatal one, in particular where few servers are left.
//! See `isolation` for the entry host's side.

mod history;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::name::Name;
use crate::quarantine::history::History;
use crate::suspect::QUARANTINE_TTL;
use crate::suspect::STANDING_TTL;
use crate::suspect::Standing;

/// Servers that end one after the other under a part before it is quarantined, if none ever
/// answered it.
const CRASHES_MAX: u32 = 3;

/// The same if a server answered the part before. No more than one request that ends servers is
/// expected to run beside it, and that one is quarantined first.
const CRASHES_MAX_ANSWERED: u32 = 2 * CRASHES_MAX;

/// Stands for all services in the records of whole requests; no service has this name.
const WHOLE: &str = "*";

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
            false if self.crashes >= self.crashes_max() => Standing::Quarantined,
            false => Standing::Suspect,
        }
    }

    /// Servers that must end before the part is quarantined. A part that is suspect for the
    /// second time was answered in between.
    fn crashes_max(self) -> u32 {
        match self.epoch {
            0 | 1 => CRASHES_MAX,
            _ => CRASHES_MAX_ANSWERED,
        }
    }

    /// The mark of a part that was answered before it became suspect.
    fn answered_before() -> Mark {
        Mark {
            epoch: 1,
            cleared: true,
            crashes: 0,
        }
    }

    /// The mark for a process that knows that the part was answered before it became suspect.
    fn with_answer_before(self) -> Mark {
        Mark {
            epoch: match self.cleared {
                true => self.epoch,
                false => self.epoch.max(2),
            },
            ..self
        }
    }

    /// The mark after one more server ended.
    fn crashed(self) -> Mark {
        let new_epoch = self.cleared || self.epoch == 0;
        Mark {
            epoch: self.epoch + u32::from(new_epoch),
            cleared: false,
            crashes: self.crashes + 1,
        }
    }

    /// The mark after an answer.
    fn answered(self) -> Mark {
        Mark {
            cleared: true,
            crashes: 0,
            ..self
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
    /// Service that the part goes to; `*` for the whole request.
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
    answered: History,
    digest: u64,
}

impl Ledger {
    /// Standing of a part; absent if nothing is known of it. That of the whole request counts
    /// for each part that has none of its own, and for all parts once it is quarantined.
    pub fn standing(&self, now: Time, fingerprint: &Digest, service: &Name) -> Option<Standing> {
        self.decisive(now, fingerprint, service)
            .map(|entry| entry.mark.standing())
    }

    /// Time until a part's quarantine ends; absent if it is not quarantined.
    pub fn quarantine_left(&self, now: Time, fingerprint: &Digest, service: &Name) -> Option<Span> {
        let entry = self.decisive(now, fingerprint, service)?;
        let quarantined = entry.mark.standing() == Standing::Quarantined;
        quarantined.then(|| entry.expires_at.since(now))
    }

    /// The entry that decides a part's standing: its own or that of the whole request.
    fn decisive(&self, now: Time, fingerprint: &Digest, service: &Name) -> Option<&Entry> {
        if self.entries.is_empty() {
            return None;
        }
        let live = |name: Name| {
            let entry = self.entries.get(&(*fingerprint, name));
            entry.filter(|entry| entry.expires_at > now)
        };
        let whole = live(Name::from(WHOLE));
        if let Some(entry) = whole.filter(|e| e.mark.standing() == Standing::Quarantined) {
            return Some(entry);
        }
        live(service.clone()).or(whole)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a server ended while it ran a part. It counts for the part and for the
    /// whole request, for each if the call was sent after the last counted server had ended.
    /// Returns the changed standings, `*` for the whole request.
    pub fn record_crash(
        &mut self,
        now: Time,
        fingerprint: Digest,
        service: &Name,
        run: Run,
    ) -> Vec<(Name, Standing)> {
        self.purge(now);
        let changed = [service.clone(), Name::from(WHOLE)]
            .into_iter()
            .filter_map(|name| {
                let standing = self.count_crash(now, (fingerprint, name.clone()), run)?;
                Some((name, standing))
            });
        let changed = changed.collect();
        self.update_digest();
        changed
    }

    /// Counts a server that ended, and returns the standing if it changed.
    fn count_crash(&mut self, now: Time, key: (Digest, Name), run: Run) -> Option<Standing> {
        let known = self.entries.get(&key).copied();
        let suspected = known.filter(|entry| !entry.mark.cleared);
        if suspected.is_some_and(|entry| run.sent < entry.crashed_at) {
            return None;
        }
        let before = known.map(|entry| entry.mark);
        let answered = self.answered.contains(now, &key);
        let first = match answered {
            true => Mark::answered_before(),
            false => Mark::default(),
        };
        let mark = before.unwrap_or(first).crashed();
        let entry = Entry {
            mark,
            crashed_at: run.broke,
            expires_at: now.after(mark.ttl()),
        };
        self.entries.insert(key, entry);
        let standing = mark.standing();
        (before.map(Mark::standing) != Some(standing)).then_some(standing)
    }

    /// Records that a server answered a part. Returns the services whose parts that cleared,
    /// `*` for the whole request.
    pub fn record_answer(&mut self, now: Time, fingerprint: &Digest, service: &Name) -> Vec<Name> {
        let mut cleared = Vec::new();
        for name in [service.clone(), Name::from(WHOLE)] {
            let key = (*fingerprint, name.clone());
            self.answered.insert(now, &key);
            let entry = self.entries.get_mut(&key);
            let Some(entry) = entry.filter(|entry| !entry.mark.cleared) else {
                continue;
            };
            entry.mark = entry.mark.answered();
            entry.expires_at = now.after(entry.mark.ttl());
            cleared.push(name);
        }
        if !cleared.is_empty() {
            self.update_digest();
        }
        cleared
    }

    /// Adopts the newer ones of another process's records. The other one may not know that a server
    /// answered a part before, as after a restart. Returns the parts whose standing changed.
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
            let mark = match self.answered.contains(now, &key) {
                true => record.mark.with_answer_before(),
                false => record.mark,
            };
            let entry = Entry {
                mark,
                crashed_at: now,
                expires_at,
            };
            self.entries.insert(key, entry);
            let standing = mark.standing();
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
