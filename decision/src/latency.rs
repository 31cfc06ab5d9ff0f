//! Recent latencies of one route as a decaying histogram. The gateway derives the hedge
//! delay and the expected latency of replicas from it.

use crate::clock::Span;

/// Number of buckets; together they cover up to about 10 seconds.
const BUCKETS: usize = 72;

/// Upper edge of the first bucket, in microseconds.
const FIRST_EDGE_US: f64 = 500.0;

/// Ratio of the upper edges of adjacent buckets.
const RATIO: f64 = 1.15;

/// Number of samples after which all counts are halved.
const HALVE_AFTER: u32 = 1_024;

/// Number of samples between two evaluations of the quantiles.
const EVALUATE_EVERY: u32 = 16;

/// Decaying histogram of latencies with its latest quantiles.
#[derive(Clone, Debug)]
pub struct Latency {
    counts: [u32; BUCKETS],
    total: u32,
    since_evaluation: u32,
    median: Span,
    high: Span,
    high_quantile: f64,
}

impl Latency {
    /// A histogram without samples. `initial` stands for the median until there are some,
    /// twice that for the high quantile; `high_quantile`, from 0 to 1, selects what
    /// [`Latency::high`] returns.
    pub fn new(initial: Span, high_quantile: f64) -> Latency {
        Latency {
            counts: [0; BUCKETS],
            total: 0,
            since_evaluation: 0,
            median: initial,
            high: initial.times(2),
            high_quantile,
        }
    }

    /// Median at the last evaluation.
    pub fn median(&self) -> Span {
        self.median
    }

    /// High quantile at the last evaluation.
    pub fn high(&self) -> Span {
        self.high
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: Span) {
        let ratio = (sample.as_us() as f64 / FIRST_EDGE_US).max(1.0);
        let bucket = (ratio.ln() / RATIO.ln()).ceil() as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        self.since_evaluation += 1;
        if self.total >= HALVE_AFTER {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        let few = self.total < EVALUATE_EVERY;
        if self.since_evaluation >= EVALUATE_EVERY || few && self.total > 3 {
            self.since_evaluation = 0;
            self.median = self.quantile(0.5);
            self.high = self.quantile(self.high_quantile);
        }
    }

    /// Upper edge of the bucket that contains `quantile`.
    fn quantile(&self, quantile: f64) -> Span {
        let rank = (f64::from(self.total) * quantile).ceil() as u32;
        let mut below = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            below += count;
            if below >= rank.max(1) {
                let edge = FIRST_EDGE_US * RATIO.powi(bucket as i32);
                return Span::from_us(edge as u64);
            }
        }
        Span::from_us((FIRST_EDGE_US * RATIO.powi(BUCKETS as i32)) as u64)
    }
}
