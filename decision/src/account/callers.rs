//! Serialized form of the callers of an operators' file: by name, each with its key's digest, its
//! services and its weight. Clients and daemons of different builds exchange it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

use crate::account::Account;
use crate::account::Directory;
use crate::digest::Digest;
use crate::name::Name;

#[derive(Deserialize, Serialize)]
struct Caller {
    name: Name,
    key: Digest,
    services: Vec<Name>,
    weight: u32,
}

impl Caller {
    /// The caller of an account; `None` without a key.
    fn of(account: &Account) -> Option<Caller> {
        Some(Caller {
            name: account.name.clone(),
            key: *account.keys.first()?,
            services: account.services.clone(),
            weight: account.weight(),
        })
    }

    fn into_account(self) -> Account {
        Account {
            name: self.name,
            keys: vec![self.key],
            services: self.services,
            weight: Some(self.weight),
            ..Account::default()
        }
    }
}

pub(crate) fn serialize<S: Serializer>(
    accounts: &Directory,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let callers = accounts
        .accounts()
        .filter_map(|account| Caller::of(account));
    let callers = callers.map(|caller| (caller.name.clone(), caller));
    callers.collect::<BTreeMap<_, _>>().serialize(serializer)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Directory, D::Error> {
    let callers = BTreeMap::<Name, Caller>::deserialize(deserializer)?;
    let accounts = callers.into_values().map(Caller::into_account);
    Directory::new(accounts).map_err(D::Error::custom)
}
