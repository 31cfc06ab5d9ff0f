//! Estimator with moving averages of latency and failures. Each sample has a fixed weight,
//! whatever the time since the one before.

use crate::clock::Span;
use crate::clock::Time;
use crate::load::capacity::Sample;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Time in which the slowdown falls halfway back to 1 and the failure rate to half.
const HALF_LIFE: Span = Span::from_ms(2_500);

/// Range to which a slowdown sample is clamped.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 20.0);

/// Moving averages of one replica.
#[derive(Clone, Copy, Debug)]
pub struct Average {
    /// Latency relative to the expected median.
    slowdown: f64,
    /// Share of failures, from 0 to 1.
    failure_rate: f64,
    updated: Time,
}

impl Average {
    /// Averages without samples.
    pub fn new(now: Time) -> Average {
        Average {
            slowdown: 1.0,
            failure_rate: 0.0,
            updated: now,
        }
    }

    /// Adds a sample.
    pub fn record(&mut self, now: Time, sample: Sample) {
        self.slowdown = self.slowdown(now);
        self.failure_rate = self.failure_rate(now);
        self.updated = now;
        if let Some(ratio) = sample.ratio {
            let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
            self.slowdown += (ratio - self.slowdown) * SAMPLE_WEIGHT;
        }
        let failure = f64::from(u8::from(sample.failed));
        self.failure_rate += (failure - self.failure_rate) * SAMPLE_WEIGHT;
    }

    /// Average latency relative to the expected median.
    pub fn slowdown(&self, now: Time) -> f64 {
        1.0 + (self.slowdown - 1.0) * self.decay(now)
    }

    /// Average share of failures.
    pub fn failure_rate(&self, now: Time) -> f64 {
        self.failure_rate * self.decay(now)
    }

    fn decay(&self, now: Time) -> f64 {
        let age = now.since(self.updated).as_us() as f64;
        0.5_f64.powf(age / HALF_LIFE.as_us() as f64)
    }
}
