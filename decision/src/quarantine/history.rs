//! Parts of requests that servers answered lately.

use std::collections::HashSet;

use crate::clock::Time;
use crate::digest::Digest;
use crate::name::Name;
use crate::suspect::STANDING_TTL;

/// Parts kept in each of the two sets. A gather has one for each shard and one for the whole request;
/// what was forgotten counts as never answered.
const SET_MAX: usize = 4_096;

/// Parts, in two sets: when the newer one is full or old, it takes the place of the older one.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    newer: HashSet<(Digest, Name)>,
    older: HashSet<(Digest, Name)>,
    /// When the newer set was begun.
    begun_at: Time,
}

impl History {
    /// Records that a server answered a part.
    pub(super) fn insert(&mut self, now: Time, part: &(Digest, Name)) {
        self.rotate(now);
        if !self.newer.contains(part) {
            self.newer.insert(part.clone());
        }
    }

    /// Whether a server answered the part lately, unless many others were answered since.
    pub(super) fn contains(&mut self, now: Time, part: &(Digest, Name)) -> bool {
        self.rotate(now);
        self.newer.contains(part) || self.older.contains(part)
    }

    /// Begins a new set if the newer one is full or old, and drops the older one.
    fn rotate(&mut self, now: Time) {
        let age = now.since(self.begun_at);
        if self.newer.len() < SET_MAX && age < STANDING_TTL {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= STANDING_TTL.saturating_mul(2) {
            self.older.clear();
        }
        self.begun_at = now;
    }
}
