//! Hedging policy for the sub-requests of one service: the delay comes from a latency
//! quantile, and a token budget limits the extra load.
//!
//! Source of the idea: Dean and Barroso, "The Tail at Scale", 2013.

use crate::clock::Span;
use crate::clock::Time;
use crate::manifest::Hedge;

/// Histogram buckets per doubling of latency.
const BUCKETS_PER_OCTAVE: u64 = 8;

/// Doublings covered by the histogram, from 64 microseconds to about 67 seconds.
const OCTAVES: u64 = 20;

/// Lower edge of the first bucket, in microseconds.
const FLOOR_US: u64 = 64;

/// Number of samples after which all counts are halved.
const DECAY_AFTER: u64 = 4_096;

/// Number of samples needed before a quantile is given.
const SAMPLES_MIN: u64 = 64;

/// Most tokens kept; one token pays for one extra sub-request.
const TOKENS_MAX: f64 = 32.0;

/// Tokens of a service at start.
const TOKENS_INITIAL: f64 = 4.0;

/// Hedge delay until there are enough samples for a quantile.
const DELAY_INITIAL: Span = Span::from_ms(20);

/// Shortest hedge delay.
const DELAY_MIN: Span = Span::from_ms(2);

/// Lateness of a timer from which the process was held up: the answer, or the end of the connection,
/// may be waiting unread.
const LATENESS_MAX: Span = Span::from_ms(3);

/// Time for which a hedge is then put off.
const PUT_OFF: Span = Span::from_ms(3);

/// When a hedge that was due at `due` is to be tried again, if its timer is handled too late;
/// absent if it may be sent now.
pub fn put_off(now: Time, due: Time) -> Option<Time> {
    (now.since(due) > LATENESS_MAX).then(|| now.after(PUT_OFF))
}

/// A decaying histogram of latencies in geometric buckets.
#[derive(Clone, Debug)]
pub struct Latency {
    counts: Vec<u64>,
    total: u64,
    since_decay: u64,
}

impl Default for Latency {
    fn default() -> Latency {
        Latency {
            counts: vec![0; (BUCKETS_PER_OCTAVE * OCTAVES) as usize],
            total: 0,
            since_decay: 0,
        }
    }
}

impl Latency {
    /// Adds a sample.
    pub fn record(&mut self, span: Span) {
        self.counts[bucket(span)] += 1;
        self.total += 1;
        self.since_decay += 1;
        if self.since_decay >= DECAY_AFTER {
            self.decay();
        }
    }

    /// Halves all counts, so that older samples weigh less.
    fn decay(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().sum();
        self.since_decay = 0;
    }

    /// Upper edge of the bucket that contains `quantile`, from 0 to 1; `None` while there
    /// are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Span> {
        if self.total < SAMPLES_MIN {
            return None;
        }
        let rank = (self.total as f64 * quantile).ceil() as u64;
        let mut below = 0;
        let index = self.counts.iter().position(|count| {
            below += count;
            below >= rank
        });
        index.map(|index| upper_edge(index as u64))
    }
}

fn bucket(span: Span) -> usize {
    let ratio = span.as_us().max(FLOOR_US) as f64 / FLOOR_US as f64;
    let index = (ratio.log2() * BUCKETS_PER_OCTAVE as f64) as u64;
    index.min(BUCKETS_PER_OCTAVE * OCTAVES - 1) as usize
}

fn upper_edge(index: u64) -> Span {
    let octaves = (index + 1) as f64 / BUCKETS_PER_OCTAVE as f64;
    Span::from_us((FLOOR_US as f64 * octaves.exp2()) as u64)
}

/// Token bucket for extra sub-requests, filled by first sub-requests.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    share: f64,
}

impl Budget {
    /// A budget that earns `share` of a token for each first sub-request. With a share of
    /// zero it stays empty.
    pub fn new(share: f64) -> Budget {
        Budget {
            tokens: if share > 0.0 { TOKENS_INITIAL } else { 0.0 },
            share,
        }
    }

    /// Adds the tokens for `n` first sub-requests.
    pub fn earn(&mut self, n: usize) {
        self.tokens = (self.tokens + self.share * n as f64).min(TOKENS_MAX);
    }

    /// Returns the token of an extra sub-request that was not sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(TOKENS_MAX);
    }

    /// Spends one token. Returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// Hedging of sub-requests to one service by one host.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Latencies of sub-requests.
    pub latency: Latency,
    /// Budget of extra sub-requests, shared with retries.
    pub budget: Budget,
    hedge: Hedge,
}

impl Policy {
    /// A policy with the service's configured hedge settings.
    pub fn new(hedge: Hedge) -> Policy {
        Policy {
            latency: Latency::default(),
            budget: Budget::new(hedge.budget),
            hedge,
        }
    }

    /// Applies changed settings. The latencies are kept; the budget starts again.
    pub fn update(&mut self, hedge: Hedge) {
        if self.hedge == hedge {
            return;
        }
        self.hedge = hedge;
        self.budget = Budget::new(hedge.budget);
    }

    /// Delay after which a sub-request is hedged; `None` if hedging is off.
    pub fn delay(&self) -> Option<Span> {
        if self.hedge.budget <= 0.0 {
            return None;
        }
        let learned = self.latency.quantile(self.hedge.quantile);
        Some(learned.unwrap_or(DELAY_INITIAL).max(DELAY_MIN))
    }
}
