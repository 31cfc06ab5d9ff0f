//! Property tests of the state machines under faults, with fixed seeds.

mod admission;
mod ballot;
mod burn;
mod entry;
mod group;
mod lease;
mod owner;
mod query;
mod roster;
mod spread;
mod suspect;
mod voter;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

/// Checks a property on `tests` inputs of up to `size`. The seed makes the inputs the
/// same on each run.
pub fn check<T: Testable>(seed: u64, size: usize, tests: u64, property: T) {
    let gen_ = Gen::from_size_and_seed(size, seed);
    QuickCheck::new()
        .rng(gen_)
        .tests(tests)
        .max_tests(tests * 2)
        .quickcheck(property);
}
