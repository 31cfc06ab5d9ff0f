//! The clock from which a process derives [`Time`].
//!
//! It goes on while the machine is suspended. The standard library's clock stands still then, and a
//! resumed process would take leases, confirmations and lists for as fresh as before.

use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use wagtailbeam_decision::clock::Time;

/// Clock of a process, with its zero point at the start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time since the machine booted at the zero point, in microseconds.
    start_us: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            start_us: since_boot_us(),
        }
    }

    /// Time since the start, with suspended time included.
    pub fn now(&self) -> Time {
        Time::from_us(since_boot_us().saturating_sub(self.start_us))
    }

    /// Time at an earlier instant, if the machine was not suspended since.
    pub fn time_of(&self, earlier: Instant) -> Time {
        let age = earlier.elapsed().as_micros() as u64;
        Time::from_us(self.now().as_us().saturating_sub(age))
    }

    /// When a timer for this time fires; at once if it has passed.
    pub fn instant(&self, at: Time) -> Instant {
        Instant::now() + Duration::from_micros(at.since(self.now()).as_us())
    }
}

/// Time since the machine booted, with suspended time included, in microseconds.
fn since_boot_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
