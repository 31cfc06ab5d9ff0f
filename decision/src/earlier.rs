//! Earlier owners of replicas, which may send to them until their lease lapses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::clock::Time;
use crate::lease::HOLD;
use crate::name::Name;

/// One run of a daemon: its host and boot number.
pub type Run = (Name, u64);

/// The owners of each replica within the last hold.
#[derive(Clone, Debug, Default)]
pub struct Earlier {
    runs: BTreeMap<SocketAddr, BTreeMap<Run, Time>>,
    current: Vec<(SocketAddr, Run)>,
}

impl Earlier {
    /// Notes the owners from now on; those up to now become earlier ones.
    pub fn note(&mut self, now: Time, owners: Vec<(SocketAddr, Run)>) {
        for runs in self.runs.values_mut() {
            runs.retain(|_, last| now.since(*last) <= HOLD);
        }
        self.runs.retain(|_, runs| !runs.is_empty());
        for (replica, run) in std::mem::replace(&mut self.current, owners) {
            self.runs.entry(replica).or_default().insert(run, now);
        }
    }

    /// Whether an owner of `replica` is known and all known ones are in `harmless`.
    pub fn are_all(&self, replica: &SocketAddr, harmless: &BTreeSet<Run>) -> bool {
        let runs = self.runs.get(replica);
        runs.is_some_and(|runs| runs.keys().all(|run| harmless.contains(run)))
    }
}
