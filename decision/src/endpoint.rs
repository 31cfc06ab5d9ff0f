//! Statistics and state of one replica as seen by one entry host, beyond what the replica
//! list shows. The gateway uses them to choose replicas.

use std::collections::VecDeque;
use std::sync::Arc;

use derive_more::Display;

use crate::clock::Span;
use crate::clock::Time;
use crate::fleet::Replica;
use crate::fleet::State;
use crate::load::capacity::Capacity;
use crate::load::capacity::Estimator;
use crate::load::capacity::Sample;
use crate::quota::Bucket;
use crate::quota::Share;
use crate::uplink::Unanswered;

/// Factor on the slowdown of a cold replica.
const COLD_SLOWDOWN: f64 = 1.6;

/// Factor on the cost of a replica with an overdue answer.
const OVERDUE_FACTOR: f64 = 6.0;

/// First wait before a held-back replica is tried again; doubled each time until a
/// request succeeds.
const BACKOFF_FIRST: Span = Span::from_ms(150);

/// Longest wait before a held-back replica is tried again.
const BACKOFF_MAX: Span = Span::from_ms(1_200);

/// Time for which a replica is not used after another replica answered at its address.
const DENIED_BACKOFF: Span = Span::from_secs(10);

/// Shortest time without an answer after which a replica counts as silent.
const SILENCE_MIN: Span = Span::from_ms(400);

/// Multiple of the expected high latency after which a replica counts as silent, if that
/// is longer.
const SILENCE_FACTOR: u64 = 4;

/// Number of failures in a row from which a replica is held back.
const FAILURES_IN_ROW_MAX: u32 = 4;

/// Window over which requests to a cold replica are counted.
const COLD_WINDOW: Span = Span::from_ms(1_050);

/// Identifies a call to a replica within this process.
pub type Ticket = u64;

/// How a call to a replica ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Ending {
    /// The replica answered with success.
    #[display("answered")]
    Answered,
    /// The replica answered that it did not run the request.
    #[display("shed")]
    Shed,
    /// Another replica answered at the address; the request did not run.
    #[display("denied")]
    Denied,
    /// The replica answered with a failure.
    #[display("failed")]
    Failed,
    /// The connection broke after the request may have been sent.
    #[display("broken")]
    Broken,
    /// The connection broke after the request may have been sent, because the server's
    /// process ended.
    #[display("server ended")]
    Ended,
    /// No connection could be opened; nothing was sent.
    #[display("unreachable")]
    Unreachable,
    /// A kept connection had been closed by the replica; nothing was sent.
    #[display("stale connection")]
    Stale,
    /// This host aborted the call.
    #[display("withdrawn")]
    Withdrawn,
}

/// Times of an open call to this replica.
#[derive(Clone, Copy, Debug)]
struct Sent {
    ticket: Ticket,
    at: Time,
    overdue_at: Time,
    silent_at: Time,
}

/// State of one replica as seen by this host.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The replica as last listed.
    pub replica: Arc<Replica>,
    /// Whether the replica is still listed.
    pub listed: bool,
    sent: Vec<Sent>,
    /// What the answers tell of the load that the replica takes.
    capacity: Capacity,
    failures_in_row: u32,
    /// Next wait if the replica is held back once more.
    backoff: Span,
    /// Until then no request is sent.
    retry_at: Time,
    /// Whether only one request at a time is sent, until one succeeds.
    half_open: bool,
    cold_until: Time,
    /// Times of requests sent while the replica was cold.
    recent_cold: VecDeque<Time>,
    /// Whether the replica said in an answer that it is leaving, whatever the list shows.
    leaving: bool,
    /// Until then the replica wants no requests from this host.
    paused_until: Time,
    /// This host's share of the limit that the replica names; absent without a limit.
    pub(crate) bucket: Option<Bucket>,
}

/// Expected latencies of a request.
#[derive(Clone, Copy, Debug)]
pub struct Expected {
    /// Median latency.
    pub median: Span,
    /// High quantile of latency.
    pub high: Span,
}

