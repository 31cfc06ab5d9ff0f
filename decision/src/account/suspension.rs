//! Notices that the process of an entry host was suspended, after which its keys may be outdated.
//!
//! A host that resumes finds requests of its callers and earlier messages of the voters in its
//! sockets, and can't tell how old they are. For a short time it takes no key, until the voters had
//! time to tell it of a newer configuration. A host that has no contact to the voters then goes on
//! with the keys that it has.

use crate::clock::Span;
use crate::clock::Time;

/// Time without a step from which the process counts as suspended. An entry host that runs takes
/// several steps a second.
const SUSPENDED_MIN: Span = Span::from_secs(2);

/// Time after the end of a suspension in which no key is taken. It covers a heartbeat and its answer
/// on a busy host.
const KEYS_REFUSED_FOR: Span = Span::from_ms(500);

/// When the process last ran, and when it last resumed.
#[derive(Clone, Copy, Debug)]
pub struct Suspension {
    stepped_at: Time,
    resumed_at: Option<Time>,
}

impl Suspension {
    /// A process that starts now.
    pub fn new(now: Time) -> Suspension {
        Suspension {
            stepped_at: now,
            resumed_at: None,
        }
    }

    /// Records that the process runs. To be called before each request is handled, and several
    /// times a second.
    pub fn step(&mut self, now: Time) {
        if now.since(self.stepped_at) >= SUSPENDED_MIN {
            self.resumed_at = Some(now);
        }
        self.stepped_at = now;
    }

    /// Whether keys may be outdated, as the process resumed a short time ago.
    pub fn keys_may_be_outdated(&self, now: Time) -> bool {
        let resumed_at = self.resumed_at;
        resumed_at.is_some_and(|resumed_at| now.since(resumed_at) < KEYS_REFUSED_FOR)
    }
}
