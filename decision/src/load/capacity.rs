//! What one entry host has learned of how much load a replica takes without degrading.
//!
//! Load pattern: replicas that become slow, cold, noisy or partly failing, and recover, below
//! their declared slots. The answers of a replica are compared with what the same route takes at
//! other replicas. Weak evidence is drawn towards the norm, and evidence ages. A replica that gets
//! no requests therefore returns to the norm and is measured again, at each host after a different
//! time.

use crate::clock::Span;
use crate::clock::Time;
use crate::load::average::Average;
use crate::load::concurrency::Concurrency;
use crate::load::evidence::Dated;
use crate::load::evidence::Evidence;

/// Weight of the failure rate in the cost of a replica.
const FAILURE_WEIGHT: f64 = 10.0;

/// Mean time in which evidence loses half its weight.
const HALF_LIFE: Span = Span::from_ms(2_500);

/// Share of the mean half-life by which that of a host may be shorter or longer.
const HALF_LIFE_SPREAD: f64 = 0.4;

/// Answers at the norm that are assumed in addition to a host's own measurements.
const PRIOR: f64 = 0.5;

/// Calls without failure that are assumed in addition to a host's own measurements.
const FAILURE_PRIOR: f64 = 1.5;

/// Slowdown up to which a replica counts as normal.
const NORMAL_SLOWDOWN: f64 = 1.15;

/// Slowdown from which a host reports a replica.
const REPORTED_SLOWDOWN: f64 = 1.25;

/// Share of failures from which a replica counts as differing from the norm.
const NORMAL_FAILURE_RATE: f64 = 0.2;

/// Age from which the evidence of all hosts is ignored.
pub const MERGED_AGE_MAX: Span = Span::from_secs(5);

/// Time for which a host uses the evidence of all hosts after it was told of it. The rest of
/// [`MERGED_AGE_MAX`] covers the time that evidence may spend at two voters.
pub const TOLD_AGE_MAX: Span = Span::from_ms(2_900);

/// Exponent of the slowdown in the chance that a replica is treated as normal.
const PROBE_EXPONENT: f64 = 2.5;

/// Least chance that a replica is treated as normal.
const PROBE_CHANCE_MIN: f64 = 0.03;

/// How a replica's capacity is estimated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Estimator {
    /// Moving averages with a fixed weight of each sample.
    #[default]
    Average,
    /// Mean of the logarithms of relative latencies, weighted by age, with the evidence of other
    /// hosts (docs/design/capacity.md).
    Gradient,
    /// Adaptive limit on concurrent calls.
    Concurrency,
}

/// What the end of a call tells of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Latency relative to the norm of the route; absent if the call tells nothing of it.
    pub ratio: Option<f64>,
    /// Whether the replica failed or shed the call.
    pub failed: bool,
}

impl Sample {
    /// A call that was answered in this time, where `norm` is usual.
    pub fn answered(took: Span, norm: Span) -> Sample {
        let ratio = took.as_us() as f64 / norm.as_us().max(1) as f64;
        Sample {
            ratio: Some(ratio),
            failed: false,
        }
    }

    /// A call that failed. Its latency is not that of an answer.
    pub fn failed() -> Sample {
        Sample {
            ratio: None,
            failed: true,
        }
    }
}

/// A host's own evidence, and that of all hosts.
#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    own: Dated,
    /// Absent if no host reports that the replica differs from the norm.
    merged: Option<Dated>,
    /// When the voters last asked for this host's evidence.
    asked_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Average(Average),
    Gradient(Measured),
    Concurrency(Concurrency),
}

/// Learned capacity of one replica.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    state: State,
    /// Time in which evidence loses half its weight at this host.
    half_life: Span,
}

impl Capacity {
    /// A capacity without measurements. `seed` differs by host and replica, so that hosts return
    /// to a replica at different times.
    pub fn new(now: Time, estimator: Estimator, seed: u64) -> Capacity {
        let state = match estimator {
            Estimator::Average => State::Average(Average::new(now)),
            Estimator::Gradient => State::Gradient(Measured::default()),
            Estimator::Concurrency => State::Concurrency(Concurrency::new(now)),
        };
        let uniform = (seed % 1_024) as f64 / 1_023.0;
        let factor = 1.0 + HALF_LIFE_SPREAD * (2.0 * uniform - 1.0);
        Capacity {
            state,
            half_life: Span::from_us((HALF_LIFE.as_us() as f64 * factor) as u64),
        }
    }

