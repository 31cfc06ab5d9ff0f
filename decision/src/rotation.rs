//! Whether the load balancer should send callers to this entry host.
//!
//! Load pattern: a host is cut off from most replicas, and perhaps from the voters, but
//! still reachable for callers. It fails requests that other hosts would serve, so it
//! leaves the rotation. Where most hosts fail alike, all of them stay, since no other
//! host would do better.

use crate::clock::Span;
use crate::clock::Time;

/// Window over which answers are counted.
const WINDOW: Span = Span::from_ms(1_000);

/// Smallest number of answers in a window from which a failure share is derived.
const ANSWERS_MIN: u32 = 5;

/// Share of failed answers from which a host counts as failing, from 0 to 1.
const FAILURE_SHARE_MIN: f64 = 0.6;

/// Time for which a host stays out of the rotation before it is tried again.
const REMOVED_FOR: Span = Span::from_secs(4);

/// State of the entry hosts as seen by one of them.
#[derive(Clone, Copy, Debug)]
pub struct Peers {
    /// Whether this host is in contact with the voters.
    pub voters_reachable: bool,
    /// Number of entry hosts, including this one.
    pub hosts: usize,
    /// Number of entry hosts that fail most requests.
    pub failing: u32,
}

/// Failure statistics of this host and its place in the rotation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rotation {
    /// Start of the current window of counts.
    window_start: Time,
    answers: u32,
    failures: u32,
    /// When the host left the rotation; absent while it is in the rotation.
    removed_at: Option<Time>,
}

impl Rotation {
    /// Counts an answer; `failed` if other hosts might have served the request.
    pub fn record(&mut self, now: Time, failed: bool) {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.answers = 0;
            self.failures = 0;
        }
        self.answers += 1;
        self.failures += u32::from(failed);
    }

    /// Whether the host fails most requests, or left the rotation because of it.
    pub fn is_failing(&self) -> bool {
        let share = f64::from(self.failures) / f64::from(self.answers.max(1));
        self.removed_at.is_some() || self.answers >= ANSWERS_MIN && share >= FAILURE_SHARE_MIN
    }

    /// Whether this host is failing while the other hosts probably are not.
    pub fn others_healthier(&self, peers: Peers) -> bool {
        self.is_failing() && peers.are_healthier()
    }

    /// Takes the host out of the rotation if it is failing while the others are healthier,
    /// or returns it with fresh counts after a fixed time. Returns whether the host is in
    /// the rotation.
    pub fn update(&mut self, now: Time, peers: Peers) -> bool {
        match self.removed_at {
            Some(removed_at) if now.since(removed_at) >= REMOVED_FOR => {
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
    /// Whether other hosts probably serve what this one fails: at most half of the hosts
    /// are failing, or their state is unknown without the voters.
    fn are_healthier(&self) -> bool {
        !self.voters_reachable || (self.failing as usize) * 2 <= self.hosts
    }
}
