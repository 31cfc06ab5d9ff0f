//! Whether the balancer should send callers to this entry host.
//!
//! Load pattern: a host is cut off from most replicas, and perhaps from the voters,
//! while its callers still reach it. It fails what other hosts would serve. Where
//! most hosts fail alike, all of them stay: no other one fares better.

use crate::clock::Span;
use crate::clock::Time;

/// Span in which answers are counted.
const WINDOW: Span = Span::from_ms(1_000);

/// Answers in a span below which nothing follows from them.
const ANSWERS_MIN: u32 = 5;

/// Share of failures from which a host counts as failing.
const FAILURE_SHARE_MIN: f64 = 0.6;

/// Time for which a host stays out before it is tried again.
const REMOVED_FOR: Span = Span::from_secs(4);

/// What a host knows of the others.
#[derive(Clone, Copy, Debug)]
pub struct Peers {
    /// Whether this host is in touch with the voters.
    pub voters_reachable: bool,
    /// Entry hosts, this one included.
    pub hosts: usize,
    /// Those that fail most requests.
    pub failing: u32,
}

/// Whether the balancer should send callers to this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rotation {
    window_start: Time,
    answers: u32,
    failures: u32,
    removed_at: Option<Time>,
}

impl Rotation {
    /// Counts an answer.
    pub fn record(&mut self, now: Time, failed: bool) {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.answers = 0;
            self.failures = 0;
        }
        self.answers += 1;
        self.failures += u32::from(failed);
    }

    /// Whether the host fails most requests, or did when it left.
    pub fn is_failing(&self) -> bool {
        let share = f64::from(self.failures) / f64::from(self.answers.max(1));
        self.removed_at.is_some() || self.answers >= ANSWERS_MIN && share >= FAILURE_SHARE_MIN
    }

    /// Whether callers do better elsewhere than to wait here.
    pub fn others_healthier(&self, peers: Peers) -> bool {
        self.is_failing() && peers.are_healthier()
    }

    /// Whether the host should get callers.
    pub fn is_in_service(&mut self, now: Time, peers: Peers) -> bool {
        match self.removed_at {
            Some(at) if now.since(at) >= REMOVED_FOR => {
                *self = Rotation {
                    window_start: now,
                    ..Rotation::default()
                };
            }
            Some(_) => {}
            None if self.others_healthier(peers) => self.removed_at = Some(now),
            None => {}
        }
        self.removed_at.is_none()
    }
}

impl Peers {
    /// Whether other hosts probably serve what this one fails: none can be asked,
    /// or fewer than half fail too.
    fn are_healthier(&self) -> bool {
        !self.voters_reachable || (self.failing as usize) * 2 <= self.hosts
    }
}
