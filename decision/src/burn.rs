//! Burn rate of the error budget for each service and caller.
//!
//! Each daemon records its answers in a `Ledger`. The operators' client fetches the
//! ledgers of all daemons, merges them and reports a `Burn` for each subject.
//!
//! Source of the windows: "The Site Reliability Workbook", chapter 5, 2018.

use std::collections::BTreeMap;

use derive_more::Add;
use derive_more::AddAssign;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::manifest::Objective;
use crate::name::Name;
use crate::query::Reply;

/// Minutes for which answers are counted minute by minute: 6 hours.
const MINUTES_RETAINED: u64 = 6 * 60;

/// Hours for which answers are counted hour by hour: 30 days, the period of the error
/// budget.
const HOURS_RETAINED: u64 = 30 * 24;

const MINUTES_PER_HOUR: u64 = 60;

/// Exclusive upper edges of the latency buckets, in milliseconds; one more bucket follows
/// for all greater latencies.
pub const LATENCY_EDGES_MS: [u64; 12] = [2, 5, 10, 20, 35, 50, 73, 100, 200, 500, 1_000, 5_000];

/// Windows over which the burn rate is reported: name and length in minutes.
pub const WINDOWS: [(&str, u64); 4] = [("5m", 5), ("1h", 60), ("6h", 360), ("3d", 4_320)];

/// Number of answers in one minute, hour or window, in total and by the way in which they
/// miss the objective.
#[derive(Add, AddAssign, Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// All answers, good or bad.
    pub total: u64,
    /// Requests refused without a result.
    pub refused: u64,
    /// Answers with less coverage than the objective asks for.
    pub partial: u64,
    /// Other answers that took longer than the objective's latency.
    pub late: u64,
}

impl Tally {
    /// Number of answers that miss the objective.
    pub fn bad(&self) -> u64 {
        self.refused + self.partial + self.late
    }

    /// Share of answers that miss the objective, from 0 to 1; 0 without answers.
    pub fn bad_ratio(&self) -> f64 {
        self.bad() as f64 / self.total.max(1) as f64
    }
}

/// The service and caller whose answers a series counts.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Subject {
    /// Service that was asked.
    pub service: Name,
    /// Caller that asked.
    pub caller: Name,
}

/// Answers to one subject by minute and by hour since the Unix epoch, with a histogram of
/// all their latencies.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Series {
    minutes: BTreeMap<u64, Tally>,
    hours: BTreeMap<u64, Tally>,
    latencies: [u64; LATENCY_EDGES_MS.len() + 1],
}

impl Series {
    fn add(&mut self, minute: u64, tally: Tally, latency: Span) {
        *self.minutes.entry(minute).or_default() += tally;
        *self.hours.entry(minute / MINUTES_PER_HOUR).or_default() += tally;
        let bucket = LATENCY_EDGES_MS
            .iter()
            .position(|edge| latency.as_ms() < *edge);
        self.latencies[bucket.unwrap_or(LATENCY_EDGES_MS.len())] += 1;
        self.drop_expired(minute);
    }

    fn drop_expired(&mut self, minute: u64) {
        self.minutes = self
            .minutes
            .split_off(&minute.saturating_sub(MINUTES_RETAINED));
        self.hours = self
            .hours
            .split_off(&(minute / MINUTES_PER_HOUR).saturating_sub(HOURS_RETAINED));
    }

    /// Adds the answers that another daemon gave to the same subject.
    pub fn merge(&mut self, other: &Series) {
        for (minute, tally) in &other.minutes {
            *self.minutes.entry(*minute).or_default() += *tally;
        }
        for (hour, tally) in &other.hours {
            *self.hours.entry(*hour).or_default() += *tally;
        }
        let pairs = self.latencies.iter_mut().zip(&other.latencies);
        pairs.for_each(|(ours, theirs)| *ours += theirs);
    }

    /// Sums the answers of the last `minutes`, including minute `now`. Windows of more
    /// than 6 hours are summed from whole hours.
    pub fn window(&self, now: u64, minutes: u64) -> Tally {
        let sum = |tallies: &BTreeMap<u64, Tally>, first: u64| {
            tallies
                .range(first..)
                .map(|(_, t)| *t)
                .fold(Tally::default(), |sum, t| sum + t)
        };
        if minutes <= MINUTES_RETAINED {
            return sum(&self.minutes, (now + 1).saturating_sub(minutes));
        }
        let hours = minutes / MINUTES_PER_HOUR;
        sum(
            &self.hours,
            (now / MINUTES_PER_HOUR + 1).saturating_sub(hours),
        )
    }

