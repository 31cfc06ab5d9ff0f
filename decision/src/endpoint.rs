//! What one entry host knows of one replica, beyond what the list shows.

use std::collections::VecDeque;
use std::sync::Arc;

use derive_more::Display;

use crate::clock::Span;
use crate::clock::Time;
use crate::fleet::Replica;
use crate::fleet::State;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Time in which half of a deviation from the usual pace is forgotten.
const PACE_HALF_LIFE_US: f64 = 2_500_000.0;

/// Fastest and slowest pace that is believed.
const PACE_RANGE: (f64, f64) = (0.5, 20.0);

/// Pace of a replica that is known to be cold.
const COLD_PACE: f64 = 1.6;

/// Weight of failures in the choice of a replica.
const FAILURE_WEIGHT: f64 = 10.0;

/// Weight in the choice of a replica with an overdue answer.
const OVERDUE_WEIGHT: f64 = 6.0;

/// First wait before a replica that refused a connection is tried again.
const RETRY_FIRST: Span = Span::from_ms(150);

/// Longest wait before a replica is tried again.
const RETRY_MAX: Span = Span::from_ms(1_200);

/// Time for which a replica that denied to be the listed one isn't asked.
const DENIED_WAIT: Span = Span::from_secs(10);

/// Shortest silence on outstanding requests that makes a replica suspect.
const SILENCE_MIN: Span = Span::from_ms(400);

/// Multiple of the usual high latency that makes a silence suspect.
const SILENCE_FACTOR: u64 = 4;

/// Failures in a row after which a replica is only tried now and then.
const FAILURES_MAX: u32 = 4;

/// Span in which requests to a cold replica are counted.
const COLD_WINDOW: Span = Span::from_ms(1_050);

/// Number of a request sent to a replica.
pub type Ticket = u64;

/// How a request to a replica ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Ending {
    /// It was answered with success.
    #[display("answered")]
    Answered,
    /// The replica answered that it did not run the request.
    #[display("shed")]
    Shed,
    /// Another replica has the address now.
    #[display("denied")]
    Denied,
    /// The replica answered with a failure of its own.
    #[display("failed")]
    Failed,
    /// The connection broke after the request may have been sent.
    #[display("broken")]
    Broken,
    /// No connection could be opened; nothing was sent.
    #[display("unreachable")]
    Unreachable,
    /// A kept connection had ended; nothing was sent.
    #[display("stale connection")]
    Stale,
    /// This host gave the request up.
    #[display("withdrawn")]
    Withdrawn,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    ticket: Ticket,
    at: Time,
    overdue_at: Time,
    silent_at: Time,
}

/// What one entry host knows of one replica.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The replica as listed.
    pub replica: Arc<Replica>,
    /// Whether it is still listed.
    pub listed: bool,
    sent: Vec<Sent>,
    pace: f64,
    failure: f64,
    sampled: Time,
    failures: u32,
    backoff: Span,
    retry_at: Time,
    trial: bool,
    cold_until: Time,
    recent: VecDeque<Time>,
}

/// Expected times of a request at a replica.
#[derive(Clone, Copy, Debug)]
pub struct Expected {
    /// Usual latency.
    pub median: Span,
    /// Latency that few requests exceed.
    pub high: Span,
}

impl Endpoint {
    /// A listed replica of which nothing else is known.
    pub fn new(now: Time, replica: Arc<Replica>, listed_at: Time) -> Endpoint {
        let cold_until = listed_at.after(replica.cold_left);
        Endpoint {
            replica,
            listed: true,
            sent: Vec::new(),
            pace: 1.0,
            failure: 0.0,
            sampled: now,
            failures: 0,
            backoff: RETRY_FIRST,
            retry_at: Time::default(),
            trial: false,
            cold_until,
            recent: VecDeque::new(),
        }
    }

    /// Takes a newer listing of the same run.
    pub fn relist(&mut self, replica: Arc<Replica>, listed_at: Time) {
        self.listed = true;
        if replica.cold_left > Span::ZERO {
            let until = listed_at.after(replica.cold_left);
            self.cold_until = self.cold_until.max(until);
        }
        self.replica = replica;
    }

    /// Takes the replica for cold until then.
    pub fn chill(&mut self, until: Time) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Requests sent and not ended.
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// Whether new work may be sent at all: it is listed as ready, and not held
    /// back after failures.
    pub fn is_usable(&self, now: Time) -> bool {
        let ready = self.listed && self.replica.state == State::Ready;
        let held = now < self.retry_at || self.trial && !self.sent.is_empty();
        ready && !held && !self.is_silent(now)
    }

    /// Whether it takes new work but is held back after failures.
    pub fn is_held(&self, now: Time) -> bool {
        let ready = self.listed && self.replica.state == State::Ready;
        ready && !self.is_usable(now)
    }

