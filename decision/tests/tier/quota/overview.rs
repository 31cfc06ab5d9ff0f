//! What operators see of accounts at one host.

use wagtailbeam_decision::account::Account;
use wagtailbeam_decision::account::overview::Row;
use wagtailbeam_decision::account::usage::Usage;
use wagtailbeam_decision::account::usage::Verdict;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;

use super::account;
use super::directory;
use super::gate;
use super::hosts;

/// Guards against hosts that claim to be a home although their bucket is elsewhere, against
/// accounts without requests that are left out, and against reports that change a bucket.
#[test]
fn a_row_has_the_hosts_own_counts_and_its_bucket_if_it_is_a_home() {
    let now = Time::default().after(Span::from_secs(10));
    let accounts = [account("limited", 30.0, 30.0), account("open", 0.0, 0.0)];
    let accounts = directory(&accounts);
    let mut usage = Usage::default();
    usage.record(&"limited".into(), Verdict::Admitted);
    usage.record(&"limited".into(), Verdict::Refused);
    let rows = hosts(12).into_iter().map(|own| {
        let mut gate = gate(own, 1);
        gate.configure(Time::default(), &accounts, &hosts(12));
        let first = gate.overview(now, &accounts, &usage);
        assert_eq!(first, gate.overview(now, &accounts, &usage));
        first
    });
    let rows = rows.collect::<Vec<_>>();
    let homes = rows.iter().filter(|rows| rows[0].home).count();
    assert_eq!(homes, super::DOMAINS.len());
    for rows in &rows {
        let [limited, open] = &rows[..] else {
            panic!("{rows:?}");
        };
        assert_eq!((limited.admitted, limited.refused), (1, 1));
        assert_eq!(limited.tokens.is_some(), limited.home);
        let unlimited = Row {
            account: "open".into(),
            ..Row::default()
        };
        assert_eq!(*open, unlimited);
    }
}

/// Guards against rows that tell a key or its digest.
#[test]
fn rows_tell_no_keys() {
    let key = Digest::of(b"key-of-limited");
    let keyed = Account {
        keys: vec![key],
        ..account("limited", 30.0, 30.0)
    };
    let accounts = directory(&[keyed]);
    let mut gate = gate(super::host(0), 1);
    gate.configure(Time::default(), &accounts, &hosts(1));
    let rows = gate.overview(Time::default(), &accounts, &Usage::default());
    let text = format!("{rows:?}");
    assert!(!text.contains(&key.to_string()) && !text.contains("key"));
}
