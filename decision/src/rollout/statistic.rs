//! Comparison of a new version with the old one.
//!
//! Failures: a likelihood ratio of several raised failure shares against that of the old version
//! and its error. It may be evaluated again and again. Latencies: the difference of the mean
//! logarithms in units of its standard error, above a tolerated factor. Both are evaluated by route
//! and over all routes.

use crate::name::Name;
use crate::rollout::evidence::Count;
use crate::rollout::evidence::Pair;
use crate::rollout::evidence::Sums;
use crate::rollout::evidence::total;

/// Logarithm of the likelihood ratio from which failures are proven.
const FAILURE_LOG_RATIO: f64 = 12.0;

/// Raised failure shares that are tested.
const FAILURE_SHARES: [f64; 6] = [0.05, 0.1, 0.2, 0.4, 0.7, 0.95];

/// Smallest difference of failure shares that is tested.
const FAILURE_DIFFERENCE_MIN: f64 = 0.03;

/// Range of the failure share that is assumed of the old version.
const OLD_FAILURE_RANGE: (f64, f64) = (0.005, 0.3);

/// Standard errors by which the old version's failure share may be higher than measured.
const OLD_FAILURE_ERRORS: f64 = 2.0;

/// Parts of the requests, beyond those that the old version fails, that a bad version fails on a
/// route. The smallest one is the least that each route's evidence must exclude.
const BAD_PARTS: [f64; 3] = [0.3, 0.5, 0.8];

/// Range of the old version's failure share in [`doubt`].
const DOUBT_BASE_RANGE: (f64, f64) = (0.005, 0.5);

/// Factor on latencies that is tolerated.
const LATENCY_FACTOR: f64 = 1.4;

/// Standard errors from which higher latencies are proven.
const LATENCY_ERRORS: f64 = 4.5;

/// Smallest standard deviation of a latency's logarithm that is assumed.
const LOG_DEVIATION_MIN: f64 = 0.25;

/// Latencies of each version from which they are compared.
const LATENCIES_MIN: u64 = 5;

/// Result of a comparison: the strongest evidence against the new version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Route with the strongest evidence; absent for all routes together.
    pub route: Option<Name>,
    /// Logarithm of the likelihood ratio of raised failures.
    pub failures: f64,
    /// Difference of the mean logarithms of latencies beyond the tolerated factor, in standard
    /// errors.
    pub latency: f64,
    /// Standard error of that difference.
    pub latency_error: f64,
}

impl Evidence {
    /// Whether the new version is proven to be bad.
    pub fn is_clear(&self) -> bool {
        self.failures >= FAILURE_LOG_RATIO || self.latency >= LATENCY_ERRORS
    }

    /// Strength relative to the limits; 1 or more is clear.
    pub fn strength(&self) -> f64 {
        (self.failures / FAILURE_LOG_RATIO).max(self.latency / LATENCY_ERRORS)
    }
}

/// Compares the new version in `recent` with the old one, in `recent` and in `all`, on each route
/// and over all routes.
pub fn compare(recent: &Sums, all: &Sums) -> Evidence {
    let overall = Evidence {
        failures: failures(total(recent), total(all).old),
        ..Evidence::default()
    };
    let by_route = recent.iter().map(|(route, pair)| {
        let reference = all.get(route).copied().unwrap_or_default().old;
        let (latency, latency_error) = latency(*pair, reference);
        Evidence {
            route: Some(route.clone()),
            failures: failures(*pair, reference),
            latency,
            latency_error,
        }
    });
    let stronger = |a: Evidence, b: Evidence| if b.strength() > a.strength() { b } else { a };
    by_route.fold(overall, stronger)
}

/// Upper estimate of the old version's failure share.
fn old_failure_share(count: Count) -> f64 {
    let n = count.ended as f64 + 1.0;
    let share = (count.failed as f64 + 0.5) / n;
    let error = (share * (1.0 - share) / n).sqrt();
    let (least, most) = OLD_FAILURE_RANGE;
    (share + OLD_FAILURE_ERRORS * error).clamp(least, most)
}

/// Logarithm of the likelihood ratio of raised failures at the new version. The old version's share
/// is the higher one of all time and of the recent time, so that a fault of both is not counted
/// against the new one.
fn failures(recent: Pair, old: Count) -> f64 {
    let mut base = old_failure_share(old);
    if recent.old.ended > 0 && recent.old.failed > 0 {
        base = base.max(recent.old.failed as f64 / recent.old.ended as f64);
    }
    let (failed, ended) = (recent.new.failed as f64, recent.new.ended as f64);
    let log_ratio = |share: f64| {
        failed * (share / base).ln() + (ended - failed) * ((1.0 - share) / (1.0 - base)).ln()
    };
    let shares = FAILURE_SHARES.iter().copied();
    let shares = shares.filter(|share| *share >= base + FAILURE_DIFFERENCE_MIN);
    let largest = shares.map(log_ratio).fold(f64::MIN, f64::max);
    (largest - (FAILURE_SHARES.len() as f64).ln()).max(0.0)
}

/// Logarithm of the likelihood ratio of a bad version to a good one on a route: positive if the
/// failures fit a bad one better, and below zero by about a third for each good answer without
/// failures. Unlike the evidence of [`compare`] it tells a route without evidence from a good one.
pub fn doubt(pair: &Pair) -> f64 {
    let (least, most) = DOUBT_BASE_RANGE;
    let n = pair.old.ended as f64 + 1.0;
    let base = (pair.old.failed as f64 + 0.5) / n;
    let error = (base * (1.0 - base) / n).sqrt();
    let base = (base + error).clamp(least, most);
    let (failed, ended) = (pair.new.failed as f64, pair.new.ended as f64);
    let log_ratio = |part: f64| {
        let share = base + (1.0 - base) * part;
        failed * (share / base).ln() + (ended - failed) * ((1.0 - share) / (1.0 - base)).ln()
    };
    BAD_PARTS
        .map(log_ratio)
        .into_iter()
        .fold(f64::MIN, f64::max)
}

/// Difference of the mean logarithms of latencies beyond [`LATENCY_FACTOR`] in standard errors, and
/// the standard error.
fn latency(recent: Pair, old: Count) -> (f64, f64) {
    if recent.new.timed < LATENCIES_MIN || old.timed < LATENCIES_MIN {
        return (0.0, 0.0);
    }
    let (mut base, old_variance) = old.log_moments();
    if recent.old.timed >= LATENCIES_MIN {
        base = base.max(recent.old.log_moments().0);
    }
    let (mean, variance) = recent.new.log_moments();
    let least = LOG_DEVIATION_MIN * LOG_DEVIATION_MIN;
    let variance = variance.max(old_variance).max(least);
    let n = recent.new.timed as f64;
    let error = (variance / n + variance / old.timed as f64).sqrt();
    let difference = mean - base - LATENCY_FACTOR.ln();
    ((difference / error).max(0.0), error)
}
