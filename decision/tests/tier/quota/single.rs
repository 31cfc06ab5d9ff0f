//! Share of a quota that is granted through single faults.

use std::collections::BTreeSet;

use wagtailbeam_decision::account::home::Map;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;

use super::DOMAINS;
use super::account;
use super::host;
use super::hosts;
use super::model::Demand;
use super::model::Model;
use super::model::Spread;
use super::terms;

const HOSTS: usize = 36;

/// Requests per second and burst of the account.
const RATE: f64 = 20.0;

/// Requests per second that it sends.
const SENT: f64 = 70.0;

/// Time before the fault, in which the bursts are used.
const BEFORE: Span = Span::from_secs(12);

/// Time from the fault on in which requests are counted.
const DURING: Span = Span::from_secs(12);

/// Least share of the rate that is granted while one of three homes is silent.
const SHARE_MIN: f64 = 2.0 / 3.0;

/// Least share of the rate that is granted while no home is silent.
const WHOLE_MIN: f64 = 0.95;

/// A model after the bursts are used.
fn model(seed: u64) -> Model {
    let demand = Demand::new(account("busy", RATE, RATE), SENT, Spread::Even);
    let mut model = Model::new(HOSTS, HOSTS, vec![demand], seed);
    model.run(BEFORE);
    model
}

/// Index of the account's home in a domain.
fn home(domain: usize) -> usize {
    let map = Map::new(&terms(), &hosts(HOSTS));
    let home = map.home(&"busy".into(), &DOMAINS[domain].into());
    let mut all = 0..HOSTS;
    all.find(|index| Some(host(*index).address) == home)
        .expect("a home")
}

/// Hosts of a domain.
fn members(domain: usize) -> BTreeSet<usize> {
    let all = 0..HOSTS;
    all.filter(|index| index % DOMAINS.len() == domain)
        .collect()
}

/// Share of the rate that was granted since this time.
fn share(model: &Model, since: Time) -> f64 {
    let ran = &model.demands[0].ran;
    let granted = ran.len() - ran.partition_point(|at| *at < since);
    let time = model.now.since(since).as_us() as f64 / 1e6;
    granted as f64 / (RATE * time)
}

/// Runs a fault with three seeds and checks the share of the rate that is granted from then on.
fn check(fault: &str, least: f64, inject: impl Fn(&mut Model)) {
    for seed in 1..=3 {
        let mut model = model(seed);
        let since = model.now;
        inject(&mut model);
        model.run(DURING);
        let share = share(&model, since);
        println!("{fault}, seed {seed}: {share:.3} of the rate granted");
        assert!(share >= least, "{fault}, seed {seed}: {share}");
    }
}

/// Guards against a home without which more than its third is lost, or for longer than the voters
/// take to name a successor.
#[test]
fn a_quota_can_be_used_after_a_home_is_lost() {
    let third = 1.0 / 3.0;
    let silent = 3.5 / 12.0 * third;
    let least = WHOLE_MIN - silent;
    check("home killed", least, |model| model.kill(home(0)));
    let time = DURING;
    check("home frozen", least, |model| model.freeze(home(0), time));
}

/// Guards against homes that refuse tokens for long after a start.
#[test]
fn a_quota_can_be_used_after_a_restart() {
    check("home restarted", WHOLE_MIN, |model| {
        model.kill(home(0));
        model.start(home(0));
    });
    check("home frozen for 3 s", 0.9, |model| {
        model.freeze(home(0), Span::from_secs(3));
    });
    check("domain restarted", 0.9, |model| {
        for index in members(0) {
            model.kill(index);
            model.start(index);
        }
    });
    check("all hosts restarted", 0.9, |model| {
        for index in 0..HOSTS {
            model.kill(index);
            model.start(index);
        }
    });
}

/// Guards against a part of a quota that nobody grants when a domain is cut off or comes back.
#[test]
fn a_quota_can_be_used_while_and_after_a_domain_is_cut_off() {
    check("domain cut off", WHOLE_MIN, |model| model.cut(&members(0)));
    check("domain back after 4 s", WHOLE_MIN, |model| {
        model.cut(&members(0));
        model.run(Span::from_secs(4));
        model.cut(&BTreeSet::new());
    });
}

/// Guards against homes that fall silent one after another while the majority is lost for good.
#[test]
fn a_quota_can_be_used_while_the_majority_is_lost() {
    check("majority lost", WHOLE_MIN, |model| model.majority = false);
    check("majority lost for 5 min", WHOLE_MIN, |model| {
        model.majority = false;
        model.run(Span::from_secs(300));
    });
    check("majority lost, homes frozen in turn", SHARE_MIN, |model| {
        model.majority = false;
        model.run(Span::from_secs(4));
        for domain in 0..DOMAINS.len() {
            model.freeze(home(domain), Span::from_secs(3));
            model.run(Span::from_secs(5));
        }
    });
    check("majority lost as a domain is back", SHARE_MIN, |model| {
        model.cut(&members(0));
        model.run(Span::from_secs(4));
        model.cut(&BTreeSet::new());
        model.run(Span::from_ms(270));
        model.majority = false;
    });
    check("majority lost after a restart", SHARE_MIN, |model| {
        model.kill(home(0));
        model.start(home(0));
        model.run(Span::from_ms(500));
        model.majority = false;
    });
    check(
        "majority lost, a home killed",
        SHARE_MIN * WHOLE_MIN,
        |model| {
            model.majority = false;
            model.run(Span::from_secs(1));
            model.kill(home(0));
        },
    );
}
