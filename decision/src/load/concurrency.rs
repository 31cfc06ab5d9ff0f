//! Estimator that adapts a limit on concurrent calls by additive increase and multiplicative
//! decrease.

use crate::clock::Time;
use crate::load::capacity::Sample;

/// Relative latency from which an answer lowers the limit.
const SLOW_RATIO: f64 = 2.0;

/// Factor on the limit after a slow answer or a failure.
const DECREASE: f64 = 0.7;

/// Increase of the limit after a good answer, as a share of the slots.
const INCREASE: f64 = 0.05;

/// Increase of the limit in each second, as a share of the slots, so that a replica without
/// traffic is used again.
const INCREASE_PER_S: f64 = 0.25;

/// Least limit, as a share of the slots.
const LEAST: f64 = 0.1;

/// Adaptive limit of one replica, as a share of its slots.
#[derive(Clone, Copy, Debug)]
pub struct Concurrency {
    limit: f64,
    updated: Time,
}

impl Concurrency {
    /// A limit equal to the slots.
    pub fn new(now: Time) -> Concurrency {
        Concurrency {
            limit: 1.0,
            updated: now,
        }
    }

    /// Adds a sample.
    pub fn record(&mut self, now: Time, sample: Sample) {
        let slow = sample.ratio.is_some_and(|ratio| ratio >= SLOW_RATIO);
        let limit = self.limit(now);
        self.limit = match slow || sample.failed {
            true => (limit * DECREASE).max(LEAST),
            false => (limit + INCREASE).min(1.0),
        };
        self.updated = now;
    }

    /// The limit, as a share of the slots.
    pub fn limit(&self, now: Time) -> f64 {
        let age = now.since(self.updated).as_us() as f64 / 1e6;
        (self.limit + age * INCREASE_PER_S).min(1.0)
    }
}
