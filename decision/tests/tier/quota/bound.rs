//! The bound on each account's requests, and the share of the due ones that run.

use std::collections::BTreeSet;

use wagtailbeam_decision::account::Quota;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::quota::Bucket;
use wagtailbeam_decision::quota::Need;
use wagtailbeam_decision::quota::Share;

use super::DOMAINS;
use super::account;
use super::model::Demand;
use super::model::Model;
use super::model::Spread;
use super::terms;
use super::trace;

/// Length of the windows in which requests are counted.
const WINDOW: Span = Span::from_secs(5);

/// Longest time until all hosts in contact know a lowered quota.
const SPREAD_MAX: Span = Span::from_secs(4);

const STEPS: u64 = 1_000_000;

/// Position of the account whose quota changes.
const CHANGING: usize = 4;

/// A quota and the time from which it is in force.
type Epoch = (Time, Quota);

fn bound(quota: Quota) -> f64 {
    let terms = terms();
    let due = quota.rate * WINDOW.as_us() as f64 / 1e6 + quota.burst;
    due * (1.0 + terms.overage) + terms.slack
}

/// The window nearest to its bound: requests in it, and the bound. A quota counts in windows that
/// begin until [`SPREAD_MAX`] after its end.
fn worst(ran: &[Time], epochs: &[Epoch]) -> (usize, f64) {
    let mut worst = (0, 1.0);
    let mut first = 0;
    for (last, end) in ran.iter().enumerate() {
        while end.since(ran[first]) >= WINDOW {
            first += 1;
        }
        let from = ran[first];
        let in_force = epochs.iter().enumerate().filter(|(index, (since, _))| {
            let until = epochs
                .get(index + 1)
                .map(|(next, _)| next.after(SPREAD_MAX));
            *since <= *end && until.is_none_or(|until| until > from)
        });
        let allowed = in_force.map(|(_, (_, quota))| bound(*quota));
        let allowed = allowed.fold(0.0, f64::max);
        let count = last + 1 - first;
        if count as f64 / allowed > worst.0 as f64 / worst.1 {
            worst = (count, allowed);
        }
    }
    worst
}

/// Requests that an exact token bucket for all hosts together grants.
fn due(came: &[Time], quota: Quota) -> usize {
    let share = Share {
        rate: quota.rate,
        burst: quota.burst,
    };
    let mut bucket = Bucket::holding(Time::default(), share, share.burst);
    let mut granted = 0;
    for at in came {
        if bucket.allows(*at, Need::Urgent) {
            bucket.take(*at);
            granted += 1;
        }
    }
    granted
}

/// Requests that equal shares of `hosts` hosts grant.
fn by_equal_shares(came: &[Time], quota: Quota, hosts: usize, spread: Spread) -> usize {
    let count = hosts as f64;
    let share = Share {
        rate: quota.rate / count,
        burst: (quota.burst / count).max(1.0),
    };
    let mut buckets = vec![Bucket::new(Time::default(), share); hosts];
    let mut granted = 0;
    for at in came {
        let key = match spread {
            Spread::Even | Spread::Bursts => at.as_us(),
            Spread::Moving => at.as_us() / 1_000_000,
        };
        let mixed = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let bucket = &mut buckets[mixed as usize % hosts];
        if bucket.allows(*at, Need::Urgent) {
            bucket.take(*at);
            granted += 1;
        }
    }
    granted
}

fn busy(name: &str, spread: Spread, sent: f64) -> Demand {
    Demand::new(account(name, 20.0, 20.0), sent, spread)
}

/// Guards against a quota of which hosts grant only the part that is kept where the requests are.
#[test]
fn nearly_all_of_a_quota_can_be_used_through_any_host() {
    let hosts = 30;
    for (spread, goal) in [(Spread::Even, 0.95), (Spread::Moving, 0.9)] {
        for sent in [18.0, 30.0, 100.0] {
            let demand = busy("busy", spread, sent);
            let mut model = Model::new(hosts, hosts, vec![demand], 5);
            model.run(Span::from_secs(300));
            let demand = &model.demands[0];
            let quota = demand.account.quota.expect("a quota");
            let due = due(&demand.came, quota) as f64;
            let granted = demand.ran.len() as f64 / due;
            let equal = by_equal_shares(&demand.came, quota, hosts, spread) as f64 / due;
            let (most, allowed) = worst(&demand.ran, &[(Time::default(), quota)]);
            println!(
                "{spread:?}, {sent} sent per second: {granted:.3} of the due requests ran, {equal:.3} with equal shares; largest sum {most} of {allowed}"
            );
            assert!(granted >= goal, "{granted} of the due requests");
            assert!(most as f64 <= allowed);
        }
    }
}

