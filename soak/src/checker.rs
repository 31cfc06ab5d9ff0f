//! Records what callers and replicas observe in a run and checks the guarantees on it.
//! Callers' answers are checked on arrival, the rest in [`Checker::finish`] at the end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::account;
use crate::deployment::RECORD_BYTES;
use crate::deployment::TOP_RECORDS;
use crate::moved::Versions;

/// Longest time for which new requests may still reach a replica after it is listed as
/// draining.
pub const DRAIN_LAG_MAX: Duration = Duration::from_secs(4);

/// Time after a change within which hosts that are in touch with the others must follow it.
pub const CONTACT: Duration = Duration::from_secs(4);

/// Time after an answer from which the replica must get no requests.
const OVERLOADED_LAG: Duration = Duration::from_millis(500);

/// Requests that may still reach it until the time that it named is over.
const OVERLOADED_REQUESTS_MAX: u32 = 2;

/// A time in which a replica had a limit.
#[derive(Clone, Debug)]
pub(crate) struct Limited {
    pub(crate) replica: String,
    /// Requests per second from all hosts together.
    pub(crate) limit: f64,
    /// When an answer first named the limit.
    pub(crate) named_at: Option<Instant>,
    pub(crate) until: Option<Instant>,
}

/// What a replica said of itself in an answer to the only entry host.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Said {
    /// At this time, that it is leaving.
    Leaving(Instant),
    /// That it wants no requests from the first time to the second; this many came nevertheless.
    Overloaded(Instant, Instant, u32),
}

/// A time in which some entry hosts were cut off from all replicas.
#[derive(Clone, Debug)]
pub(crate) struct LinksCut {
    pub(crate) entries: BTreeSet<usize>,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

/// A request that reached a replica; `ran` tells whether the replica began to run it.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    pub(crate) service: String,
    pub(crate) replica: String,
    pub(crate) ran: bool,
}

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered with status 200.
    Served,
    /// Refused with an answer which says that the request did not run.
    NotRun,
    /// Any other answer, or none.
    Failed,
}

/// The observations of one run and the violations found so far.
#[derive(Debug, Default)]
pub struct Checker {
    /// Time sent and outcome of each request, by request id.
    pub(crate) requests: BTreeMap<String, (Instant, Option<Outcome>)>,
    /// Entry host that got each request of a caller, unless that was disturbed lately.
    pub(crate) entries: BTreeMap<String, usize>,
    /// Until when each entry host counts as disturbed by another fault.
    pub(crate) disturbed: BTreeMap<usize, Instant>,
    /// Times in which entry hosts were cut off, in order.
    pub(crate) cuts: Vec<LinksCut>,
    /// Arrivals at replicas, by request id.
    pub(crate) arrivals: BTreeMap<String, Vec<Arrival>>,
    /// Start and, once over, end of the last drain of each replica, by replica id.
    pub(crate) drains: BTreeMap<String, (Instant, Option<Instant>)>,
    /// Request ids under which replicas ended, one for each replica, by the request's path.
    pub(crate) ended: BTreeMap<String, Vec<String>>,
    /// Times in which replicas had limits, in order.
    pub(crate) limited: Vec<Limited>,
    /// What replicas said since the only entry host started or froze, by replica id.
    pub(crate) said: BTreeMap<String, Vec<Said>>,
    /// Accounts and keys of callers.
    pub accounts: account::ledger::Ledger,
    /// Versions of the configuration.
    pub versions: Versions,
    /// Start and end of the times in which the voters may lack a majority.
    pub(crate) majority_losses: Vec<(Instant, Instant)>,
    pub(crate) violations: Vec<String>,
}

/// A [`Checker`] shared by the tasks of a run.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<Mutex<Checker>>);

impl Shared {
    /// Locks the checker. A poisoned lock is ignored: the panic that poisoned it is already a
    /// failure of its own.
    pub fn lock(&self) -> MutexGuard<'_, Checker> {
        self.0.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// The four records that each replica of a service returns for a request id.
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
    /// Adds a violation to those that [`Checker::finish`] returns.
    pub fn report_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Records that a caller sends a request.
    pub fn record_sent(&mut self, request: &str) {
        self.requests
            .insert(request.to_owned(), (Instant::now(), None));
    }

