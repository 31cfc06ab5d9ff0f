//! Figures of the estimators on seeds that were not used to choose their constants.

use std::thread;

use wagtailbeam_decision::load::capacity::Estimator;
use wagtailbeam_decision::load::waiting::Discipline;

use crate::Figures;
use crate::cases;
use crate::measure;
use crate::print;
use crate::replay::Policy;
use crate::setup::Case;

/// Seeds of the runs; no constant may be chosen by them.
const SEEDS: [u64; 6] = [21, 22, 23, 24, 25, 26];

/// Number of voters of the deployments.
const VOTERS: usize = 5;

/// The estimators that are compared; the first one is the default.
const POLICIES: [Policy; 4] = [
    policy(Estimator::Average, 0),
    policy(Estimator::Gradient, 0),
    policy(Estimator::Gradient, 1),
    policy(Estimator::Gradient, VOTERS),
];

const fn policy(estimator: Estimator, voters: usize) -> Policy {
    Policy {
        estimator,
        voters,
        discipline: Discipline::Fair,
    }
}

/// Mean and standard error of the mean.
fn mean(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let squares = values.iter().map(|value| (value - mean).powi(2));
    let variance = squares.sum::<f64>() / (count - 1.0);
    (mean, (variance / count).sqrt())
}

/// Differences from the first policy, by seed.
fn differences(
    before: &[Figures],
    after: &[Figures],
    figure: impl Fn(&Figures) -> f64,
) -> Vec<f64> {
    let pairs = before.iter().zip(after);
    let pairs = pairs.map(|(before, after)| figure(after) - figure(before));
    pairs.collect()
}

/// A difference with its standard error, and how many of the seeds it exceeds zero on.
fn show(differences: &[f64]) -> String {
    let (mean, error) = mean(differences);
    let above = differences.iter().filter(|value| **value > 0.0).count();
    format!("{mean:+.2} ± {error:.2} ({above})")
}

/// Figures of all policies: over all seeds, and by seed.
fn run(case: &Case) -> Vec<(Figures, Vec<Figures>)> {
    let of_policy = |policy: Policy| {
        let pooled = measure(case, policy, &SEEDS);
        let by_seed = SEEDS.iter().map(|seed| measure(case, policy, &[*seed]));
        (pooled, by_seed.collect())
    };
    POLICIES.map(of_policy).into()
}

fn print_differences(case: &Case, policy: Policy, before: &[Figures], after: &[Figures]) {
    let within = differences(before, after, |figures| 100.0 * figures.within);
    let extra = differences(before, after, |figures| 100.0 * figures.extra);
    let affected = differences(before, after, |figures| figures.affected);
    let routes = 0..case.routes.len();
    let highs = routes.map(|route| {
        let high = |figures: &Figures| 100.0 * figures.latencies[route].1.ln();
        show(&differences(before, after, high))
    });
    println!(
        "| {} | {:?}, {} voters | {} | {} | {} | {} |",
        case.name,
        policy.estimator,
        policy.voters,
        show(&within),
        highs.collect::<Vec<_>>().join(", "),
        show(&extra),
        show(&affected),
    );
}

/// Prints the figures of all cases. Two runs at a time.
#[test]
#[ignore = "a measurement, several minutes"]
fn seeds_held_out_from_the_choice_of_constants() {
    let mut cases = cases::equal();
    cases.extend(cases::degraded());
    cases.extend(cases::mild());
    let (first, second) = cases.split_at(cases.len() / 2);
    let all = thread::scope(|scope| {
        let run_all = |cases: &[Case]| cases.iter().map(run).collect::<Vec<_>>();
        let handle = scope.spawn(move || run_all(first));
        let rest = run_all(second);
        let mut all = handle.join().expect("a finished run");
        all.extend(rest);
        all
    });
    for (case, policies) in cases.iter().zip(&all) {
        for (policy, (pooled, _)) in POLICIES.iter().zip(policies) {
            print(case, *policy, pooled);
        }
    }
    for (case, policies) in cases.iter().zip(&all) {
        let (_, before) = &policies[0];
        for (policy, (_, after)) in POLICIES.iter().zip(policies).skip(1) {
            print_differences(case, *policy, before, after);
        }
    }
}
