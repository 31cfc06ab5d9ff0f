//! The clock of a process.

use std::time::Duration;
use std::time::Instant;

use wagtailbeam_adapter::clock::Clock;
use wagtailbeam_decision::clock::Span;

/// Guards against timers that are computed on one clock and fire on another: after a suspension
/// they would be late by the time of the suspension.
#[test]
fn a_timer_fires_when_the_clock_reaches_its_time() {
    let clock = Clock::start();
    std::thread::sleep(Duration::from_millis(20));
    let due = clock.now().after(Span::from_ms(50));
    let wait = clock.instant(due).duration_since(Instant::now());
    assert!(wait <= Duration::from_millis(50), "{wait:?}");
    std::thread::sleep(wait);
    assert!(clock.now() >= due.after(Span::ZERO));
    let passed = clock.instant(due);
    assert!(passed <= Instant::now());
}