    /// Records which entry host a caller's request goes to.
    pub fn record_entry(&mut self, request: &str, entry: usize) {
        let until = self.disturbed.get(&entry);
        if until.is_none_or(|until| *until <= Instant::now()) {
            self.entries.insert(request.to_owned(), entry);
        }
    }

    /// Records that a fault other than a cut disturbs an entry host.
    pub fn record_disturbed(&mut self, entry: usize, until: Instant) {
        let known = self.disturbed.entry(entry).or_insert(until);
        *known = until.max(*known);
    }

    /// Records that these entry hosts are cut off from all replicas from now on.
    pub fn record_links_cut(&mut self, entries: BTreeSet<usize>) {
        self.cuts.push(LinksCut {
            entries,
            from: Instant::now(),
            until: None,
        });
    }

    /// Records that no entry host is cut off any more.
    pub fn record_links_back(&mut self) {
        if let Some(cut) = self.cuts.last_mut() {
            cut.until.get_or_insert_with(Instant::now);
        }
    }

    /// Records how a request ended.
    pub fn record_outcome(&mut self, request: &str, outcome: Outcome) {
        if let Some((_, recorded)) = self.requests.get_mut(request) {
            *recorded = Some(outcome);
        }
    }

    /// Records the arrival of a request at a replica, and whether the replica began to run it.
    pub fn record_arrival(&mut self, service: &str, replica: &str, request: &str, ran: bool) {
        self.check_said(replica);
        let arrival = Arrival {
            at: Instant::now(),
            service: service.to_owned(),
            replica: replica.to_owned(),
            ran,
        };
        let arrivals = self.arrivals.entry(request.to_owned()).or_default();
        arrivals.push(arrival);
    }

    /// Records that a replica sends an answer which says that it is leaving. Like the next method, only
    /// for runs with one entry host, as it isn't known which one gets the answer.
    pub fn record_leaving(&mut self, replica: &str) {
        let said = self.said.entry(replica.to_owned()).or_default();
        if !said.iter().any(|said| matches!(said, Said::Leaving(_))) {
            said.push(Said::Leaving(Instant::now()));
        }
    }

    /// Records that a replica answers that it wants no requests for this time.
    pub fn record_overloaded(&mut self, replica: &str, wait: Duration) {
        let now = Instant::now();
        let said = self.said.entry(replica.to_owned()).or_default();
        said.push(Said::Overloaded(now + OVERLOADED_LAG, now + wait, 0));
    }

    /// Records that an entry host is killed, frozen or started: what replicas said before no longer
    /// counts. One that was told to stop keeps to it until it has ended.
    pub fn record_interrupted(&mut self) {
        self.said.clear();
    }

    /// Checks a request that arrives now against what its replica said.
    fn check_said(&mut self, replica: &str) {
        let now = Instant::now();
        let mut violations = Vec::new();
        for said in self.said.get_mut(replica).into_iter().flatten() {
            match said {
                Said::Leaving(at) if now.duration_since(*at) > DRAIN_LAG_MAX => {
                    let after = now.duration_since(*at).as_millis();
                    violations.push(format!(
                        "{replica}: a request {after} ms after it said that it is leaving"
                    ));
                }
                Said::Overloaded(from, until, count) if (*from..*until).contains(&now) => {
                    *count += 1;
                    if *count > OVERLOADED_REQUESTS_MAX {
                        violations
                            .push(format!("{replica}: {count} requests while it wanted none"));
                    }
                }
                Said::Leaving(_) | Said::Overloaded(..) => {}
            }
        }
        self.violations.extend(violations);
    }

    /// Records that a replica is listed as draining, or as ready again.
    pub fn record_draining(&mut self, replica: &str, draining: bool) {
        let now = Instant::now();
        match draining {
            true => drop(self.drains.insert(replica.to_owned(), (now, None))),
            false => {
                if let Some((_, end)) = self.drains.get_mut(replica) {
                    *end = Some(now);
                }
            }
        }
    }

