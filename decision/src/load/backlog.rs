//! Requests that arrive at a host before it has a configuration and a list of replicas.
//!
//! Load pattern: all hosts return from a loss of power at once, and callers whose earlier attempts
//! were cut come back within the same second. Many have no attempt left after a refusal, and the
//! host can serve them a few hundred milliseconds later. They wait for that, for a part of the time
//! that they have left; the oldest are served first.

use std::collections::VecDeque;

use crate::clock::Span;
use crate::clock::Time;
use crate::gateway::RequestId;

/// Most requests that wait; further ones are refused at once.
const WAITING_MAX: usize = 256;

/// Longest wait of a request.
const WAIT_MAX: Span = Span::from_ms(1_000);

/// Part of the time that a caller has left for which its request may wait, as a divisor.
const WAIT_DIVISOR: u64 = 2;

/// A request that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Entry {
    id: RequestId,
    arrived: Time,
    refuse_at: Time,
}

/// A request that has waited, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Released {
    /// The request.
    pub id: RequestId,
    /// Time for which it has waited.
    pub waited: Span,
}

/// Requests that wait until the host is able to serve, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    entries: VecDeque<Entry>,
}

impl Backlog {
    /// Lets a request wait whose caller has this much time left. Returns false if it must be
    /// refused at once.
    pub fn push(&mut self, now: Time, id: RequestId, left: Span) -> bool {
        if self.entries.len() >= WAITING_MAX {
            return false;
        }
        let wait = left.divided_by(WAIT_DIVISOR).min(WAIT_MAX);
        self.entries.push_back(Entry {
            id,
            arrived: now,
            refuse_at: now.after(wait),
        });
        true
    }

    /// Forgets a request whose caller left.
    pub fn remove(&mut self, id: RequestId) {
        self.entries.retain(|entry| entry.id != id);
    }

    /// All requests, because the host is able to serve now.
    pub fn release(&mut self, now: Time) -> Vec<Released> {
        let entries = std::mem::take(&mut self.entries).into_iter();
        entries.map(|entry| entry.released(now)).collect()
    }

    /// The requests that have waited for long enough and are refused.
    pub fn expire(&mut self, now: Time) -> Vec<Released> {
        let expired = |entry: &&Entry| entry.refuse_at <= now;
        let released = self.entries.iter().filter(expired);
        let released = released.map(|entry| entry.released(now)).collect();
        self.entries.retain(|entry| entry.refuse_at > now);
        released
    }

    /// When the next request is refused; absent if none waits.
    pub fn next_timer(&self) -> Option<Time> {
        self.entries.iter().map(|entry| entry.refuse_at).min()
    }
}

impl Entry {
    fn released(&self, now: Time) -> Released {
        Released {
            id: self.id,
            waited: now.since(self.arrived),
        }
    }
}
