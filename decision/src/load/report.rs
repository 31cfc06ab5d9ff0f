//! Evidence on replicas that differ from the norm, as entry hosts tell it to the voters and the
//! voters tell it to all hosts.
//!
//! A report replaces the one before of the same host, so that lost, repeated and delayed reports
//! change no sum for longer than the age limit.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::fleet::Instance;
use crate::load::capacity::MERGED_AGE_MAX;
use crate::load::capacity::differs;
use crate::load::evidence::Evidence;

/// Most replicas in a report.
pub const RECORDS_MAX: usize = 64;

/// Answers at the norm that are assumed in addition to those that hosts report. They keep small
/// sums from counting.
const PRIOR: f64 = 3.0;

/// Slowdown by the sums from which a replica differs from the norm.
const SLOWDOWN: f64 = 1.4;

/// Time in which all hosts report a replica after the first report of it. It covers two
/// heartbeats.
const CONFIRM_AFTER: Span = Span::from_ms(900);

/// Time in which reported evidence loses half its weight.
const HALF_LIFE: Span = Span::from_ms(1_500);

/// Parts of one in which weights and logarithms are sent.
const PARTS: f64 = 1_000.0;

/// Evidence on one replica, in thousandths.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The run of the replica.
    pub instance: Instance,
    /// Weight of the calls.
    pub calls: u32,
    /// Weight of the failed ones among them.
    pub failures: u32,
    /// Weight of the calls with a latency.
    pub answers: u32,
    /// Sum of the logarithms of their relative latencies.
    pub logs: i32,
    /// Time since the weights were aged.
    pub age: Span,
    /// Whether all hosts had time to report the replica, so that the sum is not that of hosts
    /// with slow answers alone.
    pub confirmed: bool,
}

impl Record {
    /// Evidence aged until now.
    pub fn new(instance: Instance, evidence: &Evidence) -> Record {
        Record {
            instance,
            calls: (evidence.calls * PARTS) as u32,
            failures: (evidence.failures * PARTS) as u32,
            answers: (evidence.answers * PARTS) as u32,
            logs: (evidence.logs * PARTS) as i32,
            age: Span::ZERO,
            confirmed: false,
        }
    }

    /// The evidence, aged by the record's age and this time.
    pub fn evidence(&self, since: Span) -> Evidence {
        let evidence = Evidence {
            calls: f64::from(self.calls) / PARTS,
            failures: f64::from(self.failures) / PARTS,
            answers: f64::from(self.answers) / PARTS,
            logs: f64::from(self.logs) / PARTS,
        };
        evidence.aged(self.age + since, HALF_LIFE)
    }
}

/// What a process tells another of replicas that differ from the norm; empty while none does.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// At most [`RECORDS_MAX`] replicas.
    pub records: Vec<Record>,
}

impl Report {
    /// A report of those records that weigh most.
    pub fn new(mut records: Vec<Record>) -> Report {
        records.sort_by(|a, b| b.calls.cmp(&a.calls).then(a.instance.cmp(&b.instance)));
        records.truncate(RECORDS_MAX);
        Report { records }
    }
}

/// Reports that a voter collects, by the host that measured.
#[derive(Clone, Debug, Default)]
pub struct Board {
    reports: BTreeMap<SocketAddr, (Time, Report)>,
    /// When each replica began to differ by the sums.
    since: BTreeMap<Instance, Time>,
}

impl Board {
    /// Replaces the report of the host at `from`.
    pub fn merge(&mut self, now: Time, from: SocketAddr, report: Report) {
        match report.records.is_empty() {
            true => drop(self.reports.remove(&from)),
            false => drop(self.reports.insert(from, (now, report))),
        }
    }

    /// Drops old reports.
    pub fn retain(&mut self, now: Time) {
        self.reports
            .retain(|_, (at, _)| now.since(*at) < MERGED_AGE_MAX);
    }

    /// Sums over all hosts, of the replicas that differ by them.
    pub fn summary(&mut self, now: Time) -> Report {
        let mut sums = BTreeMap::<&Instance, Evidence>::new();
        for (at, report) in self.reports.values() {
            let since = now.since(*at);
            let recent = |record: &&Record| record.age + since < MERGED_AGE_MAX;
            for record in report.records.iter().filter(recent) {
                let sum = sums.entry(&record.instance).or_default();
                sum.add(&record.evidence(since));
            }
        }
        sums.retain(|_, sum| differs(sum, PRIOR, SLOWDOWN));
        self.since.retain(|instance, _| sums.contains_key(instance));
        let records = sums.into_iter().map(|(instance, sum)| {
            let since = *self.since.entry(instance.clone()).or_insert(now);
            Record {
                confirmed: now.since(since) >= CONFIRM_AFTER,
                ..Record::new(instance.clone(), &sum)
            }
        });
        Report::new(records.collect())
    }
}
