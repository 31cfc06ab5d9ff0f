//! Short runs of the soak on the real programs, with fixed seeds.

use std::path::Path;
use std::time::Duration;

use wagtailbeam_soak::run;

/// Time with faults for each new seed.
const SPAN: Duration = Duration::from_secs(4);

/// Seeds of a run with few shards and of one whose gathers are split into branches.
const SEEDS: [u64; 2] = [2, 3];

/// Seeds that failed once, with their time.
const REGRESSIONS: [(u64, Duration); 1] = [
    // Two processes that asked for a voter's place at once were given the same one.
    (5, Duration::from_secs(1)),
];

#[test]
fn promises_hold_under_faults_from_outside() {
    let program = Path::new(env!("CARGO_BIN_EXE_wagtailbeamd"));
    let seeds = SEEDS.map(|seed| (seed, SPAN));
    for (seed, span) in seeds.into_iter().chain(REGRESSIONS) {
        let report = run::run(program, seed, span).expect("a run");
        assert!(report.violations.is_empty(), "{report}");
        assert!(report.served > 0, "{report}");
    }
}
