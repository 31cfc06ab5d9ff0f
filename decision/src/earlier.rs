//! Earlier owners of replicas, which may send to them until their lease lapses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::clock::Time;
use crate::lease::TAKEOVER_DELAY;
use crate::name::Name;

/// One run of a daemon: its host and boot number.
pub type Run = (Name, u64);

/// The owners of each replica within the last hold.
#[derive(Clone, Debug, Default)]
pub struct Earlier {
    runs: BTreeMap<SocketAddr, BTreeMap<Run, Time>>,
    current: Vec<(SocketAddr, Run)>,
    yielded: BTreeMap<(SocketAddr, Run), Time>,
}

impl Earlier {
    /// Notes the owners from now on; those up to now become earlier ones.
    pub fn note(&mut self, now: Time, owners: Vec<(SocketAddr, Run)>) {
        for runs in self.runs.values_mut() {
            runs.retain(|_, last| now.since(*last) <= TAKEOVER_DELAY);
        }
        self.runs.retain(|_, runs| !runs.is_empty());
        self.yielded
            .retain(|_, at| now.since(*at) <= TAKEOVER_DELAY);
        for (replica, run) in std::mem::replace(&mut self.current, owners) {
            self.runs.entry(replica).or_default().insert(run, now);
        }
    }

    /// Takes word that nothing of a run's work is left at a replica.
    pub fn take_yield(&mut self, now: Time, replica: SocketAddr, run: Run) {
        self.yielded.insert((replica, run), now);
    }

    /// Forgets what was yielded of a replica, as this daemon yields it itself.
    pub fn forget_yields(&mut self, replica: &SocketAddr) {
        self.yielded.retain(|(yielded, _), _| yielded != replica);
    }

    /// Whether an owner of `replica` is known and all known ones are in `harmless`
    /// or have yielded it within the last hold.
    pub fn are_all(&self, now: Time, replica: &SocketAddr, harmless: &BTreeSet<Run>) -> bool {
        let yielded = |run: &Run| {
            let at = self.yielded.get(&(*replica, run.clone()));
            at.is_some_and(|at| now.since(*at) <= TAKEOVER_DELAY)
        };
        let runs = self.runs.get(replica);
        runs.is_some_and(|runs| {
            runs.keys()
                .all(|run| harmless.contains(run) || yielded(run))
        })
    }
}
