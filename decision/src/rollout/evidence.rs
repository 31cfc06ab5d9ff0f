//! Counts of requests to both versions, added up over hosts.
//!
//! Hosts report sums since the rollout began, so that lost and repeated reports do no harm. A
//! restarted host begins anew under another run, and its earlier sums stay known to the voters that
//! heard them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::name::Name;

/// Unit of logarithms of latencies.
const LOG_UNIT: f64 = 1_000.0;

/// Time between two snapshots of the sums.
const SNAPSHOT_EVERY: Span = Span::from_ms(500);

/// Number of snapshots kept.
const SNAPSHOTS_MAX: usize = 40;

/// Most sums in one report.
const TALLIES_MAX: usize = 256;

/// Sums over the requests of one version on one route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered or failed.
    pub ended: u64,
    /// How many of these failed.
    pub failed: u64,
    /// Number of latencies.
    pub timed: u64,
    /// Sum of the latencies' logarithms, in thousandths.
    pub log_sum: u64,
    /// Sum of the squares of the latencies' logarithms, in millionths.
    pub log_squares: u64,
}

impl Count {
    /// Adds the end of a request; the latency is absent if it says nothing of the version.
    pub fn record(&mut self, failed: bool, took: Option<Span>) {
        self.ended += 1;
        self.failed += u64::from(failed);
        if let Some(took) = took.filter(|_| !failed) {
            let log = (took.as_us().max(1) as f64).ln() * LOG_UNIT;
            self.timed += 1;
            self.log_sum += log as u64;
            self.log_squares += (log * log) as u64;
        }
    }

    /// The sum of two counts.
    pub fn plus(self, other: Count) -> Count {
        Count {
            sent: self.sent + other.sent,
            ended: self.ended + other.ended,
            failed: self.failed + other.failed,
            timed: self.timed + other.timed,
            log_sum: self.log_sum + other.log_sum,
            log_squares: self.log_squares + other.log_squares,
        }
    }

    /// What was added since an earlier count.
    pub fn since(self, earlier: Count) -> Count {
        Count {
            sent: self.sent.saturating_sub(earlier.sent),
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            timed: self.timed.saturating_sub(earlier.timed),
            log_sum: self.log_sum.saturating_sub(earlier.log_sum),
            log_squares: self.log_squares.saturating_sub(earlier.log_squares),
        }
    }

    /// Mean and variance of the latencies' logarithms.
    pub fn log_moments(self) -> (f64, f64) {
        let n = self.timed.max(1) as f64;
        let mean = self.log_sum as f64 / LOG_UNIT / n;
        let squares = self.log_squares as f64 / LOG_UNIT / LOG_UNIT / n;
        (mean, (squares - mean * mean).max(0.0))
    }
}

/// Counts of both versions on one route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pair {
    /// Requests to the old version.
    pub old: Count,
    /// Requests to the new version.
    pub new: Count,
}

/// Counts by route.
pub type Sums = BTreeMap<Name, Pair>;

/// Sum over all routes.
pub fn total(sums: &Sums) -> Pair {
    let add = |sum: Pair, pair: &Pair| Pair {
        old: sum.old.plus(pair.old),
        new: sum.new.plus(pair.new),
    };
    sums.values().fold(Pair::default(), add)
}

/// One sum in a report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Identifies the rollout.
    pub id: u64,
    /// The route.
    pub route: Name,
    /// Whether the requests went to the new version.
    pub is_new: bool,
    /// The sums.
    pub count: Count,
}

/// What a host reports of rollouts; empty without one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Digest of the orders that the host follows; zero if it has none.
    pub digest: u64,
    /// Random number that identifies the run of the host's process.
    pub run: u64,
    /// Sums since the rollouts began.
    pub tallies: Vec<Tally>,
}

/// Reports of several hosts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reports(pub Vec<(SocketAddr, Report)>);

/// Sums of one rollout by host, run, route and version.
type Cells = BTreeMap<(SocketAddr, u64, Name, bool), Count>;

/// What a voter knows of the evidence on all rollouts in progress.
#[derive(Clone, Debug, Default)]
pub struct Board {
    rollouts: BTreeMap<u64, Cells>,
    /// Sums at earlier times, oldest first, by rollout.
    history: BTreeMap<u64, VecDeque<(Time, Sums)>>,
    /// The last report of each host and when it arrived.
    hosts: BTreeMap<SocketAddr, (Report, Time)>,
}

impl Board {
    /// Adopts a host's report, as it or another voter sent it.
    pub fn merge(&mut self, now: Time, host: SocketAddr, report: &Report) {
        if *report == Report::default() {
            return;
        }
        for tally in report.tallies.iter().take(TALLIES_MAX) {
            let cells = self.rollouts.entry(tally.id).or_default();
            let key = (host, report.run, tally.route.clone(), tally.is_new);
            let known = cells.entry(key).or_default();
            if tally.count.sent + tally.count.ended >= known.sent + known.ended {
                *known = tally.count;
            }
        }
        self.hosts.insert(host, (report.clone(), now));
    }

    /// The last report of a host, if it arrived within `age`.
    pub fn report(&self, now: Time, host: SocketAddr, age: Span) -> Option<&Report> {
        let (report, at) = self.hosts.get(&host)?;
        (now.since(*at) < age).then_some(report)
    }

    /// Time since the last report of any host; absent without any.
    pub fn age(&self, now: Time) -> Option<Span> {
        let ages = self.hosts.values().map(|(_, at)| now.since(*at));
        ages.min()
    }

    /// Number of hosts that reported within `age`.
    pub fn host_count(&self, now: Time, age: Span) -> usize {
        let hosts = self.hosts.values();
        hosts.filter(|(_, at)| now.since(*at) < age).count()
    }

    /// Sums of a rollout over all hosts, by route.
    pub fn sums(&self, id: u64) -> Sums {
        let mut sums = Sums::new();
        for ((_, _, route, is_new), count) in self.rollouts.get(&id).into_iter().flatten() {
            let pair = sums.entry(route.clone()).or_default();
            let side = if *is_new {
                &mut pair.new
            } else {
                &mut pair.old
            };
            *side = side.plus(*count);
        }
        sums
    }

    /// Keeps snapshots of the sums of these rollouts and forgets all others.
    pub fn snapshot(&mut self, now: Time, ids: &[u64]) {
        self.rollouts.retain(|id, _| ids.contains(id));
        self.history.retain(|id, _| ids.contains(id));
        for id in ids {
            let sums = self.sums(*id);
            let history = self.history.entry(*id).or_default();
            let last = history.back().map(|(at, _)| *at);
            if last.is_none_or(|at| now.since(at) >= SNAPSHOT_EVERY) {
                history.push_back((now, sums));
            }
            if history.len() > SNAPSHOTS_MAX {
                history.pop_front();
            }
        }
    }

    /// Sums of a rollout within the last `window`, as far back as snapshots go.
    pub fn recent(&self, now: Time, id: u64, window: Span) -> Sums {
        let mut sums = self.sums(id);
        let history = self.history.get(&id);
        let mut earlier = history.into_iter().flatten().rev();
        let Some((_, base)) = earlier.find(|(at, _)| now.since(*at) >= window) else {
            return sums;
        };
        for (route, pair) in &mut sums {
            let base = base.get(route).copied().unwrap_or_default();
            pair.old = pair.old.since(base.old);
            pair.new = pair.new.since(base.new);
        }
        sums
    }
}
