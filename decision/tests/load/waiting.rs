//! What callers see while parts wait for capacity, with the order of earlier builds and with the
//! present one.

use std::collections::BTreeMap;
use std::ops::Range;

use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::load::capacity::Estimator;
use wagtailbeam_decision::load::waiting::Discipline;

use crate::arrivals::End;
use crate::arrivals::Outcome;
use crate::patterns;
use crate::quantile;
use crate::replay::Policy;
use crate::replay::Replay;
use crate::seconds;
use crate::setup::Case;

/// Seeds of the runs of a pattern; figures are over all of them.
const SEEDS: [u64; 3] = [11, 12, 13];

/// Size and load of an account.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Kind {
    All,
    Hot,
    Large,
    Small,
}

/// Figures of a group of accounts, or of all requests.
#[derive(Clone, Debug, Default)]
struct Figures {
    offered: f64,
    within: f64,
    answered: f64,
    refused: f64,
    /// Time until the first call was sent, in milliseconds, sorted.
    waited: Vec<f64>,
    /// Requests, and those within the objective, by account.
    accounts: BTreeMap<usize, (f64, f64)>,
}

type Groups = BTreeMap<(Kind, Option<u32>), Figures>;

impl Figures {
    fn add(&mut self, case: &Case, outcome: &Outcome) {
        let answered = outcome.end == End::Answered;
        let within = answered && outcome.took <= case.routes[outcome.route].objective;
        let one = |counted: bool| f64::from(u8::from(counted));
        self.offered += 1.0;
        self.answered += one(answered);
        self.within += one(within);
        self.refused += one(outcome.end == End::Refused);
        self.waited.push(outcome.waited.as_us() as f64 / 1e3);
        let account = self.accounts.entry(outcome.client.unwrap_or_default());
        let account = account.or_default();
        account.0 += 1.0;
        account.1 += one(within);
    }

    /// Share of the requests that were answered within the objective.
    fn within_share(&self) -> f64 {
        self.within / self.offered
    }

    /// The least such share of an account.
    fn worst(&self) -> f64 {
        let shares = self.accounts.values().map(|(all, within)| within / all);
        shares.fold(1.0, f64::min)
    }
}

fn kind(case: &Case, client: usize) -> Kind {
    match client {
        client if patterns::is_hot(case, client) => Kind::Hot,
        client if client < patterns::LARGE => Kind::Large,
        _ => Kind::Small,
    }
}

fn counted() -> Range<Time> {
    let (from, until) = patterns::SURGE;
    seconds(from)..seconds(until).after(patterns::AFTER)
}

fn measure(case: &Case, discipline: Discipline) -> Groups {
    let policy = Policy {
        estimator: Estimator::default(),
        voters: 0,
        discipline,
    };
    let mut groups = Groups::new();
    for seed in SEEDS {
        let replay = Replay::run(case.clone(), policy, seed);
        let outcomes = replay.outcomes.iter();
        for outcome in outcomes.filter(|outcome| counted().contains(&outcome.started)) {
            let client = outcome.client.unwrap_or_default();
            let priority = case.clients[client].priority;
            let keys = [(Kind::All, None), (kind(case, client), Some(priority))];
            for key in keys {
                groups.entry(key).or_default().add(case, outcome);
            }
        }
    }
    for figures in groups.values_mut() {
        figures.waited.sort_by(f64::total_cmp);
    }
    groups
}

fn print(case: &Case, discipline: Discipline, groups: &Groups) {
    for ((kind, priority), figures) in groups {
        let percent = |part: f64| 100.0 * part / figures.offered;
        let priority = priority.map_or("all".to_owned(), |priority| priority.to_string());
        println!(
            "| {} | {discipline:?} | {kind:?} | {priority} | {} | {:.1} | {:.1} | {:.1} | {:.0}/{:.0} | {:.0} |",
            case.name,
            figures.offered,
            percent(figures.within),
            percent(figures.answered),
            percent(figures.refused),
            quantile(&figures.waited, 0.5),
            quantile(&figures.waited, 0.99),
            100.0 * figures.worst(),
        );
    }
}

/// Runs a pattern with both orders, the earlier one first.
fn compare(case: &Case) -> [Groups; 2] {
    [Discipline::Timers, Discipline::Fair].map(|discipline| {
        let groups = measure(case, discipline);
        print(case, discipline, &groups);
        groups
    })
}

/// Largest loss of answers in time of a group that is taken for chance, as a share of its requests.
const TOLERANCE: f64 = 0.005;

/// Least share of the earlier order's answers, in time or not, that the present one gives. Parts
/// that miss their objective come last, and some of them are then refused.
const ANSWERED_MIN: f64 = 0.98;

/// Groups that must not lose: accounts without a surge of their own among those of the most urgent
/// priority.
fn is_protected(kind: Kind, priority: Option<u32>, groups: &Groups) -> bool {
    let priorities = groups.keys().filter_map(|(_, priority)| *priority);
    let urgent = priority == priorities.min();
    matches!(kind, Kind::Large | Kind::Small) && urgent
}

/// Guards against an order that makes a pattern worse for callers, and against accounts that are
/// late because another sends more than its share.
#[test]
fn waiting_parts_are_served_in_order() {
    println!(
        "| pattern | order | accounts | priority | requests | within objective % | answered % \
         | refused % | waited p50/p99 ms | worst account within % |"
    );
    for case in patterns::all() {
        let [before, after] = compare(&case);
        let all = (Kind::All, None);
        let (old, new) = (&before[&all], &after[&all]);
        assert!(
            new.within >= old.within * (1.0 - TOLERANCE),
            "{}",
            case.name
        );
        assert!(new.answered >= old.answered * ANSWERED_MIN, "{}", case.name);
        for (key, new) in &after {
            if is_protected(key.0, key.1, &after) {
                let least = before[key].within_share() - TOLERANCE;
                assert!(new.within_share() >= least, "{}: {key:?}", case.name);
            }
        }
    }
}
