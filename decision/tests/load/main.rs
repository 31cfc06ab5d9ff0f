//! Replay of entry hosts that choose among replicas of different and changing speed. It prints,
//! for each case and estimator, what callers see and how the calls are distributed.

mod arrivals;
mod board;
mod cases;
mod heldout;
mod order;
mod outliers;
mod patterns;
mod replay;
mod setup;
mod waiting;
mod watch;

use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::load::capacity::Estimator;
use wagtailbeam_decision::load::waiting::Discipline;

use crate::arrivals::End;
use crate::arrivals::Outcome;
use crate::replay::Policy;
use crate::replay::Replay;
use crate::setup::Case;

/// Seeds of the runs of a case; figures are over all of them.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Time after a change at a replica by which hosts are to have followed it, in seconds.
const FOLLOW_S: f64 = 2.0;

/// The estimators that are compared; the first one is that of earlier builds.
const POLICIES: [Policy; 4] = [
    Policy {
        estimator: Estimator::Average,
        voters: 0,
        discipline: Discipline::Fair,
    },
    Policy {
        estimator: Estimator::Concurrency,
        voters: 0,
        discipline: Discipline::Fair,
    },
    Policy {
        estimator: Estimator::Gradient,
        voters: 0,
        discipline: Discipline::Fair,
    },
    Policy {
        estimator: Estimator::Gradient,
        voters: 1,
        discipline: Discipline::Fair,
    },
];

/// Figures of one case with one estimator.
#[derive(Clone, Debug, Default)]
struct Figures {
    /// Median and 99th percentile of each route in milliseconds.
    latencies: Vec<(f64, f64)>,
    /// Share answered within the objective.
    within: f64,
    /// Calls of the busiest replica relative to the mean.
    busiest: f64,
    /// Hedges and retries relative to all other calls.
    extra: f64,
    /// Calls of the affected replica relative to the mean, from two seconds after the change.
    affected: f64,
    /// The same in the two seconds after its recovery.
    returned: f64,
    /// Share answered within the objective in the two seconds after its recovery.
    returned_within: f64,
}

fn seconds(at: f64) -> Time {
    Time::from_us((at * 1e6) as u64)
}

fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// Share of the outcomes that meet the objective of their route.
fn share_within<'a>(case: &Case, outcomes: impl Iterator<Item = &'a Outcome>) -> f64 {
    let mut all = 0.0;
    let mut good = 0.0;
    for outcome in outcomes {
        let objective = case.routes[outcome.route].objective;
        all += 1.0;
        good += f64::from(u8::from(
            outcome.end == End::Answered && outcome.took <= objective,
        ));
    }
    good / all
}

fn relative(calls: &[usize], index: usize) -> f64 {
    calls[index] as f64 * calls.len() as f64 / calls.iter().sum::<usize>().max(1) as f64
}

fn measure(case: &Case, policy: Policy, seeds: &[u64]) -> Figures {
    let runs = seeds.iter();
    let runs = runs.map(|seed| Replay::run(case.clone(), policy, *seed));
    let runs = runs.collect::<Vec<_>>();
    let outcomes = || runs.iter().flat_map(|run| &run.outcomes);
    let mut figures = Figures::default();
    for route in 0..case.routes.len() {
        let of_route = outcomes().filter(|outcome| outcome.route == route);
        let mut took = of_route
            .map(|outcome| outcome.took.as_us() as f64 / 1e3)
            .collect::<Vec<_>>();
        took.sort_by(f64::total_cmp);
        figures
            .latencies
            .push((quantile(&took, 0.5), quantile(&took, 0.99)));
    }
    figures.within = share_within(case, outcomes());
    let sent = runs.iter().map(|run| run.sent).sum::<u64>() as f64;
    let extra = runs.iter().map(|run| run.extra).sum::<u64>() as f64;
    figures.extra = extra / (sent - extra);
    let (server, from, until) = case.affected.unwrap_or((0, 10.0, case.seconds as f64));
    let count = seeds.len() as f64;
    for run in &runs {
        let all = run.calls(0, seconds(from), seconds(until));
        let busiest = (0..all.len()).map(|index| relative(&all, index));
        figures.busiest += busiest.fold(0.0, f64::max) / count;
        let settled = run.calls(0, seconds(from + FOLLOW_S), seconds(until));
        figures.affected += relative(&settled, server) / count;
        let after = run.calls(0, seconds(until), seconds(until + FOLLOW_S));
        figures.returned += relative(&after, server) / count;
    }
    let recovery = seconds(until)..seconds(until + FOLLOW_S);
    let after = outcomes().filter(|outcome| recovery.contains(&outcome.started));
    figures.returned_within = share_within(case, after);
    figures
}

