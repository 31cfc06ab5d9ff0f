//! Admission window: guards against a flood of one caller taking the whole window, so
//! that a caller within its fair share is refused.

use quickcheck::TestResult;
use wagtailbeam_decision::admission::Signal;
use wagtailbeam_decision::admission::Window;
use wagtailbeam_decision::clock::Time;

use crate::check;

/// Initial size of the window, in queries.
const SIZE: f64 = 3.0;

fn quiet_caller_is_always_admitted(steps: Vec<u8>) -> TestResult {
    let mut window = Window::new(SIZE);
    let mut running = 0;
    for (at, step) in steps.into_iter().enumerate() {
        let now = Time::from_us((at as u64 + 1) * 60_000);
        let signal = if step.is_multiple_of(2) {
            Signal::Overload
        } else {
            Signal::OnTime
        };
        if step.is_multiple_of(3) && running > 0 {
            running -= 1;
            window.finish(now, &"flood".into(), signal);
        } else if window.admit(now, &"flood".into(), 1) {
            running += 1;
        }
        if !window.admit(now, &"quiet".into(), 1) {
            return TestResult::error(format!("refused beside {running} of {}", window.size()));
        }
        window.finish(now, &"quiet".into(), signal);
        if f64::from(window.running()) > 2.0 * window.size().max(SIZE) {
            return TestResult::error("more than twice the window");
        }
    }
    TestResult::passed()
}

#[test]
fn a_caller_within_its_share_is_always_admitted() {
    check(
        81,
        200,
        2_000,
        quiet_caller_is_always_admitted as fn(Vec<u8>) -> TestResult,
    );
}