impl Endpoint {
    /// State of a newly listed replica.
    pub fn new(now: Time, replica: Arc<Replica>, listed_at: Time) -> Endpoint {
        let cold_until = listed_at.after(replica.cold_left);
        Endpoint {
            replica,
            listed: true,
            sent: Vec::new(),
            capacity: Capacity::new(now, Estimator::default(), 0),
            failures_in_row: 0,
            backoff: BACKOFF_FIRST,
            retry_at: Time::default(),
            half_open: false,
            cold_until,
            recent_cold: VecDeque::new(),
            leaving: false,
            paused_until: Time::default(),
            bucket: None,
        }
    }

    /// Estimates the capacity this way from now on. `seed` differs by host and replica.
    pub(crate) fn set_estimator(&mut self, now: Time, estimator: Estimator, seed: u64) {
        self.capacity = Capacity::new(now, estimator, seed);
    }

    /// What the answers tell of the load that the replica takes.
    pub(crate) fn capacity(&mut self) -> &mut Capacity {
        &mut self.capacity
    }

    /// Applies a newer listing of the same run.
    pub fn relist(&mut self, replica: Arc<Replica>, listed_at: Time) {
        self.listed = true;
        if replica.cold_left > Span::ZERO {
            let until = listed_at.after(replica.cold_left);
            self.cold_until = self.cold_until.max(until);
        }
        self.replica = replica;
    }

    /// Sets this host's share of the limit that the replica names; absent without a limit.
    pub(crate) fn set_share(&mut self, now: Time, share: Option<Share>) {
        match (&mut self.bucket, share) {
            (Some(bucket), Some(share)) => bucket.set_share(now, share),
            (bucket, share) => *bucket = share.map(|share| Bucket::new(now, share)),
        }
    }

    /// Forgets failures and backoffs, which the host's own links caused. The list tells of replicas
    /// that started meanwhile.
    pub fn forgive(&mut self, now: Time) {
        self.capacity.forget(now);
        self.failures_in_row = 0;
        self.backoff = BACKOFF_FIRST;
        self.retry_at = Time::default();
        self.half_open = false;
    }

    /// Treats the replica as cold until this time at least.
    pub fn mark_cold(&mut self, until: Time) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Whether the replica is treated as cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// The calls that have not ended; absent without any.
    pub fn unanswered(&self, now: Time) -> Option<Unanswered> {
        let calls = self.sent.iter();
        let calls = calls.map(|sent| (now.since(sent.at), sent.overdue_at.since(sent.at)));
        let all = calls.fold(Unanswered::default(), |all, (open, usual)| {
            all.add(open, usual)
        });
        (!self.sent.is_empty()).then_some(all)
    }

    /// Number of calls that have not ended.
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// Records that the replica is leaving. Returns whether this is new.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records that the replica wants no requests for this time. Returns whether it did not before.
    pub fn record_pause(&mut self, now: Time, pause: Span) -> bool {
        let is_new = !self.is_paused(now) && pause > Span::ZERO;
        self.paused_until = self.paused_until.max(now.after(pause));
        is_new
    }

    /// Whether the replica takes new work, as far as the list and its own answers tell.
    fn is_ready(&self) -> bool {
        self.listed && self.replica.state == State::Ready && !self.leaving
    }

    /// Whether the replica wants no requests from this host now.
    fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Time for which a replica that takes work otherwise wants no requests; absent without one.
    pub fn pause_left(&self, now: Time) -> Option<Span> {
        let paused = self.is_ready() && self.is_paused(now);
        paused.then(|| self.paused_until.since(now))
    }

    /// Whether requests may be sent to the replica: it is ready, wants requests, and is neither
    /// held back nor silent.
    pub fn is_usable(&self, now: Time) -> bool {
        let held = now < self.retry_at || self.half_open && !self.sent.is_empty();
        self.is_ready() && !self.is_paused(now) && !held && !self.is_silent(now)
    }

