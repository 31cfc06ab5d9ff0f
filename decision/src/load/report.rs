//! Evidence on replicas that differ from the norm, as entry hosts tell it to the voters and the
//! voters tell it to all hosts.
//!
//! A report replaces the one before of the same process, so that lost, repeated and delayed reports
//! change no sum for longer than the age limit. A voter tells the other voters the sums of its own
//! entry hosts only, so that no measurement is counted twice.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use postcard::ser_flavors::Size;
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

/// Largest encoded size of a report, in bytes.
pub const BYTES_MAX: usize = 4_096;

/// Encoded size of the number of records, in bytes.
const COUNT_BYTES: usize = 1;

/// Answers at the norm that are assumed in addition to those that hosts report. They keep small
/// sums from counting.
const PRIOR: f64 = 3.0;

/// Slowdown by the sums from which a replica differs from the norm.
pub const SLOWDOWN: f64 = 1.4;

/// Time in which all hosts report a replica after the first report of it. It covers two
/// heartbeats, and a status of each of two voters in between for most hosts.
const CONFIRM_AFTER: Span = Span::from_ms(1_200);

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

    /// Latency relative to the norm, with the answers at the norm that are assumed in addition.
    pub fn slowdown(&self) -> f64 {
        self.evidence(Span::ZERO).slowdown(PRIOR)
    }
}

/// What a process tells another of replicas that differ from the norm; empty while none does.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// At most [`RECORDS_MAX`] replicas in [`BYTES_MAX`] bytes.
    pub records: Vec<Record>,
}

impl Report {
    /// A report of those records that weigh most.
    pub fn new(mut records: Vec<Record>) -> Report {
        records.sort_by(|a, b| b.calls.cmp(&a.calls).then(a.instance.cmp(&b.instance)));
        Report { records }.bounded()
    }

    /// The first records within the limits on their number and encoded size. Receivers apply it
    /// too, since they can't rely on the sender's build.
    pub fn bounded(mut self) -> Report {
        let mut bytes = COUNT_BYTES;
        self.records.retain(|record| {
            let with = bytes.saturating_add(encoded_bytes(record));
            let fits = with <= BYTES_MAX;
            if fits {
                bytes = with;
            }
            fits
        });
        self.records.truncate(RECORDS_MAX);
        self
    }
}

/// Encoded size of a record, in bytes.
fn encoded_bytes(record: &Record) -> usize {
    postcard::serialize_with_flavor(record, Size::default()).unwrap_or(usize::MAX)
}

/// Last reports by the process that sent them, with the times of receipt.
type Reports = BTreeMap<SocketAddr, (Time, Report)>;

/// Reports that a voter collects.
#[derive(Clone, Debug, Default)]
pub struct Board {
    /// Reports of the entry hosts that send their heartbeats to this voter.
    hosts: Reports,
    /// Sums of the other voters over their own entry hosts.
    voters: Reports,
    /// When each replica began to differ by the sums.
    since: BTreeMap<Instance, Time>,
}

impl Board {
    /// Replaces the report of the host at `from`.
    pub fn merge(&mut self, now: Time, from: SocketAddr, report: Report) {
        replace(&mut self.hosts, now, from, report);
    }

    /// Replaces the sums of the voter at `from`.
    pub fn merge_sums(&mut self, now: Time, from: SocketAddr, report: Report) {
        replace(&mut self.voters, now, from, report);
    }

    /// Drops old reports.
    pub fn retain(&mut self, now: Time) {
        let recent = |at: &Time| now.since(*at) < MERGED_AGE_MAX;
        self.hosts.retain(|_, (at, _)| recent(at));
        self.voters.retain(|_, (at, _)| recent(at));
    }

    /// Drops the reports of hosts and the sums of voters that are not live.
    pub fn retain_live(
        &mut self,
        is_live_host: impl Fn(&SocketAddr) -> bool,
        is_live_voter: impl Fn(&SocketAddr) -> bool,
    ) {
        self.hosts.retain(|host, _| is_live_host(host));
        self.voters.retain(|voter, _| is_live_voter(voter));
    }

    /// Sums over the hosts of this voter, for the other voters. They contain all replicas that a
    /// host reports, since a replica may differ by the sums of all voters only.
    pub fn own_sums(&self, now: Time) -> Report {
        let sums = add_up(now, self.hosts.values());
        let records = sums.into_iter();
        let records = records.map(|(instance, sum)| Record::new(instance.clone(), &sum));
        Report::new(records.collect())
    }

    /// Sums over the hosts of all voters, of the replicas that differ by them.
    pub fn summary(&mut self, now: Time) -> Report {
        let mut sums = add_up(now, self.hosts.values().chain(self.voters.values()));
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

fn replace(reports: &mut Reports, now: Time, from: SocketAddr, report: Report) {
    match report.records.is_empty() {
        true => drop(reports.remove(&from)),
        false => drop(reports.insert(from, (now, report.bounded()))),
    }
}

/// Adds up the recent records of each replica.
fn add_up<'a>(
    now: Time,
    reports: impl Iterator<Item = &'a (Time, Report)>,
) -> BTreeMap<&'a Instance, Evidence> {
    let mut sums = BTreeMap::<&Instance, Evidence>::new();
    for (at, report) in reports {
        let since = now.since(*at);
        let recent = |record: &&Record| record.age + since < MERGED_AGE_MAX;
        for record in report.records.iter().filter(recent) {
            let sum = sums.entry(&record.instance).or_default();
            sum.add(&record.evidence(since));
        }
    }
    sums
}
