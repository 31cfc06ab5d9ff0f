//! Checks how many requests of accounts with a quota ran.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use wagtailbeam_decision::name::Name;
use wagtailbeam_platform::encode::Account;

/// Length of the windows in which requests are counted.
pub const WINDOW: Duration = Duration::from_secs(5);

/// Share of the quota that hosts may admit in addition.
pub const OVERAGE: f64 = 0.1;

/// Requests in a window that hosts may admit in addition.
pub const SLACK: f64 = 20.0;

/// Time for which a larger quota counts after a lower one was confirmed.
pub const LOWERED_LAG: Duration = Duration::from_secs(4);

/// The settings of entry hosts that give them this tolerance.
pub fn settings() -> String {
    let window = WINDOW.as_secs();
    format!("[quota]\noverage = {OVERAGE}\nslack = {SLACK}\nwindow = {window}s\n")
}

/// A quota that hosts may have applied in a time.
#[derive(Clone, Copy, Debug)]
struct Quota {
    rate: f64,
    burst: f64,
    /// When it was sent to a voter.
    sent: Instant,
    /// When a configuration without it was confirmed.
    replaced: Option<Instant>,
}

impl Quota {
    /// Most requests in a window.
    fn bound(&self) -> f64 {
        let due = self.rate * WINDOW.as_secs_f64() + self.burst;
        due * (1.0 + OVERAGE) + SLACK
    }
}

/// The window that is nearest to its bound, or furthest beyond it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fullest {
    /// Requests that ran in the window.
    pub requests: usize,
    /// Most requests that may run in it.
    pub bound: f64,
}

/// Quotas of an account, and when its requests ran.
#[derive(Debug, Default)]
struct Usage {
    quotas: Vec<Quota>,
    /// When each request first ran, by its id.
    runs: BTreeMap<String, Instant>,
}

/// Quotas of all accounts that have one.
#[derive(Debug, Default)]
pub struct Quotas {
    usages: BTreeMap<Name, Usage>,
}

impl Quotas {
    /// Records that a configuration with these accounts is sent.
    pub fn declare(&mut self, accounts: &[Account]) {
        for account in accounts.iter().filter(|account| account.rate > 0.0) {
            let usage = self.usages.entry(account.name.clone()).or_default();
            usage.declare(account);
        }
    }

    /// Records that a configuration with these accounts is confirmed.
    pub fn confirm(&mut self, accounts: &[Account]) {
        for account in accounts {
            if let Some(usage) = self.usages.get_mut(&account.name) {
                usage.confirm(account);
            }
        }
    }

    /// Records that a request of an account runs at a replica.
    pub fn record_run(&mut self, account: &Name, request: &str) {
        if let Some(usage) = self.usages.get_mut(account) {
            let runs = &mut usage.runs;
            runs.entry(request.to_owned()).or_insert_with(Instant::now);
        }
    }

    /// The fullest window of each account. `applied_until` tells until when hosts may apply a quota
    /// that was replaced at a time.
    pub fn fullest(
        &self,
        applied_until: impl Fn(Instant) -> Instant,
    ) -> impl Iterator<Item = (&Name, Fullest)> {
        self.usages.iter().filter_map(move |(account, usage)| {
            let fullest = usage.fullest(&applied_until)?;
            Some((account, fullest))
        })
    }
}

impl Usage {
    fn declare(&mut self, account: &Account) {
        let last = self.quotas.last();
        let same = last.is_some_and(|last| last.rate == account.rate && last.replaced.is_none());
        if !same {
            self.quotas.push(Quota {
                rate: account.rate,
                burst: account.burst,
                sent: Instant::now(),
                replaced: None,
            });
        }
    }

    fn confirm(&mut self, account: &Account) {
        let others = self.quotas.iter_mut();
        for quota in others.filter(|quota| quota.rate != account.rate) {
            quota.replaced.get_or_insert_with(Instant::now);
        }
    }

    /// The window with the greatest share of its bound; none if nothing ran.
    fn fullest(&self, applied_until: impl Fn(Instant) -> Instant) -> Option<Fullest> {
        let mut times = self.runs.values().copied().collect::<Vec<_>>();
        times.sort_unstable();
        let windows = times.iter().enumerate().map(|(index, start)| {
            let end = times.partition_point(|at| *at < *start + WINDOW);
            Fullest {
                requests: end - index,
                bound: self.bound(*start, &applied_until),
            }
        });
        let share = |window: &Fullest| window.requests as f64 / window.bound;
        windows.max_by(|a, b| share(a).total_cmp(&share(b)))
    }

    /// The bound of the greatest quota that may have been applied in the window from `start`.
    fn bound(&self, start: Instant, applied_until: impl Fn(Instant) -> Instant) -> f64 {
        let end = start + WINDOW;
        let applied = self.quotas.iter().filter(|quota| {
            let replaced = quota.replaced.map(&applied_until);
            quota.sent < end && replaced.is_none_or(|until| until > start)
        });
        applied.map(Quota::bound).fold(0.0, f64::max)
    }
}
