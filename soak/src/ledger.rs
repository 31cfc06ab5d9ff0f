//! What replicas and callers saw, and the promises that are checked on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::ATTEMPTS_MAX;
use crate::deployment::EXTRA_RATIO;
use crate::deployment::EXTRA_SLACK;
use crate::deployment::EXTRA_WINDOW;
use crate::deployment::RECORD_BYTES;
use crate::deployment::TOP_RECORDS;

/// Longest time from a replica's departure from the list to its last new request.
pub const DRAIN_MAX: Duration = Duration::from_secs(4);

/// A request that reached a replica.
#[derive(Clone, Debug)]
struct Arrival {
    at: Instant,
    service: String,
    replica: String,
    ran: bool,
}

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// It was answered with success.
    Served,
    /// It was refused with the word that it did not run.
    NotRun,
    /// It failed otherwise.
    Failed,
}

/// The record of one run.
#[derive(Debug, Default)]
pub struct Ledger {
    asked: BTreeMap<String, (Instant, Option<Ending>)>,
    arrivals: BTreeMap<String, Vec<Arrival>>,
    unlisted: BTreeMap<String, (Instant, Option<Instant>)>,
    faults: Vec<String>,
}

/// The record, shared by the tasks of a run.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<Mutex<Ledger>>);

impl Shared {
    /// The record itself. A task that panicked while it held it is a fault already.
    pub fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.0.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// The records that a replica of a service answers to a request.
pub fn records(service: &str, request: &str) -> Vec<[u8; RECORD_BYTES]> {
    let record = |number: u8| {
        let text = format!("{service} {request} {number}");
        let hash = blake3::hash(text.as_bytes());
        let mut record = [0; RECORD_BYTES];
        record.copy_from_slice(&hash.as_bytes()[..RECORD_BYTES]);
        record
    };
    (0..4).map(record).collect()
}

impl Ledger {
    /// Notes a broken promise.
    pub fn fault(&mut self, what: String) {
        self.faults.push(what);
    }

    /// Notes a request that a caller sends.
    pub fn asked(&mut self, request: &str) {
        self.asked
            .insert(request.to_owned(), (Instant::now(), None));
    }

    /// Notes how a request ended.
    pub fn ended(&mut self, request: &str, ending: Ending) {
        if let Some((_, ended)) = self.asked.get_mut(request) {
            *ended = Some(ending);
        }
    }

    /// Notes a request at a replica, and whether the replica began to work on it.
    pub fn arrived(&mut self, service: &str, replica: &str, request: &str, ran: bool) {
        let arrival = Arrival {
            at: Instant::now(),
            service: service.to_owned(),
            replica: replica.to_owned(),
            ran,
        };
        let arrivals = self.arrivals.entry(request.to_owned()).or_default();
        arrivals.push(arrival);
    }

    /// Notes that a replica left the list, or is on it again.
    pub fn listed(&mut self, replica: &str, listed: bool) {
        let now = Instant::now();
        match listed {
            false => drop(self.unlisted.insert(replica.to_owned(), (now, None))),
            true => {
                if let Some((_, back)) = self.unlisted.get_mut(replica) {
                    *back = Some(now);
                }
            }
        }
    }

    /// Checks a merged answer: whole parts of this request, each service once, and
    /// the greatest of their records.
    pub fn check_merged(
        &mut self,
        request: &str,
        services: &[String],
        stamps: &str,
        missing: usize,
        body: &[u8],
    ) {
        let mut named = BTreeSet::new();
        for stamp in stamps.split(',').map(str::trim).filter(|s| !s.is_empty()) {
            let Some((service, of)) = stamp.split_once('/') else {
                return self.fault(format!("{request}: stamp {stamp} is none"));
            };
            if of != request || !services.iter().any(|known| known == service) {
                self.fault(format!("{request}: stamp {stamp} is of something else"));
            }
            if !named.insert(service.to_owned()) {
                self.fault(format!("{request}: two parts of {service}"));
            }
        }
        if named.len() + missing != services.len() {
            let (parts, all) = (named.len(), services.len());
            self.fault(format!(
                "{request}: {parts} parts and {missing} missing of {all}"
            ));
        }
        let all = named.iter().flat_map(|service| records(service, request));
        let mut all = all.collect::<Vec<_>>();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.truncate(TOP_RECORDS);
        if all.concat() != body {
            self.fault(format!("{request}: the records are not the greatest ones"));
        }
    }

