//! Counts of requests by account and of refused keys.

use std::collections::BTreeMap;

use wagtailbeam_decision::account::Account;
use wagtailbeam_decision::account::Directory;
use wagtailbeam_decision::account::refusals::Refusals;
use wagtailbeam_decision::account::refusals::Refused;
use wagtailbeam_decision::account::usage::Counts;
use wagtailbeam_decision::account::usage::LISTED_MAX;
use wagtailbeam_decision::account::usage::OTHER;
use wagtailbeam_decision::account::usage::Usage;
use wagtailbeam_decision::account::usage::Verdict;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::name::Name;

/// The series that a collector sees.
#[derive(Default)]
struct Series(BTreeMap<Name, u64>);

impl Series {
    fn record(&mut self, usage: &mut Usage, account: &Name) {
        let listing = usage.record(account, Verdict::Admitted);
        if let Some(displaced) = listing.displaced {
            self.merge(&displaced);
        }
        let label = match listing.by_name {
            true => account.clone(),
            false => OTHER.into(),
        };
        *self.0.entry(label).or_default() += 1;
    }

    fn merge(&mut self, account: &Name) {
        let count = self.0.remove(account).unwrap_or_default();
        *self.0.entry(OTHER.into()).or_default() += count;
    }
}

fn name(index: usize) -> Name {
    format!("account-{index:05}").as_str().into()
}

fn directory(names: impl IntoIterator<Item = Name>) -> Directory {
    let accounts = names.into_iter().map(|name| Account {
        name,
        ..Account::default()
    });
    Directory::new(accounts).expect("sound accounts")
}

/// Guards against one series for each account, against large accounts that are hidden among the
/// others because they came late, and against requests that are lost when the list changes.
#[test]
fn the_largest_accounts_are_listed_and_the_rest_is_summed_up() {
    let (mut usage, mut series) = (Usage::default(), Series::default());
    (0..10_000).for_each(|index| series.record(&mut usage, &name(index)));
    for round in 0..100 {
        for index in 9_980..10_000 {
            series.record(&mut usage, &name(index));
        }
        series.record(&mut usage, &name(round));
    }
    assert_eq!(series.0.len(), LISTED_MAX + 1);
    let large = (9_980..10_000).all(|index| series.0.contains_key(&name(index)));
    assert!(large, "{:?}", series.0);
    assert_eq!(series.0.values().sum::<u64>(), 10_000 + 21 * 100);
}

/// Guards against accounts of equal size that replace each other with each request.
#[test]
fn accounts_of_equal_size_do_not_displace_each_other() {
    let mut usage = Usage::default();
    let mut displaced = 0;
    for round in 0..1_000 {
        for index in 0..LISTED_MAX + 1 {
            // The first of one round is the last of the next, and so ahead of the others by turns.
            let index = if round % 2 == 0 {
                index
            } else {
                LISTED_MAX - index
            };
            let listing = usage.record(&name(index), Verdict::Admitted);
            displaced += usize::from(listing.displaced.is_some() && round > 20);
        }
    }
    assert_eq!(displaced, 0);
}

/// Guards against an account whose series can't be told from the sum of the others.
#[test]
fn an_account_that_is_called_like_the_sum_is_part_of_it() {
    let mut usage = Usage::default();
    let listing = usage.record(&OTHER.into(), Verdict::Refused);
    assert!(!listing.by_name);
    assert_eq!(usage.counts(OTHER).refused, 1);
}

/// Guards against memory that grows with each account that ever existed, and against series of
/// removed accounts that take the places of others.
#[test]
fn removed_accounts_are_forgotten() {
    let mut usage = Usage::default();
    for index in 0..100 {
        usage.record(&name(index), Verdict::Admitted);
    }
    let dropped = usage.retain(&directory((10..100).map(name)));
    assert_eq!(dropped, (0..10).map(name).collect::<Vec<_>>());
    assert_eq!(usage.len(), 90);
    assert_eq!(usage.counts(&name(0)), Counts::default());
    assert!(usage.record(&name(99), Verdict::Admitted).by_name);
}

/// Guards against a line for each refused key, and against refusals that no line counts.
#[test]
fn refused_keys_leave_one_line_a_second_that_counts_them_all() {
    let mut refusals = Refusals::default();
    let refused = Refused {
        request: "r".into(),
        route: None,
    };
    let mut lines = Vec::new();
    let at = |us: u64| Time::default().after(Span::from_us(us));
    for index in 0..100_000 {
        lines.extend(refusals.record(at(index * 100), refused.clone()));
    }
    lines.extend(refusals.take(at(10_999_000)));
    assert_eq!(lines.len(), 11);
    let counted = lines.iter().map(|line| line.refusals).sum::<u64>();
    assert_eq!(counted, 100_000);
    assert_eq!(refusals.take(at(20_000_000)), None);
}
