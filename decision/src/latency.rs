//! Recent latencies of one kind of request, as a histogram that forgets.

use crate::clock::Span;

/// Buckets of the histogram.
const BUCKETS: usize = 72;

/// Upper edge of the first bucket.
const FIRST_EDGE_US: f64 = 500.0;

/// Ratio of the upper edges of two neighbouring buckets.
const RATIO: f64 = 1.15;

/// Samples after which all counts are halved.
const HALVE_AFTER: u32 = 1_024;

/// Samples between two evaluations of the quantiles.
const EVALUATE_EVERY: u32 = 16;

/// Recent latencies.
#[derive(Clone, Debug)]
pub struct Latency {
    counts: [u32; BUCKETS],
    total: u32,
    since: u32,
    median: Span,
    high: Span,
    high_quantile: f64,
}

impl Latency {
    /// No samples yet; `first` stands for the median until there are some, and
    /// `high_quantile` is the quantile that [`Latency::high`] gives.
    pub fn new(first: Span, high_quantile: f64) -> Latency {
        Latency {
            counts: [0; BUCKETS],
            total: 0,
            since: 0,
            median: first,
            high: first.saturating_mul(2),
            high_quantile,
        }
    }

    /// The median.
    pub fn median(&self) -> Span {
        self.median
    }

    /// The high quantile.
    pub fn high(&self) -> Span {
        self.high
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Span) {
        let ratio = (sample.as_us() as f64 / FIRST_EDGE_US).max(1.0);
        let bucket = (ratio.ln() / RATIO.ln()).ceil() as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        self.since += 1;
        if self.total >= HALVE_AFTER {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        let young = self.total < EVALUATE_EVERY;
        if self.since >= EVALUATE_EVERY || young && self.total > 3 {
            self.since = 0;
            self.median = self.quantile(0.5);
            self.high = self.quantile(self.high_quantile);
        }
    }

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
