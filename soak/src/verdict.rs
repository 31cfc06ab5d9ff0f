//! Checks of the guarantees on the observations of a whole run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::checker::Arrival;
use crate::checker::CONTACT;
use crate::checker::Checker;
use crate::checker::DRAIN_LAG_MAX;
use crate::checker::Outcome;
use crate::deployment::ATTEMPTS_MAX;
use crate::deployment::EXTRA_RATIO;
use crate::deployment::EXTRA_SLACK;
use crate::deployment::EXTRA_WINDOW;
use crate::moved::APPLY_MAX;

/// First tries at hosts that are cut off that may fail, before any share counts.
const CUT_FAILURES_MAX: usize = 10;

/// Length of the windows in which requests are counted against a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Share of what a limit allows in a window that hosts may send.
const LIMIT_RATIO: f64 = 1.5;

/// Requests that hosts may send in a window in addition.
const LIMIT_SLACK: f64 = 5.0;

impl Checker {
    /// Checks that each request at a replica was sent by a caller, that at-most-once requests
    /// ran once at most, that requests reported as not run did not run, and that no request
    /// ran on more than [`ATTEMPTS_MAX`] replicas of a service, not counting faulty replicas.
    pub(crate) fn check_executions(
        &mut self,
        at_most_once: &str,
        faulty_replicas: &BTreeSet<String>,
    ) {
        let mut violations = Vec::new();
        for (request, arrivals) in &self.arrivals {
            let Some((_, outcome)) = self.requests.get(request) else {
                violations.push(format!(
                    "{request}: reached a replica, but no caller sent it"
                ));
                continue;
            };
            let executed = arrivals.iter().filter(|arrival| arrival.ran);
            let mut replicas = BTreeMap::<&str, BTreeSet<&str>>::new();
            for arrival in executed.clone() {
                let of_service = replicas.entry(&arrival.service).or_default();
                of_service.insert(&arrival.replica);
            }
            let runs = executed
                .filter(|arrival| arrival.service == at_most_once)
                .count();
            if runs > 1 {
                violations.push(format!(
                    "{request}: ran {runs} times instead of at most once"
                ));
            }
            if *outcome == Some(Outcome::NotRun) && !replicas.is_empty() {
                violations.push(format!("{request}: was reported as not run, but ran"));
            }
            for (service, replicas) in replicas {
                let count = replicas
                    .iter()
                    .filter(|name| !faulty_replicas.contains(**name));
                let count = count.count();
                if count > ATTEMPTS_MAX as usize {
                    violations.push(format!(
                        "{request}: ran on {count} replicas of {service}, \
                         at most {ATTEMPTS_MAX} are allowed"
                    ));
                }
            }
        }
        self.violations.extend(violations);
    }

