//! Tests of tiers whose hosts are discovered.

mod account;
mod allowance;
mod catalog;
mod cluster;
mod connections;
mod contention;
mod endpoint;
mod evidence;
mod fanout;
mod fatal;
mod feed;
mod frozen;
mod gateway;
mod group;
mod hosts;
mod large;
mod learned;
mod limited;
mod links;
mod merge;
mod model;
mod notice;
mod older;
mod orders;
mod plan;
mod quota;
mod records;
mod relays;
mod rollout;
mod rollout_model;
mod rollouts;
mod rotation;
mod starts;
mod state;
mod stranded;
mod uplink;
mod usage;
mod voters;
mod waiting;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

/// Seed of all generated cases.
const SEED: u64 = 0x0077_6174_7461;

/// Checks a property on `tests` generated cases of at most `size`, the same in each run.
fn check<P: Testable>(property: P, tests: u64, size: usize) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, SEED))
        .tests(tests)
        .quickcheck(property);
}
