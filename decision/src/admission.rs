//! Admission of queries at an entry daemon: a window of running queries for each service,
//! with additive increase and multiplicative decrease, and fair shares by caller.
//!
//! The entry role asks [`Window::admit`] before it starts a query and reports the end of
//! each admitted query with [`Window::finish`].
//!
//! Source of the window rule: Chiu and Jain, "Analysis of the increase and decrease
//! algorithms for congestion avoidance", 1989.

use std::collections::BTreeMap;

use crate::clock::Span;
use crate::clock::Time;
use crate::name::Name;

/// Smallest window, in queries.
const WINDOW_MIN: f64 = 2.0;

/// Largest window, in queries.
const WINDOW_MAX: f64 = 4_096.0;

/// Factor by which a decrease shrinks the window.
const DECREASE_FACTOR: f64 = 0.85;

/// Shortest time between two decreases.
const DECREASE_INTERVAL_MIN: Span = Span::from_ms(50);

/// Share of the window that a caller above its fair share must leave free while other
/// callers are active.
const RESERVE_SHARE: f64 = 0.2;

/// Time after its last query for which a caller counts as active.
const ACTIVE_FOR: Span = Span::from_secs(1);

/// What the end of a query showed about the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// The query was answered within the latency objective.
    OnTime,
    /// The answer was later than the latency objective. This counts as overload only if
    /// at least half of the window was in use.
    Late,
    /// An owner or server refused a part of the query because of load.
    Overload,
}

/// Queries of one caller.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    running: u32,
    weight: u32,
    last_seen: Time,
}

/// Admission window of one service.
#[derive(Clone, Debug)]
pub struct Window {
    /// Queries that may run at once; fractional, since it grows by less than one.
    size: f64,
    running: u32,
    /// Active callers.
    callers: BTreeMap<Name, Usage>,
    last_decrease: Time,
}

impl Window {
    /// Creates a window of `start` queries, bounded by the smallest and largest window.
    pub fn new(start: f64) -> Window {
        let size = start.clamp(WINDOW_MIN, WINDOW_MAX);
        Window {
            size,
            running: 0,
            callers: BTreeMap::new(),
            last_decrease: Time::default(),
        }
    }

    /// Number of queries running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of queries that may run at once.
    pub fn size(&self) -> f64 {
        self.size
    }

    /// Whether to admit one query of `caller`, which then counts as running. `weight`
    /// scales the caller's fair share. A caller within its fair share is admitted until
    /// twice the window is in use; others need free room beyond the reserve.
    pub fn admit(&mut self, now: Time, caller: &Name, weight: u32) -> bool {
        self.callers
            .retain(|_, usage| usage.running > 0 || now.since(usage.last_seen) < ACTIVE_FOR);
        let usage = self.callers.entry(caller.clone()).or_default();
        usage.weight = weight.max(1);
        usage.last_seen = now;
        let running = f64::from(usage.running);
        let free = self.size - f64::from(self.running);
        let has_other_callers = self.callers.len() > 1;
        let reserve = if has_other_callers {
            (self.size * RESERVE_SHARE).max(1.0)
        } else {
            0.0
        };
        let within_share = running < self.fair_share(caller) && free > -self.size;
        let admitted = within_share || free >= 1.0 + reserve;
        if admitted {
            self.running += 1;
            self.callers.entry(caller.clone()).or_default().running += 1;
        }
        admitted
    }

    /// The caller's fair share of the window by weight, in queries; at least 1.
    fn fair_share(&self, caller: &Name) -> f64 {
        let all = self
            .callers
            .values()
            .map(|usage| f64::from(usage.weight))
            .sum::<f64>();
        let own = self
            .callers
            .get(caller)
            .map_or(1.0, |usage| f64::from(usage.weight));
        (self.size * own / all.max(1.0)).floor().max(1.0)
    }

    /// Ends one admitted query of `caller` and adjusts the window.
    pub fn finish(&mut self, now: Time, caller: &Name, signal: Signal) {
        let busy = f64::from(self.running) >= self.size * 0.5;
        self.running = self.running.saturating_sub(1);
        if let Some(usage) = self.callers.get_mut(caller) {
            usage.running = usage.running.saturating_sub(1);
        }
        match signal {
            Signal::Overload => self.decrease(now),
            Signal::Late if busy => self.decrease(now),
            Signal::OnTime if busy => self.size = (self.size + 1.0 / self.size).min(WINDOW_MAX),
            Signal::Late | Signal::OnTime => {}
        }
    }

    /// Shrinks the window, at most once per [`DECREASE_INTERVAL_MIN`].
    fn decrease(&mut self, now: Time) {
        if now.since(self.last_decrease) < DECREASE_INTERVAL_MIN {
            return;
        }
        self.last_decrease = now;
        self.size = (self.size * DECREASE_FACTOR).max(WINDOW_MIN);
    }
}
