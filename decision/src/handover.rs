//! Handover of a replica between owners: which earlier owners may still send to it.
//!
//! A takeover has three terms. An earlier owner of a replica is a run of a daemon that
//! owned it within the last [`TAKEOVER_DELAY`]. The takeover delay is the time for which a
//! daemon that gains a replica waits, so that the lease of every earlier owner has lapsed.
//! An earlier owner has released the replica when it has reported that none of its
//! sub-requests is left there. [`History`] lets the new owner skip the delay if every
//! earlier owner has released the replica, has ended or owns nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::clock::Time;
use crate::lease::TAKEOVER_DELAY;
use crate::name::Name;

/// One run of a daemon: its host and boot number.
pub type Run = (Name, u64);

/// Current owners of all replicas, and their earlier owners within the last
/// [`TAKEOVER_DELAY`].
#[derive(Clone, Debug, Default)]
pub struct History {
    /// For each replica, its earlier owners and the time at which each was replaced.
    earlier: BTreeMap<SocketAddr, BTreeMap<Run, Time>>,
    current: Vec<(SocketAddr, Run)>,
    /// When a run reported that it has no sub-requests left at a replica.
    released: BTreeMap<(SocketAddr, Run), Time>,
}

impl History {
    /// Replaces the current owners; the previous ones become earlier owners as of `now`.
    pub fn record_owners(&mut self, now: Time, owners: Vec<(SocketAddr, Run)>) {
        for runs in self.earlier.values_mut() {
            runs.retain(|_, replaced| now.since(*replaced) <= TAKEOVER_DELAY);
        }
        self.earlier.retain(|_, runs| !runs.is_empty());
        self.released
            .retain(|_, at| now.since(*at) <= TAKEOVER_DELAY);
        for (replica, run) in std::mem::replace(&mut self.current, owners) {
            self.earlier.entry(replica).or_default().insert(run, now);
        }
    }

    /// Records that `run` has no sub-requests left at `replica`.
    pub fn record_release(&mut self, now: Time, replica: SocketAddr, run: Run) {
        self.released.insert((replica, run), now);
    }

    /// Drops the recorded releases of `replica`, since this daemon releases it itself.
    pub fn forget_releases(&mut self, replica: &SocketAddr) {
        self.released.retain(|(released, _), _| released != replica);
    }

    /// Whether at least one earlier owner of `replica` is recorded, and each one has
    /// released the replica within the last [`TAKEOVER_DELAY`] or is in `harmless`: runs
    /// that have ended or own nothing, and this daemon's own.
    pub fn is_released(&self, now: Time, replica: &SocketAddr, harmless: &BTreeSet<Run>) -> bool {
        let has_released = |run: &Run| {
            let at = self.released.get(&(*replica, run.clone()));
            at.is_some_and(|at| now.since(*at) <= TAKEOVER_DELAY)
        };
        let runs = self.earlier.get(replica);
        runs.is_some_and(|runs| {
            runs.keys()
                .all(|run| harmless.contains(run) || has_released(run))
        })
    }
}
