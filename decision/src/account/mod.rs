//! Client accounts: whose request it is, by the key that it carries.
//!
//! A configuration may declare accounts. The host that a caller reached looks the request's key up
//! in its [`Directory`]; other hosts and the backend servers are told the account's name only. Keys
//! are kept as digests. Both kinds of group use the same type: the callers of an operators' file
//! are accounts with one key, a weight and the services that they may use.

pub(crate) mod callers;
pub mod home;
pub mod overview;
mod presence;
pub mod quota;
pub mod refusals;
mod shortage;
pub mod suspension;
pub mod token;
pub mod usage;
mod waiting;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use derive_more::Display;

use crate::digest::Digest;
use crate::name::Name;

/// Longest name of an account, in bytes.
const NAME_MAX_BYTES: usize = 256;

/// Weight of an account that sets none.
const WEIGHT_DEFAULT: u32 = 1;

/// Quota of an account, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may come at once beyond the rate.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// Name, unique in the configuration; visible ASCII characters.
    pub name: Name,
    /// Digests of its keys; without any, no caller can use the account.
    pub keys: Vec<Digest>,
    /// Priority of its requests in place of their routes' ones; zero is the most important.
    pub priority: Option<u32>,
    /// Limit on its requests; absent without one.
    pub quota: Option<Quota>,
    /// Services that it may use in a group with a settings file; discovered tiers grant all.
    pub services: Vec<Name>,
    /// Weight in fair sharing, from 1 to 1000, in a group with a settings file; 1 if absent.
    pub weight: Option<u32>,
}

/// What a request says of its caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Credential {
    /// The request carries no key, or something that can't be one.
    #[default]
    Unusable,
    /// Digest of the key.
    Key(Digest),
}

/// Who sent a request, as far as the configuration tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Identity {
    /// Nobody in particular: the configuration declares no accounts, or the route is open and the
    /// request has no known key.
    Anonymous,
    /// The account that holds the request's key.
    Account(Arc<Account>),
    /// The route needs a key, and no account holds the one of the request.
    Unknown,
}

/// Why accounts are rejected.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Fault {
    /// An account's name is empty, too long or can't be sent in a header.
    #[display("account {_0}: the name must have 1 to {NAME_MAX_BYTES} visible ASCII characters")]
    BadName(Name),
    /// Two accounts have the same name.
    #[display("two accounts are called {_0}")]
    DuplicateName(Name),
    /// Two accounts hold the same key.
    #[display("accounts {first} and {second} hold the same key")]
    SharedKey {
        /// The earlier account.
        first: Name,
        /// The later account.
        second: Name,
    },
    /// A rate or burst is negative or not finite.
    #[display("account {_0}: rate and burst must be finite and not negative")]
    BadQuota(Name),
}

/// Checked accounts, or the first fault.
pub type Result<T> = std::result::Result<T, Fault>;

/// The accounts of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    /// Whether the configuration declares accounts, so that routes which are not open need a key.
    required: bool,
    by_name: BTreeMap<Name, Arc<Account>>,
    by_key: HashMap<Digest, Arc<Account>>,
}

impl Directory {
    /// The directory of a configuration that declares these accounts, maybe none.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found.
    pub fn new(accounts: impl IntoIterator<Item = Account>) -> Result<Directory> {
        let mut directory = Directory {
            required: true,
            ..Directory::default()
        };
        for account in accounts {
            account.check()?;
            directory.insert(Arc::new(account))?;
        }
        Ok(directory)
    }

    fn insert(&mut self, account: Arc<Account>) -> Result<()> {
        let name = account.name.clone();
        if self.by_name.contains_key(&name) {
            return Err(Fault::DuplicateName(name));
        }
        for key in &account.keys {
            let holder = self.by_key.insert(*key, account.clone());
            if let Some(holder) = holder.filter(|holder| holder.name != name) {
                return Err(Fault::SharedKey {
                    first: holder.name.clone(),
                    second: name,
                });
            }
        }
        self.by_name.insert(name, account);
        Ok(())
    }

    /// Whether routes that are not open need a key.
    pub fn is_required(&self) -> bool {
        self.required
    }

    /// The account of this name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// All accounts, by name.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }

    /// Who sent a request; `open` is whether its route needs no key.
    pub fn identify(&self, open: bool, credential: Credential) -> Identity {
        let holder = match credential {
            Credential::Key(key) => self.by_key.get(&key),
            Credential::Unusable => None,
        };
        match holder {
            Some(account) => Identity::Account(account.clone()),
            None if self.required && !open => Identity::Unknown,
            None => Identity::Anonymous,
        }
    }
}

impl Account {
    /// Whether the account may use `service` in a group with a settings file.
    pub fn may_use(&self, service: &str) -> bool {
        self.services.iter().any(|granted| **granted == *service)
    }

    /// Weight in fair sharing.
    pub fn weight(&self) -> u32 {
        self.weight.unwrap_or(WEIGHT_DEFAULT)
    }

    fn check(&self) -> Result<()> {
        let length_ok = !self.name.is_empty() && self.name.len() <= NAME_MAX_BYTES;
        if !length_ok || !self.name.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(Fault::BadName(self.name.clone()));
        }
        let valid = |amount: f64| amount.is_finite() && amount >= 0.0;
        match self.quota {
            Some(quota) if !valid(quota.rate) || !valid(quota.burst) => {
                Err(Fault::BadQuota(self.name.clone()))
            }
            _ => Ok(()),
        }
    }
}