    /// Whether the replica is ready but is held back or silent.
    pub fn is_held_back(&self, now: Time) -> bool {
        self.is_ready() && !self.is_paused(now) && !self.is_usable(now)
    }

    /// Whether an answer is so late that the replica counts as silent.
    pub fn is_silent(&self, now: Time) -> bool {
        self.sent.iter().any(|sent| sent.silent_at <= now)
    }

    /// Whether a call has exceeded the expected high latency.
    fn is_overdue(&self, now: Time) -> bool {
        self.sent.iter().any(|sent| sent.overdue_at <= now)
    }

    /// Whether the cold limit allows one more request now; `share` is this host's share
    /// of it, in requests per second.
    pub fn has_cold_capacity(&mut self, now: Time, share: u32) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        while self
            .recent_cold
            .front()
            .is_some_and(|at| now.since(*at) >= COLD_WINDOW)
        {
            self.recent_cold.pop_front();
        }
        (self.recent_cold.len() as u32) < share
    }

    /// Cost of one more request, relative to an idle replica of expected latency.
    pub fn cost(&self, now: Time) -> f64 {
        self.cost_by_draw(now, 1.0)
    }

    /// The same, where a random number from 0 to 1 decides whether the replica is measured again
    /// although it costs more.
    pub(crate) fn cost_by_draw(&self, now: Time, draw: f64) -> f64 {
        let mut factor = 1.0;
        if self.is_cold(now) {
            factor *= COLD_SLOWDOWN;
        }
        if self.is_overdue(now) {
            factor *= OVERDUE_FACTOR;
        }
        let waiting = self.sent.len() as f64 / f64::from(self.replica.slots.max(1));
        factor * self.capacity.cost(now, waiting, draw)
    }

    /// Records that a request was sent.
    pub fn record_send(&mut self, now: Time, ticket: Ticket, expected: Expected) {
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
            self.recent_cold.push_back(now);
        }
    }

    /// Records the end of a call. Returns how long the call took, or `None` if the ticket
    /// is unknown.
    pub fn record_end(
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
            Ending::Answered => self.record_success(now, took, expected),
            Ending::Failed | Ending::Broken | Ending::Ended => self.record_failure(now),
            Ending::Shed => self.capacity.record(now, Sample::failed()),
            Ending::Denied => self.retry_at = now.after(DENIED_BACKOFF),
            Ending::Unreachable => {
                if self.half_open {
                    self.mark_cold(now.after(warmup));
                }
                self.hold_back(now);
            }
            Ending::Withdrawn if took >= expected.high => {
                let sample = Sample::answered(took, expected.median);
                self.capacity.record(now, sample);
            }
            Ending::Withdrawn | Ending::Stale => {}
        }
        Some(took)
    }

    /// Ends the backoff, and gives open calls more time before they count as silent.
    fn record_success(&mut self, now: Time, took: Span, expected: Expected) {
        let sample = Sample::answered(took, expected.median);
        self.capacity.record(now, sample);
        self.failures_in_row = 0;
        self.half_open = false;
        self.backoff = BACKOFF_FIRST;
        self.sent
            .iter_mut()
            .for_each(|sent| sent.silent_at = sent.silent_at.max(now.after(SILENCE_MIN)));
    }

    fn record_failure(&mut self, now: Time) {
        self.capacity.record(now, Sample::failed());
        self.failures_in_row += 1;
        if self.failures_in_row >= FAILURES_IN_ROW_MAX {
            self.hold_back(now);
        }
    }

    /// Sends no request for the current backoff, then one at a time.
    fn hold_back(&mut self, now: Time) {
        self.half_open = true;
        self.retry_at = now.after(self.backoff);
        self.backoff = self.backoff.saturating_mul(2).min(BACKOFF_MAX);
    }

    /// Holds back a silent replica whose calls were withdrawn, unless it is held back
    /// already.
    pub fn hold_back_silent(&mut self, now: Time) {
        if now >= self.retry_at {
            self.hold_back(now);
        }
    }
}