    /// Checks the answer of one replica.
    pub fn check_relayed(&mut self, request: &str, service: &str, body: &[u8]) {
        if records(service, request).concat() != body {
            self.fault(format!("{request}: the records are not the replica's"));
        }
    }

    /// Requests asked and served.
    pub fn counts(&self) -> (usize, usize) {
        let served = |(_, ended): &&(Instant, Option<Ending>)| *ended == Some(Ending::Served);
        (self.asked.len(), self.asked.values().filter(served).count())
    }

    /// The broken promises, with those that show only at the end. `lost` holds
    /// replicas that ended or were cut off, `disturbed` when news of the list could be
    /// late.
    pub fn settle(
        &mut self,
        once: &str,
        lost: &BTreeSet<String>,
        disturbed: &[(Instant, Instant)],
    ) -> Vec<String> {
        self.check_runs(once, lost);
        self.check_extra();
        self.check_drained(disturbed);
        std::mem::take(&mut self.faults)
    }

    fn check_runs(&mut self, once: &str, lost: &BTreeSet<String>) {
        let mut faults = Vec::new();
        for (request, arrivals) in &self.arrivals {
            let Some((_, ended)) = self.asked.get(request) else {
                faults.push(format!("{request}: reached a replica, and nobody asked it"));
                continue;
            };
            let ran = arrivals.iter().filter(|arrival| arrival.ran);
            let mut replicas = BTreeMap::<&str, BTreeSet<&str>>::new();
            for arrival in ran.clone() {
                let known = replicas.entry(&arrival.service).or_default();
                known.insert(&arrival.replica);
            }
            let runs = ran.filter(|arrival| arrival.service == once).count();
            if runs > 1 {
                faults.push(format!("{request}: ran {runs} times and may run once"));
            }
            if *ended == Some(Ending::NotRun) && !replicas.is_empty() {
                faults.push(format!("{request}: said not to have run, and did"));
            }
            for (service, replicas) in replicas {
                let counted = replicas.iter().filter(|name| !lost.contains(**name));
                let counted = counted.count();
                if counted > ATTEMPTS_MAX as usize {
                    faults.push(format!("{request}: ran on {counted} replicas of {service}"));
                }
            }
        }
        self.faults.extend(faults);
    }

    /// Extra requests of each service in any window against the limit of all hosts.
    fn check_extra(&mut self) {
        let mut events = BTreeMap::<&str, Vec<(Instant, bool)>>::new();
        for arrivals in self.arrivals.values() {
            let mut first = BTreeSet::new();
            for arrival in arrivals {
                let extra = !first.insert(&arrival.service);
                let known = events.entry(&arrival.service).or_default();
                known.push((arrival.at, extra));
            }
        }
        let mut faults = Vec::new();
        for (service, mut events) in events {
            events.sort_unstable();
            for (at, _) in &events {
                let within = |event: &&(Instant, bool)| {
                    event.0 >= *at && event.0.duration_since(*at) < EXTRA_WINDOW
                };
                let window = events.iter().filter(within);
                let extra = window.clone().filter(|(_, extra)| *extra).count();
                let first = window.count() - extra;
                let allowed = first as f64 * EXTRA_RATIO + EXTRA_SLACK;
                if extra as f64 > allowed {
                    faults.push(format!("{service}: {extra} extra requests beside {first}"));
                    break;
                }
            }
        }
        self.faults.extend(faults);
    }

    /// New requests at replicas that had left the list for too long.
    fn check_drained(&mut self, disturbed: &[(Instant, Instant)]) {
        let mut faults = Vec::new();
        for arrival in self.arrivals.values().flatten() {
            let Some((since, back)) = self.unlisted.get(&arrival.replica) else {
                continue;
            };
            let away = arrival.at > *since && back.is_none_or(|back| arrival.at < back);
            if !away || arrival.at.duration_since(*since) <= DRAIN_MAX {
                continue;
            }
            let during = |(from, to): &(Instant, Instant)| *from <= arrival.at && *to >= *since;
            if !disturbed.iter().any(during) {
                let after = arrival.at.duration_since(*since).as_millis();
                faults.push(format!(
                    "{}: a request {after} ms after it left",
                    arrival.replica
                ));
            }
        }
        self.faults.extend(faults);
    }
}
