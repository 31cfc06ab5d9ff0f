use wagtailbeam_decision::allowance::Allowance;
use wagtailbeam_decision::allowance::Limit;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;

use crate::check;

const HOSTS: usize = 7;

/// The extra requests of all hosts together stay within the limit in each window, for any
/// distribution of callers and any number of attempts by each host.
#[test]
fn extra_requests_of_all_hosts_stay_within_the_limit() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let limit = Limit {
            ratio: 0.2,
            slack: 54.0,
            window: Span::from_secs(10),
        };
        let share = 1.0 / HOSTS as f64;
        let mut hosts = vec![Allowance::default(); HOSTS];
        let mut now = Time::from_us(1);
        let (mut requests, mut extras) = (Vec::new(), Vec::new());
        for (host, attempts, wait) in steps {
            now = now.after(Span::from_ms(u64::from(wait % 400)));
            let host = &mut hosts[usize::from(host) % HOSTS];
            host.earn(now, &limit, share);
            requests.push(now);
            for _ in 0..attempts % 8 {
                if host.take(now, &limit, share) {
                    extras.push(now);
                }
            }
        }
        let within = |all: &[Time], end: Time| {
            let inside = |at: &&Time| **at <= end && end.since(**at) < limit.window;
            all.iter().filter(inside).count() as f64
        };
        let limit_at = |end| within(&requests, end) * limit.ratio + limit.slack;
        extras
            .iter()
            .all(|end| within(&extras, *end) <= limit_at(*end))
    }
    check(property as fn(Vec<(u8, u8, u16)>) -> bool, 300, 600);
}
