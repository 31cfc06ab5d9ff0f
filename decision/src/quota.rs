//! Limits that replicas name, in a tier with discovered hosts.
//!
//! Load pattern: a replica in need names in its answers the requests per second that it takes
//! from all hosts together, for as long as it says so. The [`Ledger`] of a process holds the
//! limits that were named, and by which run of a replica.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Instance;
use crate::name::Name;

/// Requests per second, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{}", self.per_second())]
pub struct Rate(u64);

impl Rate {
    /// The rate of this many requests per second; `None` unless it is a finite number of at
    /// least zero.
    pub fn from_per_second(rate: f64) -> Option<Rate> {
        let valid = rate.is_finite() && rate >= 0.0;
        valid.then_some(Rate((rate * 1_000.0) as u64))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

/// What an answer of a replica says about its limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Statement {
    /// There was no answer of this replica.
    #[default]
    Nothing,
    /// The replica names no limit.
    Unlimited,
    /// The replica takes this rate from all hosts together.
    Limited(Rate),
}

/// Calls of one host to a replica that names a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Service of the replica.
    pub service: Name,
    /// Identifier of the replica.
    pub replica: Name,
    /// The limit that it names.
    pub limit: Rate,
    /// Number of calls sent.
    pub calls: u32,
}

/// The limits that replicas named, as known to one process.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    limits: BTreeMap<Instance, Rate>,
}

impl Ledger {
    /// The limit of a replica; absent if it names none.
    pub fn limit(&self, instance: &Instance) -> Option<Rate> {
        self.limits.get(instance).copied()
    }

    /// Records what an answer of a replica says. Returns whether its limit changed.
    pub fn hear(&mut self, instance: &Instance, statement: Statement) -> bool {
        match statement {
            Statement::Nothing => false,
            Statement::Unlimited => self.limits.remove(instance).is_some(),
            Statement::Limited(rate) => self.limits.insert(instance.clone(), rate) != Some(rate),
        }
    }

    /// Drops what is known of replicas that are not among the listed ones.
    pub fn retain(&mut self, listed: impl Fn(&Instance) -> bool) {
        self.limits.retain(|instance, _| listed(instance));
    }

    /// Number of replicas that name a limit.
    pub fn limited(&self) -> usize {
        self.limits.len()
    }
}
