//! Suspected requests: guards against two canaries of one fingerprint at a time, a canary
//! after quarantine, and a quarantine that later standings weaken, while daemons are lost
//! and canaries end in any order.

use quickcheck::TestResult;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::suspect::Arbiter;
use wagtailbeam_decision::suspect::Ruling;
use wagtailbeam_decision::suspect::Standing;
use wagtailbeam_decision::suspect::Table;

use crate::check;

/// One step: kind of event, and the daemon it concerns.
type Step = (u8, u8);

fn one_canary_at_a_time(steps: Vec<Step>) -> TestResult {
    let fingerprint = Digest::of(b"request");
    let (mut arbiter, mut standings) = (Arbiter::default(), Table::default());
    let mut now = Time::from_us(1);
    let mut running: Option<u8> = None;
    let mut quarantined = false;
    for (query, (kind, host)) in steps.into_iter().enumerate() {
        now = now.after(Span::from_ms(1));
        let host = host % 4;
        let name = |host: u8| format!("entry-{host}").as_str().into();
        let mut rulings = Vec::new();
        match kind % 6 {
            0 if running.is_some() => {
                quarantined = true;
                running = None;
                standings.update(now, fingerprint, Standing::Quarantined);
                arbiter.end(&fingerprint);
            }
            1 if running.is_some() => {
                running = None;
                rulings.extend(arbiter.grant_next(now, &fingerprint));
            }
            2 => {
                running = running.filter(|holder| *holder != host);
                rulings.extend(arbiter.on_host_lost(now, &name(host)));
            }
            3 => drop(standings.update(now, fingerprint, Standing::Suspect)),
            _ => {
                let from = (name(host), query as u64);
                let ruling = arbiter.on_request(now, &standings, fingerprint, from.clone());
                rulings.extend(ruling.map(|ruling| (from, ruling)));
            }
        }
        for ((holder, _), ruling) in rulings {
            if ruling != Ruling::Go {
                continue;
            }
            if running.is_some() || quarantined {
                return TestResult::error(format!("a second canary at {holder}"));
            }
            running = holder
                .rsplit('-')
                .next()
                .and_then(|number| number.parse().ok());
        }
        if quarantined && standings.standing(now, &fingerprint) != Some(Standing::Quarantined) {
            return TestResult::error("a quarantine was weakened");
        }
    }
    TestResult::passed()
}

#[test]
fn one_canary_runs_at_a_time_and_none_after_quarantine() {
    check(
        51,
        200,
        3_000,
        one_canary_at_a_time as fn(Vec<Step>) -> TestResult,
    );
}
