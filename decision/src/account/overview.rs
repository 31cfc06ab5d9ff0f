//! What one host tells operators of client accounts. It has no keys and no digests of them.

use serde::Deserialize;
use serde::Serialize;

use crate::account::Account;
use crate::account::Directory;
use crate::account::quota::Gate;
use crate::account::usage::Usage;
use crate::clock::Time;
use crate::name::Name;

/// An account as one host sees it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Name of the account.
    pub account: Name,
    /// Priority of its requests; absent if their routes' ones apply.
    pub priority: Option<u32>,
    /// Requests per second over all hosts; absent without a quota.
    pub rate: Option<f64>,
    /// Requests that may come at once beyond the rate; absent without a quota.
    pub burst: Option<f64>,
    /// Requests that this host admitted since its process started.
    pub admitted: u64,
    /// Requests that it refused because the quota was used up.
    pub refused: u64,
    /// Requests that it refused because no home answered or too many requests waited.
    pub unavailable: u64,
    /// Whether this host is a home of the account.
    pub home: bool,
    /// Tokens in its bucket; absent if it is not a home.
    pub tokens: Option<f64>,
}

impl Gate {
    /// All accounts of a directory, by name.
    pub fn overview(&self, now: Time, accounts: &Directory, usage: &Usage) -> Vec<Row> {
        let rows = accounts.accounts();
        rows.map(|account| self.row(now, account, usage)).collect()
    }

    fn row(&self, now: Time, account: &Account, usage: &Usage) -> Row {
        let counts = usage.counts(&account.name);
        let tokens = self.buckets.tokens(now, &account.name);
        Row {
            account: account.name.clone(),
            priority: account.priority,
            rate: account.quota.map(|quota| quota.rate),
            burst: account.quota.map(|quota| quota.burst),
            admitted: counts.admitted,
            refused: counts.refused,
            unavailable: counts.unavailable,
            home: tokens.is_some(),
            tokens,
        }
    }
}