/// Faults that the model injects, one at a time or overlapping.
fn disturb(model: &mut Model, cut: &mut BTreeSet<usize>, turn: u64) {
    let hosts = model.hosts() as u64;
    let at = model.below(hosts) as usize;
    let time = Span::from_ms(200 + model.below(12_000));
    match model.below(10) {
        0 => model.kill(at),
        1 => {
            model.kill(at);
            model.start(at);
        }
        2 | 3 => model.freeze(at, time),
        4 => model.cut_voters(at, true),
        5 => {
            cut.insert(at);
        }
        6 => {
            let domain = model.below(DOMAINS.len() as u64) as usize;
            *cut = (0..model.hosts())
                .filter(|index| index % DOMAINS.len() == domain)
                .collect();
        }
        7 => model.majority = false,
        8 => {
            for host in 0..model.hosts() {
                model.kill(host);
                model.start(host);
                model.run(Span::from_ms(80));
            }
        }
        _ => {}
    }
    model.cut(cut);
    if turn.is_multiple_of(4) {
        cut.clear();
        model.cut(cut);
        model.majority = true;
        for host in 0..model.hosts() {
            model.cut_voters(host, false);
            model.start(host);
        }
    }
}

/// Guards against hosts that together grant more than a quota: a burst granted again after a
/// restart or by a successor, a home beside its successor, tokens of repeated messages, shares
/// larger than the quota after it is lowered.
#[test]
fn no_window_holds_more_than_the_bound_under_faults() {
    for seed in [11, 12, 13] {
        check_bound(seed);
    }
}

fn check_bound(seed: u64) {
    let mut demands = vec![
        busy("even", Spread::Even, 70.0),
        busy("moving", Spread::Moving, 70.0),
        Demand::new(account("small", 2.0, 4.0), 20.0, Spread::Moving),
        Demand::new(account("bursts", 4.0, 60.0), 90.0, Spread::Bursts),
    ];
    demands.push(Demand::new(
        account("changing", 40.0, 10.0),
        90.0,
        Spread::Even,
    ));
    let mut model = Model::new(36, 30, demands, seed);
    model.faults = [10, 10, 20];
    let quotas = |model: &Model| {
        let quotas = model
            .demands
            .iter()
            .map(|demand| demand.account.quota.expect("a quota"));
        quotas.collect::<Vec<_>>()
    };
    let first = quotas(&model);
    let mut epochs = first
        .into_iter()
        .map(|quota| vec![(Time::default(), quota)])
        .collect::<Vec<Vec<Epoch>>>();
    let mut cut = BTreeSet::new();
    let mut turn = 0;
    while model.steps < STEPS {
        turn += 1;
        let pause = Span::from_ms(200 + model.below(4_000));
        model.run(pause);
        disturb(&mut model, &mut cut, turn);
        if turn % 6 == 0 && model.majority && cut.is_empty() {
            let rate = [40.0, 5.0, 20.0, 1.0][model.below(4) as usize];
            let quota = Quota { rate, burst: 10.0 };
            model.demands[CHANGING].account.quota = Some(quota);
            epochs[CHANGING].push((model.now, quota));
            // Hosts that are cut off before they learn of a lowered quota keep the earlier one.
            model.run(Span::from_secs(2));
        }
    }
    println!(
        "seed {seed}: {} steps, {} s",
        model.steps,
        model.now.as_us() / 1_000_000
    );
    let mut failed = Vec::new();
    for (demand, epochs) in model.demands.iter().zip(&epochs) {
        let (most, allowed) = worst(&demand.ran, epochs);
        let name = &demand.account.name;
        println!("{name}: largest sum {most} of {allowed}");
        println!(
            "{name}: {} ran, {} refused, {} unavailable",
            demand.ran.len(),
            demand.refused,
            demand.unavailable
        );
        if let [(_, quota)] = epochs[..] {
            let share = demand.ran.len() as f64 / due(&demand.came, quota) as f64;
            println!("{name}: {share:.3} of the due requests ran");
        }
        if most as f64 > allowed {
            failed.push(demand.account.name.clone());
        }
    }
    assert!(
        failed.is_empty(),
        "seed {seed}: beyond the bound: {failed:?}"
    );
}