    /// Checks the number of extra requests to each service against the limit for all entry
    /// hosts together, in each window that starts at an arrival. All arrivals of a request id
    /// at a service but the first are extra.
    pub(crate) fn check_extra_requests(&mut self) {
        let mut events = BTreeMap::<&str, Vec<(Instant, bool)>>::new();
        for arrivals in self.arrivals.values() {
            let mut first = BTreeSet::new();
            for arrival in arrivals {
                let extra = !first.insert(&arrival.service);
                let of_service = events.entry(&arrival.service).or_default();
                of_service.push((arrival.at, extra));
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
                    violations.push(format!(
                        "{service}: {extra} extra requests for {first} first ones, \
                         at most {allowed} are allowed"
                    ));
                    break;
                }
            }
        }
        self.violations.extend(violations);
    }

    /// Checks that callers at hosts which were cut off were served at least two thirds as often as
    /// those at the others, from [`CONTACT`] after the cut on.
    pub(crate) fn check_cuts(&mut self) {
        let mut violations = Vec::new();
        for cut in &self.cuts {
            let (from, until) = (cut.from + CONTACT, cut.until.unwrap_or_else(Instant::now));
            let mut counts = [(0_usize, 0_usize); 2];
            for (request, entry) in &self.entries {
                let Some((sent, outcome)) = self.requests.get(request) else {
                    continue;
                };
                if *sent < from || *sent >= until {
                    continue;
                }
                let (served, all) = &mut counts[usize::from(cut.entries.contains(entry))];
                *all += 1;
                *served += usize::from(*outcome == Some(Outcome::Served));
            }
            let [(served, all), (cut_served, cut_all)] = counts;
            let failed = cut_all - cut_served;
            let worse = 3 * cut_served * all < 2 * served * cut_all;
            if worse && failed > CUT_FAILURES_MAX + (all + cut_all) / 50 {
                violations.push(format!(
                    "hosts that were cut off served {cut_served} of {cut_all} requests, the others \
                     {served} of {all}"
                ));
            }
        }
        self.violations.extend(violations);
    }

    /// Whether the voters may have lacked a majority while a version was to come into force before this
    /// time, or so short before that contact was not regained.
    fn lacked_majority(&self, sent: Instant) -> bool {
        let mut losses = self.majority_losses.iter();
        losses.any(|(from, until)| *from <= sent && sent <= *until + CONTACT + APPLY_MAX)
    }

    /// Checks that no undisturbed host served a request under an older version than one that was
    /// confirmed [`APPLY_MAX`] before, unless the voters lacked a majority about that time.
    pub(crate) fn check_versions(&mut self) {
        let mut violations = Vec::new();
        for (request, entry) in &self.entries {
            let (Some((sent, _)), Some(arrivals)) =
                (self.requests.get(request), self.arrivals.get(request))
            else {
                continue;
            };
            if self.lacked_majority(*sent) {
                continue;
            }
            for Arrival { at, service, .. } in arrivals {
                if let Some((due, older)) = self.versions.older_than_due(*sent, *at, service) {
                    violations.push(format!(
                        "{request}: ran at {service} under version {older} or older through \
                         entry-{entry}, while {due} was due"
                    ));
                }
            }
        }
        self.violations.extend(violations);
    }

    /// Checks that no replica got more than its limit allows, from [`CONTACT`] after it
    /// first named it.
    pub(crate) fn check_limits(&mut self) {
        let mut violations = Vec::new();
        for limited in &self.limited {
            let Some(named_at) = limited.named_at else {
                continue;
            };
            let from = named_at + CONTACT;
            let until = limited.until.unwrap_or_else(Instant::now);
            let of_replica = self.arrivals.values().flatten();
            let of_replica = of_replica.filter(|arrival| arrival.replica == limited.replica);
            let times = of_replica.map(|arrival| arrival.at);
            let mut times = times
                .filter(|at| *at >= from && *at <= until)
                .collect::<Vec<_>>();
            times.sort_unstable();
            let in_window = |at: &Instant| {
                let end = times.partition_point(|other| *other < *at + LIMIT_WINDOW);
                end - times.partition_point(|other| other < at)
            };
            let most = times.iter().map(in_window).max().unwrap_or_default();
            let allowed = LIMIT_RATIO * limited.limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
            if most as f64 > allowed {
                violations.push(format!(
                    "{}: {most} requests in {LIMIT_WINDOW:?} under a limit of {} a second, at most \
                     {allowed} are allowed",
                    limited.replica, limited.limit
                ));
            }
        }
        self.violations.extend(violations);
    }

    /// Checks that no request reached a replica more than [`DRAIN_LAG_MAX`] after the replica was
    /// listed as draining, unless updates of the list may have been late in that time.
    pub(crate) fn check_drained(&mut self, delay_windows: &[(Instant, Instant)]) {
        let mut violations = Vec::new();
        for arrival in self.arrivals.values().flatten() {
            let Some((start, end)) = self.drains.get(&arrival.replica) else {
                continue;
            };
            let draining = arrival.at > *start && end.is_none_or(|end| arrival.at < end);
            if !draining || arrival.at.duration_since(*start) <= DRAIN_LAG_MAX {
                continue;
            }
            let overlaps = |(from, to): &(Instant, Instant)| *from <= arrival.at && *to >= *start;
            if !delay_windows.iter().any(overlaps) {
                let after = arrival.at.duration_since(*start).as_millis();
                violations.push(format!(
                    "{}: a request arrived {after} ms after the replica was listed as draining",
                    arrival.replica
                ));
            }
        }
        self.violations.extend(violations);
    }
}
