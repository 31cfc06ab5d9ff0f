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
const DECREASE: f64 = 0.85;

/// Shortest time between two decreases.
const DECREASE_EVERY: Span = Span::from_ms(50);

/// Share of the window that a caller above its fair share leaves free.
const RESERVE: f64 = 0.2;

/// Time for which a caller counts as active after its last query.
const ACTIVE_FOR: Span = Span::from_secs(1);

/// What a query showed of the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// It was answered within the objective.
    Fine,
    /// Its answer was later than the objective; a sign of load only in a window
    /// that is at least half used.
    Late,
    /// An owner refused part of it for load.
    Refused,
}

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    running: u32,
    weight: u32,
    last: Time,
}

/// The window of one service.
#[derive(Clone, Debug)]
pub struct Window {
    size: f64,
    running: u32,
    callers: BTreeMap<Name, Use>,
    decreased: Time,
}

impl Window {
    /// A window of `start` queries.
    pub fn new(start: f64) -> Window {
        let size = start.clamp(WINDOW_MIN, WINDOW_MAX);
        Window {
            size,
            running: 0,
            callers: BTreeMap::new(),
            decreased: Time::default(),
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
            .retain(|_, user| user.running > 0 || now.since(user.last) < ACTIVE_FOR);
        let user = self.callers.entry(caller.clone()).or_default();
        user.weight = weight.max(1);
        user.last = now;
        let running = f64::from(user.running);
        let free = self.size - f64::from(self.running);
        let shared = self.callers.len() > 1;
        let reserve = if shared {
            (self.size * RESERVE).max(1.0)
        } else {
            0.0
        };
        let guaranteed = running < self.share(caller) && free > -self.size;
        let admitted = guaranteed || free >= 1.0 + reserve;
        if admitted {
            self.running += 1;
            self.callers.entry(caller.clone()).or_default().running += 1;
        }
        admitted
    }

    /// Queries that the caller may always run, as far as the window isn't doubled.
    fn share(&self, caller: &Name) -> f64 {
        let all = self
            .callers
            .values()
            .map(|user| f64::from(user.weight))
            .sum::<f64>();
        let own = self
            .callers
            .get(caller)
            .map_or(1.0, |user| f64::from(user.weight));
        (self.size * own / all.max(1.0)).floor().max(1.0)
    }

    /// Ends one query of `caller` with what it showed of the load.
    pub fn finish(&mut self, now: Time, caller: &Name, signal: Signal) {
        let busy = f64::from(self.running) >= self.size * 0.5;
        self.running = self.running.saturating_sub(1);
        if let Some(user) = self.callers.get_mut(caller) {
            user.running = user.running.saturating_sub(1);
        }
        match signal {
            Signal::Refused => self.decrease(now),
            Signal::Late if busy => self.decrease(now),
            Signal::Fine if busy => self.size = (self.size + 1.0 / self.size).min(WINDOW_MAX),
            Signal::Late | Signal::Fine => {}
        }
    }

    fn decrease(&mut self, now: Time) {
        if now.since(self.decreased) < DECREASE_EVERY {
            return;
        }
        self.decreased = now;
        self.size = (self.size * DECREASE).max(WINDOW_MIN);
    }
}
