//! Quotas of client accounts, kept by homes.

mod bound;
mod gate;
mod messages;
mod model;
mod overview;
mod settled;
mod single;
mod trace;

use std::net::SocketAddr;
use std::sync::Arc;

use wagtailbeam_decision::account::Account;
use wagtailbeam_decision::account::Directory;
use wagtailbeam_decision::account::Quota;
use wagtailbeam_decision::account::home::Terms;
use wagtailbeam_decision::account::quota::Gate;
use wagtailbeam_decision::account::quota::Settings;
use wagtailbeam_decision::plan::Host;

const DOMAINS: [&str; 3] = ["east", "north", "west"];

/// The host with this index; the domains alternate.
fn host(index: usize) -> Host {
    Host {
        address: SocketAddr::from(([10, 0, 0, 1 + index as u8], 7_381)),
        domain: DOMAINS[index % DOMAINS.len()].into(),
    }
}

fn hosts(count: usize) -> Vec<Host> {
    (0..count).map(host).collect()
}

fn terms() -> Terms {
    Terms {
        domains: DOMAINS.map(Into::into).to_vec(),
        overage: 0.1,
        slack: 20.0,
    }
}

fn account(name: &str, rate: f64, burst: f64) -> Account {
    Account {
        name: name.into(),
        quota: (rate > 0.0).then_some(Quota { rate, burst }),
        ..Account::default()
    }
}

fn directory(accounts: &[Account]) -> Directory {
    Directory::new(accounts.iter().cloned()).expect("sound accounts")
}

fn shared(account: &Account) -> Arc<Account> {
    Arc::new(account.clone())
}

fn gate(own: Host, seed: u64) -> Gate {
    Gate::new(Settings {
        own,
        terms: terms(),
        seed,
    })
}