    /// Forgets all measurements.
    pub fn forget(&mut self, now: Time) {
        self.state = match self.state {
            State::Average(_) => State::Average(Average::new(now)),
            State::Gradient(_) => State::Gradient(Measured::default()),
            State::Concurrency(_) => State::Concurrency(Concurrency::new(now)),
        };
    }

    /// Adds a measurement.
    pub fn record(&mut self, now: Time, sample: Sample) {
        match &mut self.state {
            State::Average(average) => average.record(now, sample),
            State::Gradient(known) => known.own.record(now, sample, self.half_life),
            State::Concurrency(concurrency) => concurrency.record(now, sample),
        }
    }

    /// This host's own measurements; empty for estimators that keep none.
    pub fn evidence(&self, now: Time) -> Evidence {
        match &self.state {
            State::Gradient(known) => known.own.now(now, self.half_life),
            State::Average(_) | State::Concurrency(_) => Evidence::default(),
        }
    }

    /// Sets the evidence of all hosts; absent if the replica doesn't differ by it. It counts only
    /// if it is confirmed.
    pub fn set_merged(&mut self, now: Time, evidence: Option<Evidence>, confirmed: bool) {
        if let State::Gradient(known) = &mut self.state {
            known.asked_at = evidence.map(|_| now);
            let counted = evidence.filter(|_| confirmed);
            known.merged = counted.map(|evidence| Dated::new(now, evidence));
        }
    }

    /// Whether other hosts are told of this replica.
    pub fn is_reported(&self, now: Time) -> bool {
        let State::Gradient(known) = &self.state else {
            return false;
        };
        let asked = known.asked_at;
        let asked = asked.is_some_and(|at| now.since(at) < TOLD_AGE_MAX);
        let own = known.own.now(now, self.half_life);
        asked || differs(&own, PRIOR, REPORTED_SLOWDOWN)
    }

    /// Factor on the cost of a replica because of what is known of it.
    fn factor(&self, now: Time, known: &Measured) -> f64 {
        let own = known.own.now(now, self.half_life);
        let merged = known.merged.as_ref();
        let merged = merged.filter(|merged| merged.age(now) < TOLD_AGE_MAX);
        let merged = merged.map(|merged| merged.now(now, self.half_life));
        let best = merged.filter(|merged| merged.calls > own.calls);
        let evidence = best.unwrap_or(own);
        let failure_rate = evidence.failure_rate(FAILURE_PRIOR);
        let slowdown = beyond(evidence.slowdown(PRIOR), NORMAL_SLOWDOWN);
        slowdown * (1.0 + FAILURE_WEIGHT * failure_rate)
    }

    /// Cost of one more call in addition to `waiting`, the open calls for each slot, relative to
    /// an idle replica at the norm. `draw` is a random number from 0 to 1: a replica that differs
    /// from the norm is treated as normal with a chance that falls with its slowdown, so that it
    /// continues to be measured and hosts don't return to it together.
    pub fn cost(&self, now: Time, waiting: f64, draw: f64) -> f64 {
        match &self.state {
            State::Average(average) => {
                let failures = 1.0 + FAILURE_WEIGHT * average.failure_rate(now);
                average.slowdown(now) * (1.0 + waiting) * failures
            }
            State::Gradient(known) => {
                let factor = self.factor(now, known);
                let chance = factor.powf(-PROBE_EXPONENT).max(PROBE_CHANCE_MIN);
                let probed = factor > 1.0 && draw < chance;
                let factor = if probed { 1.0 } else { factor };
                factor * (1.0 + waiting)
            }
            State::Concurrency(concurrency) => {
                let limit = concurrency.limit(now);
                (1.0 + waiting / limit) / limit
            }
        }
    }
}

/// Whether a replica with this evidence differs from the norm by at least a factor of `least` in
/// latency, or by its failures.
pub(crate) fn differs(evidence: &Evidence, prior: f64, least: f64) -> bool {
    beyond(evidence.slowdown(prior), least) != 1.0
        || evidence.failure_rate(prior) >= NORMAL_FAILURE_RATE
}

/// The slowdown, or 1 if it is in the normal range. Without the range, noise would let hosts prefer
/// one of several equal replicas.
fn beyond(slowdown: f64, least: f64) -> f64 {
    let normal = least.recip()..=least;
    match normal.contains(&slowdown) {
        true => 1.0,
        false => slowdown,
    }
}