    /// Sums the answers of the error budget's period.
    pub fn period(&self, now: u64) -> Tally {
        self.window(now, HOURS_RETAINED * MINUTES_PER_HOUR)
    }

    /// Upper edge of the latency bucket that holds `quantile`, in milliseconds. `None`
    /// without answers or if the quantile lies above the last edge.
    pub fn latency_quantile_ms(&self, quantile: f64) -> Option<u64> {
        let total = self.latencies.iter().sum::<u64>();
        let rank = (total as f64 * quantile).ceil() as u64;
        let mut cumulative = 0;
        let bucket = self.latencies.iter().position(|count| {
            cumulative += count;
            cumulative >= rank.max(1)
        });
        bucket.and_then(|bucket| LATENCY_EDGES_MS.get(bucket).copied())
    }
}

/// The series of all subjects at one daemon, or merged from several daemons.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    /// Serialized as a list of pairs, since JSON allows only strings as keys.
    #[serde(with = "serde_with::As::<Vec<(serde_with::Same, serde_with::Same)>>")]
    pub series: BTreeMap<Subject, Series>,
}

impl Ledger {
    /// Counts one answer in the given minute since the Unix epoch.
    pub fn record(
        &mut self,
        minute: u64,
        subject: Subject,
        objective: &Objective,
        latency: Span,
        reply: &Reply,
    ) {
        let tally = classify(objective, latency, reply);
        self.series
            .entry(subject)
            .or_default()
            .add(minute, tally, latency);
    }

    /// Adds the series of another daemon's ledger.
    pub fn merge(&mut self, other: &Ledger) {
        for (subject, series) in &other.series {
            self.series
                .entry(subject.clone())
                .or_default()
                .merge(series);
        }
    }
}

fn classify(objective: &Objective, latency: Span, reply: &Reply) -> Tally {
    let mut tally = Tally {
        total: 1,
        ..Tally::default()
    };
    match reply {
        Reply::Refusal { .. } => tally.refused = 1,
        Reply::Answers(answers) if answers.ratio() < objective.coverage => tally.partial = 1,
        Reply::Answers(_) | Reply::Job { .. } if latency > objective.latency => tally.late = 1,
        Reply::Answers(_) | Reply::Job { .. } => {}
    }
    tally
}

/// Error budget and burn rates of one subject.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Burn {
    /// Service and caller.
    pub subject: Subject,
    /// Share of answers that must meet the objective, above 0 and below 1.
    pub target: f64,
    /// Name and burn rate of each window; a rate of 1 spends the budget in exactly its
    /// period.
    pub rates: Vec<(String, f64)>,
    /// Share of the period's error budget that is left, at most 1; negative if overspent.
    pub budget_left: f64,
    /// Hours until the budget is spent at the rate of the last hour; `None` if every
    /// answer of that hour met the objective.
    pub exhausted_in_hours: Option<f64>,
    /// Answers of the error budget's period.
    pub period: Tally,
    /// Upper edge of the latency bucket that holds the 99th percentile, in milliseconds;
    /// `None` without answers or above the last edge.
    pub p99_ms: Option<u64>,
}

impl Burn {
    /// Computes the burn of `series` at minute `now` since the Unix epoch.
    pub fn of(subject: &Subject, series: &Series, target: f64, now: u64) -> Burn {
        let allowed = 1.0 - target;
        let rate = |minutes| series.window(now, minutes).bad_ratio() / allowed;
        let period = series.period(now);
        let budget_left = 1.0 - period.bad_ratio() / allowed;
        let last_hour_rate = rate(MINUTES_PER_HOUR);
        let hours = budget_left.max(0.0) * HOURS_RETAINED as f64 / last_hour_rate;
        Burn {
            subject: subject.clone(),
            target,
            rates: WINDOWS
                .iter()
                .map(|(name, m)| ((*name).to_owned(), rate(*m)))
                .collect(),
            budget_left,
            exhausted_in_hours: (last_hour_rate > 0.0).then_some(hours),
            period,
            p99_ms: series.latency_quantile_ms(0.99),
        }
    }
}
