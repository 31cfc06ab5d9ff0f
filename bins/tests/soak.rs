//! Short runs of the soak on the real programs, with fixed seeds.

use std::path::Path;
use std::time::Duration;

use wagtailbeam_soak::run;

/// Time with faults for each seed.
const SPAN: Duration = Duration::from_secs(5);

/// Seeds of a run with few shards and of one whose gathers are split into branches.
const SEEDS: [u64; 2] = [2, 3];

#[test]
fn promises_hold_under_faults_from_outside() {
    let program = Path::new(env!("CARGO_BIN_EXE_wagtailbeamd"));
    for seed in SEEDS {
        let report = run::run(program, seed, SPAN).expect("a run");
        assert!(report.faults.is_empty(), "{report}");
        assert!(report.served > 0, "{report}");
    }
}
