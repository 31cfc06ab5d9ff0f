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
pub enum Outcome {
    /// It was answered with success.
    Served,
    /// It was refused with the word that it did not run.
    NotRun,
    /// It failed otherwise.
    Failed,
}

/// The record of one run.
#[derive(Debug, Default)]
pub struct Checker {
    requests: BTreeMap<String, (Instant, Option<Outcome>)>,
    arrivals: BTreeMap<String, Vec<Arrival>>,
    unlisted: BTreeMap<String, (Instant, Option<Instant>)>,
    violations: Vec<String>,
}

/// The record, shared by the tasks of a run.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<Mutex<Checker>>);

impl Shared {
    /// The record itself. A task that panicked while it held it is a fault already.
    pub fn lock(&self) -> MutexGuard<'_, Checker> {
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

impl Checker {
    /// Notes a broken promise.
    pub fn report_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Notes a request that a caller sends.
    pub fn record_sent(&mut self, request: &str) {
        self.requests
            .insert(request.to_owned(), (Instant::now(), None));
    }

    /// Notes how a request ended.
    pub fn record_outcome(&mut self, request: &str, outcome: Outcome) {
        if let Some((_, recorded)) = self.requests.get_mut(request) {
            *recorded = Some(outcome);
        }
    }

    /// Notes a request at a replica, and whether the replica began to work on it.
    pub fn record_arrival(&mut self, service: &str, replica: &str, request: &str, ran: bool) {
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
    pub fn record_listing(&mut self, replica: &str, listed: bool) {
        let now = Instant::now();
        match listed {
            false => drop(self.unlisted.insert(replica.to_owned(), (now, None))),
            true => {
                if let Some((_, relisted)) = self.unlisted.get_mut(replica) {
                    *relisted = Some(now);
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
        let mut stamped_services = BTreeSet::new();
        for stamp in stamps.split(',').map(str::trim).filter(|s| !s.is_empty()) {
            let Some((service, id)) = stamp.split_once('/') else {
                return self.report_violation(format!("{request}: stamp {stamp} is none"));
            };
            if id != request || !services.iter().any(|known| known == service) {
                self.report_violation(format!("{request}: stamp {stamp} is of something else"));
            }
            if !stamped_services.insert(service.to_owned()) {
                self.report_violation(format!("{request}: two parts of {service}"));
            }
        }
        if stamped_services.len() + missing != services.len() {
            let (parts, all) = (stamped_services.len(), services.len());
            self.report_violation(format!(
                "{request}: {parts} parts and {missing} missing of {all}"
            ));
        }
        let all = stamped_services
            .iter()
            .flat_map(|service| records(service, request));
        let mut expected = all.collect::<Vec<_>>();
        expected.sort_unstable_by(|a, b| b.cmp(a));
        expected.truncate(TOP_RECORDS);
        if expected.concat() != body {
            self.report_violation(format!("{request}: the records are not the greatest ones"));
        }
    }

    /// Checks the answer of one replica.
    pub fn check_relayed(&mut self, request: &str, service: &str, body: &[u8]) {
        if records(service, request).concat() != body {
            self.report_violation(format!("{request}: the records are not the replica's"));
        }
    }

    /// Requests asked and served.
    pub fn counts(&self) -> (usize, usize) {
        let served = |(_, outcome): &&(Instant, Option<Outcome>)| *outcome == Some(Outcome::Served);
        (
            self.requests.len(),
            self.requests.values().filter(served).count(),
        )
    }

    /// The broken promises, with those that show only at the end. `faulty_replicas` holds
    /// replicas that ended or were cut off, `delay_windows` when news of the list could be
    /// late.
    pub fn finish(
        &mut self,
        at_most_once: &str,
        faulty_replicas: &BTreeSet<String>,
        delay_windows: &[(Instant, Instant)],
    ) -> Vec<String> {
        self.check_executions(at_most_once, faulty_replicas);
        self.check_extra_requests();
        self.check_drained(delay_windows);
        std::mem::take(&mut self.violations)
    }

    fn check_executions(&mut self, at_most_once: &str, faulty_replicas: &BTreeSet<String>) {
        let mut violations = Vec::new();
        for (request, arrivals) in &self.arrivals {
            let Some((_, outcome)) = self.requests.get(request) else {
                violations.push(format!("{request}: reached a replica, and nobody asked it"));
                continue;
            };
            let executed = arrivals.iter().filter(|arrival| arrival.ran);
            let mut replicas = BTreeMap::<&str, BTreeSet<&str>>::new();
            for arrival in executed.clone() {
                let known = replicas.entry(&arrival.service).or_default();
                known.insert(&arrival.replica);
            }
            let runs = executed
                .filter(|arrival| arrival.service == at_most_once)
                .count();
            if runs > 1 {
                violations.push(format!("{request}: ran {runs} times and may run once"));
            }
            if *outcome == Some(Outcome::NotRun) && !replicas.is_empty() {
                violations.push(format!("{request}: said not to have run, and did"));
            }
            for (service, replicas) in replicas {
                let count = replicas
                    .iter()
                    .filter(|name| !faulty_replicas.contains(**name));
                let count = count.count();
                if count > ATTEMPTS_MAX as usize {
                    violations.push(format!("{request}: ran on {count} replicas of {service}"));
                }
            }
        }
        self.violations.extend(violations);
    }

    /// Extra requests of each service in any window against the limit of all hosts.
    fn check_extra_requests(&mut self) {
        let mut events = BTreeMap::<&str, Vec<(Instant, bool)>>::new();
        for arrivals in self.arrivals.values() {
            let mut first = BTreeSet::new();
            for arrival in arrivals {
                let extra = !first.insert(&arrival.service);
                let known = events.entry(&arrival.service).or_default();
                known.push((arrival.at, extra));
            }
        }
        let mut violations = Vec::new();
        for (service, mut events) in events {
            events.sort_unstable();
            for (at, _) in &events {
                let within_window = |event: &&(Instant, bool)| {
                    event.0 >= *at && event.0.duration_since(*at) < EXTRA_WINDOW
                };
                let in_window = events.iter().filter(within_window);
                let extra = in_window.clone().filter(|(_, extra)| *extra).count();
                let first = in_window.count() - extra;
                let allowed = first as f64 * EXTRA_RATIO + EXTRA_SLACK;
                if extra as f64 > allowed {
                    violations.push(format!("{service}: {extra} extra requests beside {first}"));
                    break;
                }
            }
        }
        self.violations.extend(violations);
    }

    /// New requests at replicas that had left the list for too long.
    fn check_drained(&mut self, delay_windows: &[(Instant, Instant)]) {
        let mut violations = Vec::new();
        for arrival in self.arrivals.values().flatten() {
            let Some((since, relisted)) = self.unlisted.get(&arrival.replica) else {
                continue;
            };
            let unlisted =
                arrival.at > *since && relisted.is_none_or(|relisted| arrival.at < relisted);
            if !unlisted || arrival.at.duration_since(*since) <= DRAIN_MAX {
                continue;
            }
            let overlaps = |(from, to): &(Instant, Instant)| *from <= arrival.at && *to >= *since;
            if !delay_windows.iter().any(overlaps) {
                let after = arrival.at.duration_since(*since).as_millis();
                violations.push(format!(
                    "{}: a request {after} ms after it left",
                    arrival.replica
                ));
            }
        }
        self.violations.extend(violations);
    }
}
