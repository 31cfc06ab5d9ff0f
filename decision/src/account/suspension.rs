//! Notices that a process was suspended, after which its keys or its operators' orders may be
//! outdated.
//!
//! An entry host that resumes finds requests of its callers and earlier messages of the voters in its
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
    /// Time without a step from which the process counts as suspended.
    silence: Span,
}

impl Suspension {
    /// The process of an entry host that starts now.
    pub fn new(now: Time) -> Suspension {
        Suspension::with_silence(SUSPENDED_MIN, now)
    }

    /// A process that starts now and counts as suspended from this time without a step on.
    pub fn with_silence(silence: Span, now: Time) -> Suspension {
        Suspension {
            stepped_at: now,
            resumed_at: None,
            silence,
        }
    }

    /// Records that the process runs. To be called before each request is handled, and several
    /// times a second. Returns whether the process was suspended since the last step.
    pub fn step(&mut self, now: Time) -> bool {
        let was_suspended = now.since(self.stepped_at) >= self.silence;
        if was_suspended {
            self.resumed_at = Some(now);
        }
        self.stepped_at = now;
        was_suspended
    }

    /// Whether the process resumed less than this time ago.
    pub fn has_resumed_within(&self, now: Time, span: Span) -> bool {
        let resumed_at = self.resumed_at;
        resumed_at.is_some_and(|resumed_at| now.since(resumed_at) < span)
    }

    /// Whether keys may be outdated, as the process resumed a short time ago.
    pub fn keys_may_be_outdated(&self, now: Time) -> bool {
        self.has_resumed_within(now, KEYS_REFUSED_FOR)
    }
}
