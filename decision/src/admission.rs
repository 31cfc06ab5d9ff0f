//! Admission of queries at an entry daemon: a window for each service, found by
//! additive increase and multiplicative decrease, and fair shares by caller.
//!
//! Source of the window rule: Chiu and Jain, "Analysis of the increase and
//! decrease algorithms for congestion avoidance", 1989.

use std::collections::BTreeMap;

use crate::clock::Span;
use crate::clock::Time;
use crate::name::Name;

/// Smallest window, in queries.
const WINDOW_MIN: f64 = 2.0;

/// Largest window, in queries.
const WINDOW_MAX: f64 = 4_096.0;

/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.85;

/// Shortest time between two decreases.
const DECREASE_INTERVAL_MIN: Span = Span::from_ms(50);

/// Share of the window that a caller above its fair share leaves free.
const RESERVE_SHARE: f64 = 0.2;

/// Time for which a caller counts as active after its last query.
const ACTIVE_FOR: Span = Span::from_secs(1);

/// What a query showed of the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// It was answered within the objective.
    OnTime,
    /// Its answer was later than the objective; a sign of load only in a window
    /// that is at least half used.
    Late,
    /// An owner refused part of it for load.
    Overload,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    running: u32,
    weight: u32,
    last_seen: Time,
}

/// The window of one service.
#[derive(Clone, Debug)]
pub struct Window {
    size: f64,
    running: u32,
    callers: BTreeMap<Name, Usage>,
    last_decrease: Time,
}

impl Window {
    /// A window of `start` queries.
    pub fn new(start: f64) -> Window {
        let size = start.clamp(WINDOW_MIN, WINDOW_MAX);
        Window {
            size,
            running: 0,
            callers: BTreeMap::new(),
            last_decrease: Time::default(),
        }
    }

    /// Queries running now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Queries that may run at once.
    pub fn size(&self) -> f64 {
        self.size
    }

    /// Admits one query of `caller`, or refuses it.
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

    /// Queries that the caller may always run, as far as the window isn't doubled.
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

    /// Ends one query of `caller` with what it showed of the load.
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

    fn decrease(&mut self, now: Time) {
        if now.since(self.last_decrease) < DECREASE_INTERVAL_MIN {
            return;
        }
        self.last_decrease = now;
        self.size = (self.size * DECREASE_FACTOR).max(WINDOW_MIN);
    }
}