    /// Records that a replica has a limit from now on.
    pub fn record_limited(&mut self, replica: &str, limit: f64) {
        self.limited.push(Limited {
            replica: replica.to_owned(),
            limit,
            named_at: None,
            until: None,
        });
    }

    /// Records that a replica sends an answer that names its limit.
    pub fn record_limit_named(&mut self, replica: &str) {
        if let Some(limited) = self.limit_of(replica) {
            limited.named_at.get_or_insert_with(Instant::now);
        }
    }

    /// Records that a replica has no limit any more.
    pub fn record_unlimited(&mut self, replica: &str) {
        if let Some(limited) = self.limit_of(replica) {
            limited.until = Some(Instant::now());
        }
    }

    fn limit_of(&mut self, replica: &str) -> Option<&mut Limited> {
        let mut limited = self.limited.iter_mut();
        limited.find(|limited| limited.replica == replica && limited.until.is_none())
    }

    /// Records that the process of a replica ended under a request with this path.
    pub fn record_ended(&mut self, path: &str, request: &str) {
        let ended = self.ended.entry(path.to_owned()).or_default();
        ended.push(request.to_owned());
    }

    /// Request ids under which replicas ended so far, one for each replica.
    pub fn ended_under(&self, path: &str) -> &[String] {
        self.ended.get(path).map_or(&[], Vec::as_slice)
    }

    /// Checks a merged answer: its stamps name this request and each service at most once,
    /// stamped and missing parts add up to all services, and the body holds the greatest
    /// records of the stamped parts.
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
                return self.report_violation(format!("{request}: malformed stamp {stamp}"));
            };
            if id != request || !services.iter().any(|known| known == service) {
                self.report_violation(format!(
                    "{request}: stamp {stamp} names another request or an unknown service"
                ));
            }
            if !stamped_services.insert(service.to_owned()) {
                self.report_violation(format!("{request}: two parts are from {service}"));
            }
        }
        if stamped_services.len() + missing != services.len() {
            let (parts, all) = (stamped_services.len(), services.len());
            self.report_violation(format!(
                "{request}: {parts} parts and {missing} missing don't add up to {all}"
            ));
        }
        let all = stamped_services
            .iter()
            .flat_map(|service| records(service, request));
        let mut expected = all.collect::<Vec<_>>();
        expected.sort_unstable_by(|a, b| b.cmp(a));
        expected.truncate(TOP_RECORDS);
        if expected.concat() != body {
            self.report_violation(format!(
                "{request}: the body isn't the greatest records of its parts"
            ));
        }
    }

    /// Checks an answer that is passed on from one replica: the body holds the records of
    /// this request.
    pub fn check_relayed(&mut self, request: &str, service: &str, body: &[u8]) {
        if records(service, request).concat() != body {
            self.report_violation(format!(
                "{request}: the body isn't the records that a replica returns"
            ));
        }
    }

    /// The numbers of requests sent and served.
    pub fn counts(&self) -> (usize, usize) {
        let served = |(_, outcome): &&(Instant, Option<Outcome>)| *outcome == Some(Outcome::Served);
        (
            self.requests.len(),
            self.requests.values().filter(served).count(),
        )
    }

    /// Runs the checks that need the whole run and returns all violations. `at_most_once` is
    /// the service whose requests may run once only. `faulty_replicas` are the replicas that
    /// failed or whose link failed, `delay_windows` the times in which updates of the list
    /// may have been late.
    pub fn finish(
        &mut self,
        at_most_once: &str,
        faulty_replicas: &BTreeSet<String>,
        delay_windows: &[(Instant, Instant)],
    ) -> Vec<String> {
        self.check_executions(at_most_once, faulty_replicas);
        self.check_extra_requests();
        self.check_drained(delay_windows);
        self.check_limits();
        self.check_cuts();
        self.check_versions();
        self.violations.extend(self.accounts.finish());
        std::mem::take(&mut self.violations)
    }

    /// Records that the voters may lack a majority in this time.
    pub fn record_majority_lost(&mut self, from: Instant, until: Instant) {
        self.majority_losses.push((from, until));
    }
}