fn print(case: &Case, policy: Policy, figures: &Figures) {
    let latencies = figures.latencies.iter();
    let latencies = latencies.map(|(median, high)| format!("{median:.1}/{high:.0}"));
    let latencies = latencies.collect::<Vec<_>>().join(" ");
    let estimator = match policy.voters {
        0 => format!("{:?}", policy.estimator),
        1 => "merged".to_owned(),
        voters => format!("merged, {voters} voters"),
    };
    println!(
        "| {} | {estimator} | {latencies} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
        case.name,
        100.0 * figures.within,
        figures.busiest,
        100.0 * figures.extra,
        figures.affected,
        figures.returned,
        100.0 * figures.returned_within,
    );
}

/// Prints the figures of cases with all policies, and returns those of the first and the last.
fn compare(cases: Vec<Case>) -> Vec<(Case, Figures, Figures)> {
    println!(
        "| case | estimator | p50/p99 ms by route | within % | busiest/mean | extra % | affected/mean \
         | after recovery/mean | within % after recovery |"
    );
    let compared = cases.into_iter().map(|case| {
        let figures = POLICIES.map(|policy| {
            let figures = measure(&case, policy, &SEEDS);
            print(&case, policy, &figures);
            figures
        });
        let [before, .., after] = figures;
        (case, before, after)
    });
    compared.collect()
}

/// Guards against hosts that prefer some of several equal replicas because of noise.
#[test]
fn equal_replicas_are_used_as_before() {
    for (case, before, after) in compare(cases::equal()) {
        assert!(after.within > before.within - 0.005, "{}", case.name);
        assert!(after.busiest < before.busiest + 0.15, "{}", case.name);
        assert!(after.extra < before.extra + 0.01, "{}", case.name);
        for (before, after) in before.latencies.iter().zip(&after.latencies) {
            assert!(after.0 < before.0 * 1.1, "{}", case.name);
            assert!(after.1 < before.1 * 1.15, "{}", case.name);
        }
    }
}

/// Guards against a degraded replica that keeps its share of the calls.
#[test]
fn degraded_replicas_are_avoided() {
    for (case, before, after) in compare(cases::degraded()) {
        assert!(after.within > before.within - 0.005, "{}", case.name);
        assert!(after.affected < 0.5, "{}", case.name);
        assert!(after.affected > 0.0, "{} is not measured", case.name);
    }
}

/// Guards against avoiding a replica for longer than its condition lasts.
#[test]
fn briefly_or_partly_degraded_replicas_are_used() {
    for (case, before, after) in compare(cases::mild()) {
        assert!(after.within > before.within - 0.005, "{}", case.name);
        assert!(after.affected > 0.2, "{}", case.name);
    }
}

/// Guards against reports of hosts that run the estimator of earlier builds.
#[test]
fn only_hosts_with_the_gradient_report_replicas() {
    let case = cases::degraded().remove(0);
    let records = |estimator: Estimator| {
        let policy = Policy {
            estimator,
            voters: 1,
            discipline: Discipline::Fair,
        };
        Replay::run(case.clone(), policy, 1).records
    };
    assert_eq!(records(Estimator::Average), 0);
    assert!(records(Estimator::Gradient) > 0);
}
