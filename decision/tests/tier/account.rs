//! Lookup of client accounts, and their priorities.

use std::sync::Arc;

use wagtailbeam_decision::account::Account;
use wagtailbeam_decision::account::Credential;
use wagtailbeam_decision::account::Directory;
use wagtailbeam_decision::account::Fault;
use wagtailbeam_decision::account::Identity;
use wagtailbeam_decision::account::suspension::Suspension;
use wagtailbeam_decision::catalog::Repeat;
use wagtailbeam_decision::catalog::Route;
use wagtailbeam_decision::catalog::Target;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::name::Name;

fn key(text: &str) -> Credential {
    Credential::Key(Digest::of(text.as_bytes()))
}

fn account(name: &str, keys: &[&str]) -> Account {
    let keys = keys.iter().map(|key| Digest::of(key.as_bytes()));
    Account {
        name: name.into(),
        keys: keys.collect(),
        ..Account::default()
    }
}

/// Name of the account that a request is attributed to, `-` for an anonymous and `?` for a refused
/// one.
fn attribution(directory: &Directory, open: bool, credential: Credential) -> String {
    match directory.identify(open, credential) {
        Identity::Account(account) => account.name.to_string(),
        Identity::Anonymous => "-".to_owned(),
        Identity::Unknown => "?".to_owned(),
    }
}

/// Guards against routes that take requests without a known key, and against tiers without accounts
/// that refuse any.
#[test]
fn routes_need_a_known_key_unless_they_are_open_or_no_accounts_are_declared() {
    let accounts = [account("acme", &["k1", "k2"]), account("idle", &[])];
    let declared = Directory::new(accounts).expect("sound accounts");
    let none_left = Directory::new([]).expect("no accounts");
    let undeclared = Directory::default();
    let credentials = [key("k1"), key("k2"), key("k9"), Credential::Unusable];
    let row = |directory: &Directory, open| {
        credentials.map(|credential| attribution(directory, open, credential))
    };
    assert_eq!(row(&declared, false), ["acme", "acme", "?", "?"]);
    assert_eq!(row(&declared, true), ["acme", "acme", "-", "-"]);
    assert_eq!(row(&none_left, false), ["?", "?", "?", "?"]);
    assert_eq!(row(&undeclared, false), ["-", "-", "-", "-"]);
}

/// Guards against a withdrawn key that is still known by a newer configuration.
#[test]
fn a_key_that_moves_to_another_account_names_that_one_only() {
    let before = Directory::new([account("acme", &["k1"]), account("apex", &["k2"])]);
    let after = Directory::new([account("acme", &[]), account("apex", &["k2", "k1"])]);
    let holder = |directory: Result<Directory, Fault>| {
        attribution(&directory.expect("sound accounts"), false, key("k1"))
    };
    assert_eq!(
        (holder(before), holder(after)),
        ("acme".into(), "apex".into())
    );
}

/// One key twice at the same account is no conflict.
#[test]
fn a_key_may_be_listed_twice_at_one_account_only() {
    let once = Directory::new([account("acme", &["k1", "k1"])]);
    assert!(once.is_ok());
    let shared = Directory::new([account("acme", &["k1"]), account("apex", &["k1"])]);
    let (first, second) = (Name::from("acme"), Name::from("apex"));
    assert_eq!(shared, Err(Fault::SharedKey { first, second }));
}

/// Guards against an account's priority that is lost, or that changes the route of others.
#[test]
fn an_accounts_priority_replaces_the_routes_one_in_a_copy() {
    let route = Arc::new(Route {
        name: "match".into(),
        host: "desk.example".into(),
        prefix: "/match/".into(),
        repeat: Repeat::Idempotent,
        timeout: Span::from_ms(800),
        objective: Span::from_ms(120),
        priority: 2,
        open: false,
        attempts_max: 2,
        target: Target::Weighted(vec![("gate".into(), 1.0)]),
    });
    let urgent = route.clone().with_priority(Some(0));
    assert_eq!((urgent.priority, route.priority), (0, 2));
    let unchanged = route.clone().with_priority(None);
    assert!(Arc::ptr_eq(&unchanged, &route));
}

/// Guards against a resumed host that takes the keys of its earlier configuration at once, and
/// against one that refuses keys for good or while it is merely busy.
#[test]
fn a_resumed_host_takes_no_keys_for_a_short_time() {
    let at = |ms: u64| Time::from_us(ms * 1_000);
    let mut suspension = Suspension::new(at(0));
    for ms in [400, 800, 2_700] {
        suspension.step(at(ms));
        assert!(!suspension.keys_may_be_outdated(at(ms)), "{ms}");
    }
    suspension.step(at(4_700));
    assert!(suspension.keys_may_be_outdated(at(4_700)));
    suspension.step(at(5_100));
    assert!(suspension.keys_may_be_outdated(at(5_199)));
    assert!(!suspension.keys_may_be_outdated(at(5_200)));
}