    /// Whether it owes an answer for too long.
    pub fn is_silent(&self, now: Time) -> bool {
        self.sent.iter().any(|sent| sent.silent_at <= now)
    }

    fn is_overdue(&self, now: Time) -> bool {
        self.sent.iter().any(|sent| sent.overdue_at <= now)
    }

    /// Whether the limit on a cold replica allows one more request now; `share`
    /// is this host's part of it for each second.
    pub fn bears(&mut self, now: Time, share: u32) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        while self
            .recent
            .front()
            .is_some_and(|at| now.since(*at) >= COLD_WINDOW)
        {
            self.recent.pop_front();
        }
        (self.recent.len() as u32) < share
    }

    /// The cost of one more request, relative to an idle replica of usual pace.
    pub fn cost(&self, now: Time) -> f64 {
        let age = now.since(self.sampled).as_us() as f64;
        let fading = 0.5_f64.powf(age / PACE_HALF_LIFE_US);
        let mut pace = 1.0 + (self.pace - 1.0) * fading;
        if self.is_cold(now) {
            pace *= COLD_PACE;
        }
        if self.is_overdue(now) {
            pace *= OVERDUE_WEIGHT;
        }
        let waiting = self.sent.len() as f64 / f64::from(self.replica.slots.max(1));
        pace * (1.0 + waiting) * (1.0 + FAILURE_WEIGHT * self.failure * fading)
    }

    /// Notes a request that is sent.
    pub fn send(&mut self, now: Time, ticket: Ticket, expected: Expected) {
        let silence = expected
            .high
            .saturating_mul(SILENCE_FACTOR)
            .max(SILENCE_MIN);
        self.sent.push(Sent {
            ticket,
            at: now,
            overdue_at: now.after(expected.high),
            silent_at: now.after(silence),
        });
        if self.is_cold(now) {
            self.recent.push_back(now);
        }
    }

    /// Notes the end of a request; returns how long it took.
    pub fn end(
        &mut self,
        now: Time,
        ticket: Ticket,
        ending: Ending,
        expected: Expected,
        warmup: Span,
    ) -> Option<Span> {
        let at = self.sent.iter().position(|sent| sent.ticket == ticket)?;
        let took = now.since(self.sent.swap_remove(at).at);
        match ending {
            Ending::Answered => self.succeed(now, took, expected),
            Ending::Failed | Ending::Broken => self.fail(now),
            Ending::Shed => self.note(now, None, 1.0),
            Ending::Denied => self.retry_at = now.after(DENIED_WAIT),
            Ending::Unreachable => {
                if self.trial {
                    self.chill(now.after(warmup));
                }
                self.hold_back(now);
            }
            Ending::Withdrawn if took >= expected.high => {
                let ratio = took.as_us() as f64 / expected.median.as_us().max(1) as f64;
                self.note(now, Some(ratio), 0.0);
            }
            Ending::Withdrawn | Ending::Stale => {}
        }
        Some(took)
    }

    fn succeed(&mut self, now: Time, took: Span, expected: Expected) {
        let ratio = took.as_us() as f64 / expected.median.as_us().max(1) as f64;
        self.note(now, Some(ratio), 0.0);
        self.failures = 0;
        self.trial = false;
        self.backoff = RETRY_FIRST;
        self.sent
            .iter_mut()
            .for_each(|sent| sent.silent_at = sent.silent_at.max(now.after(SILENCE_MIN)));
    }

    fn fail(&mut self, now: Time) {
        self.note(now, None, 1.0);
        self.failures += 1;
        if self.failures >= FAILURES_MAX {
            self.hold_back(now);
        }
    }

    fn hold_back(&mut self, now: Time) {
        self.trial = true;
        self.retry_at = now.after(self.backoff);
        self.backoff = self.backoff.saturating_mul(2).min(RETRY_MAX);
    }

    /// Holds a silent replica back once what it owed was given up.
    pub fn hold_silent(&mut self, now: Time) {
        if now >= self.retry_at {
            self.hold_back(now);
        }
    }

    fn note(&mut self, now: Time, ratio: Option<f64>, failure: f64) {
        let age = now.since(self.sampled).as_us() as f64;
        let fading = 0.5_f64.powf(age / PACE_HALF_LIFE_US);
        self.sampled = now;
        self.pace = 1.0 + (self.pace - 1.0) * fading;
        self.failure *= fading;
        if let Some(ratio) = ratio {
            let ratio = ratio.clamp(PACE_RANGE.0, PACE_RANGE.1);
            self.pace += (ratio - self.pace) * SAMPLE_WEIGHT;
        }
        self.failure += (failure - self.failure) * SAMPLE_WEIGHT;
    }
}
