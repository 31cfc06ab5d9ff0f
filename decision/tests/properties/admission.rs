//! Admission: a caller within its share gets in whatever the others do.

use quickcheck::TestResult;
use wagtailbeam_decision::admission::Signal;
use wagtailbeam_decision::admission::Window;
use wagtailbeam_decision::clock::Time;

use crate::check;

/// Size of the window, in queries.
const SIZE: f64 = 3.0;

fn a_quiet_caller_gets_in(floods: Vec<u8>) -> TestResult {
    let mut window = Window::new(SIZE);
    let mut running = 0;
    for (at, step) in floods.into_iter().enumerate() {
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
fn a_caller_within_its_share_gets_in() {
    check(
        81,
        200,
        2_000,
        a_quiet_caller_gets_in as fn(Vec<u8>) -> TestResult,
    );
}
