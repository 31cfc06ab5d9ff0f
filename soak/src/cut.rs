//! Cuts of entry hosts from all replicas, in series and beside the other faults.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::proxy::Cut;

/// Range of the lengths of cuts, in milliseconds. Callers must be served from
/// [`crate::checker::CONTACT`] on.
const CUT_MS: std::ops::Range<u64> = 8_000..11_000;

/// Range of the pauses between two cuts, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 500..2_500;

/// When entry hosts are cut off, and how.
pub struct CutSeries {
    rng: ChaCha8Rng,
    next_at: Instant,
    is_cut: bool,
}

impl CutSeries {
    /// A series that begins with a pause.
    pub fn new(mut rng: ChaCha8Rng) -> CutSeries {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        CutSeries {
            rng,
            next_at: Instant::now() + pause,
            is_cut: false,
        }
    }

    /// The entry hosts that are cut off from now on, out of `hosts`, if that changes now. At least
    /// one host is not cut off.
    pub fn next(&mut self, hosts: usize) -> Option<BTreeMap<usize, Cut>> {
        if Instant::now() < self.next_at || hosts < 2 {
            return None;
        }
        self.is_cut = !self.is_cut;
        let range = if self.is_cut { CUT_MS } else { PAUSE_MS };
        self.next_at = Instant::now() + Duration::from_millis(self.rng.random_range(range));
        if !self.is_cut {
            return Some(BTreeMap::new());
        }
        let cut = [Cut::Hang, Cut::Reset, Cut::Refuse][self.rng.random_range(0..3)];
        let spared = self.rng.random_range(0..hosts);
        let share = self.rng.random_range(0.3..1.0);
        let others = (0..hosts).filter(|host| *host != spared);
        let chosen = others.filter(|_| self.rng.random_bool(share));
        Some(chosen.map(|host| (host, cut)).collect())
    }
}
