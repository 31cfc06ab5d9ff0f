//! Requests of client accounts at one host, and the accounts that metrics list by name.
//!
//! A configuration may have 10,000 accounts, and each name in a metric costs the collector a series
//! for good. Metrics therefore list few accounts by name and sum up the others.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::account::Directory;
use crate::name::Name;

/// Most accounts that are listed by name.
pub const LISTED_MAX: usize = 20;

/// Label of the sum over the accounts that are not listed; an account of this name is not listed.
pub const OTHER: &str = "other";

/// An account takes the place of the listed one with the fewest requests once it has this part more,
/// as a divisor, and at least [`LEAD_MIN`] more. Otherwise two accounts with equal traffic would
/// replace each other all the time.
const LEAD_DIVISOR: u64 = 16;

/// Least lead in requests.
const LEAD_MIN: u64 = 1;

/// What became of a request of an account.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Verdict {
    /// It was within the account's quota, or the account has none.
    #[display("admitted")]
    Admitted,
    /// The quota was used up.
    #[display("refused")]
    Refused,
    /// No home of the account answered, or too many requests wait for tokens.
    #[display("unavailable")]
    Unavailable,
}

/// Requests of an account by verdict, since the host's process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused for the quota.
    pub refused: u64,
    /// Requests refused because the state of the quota was not known.
    pub unavailable: u64,
}

impl Counts {
    /// All requests.
    pub fn total(&self) -> u64 {
        self.admitted + self.refused + self.unavailable
    }

    fn add(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Admitted => self.admitted += 1,
            Verdict::Refused => self.refused += 1,
            Verdict::Unavailable => self.unavailable += 1,
        }
    }
}

/// How metrics count a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// Whether its account is listed by name.
    pub by_name: bool,
    /// The account that is no longer listed; its series goes to the others.
    pub displaced: Option<Name>,
}

/// Requests by account.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    counts: BTreeMap<Name, Counts>,
    listed: Vec<Name>,
}

impl Usage {
    /// Counts a request.
    pub fn record(&mut self, account: &Name, verdict: Verdict) -> Listing {
        let counts = self.counts.entry(account.clone()).or_default();
        counts.add(verdict);
        let total = counts.total();
        if self.listed.contains(account) {
            return Listing {
                by_name: true,
                displaced: None,
            };
        }
        self.list(account, total)
    }

    /// Lists an account if there is room, or in place of the one with the fewest requests.
    fn list(&mut self, account: &Name, total: u64) -> Listing {
        if **account == *OTHER {
            return Listing::default();
        }
        let displaced = match self.listed.len() < LISTED_MAX {
            true => None,
            false => match self.fewest() {
                Some((at, fewest)) if total > fewest + (fewest / LEAD_DIVISOR).max(LEAD_MIN) => {
                    Some(self.listed.swap_remove(at))
                }
                _ => return Listing::default(),
            },
        };
        self.listed.push(account.clone());
        Listing {
            by_name: true,
            displaced,
        }
    }

    /// Position and requests of the listed account with the fewest requests.
    fn fewest(&self) -> Option<(usize, u64)> {
        let totals = self.listed.iter().map(|name| self.counts(name).total());
        totals.enumerate().min_by_key(|(_, total)| *total)
    }

    /// Requests of an account.
    pub fn counts(&self, account: &str) -> Counts {
        self.counts.get(account).copied().unwrap_or_default()
    }

    /// Forgets the accounts that are not in the directory. Returns those of them that were listed;
    /// their series go to the others.
    pub fn retain(&mut self, accounts: &Directory) -> Vec<Name> {
        let known = |name: &Name| accounts.by_name(name).is_some();
        self.counts.retain(|name, _| known(name));
        let listed = std::mem::take(&mut self.listed);
        let (kept, dropped) = listed.into_iter().partition(known);
        self.listed = kept;
        dropped
    }

    /// Number of accounts with requests.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether no account had a request.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
