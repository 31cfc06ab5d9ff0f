//! Decaying sums over the answers of one replica.

use crate::clock::Span;
use crate::clock::Time;
use crate::load::capacity::Sample;

/// Range to which the latency of an answer relative to the baseline is clamped. A pause of the
/// replica thus weighs no more than a fivefold latency.
const RATIO_RANGE: (f64, f64) = (0.4, 5.0);

/// Answers and failures of one replica, each weighted by its age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Weight of the calls.
    pub calls: f64,
    /// Weight of the failed ones among them.
    pub failures: f64,
    /// Weight of the calls with a latency.
    pub answers: f64,
    /// Sum of the logarithms of their relative latencies.
    pub logs: f64,
}

impl Evidence {
    /// Adds a sample.
    pub fn record(&mut self, sample: Sample) {
        self.calls += 1.0;
        self.failures += f64::from(u8::from(sample.failed));
        if let Some(ratio) = sample.ratio {
            self.answers += 1.0;
            self.logs += ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1).ln();
        }
    }

    /// Adds another host's evidence.
    pub fn add(&mut self, other: &Evidence) {
        self.calls += other.calls;
        self.failures += other.failures;
        self.answers += other.answers;
        self.logs += other.logs;
    }

    /// The evidence after this time.
    pub fn aged(&self, age: Span, half_life: Span) -> Evidence {
        let decay = 0.5_f64.powf(age.as_us() as f64 / half_life.as_us().max(1) as f64);
        Evidence {
            calls: self.calls * decay,
            failures: self.failures * decay,
            answers: self.answers * decay,
            logs: self.logs * decay,
        }
    }

    /// Latency relative to the baseline. `prior` answers at the baseline are assumed in addition.
    pub fn slowdown(&self, prior: f64) -> f64 {
        (self.logs / (self.answers + prior)).exp()
    }

    /// Share of failures. `prior` calls without failure are assumed in addition.
    pub fn failure_rate(&self, prior: f64) -> f64 {
        self.failures / (self.calls + prior)
    }
}

/// Evidence with the time up to which its weights are aged.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dated {
    evidence: Evidence,
    at: Time,
}

impl Dated {
    /// Evidence of this age.
    pub fn new(now: Time, evidence: Evidence) -> Dated {
        Dated { evidence, at: now }
    }

    /// Adds a sample.
    pub fn record(&mut self, now: Time, sample: Sample, half_life: Span) {
        self.evidence = self.now(now, half_life);
        self.at = now;
        self.evidence.record(sample);
    }

    /// Time since the weights were last aged.
    pub fn age(&self, now: Time) -> Span {
        now.since(self.at)
    }

    /// The evidence with its weights aged until now.
    pub fn now(&self, now: Time, half_life: Span) -> Evidence {
        self.evidence.aged(now.since(self.at), half_life)
    }
}