/// Cuts a domain off, and takes the voters' majority this long after the domain is back.
fn lose_majority_after_return(model: &mut Model, gap: Span) {
    let domain = (0..model.hosts()).filter(|index| index % DOMAINS.len() == 0);
    model.cut(&domain.collect());
    model.run(Span::from_secs(4));
    model.cut(&BTreeSet::new());
    model.run(gap);
    model.majority = false;
    model.run(Span::from_secs(12));
}

/// The largest sum of the only account, if it is beyond the bound.
fn beyond(model: &Model, seed: u64) -> Option<(u64, usize)> {
    let demand = &model.demands[0];
    let quota = demand.account.quota.expect("a quota");
    let (most, allowed) = worst(&demand.ran, &[(Time::default(), quota)]);
    println!("seed {seed}: largest sum {most} of {allowed}");
    trace::print(demand, WINDOW);
    (most as f64 > allowed).then_some((seed, most))
}

/// Guards against a domain whose hosts know lists of different age, and so several homes of an
/// account, while the voters can't tell them: a cut-off domain comes back just before the majority
/// is lost.
#[test]
fn no_window_holds_more_than_the_bound_after_a_cut_domain_returns_before_the_majority_is_lost() {
    let mut failed = Vec::new();
    for seed in 1..=6 {
        let demand = busy("even", Spread::Even, 70.0);
        let mut model = Model::new(36, 36, vec![demand], seed);
        model.run(Span::from_secs(5));
        lose_majority_after_return(&mut model, Span::from_ms(270));
        failed.extend(beyond(&model, seed));
    }
    assert_eq!(failed, []);
}

/// Guards against several homes of an account that add to a burst which is saved up when the domain
/// is back.
#[test]
fn no_window_holds_more_than_the_bound_if_an_idle_account_returns_with_the_domain() {
    let mut failed = Vec::new();
    for seed in 1..=6 {
        for gap in [100, 270, 400, 1_000] {
            let demand = busy("bursts", Spread::Bursts, 70.0);
            let mut model = Model::new(36, 36, vec![demand], seed);
            model.run(Span::from_ms(20_900));
            lose_majority_after_return(&mut model, Span::from_ms(gap));
            failed.extend(beyond(&model, seed));
        }
    }
    assert_eq!(failed, []);
}

/// Cuts some hosts of each domain off together, from the voters and from all others.
fn cut_some(model: &mut Model, hundredths: u64) -> BTreeSet<usize> {
    let mut cut = BTreeSet::new();
    while (cut.len() as u64) * 100 < model.hosts() as u64 * hundredths {
        cut.insert(model.below(model.hosts() as u64) as usize);
    }
    model.cut(&cut);
    cut
}

/// Guards against a home that is cut off together with other hosts and grants them the whole of its
/// part beside its successor, on the other side of the cut.
#[test]
fn no_window_holds_more_than_the_bound_while_hosts_are_cut_off_with_their_home() {
    let mut failed = Vec::new();
    for seed in 1..=20 {
        for (hundredths, spread) in [
            (30, Spread::Even),
            (50, Spread::Even),
            (70, Spread::Even),
            (30, Spread::Moving),
            (50, Spread::Bursts),
        ] {
            let mut model = Model::new(36, 36, vec![busy("busy", spread, 70.0)], seed);
            model.run(Span::from_ms(20_900));
            for _ in 0..3 {
                cut_some(&mut model, hundredths);
                model.run(Span::from_secs(10));
                model.cut(&BTreeSet::new());
                model.run(Span::from_secs(6));
            }
            failed.extend(beyond(&model, seed));
        }
    }
    assert_eq!(failed, []);
}
